//! Permits to load from the weight store, in the leader's memory.
//!
//! Architecture Invariant: the store sees at most `loads_per_second` starts and
//! `max_loads_in_flight` loads, also across an election. A new leader grants nothing until each
//! session that was live at its election has renewed, which hands over its permits, or has ended.
//! For this, an instance drops a grant whose `permit_term` is below the term of the leader that it
//! renewed with last.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use shallotdrum_manifest::WeightStore;
use shallotdrum_types::{PermitId, SessionId, Term};

/// Time after which a permit is void. A load takes 0.25 s, and proportionally longer if too many
/// are in flight; the rest is for lost releases.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(10);
/// Longest time until a waiter asks again.
const MAX_RETRY: Duration = Duration::from_millis(500);
/// Shortest time until a waiter asks again, so that waiters do not occupy the leader.
const MIN_RETRY: Duration = Duration::from_millis(10);
/// Time beyond its retry time after which a waiter that has not asked again loses its place; the
/// grace covers a lost message between instances of a region.
const WAITER_GRACE: Duration = Duration::from_millis(250);
/// Interval for a rate far below the manifest's lower bound, so that times do not overflow.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 60 * 60);
/// Permits that one leader numbers before it would reach the next term's numbers.
const PERMITS_PER_TERM: u64 = 1 << 32;

/// Term of the leader that granted a permit.
pub fn permit_term(permit: PermitId) -> Term {
    Term(permit.0 / PERMITS_PER_TERM)
}

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitAnswer {
    /// One load may start now; the permit is void after `PERMIT_LIFETIME`.
    Granted(PermitId),
    /// Ask again after this time to keep the place among the waiters.
    Wait(Duration),
}

#[derive(Debug)]
struct Permit {
    session: SessionId,
    expires: Instant,
}

#[derive(Debug)]
struct Waiter {
    session: SessionId,
    expires: Instant,
}

/// Outstanding permits and the sessions that wait for one.
#[derive(Debug)]
pub struct PermitTable {
    interval: Duration,
    max_in_flight: usize,
    next_grant: Instant,
    next_id: u64,
    outstanding: BTreeMap<PermitId, Permit>,
    /// Sessions in the order in which they began to wait; each once.
    waiters: VecDeque<Waiter>,
    /// Sessions whose permits are not known yet.
    unheard: BTreeSet<SessionId>,
}

impl PermitTable {
    /// Table of a new leader: permits are granted once all live sessions were heard.
    pub fn new(
        now: Instant,
        term: Term,
        store: &WeightStore,
        sessions: impl IntoIterator<Item = SessionId>,
    ) -> Self {
        let mut table = Self {
            interval: Duration::ZERO,
            max_in_flight: 0,
            next_grant: now,
            next_id: 0,
            outstanding: BTreeMap::new(),
            waiters: VecDeque::new(),
            unheard: BTreeSet::new(),
        };
        table.set_limits(store);
        table.reset(now, term, sessions);
        table
    }

    /// Forgets all permits and waits for the live sessions; for a new leader.
    ///
    /// The first grant waits a full interval, as the earlier leader may just have granted one.
    pub fn reset(
        &mut self,
        now: Instant,
        term: Term,
        sessions: impl IntoIterator<Item = SessionId>,
    ) {
        self.next_grant = now + self.interval;
        self.next_id = term.0.saturating_mul(PERMITS_PER_TERM);
        self.outstanding.clear();
        self.waiters.clear();
        self.unheard = sessions.into_iter().collect();
    }

    /// Adopts the limits of the manifest in force.
    pub fn set_limits(&mut self, store: &WeightStore) {
        let seconds = 1.0 / store.loads_per_second.get();
        self.interval =
            Duration::try_from_secs_f64(seconds).unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL);
        self.max_in_flight = store.max_loads_in_flight as usize;
    }

    /// Takes over the permits that a session reports with a renewal.
    ///
    /// Only the first renewal after an election adds permits: later ones may be older than a
    /// release that they crossed.
    pub fn renewed(&mut self, session: SessionId, permits: &[PermitId], now: Instant) {
        if !self.unheard.remove(&session) {
            return;
        }
        let expires = now + PERMIT_LIFETIME;
        for permit in permits {
            self.outstanding.entry(*permit).or_insert(Permit { session, expires });
        }
    }

    /// Frees the permits and the place of a session that has ended.
    pub fn ended(&mut self, session: SessionId) {
        self.unheard.remove(&session);
        self.outstanding.retain(|_, permit| permit.session != session);
        self.waiters.retain(|waiter| waiter.session != session);
    }

    /// Drops what belongs to sessions that are not live any more.
    pub fn retain(&mut self, is_live: impl Fn(SessionId) -> bool) {
        self.unheard.retain(|session| is_live(*session));
        self.outstanding.retain(|_, permit| is_live(permit.session));
        self.waiters.retain(|waiter| is_live(waiter.session));
    }

    /// Grants a permit, or puts the session in the queue. Sessions take turns.
    pub fn request(&mut self, session: SessionId, now: Instant) -> PermitAnswer {
        self.outstanding.retain(|_, permit| permit.expires > now);
        self.waiters.retain(|waiter| waiter.session == session || waiter.expires > now);
        let place = match self.waiters.iter().position(|waiter| waiter.session == session) {
            Some(place) => place,
            None => {
                self.waiters.push_back(Waiter { session, expires: now });
                self.waiters.len() - 1
            }
        };
        if place == 0 && self.can_grant(now) {
            self.waiters.pop_front();
            return PermitAnswer::Granted(self.grant(session, now));
        }
        let wait = self.wait(place, now);
        self.waiters[place].expires = now + wait + WAITER_GRACE;
        PermitAnswer::Wait(wait)
    }

    /// Returns a permit whose load has ended; one of another session stays.
    pub fn release(&mut self, session: SessionId, permit: PermitId) {
        if self.outstanding.get(&permit).is_some_and(|permit| permit.session == session) {
            self.outstanding.remove(&permit);
        }
    }

    /// Outstanding permits with the sessions that hold them.
    pub fn outstanding(&self) -> impl Iterator<Item = (PermitId, SessionId)> {
        self.outstanding.iter().map(|(id, permit)| (*id, permit.session))
    }

    /// Number of outstanding permits.
    pub fn in_flight(&self, now: Instant) -> usize {
        self.outstanding.values().filter(|permit| permit.expires > now).count()
    }

    fn can_grant(&self, now: Instant) -> bool {
        self.unheard.is_empty()
            && self.outstanding.len() < self.max_in_flight
            && self.next_grant <= now
    }

    fn grant(&mut self, session: SessionId, now: Instant) -> PermitId {
        self.next_id += 1;
        let id = PermitId(self.next_id);
        self.next_grant = now + self.interval;
        self.outstanding.insert(id, Permit { session, expires: now + PERMIT_LIFETIME });
        id
    }

    fn wait(&self, place: usize, now: Instant) -> Duration {
        let ahead = u32::try_from(place).unwrap_or(u32::MAX);
        let until_next = self.next_grant.saturating_duration_since(now);
        (until_next + self.interval.saturating_mul(ahead).min(MAX_RETRY))
            .clamp(MIN_RETRY, MAX_RETRY)
    }
}
