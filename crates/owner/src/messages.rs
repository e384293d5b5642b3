//! Messages between an entry and the owner of a target group.

use serde::{Deserialize, Serialize};
use shallotdrum_engine::{Chunk, CompletionRequest, End};
use shallotdrum_types::{
    GroupId, IdempotencyKey, RequestError, RequestId, ServiceId, SubscriberId,
};

/// Forwarded model request: JSON body of `POST /forward/completion` on the peer data address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionCall {
    /// Target group selected by the entry.
    pub group: GroupId,
    /// Subscriber whose limits and fair share apply.
    pub subscriber: SubscriberId,
    /// Request for the engine; its `priority` is set by the owner.
    pub request: CompletionRequest,
}

/// Forwarded call to a plain service: JSON in the header `x-shallotdrum-call` of
/// `POST /forward/service`; the HTTP body is that of the caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Target group selected by the entry.
    pub group: GroupId,
    /// Identifier of the call; passed on to the target.
    pub request: RequestId,
    /// Subscriber whose limits and fair share apply.
    pub subscriber: SubscriberId,
    /// Service as named in the manifest.
    pub service: ServiceId,
    /// HTTP method of the caller's request.
    pub method: String,
    /// Path and query relative to the service, starting with `/`.
    pub path: String,
    /// Headers of the caller's request that are passed on to the target.
    pub headers: Vec<(String, String)>,
    /// Time left for the complete response, in milliseconds.
    pub deadline_ms: u64,
    /// Key of an at-most-once call; absent if the call may be retried.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// Frame of the response to a forwarded model request, sent as one JSON object per line.
///
/// Architecture Invariant: a response is complete only if its last frame is `End`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Frame {
    /// Part of the generated text; offsets are contiguous.
    Chunk(Chunk),
    /// End of a complete response.
    End(End),
    /// The request failed; no frame follows.
    Error(RequestError),
}
