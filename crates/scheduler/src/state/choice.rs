//! Choice of the target for a request among those that can serve it.

use shallotdrum_types::TargetId;
use tokio::time::Instant;

use super::State;
use crate::{
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

impl State {
    /// Chooses a target that holds the adapter and has room.
    pub(super) fn choose_holder(
        &self,
        adapter: AdapterKey,
        prefixes: &[u64],
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<TargetKey> {
        let holders = self.adapters[adapter].holders.iter().copied().filter(|key| {
            let target = &self.targets[key];
            target.slots.get(adapter).is_some_and(|slot| slot.accepts())
        });
        self.choose(holders, prefixes, avoid, now)
    }

    /// Chooses a target with room for a service call.
    pub(super) fn choose_service(&self, avoid: &[TargetId], now: Instant) -> Option<TargetKey> {
        let services = self.targets.iter().filter(|(_, target)| !target.is_engine());
        self.choose(services.map(|(key, _)| *key), &[], avoid, now)
    }

    fn choose(
        &self,
        keys: impl Iterator<Item = TargetKey>,
        prefixes: &[u64],
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<TargetKey> {
        let open = keys.filter(|key| {
            let target = &self.targets[key];
            target.is_open(now) && target.has_room(now) && !avoid.contains(&target.spec.id)
        });
        let scored = open.map(|key| {
            let target = &self.targets[&key];
            (self.load_score(target, now) - PREFIX_BONUS * target.prefixes.matched(prefixes), key)
        });
        scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
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

    /// Whether every active target is to be avoided, so that avoiding is pointless.
    pub(super) fn avoids_all(&self, avoid: &[TargetId], is_engine: bool, now: Instant) -> bool {
        !self.targets.values().any(|target| {
            target.is_engine() == is_engine
                && target.is_active(now)
                && !avoid.contains(&target.spec.id)
        })
    }
}
