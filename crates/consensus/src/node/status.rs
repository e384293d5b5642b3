//! What a node tells about itself.

use serde::Serialize;
use shallotdrum_types::{InstanceId, LogIndex, Term};

use crate::{DiskId, Membership, StateMachine};

/// Role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Not a voter: learns the log only.
    Learner,
    /// Follows the leader.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Accepts commands.
    Leader,
}

/// Status of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Role in the term.
    pub role: Role,
    /// Newest term known.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<InstanceId>,
    /// Last entry known to be committed.
    pub commit: LogIndex,
    /// Last entry applied to the state machine.
    pub applied: LogIndex,
    /// Whether it has applied, since its start, all that was committed when it first heard of a
    /// leader. Until then its state may be older than what it had applied before the start.
    pub is_caught_up: bool,
    /// First entry that the log still holds.
    pub first_index: LogIndex,
    /// Last entry of the log, committed or not.
    pub last_index: LogIndex,
    /// Newest snapshot.
    pub snapshot_index: LogIndex,
    /// Newest configuration, if any is known.
    pub members: Option<Membership>,
    /// Data folder of this replica.
    pub disk: DiskId,
    /// Leader only: milliseconds since a quorum was last known to follow.
    pub last_quorum_contact_ms: Option<u64>,
    /// Syncs of the log file since the start.
    pub syncs: u64,
    /// The replica was shut down or has failed.
    pub is_stopped: bool,
    /// Why the replica stopped acknowledging, if it did.
    pub failure: Option<String>,
}

impl Status {
    /// Whether the other status differs only in figures that change all the time.
    pub(super) fn is_same_progress(&self, other: &Self) -> bool {
        let mut other = other.clone();
        other.last_quorum_contact_ms = self.last_quorum_contact_ms;
        other.syncs = self.syncs;
        *self == other
    }
}

/// Committed commands after an index.
#[derive(Clone, Debug)]
pub enum CommittedTail<S: StateMachine> {
    /// The commands, in order.
    Entries {
        /// Commands with their indexes; entries without a command are left out.
        entries: Vec<(LogIndex, S::Command)>,
        /// Index that is reached when all of them are applied.
        last: LogIndex,
    },
    /// The log doesn't reach back that far.
    Snapshot {
        /// Index of the snapshot.
        index: LogIndex,
        /// State for `StateMachine::restore`.
        bytes: bytes::Bytes,
    },
}
