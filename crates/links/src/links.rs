//! Opens connections to targets, and decides which links are broken.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, atomic::Ordering},
    time::Duration,
};

use hyper_util::rt::TokioIo;
use rand::seq::SliceRandom;
use shallotdrum_telemetry::event;
use shallotdrum_types::{InstanceId, PoolId};
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    LinkStatus, LinkStream,
    framing::Framings,
    link::Link,
    tunnel::{TunnelError, open_tunnel},
    witness::{NotOpen, QuestionFn, Witness, WitnessUse},
};

/// Timeout for a connection. The round trip to a target takes about a millisecond; an attempt that
/// loses a packet would take a second longer and fails instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout for a connection that shows whether a target is reachable, and time after which another
/// instance is asked for one: many round trips, and under half of the time of the shortest calls.
pub(crate) const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time of a check after which other instances are asked; direct connections go on being tried. An
/// instance with a small share of a core, which runs every 100 ms, needs the rest of `CHECK_TIMEOUT` for
/// the last one.
const ASK_AFTER: Duration = Duration::from_millis(100);

/// Interval at which a check begins direct connections: the operating system repeats the first packet of
/// one, if it is lost or the target accepts none at the moment, only after a second.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(125);

/// Minimum time for a last direct connection, once another instance has opened one. A check takes
/// `CHECK_TIMEOUT` at least.
const LAST_ATTEMPT: Duration = Duration::from_millis(50);

/// Turns of the runtime, the shortest that its timer has, in which connections read what has arrived and
/// hand it on to those that wait for it.
const READ_TURN: Duration = Duration::from_millis(1);
const READ_TURNS: usize = 3;

/// Time without a byte from a target, while a request waits, after which its link is checked.
const SILENCE: Duration = Duration::from_millis(350);

/// Interval between checks of a link.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between trials of a broken link.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which other instances are asked for one connection, all together and each.
const PEERS_TIMEOUT: Duration = Duration::from_millis(600);
const PEER_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum number of instances that are asked for one connection. Those that know of their own broken
/// links refuse at once.
const MAX_PEERS: usize = 6;

/// Number of other instances that a target must refuse to count as one that refuses all. One of them may
/// have a broken link itself and not know it yet.
const CONVINCING_REFUSALS: u32 = 2;

/// Time for which an instance that could not open a connection is asked last, and for which a target
/// that no instance reached is not asked for again.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);
const UNREACHABLE_MEMORY: Duration = Duration::from_millis(500);

/// Maximum wait of a request for a witness of its target. An instance with a small share of a core takes some
/// hundred milliseconds to open one.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without use after which a link is forgotten.
const LINK_MEMORY: Duration = Duration::from_secs(60);

/// Time since its last use within which a link is checked when another one is broken.
const RECENT_USE: Duration = Duration::from_secs(10);

/// Instance that may open connections for this one.
#[derive(Clone, Debug)]
pub struct PeerInstance {
    /// Its name, for log lines.
    pub instance: InstanceId,
    /// Its address for forwarded requests.
    pub data: SocketAddr,
    /// Order in which instances are asked, lowest first.
    pub rank: u8,
}

/// Functions that an instance supplies to its links.
pub struct LinkContext {
    /// Other instances.
    pub peers: Box<dyn Fn() -> Vec<PeerInstance> + Send + Sync>,
    /// Whether a target has this address.
    pub is_target: Box<dyn Fn(SocketAddr) -> bool + Send + Sync>,
    /// Receives the events of links.
    pub log: slog::Logger,
}

/// Why no connection to a target was opened.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The target, or its link, refuses connections.
    #[error("{0}")]
    Failed(#[from] io::Error),
    /// The target did not respond.
    #[error("timed out while connecting")]
    TimedOut,
    /// The link is broken, and no other instance opened a connection.
    #[error("the link to the target is broken, and no other instance reaches it")]
    NoDetour,
}

/// What a verdict on a link rests on.
struct Evidence {
    /// When the first direct connection was begun.
    begun_at: Instant,
    /// When other instances were asked.
    asked_at: Instant,
    /// `Link::arrivals` at `begun_at`.
    arrivals: u64,
}

impl Evidence {
    fn new(link: &Link) -> Self {
        let now = Instant::now();
        Self { begun_at: now, asked_at: now, arrivals: link.arrivals() }
    }

    /// Whether something of the target has arrived since.
    fn is_contradicted(&self, link: &Link) -> bool {
        link.arrivals() != self.arrivals
    }
}

/// Lets connections read what has arrived, after a time in which this process may not have run.
pub async fn read_arrived() {
    for _ in 0..READ_TURNS {
        sleep(READ_TURN).await;
    }
}

/// Waits for an operation whose time-out is held against a target. If this process did not run for some
/// time, what has arrived meanwhile is read before the time-out counts.
pub(crate) async fn timeout_read<F: Future>(limit: Duration, operation: F) -> Option<F::Output> {
    let mut operation = std::pin::pin!(operation);
    if let Ok(output) = timeout(limit, operation.as_mut()).await {
        return Some(output);
    }
    tokio::select! {
        biased;
        output = operation => Some(output),
        () = read_arrived() => None,
    }
}

/// Waits for an operation that takes several steps, each with an answer of another process. A time in
/// which this process does not run uses up half of the limit at most.
async fn timeout_running<F: Future>(limit: Duration, operation: F) -> Option<F::Output> {
    let mut operation = std::pin::pin!(operation);
    for _ in 0..2 {
        if let Ok(output) = timeout(limit / 2, operation.as_mut()).await {
            return Some(output);
        }
    }
    None
}

/// Decides whether a target is sent no requests at the moment.
type WithheldFn = Box<dyn Fn(SocketAddr) -> bool + Send + Sync>;

/// Opens connections to targets; clones share the state.
#[derive(Clone, Default)]
pub struct Links(Arc<Shared>);

#[derive(Default)]
struct Shared {
    /// Addresses at which this instance reaches targets behind a port forwarding.
    forwarded: BTreeMap<SocketAddr, SocketAddr>,
    context: OnceLock<LinkContext>,
    withheld: OnceLock<WithheldFn>,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    framings: Mutex<Framings>,
    /// When an instance could not open a connection.
    failed_peers: Mutex<HashMap<SocketAddr, Instant>>,
}

impl Links {
    /// Creates links to targets, of which those in `forwarded` are reached at another address than
    /// the one they announce. Without a context, they are never taken for broken.
    pub fn new(forwarded: BTreeMap<SocketAddr, SocketAddr>) -> Self {
        Self(Arc::new(Shared { forwarded, ..Shared::default() }))
    }

    /// Sets the functions by which other instances are found; later calls have no effect.
    pub fn attach(&self, cx: LinkContext) {
        let _ = self.0.context.set(cx);
    }

    /// Sets the function that keeps tunnels from targets that take no requests.
    pub fn withhold(&self, withheld: impl Fn(SocketAddr) -> bool + Send + Sync + 'static) {
        let _ = self.0.withheld.set(Box::new(withheld));
    }

    pub(crate) fn is_withheld(&self, target: SocketAddr) -> bool {
        self.0.withheld.get().is_some_and(|withheld| withheld(target))
    }

    pub(crate) fn is_target(&self, target: SocketAddr) -> bool {
        self.0.context.get().is_some_and(|cx| (cx.is_target)(target))
    }

    pub(crate) fn log(&self) -> Option<&slog::Logger> {
        self.0.context.get().map(|cx| &cx.log)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Link>>> {
        self.0.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn link(&self, target: SocketAddr) -> Arc<Link> {
        let mut links = self.lock();
        let link = links.entry(target).or_insert_with(|| Arc::new(Link::new(target)));
        link.clone()
    }

    fn framings(&self) -> MutexGuard<'_, Framings> {
        self.0.framings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether a response of a pool's target ends with its connection.
    pub fn record_framing(&self, pool: &PoolId, ends_with_connection: bool) {
        self.framings().record(pool, ends_with_connection);
    }

    /// Whether the next response of a pool's target may end with its connection.
    pub fn may_end_with_connection(&self, pool: &PoolId) -> bool {
        self.framings().may_end_with_connection(pool)
    }

    /// Lets a response that ends with its connection be checked at its end; to be called before the request
    /// is sent. `question` tells what to ask the target.
    ///
    /// `None` if the target does not answer within `limit`.
    pub async fn witness(
        &self,
        target: SocketAddr,
        limit: Duration,
        question: impl Fn() -> QuestionFn,
    ) -> Option<WitnessUse> {
        let begin = async {
            loop {
                match self.open_witness(target, &question).begin_use().await {
                    Ok(witness) => return Some(witness),
                    Err(NotOpen::Ended) => {}
                    Err(NotOpen::Failed) => return None,
                }
            }
        };
        timeout_running(limit.min(WITNESS_TIMEOUT), begin).await.flatten()
    }

    /// Returns the witness of a target.
    fn open_witness(&self, target: SocketAddr, question: &impl Fn() -> QuestionFn) -> Arc<Witness> {
        let link = self.link(target);
        link.record_used();
        let mut known = link.witness.lock().unwrap_or_else(PoisonError::into_inner);
        match known.as_ref().filter(|witness| !witness.is_over()) {
            Some(witness) => witness.clone(),
            None => known.insert(Witness::open(self.clone(), target, question())).clone(),
        }
    }

    /// Status of the link to a target.
    pub fn status(&self, target: SocketAddr) -> LinkStatus {
        self.lock().get(&target).map_or(LinkStatus::Open, |link| link.status())
    }

    /// Whether most of the links in use are broken.
    pub fn is_cut_off(&self) -> bool {
        let links = self.lock();
        let broken = links.values().filter(|link| link.is_broken()).count();
        let in_use = links.values().filter(|l| l.is_broken() || l.unused_for() < RECENT_USE);
        2 * broken > in_use.count()
    }

    /// Forgets links that were not used for long, and have no open connection.
    pub fn expire(&self) {
        self.lock().retain(|_, link| {
            link.unused_for() < LINK_MEMORY
                || link.status() != LinkStatus::Open
                || Arc::strong_count(link) > 1
        });
    }

    /// Opens a direct connection to a target.
    pub async fn connect_direct(&self, target: SocketAddr) -> io::Result<TcpStream> {
        let addr = self.0.forwarded.get(&target).copied().unwrap_or(target);
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        if let Some(link) = self.lock().get(&target) {
            link.record_opened();
        }
        Ok(stream)
    }

    /// Opens a connection to a target for a request, through another instance if the link is broken.
    pub async fn connect(
        &self,
        target: SocketAddr,
        request: &str,
    ) -> Result<LinkStream, ConnectError> {
        let link = self.link(target);
        link.record_used();
        if link.status() != LinkStatus::Open {
            return self.detour(&link, request).await.ok_or(ConnectError::NoDetour);
        }
        let mut evidence = Evidence::new(&link);
        let deadline = evidence.begun_at + CONNECT_TIMEOUT;
        let mut direct = std::pin::pin!(self.connect_direct(target));
        match timeout(CHECK_TIMEOUT, direct.as_mut()).await {
            Ok(Ok(stream)) => {
                return Ok(LinkStream::direct(stream, Some(link)));
            }
            Ok(Err(error)) => {
                evidence.asked_at = Instant::now();
                let Some(stream) = self.detour(&link, request).await else {
                    return Err(error.into());
                };
                // A target that restarts refuses connections for an instant.
                match timeout_read(LAST_ATTEMPT, self.connect_direct(target)).await {
                    Some(Ok(direct)) => return Ok(LinkStream::direct(direct, Some(link))),
                    Some(Err(_)) => self.mark_broken(&link, LinkStatus::Refusing, &evidence),
                    None => self.suspect(target),
                }
                return Ok(stream);
            }
            Err(_) => {}
        }
        let mut detour = std::pin::pin!(self.detour(&link, request));
        let stream = tokio::select! {
            connected = timeout_at(deadline, direct.as_mut()) => {
                let connected = connected.map_err(|_| ConnectError::TimedOut)??;
                return Ok(LinkStream::direct(connected, Some(link.clone())));
            }
            stream = detour.as_mut() => stream,
        };
        let Some(stream) = stream else {
            let connected = timeout_at(deadline, direct).await;
            let connected = connected.map_err(|_| ConnectError::TimedOut)??;
            return Ok(LinkStream::direct(connected, Some(link.clone())));
        };
        // A single packet may have been lost.
        self.suspect(target);
        Ok(stream)
    }

    /// Opens a direct connection to a target, whatever the state of its link.
    pub async fn connect_without_detour(
        &self,
        target: SocketAddr,
    ) -> Result<LinkStream, ConnectError> {
        let connected = timeout(CONNECT_TIMEOUT, self.connect_direct(target)).await;
        let stream = connected.map_err(|_| ConnectError::TimedOut)??;
        let link = self.lock().get(&target).cloned();
        Ok(LinkStream::direct(stream, link))
    }

    /// Asks other instances for a connection; `None` if there is none that reaches the target.
    async fn detour(&self, link: &Link, request: &str) -> Option<LinkStream> {
        let cx = self.0.context.get()?;
        if link.is_unreachable() {
            return None;
        }
        let mut left = PEERS_TIMEOUT;
        let mut refusals = 0;
        for peer in self.ranked_peers(cx) {
            let limit = left.min(PEER_TIMEOUT);
            let asked_at = Instant::now();
            let asked = open_tunnel(peer.data, link.target, request);
            let opened = timeout_running(limit, asked).await;
            left -= asked_at.elapsed().min(limit);
            let error = match opened {
                Some(Ok(stream)) => {
                    event!(cx.log, LINK_DETOUR; "request" => request, "addr" => %link.target,
                        "through" => %peer.instance);
                    let stream = TokioIo::new(stream);
                    return Some(LinkStream::through_instance(stream, peer.instance));
                }
                Some(Err(error)) => error,
                None => TunnelError::NoPeer("timed out".to_owned()),
            };
            event!(cx.log, LINK_DETOUR_REFUSED; "request" => request, "addr" => %link.target,
                "through" => %peer.instance, "error" => %error);
            match error {
                TunnelError::Refused => refusals += 1,
                _ => drop(self.failed_peers().insert(peer.data, Instant::now())),
            }
            if refusals >= CONVINCING_REFUSALS || left.is_zero() {
                break;
            }
        }
        link.record_unreachable(UNREACHABLE_MEMORY);
        None
    }

    fn failed_peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Instant>> {
        self.0.failed_peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Instances to ask, those that failed lately last.
    fn ranked_peers(&self, cx: &LinkContext) -> Vec<PeerInstance> {
        let mut peers = (cx.peers)();
        peers.shuffle(&mut rand::rng());
        let mut failed = self.failed_peers();
        failed.retain(|_, at| at.elapsed() < FAILURE_MEMORY);
        peers.sort_by_key(|peer| (failed.contains_key(&peer.data), peer.rank));
        peers.truncate(MAX_PEERS);
        peers
    }

    /// Starts a check of a link, unless one ended just before.
    pub fn suspect(&self, target: SocketAddr) {
        let links = self.clone();
        tokio::spawn(async move { links.check(target).await });
    }

    /// Checks whether a failure at a target is one of its link. Another instance must reach the target
    /// for that.
    pub async fn is_link_failure(&self, target: SocketAddr) -> bool {
        self.check(target).await;
        self.status(target) != LinkStatus::Open
    }

    /// Whether a target accepts connections, of this instance or of another one.
    pub async fn is_listening(&self, target: SocketAddr) -> bool {
        let direct = timeout_read(CONNECT_TIMEOUT, self.connect_direct(target)).await;
        matches!(direct, Some(Ok(_))) || self.is_reached_by_other(target).await
    }

    /// Whether a target refuses connections, of this instance and, as far as one can be asked, of
    /// another one.
    pub async fn is_refused(&self, target: SocketAddr, limit: Duration) -> bool {
        match timeout(limit, self.connect_direct(target)).await {
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                !self.is_reached_by_other(target).await
            }
            _ => false,
        }
    }

    async fn is_reached_by_other(&self, target: SocketAddr) -> bool {
        self.detour(&self.link(target), "check").await.is_some()
    }

    async fn check(&self, target: SocketAddr) {
        let link = self.link(target);
        let mut last_check = link.last_check.lock().await;
        if link.status() != LinkStatus::Open
            || last_check.is_some_and(|at| at.elapsed() < CHECK_INTERVAL)
        {
            return;
        }
        let mut evidence = Evidence::new(&link);
        if let Some(status) = self.try_link(&link, &mut evidence).await {
            self.mark_broken(&link, status, &evidence);
        }
        *last_check = Some(Instant::now());
    }

    /// Tries a link, and asks other instances; returns its status if it is broken.
    async fn try_link(&self, link: &Link, evidence: &mut Evidence) -> Option<LinkStatus> {
        let mut direct = std::pin::pin!(self.try_directly(link.target));
        let tried = timeout_read(ASK_AFTER, direct.as_mut()).await;
        evidence.asked_at = Instant::now();
        let mut is_refused = match tried {
            Some(Ok(())) => return None,
            Some(Err(_)) => true,
            None if evidence.is_contradicted(link) => return self.log_sound(link, evidence),
            None => false,
        };
        let mut detour = std::pin::pin!(self.detour(link, "check"));
        let mut is_reached = false;
        if !is_refused {
            tokio::select! {
                tried = direct.as_mut() => match tried {
                    Ok(()) => return self.log_sound(link, evidence),
                    Err(_) => is_refused = true,
                },
                opened = detour.as_mut() => {
                    opened?;
                    is_reached = true;
                }
            }
        }
        if !is_reached {
            detour.as_mut().await?;
        }
        let left = CHECK_TIMEOUT.saturating_sub(evidence.begun_at.elapsed());
        match timeout_read(left.max(LAST_ATTEMPT), self.try_directly(link.target)).await {
            Some(Ok(())) => self.log_sound(link, evidence),
            Some(Err(_)) => Some(LinkStatus::Refusing),
            None if is_refused => Some(LinkStatus::Refusing),
            None if evidence.is_contradicted(link) => self.log_sound(link, evidence),
            None => Some(LinkStatus::Silent),
        }
    }

    /// Begins direct connections at intervals until one opens or is refused.
    async fn try_directly(&self, target: SocketAddr) -> io::Result<()> {
        let mut attempts = JoinSet::new();
        loop {
            let links = self.clone();
            attempts.spawn(async move { links.connect_direct(target).await });
            if let Ok(Some(ended)) = timeout(ATTEMPT_INTERVAL, attempts.join_next()).await {
                return ended.map_err(io::Error::other)?.map(drop);
            }
        }
    }

    /// Logs that a link is not taken for broken.
    fn log_sound<T>(&self, link: &Link, evidence: &Evidence) -> Option<T> {
        let log = self.log()?;
        event!(log, LINK_SOUND; "addr" => %link.target,
            "heard_ms_ago" => link.silent_for().as_millis() as u64,
            "begun_ms_ago" => evidence.begun_at.elapsed().as_millis() as u64,
            "asked_ms_ago" => evidence.asked_at.elapsed().as_millis() as u64);
        None
    }

    /// Records that a link is broken, starts trials of it, and checks the other links in use.
    fn mark_broken(&self, link: &Arc<Link>, status: LinkStatus, evidence: &Evidence) {
        if !link.set(status) {
            return;
        }
        link.is_confirmed.store(false, Ordering::Relaxed);
        if let Some(log) = self.log() {
            event!(log, LINK_BROKEN; "addr" => %link.target, "status" => ?status,
                "heard_ms_ago" => link.silent_for().as_millis() as u64,
                "begun_ms_ago" => evidence.begun_at.elapsed().as_millis() as u64,
                "asked_ms_ago" => evidence.asked_at.elapsed().as_millis() as u64);
        }
        let others: Vec<_> = {
            let links = self.lock();
            let in_use = links.values().filter(|other| other.unused_for() < RECENT_USE);
            in_use.filter(|other| other.status() == LinkStatus::Open).map(|l| l.target).collect()
        };
        others.into_iter().for_each(|other| self.suspect(other));
        tokio::spawn(self.clone().try_until_open(link.clone()));
    }

    /// Tries a broken link until a connection opens.
    async fn try_until_open(self, link: Arc<Link>) {
        let broken_at = Instant::now();
        loop {
            sleep(TRIAL_INTERVAL).await;
            if !self.is_target(link.target) {
                self.lock().remove(&link.target);
                return;
            }
            let connected = timeout(CHECK_TIMEOUT, self.connect_direct(link.target)).await;
            if !matches!(connected, Ok(Ok(_))) {
                link.is_confirmed.store(true, Ordering::Relaxed);
                continue;
            }
            link.set(LinkStatus::Open);
            if let Some(log) = self.log() {
                event!(log, LINK_RESTORED; "addr" => %link.target,
                    "after_ms" => broken_at.elapsed().as_millis() as u64);
            }
            return;
        }
    }

    /// Resolves when the link to a target is found silent, while a request waits for bytes of the target;
    /// starts the check after some silence.
    pub async fn lost(&self, target: SocketAddr) {
        let link = self.link(target);
        let started = Instant::now();
        let watch = async {
            loop {
                let silence = link.silent_for().min(started.elapsed());
                match SILENCE.checked_sub(silence) {
                    Some(left) if !left.is_zero() => sleep(left).await,
                    _ => {
                        self.check(target).await;
                        sleep(CHECK_INTERVAL).await;
                    }
                }
            }
        };
        tokio::select! {
            () = link.silent() => {}
            () = watch => {}
        }
    }
}
