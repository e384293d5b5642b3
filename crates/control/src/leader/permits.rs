//! Permits to load from the weight store, kept only in the leader's memory.
//!
//! Architecture Invariant: the store gets at most `loads_per_second` new loads and at most
//! `max_loads_in_flight` concurrent loads, even across elections. A new leader grants no permit
//! until each session that was live at its election has either ended or renewed its lease; the
//! renewal reports the permits that the session holds. This requires that an instance discards a
//! grant whose `permit_term` is below the term of the leader that last renewed its lease.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use shallotdrum_manifest::WeightStore;
use shallotdrum_types::{PermitId, SessionId, Term};

/// Time after which a permit expires. A load takes 0.25 s, or proportionally longer if too many are
/// in flight, so a permit expires only if its release was lost.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum delay until a waiting session retries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Minimum delay until a waiting session retries, which limits the load on the leader.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time after a missed retry at which a waiting session is removed from the queue. It covers a
/// lost message between instances of a region.
const WAITER_GRACE: Duration = Duration::from_millis(250);
/// Upper limit of the interval between grants, so that times do not overflow. The lowest rate that
/// a manifest may set, 0.001 loads/s, results in a far shorter interval.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 60 * 60);
/// Size of the range of permit ids that belongs to one term.
const PERMITS_PER_TERM: u64 = 1 << 32;

/// Term of the leader that granted a permit.
pub fn permit_term(permit: PermitId) -> Term {
    Term(permit.0 / PERMITS_PER_TERM)
}

/// Result of a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitReply {
    /// One load may start now; the permit expires after `PERMIT_LIFETIME`.
    Granted(PermitId),
    /// The session is queued and must retry after this delay to keep its position.
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

/// Outstanding permits and the queue of sessions that wait for one.
#[derive(Debug)]
pub struct PermitTable {
    /// Minimum time between two grants.
    interval: Duration,
    max_in_flight: usize,
    /// Earliest time of the next grant.
    next_grant: Instant,
    /// Id of the last granted permit.
    last_id: u64,
    outstanding: BTreeMap<PermitId, Permit>,
    /// Queue of sessions, first come, first served; each session occurs at most once.
    waiters: VecDeque<Waiter>,
    /// Sessions that have not renewed since the election, so their permits are not known.
    awaiting_renewal: BTreeSet<SessionId>,
}

impl PermitTable {
    /// Creates the table of a new leader, given the sessions that are live at its election.
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
            last_id: 0,
            outstanding: BTreeMap::new(),
            waiters: VecDeque::new(),
            awaiting_renewal: BTreeSet::new(),
        };
        table.set_limits(store);
        table.reset(now, term, sessions);
        table
    }

    /// Drops all permits and waits for a renewal of each live session, after an election.
    ///
    /// The first grant waits a full interval, as the previous leader may just have granted one.
    pub fn reset(
        &mut self,
        now: Instant,
        term: Term,
        sessions: impl IntoIterator<Item = SessionId>,
    ) {
        self.next_grant = now + self.interval;
        self.last_id = term.0.saturating_mul(PERMITS_PER_TERM);
        self.outstanding.clear();
        self.waiters.clear();
        self.awaiting_renewal = sessions.into_iter().collect();
    }

    /// Sets the limits from the current manifest.
    pub fn set_limits(&mut self, store: &WeightStore) {
        let seconds = 1.0 / store.loads_per_second.get();
        self.interval =
            Duration::try_from_secs_f64(seconds).unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL);
        self.max_in_flight = store.max_loads_in_flight as usize;
    }

    /// Records the permits that a session reports when it renews its lease.
    ///
    /// Only the first renewal after an election adds permits: a later one may have been sent
    /// before a release that arrived first.
    pub fn record_renewal(&mut self, session: SessionId, permits: &[PermitId], now: Instant) {
        if !self.awaiting_renewal.remove(&session) {
            return;
        }
        let expires = now + PERMIT_LIFETIME;
        for permit in permits {
            self.outstanding.entry(*permit).or_insert(Permit { session, expires });
        }
    }

    /// Removes a session that has ended, with its permits and its position in the queue.
    pub fn remove_session(&mut self, session: SessionId) {
        self.awaiting_renewal.remove(&session);
        self.outstanding.retain(|_, permit| permit.session != session);
        self.waiters.retain(|waiter| waiter.session != session);
    }

    /// Removes all sessions that are no longer live, with their permits.
    pub fn retain(&mut self, is_live: impl Fn(SessionId) -> bool) {
        self.awaiting_renewal.retain(|session| is_live(*session));
        self.outstanding.retain(|_, permit| is_live(permit.session));
        self.waiters.retain(|waiter| is_live(waiter.session));
    }

    /// Grants a permit, or queues the session.
    ///
    /// A session leaves the queue with each grant, so sessions take turns.
    pub fn request(&mut self, session: SessionId, now: Instant) -> PermitReply {
        self.outstanding.retain(|_, permit| permit.expires > now);
        self.waiters.retain(|waiter| waiter.session == session || waiter.expires > now);
        let position = match self.waiters.iter().position(|waiter| waiter.session == session) {
            Some(position) => position,
            None => {
                self.waiters.push_back(Waiter { session, expires: now });
                self.waiters.len() - 1
            }
        };
        if position == 0 && self.can_grant(now) {
            self.waiters.pop_front();
            return PermitReply::Granted(self.grant(session, now));
        }
        let wait = self.retry_delay(position, now);
        self.waiters[position].expires = now + wait + WAITER_GRACE;
        PermitReply::Wait(wait)
    }

    /// Releases a permit after its load has ended; has no effect on a permit of another session.
    pub fn release(&mut self, session: SessionId, permit: PermitId) {
        if self.outstanding.get(&permit).is_some_and(|permit| permit.session == session) {
            self.outstanding.remove(&permit);
        }
    }

    /// Permits that were not released, with the sessions that hold them; may include expired ones.
    pub fn outstanding(&self) -> impl Iterator<Item = (PermitId, SessionId)> {
        self.outstanding.iter().map(|(id, permit)| (*id, permit.session))
    }

    /// Number of outstanding permits that have not expired.
    pub fn in_flight(&self, now: Instant) -> usize {
        self.outstanding.values().filter(|permit| permit.expires > now).count()
    }

    fn can_grant(&self, now: Instant) -> bool {
        self.awaiting_renewal.is_empty()
            && self.outstanding.len() < self.max_in_flight
            && self.next_grant <= now
    }

    fn grant(&mut self, session: SessionId, now: Instant) -> PermitId {
        self.last_id += 1;
        let id = PermitId(self.last_id);
        self.next_grant = now + self.interval;
        self.outstanding.insert(id, Permit { session, expires: now + PERMIT_LIFETIME });
        id
    }

    fn retry_delay(&self, position: usize, now: Instant) -> Duration {
        let ahead = u32::try_from(position).unwrap_or(u32::MAX);
        let until_next = self.next_grant.saturating_duration_since(now);
        (until_next + self.interval.saturating_mul(ahead).min(MAX_RETRY_DELAY))
            .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }
}
