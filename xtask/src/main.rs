//! Development tasks, run with `cargo run -p xtask -- <task>`.

mod flags {
    //! Command-line interface.

    xflags::xflags! {
        /// Runs a development task.
        cmd xtask {
            /// Regenerates `docs/events.md` from the event catalogue.
            cmd codegen {}
            /// Runs the CI checks.
            cmd ci {}
        }
    }
}

use std::process::Command;

use anyhow::{Context, ensure};
use flags::{Xtask, XtaskCmd};

fn main() -> anyhow::Result<()> {
    match Xtask::from_env_or_exit().subcommand {
        XtaskCmd::Codegen(_) => run(Command::new("cargo")
            .args(["test", "-p", "shallotdrum-telemetry", "--test", "events"])
            .env("UPDATE_EVENTS", "1")),
        XtaskCmd::Ci(_) => run(Command::new("bash").arg(".ci/run")),
    }
}

fn run(command: &mut Command) -> anyhow::Result<()> {
    let status = command.status().with_context(|| format!("cannot start {command:?}"))?;
    ensure!(status.success(), "{command:?} ended with {status}");
    Ok(())
}
