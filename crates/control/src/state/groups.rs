//! Targets, their groups, and the ownership of groups.
//!
//! Architecture Invariant: a target belongs to one group, of its pool and region. Epochs are taken
//! from one counter of the whole deployment, so a target that moves to another group, or whose
//! group is formed anew, never sees a lower fencing number than before (see `Groups::fencing`).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use shallotdrum_engine::TargetKind;
use shallotdrum_types::{
    BaseModelId, ControlTimeMs, Epoch, GroupId, Incarnation, PoolId, Region, SessionId, TargetId,
};

use crate::{AnnouncedTarget, CommandError};

/// Most targets of a group. An owner's crash stalls its groups, so they are kept small; a pool of
/// the present size (12 engines) still is one group, in which all its requests are known.
pub const MAX_GROUP_TARGETS: usize = 16;

/// Targets whose leaving is remembered. A late announcement arrives within minutes; 1,200 targets
/// leave at most a few times a day each.
const MAX_LEFT_TARGETS: usize = 1_000;

/// Control time after which no order of an owner that lost its group can be in flight: a full
/// session lease (3 s), the order timeout (5 s) and the clock drift margin (300 ms).
pub const LOST_OWNER_SETTLE_MS: u64 = 3_000 + 5_000 + 300;

/// Registered target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The lasting part of its announcement.
    pub announced: AnnouncedTarget,
    /// Group that it belongs to.
    pub group: GroupId,
    /// Whether it gets no new work.
    pub draining: bool,
    /// When it joined the group.
    pub joined_at: ControlTimeMs,
    /// Epoch drawn when it joined the group; above any that it has seen in another group.
    pub joined_epoch: Epoch,
}

/// What the targets of a group run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupKind {
    /// Model engines.
    Engines {
        /// Base model that they hold.
        base_model: BaseModelId,
    },
    /// Plain services.
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

/// What became of the orders of a group's previous owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Handover {
    /// The group had no owner before.
    First,
    /// No order of a previous owner is in flight.
    Released,
    /// Orders of a previous owner may be in flight until `LOST_OWNER_SETTLE_MS` after
    /// `Group::previous_owner_ended_at`. The new owner waits that long by its own clock, from when
    /// it learned of the assignment: a follower's control time may stand still.
    Lost,
}

/// Group of targets, the unit of ownership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Pool, region and number.
    pub id: GroupId,
    /// What the targets run.
    pub kind: GroupKind,
    /// Targets, also those that are draining.
    pub targets: BTreeSet<TargetId>,
    /// Session that owns the group.
    pub owner: Option<SessionId>,
    /// Fencing number of the last assignment; 0 before the first.
    pub epoch: Epoch,
    /// What became of the orders of previous owners.
    pub handover: Handover,
    /// When the ownership ended that `handover` is about.
    pub previous_owner_ended_at: Option<ControlTimeMs>,
}

impl Group {
    fn lose(&mut self, now: ControlTimeMs) {
        self.owner = None;
        self.handover = Handover::Lost;
        self.previous_owner_ended_at = Some(now);
    }

    /// Ends the ownership. An owner may release before the orders of one that lost the group have
    /// settled; the loss then still counts.
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

/// Targets and groups.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Groups {
    targets: BTreeMap<TargetId, Target>,
    groups: BTreeMap<GroupId, Group>,
    last_epoch: Epoch,
    /// Newest incarnation of each target that has left.
    left: BTreeMap<TargetId, Incarnation>,
    /// Keys of `left`, oldest first; a target may occur again.
    left_order: VecDeque<TargetId>,
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

    /// Fencing number of orders to a target: the epoch of its group, or the one drawn when it
    /// joined the group if that is higher.
    pub(crate) fn fencing(&self, id: &TargetId) -> Option<Epoch> {
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
        if self.left.get(&announced.target).is_some_and(|left| *left >= announced.incarnation) {
            return Err(CommandError::TargetLeft { target: announced.target });
        }
        let has_other_kind = |group: &Group| {
            group.kind != kind && group.targets.iter().any(|id| *id != announced.target)
        };
        if self.of_pool(&announced.pool).any(has_other_kind) {
            let (target, pool) = (announced.target, announced.pool);
            return Err(CommandError::PoolKindMismatch { target, pool });
        }

        let id = announced.target.clone();
        let draining = earlier.is_some_and(|earlier| {
            earlier.draining && earlier.announced.incarnation == announced.incarnation
        });
        let stays = earlier.is_some_and(|earlier| {
            earlier.group.pool == announced.pool && earlier.group.region == announced.region
        });
        if let Some(target) = self.targets.get_mut(&id)
            && stays
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
        let group = self.place(&announced.pool, &announced.region, kind);
        group.targets.insert(id.clone());
        let group = group.id.clone();
        let joined_epoch = self.draw_epoch();
        let target =
            Target { announced, group: group.clone(), draining, joined_at: now, joined_epoch };
        self.targets.insert(id, target);
        Ok(group)
    }

    pub(crate) fn remove(
        &mut self,
        id: &TargetId,
        incarnation: Incarnation,
        is_leaving: bool,
    ) -> Result<(), CommandError> {
        if is_leaving {
            self.note_left(id, incarnation);
        }
        let target = match self.targets.get(id) {
            Some(target) => target,
            // A resent announcement that the target leaves.
            None if is_leaving => return Ok(()),
            None => return Err(CommandError::NoTarget(id.clone())),
        };
        let current = target.announced.incarnation;
        if current > incarnation {
            return Err(CommandError::OldIncarnation { target: id.clone(), current });
        }
        self.leave_group(id);
        self.targets.remove(id);
        Ok(())
    }

    pub(crate) fn drain(&mut self, id: TargetId, drain: bool) -> Result<(), CommandError> {
        let target = self.targets.get_mut(&id).ok_or(CommandError::NoTarget(id))?;
        target.draining = drain;
        Ok(())
    }

    /// Gives an unowned group to a live session; a resent command gets the same epoch.
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
        self.drop_if_unused(&id);
        Ok(())
    }

    /// Takes all groups from a session that has ended.
    pub(crate) fn lose_all(&mut self, session: SessionId, now: ControlTimeMs) {
        for group in self.groups.values_mut().filter(|group| group.owner == Some(session)) {
            group.lose(now);
        }
    }

    /// Group with room and the smallest number, or a new one with the smallest free number.
    fn place(&mut self, pool: &PoolId, region: &Region, kind: GroupKind) -> &mut Group {
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

    fn note_left(&mut self, id: &TargetId, incarnation: Incarnation) {
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
        self.drop_if_unused(&group);
    }

    /// Forgets a group without targets, unless it is owned or orders may be in flight.
    fn drop_if_unused(&mut self, id: &GroupId) {
        let is_unused = self.groups.get(id).is_some_and(|group| {
            group.targets.is_empty() && group.owner.is_none() && group.handover != Handover::Lost
        });
        if is_unused {
            self.groups.remove(id);
        }
    }

    fn draw_epoch(&mut self) -> Epoch {
        self.last_epoch = self.last_epoch.next();
        self.last_epoch
    }
}
