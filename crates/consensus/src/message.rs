//! Messages between replicas.
//!
//! Architecture Invariant: a message names the folder that it is meant for. A replica whose
//! folder was replaced refuses it, and its answer tells the sender the new folder.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use shallotdrum_types::{InstanceId, LogIndex, Term};

use crate::{
    ClusterId, DiskId, Member, Membership,
    log::{Entry, MAX_COMMAND_BYTES, Payload},
};

/// Largest message: one command of full size, or a batch of small ones, and its envelope.
const MAX_MESSAGE_BYTES: usize = MAX_COMMAND_BYTES + (1 << 20);

/// Entries are sent in batches of about this size, which take a few milliseconds to sync.
pub(crate) const APPEND_BATCH_BYTES: usize = 512 << 10;

/// Snapshots are sent in chunks of this size, so that a chunk is no longer than a heartbeat.
pub(crate) const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;

/// Largest snapshot accepted; far above the control state at design size.
pub(crate) const MAX_SNAPSHOT_BYTES: u64 = 1 << 30;

/// Terms above are refused: a term near the largest number would end all elections.
pub(crate) const MAX_TERM: Term = Term(1 << 56);

/// A message to a replica.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Envelope {
    pub(crate) from: Member,
    pub(crate) to: InstanceId,
    /// Folder of the receiver; absent when the sender doesn't know it.
    pub(crate) to_disk: Option<DiskId>,
    /// Cluster of the sender; absent before the bootstrap.
    pub(crate) cluster: Option<ClusterId>,
    pub(crate) request: Request,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Request {
    /// Asks for the receiver's folder and state.
    Probe { initial_members: Vec<InstanceId> },
    /// Asks for a vote, or whether a vote would be given.
    Vote(VoteRequest),
    /// Replicates entries; without entries, a heartbeat.
    Append(AppendRequest),
    /// Transfers a part of a snapshot.
    Chunk(ChunkRequest),
    /// Asks the receiver to campaign at once, because the leader is about to stop.
    Campaign { term: Term },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct VoteRequest {
    pub(crate) term: Term,
    pub(crate) last: LogIndex,
    pub(crate) last_term: Term,
    /// Only asks; changes nothing at the receiver.
    pub(crate) is_trial: bool,
    /// The current leader asked for this election.
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

/// Answer to a message.
#[derive(Debug, Serialize, Deserialize)]
pub struct Answer {
    /// Replica that answers; absent when it couldn't even read the message.
    pub from: Option<Member>,
    /// Its term.
    pub term: Term,
    pub(crate) response: Result<Response, Refusal>,
}

impl Answer {
    /// Decodes an answer of `Node::handle`.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        decode(bytes)
    }

    /// Why the message was refused, if it was.
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
    /// Entries up to the index are stored and equal the leader's.
    Matched {
        index: LogIndex,
    },
    /// The entry before the sent ones differs; the leader should go back to `next`.
    Mismatch {
        next: LogIndex,
    },
    /// Bytes of the snapshot received so far.
    Received {
        offset: u64,
    },
    /// The snapshot, or something newer, is stored.
    Installed,
    Campaigning,
}

/// Why a message was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The message can't be decoded or contradicts itself.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The message is for another instance.
    #[error("message for instance {0}")]
    WrongInstance(InstanceId),
    /// The message is for another folder of this instance.
    #[error("message for another data folder of this instance")]
    WrongDisk,
    /// The sender belongs to another cluster.
    #[error("sender belongs to another cluster")]
    WrongCluster,
    /// The sender's term is over.
    #[error("sender's term is over")]
    StaleTerm,
    /// The message contradicts committed entries; this replica was not changed.
    #[error("message contradicts the committed log")]
    Conflict,
    /// The replica is stopped or its disk failed.
    #[error("replica is stopped")]
    Stopped,
}

/// Bytes that aren't a valid message.
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
    /// The bytes don't follow the format.
    #[error("message does not follow the format: {0}")]
    Format(postcard::Error),
    /// Bytes follow the end of the message.
    #[error("{0} bytes follow the message")]
    Trailing(usize),
    /// The fields contradict each other.
    #[error("invalid message: {0}")]
    Invalid(&'static str),
}

pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Encoding into a growing buffer fails only for types that the message types don't contain.
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
    /// Decodes a message and checks what doesn't depend on the receiver's state.
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
            return Err(DecodeError::Invalid("impossible term"));
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
                return Err(DecodeError::Invalid("terms of the entries are not ascending"));
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
            return Err(DecodeError::Invalid("snapshot without voters or from a later term"));
        }
        Ok(())
    }
}

/// Milliseconds, saturating.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
