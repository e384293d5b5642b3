//! Charges of requests to shares that the owners of other groups keep, over real sockets.

#[path = "../../owner/tests/support/mod.rs"]
mod owners;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant as StdInstant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use jsonrpsee::{
    RpcModule,
    server::{Server, ServerHandle},
    types::ErrorObjectOwned,
};
use owners::{Log, context};
use shallotdrum_allotments::{Charge, Reservation, Reserved, shards};
use shallotdrum_control::{AnnouncedTarget, Command, InstanceAddrs, InstanceInfo};
use shallotdrum_engine::TargetKind;
use shallotdrum_gateway::{
    CallerRequest, ConnectionPool, Credentials, Gateway, GatewayContext, GatewayResponse,
    HeaderCodec, ResponseInfo, RetryAllowance,
};
use shallotdrum_links::Links;
use shallotdrum_owner::OwnerService;
use shallotdrum_routes::{
    Allotment, AllotmentUnit, Customer, RetryPolicy, Route, RouteTable, WeightedPool,
};
use shallotdrum_rpc::{Peers, PeersConfig};
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{
    Confirmation, CustomerName, Freshness, GroupId, Incarnation, KeyHash, LastConfirmation,
    LogIndex, RequestError, RequestErrorKind, RequestId, ReservationId, Revision, SessionId, Term,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{Instant, sleep},
};

/// Time within which an owner reacts to a change of its groups; its checks are 250 ms apart.
const REACTION: Duration = Duration::from_secs(1);

/// Requests that may be sent at once; the rate adds none during a test.
const BURST: usize = 4;

/// Time that a call of `/d/slow` takes at the target; much longer than a confirmation may be missing.
const SLOW: Duration = Duration::from_millis(900);

/// Instance that owns the group with the customer's share.
struct ShareOwner {
    owner: Arc<OwnerService>,
    session: SessionId,
    /// Whether confirmations get lost on their way to it.
    loses_confirmations: Arc<AtomicBool>,
    _server: ServerHandle,
}

struct Deployment {
    log: Log,
    gateway: Arc<Gateway>,
    /// Group whose owner keeps the share; no request runs there.
    share: GroupId,
    customer: CustomerName,
    first: ShareOwner,
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

fn register(log: &Log, target: &str, pool: &str, addr: SocketAddr) -> GroupId {
    log.apply(Command::RegisterTarget(AnnouncedTarget {
        target: target.parse().unwrap(),
        incarnation: Incarnation(1),
        addr,
        pool: pool.parse().unwrap(),
        region: "fj".parse().unwrap(),
        zone: "z".parse().unwrap(),
        kind: TargetKind::Service { max_concurrent: 1 },
        software: None,
    }));
    let target = target.parse().unwrap();
    log.0.read(|state| state.target(&target).unwrap().group.clone())
}

/// Serves the allotment methods of an owner on a socket of its own.
async fn share_owner(log: &Log, instance: &str) -> ShareOwner {
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let session = session(log, instance, server.local_addr().unwrap());
    let owner = OwnerService::new(context(log, session));
    tokio::spawn(owner.clone().run());
    let loses_confirmations = Arc::new(AtomicBool::new(false));
    let mut module = RpcModule::new((owner.clone(), loses_confirmations.clone()));
    let refused = |error: RequestError| ErrorObjectOwned::owned(1, error.detail, None::<()>);
    module
        .register_method("allotment_take", move |params, (owner, _), _| {
            let mut params = params.sequence();
            let session: SessionId = params.next()?;
            let request: RequestId = params.next()?;
            let charge = Charge { customer: params.next()?, units: params.next()? };
            let group: GroupId = params.next()?;
            let reservation: Option<Reservation> = params.optional_next()?;
            let reply = match reservation {
                Some(Reservation { id, left_ms }) => {
                    let until = StdInstant::now() + Duration::from_millis(left_ms);
                    let reserved = Reserved { request, charge, until };
                    owner.reserve_allotment(&group, (session, id), reserved)
                }
                None => owner.take_allotment(&group, &request, &charge),
            };
            reply.map_err(refused)
        })
        .unwrap();
    module
        .register_method("allotment_return", move |params, (owner, _), _| {
            let mut params = params.sequence();
            let _session: SessionId = params.next()?;
            let request: RequestId = params.next()?;
            let charge = Charge { customer: params.next()?, units: params.next()? };
            let group: GroupId = params.next()?;
            owner.return_allotment(&group, &request, &charge).map_err(refused)
        })
        .unwrap();
    module
        .register_method("allotment_settle", move |params, (owner, loses), _| {
            let mut params = params.sequence();
            let session: SessionId = params.next()?;
            let request: RequestId = params.next()?;
            let group: GroupId = params.next()?;
            let id: ReservationId = params.next()?;
            let is_used: bool = params.next()?;
            if is_used && loses.load(Ordering::Relaxed) {
                return Err(ErrorObjectOwned::owned(2, "lost", None::<()>));
            }
            owner.settle_allotment(&group, &request, &(session, id), is_used).map_err(refused)
        })
        .unwrap();
    ShareOwner { owner, session, loses_confirmations, _server: server.start(module) }
}

/// Target that runs one call at a time; its path says how long it takes, or that it is refused.
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
                let head = String::from_utf8_lossy(&head);
                if head.contains("/d/slow") {
                    sleep(SLOW).await;
                }
                let status = match head.contains("/d/refused") {
                    true => "503 Service Unavailable",
                    false => "200 OK",
                };
                let response = format!(
                    "HTTP/1.1 {status}\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok"
                );
                let _ = stream.write_all(response.as_bytes()).await;
            });
        }
    });
    addr
}

fn table(customer: &CustomerName) -> RouteTable {
    let allotment = Allotment {
        rate: 0.001,
        burst: BURST as f64,
        unit: AllotmentUnit::Requests,
        default_tokens: 1,
    };
    let customer = Customer {
        name: customer.clone(),
        keys: vec![KeyHash::of(b"k")],
        rank: None,
        allotment: Some(allotment),
    };
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
    RouteTable {
        revision: Revision(1),
        routes: vec![Arc::new(route)],
        customers: Some(vec![Arc::new(customer)]),
        ..RouteTable::default()
    }
}

async fn deployment() -> Deployment {
    let log = Log::default();
    let nowhere: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let calls = register(&log, "call", "calls", target().await);
    let share = register(&log, "other", "others", nowhere);
    let customer = (0..100).map(|n| format!("c{n}").parse::<CustomerName>().unwrap());
    let mut customer = customer.filter(|customer| shards(customer, [&calls, &share])[0] == &share);
    let customer = customer.next().unwrap();
    log.apply(Command::PutRoutes { table: Arc::new(table(&customer)) });
    let first = share_owner(&log, "first").await;
    let entry = session(&log, "entry", nowhere);
    let cx = context(&log, entry);
    let owner = OwnerService::new(context(&log, entry));
    tokio::spawn(owner.clone().run());
    log.assign(&calls, entry);
    log.assign(&share, first.session);
    sleep(REACTION).await;
    let links = Links::default();
    let gateway = Gateway::new(
        GatewayContext {
            view: log.0.clone(),
            session: cx.session.clone(),
            confirmation: Arc::new(|| Confirmation {
                freshness: Freshness::Ready,
                last: Some(LastConfirmation {
                    index: LogIndex(1),
                    term: Term(1),
                    age: Duration::ZERO,
                }),
            }),
            confirm_state: Arc::new(|_| Box::pin(async { true })),
            serve_when_stale: false,
            revocation: None,
            owner,
            peers: Peers::new(PeersConfig { timeout: Duration::from_secs(5) }),
            // The stand-ins for owners speak JSON-RPC only.
            place_channel: false,
            startup_wait: Duration::ZERO,
            codec: HeaderCodec {
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
            },
            retries: RetryAllowance { ratio: 0.0, extra: 0.0, window: Duration::from_secs(1) },
            is_first_start: true,
            memory: 64 * 1024 * 1024,
            metrics: Metrics::new().unwrap(),
            log: slog::Logger::root(slog::Discard, slog::o!()),
        },
        ConnectionPool::new(links),
    );
    Deployment { log, gateway, share, customer, first }
}

impl Deployment {
    async fn send(&self, n: u32, path: &str, timeout: Duration) -> Result<u16, RequestError> {
        let key = HeaderValue::from_static("Bearer k");
        let request = CallerRequest {
            id: format!("r{n}").parse().unwrap(),
            caller: None,
            host: "desk.example".to_owned(),
            method: Method::GET,
            target: path.parse().unwrap(),
            credentials: Credentials::new(&[key], HeaderMap::new()),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            arrived: Instant::now(),
            timeout,
            generation: None,
            resume_after: None,
            resumes: None,
        };
        match self.gateway.clone().handle(request).await? {
            GatewayResponse::Whole { status, .. } => Ok(status.as_u16()),
            GatewayResponse::Stream { .. } => panic!("a call has no stream"),
        }
    }

    /// Sends a call that waits for a place behind a slow one, and gets it after `SLOW`.
    async fn send_queued(&self) -> Result<u16, RequestError> {
        let long = Duration::from_secs(5);
        let queued = async {
            sleep(Duration::from_millis(200)).await;
            self.send(2, "/d/fast", long).await
        };
        let (slow, queued) = tokio::join!(self.send(1, "/d/slow", long), queued);
        assert_eq!(slow, Ok(200));
        queued
    }

    /// Takes the units that are left; returns how many there were.
    fn take_rest(&self, owner: &ShareOwner) -> usize {
        let charge = Charge { customer: self.customer.clone(), units: 1 };
        let request: RequestId = "rest".parse().unwrap();
        let take = || owner.owner.take_allotment(&self.share, &request, &charge).unwrap().granted;
        std::iter::from_fn(|| take().then_some(())).take(2 * BURST).count()
    }

    /// Ends the session of the share's first owner and gives the group to another instance.
    async fn take_over(&self) -> ShareOwner {
        let next = share_owner(&self.log, "next").await;
        self.log.apply(Command::EndSession { session: self.first.session });
        self.log.assign(&self.share, next.session);
        next
    }
}

/// Guards against units that are charged twice or not at all for a request that queued, and for one that got
/// its place at once.
#[tokio::test]
async fn queued_charged_once() {
    let deployment = deployment().await;
    assert_eq!(deployment.send_queued().await, Ok(200));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(deployment.take_rest(&deployment.first), BURST - 2);
}

/// Guards against a request that ran for free because the confirmation of its units was lost, and against
/// units that stay reserved for good.
#[tokio::test]
async fn confirmation_lost_counts() {
    let deployment = deployment().await;
    deployment.first.loses_confirmations.store(true, Ordering::Relaxed);
    let timeout = Duration::from_millis(500);
    assert_eq!(deployment.send(1, "/d/fast", timeout).await, Ok(200));
    // Until the time limit the units are reserved, and later they are used.
    assert_eq!(deployment.take_rest(&deployment.first), BURST - 1);
    sleep(timeout + REACTION).await;
    assert_eq!(deployment.take_rest(&deployment.first), 0);
}

/// Guards against a queued request that runs by units which nobody confirms; it is charged at once instead.
#[tokio::test]
async fn confirmation_lost_charged_again() {
    let deployment = deployment().await;
    deployment.first.loses_confirmations.store(true, Ordering::Relaxed);
    assert_eq!(deployment.send_queued().await, Ok(200));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(deployment.take_rest(&deployment.first), BURST - 2);
}

/// Guards against units of a share that has another owner, which gives away its own: a request that queued
/// meanwhile is charged there, where there is no room yet.
#[tokio::test]
async fn queued_during_takeover() {
    let deployment = deployment().await;
    let (queued, next) = tokio::join!(deployment.send_queued(), async {
        sleep(Duration::from_millis(400)).await;
        deployment.take_over().await
    });
    let error = queued.unwrap_err();
    assert_eq!(error.kind, RequestErrorKind::NotReady, "{error:?}");
    assert_eq!(deployment.take_rest(&next), 0);
}

/// Guards against units that are lost though the target refused the request.
#[tokio::test]
async fn refused_returned() {
    let deployment = deployment().await;
    let refused = deployment.send(1, "/d/refused", Duration::from_secs(2)).await;
    assert_eq!(refused.unwrap_err().kind, RequestErrorKind::Overloaded);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(deployment.take_rest(&deployment.first), BURST);
}

/// Guards against a request that waits for an owner until its deadline though it can't be served any more.
#[tokio::test]
async fn no_owner_refused_early() {
    let deployment = deployment().await;
    let timeout = Duration::from_secs(2);
    assert_eq!(deployment.send(1, "/d/slow", timeout).await, Ok(200));
    deployment.log.apply(Command::EndSession { session: deployment.first.session });
    let began = Instant::now();
    let error = deployment.send(2, "/d/slow", timeout).await.unwrap_err();
    let left = timeout.saturating_sub(began.elapsed());
    assert_eq!(error.kind, RequestErrorKind::NotReady, "{error:?}");
    assert!(error.retry_after.is_some(), "{error:?}");
    assert!(left >= SLOW / 2, "refused {left:?} before the deadline");
}
