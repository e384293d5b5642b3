//! Choice of the target group by rendezvous hashing with bounded load.
//!
//! Every entry sends an adapter's requests to the same group, so that few targets load the adapter,
//! and few adapters move when groups are added or removed. If that group is overloaded, requests go
//! to the group with the second-highest score.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use shallotdrum_types::{GroupId, PoolId};

use crate::context::Shared;

/// Ratio of a group's load to the mean load of the candidates above which requests may go to the
/// second group.
const LOAD_BOUND: f64 = 1.25;
/// Requests in flight to a group below which it never counts as overloaded; the batch of a single
/// engine holds more.
const MIN_LOAD: u32 = 16;

/// Number of requests that this entry has in flight, by group.
#[derive(Default)]
pub(crate) struct InFlight(Mutex<HashMap<GroupId, u32>>);

/// Counts a request as in flight to a group until dropped.
pub(crate) struct InFlightGuard {
    shared: Arc<Shared>,
    group: GroupId,
}

impl InFlightGuard {
    pub(crate) fn new(shared: &Arc<Shared>, group: GroupId) -> Self {
        let mut counts = shared.in_flight.0.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(group.clone()).or_default() += 1;
        drop(counts);
        shared.cx.metrics.in_flight().inc();
        Self { shared: shared.clone(), group }
    }

    pub(crate) fn group(&self) -> &GroupId {
        &self.group
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.shared.in_flight.0.lock().unwrap_or_else(PoisonError::into_inner);
        match counts.get_mut(&self.group) {
            Some(count) if *count > 1 => *count -= 1,
            _ => {
                counts.remove(&self.group);
            }
        }
        drop(counts);
        self.shared.cx.metrics.in_flight().dec();
    }
}

/// The two groups with the highest scores, as (score, load, group), and the number and total load
/// of all groups.
#[derive(Default)]
struct Candidates {
    first: Option<(u64, u32, GroupId)>,
    second: Option<(u64, u32, GroupId)>,
    groups: u32,
    load: u32,
}

impl Candidates {
    fn add(&mut self, score: u64, load: u32, group: &GroupId) {
        self.groups += 1;
        self.load += load;
        let outranks = |other: &Option<(u64, u32, GroupId)>| {
            other.as_ref().is_none_or(|(other, ..)| score > *other)
        };
        if outranks(&self.first) {
            self.second = self.first.take();
            self.first = Some((score, load, group.clone()));
        } else if outranks(&self.second) {
            self.second = Some((score, load, group.clone()));
        }
    }

    fn choose(self) -> Option<GroupId> {
        let (_, load, first) = self.first?;
        let mean = f64::from(self.load) / f64::from(self.groups);
        let is_overloaded = load >= MIN_LOAD && f64::from(load) > LOAD_BOUND * mean;
        match self.second {
            Some((_, second_load, second)) if is_overloaded && second_load < load => Some(second),
            _ => Some(first),
        }
    }
}

/// Chooses a group of the pool for a key, preferably in this instance's region.
///
/// `excluded` is chosen only if there is no other group.
pub(crate) fn choose(
    shared: &Shared,
    pool: &PoolId,
    key: &str,
    excluded: Option<&GroupId>,
) -> Option<GroupId> {
    let counts = shared.in_flight.0.lock().unwrap_or_else(PoisonError::into_inner);
    let mut local = Candidates::default();
    let mut other = Candidates::default();
    let mut excluded_group = None;
    shared.cx.catalog.for_each_group(pool, &mut |group| {
        if excluded == Some(group) {
            excluded_group = excluded.cloned();
            return;
        }
        let region = if group.region == shared.cfg.region { &mut local } else { &mut other };
        region.add(score(key, group), counts.get(group).copied().unwrap_or(0), group);
    });
    local.choose().or_else(|| other.choose()).or(excluded_group)
}

fn score(key: &str, group: &GroupId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes()).update(b"/").update(group.region.as_str().as_bytes());
    hasher.update(&group.shard.to_le_bytes());
    let mut score = [0; 8];
    score.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(score)
}
