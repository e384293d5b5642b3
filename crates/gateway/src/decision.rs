//! Whether a request that failed at a target goes to another one.
//!
//! Answers the load of failing targets: a repeat that may be made costs the pool one more
//! request, so it is made only while the shared budget lasts and the caller still waits.

use std::time::Duration;

use shallotdrum_routes::Repeat;

/// How a send to a target ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// No byte of the request can have reached the target.
    NotSent,
    /// The target refused the request without running it.
    NotRun,
    /// The target failed the request after running it.
    Failed,
    /// The request was sent, and its answer did not come whole.
    Unknown,
}

impl Attempt {
    /// Whether the target may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Failed | Self::Unknown)
    }

    /// Whether the target has been reached.
    pub fn has_arrived(self) -> bool {
        self != Self::NotSent
    }
}

/// What has happened to a request so far.
#[derive(Clone, Copy, Debug)]
pub struct After {
    /// The latest attempt.
    pub attempt: Attempt,
    /// Targets that may have run the request, the latest included.
    pub runs: u32,
    /// Sends, the latest included.
    pub sends: u32,
    /// Time that the caller still waits.
    pub left: Duration,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send to another target; `is_charged` if the budget must allow it.
    Resend {
        /// Whether another target has been reached before.
        is_charged: bool,
    },
    /// Tell the caller.
    GiveUp,
}

/// Sends of one request; more would spread a failure over the pool.
const MAX_SENDS: u32 = 4;

/// With less time left, another attempt can't be answered before the caller leaves.
const MIN_LEFT: Duration = Duration::from_millis(30);

/// Decides what to do after an attempt.
pub fn next_step(repeat: Repeat, max_targets: u32, after: After) -> Step {
    let may_run_again = match after.attempt.may_have_run() {
        true => repeat.allows_resend() && after.runs < max_targets,
        // The latest attempt did not run, but an earlier one may have.
        false => after.runs == 0 || (repeat.allows_resend() && after.runs < max_targets),
    };
    if !may_run_again || after.sends >= MAX_SENDS || after.left < MIN_LEFT {
        return Step::GiveUp;
    }
    Step::Resend { is_charged: after.attempt.has_arrived() || after.runs > 0 }
}
