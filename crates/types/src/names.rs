//! Names of subscribers, adapters, targets and locations.
//!
//! Architecture Invariant: a name has 1 to 128 characters from `A-Z a-z 0-9 . _ -`, so it needs no
//! escaping in a URL path, a header, a metric label or a log line.

use crate::define::name_type;

/// Maximum length of a name, in bytes; bounds the state kept for each of 75,000 adapters.
const MAX_NAME_LEN: usize = 128;

name_type! {
    /// Name of an instance; unique within a deployment and stable across restarts.
    pub struct InstanceId;
}

name_type! {
    /// Name of an availability zone of a region.
    pub struct AvailabilityZone;
}

name_type! {
    /// Name of a region, which consists of availability zones.
    pub struct Region;
}

name_type! {
    /// Name of a subscriber; unique within the manifest.
    pub struct SubscriberId;
}

name_type! {
    /// Name of a customer; unique within a route table.
    pub struct CustomerName;
}

name_type! {
    /// Name of a LoRA adapter; unique across all base models.
    pub struct AdapterId;
}

name_type! {
    /// Name of a version; unique within its adapter.
    pub struct AdapterVersion;
}

name_type! {
    /// Name of a base model, the first part of a model name.
    pub struct BaseModelId;
}

name_type! {
    /// Name of a pool of interchangeable targets.
    pub struct PoolId;
}

name_type! {
    /// Name of a version of the software that a target runs.
    pub struct SoftwareVersion;
}

name_type! {
    /// Name of a target; stable across restarts.
    pub struct TargetId;
}

name_type! {
    /// Name of a plain HTTP service, as opposed to a model.
    pub struct ServiceId;
}

name_type! {
    /// Identifies a caller's request across instances and log lines.
    pub struct RequestId;
}

name_type! {
    /// Identifies a manifest submission; a retry uses the same identifier.
    pub struct SubmissionId;
}

name_type! {
    /// Key of a non-repeatable call, chosen by the subscriber.
    pub struct IdempotencyKey;
}

/// Error for text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid {kind} `{value}`: expected 1 to 128 characters from A-Z a-z 0-9 . _ -")]
pub struct ParseNameError {
    /// Name of the expected type.
    pub kind: &'static str,
    /// The rejected text, truncated to 128 characters.
    pub value: String,
}

/// Validates a name; `kind` is the type to report in the error.
pub(crate) fn check_name(kind: &'static str, s: &str) -> Result<(), ParseNameError> {
    let is_valid = !s.is_empty()
        && s.len() <= MAX_NAME_LEN
        && s.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-'));
    if is_valid {
        return Ok(());
    }
    Err(ParseNameError { kind, value: s.chars().take(MAX_NAME_LEN).collect() })
}
