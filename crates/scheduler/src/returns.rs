//! Times at which callers of refused requests are told to return.
//!
//! Answers overloads in which many requests are refused at the same time: without this, all of them are
//! told about the same time and return together, most of them in vain. Each told time books the work of
//! the request in a virtual queue that drains at the rate of the capacity, so that the next one is told a
//! later time. The module uses no network and no clock.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Length of a slot of the virtual queue; a few calls of a group.
const SLOT_SECS: f64 = 0.05;
/// Slots of the virtual queue: 10 s, a third of the longest usual deadlines.
const SLOTS: usize = 200;
/// Part of the time that it has left for which a caller waits; a longer time is of no use.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;

/// Refused request whose caller is told when to return.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    /// Time after which the request would finish, without the others that return.
    pub(crate) room_secs: f64,
    /// Time for which the request occupies all targets.
    pub(crate) work_secs: f64,
    /// Time until the deadline.
    pub(crate) left_secs: f64,
}

/// Virtual queue of the requests whose callers were told to return.
#[derive(Clone, Debug)]
pub(crate) struct Returns {
    /// Beginning of the first slot.
    begin: Instant,
    /// Booked time of each slot, in seconds.
    booked: VecDeque<f64>,
}

impl Returns {
    pub(crate) fn new(now: Instant) -> Self {
        Self { begin: now, booked: VecDeque::from(vec![0.0; SLOTS]) }
    }

    /// Drops the slots that have passed.
    fn drain(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.begin).as_secs_f64() / SLOT_SECS;
        let passed = passed as usize;
        self.begin += Duration::from_secs_f64(SLOT_SECS).saturating_mul(passed as u32);
        self.booked.drain(..passed.min(SLOTS));
        self.booked.resize(SLOTS, 0.0);
    }

    /// Books the return of a caller, and returns in how many seconds it is to come; the time without the
    /// others if there is no room while it waits.
    pub(crate) fn book(&mut self, refused: &Refused, now: Instant) -> f64 {
        self.drain(now);
        let Refused { room_secs, work_secs, left_secs } = *refused;
        let latest = left_secs * MAX_WAIT_SHARE;
        let elapsed = now.saturating_duration_since(self.begin).as_secs_f64();
        let first = ((elapsed + room_secs.max(0.0)) / SLOT_SECS) as usize;
        let free = (first..SLOTS).find(|slot| self.booked[*slot] < SLOT_SECS);
        let at = free.map(|slot| {
            let at = slot as f64 * SLOT_SECS + self.booked[slot] - elapsed;
            (slot, at.max(room_secs))
        });
        match at {
            Some((slot, at)) if at <= latest => {
                self.fill(slot, work_secs);
                at
            }
            _ => room_secs,
        }
    }

    /// Adds work from a slot on.
    fn fill(&mut self, first: usize, work_secs: f64) {
        let mut left = work_secs;
        for booked in self.booked.iter_mut().skip(first) {
            let added = left.min(SLOT_SECS - *booked).max(0.0);
            *booked += added;
            left -= added;
            if left <= 0.0 {
                return;
            }
        }
    }
}
