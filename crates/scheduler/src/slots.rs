//! Adapter slots of one engine: residency, pins and what load reports settle.
//!
//! Architecture Invariant: a slot with leases or with an uncertain pin is never offered as a
//! victim, and there are never more slots than the engine has.

use std::time::Duration;

use tokio::time::Instant;

use crate::api::MAX_REQUEST_DEADLINE;

/// Key of an adapter in the group's table.
pub(crate) type AdapterKey = usize;

/// Reports may be partial; a single one without an adapter proves little.
const ABSENT_REPORTS_GONE: u32 = 3;
/// An unsettled order is settled by two reports in a row, since one may be partial.
const ABSENT_REPORTS_SETTLED: u32 = 2;

/// After a take-over, this many reports together list every adapter on the engine.
const REPORTS_SETTLED: u32 = 2;

/// Adapter slot in use.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) adapter: AdapterKey,
    pub(crate) state: SlotState,
    /// Admitted requests on the adapter.
    pub(crate) leases: u32,
    /// Set while requests that this owner doesn't know of may be running.
    pub(crate) uncertain: Option<Uncertain>,
    pub(crate) ready_at: Instant,
    pub(crate) last_used: Instant,
    /// Set while no new requests are admitted so that the slot becomes idle.
    pub(crate) draining_since: Option<Instant>,
    absent_reports: u32,
    /// The engine itself evicts the adapter only after its requests have ended.
    is_protected: bool,
}

/// State of a slot.
#[derive(Clone, Debug)]
pub(crate) enum SlotState {
    /// A load order is outstanding; the victim is as it was before the order.
    Loading {
        victim: Option<Box<Slot>>,
        /// Whether the adapter was known to be absent from the engine.
        was_absent: bool,
    },
    /// The adapter can serve.
    Ready,
    /// The result of an order is unknown, or someone else's load is in progress.
    Unsettled { victim: Option<Box<Slot>>, ordered_at: Instant, ended_at: Instant },
}

/// Pin by requests that may be running without a lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Uncertain {
    /// Only a later sample can settle it.
    since: Instant,
    /// No such request runs longer.
    until: Instant,
}

impl Uncertain {
    fn from(since: Instant) -> Self {
        Self { since, until: since + MAX_REQUEST_DEADLINE }
    }
}

impl Slot {
    fn ready(adapter: AdapterKey, is_protected: bool, now: Instant) -> Self {
        Self {
            is_protected,
            adapter,
            state: SlotState::Ready,
            leases: 0,
            uncertain: None,
            ready_at: now,
            last_used: now,
            draining_since: None,
            absent_reports: 0,
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        matches!(self.state, SlotState::Ready)
    }

    /// Whether new requests may be admitted.
    pub(crate) fn accepts(&self) -> bool {
        self.is_ready() && self.draining_since.is_none()
    }

    pub(crate) fn is_uncertain(&self, now: Instant) -> bool {
        self.uncertain.is_some_and(|pin| now < pin.until)
    }

    /// Whether the adapter may be evicted.
    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        self.is_ready() && self.leases == 0 && !self.is_uncertain(now)
    }

    /// Pins the adapter until a later sample shows that nothing runs on it.
    pub(crate) fn pin_uncertain(&mut self, since: Instant) {
        if !self.is_protected {
            self.uncertain = Some(Uncertain::from(since));
        }
    }
}

/// How a load order ended, as far as the slot is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderEnd {
    /// The adapter can serve.
    Loaded,
    /// Nothing was changed on the engine.
    NotCarriedOut,
    /// Nothing was changed: the victim is serving requests.
    VictimBusy,
    /// The load failed; a victim may or may not have been evicted.
    Failed,
    /// Nothing is known.
    Unknown,
}

/// Change of what an engine can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// The adapter can serve.
    Ready(AdapterKey),
    /// The adapter can no longer serve.
    Gone(AdapterKey),
}

/// Adapter in a load report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reported {
    pub(crate) adapter: AdapterKey,
    pub(crate) is_ready: bool,
    pub(crate) running: u32,
}

/// Slots of one engine.
#[derive(Debug)]
pub(crate) struct Slots {
    pub(crate) slots: Vec<Slot>,
    pub(crate) max: usize,
    /// The engine evicts an adapter only after its requests have ended.
    pub(crate) engine_protects: bool,
    /// End of the latest order; older samples say nothing about unknown adapters.
    last_order_end: Option<Instant>,
    /// Take-over of the target by this owner.
    known_since: Instant,
    /// Reports that were sampled after the take-over.
    reports_since_known: u32,
    /// The latest report named an adapter that no slot refers to: the engine holds something else
    /// than is known here.
    has_unknown: bool,
    /// Adapters that were reported busy while no slot could be given to them, with the number of
    /// later reports without them.
    busy_elsewhere: Vec<(AdapterKey, u32)>,
}

impl Slots {
    pub(crate) fn new(max: usize, now: Instant) -> Self {
        Self {
            slots: Vec::new(),
            max,
            engine_protects: false,
            last_order_end: None,
            known_since: now,
            reports_since_known: 0,
            has_unknown: false,
            busy_elsewhere: Vec::new(),
        }
    }

    pub(crate) fn get(&self, adapter: AdapterKey) -> Option<&Slot> {
        self.slots.iter().find(|slot| slot.adapter == adapter)
    }

    pub(crate) fn get_mut(&mut self, adapter: AdapterKey) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|slot| slot.adapter == adapter)
    }

    /// Whether the adapter has a slot, or may still have one as the victim of an order.
    pub(crate) fn refers_to(&self, adapter: AdapterKey) -> bool {
        self.adapters().any(|other| other == adapter)
    }

    pub(crate) fn has_free(&self) -> bool {
        self.slots.len() < self.max
    }

    pub(crate) fn is_loading(&self) -> bool {
        self.loading() > 0
    }

    /// Number of load orders that are outstanding.
    pub(crate) fn loading(&self) -> usize {
        self.slots.iter().filter(|slot| matches!(slot.state, SlotState::Loading { .. })).count()
    }

    /// Whether the result of an order is unknown; another one could then exceed the slots.
    pub(crate) fn has_unsettled(&self) -> bool {
        self.slots.iter().any(|slot| matches!(slot.state, SlotState::Unsettled { .. }))
    }

    /// Whether reports since the take-over, and since the latest order of unknown result, tell
    /// what the engine holds.
    pub(crate) fn is_settled(&self) -> bool {
        self.reports_since_known >= REPORTS_SETTLED && !self.has_unsettled() && !self.has_unknown
    }

    /// Whether an order could exceed the slots of an engine that is known only by its reports.
    pub(crate) fn is_doubtful(&self) -> bool {
        self.has_unsettled() || (self.engine_protects && self.has_unknown)
    }

    /// Whether requests of others may be running on any adapter.
    pub(crate) fn has_uncertain(&self, now: Instant) -> bool {
        self.slots.iter().any(|slot| slot.is_uncertain(now))
    }

    /// Reserves a slot for an order, in place of the victim if one is given.
    ///
    /// Returns whether the order may be sent: the victim is idle, or a slot is free.
    #[must_use]
    pub(crate) fn begin_load(
        &mut self,
        adapter: AdapterKey,
        victim: Option<AdapterKey>,
        now: Instant,
    ) -> bool {
        if self.refers_to(adapter) {
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
        let is_busy = self.busy_elsewhere.iter().any(|(busy, _)| *busy == adapter);
        let was_absent = self.reports_since_known >= REPORTS_SETTLED && !is_busy;
        let state = SlotState::Loading { victim, was_absent };
        self.slots.push(Slot { state, ..Slot::ready(adapter, self.engine_protects, now) });
        true
    }

    /// Settles the slot of an order as far as its end allows.
    pub(crate) fn end_load(
        &mut self,
        adapter: AdapterKey,
        end: OrderEnd,
        now: Instant,
    ) -> Option<Change> {
        let at = self.slots.iter().position(|slot| {
            slot.adapter == adapter && matches!(slot.state, SlotState::Loading { .. })
        })?;
        let slot = &mut self.slots[at];
        let state = std::mem::replace(&mut slot.state, SlotState::Ready);
        let SlotState::Loading { victim, was_absent } = state else { return None };
        self.last_order_end = Some(now);
        let ordered_at = slot.last_used;
        match (end, victim) {
            (OrderEnd::Loaded, _) => {
                *slot = Slot::ready(adapter, self.engine_protects, now);
                if !was_absent {
                    // The engine may have held it already, with requests of the former owner.
                    slot.pin_uncertain(self.known_since);
                }
                Some(Change::Ready(adapter))
            }
            (OrderEnd::NotCarriedOut, Some(victim)) => {
                *slot = *victim;
                Some(Change::Ready(slot.adapter))
            }
            (OrderEnd::VictimBusy, Some(victim)) => {
                *slot = *victim;
                slot.pin_uncertain(now);
                Some(Change::Ready(slot.adapter))
            }
            (OrderEnd::NotCarriedOut | OrderEnd::VictimBusy | OrderEnd::Failed, None) => {
                self.slots.swap_remove(at);
                None
            }
            // A victim that was not evicted still occupies the slot.
            (OrderEnd::Failed | OrderEnd::Unknown, victim) => {
                slot.state = SlotState::Unsettled { victim, ordered_at, ended_at: now };
                None
            }
        }
    }

    /// Brings the slots up to date with a report that was sampled at `sampled` or later.
    pub(crate) fn merge(
        &mut self,
        reported: &[Reported],
        sampled: Instant,
        now: Instant,
    ) -> Vec<Change> {
        if sampled >= self.known_since {
            self.reports_since_known += 1;
        }
        self.note_busy(reported, sampled);
        let mut changes = Vec::new();
        for status in reported {
            if let Some(slot) = self.get_mut(status.adapter) {
                slot.settle(*status, sampled, &mut changes);
            }
        }
        // A slot that proves to be unused may hold an adapter of the former owner's last order.
        self.expire_absent(reported, sampled, now, &mut changes);
        for status in reported {
            if self.get(status.adapter).is_none() {
                self.discover(*status, sampled, now, &mut changes);
            }
        }
        // A report from before the latest order may name what that order evicted.
        if self.last_order_end.is_none_or(|end| sampled > end) && !self.is_loading() {
            self.has_unknown = reported.iter().any(|status| !self.refers_to(status.adapter));
        }
        changes
    }

    /// Keeps the adapters without a slot on which requests of others may be running.
    fn note_busy(&mut self, reported: &[Reported], sampled: Instant) {
        self.busy_elsewhere.retain_mut(|(adapter, absent)| {
            match reported.iter().find(|status| status.adapter == *adapter) {
                Some(status) => status.running > 0 || sampled < self.known_since,
                None => {
                    *absent += 1;
                    *absent < ABSENT_REPORTS_GONE
                }
            }
        });
        for status in reported.iter().filter(|status| status.running > 0) {
            let is_known = self.slots.iter().any(|slot| slot.adapter == status.adapter);
            self.busy_elsewhere.retain(|(busy, _)| *busy != status.adapter);
            if !is_known {
                self.busy_elsewhere.push((status.adapter, 0));
            }
        }
    }

    /// Takes note of an adapter that this owner did not load.
    fn discover(
        &mut self,
        status: Reported,
        sampled: Instant,
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        let is_victim = self.slots.iter().any(|slot| slot.victim() == Some(status.adapter));
        let is_current = self.last_order_end.is_none_or(|end| sampled > end);
        if is_victim || !is_current || self.is_loading() || !self.has_free() {
            return;
        }
        let mut slot = Slot::ready(status.adapter, self.engine_protects, now);
        slot.pin_uncertain(self.known_since);
        if status.is_ready && status.running == 0 {
            slot.uncertain = slot.uncertain.filter(|pin| sampled <= pin.since);
        }
        if status.is_ready {
            changes.push(Change::Ready(status.adapter));
        } else {
            slot.state =
                SlotState::Unsettled { victim: None, ordered_at: sampled, ended_at: sampled };
        }
        self.slots.push(slot);
    }

    fn expire_absent(
        &mut self,
        reported: &[Reported],
        sampled: Instant,
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        // While another order is outstanding, an adapter without a slot could not be discovered.
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
                    if sampled <= slot.ready_at || slot.leases > 0 || slot.is_uncertain(now) {
                        return true;
                    }
                    slot.absent_reports += 1;
                    if slot.absent_reports < ABSENT_REPORTS_GONE {
                        return true;
                    }
                    changes.push(Change::Gone(slot.adapter));
                    false
                }
                SlotState::Unsettled { victim, ended_at, .. } => {
                    if sampled <= *ended_at || is_loading {
                        return true;
                    }
                    slot.absent_reports += 1;
                    if slot.absent_reports < ABSENT_REPORTS_SETTLED {
                        return true;
                    }
                    match victim.take_if(|victim| is_reported(victim.adapter)) {
                        Some(victim) => {
                            *slot = *victim;
                            slot.pin_uncertain(now);
                            changes.push(Change::Ready(slot.adapter));
                            true
                        }
                        None => false,
                    }
                }
            }
        });
    }

    /// Adapters that any slot refers to, victims of unsettled orders included.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = AdapterKey> {
        self.slots.iter().flat_map(|slot| [Some(slot.adapter), slot.victim()]).flatten()
    }

    /// Longest pin by requests without a lease, from now.
    pub(crate) fn longest_uncertain(&self, now: Instant) -> Option<Duration> {
        let pins = self.slots.iter().filter_map(|slot| slot.uncertain);
        pins.map(|pin| pin.until.saturating_duration_since(now)).max()
    }
}

impl Slot {
    fn victim(&self) -> Option<AdapterKey> {
        match &self.state {
            SlotState::Loading { victim, .. } | SlotState::Unsettled { victim, .. } => {
                victim.as_ref().map(|victim| victim.adapter)
            }
            SlotState::Ready => None,
        }
    }

    fn settle(&mut self, status: Reported, sampled: Instant, changes: &mut Vec<Change>) {
        match &mut self.state {
            // The result of the order says more than a report, except on requests of others.
            SlotState::Loading { was_absent, .. } => *was_absent &= status.running == 0,
            SlotState::Unsettled { ordered_at, .. } => {
                if status.is_ready && sampled >= *ordered_at {
                    self.state = SlotState::Ready;
                    // This owner has admitted nothing here yet.
                    if status.running > 0 {
                        self.pin_uncertain(sampled);
                    }
                    changes.push(Change::Ready(self.adapter));
                }
            }
            SlotState::Ready if self.leases > 0 => {}
            SlotState::Ready if status.running == 0 => {
                self.uncertain = self.uncertain.filter(|pin| sampled <= pin.since);
            }
            SlotState::Ready => {
                // Requests run here that this owner did not admit.
                if self.uncertain.is_none() && sampled > self.last_used {
                    self.pin_uncertain(sampled);
                }
            }
        }
    }
}
