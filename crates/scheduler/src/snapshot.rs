//! State of a group for operators and metrics.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;
use shallotdrum_types::{AdapterRef, Incarnation, SubscriberId, TargetId};
use tokio::time::Instant;

use crate::state::State;

/// Subscribers listed at most, longest queue first; bounds the size of a snapshot.
const MAX_SUBSCRIBERS: usize = 100;

/// State of a group.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GroupSnapshot {
    /// Queued requests.
    pub queued: usize,
    /// Subscribers with the longest queues.
    pub subscribers: Vec<SubscriberQueue>,
    /// Targets by name.
    pub targets: BTreeMap<TargetId, TargetSnapshot>,
    /// Load decisions without a result.
    pub loads_in_flight: usize,
    /// Requests admitted since the start.
    pub admitted: u64,
    /// Requests refused or failed in the queue since the start.
    pub refused: u64,
    /// Loads ordered since the start.
    pub loads: u64,
    /// Loads that failed since the start, other than for lack of a permit.
    pub failed_loads: u64,
    /// Evictions ordered since the start.
    pub evictions: u64,
    /// Sum of the load stalls of admitted requests.
    pub load_stall: Duration,
    /// Admitted requests that waited for a load.
    pub stalled: u64,
    /// Sum of the queue waits of admitted requests.
    pub queue_wait: Duration,
    /// Tokens generated for requests that ended.
    pub completion_tokens: u64,
    /// Running requests as a share of all batch places of active targets.
    pub batch_occupancy: f64,
}

/// Queue of one subscriber.
#[derive(Clone, Debug, Serialize)]
pub struct SubscriberQueue {
    /// Subscriber.
    pub subscriber: SubscriberId,
    /// Queued requests.
    pub queued: usize,
    /// Admitted requests.
    pub running: u32,
}

/// State of one target.
#[derive(Clone, Debug, Serialize)]
pub struct TargetSnapshot {
    /// Process start of the target.
    pub incarnation: Incarnation,
    /// Admitted requests.
    pub running: u32,
    /// Requests without a lease, by the latest load report.
    pub foreign: u32,
    /// Requests that are served at a time.
    pub capacity: u32,
    /// Adapters that can serve.
    pub residents: Vec<AdapterRef>,
    /// Adapters whose load is in progress or not settled.
    pub loading: Vec<AdapterRef>,
    /// Adapters that can't be evicted.
    pub pinned: usize,
    /// Adapter slots.
    pub slots: usize,
    /// Longest time until a pin of unknown requests ends by itself.
    pub uncertain_for: Option<Duration>,
    /// Whether the target leaves.
    pub is_draining: bool,
    /// Whether the target is ejected after failures.
    pub is_ejected: bool,
}

impl State {
    pub(crate) fn snapshot(&self, now: Instant) -> GroupSnapshot {
        let mut snapshot = GroupSnapshot {
            queued: self.queued_len(),
            subscribers: self.longest_queues(MAX_SUBSCRIBERS),
            loads_in_flight: self.in_flight.len(),
            admitted: self.stats.admitted,
            refused: self.stats.refused,
            loads: self.stats.loads,
            failed_loads: self.stats.failed_loads,
            evictions: self.stats.evictions,
            load_stall: self.stats.load_stall,
            stalled: self.stats.stalled,
            queue_wait: self.stats.queue_wait,
            completion_tokens: self.stats.tokens.0,
            ..GroupSnapshot::default()
        };
        let (mut running, mut capacity) = (0, 0);
        for target in self.targets.values() {
            if target.is_active(now) {
                running += target.running;
                capacity += target.capacity();
            }
            let (ready, loading): (Vec<_>, Vec<_>) =
                target.slots.slots.iter().partition(|slot| slot.is_ready());
            let name = |key| self.adapters.name(key).clone();
            let state = TargetSnapshot {
                incarnation: target.spec.incarnation,
                running: target.running,
                foreign: target.foreign(now),
                capacity: target.capacity(),
                residents: ready.iter().map(|slot| name(slot.adapter)).collect(),
                loading: loading.iter().map(|slot| name(slot.adapter)).collect(),
                pinned: ready.iter().filter(|slot| !slot.is_idle(now)).count(),
                slots: target.slots.max,
                uncertain_for: target.slots.longest_uncertain(now),
                is_draining: target.is_draining,
                is_ejected: target.health.is_ejected(now),
            };
            snapshot.targets.insert(target.spec.id.clone(), state);
        }
        if capacity > 0 {
            snapshot.batch_occupancy = f64::from(running) / f64::from(capacity);
        }
        snapshot
    }
}
