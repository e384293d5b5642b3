//! Selection of a target for a request among those that can serve it.

use std::time::Duration;

use tokio::time::Instant;

use super::{AdmissionClass, Exclusion, QueuedRequest, State, SubKey};
use crate::{
    EngineModel,
    engine_model::{REMOTE_ZONE_MS, millis},
    slots::AdapterKey,
    target::{Target, TargetKey},
};

/// Difference in utilization above which a target in another availability zone is preferred.
const ZONE_PENALTY: f64 = 0.15;
/// Difference in utilization that a fully cached prompt outweighs. It saves the prefill, a fraction
/// of the time for the whole response.
const PREFIX_BONUS: f64 = 0.3;
/// Weight of a target's utilization in its score at `stall_weight` 0; negative, so that fuller
/// batches are preferred.
const PACKING_WEIGHT: f64 = -0.5;
/// Additional weight of utilization in the placement of loads at `stall_weight` 0; negative, so
/// that fuller batches are preferred.
const LOAD_PACKING_WEIGHT: f64 = -10.0;

/// Number of recent requests from light subscribers from which reserving capacity is worthwhile.
const MIN_LIGHT_ARRIVALS: f64 = 2.0;
/// Minimum capacity for a reserve. In smaller batches, an unused request slot costs too much.
const MIN_LIGHT_RESERVE_CAPACITY: u32 = 8;
/// Share of a target's capacity that is reserved for light subscribers at `stall_weight` 1. At
/// least one request slot is reserved at any weight.
const LIGHT_RESERVE_SHARE: f64 = 0.125;
/// Fair share below which a subscriber is flooding. Also the share of a service's total capacity
/// from which a subscriber's running calls count as a flood.
const FLOODING_SHARE: f64 = 0.25;
/// Share of a service's capacity that is reserved for lookups of subscribers within their share,
/// about one call of a small service. Lookups end within milliseconds, so little capacity serves
/// many.
const LOOKUP_RESERVE_SHARE: f64 = 0.125;

/// Share of an engine's time up to which it gets prompts of flooding subscribers while others send
/// requests. Beside a subscriber that sends 10 times its share, the 99th percentile of a light one's
/// latency is 1.04 times that without the flood; with 0.6 it is 1.36 times.
const MAX_FLOOD_PREFILL_SHARE: f64 = 0.5;
/// Time after a request of a light subscriber during which the others are limited for it; responses
/// last about as long.
const LIGHT_WINDOW: Duration = Duration::from_secs(5);

/// Age up to which the requests that a service states are counted; calls end within it.
const STATED_LOAD_TTL: Duration = Duration::from_millis(200);

impl State {
    /// Chooses a target with capacity that holds the adapter.
    pub(super) fn choose_holder(
        &self,
        class: AdmissionClass,
        adapter: AdapterKey,
        prefixes: &[u64],
        tokens: u64,
        exclusion: Exclusion<'_>,
        now: Instant,
    ) -> Option<TargetKey> {
        let holders = self.adapters[adapter].holders.iter().copied().filter(|key| {
            let target = &self.targets[key];
            target.slots.get(adapter).is_some_and(|slot| slot.accepts_requests())
        });
        self.choose(class, holders, prefixes, tokens, exclusion, now)
    }

    /// Chooses a target with capacity for a service call.
    pub(super) fn choose_service(
        &self,
        class: AdmissionClass,
        exclusion: Exclusion<'_>,
        now: Instant,
    ) -> Option<TargetKey> {
        let services = self.targets.iter().filter(|(_, target)| !target.is_engine());
        self.choose(class, services.map(|(key, _)| *key), &[], 0, exclusion, now)
    }

    /// Chooses an engine with capacity for a request on its base model.
    pub(super) fn choose_base_engine(
        &self,
        class: AdmissionClass,
        prefixes: &[u64],
        tokens: u64,
        exclusion: Exclusion<'_>,
        now: Instant,
    ) -> Option<TargetKey> {
        let engines = self.targets.iter().filter(|(_, target)| target.is_engine());
        self.choose(class, engines.map(|(key, _)| *key), prefixes, tokens, exclusion, now)
    }

    fn choose(
        &self,
        class: AdmissionClass,
        keys: impl Iterator<Item = TargetKey>,
        prefixes: &[u64],
        tokens: u64,
        exclusion: Exclusion<'_>,
        now: Instant,
    ) -> Option<TargetKey> {
        let eligible = keys.filter(|key| {
            let target = &self.targets[key];
            target.accepts_requests(now)
                && self.may_admit(target, class, now)
                && !exclusion.excludes(target)
        });
        let scored = eligible.map(|key| {
            let target = &self.targets[&key];
            let (score, granted_at) = self.target_score(target, class, prefixes, tokens, now);
            (score, granted_at, key)
        });
        let order = |a: &(f64, Option<Instant>, _), b: &(f64, Option<Instant>, _)| {
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        };
        scored.min_by(order).map(|(_, _, key)| key)
    }

    /// Score of a target for a request, and the time that decides between equal ones; the smaller, the
    /// better.
    pub(super) fn target_score(
        &self,
        target: &Target,
        class: AdmissionClass,
        prefixes: &[u64],
        tokens: u64,
        now: Instant,
    ) -> (f64, Option<Instant>) {
        if self.is_urgency_active() && !target.is_engine() {
            return (paced_service_score(target, now), target.granted_at);
        }
        if let Some(model) = self.cfg.engine_model.filter(|_| target.is_engine()) {
            if self.is_urgency_active() {
                let response = class.response_tokens;
                let time = finish_ms(&model, target, prefixes, tokens, response, now);
                return (time, target.granted_at);
            }
            return (self.expected_first_token_ms(&model, target, prefixes, tokens, now), None);
        }
        if !target.is_engine() && !self.cfg.prefers_own_zone {
            return (service_score(target, now), target.granted_at);
        }
        let prefix_bonus = PREFIX_BONUS * target.prefix_cache.hit_ratio(prefixes);
        (self.load_score(target, now) - prefix_bonus, target.granted_at)
    }

    /// Whether a request of this class may use the target's free capacity.
    ///
    /// While light subscribers send requests, some capacity is reserved for them. Otherwise, each
    /// time a flood fills the batch, they would wait until a response ends.
    pub(super) fn may_admit(&self, target: &Target, class: AdmissionClass, now: Instant) -> bool {
        if let Some(model) = self.cfg.engine_model.filter(|_| target.is_engine())
            && target.prefill_backlog.wait(now) > model.max_backlog
        {
            return false;
        }
        if target.is_engine()
            && target.pace.prefill_share(now) >= MAX_FLOOD_PREFILL_SHARE
            && self.is_limited_for_others(class.sub, now)
        {
            return false;
        }
        let in_use = target.running + target.foreign(now);
        if !target.is_engine()
            && !has_unreserved_capacity(target, now)
            && !self.may_use_lookup_reserve(class)
        {
            return false;
        }
        let light_reserve = if self.light_arrivals.get(now) < MIN_LIGHT_ARRIVALS {
            0
        } else {
            self.light_reserve(target)
        };
        in_use + light_reserve < target.capacity()
            || (in_use < target.capacity() && !self.is_flooding(class.sub))
    }

    /// Whether the subscriber is flooding while another one is light. Its prompts would hold up the
    /// responses of the other one on all engines. If all subscribers together send too much, none has
    /// most of the queued requests, and a limit would only waste capacity.
    pub(super) fn is_limited_for_others(&self, sub: SubKey, now: Instant) -> bool {
        let mut light = self.latest_light.iter().flatten();
        self.is_urgency_active()
            && 2 * self.subs[sub].queued.len() > self.queued.len()
            && light.any(|(other, at)| *other != sub && now < *at + LIGHT_WINDOW)
            && self.is_flooding(sub)
    }

    /// Records a request of a light subscriber.
    pub(super) fn record_light(&mut self, sub: SubKey, now: Instant) {
        let [latest, _] = self.latest_light;
        if latest.is_some_and(|(other, _)| other != sub) {
            self.latest_light[1] = latest;
        }
        self.latest_light[0] = Some((sub, now));
    }

    /// Whether a service call may use the capacity reserved for lookups.
    fn may_use_lookup_reserve(&self, class: AdmissionClass) -> bool {
        let services = self.targets.values().filter(|target| !target.is_engine());
        let capacity: u32 = services.map(Target::capacity).sum();
        // A flood that finds free capacity has nothing queued, so its running calls are counted.
        let running = f64::from(self.subs[class.sub].running);
        let holds_many = running >= FLOODING_SHARE * f64::from(capacity);
        class.is_repeatable && !holds_many && !self.is_flooding(class.sub)
    }

    fn light_reserve(&self, target: &Target) -> u32 {
        let capacity = target.capacity();
        if capacity < MIN_LIGHT_RESERVE_CAPACITY {
            return 0;
        }
        let weight = self.cfg.stall_weight.clamp(0.0, 1.0);
        (LIGHT_RESERVE_SHARE * weight * f64::from(capacity)).round().max(1.0) as u32
    }

    /// Whether the subscriber's requests exceed its fair share by far.
    pub(super) fn is_flooding(&self, sub: SubKey) -> bool {
        self.fair_share(sub, self.subs[sub].last_finish) < FLOODING_SHARE
    }

    /// Expected wait on the target relative to others, where 1 corresponds to a full batch; lower
    /// is better.
    pub(super) fn load_score(&self, target: &Target, now: Instant) -> f64 {
        let weight = self.cfg.stall_weight.clamp(0.0, 1.0);
        let slowness = target.health.slowness.unwrap_or(1.0);
        let utilization = target.utilization(now);
        // Packing fills the batches of few engines; spreading makes each request faster.
        let load = utilization * (weight * slowness + (1.0 - weight) * PACKING_WEIGHT);
        let slow = slowness - 1.0;
        let zone = if target.spec.zone == self.cfg.zone { 0.0 } else { ZONE_PENALTY };
        load + slow + zone
    }

    /// Expected time until the first token, in milliseconds.
    fn expected_first_token_ms(
        &self,
        model: &EngineModel,
        target: &Target,
        prefixes: &[u64],
        tokens: u64,
        now: Instant,
    ) -> f64 {
        let cached = target.prefix_cache.hit_ratio(prefixes);
        let work = target.prefill_backlog.wait(now) + model.prefill(tokens, cached);
        let zone = if target.spec.zone == self.cfg.zone { 0.0 } else { REMOTE_ZONE_MS };
        millis(work) * target.health.slowness.unwrap_or(1.0) + zone
    }

    /// Weight of full batches over short stalls: 1 at `stall_weight` 0, 0 from 0.5 on.
    pub(super) fn batching_weight(&self) -> f64 {
        (1.0 - 2.0 * self.cfg.stall_weight).clamp(0.0, 1.0)
    }

    /// Score that places loads on engines with full batches; lower is better.
    pub(super) fn packing_score(&self, target: &Target, now: Instant) -> f64 {
        LOAD_PACKING_WEIGHT * self.batching_weight() * target.utilization(now)
    }

    /// The exclusion of a request, without the targets to avoid if no other one is active.
    pub(super) fn effective_exclusion<'a>(
        &self,
        queued: &'a QueuedRequest,
        now: Instant,
    ) -> Exclusion<'a> {
        let exclusion = queued.exclusion();
        let has_other = self.targets.values().any(|target| {
            target.is_engine() == queued.is_engine
                && target.is_active(now)
                && !exclusion.excludes(target)
        });
        match has_other {
            true => exclusion,
            false => Exclusion { avoid: &[], ..exclusion },
        }
    }
}

/// Whether the target has free capacity that is not reserved for lookups.
pub(super) fn has_unreserved_capacity(target: &Target, now: Instant) -> bool {
    // Requests without a lease may be of any kind.
    let unreserved = target.unreserved_running + target.foreign(now);
    unreserved + lookup_reserve(target) < target.capacity()
}

/// Capacity of a service target that is reserved for lookups; none if it is less than 2.
fn lookup_reserve(target: &Target) -> u32 {
    match target.capacity() {
        _ if target.is_engine() => 0,
        ..2 => 0,
        capacity => (LOOKUP_RESERVE_SHARE * f64::from(capacity)).round().max(1.0) as u32,
    }
}

/// Expected wait of a call on a plain service relative to others; lower is better.
///
/// Used where entries send the calls, so that the owner's availability zone says nothing about their way.
/// Calls are short and services have few slots: the least loaded one takes a call, and among equal ones
/// the one that has waited longest.
fn service_score(target: &Target, now: Instant) -> f64 {
    let slowness = target.health.slowness.unwrap_or(1.0);
    target.utilization(now) * slowness + (slowness - 1.0)
}

/// Expected time until a request has its complete response, in milliseconds, at the pace of the target.
fn finish_ms(
    model: &EngineModel,
    target: &Target,
    prefixes: &[u64],
    prompt_tokens: u64,
    response_tokens: f64,
    now: Instant,
) -> f64 {
    let cached = target.prefix_cache.hit_ratio(prefixes);
    let prefill = millis(model.prefill(prompt_tokens, cached)) * target.pace.factor(now);
    // The backlog is in the target's own pace.
    let first_token = millis(target.prefill_backlog.wait(now)) + prefill;
    first_token + response_tokens * target.pace.token_ms(target.running, now)
}

/// Expected time of a call on a plain service relative to others, at the pace of the target; lower is
/// better. A service that states more requests than were granted here also serves others.
fn paced_service_score(target: &Target, now: Instant) -> f64 {
    let stated = target.stated_load.filter(|(_, at)| now <= *at + STATED_LOAD_TTL);
    let stated = stated.map_or(0, |(load, _)| load.running.saturating_add(load.waiting));
    let busy = (target.running + target.foreign(now)).max(stated);
    let slots = target.stated_load.map_or(0, |(load, _)| load.slots);
    let slots = if slots == 0 { target.capacity() } else { slots };
    target.pace.factor(now) * (1.0 + f64::from(busy) / f64::from(slots))
}
