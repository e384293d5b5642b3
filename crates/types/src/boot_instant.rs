//! Clock that goes on while the machine is suspended.
//!
//! `std::time::Instant` stands still meanwhile, so a lease or a confirmation whose age it measures would
//! outlive its time. The time of day may be stepped.

use std::{ops::Add, time::Duration};

use nix::time::{ClockId, clock_gettime};

#[cfg(any(target_os = "linux", target_os = "android"))]
const CLOCK: ClockId = ClockId::CLOCK_BOOTTIME;
/// Goes on during a suspension on these systems.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const CLOCK: ClockId = ClockId::CLOCK_MONOTONIC;

/// Time since the start of the machine, including the time for which it was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Current time.
    pub fn now() -> Self {
        // Fails only for a clock that the kernel does not have; Linux has this one since 2.6.39.
        Self(clock_gettime(CLOCK).expect("the kernel has this clock").into())
    }

    /// Time that has passed since then.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0 + time)
    }
}
