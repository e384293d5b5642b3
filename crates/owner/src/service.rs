//! Target groups that this instance owns, and the health of their targets.
//!
//! Architecture Invariant: a group in `OwnerService` belongs to the session and epoch that the
//! control log assigned. Work is sent to a target only after `OwnerService::check_owned` has
//! confirmed that the lease of that session is valid at that moment.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use shallotdrum_allotments::{AppliedAllotments, Beginning, GroupShares};
use shallotdrum_control::{
    AnnouncedTarget, Command, Handover, Isolation, LOST_OWNER_SETTLE_MS, Reply,
};
use shallotdrum_engine::{Announcement, CacheEvents, TargetKind};
use shallotdrum_scheduler::{
    GroupScheduler, GroupSnapshot, Lease, LoadFailure, LoadFn, TargetSpec,
};
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    Epoch, Fingerprint, GroupId, Incarnation, RequestError, RequestErrorKind, SessionId,
    SubscriberId, TargetId,
};

use crate::{
    InspectRequest, OwnerContext,
    crash::CrashDetector,
    crashed_targets::CrashHold,
    load::{OrderCount, Ownership, load_fn},
    places::PlaceTable,
    quarantine::Suspensions,
    streams::StreamOrigins,
};

/// Timeout of a load order. It is part of `LOST_OWNER_SETTLE_MS`, for which a new owner waits
/// before it sends orders to targets that ignore fencing tokens.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without an announcement after which a target gets no new work. Targets announce themselves
/// every second, so two announcements may be lost; with `CHECK_INTERVAL`, a timeout is noticed in
/// less than 3 s.
pub const TARGET_TIMEOUT: Duration = Duration::from_millis(2_700);

/// Additional time for the first announcement of a target to reach a new owner.
const TAKEOVER_GRACE: Duration = Duration::from_secs(3);

/// Interval between checks for target timeouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between checks whether orders are still in flight.
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// `Retry-After` for requests that reach an instance that does not own their group.
pub(crate) const RETRY_AFTER_OWNER_CHANGE: Duration = Duration::from_secs(1);

/// Manages the target groups that this instance owns and runs requests on them.
pub struct OwnerService {
    pub(crate) cx: OwnerContext,
    groups: Mutex<BTreeMap<GroupId, Arc<OwnedGroup>>>,
    in_progress: Arc<AtomicUsize>,
    is_stopping: AtomicBool,
    pub(crate) places: PlaceTable,
    /// Allotments of customers by the applied state.
    pub(crate) allotments: Mutex<AppliedAllotments>,
    /// Where streams began that this instance sent, or granted places for.
    pub streams: StreamOrigins,
    /// Requests that this instance sends to targets under a place.
    pub(crate) relayed: Arc<CrashDetector>,
    pub(crate) suspensions: Suspensions,
    /// Serializes releases, so that no group is released before its orders have ended.
    releasing: tokio::sync::Mutex<()>,
}

/// The instance received a message about a target whose group it does not own.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this instance does not own the group of target {target}")]
pub struct NotOwned {
    /// Target that the message is about.
    pub target: TargetId,
}

/// Counts a forwarded request, or a connection for another instance, as in progress until dropped.
pub(crate) struct InProgressGuard(Arc<AtomicUsize>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// State of a target group that this instance owns.
pub(crate) struct OwnedGroup {
    pub(crate) id: GroupId,
    pub(crate) session: SessionId,
    pub(crate) epoch: Epoch,
    pub(crate) scheduler: GroupScheduler,
    pub(crate) crashes: Arc<CrashDetector>,
    pub(crate) orders: OrderCount,
    /// Shares of customers' allotments that belong to the group.
    shares: Mutex<GroupShares>,
    handover: Handover,
    /// When this instance began to own the group.
    pub(crate) since: Instant,
    targets: Mutex<BTreeMap<TargetId, TargetHealth>>,
    /// Targets with an order in flight to load their base model.
    base_loads: Mutex<BTreeSet<TargetId>>,
    /// Target incarnations that are being inspected.
    inspections: Mutex<BTreeSet<(TargetId, Incarnation)>>,
}

/// Liveness and availability of a target.
pub(crate) struct TargetHealth {
    pub(crate) incarnation: Incarnation,
    /// Time of the latest announcement. Lies in the future during the takeover grace period, and is
    /// reset when the target times out.
    last_seen: Instant,
    /// The control log marks the target as draining.
    is_draining: bool,
    /// The target announced that it leaves; the control log may not reflect that yet.
    is_leaving: bool,
    /// The target has not announced itself in time.
    is_timed_out: bool,
    /// The target holds no base model.
    pub(crate) is_base_missing: bool,
    /// Earliest time at which this owner may order a base model.
    pub(crate) orders_allowed_from: Instant,
    /// Whether requests are held back from it after a crash.
    pub(crate) crash: CrashHold,
    /// Sequence number of the latest announcement.
    sequence: u64,
}

impl TargetHealth {
    /// Whether no new work is scheduled on the target.
    pub(crate) fn is_unschedulable(&self) -> bool {
        self.is_draining || self.is_leaving || self.is_timed_out || self.is_base_missing
    }

    /// Whether no more load orders are sent to the target.
    pub(crate) fn rejects_orders(&self) -> bool {
        self.is_draining || self.is_leaving
    }
}

impl OwnerService {
    /// Creates a service that owns no groups yet.
    pub fn new(cx: OwnerContext) -> Arc<Self> {
        Arc::new(Self {
            cx,
            groups: Mutex::default(),
            in_progress: Arc::default(),
            is_stopping: AtomicBool::new(false),
            places: PlaceTable::default(),
            allotments: Mutex::default(),
            streams: StreamOrigins::default(),
            relayed: CrashDetector::new(Isolation::Shared),
            suspensions: Suspensions::default(),
            releasing: tokio::sync::Mutex::default(),
        })
    }

    /// Follows the control state: acquires and releases groups, and checks their targets. Runs
    /// until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut changed = self.cx.view.changed();
        loop {
            match self.is_draining() || self.report_links().await {
                true => self.release_all().await,
                false => self.sync_groups(),
            }
            self.check_groups();
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    /// Does what is due for the groups and their places.
    fn check_groups(self: &Arc<Self>) {
        self.remove_timed_out_targets();
        self.update_allotments();
        let live = self.cx.view.read(|state| state.sessions().map(|s| s.id).collect());
        self.places.expire(&live);
        self.update_gauges();
    }

    /// Releases all groups permanently because the instance is shutting down.
    pub async fn stop(self: &Arc<Self>) {
        self.is_stopping.store(true, Ordering::SeqCst);
        self.release_all().await;
    }

    /// Releases all groups, each one by itself, as few requests are served until it has another owner.
    async fn release_all(self: &Arc<Self>) {
        let _releasing = self.releasing.lock().await;
        let held = self.groups().clone();
        for group in held.values() {
            group.orders.close();
        }
        let session = (self.cx.session)();
        let owned: BTreeSet<_> = self.cx.view.read(|state| {
            let groups = state.groups().filter(|g| session.is_some() && g.owner == session);
            groups.map(|g| g.id.clone()).chain(held.keys().cloned()).collect()
        });
        let released = join_all(owned.iter().map(|id| self.release(id, held.get(id))));
        tokio::select! {
            biased;
            () = self.serve_without_loads(&held) => {}
            _ = released => {}
        }
    }

    /// Grants places where no load is needed, as no other instance can until the groups are released.
    /// An instance that is cut off from the targets grants none. Runs until the future is dropped.
    async fn serve_without_loads(self: &Arc<Self>, held: &BTreeMap<GroupId, Arc<OwnedGroup>>) {
        let mut changed = self.cx.view.changed();
        loop {
            let is_cut_off = self.cx.links.is_cut_off();
            for group in held.values() {
                match is_cut_off {
                    true => self.give_up(group),
                    false => group.scheduler.stop_loads(owner_changed(&group.id)),
                }
            }
            self.close_lost_groups();
            for group in self.owned_groups() {
                self.sync_targets(&group);
            }
            self.check_groups();
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    /// Fails the queued requests of a group and accepts no more.
    fn give_up(&self, group: &Arc<OwnedGroup>) {
        self.groups().retain(|_, held| !Arc::ptr_eq(held, group));
        group.scheduler.close(owner_changed(&group.id));
    }

    /// Releases the ownership of a group once no order is in flight in it.
    async fn release(&self, id: &GroupId, held: Option<&Arc<OwnedGroup>>) {
        if let Some(group) = held {
            group.wait_for_orders().await;
            self.give_up(group);
        }
        let owner = self.cx.view.read(|state| state.group(id).and_then(|group| group.owner));
        let Some(session) = (self.cx.session)().filter(|session| owner == Some(*session)) else {
            return;
        };
        let command = Command::ReleaseGroup { group: id.clone(), session };
        if let Err(error) = self.cx.propose(command).await {
            event!(self.cx.log, GROUP_RELEASE_FAILED; "group" => %id, "error" => %error);
        }
    }

    /// Applies an announcement of a target, relayed by an entry.
    pub fn announce(self: &Arc<Self>, announcement: &Announcement) -> Result<(), NotOwned> {
        let group = self.group_of(&announcement.target)?;
        let mut targets = group.targets();
        let Some(health) = targets.get_mut(&announcement.target) else { return Ok(()) };
        if health.incarnation != announcement.incarnation {
            return Ok(());
        }
        let load = &announcement.load;
        let is_stale = load.sequence != 0 && load.sequence <= health.sequence;
        health.last_seen = Instant::now();
        if is_stale {
            return Ok(());
        }
        health.sequence = load.sequence;
        self.release_survivor(&group, &announcement.target, &mut health.crash);
        if std::mem::take(&mut health.is_timed_out) {
            group.scheduler.set_draining(&announcement.target, health.is_unschedulable());
        }
        let Announcement { target, incarnation, addr, load, .. } = announcement;
        if let TargetKind::Engine { base_model, .. } = &announcement.kind {
            let engine = InspectRequest {
                owned_since: group.since,
                target: target.clone(),
                incarnation: *incarnation,
                addr: *addr,
                base: base_model.clone(),
            };
            self.update_base_state(&group, health, &engine, load.base_missing);
        }
        if self.cx.inspect.is_none() {
            group.scheduler.report(target, *incarnation, load);
        }
        Ok(())
    }

    /// Stops new work for a target that says it is leaving, without waiting for the control log. The
    /// target is not silent, as long as it says so.
    pub fn leave(&self, target: &TargetId, incarnation: Incarnation) -> Result<(), NotOwned> {
        let group = self.group_of(target)?;
        let mut targets = group.targets();
        if let Some(health) = targets.get_mut(target)
            && health.incarnation == incarnation
        {
            health.is_leaving = true;
            health.last_seen = Instant::now();
            group.scheduler.set_draining(target, true);
        }
        Ok(())
    }

    /// Marks a target process as draining in the control log, so that no instance sends it new work.
    pub fn drain_target(self: &Arc<Self>, target: TargetId, incarnation: Incarnation) {
        let is_ready = self.cx.view.read(|state| {
            let current = state.target(&target);
            current.is_some_and(|t| t.announced.incarnation == incarnation && !t.draining)
        });
        if !is_ready {
            return;
        }
        let service = self.clone();
        tokio::spawn(async move {
            let _ = service.leave(&target, incarnation);
            let drain = Command::DrainTarget { target: target.clone(), drain: true };
            if let Err(error) = service.cx.propose(drain).await {
                event!(service.cx.log, TARGET_DRAIN_FAILED; "target" => %target, "error" => %error);
            }
        });
    }

    /// Applies cache events of an engine, which correct the estimate of its prefix cache.
    pub fn cache_events(&self, events: &CacheEvents) -> Result<(), NotOwned> {
        self.group_of(&events.target)?.scheduler.cache_events(events);
        Ok(())
    }

    /// Returns the scheduler state of each owned group, for operators and metrics.
    pub fn snapshots(&self) -> Vec<(GroupId, GroupSnapshot)> {
        let groups: Vec<_> = self.groups().values().cloned().collect();
        groups.iter().map(|group| (group.id.clone(), group.scheduler.snapshot())).collect()
    }

    /// Returns the number of forwarded requests and of connections for other instances in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Counts a forwarded request, or a connection for another instance, as in progress.
    pub(crate) fn enter(&self) -> InProgressGuard {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        InProgressGuard(self.in_progress.clone())
    }

    /// Returns an owned group for a request that this instance itself sends. It would have to stay
    /// until the end of the request, so there is none while it releases the group.
    pub(crate) fn owned_for_send(&self, id: &GroupId) -> Result<Arc<OwnedGroup>, RequestError> {
        let group = self.owned(id)?;
        match group.orders.is_closed() {
            true => Err(owner_changed(id)),
            false => Ok(group),
        }
    }

    /// Returns an owned group, or the error that makes the entry look up the new owner.
    pub(crate) fn owned(&self, id: &GroupId) -> Result<Arc<OwnedGroup>, RequestError> {
        let group = self.groups().get(id).cloned().ok_or_else(|| owner_changed(id))?;
        self.check_owned(&group)?;
        Ok(group)
    }

    /// Records in the metrics how long a request waited before it was sent.
    pub(crate) fn record_waits(&self, subscriber: &SubscriberId, lease: &Lease) {
        let metrics = self.cx.metrics.subscriber(subscriber);
        metrics.queue_wait(lease.queue_wait);
        metrics.load_stall(lease.load_stall);
    }

    /// Checks that the session that owns the group still has a valid lease.
    pub(crate) fn check_owned(&self, group: &OwnedGroup) -> Result<(), RequestError> {
        if (self.cx.session)() == Some(group.session) {
            return Ok(());
        }
        Err(owner_changed(&group.id))
    }

    /// Whether the group has been neither lost nor given up for release.
    pub(crate) fn holds(&self, group: &Arc<OwnedGroup>) -> bool {
        self.groups().get(&group.id).is_some_and(|held| Arc::ptr_eq(held, group))
    }

    /// Rejects a request that crashed two targets, including one that was queued before the second
    /// crash.
    pub(crate) fn check_quarantine(&self, request: &Fingerprint) -> Result<(), RequestError> {
        match self.cx.view.read(|state| state.is_quarantined(request)) {
            true => Err(quarantined(request)),
            false => Ok(()),
        }
    }

    pub(crate) fn owned_groups(&self) -> Vec<Arc<OwnedGroup>> {
        self.groups().values().cloned().collect()
    }

    fn groups(&self) -> MutexGuard<'_, BTreeMap<GroupId, Arc<OwnedGroup>>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn group_of(&self, target: &TargetId) -> Result<Arc<OwnedGroup>, NotOwned> {
        let id = self.cx.view.read(|state| state.target(target).map(|t| t.group.clone()));
        let group = id.and_then(|id| self.groups().get(&id).cloned());
        group.ok_or_else(|| NotOwned { target: target.clone() })
    }

    /// Whether this instance must release its groups: it is shutting down or being drained.
    fn is_draining(&self) -> bool {
        let session = (self.cx.session)();
        let is_drained = |session| self.cx.view.read(|state| state.is_draining(session));
        self.is_stopping.load(Ordering::SeqCst) || session.is_some_and(is_drained)
    }

    /// Closes groups that were lost and acquires groups that the control state newly assigns.
    fn sync_groups(self: &Arc<Self>) {
        let assigned = self.close_lost_groups();
        for (id, session, epoch, handover) in assigned {
            let group = self.take_over(id, session, epoch, handover);
            self.sync_targets(&group);
        }
    }

    /// Closes groups that were lost; returns those that the control state assigns to this instance.
    fn close_lost_groups(&self) -> Vec<(GroupId, SessionId, Epoch, Handover)> {
        let session = (self.cx.session)();
        let assigned: Vec<_> = self.cx.view.read(|state| {
            state
                .groups()
                .filter_map(|group| {
                    let owner = group.owner.filter(|owner| Some(*owner) == session)?;
                    Some((group.id.clone(), owner, group.epoch, group.handover))
                })
                .collect()
        });
        let lost: Vec<_> = {
            let mut groups = self.groups();
            let is_kept = |group: &OwnedGroup| {
                Some(group.session) == session
                    && assigned
                        .iter()
                        .any(|(id, _, epoch, _)| (id, epoch) == (&group.id, &group.epoch))
            };
            let ids: Vec<_> = groups
                .values()
                .filter(|group| !is_kept(group))
                .map(|group| group.id.clone())
                .collect();
            ids.iter().filter_map(|id| groups.remove(id)).collect()
        };
        for group in lost {
            event!(self.cx.log, GROUP_LOST; "group" => %group.id, "epoch" => group.epoch.0);
            group.scheduler.close(owner_changed(&group.id));
        }
        assigned
    }

    /// Returns the owned group, creating it if it was newly assigned.
    fn take_over(
        self: &Arc<Self>,
        id: GroupId,
        session: SessionId,
        epoch: Epoch,
        handover: Handover,
    ) -> Arc<OwnedGroup> {
        let mut groups = self.groups();
        if let Some(group) = groups.get(&id) {
            return group.clone();
        }
        event!(self.cx.log, GROUP_ACQUIRED; "group" => %id, "epoch" => epoch.0, "handover" => ?handover);
        let since = Instant::now();
        let beginning = match handover {
            Handover::First => Beginning::First,
            Handover::Released | Handover::Lost => {
                Beginning::Takeover { quiet_since: self.cx.view.quiet_since(&id, epoch) }
            }
        };
        let orders = OrderCount::default();
        let service = Arc::downgrade(self);
        let load = load_fn(
            self.cx.clone(),
            id.clone(),
            Ownership { session, epoch, since },
            orders.clone(),
        );
        let load = self.with_inspection(load, service, id.clone());
        let group = Arc::new(OwnedGroup {
            id: id.clone(),
            session,
            epoch,
            scheduler: GroupScheduler::new(self.cx.scheduler.clone(), load, self.cx.log.clone()),
            crashes: CrashDetector::new(Isolation::Alone),
            orders,
            shares: Mutex::new(GroupShares::new(id.clone(), since, beginning)),
            handover,
            since,
            targets: Mutex::default(),
            base_loads: Mutex::default(),
            inspections: Mutex::default(),
        });
        groups.insert(id, group.clone());
        group
    }

    /// Wraps a load function so that an engine is inspected after an order with an uncertain
    /// result.
    fn with_inspection(&self, load: LoadFn, service: Weak<Self>, group: GroupId) -> LoadFn {
        if self.cx.inspect.is_none() {
            return load;
        }
        Arc::new(move |order| {
            let (service, group, load) = (service.clone(), group.clone(), load.clone());
            Box::pin(async move {
                let target = order.target.clone();
                let result = load(order).await;
                let is_certain = matches!(result, Ok(()) | Err(LoadFailure::NoPermit));
                let owned = service.upgrade().filter(|_| !is_certain).and_then(|service| {
                    let group = service.groups().get(&group).cloned()?;
                    Some((service, group))
                });
                if let Some((service, group)) = owned
                    && let Some(spec) = service.target_spec(&group, &target)
                {
                    service.cx.links.suspect(spec.addr);
                    service.inspect(&group, &spec);
                }
                result
            })
        })
    }

    fn target_spec(&self, group: &OwnedGroup, target: &TargetId) -> Option<TargetSpec> {
        let announced = self.cx.view.read(|state| Some(state.target(target)?.announced.clone()))?;
        Some(group.spec(announced))
    }

    /// Synchronizes the scheduler's targets with the control state.
    fn sync_targets(self: &Arc<Self>, group: &Arc<OwnedGroup>) {
        let registered: Vec<_> = self.cx.view.read(|state| {
            let ids = state.group(&group.id).into_iter().flat_map(|g| g.targets.iter());
            ids.filter_map(|id| state.target(id))
                .map(|target| (target.announced.clone(), target.draining))
                .collect()
        });
        let mut targets = group.targets();
        let names: BTreeSet<_> = registered.iter().map(|(t, _)| t.target.clone()).collect();
        targets.retain(|id, _| {
            let is_kept = names.contains(id);
            if !is_kept {
                group.scheduler.remove_target(id);
            }
            is_kept
        });
        for (announced, is_draining) in registered {
            let health = targets.get_mut(&announced.target);
            match health {
                Some(health) if health.incarnation == announced.incarnation => {
                    if health.is_draining != is_draining {
                        health.is_draining = is_draining;
                        let is_unschedulable = health.is_unschedulable();
                        group.scheduler.set_draining(&announced.target, is_unschedulable);
                    }
                    continue;
                }
                _ => {}
            }
            let last_seen = Instant::now() + TAKEOVER_GRACE;
            targets.insert(
                announced.target.clone(),
                TargetHealth {
                    incarnation: announced.incarnation,
                    last_seen,
                    is_draining,
                    is_leaving: false,
                    is_timed_out: false,
                    is_base_missing: false,
                    orders_allowed_from: group.orders_allowed_from(&announced.kind),
                    crash: CrashHold::None,
                    sequence: 0,
                },
            );
            let spec = group.spec(announced);
            match is_draining {
                true => group.scheduler.upsert_draining_target(spec.clone()),
                false => group.scheduler.upsert_target(spec.clone()),
            }
            self.inspect(group, &spec);
        }
        drop(targets);
        self.hold_crashed_targets(group);
    }

    /// Stops work for targets that timed out, and proposes their removal.
    fn remove_timed_out_targets(self: &Arc<Self>) {
        let groups: Vec<_> = self.groups().values().cloned().collect();
        for group in groups {
            let mut targets = group.targets();
            let now = Instant::now();
            for (id, health) in &mut *targets {
                if now.saturating_duration_since(health.last_seen) < self.cx.target_timeout {
                    continue;
                }
                // Proposes the removal again after another timeout if the log does not apply it.
                health.last_seen = now;
                health.is_timed_out = true;
                group.scheduler.set_draining(id, true);
                self.propose_removal(id.clone(), health.incarnation);
            }
        }
    }

    fn propose_removal(self: &Arc<Self>, target: TargetId, incarnation: Incarnation) {
        event!(self.cx.log, TARGET_LOST; "target" => %target, "incarnation" => incarnation.0);
        let service = self.clone();
        tokio::spawn(async move {
            let command =
                Command::RemoveTarget { target: target.clone(), incarnation, is_leaving: false };
            let error = match service.cx.propose(command).await {
                Ok(Reply::Refused(error)) => error.to_string(),
                Ok(_) => return,
                Err(error) => error.to_string(),
            };
            event!(service.cx.log, TARGET_REMOVAL_FAILED; "target" => %target, "error" => error);
        });
    }
}

impl OwnedGroup {
    pub(crate) fn targets(&self) -> MutexGuard<'_, BTreeMap<TargetId, TargetHealth>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn shares(&self) -> MutexGuard<'_, GroupShares> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn ownership(&self) -> Ownership {
        Ownership { session: self.session, epoch: self.epoch, since: self.since }
    }

    /// Whether the group contains this incarnation of a target.
    pub(crate) fn contains(&self, target: &TargetId, incarnation: Incarnation) -> bool {
        self.targets().get(target).is_some_and(|health| health.incarnation == incarnation)
    }

    pub(crate) fn inspections(&self) -> MutexGuard<'_, BTreeSet<(TargetId, Incarnation)>> {
        self.inspections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn base_loads(&self) -> MutexGuard<'_, BTreeSet<TargetId>> {
        self.base_loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until no order is in flight; each order ends within `ORDER_TIMEOUT`.
    async fn wait_for_orders(&self) {
        while !self.orders.is_zero() {
            tokio::time::sleep(ORDER_POLL_INTERVAL).await;
        }
    }

    fn spec(&self, announced: AnnouncedTarget) -> TargetSpec {
        TargetSpec {
            orders_allowed_from: self.orders_allowed_from(&announced.kind).into(),
            id: announced.target,
            incarnation: announced.incarnation,
            addr: announced.addr,
            zone: announced.zone,
            kind: announced.kind,
            software: announced.software,
        }
    }

    /// Returns the time from which orders to a target can't overlap with those of a previous owner.
    fn orders_allowed_from(&self, kind: &TargetKind) -> Instant {
        match (kind, self.handover) {
            (TargetKind::Engine { checks_fencing: false, .. }, Handover::Lost) => {
                self.since + Duration::from_millis(LOST_OWNER_SETTLE_MS)
            }
            _ => self.since,
        }
    }
}

/// Error for a request that has crashed too many targets; nothing was sent to a target.
pub(crate) fn quarantined(request: &Fingerprint) -> RequestError {
    let detail = format!(
        "request {request} crashed the targets that ran it and is quarantined until an operator \
         lifts it"
    );
    RequestError::not_run(RequestErrorKind::Quarantined, detail)
}

/// Error that makes the entry look up the new owner; nothing was sent to a target.
pub(crate) fn owner_changed(group: &GroupId) -> RequestError {
    let detail = format!("this instance does not own target group {group}; retry later");
    RequestError::not_run(RequestErrorKind::NotReady, detail).retry_after(RETRY_AFTER_OWNER_CHANGE)
}
