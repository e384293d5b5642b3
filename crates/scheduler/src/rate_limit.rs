//! Limit on the requests that a target takes from all instances together.
//!
//! The owner grants every place at the target, so a single token bucket bounds the sum.

use shallotdrum_types::RequestRate;
use tokio::time::Instant;

/// Number of requests that may be admitted at once after a pause. Small, as the target asked for
/// relief, and admissions reach it with some jitter.
const MIN_BURST: f64 = 2.0;

/// Time for which unused admissions are kept, if they are more than `MIN_BURST`. Some ticks of the
/// scheduler, at which queued requests are admitted.
const BURST_SECS: f64 = 0.1;

/// Lower bound on the applied rate: only a response shows that a target no longer names a limit,
/// also one of 0.
const MIN_RATE: f64 = 0.25;

/// Token bucket of one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimit {
    rate: f64,
    tokens: f64,
    updated_at: Instant,
}

impl RateLimit {
    /// Creates an empty bucket, as another owner may just have admitted requests.
    pub(crate) fn new(rate: RequestRate, now: Instant) -> Self {
        Self { rate: rate.get().max(MIN_RATE), tokens: 0.0, updated_at: now }
    }

    /// Changes the rate from now on.
    pub(crate) fn set_rate(&mut self, rate: RequestRate, now: Instant) {
        *self = Self { tokens: self.tokens(now), ..Self::new(rate, now) };
    }

    /// Admissions per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Number of requests that may be admitted now.
    pub(crate) fn tokens(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (self.tokens + elapsed * self.rate).min(MIN_BURST.max(BURST_SECS * self.rate))
    }

    /// Counts an admission.
    pub(crate) fn take(&mut self, now: Instant) {
        self.tokens = self.tokens(now) - 1.0;
        self.updated_at = now;
    }
}
