//! Adapter slots of one engine: resident adapters, pins and reconciliation with load reports.
//!
//! Architecture Invariant: a slot with leases or with an uncertain pin is never offered as a
//! victim, and there are never more slots than the engine has.

use std::time::Duration;

use tokio::time::Instant;

use crate::api::MAX_REQUEST_DEADLINE;

/// Key of an adapter in the group's table.
pub(crate) type AdapterKey = usize;

/// Reports without an adapter after which it counts as removed. A single report may be incomplete.
const REMOVED_AFTER_ABSENT_REPORTS: u32 = 3;
/// Reports without the adapter of an unresolved order after which the load counts as failed. One
/// report may be incomplete.
const RESOLVED_AFTER_ABSENT_REPORTS: u32 = 2;

/// Number of reports after a takeover that together list every adapter on the engine.
const RECONCILED_AFTER_REPORTS: u32 = 2;

/// Adapter slot in use.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) adapter: AdapterKey,
    pub(crate) state: SlotState,
    /// Admitted requests on the adapter that have not ended.
    pub(crate) leases: u32,
    /// Set while requests unknown to this owner may be running on the adapter.
    pub(crate) uncertain_pin: Option<UncertainPin>,
    pub(crate) ready_at: Instant,
    pub(crate) last_used: Instant,
    /// Set while no new requests are admitted, so that the slot becomes idle.
    pub(crate) draining_since: Option<Instant>,
    absent_reports: u32,
    /// Whether the engine finishes the adapter's requests before it evicts the adapter.
    evicts_after_requests: bool,
}

/// State of a slot.
#[derive(Clone, Debug)]
pub(crate) enum SlotState {
    /// A load order is outstanding; `victim` is the slot's state before the order.
    Loading {
        victim: Option<Box<Slot>>,
        /// Whether the adapter was known to be absent from the engine.
        was_absent: bool,
    },
    /// The adapter can serve requests.
    Ready,
    /// The result of an order is unknown, or a load that this owner did not order is in progress.
    Unresolved { victim: Option<Box<Slot>>, ordered_at: Instant, ended_at: Instant },
}

/// Pin for requests that may be running without a lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UncertainPin {
    /// Only a report sampled after this time can release the pin.
    since: Instant,
    /// The pin expires at this time: no such request runs longer.
    until: Instant,
}

impl UncertainPin {
    fn from(since: Instant) -> Self {
        Self { since, until: since + MAX_REQUEST_DEADLINE }
    }
}

impl Slot {
    fn ready(adapter: AdapterKey, evicts_after_requests: bool, now: Instant) -> Self {
        Self {
            evicts_after_requests,
            adapter,
            state: SlotState::Ready,
            leases: 0,
            uncertain_pin: None,
            ready_at: now,
            last_used: now,
            draining_since: None,
            absent_reports: 0,
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        matches!(self.state, SlotState::Ready)
    }

    /// Whether new requests may be admitted to the adapter.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.is_ready() && self.draining_since.is_none()
    }

    pub(crate) fn has_uncertain_pin(&self, now: Instant) -> bool {
        self.uncertain_pin.is_some_and(|pin| now < pin.until)
    }

    /// Whether the adapter may be evicted.
    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        self.is_ready() && self.leases == 0 && !self.has_uncertain_pin(now)
    }

    /// Pins the adapter until a report sampled after `since` shows that it has no running requests.
    pub(crate) fn pin_uncertain(&mut self, since: Instant) {
        if !self.evicts_after_requests {
            self.uncertain_pin = Some(UncertainPin::from(since));
        }
    }
}

/// Effect of a load order on its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadOutcome {
    /// The adapter can serve requests.
    Loaded,
    /// Nothing changed on the engine.
    NotCarriedOut,
    /// Nothing changed, because the victim is serving requests.
    VictimBusy,
    /// The load failed; the victim may or may not have been evicted.
    Failed,
    /// The effect is unknown.
    Unknown,
}

/// Change in the adapters that an engine can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResidencyChange {
    /// The adapter can serve requests.
    Ready(AdapterKey),
    /// The adapter can no longer serve requests.
    Removed(AdapterKey),
}

/// State of an adapter according to a load report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedAdapter {
    pub(crate) adapter: AdapterKey,
    pub(crate) is_ready: bool,
    pub(crate) running: u32,
}

/// Adapter slots of one engine.
#[derive(Clone, Debug)]
pub(crate) struct Slots {
    pub(crate) slots: Vec<Slot>,
    pub(crate) max: usize,
    /// Whether the engine finishes an adapter's requests before it evicts the adapter.
    pub(crate) evicts_after_requests: bool,
    /// End of the latest order. Reports sampled earlier cannot be trusted about adapters without a
    /// slot.
    last_order_end: Option<Instant>,
    /// Time at which this owner took over the target.
    added_at: Instant,
    /// Number of reports sampled since `added_at`.
    reports_since_added: u32,
    /// Whether the latest report named an adapter that no slot references, so the engine's contents
    /// differ from what is tracked here.
    has_untracked_adapter: bool,
    /// Adapters without a slot here that were reported with running requests, each with the number
    /// of later reports that omit it.
    busy_without_slot: Vec<(AdapterKey, u32)>,
    /// Adapters of the latest report, which occupy room on the engine with or without a slot here.
    reported: Vec<AdapterKey>,
    /// Adapters that orders of this owner evicted, each with the end of its order. Reports sampled
    /// earlier still name them.
    evicted: Vec<(AdapterKey, Instant)>,
}

impl Slots {
    pub(crate) fn new(max: usize, now: Instant) -> Self {
        Self {
            slots: Vec::new(),
            max,
            evicts_after_requests: false,
            last_order_end: None,
            added_at: now,
            reports_since_added: 0,
            has_untracked_adapter: false,
            busy_without_slot: Vec::new(),
            reported: Vec::new(),
            evicted: Vec::new(),
        }
    }

    pub(crate) fn get(&self, adapter: AdapterKey) -> Option<&Slot> {
        self.slots.iter().find(|slot| slot.adapter == adapter)
    }

    pub(crate) fn get_mut(&mut self, adapter: AdapterKey) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|slot| slot.adapter == adapter)
    }

    /// Whether the adapter has a slot, or may still be resident as the victim of an order.
    pub(crate) fn references(&self, adapter: AdapterKey) -> bool {
        self.adapters().any(|other| other == adapter)
    }

    pub(crate) fn has_free(&self) -> bool {
        self.free() > 0
    }

    /// Number of adapters that the engine certainly has room for.
    pub(crate) fn free(&self) -> usize {
        let untracked = self.reported.iter().filter(|adapter| !self.references(**adapter)).count();
        self.max.saturating_sub(self.slots.len() + untracked)
    }

    /// Number of adapters in the latest report.
    pub(crate) fn reported(&self) -> usize {
        self.reported.len()
    }

    pub(crate) fn is_loading(&self) -> bool {
        self.loading() > 0
    }

    /// Number of outstanding load orders.
    pub(crate) fn loading(&self) -> usize {
        self.slots.iter().filter(|slot| matches!(slot.state, SlotState::Loading { .. })).count()
    }

    /// Whether the result of an order is unknown, so that another order could exceed the slots.
    pub(crate) fn has_unresolved_order(&self) -> bool {
        self.unresolved().next().is_some()
    }

    /// Adapters whose orders have an unknown result.
    pub(crate) fn unresolved(&self) -> impl Iterator<Item = AdapterKey> {
        let slots = self.slots.iter();
        slots
            .filter(|slot| matches!(slot.state, SlotState::Unresolved { .. }))
            .map(|slot| slot.adapter)
    }

    /// Whether the result of the adapter's order is unknown.
    pub(crate) fn is_unresolved(&self, adapter: AdapterKey) -> bool {
        self.unresolved().any(|other| other == adapter)
    }

    /// Whether the reports since the takeover account for all adapters, and no order is unresolved.
    pub(crate) fn is_reconciled(&self) -> bool {
        self.reports_since_added >= RECONCILED_AFTER_REPORTS
            && !self.has_unresolved_order()
            && !self.has_untracked_adapter
    }

    /// Whether a further order could exceed the engine's slots.
    pub(crate) fn may_exceed_slots(&self) -> bool {
        self.has_unresolved_order() || (self.evicts_after_requests && self.has_untracked_adapter)
    }

    /// Whether requests without a lease may be running on any adapter.
    pub(crate) fn has_uncertain_pins(&self, now: Instant) -> bool {
        self.slots.iter().any(|slot| slot.has_uncertain_pin(now))
    }

    /// Reserves a slot for an order, replacing the victim if one is given.
    ///
    /// Returns whether the order may be sent: the victim is idle, or a slot is free.
    #[must_use]
    pub(crate) fn begin_load(
        &mut self,
        adapter: AdapterKey,
        victim: Option<AdapterKey>,
        now: Instant,
    ) -> bool {
        if self.references(adapter) {
            return false;
        }
        let victim = match victim {
            Some(victim) => {
                let is_victim = |slot: &Slot| slot.adapter == victim && slot.is_idle(now);
                let Some(at) = self.slots.iter().position(is_victim) else { return false };
                Some(Box::new(self.slots.swap_remove(at)))
            }
            None if self.has_free() => None,
            None => return false,
        };
        let is_busy = self.busy_without_slot.iter().any(|(busy, _)| *busy == adapter);
        let was_absent = self.reports_since_added >= RECONCILED_AFTER_REPORTS && !is_busy;
        let state = SlotState::Loading { victim, was_absent };
        self.slots.push(Slot { state, ..Slot::ready(adapter, self.evicts_after_requests, now) });
        true
    }

    /// Updates the slot of an order according to its outcome.
    pub(crate) fn finish_load(
        &mut self,
        adapter: AdapterKey,
        outcome: LoadOutcome,
        now: Instant,
    ) -> Option<ResidencyChange> {
        let at = self.slots.iter().position(|slot| {
            slot.adapter == adapter && matches!(slot.state, SlotState::Loading { .. })
        })?;
        let slot = &mut self.slots[at];
        let state = std::mem::replace(&mut slot.state, SlotState::Ready);
        let SlotState::Loading { victim, was_absent } = state else { return None };
        self.last_order_end = Some(now);
        let ordered_at = slot.last_used;
        match (outcome, victim) {
            (LoadOutcome::Loaded, victim) => {
                if let Some(victim) = victim {
                    self.reported.retain(|adapter| *adapter != victim.adapter);
                    self.evicted.push((victim.adapter, now));
                }
                *slot = Slot::ready(adapter, self.evicts_after_requests, now);
                if !was_absent {
                    // The adapter may have been resident before, with requests of the previous
                    // owner.
                    slot.pin_uncertain(self.added_at);
                }
                Some(ResidencyChange::Ready(adapter))
            }
            (LoadOutcome::NotCarriedOut, Some(victim)) => {
                *slot = *victim;
                Some(ResidencyChange::Ready(slot.adapter))
            }
            (LoadOutcome::VictimBusy, Some(victim)) => {
                *slot = *victim;
                slot.pin_uncertain(now);
                Some(ResidencyChange::Ready(slot.adapter))
            }
            (LoadOutcome::NotCarriedOut | LoadOutcome::VictimBusy | LoadOutcome::Failed, None) => {
                self.slots.swap_remove(at);
                None
            }
            // If the victim was not evicted, it still occupies the slot.
            (LoadOutcome::Failed | LoadOutcome::Unknown, victim) => {
                slot.state = SlotState::Unresolved { victim, ordered_at, ended_at: now };
                None
            }
        }
    }

    /// Updates the slots from a report that was sampled at `sampled` or later.
    pub(crate) fn apply_report(
        &mut self,
        reported: &[ReportedAdapter],
        sampled: Instant,
        now: Instant,
    ) -> Vec<ResidencyChange> {
        if sampled >= self.added_at {
            self.reports_since_added += 1;
        }
        self.update_busy_without_slot(reported, sampled);
        self.evicted.retain(|(_, at)| sampled <= *at);
        let is_evicted = |adapter| self.evicted.iter().any(|(evicted, _)| *evicted == adapter);
        self.reported = reported.iter().map(|status| status.adapter).collect();
        self.reported.retain(|adapter| !is_evicted(*adapter));
        let mut changes = Vec::new();
        for status in reported {
            if let Some(slot) = self.get_mut(status.adapter) {
                slot.apply_status(*status, sampled, &mut changes);
            }
        }
        // Expired slots make room for adapters that the previous owner's last order loaded.
        self.expire_absent(reported, sampled, now, &mut changes);
        for status in reported {
            if self.get(status.adapter).is_none() {
                self.add_discovered(*status, sampled, now, &mut changes);
            }
        }
        // A report sampled before the end of the latest order may name an adapter that the order
        // evicted.
        if self.last_order_end.is_none_or(|end| sampled > end) && !self.is_loading() {
            self.has_untracked_adapter =
                reported.iter().any(|status| !self.references(status.adapter));
        }
        changes
    }

    /// Updates the adapters without a slot on which requests without a lease may be running.
    fn update_busy_without_slot(&mut self, reported: &[ReportedAdapter], sampled: Instant) {
        self.busy_without_slot.retain_mut(|(adapter, absent)| {
            match reported.iter().find(|status| status.adapter == *adapter) {
                Some(status) => status.running > 0 || sampled < self.added_at,
                None => {
                    *absent += 1;
                    *absent < REMOVED_AFTER_ABSENT_REPORTS
                }
            }
        });
        for status in reported.iter().filter(|status| status.running > 0) {
            let is_known = self.slots.iter().any(|slot| slot.adapter == status.adapter);
            self.busy_without_slot.retain(|(busy, _)| *busy != status.adapter);
            if !is_known {
                self.busy_without_slot.push((status.adapter, 0));
            }
        }
    }

    /// Adds a slot for a reported adapter that this owner did not load.
    fn add_discovered(
        &mut self,
        status: ReportedAdapter,
        sampled: Instant,
        now: Instant,
        changes: &mut Vec<ResidencyChange>,
    ) {
        let is_victim = self.slots.iter().any(|slot| slot.victim() == Some(status.adapter));
        let is_current = self.last_order_end.is_none_or(|end| sampled > end);
        let has_slot = self.slots.len() < self.max;
        if is_victim || !is_current || self.is_loading() || !has_slot {
            return;
        }
        let mut slot = Slot::ready(status.adapter, self.evicts_after_requests, now);
        slot.pin_uncertain(self.added_at);
        if status.is_ready && status.running == 0 {
            slot.uncertain_pin = slot.uncertain_pin.filter(|pin| sampled <= pin.since);
        }
        if status.is_ready {
            changes.push(ResidencyChange::Ready(status.adapter));
        } else {
            slot.state =
                SlotState::Unresolved { victim: None, ordered_at: sampled, ended_at: sampled };
        }
        self.slots.push(slot);
    }

    fn expire_absent(
        &mut self,
        reported: &[ReportedAdapter],
        sampled: Instant,
        now: Instant,
        changes: &mut Vec<ResidencyChange>,
    ) {
        // During another order, a resident adapter without a slot cannot be added, so no slot is
        // freed.
        let is_loading = self.is_loading();
        self.slots.retain_mut(|slot| {
            let is_reported = |adapter| reported.iter().any(|status| status.adapter == adapter);
            if is_reported(slot.adapter) {
                slot.absent_reports = 0;
                return true;
            }
            match &mut slot.state {
                SlotState::Loading { .. } => true,
                SlotState::Ready => {
                    if sampled <= slot.ready_at || slot.leases > 0 || slot.has_uncertain_pin(now) {
                        return true;
                    }
                    slot.absent_reports += 1;
                    if slot.absent_reports < REMOVED_AFTER_ABSENT_REPORTS {
                        return true;
                    }
                    changes.push(ResidencyChange::Removed(slot.adapter));
                    false
                }
                SlotState::Unresolved { victim, ended_at, .. } => {
                    if sampled <= *ended_at || is_loading {
                        return true;
                    }
                    slot.absent_reports += 1;
                    if slot.absent_reports < RESOLVED_AFTER_ABSENT_REPORTS {
                        return true;
                    }
                    match victim.take_if(|victim| is_reported(victim.adapter)) {
                        Some(victim) => {
                            *slot = *victim;
                            slot.pin_uncertain(now);
                            changes.push(ResidencyChange::Ready(slot.adapter));
                            true
                        }
                        None => false,
                    }
                }
            }
        });
    }

    /// Adapters in all slots, including the victims of outstanding and unresolved orders.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = AdapterKey> {
        self.slots.iter().flat_map(|slot| [Some(slot.adapter), slot.victim()]).flatten()
    }

    /// Remaining time of the longest pin for requests without a lease.
    pub(crate) fn longest_uncertain_pin(&self, now: Instant) -> Option<Duration> {
        let pins = self.slots.iter().filter_map(|slot| slot.uncertain_pin);
        pins.map(|pin| pin.until.saturating_duration_since(now)).max()
    }
}

impl Slot {
    fn victim(&self) -> Option<AdapterKey> {
        match &self.state {
            SlotState::Loading { victim, .. } | SlotState::Unresolved { victim, .. } => {
                victim.as_ref().map(|victim| victim.adapter)
            }
            SlotState::Ready => None,
        }
    }

    fn apply_status(
        &mut self,
        status: ReportedAdapter,
        sampled: Instant,
        changes: &mut Vec<ResidencyChange>,
    ) {
        match &mut self.state {
            // The order's result is more reliable than a report, except about requests without a
            // lease.
            SlotState::Loading { was_absent, .. } => *was_absent &= status.running == 0,
            SlotState::Unresolved { ordered_at, .. } => {
                if status.is_ready && sampled >= *ordered_at {
                    self.state = SlotState::Ready;
                    // This owner has not admitted any requests to the adapter yet.
                    if status.running > 0 {
                        self.pin_uncertain(sampled);
                    }
                    changes.push(ResidencyChange::Ready(self.adapter));
                }
            }
            SlotState::Ready if self.leases > 0 => {}
            SlotState::Ready if status.running == 0 => {
                self.uncertain_pin = self.uncertain_pin.filter(|pin| sampled <= pin.since);
            }
            SlotState::Ready => {
                // These requests were not admitted by this owner.
                if self.uncertain_pin.is_none() && sampled > self.last_used {
                    self.pin_uncertain(sampled);
                }
            }
        }
    }
}
