//! Parameters and results of the methods that instances call on each other.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use shallotdrum_control::TimedCommand;
use shallotdrum_types::{
    Base64Bytes, ControlFormat, GroupId, InstanceId, LogIndex, PermitId, ProposalId, Revision,
    SessionId, Term,
};

/// Under which id a proposal is sent, and how long its sender waits.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ProposalTerms {
    /// Same for each attempt.
    pub id: ProposalId,
    /// Time for which the sender waits for the reply to this attempt, in milliseconds.
    pub wait_ms: u64,
}

/// Renews a session and reports the state of its instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Session to renew.
    pub session: SessionId,
    /// Manifest revision in force on the instance.
    pub revision: Revision,
    /// Index of the last command that the instance has applied.
    pub applied: LogIndex,
    /// Weight-store permits held by the instance.
    pub permits: BTreeSet<PermitId>,
    /// Newest format of the control log that the instance reads; absent from earlier releases.
    #[serde(default)]
    pub format: Option<ControlFormat>,
}

/// Confirms the renewal of a session.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RenewReply {
    /// Term of the leader; permits of previous leaders that arrive after this reply are invalid.
    pub term: Term,
    /// Newest accepted manifest revision.
    pub revision: Revision,
    /// Revision of the newest accepted route table; 0 without one.
    #[serde(default)]
    pub routes: Revision,
    /// Index of the last command that the leader has applied.
    pub applied: LogIndex,
    /// Index of the last entry that the leader knows to be committed; absent from replies of earlier
    /// releases. Another replica may have applied it, and acknowledged a change by it, before the leader.
    #[serde(default)]
    pub committed: Option<LogIndex>,
}

/// Position of a control replica in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaPosition {
    /// Leader that the replica is connected to, or the replica itself if it holds the leader lease.
    pub leader: Option<InstanceId>,
    /// Whether the replica has caught up with a leader since its start.
    pub is_caught_up: bool,
    /// First command that is not compacted.
    pub first: LogIndex,
    /// Last command that the replica has applied.
    pub applied: LogIndex,
}

impl ReplicaPosition {
    /// Whether a follower that needs the commands up to `index` can get them from this replica.
    pub fn can_serve(&self, index: LogIndex) -> bool {
        self.leader.is_some() && self.is_caught_up && self.applied >= index
    }
}

/// Report of a session's last renewal.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SessionRow {
    /// Session that sent the report.
    pub session: SessionId,
    /// Manifest revision in force on the instance; absent until it has renewed with this leader.
    pub revision: Option<Revision>,
    /// Newest format of the control log that the instance is known to read; absent from replies of
    /// earlier releases.
    #[serde(default)]
    pub format: Option<ControlFormat>,
}

/// Requests a weight-store permit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Session that will hold the permit.
    pub session: SessionId,
    /// Group of the target that loads the adapter.
    pub group: GroupId,
    /// Maximum wait for the permit, in milliseconds.
    pub wait_ms: u64,
}

/// Permit to load one adapter from the weight store.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Permit {
    /// Identifier, used to release the permit.
    pub id: PermitId,
}

/// Commands committed after an index, or a snapshot that includes them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum WatchReply {
    /// The commands up to an index, without those that followers don't need.
    Entries {
        /// Commands in log order.
        entries: Vec<WatchEntry>,
        /// Last index that the reply covers; the next watch continues after it.
        through: LogIndex,
    },
    /// The whole state, because the commands after the index were compacted or are too many.
    Snapshot {
        /// Index of the last command included in the state.
        index: LogIndex,
        /// Encoded state without the ledger of non-repeatable calls.
        state: Base64Bytes,
    },
}

/// Committed command with its position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchEntry {
    /// Position in the control log.
    pub index: LogIndex,
    /// Command and the control time at which it was proposed.
    pub command: TimedCommand,
}
