//! Logger setup with a queue and a thread that writes the lines.
//!
//! Records that are queued together are written together: the thread formats records into a buffer, and
//! writes the buffer when the queue is empty or when it holds `MAX_BATCH_BYTES`. The thread sleeps only
//! while the queue is empty, so a line never waits for another one, and there is no timer.
//!
//! Architecture Invariant: logging never blocks. A record that finds the queue full is dropped and counted,
//! and a writer that fails loses the lines of its batch only.

use std::{
    cell::RefCell,
    io::Write,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use slog::{Drain, Level, LevelFilter, Logger, Never, OwnedKVList, Record, o};
use slog_async::AsyncRecord;

use crate::events::LOG_LINES_DROPPED;

/// Capacity of the record queue. Records beyond it are dropped and counted, so that logging never
/// blocks a request.
const QUEUE_LEN: usize = 4096;

/// Size from which a batch is written although more records are queued: the capacity of a pipe.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text.
    Terminal,
}

/// Format and level of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogConfig {
    /// Format of the lines.
    pub format: LogFormat,
    /// Minimum level that is written; `Level` parses the names used in the settings.
    pub level: Level,
}

/// Writes queued records when dropped; keep it until the process ends.
#[must_use]
pub struct LogGuard {
    tx: SyncSender<Message>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        // Without a thread, there is nothing left to write.
        let _ = self.tx.send(Message::Finish);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Opens a logger that writes to standard error, with colours in terminal format.
pub fn open(cfg: LogConfig) -> (Logger, LogGuard) {
    match cfg.format {
        LogFormat::Json => open_to(cfg, std::io::stderr()),
        LogFormat::Terminal => start(cfg.level, std::io::sink(), |_| {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            Box::new(slog_term::CompactFormat::new(decorator).build().ignore_res())
        }),
    }
}

/// Opens a logger that writes to `writer`, without colours.
pub fn open_to(cfg: LogConfig, writer: impl Write + Send + 'static) -> (Logger, LogGuard) {
    match cfg.format {
        LogFormat::Json => start(cfg.level, writer, |batch| {
            Box::new(slog_json::Json::new(batch).add_default_keys().build().ignore_res())
        }),
        LogFormat::Terminal => start(cfg.level, writer, |batch| {
            let decorator = slog_term::PlainDecorator::new(batch);
            Box::new(slog_term::CompactFormat::new(decorator).build().ignore_res())
        }),
    }
}

/// Returns a logger that discards all records, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Formats records; used by the writing thread alone.
type Formatter = Box<dyn Drain<Ok = (), Err = Never>>;

enum Message {
    Record(AsyncRecord),
    /// Ends the thread after the records that were queued before.
    Finish,
}

/// Queue of records, as the drain of a logger.
struct Queue {
    tx: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Drain for Queue {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let queued = self.tx.try_send(Message::Record(AsyncRecord::from(record, values)));
        if let Err(TrySendError::Full(_)) = queued {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Lines that are written together; clones share the buffer.
#[derive(Clone, Default)]
struct Batch(Rc<RefCell<Vec<u8>>>);

impl Write for Batch {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.borrow_mut().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Batch {
    /// Writes and clears the buffer. A failure loses its lines; the next batch is written again.
    fn write_to(&self, writer: &mut impl Write) {
        let mut buf = self.0.borrow_mut();
        if !buf.is_empty() {
            let _ = writer.write_all(&buf).and_then(|()| writer.flush());
            buf.clear();
        }
    }

    fn is_full(&self) -> bool {
        self.0.borrow().len() >= MAX_BATCH_BYTES
    }
}

/// Starts the thread that formats and writes records.
///
/// # Panics
///
/// Panics if the thread cannot be started.
fn start(
    level: Level,
    writer: impl Write + Send + 'static,
    formatter: fn(Batch) -> Formatter,
) -> (Logger, LogGuard) {
    let (tx, rx) = sync_channel(QUEUE_LEN);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = Queue { tx: tx.clone(), dropped: dropped.clone() };
    let run = move || write_records(&rx, &dropped, writer, formatter);
    let thread = std::thread::Builder::new().name("log".to_owned()).spawn(run);
    let thread = thread.expect("cannot start the log thread");
    let drain = LevelFilter::new(queue, level).ignore_res();
    (Logger::root(drain, o!()), LogGuard { tx, thread: Some(thread) })
}

/// Time after which a batch is written although more records are queued; half of the longest delay of a
/// line that is wanted.
const MAX_BATCH_TIME: Duration = Duration::from_millis(25);

fn write_records(
    rx: &Receiver<Message>,
    dropped: &AtomicU64,
    mut writer: impl Write,
    formatter: fn(Batch) -> Formatter,
) {
    let batch = Batch::default();
    let formatter = formatter(batch.clone());
    let mut next = rx.recv().ok();
    let mut begun_at = Instant::now();
    while let Some(Message::Record(record)) = next {
        let Ok(()) = record.log_to(&formatter);
        next = rx.try_recv().ok();
        if next.is_none() || batch.is_full() || begun_at.elapsed() >= MAX_BATCH_TIME {
            report_dropped(&formatter, dropped);
            batch.write_to(&mut writer);
            begun_at = Instant::now();
        }
        // Waits for the next record only while nothing is left to write.
        if next.is_none() {
            next = rx.recv().ok();
            begun_at = Instant::now();
        }
    }
    report_dropped(&formatter, dropped);
    batch.write_to(&mut writer);
}

/// Adds a line if records were dropped since the last one.
fn report_dropped(formatter: &Formatter, dropped: &AtomicU64) {
    let count = dropped.swap(0, Ordering::Relaxed);
    if count > 0 {
        let event = LOG_LINES_DROPPED;
        let values = OwnedKVList::from(o!("code" => event.code, "count" => count));
        let record = slog::record_static!(event.level, "");
        let args = format_args!("{}", event.message);
        let Ok(()) = formatter.log(&Record::new(&record, &args, slog::b!()), &values);
    }
}
