//! Exponentially decaying counters and averages.

use std::time::Duration;

use tokio::time::Instant;

/// Counter whose value halves with each half-life.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingCounter {
    value: f64,
    at: Instant,
    half_life: Duration,
}

impl DecayingCounter {
    pub(crate) fn new(half_life: Duration, now: Instant) -> Self {
        Self { value: 0.0, at: now, half_life }
    }

    pub(crate) fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.get(now) + amount;
        self.at = self.at.max(now);
    }

    pub(crate) fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-age / self.half_life.as_secs_f64()).exp2()
    }
}

/// Exponentially weighted moving average; `None` before the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ewma {
    value: Option<f64>,
}

impl Ewma {
    /// Weight of a new sample; about the last ten samples count.
    const SMOOTHING_FACTOR: f64 = 0.1;

    pub(crate) fn add(&mut self, sample: f64) {
        self.value = Some(match self.value {
            Some(value) => value + Self::SMOOTHING_FACTOR * (sample - value),
            None => sample,
        });
    }

    pub(crate) fn get(&self) -> Option<f64> {
        self.value
    }
}
