//! Log output through an asynchronous drain.

use std::io::Write;

use slog::{Drain, Level, LevelFilter, Logger, o};

/// Records that wait for the writer; more are dropped and counted, so that logging never blocks a
/// request.
const QUEUE_LEN: usize = 4096;

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for people.
    Terminal,
}

/// What is written to standard error.
#[derive(Clone, Copy, Debug)]
pub struct LogConfig {
    /// Form of the lines.
    pub format: LogFormat,
    /// Lowest level that is written; `Level` parses the names used in the settings.
    pub level: Level,
}

/// Writes the remaining records when dropped; keep it until the process ends.
#[must_use]
pub struct LogGuard(#[expect(dead_code, reason = "flushes on drop")] slog_async::AsyncGuard);

/// Opens the log on standard error.
pub fn open(cfg: LogConfig) -> (Logger, LogGuard) {
    match cfg.format {
        LogFormat::Json => open_to(cfg, std::io::stderr()),
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            start(slog_term::CompactFormat::new(decorator).build().ignore_res(), cfg.level)
        }
    }
}

/// Opens the log on a writer, without colours.
pub fn open_to(cfg: LogConfig, writer: impl Write + Send + 'static) -> (Logger, LogGuard) {
    match cfg.format {
        LogFormat::Json => {
            let drain = slog_json::Json::new(writer).add_default_keys().set_flush(true).build();
            start(drain.ignore_res(), cfg.level)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(writer);
            start(slog_term::CompactFormat::new(decorator).build().ignore_res(), cfg.level)
        }
    }
}

/// A log that discards everything, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn start<D>(drain: D, level: Level) -> (Logger, LogGuard)
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
