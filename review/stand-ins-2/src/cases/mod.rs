//! The cases. `Ok(true)` says that the rule was broken, an error that the case could not run.

use crate::world::Record;

mod deadly;
mod odd_reports;
mod owner_killed;
mod stale_count;
mod streams;
mod versions;

pub type Outcome = Result<bool, String>;

/// Whether the case is run with its kill alone, to show that the kill doesn't suffice.
fn is_kill_alone() -> bool {
    std::env::var("TROUBLE").as_deref() == Ok("kill")
}

pub fn run(case: &str, has_trouble: bool, record: Record) -> Outcome {
    match case {
        "odd-reports" => odd_reports::run(has_trouble, record),
        "owner-killed" => owner_killed::run(has_trouble, record),
        "stale-count" => stale_count::run(has_trouble, record),
        "deadly" => deadly::run(has_trouble, record),
        "versions" => versions::run(has_trouble, record),
        other => Err(format!("no case {other}")),
    }
}
