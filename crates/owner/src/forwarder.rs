//! Client that forwards requests to the owner of a target group.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use shallotdrum_types::{RequestError, RequestId};

use crate::{CompletionCall, Frame, ServiceCall};

/// Path of forwarded model requests on the peer data address.
pub const COMPLETION_PATH: &str = "/forward/completion";
/// Path of forwarded service calls on the peer data address.
pub const SERVICE_PATH: &str = "/forward/service";
/// Header that holds a `ServiceCall` as JSON.
pub const CALL_HEADER: &str = "x-shallotdrum-call";
/// Header that holds a `RequestError` as JSON when the owner refuses or fails a request.
pub const ERROR_HEADER: &str = "x-shallotdrum-error";

/// Body of forwarded requests and their answers.
pub type ForwardBody = BoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;

/// Longest time to open a connection; a lost first packet is sent again after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Longest line of a frame; a chunk of text and its names are far below it.
const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Client that forwards requests to the owner of a target group.
#[derive(Clone)]
pub struct Forwarder {
    client: Client<HttpConnector, ForwardBody>,
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
        Self { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Forwards a model request; the answer is a stream of frames.
    pub async fn completion(
        &self,
        addr: SocketAddr,
        call: &CompletionCall,
    ) -> Result<FrameStream, ForwardError> {
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
        Ok(FrameStream {
            addr,
            request: call.request.request.clone(),
            body: res.into_body(),
            buf: BytesMut::new(),
            is_done: false,
        })
    }

    /// Forwards a service call; the answer is the target's own response.
    pub async fn service(
        &self,
        addr: SocketAddr,
        call: &ServiceCall,
        body: ForwardBody,
    ) -> Result<Response<Incoming>, ForwardError> {
        let meta = serde_json::to_string(call)
            .map_err(|e| ForwardError::NotSent { addr, reason: e.to_string() })?;
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{addr}{SERVICE_PATH}"))
            .header(CALL_HEADER, meta)
            .body(body)
            .map_err(|e| ForwardError::NotSent { addr, reason: e.to_string() })?;
        self.send(addr, req).await
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
    body: Incoming,
    buf: BytesMut,
    is_done: bool,
}

impl FrameStream {
    /// Returns the next frame, or `None` after `Frame::End` or `Frame::Error`.
    ///
    /// An answer that breaks off, or that belongs to another request, is an error.
    pub async fn next(&mut self) -> Result<Option<Frame>, ForwardError> {
        if self.is_done {
            return Ok(None);
        }
        loop {
            if let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
                let line = self.buf.split_to(end + 1);
                return self.parse(&line[..end]).map(Some);
            }
            if self.buf.len() > MAX_FRAME_BYTES {
                return Err(self.malformed("a frame is too long"));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                }
                Some(Err(e)) => {
                    return Err(ForwardError::Lost { addr: self.addr, reason: error_chain(&e) });
                }
                None => {
                    let reason = "the answer ended early".to_owned();
                    return Err(ForwardError::Lost { addr: self.addr, reason });
                }
            }
        }
    }

    fn parse(&mut self, line: &[u8]) -> Result<Frame, ForwardError> {
        let frame: Frame =
            serde_json::from_slice(line).map_err(|e| self.malformed(&e.to_string()))?;
        let request = match &frame {
            Frame::Chunk(chunk) => Some(&chunk.request),
            Frame::End(end) => Some(&end.request),
            Frame::Error(_) => None,
        };
        if request.is_some_and(|request| *request != self.request) {
            return Err(self.malformed("a frame belongs to another request"));
        }
        self.is_done = !matches!(frame, Frame::Chunk(_));
        Ok(frame)
    }

    fn malformed(&self, reason: &str) -> ForwardError {
        ForwardError::Malformed { addr: self.addr, reason: reason.to_owned() }
    }
}

/// Makes a body of bytes that are at hand.
pub fn full_body(bytes: impl Into<Bytes>) -> ForwardBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Formats an error with its causes.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
