//! Numeric identifiers, assigned by the control log or at process start.

use crate::define::id_type;

id_type! {
    /// Identifies a session of an instance; a restarted instance opens a new session.
    pub struct SessionId(u64);
}

id_type! {
    /// Identifies one run of an instance's or target's process; a restart changes it.
    pub struct Incarnation(u64);
}

id_type! {
    /// Fencing token of a group's owner; increases with each assignment.
    pub struct Epoch(u64);
}

id_type! {
    /// Revision of the manifest; 0 means that no manifest has been accepted yet.
    pub struct Revision(u64);
}

id_type! {
    /// Identifies a proposal to the control log, which may be sent several times; drawn by its sender.
    pub struct ProposalId(u64);
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
    /// Format of control commands and snapshots. Each instance states the newest one it can read, and
    /// nothing newer than what all can read is written to the control log.
    pub struct ControlFormat(u64);
}

id_type! {
    /// Identifies a permit to load an adapter from the weight store.
    pub struct PermitId(u64);
}

id_type! {
    /// Identifies a reservation of units of an allotment; unique within the session of its entry.
    pub struct ReservationId(u64);
}

id_type! {
    /// Time of the control log in milliseconds, advanced by the leader's monotonic clock.
    pub struct ControlTimeMs(u64);
}

id_type! {
    /// Identifies a request on a channel for places; unique among those of its entry to one owner.
    pub struct RequestNumber(u64);
}

id_type! {
    /// Identifies an entry's channel to an owner over all its connections; drawn by the entry.
    pub struct ChannelId(u64);
}

id_type! {
    /// Number of a connection of a channel; increases with each one that the entry opens.
    pub struct ConnectionNumber(u64);
}

/// Error for text that is not an unsigned decimal number.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid {kind} `{value}`: expected an unsigned decimal number")]
pub struct ParseIdError {
    /// Name of the expected type.
    pub kind: &'static str,
    /// The rejected text.
    pub value: String,
    /// Error of the integer parser.
    pub source: std::num::ParseIntError,
}
