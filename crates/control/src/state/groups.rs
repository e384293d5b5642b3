//! Targets, their groups, and the ownership of groups.
//!
//! Architecture Invariant: a target belongs to exactly one group, of its pool and region. Epochs
//! come from one counter for the whole deployment, so a target that moves to another group, or
//! whose group is recreated, never sees a lower fencing token than before (see
//! `Groups::fencing_token`).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use shallotdrum_engine::TargetKind;
use shallotdrum_types::{
    BaseModelId, ControlTimeMs, Epoch, GroupId, Incarnation, PoolId, Region, SessionId, TargetId,
};

use crate::{AnnouncedTarget, CommandError};

/// Maximum number of targets in a group. Groups are small because the crash of an owner stalls all
/// of its groups. A pool of the present size (12 engines) still fits into one group, whose owner
/// then knows all requests of the pool.
pub const MAX_GROUP_TARGETS: usize = 16;

/// Maximum number of departures that are kept to reject delayed announcements. These arrive within
/// minutes, and 1,200 targets leave at most a few times a day each.
const MAX_LEFT_TARGETS: usize = 1_000;

/// Time in milliseconds for which an announcement may be delayed. After that, the departure of an
/// unknown incarnation no longer refuses one that its sender's clock made seem older than it is.
const MAX_ANNOUNCEMENT_DELAY_MS: u64 = 5 * 60_000;

/// Time after which no order of an owner that lost its group can be in flight: a full session
/// lease (3 s), the order timeout (5 s) and the clock drift margin (300 ms).
pub const LOST_OWNER_SETTLE_MS: u64 = 3_000 + 5_000 + 300;

/// Registered target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Announcement as last registered.
    pub announced: AnnouncedTarget,
    /// Group that the target belongs to.
    pub group: GroupId,
    /// Set by `Command::DrainTarget`; the target gets no new work.
    pub draining: bool,
    /// Time at which the target joined its group.
    pub joined_at: ControlTimeMs,
    /// Epoch allocated when the target joined its group; higher than any it saw in another group.
    pub joined_epoch: Epoch,
}

/// Kind of the targets in a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupKind {
    /// Model engines.
    Engines {
        /// Base model that all engines of the group have loaded.
        base_model: BaseModelId,
    },
    /// Services without models.
    Services,
}

impl From<&TargetKind> for GroupKind {
    fn from(kind: &TargetKind) -> Self {
        match kind {
            TargetKind::Engine { base_model, .. } => {
                Self::Engines { base_model: base_model.clone() }
            }
            TargetKind::Service { .. } => Self::Services,
        }
    }
}

/// Whether orders of a group's previous owners may still be in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Handover {
    /// The group had no owner before.
    First,
    /// No order of a previous owner is in flight.
    Released,
    /// Orders of a previous owner may be in flight until `LOST_OWNER_SETTLE_MS` after
    /// `Group::previous_owner_ended_at`. The new owner measures this time with its own clock from
    /// when it learns of the assignment, because control time may not advance on a follower.
    Lost,
}

/// Group of targets, the unit of ownership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Pool, region and shard number.
    pub id: GroupId,
    /// Same for all targets of the group.
    pub kind: GroupKind,
    /// Targets of the group, including draining ones.
    pub targets: BTreeSet<TargetId>,
    /// Session that owns the group, if any.
    pub owner: Option<SessionId>,
    /// Epoch of the last assignment; 0 before the first.
    pub epoch: Epoch,
    /// How the previous ownership ended.
    pub handover: Handover,
    /// Time at which the ownership that `handover` refers to ended.
    pub previous_owner_ended_at: Option<ControlTimeMs>,
}

impl Group {
    /// Ends the ownership of a session that ended without releasing the group.
    fn mark_owner_lost(&mut self, now: ControlTimeMs) {
        self.owner = None;
        self.handover = Handover::Lost;
        self.previous_owner_ended_at = Some(now);
    }

    /// Ends the ownership. The handover stays `Lost` if orders of a previous owner, whose session
    /// ended without releasing the group, may still be in flight.
    fn release(&mut self, now: ControlTimeMs) {
        self.owner = None;
        if self.handover == Handover::Lost && !self.has_settled(now) {
            return;
        }
        self.handover = Handover::Released;
        self.previous_owner_ended_at = Some(now);
    }

    /// Whether no order of a previous owner can be in flight at the given control time.
    fn has_settled(&self, now: ControlTimeMs) -> bool {
        let ended = self.previous_owner_ended_at.unwrap_or_default();
        self.handover != Handover::Lost || now.0.saturating_sub(ended.0) >= LOST_OWNER_SETTLE_MS
    }
}

/// Registered targets and their groups.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Groups {
    targets: BTreeMap<TargetId, Target>,
    groups: BTreeMap<GroupId, Group>,
    last_epoch: Epoch,
    /// Newest incarnation that has left, by target.
    left: BTreeMap<TargetId, Incarnation>,
    /// Keys of `left`, oldest first; a target may occur more than once.
    left_order: VecDeque<TargetId>,
    /// Incarnations that were removed while they were draining, and may announce themselves again.
    #[serde(default)]
    removed_draining: VecDeque<(TargetId, Incarnation)>,
    /// Other incarnations that were removed for their silence, and may still leave.
    #[serde(default)]
    removed_silent: VecDeque<(TargetId, Incarnation)>,
    /// Departures of targets that were not registered. They have a limit of their own, so that many of
    /// them displace no others.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    left_unknown: BTreeMap<TargetId, UnknownDeparture>,
}

/// Departure of a target that was not registered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct UnknownDeparture {
    /// Newest incarnation that may have left.
    newest: Incarnation,
    /// Time at which it was recorded.
    at: ControlTimeMs,
}

impl UnknownDeparture {
    /// Whether delayed announcements may still arrive.
    fn is_recent(&self, now: ControlTimeMs) -> bool {
        now.0.saturating_sub(self.at.0) < MAX_ANNOUNCEMENT_DELAY_MS
    }
}

impl Groups {
    pub(crate) fn target(&self, id: &TargetId) -> Option<&Target> {
        self.targets.get(id)
    }

    pub(crate) fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    pub(crate) fn get(&self, id: &GroupId) -> Option<&Group> {
        self.groups.get(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Group> {
        self.groups.values()
    }

    pub(crate) fn of_pool<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a Group> {
        self.groups.values().filter(move |group| group.id.pool == *pool)
    }

    /// Fencing token for orders to a target: the higher one of its group's epoch and the epoch at
    /// which the target joined the group.
    pub(crate) fn fencing_token(&self, id: &TargetId) -> Option<Epoch> {
        let target = self.targets.get(id)?;
        let group = self.groups.get(&target.group)?;
        Some(group.epoch.max(target.joined_epoch))
    }

    pub(crate) fn register(
        &mut self,
        announced: AnnouncedTarget,
        now: ControlTimeMs,
    ) -> Result<GroupId, CommandError> {
        let kind = GroupKind::from(&announced.kind);
        let earlier = self.targets.get(&announced.target);
        if let Some(earlier) = earlier
            && earlier.announced.incarnation > announced.incarnation
        {
            return Err(CommandError::OldIncarnation {
                target: announced.target,
                current: earlier.announced.incarnation,
            });
        }
        self.left_unknown.retain(|_, left| left.is_recent(now));
        if self.has_left(&announced.target, announced.incarnation) {
            return Err(CommandError::TargetLeft { target: announced.target });
        }
        let has_other_kind = |group: &Group| {
            group.kind != kind && group.targets.iter().any(|id| *id != announced.target)
        };
        if self.of_pool(&announced.pool).any(has_other_kind) {
            let (target, pool) = (announced.target, announced.pool);
            return Err(CommandError::PoolKindMismatch { target, pool });
        }
        self.remove_predecessors(&announced);

        let earlier = self.targets.get(&announced.target);
        let id = announced.target.clone();
        let is_removed = |removed: &(TargetId, Incarnation)| {
            removed.0 == id && removed.1 == announced.incarnation
        };
        let draining = match earlier {
            Some(earlier) => {
                earlier.draining && earlier.announced.incarnation == announced.incarnation
            }
            None => self.removed_draining.iter().any(is_removed),
        };
        let keeps_group = earlier.is_some_and(|earlier| {
            earlier.group.pool == announced.pool && earlier.group.region == announced.region
        });
        if let Some(target) = self.targets.get_mut(&id)
            && keeps_group
        {
            target.announced = announced;
            target.draining = draining;
            let group = target.group.clone();
            if let Some(group) = self.groups.get_mut(&group) {
                group.kind = kind;
            }
            return Ok(group);
        }
        self.leave_group(&id);
        let group = self.find_or_create_group(&announced.pool, &announced.region, kind);
        group.targets.insert(id.clone());
        let group = group.id.clone();
        let joined_epoch = self.allocate_epoch();
        let target =
            Target { announced, group: group.clone(), draining, joined_at: now, joined_epoch };
        self.targets.insert(id, target);
        Ok(group)
    }

    /// Removes earlier processes at the address of a target, which ended without leaving: only one
    /// process can listen on it.
    fn remove_predecessors(&mut self, announced: &AnnouncedTarget) {
        let is_predecessor = |other: &AnnouncedTarget| {
            other.addr == announced.addr
                && other.target != announced.target
                && other.incarnation < announced.incarnation
        };
        let predecessors: Vec<_> = self
            .targets
            .values()
            .filter(|target| is_predecessor(&target.announced))
            .map(|target| (target.announced.target.clone(), target.announced.incarnation))
            .collect();
        for (id, incarnation) in predecessors {
            // A delayed announcement must not register it again.
            self.record_departure(&id, incarnation);
            self.leave_group(&id);
            self.targets.remove(&id);
        }
    }

    /// Removes a target; `remembers_silent` keeps in mind which process was removed for its silence, so
    /// that it may still leave.
    pub(crate) fn remove(
        &mut self,
        id: &TargetId,
        incarnation: Incarnation,
        is_leaving: bool,
        remembers_silent: bool,
    ) -> Result<(), CommandError> {
        if is_leaving {
            let is_unknown = remembers_silent
                && incarnation == Incarnation::default()
                && !self.targets.contains_key(id);
            // What was never here has no place among the departures that are kept.
            let left = if is_unknown { self.last_removed(id) } else { Some(incarnation) };
            if let Some(left) = left {
                self.record_departure(id, left);
            }
        }
        let target = match self.targets.get(id) {
            Some(target) => target,
            // A resent command: the target was already removed.
            None if is_leaving => return Ok(()),
            None => return Err(CommandError::NoTarget(id.clone())),
        };
        let current = target.announced.incarnation;
        if current > incarnation {
            return Err(CommandError::OldIncarnation { target: id.clone(), current });
        }
        let is_draining = target.draining;
        self.removed_draining.retain(|(removed, _)| removed != id);
        self.removed_silent.retain(|(removed, _)| removed != id);
        let removed = match is_draining {
            true => &mut self.removed_draining,
            false => &mut self.removed_silent,
        };
        if !is_leaving && (is_draining || remembers_silent) {
            removed.push_back((id.clone(), current));
            if removed.len() > MAX_LEFT_TARGETS {
                removed.pop_front();
            }
        }
        self.leave_group(id);
        self.targets.remove(id);
        Ok(())
    }

    /// Removes a target that left if it is registered, and otherwise records that it left.
    pub(crate) fn leave_unknown(
        &mut self,
        id: &TargetId,
        newest: Incarnation,
        now: ControlTimeMs,
    ) -> Result<(), CommandError> {
        if let Some(registered) = self.targets.get(id) {
            let current = registered.announced.incarnation;
            return match current > newest {
                true => Err(CommandError::OldIncarnation { target: id.clone(), current }),
                false => self.remove(id, current, true, true),
            };
        }
        if let Some(removed) = self.last_removed(id) {
            self.record_departure(id, removed);
        }
        self.left_unknown.retain(|_, left| left.is_recent(now));
        if self.left_unknown.len() >= MAX_LEFT_TARGETS && !self.left_unknown.contains_key(id) {
            let oldest = self.left_unknown.iter().min_by_key(|(_, left)| left.at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.left_unknown.remove(&oldest);
            }
        }
        let left = self.left_unknown.entry(id.clone());
        let left = left.or_insert(UnknownDeparture { newest, at: now });
        *left = UnknownDeparture { newest: newest.max(left.newest), at: now };
        Ok(())
    }

    pub(crate) fn drain(&mut self, id: TargetId, drain: bool) -> Result<(), CommandError> {
        let target = self.targets.get_mut(&id).ok_or(CommandError::NoTarget(id))?;
        target.draining = drain;
        Ok(())
    }

    /// Assigns an unowned group to a live session; a resent command gets the same epoch.
    pub(crate) fn assign(
        &mut self,
        id: GroupId,
        session: SessionId,
    ) -> Result<Epoch, CommandError> {
        let epoch = self.last_epoch.next();
        let Some(group) = self.groups.get_mut(&id) else {
            return Err(CommandError::NoGroup(id));
        };
        match group.owner {
            Some(owner) if owner == session => return Ok(group.epoch),
            Some(_) => return Err(CommandError::GroupOwned(id)),
            None => {}
        }
        group.owner = Some(session);
        group.epoch = epoch;
        self.last_epoch = epoch;
        Ok(epoch)
    }

    pub(crate) fn release(
        &mut self,
        id: GroupId,
        session: SessionId,
        now: ControlTimeMs,
    ) -> Result<(), CommandError> {
        let Some(group) = self.groups.get_mut(&id) else {
            return Err(CommandError::NoGroup(id));
        };
        if group.owner != Some(session) {
            return Err(CommandError::NotOwner { group: id, session });
        }
        group.release(now);
        self.remove_if_unused(&id);
        Ok(())
    }

    /// Ends the ownership of all groups of a session that has ended.
    pub(crate) fn mark_owner_lost(&mut self, session: SessionId, now: ControlTimeMs) {
        for group in self.groups.values_mut().filter(|group| group.owner == Some(session)) {
            group.mark_owner_lost(now);
        }
    }

    /// Returns the group with the lowest shard number that is not full; creates it if that number
    /// is unused.
    fn find_or_create_group(
        &mut self,
        pool: &PoolId,
        region: &Region,
        kind: GroupKind,
    ) -> &mut Group {
        let id = |shard| GroupId { pool: pool.clone(), region: region.clone(), shard };
        let has_room = |group: Option<&Group>| {
            group.is_none_or(|group| group.targets.len() < MAX_GROUP_TARGETS)
        };
        let shard = (0..u32::MAX).find(|shard| has_room(self.groups.get(&id(*shard))));
        let id = id(shard.unwrap_or(u32::MAX));
        let group = self.groups.entry(id.clone()).or_insert_with(|| Group {
            id,
            kind: kind.clone(),
            targets: BTreeSet::new(),
            owner: None,
            epoch: Epoch::default(),
            handover: Handover::First,
            previous_owner_ended_at: None,
        });
        group.kind = kind;
        group
    }

    /// Whether this incarnation of a target left, or was replaced at its address.
    pub(crate) fn has_left(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        let known = self.left.get(id).copied();
        let unknown = self.left_unknown.get(id).map(|left| left.newest);
        known.max(unknown).is_some_and(|newest| newest >= incarnation)
    }

    /// Incarnation of a target that was removed for its silence last.
    fn last_removed(&self, id: &TargetId) -> Option<Incarnation> {
        let mut removed = self.removed_draining.iter().chain(&self.removed_silent);
        removed.find(|(removed, _)| removed == id).map(|(_, incarnation)| *incarnation)
    }

    /// Whether this incarnation of a target gets no new requests: it is draining, or left, or was draining
    /// when it was removed.
    pub(crate) fn is_leaving(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        let target = self.targets.get(id).filter(|t| t.announced.incarnation == incarnation);
        match target {
            Some(target) => target.draining,
            None => {
                let mut removed = self.removed_draining.iter();
                self.has_left(id, incarnation)
                    || removed.any(|(other, at)| (other, *at) == (id, incarnation))
            }
        }
    }

    fn record_departure(&mut self, id: &TargetId, incarnation: Incarnation) {
        let newest = self.left.entry(id.clone()).or_insert(incarnation);
        *newest = incarnation.max(*newest);
        self.left_order.push_back(id.clone());
        while self.left_order.len() > MAX_LEFT_TARGETS
            && let Some(oldest) = self.left_order.pop_front()
        {
            if !self.left_order.contains(&oldest) {
                self.left.remove(&oldest);
            }
        }
    }

    fn leave_group(&mut self, id: &TargetId) {
        let Some(group) = self.targets.get(id).map(|target| target.group.clone()) else { return };
        if let Some(group) = self.groups.get_mut(&group) {
            group.targets.remove(id);
        }
        self.remove_if_unused(&group);
    }

    /// Removes a group without targets, unless it is owned or orders may be in flight.
    fn remove_if_unused(&mut self, id: &GroupId) {
        let is_unused = self.groups.get(id).is_some_and(|group| {
            group.targets.is_empty() && group.owner.is_none() && group.handover != Handover::Lost
        });
        if is_unused {
            self.groups.remove(id);
        }
    }

    fn allocate_epoch(&mut self) -> Epoch {
        self.last_epoch = self.last_epoch.next();
        self.last_epoch
    }
}
