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
    let measured = measure(&mut report).await;
    // What was measured before a failure is written as well.
    if let Some(path) = json {
        report.write_json(path)?;
    }
    measured
}

async fn measure(report: &mut Report) -> anyhow::Result<()> {
    state::measure(report).context("control state")?;
    scheduler::measure(report).context("scheduler")?;
    messages::measure(report).await.context("messages")?;
    instances::measure(report).await.context("instances")
}
