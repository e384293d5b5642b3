//! Snapshot of a group's state for operators and metrics.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;
use shallotdrum_telemetry::StoreLoadValues;
use shallotdrum_types::{AdapterRef, Incarnation, SubscriberId, TargetId};
use tokio::time::Instant;

use crate::state::State;

/// Limit on listed subscribers, longest queue first; bounds the size of a snapshot.
const MAX_LISTED_SUBSCRIBERS: usize = 100;

/// State of a group. Totals count from the creation of its scheduler.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GroupSnapshot {
    /// Requests that wait for admission.
    pub queued: usize,
    /// Subscribers with the longest queues, longest first.
    pub subscribers: Vec<SubscriberQueue>,
    /// Targets by name.
    pub targets: BTreeMap<TargetId, TargetSnapshot>,
    /// Loads that were decided and have no result yet.
    pub loads_in_flight: usize,
    /// Loads among them that fetch from the weight store.
    pub store_loads: usize,
    /// Loads from the store whose orders have had no response for a response timeout.
    pub unanswered_loads: usize,
    /// Limit on loads from the store; absent if it is not learned.
    pub store_limit: Option<usize>,
    /// Observed rate of loads from the store per second; absent if it is not used.
    pub store_rate: Option<f64>,
    /// Shortest time of a load from the store; absent if it is not known or not used.
    pub shortest_store_load: Option<Duration>,
    /// Median time of the latest loads from the store; absent if it is not known or not used.
    pub median_store_load: Option<Duration>,
    /// Total of admitted requests.
    pub admitted: u64,
    /// Total of requests that were refused or failed in the queue.
    pub refused: u64,
    /// Total of requests refused on arrival because they could not be finished by their deadline.
    pub refused_on_arrival: u64,
    /// Total of queued requests refused for the same reason.
    pub refused_in_queue: u64,
    /// Total of queued requests refused in favour of more urgent ones.
    pub displaced: u64,
    /// Total of load orders.
    pub loads: u64,
    /// Total of failed loads, except those without a permit.
    pub failed_loads: u64,
    /// Total of ordered evictions.
    pub evictions: u64,
    /// Sum of the load stalls of admitted requests.
    pub load_stall: Duration,
    /// Total of admitted requests that waited for a load.
    pub stalled: u64,
    /// Sum of the queue waits of admitted requests.
    pub queue_wait: Duration,
    /// Total of tokens generated for requests that ended.
    pub completion_tokens: u64,
    /// Running requests as a share of the capacity of all active targets, 0 to 1.
    pub batch_occupancy: f64,
    /// Adapters that are spread over more than one group, with the number of groups.
    pub spreads: Vec<(AdapterRef, u32)>,
    /// Expected wait of another request; absent if entries are not told.
    pub group_wait: Option<Duration>,
}

impl GroupSnapshot {
    /// Values for the metrics of loads from the store; absent if their limit is not learned.
    pub fn store_load_values(&self) -> Option<StoreLoadValues> {
        Some(StoreLoadValues {
            limit: self.store_limit?,
            in_flight: self.store_loads,
            unanswered: self.unanswered_loads,
            rate: self.store_rate?,
            shortest: self.shortest_store_load,
            median: self.median_store_load,
        })
    }
}

/// Queue of one subscriber.
#[derive(Clone, Debug, Serialize)]
pub struct SubscriberQueue {
    /// Subscriber that sent the requests.
    pub subscriber: SubscriberId,
    /// Requests that wait for admission.
    pub queued: usize,
    /// Admitted requests that have not ended.
    pub running: u32,
}

/// State of one target.
#[derive(Clone, Debug, Serialize)]
pub struct TargetSnapshot {
    /// Identifies the target's process.
    pub incarnation: Incarnation,
    /// Admitted requests that have not ended.
    pub running: u32,
    /// Requests without a lease of this owner, according to the latest load report.
    pub foreign: u32,
    /// Limit on concurrent requests.
    pub capacity: u32,
    /// Adapters that are ready to serve.
    pub residents: Vec<AdapterRef>,
    /// Adapters that are being loaded, or whose load has an unknown result.
    pub loading: Vec<AdapterRef>,
    /// Number of resident adapters that cannot be evicted.
    pub pinned: usize,
    /// Number of adapter slots; 0 for a service.
    pub slots: usize,
    /// Longest remaining time of a pin held for requests without a lease; absent without such pins.
    pub uncertain_for: Option<Duration>,
    /// Whether the target gets no new requests because it is leaving.
    pub is_draining: bool,
    /// Whether the target is ejected after failures.
    pub is_ejected: bool,
    /// Expected factor on the times of the target; absent if its pace is not used.
    pub pace: Option<f64>,
}

impl State {
    pub(crate) fn snapshot(&self, now: Instant) -> GroupSnapshot {
        let mut snapshot = GroupSnapshot {
            queued: self.queued_len(),
            subscribers: self.longest_queues(MAX_LISTED_SUBSCRIBERS),
            loads_in_flight: self.loads_in_flight.len(),
            store_loads: self.store_loads(),
            unanswered_loads: self.unanswered_loads(now),
            store_limit: self.store_limit(),
            store_rate: self.store_rate(now),
            shortest_store_load: self.shortest_store_load(),
            median_store_load: self.median_store_load(),
            admitted: self.stats.admitted,
            refused: self.stats.refused,
            refused_on_arrival: self.stats.refused_on_arrival,
            refused_in_queue: self.stats.refused_in_queue,
            displaced: self.stats.displaced,
            loads: self.stats.loads,
            failed_loads: self.stats.failed_loads,
            evictions: self.stats.evictions,
            load_stall: self.stats.load_stall,
            stalled: self.stats.stalled,
            queue_wait: self.stats.queue_wait,
            completion_tokens: self.stats.tokens.0,
            spreads: self.spreads(),
            group_wait: self.group_wait(now),
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
                uncertain_for: target.slots.longest_uncertain_pin(now),
                is_draining: target.is_draining,
                is_ejected: target.health.is_ejected(now),
                pace: self.is_urgency_active().then(|| target.pace.factor(now)),
            };
            snapshot.targets.insert(target.spec.id.clone(), state);
        }
        if capacity > 0 {
            snapshot.batch_occupancy = f64::from(running) / f64::from(capacity);
        }
        snapshot
    }
}
