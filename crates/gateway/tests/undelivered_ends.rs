//! Reports of ended places after the channel to their owner is lost for good, over real sockets.

#[path = "../../owner/tests/support/mod.rs"]
mod owners;

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{HeaderMap, Method};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use jsonrpsee::{RpcModule, server::Server, server::ServerHandle, types::ErrorObjectOwned};
use owners::{Log, context};
use rstest::rstest;
use shallotdrum_control::{AnnouncedTarget, Command, InstanceAddrs, InstanceInfo};
use shallotdrum_engine::{GrantedPlace, Priority, TargetKind};
use shallotdrum_gateway::{
    CallerRequest, ConnectionPool, Credentials, Gateway, GatewayContext, GatewayResponse,
    HeaderCodec, ResponseInfo, RetryAllowance,
};
use shallotdrum_links::Links;
use shallotdrum_owner::OwnerService;
use shallotdrum_routes::{RetryPolicy, Route, RouteTable, WeightedPool};
use shallotdrum_rpc::{
    ChannelHandlers, EndedPlace, Peers, PeersConfig, PlaceReply, PlaceServer, RpcError,
};
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{
    Confirmation, Freshness, Incarnation, LastConfirmation, LogIndex, RequestError, Revision,
    SessionId, Term,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    runtime::{Builder, Runtime},
    time::{Instant, sleep},
};

/// Time that a call takes at the target, during which its channel is lost.
const CALL: Duration = Duration::from_millis(400);

/// Owner whose channel ends with its runtime, and whose JSON-RPC methods are played.
struct PlayedOwner {
    channel: Option<Runtime>,
    data: SocketAddr,
    rpc: SocketAddr,
    /// Whether reports by JSON-RPC fail.
    is_down: Arc<AtomicBool>,
    /// Number of reports by JSON-RPC, whether they failed or not.
    attempts: Arc<AtomicUsize>,
    /// Places whose end was reported by JSON-RPC.
    ended: Arc<Mutex<Vec<u64>>>,
    _server: ServerHandle,
}

impl Drop for PlayedOwner {
    fn drop(&mut self) {
        self.end_channel();
    }
}

impl PlayedOwner {
    async fn start(target: SocketAddr) -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let data = runtime.spawn(serve_channel(target)).await.unwrap();
        let is_down = Arc::new(AtomicBool::new(true));
        let attempts = Arc::<AtomicUsize>::default();
        let ended = Arc::<Mutex<Vec<u64>>>::default();
        let mut module = RpcModule::new((is_down.clone(), attempts.clone(), ended.clone()));
        module
            .register_method("place_end", |params, (is_down, attempts, ended), _| {
                let mut params = params.sequence();
                let _session: SessionId = params.next()?;
                let reports: Vec<EndedPlace> = params.next()?;
                attempts.fetch_add(1, Ordering::Relaxed);
                if is_down.load(Ordering::Relaxed) {
                    return Err(ErrorObjectOwned::owned(1, "down", None::<()>));
                }
                ended.lock().unwrap().extend(reports.iter().map(|report| report.place));
                Ok(())
            })
            .unwrap();
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let rpc = server.local_addr().unwrap();
        let server = server.start(module);
        Self { channel: Some(runtime), data, rpc, is_down, attempts, ended, _server: server }
    }

    /// Closes the channel and its listener.
    fn end_channel(&mut self) {
        if let Some(runtime) = self.channel.take() {
            runtime.shutdown_background();
        }
    }

    fn attempts(&self) -> usize {
        self.attempts.load(Ordering::Relaxed)
    }

    /// Waits until the number of reports by JSON-RPC passes a threshold.
    async fn wait_for_attempts(&self, count: usize) {
        let began = Instant::now();
        while self.attempts() < count {
            let attempts = self.attempts();
            assert!(began.elapsed() < Duration::from_secs(10), "{attempts} of {count} attempts");
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Panics if reports still come by JSON-RPC.
    async fn check_silent(&self) {
        // One may be on its way.
        sleep(Duration::from_millis(100)).await;
        let before = self.attempts();
        sleep(Duration::from_secs(1)).await;
        assert_eq!(self.attempts(), before, "reports are still sent");
    }
}

/// Serves channels over which each place is granted at once.
async fn serve_channel(target: SocketAddr) -> SocketAddr {
    let grant = move || {
        PlaceReply::Granted(GrantedPlace {
            target: "call".parse().unwrap(),
            incarnation: Incarnation(1),
            addr: target,
            priority: Priority(64),
            is_rate_limited: false,
            software: None,
            spread: None,
            group_wait_ms: None,
        })
    };
    let handlers = ChannelHandlers {
        take: Box::new(move |_| async move { Ok(grant()) }.boxed()),
        end: Box::new(|_, _| {}),
        allotment: Box::new(|call| async { Err(RpcError::NotGroupOwner(call.group)) }.boxed()),
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = PlaceServer::new(handlers, Metrics::new().unwrap(), log);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let server = server.clone();
            let upgrade = service_fn(move |req: hyper::Request<Incoming>| {
                let response = server.upgrade(req).map(|()| String::new());
                async move { Ok::<_, Infallible>(response) }
            });
            let http = http1::Builder::new().serve_connection(TokioIo::new(stream), upgrade);
            tokio::spawn(http.with_upgrades());
        }
    });
    addr
}

/// Target that responds to each call after `CALL`.
async fn target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    match stream.read_buf(&mut head).await {
                        Ok(0) | Err(_) => return,
                        Ok(_) => {}
                    }
                }
                sleep(CALL).await;
                let response =
                    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";
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
        prefix: "/d/".to_owned(),
        shares: vec![WeightedPool { pool: "calls".parse().unwrap(), weight: 1 }],
        repeat: RetryPolicy::AtMostOnce,
        timeout: Duration::from_secs(30),
        objective: Duration::ZERO,
        rank: 0,
        max_targets: 1,
        is_public: false,
    };
    RouteTable { revision: Revision(1), routes: vec![Arc::new(route)], ..RouteTable::default() }
}

fn session(log: &Log, instance: &str, rpc: SocketAddr, data: SocketAddr) -> SessionId {
    log.apply(Command::OpenSession(InstanceInfo {
        instance: instance.parse().unwrap(),
        incarnation: Incarnation(1),
        region: "fj".parse().unwrap(),
        zone: "z".parse().unwrap(),
        addrs: InstanceAddrs { entry: rpc, rpc, data },
        replica: false,
        cores: None,
    }));
    log.0.read(|state| state.sessions().map(|s| s.id).max()).unwrap()
}

fn gateway(log: &Log, entry: SessionId) -> Arc<Gateway> {
    let cx = context(log, entry);
    let confirmation = Confirmation {
        freshness: Freshness::Ready,
        last: Some(LastConfirmation { index: LogIndex(1), term: Term(1), age: Duration::ZERO }),
    };
    let codec = HeaderCodec {
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
    };
    let cx = GatewayContext {
        view: log.0.clone(),
        session: cx.session.clone(),
        confirmation: Arc::new(move || confirmation),
        confirm_state: Arc::new(|_| Box::pin(async { true })),
        serve_when_stale: false,
        revocation: None,
        owner: OwnerService::new(cx),
        peers: Peers::new(PeersConfig { timeout: Duration::from_secs(5) }),
        place_channel: true,
        startup_wait: Duration::ZERO,
        codec,
        retries: RetryAllowance { ratio: 0.0, extra: 0.0, window: Duration::from_secs(1) },
        is_first_start: true,
        memory: 64 * 1024 * 1024,
        metrics: Metrics::new().unwrap(),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    };
    Gateway::new(cx, ConnectionPool::new(Links::default()))
}

async fn send(gateway: Arc<Gateway>, timeout: Duration) -> Result<u16, RequestError> {
    let request = CallerRequest {
        id: "r1".parse().unwrap(),
        caller: None,
        host: "desk.example".to_owned(),
        method: Method::GET,
        target: "/d/call".parse().unwrap(),
        credentials: Credentials::new(&[], HeaderMap::new()),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        arrived: Instant::now(),
        timeout,
        generation: None,
        resume_after: None,
        resumes: None,
    };
    match gateway.handle(request).await? {
        GatewayResponse::Whole { status, .. } => Ok(status.as_u16()),
        GatewayResponse::Stream { .. } => panic!("a call has no stream"),
    }
}

/// An owner that has lost its channel while a call ran, and is not told of the call's end either.
struct Deployment {
    log: Log,
    owner: PlayedOwner,
    session: SessionId,
    _gateway: Arc<Gateway>,
}

impl Deployment {
    async fn start(timeout: Duration) -> Self {
        let log = Log::default();
        let target = target().await;
        let mut owner = PlayedOwner::start(target).await;
        log.apply(Command::RegisterTarget(AnnouncedTarget {
            target: "call".parse().unwrap(),
            incarnation: Incarnation(1),
            addr: target,
            pool: "calls".parse().unwrap(),
            region: "fj".parse().unwrap(),
            zone: "z".parse().unwrap(),
            kind: TargetKind::Service { max_concurrent: 1 },
            software: None,
        }));
        log.apply(Command::PutRoutes { table: Arc::new(table()) });
        let session_id = session(&log, "owner", owner.rpc, owner.data);
        let nowhere = "127.0.0.1:1".parse().unwrap();
        let entry = session(&log, "entry", nowhere, nowhere);
        let call = "call".parse().unwrap();
        let group = log.0.read(|state| state.target(&call).unwrap().group.clone());
        log.assign(&group, session_id);
        let gateway = gateway(&log, entry);
        let sent = tokio::spawn(send(gateway.clone(), timeout));
        sleep(CALL / 2).await;
        owner.end_channel();
        assert_eq!(sent.await.unwrap(), Ok(200));
        Self { log, owner, session: session_id, _gateway: gateway }
    }
}

/// Guards against a place that stays taken until its request's deadline because the only report of its end
/// by JSON-RPC failed.
#[tokio::test]
async fn end_resent_until_delivered() {
    let deployment = Deployment::start(Duration::from_secs(30)).await;
    let owner = &deployment.owner;
    owner.wait_for_attempts(3).await;
    owner.is_down.store(false, Ordering::Relaxed);
    owner.wait_for_attempts(4).await;
    owner.check_silent().await;
    assert_eq!(*owner.ended.lock().unwrap(), [1]);
}

/// Guards against reports that are sent for ever to an owner that does not need them any more.
#[rstest]
#[case::session_ended(Duration::from_secs(30))]
#[case::place_expired(Duration::from_secs(1))]
#[tokio::test]
async fn end_resent_while_needed(#[case] timeout: Duration) {
    let deployment = Deployment::start(timeout).await;
    let owner = &deployment.owner;
    owner.wait_for_attempts(2).await;
    match timeout < Duration::from_secs(2) {
        // The owner ends the place 1 s after the deadline.
        true => sleep(timeout + Duration::from_secs(1)).await,
        false => {
            deployment.log.apply(Command::EndSession { session: deployment.session });
        }
    }
    owner.check_silent().await;
    assert!(owner.ended.lock().unwrap().is_empty());
}
