//! Software versions of the targets of each pool, including those that left shortly before.
//!
//! A stream that began at a target which has left must not go on at another version. While a pool
//! had a single version for longer than a stream lasts, all of its streams are of this version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallotdrum_types::{ControlTimeMs, PoolId, SoftwareVersion};

use super::groups::Groups;
use crate::AnnouncedTarget;

/// Time after its last target has left for which a version is remembered: longer than a stream and
/// the pause until its caller takes it up.
pub const SOFTWARE_MEMORY_MS: u64 = 2 * 60 * 1_000;

/// Versions that targets stopped running, by pool, and when.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct SoftwareHistory(BTreeMap<PoolId, BTreeMap<SoftwareVersion, ControlTimeMs>>);

impl SoftwareHistory {
    /// Records the versions of the target processes that `update` replaces or removes.
    pub(super) fn record_ends<T>(
        &mut self,
        groups: &mut Groups,
        now: ControlTimeMs,
        update: impl FnOnce(&mut Groups) -> T,
    ) -> T {
        let before: Vec<_> = groups.targets().map(|target| target.announced.clone()).collect();
        let result = update(groups);
        for AnnouncedTarget { target, incarnation, pool, software, .. } in before {
            let current = groups.target(&target).map(|target| target.announced.incarnation);
            let Some(software) = software.filter(|_| current != Some(incarnation)) else {
                continue;
            };
            let versions = self.0.entry(pool).or_default();
            versions.insert(software, now);
            versions.retain(|_, ended| is_remembered(*ended, now));
        }
        result
    }

    /// Versions at which a stream of the pool may have begun.
    pub(super) fn versions(
        &self,
        groups: &Groups,
        pool: &PoolId,
        now: ControlTimeMs,
    ) -> Vec<SoftwareVersion> {
        let ended = self.0.get(pool).into_iter().flatten();
        let ended = ended.filter(|(_, ended)| is_remembered(**ended, now)).map(|(v, _)| v);
        let targets = groups.targets().filter(|target| target.announced.pool == *pool);
        let current = targets.filter_map(|target| target.announced.software.as_ref());
        let mut versions: Vec<_> = ended.chain(current).cloned().collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}

fn is_remembered(ended: ControlTimeMs, now: ControlTimeMs) -> bool {
    now.0.saturating_sub(ended.0) < SOFTWARE_MEMORY_MS
}
