//! Share of a customer's token bucket.

use std::time::{Duration, Instant};

use shallotdrum_routes::Allotment;

use crate::{Lack, shard_count};

/// Part of the burst by which a bucket may fall short and still be full; covers rounding.
const FULL_TOLERANCE: f64 = 1e-9;

/// Part of the burst that must be reserved before a lack of room is put down to queued requests. A
/// customer that exceeds its allotment also has some requests that wait for a place.
const QUEUED_SHARE: f64 = 0.5;

/// Longest time until there is room that is stated.
pub(crate) const MAX_ROOM_AFTER: Duration = Duration::from_secs(3600);

/// Limits of one share of an allotment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Units per second.
    pub rate: f64,
    /// Largest level.
    pub burst: f64,
}

impl Limits {
    /// Limits of one of the shards of an allotment in a deployment with this many groups.
    pub fn share(allotment: &Allotment, groups: usize) -> Self {
        let shards = shard_count(allotment, groups) as f64;
        Self { rate: allotment.rate / shards, burst: allotment.burst / shards }
    }

    /// Level from which a request of this many units is admitted.
    pub(crate) fn needed(&self, units: f64) -> f64 {
        units.min(self.burst * (1.0 - FULL_TOLERANCE))
    }
}

/// Longest time for which a lack of units is put down to an empty beginning; twice the window over
/// which allotments are judged.
const MAX_RECOVERY: Duration = Duration::from_secs(16);

/// Units with which a bucket begins after a takeover, as seconds of its rate and as part of its burst.
///
/// In a window of 8 s with one takeover, the two buckets give away at most these units beyond
/// `rate * 8 + burst`. A tenth of that sum is allowed, which is 0.8 s and 0.1; 0.25 s are used by
/// requests that are sent before their units are confirmed.
const TAKEOVER_SECS: f64 = 0.5;
const TAKEOVER_BURST: f64 = 0.08;

/// Token bucket; its level rises with time up to the burst.
#[derive(Clone, Debug)]
pub struct Bucket {
    limits: Limits,
    level: f64,
    /// Part of `level` that is kept for requests that wait for a place.
    reserved: f64,
    /// Time that `level` refers to.
    at: Instant,
    /// Until when a lack of units is put down to the empty beginning.
    recovers_until: Option<Instant>,
}

impl Bucket {
    /// Bucket of the first owner of a group.
    pub fn full(limits: Limits, now: Instant) -> Self {
        Self { limits, level: limits.burst, reserved: 0.0, at: now, recovers_until: None }
    }

    /// Bucket that was empty at `since`, when a previous owner may have given all units away.
    pub fn empty_since(limits: Limits, since: Instant) -> Self {
        let fill_time = Duration::try_from_secs_f64(limits.burst / limits.rate);
        // What is used while the bucket fills delays it by as much again.
        let recovery = fill_time.map_or(MAX_RECOVERY, |time| (time * 2).min(MAX_RECOVERY));
        Self {
            limits,
            level: 0.0,
            reserved: 0.0,
            at: since,
            recovers_until: Some(since + recovery),
        }
    }

    /// Bucket of an owner that took its group over at `since`, with the units that the bound leaves for
    /// a takeover if there is no other one within the window of the bound.
    pub fn taken_over(limits: Limits, since: Instant) -> Self {
        let units = limits.rate * TAKEOVER_SECS + limits.burst * TAKEOVER_BURST;
        Self { level: units.min(limits.burst), ..Self::empty_since(limits, since) }
    }

    /// Applies the limits of a newer table; a lower burst reduces the level.
    pub fn set_limits(&mut self, limits: Limits, now: Instant) {
        if limits != self.limits {
            // The time until now counts at the previous rate.
            self.refill(now);
            self.limits = limits;
            self.level = self.level.min(limits.burst);
        }
    }

    /// Why there is no room for the units.
    pub fn lack(&mut self, units: u64, now: Instant) -> Lack {
        self.refill(now);
        let is_unused = self.level >= self.limits.needed(units as f64);
        let is_recovering = self.recovers_until.is_some_and(|until| now < until);
        match is_recovering {
            _ if is_unused && self.reserved >= self.limits.burst * QUEUED_SHARE => Lack::Queued,
            true => Lack::Recovering,
            false => Lack::Used,
        }
    }

    /// Units that are left.
    pub fn level(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.level - self.reserved
    }

    /// Takes the units if there is room for them. A request larger than the bucket is admitted when
    /// the bucket is full; the level is negative afterwards.
    pub fn take(&mut self, units: u64, now: Instant) -> bool {
        let has_room = self.reserve(units, now);
        if has_room {
            self.take_reserved(units, now);
        }
        has_room
    }

    /// Keeps the units for a request that waits for a place, if there is room for them.
    ///
    /// They are taken when the request gets its place. Units taken on arrival would let requests that
    /// queued for some seconds reach targets together with those that arrive later.
    pub fn reserve(&mut self, units: u64, now: Instant) -> bool {
        let has_room = self.level(now) >= self.limits.needed(units as f64);
        if has_room {
            self.reserved += units as f64;
        }
        has_room
    }

    /// Takes reserved units.
    pub fn take_reserved(&mut self, units: u64, now: Instant) {
        self.refill(now);
        self.level -= units as f64;
        self.release(units);
    }

    /// Ends the reservation of a request that gets no place.
    pub fn release(&mut self, units: u64) {
        self.reserved = (self.reserved - units as f64).max(0.0);
    }

    /// Returns units of a request that did not run.
    pub fn refund(&mut self, units: u64, now: Instant) {
        self.refill(now);
        self.level = (self.level + units as f64).min(self.limits.burst);
    }

    /// Time until there is room for the units, if nothing else is taken.
    pub fn room_after(&mut self, units: u64, now: Instant) -> Duration {
        let missing = (self.limits.needed(units as f64) - self.level(now)).max(0.0);
        let time = Duration::try_from_secs_f64(missing / self.limits.rate);
        time.unwrap_or(MAX_ROOM_AFTER).min(MAX_ROOM_AFTER)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + elapsed * self.limits.rate).min(self.limits.burst);
        self.at = self.at.max(now);
    }
}
