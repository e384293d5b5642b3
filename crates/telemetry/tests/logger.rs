//! Format, level, batching and flushing of log lines.

use std::{
    io::Write,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use rstest::rstest;
use shallotdrum_telemetry::{LogConfig, LogFormat, event, open_to};
use slog::{Level, Logger};

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

/// Time after which a test gives up; far above that of any step.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Number of records that the queue of a logger holds.
const QUEUE_LEN: usize = 4096;

/// Writer that keeps each write, and blocks while it is closed.
#[derive(Clone, Default)]
struct GatedWriter(Arc<(Mutex<Gate>, Condvar)>);

#[derive(Default)]
struct Gate {
    is_closed: bool,
    /// Whether a write waits for the gate.
    is_waiting: bool,
    /// Number of writes that fail, before others succeed.
    failures: usize,
    writes: Vec<Vec<u8>>,
}

impl GatedWriter {
    fn lock(&self) -> MutexGuard<'_, Gate> {
        self.0.0.lock().unwrap()
    }

    fn set_closed(&self, is_closed: bool) {
        self.lock().is_closed = is_closed;
        self.0.1.notify_all();
    }

    /// Waits until the state of the writer meets a condition.
    fn wait_until(&self, is_met: impl Fn(&Gate) -> bool) {
        let (_gate, result) =
            self.0.1.wait_timeout_while(self.lock(), TIMEOUT, |gate| !is_met(gate)).unwrap();
        assert!(!result.timed_out());
    }

    /// Values of `n` of the lines, in the order of the output.
    fn numbers(&self) -> Vec<u64> {
        let text = String::from_utf8(self.lock().writes.concat()).unwrap();
        let lines = text.lines().map(serde_json::from_str::<serde_json::Value>);
        lines.filter_map(|line| line.unwrap()["n"].as_u64()).collect()
    }
}

impl Write for GatedWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let mut gate = self.lock();
        gate.is_waiting = gate.is_closed;
        self.0.1.notify_all();
        let mut gate = self.0.1.wait_while(gate, |gate| gate.is_closed).unwrap();
        gate.is_waiting = false;
        if gate.failures > 0 {
            gate.failures -= 1;
            self.0.1.notify_all();
            return Err(std::io::Error::other("no space left"));
        }
        gate.writes.push(buf.to_vec());
        self.0.1.notify_all();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn open_json(writer: &GatedWriter) -> (Logger, shallotdrum_telemetry::LogGuard) {
    open_to(LogConfig { format: LogFormat::Json, level: Level::Info }, writer.clone())
}

/// Logs line 0, whose write waits for the gate, so that the lines after it are queued.
fn log_first(log: &Logger, writer: &GatedWriter) {
    writer.set_closed(true);
    event!(log, ENTRY_OWNER_LOST; "n" => 0);
    writer.wait_until(|gate| gate.is_waiting);
}

/// Guards against a write for each line, or for each part of one, while lines are queued.
#[test]
fn batching_queued_lines() {
    let writer = GatedWriter::default();
    let (log, guard) = open_json(&writer);
    log_first(&log, &writer);
    for n in 1..=1_000 {
        event!(log, ENTRY_OWNER_LOST; "n" => n, "group" => "engines/north/0");
    }
    let opened_at = Instant::now();
    writer.set_closed(false);
    drop((log, guard));
    let took = opened_at.elapsed();
    let sizes: Vec<usize> = writer.lock().writes.iter().map(Vec::len).collect();
    let bytes = sizes.iter().sum::<usize>();
    println!("{} writes of {bytes} bytes for 1,001 lines", sizes.len());
    assert_eq!(writer.numbers(), (0..=1_000).collect::<Vec<u64>>());
    // The first line, full batches and the rest; on a busy machine also batches that would have been delayed
    // by more than 25 ms, half of the bound on the delay of a line.
    let by_time = took.as_millis() as usize / 25;
    assert!(sizes.len() <= 2 + bytes / (64 * 1024) + by_time, "{took:?}: {sizes:?}");
}

/// Guards against a batch that waits for more lines, or for the next line or the exit, before it is
/// written.
#[test]
fn batching_writes_without_delay() {
    const LINES: usize = 20;
    let writer = GatedWriter::default();
    let (log, _guard) = open_json(&writer);
    let mut delays = Vec::new();
    for n in 0..LINES {
        let logged_at = Instant::now();
        event!(log, ENTRY_OWNER_LOST; "n" => n);
        writer.wait_until(|gate| gate.writes.concat().ends_with(b"\n") && gate.writes.len() > n);
        delays.push(logged_at.elapsed());
    }
    delays.sort();
    // The median, because a busy machine may stop the thread for longer.
    assert!(delays[LINES / 2] < Duration::from_millis(50), "{delays:?}");
}

/// Guards against a logger that blocks on a slow writer, and against silent losses.
#[test]
fn queue_full_drops_and_reports() {
    let writer = GatedWriter::default();
    let (log, guard) = open_json(&writer);
    log_first(&log, &writer);
    let lines = 2 * QUEUE_LEN as u64;
    // Blocks forever if a full queue blocks.
    for n in 1..=lines {
        event!(log, ENTRY_OWNER_LOST; "n" => n);
    }
    writer.set_closed(false);
    drop((log, guard));
    assert_eq!(writer.numbers(), (0..=QUEUE_LEN as u64).collect::<Vec<u64>>());
    let text = String::from_utf8(writer.lock().writes.concat()).unwrap();
    let report = text.lines().find(|line| line.contains("S0513")).unwrap();
    let report: serde_json::Value = serde_json::from_str(report).unwrap();
    assert_eq!((&report["count"], &report["level"]), (&(lines - 4096).into(), &"ERRO".into()));
}

/// Guards against a failed write that ends the log or the process.
#[test]
fn writer_fails_once() {
    let writer = GatedWriter::default();
    let (log, guard) = open_json(&writer);
    writer.lock().failures = 1;
    event!(log, ENTRY_OWNER_LOST; "n" => 1);
    writer.wait_until(|gate| gate.failures == 0);
    event!(log, ENTRY_OWNER_LOST; "n" => 2);
    drop((log, guard));
    assert_eq!(writer.numbers(), [2]);
}

/// Guards against lines of several threads that are lost or torn, or out of their thread's order.
#[test]
fn order_kept_for_each_thread() {
    const THREADS: u64 = 4;
    const LINES: u64 = 200;
    let writer = GatedWriter::default();
    let (log, guard) = open_json(&writer);
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let log = &log;
            scope.spawn(move || {
                for n in 0..LINES {
                    event!(log, ENTRY_OWNER_LOST; "n" => thread * LINES + n);
                }
            });
        }
    });
    drop((log, guard));
    let numbers = writer.numbers();
    for thread in 0..THREADS {
        let own = thread * LINES..(thread + 1) * LINES;
        let written: Vec<u64> = numbers.iter().copied().filter(|n| own.contains(n)).collect();
        assert_eq!(written, own.collect::<Vec<u64>>());
    }
}
