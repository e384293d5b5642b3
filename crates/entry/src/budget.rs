//! Retry budget: bounds the load that retries add while the system is failing.

use std::{
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// Retries credited per request; limits retries to 10% more load in the long run.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries credited per second, so that an entry with little traffic can retry at all.
const RETRIES_PER_SECOND: f64 = 2.0;
/// Maximum balance in retries. At the design size an entry has about 64 requests in progress, and
/// the crash of one owner can interrupt all of them at once.
const MAX_BALANCE: f64 = 100.0;

/// Token bucket for retries, shared by all requests of an entry.
pub(crate) struct RetryBudget(Mutex<Bucket>);

struct Bucket {
    balance: f64,
    updated_at: Instant,
    is_exhausted: bool,
}

/// Less than one retry is left in the budget.
pub(crate) struct BudgetExhausted {
    /// Whether the previous withdrawal succeeded; lets only the transition be logged.
    pub(crate) is_first: bool,
}

impl RetryBudget {
    pub(crate) fn new(now: Instant) -> Self {
        Self(Mutex::new(Bucket { balance: MAX_BALANCE, updated_at: now, is_exhausted: false }))
    }

    /// Credits one new request.
    pub(crate) fn deposit(&self) {
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        bucket.balance = (bucket.balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Credits the elapsed time, then takes one retry.
    pub(crate) fn withdraw(&self, now: Instant) -> Result<(), BudgetExhausted> {
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = now.saturating_duration_since(bucket.updated_at).as_secs_f64();
        bucket.updated_at = now;
        bucket.balance = (bucket.balance + elapsed * RETRIES_PER_SECOND).min(MAX_BALANCE);
        if bucket.balance < 1.0 {
            let is_first = !std::mem::replace(&mut bucket.is_exhausted, true);
            return Err(BudgetExhausted { is_first });
        }
        bucket.is_exhausted = false;
        bucket.balance -= 1.0;
        Ok(())
    }
}
