//! Choice of a target while the owner of its group does not answer.
//!
//! Answers the loss of an owner: until another instance owns the group, a session's lease later,
//! an entry goes on sending what needs no decision of the owner. For an adapter it knows from
//! earlier grants which engines hold it; the engine refuses the request if that has changed.
//!
//! Architecture Invariant: nothing is ordered from an engine without an owner.

use std::{collections::HashMap, time::Duration};

use shallotdrum_types::{AdapterRef, PoolId, TargetId};
use tokio::time::Instant;

/// Time for which a grant says that an engine holds an adapter; adapters in use stay longer than
/// the gap between two owners.
const HELD_FOR: Duration = Duration::from_secs(20);

/// Adapters from which those that were not granted lately are forgotten; each engine holds a few.
const MAX_ADAPTERS: usize = 1_024;

/// Places of each target that an entry takes without an owner, so that all entries together do
/// not exceed the target's batch.
const MAX_OWN: usize = 6;

/// What an entry remembers of granted places.
#[derive(Debug, Default)]
pub struct Holders {
    adapters: HashMap<(PoolId, AdapterRef), Vec<(TargetId, Instant)>>,
    /// Requests in progress that were sent without an owner.
    own: HashMap<TargetId, usize>,
}

impl Holders {
    /// Takes note that a target can serve an adapter.
    pub fn note(&mut self, pool: &PoolId, adapter: &AdapterRef, target: &TargetId, now: Instant) {
        let key = (pool.clone(), adapter.clone());
        let targets = self.adapters.entry(key).or_default();
        targets.retain(|(other, at)| other != target && now.duration_since(*at) < HELD_FOR);
        targets.push((target.clone(), now));
        if self.adapters.len() > MAX_ADAPTERS {
            let is_recent = |(_, at): &(TargetId, Instant)| now.duration_since(*at) < HELD_FOR;
            self.adapters.retain(|_, targets| targets.iter().any(is_recent));
        }
    }

    /// Takes note that a target refused a request for an adapter.
    pub fn forget(&mut self, pool: &PoolId, adapter: &AdapterRef, target: &TargetId) {
        if let Some(targets) = self.adapters.get_mut(&(pool.clone(), adapter.clone())) {
            targets.retain(|(other, _)| other != target);
        }
    }

    /// Chooses among the usable targets: one that holds the adapter, if one is named, and has the
    /// fewest requests of this entry. `draw` decides between equals and is uniform in 0 to 1.
    pub fn choose(
        &self,
        pool: &PoolId,
        adapter: Option<&AdapterRef>,
        usable: &[TargetId],
        draw: f64,
        now: Instant,
    ) -> Option<TargetId> {
        let held = adapter.map(|adapter| self.adapters.get(&(pool.clone(), adapter.clone())));
        let holds = |target: &TargetId| match held {
            None => true,
            Some(targets) => targets.is_some_and(|targets| {
                let is_recent = |at: &Instant| now.duration_since(*at) < HELD_FOR;
                targets.iter().any(|(other, at)| other == target && is_recent(at))
            }),
        };
        let in_progress = |target: &TargetId| self.own.get(target).copied().unwrap_or_default();
        let fit = usable.iter().filter(|target| holds(target) && in_progress(target) < MAX_OWN);
        let fit: Vec<&TargetId> = fit.collect();
        let fewest = fit.iter().map(|target| in_progress(target)).min()?;
        let equal: Vec<_> = fit.into_iter().filter(|t| in_progress(t) == fewest).collect();
        let at = (draw.clamp(0.0, 1.0) * equal.len() as f64) as usize;
        equal.get(at.min(equal.len() - 1)).map(|target| (*target).clone())
    }

    /// Counts a request that is sent without an owner.
    pub fn begin(&mut self, target: &TargetId) {
        *self.own.entry(target.clone()).or_default() += 1;
    }

    /// Ends a request that was sent without an owner.
    pub fn end(&mut self, target: &TargetId) {
        if let Some(count) = self.own.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                self.own.remove(target);
            }
        }
    }
}
