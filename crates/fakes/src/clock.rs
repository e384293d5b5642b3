//! Wall-clock timestamps and incarnation numbers, comparable between processes.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{SystemTime, UNIX_EPOCH},
};

use shallotdrum_types::Incarnation;

/// Current time, in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    unix_us() / 1000
}

fn unix_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros().try_into().unwrap_or(u64::MAX)
}

/// Returns a number greater than those of all previous starts, including starts in other processes
/// on this machine, as long as the machine's clock is not set back.
pub(crate) fn next_incarnation() -> Incarnation {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let now = unix_us();
    let last = LAST.fetch_max(now, Ordering::Relaxed);
    if now > last {
        return Incarnation(now);
    }
    Incarnation(LAST.fetch_add(1, Ordering::Relaxed) + 1)
}
