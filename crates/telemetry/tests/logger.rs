//! Log lines.

use std::{
    io::Write,
    sync::{Arc, Mutex},
};

use rstest::rstest;
use shallotdrum_telemetry::{LogConfig, LogFormat, event, open_to};
use slog::Level;

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Logs one event above and one below the level, and returns what was written.
fn log(format: LogFormat) -> String {
    let lines = Lines::default();
    let (log, guard) = open_to(LogConfig { format, level: Level::Warning }, lines.clone());
    event!(log, ENTRY_OWNER_LOST; "group" => "engines/north/0", "attempt" => 2);
    event!(log, ENTRY_CLOSED);
    drop((log, guard));
    let written = lines.0.lock().unwrap().clone();
    String::from_utf8(written).unwrap()
}

/// Guards against lines without code, level or fields, and against lines that are not JSON.
#[test]
fn json_line_has_code_and_fields() {
    let text = log(LogFormat::Json);
    assert_eq!(text.lines().count(), 1, "{text}");
    let line: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(line["code"], "N0406");
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["msg"], "lost the connection to a group's owner");
    assert_eq!((&line["group"], &line["attempt"]), (&"engines/north/0".into(), &2.into()));
}

/// Guards against a level that is not applied, and lines lost when the process ends.
#[rstest]
#[case::json(LogFormat::Json)]
#[case::terminal(LogFormat::Terminal)]
fn level_filters_and_guard_flushes(#[case] format: LogFormat) {
    let text = log(format);
    assert!(text.contains("N0406") && text.contains("engines/north/0"), "{text}");
    assert!(!text.contains("N0410"), "{text}");
}
