//! Baseline policy: round robin over targets, first come first served, loads on demand and least
//! recently used eviction. Serves as a reference for the adaptive policy.

use tokio::time::Instant;

use super::{QueueId, State};
use crate::{
    api::Policy,
    fair::Seq,
    slots::AdapterKey,
    target::{Target, TargetKey},
};

/// Limit on the queued requests of a target that a pass visits.
const MAX_SCANNED: usize = 256;

impl State {
    /// Assigns a request to the next target in round-robin order.
    pub(super) fn assign(&mut self, seq: Seq, now: Instant) {
        let Some(queued) = self.queued.get_mut(&seq) else { return };
        let is_engine = queued.adapter.is_some();
        let usable: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| {
                !target.is_draining
                    && target.is_engine() == is_engine
                    && !queued.exclusion().is_other_software(target)
            })
            .map(|(key, _)| *key)
            .collect();
        let is_avoided = |key: &&TargetKey| queued.avoid.contains(&self.targets[*key].spec.id);
        let turn = self.next_round_robin % usable.len().max(1);
        let in_turn = usable[turn..].iter().chain(&usable[..turn]);
        let Some(key) = in_turn.clone().find(|key| !is_avoided(key)).or(usable.get(turn)) else {
            return;
        };
        let key = *key;
        self.next_round_robin = self.next_round_robin.wrapping_add(1);
        queued.queue_id = QueueId::Assigned(Some(key));
        self.unassigned.retain(|other| *other != seq);
        if let Some(target) = self.targets.get_mut(&key) {
            target.assigned.push_back(seq);
        }
        self.fill_baseline(key, now);
    }

    pub(super) fn assign_all(&mut self, now: Instant) {
        let seqs: Vec<Seq> = self.unassigned.iter().copied().collect();
        for seq in seqs {
            self.assign(seq, now);
        }
    }

    /// Reassigns the queued requests of a target that is leaving.
    pub(super) fn reassign(&mut self, key: TargetKey, now: Instant) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        let seqs = std::mem::take(&mut target.assigned);
        let was_draining = std::mem::replace(&mut target.is_draining, true);
        for seq in &seqs {
            if let Some(queued) = self.queued.get_mut(seq) {
                queued.queue_id = QueueId::Assigned(None);
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

    /// Admits the target's queued requests in order of arrival, and loads adapters on demand.
    pub(super) fn fill_baseline(&mut self, key: TargetKey, now: Instant) {
        if self.cfg.policy != Policy::Baseline {
            return;
        }
        let Some(target) = self.targets.get(&key) else { return };
        let seqs: Vec<Seq> = target.assigned.iter().take(MAX_SCANNED).copied().collect();
        for seq in seqs {
            let Some(target) = self.targets.get(&key) else { return };
            let is_closed = target.is_draining || target.orphaned_orders > 0;
            if is_closed
                || target.exclusive_to.is_some()
                || !target.has_capacity(now)
                || !target.is_within_limit(now)
            {
                return;
            }
            let queued = &self.queued[&seq];
            let (adapter, is_suspect) = (queued.adapter, queued.is_suspect);
            let is_ready =
                adapter.is_none_or(|key| target.slots.get(key).is_some_and(|slot| slot.is_ready()));
            if is_ready && (!is_suspect || target.is_unoccupied(now)) {
                self.grant(seq, key, now);
                continue;
            }
            if let Some(adapter) = adapter.filter(|_| !is_ready) {
                self.load_on_demand(key, adapter, seq, now);
            }
            if is_suspect {
                // Admitting later requests would keep the target from becoming idle for the
                // suspect.
                return;
            }
        }
    }

    fn load_on_demand(&mut self, key: TargetKey, adapter: AdapterKey, seq: Seq, now: Instant) {
        let target = &self.targets[&key];
        let may_load_now = self.loads_stopped.is_none()
            && now >= self.adapters[adapter].retry_at
            && target.accepts_orders(now);
        if !may_load_now || target.slots.references(adapter) {
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
