//! HTTP client that sends requests and orders to targets.
//!
//! Architecture Invariant: `NotSent` is reported only for errors that the connector raises before
//! it hands a connection to the request. Every other transport error is `Lost` or `Unknown`, also
//! when a pooled connection turns out to be closed: the client can't tell whether the kernel had
//! already taken bytes of the request. No request is sent a second time by the client itself.

use std::{error::Error, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited, combinators::BoxBody};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use shallotdrum_types::RequestId;
use tokio::time::timeout;

use crate::{CompletionRequest, CompletionStream, OrderRefusal, OrderRequest};

/// Body of a request to a target.
pub type RequestBody = BoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// Path of model requests on an engine.
pub const GENERATE_PATH: &str = "/v1/generate";
/// Path of orders on an engine.
pub const ORDERS_PATH: &str = "/v1/orders";
/// Header that carries the request id to a plain service.
pub const REQUEST_ID_HEADER: &str = "x-shallotdrum-request-id";
/// Header by which a plain service states that it refused a call without running any of it.
pub const NOT_RUN_HEADER: &str = "x-shallotdrum-not-run";

/// Longest error body that is read; problem documents are far below it.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;
/// Time for the body of an error answer; its head has already arrived.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed; below the usual 30 s to 60 s of HTTP servers, so
/// that a request seldom meets a connection that the server is about to close.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time limits of an `EngineClient`.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// Time for opening a connection.
    pub connect: Duration,
    /// Time for the head of an answer, and between the events of a stream.
    pub idle: Duration,
}

impl Default for ClientTimeouts {
    /// 1 s to connect, which covers one lost SYN on a local network, and 30 s between events,
    /// which covers the prefill of a long prompt.
    fn default() -> Self {
        Self { connect: Duration::from_secs(1), idle: Duration::from_secs(30) }
    }
}

/// Client for engines and plain services; clones share one connection pool.
#[derive(Clone)]
pub struct EngineClient {
    client: Client<HttpConnector, RequestBody>,
    /// Opens a connection for each call.
    unpooled: Client<HttpConnector, RequestBody>,
    timeouts: ClientTimeouts,
}

/// Why a call got no answer from its target.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened; no byte of the request reached the target.
    #[error("cannot connect to the target at {addr}: {reason}")]
    NotSent {
        /// Target's address.
        addr: SocketAddr,
        /// What the connector reported.
        reason: String,
    },
    /// The target refused the request without running it.
    #[error("the target refused the request with status {status}: {body}")]
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// Body of the answer, as text.
        body: String,
    },
    /// The request may have been run; its answer is lost.
    #[error("lost the answer of the target at {addr}: {reason}")]
    Lost {
        /// Target's address.
        addr: SocketAddr,
        /// What the client reported.
        reason: String,
    },
}

/// Why an order is not known to be carried out.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// No connection could be opened; no byte of the order reached the engine.
    #[error("cannot connect to the engine at {addr}: {reason}")]
    NotSent {
        /// Engine's address.
        addr: SocketAddr,
        /// What the connector reported.
        reason: String,
    },
    /// The engine refused the order or could not carry it out.
    #[error("the engine refused the order: {0}")]
    Refused(#[from] OrderRefusal),
    /// The order may have been carried out, or may be carried out later.
    #[error("the order has no known result: {reason}")]
    Unknown {
        /// What the client reported.
        reason: String,
    },
}

impl Default for EngineClient {
    fn default() -> Self {
        Self::new(ClientTimeouts::default())
    }
}

impl EngineClient {
    /// Creates a client with its own connection pool.
    pub fn new(timeouts: ClientTimeouts) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeouts.connect));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector.clone());
        let unpooled = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, unpooled, timeouts }
    }

    /// Starts a model request; dropping the stream or this future closes the connection, which
    /// cancels the request.
    pub async fn generate(
        &self,
        target: SocketAddr,
        req: &CompletionRequest,
    ) -> Result<CompletionStream, CallError> {
        let http_req = json_request(target, Method::POST, GENERATE_PATH, req)
            .map_err(|reason| CallError::NotSent { addr: target, reason })?;
        let res = self.send_within(target, http_req, self.timeouts.idle).await?;
        let status = res.status();
        if status == StatusCode::OK {
            return Ok(CompletionStream::new(res.into_body(), req, self.timeouts.idle));
        }
        let body = read_error_body(res.into_body()).await;
        if is_refusal(status) {
            return Err(CallError::Refused { status, body });
        }
        Err(CallError::Lost { addr: target, reason: format!("status {status}: {body}") })
    }

    /// Sends an order and waits until the engine has carried it out, for at most `limit`.
    pub async fn order(
        &self,
        target: SocketAddr,
        order: &OrderRequest,
        limit: Duration,
    ) -> Result<(), OrderError> {
        let req = json_request(target, Method::POST, ORDERS_PATH, order)
            .map_err(|reason| OrderError::NotSent { addr: target, reason })?;
        let res = self.send_within(target, req, limit).await.map_err(|e| match e {
            CallError::NotSent { addr, reason } => OrderError::NotSent { addr, reason },
            other => OrderError::Unknown { reason: other.to_string() },
        })?;
        let status = res.status();
        if status.is_success() {
            return Ok(());
        }
        let body = read_error_body(res.into_body()).await;
        match serde_json::from_str::<OrderRefusal>(&body) {
            Ok(refusal)
                if matches!(status, StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY) =>
            {
                Err(refusal.into())
            }
            _ => Err(OrderError::Unknown { reason: format!("status {status}: {body}") }),
        }
    }

    /// Calls a plain service; the request needs only path and query in its URI.
    ///
    /// The answer is returned whatever its status, unless the service marks it as a refusal with
    /// `NOT_RUN_HEADER`. The caller sets the time limit, by dropping the future.
    pub async fn call(
        &self,
        target: SocketAddr,
        req: Request<RequestBody>,
    ) -> Result<Response<Incoming>, CallError> {
        call(&self.client, target, req).await
    }

    /// Calls a plain service like `call`, on a connection of its own.
    ///
    /// For calls that may not be repeated: a pooled connection that the service closes at the
    /// moment of the call would make the result unknown.
    pub async fn call_unpooled(
        &self,
        target: SocketAddr,
        req: Request<RequestBody>,
    ) -> Result<Response<Incoming>, CallError> {
        call(&self.unpooled, target, req).await
    }

    /// Cancels a model request; a request that the engine does not know counts as cancelled.
    pub async fn cancel(&self, target: SocketAddr, request: &RequestId) -> Result<(), CallError> {
        let req = target_uri(target, &format!("{GENERATE_PATH}/{request}"))
            .and_then(|uri| {
                let req = Request::builder().method(Method::DELETE).uri(uri);
                req.body(full_body(Bytes::new())).map_err(|e| e.to_string())
            })
            .map_err(|reason| CallError::NotSent { addr: target, reason })?;
        let res = self.send_within(target, req, self.timeouts.idle).await?;
        let status = res.status();
        if status.is_success() || status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        let body = read_error_body(res.into_body()).await;
        Err(CallError::Refused { status, body })
    }

    async fn send_within(
        &self,
        addr: SocketAddr,
        req: Request<RequestBody>,
        limit: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        timeout(limit, send(&self.client, addr, req)).await.unwrap_or_else(|_| {
            let reason = format!("no answer within {} ms", limit.as_millis());
            Err(CallError::Lost { addr, reason })
        })
    }
}

async fn send(
    client: &Client<HttpConnector, RequestBody>,
    addr: SocketAddr,
    req: Request<RequestBody>,
) -> Result<Response<Incoming>, CallError> {
    client.request(req).await.map_err(|e| {
        let reason = error_chain(&e);
        if e.is_connect() {
            return CallError::NotSent { addr, reason };
        }
        CallError::Lost { addr, reason }
    })
}

async fn call(
    client: &Client<HttpConnector, RequestBody>,
    target: SocketAddr,
    mut req: Request<RequestBody>,
) -> Result<Response<Incoming>, CallError> {
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    *req.uri_mut() =
        target_uri(target, path).map_err(|reason| CallError::NotSent { addr: target, reason })?;
    let res = send(client, target, req).await?;
    let status = res.status();
    let is_refused = !status.is_success() && res.headers().contains_key(NOT_RUN_HEADER);
    if !is_refused {
        return Ok(res);
    }
    let body = read_error_body(res.into_body()).await;
    Err(CallError::Refused { status, body })
}

/// Makes a body of bytes that are at hand.
pub fn full_body(bytes: impl Into<Bytes>) -> RequestBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Whether an engine's status states that the request was not run.
///
/// Other statuses, such as 500, may be answered in the middle of a run.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_REQUEST
            | StatusCode::NOT_FOUND
            | StatusCode::CONFLICT
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::UNPROCESSABLE_ENTITY
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn target_uri(target: SocketAddr, path: &str) -> Result<Uri, String> {
    Uri::builder()
        .scheme("http")
        .authority(target.to_string())
        .path_and_query(path)
        .build()
        .map_err(|e| e.to_string())
}

fn json_request(
    target: SocketAddr,
    method: Method,
    path: &str,
    message: &impl serde::Serialize,
) -> Result<Request<RequestBody>, String> {
    let body = serde_json::to_vec(message).map_err(|e| e.to_string())?;
    Request::builder()
        .method(method)
        .uri(target_uri(target, path)?)
        .header(CONTENT_TYPE, "application/json")
        .body(full_body(body))
        .map_err(|e| e.to_string())
}

/// Reads the body of an error answer; an unreadable body does not change the classification.
async fn read_error_body(body: Incoming) -> String {
    match timeout(ERROR_BODY_TIMEOUT, Limited::new(body, MAX_ERROR_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        Ok(Err(e)) => format!("(unreadable body: {e})"),
        Err(_) => "(body did not arrive)".to_owned(),
    }
}

/// Formats an error with its causes.
pub fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
