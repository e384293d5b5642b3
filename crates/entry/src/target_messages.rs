//! Messages of targets besides `Announcement`; of the same form as in `shallotdrum_engine`.

use serde::{Deserialize, Serialize};
use shallotdrum_types::{Incarnation, TargetId};

/// Answer to an accepted announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Time after which the target announces itself again, in milliseconds.
    pub renew_after_ms: u64,
}

/// Statement that a target takes no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    /// Target that leaves.
    pub target: TargetId,
    /// Process start that leaves; a later one may have announced itself already.
    pub incarnation: Incarnation,
}

/// Hash of a prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// Changes of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvents {
    /// Engine that reports.
    pub target: TargetId,
    /// Process start of the engine.
    pub incarnation: Incarnation,
    /// Number of the report; increases by one with each.
    pub sequence: u64,
    /// Prefixes that the cache holds now.
    #[serde(default)]
    pub stored: Vec<PrefixHash>,
    /// Prefixes that the cache holds no longer.
    #[serde(default)]
    pub removed: Vec<PrefixHash>,
}
