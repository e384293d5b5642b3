//! Connection pool for targets.
//!
//! Architecture Invariant: a connection carries one request at a time and returns to the pool only
//! after a complete response; bytes that follow a response make it unusable.
//!
//! Architecture Invariant: a response is taken as that of an attempt only if no other response can
//! have been due at its place. A target may write a response once more, later than the connection is
//! used again, and on another connection than before. So a connection never carries two requests with
//! the same id, a request goes to a target for the second time on a new connection (`send_on_new`), and
//! a response without an id is only accepted as the first one of its connection. Calls that have no id
//! use connections of their own (`exclusive`).

use std::{
    collections::{HashMap, hash_map::RandomState},
    hash::BuildHasher,
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
use shallotdrum_links::{ConnectError, LinkStatus, LinkStream, Links, ReadMeter, is_final};
use shallotdrum_types::RequestId;
use tokio::{
    task::AbortHandle,
    time::{Instant, timeout},
};

/// Maximum number of idle connections per target.
const MAX_IDLE: usize = 24;

/// Idle timeout of a connection if the target does not send a `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Subtracted from a target's `Keep-Alive` timeout, so that the next request arrives before the
/// target closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Maximum number of requests that a connection carries. The ids of all of them are remembered, in
/// 8 KB, as much as the read buffer of the connection takes.
const MAX_REQUESTS: usize = 1024;

/// Maximum wait until an idle connection takes a request. Its task gets there in microseconds, unless
/// the target responded to the request before without reading its whole body.
const READY_TIMEOUT: Duration = Duration::from_millis(10);

/// Time for which each connection to a target carries a single request, after a response that named
/// no request or another one, or bytes that are no response. A target in trouble goes on to send them;
/// this way, they cost no further request in that time.
const SINGLE_USE_TIME: Duration = Duration::from_secs(10);

/// Error of a request whose link was found broken.
pub(crate) const LINK_LOST: &str = "the link to the target was lost";

/// Pool of connections to targets; clones share it.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    kept: Arc<Mutex<Kept>>,
    /// Hashes the ids of requests.
    hasher: Arc<RandomState>,
    links: Links,
}

#[derive(Default)]
struct Kept {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
    /// Until when connections to a target carry a single request.
    single_use: HashMap<SocketAddr, Instant>,
}

struct IdleConnection {
    open: OpenConnection,
    expires_at: Instant,
}

struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    opened_at: Instant,
    _task: ConnectionTask,
    /// Whether it does not go through another instance.
    is_direct: bool,
    /// Limit on what the target sends.
    meter: ReadMeter,
    /// Hashes of the ids of the requests that it has carried.
    carried: Vec<u64>,
}

/// Task of a connection; dropping it closes the connection. By itself, the task goes on while the target
/// leaves a part of a request unread.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
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
    /// What arrived is no response; the request may have reached the target.
    #[error("unreadable response: {0}")]
    Unreadable(String),
}

/// Why a response is not taken as that of the request on its connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnattributedResponse {
    /// The target writes a response late, or once more.
    #[error("the response belongs to an earlier request on its connection")]
    Earlier,
    /// It names a request that the connection has not carried.
    #[error("the response belongs to another request")]
    Other,
    /// It names none, and may be one to an earlier request.
    #[error("the response names no request, and its connection has carried others")]
    Unnamed,
}

/// Connection in use; `release` returns it to the pool after a complete response.
pub struct Connection {
    open: OpenConnection,
    addr: SocketAddr,
    request: RequestId,
    /// Whether the response named the request.
    is_named: bool,
    idle_timeout: Duration,
    pool: ConnectionPool,
}

/// Connection for calls without an id, which is not shared; opened by the first call.
///
/// Responses to different calls on it can't be told apart.
pub struct ExclusiveConnection {
    open: Option<OpenConnection>,
    addr: SocketAddr,
    links: Links,
}

impl ConnectionPool {
    /// Creates an empty pool that opens connections through `links`.
    pub fn new(links: Links) -> Self {
        Self { links, ..Self::default() }
    }

    /// Links that new connections are opened through.
    pub fn links(&self) -> &Links {
        &self.links
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hash(&self, id: &RequestId) -> u64 {
        self.hasher.hash_one(id.as_str())
    }

    /// Sends a caller's request on an idle or a new connection and returns the head of the response,
    /// which is to be checked by `Connection::check_response`. A new connection may go through another
    /// instance.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        id: &RequestId,
    ) -> Result<(Connection, Response<Incoming>), SendError> {
        if self.links.status(addr) == LinkStatus::Silent {
            self.lock().idle.remove(&addr);
        }
        let mut request = request;
        while let Some(mut open) = self.take_idle(addr, id) {
            if !matches!(timeout(READY_TIMEOUT, open.sender.ready()).await, Ok(Ok(()))) {
                continue;
            }
            match self.send_on(addr, open, id, request).await {
                Ok(sent) => return Ok(sent),
                // The connection was closed before the request was written; try the next one.
                Err(SendFailed { unsent: Some(unsent), .. }) => request = unsent,
                Err(failed) => return Err(failed.into()),
            }
        }
        self.send_on_new(addr, request, id).await
    }

    /// Like `send`, always on a new connection: for a request that this target was sent before. A faulty
    /// target may write its refusal once more on any connection that it keeps, and that copy names the
    /// request.
    pub async fn send_on_new(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        id: &RequestId,
    ) -> Result<(Connection, Response<Incoming>), SendError> {
        let stream = self.links.connect(addr, id.as_str()).await;
        let open = open(stream).await.map_err(SendError::NotSent)?;
        self.send_on(addr, open, id, request).await.map_err(SendError::from)
    }

    /// Returns a connection for calls without an id. It never goes through another instance.
    pub fn exclusive(&self, addr: SocketAddr) -> ExclusiveConnection {
        ExclusiveConnection { open: None, addr, links: self.links.clone() }
    }

    async fn send_on(
        &self,
        addr: SocketAddr,
        mut open: OpenConnection,
        id: &RequestId,
        request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Incoming>), SendFailed> {
        open.carried.push(self.hash(id));
        let sent = send(&self.links, addr, &mut open, request).await;
        if sent.as_ref().is_err_and(|failed| failed.is_unreadable) {
            self.record_unattributed(addr);
        }
        let response = sent?;
        let idle_timeout = keep_alive_timeout(&response).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let (request, pool) = (id.clone(), self.clone());
        let connection = Connection { open, addr, request, is_named: false, idle_timeout, pool };
        Ok((connection, response))
    }

    /// Takes the latest idle connection that has not carried a request with this id.
    fn take_idle(&self, addr: SocketAddr, id: &RequestId) -> Option<OpenConnection> {
        let hash = self.hash(id);
        let mut kept = self.lock();
        let idle = kept.idle.get_mut(&addr)?;
        let now = Instant::now();
        idle.retain(|connection| connection.is_usable(now));
        let position = idle.iter().rposition(|c| !c.open.carried.contains(&hash))?;
        Some(idle.remove(position).open)
    }

    /// Closes connections that exceeded their idle timeout.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        let mut kept = self.lock();
        kept.idle.retain(|_, idle| {
            idle.retain(|connection| connection.is_usable(now));
            !idle.is_empty()
        });
        kept.single_use.retain(|_, until| now < *until);
    }

    /// Lets connections to a target carry a single request each for some time.
    fn record_unattributed(&self, addr: SocketAddr) {
        let mut kept = self.lock();
        kept.idle.remove(&addr);
        kept.single_use.insert(addr, Instant::now() + SINGLE_USE_TIME);
    }
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.expires_at && !self.open.sender.is_closed()
    }
}

impl Connection {
    /// Checks that a response is the one to the request, by the id that it names; an `Err` is a text
    /// that is not an id. Only then anything in the response concerns the request.
    pub fn check_response(
        &mut self,
        named: Option<&Result<RequestId, String>>,
    ) -> Result<(), UnattributedResponse> {
        let unattributed = match named {
            Some(Ok(id)) if *id == self.request => {
                self.is_named = true;
                return Ok(());
            }
            None if self.uses() == 1 => return Ok(()),
            None => UnattributedResponse::Unnamed,
            Some(Ok(id)) if self.open.carried.contains(&self.pool.hash(id)) => {
                UnattributedResponse::Earlier
            }
            Some(_) => UnattributedResponse::Other,
        };
        self.pool.record_unattributed(self.addr);
        Err(unattributed)
    }

    /// Number of requests that the connection has carried, with the present one.
    pub fn uses(&self) -> usize {
        self.open.carried.len()
    }

    /// When the connection was opened.
    pub(crate) fn opened_at(&self) -> Instant {
        self.open.opened_at
    }

    /// Records that a part of the response arrived.
    pub(crate) fn record_heard(&self) {
        self.open.meter.record_progress();
    }

    /// Resolves when the link of the connection is lost.
    pub(crate) async fn lost(&self) {
        match self.open.is_direct {
            true => self.pool.links.lost(self.addr).await,
            false => std::future::pending().await,
        }
    }

    /// Returns the connection to the pool for another request. One through another instance is closed,
    /// as that instance decides on each request whether the target takes any.
    pub fn release(self) {
        if !self.is_named {
            // The response to the next request could not be told from another one to this request.
            return self.pool.record_unattributed(self.addr);
        }
        if !self.open.is_direct || self.uses() >= MAX_REQUESTS || self.idle_timeout.is_zero() {
            return;
        }
        let now = Instant::now();
        let mut kept = self.pool.lock();
        if kept.single_use.get(&self.addr).is_some_and(|until| now < *until) {
            return;
        }
        let idle = kept.idle.entry(self.addr).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(IdleConnection { open: self.open, expires_at: now + self.idle_timeout });
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
        let (open, response) = match self.open.take() {
            None => self.send_on_new(request).await?,
            Some(mut open) => match send(&self.links, self.addr, &mut open, request).await {
                Ok(response) => (open, response),
                Err(SendFailed { unsent: Some(unsent), .. }) => self.send_on_new(unsent).await?,
                Err(failed) => return Err(failed.into()),
            },
        };
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, max_bytes).collect().await;
        let body = body.map_err(|e| SendError::Unknown(e.to_string()))?.to_bytes();
        self.open = Some(open);
        Ok((parts.status, body))
    }

    async fn send_on_new(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(OpenConnection, Response<Incoming>), SendError> {
        let stream = self.links.connect_without_detour(self.addr).await;
        let mut open = open(stream).await.map_err(SendError::NotSent)?;
        let response = send(&self.links, self.addr, &mut open, request).await?;
        Ok((open, response))
    }
}

/// Failure of a send.
struct SendFailed {
    error: String,
    /// The request, if no byte of it was written.
    unsent: Option<Request<Full<Bytes>>>,
    /// Whether bytes arrived that are no response.
    is_unreadable: bool,
}

impl From<SendFailed> for SendError {
    fn from(failed: SendFailed) -> Self {
        match failed.unsent {
            Some(_) => Self::NotSent(failed.error),
            None if failed.is_unreadable => Self::Unreadable(failed.error),
            None => Self::Unknown(failed.error),
        }
    }
}

/// Sends a request and waits for the head of a response.
async fn send(
    links: &Links,
    addr: SocketAddr,
    open: &mut OpenConnection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendFailed> {
    open.meter.expect_head();
    let sent = tokio::select! {
        sent = open.sender.try_send_request(request) => sent,
        () = links.lost(addr), if open.is_direct => {
            let error = LINK_LOST.to_owned();
            return Err(SendFailed { error, unsent: None, is_unreadable: false });
        }
    };
    match sent {
        Ok(response) => {
            open.meter.record_progress();
            match is_final(response.status()) {
                true => Ok(response),
                // Nothing in it counts, neither a signature nor that the request did not run.
                false => Err(SendFailed {
                    error: format!("status {} is no final one", response.status().as_u16()),
                    unsent: None,
                    is_unreadable: true,
                }),
            }
        }
        Err(mut error) => {
            let unsent = error.take_message();
            let error = error.into_error();
            Err(SendFailed { error: error.to_string(), unsent, is_unreadable: error.is_parse() })
        }
    }
}

/// Starts HTTP on a connection.
async fn open(stream: Result<LinkStream, ConnectError>) -> Result<OpenConnection, String> {
    let stream = stream.map_err(|e| e.to_string())?;
    let opened_at = Instant::now();
    let is_direct = stream.through().is_none();
    let meter = stream.meter().clone();
    let (sender, connection) = http1::handshake(stream).await.map_err(|e| e.to_string())?;
    // The request in progress reports an error itself; an idle connection is just dropped.
    let task = ConnectionTask(tokio::spawn(connection).abort_handle());
    Ok(OpenConnection { sender, opened_at, _task: task, is_direct, meter, carried: Vec::new() })
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
