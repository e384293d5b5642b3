//! Reservations of units for requests that wait for a place in another group.
//!
//! The owner of the share does not learn of the grant, so the entry confirms the reservation when the
//! request has its place, or returns it. Units that are neither confirmed nor returned count as used at
//! the time limit, as a lost confirmation may stand for a request that ran.
//!
//! A late confirmation never admits more: until then the units are in the level and reserved, so that they
//! are given to no other request and the level does not rise above the burst with them.

use std::{
    collections::{BTreeSet, HashMap},
    time::Instant,
};

use shallotdrum_types::{CustomerName, RequestId, ReservationId, SessionId};

use crate::{AllotmentReply, AppliedAllotments, Charge, GroupShares, Lack};

/// Number of reservations of a group that are neither confirmed nor returned. Each takes some hundred bytes;
/// requests of zero units would be bounded by nothing else.
const MAX_RESERVATIONS: usize = 8_192;

/// Time until there is room that is stated while there are too many reservations, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

/// Identifies a reservation: the session of its entry and a number that is unique within it.
pub type ReservationKey = (SessionId, ReservationId);

/// Units that are reserved for a request of another group.
#[derive(Clone, Debug, PartialEq)]
pub struct Reserved {
    /// Request that waits for a place.
    pub request: RequestId,
    /// Reserved units.
    pub charge: Charge,
    /// When they count as used.
    pub until: Instant,
}

/// Reservations by their key, and in the order of their time limits.
///
/// Owners look for those that have expired at each change of the control state. The order makes this cost as
/// much as there are, in place of as much as there are reservations.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservations {
    known: HashMap<ReservationKey, Reserved>,
    by_limit: BTreeSet<(Instant, ReservationKey)>,
    examined: u64,
}

impl Reservations {
    fn insert(&mut self, key: ReservationKey, reserved: Reserved) {
        self.by_limit.insert((reserved.until, key));
        self.known.insert(key, reserved);
    }

    fn remove(&mut self, key: &ReservationKey) -> Option<Reserved> {
        let reserved = self.known.remove(key)?;
        self.by_limit.remove(&(reserved.until, *key));
        Some(reserved)
    }

    /// Takes the first reservation whose time limit has passed.
    fn pop_expired(&mut self, now: Instant) -> Option<Reserved> {
        self.examined += 1;
        let (until, key) = *self.by_limit.first()?;
        if now < until {
            return None;
        }
        self.remove(&key)
    }

    /// Drops the reservations of customers that are not kept.
    pub(crate) fn retain_customers(&mut self, is_kept: impl Fn(&CustomerName) -> bool) {
        self.examined += self.known.len() as u64;
        let dropped = self.known.extract_if(|_, reserved| !is_kept(&reserved.charge.customer));
        for (key, reserved) in dropped {
            self.by_limit.remove(&(reserved.until, key));
        }
    }
}

/// End of a reservation.
#[derive(Clone, Debug, PartialEq)]
pub struct Settled {
    /// Units that were reserved.
    pub charge: Charge,
    /// Units that are left in the bucket.
    pub level: f64,
}

impl GroupShares {
    /// Reserves units until a time limit, if there is room for them.
    pub fn hold(
        &mut self,
        applied: &AppliedAllotments,
        key: ReservationKey,
        reserved: Reserved,
        now: Instant,
    ) -> AllotmentReply {
        if self.reservations.known.len() >= MAX_RESERVATIONS {
            return AllotmentReply {
                granted: false,
                level: 0.0,
                room_after_ms: Some(FULL_RETRY_MS),
                lack: Lack::Queued,
                is_reserved: false,
            };
        }
        // A message that arrives twice reserves once.
        if let Some(known) = self.reservations.known.get(&key) {
            let level = self.buckets.get_mut(&known.charge.customer).map(|b| b.level(now));
            let granted = AllotmentReply::granted_at(level.unwrap_or_default());
            return AllotmentReply { is_reserved: true, ..granted };
        }
        let reply = self.reserve(applied, &reserved.charge, now);
        // A customer without an allotment has no bucket.
        let is_reserved = reply.granted && self.buckets.contains_key(&reserved.charge.customer);
        if is_reserved {
            self.reservations.insert(key, reserved);
        }
        AllotmentReply { is_reserved, ..reply }
    }

    /// Takes reserved units, or releases them; absent if there is no such reservation any more.
    pub fn settle(&mut self, key: &ReservationKey, is_used: bool, now: Instant) -> Option<Settled> {
        // One whose time limit has passed counts as used.
        self.reservations.known.get(key).filter(|reserved| now < reserved.until)?;
        let Reserved { charge, .. } = self.reservations.remove(key)?;
        let bucket = self.buckets.get_mut(&charge.customer)?;
        match is_used {
            true => bucket.take_reserved(charge.units, now),
            false => bucket.release(charge.units),
        }
        let level = bucket.level(now);
        Some(Settled { charge, level })
    }

    /// Counts the units of reservations as used whose time limit has passed; returns them.
    pub fn expire_reservations(&mut self, now: Instant) -> Vec<Reserved> {
        let expired: Vec<Reserved> =
            std::iter::from_fn(|| self.reservations.pop_expired(now)).collect();
        for Reserved { charge, .. } in &expired {
            self.take_reserved(charge, now);
        }
        expired
    }

    /// Number of reservations that were looked at to find those to end; the cost of it.
    pub fn examined_reservations(&self) -> u64 {
        self.reservations.examined
    }
}
