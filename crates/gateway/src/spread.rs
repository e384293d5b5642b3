//! Choice of the group for a request, by what this entry knows of the groups of its pool.
//!
//! Requests for an adapter go to the first group of a rendezvous order, so that few engines load it.
//! The owner of a group says over how many groups an adapter that is asked for a lot should be
//! spread, and how long another request would wait. The least loaded of these groups is chosen.
//!
//! Architecture Invariant: without such a statement of an owner, the first group is chosen.

use std::{collections::HashMap, time::Duration};

use shallotdrum_types::{AdapterId, GroupId, PoolId};
use tokio::time::Instant;

/// Age up to which the stated wait of a group is used. Beyond it the group counts as idle, so that a
/// request finds out.
const WAIT_TTL: Duration = Duration::from_secs(2);

/// Age up to which the stated spread of an adapter is used; an entry asks for an adapter that is
/// spread several times in it.
const SPREAD_TTL: Duration = Duration::from_secs(10);

/// Waits that differ by less than this are equal: 2 ms, and a tenth of the shorter one. Without a
/// margin, all entries send to the same group until they learn that another one is idler.
const TIE_MARGIN: Duration = Duration::from_millis(2);
/// Divisor for the part of the margin that grows with the wait.
const TIE_DIVISOR: u32 = 10;

/// Largest number of groups whose wait is kept; far above the number of groups of a deployment.
const MAX_GROUPS: usize = 1_024;
/// Largest number of adapters whose spread is kept. Only few adapters can need a quarter of a group.
const MAX_ADAPTERS: usize = 1_024;

/// What owners have stated about groups and adapters.
#[derive(Debug, Default)]
pub struct SpreadKnowledge {
    waits: HashMap<GroupId, (Duration, Instant)>,
    /// Adapters that are spread over more than one group.
    spreads: HashMap<(PoolId, AdapterId), (u32, Instant)>,
}

impl SpreadKnowledge {
    /// Records the expected wait of another request in a group.
    pub fn record_wait(&mut self, group: &GroupId, wait: Duration, now: Instant) {
        if self.waits.len() >= MAX_GROUPS && !self.waits.contains_key(group) {
            self.waits.retain(|_, (_, at)| is_fresh(*at, WAIT_TTL, now));
            if self.waits.len() >= MAX_GROUPS {
                return;
            }
        }
        self.waits.insert(group.clone(), (wait, now));
    }

    /// Records the number of groups over which the requests for an adapter should be spread.
    pub fn record_spread(&mut self, pool: &PoolId, adapter: &AdapterId, spread: u32, now: Instant) {
        let key = (pool.clone(), adapter.clone());
        if spread <= 1 {
            self.spreads.remove(&key);
            return;
        }
        if self.spreads.len() >= MAX_ADAPTERS && !self.spreads.contains_key(&key) {
            self.spreads.retain(|_, (_, at)| is_fresh(*at, SPREAD_TTL, now));
            if self.spreads.len() >= MAX_ADAPTERS {
                return;
            }
        }
        self.spreads.insert(key, (spread, now));
    }

    /// Number of groups over which the requests for an adapter are spread, 1 if nothing is known.
    pub fn spread(&self, pool: &PoolId, adapter: &AdapterId, now: Instant) -> u32 {
        if self.spreads.is_empty() {
            return 1;
        }
        let known = self.spreads.get(&(pool.clone(), adapter.clone()));
        known.filter(|(_, at)| is_fresh(*at, SPREAD_TTL, now)).map_or(1, |(spread, _)| *spread)
    }

    /// Latest statement of a group's wait, and its age.
    pub fn stated_wait(&self, group: &GroupId, now: Instant) -> Option<(Duration, Duration)> {
        let (wait, at) = self.waits.get(group)?;
        Some((*wait, now.saturating_duration_since(*at)))
    }

    /// Chooses among groups the one with the shortest wait. `random` breaks ties and is uniform in
    /// 0 to 1.
    pub fn choose<'a>(
        &self,
        groups: &'a [GroupId],
        random: f64,
        now: Instant,
    ) -> Option<&'a GroupId> {
        let wait = |group: &GroupId| {
            let known = self.waits.get(group).filter(|(_, at)| is_fresh(*at, WAIT_TTL, now));
            known.map_or(Duration::ZERO, |(wait, _)| *wait)
        };
        let shortest = groups.iter().map(wait).min()?;
        let limit = shortest + TIE_MARGIN + shortest / TIE_DIVISOR;
        let tied: Vec<&GroupId> = groups.iter().filter(|group| wait(group) <= limit).collect();
        let index = (random.clamp(0.0, 1.0) * tied.len() as f64) as usize;
        tied.get(index.min(tied.len().checked_sub(1)?)).copied()
    }
}

/// Position of a group in the rendezvous order of a key; the group with the highest one is the first.
pub fn group_weight(key: &str, group: &GroupId) -> Option<u64> {
    let hash = blake3::hash(format!("{key} {group}").as_bytes());
    hash.as_bytes().first_chunk::<8>().copied().map(u64::from_le_bytes)
}

fn is_fresh(at: Instant, ttl: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) <= ttl
}
