//! Retry budget of a pool, shared by all entries.
//!
//! In any window, all entries together may make a fixed number of retries plus a ratio of the
//! pool's requests. Each entry applies the ratio to its own requests and uses an equal part of the
//! fixed number, so the total stays within the allowance without coordination between entries.
//!
//! Architecture Invariant: a part of the fixed number is used by one process within a window. One that
//! may have replaced another process has none at first, because its predecessor may have used it.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Allowance for retries to a pool, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window, over all entries.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Fraction of the allowance that is used. The margin is needed because requests are counted on
/// arrival, up to a window after they were sent, and the number of entries changes while one
/// restarts.
const SAFETY_FACTOR: f64 = 0.7;

/// Number of windows for which an entry that is no longer counted keeps its share. Sessions that end
/// with their control leader are open again within seconds, and their entries make retries meanwhile.
const SHARE_WINDOWS: u32 = 2;

/// Number of entries that share the allowances: the highest of recent counts.
#[derive(Debug)]
pub struct EntryCount {
    /// Start of this process if it may have replaced another one.
    restarted: Option<Instant>,
    /// Counts that no later one has reached, oldest and highest first.
    counts: VecDeque<(Instant, usize)>,
}

impl EntryCount {
    /// Creates the count of a process that started at this time and may have replaced another one;
    /// `None` at the first start of the deployment.
    pub fn new(restarted: Option<Instant>) -> Self {
        Self { restarted, counts: VecDeque::new() }
    }

    /// Adds the current count. An entry without a session must not add any: the others do not count it.
    pub fn record(&mut self, now: Instant, count: usize) {
        while self.counts.back().is_some_and(|(_, last)| *last <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
    }

    /// Returns the highest recent count; `None` if this process has no part of the fixed number, in the
    /// first window after a restart and when it was not counted recently.
    pub fn sharing(&mut self, now: Instant, allowance: &RetryAllowance) -> Option<usize> {
        let lifetime = allowance.window * SHARE_WINDOWS;
        while self.counts.front().is_some_and(|(at, _)| now.duration_since(*at) > lifetime) {
            self.counts.pop_front();
        }
        let is_new = |at: Instant| now.duration_since(at) <= allowance.window;
        let is_new = self.restarted.is_some_and(is_new);
        self.counts.front().filter(|_| !is_new).map(|(_, count)| *count)
    }
}

/// Requests and retries of one entry to one pool within the window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Counts a caller's request, which increases the budget.
    pub fn count_request(&mut self, now: Instant, allowance: &RetryAllowance) {
        self.requests.push_back(now);
        self.drop_expired(now, allowance);
    }

    /// Consumes one retry if the budget allows it. The fixed number is divided by `sharing`; without
    /// it, only the ratio counts.
    pub fn try_consume(
        &mut self,
        now: Instant,
        allowance: &RetryAllowance,
        sharing: Option<usize>,
    ) -> bool {
        self.drop_expired(now, allowance);
        let fixed = sharing.map_or(0.0, |entries| allowance.extra / entries.max(1) as f64);
        let allowed = SAFETY_FACTOR * (allowance.ratio * self.requests.len() as f64 + fixed);
        if (self.retries.len() + 1) as f64 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn drop_expired(&mut self, now: Instant, allowance: &RetryAllowance) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.duration_since(*at) > allowance.window) {
                times.pop_front();
            }
        }
    }
}
