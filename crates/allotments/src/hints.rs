//! What an entry knows of the shards of customers.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use shallotdrum_types::{CustomerName, GroupId};

use crate::{AllotmentReply, Charge, Lack, Limits, bucket::MAX_ROOM_AFTER};

/// Age from which a reply says nothing any more. The bounds that replies give are exact but for
/// refunds and new limits, which take effect after this time at the latest.
const MAX_HINT_AGE: Duration = Duration::from_secs(5);

/// Time for which an owner that did not reply is not asked again; a third of a session lease, so
/// that the entry finds the next owner early.
const UNREACHED_PAUSE: Duration = Duration::from_millis(800);

/// Weight of the newest reply in the share of charges that were granted.
const NEWEST_REPLY_WEIGHT: f64 = 0.25;

/// The same for a refusal by a bucket that began empty. Requests that waited for an owner are refused
/// several times then, although they are within the allotment.
const RECOVERING_REPLY_WEIGHT: f64 = 0.03;

/// Share of granted charges below which the customer counts as exceeding its allotment.
const EXCEEDING_SHARE: f64 = 0.5;

/// Time without a reply after which a customer does not count as exceeding any more.
const MAX_EXCEEDING_AGE: Duration = Duration::from_secs(30);

/// Room of a shard for a request, as an entry knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Room {
    /// Upper bound of the level; there may be room.
    Possible(f64),
    /// There is no room, and none before this time has passed.
    None(Duration),
    /// The owner did not reply a short time ago.
    Unreached,
}

#[derive(Clone, Copy, Debug)]
enum Hint {
    /// Level by the latest reply.
    Level { level: f64, at: Instant, lack: Lack },
    /// The owner did not reply, for the first time in a row at `since`.
    Unreached { at: Instant, since: Instant },
}

/// Latest replies of the owners of shards, for each customer.
#[derive(Clone, Debug, Default)]
pub struct ShardHints(HashMap<CustomerName, CustomerHints>);

#[derive(Clone, Debug)]
struct CustomerHints {
    shards: HashMap<GroupId, Hint>,
    /// Moving average of the share of charges that were granted.
    granted: f64,
    /// Time of the latest reply.
    at: Instant,
}

impl CustomerHints {
    fn new(now: Instant) -> Self {
        Self { shards: HashMap::new(), granted: 1.0, at: now }
    }
}

impl ShardHints {
    /// Records a reply that was received at `now`.
    pub fn record(
        &mut self,
        customer: &CustomerName,
        group: &GroupId,
        reply: &AllotmentReply,
        now: Instant,
    ) {
        let is_decided = reply.granted || reply.room_after_ms.is_some();
        let hint = match is_decided {
            true => Hint::Level { level: reply.level, at: now, lack: reply.lack },
            // The owner's state differs from this entry's.
            false => Hint::Unreached { at: now, since: now },
        };
        let known = self.insert(customer, group, hint, now);
        if is_decided {
            let newest = f64::from(u8::from(reply.granted));
            let weight = match reply.lack {
                Lack::Used => NEWEST_REPLY_WEIGHT,
                Lack::Recovering => RECOVERING_REPLY_WEIGHT,
                Lack::Queued => 0.0,
            };
            known.granted += weight * (newest - known.granted);
        }
    }

    /// Records that the owner of a shard could not be reached.
    pub fn record_unreached(&mut self, customer: &CustomerName, group: &GroupId, now: Instant) {
        let hint = self.0.get(customer).and_then(|known| known.shards.get(group));
        let since = match hint {
            Some(Hint::Unreached { since, .. }) => *since,
            _ => now,
        };
        self.insert(customer, group, Hint::Unreached { at: now, since }, now);
    }

    /// Records that units go back to a shard, so that the known level stays an upper bound.
    pub fn record_return(&mut self, charge: &Charge, group: &GroupId) {
        let known = self.0.get_mut(&charge.customer);
        if let Some(Hint::Level { level, .. }) = known.and_then(|known| known.shards.get_mut(group))
        {
            *level += charge.units as f64;
        }
    }

    fn insert(
        &mut self,
        customer: &CustomerName,
        group: &GroupId,
        hint: Hint,
        now: Instant,
    ) -> &mut CustomerHints {
        let known = self.0.entry(customer.clone()).or_insert_with(|| CustomerHints::new(now));
        known.at = now;
        known.shards.insert(group.clone(), hint);
        known
    }

    /// Whether most of the customer's latest charges were refused.
    ///
    /// Its shards are then about equally empty, so asking one tells about as much as asking several.
    pub fn is_exceeding(&self, customer: &CustomerName, now: Instant) -> bool {
        self.0.get(customer).is_some_and(|known| {
            known.granted < EXCEEDING_SHARE && age(known.at, now) < MAX_EXCEEDING_AGE
        })
    }

    /// Why a shard has no room, by its latest reply.
    pub fn lack(&self, customer: &CustomerName, group: &GroupId, now: Instant) -> Lack {
        let hint = self.0.get(customer).and_then(|known| known.shards.get(group));
        match hint {
            Some(Hint::Level { lack, at, .. }) if age(*at, now) < MAX_HINT_AGE => *lack,
            _ => Lack::Used,
        }
    }

    /// Room of a shard with these limits for a request.
    ///
    /// A level rises at most at its rate, so a reply gives an upper bound of the level since.
    pub fn room(
        &self,
        customer: &CustomerName,
        group: &GroupId,
        limits: Limits,
        units: u64,
        now: Instant,
    ) -> Room {
        let hint = self.0.get(customer).and_then(|known| known.shards.get(group));
        match hint {
            Some(Hint::Level { level, at, .. }) if age(*at, now) < MAX_HINT_AGE => {
                let bound = level + limits.rate * age(*at, now).as_secs_f64();
                let missing = limits.needed(units as f64) - bound;
                if missing <= 0.0 {
                    return Room::Possible(bound.min(limits.burst));
                }
                let left = Duration::try_from_secs_f64(missing / limits.rate);
                Room::None(left.unwrap_or(MAX_ROOM_AFTER).min(MAX_ROOM_AFTER))
            }
            Some(Hint::Unreached { at, .. }) if age(*at, now) < UNREACHED_PAUSE => Room::Unreached,
            _ => Room::Possible(limits.burst),
        }
    }

    /// Time until the first shard whose owner does not reply gets another one, if owners that fail keep
    /// their shards for `lease`; absent if all replied.
    pub fn next_owner_after(
        &self,
        customer: &CustomerName,
        shards: &[&GroupId],
        lease: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let known = self.0.get(customer)?;
        let unreached = shards.iter().filter_map(|group| match known.shards.get(*group)? {
            Hint::Unreached { since, .. } => Some(lease.saturating_sub(age(*since, now))),
            Hint::Level { .. } => None,
        });
        unreached.min()
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, known| {
            known.shards.retain(|_, hint| {
                let (Hint::Level { at, .. } | Hint::Unreached { at, .. }) = hint;
                age(*at, now) < MAX_HINT_AGE
            });
            age(known.at, now) < MAX_EXCEEDING_AGE
        });
    }
}

impl ShardHints {
    /// Level of a shard by its latest reply, and the age of the reply; absent without one.
    pub fn stated_level(
        &self,
        customer: &CustomerName,
        group: &GroupId,
        now: Instant,
    ) -> Option<(f64, Duration)> {
        match self.0.get(customer)?.shards.get(group)? {
            Hint::Level { level, at, .. } => Some((*level, age(*at, now))),
            Hint::Unreached { .. } => None,
        }
    }
}

fn age(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
