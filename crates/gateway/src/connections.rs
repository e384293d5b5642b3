//! Connection pool for targets.
//!
//! Architecture Invariant: a connection carries one request at a time and returns to the pool only
//! after a complete response; bytes that follow a response make it unusable.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use shallotdrum_links::{LinkStatus, Links};
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

    /// Sends a request on an idle or a new connection and returns the head of the response. With the
    /// id of a caller's request, a new connection may go through another instance.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        detour_for: Option<&RequestId>,
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
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(SendError::Unknown(error)),
            }
        }
        let connected = connect(&self.links, addr, detour_for).await;
        let (sender, is_direct) = connected.map_err(SendError::NotSent)?;
        match self.send_on(addr, sender, is_direct, request).await {
            Ok(sent) => Ok(sent),
            Err((error, Some(_))) => Err(SendError::NotSent(error)),
            Err((error, None)) => Err(SendError::Unknown(error)),
        }
    }

    async fn send_on(
        &self,
        addr: SocketAddr,
        mut sender: SendRequest<Full<Bytes>>,
        is_direct: bool,
        request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Incoming>), (String, Option<Request<Full<Bytes>>>)> {
        let lost = self.links.lost(addr);
        let sent = tokio::select! {
            sent = sender.try_send_request(request) => sent,
            () = lost, if is_direct => return Err((LINK_LOST.to_owned(), None)),
        };
        match sent {
            Ok(response) => {
                let idle_timeout = keep_alive_timeout(&response).unwrap_or(DEFAULT_IDLE_TIMEOUT);
                let pool = self.clone();
                let connection = Connection { sender, addr, is_direct, idle_timeout, pool };
                connection.record_heard();
                Ok((connection, response))
            }
            Err(mut error) => {
                let unsent = error.take_message();
                Err((error.into_error().to_string(), unsent))
            }
        }
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

/// Opens a connection; returns whether it is a direct one.
async fn connect(
    links: &Links,
    addr: SocketAddr,
    detour_for: Option<&RequestId>,
) -> Result<(SendRequest<Full<Bytes>>, bool), String> {
    let stream = match detour_for {
        Some(request) => links.connect(addr, request.as_str()).await,
        None => links.connect_without_detour(addr).await,
    };
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
