//! State of the group, protected by its mutex.
//!
//! Queued requests wait in one of several queues. A completion waits in the queue of its adapter,
//! ordered by fair-queueing tag. A target with free capacity takes the lowest tag over all its
//! resident adapters. Requests that cannot run on every target (suspects, resends, requests for the
//! base model) wait in a separate queue, since each of them needs its own target selection.
//!
//! Architecture Invariant: after each pass, no queued request could be served immediately by a
//! target that accepts requests and has capacity.

mod admission;
mod baseline;
mod choice;
mod demand;
mod dispatch;
mod ejection;
mod lifecycle;
mod limits;
mod loads;
mod membership;
mod overload;
mod planner;
mod store_loads;
mod trial;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use rand::{SeedableRng, rngs::StdRng};
use shallotdrum_engine::Priority;
use shallotdrum_types::{
    AdapterRef, Incarnation, RequestError, SoftwareVersion, SubscriberId, TargetId, Tokens,
};
use tokio::time::Instant;

use crate::{
    api::{Finish, LoadOrder, Policy, SchedulerConfig, Scheduling},
    engine_model::PrefillSpeed,
    fair::{Account, Cost, FairClock, Seq},
    measure::{DecayingCounter, Ewma},
    queue_sums::Weighed,
    slots::AdapterKey,
    snapshot::SubscriberQueue,
    table::Table,
    target::{Target, TargetKey},
    urgency::{Queue, Rank},
};

use self::{
    demand::{AdapterDemand, GroupDemand},
    overload::{Demand, Overload},
    store_loads::{StoreLoad, StoreState},
    trial::{GrantTx, Jitter},
};

/// Key of a subscriber in the group's table.
pub(crate) type SubKey = usize;

/// Half-life of an adapter's demand. Load stalls are shortest with 60 to 300 s while popularity is
/// steady, and with 30 to 60 s after popularity has shifted.
pub(crate) const DEMAND_HALF_LIFE: Duration = Duration::from_secs(60);

/// State of the group. A copy serves for trials, which change nothing else; see `trial`.
#[derive(Clone)]
pub(crate) struct State {
    pub(crate) cfg: SchedulerConfig,
    pub(crate) log: slog::Logger,
    rng: Jitter,
    fair_clock: FairClock,
    pub(crate) subs: Table<SubscriberId, Account>,
    pub(crate) adapters: Table<AdapterRef, Adapter>,
    pub(crate) targets: BTreeMap<TargetKey, Target>,
    target_keys: HashMap<TargetId, TargetKey>,
    next_target: TargetKey,
    next_seq: Seq,
    queued: HashMap<Seq, QueuedRequest>,
    running: HashMap<Seq, RunningRequest>,
    /// Repeatable service calls.
    lookups: Queue,
    /// Non-repeatable service calls.
    calls: Queue,
    /// Suspects, resends and requests for the base model.
    restricted: Queue,
    /// Adapters with queued requests.
    waiting: BTreeSet<AdapterKey>,
    /// Requests that the baseline policy has not assigned to a target yet.
    unassigned: VecDeque<Seq>,
    next_round_robin: usize,
    /// Queue length of each subscriber with queued requests, to find the longest.
    by_queue_len: BTreeSet<(usize, SubKey)>,
    /// Load orders to send once the mutex is released.
    orders: Vec<(TargetKey, AdapterKey, LoadOrder)>,
    /// Loads that were decided and have no result yet.
    pub(crate) loads_in_flight: BTreeSet<(TargetKey, AdapterKey)>,
    /// Members of `loads_in_flight` that fetch from the weight store.
    store_loads: BTreeMap<(TargetKey, AdapterKey), StoreLoad>,
    store: StoreState,
    /// Orders without a result to targets that have been removed since.
    orphaned_orders: BTreeMap<(TargetKey, AdapterKey), (TargetId, Incarnation)>,
    next_plan_at: Instant,
    next_prefetch_at: Instant,
    /// Number of adapters with queued requests and no holder, as of the latest planning pass.
    missing_adapters: usize,
    /// Sum over the missing adapters of the load share of their first request.
    missing_share: f64,
    /// Number of missing adapters by the subscriber of their first request.
    missing_by_sub: HashMap<SubKey, u32>,
    /// Recent arrivals from subscribers within their fair share.
    light_arrivals: DecayingCounter,
    /// Latest engine requests of two different light subscribers, the newest first.
    latest_light: [Option<(SubKey, Instant)>; 2],
    /// Total weight of the subscribers with queued requests.
    active_weight: f64,
    /// Mean seconds per generated token, from admission to the end of the response.
    secs_per_token: Ewma,
    prefill_speed: PrefillSpeed,
    demand: GroupDemand,
    /// Mean seconds from admission to the end of the response.
    service_secs: Ewma,
    /// Mean seconds between the ends of consecutive loads while the weight store is busy.
    load_interval_secs: Ewma,
    last_load_end: Option<Instant>,
    no_target_since: Option<Instant>,
    next_maintenance_at: Instant,
    /// Earliest time at which a subscriber's full queue is logged again.
    next_queue_full_log_at: Instant,
    /// Refusals because of a full queue that were not logged since the latest log line.
    suppressed_queue_full_logs: u64,
    overload: Overload,
    pub(crate) stats: Stats,
    /// Error for requests that need a load, if no more loads are started.
    loads_stopped: Option<RequestError>,
    pub(crate) closed: Option<RequestError>,
}

/// Totals since the scheduler was created.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stats {
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
    pub(crate) refused_on_arrival: u64,
    pub(crate) refused_in_queue: u64,
    pub(crate) displaced: u64,
    pub(crate) loads: u64,
    pub(crate) failed_loads: u64,
    pub(crate) evictions: u64,
    pub(crate) load_stall: Duration,
    pub(crate) stalled: u64,
    pub(crate) queue_wait: Duration,
    pub(crate) tokens: Tokens,
}

/// Adapter that was requested, or reported by a target.
#[derive(Clone, Debug)]
pub(crate) struct Adapter {
    source: Option<String>,
    queue: Queue,
    /// Recent requests, each weighted by its subscriber's fair share.
    demand: DecayingCounter,
    /// Engine time that is asked for, over all groups that serve the adapter.
    engine_demand: AdapterDemand,
    /// Targets on which the adapter is ready to serve.
    holders: Vec<TargetKey>,
    /// Targets on which the adapter is being loaded.
    loading: Vec<TargetKey>,
    /// Time since which at least one target can serve the adapter.
    available_since: Option<Instant>,
    /// Time since which requests wait although the adapter has a holder.
    blocked_since: Option<Instant>,
    failures: u32,
    retry_at: Instant,
    /// Targets on which a load failed recently, with the time of the failure.
    failed_on: Vec<(TargetKey, Instant)>,
    /// Queued requests for the adapter, in any queue.
    queued_requests: u32,
}

impl Adapter {
    fn new(now: Instant) -> Self {
        Self {
            source: None,
            queue: Queue::new(),
            demand: DecayingCounter::new(DEMAND_HALF_LIFE, now),
            engine_demand: AdapterDemand::new(now),
            holders: Vec::new(),
            loading: Vec::new(),
            available_since: None,
            blocked_since: None,
            failures: 0,
            retry_at: now,
            failed_on: Vec::new(),
            queued_requests: 0,
        }
    }
}

/// Queue that a request waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueueId {
    Adapter(AdapterKey),
    Service {
        is_repeatable: bool,
    },
    Restricted,
    /// Queue of the baseline policy: at a target, or not assigned yet.
    Assigned(Option<TargetKey>),
}

/// Request that waits for admission.
#[derive(Clone)]
struct QueuedRequest {
    sub: SubKey,
    adapter: Option<AdapterKey>,
    /// Whether it runs on an engine: on an adapter, or on the base model if it has none.
    is_engine: bool,
    queue_id: QueueId,
    rank: Rank,
    /// As the sums over the queued requests know it.
    weighed: Weighed,
    demand: Demand,
    cost: Cost,
    /// Engine time that it takes, in milliseconds; 0 if that does not count.
    work_ms: f64,
    prompt_tokens: u64,
    /// Expected number of generated tokens.
    response_tokens: f64,
    prefixes: Vec<u64>,
    queued_at: Instant,
    expires_at: Instant,
    is_repeatable: bool,
    is_suspect: bool,
    avoid: Vec<TargetId>,
    software: Option<SoftwareVersion>,
    /// Number of groups over which its entry spreads the adapter.
    spread: u32,
    priority: Priority,
    tx: GrantTx,
}

impl QueuedRequest {
    fn admission_class(&self) -> AdmissionClass {
        let response_tokens = self.response_tokens;
        AdmissionClass { sub: self.sub, is_repeatable: self.is_repeatable, response_tokens }
    }

    /// Targets at which the request must not run.
    fn exclusion(&self) -> Exclusion<'_> {
        Exclusion { avoid: &self.avoid, software: self.software.as_ref() }
    }
}

/// Targets at which a request must not run.
#[derive(Clone, Copy)]
struct Exclusion<'a> {
    /// Ignored if no other target is left.
    avoid: &'a [TargetId],
    /// Only targets with this software version are left.
    software: Option<&'a SoftwareVersion>,
}

impl Exclusion<'_> {
    const NONE: Self = Self { avoid: &[], software: None };

    fn is_other_software(&self, target: &Target) -> bool {
        self.software.is_some_and(|required| target.spec.software.as_ref() != Some(required))
    }

    fn excludes(&self, target: &Target) -> bool {
        self.avoid.contains(&target.spec.id) || self.is_other_software(target)
    }
}

/// Properties of a request that decide which part of a target's capacity it may use, and where it
/// would finish first.
#[derive(Clone, Copy, Debug)]
struct AdmissionClass {
    sub: SubKey,
    is_repeatable: bool,
    /// Number of tokens that it is expected to generate.
    response_tokens: f64,
}

/// Admitted request.
#[derive(Clone)]
struct RunningRequest {
    sub: SubKey,
    target: TargetKey,
    adapter: Option<AdapterKey>,
    /// Whether it uses capacity that is not reserved for lookups.
    is_unreserved: bool,
    cost: Cost,
    prompt_tokens: u64,
    /// Limit on generated tokens; absent for a service call.
    max_tokens: Option<u64>,
    admitted_at: Instant,
    /// Time from the grant to the end as the entry measured it.
    used: Option<Duration>,
    /// Prompt tokens that the engine had to read, if it was expected to be idle.
    unread_tokens: Option<f64>,
    /// Expected time to the first token at the pace 1; absent without an engine model.
    first_token: Option<Duration>,
    is_started: bool,
    first_token_at: Option<Instant>,
    tokens: u64,
}

/// Admission of a request to a target.
#[derive(Debug)]
pub(crate) struct Grant {
    pub(crate) target: TargetId,
    pub(crate) incarnation: Incarnation,
    pub(crate) addr: SocketAddr,
    pub(crate) is_rate_limited: bool,
    pub(crate) software: Option<SoftwareVersion>,
    pub(crate) priority: Priority,
    pub(crate) queue_wait: Duration,
    pub(crate) load_stall: Duration,
    /// Number of groups over which the adapter should be spread; absent if the owner does not say.
    pub(crate) spread: Option<u32>,
    /// Expected wait of another request in the group; absent if the owner does not say.
    pub(crate) group_wait: Option<Duration>,
}

impl State {
    pub(crate) fn new(cfg: SchedulerConfig, log: slog::Logger, now: Instant) -> Self {
        let rng = match cfg.seed {
            Some(seed) => StdRng::seed_from_u64(seed),
            None => rand::make_rng(),
        };
        let configured = cfg.engine_model.map_or(1.0, |model| model.prefill_tokens_per_ms);
        let prefill_speed = PrefillSpeed::new(configured);
        let max_loads = cfg.max_outstanding_loads;
        let load = cfg.engine_model.unwrap_or_default().store_load.as_secs_f64();
        let store = StoreState::new(max_loads, max_loads as f64 / load, now);
        Self {
            cfg,
            log,
            rng: Jitter(rng),
            fair_clock: FairClock::default(),
            subs: Table::new(),
            adapters: Table::new(),
            targets: BTreeMap::new(),
            target_keys: HashMap::new(),
            next_target: 0,
            next_seq: 0,
            queued: HashMap::new(),
            running: HashMap::new(),
            lookups: Queue::new(),
            calls: Queue::new(),
            restricted: Queue::new(),
            waiting: BTreeSet::new(),
            unassigned: VecDeque::new(),
            next_round_robin: 0,
            by_queue_len: BTreeSet::new(),
            orders: Vec::new(),
            loads_in_flight: BTreeSet::new(),
            store_loads: BTreeMap::new(),
            store,
            orphaned_orders: BTreeMap::new(),
            next_plan_at: now,
            next_prefetch_at: now,
            missing_adapters: 0,
            missing_share: 0.0,
            missing_by_sub: HashMap::new(),
            light_arrivals: DecayingCounter::new(DEMAND_HALF_LIFE, now),
            latest_light: [None; 2],
            active_weight: 0.0,
            secs_per_token: Ewma::default(),
            prefill_speed,
            demand: GroupDemand::new(now),
            service_secs: Ewma::default(),
            load_interval_secs: Ewma::default(),
            last_load_end: None,
            no_target_since: None,
            next_maintenance_at: now,
            next_queue_full_log_at: now,
            suppressed_queue_full_logs: 0,
            overload: Overload::new(now),
            stats: Stats::default(),
            loads_stopped: None,
            closed: None,
        }
    }

    /// Whether urgency and the measured pace of targets decide the order and the place of requests.
    pub(crate) fn is_urgency_active(&self) -> bool {
        let is_chosen = match self.cfg.scheduling {
            Scheduling::Shares => false,
            Scheduling::Urgency => true,
            Scheduling::WhenPaced => self.demand.is_paced,
        };
        is_chosen && self.cfg.policy == Policy::Adaptive
    }

    /// Takes the pending load orders.
    pub(crate) fn take_orders(&mut self) -> Vec<(TargetKey, AdapterKey, LoadOrder)> {
        std::mem::take(&mut self.orders)
    }

    pub(crate) fn has_orders(&self) -> bool {
        !self.orders.is_empty()
    }

    /// Subscribers with the longest queues, longest first.
    pub(crate) fn longest_queues(&self, max: usize) -> Vec<SubscriberQueue> {
        let longest = self.by_queue_len.iter().rev().take(max);
        longest
            .map(|(queued, sub)| SubscriberQueue {
                subscriber: self.subs.name(*sub).clone(),
                queued: *queued,
                running: self.subs[*sub].running,
            })
            .collect()
    }

    pub(crate) fn queued_len(&self) -> usize {
        self.queued.len()
    }

    /// Fails all queued requests and refuses new ones.
    pub(crate) fn close(&mut self, error: RequestError) {
        if self.closed.is_some() {
            return;
        }
        let seqs: Vec<Seq> = self.queued.keys().copied().collect();
        for seq in seqs {
            self.fail(seq, error.clone());
        }
        self.closed = Some(error);
        self.orders.clear();
    }

    /// Fails a queued request.
    fn fail(&mut self, seq: Seq, error: RequestError) {
        if let Some(queued) = self.remove_queued(seq) {
            self.refuse(queued, error);
        }
    }

    /// Responds to a request that was removed from the queue.
    fn refuse(&mut self, queued: QueuedRequest, error: RequestError) {
        self.refund(&queued);
        self.stats.refused += 1;
        // The caller may have dropped the receiver.
        queued.tx.send(Err(error));
    }

    /// Withdraws a request that is queued, or admitted without the caller having received the
    /// lease.
    pub(crate) fn withdraw(&mut self, seq: Seq, now: Instant) {
        match self.remove_queued(seq) {
            Some(queued) => {
                self.refund(&queued);
                self.end_busy_period_if_idle();
            }
            None => self.release(seq, Finish::Cancelled, now),
        }
    }

    fn refund(&mut self, queued: &QueuedRequest) {
        self.subs[queued.sub].refund(queued.cost);
    }

    /// Removes a request from the queue.
    fn remove_queued(&mut self, seq: Seq) -> Option<QueuedRequest> {
        let queued = self.queued.remove(&seq)?;
        self.remove_from_queue(seq, &queued);
        self.discount_queued(seq, &queued);
        self.demand.queued_ms -= queued.work_ms;
        let sub = &mut self.subs[queued.sub];
        self.by_queue_len.remove(&(sub.queued.len(), queued.sub));
        sub.queued.remove(&seq);
        if sub.queued.is_empty() {
            self.active_weight -= std::mem::take(&mut sub.active_weight);
        } else {
            self.by_queue_len.insert((sub.queued.len(), queued.sub));
        }
        if let Some(adapter) = queued.adapter {
            self.adapters[adapter].queued_requests -= 1;
        }
        if queued.is_suspect {
            for target in self.targets.values_mut() {
                target.reserved_for = target.reserved_for.filter(|reserved| *reserved != seq);
            }
        }
        Some(queued)
    }

    fn remove_from_queue(&mut self, seq: Seq, queued: &QueuedRequest) {
        match queued.queue_id {
            QueueId::Adapter(key) => {
                let adapter = &mut self.adapters[key];
                adapter.queue.remove(&(queued.rank, seq));
                if adapter.queue.is_empty() {
                    adapter.blocked_since = None;
                    self.waiting.remove(&key);
                }
            }
            QueueId::Service { is_repeatable } => {
                self.services_mut(is_repeatable).remove(&(queued.rank, seq));
            }
            QueueId::Restricted => {
                self.restricted.remove(&(queued.rank, seq));
            }
            QueueId::Assigned(target) => {
                let fifo = match target.and_then(|key| self.targets.get_mut(&key)) {
                    Some(target) => &mut target.assigned,
                    None => &mut self.unassigned,
                };
                if let Some(at) = fifo.iter().position(|other| *other == seq) {
                    fifo.remove(at);
                }
            }
        }
    }

    fn services_mut(&mut self, is_repeatable: bool) -> &mut Queue {
        if is_repeatable { &mut self.lookups } else { &mut self.calls }
    }

    fn end_busy_period_if_idle(&mut self) {
        if self.queued.is_empty() {
            self.fair_clock.end_busy_period();
        }
    }
}
