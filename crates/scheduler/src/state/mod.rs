//! State of the group, changed only under its mutex.
//!
//! Queued requests wait in one of several lanes. A completion waits at its adapter, ordered by
//! fair-queueing tag; a target with room takes the lowest tag over its resident adapters. Requests
//! that can't run on every target (suspects, resends) wait in a lane of their own, since each of
//! them needs an individual choice.
//!
//! Architecture Invariant: after each pass no request waits that an open target with room could
//! serve at once.

mod admission;
mod baseline;
mod choice;
mod dispatch;
mod loads;
mod membership;
mod planner;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use shallotdrum_engine::Priority;
use shallotdrum_telemetry::event;
use shallotdrum_types::{AdapterRef, Incarnation, RequestError, SubscriberId, TargetId, Tokens};
use tokio::{sync::oneshot, time::Instant};

use crate::{
    api::{Finish, LoadOrder, Policy, SchedulerConfig},
    fair::{Account, Cost, FairClock, Seq, Tag},
    measure::{Decayed, Mean},
    slots::AdapterKey,
    snapshot::SubscriberQueue,
    table::Table,
    target::{Target, TargetKey},
};

use self::choice::has_common_place;

/// Key of a subscriber in the group's table.
pub(crate) type SubKey = usize;

/// Half-life of an adapter's demand. Of 15, 30, 60, 120 and 300 s, the bench `policies` shows the
/// best stalls under steady popularity from 60 s on, and after a shift at 30 to 60 s.
pub(crate) const DEMAND_HALF_LIFE: Duration = Duration::from_secs(60);

/// State of the group.
pub(crate) struct State {
    pub(crate) cfg: SchedulerConfig,
    pub(crate) log: slog::Logger,
    rng: StdRng,
    clock: FairClock,
    pub(crate) subs: Table<SubscriberId, Account>,
    pub(crate) adapters: Table<AdapterRef, Adapter>,
    pub(crate) targets: BTreeMap<TargetKey, Target>,
    target_keys: HashMap<TargetId, TargetKey>,
    next_target: TargetKey,
    next_seq: Seq,
    queued: HashMap<Seq, Queued>,
    running: HashMap<Seq, Running>,
    /// Repeatable service calls in order of tags.
    lookups: BTreeSet<(Tag, Seq)>,
    /// Service calls that may not be repeated, in order of tags.
    calls: BTreeSet<(Tag, Seq)>,
    /// Suspects and resends in order of tags.
    special: BTreeSet<(Tag, Seq)>,
    /// Adapters with queued requests.
    waiting: BTreeSet<AdapterKey>,
    /// Requests that the baseline policy could not assign to a target yet.
    unassigned: VecDeque<Seq>,
    round_robin: usize,
    /// Number of queued requests and subscriber, to find the longest queue.
    longest: BTreeSet<(usize, SubKey)>,
    /// Load orders to send once the mutex is released.
    orders: Vec<(TargetKey, AdapterKey, LoadOrder)>,
    /// Load decisions without a result.
    pub(crate) in_flight: BTreeSet<(TargetKey, AdapterKey)>,
    /// Those of them that fetch from the weight store.
    store_loads: BTreeSet<(TargetKey, AdapterKey)>,
    /// Orders without a result to targets that were removed meanwhile.
    orphaned: BTreeMap<(TargetKey, AdapterKey), (TargetId, Incarnation)>,
    next_plan_at: Instant,
    next_prefetch_at: Instant,
    /// Adapters without a holder at the latest plan, for the expected wait.
    starved: usize,
    /// The same, with each adapter weighted by the fair share of its first request.
    starved_share: f64,
    /// Adapters without a holder that each subscriber waits for.
    starved_subs: HashMap<SubKey, u32>,
    /// Recent arrivals of subscribers within their share.
    light: Decayed,
    /// Sum of the weights of subscribers with queued requests.
    active_weight: f64,
    /// Seconds from admission to the end of an answer, for each generated token.
    secs_per_token: Mean,
    /// Seconds from admission to the end of an answer.
    service_secs: Mean,
    load_interval: Mean,
    last_load_end: Option<Instant>,
    without_target_since: Option<Instant>,
    next_upkeep_at: Instant,
    /// The next full queue of a subscriber is logged from here on.
    next_full_log_at: Instant,
    /// Full queues that were not logged since the latest line.
    unlogged_full: u64,
    pub(crate) stats: Stats,
    pub(crate) closed: Option<RequestError>,
}

/// Totals since the scheduler was created.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stats {
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
    pub(crate) loads: u64,
    pub(crate) failed_loads: u64,
    pub(crate) evictions: u64,
    pub(crate) load_stall: Duration,
    pub(crate) stalled: u64,
    pub(crate) queue_wait: Duration,
    pub(crate) tokens: Tokens,
}

/// Adapter that was asked for or found on a target.
#[derive(Debug)]
pub(crate) struct Adapter {
    source: Option<String>,
    queue: BTreeSet<(Tag, Seq)>,
    /// Recent requests, each weighted by its subscriber's fair share.
    demand: Decayed,
    /// Targets on which it can serve.
    holders: Vec<TargetKey>,
    /// Targets on which it is being loaded.
    loading: Vec<TargetKey>,
    /// Since when at least one target can serve it.
    available_since: Option<Instant>,
    /// Since when requests wait although a target holds it.
    blocked_since: Option<Instant>,
    failures: u32,
    retry_at: Instant,
    /// Targets on which a load failed lately.
    failed_on: Vec<(TargetKey, Instant)>,
    /// Queued requests in any lane.
    users: u32,
}

impl Adapter {
    fn new(now: Instant) -> Self {
        Self {
            source: None,
            queue: BTreeSet::new(),
            demand: Decayed::new(DEMAND_HALF_LIFE, now),
            holders: Vec::new(),
            loading: Vec::new(),
            available_since: None,
            blocked_since: None,
            failures: 0,
            retry_at: now,
            failed_on: Vec::new(),
            users: 0,
        }
    }
}

/// Where a queued request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lane {
    Adapter(AdapterKey),
    Service {
        is_repeatable: bool,
    },
    Special,
    /// Baseline policy: at the target, or without one.
    Assigned(Option<TargetKey>),
}

/// Request that waits.
struct Queued {
    sub: SubKey,
    adapter: Option<AdapterKey>,
    /// Whether it runs on an engine; without an adapter then, on the base model.
    is_engine: bool,
    lane: Lane,
    tag: Tag,
    cost: Cost,
    prompt_tokens: u64,
    prefixes: Vec<u64>,
    queued_at: Instant,
    give_up_at: Instant,
    is_repeatable: bool,
    is_suspect: bool,
    avoid: Vec<TargetId>,
    priority: Priority,
    tx: oneshot::Sender<Result<Grant, RequestError>>,
}

impl Queued {
    fn claim(&self) -> Claim {
        Claim { sub: self.sub, is_repeatable: self.is_repeatable }
    }
}

/// What decides which places of a target a request may take.
#[derive(Clone, Copy, Debug)]
struct Claim {
    sub: SubKey,
    is_repeatable: bool,
}

/// Admitted request.
struct Running {
    sub: SubKey,
    target: TargetKey,
    adapter: Option<AdapterKey>,
    /// Whether it has a place that is not reserved for lookups.
    is_common: bool,
    cost: Cost,
    prompt_tokens: u64,
    admitted_at: Instant,
    is_started: bool,
    first_token_at: Option<Instant>,
    tokens: u64,
}

/// Place in a target's batch.
#[derive(Debug)]
pub(crate) struct Grant {
    pub(crate) target: TargetId,
    pub(crate) incarnation: Incarnation,
    pub(crate) addr: SocketAddr,
    pub(crate) priority: Priority,
    pub(crate) queue_wait: Duration,
    pub(crate) load_stall: Duration,
}

impl State {
    pub(crate) fn new(cfg: SchedulerConfig, log: slog::Logger, now: Instant) -> Self {
        let rng = match cfg.seed {
            Some(seed) => StdRng::seed_from_u64(seed),
            None => rand::make_rng(),
        };
        Self {
            cfg,
            log,
            rng,
            clock: FairClock::default(),
            subs: Table::new(),
            adapters: Table::new(),
            targets: BTreeMap::new(),
            target_keys: HashMap::new(),
            next_target: 0,
            next_seq: 0,
            queued: HashMap::new(),
            running: HashMap::new(),
            lookups: BTreeSet::new(),
            calls: BTreeSet::new(),
            special: BTreeSet::new(),
            waiting: BTreeSet::new(),
            unassigned: VecDeque::new(),
            round_robin: 0,
            longest: BTreeSet::new(),
            orders: Vec::new(),
            in_flight: BTreeSet::new(),
            store_loads: BTreeSet::new(),
            orphaned: BTreeMap::new(),
            next_plan_at: now,
            next_prefetch_at: now,
            starved: 0,
            starved_share: 0.0,
            starved_subs: HashMap::new(),
            light: Decayed::new(DEMAND_HALF_LIFE, now),
            active_weight: 0.0,
            secs_per_token: Mean::default(),
            service_secs: Mean::default(),
            load_interval: Mean::default(),
            last_load_end: None,
            without_target_since: None,
            next_upkeep_at: now,
            next_full_log_at: now,
            unlogged_full: 0,
            stats: Stats::default(),
            closed: None,
        }
    }

    /// Takes the load orders that were decided.
    pub(crate) fn take_orders(&mut self) -> Vec<(TargetKey, AdapterKey, LoadOrder)> {
        std::mem::take(&mut self.orders)
    }

    pub(crate) fn has_orders(&self) -> bool {
        !self.orders.is_empty()
    }

    /// Subscribers with the longest queues.
    pub(crate) fn longest_queues(&self, max: usize) -> Vec<SubscriberQueue> {
        let longest = self.longest.iter().rev().take(max);
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

    /// Fails every queued request and refuses new ones.
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
            self.refund(&queued);
            self.stats.refused += 1;
            // The caller may have gone away.
            let _ = queued.tx.send(Err(error));
        }
    }

    /// Withdraws a request, whether it is queued or admitted but not taken yet.
    pub(crate) fn withdraw(&mut self, seq: Seq, now: Instant) {
        match self.remove_queued(seq) {
            Some(queued) => {
                self.refund(&queued);
                self.end_busy_period_if_idle();
            }
            None => self.release(seq, Finish::Cancelled, now),
        }
    }

    fn refund(&mut self, queued: &Queued) {
        self.subs[queued.sub].refund(queued.cost);
    }

    /// Takes a request out of the queue.
    fn remove_queued(&mut self, seq: Seq) -> Option<Queued> {
        let queued = self.queued.remove(&seq)?;
        self.leave_lane(seq, &queued);
        let sub = &mut self.subs[queued.sub];
        self.longest.remove(&(sub.queued.len(), queued.sub));
        sub.queued.remove(&seq);
        if sub.queued.is_empty() {
            self.active_weight -= std::mem::take(&mut sub.active_weight);
        } else {
            self.longest.insert((sub.queued.len(), queued.sub));
        }
        if let Some(adapter) = queued.adapter {
            self.adapters[adapter].users -= 1;
        }
        if queued.is_suspect {
            for target in self.targets.values_mut() {
                target.reserved = target.reserved.filter(|reserved| *reserved != seq);
            }
        }
        Some(queued)
    }

    fn leave_lane(&mut self, seq: Seq, queued: &Queued) {
        match queued.lane {
            Lane::Adapter(key) => {
                let adapter = &mut self.adapters[key];
                adapter.queue.remove(&(queued.tag, seq));
                if adapter.queue.is_empty() {
                    adapter.blocked_since = None;
                    self.waiting.remove(&key);
                }
            }
            Lane::Service { is_repeatable } => {
                self.services_mut(is_repeatable).remove(&(queued.tag, seq));
            }
            Lane::Special => {
                self.special.remove(&(queued.tag, seq));
            }
            Lane::Assigned(target) => {
                let fifo = match target.and_then(|key| self.targets.get_mut(&key)) {
                    Some(target) => &mut target.fifo,
                    None => &mut self.unassigned,
                };
                if let Some(at) = fifo.iter().position(|other| *other == seq) {
                    fifo.remove(at);
                }
            }
        }
    }

    fn services_mut(&mut self, is_repeatable: bool) -> &mut BTreeSet<(Tag, Seq)> {
        if is_repeatable { &mut self.lookups } else { &mut self.calls }
    }

    /// Admits a queued request to a target.
    fn grant(&mut self, seq: Seq, key: TargetKey, now: Instant) {
        let Some(queued) = self.remove_queued(seq) else { return };
        let Some(target) = self.targets.get_mut(&key) else { return };
        let mut ready_since = None;
        if let Some(adapter) = queued.adapter {
            if let Some(slot) = target.slots.get_mut(adapter) {
                slot.leases += 1;
                slot.last_used = now;
                ready_since = Some(slot.ready_at);
            }
            if let Lane::Adapter(_) = queued.lane {
                ready_since = self.adapters[adapter].available_since;
            }
        }
        if let Some(model) = self.cfg.engine_model.filter(|_| queued.is_engine) {
            let cached = target.prefixes.matched(&queued.prefixes);
            target.backlog.add(model.prefill(queued.prompt_tokens, cached), now);
            if let Some(adapter) = queued.adapter {
                target.kept.touch(adapter, model.kept_adapters);
            }
        }
        target.prefixes.sent(&queued.prefixes, now);
        // Lookups take a reserved place only if the others are in use.
        let is_common = has_common_place(target, now);
        target.running += 1;
        target.common += u32::from(is_common);
        target.running_peak = target.running_peak.max(target.running);
        if queued.is_suspect {
            target.exclusive = Some(seq);
        }
        let load_stall = ready_since
            .map_or(Duration::ZERO, |since| since.saturating_duration_since(queued.queued_at));
        let grant = Grant {
            target: target.spec.id.clone(),
            incarnation: target.spec.incarnation,
            addr: target.spec.addr,
            priority: queued.priority,
            queue_wait: now - queued.queued_at,
            load_stall,
        };
        self.stats.admitted += 1;
        self.stats.queue_wait += grant.queue_wait;
        self.stats.load_stall += load_stall;
        self.stats.stalled += u64::from(!load_stall.is_zero());
        self.clock.serve(queued.tag);
        self.subs[queued.sub].running += 1;
        let running = Running {
            sub: queued.sub,
            target: key,
            adapter: queued.adapter,
            is_common,
            cost: queued.cost,
            prompt_tokens: queued.prompt_tokens,
            admitted_at: now,
            is_started: false,
            first_token_at: None,
            tokens: 0,
        };
        self.running.insert(seq, running);
        // If the caller has gone away, its guard releases the place.
        let _ = queued.tx.send(Ok(grant));
    }

    /// Takes note that the request is being sent.
    pub(crate) fn started(&mut self, seq: Seq) {
        if let Some(running) = self.running.get_mut(&seq) {
            running.is_started = true;
        }
    }

    /// Takes note of generated tokens.
    pub(crate) fn tokens(&mut self, seq: Seq, n: u64, now: Instant) {
        if let Some(running) = self.running.get_mut(&seq) {
            running.is_started = true;
            running.first_token_at.get_or_insert(now);
            running.tokens += n;
        }
    }

    /// Ends an admitted request and gives its place to others.
    pub(crate) fn release(&mut self, seq: Seq, finish: Finish, now: Instant) {
        let Some(running) = self.running.remove(&seq) else { return };
        let account = &mut self.subs[running.sub];
        account.running -= 1;
        let actual = match finish {
            Finish::Answered { prompt_tokens, completion_tokens } => {
                account.completion.add(completion_tokens as f64);
                let secs = (now - running.admitted_at).as_secs_f64();
                self.service_secs.add(secs);
                if running.adapter.is_some() {
                    self.secs_per_token.add(secs / completion_tokens.max(1) as f64);
                }
                self.stats.tokens.0 += completion_tokens;
                Cost::tokens(prompt_tokens, completion_tokens as f64)
            }
            Finish::Refused => Cost::default(),
            _ if !running.is_started => Cost::default(),
            Finish::TargetFailed | Finish::TargetCrashed | Finish::Cancelled => {
                self.stats.tokens.0 += running.tokens;
                Cost::tokens(running.prompt_tokens, running.tokens as f64)
            }
        };
        account.refund(running.cost);
        account.charge(if running.adapter.is_some() { actual } else { running.cost });
        self.leave_target(seq, &running, finish, now);
        self.end_busy_period_if_idle();
        self.fill_target(running.target, now);
    }

    fn leave_target(&mut self, seq: Seq, running: &Running, finish: Finish, now: Instant) {
        let Some(target) = self.targets.get_mut(&running.target) else { return };
        target.running -= 1;
        target.common -= u32::from(running.is_common);
        target.exclusive = target.exclusive.filter(|exclusive| *exclusive != seq);
        if let Some(slot) = running.adapter.and_then(|key| target.slots.get_mut(key)) {
            let secs = (now - running.admitted_at).as_secs_f64();
            self.subs[running.sub].charge(Cost::slot_time(secs, slot.leases));
            slot.leases = slot.leases.saturating_sub(1);
            slot.last_used = now;
            // The engine may still be running a request whose answer did not end.
            if running.is_started && !matches!(finish, Finish::Answered { .. } | Finish::Refused) {
                slot.pin_uncertain(now);
            }
        }
        let counts = !matches!(finish, Finish::Cancelled | Finish::Refused);
        if counts {
            target.health.ended(!matches!(finish, Finish::Answered { .. }), now);
        }
        let is_failure = match finish {
            Finish::Answered { completion_tokens, .. } => {
                target.health.succeeded(now);
                if let Some(first) = running.first_token_at.filter(|_| completion_tokens > 1) {
                    let secs = (now - first).as_secs_f64();
                    target.health.secs_per_token.add(secs / (completion_tokens - 1) as f64);
                }
                false
            }
            Finish::TargetFailed => target.health.failed(false),
            Finish::TargetCrashed => target.health.failed(true),
            Finish::Cancelled | Finish::Refused => false,
        };
        if is_failure {
            self.eject(running.target, now);
        }
    }

    /// Whether a target fails much more often than the others of the group together.
    fn is_outlier(&self, key: TargetKey, now: Instant) -> bool {
        /// Rate of failures relative to the others from which the target is the cause.
        const OUTLIER_RATIO: f64 = 2.0;
        let rate = |(ends, failures): (f64, f64)| failures / ends.max(1.0);
        let others = self.targets.iter().filter(|(other, _)| **other != key);
        let others = others.fold((0.0, 0.0), |sum, (_, target)| {
            let (ends, failures) = target.health.recent(now);
            (sum.0 + ends, sum.1 + failures)
        });
        let own = self.targets.get(&key).map_or(0.0, |target| rate(target.health.recent(now)));
        own > OUTLIER_RATIO * rate(others)
    }

    /// Ejects a failing target unless half of the group is ejected already.
    fn eject(&mut self, key: TargetKey, now: Instant) {
        let is_shared = self.cfg.relative_ejection && !self.is_outlier(key, now);
        // Requests that were in progress at the ejection say nothing new.
        let is_ejected = self.targets.get(&key).is_some_and(|t| t.health.is_ejected(now));
        if self.cfg.policy == Policy::Baseline || is_shared || is_ejected {
            return;
        }
        let ejected = self
            .targets
            .iter()
            .filter(|(other, target)| **other != key && target.health.is_ejected(now))
            .count();
        if (ejected + 1) * 2 > self.targets.len() {
            return;
        }
        let jitter = self.rng.random::<f64>();
        let Some(target) = self.targets.get_mut(&key) else { return };
        let time = target.health.eject(jitter, now);
        event!(self.log, TARGET_EJECTED;
            "target" => %target.spec.id, "seconds" => time.as_secs_f64());
    }

    fn end_busy_period_if_idle(&mut self) {
        if self.queued.is_empty() {
            self.clock.end_busy_period();
        }
    }
}
