//! Load planner: decides together what to load, where to load it and what to evict.
//!
//! Few decisions are outstanding at a time, so each one is made shortly before the weight store
//! grants its permit. A decision scans the adapters with queued requests; decisions are as rare as
//! permits, and scans that decide nothing are at least `PLAN_INTERVAL` apart.

use std::{cmp::Ordering, time::Duration};

use shallotdrum_types::{RequestError, TargetId};
use tokio::time::Instant;

use super::{State, SubKey};
use crate::{
    api::Policy,
    fair::{Seq, Tag},
    slots::{AdapterKey, Slot},
    target::{Target, TargetKey},
    turns::Order,
    urgency::Rank,
};

/// Time between scans that decide nothing; short compared with the load time of 250 ms.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// Limit on the queued requests of an adapter that count for its score.
const MAX_SCORED_REQUESTS: usize = 64;
/// Limit on the candidates tried when the best one cannot be placed.
const MAX_TRIED_CANDIDATES: usize = 8;
/// Lead over virtual time, in tokens, that halves the weight of a queued request: a few requests
/// beyond the subscriber's share.
const FAIR_LEAD_TOKENS: f64 = 1000.0;
/// Recent loads that halve the weight of a subscriber's requests. With 3 loads/s from the store,
/// this is the share of one of about 16 active subscribers. It also bounds the total weight of all
/// missing adapters that wait for the same subscriber.
const FAIR_LOADS: f64 = 16.0;
/// Queued requests of a subscriber that count in full; any larger number counts as this many.
const MAX_COUNTED_BACKLOG: f64 = 4.0;
/// Added to a candidate's age, so that a burst of requests for one adapter can outweigh a single
/// older request.
const AGE_OFFSET_SECS: f64 = 0.1;
/// Minimum residence of a loaded adapter: about one response, so that a load serves more than the
/// request that caused it.
const MIN_RESIDENCE: Duration = Duration::from_millis(500);
/// Minimum residence of an adapter that served no request yet, as its requests may be about to
/// arrive.
const MIN_UNUSED_RESIDENCE: Duration = Duration::from_secs(2);
/// Minimum residence before an adapter in use is drained, long enough for several responses.
const MIN_DRAINED_RESIDENCE: Duration = Duration::from_secs(5);
/// Time that a candidate waits for a slot to become idle before one is drained.
const DRAIN_AFTER: Duration = Duration::from_millis(100);
/// Time after which an unfinished drain is abandoned; most responses take a few seconds.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(10);
/// One slot may be draining for this many targets.
const TARGETS_PER_DRAIN: usize = 4;
/// Time that a queue persists before a replica is considered.
const REPLICA_AFTER: Duration = Duration::from_millis(500);
/// Factor by which the demand per holder of a replicated adapter must exceed the victim's demand.
const REPLICA_GAIN: f64 = 1.5;
/// Factor by which a prefetched adapter's demand must exceed the victim's.
const PREFETCH_GAIN: f64 = 2.0;
/// Minimum demand for a prefetch, in recent requests.
const PREFETCH_MIN_DEMAND: f64 = 2.0;
/// Factor by which the demand of an adapter that moves to a busier engine must exceed the victim's,
/// as the victim may have to be loaded again.
const CONSOLIDATION_GAIN: f64 = 2.0;
/// Minimum time between prefetches; leaves most of the store's 2 to 3 loads/s to queued requests.
const PREFETCH_INTERVAL: Duration = Duration::from_secs(1);
/// Demand, in recent requests, up to which an adapter counts as unused: none within the half-life.
const MAX_UNUSED_DEMAND: f64 = 0.5;
/// Time during which a failed load is only tried on other targets.
const FAILED_TARGET_COOLDOWN: Duration = Duration::from_secs(60);
/// Weight of the target's score relative to demand: the demand, in recent requests, sacrificed to
/// load on a target with an empty batch instead of a full one.
const LOAD_SCORE_WEIGHT: f64 = 1.0;
/// Cost, in recent requests, of loading on a target without free capacity, where requests for the
/// loaded adapter would have to wait.
const NO_CAPACITY_COST: f64 = 4.0;

/// Adapter to load, with the request that needs it.
struct Candidate {
    adapter: AdapterKey,
    /// Queued request that is charged for the load.
    cause: Seq,
    rank: Rank,
    queued_at: Instant,
    score: f64,
    /// Target reserved for a suspect, the only one allowed; if absent, any target not in `avoid`.
    required_target: Option<TargetKey>,
    avoid: Vec<TargetId>,
    is_replica: bool,
}

impl Candidate {
    fn compare(&self, other: &Self, order: Order) -> Ordering {
        order.compare_loads((self.rank.urgency, self.score), (other.rank.urgency, other.score))
    }
}

/// Target for a load, and the adapter to evict there.
struct Placement {
    target: TargetKey,
    victim: Option<AdapterKey>,
    /// Demand of the victim, 0 without one.
    eviction_loss: f64,
    cost: f64,
}

impl State {
    /// Starts loads as long as one is useful and the limits allow another.
    pub(super) fn plan(&mut self, now: Instant) {
        if let Some(error) = self.loads_stopped.clone() {
            self.fail_missing(&error);
            return;
        }
        if self.cfg.policy == Policy::Baseline || self.closed.is_some() {
            return;
        }
        self.update_store_limit(now);
        while now >= self.next_plan_at && self.may_load() {
            if self.waiting.is_empty() && self.restricted.is_empty() {
                self.prefetch(now);
                return;
            }
            if !self.targets.values().any(|target| target.accepts_orders(now)) {
                return;
            }
            if !self.plan_one(now) {
                self.next_plan_at = now + PLAN_INTERVAL;
            }
        }
    }

    /// Whether another load may be started. Loads of cached adapters do not use the weight store,
    /// so only the engines limit them.
    fn may_load(&self) -> bool {
        self.cfg.engine_model.is_some() || !self.is_store_busy()
    }

    fn plan_one(&mut self, now: Instant) -> bool {
        let mut candidates = self.candidates(now);
        let order = self.load_order();
        candidates.sort_by(|a, b| a.compare(b, order));
        // Replicas for a flood must not keep missing adapters from being tried.
        let (replicas, missing): (Vec<_>, Vec<_>) =
            candidates.iter().partition(|candidate| candidate.is_replica);
        // While the store is busy, only adapters in an engine's cache can be loaded.
        let max_tried = if self.is_store_busy() { usize::MAX } else { MAX_TRIED_CANDIDATES };
        let mut tried: Vec<&Candidate> = replicas.into_iter().take(max_tried).collect();
        tried.extend(missing.into_iter().take(max_tried));
        tried.sort_by(|a, b| a.compare(b, order));
        for candidate in tried {
            let Some(placement) = self.find_placement(candidate, now) else { continue };
            if candidate.is_replica
                && !self.is_replica_worthwhile(candidate.adapter, &placement, now)
            {
                continue;
            }
            let (adapter, cause) = (candidate.adapter, Some(candidate.cause));
            self.count_load_turn();
            return self.start_load(placement.target, adapter, placement.victim, cause, now);
        }
        self.end_drains(candidates.iter().all(|candidate| candidate.is_replica), now);
        if let Some(first) = candidates.iter().find(|candidate| !candidate.is_replica) {
            self.drain_for(first, now);
        }
        false
    }

    fn candidates(&mut self, now: Instant) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        let (mut missing_adapters, mut missing_share) = (0, 0.0);
        self.count_missing_by_sub();
        for key in &self.waiting {
            let adapter = &self.adapters[*key];
            if adapter.holders.is_empty() {
                missing_adapters += 1;
                let head = adapter.queue.first();
                missing_share += head.map_or(0.0, |(rank, seq)| {
                    self.load_share(self.queued[seq].sub, rank.tag, now)
                });
            }
            if !adapter.loading.is_empty() || now < adapter.retry_at {
                continue;
            }
            let is_held = adapter.holders.iter().any(|key| self.targets[key].accepts_requests(now));
            // With an engine model, holders accept no requests beyond the limit on their backlog.
            let replica_after = match self.cfg.engine_model {
                Some(_) => Duration::ZERO,
                None => REPLICA_AFTER,
            };
            let is_blocked =
                adapter.blocked_since.is_some_and(|since| now >= since + replica_after);
            if !is_held || is_blocked {
                candidates.extend(self.candidate(*key, is_held, now));
            }
        }
        for (rank, seq) in self.restricted.iter().take(MAX_SCORED_REQUESTS) {
            candidates.extend(self.restricted_candidate(*rank, *seq, now));
        }
        self.missing_adapters = missing_adapters;
        self.missing_share = missing_share;
        candidates
    }

    /// Counts the missing adapters by the subscriber of their first request.
    fn count_missing_by_sub(&mut self) {
        self.missing_by_sub.clear();
        for key in &self.waiting {
            let adapter = &self.adapters[*key];
            if let Some((_, seq)) = adapter.queue.first()
                && adapter.holders.is_empty()
            {
                *self.missing_by_sub.entry(self.queued[seq].sub).or_default() += 1;
            }
        }
    }

    fn candidate(&self, key: AdapterKey, is_replica: bool, now: Instant) -> Option<Candidate> {
        let queue = &self.adapters[key].queue;
        let (rank, cause) = queue.first().copied()?;
        let mut requests = 0.0;
        let mut oldest = 0.0_f64;
        let mut queued_at = now;
        for (rank, seq) in queue.iter().take(MAX_SCORED_REQUESTS) {
            let queued = &self.queued[seq];
            let share = self.load_share(queued.sub, rank.tag, now);
            requests += share;
            oldest = oldest.max(share * (now - queued.queued_at).as_secs_f64());
            queued_at = queued_at.min(queued.queued_at);
        }
        let score = self.score(requests, oldest);
        let avoid = Vec::new();
        Some(Candidate {
            adapter: key,
            cause,
            rank,
            queued_at,
            score,
            required_target: None,
            avoid,
            is_replica,
        })
    }

    fn restricted_candidate(&self, rank: Rank, seq: Seq, now: Instant) -> Option<Candidate> {
        let queued = &self.queued[&seq];
        let adapter = queued.adapter?;
        let row = &self.adapters[adapter];
        if !row.loading.is_empty() || now < row.retry_at {
            return None;
        }
        let reserved = self.targets.iter().find(|(_, target)| target.reserved_for == Some(seq));
        let required_target = reserved.map(|(key, _)| *key);
        if queued.is_suspect && required_target.is_none() {
            return None;
        }
        let exclusion = self.effective_exclusion(queued, now);
        let excluded = self.targets.values().filter(|target| exclusion.excludes(target));
        let avoid: Vec<_> = excluded.map(|target| target.spec.id.clone()).collect();
        let is_held = row.holders.iter().any(|key| {
            let target = &self.targets[key];
            let is_allowed = required_target.is_none_or(|required| required == *key);
            is_allowed && target.is_active(now) && !avoid.contains(&target.spec.id)
        });
        if is_held {
            return None;
        }
        let age = (now - queued.queued_at).as_secs_f64();
        let score = self.score(self.load_share(queued.sub, rank.tag, now), age);
        let queued_at = queued.queued_at;
        let is_replica = false;
        Some(Candidate {
            adapter,
            cause: seq,
            rank,
            queued_at,
            score,
            required_target,
            avoid,
            is_replica,
        })
    }

    /// Weight of a queued request. It decreases with the subscriber's lead over virtual time and
    /// with the number of requests that the subscriber has queued for each unit of its weight, so that
    /// a large subscriber is not taken for a flood because of its size.
    pub(super) fn fair_share(&self, sub: SubKey, tag: Tag) -> f64 {
        let account = &self.subs[sub];
        let queued = account.queued.len().max(1) as f64 / account.weight;
        (MAX_COUNTED_BACKLOG / queued).min(1.0)
            / (1.0 + self.fair_clock.lead(tag) / FAIR_LEAD_TOKENS)
    }

    /// Weight of a queued request in the choice of loads. It decreases with the subscriber's lead
    /// over virtual time and with the loads that it caused recently. The bound over all missing
    /// adapters limits a flood that caused no recent loads but has waited for long.
    pub(super) fn load_share(&self, sub: SubKey, tag: Tag, now: Instant) -> f64 {
        let account = &self.subs[sub];
        let loads = account.loads.get(now) / account.weight;
        let missing = self.missing_by_sub.get(&sub).map_or(1.0, |n| f64::from(*n)) / account.weight;
        (FAIR_LOADS / missing).min(1.0)
            / ((1.0 + self.fair_clock.lead(tag) / FAIR_LEAD_TOKENS)
                * (1.0 + (loads / FAIR_LOADS).powi(2)))
    }

    /// Urgency of a load for this many weighted requests, the oldest of which has waited `oldest`
    /// seconds.
    ///
    /// Counting only requests starves rarely used adapters; counting only age makes a load serve
    /// few requests.
    fn score(&self, requests: f64, oldest: f64) -> f64 {
        let weight = self.cfg.stall_weight.clamp(0.0, 1.0);
        // Exponents near 0.75 give the shortest p99 stalls, those near 0.25 the most requests per
        // load; there, starvation is still bounded by the deadline.
        let by_age = 0.25 + 0.5 * weight;
        requests * (oldest + AGE_OFFSET_SECS).powf(by_age)
    }

    /// Finds the cheapest target and victim.
    fn find_placement(&self, candidate: &Candidate, now: Instant) -> Option<Placement> {
        // A flooding subscriber must not evict adapters that others use.
        let is_flooding = self.is_flooding(self.queued[&candidate.cause].sub);
        let max_loss = if is_flooding { MAX_UNUSED_DEMAND } else { f64::INFINITY };
        let is_unlimited = |target: &Target| target.is_engine() && target.limit.is_none();
        // A target with a limit serves too few requests to be worth a load.
        let avoids_limited = self.targets.values().any(|t| is_unlimited(t) && t.is_active(now));
        let placements = self.targets.iter().filter_map(|(key, target)| {
            let is_allowed = match candidate.required_target {
                Some(required) => required == *key && target.exclusive_to.is_none(),
                None => {
                    target.accepts_requests(now)
                        && !candidate.avoid.contains(&target.spec.id)
                        && !(avoids_limited && target.limit.is_some())
                }
            };
            if !is_allowed {
                return None;
            }
            let rank = match candidate.required_target {
                // Nothing else is admitted to a reserved target, so the queues of its adapters are
                // ignored.
                Some(_) => Some(Rank::by_tag(Tag(0))),
                // A replica must not evict an adapter with queued requests.
                None if candidate.is_replica => None,
                None => Some(candidate.rank),
            };
            let is_replica = candidate.is_replica;
            self.placement_on(*key, candidate.adapter, rank, max_loss, is_replica, now)
        });
        placements.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn placement_on(
        &self,
        key: TargetKey,
        adapter: AdapterKey,
        rank: Option<Rank>,
        max_loss: f64,
        is_replica: bool,
        now: Instant,
    ) -> Option<Placement> {
        let target = &self.targets[&key];
        let has_failed = self.has_failed(adapter, key, now);
        if !target.accepts_orders(now) || target.slots.references(adapter) || has_failed {
            return None;
        }
        let (victim, loss) = if let Some(previous) = self.other_version(target, adapter) {
            // The engine replaces the previous version, so that one must be the victim.
            if !previous.is_idle(now) {
                return None;
            }
            (Some(previous.adapter), 0.0)
        } else if target.slots.has_free() {
            (None, 0.0)
        } else {
            let victims = target.slots.slots.iter().filter(|slot| self.may_evict(slot, rank, now));
            let losses = victims.map(|slot| (self.eviction_loss(slot, now), slot.adapter));
            let losses = losses
                .filter(|(loss, adapter)| *loss <= max_loss || self.is_head_flooding(*adapter));
            let (loss, victim) = losses.min_by(|a, b| a.0.total_cmp(&b.0))?;
            (Some(victim), loss)
        };
        if let Some(model) = &self.cfg.engine_model {
            let is_cached = target.adapter_cache.contains(adapter);
            if !is_cached && self.is_store_busy_for(is_replica) {
                return None;
            }
            let mut cost = model.load_cost(is_cached, loss, target.prefill_backlog.wait(now));
            if self.is_urgency_active() {
                cost += self.prompt_cost(target, now);
            }
            return Some(Placement { target: key, victim, eviction_loss: loss, cost });
        }
        let capacity_cost = if target.has_capacity(now) { 0.0 } else { NO_CAPACITY_COST };
        // A replica on a full batch does not help, so replicas prefer empty ones.
        let packing_score =
            if is_replica { target.utilization(now) } else { self.packing_score(target, now) };
        let cost = loss
            + LOAD_SCORE_WEIGHT * (self.load_score(target, now) + packing_score)
            + capacity_cost;
        Some(Placement { target: key, victim, eviction_loss: loss, cost })
    }

    /// Slot of a different version of the adapter on the target.
    fn other_version<'a>(&self, target: &'a Target, adapter: AdapterKey) -> Option<&'a Slot> {
        let wanted = self.adapters.name(adapter);
        target.slots.slots.iter().find(|slot| {
            let held = self.adapters.name(slot.adapter);
            held.adapter == wanted.adapter && held.version != wanted.version
        })
    }

    /// Whether a load of the adapter failed recently on this target but not on all others.
    fn has_failed(&self, adapter: AdapterKey, key: TargetKey, now: Instant) -> bool {
        let failed_on = &self.adapters[adapter].failed_on;
        let is_recent = |target: TargetKey| {
            failed_on
                .iter()
                .any(|(other, at)| *other == target && now < *at + FAILED_TARGET_COOLDOWN)
        };
        let mut others = self.targets.iter().filter(|(_, target)| target.accepts_requests(now));
        is_recent(key) && others.any(|(other, _)| !is_recent(*other))
    }

    /// Whether the slot may be evicted for a request with this rank, or for a prefetch or replica
    /// if `rank` is `None`.
    fn may_evict(&self, slot: &Slot, rank: Option<Rank>, now: Instant) -> bool {
        if !slot.is_idle(now) {
            return false;
        }
        if slot.draining_since.is_some() {
            return rank.is_some();
        }
        let has_served = slot.last_used > slot.ready_at;
        let min_residence = if has_served { MIN_RESIDENCE } else { MIN_UNUSED_RESIDENCE };
        let is_settled = now >= slot.ready_at + min_residence;
        let is_unwanted = match (self.adapters[slot.adapter].queue.first(), rank) {
            (None, _) => true,
            (Some((head, _)), Some(rank)) => *head > rank,
            (Some(_), None) => false,
        };
        is_settled && is_unwanted
    }

    /// Demand of the slot's adapter that its other holders do not cover.
    fn eviction_loss(&self, slot: &Slot, now: Instant) -> f64 {
        if slot.draining_since.is_some() {
            return 0.0;
        }
        let holders = self.adapters[slot.adapter].holders.len();
        self.local_demand(slot.adapter, now) / holders.max(1) as f64
    }

    /// Whether the first request in the adapter's queue is from a flooding subscriber.
    fn is_head_flooding(&self, adapter: AdapterKey) -> bool {
        let head = self.adapters[adapter].queue.first();
        head.is_some_and(|(_, seq)| self.is_flooding(self.queued[seq].sub))
    }

    /// Recent and queued requests for an adapter.
    fn local_demand(&self, adapter: AdapterKey, now: Instant) -> f64 {
        let adapter = &self.adapters[adapter];
        adapter.demand.get(now) + (adapter.queue.len() as f64).min(MAX_COUNTED_BACKLOG)
    }

    fn is_replica_worthwhile(
        &self,
        adapter: AdapterKey,
        placement: &Placement,
        now: Instant,
    ) -> bool {
        let row = &self.adapters[adapter];
        let per_holder = row.demand.get(now) / (row.holders.len() + 1) as f64;
        let has_capacity = self.targets[&placement.target].has_capacity(now);
        has_capacity && per_holder > REPLICA_GAIN * placement.eviction_loss
    }

    /// Drains one slot in use, so that a subscriber that occupies every slot with running requests
    /// cannot keep others from loading their adapters.
    fn drain_for(&mut self, candidate: &Candidate, now: Instant) {
        let is_draining = |slot: &Slot| slot.draining_since.is_some();
        let slots = self.targets.values().flat_map(|target| &target.slots.slots);
        let draining = slots.filter(|slot| is_draining(slot)).count();
        let is_allowed = draining < (self.targets.len() / TARGETS_PER_DRAIN).max(1);
        if !is_allowed || now < candidate.queued_at + DRAIN_AFTER {
            return;
        }
        let targets = self.targets.iter().filter(|(key, target)| {
            candidate
                .required_target
                .map_or(target.accepts_requests(now), |required| required == **key)
                && target.accepts_orders(now)
                && !target.slots.has_free()
                && !candidate.avoid.contains(&target.spec.id)
                && !self.has_failed(candidate.adapter, **key, now)
                && !target.slots.slots.iter().any(is_draining)
        });
        let is_flooding = self.is_flooding(self.queued[&candidate.cause].sub);
        let in_use = targets.flat_map(|(key, target)| {
            let slots = target.slots.slots.iter().filter(|slot| {
                let head = self.adapters[slot.adapter].queue.first();
                slot.is_ready()
                    && slot.leases > 0
                    && !slot.has_uncertain_pin(now)
                    && now >= slot.ready_at + MIN_DRAINED_RESIDENCE
                    && head.is_none_or(|(head, _)| *head > candidate.rank)
                    && (!is_flooding || self.is_head_flooding(slot.adapter))
            });
            slots.map(|slot| (self.eviction_loss(slot, now), *key, slot.adapter))
        });
        let Some((_, key, adapter)) = in_use.min_by(|a, b| a.0.total_cmp(&b.0)) else { return };
        let slot = self.targets.get_mut(&key).and_then(|target| target.slots.get_mut(adapter));
        if let Some(slot) = slot {
            slot.draining_since = Some(now);
        }
    }

    /// Starts no more loads, and fails the requests that need one.
    pub(crate) fn stop_loads(&mut self, error: RequestError, now: Instant) {
        if self.loads_stopped.is_some() || self.closed.is_some() {
            return;
        }
        self.loads_stopped = Some(error);
        self.end_drains(true, now);
        self.plan(now);
    }

    /// Fails queued requests for adapters that no target holds or loads.
    fn fail_missing(&mut self, error: &RequestError) {
        let is_missing = |adapter: AdapterKey| !self.is_held_or_loading(adapter);
        let missing = self.queued.iter().filter(|(_, q)| q.adapter.is_some_and(is_missing));
        let seqs: Vec<Seq> = missing.map(|(seq, _)| *seq).collect();
        for seq in seqs {
            self.fail(seq, error.clone());
        }
    }

    pub(super) fn is_held_or_loading(&self, adapter: AdapterKey) -> bool {
        let row = &self.adapters[adapter];
        !row.holders.is_empty() || !row.loading.is_empty()
    }

    /// Ends drains that take too long or are no longer needed.
    fn end_drains(&mut self, is_unneeded: bool, now: Instant) {
        let mut resumed = Vec::new();
        for target in self.targets.values_mut() {
            for slot in &mut target.slots.slots {
                let is_over = |since: Instant| is_unneeded || now >= since + MAX_DRAIN_TIME;
                if slot.draining_since.is_some_and(is_over) {
                    slot.draining_since = None;
                    slot.ready_at = now;
                    resumed.push(slot.adapter);
                }
            }
        }
        for adapter in resumed {
            self.dispatch_adapter(adapter, now);
        }
    }

    /// Loads the adapter with the highest demand among those without a holder, if no request waits.
    fn prefetch(&mut self, now: Instant) {
        // With an engine model, a prefetch delays other loads by more than it saves later requests.
        let has_engine_model = self.cfg.engine_model.is_some();
        if has_engine_model || now < self.next_prefetch_at || !self.loads_in_flight.is_empty() {
            return;
        }
        self.next_prefetch_at = now + PREFETCH_INTERVAL;
        self.end_drains(true, now);
        if self.batching_weight() > 0.0 && self.consolidate(now) {
            return;
        }
        let absent = self.adapters.iter().filter(|(_, _, adapter)| {
            adapter.holders.is_empty() && adapter.source.is_some() && now >= adapter.retry_at
        });
        let demands = absent.map(|(key, _, adapter)| (adapter.demand.get(now), key));
        let Some((demand, adapter)) = demands.max_by(|a, b| a.0.total_cmp(&b.0)) else { return };
        if demand < PREFETCH_MIN_DEMAND {
            return;
        }
        let targets = self.targets.iter().filter(|(_, target)| target.accepts_requests(now));
        let placements = targets.filter_map(|(key, _)| {
            self.placement_on(*key, adapter, None, f64::INFINITY, false, now)
        });
        let Some(placement) = placements.min_by(|a, b| a.cost.total_cmp(&b.cost)) else { return };
        if placement.victim.is_none() || demand > PREFETCH_GAIN * placement.eviction_loss {
            self.start_load(placement.target, adapter, placement.victim, None, now);
        }
    }

    /// Uses spare permits to load an adapter in demand on a busier engine than its current holder.
    ///
    /// Requests then join the fuller batch, and the previous copy is the first to be evicted.
    fn consolidate(&mut self, now: Instant) -> bool {
        let eligible = self.targets.iter().filter(|(_, target)| {
            target.accepts_requests(now) && target.is_engine() && target.has_capacity(now)
        });
        let mut engines: Vec<(f64, TargetKey)> = eligible
            .map(|(key, target)| {
                let ready = target.slots.slots.iter().filter(|slot| slot.is_ready());
                let demand = ready.map(|slot| {
                    let adapter = &self.adapters[slot.adapter];
                    adapter.demand.get(now) / adapter.holders.len().max(1) as f64
                });
                (demand.sum(), *key)
            })
            .collect();
        engines.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (at, (_, busy)) in engines.iter().enumerate() {
            let less_busy = engines[at + 1..].iter().flat_map(|(_, key)| {
                self.targets[key].slots.slots.iter().filter(|slot| slot.is_ready())
            });
            let single = less_busy.filter(|slot| self.adapters[slot.adapter].holders.len() == 1);
            let demands = single.map(|slot| (self.local_demand(slot.adapter, now), slot.adapter));
            let Some((demand, adapter)) = demands.max_by(|a, b| a.0.total_cmp(&b.0)) else {
                return false;
            };
            if demand < PREFETCH_MIN_DEMAND || self.adapters[adapter].source.is_none() {
                return false;
            }
            let placement = self.placement_on(*busy, adapter, None, f64::INFINITY, false, now);
            let Some(placement) = placement else { continue };
            if demand > CONSOLIDATION_GAIN * placement.eviction_loss {
                return self.start_load(placement.target, adapter, placement.victim, None, now);
            }
        }
        false
    }
}
