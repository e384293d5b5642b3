//! Load planner: what to load, where, and what to evict, as one decision.
//!
//! Few decisions are outstanding at a time, so each one is made shortly before the weight store
//! grants its permit. A decision scans the adapters with queued requests; decisions are as rare
//! as permits, and scans without a decision are spaced by `PLAN_INTERVAL`.

use std::time::Duration;

use shallotdrum_types::TargetId;
use tokio::time::Instant;

use super::{State, SubKey};
use crate::{
    api::Policy,
    fair::{Seq, Tag},
    slots::{AdapterKey, Slot},
    target::{Target, TargetKey},
};

/// Time between scans that decided nothing; short against the load time of 250 ms.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// Queued requests of an adapter that its score takes into account.
const MAX_SCORED: usize = 64;
/// Candidates that are tried if the best one can't be placed.
const MAX_TRIED: usize = 8;
/// Lead over virtual time, in tokens, that halves the weight of a queued request: a few requests
/// more than the subscriber's share.
const FAIR_LEAD_TOKENS: f64 = 1000.0;
/// Loads within the half-life of the demand that halve the weight of a subscriber's requests. Of
/// the store's 3 loads/s this is the part of one among about 16 active subscribers. More adapters
/// that wait for the same subscriber count as this many in all.
const FAIR_LOADS: f64 = 16.0;
/// Queued requests of a subscriber that count in full; a flood counts as this many in all.
const FAIR_BACKLOG: f64 = 4.0;
/// A new candidate's age counts as this much, so that a burst of requests for one adapter can
/// outweigh an older single one.
const AGE_OFFSET_SECS: f64 = 0.1;
/// A loaded adapter stays at least this long: about one answer, so that a load serves more than
/// the request that caused it.
const MIN_RESIDENCE: Duration = Duration::from_millis(500);
/// A loaded adapter that served nothing yet stays this long; its requests may be about to come.
const MIN_UNUSED_RESIDENCE: Duration = Duration::from_secs(2);
/// An adapter in use is drained only after it had its turn of several answers.
const MIN_DRAINED_RESIDENCE: Duration = Duration::from_secs(5);
/// Candidates wait this long for a slot to become idle by itself before one is drained.
const DRAIN_AFTER: Duration = Duration::from_millis(100);
/// A drain that does not end is given up; most answers take a few seconds.
const MAX_DRAIN: Duration = Duration::from_secs(10);
/// One draining slot for this many targets.
const DRAIN_SHARE: usize = 4;
/// A queue persists this long before a replica is considered.
const REPLICA_AFTER: Duration = Duration::from_millis(500);
/// Demand per holder of a replicated adapter must exceed the victim's by this factor.
const REPLICA_GAIN: f64 = 1.5;
/// A prefetched adapter's demand must exceed the victim's by this factor.
const PREFETCH_GAIN: f64 = 2.0;
/// Requests within the half-life of the demand that make a prefetch worthwhile.
const PREFETCH_MIN_DEMAND: f64 = 2.0;
/// An adapter that moves to a busier engine must have this many times the victim's demand, as the
/// victim may have to be loaded again.
const CONSOLIDATION_GAIN: f64 = 2.0;
/// Time between prefetches; leaves most of the store's 2 to 3 loads/s to real demand.
const PREFETCH_INTERVAL: Duration = Duration::from_secs(1);
/// Demand of an adapter that nobody asked for within the half-life.
const UNUSED_DEMAND: f64 = 0.5;
/// A failed load is tried on other targets for this long.
const AVOID_FAILED: Duration = Duration::from_secs(60);
/// Demand that is given up to load on a target with an empty batch instead of a full one.
const LOAD_SCORE_DEMAND: f64 = 1.0;
/// Cost of loading on a target without room: the loaded adapter would wait there.
const NO_ROOM_DEMAND: f64 = 4.0;

/// Adapter that could be loaded.
struct Candidate {
    adapter: AdapterKey,
    /// Request that caused the load.
    cause: Seq,
    tag: Tag,
    queued_at: Instant,
    score: f64,
    /// Set if only this target comes into question.
    only: Option<TargetKey>,
    avoid: Vec<TargetId>,
    is_replica: bool,
}

/// Where to load, and what to evict.
struct Place {
    target: TargetKey,
    victim: Option<AdapterKey>,
    /// Demand of the victim.
    loss: f64,
    cost: f64,
}

impl State {
    /// Decides loads as long as one is useful and may be outstanding.
    pub(super) fn plan(&mut self, now: Instant) {
        if self.cfg.policy == Policy::Baseline || self.closed.is_some() {
            return;
        }
        while now >= self.next_plan_at && self.may_load() {
            if self.waiting.is_empty() && self.special.is_empty() {
                self.prefetch(now);
                return;
            }
            if !self.targets.values().any(|target| target.takes_orders(now)) {
                return;
            }
            if !self.plan_one(now) {
                self.next_plan_at = now + PLAN_INTERVAL;
            }
        }
    }

    /// Whether another load may be under way. Loads of kept adapters don't use the weight store,
    /// so they are bounded by the engines only.
    fn may_load(&self) -> bool {
        self.cfg.engine_model.is_some() || !self.is_store_busy()
    }

    /// Whether as many loads fetch from the weight store as may at a time.
    fn is_store_busy(&self) -> bool {
        self.store_loads.len() >= self.cfg.max_outstanding_loads
    }

    fn plan_one(&mut self, now: Instant) -> bool {
        let mut candidates = self.candidates(now);
        candidates.sort_by(|a, b| b.score.total_cmp(&a.score));
        // Replicas of a flooded adapter must not keep the others from being tried.
        let (replicas, missing): (Vec<_>, Vec<_>) =
            candidates.iter().partition(|candidate| candidate.is_replica);
        // While the store is busy, only adapters that an engine has kept can be loaded.
        let most = if self.is_store_busy() { usize::MAX } else { MAX_TRIED };
        let mut tried: Vec<&Candidate> = replicas.into_iter().take(most).collect();
        tried.extend(missing.into_iter().take(most));
        tried.sort_by(|a, b| b.score.total_cmp(&a.score));
        for candidate in tried {
            let Some(place) = self.place(candidate, now) else { continue };
            if candidate.is_replica && !self.is_replica_worthwhile(candidate.adapter, &place, now) {
                continue;
            }
            let (adapter, cause) = (candidate.adapter, Some(candidate.cause));
            return self.start_load(place.target, adapter, place.victim, cause, now);
        }
        self.end_drains(candidates.iter().all(|candidate| candidate.is_replica), now);
        if let Some(first) = candidates.iter().find(|candidate| !candidate.is_replica) {
            self.drain_for(first, now);
        }
        false
    }

    fn candidates(&mut self, now: Instant) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        let (mut starved, mut starved_share) = (0, 0.0);
        self.count_starved_subs();
        for key in &self.waiting {
            let adapter = &self.adapters[*key];
            if adapter.holders.is_empty() {
                starved += 1;
                let head = adapter.queue.first();
                starved_share +=
                    head.map_or(0.0, |(tag, seq)| self.load_share(self.queued[seq].sub, *tag, now));
            }
            if !adapter.loading.is_empty() || now < adapter.retry_at {
                continue;
            }
            let is_held = adapter.holders.iter().any(|key| self.targets[key].is_open(now));
            // With known times, holders take no request beyond their bound on the backlog.
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
        for (tag, seq) in self.special.iter().take(MAX_SCORED) {
            candidates.extend(self.special_candidate(*tag, *seq, now));
        }
        self.starved = starved;
        self.starved_share = starved_share;
        candidates
    }

    /// Counts the adapters without a holder for each subscriber that waits first for them.
    fn count_starved_subs(&mut self) {
        self.starved_subs.clear();
        for key in &self.waiting {
            let adapter = &self.adapters[*key];
            if let Some((_, seq)) = adapter.queue.first()
                && adapter.holders.is_empty()
            {
                *self.starved_subs.entry(self.queued[seq].sub).or_default() += 1;
            }
        }
    }

    fn candidate(&self, key: AdapterKey, is_replica: bool, now: Instant) -> Option<Candidate> {
        let queue = &self.adapters[key].queue;
        let (tag, cause) = queue.first().copied()?;
        let mut requests = 0.0;
        let mut oldest = 0.0_f64;
        let mut queued_at = now;
        for (tag, seq) in queue.iter().take(MAX_SCORED) {
            let queued = &self.queued[seq];
            let share = self.load_share(queued.sub, *tag, now);
            requests += share;
            oldest = oldest.max(share * (now - queued.queued_at).as_secs_f64());
            queued_at = queued_at.min(queued.queued_at);
        }
        let score = self.score(requests, oldest);
        let avoid = Vec::new();
        Some(Candidate {
            adapter: key,
            cause,
            tag,
            queued_at,
            score,
            only: None,
            avoid,
            is_replica,
        })
    }

    fn special_candidate(&self, tag: Tag, seq: Seq, now: Instant) -> Option<Candidate> {
        let queued = &self.queued[&seq];
        let adapter = queued.adapter?;
        let row = &self.adapters[adapter];
        if !row.loading.is_empty() || now < row.retry_at {
            return None;
        }
        let reserved = self.targets.iter().find(|(_, target)| target.reserved == Some(seq));
        let only = reserved.map(|(key, _)| *key);
        if queued.is_suspect && only.is_none() {
            return None;
        }
        let avoid = match self.avoids_all(&queued.avoid, true, now) {
            true => Vec::new(),
            false => queued.avoid.clone(),
        };
        let is_held = row.holders.iter().any(|key| {
            let target = &self.targets[key];
            let is_allowed = only.is_none_or(|only| only == *key);
            is_allowed && target.is_active(now) && !avoid.contains(&target.spec.id)
        });
        if is_held {
            return None;
        }
        let age = (now - queued.queued_at).as_secs_f64();
        let score = self.score(self.load_share(queued.sub, tag, now), age);
        let queued_at = queued.queued_at;
        let is_replica = false;
        Some(Candidate { adapter, cause: seq, tag, queued_at, score, only, avoid, is_replica })
    }

    /// Weight of a queued request: less the further its subscriber is beyond the fair share, and
    /// limited over all of the subscriber's requests.
    pub(super) fn fair_share(&self, sub: SubKey, tag: Tag) -> f64 {
        let queued = self.subs[sub].queued.len().max(1) as f64;
        (FAIR_BACKLOG / queued).min(1.0) / (1.0 + self.clock.lead(tag) / FAIR_LEAD_TOKENS)
    }

    /// Weight of a queued request in the choice of loads: less the further its subscriber is
    /// beyond the fair share, and the more loads it caused lately. The limit over all
    /// adapters that wait holds back a flood that could not load any lately but grows old.
    pub(super) fn load_share(&self, sub: SubKey, tag: Tag, now: Instant) -> f64 {
        let account = &self.subs[sub];
        let loads = account.loads.get(now) / account.weight;
        let starved = self.starved_subs.get(&sub).map_or(1.0, |n| f64::from(*n));
        (FAIR_LOADS / starved).min(1.0)
            / ((1.0 + self.clock.lead(tag) / FAIR_LEAD_TOKENS)
                * (1.0 + (loads / FAIR_LOADS).powi(2)))
    }

    /// Urgency of a load that serves this many requests, the oldest of which waited for `oldest`.
    ///
    /// By requests alone, rare adapters starve; by age alone, a load serves few requests.
    fn score(&self, requests: f64, oldest: f64) -> f64 {
        let weight = self.cfg.stall_weight.clamp(0.0, 1.0);
        // The bench `policies` shows the shortest stalls at 99 % near 0.75 and the most requests
        // per load near 0.25, where starvation is still bounded by the deadline.
        let by_age = 0.25 + 0.5 * weight;
        requests * (oldest + AGE_OFFSET_SECS).powf(by_age)
    }

    /// Finds the cheapest slot for a candidate.
    fn place(&self, candidate: &Candidate, now: Instant) -> Option<Place> {
        // A flooding subscriber gets no slot of an adapter that others use.
        let is_flooding = self.is_flooding(self.queued[&candidate.cause].sub);
        let max_loss = if is_flooding { UNUSED_DEMAND } else { f64::INFINITY };
        let places = self.targets.iter().filter_map(|(key, target)| {
            let is_allowed = match candidate.only {
                Some(only) => only == *key && target.exclusive.is_none(),
                None => target.is_open(now) && !candidate.avoid.contains(&target.spec.id),
            };
            if !is_allowed {
                return None;
            }
            let tag = match candidate.only {
                // Nobody else is admitted to a reserved target, so their queues don't count.
                Some(_) => Some(Tag(0)),
                // A replica takes no slot that others wait for.
                None if candidate.is_replica => None,
                None => Some(candidate.tag),
            };
            let is_replica = candidate.is_replica;
            self.place_on(*key, candidate.adapter, tag, max_loss, is_replica, now)
        });
        places.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn place_on(
        &self,
        key: TargetKey,
        adapter: AdapterKey,
        tag: Option<Tag>,
        max_loss: f64,
        is_replica: bool,
        now: Instant,
    ) -> Option<Place> {
        let target = &self.targets[&key];
        let has_failed = self.has_failed(adapter, key, now);
        if !target.takes_orders(now) || target.slots.refers_to(adapter) || has_failed {
            return None;
        }
        let (victim, loss) = if let Some(former) = self.other_version(target, adapter) {
            // The engine replaces the former version, so it must be the victim.
            if !former.is_idle(now) {
                return None;
            }
            (Some(former.adapter), 0.0)
        } else if target.slots.has_free() {
            (None, 0.0)
        } else {
            let victims = target.slots.slots.iter().filter(|slot| self.may_evict(slot, tag, now));
            let losses = victims.map(|slot| (self.loss(slot, now), slot.adapter));
            let losses =
                losses.filter(|(loss, adapter)| *loss <= max_loss || self.is_flooded(*adapter));
            let (loss, victim) = losses.min_by(|a, b| a.0.total_cmp(&b.0))?;
            (Some(victim), loss)
        };
        if let Some(model) = &self.cfg.engine_model {
            let is_kept = target.kept.contains(adapter);
            if !is_kept && self.is_store_busy() {
                return None;
            }
            let cost = model.load_cost(is_kept, loss, target.backlog.wait(now));
            return Some(Place { target: key, victim, loss, cost });
        }
        let no_room = if target.has_room(now) { 0.0 } else { NO_ROOM_DEMAND };
        // A replica that joins a full batch relieves nothing, so replicas are spread.
        let packing = if is_replica { target.fullness(now) } else { self.packing(target, now) };
        let cost = loss + LOAD_SCORE_DEMAND * (self.load_score(target, now) + packing) + no_room;
        Some(Place { target: key, victim, loss, cost })
    }

    /// Slot of another version of the adapter on the target.
    fn other_version<'a>(&self, target: &'a Target, adapter: AdapterKey) -> Option<&'a Slot> {
        let wanted = self.adapters.name(adapter);
        target.slots.slots.iter().find(|slot| {
            let held = self.adapters.name(slot.adapter);
            held.adapter == wanted.adapter && held.version != wanted.version
        })
    }

    /// Whether a load of this adapter failed on the target lately, and others are left to try.
    fn has_failed(&self, adapter: AdapterKey, key: TargetKey, now: Instant) -> bool {
        let failed_on = &self.adapters[adapter].failed_on;
        let is_recent = |target: TargetKey| {
            failed_on.iter().any(|(other, at)| *other == target && now < *at + AVOID_FAILED)
        };
        let mut others = self.targets.iter().filter(|(_, target)| target.is_open(now));
        is_recent(key) && others.any(|(other, _)| !is_recent(*other))
    }

    /// Whether an idle adapter may make room for a request with this tag, or for a prefetch.
    fn may_evict(&self, slot: &Slot, tag: Option<Tag>, now: Instant) -> bool {
        if !slot.is_idle(now) {
            return false;
        }
        if slot.draining_since.is_some() {
            return tag.is_some();
        }
        let has_served = slot.last_used > slot.ready_at;
        let min_residence = if has_served { MIN_RESIDENCE } else { MIN_UNUSED_RESIDENCE };
        let is_settled = now >= slot.ready_at + min_residence;
        let is_unwanted = match (self.adapters[slot.adapter].queue.first(), tag) {
            (None, _) => true,
            (Some((head, _)), Some(tag)) => *head > tag,
            (Some(_), None) => false,
        };
        is_settled && is_unwanted
    }

    /// Demand that an eviction leaves without a holder.
    fn loss(&self, slot: &Slot, now: Instant) -> f64 {
        if slot.draining_since.is_some() {
            return 0.0;
        }
        let holders = self.adapters[slot.adapter].holders.len();
        self.gain(slot.adapter, now) / holders.max(1) as f64
    }

    /// Whether a flooding subscriber is the first that waits for the adapter.
    fn is_flooded(&self, adapter: AdapterKey) -> bool {
        let head = self.adapters[adapter].queue.first();
        head.is_some_and(|(_, seq)| self.is_flooding(self.queued[seq].sub))
    }

    /// Demand that a resident adapter serves.
    fn gain(&self, adapter: AdapterKey, now: Instant) -> f64 {
        let adapter = &self.adapters[adapter];
        adapter.demand.get(now) + (adapter.queue.len() as f64).min(FAIR_BACKLOG)
    }

    fn is_replica_worthwhile(&self, adapter: AdapterKey, place: &Place, now: Instant) -> bool {
        let row = &self.adapters[adapter];
        let per_holder = row.demand.get(now) / (row.holders.len() + 1) as f64;
        let has_room = self.targets[&place.target].has_room(now);
        has_room && per_holder > REPLICA_GAIN * place.loss
    }

    /// Lets one slot in use become idle, so that a subscriber that holds every slot with running
    /// requests can't keep others from loading their adapters.
    fn drain_for(&mut self, candidate: &Candidate, now: Instant) {
        let is_draining = |slot: &Slot| slot.draining_since.is_some();
        let slots = self.targets.values().flat_map(|target| &target.slots.slots);
        let draining = slots.filter(|slot| is_draining(slot)).count();
        let is_allowed = draining < (self.targets.len() / DRAIN_SHARE).max(1);
        if !is_allowed || now < candidate.queued_at + DRAIN_AFTER {
            return;
        }
        let targets = self.targets.iter().filter(|(key, target)| {
            candidate.only.map_or(target.is_open(now), |only| only == **key)
                && target.takes_orders(now)
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
                    && !slot.is_uncertain(now)
                    && now >= slot.ready_at + MIN_DRAINED_RESIDENCE
                    && head.is_none_or(|(head, _)| *head > candidate.tag)
                    && (!is_flooding || self.is_flooded(slot.adapter))
            });
            slots.map(|slot| (self.loss(slot, now), *key, slot.adapter))
        });
        let Some((_, key, adapter)) = in_use.min_by(|a, b| a.0.total_cmp(&b.0)) else { return };
        let slot = self.targets.get_mut(&key).and_then(|target| target.slots.get_mut(adapter));
        if let Some(slot) = slot {
            slot.draining_since = Some(now);
        }
    }

    /// Ends drains that take too long or serve nobody any more.
    fn end_drains(&mut self, is_pointless: bool, now: Instant) {
        let mut resumed = Vec::new();
        for target in self.targets.values_mut() {
            for slot in &mut target.slots.slots {
                let is_over = |since: Instant| is_pointless || now >= since + MAX_DRAIN;
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

    /// Loads the most popular adapter that no target holds, if nothing waits.
    fn prefetch(&mut self, now: Instant) {
        // With known times, a load costs others more than a later one would cost its requests.
        let is_modelled = self.cfg.engine_model.is_some();
        if is_modelled || now < self.next_prefetch_at || !self.in_flight.is_empty() {
            return;
        }
        self.next_prefetch_at = now + PREFETCH_INTERVAL;
        self.end_drains(true, now);
        if self.batch_weight() > 0.0 && self.consolidate(now) {
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
        let targets = self.targets.iter().filter(|(_, target)| target.is_open(now));
        let places = targets
            .filter_map(|(key, _)| self.place_on(*key, adapter, None, f64::INFINITY, false, now));
        let Some(place) = places.min_by(|a, b| a.cost.total_cmp(&b.cost)) else { return };
        if place.victim.is_none() || demand > PREFETCH_GAIN * place.loss {
            self.start_load(place.target, adapter, place.victim, None, now);
        }
    }

    /// Loads a popular adapter on a busier engine than the one that holds it, from spare permits.
    ///
    /// Requests then go to the fuller batch, and the other copy becomes the first to be evicted.
    fn consolidate(&mut self, now: Instant) -> bool {
        let open = self.targets.iter().filter(|(_, target)| {
            target.is_open(now) && target.is_engine() && target.has_room(now)
        });
        let mut engines: Vec<(f64, TargetKey)> = open
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
            let demands = single.map(|slot| (self.gain(slot.adapter, now), slot.adapter));
            let Some((demand, adapter)) = demands.max_by(|a, b| a.0.total_cmp(&b.0)) else {
                return false;
            };
            if demand < PREFETCH_MIN_DEMAND || self.adapters[adapter].source.is_none() {
                return false;
            }
            let place = self.place_on(*busy, adapter, None, f64::INFINITY, false, now);
            let Some(place) = place else { continue };
            if demand > CONSOLIDATION_GAIN * place.loss {
                return self.start_load(place.target, adapter, place.victim, None, now);
            }
        }
        false
    }
}
