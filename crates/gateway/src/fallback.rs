//! Target selection while the owner of a group is unreachable.
//!
//! After an owner fails, it takes a session lease until another instance owns the group. Meanwhile
//! an entry still sends requests that need no decision of the owner. Earlier grants tell it which
//! engines hold an adapter; an engine that no longer holds it refuses the request.
//!
//! Architecture Invariant: no load order is sent to an engine without an owner.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use shallotdrum_engine::TargetLoad;
use shallotdrum_types::{AdapterRef, PoolId, TargetId};
use tokio::time::Instant;

/// Time for which a grant is taken as evidence that an engine holds an adapter. Adapters in use
/// stay loaded for longer than the gap between two owners.
const HOLDER_TTL: Duration = Duration::from_secs(20);

/// Number of adapters above which those without a recent grant are removed; each engine holds only
/// a few.
const MAX_ADAPTERS: usize = 1_024;

/// Maximum number of requests that an entry sends to a target at a time without an owner, so that
/// all entries together do not exceed the target's batch size.
const MAX_IN_PROGRESS: usize = 6;

/// Age up to which a load that a target stated is used.
const LOAD_TTL: Duration = Duration::from_secs(2);

/// Time after which a stated slowness tells half as much; slow periods last about this long.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_millis(600);

/// Number of targets above which the loads that are no longer used are removed.
const MAX_LOADS: usize = 1_024;

/// Scores that differ by less than this are equal, so that requests are spread over equal targets.
const TIE_MARGIN: f64 = 0.01;

/// Selects targets without an owner, based on the places granted to this entry earlier.
#[derive(Debug, Default)]
pub struct FallbackSelector {
    adapters: HashMap<(PoolId, AdapterRef), Vec<(TargetId, Instant)>>,
    /// Requests in progress that were sent without an owner, per target.
    in_progress: HashMap<TargetId, usize>,
    /// Load that each target stated last, and when.
    loads: HashMap<TargetId, (TargetLoad, Instant)>,
    /// Pools of which a target has stated how slow it is.
    paced: HashSet<PoolId>,
}

impl FallbackSelector {
    /// Records that a target was granted for an adapter, and therefore holds it.
    pub fn record_grant(
        &mut self,
        pool: &PoolId,
        adapter: &AdapterRef,
        target: &TargetId,
        now: Instant,
    ) {
        let key = (pool.clone(), adapter.clone());
        let targets = self.adapters.entry(key).or_default();
        targets.retain(|(other, at)| other != target && now.duration_since(*at) < HOLDER_TTL);
        targets.push((target.clone(), now));
        if self.adapters.len() > MAX_ADAPTERS {
            let is_recent = |(_, at): &(TargetId, Instant)| now.duration_since(*at) < HOLDER_TTL;
            self.adapters.retain(|_, targets| targets.iter().any(is_recent));
        }
    }

    /// Records that a target refused a request for an adapter, and may not hold it any more.
    pub fn record_refusal(&mut self, pool: &PoolId, adapter: &AdapterRef, target: &TargetId) {
        if let Some(targets) = self.adapters.get_mut(&(pool.clone(), adapter.clone())) {
            targets.retain(|(other, _)| other != target);
        }
    }

    /// Records the load that a target of a pool stated in a response to this entry.
    pub fn record_load(
        &mut self,
        pool: &PoolId,
        target: &TargetId,
        load: TargetLoad,
        now: Instant,
    ) {
        if load.slowness.is_some() && !self.paced.contains(pool) {
            self.paced.insert(pool.clone());
        }
        if self.loads.len() >= MAX_LOADS && !self.loads.contains_key(target) {
            self.loads.retain(|_, (_, at)| now.duration_since(*at) <= LOAD_TTL);
            if self.loads.len() >= MAX_LOADS {
                return;
            }
        }
        self.loads.insert(target.clone(), (load, now));
    }

    /// Expected time of a request at a target relative to others, by the load that it stated and the
    /// requests of this entry. A target of which nothing is known counts as idle.
    fn score(&self, target: &TargetId, in_progress: usize, now: Instant) -> f64 {
        let known = self.loads.get(target).filter(|(_, at)| now.duration_since(*at) <= LOAD_TTL);
        let Some((load, at)) = known else { return 1.0 + in_progress as f64 };
        let age = now.duration_since(*at).as_secs_f64();
        let weight = (-age / SLOWNESS_HALF_LIFE.as_secs_f64()).exp2();
        let slowness = 1.0 + (load.slowness.unwrap_or(1.0) - 1.0) * weight;
        let busy = f64::from(load.running) + f64::from(load.waiting) + in_progress as f64;
        slowness * (1.0 + busy / f64::from(load.slots.max(1)))
    }

    /// Selects the candidate with the fewest requests of this entry, among those that hold the
    /// adapter if one is given; in a pool whose targets state how slow they are, the one with the
    /// shortest expected time. `random` breaks ties and is uniform in 0 to 1.
    pub fn choose(
        &self,
        pool: &PoolId,
        adapter: Option<&AdapterRef>,
        candidates: &[TargetId],
        random: f64,
        now: Instant,
    ) -> Option<TargetId> {
        let holders = adapter.map(|adapter| self.adapters.get(&(pool.clone(), adapter.clone())));
        let holds = |target: &TargetId| match holders {
            None => true,
            Some(targets) => targets.is_some_and(|targets| {
                let is_recent = |at: &Instant| now.duration_since(*at) < HOLDER_TTL;
                targets.iter().any(|(other, at)| other == target && is_recent(at))
            }),
        };
        let in_progress =
            |target: &TargetId| self.in_progress.get(target).copied().unwrap_or_default();
        let eligible = candidates
            .iter()
            .filter(|target| holds(target) && in_progress(target) < MAX_IN_PROGRESS);
        let eligible: Vec<&TargetId> = eligible.collect();
        if self.paced.contains(pool) {
            let score = |target: &TargetId| self.score(target, in_progress(target), now);
            let best = eligible.iter().map(|target| score(target)).min_by(f64::total_cmp)?;
            let tied = eligible.into_iter().filter(|target| score(target) <= best + TIE_MARGIN);
            return pick(&tied.collect::<Vec<_>>(), random);
        }
        let fewest = eligible.iter().map(|target| in_progress(target)).min()?;
        let tied: Vec<_> = eligible.into_iter().filter(|t| in_progress(t) == fewest).collect();
        pick(&tied, random)
    }

    /// Counts a request that is sent without an owner.
    pub fn begin(&mut self, target: &TargetId) {
        *self.in_progress.entry(target.clone()).or_default() += 1;
    }

    /// Ends a request that was sent without an owner.
    pub fn end(&mut self, target: &TargetId) {
        if let Some(count) = self.in_progress.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                self.in_progress.remove(target);
            }
        }
    }
}

/// Selects one of equal targets; `random` is uniform in 0 to 1.
fn pick(targets: &[&TargetId], random: f64) -> Option<TargetId> {
    let index = (random.clamp(0.0, 1.0) * targets.len() as f64) as usize;
    targets.get(index.min(targets.len().checked_sub(1)?)).map(|target| (*target).clone())
}
