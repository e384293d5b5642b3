//! Assembles an instance from its settings, and stops it gracefully.

use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_util::FutureExt;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use shallotdrum_consensus::{Node, NodeConfig};
use shallotdrum_control::{ControlView, InstanceAddrs, InstanceInfo, NEWEST_FORMAT, permit_term};
use shallotdrum_engine::{AnnounceReply, ClientTimeouts, EngineClient};
use shallotdrum_entry::{EntryConfig, EntryContext, EntryHandle, EntryServer};
use shallotdrum_gateway::{
    ConnectionPool, Gateway, GatewayContext, HeaderCodec, RetryAllowance, RevocationBound,
};
use shallotdrum_links::Links;
use shallotdrum_owner::{
    Forwarder, HeldPermits, InspectFn, OrderFn, OwnerContext, OwnerService, engine_orders,
    serve_forwarded,
};
use shallotdrum_rpc::{
    AdminApiServer, ControlClient, ControlClientConfig, Directory, PeerApiServer, Peers,
    PeersConfig, PermitRequest, RpcTransport,
};
use shallotdrum_scheduler::{EngineModel, Policy, SchedulerConfig, Scheduling};
use shallotdrum_settings::{PolicyMode, Scheduling as SchedulingSetting, Settings, WhenStale};
use shallotdrum_telemetry::{Metrics, event};
use shallotdrum_types::{Incarnation, InstanceId, PermitId};
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{Instant, timeout_at},
};

use crate::{
    admin::Admin,
    apply_costs::watch_costs,
    catalog::ViewCatalog,
    disk,
    follower::Follower,
    links::link_context,
    membership::{join, track_replicas},
    peer::Peer,
    place_channel,
    plane::ControlPlane,
    replica::Replica,
    session::{CaughtUpFn, SessionConfig, SessionManager},
    targets::TargetRelay,
    watch,
};

/// Timeout of a call to another instance; longer than the 9 s allowed for a whole manifest.
const PEER_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a proposal; leaves room for two elections of 1.2 s each.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of an attempt at one replica, so that an unresponsive one leaves time to try the others.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum time that a permit request waits at the leader for a free permit.
const PERMIT_WAIT: Duration = Duration::from_secs(1);

/// Number of applied entries between two snapshots of a seeded instance. Keeps the log below a
/// third of a 128 MB disk, although each entry may carry a route table of 100 KB or more.
const SEEDED_SNAPSHOT_EVERY: u64 = 200;

/// Number of entries kept before the newest snapshot of a seeded instance, for replicas that lag
/// slightly.
const SEEDED_RETAIN_ENTRIES: u64 = 50;

/// Interval of a target's announcements; three fit into its timeout.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;

/// Pause between checks of whether forwarded requests have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time reserved in the grace period for the end of the session and of the replica.
const STOP_MARGIN: Duration = Duration::from_secs(1);

/// Time reserved before `STOP_MARGIN` in which the callers of requests that are ended read their responses.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// Maximum number of open connections from other instances and operators.
const MAX_RPC_CONNECTIONS: u32 = 2000;

/// Listeners of an instance, opened before anything else so that a port in use is reported early.
pub struct Listeners {
    entry: TcpListener,
    rpc: TcpListener,
    data: TcpListener,
}

impl Listeners {
    /// Opens the listeners that the settings name.
    pub async fn open(settings: &Settings) -> Result<Self, InstanceError> {
        Ok(Self {
            entry: listen("addrs.entry", settings.addrs.entry).await?,
            rpc: listen("addrs.rpc", settings.addrs.rpc).await?,
            data: listen("addrs.data", settings.addrs.data).await?,
        })
    }
}

/// Functions that a front end supplies to the instance.
#[derive(Default)]
pub struct InstanceOptions {
    /// Sends orders to engines; `None` uses the engine client.
    pub order: Option<OrderFn>,
    /// Queries engines for their state; if `None`, announced load reports are used instead.
    pub inspect: Option<InspectFn>,
    /// Connections to targets.
    pub links: Links,
}

/// Running instance; call [`Instance::stop`] for a graceful stop.
pub struct Instance {
    front_end: FrontEndContext,
    entry: EntryHandle,
    rpc: ServerHandle,
    owner: Arc<OwnerService>,
    session: Arc<SessionManager>,
    replica: Option<Arc<Replica>>,
    /// Background tasks, aborted when the instance stops.
    tasks: JoinSet<()>,
    grace_period: Duration,
    serve_when_stale: bool,
    revocation: Option<RevocationBound>,
    memory: usize,
    place_channel: bool,
    startup_wait: Duration,
    is_first_start: bool,
    data_dir: Option<std::path::PathBuf>,
    log: slog::Logger,
}

/// Components that front ends share with the instance.
struct FrontEndContext {
    view: ControlView,
    client: ControlClient,
    peers: Peers,
    targets: TargetRelay,
    metrics: Metrics,
    /// First gateway of a front end, which answers operators.
    gateway: Arc<OnceLock<Weak<Gateway>>>,
}

/// Why an instance could not start.
#[derive(Debug, thiserror::Error)]
pub enum InstanceError {
    /// A listener could not be opened.
    #[error("cannot listen on {name} {addr}: {source}")]
    Listen {
        /// Setting that holds the address.
        name: &'static str,
        /// Address that could not be bound.
        addr: SocketAddr,
        /// Error reported by the operating system.
        source: std::io::Error,
    },
    /// The control replica could not start.
    #[error("cannot start the control replica: {0}")]
    Replica(#[from] shallotdrum_consensus::StartError),
    /// The entry could not start.
    #[error("cannot start the entry: {0}")]
    Entry(#[from] std::io::Error),
    /// The metrics could not be set up.
    #[error("cannot set up the metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// Two RPC interfaces define the same method.
    #[error("cannot register the RPC methods: {0}")]
    Rpc(#[from] jsonrpsee::core::RegisterMethodError),
}

impl Instance {
    /// Starts an instance with the default options.
    pub async fn start(
        settings: Settings,
        listeners: Listeners,
        log: slog::Logger,
    ) -> Result<Self, InstanceError> {
        let links = Links::new(settings.forwarded_targets.clone());
        let options = InstanceOptions { links, ..InstanceOptions::default() };
        Self::start_with(settings, listeners, options, log).await
    }

    /// Starts an instance with functions that a front end supplies.
    pub async fn start_with(
        settings: Settings,
        listeners: Listeners,
        options: InstanceOptions,
        log: slog::Logger,
    ) -> Result<Self, InstanceError> {
        let log = log.new(slog::o!("instance" => settings.instance.to_string()));
        let view = ControlView::new();
        let peers = Peers::new(PeersConfig { timeout: PEER_TIMEOUT });
        options.links.attach(link_context(&settings, &view, &log));
        let is_seeded = !settings.seeds.is_empty();
        let directory = directory(&settings);
        let client = ControlClient::new(
            ControlClientConfig {
                directory: directory.clone(),
                propose_timeout: PROPOSE_TIMEOUT,
                attempt_timeout: ATTEMPT_TIMEOUT,
            },
            peers.clone(),
        );
        let metrics = Metrics::new()?;
        let permits = HeldPermits::default();
        let mut tasks = JoinSet::new();

        let replica = match &settings.data_dir {
            Some(data_dir) => {
                let mut cfg = NodeConfig::new(
                    settings.instance.clone(),
                    data_dir.clone(),
                    initial_members(&settings),
                );
                if is_seeded {
                    // Entries may carry large route tables, and the disks may be small.
                    cfg.snapshot_every = SEEDED_SNAPSHOT_EVERY;
                    cfg.retain_entries = SEEDED_RETAIN_ENTRIES;
                }
                let transport = RpcTransport::new(peers.clone(), directory.clone());
                let node = Node::start(cfg, view.clone(), transport, log.clone()).await?;
                let replica = Replica::new(node, view.clone(), is_seeded, log.clone());
                tasks.spawn(replica.clone().run());
                if is_seeded {
                    let id = settings.instance.clone();
                    tasks.spawn(join(id, replica.clone(), client.clone(), log.clone()));
                }
                Some(replica)
            }
            None => None,
        };

        tasks.spawn(track_replicas(view.clone(), directory.clone()));
        tasks.spawn(watch::watch_state(view.clone(), metrics.clone(), log.clone()));
        tasks.spawn(watch_costs(view.clone(), replica.clone(), metrics.clone(), log.clone()));
        let is_caught_up = Arc::new(AtomicBool::new(false));
        let caught_up_fn: CaughtUpFn = match &replica {
            Some(replica) => {
                let status = replica.node.watch();
                Box::new(move || status.borrow().is_caught_up)
            }
            None => {
                let is_caught_up = is_caught_up.clone();
                Box::new(move || is_caught_up.load(Ordering::Relaxed))
            }
        };
        let session = SessionManager::new(
            SessionConfig {
                info: instance_info(&settings),
                format: settings
                    .max_control_format
                    .map_or(NEWEST_FORMAT, |max| max.min(NEWEST_FORMAT)),
                freshness_bound: Duration::from_millis(settings.freshness.bound_ms),
                is_caught_up: caught_up_fn,
            },
            client.clone(),
            view.clone(),
            permits.clone(),
            log.clone(),
        );
        if replica.is_none() {
            let follower = Follower {
                view: view.clone(),
                peers: peers.clone(),
                directory: directory.clone(),
                overdue: session.overdue(),
                is_caught_up,
                log: log.clone(),
            };
            tasks.spawn(follower.run());
        }
        let owner = OwnerService::new(owner_context(
            &settings, options, &view, &client, &session, &permits, &metrics, &log,
        ));
        tasks.spawn(owner.clone().run());
        let peer = Peer { replica: replica.clone(), owner: owner.clone() };
        let upgrade = settings
            .policy
            .place_channel
            .then(|| place_channel::upgrade(&peer, metrics.clone(), log.clone()));
        tasks.spawn(serve_forwarded(listeners.data, owner.clone(), upgrade));
        let gateway = Arc::new(OnceLock::new());
        let admin = Admin {
            instance: settings.instance.clone(),
            view: view.clone(),
            client: client.clone(),
            replica: replica.clone(),
            gateway: gateway.clone(),
        };
        let rpc = serve_rpc(listeners.rpc, peer, admin)?;
        tasks.spawn(session.clone().run());

        let forwarder = Forwarder::new().with_local(settings.advertised().data, owner.clone());
        let targets = TargetRelay {
            view: view.clone(),
            client: client.clone(),
            peers,
            owner: owner.clone(),
            session: session.clone(),
            log: log.clone(),
        };
        let front_end = FrontEndContext {
            view: view.clone(),
            client: client.clone(),
            peers: targets.peers.clone(),
            targets: targets.clone(),
            metrics: metrics.clone(),
            gateway,
        };
        let entry = EntryServer::start(
            listeners.entry,
            entry_config(&settings),
            entry_context(view, &session, targets, forwarder, metrics, &log),
        )?;
        event!(log, INSTANCE_STARTED; "entry" => %entry.local_addr());
        Ok(Self {
            front_end,
            entry,
            rpc,
            owner,
            session,
            replica,
            tasks,
            grace_period: settings.grace_period(),
            serve_when_stale: settings.freshness.when_stale == WhenStale::Serve,
            revocation: settings
                .revocation_ms
                .map(|ms| RevocationBound::new(Duration::from_millis(ms))),
            memory: settings.memory_bytes(),
            place_channel: settings.policy.place_channel,
            startup_wait: Duration::from_millis(settings.policy.startup_wait_ms),
            is_first_start: settings.forms_log,
            data_dir: settings.data_dir.clone(),
            log,
        })
    }

    /// Handle with which a front end reads and changes the control state.
    pub fn control_plane(&self) -> ControlPlane {
        ControlPlane {
            view: self.front_end.view.clone(),
            client: self.front_end.client.clone(),
            targets: self.front_end.targets.clone(),
            log: self.log.clone(),
        }
    }

    /// Creates a gateway through which a front end forwards opaque requests.
    pub fn gateway(
        &self,
        codec: HeaderCodec,
        retries: RetryAllowance,
        connections: ConnectionPool,
    ) -> Arc<Gateway> {
        let (session, manager) = (self.session.clone(), self.session.clone());
        let plane = self.control_plane();
        let cx = GatewayContext {
            view: self.front_end.view.clone(),
            session: Arc::new(move || session.current()),
            confirmation: Arc::new(move || manager.confirmation()),
            confirm_state: Arc::new(move |deadline| {
                let plane = plane.clone();
                async move { plane.confirm_state(deadline).await }.boxed()
            }),
            serve_when_stale: self.serve_when_stale,
            revocation: self.revocation,
            memory: self.memory,
            owner: self.owner.clone(),
            peers: self.front_end.peers.clone(),
            place_channel: self.place_channel,
            startup_wait: self.startup_wait,
            codec,
            retries,
            is_first_start: self.is_first_start,
            metrics: self.front_end.metrics.clone(),
            log: self.log.clone(),
        };
        let gateway = Gateway::new(cx, connections);
        // Of several gateways, the first one answers operators.
        let _ = self.front_end.gateway.set(Arc::downgrade(&gateway));
        gateway
    }

    /// Replaces the seeds after a change of the settings; the log's membership is unaffected.
    pub fn set_seeds(&self, seeds: Vec<InstanceId>) {
        self.front_end.client.directory().set_seeds(seeds);
    }

    /// Metrics of this instance; clones share one registry.
    pub fn metrics(&self) -> Metrics {
        self.front_end.metrics.clone()
    }

    /// Bound address of the entry listener.
    pub fn entry_addr(&self) -> SocketAddr {
        self.entry.local_addr()
    }

    /// Hands over the groups and the leadership, and waits for the requests in progress.
    async fn finish(&self) {
        self.session.begin_drain().await;
        self.owner.stop().await;
        if let Some(replica) = &self.replica {
            // Best effort: on failure the others elect a leader after their election timeout.
            let _ = replica.node.transfer_leadership().await;
        }
        let finished = async {
            self.entry.closed().await;
            while self.owner.in_progress() > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        finished.await;
    }

    /// Resolves when the control replica has failed, for example on a sync error; never resolves
    /// without a replica.
    pub async fn failed(&self) -> shallotdrum_consensus::FatalError {
        match &self.replica {
            Some(replica) => replica.node.failed().await,
            None => std::future::pending().await,
        }
    }

    /// Resolves when the control replica has failed and its data folder accepts writes again, so
    /// that a restart can succeed. Until then this instance serves without its replica.
    pub async fn failed_and_writable(&self) -> shallotdrum_consensus::FatalError {
        let error = self.failed().await;
        event!(self.log, REPLICA_WAITING; "error" => %error);
        if let Some(dir) = &self.data_dir {
            disk::wait_writable(dir).await;
        }
        error
    }

    /// Stops without interrupting a request in progress.
    ///
    /// The instance immediately reports that it is not ready and releases its groups to other
    /// instances. It accepts connections until the load balancer has had time to notice, then
    /// finishes the requests in progress.
    pub async fn stop(self) {
        self.stop_after(std::future::ready(())).await;
    }

    /// Like `stop`, for a front end with requests of its own, which `front_end` finishes meanwhile. As
    /// they may still be sent to targets, the instance holds its session and follows the control log
    /// until then.
    pub async fn stop_after(mut self, front_end: impl Future<Output = ()>) {
        event!(self.log, INSTANCE_STOPPING);
        let kill_at = Instant::now() + self.grace_period;
        self.entry.begin_drain();
        let (finished, ()) =
            tokio::join!(timeout_at(kill_at - STOP_MARGIN, self.finish()), front_end);
        if finished.is_err() {
            let after = self.grace_period.saturating_sub(STOP_MARGIN);
            event!(self.log, STOP_INCOMPLETE; "after_ms" => after.as_millis());
        }
        // The session ends by itself after its lease.
        let _ = timeout_at(kill_at - STOP_MARGIN / 2, self.session.end()).await;
        if let Some(replica) = &self.replica {
            replica.node.shutdown().await;
        }
        // Fails only if the server has already stopped.
        let _ = self.rpc.stop();
        self.tasks.shutdown().await;
        event!(self.log, INSTANCE_STOPPED);
    }
}

async fn listen(name: &'static str, addr: SocketAddr) -> Result<TcpListener, InstanceError> {
    TcpListener::bind(addr).await.map_err(|source| InstanceError::Listen { name, addr, source })
}

fn instance_info(settings: &Settings) -> InstanceInfo {
    let addrs = settings.advertised();
    InstanceInfo {
        instance: settings.instance.clone(),
        incarnation: new_incarnation(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        addrs: InstanceAddrs { entry: addrs.entry, rpc: addrs.rpc, data: addrs.data },
        replica: settings.is_replica(),
        cores: settings.cores,
    }
}

/// Incarnation of this process, derived from the wall clock so that it exceeds the previous one.
///
/// If the wall clock was set back, the control log refuses the new session until the previous one
/// expires a few seconds later.
fn new_incarnation() -> Incarnation {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    Incarnation(since_epoch.map_or(0, |time| time.as_millis() as u64))
}

/// Directory of the control replicas: a fixed list, or seeds that use the same RPC port as
/// this instance.
fn directory(settings: &Settings) -> Directory {
    let replicas = settings.replicas.iter().map(|r| (r.instance.clone(), r.rpc)).collect();
    match settings.seeds.is_empty() {
        true => Directory::listed(replicas),
        false => {
            Directory::seeded(settings.seeds.clone(), settings.advertised().rpc.port(), replicas)
        }
    }
}

/// Replicas of the initial configuration; none if a seeded instance joins an existing log.
fn initial_members(settings: &Settings) -> Vec<InstanceId> {
    match settings.seeds.is_empty() {
        true => settings.replicas.iter().map(|replica| replica.instance.clone()).collect(),
        false if settings.forms_log => settings.seeds.clone(),
        false => Vec::new(),
    }
}

#[expect(clippy::too_many_arguments, reason = "each part of the instance is used once")]
fn owner_context(
    settings: &Settings,
    options: InstanceOptions,
    view: &ControlView,
    client: &ControlClient,
    session: &Arc<SessionManager>,
    permits: &HeldPermits,
    metrics: &Metrics,
    log: &slog::Logger,
) -> OwnerContext {
    let mut scheduler = SchedulerConfig::new(settings.zone.clone());
    scheduler.counters = Some(metrics.overload_counters());
    scheduler.policy = match settings.policy.mode {
        PolicyMode::Adaptive => Policy::Adaptive,
        PolicyMode::Baseline => Policy::Baseline,
    };
    scheduler.scheduling = match settings.policy.scheduling {
        SchedulingSetting::Shares => Scheduling::Shares,
        SchedulingSetting::Urgency => Scheduling::Urgency,
        SchedulingSetting::WhenPaced => Scheduling::WhenPaced,
    };
    scheduler.max_outstanding_loads = settings.policy.max_loads;
    scheduler.engine_model = settings.policy.prefill_tokens_per_ms.map(|prefill_tokens_per_ms| {
        EngineModel { prefill_tokens_per_ms, ..EngineModel::default() }
    });
    if options.inspect.is_some() {
        scheduler.relative_ejection = true;
        scheduler.prefers_own_zone = false;
        // The age of an inspection is known, because inspections are not relayed.
        scheduler.report_transit = Duration::ZERO;
    }
    scheduler.stall_weight = settings.policy.stall_weight;
    scheduler.max_queued = settings.limits.max_queued;
    scheduler.max_queued_per_subscriber = settings.limits.max_queued_per_subscriber;

    let timeouts = ClientTimeouts {
        idle: Duration::from_millis(settings.limits.idle_timeout_ms),
        ..ClientTimeouts::default()
    };
    let engine = EngineClient::with_links(timeouts, options.links.clone());
    let manager = session.clone();
    let propose_client = client.clone();
    let (permit_client, permit_session, held) = (client.clone(), session.clone(), permits.clone());
    let (release_client, release_session, released) =
        (client.clone(), session.clone(), permits.clone());
    OwnerContext {
        view: view.clone(),
        session: Arc::new(move || manager.current()),
        propose: Arc::new(move |proposal| {
            let client = propose_client.clone();
            async move { client.propose(proposal).await }.boxed()
        }),
        permit: if !settings.policy.load_permits {
            Arc::new(|_| async { Some(PermitId(0)) }.boxed())
        } else {
            Arc::new(move |group| {
                let (client, permit_session, held) =
                    (permit_client.clone(), permit_session.clone(), held.clone());
                async move {
                    let wait_ms = PERMIT_WAIT.as_millis() as u64;
                    let request =
                        PermitRequest { session: permit_session.current()?, group, wait_ms };
                    let permit = client.permit(request).await.ok()?;
                    // The current leader does not know permits that a previous leader granted.
                    if permit_term(permit.id) < permit_session.leader_term() {
                        return None;
                    }
                    held.lock().unwrap_or_else(PoisonError::into_inner).insert(permit.id);
                    Some(permit.id)
                }
                .boxed()
            })
        },
        release: if !settings.policy.load_permits {
            Arc::new(|_| ())
        } else {
            Arc::new(move |permit| {
                released.lock().unwrap_or_else(PoisonError::into_inner).remove(&permit);
                let Some(session) = release_session.current() else { return };
                let client = release_client.clone();
                // If the release is lost, the permit expires at the leader.
                tokio::spawn(async move { client.release_permit(session, permit).await });
            })
        },
        order: options.order.unwrap_or_else(|| engine_orders(engine.clone())),
        inspect: options.inspect,
        engine,
        links: options.links,
        target_timeout: Duration::from_millis(settings.target_timeout_ms),
        scheduler,
        metrics: metrics.clone(),
        log: log.clone(),
        max_body_bytes: settings.limits.max_body_bytes,
    }
}

fn entry_config(settings: &Settings) -> EntryConfig {
    let cfg = EntryConfig::from(settings);
    let stop_timeout = cfg.stop_timeout.saturating_sub(STOP_MARGIN + RESPONSE_MARGIN);
    EntryConfig { stop_timeout, ..cfg }
}

fn entry_context(
    view: ControlView,
    session: &Arc<SessionManager>,
    targets: TargetRelay,
    forwarder: Forwarder,
    metrics: Metrics,
    log: &slog::Logger,
) -> EntryContext {
    let manager = session.clone();
    let (announce, leave, cache_events) = (targets.clone(), targets.clone(), targets);
    EntryContext {
        catalog: Arc::new(ViewCatalog(view)),
        forwarder,
        freshness: Arc::new(move || manager.confirmation().freshness),
        announce: Arc::new(move |announcement| {
            let targets = announce.clone();
            async move {
                targets.announce(announcement).await?;
                Ok(AnnounceReply { renew_after_ms: ANNOUNCE_INTERVAL_MS })
            }
            .boxed()
        }),
        leave: Arc::new(move |message| {
            let targets = leave.clone();
            async move { targets.leave(message.target, message.incarnation).await }.boxed()
        }),
        cache_events: Arc::new(move |events| {
            let targets = cache_events.clone();
            async move { targets.cache_events(events).await }.boxed()
        }),
        metrics,
        log: log.clone(),
    }
}

fn serve_rpc(
    listener: TcpListener,
    peer: Peer,
    admin: Admin,
) -> Result<ServerHandle, InstanceError> {
    let mut methods = PeerApiServer::into_rpc(peer);
    methods.merge(AdminApiServer::into_rpc(admin))?;
    let cfg = ServerConfig::builder()
        .max_connections(MAX_RPC_CONNECTIONS)
        .max_request_body_size(shallotdrum_rpc::MAX_MESSAGE_BYTES)
        .max_response_body_size(shallotdrum_rpc::MAX_MESSAGE_BYTES)
        .http_only()
        .set_tcp_no_delay(true)
        .build();
    let addr = listener.local_addr();
    let listener = listener.into_std();
    let (Ok(addr), Ok(listener)) = (addr, listener) else { unreachable!("an open listener") };
    let server = Server::builder().set_config(cfg).build_from_tcp(listener);
    match server {
        Ok(server) => Ok(server.start(methods)),
        Err(source) => Err(InstanceError::Listen { name: "addrs.rpc", addr, source }),
    }
}
