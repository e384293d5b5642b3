//! TCP proxy that injects network faults between two processes.
//!
//! Architecture Invariant: without duplication, the bytes delivered in a direction of a connection
//! are a prefix of the bytes sent. A connection that has dropped bytes never delivers later ones;
//! it is reset as soon as the direction passes traffic again.

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
    serve::{CloseConnection, HandlerResult, json, merge_settings, problem, read_body, serve},
};

/// Size of the read buffer, and so the maximum size of a chunk.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of buffered chunks per direction of a connection; a full buffer stops reading.
const MAX_BUFFERED_CHUNKS: usize = 64;
/// Delay before a retry when listening or accepting fails.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a proxy; changes apply to existing and new connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// Address to forward new connections to.
    pub upstream: SocketAddr,
    /// Whether new connections are refused.
    pub refuse: bool,
    /// Faults from the client to the upstream.
    pub to_upstream: LinkSettings,
    /// Faults from the upstream to the client.
    pub to_client: LinkSettings,
}

/// Faults in one direction.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// Handling of bytes and of ends of connections.
    pub flow: Flow,
    /// Delay of each chunk, in milliseconds.
    pub delay_ms: u64,
    /// Maximum random addition to the delay, in milliseconds; chunks keep their order.
    pub jitter_ms: u64,
    /// Maximum bytes per second of a connection; unlimited if absent.
    pub bytes_per_second: Option<u64>,
    /// Probability that a chunk is delivered twice, which corrupts most protocols.
    pub duplicate: f64,
}

/// Handling of bytes and of ends of connections in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flow {
    /// Delivers bytes and ends of connections.
    #[default]
    Pass,
    /// Buffers bytes and ends of connections until the direction passes traffic again, as after a
    /// short partition.
    Hold,
    /// Silently drops bytes and ends of connections; the connections stay open.
    Drop,
}

/// Direction of traffic through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the upstream.
    ToUpstream,
    /// From the upstream to the client.
    ToClient,
}

/// Counters of a proxy since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyStats {
    /// Accepted connections.
    pub accepted: u64,
    /// Open connections.
    pub open: u64,
    /// Bytes delivered to the upstream.
    pub bytes_to_upstream: u64,
    /// Bytes delivered to the client.
    pub bytes_to_client: u64,
    /// Bytes dropped, in both directions together.
    pub dropped_bytes: u64,
}

/// Handle of a proxy in this process; dropping it stops the proxy and closes all connections.
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
    /// Bytes delivered, by `Direction`.
    delivered: [AtomicU64; 2],
    dropped_bytes: AtomicU64,
}

#[derive(Clone)]
struct State {
    settings: ProxySettings,
    /// Incremented by each reset; connections accepted under a lower value are reset.
    reset_generation: u64,
}

impl ProxySettings {
    /// Settings without faults that forward to an address.
    pub fn new(upstream: SocketAddr) -> Self {
        let (to_upstream, to_client) = Default::default();
        Self { upstream, refuse: false, to_upstream, to_client }
    }

    /// Returns these settings with the fields of a JSON object applied.
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
    /// Returns the other direction.
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
            state: watch::Sender::new(State { settings, reset_generation: 0 }),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            accepted: AtomicU64::new(0),
            open: AtomicU64::new(0),
            delivered: Default::default(),
            dropped_bytes: AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(port, listener, shared.clone()));
        Ok(Self { addr, shared, task })
    }

    /// Listen address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the settings.
    pub fn configure(&self, change: impl FnOnce(&mut ProxySettings)) {
        self.shared.state.send_modify(|state| change(&mut state.settings));
    }

    /// Silently drops all traffic in one direction.
    pub fn cut(&self, direction: Direction) {
        self.configure(|settings| settings.link_mut(direction).flow = Flow::Drop);
    }

    /// Silently drops all traffic in both directions.
    pub fn cut_both(&self) {
        self.cut(Direction::ToUpstream);
        self.cut(Direction::ToClient);
    }

    /// Removes all faults.
    pub fn heal(&self) {
        self.configure(|settings| *settings = ProxySettings::new(settings.upstream));
    }

    /// Resets all existing connections.
    pub fn reset_connections(&self) {
        self.shared.state.send_modify(|state| state.reset_generation += 1);
    }

    /// Counters since the start.
    pub fn stats(&self) -> ProxyStats {
        self.shared.stats()
    }

    /// Serves `GET /fake/stats`, `POST /fake/config` and `POST /fake/reset` until the future is
    /// dropped.
    pub async fn serve_control(&self, listener: TcpListener) {
        let shared = self.shared.clone();
        serve(listener, move |req: Request<Incoming>| shared.clone().control(req), || false).await;
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

    async fn control(self: Arc<Self>, req: Request<Incoming>) -> HandlerResult {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/fake/stats") => json(StatusCode::OK, &self.stats()),
            (&Method::POST, "/fake/reset") => {
                self.state.send_modify(|state| state.reset_generation += 1);
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

    /// Waits until a direction passes traffic.
    async fn wait_until_passing(&self, direction: Direction) {
        let mut state = self.state.subscribe();
        // `wait_for` fails only if the sender is dropped, and `self` owns it.
        let _ = state.wait_for(|s| s.settings.link(direction).flow == Flow::Pass).await;
    }

    /// Time at which to deliver a chunk that arrives now.
    fn delivery_time(&self, link: &LinkSettings) -> Instant {
        let jitter_ms = match link.jitter_ms {
            0 => 0,
            max => lock(&self.rng).random_range(0..=max),
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
        // Without a listener, the kernel refuses connections to the reserved port.
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
            // `changed` fails only if the sender is dropped, and `shared` owns it.
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

/// Counts a connection as open until dropped.
struct OpenConnectionGuard<'a>(&'a Shared);

impl<'a> OpenConnectionGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.open.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for OpenConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Forwards a connection until both directions are closed or the connection is reset.
async fn forward(client: TcpStream, shared: Arc<Shared>) {
    let _guard = OpenConnectionGuard::new(&shared);
    let mut state = shared.state.subscribe();
    let reset_generation = state.borrow().reset_generation;
    let _ = client.set_nodelay(true);
    let mut client = ResetOnDrop { stream: client, is_finished: false };
    // A TCP handshake needs packets in both directions.
    let can_connect = async {
        shared.wait_until_passing(Direction::ToUpstream).await;
        shared.wait_until_passing(Direction::ToClient).await;
    };
    tokio::select! {
        _ = state.wait_for(|state| state.reset_generation > reset_generation) => return,
        () = can_connect => {}
    }
    // A reset does not cancel the connection attempt, because the upstream would see a cancelled
    // attempt as a graceful close.
    let upstream = shared.state.borrow().settings.upstream;
    let Ok(upstream) = TcpStream::connect(upstream).await else { return };
    let _ = upstream.set_nodelay(true);
    let mut upstream = ResetOnDrop { stream: upstream, is_finished: false };
    let is_finished = tokio::select! {
        _ = state.wait_for(|state| state.reset_generation > reset_generation) => false,
        is_finished = relay_both(&mut client.stream, &mut upstream.stream, &shared) => is_finished,
    };
    client.is_finished = is_finished;
    upstream.is_finished = is_finished;
}

/// Relays both directions; returns whether both were closed gracefully.
async fn relay_both(client: &mut TcpStream, upstream: &mut TcpStream, shared: &Shared) -> bool {
    let (client_read, client_write) = client.split();
    let (upstream_read, upstream_write) = upstream.split();
    let result = tokio::try_join!(
        relay(client_read, upstream_write, Direction::ToUpstream, shared),
        relay(upstream_read, client_write, Direction::ToClient, shared),
    );
    result.is_ok()
}

/// Stream that is reset when dropped, unless it was closed gracefully.
struct ResetOnDrop {
    stream: TcpStream,
    is_finished: bool,
}

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        if !self.is_finished {
            // With zero linger, the kernel sends RST instead of FIN.
            let _ = self.stream.set_zero_linger();
        }
    }
}

/// Error that requires resetting the connection.
struct MustReset;

/// Relays one direction until it is closed gracefully, and forwards the close.
async fn relay(
    read: ReadHalf<'_>,
    write: WriteHalf<'_>,
    direction: Direction,
    shared: &Shared,
) -> Result<(), MustReset> {
    let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let has_lost_bytes = AtomicBool::new(false);
    tokio::try_join!(
        read_chunks(read, tx, &has_lost_bytes, direction, shared),
        write_chunks(write, rx, &has_lost_bytes, direction, shared),
    )
    .map(|_| ())
}

async fn read_chunks(
    mut read: ReadHalf<'_>,
    tx: mpsc::Sender<(Instant, Bytes)>,
    has_lost_bytes: &AtomicBool,
    direction: Direction,
    shared: &Shared,
) -> Result<(), MustReset> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let Ok(len) = read.read(&mut buf).await else {
            shared.wait_until_passing(direction).await;
            return Err(MustReset);
        };
        let link = shared.link(direction);
        if len == 0 {
            return Ok(());
        }
        if link.flow == Flow::Drop || has_lost_bytes.load(Ordering::Relaxed) {
            has_lost_bytes.store(true, Ordering::Relaxed);
            shared.drop_bytes(len);
            continue;
        }
        // The receiver is dropped only together with this future.
        let _ = tx.send((shared.delivery_time(&link), Bytes::copy_from_slice(&buf[..len]))).await;
    }
}

async fn write_chunks(
    mut write: WriteHalf<'_>,
    mut rx: mpsc::Receiver<(Instant, Bytes)>,
    has_lost_bytes: &AtomicBool,
    direction: Direction,
    shared: &Shared,
) -> Result<(), MustReset> {
    let mut state = shared.state.subscribe();
    loop {
        let next = tokio::select! {
            next = rx.recv() => next,
            () = reset_due(has_lost_bytes, direction, shared, &mut state) => return Err(MustReset),
        };
        let Some((due, chunk)) = next else { break };
        sleep_until(due).await;
        if shared.link(direction).flow == Flow::Hold {
            let passes_or_drops = |s: &State| s.settings.link(direction).flow != Flow::Hold;
            let _ = state.wait_for(passes_or_drops).await;
        }
        let link = shared.link(direction);
        if link.flow == Flow::Drop || has_lost_bytes.load(Ordering::Relaxed) {
            has_lost_bytes.store(true, Ordering::Relaxed);
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
                // The peer's reset arrives from the opposite direction, where faults delay it.
                shared.wait_until_passing(direction.opposite()).await;
                return Err(MustReset);
            }
            let len = chunk.len() as u64;
            shared.delivered[direction as usize].fetch_add(len, Ordering::Relaxed);
        }
    }
    // The end of the stream is held and dropped like its bytes.
    shared.wait_until_passing(direction).await;
    if has_lost_bytes.load(Ordering::Relaxed) {
        return Err(MustReset);
    }
    let _ = write.shutdown().await;
    Ok(())
}

/// Waits until the direction passes traffic again after having dropped bytes.
async fn reset_due(
    has_lost_bytes: &AtomicBool,
    direction: Direction,
    shared: &Shared,
    state: &mut watch::Receiver<State>,
) {
    loop {
        let passes = shared.link(direction).flow == Flow::Pass;
        if passes && has_lost_bytes.load(Ordering::Relaxed) {
            return;
        }
        if state.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
