//! Encoding of the whole state: JSON, compressed.
//!
//! With a thousand routes the JSON takes 0.7 MB, mostly repeated names. Followers fetch it over
//! links of 10 Mbit/s that also carry requests.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use shallotdrum_types::LogIndex;

use super::{ControlState, Shared, ledger::Ledger};

/// Version of the encoding; another version is refused instead of being misread.
const VERSION: u32 = 1;

/// Compression level: the fastest, since a replica encodes the state after each change that a
/// follower has missed.
const COMPRESSION_LEVEL: i32 = 1;

/// First bytes of a compressed snapshot; earlier releases wrote plain JSON.
const COMPRESSED_MAGIC: [u8; 4] = [0x28, 0xb5, 0x2f, 0xfd];

/// Why bytes are not a command or a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not the expected JSON; they are damaged or from a newer version.
    #[error("cannot decode a control command or snapshot: {0}")]
    Json(#[from] serde_json::Error),
    /// The snapshot is damaged.
    #[error("cannot decompress a control snapshot: {0}")]
    Compression(#[from] std::io::Error),
    /// The snapshot was written by another version.
    #[error("cannot read a control snapshot of version {0}; this program reads version {VERSION}")]
    Version(u32),
}

#[derive(Serialize)]
struct Saved<'a> {
    version: u32,
    applied: LogIndex,
    shared: &'a Shared,
    ledger: Option<&'a Ledger>,
}

#[derive(Deserialize)]
struct Header {
    version: u32,
}

#[derive(Deserialize)]
struct Loaded {
    applied: LogIndex,
    shared: Shared,
    ledger: Option<Ledger>,
}

impl ControlState {
    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        self.encode(Some(&self.ledger))
    }

    /// Encodes the state for a follower.
    pub fn snapshot_without_ledger(&self) -> Vec<u8> {
        self.encode(None)
    }

    /// Copies what followers have.
    pub(crate) fn without_ledger(&self) -> Self {
        Self { applied: self.applied, shared: self.shared.clone(), ledger: Ledger::default() }
    }

    /// Decodes a snapshot of either kind.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, DecodeError> {
        let json = match bytes.starts_with(&COMPRESSED_MAGIC) {
            true => Cow::Owned(zstd::decode_all(bytes)?),
            false => Cow::Borrowed(bytes),
        };
        let header: Header = serde_json::from_slice(&json)?;
        if header.version != VERSION {
            return Err(DecodeError::Version(header.version));
        }
        let mut loaded: Loaded = serde_json::from_slice(&json)?;
        loaded.shared.manifests.rebuild();
        Ok(Self {
            applied: loaded.applied,
            shared: loaded.shared,
            ledger: loaded.ledger.unwrap_or_default(),
        })
    }

    fn encode(&self, ledger: Option<&Ledger>) -> Vec<u8> {
        let saved = Saved { version: VERSION, applied: self.applied, shared: &self.shared, ledger };
        // Keys of all maps are strings or numbers, so the encoding can't fail.
        let json = serde_json::to_vec(&saved).expect("the control state is representable as JSON");
        // In memory, with a level that exists, compression fails only for lack of memory.
        zstd::bulk::compress(&json, COMPRESSION_LEVEL).expect("the state can be compressed")
    }
}
