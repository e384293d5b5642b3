//! What the gateway takes from a front end and returns to it, and how it speaks to targets.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, request, response};
use http_body::Frame;
use shallotdrum_engine::Priority;
use shallotdrum_types::{AdapterId, AdapterVersion, BaseModelId, RequestId, TargetId};
use tokio::{sync::mpsc, time::Instant};

/// Request of a caller, read completely.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifier that the caller gave.
    pub id: RequestId,
    /// Host that the caller named.
    pub host: String,
    /// Method.
    pub method: Method,
    /// Path and query, as sent.
    pub target: http::uri::PathAndQuery,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When the request was read.
    pub arrived: Instant,
    /// How long the caller waits from then on.
    pub patience: Duration,
    /// Present if a model is named.
    pub generation: Option<Generation>,
    /// Last event that the caller has seen, if it asks for the rest of a stream.
    pub resume_after: Option<String>,
}

/// What a model is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Base model.
    pub base: BaseModelId,
    /// Adapter on it, if one is named.
    pub adapter: Option<AdapterId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_tokens: u64,
    /// Parts of the prompt in order.
    pub prompt: Vec<PromptPart>,
}

/// Part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's content.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u64,
}

/// Answer to a caller.
#[derive(Debug)]
pub enum Answer {
    /// Whole answer of a target.
    Whole {
        /// Status of the target.
        status: StatusCode,
        /// Headers of the target that concern the answer.
        headers: HeaderMap,
        /// Body of the target.
        body: Bytes,
    },
    /// Stream of events that is under way.
    Stream {
        /// Status of the target.
        status: StatusCode,
        /// Headers of the target that concern the answer.
        headers: HeaderMap,
        /// Events as they arrive; breaks off with an error if the stream can't be completed.
        body: StreamBody,
    },
}

/// Events of a stream, as they arrive.
#[derive(Debug)]
pub struct StreamBody(pub(crate) mpsc::Receiver<Result<Bytes, Broken>>);

/// The stream can't be completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off")]
pub struct Broken;

impl http_body::Body for StreamBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Broken>>> {
        self.0.poll_recv(cx).map(|next| next.map(|part| part.map(Frame::data)))
    }
}

/// Adds what concerns one send to a request.
pub type WriteFn = Arc<dyn Fn(&Dispatch, &mut request::Parts) + Send + Sync>;

/// Reads what an answer says about its request.
pub type ReadFn = Arc<dyn Fn(&response::Parts) -> AnswerInfo + Send + Sync>;

/// How requests are written for targets, and their answers read.
#[derive(Clone)]
pub struct Dialect {
    /// Adds what concerns one send to the request.
    pub write: WriteFn,
    /// Reads what an answer says about the request.
    pub read: ReadFn,
}

/// One send of a request to a target.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Target that is meant; another one at the same address must refuse the request.
    pub target: TargetId,
    /// Time left for the whole answer.
    pub left: Duration,
    /// Priority in the engine's queue.
    pub priority: Option<Priority>,
    /// Version of the adapter that the request must run on.
    pub version: Option<AdapterVersion>,
    /// Last event that the caller has, if the stream goes on after it.
    pub resume_after: Option<String>,
}

/// What the head of an answer says about the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerInfo {
    /// Request that the answer belongs to, if it says so.
    pub request: Option<RequestId>,
    /// The target did not run the request.
    pub is_not_run: bool,
    /// A target vouches for the answer with its signature.
    pub is_signed: bool,
}
