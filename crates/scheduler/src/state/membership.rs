//! Targets of the group, their load reports and periodic maintenance.

use std::{collections::HashSet, time::Duration};

use shallotdrum_engine::{CacheEvents, LoadReport};
use shallotdrum_telemetry::event;
use shallotdrum_types::{Incarnation, RequestError, RequestErrorKind, TargetId};
use tokio::time::Instant;

use super::{Adapter, State};
use crate::{
    api::TargetSpec,
    fair::Seq,
    slots::{AdapterKey, ReportedAdapter},
    target::{Health, Target},
};

/// Time that requests stay queued after the last target left; covers a short restart.
const NO_TARGET_GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Interval of the work that need not follow each event: target speeds, pins and unused rows.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of adapters or subscribers above which unused ones are removed.
const MAX_ROWS: usize = 8192;
/// Demand, in recent requests, below which an unused adapter is removed.
const MIN_RETAINED_DEMAND: f64 = 0.01;
/// Upper bound on `Health::slowness`.
const MAX_SLOWNESS: f64 = 4.0;

/// Largest number of requests of others that a report is believed; far above the queue of any target,
/// and small enough to be added up.
const MAX_FOREIGN_REQUESTS: u32 = 1 << 20;

impl State {
    /// Adds or updates a target. A new incarnation starts without loaded adapters.
    pub(crate) fn upsert_target(&mut self, spec: TargetSpec, is_draining: bool, now: Instant) {
        let known = self.target_keys.get(&spec.id).copied();
        let mut health = Health::default();
        let mut is_draining = is_draining;
        if let Some(target) = known.and_then(|key| self.targets.get_mut(&key)) {
            if spec.incarnation < target.spec.incarnation {
                return;
            }
            if spec.incarnation == target.spec.incarnation && spec.kind == target.spec.kind {
                let id = spec.id.clone();
                target.spec = spec;
                if is_draining {
                    self.set_draining(&id, true, now);
                }
                return;
            }
            health = target.health.clone();
            is_draining |= target.is_draining && spec.incarnation == target.spec.incarnation;
            let id = spec.id.clone();
            self.remove_target(&id, now);
        }
        let key = self.next_target;
        self.next_target += 1;
        self.target_keys.insert(spec.id.clone(), key);
        let mut target = Target::new(spec, health, now);
        target.is_draining = is_draining;
        if let Some(model) = &self.cfg.engine_model {
            target.parallel_loads = model.parallel_loads;
            target.slots.evicts_after_requests = model.evicts_after_requests;
        }
        target.orphaned_orders = self
            .orphaned_orders
            .values()
            .filter(|(id, incarnation)| {
                *id == target.spec.id && *incarnation == target.spec.incarnation
            })
            .count();
        self.targets.insert(key, target);
        self.no_target_since = None;
        self.assign_all(now);
        self.fill_target(key, now);
    }

    /// Removes a target; admitted requests keep their leases.
    pub(crate) fn remove_target(&mut self, id: &TargetId, now: Instant) {
        let Some(key) = self.target_keys.remove(id) else { return };
        self.reassign(key, now);
        let Some(target) = self.targets.remove(&key) else { return };
        for slot in &target.slots.slots {
            self.remove_holder(key, slot.adapter);
            self.adapters[slot.adapter].loading.retain(|other| *other != key);
            self.store_loads.remove(&(key, slot.adapter));
            if self.loads_in_flight.remove(&(key, slot.adapter)) {
                let order = (target.spec.id.clone(), target.spec.incarnation);
                self.orphaned_orders.insert((key, slot.adapter), order);
            }
        }
        if self.targets.is_empty() {
            self.no_target_since = Some(now);
        }
        self.plan(now);
    }

    /// Stops or resumes admission to a target.
    pub(crate) fn set_draining(&mut self, id: &TargetId, is_draining: bool, now: Instant) {
        let Some(key) = self.target_keys.get(id).copied() else { return };
        let Some(target) = self.targets.get_mut(&key) else { return };
        target.is_draining = is_draining;
        if is_draining {
            target.reserved_for = None;
            self.reassign(key, now);
            self.dispatch_restricted(now);
            self.plan(now);
        } else {
            self.assign_all(now);
            self.fill_target(key, now);
        }
    }

    /// Stops or resumes admission to a target whose process crashed. Requests wait for its successor.
    pub(crate) fn set_crashed(&mut self, id: &TargetId, is_crashed: bool, now: Instant) {
        let Some(key) = self.target_keys.get(id).copied() else { return };
        let Some(target) = self.targets.get_mut(&key) else { return };
        target.is_crashed = is_crashed;
        if is_crashed {
            target.reserved_for = None;
            self.dispatch_restricted(now);
            self.plan(now);
        } else {
            self.fill_target(key, now);
        }
    }

    /// Applies a load report from one incarnation of a target; returns false if the report is of
    /// another incarnation or older than the previous one.
    pub(crate) fn report(
        &mut self,
        id: &TargetId,
        incarnation: Incarnation,
        report: &LoadReport,
        now: Instant,
    ) -> bool {
        let Some(key) = self.target_keys.get(id).copied() else { return false };
        let reported: Vec<ReportedAdapter> = report
            .adapters
            .iter()
            .map(|status| ReportedAdapter {
                adapter: self.adapters.key_or_insert_with(&status.adapter, || Adapter::new(now)),
                is_ready: status.ready,
                running: status.running,
            })
            .collect();
        let Some(target) = self.targets.get_mut(&key) else { return false };
        if target.spec.incarnation != incarnation {
            return false;
        }
        // The sample is at least `age_ms` old, and older by the transit time of the report.
        let age = Duration::from_millis(report.age_ms);
        let newest = now.checked_sub(age).unwrap_or(now);
        let oldest = newest.checked_sub(self.cfg.report_transit).unwrap_or(newest);
        if target.sampled_at.is_some_and(|at| newest < at) {
            return false;
        }
        target.sampled_at = Some(newest);
        target.reported_at = Some(now);
        let on_target = report.running.saturating_add(report.queued);
        target.foreign =
            on_target.saturating_sub(target.take_peak(oldest, now)).min(MAX_FOREIGN_REQUESTS);
        let unresolved: Vec<AdapterKey> = target.slots.unresolved().collect();
        let changes = target.slots.apply_report(&reported, oldest, now);
        for adapter in unresolved.into_iter().filter(|key| !target.slots.is_unresolved(*key)) {
            event!(self.log, ORDER_RESOLVED; "target" => %id,
                "adapter" => %self.adapters.name(adapter),
                "is_loaded" => target.slots.get(adapter).is_some(), "age_ms" => report.age_ms,
                "free" => target.slots.free(), "reported" => reported.len());
        }
        for change in changes {
            self.apply_residency_change(key, change, now);
        }
        self.fill_target(key, now);
        true
    }

    /// Whether the reports received so far account for all adapters on the target; true if the
    /// target is unknown.
    pub(crate) fn is_reconciled(&self, id: &TargetId) -> bool {
        let target = self.target_keys.get(id).and_then(|key| self.targets.get(key));
        target.is_none_or(|target| target.slots.is_reconciled())
    }

    /// Applies cache events of an engine to the estimate of its prefix cache.
    pub(crate) fn cache_events(&mut self, events: &CacheEvents, now: Instant) {
        let Some(key) = self.target_keys.get(&events.target) else { return };
        let Some(target) = self.targets.get_mut(key) else { return };
        if target.spec.incarnation != events.incarnation {
            return;
        }
        let stored = events.stored.iter().map(|hash| hash.0);
        let removed = events.removed.iter().map(|hash| hash.0);
        target.prefix_cache.apply_event(events.sequence, stored, removed, now);
    }

    /// Runs time-dependent work and returns the time until the next tick.
    pub(crate) fn tick(&mut self, now: Instant) -> Duration {
        /// Queued requests may become admissible when a pin, an ejection or a back-off ends.
        const BUSY_TICK: Duration = Duration::from_millis(20);
        /// With an engine model, an engine's backlog ends without an event. A delay of a tenth of a
        /// prompt's duration is acceptable.
        const ENGINE_MODEL_TICK: Duration = Duration::from_millis(10);
        /// With an empty queue, only prefetches and maintenance are due.
        const IDLE_TICK: Duration = Duration::from_millis(500);

        if self.closed.is_some() {
            return MAINTENANCE_INTERVAL;
        }
        if now >= self.next_maintenance_at {
            self.next_maintenance_at = now + MAINTENANCE_INTERVAL;
            self.run_maintenance(now);
        }
        if !self.queued.is_empty() {
            self.refuse_hopeless(now);
            self.sweep(now);
            self.fill_all(now);
        }
        self.plan(now);
        match self.cfg.engine_model {
            _ if self.queued.is_empty() => IDLE_TICK,
            Some(_) => ENGINE_MODEL_TICK,
            None => BUSY_TICK,
        }
    }

    fn run_maintenance(&mut self, now: Instant) {
        self.update_slowness();
        for target in self.targets.values_mut() {
            target.held.expire(now);
        }
        self.evict_unused_rows(now);
        if self.no_target_since.is_some_and(|since| now >= since + NO_TARGET_GRACE_PERIOD) {
            let error = RequestError::not_run(
                RequestErrorKind::NoTarget,
                "the last target of the group left; retry later",
            )
            .retry_after(MAINTENANCE_INTERVAL);
            let seqs: Vec<Seq> = self.queued.keys().copied().collect();
            for seq in seqs {
                self.fail(seq, error.clone());
            }
        }
    }

    /// Updates each target's slowness relative to the median of the group.
    fn update_slowness(&mut self) {
        let mut speeds: Vec<f64> =
            self.targets.values().filter_map(|target| target.health.secs_per_token.get()).collect();
        speeds.sort_by(f64::total_cmp);
        let Some(median) = speeds.get(speeds.len() / 2).copied().filter(|secs| *secs > 0.0) else {
            return;
        };
        for target in self.targets.values_mut() {
            let secs = target.health.secs_per_token.get();
            // Differences of up to twice the median are explained by batch sizes.
            target.health.slowness =
                secs.map(|secs| (secs / median / 2.0).clamp(1.0, MAX_SLOWNESS));
        }
    }

    fn evict_unused_rows(&mut self, now: Instant) {
        if self.adapters.len() > MAX_ROWS {
            let mut used: HashSet<AdapterKey> =
                self.loads_in_flight.iter().map(|(_, adapter)| *adapter).collect();
            used.extend(self.orphaned_orders.keys().map(|(_, adapter)| *adapter));
            used.extend(self.targets.values().flat_map(|target| target.slots.adapters()));
            used.extend(self.targets.values().flat_map(|target| target.adapter_cache.adapters()));
            used.extend(self.running.values().filter_map(|running| running.adapter));
            self.adapters.retain(|key, adapter| {
                let is_wanted =
                    adapter.demand.get(now) > MIN_RETAINED_DEMAND || adapter.queued_requests > 0;
                is_wanted || used.contains(&key) || !adapter.holders.is_empty()
            });
        }
        if self.subs.len() > MAX_ROWS {
            let clock = &self.fair_clock;
            self.subs.retain(|_, account| {
                !account.queued.is_empty()
                    || account.running > 0
                    || clock.lead(account.last_finish) > 0.0
            });
        }
    }
}
