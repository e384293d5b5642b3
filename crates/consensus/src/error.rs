//! Errors returned by a node.

use std::{io, path::PathBuf, time::Duration};

use shallotdrum_types::{InstanceId, LogIndex};

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A file operation failed.
    #[error("cannot {action} `{path}`: {source}")]
    Io {
        /// Verb phrase that completes "cannot ...".
        action: &'static str,
        /// File or folder that the operation was on.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is damaged.
    #[error(
        "`{path}` is damaged at byte {offset}: {reason}; restore the file, or set the damaged log \
         aside and fetch the state from the other replicas"
    )]
    Corrupt {
        /// Damaged file.
        path: PathBuf,
        /// Offset of the first unreadable record; 0 if the file as a whole is unusable.
        offset: u64,
        /// What is wrong with the file.
        reason: &'static str,
    },
    /// Another process uses the data folder.
    #[error("data folder `{path}` is in use by another process; stop that process first")]
    Locked {
        /// Data folder that is locked.
        path: PathBuf,
    },
    /// The state machine rejected the stored snapshot.
    #[error("snapshot `{path}` cannot be decoded: {source}")]
    Restore {
        /// Data folder that contains the snapshot.
        path: PathBuf,
        /// Error of `StateMachine::restore`.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The settings contradict each other.
    #[error("invalid settings: {reason}")]
    Settings {
        /// Rule that the settings break.
        reason: &'static str,
    },
    /// The task that loads the data folder panicked or was cancelled.
    #[error("loading `{path}` was interrupted")]
    Interrupted {
        /// Data folder that was being loaded.
        path: PathBuf,
    },
}

impl StartError {
    pub(crate) fn io(action: &'static str, path: impl Into<PathBuf>, source: io::Error) -> Self {
        Self::Io { action, path: path.into(), source }
    }
}

/// Why a proposed command has no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica isn't the leader; the command was not written.
    #[error("not the leader; the command was not written (leader: {})", leader_name(.leader))]
    NotLeader {
        /// Current leader, if known.
        leader: Option<InstanceId>,
    },
    /// Leadership was lost before the command was committed; it may or may not take effect.
    #[error("leadership was lost; the command may or may not take effect")]
    Unknown,
    /// The node is stopped; the command was not written.
    #[error("the replica is stopped; the command was not written")]
    Stopped,
    /// Earlier commands would hold it up for longer than its proposer waits; it was not written.
    #[error("earlier commands take {} ms to apply; the command was not written", .wait.as_millis())]
    Overloaded {
        /// Expected time until the command would be applied.
        wait: Duration,
    },
    /// The command exceeds the size limit; it was not written.
    #[error("command of {bytes} bytes exceeds the limit of {limit} bytes; it was not written")]
    TooLarge {
        /// Encoded size of the command.
        bytes: usize,
        /// Largest accepted size.
        limit: usize,
    },
}

fn leader_name(leader: &Option<InstanceId>) -> &str {
    leader.as_ref().map_or("unknown", InstanceId::as_str)
}

/// Why a membership change did not complete.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// This replica isn't the leader; nothing was changed.
    #[error("not the leader; the membership was not changed (leader: {})", leader_name(.leader))]
    NotLeader {
        /// Current leader, if known.
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
    /// The instance is the only voting member and can't be removed.
    #[error("instance {id} is the only voting member; add another one first")]
    LastVoter {
        /// Instance to remove.
        id: InstanceId,
    },
    /// The instance to add did not respond to a probe as expected.
    #[error("instance {id} cannot be added: {reason}")]
    Unreachable {
        /// Instance to add.
        id: InstanceId,
        /// Transport error, or why the response was not accepted.
        reason: String,
    },
    /// Leadership was lost during the change, which may complete under the next leader.
    #[error("leadership was lost; the change may or may not complete")]
    Unknown,
    /// The node is stopped; the change may complete under another leader.
    #[error("the replica is stopped")]
    Stopped,
}

/// Why a running node can't continue; the process should exit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FatalError {
    /// Writing or syncing failed.
    #[error("cannot {action} `{path}`: {reason}; free or replace the disk and restart")]
    Storage {
        /// Verb phrase that completes "cannot ...".
        action: &'static str,
        /// File or folder that was written to.
        path: PathBuf,
        /// Error of the operating system.
        reason: String,
    },
    /// A task of the node panicked, possibly in code of the state machine.
    #[error("task `{task}` of the replica panicked; report the bug and restart")]
    Panicked {
        /// Name of the task.
        task: &'static str,
    },
    /// A committed command or a received snapshot can't be decoded.
    #[error("cannot decode {what} at index {index}: {reason}; install a compatible release")]
    Decode {
        /// `command` or `snapshot`.
        what: &'static str,
        /// Log index of the command or the snapshot.
        index: LogIndex,
        /// Error of the state machine's decoder.
        reason: String,
    },
}
