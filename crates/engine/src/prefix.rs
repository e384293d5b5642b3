//! Hashes of prompt prefixes, by which cache events name what an engine holds.

use shallotdrum_types::AdapterRef;

use crate::PrefixHash;

/// Bytes of rendered prompt in one block; about 64 tokens, a usual multiple of KV cache blocks.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Hashes of all prefixes of a prompt that consist of whole blocks, shortest first.
///
/// The hash of a prefix covers the adapter, because the KV cache depends on it, and each hash
/// covers the one before it.
pub fn prefix_hashes(adapter: &AdapterRef, prompt: &str) -> Vec<PrefixHash> {
    let mut previous = short_hash(&[adapter.to_string().as_bytes()]);
    prompt
        .as_bytes()
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .map(|block| {
            previous = short_hash(&[&previous.to_le_bytes(), block]);
            PrefixHash(previous)
        })
        .collect()
}

/// First 8 bytes of the BLAKE3 hash, little-endian.
fn short_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
