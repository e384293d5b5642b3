//! Choice of the target for a request among those that can serve it.

use shallotdrum_types::TargetId;
use tokio::time::Instant;

use super::{Claim, State, SubKey};
use crate::{
    EngineModel,
    engine_model::{REMOTE_ZONE_MS, millis},
    slots::AdapterKey,
    target::{Target, TargetKey},
};

/// A target of another availability zone is chosen once the own zone's is this much fuller.
const ZONE_PENALTY: f64 = 0.15;
/// A fully cached prompt outweighs this much fullness: it saves the prompt's processing time, a
/// fraction of the whole answer's.
const PREFIX_BONUS: f64 = 0.3;
/// Preference for fuller batches at `stall_weight` 0.
const PACKING: f64 = -0.5;
/// The same for the place of a load, on top.
const LOAD_PACKING: f64 = -10.0;

/// Light requests within the demand's half-life that are worth keeping places free.
const MIN_LIGHT: f64 = 2.0;
/// Smaller batches lose too much by an empty place.
const MIN_KEPT_CAPACITY: u32 = 8;
/// Share of a batch that is kept at `stall_weight` 1; at least one place at any weight.
const KEPT_PLACES: f64 = 0.125;
/// Share below which a subscriber is flooding, and share of all places of a service from which a
/// subscriber that holds them is.
const FLOODING_SHARE: f64 = 0.25;
/// Share of a service's places that only lookups within their subscriber's share may take; about
/// one place of a small service. Lookups end within milliseconds, so few places serve many.
const LOOKUP_PLACES: f64 = 0.125;

impl State {
    /// Chooses a target that holds the adapter and has room.
    pub(super) fn choose_holder(
        &self,
        claim: Claim,
        adapter: AdapterKey,
        prefixes: &[u64],
        tokens: u64,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<TargetKey> {
        let holders = self.adapters[adapter].holders.iter().copied().filter(|key| {
            let target = &self.targets[key];
            target.slots.get(adapter).is_some_and(|slot| slot.accepts())
        });
        self.choose(claim, holders, prefixes, tokens, avoid, now)
    }

    /// Chooses a target with room for a service call.
    pub(super) fn choose_service(
        &self,
        claim: Claim,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<TargetKey> {
        let services = self.targets.iter().filter(|(_, target)| !target.is_engine());
        self.choose(claim, services.map(|(key, _)| *key), &[], 0, avoid, now)
    }

    /// Chooses an engine with room for a request on its base model.
    pub(super) fn choose_engine(
        &self,
        claim: Claim,
        prefixes: &[u64],
        tokens: u64,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<TargetKey> {
        let engines = self.targets.iter().filter(|(_, target)| target.is_engine());
        self.choose(claim, engines.map(|(key, _)| *key), prefixes, tokens, avoid, now)
    }

    fn choose(
        &self,
        claim: Claim,
        keys: impl Iterator<Item = TargetKey>,
        prefixes: &[u64],
        tokens: u64,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<TargetKey> {
        let open = keys.filter(|key| {
            let target = &self.targets[key];
            target.is_open(now)
                && self.has_room(target, claim, now)
                && !avoid.contains(&target.spec.id)
        });
        let scored = open.map(|key| {
            let target = &self.targets[&key];
            if let Some(model) = self.cfg.engine_model.filter(|_| target.is_engine()) {
                return (self.first_token_ms(&model, target, prefixes, tokens, now), key);
            }
            (self.load_score(target, now) - PREFIX_BONUS * target.prefixes.matched(prefixes), key)
        });
        scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
    }

    /// Whether the subscriber may take one of the target's free places.
    ///
    /// While there are light subscribers, the last places are kept for them: they would otherwise
    /// wait for the end of an answer each time that a flood fills the batch.
    pub(super) fn has_room(&self, target: &Target, claim: Claim, now: Instant) -> bool {
        if let Some(model) = self.cfg.engine_model.filter(|_| target.is_engine())
            && target.backlog.wait(now) > model.max_backlog
        {
            return false;
        }
        let in_use = target.running + target.foreign(now);
        if !target.is_engine() && !has_common_place(target, now) && !self.may_use_reserved(claim) {
            return false;
        }
        let kept = if self.light.get(now) < MIN_LIGHT { 0 } else { self.kept_places(target) };
        in_use + kept < target.capacity()
            || (in_use < target.capacity() && !self.is_flooding(claim.sub))
    }

    /// Whether a service call may take the places reserved for lookups.
    fn may_use_reserved(&self, claim: Claim) -> bool {
        let services = self.targets.values().filter(|target| !target.is_engine());
        let places: u32 = services.map(Target::capacity).sum();
        // A flood that finds free places has nothing queued.
        let running = f64::from(self.subs[claim.sub].running);
        let holds_many = running >= FLOODING_SHARE * f64::from(places);
        claim.is_repeatable && !holds_many && !self.is_flooding(claim.sub)
    }

    fn kept_places(&self, target: &Target) -> u32 {
        let capacity = target.capacity();
        if capacity < MIN_KEPT_CAPACITY {
            return 0;
        }
        let weight = self.cfg.stall_weight.clamp(0.0, 1.0);
        (KEPT_PLACES * weight * f64::from(capacity)).round().max(1.0) as u32
    }

    /// Whether the subscriber has more queued than its share.
    pub(super) fn is_flooding(&self, sub: SubKey) -> bool {
        self.fair_share(sub, self.subs[sub].last_finish) < FLOODING_SHARE
    }

    /// Expected wait on the target relative to others, in units of a full batch; lower is better.
    pub(super) fn load_score(&self, target: &Target, now: Instant) -> f64 {
        let weight = self.cfg.stall_weight.clamp(0.0, 1.0);
        let slowness = target.health.slowness.unwrap_or(1.0);
        let fullness = target.fullness(now);
        // Packing fills the batches of few engines, spreading gives each request a faster one.
        let load = fullness * (weight * slowness + (1.0 - weight) * PACKING);
        let slow = slowness - 1.0;
        let zone = if target.spec.zone == self.cfg.zone { 0.0 } else { ZONE_PENALTY };
        load + slow + zone
    }

    /// Expected time until the first token, in milliseconds.
    fn first_token_ms(
        &self,
        model: &EngineModel,
        target: &Target,
        prefixes: &[u64],
        tokens: u64,
        now: Instant,
    ) -> f64 {
        let cached = target.prefixes.matched(prefixes);
        let work = target.backlog.wait(now) + model.prefill(tokens, cached);
        let zone = if target.spec.zone == self.cfg.zone { 0.0 } else { REMOTE_ZONE_MS };
        millis(work) * target.health.slowness.unwrap_or(1.0) + zone
    }

    /// How far batches come before stalls: 1 at `stall_weight` 0, 0 from 0.5 on.
    pub(super) fn batch_weight(&self) -> f64 {
        (1.0 - 2.0 * self.cfg.stall_weight).clamp(0.0, 1.0)
    }

    /// Score that makes loads prefer engines with full batches.
    pub(super) fn packing(&self, target: &Target, now: Instant) -> f64 {
        LOAD_PACKING * self.batch_weight() * target.fullness(now)
    }

    /// Whether every active target is to be avoided, so that avoiding is pointless.
    pub(super) fn avoids_all(&self, avoid: &[TargetId], is_engine: bool, now: Instant) -> bool {
        !self.targets.values().any(|target| {
            target.is_engine() == is_engine
                && target.is_active(now)
                && !avoid.contains(&target.spec.id)
        })
    }
}

/// Whether a place is free that is not reserved for lookups.
pub(super) fn has_common_place(target: &Target, now: Instant) -> bool {
    // What runs there without a lease may be of any kind.
    let common = target.common + target.foreign(now);
    common + reserved_places(target) < target.capacity()
}

/// Places of a service target that are reserved for lookups; a single place is shared by all.
fn reserved_places(target: &Target) -> u32 {
    match target.capacity() {
        _ if target.is_engine() => 0,
        ..2 => 0,
        capacity => (LOOKUP_PLACES * f64::from(capacity)).round().max(1.0) as u32,
    }
}
