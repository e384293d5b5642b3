//! Assignment of groups to sessions, as pure functions of the state. Ties go to the lower id.

use std::collections::{BTreeMap, BTreeSet};

use shallotdrum_types::{GroupId, Region, SessionId};

use crate::{ControlState, Group};

/// Difference in the number of groups between two sessions of a region at which a group is moved.
/// A difference of one cannot be reduced, and each move costs a handover.
const REBALANCE_DIFFERENCE: usize = 2;

/// Unowned groups that have targets, each with the session that should own it.
///
/// Prefers a session with links to targets, then one in the group's region, then one of an instance that is not a control
/// replica, then the one with the fewest groups.
pub fn assignments(state: &ControlState, live: &BTreeSet<SessionId>) -> Vec<(GroupId, SessionId)> {
    let mut owned = owned_groups(state, live);
    let mut result = Vec::new();
    for group in state.groups().filter(|group| is_assignable(group)) {
        let rank = |(session, count): &(&SessionId, &usize)| {
            let is_remote = region_of(state, **session) != Some(&group.id.region);
            // Replicas run on small machines that are busy with the log, and the failure of one
            // that owns groups would disrupt both the log and those groups.
            let is_cut_off = state.session(**session).is_some_and(|session| session.is_cut_off);
            (is_cut_off, is_remote, is_replica(state, **session), **count, **session)
        };
        let Some((session, _)) = owned.iter().min_by_key(rank) else { break };
        let session = *session;
        *owned.entry(session).or_default() += 1;
        result.push((group.id.clone(), session));
    }
    result
}

/// Group that its owner should release, so that a session with fewer groups can get it.
///
/// Groups move within their region, or back to it from another region.
pub fn rebalance(state: &ControlState, live: &BTreeSet<SessionId>) -> Option<(GroupId, SessionId)> {
    if state.groups().any(is_assignable) {
        return None;
    }
    let owned = owned_groups(state, live);
    state
        .groups()
        .filter_map(|group| {
            let owner = group.owner?;
            let count = *owned.get(&owner)?;
            let in_region = |session| region_of(state, session) == Some(&group.id.region);
            let locals = owned.iter().filter(|(session, _)| in_region(**session));
            let fewest = locals.map(|(_, count)| *count).min()?;
            let is_remote = !in_region(owner);
            let excess = count.saturating_sub(fewest);
            (is_remote || excess >= REBALANCE_DIFFERENCE).then_some((
                (is_remote, excess),
                &group.id,
                owner,
            ))
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

/// Number of groups owned by each live session that is not draining.
fn owned_groups(state: &ControlState, live: &BTreeSet<SessionId>) -> BTreeMap<SessionId, usize> {
    let accepts_groups = |id: &SessionId| state.session(*id).is_some() && !state.is_draining(*id);
    let mut owned: BTreeMap<_, _> =
        live.iter().copied().filter(accepts_groups).map(|id| (id, 0)).collect();
    for owner in state.groups().filter_map(|group| group.owner) {
        if let Some(count) = owned.get_mut(&owner) {
            *count += 1;
        }
    }
    owned
}
