//! How fast a replica applies its log, from which a leader tells how long a new entry would wait.

use std::time::Duration;

use tokio::time::Instant;

/// Number of entries over which the rate is averaged: a few slices of a busy log.
const AVERAGED_ENTRIES: f64 = 32.0;

/// Time that an entry takes from one to the next while there are entries to apply, with all that the
/// thread does in between.
#[derive(Debug, Default)]
pub(super) struct ApplyRate {
    per_entry: Duration,
    /// Start of the slice in progress; absent while there is nothing to apply.
    started: Option<Instant>,
}

impl ApplyRate {
    /// Records that there is something to apply.
    pub(super) fn start(&mut self) {
        self.started.get_or_insert_with(Instant::now);
    }

    /// Records that there is nothing to apply.
    pub(super) fn pause(&mut self) {
        self.started = None;
    }

    /// Records entries that were applied since `start` or the previous call.
    pub(super) fn record(&mut self, entries: usize) {
        let now = Instant::now();
        let Some(started) = self.started.replace(now) else { return };
        let entries = entries.max(1) as f64;
        let measured = now.duration_since(started).div_f64(entries);
        let weight = entries / (entries + AVERAGED_ENTRIES);
        self.per_entry = self.per_entry.mul_f64(1.0 - weight) + measured.mul_f64(weight);
    }

    /// Expected time to apply a number of entries.
    pub(super) fn time_for(&self, entries: u64) -> Duration {
        Duration::try_from_secs_f64(self.per_entry.as_secs_f64() * entries as f64)
            .unwrap_or(Duration::MAX)
    }
}
