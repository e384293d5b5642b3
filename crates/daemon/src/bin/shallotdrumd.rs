//! Daemon that runs one instance of the serving layer until SIGTERM, SIGINT or SIGHUP.

use anyhow::Context;
use flags::Shallotdrumd;
use shallotdrum_daemon::{Instance, Listeners};
use shallotdrum_settings::{LogFormat, LogLevel, Settings};
use shallotdrum_telemetry::{LogConfig, event};
use tokio::signal::unix::{SignalKind, signal};

mod flags {
    //! Command-line arguments.

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one instance of the serving layer.
        cmd shallotdrumd {
            /// Settings file, JSON.
            required settings: PathBuf
            /// Checks the settings and exits.
            optional --check
        }
    }
}

fn main() -> anyhow::Result<()> {
    let flags = Shallotdrumd::from_env_or_exit();
    let settings = Settings::load(&flags.settings)?;
    if flags.check {
        println!("{}: the settings are valid", flags.settings.display());
        return Ok(());
    }
    let (log, _guard) = shallotdrum_telemetry::open(LogConfig {
        format: match settings.log.format {
            LogFormat::Json => shallotdrum_telemetry::LogFormat::Json,
            LogFormat::Terminal => shallotdrum_telemetry::LogFormat::Terminal,
        },
        level: level(settings.log.level),
    });
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let result = runtime.block_on(run(settings, log.clone()));
    if let Err(error) = &result {
        event!(log, START_FAILED; "error" => format!("{error:#}"));
    }
    result
}

fn level(level: LogLevel) -> slog::Level {
    match level {
        LogLevel::Critical => slog::Level::Critical,
        LogLevel::Error => slog::Level::Error,
        LogLevel::Warning => slog::Level::Warning,
        LogLevel::Info => slog::Level::Info,
        LogLevel::Debug => slog::Level::Debug,
        LogLevel::Trace => slog::Level::Trace,
    }
}

async fn run(settings: Settings, log: slog::Logger) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot handle SIGINT")?;
    let mut hangup = signal(SignalKind::hangup()).context("cannot handle SIGHUP")?;
    let listeners = Listeners::open(&settings).await?;
    let instance = Instance::start(settings, listeners, log).await?;
    let failure = tokio::select! {
        _ = terminate.recv() => None,
        _ = interrupt.recv() => None,
        _ = hangup.recv() => None,
        error = instance.failed() => Some(error),
    };
    // The other replicas still write the log, and the requests in progress do not need this one.
    instance.stop().await;
    match failure {
        Some(error) => Err(error).context("the control replica has failed"),
        None => Ok(()),
    }
}
