//! Text names of subscribers, adapters, targets and places.
//!
//! Architecture Invariant: a name has 1 to 128 characters from `A-Z a-z 0-9 . _ -`, so it can
//! stand in a URL path, a header, a metric label or a log line without escaping.

use crate::define::name_type;

/// Longest name accepted, in bytes; keeps per-adapter state small at 75,000 adapters.
const MAX_NAME_LEN: usize = 128;

name_type! {
    /// Names an instance; unique in a deployment and stable across restarts.
    pub struct InstanceId;
}

name_type! {
    /// Names an availability zone.
    pub struct AvailabilityZone;
}

name_type! {
    /// Names a region, which contains availability zones.
    pub struct Region;
}

name_type! {
    /// Names a subscriber.
    pub struct SubscriberId;
}

name_type! {
    /// Names a LoRA adapter.
    pub struct AdapterId;
}

name_type! {
    /// Names one version of an adapter.
    pub struct AdapterVersion;
}

name_type! {
    /// Names a base model.
    pub struct BaseModelId;
}

name_type! {
    /// Names a pool of interchangeable targets.
    pub struct PoolId;
}

name_type! {
    /// Names a target; stable across its restarts.
    pub struct TargetId;
}

name_type! {
    /// Names a plain service.
    pub struct ServiceId;
}

name_type! {
    /// Identifies one request of a caller.
    pub struct RequestId;
}

name_type! {
    /// Identifies one manifest submission of an operator, also when resent.
    pub struct SubmissionId;
}

name_type! {
    /// Caller's key of a call that may not be repeated.
    pub struct IdempotencyKey;
}

/// Text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid {kind} `{value}`: expected 1 to 128 characters from A-Z a-z 0-9 . _ -")]
pub struct ParseNameError {
    /// Type that was parsed.
    pub kind: &'static str,
    /// Text that was given, shortened to 128 characters.
    pub value: String,
}

/// Checks that the text is a valid name of the given kind.
pub(crate) fn check_name(kind: &'static str, s: &str) -> Result<(), ParseNameError> {
    let is_valid = !s.is_empty()
        && s.len() <= MAX_NAME_LEN
        && s.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-'));
    if is_valid {
        return Ok(());
    }
    Err(ParseNameError { kind, value: s.chars().take(MAX_NAME_LEN).collect() })
}
