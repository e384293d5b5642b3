//! Errors of the node.

use std::{io, path::PathBuf};

use shallotdrum_types::{InstanceId, LogIndex};

/// The node could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A file operation failed.
    #[error("cannot {action} `{path}`: {source}")]
    Io {
        /// What was attempted.
        action: &'static str,
        /// File or folder.
        path: PathBuf,
        /// Cause reported by the system.
        source: io::Error,
    },
    /// A file is damaged.
    #[error(
        "`{path}` is damaged at byte {offset}: {reason}; restore the file, or start with the \
         damaged log set aside to learn the state from the other replicas"
    )]
    Corrupt {
        /// Damaged file.
        path: PathBuf,
        /// Position of the first unreadable byte.
        offset: u64,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// Another process uses the data folder.
    #[error("data folder `{path}` is in use by another process; stop that process first")]
    Locked {
        /// Data folder.
        path: PathBuf,
    },
    /// The state machine rejected the stored snapshot.
    #[error("snapshot `{path}` cannot be decoded: {source}")]
    Restore {
        /// Snapshot file.
        path: PathBuf,
        /// Cause reported by the state machine.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The settings contradict each other.
    #[error("invalid settings: {reason}")]
    Settings {
        /// What to change.
        reason: &'static str,
    },
    /// The loading task ended early.
    #[error("loading `{path}` was interrupted")]
    Interrupted {
        /// Data folder.
        path: PathBuf,
    },
}

impl StartError {
    pub(crate) fn io(action: &'static str, path: impl Into<PathBuf>, source: io::Error) -> Self {
        Self::Io { action, path: path.into(), source }
    }
}

/// A command was not, or perhaps not, accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica isn't the leader; the command was certainly not written.
    #[error("not the leader; the command was not written (leader: {})", show(.leader))]
    NotLeader {
        /// Leader as far as known.
        leader: Option<InstanceId>,
    },
    /// The command may or may not take effect.
    #[error("leadership was lost; the command may or may not take effect")]
    Unknown,
    /// The node is stopped; the command was certainly not written.
    #[error("the replica is stopped; the command was not written")]
    Stopped,
    /// The command exceeds the size limit; it was certainly not written.
    #[error("command of {bytes} bytes exceeds the limit of {limit} bytes; it was not written")]
    TooLarge {
        /// Encoded size.
        bytes: usize,
        /// Largest accepted size.
        limit: usize,
    },
}

fn show(leader: &Option<InstanceId>) -> &str {
    leader.as_ref().map_or("unknown", InstanceId::as_str)
}

/// A membership change was not, or perhaps not, made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// This replica isn't the leader; nothing was changed.
    #[error("not the leader; the membership was not changed (leader: {})", show(.leader))]
    NotLeader {
        /// Leader as far as known.
        leader: Option<InstanceId>,
    },
    /// Another change is in progress; nothing was changed.
    #[error("another membership change is in progress; retry when it is done")]
    InProgress,
    /// The instance is already a voting member.
    #[error("instance {id} is already a member")]
    AlreadyMember {
        /// Instance to add.
        id: InstanceId,
    },
    /// The instance isn't a member.
    #[error("instance {id} is not a member")]
    NotMember {
        /// Instance to remove.
        id: InstanceId,
    },
    /// Removal of the only voting member.
    #[error("instance {id} is the only voting member; add another one first")]
    LastVoter {
        /// Instance to remove.
        id: InstanceId,
    },
    /// The instance to add gave no usable answer.
    #[error("instance {id} cannot be added: {reason}")]
    Unreachable {
        /// Instance to add.
        id: InstanceId,
        /// What its answer was.
        reason: String,
    },
    /// Leadership was lost during the change, which may complete under the next leader.
    #[error("leadership was lost; the change may or may not complete")]
    Unknown,
    /// The node is stopped.
    #[error("the replica is stopped")]
    Stopped,
}

/// The node can't continue; the process should exit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FatalError {
    /// Writing or syncing failed.
    #[error("cannot {action} `{path}`: {reason}; free or replace the disk and restart")]
    Storage {
        /// What was attempted.
        action: &'static str,
        /// File.
        path: PathBuf,
        /// Cause reported by the system.
        reason: String,
    },
    /// A task of the node ended by a panic, perhaps in the state machine.
    #[error("task `{task}` of the replica panicked; report the fault and restart")]
    Panicked {
        /// Task that ended.
        task: &'static str,
    },
    /// A committed command or a received snapshot can't be decoded.
    #[error("cannot decode {what} at index {index}: {reason}; install a matching release")]
    Decode {
        /// What was decoded.
        what: &'static str,
        /// Position in the log.
        index: LogIndex,
        /// Cause reported by the state machine.
        reason: String,
    },
}
