//! Beginnings of ownerships that this process has applied one by one.
//!
//! An owner gives away units of customers' allotments for a takeover only if no other one came shortly
//! before. The control state has the latest ownership of a group only, and a reader of the state may
//! miss a short one, so the commands themselves are recorded. Nothing of this is in snapshots.

use std::{collections::HashMap, time::Instant};

use shallotdrum_types::{Epoch, GroupId};

/// Ownerships of groups since `complete_since`.
#[derive(Debug)]
pub(crate) struct Ownerships {
    /// Time since which each command has been applied by itself.
    complete_since: Instant,
    latest: HashMap<GroupId, Ownership>,
}

#[derive(Clone, Copy, Debug)]
struct Ownership {
    epoch: Epoch,
    /// When it was applied, which is not before it began.
    at: Instant,
    /// Time since which no other ownership of the group began.
    quiet_since: Instant,
}

impl Ownerships {
    /// Knows of no ownership before `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self { complete_since: now, latest: HashMap::new() }
    }

    /// Records the epoch of a group after an assignment, which may have had no effect.
    pub(crate) fn record(&mut self, group: &GroupId, epoch: Epoch, now: Instant) {
        let known = self.latest.get(group);
        if known.is_some_and(|known| known.epoch == epoch) {
            return;
        }
        let quiet_since = known.map_or(self.complete_since, |known| known.at);
        self.latest.insert(group.clone(), Ownership { epoch, at: now, quiet_since });
    }

    /// Drops what is known of groups that do not exist.
    pub(crate) fn retain(&mut self, exists: impl Fn(&GroupId) -> bool) {
        self.latest.retain(|group, _| exists(group));
    }

    /// Time since which no ownership of the group began but that of `epoch`; absent if it is not known.
    pub(crate) fn quiet_since(&self, group: &GroupId, epoch: Epoch) -> Option<Instant> {
        self.latest.get(group).filter(|known| known.epoch == epoch).map(|known| known.quiet_since)
    }
}
