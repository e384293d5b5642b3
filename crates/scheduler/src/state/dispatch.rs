//! Admission of queued requests to targets with capacity.

use tokio::time::Instant;

use super::{AdmissionClass, Exclusion, QueueId, State};
use crate::{
    api::Policy,
    fair::Seq,
    slots::AdapterKey,
    target::{Target, TargetKey},
    urgency::{Queue, Rank, head, heads},
};

/// Limit on the restricted requests that a pass visits. Usually there are few suspects and resends,
/// but the crash of a large batch causes many.
const MAX_RESTRICTED_PER_PASS: usize = 64;
/// Limit on the service calls of each kind that a pass visits. The calls ahead of a light
/// subscriber's call are about as many as there are flooding subscribers.
const MAX_SERVICE_HEADS: usize = 16;
/// Limit on the requests within their subscribers' shares that are tried if a flood is ahead of them.
const MAX_WITHIN_SHARE: usize = 64;
/// One target in this many may be reserved for a suspect.
const TARGETS_PER_SUSPECT: usize = 4;

impl State {
    /// Admits requests for one adapter while a holder has capacity.
    pub(super) fn dispatch_adapter(&mut self, key: AdapterKey, now: Instant) {
        while let Some((_, seq)) = head(&self.adapters[key].queue, self.order(true)) {
            let queued = &self.queued[&seq];
            match self.choose_holder(
                queued.admission_class(),
                key,
                &queued.prefixes,
                queued.prompt_tokens,
                Exclusion::NONE,
                now,
            ) {
                Some(target) => self.grant(seq, target, now),
                None => break,
            }
        }
        for seq in self.overtaking(key, now) {
            let queued = &self.queued[&seq];
            let (class, tokens) = (queued.admission_class(), queued.prompt_tokens);
            let target =
                self.choose_holder(class, key, &queued.prefixes, tokens, Exclusion::NONE, now);
            match target {
                Some(target) => self.grant(seq, target, now),
                None => break,
            }
        }
        let adapter = &mut self.adapters[key];
        let is_blocked = !adapter.queue.is_empty() && !adapter.holders.is_empty();
        adapter.blocked_since = is_blocked.then(|| adapter.blocked_since.unwrap_or(now));
    }

    /// Requests for an adapter that may overtake the first one in its queue: those of subscribers within
    /// their share, in order, if that one waits because its subscriber is limited for others.
    fn overtaking(&self, key: AdapterKey, now: Instant) -> Vec<Seq> {
        let order = self.order(true);
        let is_limited =
            |(_, seq): (Rank, Seq)| self.is_limited_for_others(self.queued[&seq].sub, now);
        if !head(&self.adapters[key].queue, order).is_some_and(is_limited) {
            return Vec::new();
        }
        let subs = self.by_queue_len.iter().filter(|(_, sub)| !self.is_flooding(*sub));
        let seqs = subs.flat_map(|(_, sub)| &self.subs[*sub].queued);
        let mut entries: Vec<(Rank, Seq)> = seqs
            .take(MAX_WITHIN_SHARE)
            .map(|seq| (*seq, &self.queued[seq]))
            .filter(|(_, queued)| queued.queue_id == QueueId::Adapter(key))
            .map(|(seq, queued)| (queued.rank, seq))
            .collect();
        entries.sort_unstable_by_key(|entry| order.key(*entry));
        entries.into_iter().map(|(_, seq)| seq).collect()
    }

    /// Admits service calls while a target has capacity.
    pub(super) fn dispatch_services(&mut self, now: Instant) {
        loop {
            let has_capacity = |target: &Target| {
                !target.is_engine() && target.accepts_requests(now) && target.has_capacity(now)
            };
            if !self.targets.values().any(has_capacity) {
                return;
            }
            let first =
                self.first_service(|class| self.choose_service(class, Exclusion::NONE, now));
            let Some((seq, target)) = first else { return };
            self.grant(seq, target, now);
        }
    }

    /// First service call, in the order of the next grant, for which `choose` returns a choice.
    fn first_service<T>(&self, choose: impl Fn(AdmissionClass) -> Option<T>) -> Option<(Seq, T)> {
        // A call that may not use the free capacity must not block those that may.
        let order = self.order(false);
        let first = |queue: &Queue| {
            heads(queue, order, MAX_SERVICE_HEADS).into_iter().find_map(|(rank, seq)| {
                Some((order.key((rank, seq)), choose(self.queued[&seq].admission_class())?))
            })
        };
        let firsts = [first(&self.lookups), first(&self.calls)].into_iter().flatten();
        firsts.min_by_key(|(key, _)| *key).map(|((_, seq), choice)| (seq, choice))
    }

    /// Admits suspects, resends and requests for the base model, each with its own target
    /// selection.
    pub(super) fn dispatch_restricted(&mut self, now: Instant) {
        for (_, seq) in heads(&self.restricted, self.order(true), MAX_RESTRICTED_PER_PASS) {
            let target = if self.queued[&seq].is_suspect {
                self.reserve_target(seq, now).filter(|key| self.can_run_alone(seq, *key, now))
            } else {
                self.choose_restricted(seq, now)
            };
            if let Some(target) = target {
                self.grant(seq, target, now);
            }
        }
    }

    fn choose_restricted(&self, seq: Seq, now: Instant) -> Option<TargetKey> {
        let queued = &self.queued[&seq];
        let exclusion = self.effective_exclusion(queued, now);
        match queued.adapter {
            Some(adapter) => self.choose_holder(
                queued.admission_class(),
                adapter,
                &queued.prefixes,
                queued.prompt_tokens,
                exclusion,
                now,
            ),
            None if queued.is_engine => self.choose_base_engine(
                queued.admission_class(),
                &queued.prefixes,
                queued.prompt_tokens,
                exclusion,
                now,
            ),
            None => self.choose_service(queued.admission_class(), exclusion, now),
        }
    }

    /// Returns the target reserved for a suspect, reserving one if the limit allows it.
    fn reserve_target(&mut self, seq: Seq, now: Instant) -> Option<TargetKey> {
        let mut reserved =
            self.targets.iter().filter(|(_, target)| target.reserved_for == Some(seq));
        if let Some((key, target)) = reserved.next() {
            if target.is_active(now) {
                return Some(*key);
            }
            let key = *key;
            self.targets.get_mut(&key)?.reserved_for = None;
        }
        let is_taken =
            |target: &&Target| target.reserved_for.is_some() || target.exclusive_to.is_some();
        let taken = self.targets.values().filter(is_taken).count();
        if taken >= (self.targets.len() / TARGETS_PER_SUSPECT).max(1) {
            return None;
        }
        let queued = &self.queued[&seq];
        let is_engine = queued.is_engine;
        let exclusion = self.effective_exclusion(queued, now);
        let allowed = self.targets.iter().filter(|(_, target)| {
            target.accepts_requests(now)
                && target.is_engine() == is_engine
                && !exclusion.excludes(target)
        });
        let (key, _) = allowed.min_by_key(|(_, target)| {
            let holds = queued
                .adapter
                .is_some_and(|key| target.slots.get(key).is_some_and(|slot| slot.is_ready()));
            // Prefers targets without uncertain pins, which may last long, and then those with the
            // fewest running requests.
            (target.slots.has_uncertain_pins(now), !holds, target.running)
        })?;
        let key = *key;
        self.targets.get_mut(&key)?.reserved_for = Some(seq);
        Some(key)
    }

    fn can_run_alone(&self, seq: Seq, key: TargetKey, now: Instant) -> bool {
        let target = &self.targets[&key];
        let is_ready = |key| target.slots.get(key).is_some_and(|slot| slot.is_ready());
        target.is_unoccupied(now)
            && target.is_within_limit(now)
            && self.queued[&seq].adapter.is_none_or(is_ready)
    }

    /// Admits queued requests to one target while it has capacity, first in order first.
    pub(super) fn fill_target(&mut self, key: TargetKey, now: Instant) {
        if self.cfg.policy == Policy::Baseline {
            self.fill_baseline(key, now);
            return;
        }
        if !self.restricted.is_empty() {
            self.dispatch_restricted(now);
        }
        while let Some(seq) = self.next_for(key, now) {
            self.grant(seq, key, now);
        }
        self.plan(now);
    }

    fn next_for(&self, key: TargetKey, now: Instant) -> Option<Seq> {
        let target = self.targets.get(&key)?;
        if !target.accepts_requests(now) || !target.has_capacity(now) {
            return None;
        }
        if !target.is_engine() {
            let is_allowed = |class| self.may_admit(target, class, now).then_some(());
            return self.first_service(is_allowed).map(|(seq, ())| seq);
        }
        let order = self.order(true);
        let is_allowed = |(_, seq): &(Rank, Seq)| {
            self.may_admit(target, self.queued[seq].admission_class(), now)
        };
        let accepting = target.slots.slots.iter().filter(|slot| slot.accepts_requests());
        let firsts = accepting.filter_map(|slot| {
            let first = head(&self.adapters[slot.adapter].queue, order)?;
            if is_allowed(&first) {
                return Some(first);
            }
            let overtaking = self.overtaking(slot.adapter, now).into_iter();
            overtaking.map(|seq| (self.queued[&seq].rank, seq)).find(is_allowed)
        });
        firsts.min_by_key(|entry| order.key(*entry)).map(|(_, seq)| seq)
    }

    /// Admits queued requests to all targets with capacity.
    pub(super) fn fill_all(&mut self, now: Instant) {
        let keys: Vec<TargetKey> = self.targets.keys().copied().collect();
        for key in keys {
            self.fill_target(key, now);
        }
    }
}
