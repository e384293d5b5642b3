//! 256-bit hashes of manifests, requests and API keys.

use crate::define::hash_type;

hash_type! {
    /// Hash of a manifest's canonical JSON.
    pub struct Digest;
}

hash_type! {
    /// Hash of a request's subscriber, destination and body; equal for identical requests.
    pub struct Fingerprint;
}

hash_type! {
    /// Hash of a subscriber's API key; the key itself is never stored.
    pub struct KeyHash;
}

/// Error for text that is not 64 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid {kind} `{value}`: expected 64 hexadecimal digits")]
pub struct ParseHashError {
    /// Name of the expected type.
    pub kind: &'static str,
    /// The rejected text.
    pub value: String,
}
