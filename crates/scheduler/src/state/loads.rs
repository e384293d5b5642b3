//! Start and completion of adapter loads, with back-off after failures.

use std::time::Duration;

use rand::RngExt;
use shallotdrum_engine::OrderRefusal;
use shallotdrum_telemetry::event;
use tokio::time::Instant;

use super::{State, store_loads::StoreLoad};
use crate::{
    api::{LoadFailure, LoadOrder, Policy},
    fair::{Cost, Seq},
    load_progress::LoadProgress,
    slots::{AdapterKey, LoadOutcome, ResidencyChange},
    target::TargetKey,
};

/// Back-off after the first failure; about the duration of a load.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Upper bound on the back-off for a failing adapter.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Pause after a missing permit; the store grants 2 to 3 loads/s.
const PERMIT_BACKOFF: Duration = Duration::from_millis(100);
/// Pause for an inspection of the engine's resident adapters.
const INSPECTION_BACKOFF: Duration = Duration::from_millis(300);
/// Pause after the target refused an order because of an outdated fencing token; ownership is
/// probably lost.
const OLD_EPOCH_BACKOFF: Duration = Duration::from_secs(5);
/// Pause for the next load report, sent every second, after a refusal that shows outdated state.
const REPORT_BACKOFF: Duration = Duration::from_secs(1);

impl State {
    /// Orders a load for a queued request, or as a prefetch if `cause` is `None`.
    pub(super) fn start_load(
        &mut self,
        key: TargetKey,
        adapter: AdapterKey,
        victim: Option<AdapterKey>,
        cause: Option<Seq>,
        now: Instant,
    ) -> bool {
        let Some(source) = self.adapters[adapter].source.clone() else { return false };
        let Some(target) = self.targets.get_mut(&key) else { return false };
        if !target.slots.begin_load(adapter, victim, now) {
            event!(self.log, LOAD_ORDER_DROPPED;
                "target" => %target.spec.id, "adapter" => %self.adapters.name(adapter));
            return false;
        }
        let order = LoadOrder {
            target: target.spec.id.clone(),
            incarnation: target.spec.incarnation,
            addr: target.spec.addr,
            adapter: self.adapters.name(adapter).clone(),
            source,
            evict: victim.map(|victim| self.adapters.name(victim).clone()),
            decided_at: now,
            progress: LoadProgress::default(),
        };
        let is_cached = target.adapter_cache.contains(adapter);
        let backlog = target.prefill_backlog.wait(now);
        let (free, reported) = (target.slots.free(), target.slots.reported());
        if let Some(victim) = victim {
            self.stats.evictions += 1;
            self.remove_holder(key, victim);
        }
        event!(self.log, LOAD_DECIDED; "target" => %order.target, "adapter" => %order.adapter,
            "evict" => order.evict.as_ref().map(ToString::to_string),
            "free" => free, "reported" => reported,
            "is_kept" => is_cached, "backlog_ms" => backlog.as_millis() as u64,
            "under_way" => self.loads_in_flight.len() + 1, "waiting_adapters" => self.waiting.len(),
            "from_store" => self.store_loads.len(), "store_limit" => self.store_limit());
        self.adapters[adapter].loading.push(key);
        self.loads_in_flight.insert((key, adapter));
        if !is_cached {
            let load = StoreLoad { decided_at: now, progress: order.progress.clone() };
            self.store_loads.insert((key, adapter), load);
            self.update_store_limit(now);
        }
        self.stats.loads += 1;
        if let Some(cause) = cause.and_then(|seq| self.queued.get(&seq)) {
            let account = &mut self.subs[cause.sub];
            account.charge(Cost::LOAD);
            account.loads.add(1.0, now);
        }
        self.orders.push((key, adapter, order));
        true
    }

    /// Applies the result of a load.
    pub(crate) fn load_done(
        &mut self,
        key: TargetKey,
        adapter: AdapterKey,
        result: &Result<(), LoadFailure>,
        now: Instant,
    ) {
        self.end_store_load(key, adapter, result.is_ok(), now);
        // The target may have been removed or restarted since.
        if !self.loads_in_flight.remove(&(key, adapter)) {
            self.finish_orphaned_order(key, adapter, now);
            return;
        }
        self.adapters[adapter].loading.retain(|other| *other != key);
        let outcome = match result {
            Ok(()) => LoadOutcome::Loaded,
            Err(LoadFailure::NoPermit | LoadFailure::InspectionRequired) => {
                LoadOutcome::NotCarriedOut
            }
            Err(LoadFailure::Refused(OrderRefusal::OldEpoch { .. })) => LoadOutcome::NotCarriedOut,
            Err(LoadFailure::Refused(OrderRefusal::AdapterBusy)) => LoadOutcome::VictimBusy,
            Err(LoadFailure::Refused(OrderRefusal::NoFreeSlot)) => LoadOutcome::Unknown,
            Err(LoadFailure::Refused(OrderRefusal::LoadFailed { .. }) | LoadFailure::Failed) => {
                LoadOutcome::Failed
            }
            Err(LoadFailure::Unknown) => LoadOutcome::Unknown,
        };
        let change = self
            .targets
            .get_mut(&key)
            .and_then(|target| target.slots.finish_load(adapter, outcome, now));
        self.back_off(key, adapter, result, now);
        if outcome == LoadOutcome::Loaded {
            self.record_load(key, adapter, now);
        }
        if let Some(change) = change {
            self.apply_residency_change(key, change, now);
        }
        self.fill_target(key, now);
    }

    /// Ends an order to a target that was removed and added again in the meantime.
    fn finish_orphaned_order(&mut self, key: TargetKey, adapter: AdapterKey, now: Instant) {
        let Some((id, incarnation)) = self.orphaned_orders.remove(&(key, adapter)) else { return };
        let Some(key) = self.target_keys.get(&id).copied() else { return };
        let Some(target) = self.targets.get_mut(&key) else { return };
        if target.spec.incarnation == incarnation {
            target.orphaned_orders = target.orphaned_orders.saturating_sub(1);
            self.fill_target(key, now);
        }
    }

    fn record_load(&mut self, key: TargetKey, adapter: AdapterKey, now: Instant) {
        let row = &mut self.adapters[adapter];
        row.failures = 0;
        row.failed_on.retain(|(target, _)| *target != key);
        // A gap without another load in flight is idle time of the store and does not reflect its
        // rate.
        let is_busy = !self.loads_in_flight.is_empty();
        let last = std::mem::replace(&mut self.last_load_end, is_busy.then_some(now));
        if let Some(last) = last {
            let secs = (now - last).as_secs_f64();
            // Longer gaps are outages, such as a change of the leader that grants permits.
            if secs < 2.0 {
                self.load_interval_secs.add(secs);
            }
        }
    }

    fn back_off(
        &mut self,
        key: TargetKey,
        adapter: AdapterKey,
        result: &Result<(), LoadFailure>,
        now: Instant,
    ) {
        let Err(failure) = result else { return };
        // Jitter spreads the retries of several owners.
        let jitter = 0.5 + self.rng.random::<f64>();
        let Some(target) = self.targets.get_mut(&key) else { return };
        if !matches!(failure, LoadFailure::NoPermit | LoadFailure::InspectionRequired) {
            event!(self.log, ADAPTER_LOAD_FAILED;
                "target" => %target.spec.id, "adapter" => %self.adapters.name(adapter),
                "error" => %failure);
            self.stats.failed_loads += 1;
        }
        let row = &mut self.adapters[adapter];
        match failure {
            LoadFailure::NoPermit => {
                self.next_plan_at = now + PERMIT_BACKOFF.mul_f64(jitter);
                target.orders_resume_at = self.next_plan_at;
            }
            LoadFailure::InspectionRequired => {
                // An engine that was never inspected may be out of reach for long.
                let backoff = target.reported_at.map_or(REPORT_BACKOFF, |_| INSPECTION_BACKOFF);
                target.orders_resume_at = now + backoff;
            }
            LoadFailure::Refused(OrderRefusal::OldEpoch { .. }) => {
                target.orders_resume_at = now + OLD_EPOCH_BACKOFF;
            }
            LoadFailure::Refused(OrderRefusal::AdapterBusy | OrderRefusal::NoFreeSlot) => {
                target.orders_resume_at = now + REPORT_BACKOFF;
            }
            LoadFailure::Refused(OrderRefusal::LoadFailed { .. })
            | LoadFailure::Failed
            | LoadFailure::Unknown => {
                let backoff = INITIAL_BACKOFF * 2_u32.pow(row.failures.min(10));
                row.failures += 1;
                row.retry_at = now + backoff.min(MAX_BACKOFF).mul_f64(jitter);
                row.failed_on.retain(|(target, _)| *target != key);
                row.failed_on.push((key, now));
                if self.cfg.policy == Policy::Adaptive {
                    self.fail_expiring_before_retry(adapter, now);
                }
            }
        }
    }

    /// Updates an adapter's holders after a change in what a target can serve.
    pub(super) fn apply_residency_change(
        &mut self,
        key: TargetKey,
        change: ResidencyChange,
        now: Instant,
    ) {
        match change {
            ResidencyChange::Ready(adapter) => {
                let row = &mut self.adapters[adapter];
                if !row.holders.contains(&key) {
                    row.holders.push(key);
                }
                row.available_since.get_or_insert(now);
                self.dispatch_adapter(adapter, now);
            }
            ResidencyChange::Removed(adapter) => self.remove_holder(key, adapter),
        }
    }

    pub(super) fn remove_holder(&mut self, key: TargetKey, adapter: AdapterKey) {
        let row = &mut self.adapters[adapter];
        row.holders.retain(|holder| *holder != key);
        if row.holders.is_empty() {
            row.available_since = None;
            row.blocked_since = None;
        }
    }
}
