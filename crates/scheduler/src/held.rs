//! How much longer places are held than requests use them.
//!
//! A place is held from the grant until the owner has the report of its end. With calls of 33 ms and calls
//! queued all the time, services of 24 slots were granted 378 calls per second, so that each place was held
//! for some 63 ms. The module uses no network and no clock.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of the newest request in the means.
const WEIGHT: f64 = 0.05;
/// Largest ratio. What arrives beyond the slots of a service waits there, out of the order by urgency.
const MAX_RATIO: f64 = 2.0;
/// Shortest use of a place. Entries state whole milliseconds; a shorter time says nothing.
pub(crate) const MIN_USE: Duration = Duration::from_millis(1);
/// Age of the latest ended request from which the means no longer count. Whether reports are late depends on
/// the load of the moment, and the calls after a pause may arrive all at once.
const MAX_AGE: Duration = Duration::from_secs(5);

/// Mean time for which places are used, and for which they are held beyond that.
///
/// The ratio of the means is that of the held places to the used ones. The mean of the ratios of single
/// requests is not: many short calls would make up for a few long ones that use most of the slots.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeldPlaces {
    /// Absent before the first request.
    used_secs: Option<f64>,
    unused_secs: f64,
    latest: Option<Instant>,
}

impl HeldPlaces {
    pub(crate) fn record(&mut self, held: Duration, used: Duration, now: Instant) {
        self.latest = Some(now);
        let used_secs = used.max(MIN_USE).as_secs_f64();
        let mean = self.used_secs.get_or_insert(used_secs);
        *mean += WEIGHT * (used_secs - *mean);
        // One place that was held for long, such as that of a frozen entry, counts no more than others.
        let most = (MAX_RATIO - 1.0) * used_secs.min(*mean);
        let unused_secs = (held.as_secs_f64() - used_secs).clamp(0.0, most);
        self.unused_secs += WEIGHT * (unused_secs - self.unused_secs);
    }

    /// Forgets the means if no request has ended for [`MAX_AGE`].
    pub(crate) fn expire(&mut self, now: Instant) {
        if self.latest.is_some_and(|at| now > at + MAX_AGE) {
            *self = Self::default();
        }
    }

    /// Places that are held for each one that is used; from 1 to [`MAX_RATIO`].
    pub(crate) fn ratio(&self) -> f64 {
        self.used_secs.map_or(1.0, |used| 1.0 + self.unused_secs / used)
    }
}
