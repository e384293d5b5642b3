//! Messages with which an entry asks a group's owner for a place at a target.
//!
//! The entry sends the request to the target itself, so its bytes cross the network once and an
//! answer outlasts the owner.

use serde::{Deserialize, Serialize};
use shallotdrum_engine::{GrantedPlace, Need};
use shallotdrum_types::{GroupId, RequestError, RequestId, SessionId, SubscriberId, TargetId};

/// Asks for a place at a target of a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// Session of the entry; its places end with it.
    pub session: SessionId,
    /// Request, for the log.
    pub request: RequestId,
    /// Number of the place, unique within the session.
    pub place: u64,
    /// Group that the request goes to.
    pub group: GroupId,
    /// Whom the request is charged to.
    pub subscriber: SubscriberId,
    /// What the request needs.
    pub need: Need,
    /// Time left for the whole answer, in milliseconds.
    pub left_ms: u64,
    /// Targets on which the request failed before.
    pub avoid: Vec<TargetId>,
}

/// Answer to a `PlaceRequest`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum PlaceReply {
    /// The request may be sent to this target.
    Granted(GrantedPlace),
    /// The request has no place; it was not sent anywhere.
    Refused {
        /// Why.
        error: RequestError,
    },
}

/// End of a place.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EndedPlace {
    /// Number of the place.
    pub place: u64,
    /// How the request ended.
    pub end: PlaceEnd,
}

/// How a request that had a place ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlaceEnd {
    /// The whole answer was received.
    Answered {
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens of the answer.
        completion_tokens: u64,
    },
    /// The target failed or its answer ended early.
    Failed,
    /// The caller no longer wants the answer.
    Cancelled,
    /// The target refused the request without running it.
    Refused,
}
