//! Hashes of prompt prefixes, which identify the entries of an engine's prefix cache.

use shallotdrum_types::AdapterRef;

use crate::PrefixHash;

/// Block size in bytes of the rendered prompt; about 64 tokens, a common multiple of KV cache block
/// sizes.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Hashes of all prefixes of a prompt that consist of whole blocks, shortest first.
///
/// The adapter is part of every hash, because the KV cache depends on it. Each hash covers the
/// previous one.
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
