//! Client that forwards requests to the owner of a target group.
//!
//! Requests whose owner is this instance are handed to its `OwnerService` directly: a loopback
//! connection would add two HTTP exchanges and two encodings of each token.

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
/// Header that holds a `ServiceCall` as JSON.
pub const CALL_HEADER: &str = "x-shallotdrum-call";
/// Header that holds a `RequestError` as JSON when the owner refuses or fails a request.
pub const ERROR_HEADER: &str = "x-shallotdrum-error";

/// Frames that wait for a slow entry; engines keep generating meanwhile.
pub(crate) const FRAME_BUFFER: usize = 256;

/// Body of forwarded requests and their answers.
pub type ForwardBody = RequestBody;

/// Longest time to open a connection; a lost first packet is sent again after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Longest line of a frame; a chunk of text and its names are far below it.
const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Client that forwards requests to the owner of a target group.
#[derive(Clone)]
pub struct Forwarder {
    client: Client<HttpConnector, ForwardBody>,
    local: Option<Local>,
}

/// The owner in this process.
#[derive(Clone)]
struct Local {
    addr: SocketAddr,
    service: Arc<OwnerService>,
}

/// Why a forwarded request got no answer from its owner.
#[derive(Debug, thiserror::Error)]
pub enum ForwardError {
    /// The connection could not be opened; no byte was sent.
    #[error("cannot connect to the owner at {addr}: {reason}")]
    NotSent {
        /// Owner's data address.
        addr: SocketAddr,
        /// What the connector reported.
        reason: String,
    },
    /// The connection broke after the request may have been sent.
    #[error("lost the connection to the owner at {addr}: {reason}")]
    Lost {
        /// Owner's data address.
        addr: SocketAddr,
        /// What the client reported.
        reason: String,
    },
    /// The owner answered with an error.
    #[error(transparent)]
    Refused(#[from] RequestError),
    /// The owner's answer can't be understood.
    #[error("unexpected answer of the owner at {addr}: {reason}")]
    Malformed {
        /// Owner's data address.
        addr: SocketAddr,
        /// What was unexpected.
        reason: String,
    },
}

impl Default for Forwarder {
    fn default() -> Self {
        Self::new()
    }
}

impl Forwarder {
    /// Creates a client with its own connection pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self { client: Client::builder(TokioExecutor::new()).build(connector), local: None }
    }

    /// Hands requests for the given data address to the owner in this process.
    #[must_use]
    pub fn with_local(self, addr: SocketAddr, service: Arc<OwnerService>) -> Self {
        Self { local: Some(Local { addr, service }), ..self }
    }

    fn local(&self, addr: SocketAddr) -> Option<&Arc<OwnerService>> {
        self.local.as_ref().filter(|local| local.addr == addr).map(|local| &local.service)
    }

    /// Forwards a model request; the answer is a stream of frames.
    pub async fn completion(
        &self,
        addr: SocketAddr,
        call: &CompletionCall,
    ) -> Result<FrameStream, ForwardError> {
        if let Some(service) = self.local(addr) {
            let (tx, rx) = mpsc::channel(FRAME_BUFFER);
            tokio::spawn(service.clone().complete(call.clone(), tx));
            return Ok(FrameStream::new(addr, call, Source::Local(rx)));
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
        let source = Source::Remote { body: res.into_body(), buf: BytesMut::new() };
        Ok(FrameStream::new(addr, call, source))
    }

    /// Forwards a service call; the answer is the target's own response.
    pub async fn service(
        &self,
        addr: SocketAddr,
        call: &ServiceCall,
        body: ForwardBody,
    ) -> Result<Response<ForwardBody>, ForwardError> {
        if let Some(service) = self.local(addr) {
            let received = Instant::now();
            // The entry has limited the size of the body.
            let body = body.collect().await.map_err(|e| {
                let detail = format!("body of the call: {e}");
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

/// Frames of the answer to a forwarded model request.
pub struct FrameStream {
    addr: SocketAddr,
    request: RequestId,
    source: Source,
    is_done: bool,
}

/// Where frames come from.
enum Source {
    /// Answer of another instance, and the part of it that is not parsed yet.
    Remote { body: Incoming, buf: BytesMut },
    /// Owner in this process.
    Local(mpsc::Receiver<Frame>),
}

impl FrameStream {
    fn new(addr: SocketAddr, call: &CompletionCall, source: Source) -> Self {
        Self { addr, request: call.request.request.clone(), source, is_done: false }
    }

    /// Returns the next frame, or `None` after `Frame::End` or `Frame::Error`.
    ///
    /// An answer that breaks off, or that belongs to another request, is an error.
    pub async fn next(&mut self) -> Result<Option<Frame>, ForwardError> {
        if self.is_done {
            return Ok(None);
        }
        let frame = match &mut self.source {
            Source::Remote { body, buf } => read_frame(self.addr, body, buf).await?,
            Source::Local(rx) => rx.recv().await.ok_or_else(|| ended_early(self.addr))?,
        };
        let request = match &frame {
            Frame::Chunk(chunk) => Some(&chunk.request),
            Frame::End(end) => Some(&end.request),
            Frame::Error(_) => None,
        };
        if request.is_some_and(|request| *request != self.request) {
            return Err(malformed(self.addr, "a frame belongs to another request"));
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
            return Err(malformed(addr, "a frame is too long"));
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buf.extend_from_slice(&data);
                }
            }
            Some(Err(e)) => return Err(ForwardError::Lost { addr, reason: error_chain(&e) }),
            None => return Err(ended_early(addr)),
        }
    }
}

fn ended_early(addr: SocketAddr) -> ForwardError {
    ForwardError::Lost { addr, reason: "the answer ended early".to_owned() }
}

fn malformed(addr: SocketAddr, reason: &str) -> ForwardError {
    ForwardError::Malformed { addr, reason: reason.to_owned() }
}
