//! 256-bit hashes of contents, request bodies and subscriber keys.

use crate::define::hash_type;

hash_type! {
    /// Hash of a manifest in canonical form.
    pub struct Digest;
}

hash_type! {
    /// Hash that identifies a request by subscriber, destination and body.
    pub struct Fingerprint;
}

hash_type! {
    /// Hash of a subscriber's bearer key; the key itself is never stored.
    pub struct KeyHash;
}

/// Text that is not 64 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid {kind} `{value}`: expected 64 hexadecimal digits")]
pub struct ParseHashError {
    /// Type that was parsed.
    pub kind: &'static str,
    /// Text that was given.
    pub value: String,
}
