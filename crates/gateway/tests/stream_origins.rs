//! Streams that callers take up at an instance whose state may lack a software version, over real sockets.

#[path = "../../owner/tests/support/mod.rs"]
mod owners;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method};
use jsonrpsee::{
    RpcModule,
    server::{Server, ServerHandle},
};
use owners::{Log, context};
use rstest::rstest;
use shallotdrum_control::{AnnouncedTarget, Command, InstanceAddrs, InstanceInfo};
use shallotdrum_engine::{StreamOrigin, TargetKind};
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
    Revision, SessionId, Term,
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

async fn gateway(
    log: &Log,
    leader: Leader,
    known_at_peer: Option<&'static str>,
) -> (Arc<Gateway>, ServerHandle) {
    let group = register(log, "t1", "v1", target().await);
    log.apply(Command::PutRoutes { table: Arc::new(table()) });
    let peer = peer(log, known_at_peer).await;
    let entry = session(log, "entry", "127.0.0.1:1".parse().unwrap());
    let cx = context(log, entry);
    let owner = OwnerService::new(context(log, entry));
    tokio::spawn(owner.clone().run());
    log.assign(&group, entry);
    sleep(REACTION).await;
    let last = LastConfirmation { index: LogIndex(1), term: Term(1), age: Duration::ZERO };
    let gateway = Gateway::new(
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
    );
    (gateway, peer)
}

/// Request of a caller that has received the events of another one up to the second.
fn resumption() -> CallerRequest {
    CallerRequest {
        id: "second".parse().unwrap(),
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
        resume_after: Some("2".to_owned()),
        resumes: Some("first".parse().unwrap()),
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
    let (gateway, _peer) = gateway(&log, leader, known_at_peer).await;
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
