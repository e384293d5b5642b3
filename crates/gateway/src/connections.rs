//! Connection pool for targets.
//!
//! Architecture Invariant: a connection carries one request at a time and returns to the pool only
//! after a complete response; bytes that follow a response make it unusable.
//!
//! Calls that have no id use connections of their own (`exclusive`).

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use shallotdrum_links::{ConnectError, LinkStatus, LinkStream, Links};
use shallotdrum_types::RequestId;
use tokio::time::Instant;

/// Maximum number of idle connections per target.
const MAX_IDLE: usize = 24;

/// Idle timeout of a connection if the target does not send a `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Subtracted from a target's `Keep-Alive` timeout, so that the next request arrives before the
/// target closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Error of a request whose link was found broken.
pub(crate) const LINK_LOST: &str = "the link to the target was lost";

/// Pool of connections to targets; clones share it.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    links: Links,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    expires_at: Instant,
}

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request can have reached the target.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// The request may have reached the target.
    #[error("no response: {0}")]
    Unknown(String),
}

/// Connection in use; `release` returns it to the pool after a complete response.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    addr: SocketAddr,
    /// Whether it does not go through another instance.
    is_direct: bool,
    idle_timeout: Duration,
    pool: ConnectionPool,
}

/// Connection for calls without an id, which is not shared; opened by the first call.
///
/// Responses to different calls on it can't be told apart.
pub struct ExclusiveConnection {
    sender: Option<SendRequest<Full<Bytes>>>,
    addr: SocketAddr,
    links: Links,
}

impl ConnectionPool {
    /// Creates an empty pool that opens connections through `links`.
    pub fn new(links: Links) -> Self {
        Self { idle: Arc::default(), links }
    }

    /// Links that new connections are opened through.
    pub fn links(&self) -> &Links {
        &self.links
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a connection for calls without an id. It never goes through another instance.
    pub fn exclusive(&self, addr: SocketAddr) -> ExclusiveConnection {
        ExclusiveConnection { sender: None, addr, links: self.links.clone() }
    }

    /// Sends a caller's request on an idle or a new connection and returns the head of the response. A
    /// new connection may go through another instance.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        id: &RequestId,
    ) -> Result<(Connection, Response<Incoming>), SendError> {
        if self.links.status(addr) == LinkStatus::Silent {
            self.lock().remove(&addr);
        }
        let mut request = request;
        while let Some(mut sender) = self.take_idle(addr) {
            if sender.ready().await.is_err() {
                continue;
            }
            match self.send_on(addr, sender, true, request).await {
                Ok(sent) => return Ok(sent),
                // The connection was closed before the request was written; try the next one.
                Err(SendFailed { unsent: Some(unsent), .. }) => request = unsent,
                Err(failed) => return Err(failed.into()),
            }
        }
        let connected = open(self.links.connect(addr, id.as_str()).await).await;
        let (sender, is_direct) = connected.map_err(SendError::NotSent)?;
        self.send_on(addr, sender, is_direct, request).await.map_err(SendError::from)
    }

    async fn send_on(
        &self,
        addr: SocketAddr,
        mut sender: SendRequest<Full<Bytes>>,
        is_direct: bool,
        request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Incoming>), SendFailed> {
        let response = send(&self.links, addr, &mut sender, is_direct, request).await?;
        let idle_timeout = keep_alive_timeout(&response).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let pool = self.clone();
        Ok((Connection { sender, addr, is_direct, idle_timeout, pool }, response))
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut connections = self.lock();
        let idle = connections.get_mut(&addr)?;
        let now = Instant::now();
        while let Some(connection) = idle.pop() {
            if now < connection.expires_at && !connection.sender.is_closed() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Closes connections that exceeded their idle timeout.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        self.lock().retain(|_, idle| {
            idle.retain(|connection| now < connection.expires_at && !connection.sender.is_closed());
            !idle.is_empty()
        });
    }
}

impl Connection {
    /// Records that bytes of the target arrived.
    pub(crate) fn record_heard(&self) {
        if self.is_direct {
            self.pool.links.record_heard(self.addr);
        }
    }

    /// Resolves when the link of the connection is lost.
    pub(crate) async fn lost(&self) {
        match self.is_direct {
            true => self.pool.links.lost(self.addr).await,
            false => std::future::pending().await,
        }
    }

    /// Returns the connection to the pool for another request. One through another instance is closed,
    /// as that instance decides on each request whether the target takes any.
    pub fn release(self) {
        if !self.is_direct {
            return;
        }
        let mut connections = self.pool.lock();
        let idle = connections.entry(self.addr).or_default();
        if idle.len() < MAX_IDLE && !self.idle_timeout.is_zero() {
            idle.push(IdleConnection {
                sender: self.sender,
                expires_at: Instant::now() + self.idle_timeout,
            });
        }
    }
}

impl ExclusiveConnection {
    /// Makes a call, on a new connection if the one before has been closed, and reads the response. A
    /// response of more than `max_bytes` counts as none.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<(StatusCode, Bytes), SendError> {
        // Without a complete response, the connection is closed.
        let (sender, response) = match self.sender.take() {
            None => self.send_on_new(request).await?,
            Some(mut sender) => {
                match send(&self.links, self.addr, &mut sender, true, request).await {
                    Ok(response) => (sender, response),
                    Err(SendFailed { unsent: Some(unsent), .. }) => {
                        self.send_on_new(unsent).await?
                    }
                    Err(failed) => return Err(failed.into()),
                }
            }
        };
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, max_bytes).collect().await;
        let body = body.map_err(|e| SendError::Unknown(e.to_string()))?.to_bytes();
        self.sender = Some(sender);
        Ok((parts.status, body))
    }

    async fn send_on_new(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(SendRequest<Full<Bytes>>, Response<Incoming>), SendError> {
        let stream = self.links.connect_without_detour(self.addr).await;
        let (mut sender, _) = open(stream).await.map_err(SendError::NotSent)?;
        let response = send(&self.links, self.addr, &mut sender, true, request).await?;
        Ok((sender, response))
    }
}

/// Failure of a send.
struct SendFailed {
    error: String,
    /// The request, if no byte of it was written.
    unsent: Option<Request<Full<Bytes>>>,
}

impl From<SendFailed> for SendError {
    fn from(failed: SendFailed) -> Self {
        match failed.unsent {
            Some(_) => Self::NotSent(failed.error),
            None => Self::Unknown(failed.error),
        }
    }
}

/// Sends a request and waits for the head of a response.
async fn send(
    links: &Links,
    addr: SocketAddr,
    sender: &mut SendRequest<Full<Bytes>>,
    is_direct: bool,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendFailed> {
    let sent = tokio::select! {
        sent = sender.try_send_request(request) => sent,
        () = links.lost(addr), if is_direct => {
            let error = LINK_LOST.to_owned();
            return Err(SendFailed { error, unsent: None });
        }
    };
    match sent {
        Ok(response) => {
            if is_direct {
                links.record_heard(addr);
            }
            Ok(response)
        }
        Err(mut error) => {
            let unsent = error.take_message();
            Err(SendFailed { error: error.into_error().to_string(), unsent })
        }
    }
}

/// Starts HTTP on a connection; returns whether it is a direct one.
async fn open(
    stream: Result<LinkStream, ConnectError>,
) -> Result<(SendRequest<Full<Bytes>>, bool), String> {
    let stream = stream.map_err(|e| e.to_string())?;
    let is_direct = stream.through().is_none();
    let (sender, connection) = http1::handshake(stream).await.map_err(|e| e.to_string())?;
    // The request in progress reports an error itself; an idle connection is just dropped.
    tokio::spawn(connection);
    Ok((sender, is_direct))
}

/// Returns the `Keep-Alive` timeout of a response, less a margin.
fn keep_alive_timeout<T>(response: &Response<T>) -> Option<Duration> {
    let text = response.headers().get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let stated = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(stated.saturating_sub(IDLE_MARGIN))
}

/// Headers that apply to a single connection and are never forwarded.
const CONNECTION_HEADERS: [header::HeaderName; 5] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::UPGRADE,
    header::TE,
];

/// Removes the headers of a target's response that apply to its connection only.
pub(crate) fn response_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers
}
