//! Numeric identifiers, all assigned by the control log or at process start.

use crate::define::id_type;

id_type! {
    /// Identifies one session of an instance; a restarted instance opens a new one.
    pub struct SessionId(u64);
}

id_type! {
    /// Identifies one process start of an instance or target.
    pub struct Incarnation(u64);
}

id_type! {
    /// Fencing number of a group's ownership; rises with each assignment.
    pub struct Epoch(u64);
}

id_type! {
    /// Revision of the manifest; 0 means that none was accepted yet.
    pub struct Revision(u64);
}

id_type! {
    /// Position in the control log; the first entry has index 1.
    pub struct LogIndex(u64);
}

id_type! {
    /// Election term of the control log.
    pub struct Term(u64);
}

id_type! {
    /// Identifies one permit to load from the weight store.
    pub struct PermitId(u64);
}

id_type! {
    /// Control time in milliseconds, advanced by the leader's monotonic clock.
    pub struct ControlTimeMs(u64);
}

/// Text that is not an unsigned decimal number.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid {kind} `{value}`: expected an unsigned decimal number")]
pub struct ParseIdError {
    /// Type that was parsed.
    pub kind: &'static str,
    /// Text that was given.
    pub value: String,
    /// Cause reported by the number parser.
    pub source: std::num::ParseIntError,
}
