//! Budget of repeated sends to a pool, shared by all entries.
//!
//! The deployment allows, over any window, a ratio of the pool's requests plus a fixed number of
//! repeats. Each entry uses its own requests and an equal part of the fixed number, so entries
//! need not talk about it; the sum over all entries stays within the allowance.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Allowance for repeated sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShare {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window beyond that, over all entries.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Part of the allowance that is used. Arrivals are counted where they arrive, up to a window
/// later than the send, and the number of entries changes while one restarts.
const USED_PART: f64 = 0.7;

/// Repeated sends of one entry to one pool.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn count_request(&mut self, now: Instant, share: &RetryShare) {
        self.requests.push_back(now);
        self.forget(now, share);
    }

    /// Takes one repeat, if the window still has one; `entries` share the fixed number.
    pub fn take(&mut self, now: Instant, share: &RetryShare, entries: usize) -> bool {
        self.forget(now, share);
        let fixed = share.extra / entries.max(1) as f64;
        let allowed = USED_PART * (share.ratio * self.requests.len() as f64 + fixed);
        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant, share: &RetryShare) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.duration_since(*at) > share.window) {
                times.pop_front();
            }
        }
    }
}
