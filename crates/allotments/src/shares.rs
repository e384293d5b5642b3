//! Buckets of an owner, and when a bucket may be created with units in it.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use shallotdrum_routes::{Customer, RouteTable};
use shallotdrum_types::{CustomerName, GroupId};

use crate::{
    AllotmentReply, Bucket, Charge, Limits, reservations::Reservations, shard_count, shards,
};

/// Time after an instance first saw a group during which the first owner of a group begins with full
/// buckets. A group that is added later takes over shards whose units may already be used.
const FIRST_START_TIME: Duration = Duration::from_secs(5);

/// Time without another beginning of a bucket after which one begins with the units of a takeover:
/// twice the window of the bound, so that late requests and clocks that differ don't matter.
const MIN_TAKEOVER_INTERVAL: Duration = Duration::from_secs(16);

/// How an ownership of a group began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beginning {
    /// The group had no owner before.
    First,
    /// The group had another owner.
    Takeover {
        /// Time since which no other ownership of the group began; absent if that is not known.
        quiet_since: Option<Instant>,
    },
}

/// Customers and groups by the state that an owner has applied.
#[derive(Debug, Default)]
pub struct AppliedAllotments {
    table: Option<Arc<RouteTable>>,
    /// Customers of `table`.
    customers: HashMap<CustomerName, AppliedCustomer>,
    groups: Vec<GroupId>,
    /// When the owner's process first saw a group.
    first_seen: Option<Instant>,
    /// When `groups` last changed.
    groups_since: Option<Instant>,
}

#[derive(Debug)]
struct AppliedCustomer {
    customer: Arc<Customer>,
    /// When a newer table added the customer or changed the number of its shards; absent since the
    /// first table.
    since: Option<Instant>,
}

/// Shares of allotments that belong to an owned group.
#[derive(Clone, Debug)]
pub struct GroupShares {
    group: GroupId,
    /// When the instance began to own the group.
    since: Instant,
    beginning: Beginning,
    pub(crate) buckets: HashMap<CustomerName, Bucket>,
    /// Units that entries have neither confirmed nor returned yet.
    pub(crate) reservations: Reservations,
}

impl AppliedAllotments {
    /// Applies a state; returns whether shards may have changed.
    pub fn update<'a, I: Iterator<Item = &'a GroupId>>(
        &mut self,
        table: Option<&Arc<RouteTable>>,
        groups: impl Fn() -> I,
        now: Instant,
    ) -> bool {
        let has_new_table = table.map(Arc::as_ptr) != self.table.as_ref().map(Arc::as_ptr);
        if has_new_table {
            self.apply_table(table, now);
        }
        let has_new_groups = !groups().eq(&self.groups);
        if has_new_groups {
            self.groups = groups().cloned().collect();
            self.groups_since = Some(now);
            self.first_seen.get_or_insert(now);
        }
        has_new_table || has_new_groups
    }

    fn apply_table(&mut self, table: Option<&Arc<RouteTable>>, now: Instant) {
        let is_first = self.table.is_none();
        let known = std::mem::take(&mut self.customers);
        let shards = |customer: &Customer| customer.allotment.map(|a| shard_count(&a, usize::MAX));
        let customers = table.and_then(|table| table.customers.as_ref());
        let applied = customers.into_iter().flatten().map(|customer| {
            let since = match known.get(&customer.name) {
                Some(known) if shards(&known.customer) == shards(customer) => known.since,
                _ if is_first => None,
                _ => Some(now),
            };
            (customer.name.clone(), AppliedCustomer { customer: customer.clone(), since })
        });
        self.customers = applied.collect();
        self.table = table.cloned();
    }

    /// Limits of a group's share of an allotment; absent if the group is not a shard of the customer.
    fn limits(&self, name: &CustomerName, group: &GroupId) -> Option<Limits> {
        let allotment = self.customers.get(name)?.customer.allotment?;
        let count = shard_count(&allotment, self.groups.len());
        let is_shard = shards(name, &self.groups).into_iter().take(count).any(|id| id == group);
        is_shard.then(|| Limits::share(&allotment, self.groups.len()))
    }
}

impl GroupShares {
    /// Shares of a group that an instance owns since `since`.
    pub fn new(group: GroupId, since: Instant, beginning: Beginning) -> Self {
        Self {
            group,
            since,
            beginning,
            buckets: HashMap::new(),
            reservations: Reservations::default(),
        }
    }

    /// Takes the units of a request, if there is room for them.
    pub fn charge(
        &mut self,
        applied: &AppliedAllotments,
        charge: &Charge,
        now: Instant,
    ) -> AllotmentReply {
        let reply = self.reserve(applied, charge, now);
        if reply.granted {
            self.take_reserved(charge, now);
        }
        reply
    }

    /// Takes the reserved units of a request that got a place; returns the level then, if the customer
    /// still has a share here.
    pub fn take_reserved(&mut self, charge: &Charge, now: Instant) -> Option<f64> {
        let bucket = self.buckets.get_mut(&charge.customer)?;
        bucket.take_reserved(charge.units, now);
        Some(bucket.level(now))
    }

    /// Ends the reservation of a request that got no place.
    pub fn release(&mut self, charge: &Charge) {
        if let Some(bucket) = self.buckets.get_mut(&charge.customer) {
            bucket.release(charge.units);
        }
    }

    /// Reserves the units of a request that waits for a place, if there is room for them.
    pub fn reserve(
        &mut self,
        applied: &AppliedAllotments,
        charge: &Charge,
        now: Instant,
    ) -> AllotmentReply {
        let Charge { customer: name, units } = charge;
        let known = applied.customers.get(name);
        if known.is_some_and(|known| known.customer.allotment.is_none()) {
            return AllotmentReply::granted_at(0.0);
        }
        let Some(limits) = applied.limits(name, &self.group) else {
            return AllotmentReply::NOT_A_SHARD;
        };
        if !self.buckets.contains_key(name) {
            let bucket = self.first_bucket(applied, name, limits, now);
            self.buckets.insert(name.clone(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(name) else { return AllotmentReply::NOT_A_SHARD };
        bucket.set_limits(limits, now);
        if bucket.reserve(*units, now) {
            return AllotmentReply::granted_at(bucket.level(now));
        }
        AllotmentReply {
            granted: false,
            level: bucket.level(now),
            room_after_ms: Some(bucket.room_after(*units, now).as_millis() as u64),
            lack: bucket.lack(*units, now),
            is_reserved: false,
        }
    }

    /// Returns the units of a request that got no place; `false` if the customer has no share here.
    pub fn refund(&mut self, charge: &Charge, now: Instant) -> bool {
        let bucket = self.buckets.get_mut(&charge.customer);
        bucket.map(|bucket| bucket.refund(charge.units, now)).is_some()
    }

    /// Drops the buckets of customers of which the group is a shard no more.
    pub fn retain_shards(&mut self, applied: &AppliedAllotments) {
        let before = self.buckets.len();
        self.buckets.retain(|name, _| applied.limits(name, &self.group).is_some());
        // Each reservation has a bucket, so none ends if all buckets are kept.
        if self.buckets.len() < before {
            let buckets = &self.buckets;
            self.reservations.retain_customers(|name| buckets.contains_key(name));
        }
    }

    /// Bucket of a customer that has none here yet.
    ///
    /// Until the groups or the number of shards last changed, another group may have been the shard
    /// and have given away the units.
    fn first_bucket(
        &self,
        applied: &AppliedAllotments,
        name: &CustomerName,
        limits: Limits,
        now: Instant,
    ) -> Bucket {
        let changed = applied.customers.get(name).and_then(|known| known.since);
        let is_first_start =
            applied.first_seen.is_some_and(|at| self.since < at + FIRST_START_TIME);
        let is_quiet = |at: Instant| self.since >= at + MIN_TAKEOVER_INTERVAL;
        let changes = [changed, applied.groups_since];
        match self.beginning {
            Beginning::First if is_first_start && changed.is_none() => Bucket::full(limits, now),
            Beginning::Takeover { quiet_since: Some(at) }
                if is_quiet(at) && changes.into_iter().flatten().all(is_quiet) =>
            {
                Bucket::taken_over(limits, self.since)
            }
            _ => {
                let since = changes.into_iter().flatten().max();
                Bucket::empty_since(limits, since.map_or(self.since, |at| at.max(self.since)))
            }
        }
    }
}

impl GroupShares {
    /// Reply to a charge if it were asked for now. Takes and reserves nothing.
    pub fn try_charge(
        &self,
        applied: &AppliedAllotments,
        charge: &Charge,
        now: Instant,
    ) -> AllotmentReply {
        self.clone().reserve(applied, charge, now)
    }
}
