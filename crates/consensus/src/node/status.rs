//! Status of a node, and its committed commands.

use serde::Serialize;
use shallotdrum_types::{InstanceId, LogIndex, Term};

use crate::{DiskId, Membership, StateMachine};

/// Role of a replica in its current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Replicates the log without a vote.
    Learner,
    /// Replicates the log of a leader, or waits for one.
    Follower,
    /// Requests votes to become leader.
    Candidate,
    /// Accepts proposals and replicates the log to the others.
    Leader,
}

/// Status of a replica at a point in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Role in the current term.
    pub role: Role,
    /// Latest known term.
    pub term: Term,
    /// Leader of the current term, if known.
    pub leader: Option<InstanceId>,
    /// Last entry known to be committed.
    pub commit: LogIndex,
    /// Last entry applied to the state machine.
    pub applied: LogIndex,
    /// Whether the replica has applied, since its start, all entries that were committed when it
    /// first had contact with a leader. Until then its state may be older than before the start.
    pub is_caught_up: bool,
    /// First entry that is not compacted.
    pub first_index: LogIndex,
    /// Last entry of the log, committed or not.
    pub last_index: LogIndex,
    /// Last entry included in the newest snapshot; 0 if there is none.
    pub snapshot_index: LogIndex,
    /// Configuration in force; `None` before the bootstrap.
    pub members: Option<Membership>,
    /// Data folder of this replica.
    pub disk: DiskId,
    /// Age in milliseconds of the newest message that a quorum acknowledged; `None` unless leader.
    pub last_quorum_contact_ms: Option<u64>,
    /// Number of log file syncs since the start.
    pub syncs: u64,
    /// The replica was shut down or has failed.
    pub is_stopped: bool,
    /// Error that stopped the replica, if any.
    pub failure: Option<String>,
}

impl Status {
    /// Equality except for values that change constantly.
    pub(super) fn eq_ignoring_counters(&self, other: &Self) -> bool {
        let mut other = other.clone();
        other.last_quorum_contact_ms = self.last_quorum_contact_ms;
        other.syncs = self.syncs;
        *self == other
    }
}

/// Committed commands after an index, or a snapshot that replaces them.
#[derive(Clone, Debug)]
pub enum CommittedTail<S: StateMachine> {
    /// Commands in log order.
    Entries {
        /// Commands with their indexes; entries without a command are omitted.
        entries: Vec<(LogIndex, S::Command)>,
        /// Index up to which the commands are complete.
        last: LogIndex,
    },
    /// Entries after the index are already compacted.
    Snapshot {
        /// Last entry included in the snapshot.
        index: LogIndex,
        /// Input of `StateMachine::restore`.
        bytes: bytes::Bytes,
    },
}
