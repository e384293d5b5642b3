//! Messages between replicas.
//!
//! Architecture Invariant: a message carries the id of the receiver's data folder. A replica whose
//! data folder was replaced refuses it, and its response tells the sender the new id.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use shallotdrum_types::{InstanceId, LogIndex, Term};

use crate::{
    ClusterId, DiskId, Member, Membership,
    log::{Entry, MAX_COMMAND_BYTES, Payload},
};

/// Largest message: a command of maximum size or a batch of small ones, plus the envelope.
const MAX_MESSAGE_BYTES: usize = MAX_COMMAND_BYTES + (1 << 20);

/// Approximate size of a batch of entries; syncing one takes a few milliseconds.
pub(crate) const APPEND_BATCH_BYTES: usize = 512 << 10;

/// Largest size of a snapshot chunk; sending one takes no longer than a heartbeat interval.
pub(crate) const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;

/// Largest accepted snapshot; far above the size of the control state at design scale.
pub(crate) const MAX_SNAPSHOT_BYTES: u64 = 1 << 30;

/// Largest accepted term. A term near `u64::MAX` could not be incremented, which would make
/// further elections impossible.
pub(crate) const MAX_TERM: Term = Term(1 << 56);

/// A request with its sender and receiver.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Envelope {
    pub(crate) from: Member,
    pub(crate) to: InstanceId,
    /// Data folder of the receiver; `None` in probes to instances whose folder isn't known.
    pub(crate) to_disk: Option<DiskId>,
    /// Cluster of the sender; `None` before its bootstrap.
    pub(crate) cluster: Option<ClusterId>,
    pub(crate) request: Request,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Request {
    /// Asks for the receiver's data folder and cluster.
    Probe { initial_members: Vec<InstanceId> },
    /// Asks for a vote or a pre-vote.
    Vote(VoteRequest),
    /// Replicates entries; a heartbeat if it has none.
    Append(AppendRequest),
    /// Transfers a chunk of a snapshot.
    Chunk(ChunkRequest),
    /// Asks the receiver to campaign immediately, to transfer the leadership to it.
    Campaign { term: Term },
}

impl Request {
    /// Approximate size of the entries or the part of a snapshot in the message.
    pub(crate) fn payload_bytes(&self) -> usize {
        match self {
            Self::Append(append) => append.entries.iter().map(|entry| entry.approx_size()).sum(),
            Self::Chunk(chunk) => chunk.data.len(),
            Self::Probe { .. } | Self::Vote(_) | Self::Campaign { .. } => 0,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct VoteRequest {
    pub(crate) term: Term,
    pub(crate) last: LogIndex,
    pub(crate) last_term: Term,
    /// Pre-vote: asks whether a vote would be granted and changes nothing at the receiver.
    pub(crate) is_trial: bool,
    /// The leader requested this election to transfer its leadership.
    pub(crate) is_transfer: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct AppendRequest {
    pub(crate) term: Term,
    pub(crate) prev: LogIndex,
    pub(crate) prev_term: Term,
    pub(crate) commit: LogIndex,
    pub(crate) entries: Vec<Arc<Entry>>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ChunkRequest {
    pub(crate) term: Term,
    pub(crate) index: LogIndex,
    pub(crate) index_term: Term,
    pub(crate) membership: Membership,
    pub(crate) total_bytes: u64,
    pub(crate) checksum: u32,
    pub(crate) offset: u64,
    pub(crate) data: Bytes,
}

/// Response to a message, with the replica that sent it.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResponseEnvelope {
    /// Replica that responds; `None` if it could not read the message.
    pub from: Option<Member>,
    /// Current term of that replica.
    pub term: Term,
    pub(crate) response: Result<Response, Refusal>,
}

impl ResponseEnvelope {
    /// Decodes a result of `Node::handle`.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        decode(bytes)
    }

    /// Reason of a refusal; `None` if the message was accepted.
    pub fn refusal(&self) -> Option<&Refusal> {
        self.response.as_ref().err()
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Response {
    Probe {
        is_fresh: bool,
        cluster: Option<ClusterId>,
    },
    Vote {
        is_granted: bool,
    },
    /// The log is durable up to the index and matches the leader's.
    Matched {
        index: LogIndex,
    },
    /// The log doesn't contain the entry at `prev`; the leader should retry from `next`.
    Mismatch {
        next: LogIndex,
    },
    /// Number of snapshot bytes received so far.
    Received {
        offset: u64,
    },
    /// The snapshot, or a newer state, is durable.
    Installed,
    Campaigning,
}

/// Why a message was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The message can't be decoded or contradicts itself.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The message is addressed to another instance.
    #[error("message is addressed to instance {0}")]
    WrongInstance(InstanceId),
    /// The message is addressed to another data folder of this instance.
    #[error("message is addressed to another data folder of this instance")]
    WrongDisk,
    /// The sender belongs to another cluster.
    #[error("sender belongs to another cluster")]
    WrongCluster,
    /// A later term has started.
    #[error("sender's term is stale")]
    StaleTerm,
    /// The message conflicts with committed entries or names a second leader of the term; the log
    /// was not changed.
    #[error("message conflicts with the committed log or the leader of the term")]
    Conflict,
    /// The replica is stopped or its disk failed.
    #[error("replica is stopped")]
    Stopped,
}

/// Why bytes are not a valid message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message is larger than the limit.
    #[error("message of {bytes} bytes exceeds the limit of {limit} bytes")]
    TooLarge {
        /// Size of the message.
        bytes: usize,
        /// Largest accepted size.
        limit: usize,
    },
    /// The bytes can't be deserialized.
    #[error("message cannot be deserialized: {0}")]
    Format(postcard::Error),
    /// The message ends before the bytes do.
    #[error("{0} unexpected bytes after the message")]
    Trailing(usize),
    /// The fields contradict each other.
    #[error("invalid message: {0}")]
    Invalid(&'static str),
}

pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Encoding into a growing buffer fails only for types that messages don't contain.
    postcard::to_stdvec(message).expect("message types are encodable")
}

pub(crate) fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, DecodeError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLarge { bytes: bytes.len(), limit: MAX_MESSAGE_BYTES });
    }
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok((_, rest)) => Err(DecodeError::Trailing(rest.len())),
        Err(e) => Err(DecodeError::Format(e)),
    }
}

impl Envelope {
    /// Decodes a message and validates everything that doesn't depend on the receiver's state.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let envelope: Self = decode(bytes)?;
        let term = match &envelope.request {
            Request::Probe { .. } => Term(0),
            Request::Vote(vote) => vote.term,
            Request::Append(append) => append.term,
            Request::Chunk(chunk) => chunk.term,
            Request::Campaign { term } => *term,
        };
        if term > MAX_TERM {
            return Err(DecodeError::Invalid("term exceeds the maximum"));
        }
        match &envelope.request {
            Request::Append(append) => append.check()?,
            Request::Chunk(chunk) => chunk.check()?,
            Request::Probe { .. } | Request::Vote(_) | Request::Campaign { .. } => (),
        }
        Ok(envelope)
    }
}

impl AppendRequest {
    fn check(&self) -> Result<(), DecodeError> {
        let (mut index, mut term) = (self.prev, self.prev_term);
        for entry in &self.entries {
            if index.0.checked_add(1) != Some(entry.index.0) {
                return Err(DecodeError::Invalid("entries are not contiguous"));
            }
            if entry.term < term || entry.term > self.term {
                return Err(DecodeError::Invalid(
                    "terms of the entries are out of range or decrease",
                ));
            }
            match &entry.payload {
                Payload::Command(bytes) if bytes.len() > MAX_COMMAND_BYTES => {
                    return Err(DecodeError::Invalid("command exceeds the size limit"));
                }
                Payload::Membership(m) if m.voters.is_empty() => {
                    return Err(DecodeError::Invalid("membership without voters"));
                }
                _ => (),
            }
            (index, term) = (entry.index, entry.term);
        }
        Ok(())
    }
}

impl ChunkRequest {
    fn check(&self) -> Result<(), DecodeError> {
        let end = self.offset.checked_add(self.data.len() as u64);
        if self.total_bytes > MAX_SNAPSHOT_BYTES || end.is_none_or(|end| end > self.total_bytes) {
            return Err(DecodeError::Invalid("snapshot chunk exceeds the snapshot"));
        }
        if self.data.len() > SNAPSHOT_CHUNK_BYTES {
            return Err(DecodeError::Invalid("snapshot chunk exceeds the size limit"));
        }
        if self.membership.voters.is_empty() || self.index_term > self.term {
            return Err(DecodeError::Invalid(
                "snapshot without voters, or from a later term than the message",
            ));
        }
        Ok(())
    }
}

/// Duration in milliseconds, saturating.
pub(crate) fn millis_saturating(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
