//! Admission of queued requests to targets with room.

use std::collections::BTreeSet;

use tokio::time::Instant;

use super::{Claim, State};
use crate::{
    api::Policy,
    fair::{Seq, Tag},
    slots::AdapterKey,
    target::{Target, TargetKey},
};

/// Suspects and resends are rare; this bounds a pass when a large batch crashed at once.
const MAX_SPECIAL_PER_PASS: usize = 64;
/// Service calls of each kind that are looked at in a pass. Those in front of a light subscriber's
/// call are about as many as there are flooding subscribers.
const MAX_SERVICE_HEADS: usize = 16;
/// Share of the group that suspects may take for themselves.
const SUSPECT_SHARE: usize = 4;

impl State {
    /// Admits requests of one adapter as long as a holder has room.
    pub(super) fn dispatch_adapter(&mut self, key: AdapterKey, now: Instant) {
        while let Some((_, seq)) = self.adapters[key].queue.first().copied() {
            let queued = &self.queued[&seq];
            match self.choose_holder(
                queued.claim(),
                key,
                &queued.prefixes,
                queued.prompt_tokens,
                &[],
                now,
            ) {
                Some(target) => self.grant(seq, target, now),
                None => break,
            }
        }
        let adapter = &mut self.adapters[key];
        let is_blocked = !adapter.queue.is_empty() && !adapter.holders.is_empty();
        adapter.blocked_since = is_blocked.then(|| adapter.blocked_since.unwrap_or(now));
    }

    /// Admits service calls as long as a target has room.
    pub(super) fn dispatch_services(&mut self, now: Instant) {
        loop {
            let is_free = |target: &Target| {
                !target.is_engine() && target.is_open(now) && target.has_room(now)
            };
            if !self.targets.values().any(is_free) {
                return;
            }
            let first = self.first_service(|claim| self.choose_service(claim, &[], now));
            let Some((seq, target)) = first else { return };
            self.grant(seq, target, now);
        }
    }

    /// First service call, in order of tags, for which there is a choice.
    fn first_service<T>(&self, choose: impl Fn(Claim) -> Option<T>) -> Option<(Seq, T)> {
        // A call that may take none of the free places must not block those that may.
        let first = |queue: &BTreeSet<(Tag, Seq)>| {
            let mut heads = queue.iter().take(MAX_SERVICE_HEADS);
            heads.find_map(|(tag, seq)| Some((*tag, *seq, choose(self.queued[seq].claim())?)))
        };
        let firsts = [first(&self.lookups), first(&self.calls)].into_iter().flatten();
        firsts.min_by_key(|(tag, seq, _)| (*tag, *seq)).map(|(_, seq, choice)| (seq, choice))
    }

    /// Admits suspects and resends, each of which needs its own choice.
    pub(super) fn dispatch_special(&mut self, now: Instant) {
        let seqs: Vec<Seq> =
            self.special.iter().take(MAX_SPECIAL_PER_PASS).map(|(_, seq)| *seq).collect();
        for seq in seqs {
            let target = if self.queued[&seq].is_suspect {
                self.reserve(seq, now).filter(|key| self.can_run_alone(seq, *key, now))
            } else {
                self.choose_special(seq, now)
            };
            if let Some(target) = target {
                self.grant(seq, target, now);
            }
        }
    }

    fn choose_special(&self, seq: Seq, now: Instant) -> Option<TargetKey> {
        let queued = &self.queued[&seq];
        let avoid = match self.avoids_all(&queued.avoid, queued.is_engine, now) {
            true => &[][..],
            false => &queued.avoid,
        };
        match queued.adapter {
            Some(adapter) => self.choose_holder(
                queued.claim(),
                adapter,
                &queued.prefixes,
                queued.prompt_tokens,
                avoid,
                now,
            ),
            None if queued.is_engine => self.choose_engine(
                queued.claim(),
                &queued.prefixes,
                queued.prompt_tokens,
                avoid,
                now,
            ),
            None => self.choose_service(queued.claim(), avoid, now),
        }
    }

    /// Returns the target reserved for a suspect, reserving one if allowed.
    fn reserve(&mut self, seq: Seq, now: Instant) -> Option<TargetKey> {
        let mut reserved = self.targets.iter().filter(|(_, target)| target.reserved == Some(seq));
        if let Some((key, target)) = reserved.next() {
            if target.is_active(now) {
                return Some(*key);
            }
            let key = *key;
            self.targets.get_mut(&key)?.reserved = None;
        }
        let is_taken = |target: &&Target| target.reserved.is_some() || target.exclusive.is_some();
        let taken = self.targets.values().filter(is_taken).count();
        if taken >= (self.targets.len() / SUSPECT_SHARE).max(1) {
            return None;
        }
        let queued = &self.queued[&seq];
        let is_engine = queued.is_engine;
        let ignores_avoid = self.avoids_all(&queued.avoid, is_engine, now);
        let allowed = self.targets.iter().filter(|(_, target)| {
            target.is_open(now)
                && target.is_engine() == is_engine
                && (ignores_avoid || !queued.avoid.contains(&target.spec.id))
        });
        let (key, _) = allowed.min_by_key(|(_, target)| {
            let holds = queued
                .adapter
                .is_some_and(|key| target.slots.get(key).is_some_and(|slot| slot.is_ready()));
            // Uncertain pins may last for long; then the fewest answers to wait for.
            (target.slots.has_uncertain(now), !holds, target.running)
        })?;
        let key = *key;
        self.targets.get_mut(&key)?.reserved = Some(seq);
        Some(key)
    }

    fn can_run_alone(&self, seq: Seq, key: TargetKey, now: Instant) -> bool {
        let target = &self.targets[&key];
        let is_ready = |key| target.slots.get(key).is_some_and(|slot| slot.is_ready());
        target.is_quiet(now) && self.queued[&seq].adapter.is_none_or(is_ready)
    }

    /// Admits queued requests to one target as long as it has room, lowest tag first.
    pub(super) fn fill_target(&mut self, key: TargetKey, now: Instant) {
        if self.cfg.policy == Policy::Baseline {
            self.fill_baseline(key, now);
            return;
        }
        if !self.special.is_empty() {
            self.dispatch_special(now);
        }
        while let Some(seq) = self.next_for(key, now) {
            self.grant(seq, key, now);
        }
        self.plan(now);
    }

    fn next_for(&self, key: TargetKey, now: Instant) -> Option<Seq> {
        let target = self.targets.get(&key)?;
        if !target.is_open(now) || !target.has_room(now) {
            return None;
        }
        if !target.is_engine() {
            let is_allowed = |claim| self.has_room(target, claim, now).then_some(());
            return self.first_service(is_allowed).map(|(seq, ())| seq);
        }
        let is_allowed =
            |(_, seq): &&(Tag, Seq)| self.has_room(target, self.queued[seq].claim(), now);
        let accepting = target.slots.slots.iter().filter(|slot| slot.accepts());
        let heads = accepting.filter_map(|slot| self.adapters[slot.adapter].queue.first());
        heads.filter(is_allowed).min().map(|(_, seq)| *seq)
    }

    /// Admits queued requests wherever there is room.
    pub(super) fn fill_all(&mut self, now: Instant) {
        let keys: Vec<TargetKey> = self.targets.keys().copied().collect();
        for key in keys {
            self.fill_target(key, now);
        }
    }
}
