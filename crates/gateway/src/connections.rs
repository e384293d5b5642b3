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
use hyper_util::rt::TokioIo;
use shallotdrum_links::Links;
use tokio::time::{Instant, timeout};

/// Connect timeout. The round trip to a target takes about a millisecond; an attempt that loses a
/// packet would take a second longer and fails instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of idle connections per target.
const MAX_IDLE: usize = 24;

/// Idle timeout of a connection if the target does not send a `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Subtracted from a target's `Keep-Alive` timeout, so that the next request arrives before the
/// target closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

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
    Unknown(hyper::Error),
}

/// Connection in use; `release` returns it to the pool after a complete response.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    addr: SocketAddr,
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

    /// Sends a request on an idle or a new connection and returns the head of the response.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Incoming>), SendError> {
        let mut request = request;
        while let Some(mut sender) = self.take_idle(addr) {
            if sender.ready().await.is_err() {
                continue;
            }
            match self.send_on(addr, sender, request).await {
                Ok(sent) => return Ok(sent),
                // The connection was closed before the request was written; try the next one.
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(SendError::Unknown(error)),
            }
        }
        let sender = connect(&self.links, addr).await.map_err(SendError::NotSent)?;
        match self.send_on(addr, sender, request).await {
            Ok(sent) => Ok(sent),
            Err((error, Some(_))) => Err(SendError::NotSent(error.to_string())),
            Err((error, None)) => Err(SendError::Unknown(error)),
        }
    }

    async fn send_on(
        &self,
        addr: SocketAddr,
        mut sender: SendRequest<Full<Bytes>>,
        request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Incoming>), (hyper::Error, Option<Request<Full<Bytes>>>)>
    {
        match sender.try_send_request(request).await {
            Ok(response) => {
                let idle_timeout = keep_alive_timeout(&response).unwrap_or(DEFAULT_IDLE_TIMEOUT);
                Ok((Connection { sender, addr, idle_timeout, pool: self.clone() }, response))
            }
            Err(mut error) => {
                let unsent = error.take_message();
                Err((error.into_error(), unsent))
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
    /// Returns the connection to the pool for another request.
    pub fn release(self) {
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

async fn connect(links: &Links, addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = match timeout(CONNECT_TIMEOUT, links.connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(error.to_string()),
        Err(_) => return Err("timed out while connecting".to_owned()),
    };
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    // The request in progress reports an error itself; an idle connection is just dropped.
    tokio::spawn(connection);
    Ok(sender)
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
