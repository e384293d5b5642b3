//! Rules for retrying a failed request at another target.
//!
//! Each retry adds load to a pool whose targets may be failing, so a permitted retry is made only
//! while the shared retry budget lasts and enough time is left before the deadline.

use std::time::Duration;

use shallotdrum_routes::RetryPolicy;
use shallotdrum_types::TargetId;

/// How a send to a target failed to produce a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of the request can have reached the target.
    NotSent,
    /// The target refused the request without running it.
    NotRun,
    /// The target ran the request and responded with an error.
    Failed,
    /// The request was sent, but no complete response arrived.
    Unknown,
}

impl SendFailure {
    /// Whether the target may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Failed | Self::Unknown)
    }

    /// Whether the request may have reached the target.
    pub fn reached_target(self) -> bool {
        self != Self::NotSent
    }
}

/// Progress of a request after a failed send.
#[derive(Clone, Copy, Debug)]
pub struct RequestProgress {
    /// How the latest send failed.
    pub failure: SendFailure,
    /// Number of targets that may have run the request, including the latest.
    pub possible_runs: u32,
    /// Number of sends, including the latest.
    pub sends: u32,
    /// Time left until the deadline.
    pub left: Duration,
}

/// Decision after a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send to another target.
    Resend {
        /// Whether the retry counts against the budget, because the request may have reached a
        /// target.
        uses_budget: bool,
    },
    /// Return the failure to the caller.
    GiveUp,
}

/// Maximum number of sends of one request. Limits how far a request that makes targets fail spreads
/// over the pool.
const MAX_SENDS: u32 = 4;

/// Minimum time left for a retry; with less, no response can arrive before the caller gives up.
const MIN_LEFT: Duration = Duration::from_millis(30);

/// Delay before a request is sent again if a target refused its connection twice.
///
/// The owner granted the same target again because it knows no other one. It learns of a crash within
/// about this time, and the next place is then one that a new process of a target can serve.
const REPEATED_TARGET_DELAY: Duration = Duration::from_millis(100);

/// Returns the delay before a request is sent again. `failed` are the targets that failed or refused
/// it, the latest one last.
pub fn resend_delay(failure: SendFailure, failed: &[TargetId]) -> Duration {
    match failed.split_last() {
        Some((latest, earlier)) if !failure.reached_target() && earlier.contains(latest) => {
            REPEATED_TARGET_DELAY
        }
        _ => Duration::ZERO,
    }
}

/// Decides whether a request is sent again after a failed send. At most `max_targets` targets may
/// run it.
pub fn decide_retry(
    repeat: RetryPolicy,
    max_targets: u32,
    progress: RequestProgress,
) -> RetryDecision {
    let may_run_again = match progress.failure.may_have_run() {
        true => repeat.allows_resend() && progress.possible_runs < max_targets,
        // The latest target did not run the request, but an earlier one may have.
        false => {
            progress.possible_runs == 0
                || (repeat.allows_resend() && progress.possible_runs < max_targets)
        }
    };
    if !may_run_again || progress.sends >= MAX_SENDS || progress.left < MIN_LEFT {
        return RetryDecision::GiveUp;
    }
    RetryDecision::Resend {
        uses_budget: progress.failure.reached_target() || progress.possible_runs > 0,
    }
}
