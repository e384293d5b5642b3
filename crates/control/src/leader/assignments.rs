//! Assignment of groups to sessions, as pure functions of the state. Ties go to the lower id.

use std::{
    collections::{BTreeMap, BTreeSet},
    num::NonZeroU32,
};

use shallotdrum_types::{GroupId, MilliCores, Region, SessionId};

use crate::{ControlState, Group};

/// Groups of a session over the processor time of its instance, in groups per 1,000 cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Load(u64);

/// Groups that a session owns, and the processor time of its instance.
struct Owner {
    groups: u64,
    /// Equal for all sessions if one of them does not state it.
    cores: MilliCores,
}

impl Owner {
    /// Load with this many groups.
    fn load_with(&self, groups: u64) -> Load {
        const SCALE: u64 = 1_000_000;
        Load(groups * SCALE / u64::from(self.cores.0.get()))
    }

    fn load(&self) -> Load {
        self.load_with(self.groups)
    }

    fn load_with_another(&self) -> Load {
        self.load_with(self.groups + 1)
    }
}

/// Unowned groups that have targets, each with the session that should own it.
///
/// Prefers a session with links to targets, then one in the group's region, then one of an instance that is not a control
/// replica, then the one with the fewest groups for its processor time. An owner handles two messages for each request.
pub fn assignments(state: &ControlState, live: &BTreeSet<SessionId>) -> Vec<(GroupId, SessionId)> {
    let mut owned = owned_groups(state, live);
    let mut result = Vec::new();
    for group in state.groups().filter(|group| is_assignable(group)) {
        let rank = |(session, owner): &(&SessionId, &Owner)| {
            let is_remote = region_of(state, **session) != Some(&group.id.region);
            // Replicas run on small machines that are busy with the log, and the failure of one
            // that owns groups would disrupt both the log and those groups.
            let is_cut_off = state.session(**session).is_some_and(|session| session.is_cut_off);
            (
                is_cut_off,
                is_remote,
                is_replica(state, **session),
                owner.load_with_another(),
                **session,
            )
        };
        let Some((session, _)) = owned.iter().min_by_key(rank) else { break };
        let session = *session;
        if let Some(owner) = owned.get_mut(&session) {
            owner.groups += 1;
        }
        result.push((group.id.clone(), session));
    }
    result
}

/// Group that its owner should release, so that a session with fewer groups for its processor time can
/// get it.
///
/// Groups move within their region, or back to it from another region, and only if the new owner would
/// have less load than the present one: each move costs a handover.
pub fn rebalance(state: &ControlState, live: &BTreeSet<SessionId>) -> Option<(GroupId, SessionId)> {
    if state.groups().any(is_assignable) {
        return None;
    }
    let owned = owned_groups(state, live);
    state
        .groups()
        .filter_map(|group| {
            let owner = group.owner?;
            let load = owned.get(&owner)?.load();
            let in_region = |session| region_of(state, session) == Some(&group.id.region);
            // A group that a replica could take would be assigned to another instance again.
            let may_get = |session| {
                !in_region(owner) || is_replica(state, owner) || !is_replica(state, session)
            };
            let locals = owned.iter().filter(|(id, _)| in_region(**id) && may_get(**id));
            let least = locals.map(|(_, owner)| owner.load_with_another()).min()?;
            let is_remote = !in_region(owner);
            let excess = load.0.saturating_sub(least.0);
            (is_remote || excess > 0).then_some(((is_remote, excess), &group.id, owner))
        })
        // The first group with the greatest excess.
        .reduce(|best, next| if next.0 > best.0 { next } else { best })
        .map(|(_, group, owner)| (group.clone(), owner))
}

fn is_assignable(group: &Group) -> bool {
    group.owner.is_none() && !group.targets.is_empty()
}

fn is_replica(state: &ControlState, session: SessionId) -> bool {
    state.session(session).is_some_and(|session| session.info.replica)
}

fn region_of(state: &ControlState, session: SessionId) -> Option<&Region> {
    state.session(session).map(|session| &session.info.region)
}

/// Groups owned by each live session that is not draining.
fn owned_groups(state: &ControlState, live: &BTreeSet<SessionId>) -> BTreeMap<SessionId, Owner> {
    let accepts_groups = |id: &SessionId| state.session(*id).is_some() && !state.is_draining(*id);
    let sessions = || live.iter().copied().filter(accepts_groups);
    let cores = |id| state.session(id).and_then(|session| session.info.cores);
    let is_stated = sessions().all(|id| cores(id).is_some());
    let owner = |id| {
        let cores = cores(id).filter(|_| is_stated).unwrap_or(MilliCores(NonZeroU32::MIN));
        (id, Owner { groups: 0, cores })
    };
    let mut owned: BTreeMap<_, _> = sessions().map(owner).collect();
    for owner in state.groups().filter_map(|group| group.owner) {
        if let Some(owner) = owned.get_mut(&owner) {
            owner.groups += 1;
        }
    }
    owned
}
