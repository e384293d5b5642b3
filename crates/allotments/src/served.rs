//! Shortest times in which requests were served.
//!
//! A request that waits for an owner of a share is refused once it has less time left than the shortest
//! one in which a request of its kind was served. It could not be served any more, and its caller learns
//! so before its deadline.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use shallotdrum_types::PoolId;

/// Time for which a shortest time is kept at least, and half of the time for which it is kept at most.
/// Targets that became slower are noticed after this time.
const PERIOD: Duration = Duration::from_secs(60);

/// Kind of a request, by which the time that it takes is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ServedKind {
    pool: PoolId,
    /// Number of binary digits of the largest number of generated tokens; 0 for a plain call.
    size: u32,
}

impl ServedKind {
    /// Kind of a request for a pool that generates at most this many tokens.
    pub fn new(pool: PoolId, max_tokens: Option<u64>) -> Self {
        Self { pool, size: max_tokens.map_or(0, |tokens| u64::BITS - tokens.leading_zeros()) }
    }
}

/// Shortest times from the send to the end of the response, for each kind.
#[derive(Debug, Default)]
pub struct ServedTimes(HashMap<ServedKind, Shortest>);

#[derive(Clone, Copy, Debug)]
struct Shortest {
    /// Begin of the current period.
    began: Instant,
    current: Duration,
    /// Shortest time of the period before.
    previous: Option<Duration>,
}

impl ServedTimes {
    /// Records that a request was served.
    pub fn record(&mut self, kind: &ServedKind, took: Duration, now: Instant) {
        let first = Shortest { began: now, current: took, previous: None };
        match self.0.get_mut(kind) {
            Some(known) if age(known.began, now) < PERIOD => {
                known.current = known.current.min(took);
            }
            Some(known) => {
                let previous = Some(known.current).filter(|_| age(known.began, now) < 2 * PERIOD);
                *known = Shortest { previous, ..first };
            }
            None => {
                self.0.insert(kind.clone(), first);
            }
        }
    }

    /// Shortest time in which a request of this kind was served lately; zero if none was.
    pub fn shortest(&self, kind: &ServedKind, now: Instant) -> Duration {
        let known = self.0.get(kind).filter(|known| age(known.began, now) < 2 * PERIOD);
        known.map_or(Duration::ZERO, |known| {
            known.previous.map_or(known.current, |previous| previous.min(known.current))
        })
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, known| age(known.began, now) < 2 * PERIOD);
    }
}

/// How a request goes on that cannot be charged yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitStep {
    /// It is charged again after this time.
    Wait(Duration),
    /// It is refused: too little time would be left after the wait.
    Refuse,
}

/// Decides whether a request waits that has `left` until its deadline and takes `shortest` at least.
///
/// It can't be charged before `needed` has passed, and is to be charged after `wanted`. It waits less if
/// it would have too little time left then.
pub fn plan_wait(
    left: Duration,
    shortest: Duration,
    needed: Duration,
    wanted: Duration,
) -> WaitStep {
    match left.saturating_sub(shortest) {
        spare if spare.is_zero() || spare < needed => WaitStep::Refuse,
        spare => WaitStep::Wait(wanted.min(spare)),
    }
}

fn age(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
