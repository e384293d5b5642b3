//! Surveys of control replicas on loopback, some of which do not respond.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::future::join_all;

use jsonrpsee::{
    RpcModule,
    server::{Server, ServerHandle},
};
use rstest::rstest;
use shallotdrum_rpc::{
    ControlClient, ControlClientConfig, Directory, Peers, PeersConfig, RenewRequest,
    ReplicaPosition, RpcError, find_leader, find_source,
};
use shallotdrum_types::{InstanceId, LogIndex, Revision, SessionId};
use tokio::net::TcpListener;

/// Bound of a survey with at least one suitable replica: one round trip, the window in which others
/// are awaited, and slack for a busy machine. A single unresponsive replica used to take 650 ms.
const FOUND_WITHIN: Duration = Duration::from_millis(400);

/// Number of replicas.
const REPLICAS: usize = 7;

struct Replicas {
    directory: Directory,
    peers: Peers,
    /// Number of positions that were asked for, at all replicas.
    asked: Arc<AtomicU64>,
    _servers: Vec<ServerHandle>,
    /// Accept connections and never respond.
    _silent: Vec<TcpListener>,
}

impl Replicas {
    /// Starts replicas with these positions; those with `None` are silent.
    async fn start(positions: Vec<Option<ReplicaPosition>>) -> Self {
        let (mut addrs, mut servers, mut silent) = (BTreeMap::new(), Vec::new(), Vec::new());
        let asked = Arc::new(AtomicU64::new(0));
        for (i, position) in positions.into_iter().enumerate() {
            let addr = match position {
                Some(position) => {
                    let (addr, server) = serve(position, asked.clone()).await;
                    servers.push(server);
                    addr
                }
                None => {
                    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                    let addr = listener.local_addr().unwrap();
                    silent.push(listener);
                    addr
                }
            };
            addrs.insert(name(i), addr);
        }
        let peers = Peers::new(PeersConfig { timeout: Duration::from_secs(10) });
        let directory = Directory::listed(addrs);
        Self { directory, peers, asked, _servers: servers, _silent: silent }
    }
}

async fn serve(position: ReplicaPosition, asked: Arc<AtomicU64>) -> (SocketAddr, ServerHandle) {
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let addr = server.local_addr().unwrap();
    let mut methods = RpcModule::new(position);
    methods
        .register_method("control_position", move |_, position, _| {
            asked.fetch_add(1, Ordering::SeqCst);
            serde_json::to_value(position).unwrap()
        })
        .unwrap();
    (addr, server.start(methods))
}

fn name(i: usize) -> InstanceId {
    format!("replica-{i}").parse().unwrap()
}

/// Position of a replica that has applied 100 commands and is connected to `leader`.
fn position(leader: Option<usize>) -> ReplicaPosition {
    ReplicaPosition {
        leader: leader.map(name),
        is_caught_up: true,
        first: LogIndex(1),
        applied: LogIndex(100),
    }
}

/// Guards against a search whose time grows with the number of replicas that do not respond, and
/// against one that depends on their place in the directory.
#[rstest]
#[tokio::test]
async fn survey_with_silent_replicas(
    #[values(0, 1, 2, 3)] silent: usize,
    #[values(0, 2, 6)] leader: usize,
) {
    let is_silent = |i: usize| i != leader && (i + REPLICAS - leader - 1) % REPLICAS < silent;
    let positions = (0..REPLICAS).map(|i| (!is_silent(i)).then(|| position(Some(leader))));
    let replicas = Replicas::start(positions.collect()).await;
    let started = Instant::now();
    let found = find_leader(&replicas.peers, &replicas.directory).await;
    assert_eq!(found, Some(name(leader)));
    let source = find_source(&replicas.peers, &replicas.directory, LogIndex(0)).await.unwrap();
    assert_eq!(source.position, position(Some(leader)));
    assert!(started.elapsed() < FOUND_WITHIN, "{:?}", started.elapsed());
}

/// Guards against following a replica that is cut off from the leader, has not caught up, or lacks
/// the command that is overdue.
#[rstest]
#[case::not_connected(position(None))]
#[case::not_caught_up(ReplicaPosition { is_caught_up: false, ..position(Some(6)) })]
#[case::behind(ReplicaPosition { applied: LogIndex(99), ..position(Some(6)) })]
#[tokio::test]
async fn find_source_unsuitable(#[case] unsuitable: ReplicaPosition) {
    let mut positions = vec![Some(unsuitable); REPLICAS - 1];
    positions.push(Some(position(Some(6))));
    let replicas = Replicas::start(positions).await;
    let source = find_source(&replicas.peers, &replicas.directory, LogIndex(100)).await.unwrap();
    assert_eq!(source.name, name(6));
}

/// Guards against all followers choosing the same replica.
#[tokio::test]
async fn find_source_spreads() {
    let replicas = Replicas::start(vec![Some(position(Some(0))); REPLICAS]).await;
    let mut chosen = std::collections::BTreeSet::new();
    for _ in 0..100 {
        let source = find_source(&replicas.peers, &replicas.directory, LogIndex(0)).await;
        chosen.insert(source.unwrap().name);
    }
    assert_eq!(chosen.len(), REPLICAS);
}

/// Guards against calling a replica that does not lead.
#[tokio::test]
async fn find_leader_none() {
    let replicas = Replicas::start(vec![Some(position(None)), Some(position(Some(5)))]).await;
    assert_eq!(find_leader(&replicas.peers, &replicas.directory).await, None);
    assert!(find_source(&replicas.peers, &replicas.directory, LogIndex(101)).await.is_none());
}

/// Guards against one survey for each of the calls that wait for a leader.
#[tokio::test]
async fn survey_shared_by_calls() {
    const CALLS: u64 = 100;
    const TIMEOUT: Duration = Duration::from_millis(500);
    let replicas = Replicas::start(vec![Some(position(None)); 3]).await;
    let client = ControlClient::new(
        ControlClientConfig {
            directory: replicas.directory.clone(),
            propose_timeout: TIMEOUT,
            attempt_timeout: TIMEOUT,
        },
        replicas.peers.clone(),
    );
    let request = RenewRequest {
        session: SessionId(1),
        revision: Revision(0),
        applied: LogIndex(0),
        permits: Default::default(),
        format: None,
    };
    let calls = (0..CALLS).map(|_| client.renew(request.clone(), TIMEOUT));
    for result in join_all(calls).await {
        assert_eq!(result.unwrap_err(), RpcError::Unavailable);
    }
    // Each call alone would ask several times.
    let asked = replicas.asked.load(Ordering::SeqCst);
    assert!(asked < CALLS, "{asked} positions for {CALLS} calls");
}

/// Guards against followers and callers that find no replica while replicas of an earlier release, which
/// know no positions, are being replaced.
#[tokio::test]
async fn survey_of_earlier_release() {
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let addr = server.local_addr().unwrap();
    let mut methods = RpcModule::new(());
    let status = serde_json::json!({
        "instance": "replica-0", "is_leader": true, "leader": "replica-0", "term": 3, "commit": 100,
        "applied": 100, "first": 1, "syncs": 7, "members": ["replica-0"], "learners": [],
        "calls": {"pending": 0, "total": 0},
    });
    methods.register_method("admin_replica_status", move |_, (), _| status.clone()).unwrap();
    let _server = server.start(methods);
    let directory = Directory::listed(BTreeMap::from([(name(0), addr)]));
    let peers = Peers::new(PeersConfig { timeout: Duration::from_secs(10) });
    assert_eq!(find_leader(&peers, &directory).await, Some(name(0)));
    let source =
        find_source(&peers, &directory, LogIndex(100)).await.expect("the replica is found");
    assert_eq!(source.position, position(Some(0)));
}
