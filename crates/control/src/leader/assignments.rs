//! Which session gets which group. Pure functions of the state; ties go to the lower id.

use std::collections::{BTreeMap, BTreeSet};

use shallotdrum_types::{GroupId, Region, SessionId};

use crate::{ControlState, Group};

/// Groups more than another session of the region has, from which a group is moved. One group
/// more is no imbalance, and a move costs a hand-over.
const REBALANCE_DIFFERENCE: usize = 2;

/// Unowned groups with targets, and the sessions that should get them.
///
/// A session in the group's region is preferred, then one of an instance that is no control
/// replica, then the one with the fewest groups.
pub fn assignments(state: &ControlState, live: &BTreeSet<SessionId>) -> Vec<(GroupId, SessionId)> {
    let mut owned = owned_groups(state, live);
    let mut result = Vec::new();
    for group in state.groups().filter(|group| is_assignable(group)) {
        let rank = |(session, count): &(&SessionId, &usize)| {
            let is_remote = region_of(state, **session) != Some(&group.id.region);
            // A replica's machine is small and busy with the log; its loss costs both at once.
            (is_remote, is_replica(state, **session), **count, **session)
        };
        let Some((session, _)) = owned.iter().min_by_key(rank) else { break };
        let session = *session;
        *owned.entry(session).or_default() += 1;
        result.push((group.id.clone(), session));
    }
    result
}

/// A group that its owner should release, so that a session with far fewer groups gets it.
///
/// Groups move within their region, or home from another region.
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
        // The first group of the greatest excess.
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

/// Number of groups of each live session that takes groups.
fn owned_groups(state: &ControlState, live: &BTreeSet<SessionId>) -> BTreeMap<SessionId, usize> {
    let takes_groups = |id: &SessionId| state.session(*id).is_some() && !state.is_draining(*id);
    let mut owned: BTreeMap<_, _> =
        live.iter().copied().filter(takes_groups).map(|id| (id, 0)).collect();
    for owner in state.groups().filter_map(|group| group.owner) {
        if let Some(count) = owned.get_mut(&owner) {
            *count += 1;
        }
    }
    owned
}
