//! Growth of state, messages and CPU time with the size of a deployment, for capacity planning.
//!
//! `state` measures control states of growing size, `messages` single messages and calls,
//! `scheduler` admissions and `instances` whole processes. `report` fits lines to the measurements
//! and prints them, and `usage` reads the resource usage of a process from the kernel.
//!
//! Architecture Invariant: every started process and proxy ends when its handle is dropped.

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

/// Runs all measurements, or measures only the control state stored in `probe`, and prints results.
pub(crate) async fn run(json: Option<&Path>, probe: Option<&Path>) -> anyhow::Result<()> {
    if let Some(folder) = probe {
        return state::probe(folder);
    }
    let mut report = Report::new(SEED);
    let result = measure_all(&mut report).await;
    // If a measurement fails, write the earlier ones anyway.
    if let Some(path) = json {
        report.write_json(path)?;
    }
    result
}

async fn measure_all(report: &mut Report) -> anyhow::Result<()> {
    state::measure(report).context("control state")?;
    scheduler::measure(report).context("scheduler")?;
    messages::measure(report).await.context("messages")?;
    instances::measure(report).await.context("instances")
}
