//! HTTP client for requests and orders to targets.
//!
//! Architecture Invariant: `NotSent` is reported only for errors that the connector raises before
//! it assigns a connection to the request. Every other transport error is `Lost` or `Unknown`, even
//! if a pooled connection turns out to be closed: the client can't tell whether the kernel had
//! already accepted bytes of the request. The client never retries a request.
//!
//! Architecture Invariant: a connection is used again only for calls of plain services, and only after a
//! response that echoes the id of its call and is no refusal. A target may write a response once more, late; a
//! copy of a refusal would say "not run" of whatever request is waiting by then.

use std::{error::Error, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited, combinators::BoxBody};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        Client,
        connect::{Connect, HttpConnector, capture_connection},
    },
    rt::{TokioExecutor, TokioTimer},
};
use shallotdrum_links::{LinkStatus, Links};
use shallotdrum_types::RequestId;
use tokio::time::timeout;

use crate::{
    CompletionRequest, CompletionStream, OrderRefusal, OrderRequest,
    connector::{LinkConnector, UsedFlag},
};

/// Body of a request to a target.
pub type RequestBody = BoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// Path of completion requests on an engine.
pub const GENERATE_PATH: &str = "/v1/generate";
/// Path of orders on an engine.
pub const ORDERS_PATH: &str = "/v1/orders";
/// Header that carries the request id to a plain service.
pub const REQUEST_ID_HEADER: &str = "x-shallotdrum-request-id";
/// Header with which a plain service marks a call as refused before any part of it was executed.
pub const NOT_RUN_HEADER: &str = "x-shallotdrum-not-run";

/// Maximum size of an error body; problem documents are far smaller.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;
/// Timeout for reading the body of an error response after its head has arrived.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle timeout of pooled connections; below the usual 30 s to 60 s of HTTP servers, so that a
/// request rarely reuses a connection that the server is about to close.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeouts of an `EngineClient`.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// For opening a connection.
    pub connect: Duration,
    /// For the head of a response, and between the events of a stream.
    pub idle: Duration,
}

impl Default for ClientTimeouts {
    /// 1 s to connect, which covers one lost SYN on a local network, and 30 s between events,
    /// which covers the prefill of a long prompt.
    fn default() -> Self {
        Self { connect: Duration::from_secs(1), idle: Duration::from_secs(30) }
    }
}

type LinkClient = Client<LinkConnector, RequestBody>;

/// Client for engines and plain services; clones share a connection pool.
#[derive(Clone)]
pub struct EngineClient {
    client: LinkClient,
    /// Opens a new connection for each request.
    unpooled: LinkClient,
    /// Sends orders, never through another instance and each on a new connection, as responses to
    /// orders name no order.
    direct: Client<HttpConnector, RequestBody>,
    links: Links,
    timeouts: ClientTimeouts,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened; no byte of the request reached the target.
    #[error("cannot connect to the target at {addr}: {reason}")]
    NotSent {
        /// Address of the target.
        addr: SocketAddr,
        /// Error of the connector.
        reason: String,
    },
    /// The target refused the request without executing it.
    #[error("the target refused the request with status {status}: {body}")]
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// Response body, lossily decoded as UTF-8.
        body: String,
    },
    /// The request may have been executed, but its response was lost.
    #[error("lost the response of the target at {addr}: {reason}")]
    Lost {
        /// Address of the target.
        addr: SocketAddr,
        /// Error of the HTTP client, or the unexpected response.
        reason: String,
    },
}

/// Why an order failed or its result is unknown.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// No connection could be opened; no byte of the order reached the engine.
    #[error("cannot connect to the engine at {addr}: {reason}")]
    NotSent {
        /// Address of the engine.
        addr: SocketAddr,
        /// Error of the connector.
        reason: String,
    },
    /// The engine refused the order or failed to execute it.
    #[error("the engine refused the order: {0}")]
    Refused(#[from] OrderRefusal),
    /// The order may have been executed, or may still be executed later.
    #[error("the result of the order is unknown: {reason}")]
    Unknown {
        /// Error of the HTTP client, or the unexpected response.
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
        Self::with_links(timeouts, Links::default())
    }

    /// Creates a client with its own connection pool that opens connections through `links`.
    pub fn with_links(timeouts: ClientTimeouts, links: Links) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeouts.connect));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(LinkConnector::new(links.clone()));
        let unpooled = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(LinkConnector::new(links.clone()));
        let direct = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, unpooled, direct, links, timeouts }
    }

    /// Starts a completion request; dropping the stream or this future closes the connection, which
    /// cancels the request.
    pub async fn generate(
        &self,
        target: SocketAddr,
        req: &CompletionRequest,
    ) -> Result<CompletionStream, CallError> {
        let http_req = json_request(target, Method::POST, GENERATE_PATH, req)
            .map_err(|reason| CallError::NotSent { addr: target, reason })?;
        let res = self.send_within(target, http_req).await?;
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

    /// Sends an order and waits up to `limit` until the engine has executed it.
    pub async fn order(
        &self,
        target: SocketAddr,
        order: &OrderRequest,
        limit: Duration,
    ) -> Result<(), OrderError> {
        let req = json_request(target, Method::POST, ORDERS_PATH, order)
            .map_err(|reason| OrderError::NotSent { addr: target, reason })?;
        let sent = timeout(limit, send(&self.direct, target, req)).await;
        let res = sent.unwrap_or_else(|_| Err(no_response(target, limit)));
        let res = res.map_err(|e| match e {
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

    /// Calls a plain service; only path and query of the request's URI are used.
    ///
    /// The response is returned regardless of its status, unless the service marks it as a refusal
    /// with `NOT_RUN_HEADER`. There is no timeout; to give up, drop the future.
    pub async fn call(
        &self,
        target: SocketAddr,
        req: Request<RequestBody>,
    ) -> Result<Response<Incoming>, CallError> {
        call(&self.links, self.client_for(target), target, req).await
    }

    /// Calls a plain service like `call`, but on a new connection.
    ///
    /// For calls that must not be retried: if the service closed a pooled connection at the moment
    /// of the call, the result would be unknown.
    pub async fn call_unpooled(
        &self,
        target: SocketAddr,
        req: Request<RequestBody>,
    ) -> Result<Response<Incoming>, CallError> {
        call(&self.links, &self.unpooled, target, req).await
    }

    /// Cancels a completion request; succeeds if the engine doesn't know the request.
    pub async fn cancel(&self, target: SocketAddr, request: &RequestId) -> Result<(), CallError> {
        let req = target_uri(target, &format!("{GENERATE_PATH}/{request}"))
            .and_then(|uri| {
                let req = Request::builder().method(Method::DELETE).uri(uri);
                req.body(full_body(Bytes::new())).map_err(|e| e.to_string())
            })
            .map_err(|reason| CallError::NotSent { addr: target, reason })?;
        let res = self.send_within(target, req).await?;
        let status = res.status();
        if status.is_success() || status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        let body = read_error_body(res.into_body()).await;
        Err(CallError::Refused { status, body })
    }

    /// Sends a request on a new connection, as heads of responses to completions name no request.
    async fn send_within(
        &self,
        addr: SocketAddr,
        req: Request<RequestBody>,
    ) -> Result<Response<Incoming>, CallError> {
        let limit = self.timeouts.idle;
        let sent = send_watched(&self.links, &self.unpooled, addr, req);
        timeout(limit, sent).await.unwrap_or_else(|_| Err(no_response(addr, limit)))
    }

    /// Client for a target; pooled connections of a broken link may hang.
    fn client_for(&self, target: SocketAddr) -> &LinkClient {
        match self.links.status(target) {
            LinkStatus::Open => &self.client,
            LinkStatus::Refusing | LinkStatus::Silent => &self.unpooled,
        }
    }
}

fn no_response(addr: SocketAddr, limit: Duration) -> CallError {
    CallError::Lost { addr, reason: format!("no response within {} ms", limit.as_millis()) }
}

/// Sends a request, and gives up if its link is found silent.
async fn send_watched(
    links: &Links,
    client: &LinkClient,
    addr: SocketAddr,
    req: Request<RequestBody>,
) -> Result<Response<Incoming>, CallError> {
    let is_open = links.status(addr) == LinkStatus::Open;
    let res = tokio::select! {
        res = send(client, addr, req) => res?,
        () = links.lost(addr), if is_open => {
            let reason = "the link to the target was lost".to_owned();
            return Err(CallError::Lost { addr, reason });
        }
    };
    Ok(res)
}

async fn send<C>(
    client: &Client<C, RequestBody>,
    addr: SocketAddr,
    req: Request<RequestBody>,
) -> Result<Response<Incoming>, CallError>
where
    C: Connect + Clone + Send + Sync + 'static,
{
    client.request(req).await.map_err(|e| {
        let reason = error_chain(&e);
        if e.is_connect() {
            return CallError::NotSent { addr, reason };
        }
        CallError::Lost { addr, reason }
    })
}

async fn call(
    links: &Links,
    client: &LinkClient,
    target: SocketAddr,
    mut req: Request<RequestBody>,
) -> Result<Response<Incoming>, CallError> {
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    *req.uri_mut() =
        target_uri(target, path).map_err(|reason| CallError::NotSent { addr: target, reason })?;
    let id = req.headers().get(REQUEST_ID_HEADER).cloned();
    let connection = capture_connection(&mut req);
    let res = send_watched(links, client, target, req).await?;
    let was_used = res.extensions().get::<UsedFlag>().is_some_and(UsedFlag::record_response);
    let status = res.status();
    let echo = res.headers().get(REQUEST_ID_HEADER);
    let is_refused = !status.is_success() && res.headers().contains_key(NOT_RUN_HEADER);
    // The call may be sent again under its id, but not before this closes the connection.
    if (echo != id.as_ref() || is_refused)
        && let Some(connection) = connection.connection_metadata().as_ref()
    {
        connection.poison();
    }
    let foreign = match echo {
        Some(_) if id.is_some() && echo != id.as_ref() => Some("it belongs to another request"),
        None if id.is_some() && was_used => {
            Some("it has no id, and the connection was used before")
        }
        _ => None,
    };
    if let Some(foreign) = foreign {
        let reason = format!("response with status {status} discarded: {foreign}");
        return Err(CallError::Lost { addr: target, reason });
    }
    if !is_refused {
        return Ok(res);
    }
    let body = read_error_body(res.into_body()).await;
    Err(CallError::Refused { status, body })
}

/// Creates a body from bytes in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> RequestBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Whether a status from an engine guarantees that the request was not executed.
///
/// Other statuses, such as 500, may be sent after execution has started.
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

/// Reads the body of an error response; a failed read doesn't change the error's classification.
async fn read_error_body(body: Incoming) -> String {
    match timeout(ERROR_BODY_TIMEOUT, Limited::new(body, MAX_ERROR_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        Ok(Err(e)) => format!("(unreadable body: {e})"),
        Err(_) => "(body timed out)".to_owned(),
    }
}

/// Formats an error and its chain of sources.
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
