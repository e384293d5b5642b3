//! Logger setup with an asynchronous drain.

use std::io::Write;

use slog::{Drain, Level, LevelFilter, Logger, o};

/// Capacity of the record queue. Records beyond it are dropped and counted, so that logging never
/// blocks a request.
const QUEUE_LEN: usize = 4096;

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

/// Flushes queued records when dropped; keep it until the process ends.
#[must_use]
pub struct LogGuard(#[expect(dead_code, reason = "flushes on drop")] slog_async::AsyncGuard);

/// Opens a logger that writes to standard error, with colours in terminal format.
pub fn open(cfg: LogConfig) -> (Logger, LogGuard) {
    match cfg.format {
        LogFormat::Json => open_to(cfg, std::io::stderr()),
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            start_async(slog_term::CompactFormat::new(decorator).build().ignore_res(), cfg.level)
        }
    }
}

/// Opens a logger that writes to `writer`, without colours.
pub fn open_to(cfg: LogConfig, writer: impl Write + Send + 'static) -> (Logger, LogGuard) {
    match cfg.format {
        LogFormat::Json => {
            let drain = slog_json::Json::new(writer).add_default_keys().set_flush(true).build();
            start_async(drain.ignore_res(), cfg.level)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(writer);
            start_async(slog_term::CompactFormat::new(decorator).build().ignore_res(), cfg.level)
        }
    }
}

/// Returns a logger that discards all records, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn start_async<D>(drain: D, level: Level) -> (Logger, LogGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE_LEN)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = LevelFilter::new(drain, level).ignore_res();
    (Logger::root(drain, o!()), LogGuard(guard))
}
