//! Command-line client for operators.
//!
//! `flags` defines the commands, `commands` implements them, `output` prints tables or JSON, `explain` the
//! tables of an explanation, and
//! `exit` maps errors to exit codes for scripts.

mod commands;
mod exit;
mod explain;
mod flags;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Shallotdrum::from_env_or_exit();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return exit::report(&error.into()),
    };
    match runtime.block_on(commands::run(flags)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit::report(&error),
    }
}
