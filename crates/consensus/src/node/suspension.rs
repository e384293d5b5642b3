//! Notices that the machine was suspended.
//!
//! The lease of a leader is measured on `Instant`, which stands still meanwhile. The other replicas may have
//! elected another leader, whose commits this one does not know.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use shallotdrum_types::BootInstant;
use tokio::time::Instant;

/// Difference between the clocks that is not a suspension. Far below the tenth of `election_min` by which
/// the lease ends early.
const TOLERANCE: Duration = Duration::from_millis(10);

/// Number of attempts to read both clocks without being interrupted.
const MAX_READS: u32 = 5;

/// Compares a clock that goes on during a suspension with one that stands still.
pub(super) struct SuspensionWatch {
    start: std::time::Instant,
    boot_start: BootInstant,
    noticed: Mutex<Noticed>,
}

#[derive(Clone, Copy, Default)]
struct Noticed {
    /// Time for which the machine was suspended since the start.
    suspended_for: Duration,
    /// Time at which the last suspension was noticed.
    at: Option<Instant>,
}

impl SuspensionWatch {
    pub(super) fn new() -> Self {
        let (start, boot_start) = (std::time::Instant::now(), BootInstant::now());
        Self { start, boot_start, noticed: Mutex::default() }
    }

    /// Time at which the last suspension was noticed; before it, `Instant` tells nothing about now.
    pub(super) fn last_noticed(&self) -> Option<Instant> {
        self.record(self.suspended_for(), Instant::now())
    }

    fn record(&self, suspended_for: Duration, now: Instant) -> Option<Instant> {
        let mut noticed = self.noticed.lock().unwrap_or_else(PoisonError::into_inner);
        if suspended_for.abs_diff(noticed.suspended_for) > TOLERANCE {
            *noticed = Noticed { suspended_for, at: Some(now) };
        }
        noticed.at
    }

    /// Difference between the clocks. A pause between the two reads would look like a suspension.
    fn suspended_for(&self) -> Duration {
        let mut difference = Duration::ZERO;
        for _ in 0..MAX_READS {
            let before = self.start.elapsed();
            let boot = self.boot_start.elapsed();
            difference = boot.saturating_sub(before);
            if self.start.elapsed() - before < TOLERANCE / 2 {
                break;
            }
        }
        difference
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a lease that outlives a suspension, and against one that is lost without any.
    #[test]
    fn last_noticed_after_suspension() {
        let watch = SuspensionWatch::new();
        assert_eq!(watch.last_noticed(), None);
        let now = Instant::now();
        assert_eq!(watch.record(Duration::from_millis(5), now), None);
        assert_eq!(watch.record(Duration::from_secs(4), now), Some(now));
        let later = now + Duration::from_secs(1);
        assert_eq!(watch.record(Duration::from_millis(4_005), later), Some(now));
        assert_eq!(watch.record(Duration::from_secs(8), later), Some(later));
    }
}
