//! Streams that callers take up at an instance that did not begin them, over real sockets.

#[path = "../../owner/tests/support/mod.rs"]
mod owners;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method};
use jsonrpsee::{
    RpcModule,
    server::{Server, ServerHandle},
};
use owners::{Log, context};
use rstest::rstest;
use shallotdrum_control::{AnnouncedTarget, Command, InstanceAddrs, InstanceInfo};
use shallotdrum_engine::{CopiedOrigin, StreamOrigin, TargetKind};
use shallotdrum_gateway::{
    CallerRequest, ConfirmStateFn, ConnectionPool, Credentials, Gateway, GatewayContext,
    GatewayResponse, HeaderCodec, ResponseInfo, RetryAllowance,
};
use shallotdrum_links::Links;
use shallotdrum_owner::OwnerService;
use shallotdrum_routes::{RetryPolicy, Route, RouteTable, WeightedPool};
use shallotdrum_rpc::{Peers, PeersConfig};
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{
    Confirmation, Freshness, GroupId, Incarnation, LastConfirmation, LogIndex, RequestErrorKind,
    RequestId, Revision, SessionId, SoftwareVersion, Term,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{Instant, sleep, timeout_at},
};

/// Time within which an owner reacts to a change of its groups; its checks are 250 ms apart.
const REACTION: Duration = Duration::from_secs(1);

/// Time left to the caller that takes a stream up.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which nobody may be waited for who does not reply.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Time within which changes of the sessions and the versions lead to copies; they are checked each second.
const COPY_LIMIT: Duration = Duration::from_secs(5);

/// Number of instances of which only some are asked for a stream.
const INSTANCES: usize = 40;

/// Maximum number of them that are asked.
const MAX_ASKED_OF_MANY: usize = 6;

/// What the control leader says when the instance asks it to confirm its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leader {
    /// It is not reached.
    Unreachable,
    /// The state is the newest one.
    Confirms,
    /// The newest state has a second version.
    NamesOtherVersion,
}

fn session(log: &Log, instance: &str, rpc: SocketAddr) -> SessionId {
    log.apply(Command::OpenSession(InstanceInfo {
        instance: instance.parse().unwrap(),
        incarnation: Incarnation(1),
        region: "fj".parse().unwrap(),
        zone: "z".parse().unwrap(),
        addrs: InstanceAddrs { entry: rpc, rpc, data: rpc },
        replica: false,
        cores: None,
    }));
    log.0.read(|state| state.sessions().map(|s| s.id).max()).unwrap()
}

fn register(log: &Log, target: &str, software: &str, addr: SocketAddr) -> GroupId {
    log.apply(Command::RegisterTarget(AnnouncedTarget {
        target: target.parse().unwrap(),
        incarnation: Incarnation(1),
        addr,
        pool: "streams".parse().unwrap(),
        region: "fj".parse().unwrap(),
        zone: "z".parse().unwrap(),
        kind: TargetKind::Service { max_concurrent: 4 },
        software: Some(software.parse().unwrap()),
    }));
    let target = target.parse().unwrap();
    log.0.read(|state| state.target(&target).unwrap().group.clone())
}

/// Instance that knows one stream, if it began at `software`.
async fn peer(log: &Log, software: Option<&'static str>) -> ServerHandle {
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    session(log, "peer", server.local_addr().unwrap());
    let mut module = RpcModule::new(());
    let origin = move |_: jsonrpsee::types::Params<'_>, _: &(), _: &_| {
        software.map(|software| StreamOrigin {
            software: software.parse().unwrap(),
            has_begun: true,
            age_ms: 10,
        })
    };
    module.register_method("stream_origin", origin).unwrap();
    server.start(module)
}

/// Target that goes on with any stream.
async fn target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = Vec::new();
                while !head.windows(4).any(|end| end == b"\r\n\r\n") {
                    match stream.read_buf(&mut head).await {
                        Ok(0) | Err(_) => return,
                        Ok(_) => {}
                    }
                }
                let event = "id: 3\ndata: x\n\n";
                let response = format!(
                    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: {}\r\n\
                     connection: close\r\n\r\n{event}",
                    event.len(),
                );
                let _ = stream.write_all(response.as_bytes()).await;
            });
        }
    });
    addr
}

fn table() -> RouteTable {
    let route = Route {
        name: "r".to_owned(),
        host: "desk.example".to_owned(),
        prefix: "/s/".to_owned(),
        shares: vec![WeightedPool { pool: "streams".parse().unwrap(), weight: 1 }],
        repeat: RetryPolicy::Stream { is_resumable: true },
        timeout: Duration::from_secs(30),
        objective: Duration::ZERO,
        rank: 0,
        max_targets: 1,
        is_public: false,
    };
    RouteTable { revision: Revision(1), routes: vec![Arc::new(route)], ..RouteTable::default() }
}

fn confirm_fn(leader: Leader, log: &Log) -> ConfirmStateFn {
    let log = log.clone();
    Arc::new(move |deadline| {
        let log = log.clone();
        Box::pin(async move {
            match leader {
                // The call is tried again until its deadline.
                Leader::Unreachable => {
                    timeout_at(deadline, std::future::pending::<()>()).await.is_ok()
                }
                Leader::Confirms => true,
                Leader::NamesOtherVersion => {
                    register(&log, "newer", "v2", "127.0.0.1:1".parse().unwrap());
                    true
                }
            }
        })
    })
}

/// Gateway in an instance that owns the group of the pool.
async fn gateway(log: &Log, group: &GroupId, instance: &str, leader: Leader) -> Arc<Gateway> {
    let entry = session(log, instance, "127.0.0.1:1".parse().unwrap());
    let cx = context(log, entry);
    let owner = OwnerService::new(context(log, entry));
    tokio::spawn(owner.clone().run());
    log.assign(group, entry);
    sleep(REACTION).await;
    let last = LastConfirmation { index: LogIndex(1), term: Term(1), age: Duration::ZERO };
    Gateway::new(
        GatewayContext {
            view: log.0.clone(),
            session: cx.session.clone(),
            confirmation: Arc::new(move || Confirmation {
                freshness: Freshness::Ready,
                last: Some(last),
            }),
            confirm_state: confirm_fn(leader, log),
            serve_when_stale: true,
            revocation: None,
            owner,
            peers: Peers::new(PeersConfig { timeout: Duration::from_secs(5) }),
            place_channel: false,
            startup_wait: Duration::ZERO,
            codec: HeaderCodec {
                write: Arc::new(|_, _| {}),
                read: Arc::new(|_| ResponseInfo {
                    request: None,
                    is_not_run: false,
                    is_signed: true,
                    is_leaving: false,
                    is_brittle: false,
                    pause: None,
                    limit: None,
                    load: None,
                }),
                ask: Arc::new(|_, _, _| unreachable!("the table has no pools")),
            },
            retries: RetryAllowance { ratio: 0.0, extra: 0.0, window: Duration::from_secs(1) },
            is_first_start: true,
            memory: 64 * 1024 * 1024,
            metrics: Metrics::new().unwrap(),
            log: slog::Logger::root(slog::Discard, slog::o!()),
        },
        ConnectionPool::new(Links::default()),
    )
}

/// Deployment with one target, and another instance that may know the stream.
async fn deployment(
    log: &Log,
    leader: Leader,
    known_at_peer: Option<&'static str>,
) -> (Arc<Gateway>, ServerHandle) {
    let group = register(log, "t1", "v1", target().await);
    log.apply(Command::PutRoutes { table: Arc::new(table()) });
    let peer = peer(log, known_at_peer).await;
    (gateway(log, &group, "entry", leader).await, peer)
}

/// Request of a caller that has received the events of another one up to the second.
fn resumption() -> CallerRequest {
    let resumes = Some("first".parse().unwrap());
    CallerRequest { resume_after: Some("2".to_owned()), resumes, ..request("second") }
}

fn request(id: &str) -> CallerRequest {
    CallerRequest {
        id: id.parse().unwrap(),
        caller: None,
        host: "desk.example".to_owned(),
        method: Method::POST,
        target: "/s/x".parse().unwrap(),
        credentials: Credentials::new([], HeaderMap::new()),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        arrived: Instant::now(),
        timeout: TIMEOUT,
        generation: None,
        resume_after: None,
        resumes: None,
    }
}

/// Guards against a stream that goes on at the only version that an outdated state has, though another
/// one began it, and against refusing a stream that can go on.
#[rstest]
#[case::cut_off_other_version(Leader::Unreachable, Some("v2"), false)]
#[case::cut_off_unknown(Leader::Unreachable, None, false)]
#[case::cut_off_same_version(Leader::Unreachable, Some("v1"), true)]
#[case::confirmed_unknown(Leader::Confirms, None, true)]
#[case::confirmed_same_version(Leader::Confirms, Some("v1"), true)]
#[case::late_version_unknown(Leader::NamesOtherVersion, None, false)]
#[case::late_version_known(Leader::NamesOtherVersion, Some("v1"), true)]
#[tokio::test]
async fn taken_up_with_one_known_version(
    #[case] leader: Leader,
    #[case] known_at_peer: Option<&'static str>,
    #[case] goes_on: bool,
) {
    let log = Log::default();
    let (gateway, _peer) = deployment(&log, leader, known_at_peer).await;
    let began = Instant::now();
    match gateway.handle(resumption()).await {
        Ok(GatewayResponse::Stream { .. }) => assert!(goes_on, "the stream goes on"),
        Ok(GatewayResponse::Whole { status, .. }) => panic!("no stream, but status {status}"),
        Err(error) => {
            assert!(!goes_on, "{error:?}");
            assert_eq!(error.kind, RequestErrorKind::NoTarget, "{error:?}");
            assert!(began.elapsed() < MAX_REFUSAL_TIME, "refused after {:?}", began.elapsed());
        }
    }
}

/// Instance that takes copies of where streams began, and is asked for them.
struct Holder {
    session: SessionId,
    state: Arc<Mutex<HolderState>>,
    _server: ServerHandle,
}

#[derive(Default)]
struct HolderState {
    copies: HashMap<RequestId, SoftwareVersion>,
    asked: usize,
}

async fn holder(log: &Log, instance: &str) -> Holder {
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let session = session(log, instance, server.local_addr().unwrap());
    let state = Arc::new(Mutex::new(HolderState::default()));
    let mut module = RpcModule::new(state.clone());
    module
        .register_method("stream_origins_copy", |params, state, _| {
            let origins: Vec<CopiedOrigin> = params.sequence().next().unwrap();
            let origins = origins.into_iter().map(|origin| (origin.request, origin.software));
            state.lock().unwrap().copies.extend(origins);
        })
        .unwrap();
    module
        .register_method("stream_origin", |params, state, _| {
            let request: RequestId = params.sequence().next().unwrap();
            let mut state = state.lock().unwrap();
            state.asked += 1;
            let software = state.copies.get(&request).cloned()?;
            Some(StreamOrigin { software, has_begun: true, age_ms: 10 })
        })
        .unwrap();
    Holder { session, state, _server: server.start(module) }
}

fn holding(holders: &[Holder]) -> Vec<SessionId> {
    let holding = holders.iter().filter(|holder| !holder.state.lock().unwrap().copies.is_empty());
    holding.map(|holder| holder.session).collect()
}

async fn wait_for_copies(holders: &[Holder], expected: usize) {
    let deadline = Instant::now() + COPY_LIMIT;
    while holding(holders).len() != expected {
        assert!(Instant::now() < deadline, "{} instances hold copies", holding(holders).len());
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against streams that nobody knows any more after the end of their entry and of an instance with a
/// copy, in a deployment where not all instances can be asked.
#[tokio::test]
async fn copies_found_among_many() {
    let log = Log::default();
    let target = target().await;
    let group = register(&log, "t1", "v1", target);
    register(&log, "t2", "v2", target);
    log.apply(Command::PutRoutes { table: Arc::new(table()) });
    let mut holders = Vec::new();
    for n in 0..INSTANCES {
        holders.push(holder(&log, &format!("i{n}")).await);
    }
    let began = gateway(&log, &group, "entry", Leader::Unreachable).await;
    let response = began.handle(request("first")).await;
    assert!(matches!(response, Ok(GatewayResponse::Stream { .. })));
    wait_for_copies(&holders, 2).await;
    let ended = holding(&holders)[0];
    log.apply(Command::EndSession { session: ended });
    // The one whose session has ended keeps its copy.
    wait_for_copies(&holders, 3).await;

    let ended = log.0.read(|state| state.sessions().map(|s| s.id).max()).unwrap();
    log.apply(Command::EndSession { session: ended });
    let other = gateway(&log, &group, "other", Leader::Unreachable).await;
    let response = other.handle(resumption()).await;
    assert!(matches!(response, Ok(GatewayResponse::Stream { .. })));
    let asked: usize = holders.iter().map(|holder| holder.state.lock().unwrap().asked).sum();
    assert!(asked <= MAX_ASKED_OF_MANY, "{asked} instances were asked");
}

/// Guards against messages for each stream in a pool that has a single version.
#[tokio::test]
async fn single_version_not_copied() {
    let log = Log::default();
    let target = target().await;
    let group = register(&log, "t1", "v1", target);
    log.apply(Command::PutRoutes { table: Arc::new(table()) });
    let holders = [holder(&log, "i1").await, holder(&log, "i2").await];
    let began = gateway(&log, &group, "entry", Leader::Confirms).await;
    let response = began.clone().handle(request("first")).await;
    assert!(matches!(response, Ok(GatewayResponse::Stream { .. })));
    sleep(REACTION).await;
    assert_eq!(holding(&holders), []);
    // Streams of before are copied when another version appears.
    register(&log, "t2", "v2", target);
    wait_for_copies(&holders, 2).await;
}
