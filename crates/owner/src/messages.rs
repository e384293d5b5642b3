//! Requests that an entry forwards to the owner of a target group, and the frames of the answer.

use serde::{Deserialize, Serialize};
use shallotdrum_engine::{Chunk, CompletionRequest, End};
use shallotdrum_types::{
    GroupId, IdempotencyKey, RequestError, RequestId, ServiceId, SubscriberId,
};

/// Forwarded model request: JSON body of `POST /forward/completion` on the peer data address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionCall {
    /// Group that the entry chose.
    pub group: GroupId,
    /// Subscriber that the request is charged to.
    pub subscriber: SubscriberId,
    /// Request for the engine; its `priority` is set by the owner.
    pub request: CompletionRequest,
}

/// Forwarded call of a plain service: JSON in the header `x-shallotdrum-call` of
/// `POST /forward/service`; the body is the caller's body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Group that the entry chose.
    pub group: GroupId,
    /// Identifier of the request.
    pub request: RequestId,
    /// Subscriber that the call is charged to.
    pub subscriber: SubscriberId,
    /// Service that is called.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path and query below the service, starting with `/`.
    pub path: String,
    /// Caller's headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// Time left for the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Key of a call that may not be repeated; absent if the call may be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// Frame of the answer to a forwarded model request: one JSON object a line.
///
/// Architecture Invariant: an answer is whole only if its last frame is `End`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Frame {
    /// Part of the text; offsets are contiguous.
    Chunk(Chunk),
    /// End of a whole answer.
    End(End),
    /// The request failed; nothing follows.
    Error(RequestError),
}
