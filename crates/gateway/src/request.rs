//! Interface of the gateway to the front end and to the protocol of targets.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, request, response};
use shallotdrum_engine::{Priority, TargetLoad};
use shallotdrum_links::QuestionFn;
use shallotdrum_routes::PoolSpec;
use shallotdrum_types::{
    AdapterId, AdapterVersion, BaseModelId, CustomerName, RequestId, RequestRate, TargetId,
};
use tokio::time::Instant;

use crate::{BodyEnd, Credentials, StreamBody};

/// Caller's request, decoded by the front end and read completely.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifier given by the caller; responses of targets must not name another one.
    pub id: RequestId,
    /// Address that the caller's connection comes from; absent if the front end does not know it.
    pub caller: Option<IpAddr>,
    /// Host to route by, as given by the caller.
    pub host: String,
    /// HTTP method; sent to the target unchanged.
    pub method: Method,
    /// Path and query as received; sent to the target unchanged.
    pub target: http::uri::PathAndQuery,
    /// Key of the caller, and the headers by which it names itself.
    pub credentials: Credentials,
    /// Headers to forward, without those in `credentials`; headers of a single connection are already
    /// removed.
    pub headers: HeaderMap,
    /// Complete body; sent to the target unchanged.
    pub body: Bytes,
    /// When the request was received; the deadline counts from here.
    pub arrived: Instant,
    /// How long the caller waits from `arrived`; the route's timeout may be shorter.
    pub timeout: Duration,
    /// Model parameters; absent if the request names no model.
    pub generation: Option<Generation>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub resume_after: Option<String>,
    /// Request of the caller that brought the first event of the stream that it resumes.
    pub resumes: Option<RequestId>,
}

/// Model parameters of a request, used for scheduling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Base model that must serve the request.
    pub base: BaseModelId,
    /// Adapter of the base model; absent for the base model alone.
    pub adapter: Option<AdapterId>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the response in tokens.
    pub max_tokens: u64,
    /// Parts of the prompt in order, for prefix caching.
    pub prompt: Vec<PromptPart>,
}

impl Generation {
    /// Ids of the prompt's parts, as hexadecimal numbers separated by commas, for log lines.
    pub(crate) fn part_ids(&self) -> String {
        let ids: Vec<_> = self.prompt.iter().map(|part| format!("{:x}", part.id)).collect();
        ids.join(",")
    }
}

/// Part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the content; equal for equal parts.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u64,
}

/// Response to a caller.
#[derive(Debug)]
pub enum GatewayResponse {
    /// Complete response of a target.
    Whole {
        /// HTTP status of the target's response.
        status: StatusCode,
        /// Headers of the target's response, without those of its connection.
        headers: HeaderMap,
        /// Complete body, unchanged.
        body: Bytes,
        /// What shows that the body is complete.
        end: BodyEnd,
    },
    /// Event stream that has started.
    Stream {
        /// HTTP status of the target's response.
        status: StatusCode,
        /// Headers of the target's response, without those of its connection.
        headers: HeaderMap,
        /// Events as they arrive; yields an error if the stream can't be completed.
        body: StreamBody,
    },
}

/// Adds the headers of one send to a request.
pub type WriteFn = Arc<dyn Fn(&Dispatch, &mut request::Parts) + Send + Sync>;

/// Reads the response headers that refer to the request.
pub type ReadFn = Arc<dyn Fn(&response::Parts) -> ResponseInfo + Send + Sync>;

/// Returns what to ask a target of a pool, at its address, to learn that its process runs.
pub type AskFn = Arc<dyn Fn(&PoolSpec, &TargetId, SocketAddr) -> QuestionFn + Send + Sync>;

/// Protocol of the targets: how requests are written and response heads are read.
#[derive(Clone)]
pub struct HeaderCodec {
    /// Called for each send, before the request goes out.
    pub write: WriteFn,
    /// Called with the head of each response.
    pub read: ReadFn,
    /// Called for each target whose responses may end with their connection.
    pub ask: AskFn,
}

/// Parameters of one send of a request to a target.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Intended target; a different target at the same address must refuse the request.
    pub target: TargetId,
    /// Time left for the complete response.
    pub left: Duration,
    /// Priority in the engine's queue; absent for plain services.
    pub priority: Option<Priority>,
    /// Version of the adapter that the request must run on; absent without an adapter.
    pub version: Option<AdapterVersion>,
    /// Id of the last event that the caller received, if the stream is resumed after it.
    pub resume_after: Option<String>,
    /// Customer that the request runs for; the request has no other header that names one.
    pub customer: Option<CustomerName>,
}

/// Information about the request in the head of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseInfo {
    /// Request that the response names, or the text that is not an id; absent if it names none.
    pub request: Option<Result<RequestId, String>>,
    /// Whether the target states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the response carries a target's signature.
    pub is_signed: bool,
    /// Whether the target says that it leaves.
    pub is_leaving: bool,
    /// Whether the target says that it falls over if it must refuse several requests within a second.
    pub is_brittle: bool,
    /// Time for which the target, which refused the request, takes none from this instance.
    pub pause: Option<Duration>,
    /// Limit on its requests that the target names, or the text that is not one.
    pub limit: Option<Result<RequestRate, String>>,
    /// Load that the target states, or the text that is not one.
    pub load: Option<Result<TargetLoad, MalformedLoad>>,
}

/// Statement of a target that is not a load.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a load: {0}")]
pub struct MalformedLoad(pub String);
