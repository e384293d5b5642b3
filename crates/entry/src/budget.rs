//! Budget that bounds how much retries can multiply the load of a failing system.

use std::{
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// Retries earned by each request: at most 10% more load in the long run.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Retries earned per second, so that an entry with few requests can retry at all.
const EARNED_PER_SECOND: f64 = 2.0;
/// Most retries that are saved up. At the design size an entry has about 64 requests in progress,
/// all of which an owner's crash can interrupt at once.
const MAX_SAVED: f64 = 100.0;

/// Token bucket of retries, shared by all requests of an entry.
pub(crate) struct RetryBudget(Mutex<Bucket>);

struct Bucket {
    saved: f64,
    at: Instant,
    is_empty: bool,
}

/// The budget has no retry left.
pub(crate) struct BudgetEmpty {
    /// Whether the last request for a retry was granted.
    pub(crate) is_first: bool,
}

impl RetryBudget {
    pub(crate) fn new(now: Instant) -> Self {
        Self(Mutex::new(Bucket { saved: MAX_SAVED, at: now, is_empty: false }))
    }

    /// Credits a new request.
    pub(crate) fn earn(&self) {
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        bucket.saved = (bucket.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Takes one retry.
    pub(crate) fn spend(&self, now: Instant) -> Result<(), BudgetEmpty> {
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = now.saturating_duration_since(bucket.at).as_secs_f64();
        bucket.at = now;
        bucket.saved = (bucket.saved + elapsed * EARNED_PER_SECOND).min(MAX_SAVED);
        if bucket.saved < 1.0 {
            let is_first = !std::mem::replace(&mut bucket.is_empty, true);
            return Err(BudgetEmpty { is_first });
        }
        bucket.is_empty = false;
        bucket.saved -= 1.0;
        Ok(())
    }
}
