//! Slopes of state, messages and processor time, for the capacity page.
//!
//! General first: `report` fits and prints the lines, `state` measures control states of growing
//! size, `messages` single messages and calls, `scheduler` admissions, `instances` processes.
//! `usage` reads what the kernel accounts to a process.
//!
//! Architecture Invariant: every process and proxy that is started ends with its handle.

mod instances;
mod messages;
mod report;
mod scheduler;
mod state;
mod usage;

use std::path::Path;

use anyhow::Context;

use report::Report;

/// Seed of the proxies and of the scheduler.
const SEED: u64 = 1;

/// Measures everything, or only one stored state, and prints the results.
pub(crate) async fn run(json: Option<&Path>, probe: Option<&Path>) -> anyhow::Result<()> {
    if let Some(folder) = probe {
        return state::probe(folder);
    }
    let mut report = Report::new(SEED);
    state::measure(&mut report).context("control state")?;
    scheduler::measure(&mut report).context("scheduler")?;
    messages::measure(&mut report).await.context("messages")?;
    instances::measure(&mut report).await.context("instances")?;
    match json {
        Some(path) => report.write_json(path),
        None => Ok(()),
    }
}
