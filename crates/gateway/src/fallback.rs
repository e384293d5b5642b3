//! Target selection while the owner of a group is unreachable.
//!
//! After an owner fails, it takes a session lease until another instance owns the group. Meanwhile
//! an entry still sends requests that need no decision of the owner. Earlier grants tell it which
//! engines hold an adapter; an engine that no longer holds it refuses the request.
//!
//! Architecture Invariant: no load order is sent to an engine without an owner.

use std::{collections::HashMap, time::Duration};

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

/// Selects targets without an owner, based on the places granted to this entry earlier.
#[derive(Debug, Default)]
pub struct FallbackSelector {
    adapters: HashMap<(PoolId, AdapterRef), Vec<(TargetId, Instant)>>,
    /// Requests in progress that were sent without an owner, per target.
    in_progress: HashMap<TargetId, usize>,
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

    /// Selects the candidate with the fewest requests of this entry, among those that hold the
    /// adapter if one is given. `random` breaks ties and is uniform in 0 to 1.
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
        let fewest = eligible.iter().map(|target| in_progress(target)).min()?;
        let tied: Vec<_> = eligible.into_iter().filter(|t| in_progress(t) == fewest).collect();
        let index = (random.clamp(0.0, 1.0) * tied.len() as f64) as usize;
        tied.get(index.min(tied.len() - 1)).map(|target| (*target).clone())
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
