//! Requests whose places another instance grants: over the channel for places, by JSON-RPC, and both in one
//! deployment.
//!
//! Each instance has a runtime of its own in this process, and is killed by ending the runtime, which closes
//! all of its connections at once. Instance 0 is the control replica; 1 and 2 own a pool each.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use http::{HeaderMap, Method};
use rstest::rstest;
use serde_json::json;
use shallotdrum_daemon::{ControlPlane, Instance, InstanceOptions, Listeners};
use shallotdrum_engine::{Announcement, LoadReport, TargetKind};
use shallotdrum_gateway::{
    CallerRequest, ConnectionPool, Credentials, Gateway, GatewayResponse, HeaderCodec,
    ResponseInfo, RetryAllowance,
};
use shallotdrum_harness::{Deployment, InstancePorts, Operator, instance_settings, wait_until};
use shallotdrum_links::Links;
use shallotdrum_routes::{RetryPolicy, Route, RouteTable, WeightedPool};
use shallotdrum_rpc::AdminApiClient;
use shallotdrum_settings::Settings;
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{Incarnation, RequestError, Revision};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep, timeout},
};

use crate::setup::START_LIMIT;

/// Number of threads of an instance.
const WORKERS: usize = 2;

const POOLS: [&str; 2] = ["left", "right"];

/// Interval of the targets' announcements; several fit into their timeout.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a call takes at the target for each `/slow` in its path.
const SLOW: Duration = Duration::from_millis(400);

/// Times after the begin of a stop at which owners are frozen or killed: before, while and after their
/// groups are released.
const MID_STOP: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(4), Duration::from_millis(40)];

/// Time for which an instance is frozen; longer than the lease of its session.
const FROZEN: Duration = Duration::from_secs(5);

/// Deadline of the requests; a killed owner is replaced within a fraction of it.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Number of runs of each path at a target.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

struct Node {
    runtime: Option<Runtime>,
    /// Its background tasks end when it is dropped.
    instance: Option<Instance>,
    gateway: Arc<Gateway>,
    plane: ControlPlane,
    metrics: Metrics,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Node {
    async fn start(settings: Settings) -> Self {
        let runtime =
            Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build().unwrap();
        let started = runtime.spawn(async move {
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let listeners = Listeners::open(&settings).await.unwrap();
            let links = Links::default();
            let options = InstanceOptions { links: links.clone(), ..InstanceOptions::default() };
            let instance = Instance::start_with(settings, listeners, options, log).await.unwrap();
            let retries = RetryAllowance { ratio: 0.0, extra: 0.0, window: Duration::from_secs(1) };
            let gateway = instance.gateway(codec(), retries, ConnectionPool::new(links));
            (instance, gateway)
        });
        let (instance, gateway) = started.await.unwrap();
        let (plane, metrics) = (instance.control_plane(), instance.metrics());
        Self { runtime: Some(runtime), instance: Some(instance), gateway, plane, metrics }
    }

    /// Ends all tasks and connections of the instance, as SIGKILL does.
    fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Begins a planned stop.
    fn begin_stop(&mut self) -> JoinHandle<()> {
        let instance = self.instance.take().unwrap();
        self.runtime.as_ref().unwrap().spawn(instance.stop())
    }

    /// Keeps all threads of the instance from running anything else for a while.
    fn freeze(&self, time: Duration) {
        for _ in 0..WORKERS {
            self.runtime.as_ref().unwrap().spawn(async move { std::thread::sleep(time) });
        }
    }

    /// Sends a call and returns the status of its response.
    fn send(&self, path: &str) -> JoinHandle<Result<u16, RequestError>> {
        let request = CallerRequest {
            id: path.replace('/', "-").trim_matches('-').parse().unwrap(),
            caller: None,
            host: "desk.example".to_owned(),
            method: Method::GET,
            target: path.parse().unwrap(),
            credentials: Credentials::new(&[], HeaderMap::new()),
            headers: HeaderMap::new(),
            body: bytes::Bytes::new(),
            arrived: Instant::now(),
            timeout: TIMEOUT,
            generation: None,
            resume_after: None,
            resumes: None,
        };
        let gateway = self.gateway.clone();
        self.runtime.as_ref().unwrap().spawn(async move {
            match gateway.handle(request).await? {
                GatewayResponse::Whole { status, .. } => Ok(status.as_u16()),
                GatewayResponse::Stream { .. } => panic!("a call has no stream"),
            }
        })
    }
}

fn codec() -> HeaderCodec {
    HeaderCodec {
        write: Arc::new(|_, _| {}),
        read: Arc::new(|head| ResponseInfo {
            request: None,
            is_not_run: !head.status.is_success(),
            is_signed: true,
            is_leaving: false,
            is_brittle: false,
            pause: None,
            limit: None,
            load: None,
        }),
        ask: Arc::new(|_, _, _| unreachable!("the table has no pools")),
    }
}

/// Target that responds to each call and counts its runs.
async fn target() -> (SocketAddr, Runs) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let runs = Runs::default();
    let counted = runs.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let runs = counted.clone();
            tokio::spawn(async move {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    match stream.read_buf(&mut head).await {
                        Ok(0) | Err(_) => return,
                        Ok(_) => {}
                    }
                }
                let head = String::from_utf8_lossy(&head);
                let path = head.split(' ').nth(1).unwrap().to_owned();
                let slow = path.matches("/slow").count() as u32 * SLOW;
                *runs.lock().unwrap().entry(path).or_default() += 1;
                sleep(slow).await;
                let response =
                    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";
                let _ = stream.write_all(response.as_bytes()).await;
            });
        }
    });
    (addr, runs)
}

fn table() -> RouteTable {
    let route = |pool: &str| Route {
        name: pool.to_owned(),
        host: "desk.example".to_owned(),
        prefix: format!("/{pool}/"),
        shares: vec![WeightedPool { pool: pool.parse().unwrap(), weight: 1 }],
        repeat: RetryPolicy::AtMostOnce,
        timeout: TIMEOUT,
        objective: Duration::ZERO,
        rank: 0,
        max_targets: 1,
        is_public: false,
    };
    RouteTable {
        revision: Revision(1),
        routes: POOLS.iter().map(|pool| Arc::new(route(pool))).collect(),
        ..RouteTable::default()
    }
}

/// Three instances, and a target for each pool.
struct Instances {
    nodes: Vec<Node>,
    /// Address at which each instance opens connections for others.
    data: Vec<SocketAddr>,
    /// Target of each pool.
    targets: BTreeMap<&'static str, SocketAddr>,
    /// Instance that owns each pool.
    owners: BTreeMap<&'static str, usize>,
    runs: BTreeMap<&'static str, Runs>,
    replica: SocketAddr,
    _announcing: JoinSet<()>,
    _folder: tempfile::TempDir,
}

impl Instances {
    /// Starts instances, of which `without` has `policy.place_channel` off, and targets with some slots.
    async fn start(without: Option<usize>, slots: u32) -> Self {
        Self::start_several(3, without, slots).await
    }

    /// Like `start`, with a number of instances, of which the first is the control replica.
    async fn start_several(instances: usize, without: Option<usize>, slots: u32) -> Self {
        let deployment = Deployment::registry();
        let folder = tempfile::tempdir().unwrap();
        let ports: Vec<_> = (0..instances).map(|_| InstancePorts::reserve().unwrap()).collect();
        let replicas = [ports[0].rpc.addr()];
        let mut nodes = Vec::new();
        for (i, ports) in ports.iter().enumerate() {
            let mut settings = instance_settings(&deployment, i, ports, &replicas, folder.path());
            settings["policy"]["place_channel"] = json!(Some(i) != without);
            nodes.push(Node::start(Settings::from_json(&settings.to_string()).unwrap()).await);
        }
        let operator = Operator::default();
        operator.wait_for_instances(replicas[0], nodes.len(), START_LIMIT).await.unwrap();
        nodes[0].plane.put_routes(Arc::new(table())).await.unwrap();
        let (mut announcing, mut targets, mut runs) =
            (JoinSet::new(), BTreeMap::new(), BTreeMap::new());
        for pool in POOLS {
            let (addr, counted) = target().await;
            runs.insert(pool, counted);
            targets.insert(pool, addr);
            let announcement = Announcement {
                target: format!("target-{pool}").parse().unwrap(),
                incarnation: Incarnation(1),
                addr,
                pool: pool.parse().unwrap(),
                region: deployment.region.clone(),
                zone: deployment.zones[0].clone(),
                kind: TargetKind::Service { max_concurrent: slots },
                software: None,
                load: LoadReport::default(),
            };
            let plane = nodes[0].plane.clone();
            let runtime = nodes[0].runtime.as_ref().unwrap().handle().clone();
            announcing.spawn(async move {
                loop {
                    let (plane, announcement) = (plane.clone(), announcement.clone());
                    // Before a target is registered, an instance that is starting may refuse it.
                    let _ = runtime.spawn(async move { plane.announce(announcement).await }).await;
                    sleep(ANNOUNCE_INTERVAL).await;
                }
            });
        }
        let poll = || async {
            let owners = owners(&operator, replicas[0]).await;
            let distinct: BTreeSet<_> = owners.values().filter(|owner| **owner != 0).collect();
            match distinct.len() == POOLS.len() {
                true => Ok(owners),
                false => Err(format!("{owners:?}")),
            }
        };
        let what = "two instances other than the replica own a pool each";
        let (owners, _) = wait_until(what, START_LIMIT, poll).await.unwrap();
        let this = Self {
            nodes,
            data: ports.iter().map(|ports| ports.data.addr()).collect(),
            targets,
            owners,
            runs,
            replica: replicas[0],
            _announcing: announcing,
            _folder: folder,
        };
        // Each instance has the table and knows the owners.
        for node in &this.nodes {
            let poll = || async {
                let is_known = node.gateway.is_ready()
                    && POOLS.iter().all(|pool| {
                        node.plane.knows_target(&format!("target-{pool}").parse().unwrap())
                    });
                is_known.then_some(()).ok_or_else(|| "not ready".to_owned())
            };
            wait_until("the instance serves", START_LIMIT, poll).await.unwrap();
        }
        this
    }

    /// Pool that an instance owns.
    fn pool_of(&self, owner: usize) -> &'static str {
        self.owners.iter().find(|(_, i)| **i == owner).unwrap().0
    }

    /// Sends calls from an instance to a pool, and panics unless each one is answered.
    async fn serve_all(&self, from: usize, pool: &str, calls: usize) {
        let sent: Vec<_> =
            (0..calls).map(|n| self.nodes[from].send(&format!("/{pool}/{from}/{n}"))).collect();
        for (n, call) in sent.into_iter().enumerate() {
            assert_eq!(call.await.unwrap(), Ok(200), "call {n} from {from} to {pool}");
        }
    }

    /// Panics unless each call ran exactly once at the target of a pool.
    fn check_runs(&self, pool: &str, calls: usize) {
        let runs = self.runs[pool].lock().unwrap();
        assert_eq!(runs.len(), calls, "{runs:?}");
        assert!(runs.values().all(|count| *count == 1), "a call ran twice: {runs:?}");
    }
}

/// Instance that owns the only group of each pool.
async fn owners(operator: &Operator, rpc: SocketAddr) -> BTreeMap<&'static str, usize> {
    let groups = operator.client(rpc).unwrap().groups().await.unwrap_or_default();
    let owned = groups.iter().filter_map(|group| {
        let pool = POOLS.into_iter().find(|pool| *pool == group.group.pool.as_str())?;
        let owner = group.owner.as_ref()?.as_str().strip_prefix("instance-")?;
        Some((pool, owner.parse().ok()?))
    });
    owned.collect()
}

/// Guards against instances that do not serve each other's requests because only one of them has the channel
/// for places, and against a channel that is not used between two that have it.
#[rstest]
#[case::both_have_it(None)]
#[case::one_has_it(Some(2))]
#[tokio::test(flavor = "multi_thread")]
async fn places_in_both_directions(#[case] without: Option<usize>) {
    const CALLS: usize = 40;
    // Enough that no request is refused for its expected wait.
    let instances = Instances::start(without, 2 * CALLS as u32).await;
    let (first, second) = (instances.pool_of(1), instances.pool_of(2));
    tokio::join!(
        instances.serve_all(0, first, CALLS),
        instances.serve_all(0, second, CALLS),
        instances.serve_all(1, second, CALLS),
        instances.serve_all(2, first, CALLS),
    );
    for pool in POOLS {
        instances.check_runs(pool, 2 * CALLS);
    }
    let [replica, one, two] = &instances.nodes[..] else { panic!("three instances") };
    let sent = |node: &Node| node.metrics.place_channel_requests().get() as usize;
    assert!(sent(replica) >= CALLS, "{} requests from 0 by the channel", sent(replica));
    match without {
        None => {
            assert!(sent(one) >= CALLS, "{} requests from 1 by the channel", sent(one));
            assert!(sent(two) >= CALLS, "{} requests from 2 by the channel", sent(two));
            assert_eq!(two.metrics.place_channels_served().get(), 2);
            for node in &instances.nodes {
                assert_eq!(node.metrics.place_channel_fallbacks().get(), 0);
            }
        }
        Some(_) => {
            assert_eq!(sent(two), 0);
            for node in [replica, one] {
                assert_eq!(node.metrics.place_channel_fallbacks().get() as usize, CALLS);
            }
            assert_eq!(two.metrics.place_channels_served().get(), 0);
        }
    }
    assert_eq!(instances.nodes[1].metrics.place_channel_failures().get(), 0);
}

/// Guards against requests that hang, fail or run twice because the owner that they wait for is killed, and
/// against a pool that is not served afterwards.
#[rstest]
#[case::both_have_it(None, 1)]
#[case::killed_has_it(Some(2), 1)]
#[case::killed_has_none(Some(2), 2)]
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_while_requests_wait(#[case] without: Option<usize>, #[case] killed: usize) {
    const CALLS: usize = 10;
    let mut instances = Instances::start(without, 1).await;
    let pool = instances.pool_of(killed);
    let alive = [0, 3 - killed];
    let calls: Vec<_> = alive
        .into_iter()
        .flat_map(|from| (0..CALLS).map(move |n| (from, format!("/{pool}/slow/{from}/{n}"))))
        .map(|(from, path)| (instances.nodes[from].send(&path), path))
        .collect();
    let runs = instances.runs[pool].clone();
    let poll = || async {
        let running = runs.lock().unwrap().len();
        (running > 0).then_some(running).ok_or_else(|| "none".to_owned())
    };
    let (running, _) = wait_until("a call runs", START_LIMIT, poll).await.unwrap();
    assert!(running < calls.len(), "no request waited");
    // Lets the other requests reach the owner's queue.
    sleep(SLOW / 4).await;
    instances.nodes[killed].kill();
    let killed_at = Instant::now();
    for (call, path) in calls {
        let ended = timeout(TIMEOUT + Duration::from_secs(2), call).await;
        let ended = ended.unwrap_or_else(|_| panic!("{path} hangs"));
        assert_eq!(ended.unwrap(), Ok(200), "{path}, {:?} after the kill", killed_at.elapsed());
    }
    if Some(killed) != without {
        let failures = instances.nodes[0].metrics.place_channel_failures().get();
        assert!(failures > 0, "no request waited on the channel");
    }
    eprintln!("measured: all served {:?} after the kill", killed_at.elapsed());
    instances.check_runs(pool, 2 * CALLS);
    for from in alive {
        instances.serve_all(from, pool, 5).await;
    }
}

/// What happens to owners while requests wait for places of a pool.
#[derive(Clone, Copy, Debug)]
enum OwnerStops {
    /// Each owner stops once it has granted places.
    InTurn,
    /// The owner stops together with all that may succeed it but one.
    Together,
    /// Each owner stops and is frozen meanwhile.
    Frozen,
    /// Each owner stops and is killed meanwhile.
    Killed,
}

/// Guards against requests whose wait for a place is lost when their owner stops.
#[rstest]
#[case::in_turn(OwnerStops::InTurn)]
#[case::together(OwnerStops::Together)]
#[case::frozen(OwnerStops::Frozen)]
#[case::killed(OwnerStops::Killed)]
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_while_owners_stop(
    #[case] stops: OwnerStops,
    #[values(None, Some(0))] without: Option<usize>,
) {
    // The replica, owners that stop, and one that remains.
    const INSTANCES: usize = MID_STOP.len() + 2;
    const CALLS: usize = 10;
    let mut instances = Instances::start_several(INSTANCES, without, 1).await;
    let (operator, replica) = (Operator::default(), instances.replica);
    let pool = POOLS[0];
    let runs = instances.runs[pool].clone();
    let mut calls = Vec::new();
    let mut stopping = BTreeSet::new();
    for (phase, mid_stop) in MID_STOP.into_iter().enumerate() {
        let poll = || async {
            let owner = owners(&operator, replica).await.get(pool).copied();
            owner.filter(|i| !stopping.contains(i)).ok_or_else(|| format!("owner {owner:?}"))
        };
        let (owner, _) = wait_until("an instance owns the pool", START_LIMIT, poll).await.unwrap();
        let began = runs.lock().unwrap().len();
        calls.extend((0..CALLS).map(|n| {
            let path = format!("/{pool}/slow/{phase}/{n}");
            (instances.nodes[0].send(&path), path, Instant::now())
        }));
        let poll = || async {
            let running = runs.lock().unwrap().len();
            (running > began).then_some(()).ok_or_else(|| "none".to_owned())
        };
        wait_until("a call runs", START_LIMIT, poll).await.unwrap();
        let stopped: Vec<_> = match stops {
            OwnerStops::Together => {
                let others = (1..INSTANCES).filter(|i| *i != owner);
                others.skip(1).chain([owner]).collect()
            }
            _ => vec![owner],
        };
        for i in &stopped {
            instances.nodes[*i].begin_stop();
        }
        stopping.extend(stopped);
        let left = calls.len() - runs.lock().unwrap().len();
        assert!(left > 0, "no request waits");
        eprintln!("measured: {stops:?} of {owner} while {left} requests wait");
        match stops {
            OwnerStops::InTurn => {}
            OwnerStops::Together => break,
            OwnerStops::Frozen => {
                sleep(mid_stop).await;
                instances.nodes[owner].freeze(FROZEN);
            }
            OwnerStops::Killed => {
                sleep(mid_stop).await;
                instances.nodes[owner].kill();
            }
        }
    }
    let count = calls.len();
    for (call, path, sent_at) in calls {
        let ended = timeout(TIMEOUT + Duration::from_secs(2), call).await;
        let ended = ended.unwrap_or_else(|_| panic!("{path} hangs"));
        assert_eq!(ended.unwrap(), Ok(200), "{path}, after {:?}", sent_at.elapsed());
        eprintln!("measured: {path} served within {:?}", sent_at.elapsed());
    }
    instances.check_runs(pool, count);
}

/// Guards against responses that are cut off because the instance that opened the connection stops.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stop_finishes_connections_for_others() {
    let mut instances = Instances::start(None, 1).await;
    let (through, pool) = (1, POOLS[0]);
    let target = instances.targets[pool];
    let mut stream = TcpStream::connect(instances.data[through]).await.unwrap();
    let connect = format!("CONNECT {target} HTTP/1.1\r\nhost: {target}\r\n\r\n");
    stream.write_all(connect.as_bytes()).await.unwrap();
    let head = read_until(&mut stream, b"\r\n\r\n").await;
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    // Longer than all that the instance itself waits for.
    let request = format!("GET /{pool}/slow/slow/0 HTTP/1.1\r\nhost: x\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let stop = instances.nodes[through].begin_stop();
    let response = read_until(&mut stream, b"ok");
    let ended = async {
        timeout(TIMEOUT, stop).await.expect("the stop ends").unwrap();
        // As the end of the process does.
        instances.nodes[through].kill();
    };
    let (response, ()) = tokio::join!(response, ended);
    assert!(response.ends_with("ok"), "{response:?}");
}

/// Guards against an instance that gets groups while it stops, because its session expired and the next one is
/// not marked as draining.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn session_opened_in_stop_drains() {
    const STOPPING: usize = 1;
    let mut instances = Instances::start(None, 1).await;
    // A connection for another instance, which the stop waits for.
    let target = instances.targets[POOLS[0]];
    let mut stream = TcpStream::connect(instances.data[STOPPING]).await.unwrap();
    let connect = format!("CONNECT {target} HTTP/1.1\r\nhost: {target}\r\n\r\n");
    stream.write_all(connect.as_bytes()).await.unwrap();
    let head = read_until(&mut stream, b"\r\n\r\n").await;
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    let stop = instances.nodes[STOPPING].begin_stop();
    let (operator, replica) = (Operator::default(), instances.replica);
    let session = || async {
        let rows = operator.instances(replica).await.map_err(|e| e.to_string())?;
        let row = rows.into_iter().find(|row| row.instance.as_str() == "instance-1");
        row.filter(|row| row.is_draining).map(|row| row.session).ok_or_else(|| "none".to_owned())
    };
    let (first, _) = wait_until("the session drains", START_LIMIT, session).await.unwrap();
    instances.nodes[STOPPING].freeze(FROZEN);
    let next = || async {
        match session().await {
            Ok(session) if session != first => Ok(()),
            other => Err(format!("{other:?}")),
        }
    };
    wait_until("the next session drains", START_LIMIT, next).await.unwrap();
    assert!(!stop.is_finished());
}

/// Guards against whole responses that are refused because the instance did not run at the end of its stop.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn response_arrives_while_stop_ends() {
    const CALLS: usize = 20;
    /// Time from the send of the calls to the end of the stop, to which the responses come before.
    const STOP_TIME: Duration = Duration::from_millis(1_600);
    let instances = Instances::start(None, 2 * CALLS as u32).await;
    let (node, pool) = (&instances.nodes[0], POOLS[0]);
    // Opens the connections, so that all calls are sent at once.
    let calls: Vec<_> = (0..CALLS).map(|n| node.send(&format!("/{pool}/first/{n}"))).collect();
    for call in calls {
        assert_eq!(call.await.unwrap(), Ok(200));
    }
    node.gateway.begin_stop(Instant::now() + STOP_TIME);
    let calls: Vec<_> =
        (0..CALLS).map(|n| node.send(&format!("/{pool}/slow/slow/slow/{n}"))).collect();
    sleep(2 * SLOW).await;
    node.freeze(4 * SLOW);
    for (n, call) in calls.into_iter().enumerate() {
        assert_eq!(call.await.unwrap(), Ok(200), "call {n}");
    }
}

/// Reads until the data ends with `end`, or the connection ends.
async fn read_until(stream: &mut TcpStream, end: &[u8]) -> String {
    let mut read = Vec::new();
    while !read.ends_with(end) {
        match stream.read_buf(&mut read).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    String::from_utf8(read).unwrap()
}
