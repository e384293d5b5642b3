//! Listener and connections.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use http_body_util::BodyExt;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
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
    stall::StallGuard,
};

/// Pause after a failed accept, which mostly means that the process has no free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait, once the listener is closed, for the rest of a header or for a caller to take the
/// end of a finished answer; well below the 30 s after which platforms end a stopping process.
const CLOSING_WAIT: Duration = Duration::from_secs(5);

/// Public HTTP server of an instance.
pub struct EntryServer;

/// Handle of a running entry; dropping it ends the entry at once.
pub struct EntryHandle {
    local_addr: SocketAddr,
    shared: Arc<Shared>,
    closed: watch::Receiver<bool>,
    task: JoinHandle<()>,
}

impl EntryServer {
    /// Starts to accept callers.
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
    /// Address that the entry listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Reports not ready at once and closes the listener after the drain delay.
    pub fn begin_drain(&self) {
        let is_first = self.shared.phase.send_if_modified(|phase| {
            let is_first = *phase == Phase::Serving;
            if is_first {
                *phase = Phase::Draining;
            }
            is_first
        });
        if is_first {
            event!(self.shared.cx.log, ENTRY_DRAINING);
        }
    }

    /// Waits until the listener is closed and all requests are finished.
    pub async fn closed(&self) {
        // An error means that the accept task is gone, which closed everything as well.
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
    let mut is_full = false;
    let close = async {
        // The sender is in `shared`, so the wait does not fail.
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // A closed connection lets the load balancer try another instance at once.
        if connections.len() >= shared.cfg.limits.max_connections {
            if !is_full {
                event!(shared.cx.log, ENTRY_CONNECTIONS_FULL; "limit" => connections.len());
            }
            is_full = true;
            continue;
        }
        is_full = false;
        connections.spawn(serve(shared.clone(), stream));
    }
    drop(listener);
    shared.phase.send_replace(Phase::Closing);
    while connections.join_next().await.is_some() {}
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    // Without this option the last part of an answer can wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let limits = &shared.cfg.limits;
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
    let io = TokioIo::new(StallGuard::new(stream, idle_timeout));
    let active = Arc::new(AtomicUsize::new(0));
    let service = service_fn(|req| {
        let (shared, request) = (shared.clone(), ActiveRequest::new(&active));
        async move {
            let res = router::handle(&shared, req).await;
            // The request is active until hyper has taken or dropped the whole body.
            let hold = move |e| {
                let _ = &request;
                e
            };
            Ok::<_, Infallible>(res.map(|body| body.map_err(hold).boxed_unsync()))
        }
    });
    let mut phase = shared.phase.subscribe();
    let _open = OpenConnection::new(&shared);
    // The buffer holds twice the limit, so that slightly too large headers still get a problem
    // document; far larger ones get hyper's plain status 431.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(2 * limits.max_header_bytes.max(8 * 1024))
        .serve_connection(io, service);
    tokio::pin!(connection);
    // The wait drops its guard at once; a guard must not be held while the connection is served.
    let closing = async { drop(phase.wait_for(|phase| *phase == Phase::Closing).await) };
    let result = tokio::select! {
        result = connection.as_mut() => Some(result),
        () = closing => None,
    };
    let result = match result {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            let wait = CLOSING_WAIT.min(idle_timeout);
            match tokio::time::timeout(wait, connection.as_mut()).await {
                Ok(result) => result,
                // A caller that has sent half a header must not hold up the stop.
                Err(_) if active.load(Ordering::Relaxed) == 0 => return,
                Err(_) => connection.await,
            }
        }
    };
    if let Err(e) = result {
        event!(shared.cx.log, ENTRY_CONNECTION_FAILED; "error" => %e);
    }
}

/// Counts a request of one connection until its response is written.
struct ActiveRequest(Arc<AtomicUsize>);

impl ActiveRequest {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts an open connection.
struct OpenConnection<'a>(&'a Shared);

impl<'a> OpenConnection<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.cx.metrics.connections().inc();
        Self(shared)
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.cx.metrics.connections().dec();
    }
}
