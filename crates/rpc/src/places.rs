//! Messages with which the entry that accepted a caller's request asks the owner of a group for a
//! place: the right to send one request to a target.
//!
//! The entry sends the request to the target itself, so that the bytes cross the network once and
//! the response does not depend on the owner staying up.

use serde::{Deserialize, Serialize};
use shallotdrum_allotments::{AllotmentReply, Charge};
use shallotdrum_engine::{GrantedPlace, ObservedLimit, Requirements, TargetLoad, Urgency};
use shallotdrum_types::{
    Fingerprint, GroupId, RequestError, RequestId, SessionId, SoftwareVersion, SubscriberId,
    TargetId, Weight,
};

/// Requests a place at a target of a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// Session of the entry's instance; the places of a session are released when it ends.
    pub session: SessionId,
    /// Identifier of the caller's request, for log lines.
    pub request: RequestId,
    /// Identifier of the place, chosen by the entry and unique within the session.
    pub place: u64,
    /// Group to choose the target from.
    pub group: GroupId,
    /// Subscriber that the request is accounted to.
    pub subscriber: SubscriberId,
    /// Weight of the subscriber in fair queueing; 1 if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<Weight>,
    /// Units to take from the share of a customer's allotment that belongs to the group; without
    /// room for them no place is granted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub charge: Option<Charge>,
    /// Requirements of the request, by which the owner chooses the target.
    pub need: Requirements,
    /// Equal for repeats of the request with other ids; absent from entries of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<Fingerprint>,
    /// Equal for repeats of the request by any caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub any_caller: Option<Fingerprint>,
    /// Limits of the group's targets that the entry knows of.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<ObservedLimit>,
    /// How urgent the request is.
    #[serde(default)]
    pub urgency: Urgency,
    /// Time left until the response is late by the objective of its route, in milliseconds; absent
    /// without an objective, and from entries of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u64>,
    /// Number of groups over which the entry spreads the requests for the adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spread: Option<u32>,
    /// Time left until the request's deadline, in milliseconds.
    pub left_ms: u64,
    /// Targets on which earlier attempts failed.
    pub avoid: Vec<TargetId>,
    /// Software version of a target at which the request may run; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
}

/// Reply to a [`PlaceRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum PlaceReply {
    /// The request may be sent to this target.
    Granted(GrantedPlace),
    /// The request may be sent to this target, and is charged; only for requests with a charge.
    Charged {
        /// Granted place.
        place: GrantedPlace,
        /// Level of the bucket.
        allotment: AllotmentReply,
    },
    /// The allotment has no room, so no place was granted; only for requests with a charge.
    NoRoom {
        /// When there is room.
        allotment: AllotmentReply,
    },
    /// No place was granted, so the request must not be sent to a target.
    Refused {
        /// Reason for the refusal.
        error: RequestError,
        /// Expected wait of another request in the group, in milliseconds; absent if the owner does
        /// not say.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        group_wait_ms: Option<u64>,
    },
}

/// Reports that a place is no longer needed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EndedPlace {
    /// Identifier of the place within the session.
    pub place: u64,
    /// Result of the request.
    pub end: PlaceEnd,
    /// Time from the send to the first event of a stream, in milliseconds; absent without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_event_ms: Option<u64>,
    /// Load that the target stated in its response; absent without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<TargetLoad>,
    /// Time since `load` was received, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_age_ms: Option<u64>,
    /// Number of events of a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub events: Option<u64>,
    /// Time from the first event of a stream to the last one, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_ms: Option<u64>,
    /// Time from the grant to the end of the request, in milliseconds; absent from entries of earlier
    /// releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub used_ms: Option<u64>,
    /// Whether the target refused the request because it has no room for another.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_no_room: bool,
}

impl EndedPlace {
    /// Report for a place whose request is no longer needed.
    pub fn cancelled(place: u64) -> Self {
        Self {
            place,
            end: PlaceEnd::Cancelled,
            first_event_ms: None,
            load: None,
            load_age_ms: None,
            events: None,
            stream_ms: None,
            used_ms: None,
            has_no_room: false,
        }
    }
}

/// Result of the request that a place was requested for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlaceEnd {
    /// The complete response was received.
    Answered {
        /// Number of tokens in the prompt.
        prompt_tokens: u64,
        /// Number of generated tokens.
        completion_tokens: u64,
    },
    /// The target failed or its response was truncated.
    Failed,
    /// The response is no longer needed.
    Cancelled,
    /// The target refused the request without executing it.
    Refused,
}
