//! Groups that this instance owns, and the targets in them.
//!
//! Architecture Invariant: a group in `OwnerService` belongs to the session and epoch that the
//! control log assigned. Work is sent to a target only after `OwnedGroup::check_owned`, which
//! compares with the session whose lease is certainly valid at that moment.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use shallotdrum_control::{Command, Handover, LOST_OWNER_SETTLE_MS, Reply};
use shallotdrum_engine::{Announcement, CacheEvents, TargetKind};
use shallotdrum_scheduler::{GroupScheduler, GroupSnapshot, Lease, TargetSpec};
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    Epoch, GroupId, Incarnation, RequestError, RequestErrorKind, SessionId, SubscriberId, TargetId,
};

use crate::{
    OwnerContext,
    crash::CrashWatch,
    load::{OrderCount, load_fn},
};

/// Longest time that an order may take at a target; a part of `LOST_OWNER_SETTLE_MS`, which a new
/// owner waits before it sends orders to targets that ignore fencing numbers.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Target without an announcement for this time gets no new work. Together with `CHECK_INTERVAL`
/// it stays below 3 s; two of the announcements that come every second may be lost.
pub const TARGET_TIMEOUT: Duration = Duration::from_millis(2_700);

/// A new owner gives targets this long for their first announcement to reach it.
const TAKEOVER_GRACE: Duration = Duration::from_secs(3);

/// Pause between checks of target time-outs.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Pause between looks whether orders are still in flight.
const ORDER_POLL: Duration = Duration::from_millis(10);

/// When a caller should try again after an owner change.
pub(crate) const RETRY_AFTER_OWNER_CHANGE: Duration = Duration::from_secs(1);

/// Groups that this instance owns.
pub struct OwnerService {
    pub(crate) cx: OwnerContext,
    groups: Mutex<BTreeMap<GroupId, Arc<OwnedGroup>>>,
    busy: Arc<AtomicUsize>,
}

/// Forwarded request that is in progress until the value is dropped.
pub(crate) struct BusyGuard(Arc<AtomicUsize>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Group that this instance owns.
pub(crate) struct OwnedGroup {
    pub(crate) id: GroupId,
    pub(crate) session: SessionId,
    pub(crate) epoch: Epoch,
    pub(crate) scheduler: GroupScheduler,
    pub(crate) crashes: CrashWatch,
    orders: OrderCount,
    handover: Handover,
    since: Instant,
    targets: Mutex<BTreeMap<TargetId, TargetHealth>>,
}

/// When a target was last heard of.
struct TargetHealth {
    incarnation: Incarnation,
    last_seen: Instant,
    /// The control state says that it drains.
    is_drained: bool,
    /// It said that it leaves.
    is_leaving: bool,
    /// It stopped announcing itself, and its removal was proposed.
    is_silent: bool,
}

impl TargetHealth {
    fn gets_no_work(&self) -> bool {
        self.is_drained || self.is_leaving || self.is_silent
    }
}

impl OwnerService {
    /// Creates a service that owns no groups yet.
    pub fn new(cx: OwnerContext) -> Arc<Self> {
        Arc::new(Self { cx, groups: Mutex::default(), busy: Arc::default() })
    }

    /// Follows the control state: takes over and gives up groups, and checks their targets.
    pub async fn run(self: Arc<Self>) {
        let mut changed = self.cx.view.changed();
        loop {
            self.sync_groups();
            self.remove_silent_targets();
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    /// Gives up all groups: queued requests fail, and the ownership is released once no order is
    /// in flight.
    pub async fn release_all(&self) {
        let groups: Vec<_> = std::mem::take(&mut *self.groups()).into_values().collect();
        for group in &groups {
            group.scheduler.close(owner_changed(&group.id));
        }
        for group in groups {
            group.orders_finished().await;
            let command = Command::ReleaseGroup { group: group.id.clone(), session: group.session };
            if let Err(error) = self.cx.propose(command).await {
                event!(self.cx.log, GROUP_RELEASE_FAILED; "group" => %group.id, "error" => %error);
            }
        }
    }

    /// Takes a target's announcement relayed by an entry.
    pub fn announce(&self, announcement: &Announcement) -> Result<(), GroupId> {
        let group = self.group_of(&announcement.target)?;
        let is_known = {
            let mut targets = group.targets();
            match targets.get_mut(&announcement.target) {
                Some(health) if health.incarnation == announcement.incarnation => {
                    health.last_seen = Instant::now();
                    // Its removal may have failed, or it was registered again since.
                    if std::mem::take(&mut health.is_silent) {
                        let gets_no_work = health.gets_no_work();
                        group.scheduler.set_draining(&announcement.target, gets_no_work);
                    }
                    true
                }
                _ => false,
            }
        };
        if is_known {
            group.scheduler.report(
                &announcement.target,
                announcement.incarnation,
                &announcement.load,
            );
        }
        Ok(())
    }

    /// Stops new work for a target that is leaving, at once and before the log says so.
    pub fn leave(&self, target: &TargetId, incarnation: Incarnation) -> Result<(), GroupId> {
        let group = self.group_of(target)?;
        let mut targets = group.targets();
        if let Some(health) = targets.get_mut(target)
            && health.incarnation == incarnation
        {
            health.is_leaving = true;
            group.scheduler.set_draining(target, true);
        }
        Ok(())
    }

    /// Takes cache events of an engine.
    ///
    /// They have no effect yet: the scheduler estimates each engine's prefix cache from the
    /// requests that it sent there.
    pub fn cache_events(&self, events: &CacheEvents) -> Result<(), GroupId> {
        self.group_of(&events.target).map(drop)
    }

    /// State of each owned group, for operators and metrics.
    pub fn snapshots(&self) -> Vec<(GroupId, GroupSnapshot)> {
        let groups: Vec<_> = self.groups().values().cloned().collect();
        groups.iter().map(|group| (group.id.clone(), group.scheduler.snapshot())).collect()
    }

    /// Number of forwarded requests in progress.
    pub fn in_progress(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    /// Counts a forwarded request as in progress.
    pub(crate) fn enter(&self) -> BusyGuard {
        self.busy.fetch_add(1, Ordering::SeqCst);
        BusyGuard(self.busy.clone())
    }

    /// Returns an owned group, or the error that sends the entry to the new owner.
    pub(crate) fn owned(&self, id: &GroupId) -> Result<Arc<OwnedGroup>, RequestError> {
        let group = self.groups().get(id).cloned().ok_or_else(|| owner_changed(id))?;
        self.check_owned(&group)?;
        Ok(group)
    }

    /// Records how long a request waited before it was sent.
    pub(crate) fn record_waits(&self, subscriber: &SubscriberId, lease: &Lease) {
        let metrics = self.cx.metrics.subscriber(subscriber);
        metrics.queue_wait(lease.queue_wait);
        metrics.load_stall(lease.load_stall);
    }

    /// Checks that the lease of the owning session is certainly valid now.
    pub(crate) fn check_owned(&self, group: &OwnedGroup) -> Result<(), RequestError> {
        if (self.cx.session)() == Some(group.session) {
            return Ok(());
        }
        Err(owner_changed(&group.id))
    }

    fn groups(&self) -> MutexGuard<'_, BTreeMap<GroupId, Arc<OwnedGroup>>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn group_of(&self, target: &TargetId) -> Result<Arc<OwnedGroup>, GroupId> {
        let id = self.cx.view.read(|state| state.target(target).map(|t| t.group.clone()));
        let unknown = || GroupId {
            pool: "unknown".parse().expect("a valid name"),
            region: "unknown".parse().expect("a valid name"),
            shard: 0,
        };
        let id = id.ok_or_else(unknown)?;
        self.groups().get(&id).cloned().ok_or(id)
    }

    /// Compares the owned groups with the control state.
    fn sync_groups(self: &Arc<Self>) {
        let session = (self.cx.session)();
        let assigned: Vec<_> = self.cx.view.read(|state| {
            state
                .groups()
                .filter(|group| session.is_some() && group.owner == session)
                .map(|group| (group.id.clone(), group.epoch, group.handover))
                .collect()
        });
        let lost: Vec<_> = {
            let mut groups = self.groups();
            let is_kept = |group: &OwnedGroup| {
                Some(group.session) == session
                    && assigned
                        .iter()
                        .any(|(id, epoch, _)| (id, epoch) == (&group.id, &group.epoch))
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
        let Some(session) = session else { return };
        for (id, epoch, handover) in assigned {
            let group = self.take_over(id, session, epoch, handover);
            self.sync_targets(&group);
        }
    }

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
        let orders = OrderCount::default();
        let load = load_fn(self.cx.clone(), id.clone(), session, orders.clone());
        let group = Arc::new(OwnedGroup {
            id: id.clone(),
            session,
            epoch,
            scheduler: GroupScheduler::new(self.cx.scheduler.clone(), load, self.cx.log.clone()),
            crashes: CrashWatch::default(),
            orders,
            handover,
            since: Instant::now(),
            targets: Mutex::default(),
        });
        groups.insert(id, group.clone());
        group
    }

    /// Brings the scheduler's targets in line with the control state.
    fn sync_targets(&self, group: &OwnedGroup) {
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
                    if health.is_drained != is_draining {
                        health.is_drained = is_draining;
                        let gets_no_work = health.gets_no_work();
                        group.scheduler.set_draining(&announced.target, gets_no_work);
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
                    is_drained: is_draining,
                    is_leaving: false,
                    is_silent: false,
                },
            );
            group.scheduler.upsert_target(TargetSpec {
                orders_allowed_from: group.orders_allowed_from(&announced.kind).into(),
                id: announced.target.clone(),
                incarnation: announced.incarnation,
                addr: announced.addr,
                zone: announced.zone,
                kind: announced.kind,
            });
            group.scheduler.set_draining(&announced.target, is_draining);
        }
    }

    /// Removes targets that stopped announcing themselves.
    fn remove_silent_targets(self: &Arc<Self>) {
        let groups: Vec<_> = self.groups().values().cloned().collect();
        for group in groups {
            let mut targets = group.targets();
            let now = Instant::now();
            for (id, health) in &mut *targets {
                if now.saturating_duration_since(health.last_seen) < TARGET_TIMEOUT {
                    continue;
                }
                // Asks again only after another time-out if the log does not answer.
                health.last_seen = now;
                health.is_silent = true;
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
    fn targets(&self) -> MutexGuard<'_, BTreeMap<TargetId, TargetHealth>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until no order is in flight; each ends within `ORDER_TIMEOUT`.
    async fn orders_finished(&self) {
        while !self.orders.is_zero() {
            tokio::time::sleep(ORDER_POLL).await;
        }
    }

    /// When orders may be sent to a target without overlapping those of the previous owner.
    fn orders_allowed_from(&self, kind: &TargetKind) -> Instant {
        match (kind, self.handover) {
            (TargetKind::Engine { checks_fencing: false, .. }, Handover::Lost) => {
                self.since + Duration::from_millis(LOST_OWNER_SETTLE_MS)
            }
            _ => self.since,
        }
    }
}

/// Error that sends the entry to the new owner; nothing was sent to a target.
pub(crate) fn owner_changed(group: &GroupId) -> RequestError {
    let detail = format!("this instance does not own target group {group}; try again");
    RequestError::not_run(RequestErrorKind::NotReady, detail).retry_after(RETRY_AFTER_OWNER_CHANGE)
}
