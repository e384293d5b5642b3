//! Baseline policy: round robin over the targets, first come first served, load on demand, least
//! recently used eviction. It exists to compare the adaptive policy with.

use tokio::time::Instant;

use super::{Lane, State};
use crate::{
    api::Policy,
    fair::Seq,
    slots::AdapterKey,
    target::{Target, TargetKey},
};

/// Queued requests of a target that are looked at in a pass.
const MAX_SCAN: usize = 256;

impl State {
    /// Assigns a request to the next target in turn.
    pub(super) fn assign(&mut self, seq: Seq, now: Instant) {
        let Some(queued) = self.queued.get_mut(&seq) else { return };
        let is_engine = queued.adapter.is_some();
        let usable: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| !target.is_draining && target.is_engine() == is_engine)
            .map(|(key, _)| *key)
            .collect();
        let is_avoided = |key: &&TargetKey| queued.avoid.contains(&self.targets[*key].spec.id);
        let turn = self.round_robin % usable.len().max(1);
        let in_turn = usable[turn..].iter().chain(&usable[..turn]);
        let Some(key) = in_turn.clone().find(|key| !is_avoided(key)).or(usable.get(turn)) else {
            return;
        };
        let key = *key;
        self.round_robin = self.round_robin.wrapping_add(1);
        queued.lane = Lane::Assigned(Some(key));
        self.unassigned.retain(|other| *other != seq);
        if let Some(target) = self.targets.get_mut(&key) {
            target.fifo.push_back(seq);
        }
        self.fill_baseline(key, now);
    }

    pub(super) fn assign_all(&mut self, now: Instant) {
        let seqs: Vec<Seq> = self.unassigned.iter().copied().collect();
        for seq in seqs {
            self.assign(seq, now);
        }
    }

    /// Takes the queued requests from a target that leaves and assigns them anew.
    pub(super) fn reassign(&mut self, key: TargetKey, now: Instant) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        let seqs = std::mem::take(&mut target.fifo);
        let was_draining = std::mem::replace(&mut target.is_draining, true);
        for seq in &seqs {
            if let Some(queued) = self.queued.get_mut(seq) {
                queued.lane = Lane::Assigned(None);
                self.unassigned.push_back(*seq);
            }
        }
        for seq in seqs {
            self.assign(seq, now);
        }
        if let Some(target) = self.targets.get_mut(&key) {
            target.is_draining = was_draining;
        }
    }

    /// Admits queued requests of a target in order of arrival, and loads adapters on demand.
    pub(super) fn fill_baseline(&mut self, key: TargetKey, now: Instant) {
        if self.cfg.policy != Policy::Baseline {
            return;
        }
        let Some(target) = self.targets.get(&key) else { return };
        let seqs: Vec<Seq> = target.fifo.iter().take(MAX_SCAN).copied().collect();
        for seq in seqs {
            let Some(target) = self.targets.get(&key) else { return };
            let is_closed = target.is_draining || target.orphaned_orders > 0;
            if is_closed || target.exclusive.is_some() || !target.has_room(now) {
                return;
            }
            let queued = &self.queued[&seq];
            let (adapter, is_suspect) = (queued.adapter, queued.is_suspect);
            let is_ready =
                adapter.is_none_or(|key| target.slots.get(key).is_some_and(|slot| slot.is_ready()));
            if is_ready && (!is_suspect || target.is_quiet(now)) {
                self.grant(seq, key, now);
                continue;
            }
            if let Some(adapter) = adapter.filter(|_| !is_ready) {
                self.load_on_demand(key, adapter, seq, now);
            }
            if is_suspect {
                // Nothing is admitted behind a suspect, so that the target becomes idle.
                return;
            }
        }
    }

    fn load_on_demand(&mut self, key: TargetKey, adapter: AdapterKey, seq: Seq, now: Instant) {
        let target = &self.targets[&key];
        let is_due = now >= self.adapters[adapter].retry_at && target.takes_orders(now);
        if !is_due || target.slots.refers_to(adapter) {
            return;
        }
        if target.slots.has_free() {
            self.start_load(key, adapter, None, Some(seq), now);
            return;
        }
        if let Some(victim) = least_recently_used(target, now) {
            self.start_load(key, adapter, Some(victim), Some(seq), now);
        }
    }
}

fn least_recently_used(target: &Target, now: Instant) -> Option<AdapterKey> {
    let idle = target.slots.slots.iter().filter(|slot| slot.is_idle(now));
    idle.min_by_key(|slot| slot.last_used).map(|slot| slot.adapter)
}
