//! Client that forwards requests to the owner of a target group.
//!
//! If this instance is the owner, requests go to its `OwnerService` directly: a loopback connection
//! would add two HTTP exchanges, and encode and decode each token once more.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::BytesMut;
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use shallotdrum_engine::{RequestBody, error_chain, full_body};
use shallotdrum_types::{RequestError, RequestErrorKind, RequestId};
use tokio::{sync::mpsc, time::Instant};

use crate::{CompletionCall, Frame, OwnerService, ServiceCall};

/// Path of forwarded model requests on the peer data address.
pub const COMPLETION_PATH: &str = "/forward/completion";
/// Path of forwarded service calls on the peer data address.
pub const SERVICE_PATH: &str = "/forward/service";
/// Header that carries a `ServiceCall` as JSON.
pub const CALL_HEADER: &str = "x-shallotdrum-call";
/// Header that carries a `RequestError` as JSON if the owner rejects or fails a request.
pub const ERROR_HEADER: &str = "x-shallotdrum-error";

/// Number of frames buffered for a slow entry, so that engines keep generating in the meantime.
pub(crate) const FRAME_BUFFER: usize = 256;

/// HTTP body of forwarded requests and their responses.
pub type ForwardBody = RequestBody;

/// Connect timeout; long enough for one retransmission of a lost SYN, which takes 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum encoded size of a frame; chunks of text are far smaller.
const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Forwards requests over HTTP, or directly if the owner is in this process.
#[derive(Clone)]
pub struct Forwarder {
    client: Client<HttpConnector, ForwardBody>,
    local: Option<LocalOwner>,
}

/// Owner service in this process.
#[derive(Clone)]
struct LocalOwner {
    addr: SocketAddr,
    service: Arc<OwnerService>,
}

/// Error of a forwarded request.
#[derive(Debug, thiserror::Error)]
pub enum ForwardError {
    /// No byte was sent, because the connection could not be opened or the request not built.
    #[error("cannot connect to the owner at {addr}: {reason}")]
    NotSent {
        /// Peer data address of the owner.
        addr: SocketAddr,
        /// Error chain of the connector or the encoder.
        reason: String,
    },
    /// The connection broke after the request may have been sent.
    #[error("lost the connection to the owner at {addr}: {reason}")]
    Lost {
        /// Peer data address of the owner.
        addr: SocketAddr,
        /// Error chain of the HTTP client.
        reason: String,
    },
    /// The owner responded with an error.
    #[error(transparent)]
    Refused(#[from] RequestError),
    /// The owner's response can't be parsed.
    #[error("malformed response from the owner at {addr}: {reason}")]
    Malformed {
        /// Peer data address of the owner.
        addr: SocketAddr,
        /// Parse error or unexpected value.
        reason: String,
    },
}

impl Default for Forwarder {
    fn default() -> Self {
        Self::new()
    }
}

impl Forwarder {
    /// Creates a client with its own connection pool and no local owner.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self { client: Client::builder(TokioExecutor::new()).build(connector), local: None }
    }

    /// Sends requests for the given data address directly to the owner in this process.
    #[must_use]
    pub fn with_local(self, addr: SocketAddr, service: Arc<OwnerService>) -> Self {
        Self { local: Some(LocalOwner { addr, service }), ..self }
    }

    fn local(&self, addr: SocketAddr) -> Option<&Arc<OwnerService>> {
        self.local.as_ref().filter(|local| local.addr == addr).map(|local| &local.service)
    }

    /// Forwards a model request and returns the stream of response frames.
    pub async fn completion(
        &self,
        addr: SocketAddr,
        call: &CompletionCall,
    ) -> Result<FrameStream, ForwardError> {
        if let Some(service) = self.local(addr) {
            let (tx, rx) = mpsc::channel(FRAME_BUFFER);
            tokio::spawn(service.clone().complete(call.clone(), tx));
            return Ok(FrameStream::new(addr, call, FrameSource::Local(rx)));
        }
        let body = serde_json::to_vec(call)
            .map_err(|e| ForwardError::NotSent { addr, reason: e.to_string() })?;
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{addr}{COMPLETION_PATH}"))
            .header(CONTENT_TYPE, "application/json")
            .body(full_body(body))
            .map_err(|e| ForwardError::NotSent { addr, reason: e.to_string() })?;
        let res = self.send(addr, req).await?;
        if res.status() != StatusCode::OK {
            let reason = format!("status {}", res.status());
            return Err(ForwardError::Malformed { addr, reason });
        }
        let source = FrameSource::Remote { body: res.into_body(), buf: BytesMut::new() };
        Ok(FrameStream::new(addr, call, source))
    }

    /// Forwards a service call and returns the target's response.
    pub async fn service(
        &self,
        addr: SocketAddr,
        call: &ServiceCall,
        body: ForwardBody,
    ) -> Result<Response<ForwardBody>, ForwardError> {
        if let Some(service) = self.local(addr) {
            let received = Instant::now();
            // The entry has already enforced the size limit of the body.
            let body = body.collect().await.map_err(|e| {
                let detail = format!("cannot read the body of the call: {e}");
                RequestError::not_run(RequestErrorKind::InvalidRequest, detail)
            })?;
            return Ok(service.call(call.clone(), body.to_bytes(), received).await?);
        }
        let meta = serde_json::to_string(call)
            .map_err(|e| ForwardError::NotSent { addr, reason: e.to_string() })?;
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{addr}{SERVICE_PATH}"))
            .header(CALL_HEADER, meta)
            .body(body)
            .map_err(|e| ForwardError::NotSent { addr, reason: e.to_string() })?;
        let res = self.send(addr, req).await?;
        Ok(res.map(|body| body.map_err(Into::into).boxed()))
    }

    async fn send(
        &self,
        addr: SocketAddr,
        req: Request<ForwardBody>,
    ) -> Result<Response<Incoming>, ForwardError> {
        let res = match self.client.request(req).await {
            Ok(res) => res,
            Err(e) if e.is_connect() => {
                return Err(ForwardError::NotSent { addr, reason: error_chain(&e) });
            }
            Err(e) => return Err(ForwardError::Lost { addr, reason: error_chain(&e) }),
        };
        let Some(error) = res.headers().get(ERROR_HEADER) else { return Ok(res) };
        let error: RequestError = serde_json::from_slice(error.as_bytes())
            .map_err(|e| ForwardError::Malformed { addr, reason: e.to_string() })?;
        Err(error.into())
    }
}

/// Response frames of a forwarded model request.
pub struct FrameStream {
    addr: SocketAddr,
    request: RequestId,
    source: FrameSource,
    is_done: bool,
}

/// Where response frames come from.
enum FrameSource {
    /// HTTP response of another instance, and its bytes that are not parsed yet.
    Remote { body: Incoming, buf: BytesMut },
    /// Channel from the owner in this process.
    Local(mpsc::Receiver<Frame>),
}

impl FrameStream {
    fn new(addr: SocketAddr, call: &CompletionCall, source: FrameSource) -> Self {
        Self { addr, request: call.request.request.clone(), source, is_done: false }
    }

    /// Returns the next frame, or `None` after `Frame::End` or `Frame::Error`.
    ///
    /// A response that is truncated or belongs to another request is an error.
    pub async fn next(&mut self) -> Result<Option<Frame>, ForwardError> {
        if self.is_done {
            return Ok(None);
        }
        let frame = match &mut self.source {
            FrameSource::Remote { body, buf } => read_frame(self.addr, body, buf).await?,
            FrameSource::Local(rx) => rx.recv().await.ok_or_else(|| truncated(self.addr))?,
        };
        let request = match &frame {
            Frame::Chunk(chunk) => Some(&chunk.request),
            Frame::End(end) => Some(&end.request),
            Frame::Error(_) => None,
        };
        if request.is_some_and(|request| *request != self.request) {
            return Err(malformed(self.addr, "received a frame of another request"));
        }
        self.is_done = !matches!(frame, Frame::Chunk(_));
        Ok(Some(frame))
    }
}

async fn read_frame(
    addr: SocketAddr,
    body: &mut Incoming,
    buf: &mut BytesMut,
) -> Result<Frame, ForwardError> {
    loop {
        if let Some(end) = buf.iter().position(|b| *b == b'\n') {
            let line = buf.split_to(end + 1);
            return serde_json::from_slice(&line[..end])
                .map_err(|e| malformed(addr, &e.to_string()));
        }
        if buf.len() > MAX_FRAME_BYTES {
            return Err(malformed(addr, "a frame exceeds the size limit"));
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buf.extend_from_slice(&data);
                }
            }
            Some(Err(e)) => return Err(ForwardError::Lost { addr, reason: error_chain(&e) }),
            None => return Err(truncated(addr)),
        }
    }
}

fn truncated(addr: SocketAddr) -> ForwardError {
    ForwardError::Lost { addr, reason: "the response was truncated".to_owned() }
}

fn malformed(addr: SocketAddr, reason: &str) -> ForwardError {
    ForwardError::Malformed { addr, reason: reason.to_owned() }
}
