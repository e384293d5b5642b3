//! Simulated prefix cache with limited capacity, and reports of its changes.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use shallotdrum_engine::{CacheEvents, PrefixHash};
use tokio::time::{Instant, sleep};

use super::Engine;
use crate::presence::lock;

/// Interval between reports of cache changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of hashes in a report; keeps a report near 20 KB.
const MAX_REPORTED_HASHES: usize = 1000;

/// LRU cache of prompt blocks.
pub(super) struct PrefixCache {
    /// Maximum number of blocks.
    capacity: usize,
    /// Logical time of the last access to each block.
    last_used: HashMap<PrefixHash, u64>,
    /// Logical time; incremented by each access to a block.
    clock: u64,
    /// Changes to report and their times, oldest first.
    changes: Vec<(Instant, Change)>,
}

#[derive(Clone, Copy)]
enum Change {
    Stored(PrefixHash),
    Removed(PrefixHash),
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, last_used: HashMap::new(), clock: 0, changes: Vec::new() }
    }

    /// Looks up and stores the prefixes of a prompt; returns the number of cached leading blocks.
    pub(super) fn touch(&mut self, prefixes: &[PrefixHash]) -> usize {
        let hits = prefixes.iter().take_while(|hash| self.last_used.contains_key(hash)).count();
        let now = Instant::now();
        // In reverse order, so that long prefixes are evicted before the prefixes they extend.
        for hash in prefixes.iter().rev() {
            self.clock += 1;
            if self.last_used.insert(*hash, self.clock).is_none() {
                self.changes.push((now, Change::Stored(*hash)));
            }
        }
        while self.last_used.len() > self.capacity {
            let Some(oldest) =
                self.last_used.iter().min_by_key(|(_, last_used)| **last_used).map(|(h, _)| *h)
            else {
                break;
            };
            self.last_used.remove(&oldest);
            self.changes.push((now, Change::Removed(oldest)));
        }
        hits
    }

    /// Removes and returns the changes that are at least `delay` old, up to the report limit.
    fn take_changes(&mut self, delay: Duration) -> Vec<Change> {
        let due = self.changes.iter().take_while(|(at, _)| at.elapsed() >= delay).count();
        let due = due.min(MAX_REPORTED_HASHES);
        self.changes.drain(..due).map(|(_, change)| change).collect()
    }
}

impl Engine {
    /// Reports changes of the prefix cache, delayed and with gaps according to the settings.
    pub(super) async fn send_cache_events(&self) {
        let presence = &self.shared.presence;
        let mut sequence = 0;
        let mut entry = 0;
        loop {
            sleep(REPORT_INTERVAL).await;
            let settings = self.shared.settings();
            let delay = Duration::from_millis(settings.cache_event_delay_ms);
            let changes = lock(&self.cache).take_changes(delay);
            if changes.is_empty() {
                continue;
            }
            sequence += 1;
            lock(&self.shared.stats).cache_reports += 1;
            if self.shared.random_bool(settings.cache_event_loss) {
                continue;
            }
            // Only the last change of each prefix is reported.
            let mut seen = HashSet::new();
            let (mut stored, mut removed) = (Vec::new(), Vec::new());
            for change in changes.into_iter().rev() {
                match change {
                    Change::Stored(hash) if seen.insert(hash) => stored.push(hash),
                    Change::Removed(hash) if seen.insert(hash) => removed.push(hash),
                    _ => {}
                }
            }
            let target = presence.identity.target.clone();
            let incarnation = self.incarnation;
            let events = CacheEvents { target, incarnation, sequence, stored, removed };
            // A report that no entry accepts leaves a gap in the sequence numbers.
            let _ = presence.post("/targets/cache-events", &events, &mut entry).await;
        }
    }
}
