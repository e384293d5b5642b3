//! The HTTP/1 listener, its connections and their graceful shutdown.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use http::Version;
use http_body_util::BodyExt;
use hyper::{body::Body as _, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use shallotdrum_links::{CallerStream, EndsWithConnection};
use shallotdrum_telemetry::event;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

use crate::{
    EntryConfig, EntryContext,
    budget::RetryBudget,
    context::{Phase, Shared},
    router,
    routing::InFlight,
    stall::WriteTimeoutStream,
};

/// Delay after a failed accept; the usual cause is that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time after the listener is closed in which idle connections must close: callers may still send
/// the rest of a request header or read the rest of a finished response. Well below the 30 s after
/// which platforms kill a process that is shutting down.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts the public HTTP server of an instance.
pub struct EntryServer;

/// Handle of a running entry; dropping it aborts the entry with all its connections.
pub struct EntryHandle {
    local_addr: SocketAddr,
    shared: Arc<Shared>,
    closed: watch::Receiver<bool>,
    task: JoinHandle<()>,
}

impl EntryServer {
    /// Starts to accept connections from `listener`, in a task of the current runtime.
    pub fn start(
        listener: TcpListener,
        cfg: EntryConfig,
        cx: EntryContext,
    ) -> io::Result<EntryHandle> {
        let local_addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            cfg,
            cx,
            budget: RetryBudget::new(Instant::now()),
            in_flight: InFlight::default(),
            phase: watch::Sender::new(Phase::Serving),
            stop_at: OnceLock::new(),
        });
        event!(shared.cx.log, ENTRY_LISTENING; "addr" => %local_addr);
        let (closed_tx, closed) = watch::channel(false);
        let task = tokio::spawn({
            let shared = shared.clone();
            async move {
                run(&shared, listener).await;
                event!(shared.cx.log, ENTRY_CLOSED);
                closed_tx.send_replace(true);
            }
        });
        Ok(EntryHandle { local_addr, shared, closed, task })
    }
}

impl EntryHandle {
    /// Local address of the listener.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Reports not ready from now on, closes the listener after `drain_delay` and ends requests after
    /// `stop_timeout`; returns at once.
    pub fn begin_drain(&self) {
        let is_first = self.shared.phase.send_if_modified(|phase| {
            let is_first = *phase == Phase::Serving;
            if is_first {
                let stop_at = tokio::time::Instant::now() + self.shared.cfg.stop_timeout;
                let _ = self.shared.stop_at.set(stop_at);
                *phase = Phase::Draining;
            }
            is_first
        });
        if is_first {
            event!(self.shared.cx.log, ENTRY_DRAINING);
        }
    }

    /// Waits until the listener is closed and all connections have ended.
    pub async fn closed(&self) {
        // An error means that the accept task has ended, and all connections with it.
        let _ = self.closed.clone().wait_for(|closed| *closed).await;
    }
}

impl Drop for EntryHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(shared: &Arc<Shared>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    let mut is_at_limit = false;
    let close = async {
        // The sender is in `shared`, so the wait cannot fail.
        let _ = shared.phase.subscribe().wait_for(|phase| *phase >= Phase::Draining).await;
        tokio::time::sleep(shared.cfg.drain_delay).await;
    };
    tokio::pin!(close);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next(), if !connections.is_empty() => continue,
            () = &mut close => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                event!(shared.cx.log, ENTRY_ACCEPT_FAILED; "error" => %e);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Closing the connection lets the load balancer try another instance at once.
        if connections.len() >= shared.cfg.limits.max_connections {
            if !is_at_limit {
                event!(shared.cx.log, ENTRY_CONNECTIONS_FULL; "limit" => connections.len());
            }
            is_at_limit = true;
            continue;
        }
        is_at_limit = false;
        connections.spawn(serve(shared.clone(), stream));
    }
    drop(listener);
    shared.phase.send_replace(Phase::Closing);
    while connections.join_next().await.is_some() {}
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    // With Nagle's algorithm, the end of a response could wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let limits = &shared.cfg.limits;
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
    let ends_with_connection = EndsWithConnection::default();
    let stream = CallerStream::new(stream, ends_with_connection.clone());
    let io = TokioIo::new(WriteTimeoutStream::new(stream, idle_timeout));
    let active = Arc::new(AtomicUsize::new(0));
    let service = service_fn(|req| {
        let (shared, request) = (shared.clone(), ActiveRequestGuard::new(&active));
        let ends_with_connection = ends_with_connection.clone();
        async move {
            let has_chunks = req.version() > Version::HTTP_10;
            let res = router::handle(&shared, req).await;
            if !has_chunks && res.body().size_hint().exact().is_none() {
                ends_with_connection.set();
            }
            // The request is active until hyper has consumed or dropped the whole body.
            let keep_active = move |e| {
                let _ = &request;
                e
            };
            Ok::<_, Infallible>(res.map(|body| body.map_err(keep_active).boxed_unsync()))
        }
    });
    let mut phase = shared.phase.subscribe();
    let _connection_guard = ConnectionGuard::new(&shared);
    // The buffer is twice the limit, so that headers slightly above it still get a problem
    // document; larger ones get a bare status 431 from hyper.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(2 * limits.max_header_bytes.max(8 * 1024))
        .serve_connection(io, service);
    tokio::pin!(connection);
    // `wait_for` returns a read guard that blocks the sender, so it is dropped at once.
    let closing = async { drop(phase.wait_for(|phase| *phase == Phase::Closing).await) };
    let result = tokio::select! {
        result = connection.as_mut() => Some(result),
        () = closing => None,
    };
    let result = match result {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            let timeout = CLOSE_TIMEOUT.min(idle_timeout);
            match tokio::time::timeout(timeout, connection.as_mut()).await {
                Ok(result) => result,
                // A caller that has sent only part of a header must not delay the shutdown.
                Err(_) if active.load(Ordering::Relaxed) == 0 => return,
                Err(_) => connection.await,
            }
        }
    };
    if let Err(e) = result {
        event!(shared.cx.log, ENTRY_CONNECTION_FAILED; "error" => %e);
    }
}

/// Counts a request as active on its connection until the response is written.
struct ActiveRequestGuard(Arc<AtomicUsize>);

impl ActiveRequestGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a connection in the metric of open connections until dropped.
struct ConnectionGuard<'a>(&'a Shared);

impl<'a> ConnectionGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.cx.metrics.connections().inc();
        Self(shared)
    }
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.cx.metrics.connections().dec();
    }
}
