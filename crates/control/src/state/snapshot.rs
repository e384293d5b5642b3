//! Snapshot encoding: compressed JSON.
//!
//! With a thousand routes, the JSON takes 0.7 MB and consists mostly of repeated names. Followers
//! fetch it over links of 10 Mbit/s that also carry requests.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use shallotdrum_types::{ControlFormat, LogIndex};

use crate::NEWEST_FORMAT;

use super::{ControlState, SharedState, ledger::Ledger};

/// Version of the snapshot format; snapshots of other versions are rejected.
const VERSION: u32 = 1;

/// Compression level. The fastest one, since a replica encodes the state again for each change
/// that a follower has missed.
const COMPRESSION_LEVEL: i32 = 1;

/// Magic number of a zstd frame. Previous releases wrote uncompressed JSON.
const COMPRESSED_MAGIC: [u8; 4] = [0x28, 0xb5, 0x2f, 0xfd];

/// Why a command or a snapshot cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not the expected JSON: they are corrupt or from a newer version.
    #[error("cannot decode a control command or snapshot: {0}")]
    Json(#[from] serde_json::Error),
    /// The compressed snapshot is corrupt.
    #[error("cannot decompress a control snapshot: {0}")]
    Compression(#[from] std::io::Error),
    /// The snapshot has another format version.
    #[error("unsupported control snapshot version {0}; expected version {VERSION}")]
    Version(u32),
    /// All instances had agreed on a format that this release cannot read.
    #[error(
        "the control log has format {0}, and this release reads up to {NEWEST_FORMAT}; install the \
         release that was running before"
    )]
    Format(ControlFormat),
}

#[derive(Serialize)]
struct EncodedState<'a> {
    version: u32,
    applied: LogIndex,
    shared: &'a SharedState,
    ledger: Option<&'a Ledger>,
}

#[derive(Deserialize)]
struct Header {
    version: u32,
}

#[derive(Deserialize)]
struct DecodedState {
    applied: LogIndex,
    shared: SharedState,
    ledger: Option<Ledger>,
}

impl ControlState {
    /// Encodes the complete state, for replicas.
    pub fn snapshot(&self) -> Vec<u8> {
        self.encode(Some(&self.ledger))
    }

    /// Encodes the state without the ledger, for followers.
    pub fn snapshot_without_ledger(&self) -> Vec<u8> {
        self.encode(None)
    }

    /// Copies the part of the state that followers have.
    pub(crate) fn without_ledger(&self) -> Self {
        Self { applied: self.applied, shared: self.shared.clone(), ledger: Ledger::default() }
    }

    /// Decodes a snapshot with or without the ledger.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, DecodeError> {
        let json = match bytes.starts_with(&COMPRESSED_MAGIC) {
            true => Cow::Owned(zstd::decode_all(bytes)?),
            false => Cow::Borrowed(bytes),
        };
        let header: Header = serde_json::from_slice(&json)?;
        if header.version != VERSION {
            return Err(DecodeError::Version(header.version));
        }
        let mut loaded: DecodedState = serde_json::from_slice(&json)?;
        if loaded.shared.format.0 > NEWEST_FORMAT {
            return Err(DecodeError::Format(loaded.shared.format.0));
        }
        loaded.shared.manifests.rebuild_key_index();
        loaded.shared.suspects.rebuild_index();
        Ok(Self {
            applied: loaded.applied,
            shared: loaded.shared,
            ledger: loaded.ledger.unwrap_or_default(),
        })
    }

    fn encode(&self, ledger: Option<&Ledger>) -> Vec<u8> {
        let saved =
            EncodedState { version: VERSION, applied: self.applied, shared: &self.shared, ledger };
        // Encoding cannot fail: the keys of all maps are strings or numbers.
        let json = serde_json::to_vec(&saved).expect("the control state is representable as JSON");
        // In-memory compression at a valid level fails only if memory is exhausted.
        zstd::bulk::compress(&json, COMPRESSION_LEVEL).expect("the state can be compressed")
    }
}
