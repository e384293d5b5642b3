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
            /// Replaces the instances of an earlier release, built from the history, by this one.
            cmd upgrade {
                /// Commit of the earlier release.
                required commit: String
            }
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
        XtaskCmd::Upgrade(cmd) => upgrade(&cmd.commit),
    }
}

/// Runs the tests of rolling upgrades with the program of a commit, built in a work tree of its own.
fn upgrade(commit: &str) -> anyhow::Result<()> {
    let target = std::path::absolute("target")?.join("earlier").join(commit);
    let tree = target.join("tree");
    if !tree.exists() {
        let add = ["worktree", "add", "--force", "--detach"];
        run(Command::new("git").args(add).arg(&tree).arg(commit))?;
    }
    let build = ["build", "--locked", "-p", "shallotdrum-platform"];
    run(Command::new("cargo").args(build).current_dir(&tree).env("CARGO_TARGET_DIR", &target))?;
    let test = ["nextest", "run", "-p", "shallotdrum-platform", "--test", "rolling_upgrade"];
    run(Command::new("cargo")
        .args(test)
        .args(["--no-fail-fast", "--success-output", "final"])
        .env("SHALLOTDRUM_EARLIER_NODE", target.join("debug/shallotdrum-node")))
}

fn run(command: &mut Command) -> anyhow::Result<()> {
    let status = command.status().with_context(|| format!("cannot start {command:?}"))?;
    ensure!(status.success(), "{command:?} ended with {status}");
    Ok(())
}
