//! Connections to targets, kept for further requests.
//!
//! Architecture Invariant: a connection carries one request at a time and is kept only after a
//! whole answer; bytes that follow an answer make it unusable.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

/// Longest wait for a new connection; targets are a millisecond away, a lost packet costs one
/// second more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Connections that are kept for one target.
const MAX_IDLE: usize = 24;

/// Idle time after which a connection is not used again, if the target states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Taken off the idle time that a target states, for the way of the next request.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Connections to targets; clones share them.
#[derive(Clone, Default)]
pub struct Connections(Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>);

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    until: Instant,
}

/// A request could not be exchanged.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request can have reached the target.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have reached the target.
    #[error("no answer: {0}")]
    Unknown(hyper::Error),
}

/// Connection in use; returned to the set after a whole answer.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    addr: SocketAddr,
    idle: Duration,
    set: Connections,
}

impl Connections {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request and returns the head of the answer.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Incoming>), SendError> {
        let mut request = request;
        while let Some(mut sender) = self.take(addr) {
            if sender.ready().await.is_err() {
                continue;
            }
            match self.send_on(addr, sender, request).await {
                Ok(answer) => return Ok(answer),
                // The connection was closed before the request was written.
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(SendError::Unknown(error)),
            }
        }
        let sender = connect(addr).await.map_err(SendError::NotSent)?;
        match self.send_on(addr, sender, request).await {
            Ok(answer) => Ok(answer),
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
                let idle = stated_idle(&response).unwrap_or(DEFAULT_IDLE);
                Ok((Connection { sender, addr, idle, set: self.clone() }, response))
            }
            Err(mut error) => {
                let unsent = error.take_message();
                Err((error.into_error(), unsent))
            }
        }
    }

    fn take(&self, addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut connections = self.lock();
        let idle = connections.get_mut(&addr)?;
        let now = Instant::now();
        while let Some(connection) = idle.pop() {
            if now < connection.until && !connection.sender.is_closed() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        self.lock().retain(|_, idle| {
            idle.retain(|connection| now < connection.until && !connection.sender.is_closed());
            !idle.is_empty()
        });
    }
}

impl Connection {
    /// Keeps the connection for another request.
    pub fn keep(self) {
        let mut connections = self.set.lock();
        let idle = connections.entry(self.addr).or_default();
        if idle.len() < MAX_IDLE && !self.idle.is_zero() {
            idle.push(Idle { sender: self.sender, until: Instant::now() + self.idle });
        }
    }
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(error.to_string()),
        Err(_) => return Err("the connection was not accepted in time".to_owned()),
    };
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    // Errors reach the request in progress; an idle connection is only dropped.
    tokio::spawn(connection);
    Ok(sender)
}

/// Time for which the target keeps the connection open, less a margin.
fn stated_idle<T>(response: &Response<T>) -> Option<Duration> {
    let text = response.headers().get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let stated = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(stated.saturating_sub(IDLE_MARGIN))
}

/// Headers that concern one connection only and are never passed on.
pub(crate) const CONNECTION_HEADERS: [header::HeaderName; 5] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::UPGRADE,
    header::TE,
];
