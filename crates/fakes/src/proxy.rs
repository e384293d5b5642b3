//! TCP proxy that injects faults between any two processes.
//!
//! Architecture Invariant: what the proxy delivers is a prefix of what was sent, unless duplication
//! is set. A connection that has lost bytes never delivers later ones: it is reset as soon as its
//! direction passes again.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::{mpsc, watch},
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    port::ReservedPort,
    presence::lock,
    serve::{Answer, CloseConnection, json, merge_settings, problem, read_body, serve},
};

/// Bytes that are read at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks held in each direction of a connection; then the sender is no longer read from.
const MAX_HELD_CHUNKS: usize = 64;
/// Time after which listening on a port that is in use is tried again.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a proxy; changes affect existing and new connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// Address that connections are forwarded to.
    pub upstream: SocketAddr,
    /// Refuses new connections.
    pub refuse: bool,
    /// Faults on the way to the upstream.
    pub to_upstream: LinkSettings,
    /// Faults on the way to the client.
    pub to_client: LinkSettings,
}

/// Faults of one direction.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// What becomes of bytes and of the ends of connections.
    pub flow: Flow,
    /// Delay of each chunk, in milliseconds.
    pub delay_ms: u64,
    /// Random addition to the delay, at most, in milliseconds; chunks keep their order.
    pub jitter_ms: u64,
    /// Bytes per second for each connection.
    pub bytes_per_second: Option<u64>,
    /// Probability that a chunk of bytes is delivered twice, which corrupts most protocols.
    pub duplicate: f64,
}

/// What becomes of bytes and of the ends of connections in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flow {
    /// They are delivered.
    #[default]
    Pass,
    /// They are delivered when the direction passes again, as after a short partition.
    Hold,
    /// They are silently dropped while connections stay open.
    Drop,
}

/// Direction through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the upstream.
    ToUpstream,
    /// From the upstream to the client.
    ToClient,
}

/// Counters of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyStats {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Connections that are open.
    pub open: u64,
    /// Bytes that were delivered to the upstream.
    pub bytes_to_upstream: u64,
    /// Bytes that were delivered to the client.
    pub bytes_to_client: u64,
    /// Bytes that were dropped in both directions.
    pub dropped_bytes: u64,
}

/// Handle of a proxy in this process; dropping it closes all connections.
pub struct FaultProxy {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    state: watch::Sender<State>,
    rng: Mutex<StdRng>,
    accepted: AtomicU64,
    open: AtomicU64,
    delivered: [AtomicU64; 2],
    dropped_bytes: AtomicU64,
}

#[derive(Clone)]
struct State {
    settings: ProxySettings,
    /// Connections that were opened at a lower number are reset.
    resets: u64,
}

impl ProxySettings {
    /// Forwards everything to an address.
    pub fn new(upstream: SocketAddr) -> Self {
        let (to_upstream, to_client) = Default::default();
        Self { upstream, refuse: false, to_upstream, to_client }
    }

    /// These settings with those that a JSON object names overwritten.
    pub fn merged(&self, json: &str) -> Result<Self, serde_json::Error> {
        merge_settings(self, json.as_bytes())
    }

    fn link(&self, direction: Direction) -> &LinkSettings {
        match direction {
            Direction::ToUpstream => &self.to_upstream,
            Direction::ToClient => &self.to_client,
        }
    }

    fn link_mut(&mut self, direction: Direction) -> &mut LinkSettings {
        match direction {
            Direction::ToUpstream => &mut self.to_upstream,
            Direction::ToClient => &mut self.to_client,
        }
    }
}

impl Direction {
    /// The other direction.
    #[must_use]
    pub fn opposite(self) -> Self {
        match self {
            Self::ToUpstream => Self::ToClient,
            Self::ToClient => Self::ToUpstream,
        }
    }
}

impl FaultProxy {
    /// Starts a proxy on a free loopback port.
    pub fn start(upstream: SocketAddr, seed: u64) -> io::Result<Self> {
        Self::start_on(ReservedPort::reserve()?, ProxySettings::new(upstream), seed)
    }

    /// Starts a proxy on a reserved port.
    pub fn start_on(port: ReservedPort, settings: ProxySettings, seed: u64) -> io::Result<Self> {
        let addr = port.addr();
        let listener = if settings.refuse { None } else { Some(port.listen()?) };
        let shared = Arc::new(Shared {
            state: watch::Sender::new(State { settings, resets: 0 }),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            accepted: AtomicU64::new(0),
            open: AtomicU64::new(0),
            delivered: Default::default(),
            dropped_bytes: AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(port, listener, shared.clone()));
        Ok(Self { addr, shared, task })
    }

    /// Address that the proxy listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the settings.
    pub fn configure(&self, change: impl FnOnce(&mut ProxySettings)) {
        self.shared.state.send_modify(|state| change(&mut state.settings));
    }

    /// Silently drops everything in one direction.
    pub fn cut(&self, direction: Direction) {
        self.configure(|settings| settings.link_mut(direction).flow = Flow::Drop);
    }

    /// Silently drops everything in both directions.
    pub fn cut_both(&self) {
        self.cut(Direction::ToUpstream);
        self.cut(Direction::ToClient);
    }

    /// Ends all faults.
    pub fn heal(&self) {
        self.configure(|settings| *settings = ProxySettings::new(settings.upstream));
    }

    /// Resets all existing connections.
    pub fn reset_connections(&self) {
        self.shared.state.send_modify(|state| state.resets += 1);
    }

    /// Counters since the start.
    pub fn stats(&self) -> ProxyStats {
        self.shared.stats()
    }

    /// Serves the control interface until the future is dropped: `GET /fake/stats`,
    /// `POST /fake/config` and `POST /fake/reset`.
    pub async fn serve_control(&self, listener: TcpListener) {
        let shared = self.shared.clone();
        serve(listener, move |req: Request<Incoming>| shared.clone().control(req)).await;
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn stats(&self) -> ProxyStats {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ProxyStats {
            accepted: get(&self.accepted),
            open: get(&self.open),
            bytes_to_upstream: get(&self.delivered[Direction::ToUpstream as usize]),
            bytes_to_client: get(&self.delivered[Direction::ToClient as usize]),
            dropped_bytes: get(&self.dropped_bytes),
        }
    }

    async fn control(self: Arc<Self>, req: Request<Incoming>) -> Answer {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/fake/stats") => json(StatusCode::OK, &self.stats()),
            (&Method::POST, "/fake/reset") => {
                self.state.send_modify(|state| state.resets += 1);
                json(StatusCode::OK, &serde_json::json!({}))
            }
            (&Method::POST, "/fake/config") => {
                let body = read_body(req.into_body()).await.map_err(|_| CloseConnection)?;
                let settings = self.state.borrow().settings.clone();
                match merge_settings(&settings, &body) {
                    Ok(changed) => {
                        self.state.send_modify(|state| state.settings = changed.clone());
                        json(StatusCode::OK, &changed)
                    }
                    Err(e) => problem(StatusCode::BAD_REQUEST, &e.to_string()),
                }
            }
            _ => problem(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn link(&self, direction: Direction) -> LinkSettings {
        self.state.borrow().settings.link(direction).clone()
    }

    /// Waits until a direction passes.
    async fn passes(&self, direction: Direction) {
        let mut state = self.state.subscribe();
        // The sender lives as long as this, so the wait does not fail.
        let _ = state.wait_for(|s| s.settings.link(direction).flow == Flow::Pass).await;
    }

    /// Time at which a chunk that arrives now is due.
    fn due(&self, link: &LinkSettings) -> Instant {
        let jitter_ms = match link.jitter_ms {
            0 => 0,
            most => lock(&self.rng).random_range(0..=most),
        };
        Instant::now() + Duration::from_millis(link.delay_ms + jitter_ms)
    }

    fn drop_bytes(&self, bytes: usize) {
        self.dropped_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Accepts connections while the settings allow it.
async fn accept(port: ReservedPort, mut listener: Option<TcpListener>, shared: Arc<Shared>) {
    let mut state = shared.state.subscribe();
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let refuse = state.borrow_and_update().settings.refuse;
        // Closing the listener makes the kernel refuse connections; the port stays reserved.
        match (&listener, refuse) {
            (Some(_), true) => listener = None,
            (None, false) => match port.listen() {
                Ok(new) => listener = Some(new),
                Err(_) => {
                    sleep(LISTEN_RETRY_INTERVAL).await;
                    continue;
                }
            },
            _ => {}
        }
        let accepted = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            // The sender lives as long as this task.
            _ = state.changed() => {}
            accepted = accepted => match accepted {
                Ok((client, _)) => {
                    shared.accepted.fetch_add(1, Ordering::Relaxed);
                    connections.spawn(forward(client, shared.clone()));
                }
                Err(_) => sleep(LISTEN_RETRY_INTERVAL).await,
            },
        }
    }
}

/// Counts an open connection.
struct OpenGuard<'a>(&'a Shared);

impl<'a> OpenGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.open.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Forwards one connection until both directions have ended or it is reset.
async fn forward(client: TcpStream, shared: Arc<Shared>) {
    let _guard = OpenGuard::new(&shared);
    let mut state = shared.state.subscribe();
    let resets = state.borrow().resets;
    let _ = client.set_nodelay(true);
    let mut client = ResetOnDrop { stream: client, is_finished: false };
    // Opening a connection takes packets in both directions.
    let can_connect = async {
        shared.passes(Direction::ToUpstream).await;
        shared.passes(Direction::ToClient).await;
    };
    tokio::select! {
        _ = state.wait_for(|state| state.resets > resets) => return,
        () = can_connect => {}
    }
    // A reset waits for the connection, since abandoning the attempt would end it regularly.
    let upstream = shared.state.borrow().settings.upstream;
    let Ok(upstream) = TcpStream::connect(upstream).await else { return };
    let _ = upstream.set_nodelay(true);
    let mut upstream = ResetOnDrop { stream: upstream, is_finished: false };
    let is_finished = tokio::select! {
        _ = state.wait_for(|state| state.resets > resets) => false,
        is_finished = pump_both(&mut client.stream, &mut upstream.stream, &shared) => is_finished,
    };
    client.is_finished = is_finished;
    upstream.is_finished = is_finished;
}

/// Returns whether both directions ended regularly.
async fn pump_both(client: &mut TcpStream, upstream: &mut TcpStream, shared: &Shared) -> bool {
    let (client_read, client_write) = client.split();
    let (upstream_read, upstream_write) = upstream.split();
    let result = tokio::try_join!(
        pump(client_read, upstream_write, Direction::ToUpstream, shared),
        pump(upstream_read, client_write, Direction::ToClient, shared),
    );
    result.is_ok()
}

/// Resets a connection when it is dropped before its regular end.
struct ResetOnDrop {
    stream: TcpStream,
    is_finished: bool,
}

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        if !self.is_finished {
            // Zero linger makes the kernel send a reset instead of a regular end.
            let _ = self.stream.set_zero_linger();
        }
    }
}

/// The connection has to be reset.
struct Broken;

/// Forwards one direction until its regular end, which it passes on.
async fn pump(
    read: ReadHalf<'_>,
    write: WriteHalf<'_>,
    direction: Direction,
    shared: &Shared,
) -> Result<(), Broken> {
    let (tx, rx) = mpsc::channel(MAX_HELD_CHUNKS);
    let has_hole = AtomicBool::new(false);
    tokio::try_join!(
        read_chunks(read, tx, &has_hole, direction, shared),
        write_chunks(write, rx, &has_hole, direction, shared),
    )
    .map(|_| ())
}

async fn read_chunks(
    mut read: ReadHalf<'_>,
    tx: mpsc::Sender<(Instant, Bytes)>,
    has_hole: &AtomicBool,
    direction: Direction,
    shared: &Shared,
) -> Result<(), Broken> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let Ok(len) = read.read(&mut buf).await else {
            shared.passes(direction).await;
            return Err(Broken);
        };
        let link = shared.link(direction);
        if len == 0 {
            return Ok(());
        }
        if link.flow == Flow::Drop || has_hole.load(Ordering::Relaxed) {
            has_hole.store(true, Ordering::Relaxed);
            shared.drop_bytes(len);
            continue;
        }
        // The writer ends only together with this future.
        let _ = tx.send((shared.due(&link), Bytes::copy_from_slice(&buf[..len]))).await;
    }
}

async fn write_chunks(
    mut write: WriteHalf<'_>,
    mut rx: mpsc::Receiver<(Instant, Bytes)>,
    has_hole: &AtomicBool,
    direction: Direction,
    shared: &Shared,
) -> Result<(), Broken> {
    let mut state = shared.state.subscribe();
    loop {
        let next = tokio::select! {
            next = rx.recv() => next,
            () = reset_due(has_hole, direction, shared, &mut state) => return Err(Broken),
        };
        let Some((due, chunk)) = next else { break };
        sleep_until(due).await;
        if shared.link(direction).flow == Flow::Hold {
            let passes_or_drops = |s: &State| s.settings.link(direction).flow != Flow::Hold;
            let _ = state.wait_for(passes_or_drops).await;
        }
        let link = shared.link(direction);
        if link.flow == Flow::Drop || has_hole.load(Ordering::Relaxed) {
            has_hole.store(true, Ordering::Relaxed);
            shared.drop_bytes(chunk.len());
            continue;
        }
        let copies = 1 + usize::from(
            link.duplicate > 0.0 && lock(&shared.rng).random_bool(link.duplicate.min(1.0)),
        );
        for _ in 0..copies {
            if let Some(rate) = link.bytes_per_second {
                sleep(Duration::from_secs_f64(chunk.len() as f64 / rate.max(1) as f64)).await;
            }
            if write.write_all(&chunk).await.is_err() {
                // That the receiver is gone shows in the other direction.
                shared.passes(direction.opposite()).await;
                return Err(Broken);
            }
            let len = chunk.len() as u64;
            shared.delivered[direction as usize].fetch_add(len, Ordering::Relaxed);
        }
    }
    // The end of a direction travels like its bytes.
    shared.passes(direction).await;
    if has_hole.load(Ordering::Relaxed) {
        return Err(Broken);
    }
    let _ = write.shutdown().await;
    Ok(())
}

/// Waits until the direction has lost bytes and passes again.
async fn reset_due(
    has_hole: &AtomicBool,
    direction: Direction,
    shared: &Shared,
    state: &mut watch::Receiver<State>,
) {
    loop {
        let passes = shared.link(direction).flow == Flow::Pass;
        if passes && has_hole.load(Ordering::Relaxed) {
            return;
        }
        if state.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
