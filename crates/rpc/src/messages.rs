//! Parameters and results of the methods between instances.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use shallotdrum_control::TimedCommand;
use shallotdrum_types::{Base64Bytes, GroupId, LogIndex, PermitId, Revision, SessionId, Term};

/// Renews a session and reports what the instance has in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Session to renew.
    pub session: SessionId,
    /// Manifest revision in force in the instance.
    pub revision: Revision,
    /// Last command applied in the instance.
    pub applied: LogIndex,
    /// Weight-store permits that the instance holds.
    pub permits: BTreeSet<PermitId>,
}

/// Confirms a renewal.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RenewReply {
    /// Term of the leader; permits of earlier leaders that arrive from now on are void.
    pub term: Term,
    /// Newest accepted manifest revision.
    pub revision: Revision,
    /// Last command applied by the leader.
    pub applied: LogIndex,
}

/// What a session reported with its last renewal.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SessionRow {
    /// Session.
    pub session: SessionId,
    /// Manifest revision in force in the instance, once it has renewed with this leader.
    pub revision: Option<Revision>,
}

/// Asks for a weight-store permit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Session that will hold the permit.
    pub session: SessionId,
    /// Group that the load is for.
    pub group: GroupId,
    /// Longest wait for the permit, in milliseconds.
    pub wait_ms: u64,
}

/// Permit to load one adapter from the weight store.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Permit {
    /// Identifier to release the permit with.
    pub id: PermitId,
}

/// Committed commands after an index.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum WatchReply {
    /// The commands up to an index; commands that followers don't need are left out.
    Entries {
        /// Commands in log order.
        entries: Vec<WatchEntry>,
        /// Index up to which the commands are complete.
        through: LogIndex,
    },
    /// The whole state, because the log no longer reaches back to the index.
    Snapshot {
        /// Last command in the state.
        index: LogIndex,
        /// State without the ledger.
        state: Base64Bytes,
    },
}

/// Committed command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchEntry {
    /// Position in the log.
    pub index: LogIndex,
    /// Command.
    pub command: TimedCommand,
}
