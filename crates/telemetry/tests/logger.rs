//! Format, level and flushing of log lines.

use std::{
    io::Write,
    sync::{Arc, Mutex},
};

use rstest::rstest;
use shallotdrum_telemetry::{LogConfig, LogFormat, event, open_to};
use slog::Level;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Logs one event above and one below the level, and returns the output.
fn log_output(format: LogFormat) -> String {
    let buffer = SharedBuffer::default();
    let (log, guard) = open_to(LogConfig { format, level: Level::Warning }, buffer.clone());
    event!(log, ENTRY_OWNER_LOST; "group" => "engines/north/0", "attempt" => 2);
    event!(log, ENTRY_CLOSED);
    drop((log, guard));
    let written = buffer.0.lock().unwrap().clone();
    String::from_utf8(written).unwrap()
}

/// Guards against lines that lack the code, level or fields, or are not valid JSON.
#[test]
fn json_line_has_code_and_fields() {
    let text = log_output(LogFormat::Json);
    assert_eq!(text.lines().count(), 1, "{text}");
    let line: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(line["code"], "N0406");
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["msg"], "lost the connection to a group's owner");
    assert_eq!((&line["group"], &line["attempt"]), (&"engines/north/0".into(), &2.into()));
}

/// Guards against an ignored level, and against lines that are lost when the process exits.
#[rstest]
#[case::json(LogFormat::Json)]
#[case::terminal(LogFormat::Terminal)]
fn level_filters_and_guard_flushes(#[case] format: LogFormat) {
    let text = log_output(format);
    assert!(text.contains("N0406") && text.contains("engines/north/0"), "{text}");
    assert!(!text.contains("N0410"), "{text}");
}
