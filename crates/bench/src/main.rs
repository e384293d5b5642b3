//! Load generator and benchmarks.
//!
//! `quick` checks a short load on an in-process deployment; `slopes`, `policy` and `overhead` are
//! benchmarks.

mod cluster;
mod flags;
mod load;
mod overhead;
mod policy;
mod quick;
mod scrape;
mod slopes;

use flags::{ShallotdrumBench, ShallotdrumBenchCmd};
use shallotdrum_telemetry::{LogConfig, LogFormat};

fn main() -> anyhow::Result<()> {
    let flags = ShallotdrumBench::from_env_or_exit();
    let (log, _guard) = shallotdrum_telemetry::open(LogConfig {
        format: LogFormat::Terminal,
        level: slog::Level::Error,
    });
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        match flags.subcommand {
            ShallotdrumBenchCmd::Quick(quick) => {
                quick::run(quick.requests.unwrap_or(200), quick.seed.unwrap_or(1), &log).await
            }
            ShallotdrumBenchCmd::Slopes(args) => {
                slopes::run(args.json.as_deref(), args.probe.as_deref()).await
            }
            ShallotdrumBenchCmd::Policy(policy) => policy::run(&policy).await,
            ShallotdrumBenchCmd::Overhead(overhead) => overhead::run(&overhead).await,
        }
    })
}
