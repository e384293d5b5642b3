//! An owner that grants places when a test says so, and a proxy whose connections a test cuts.

use std::{
    collections::{BTreeMap, BTreeSet},
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::FutureExt;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use shallotdrum_allotments::AllotmentReply;
use shallotdrum_engine::{GrantedPlace, Priority, Requirements, TargetLoad, Urgency};
use shallotdrum_rpc::{
    AllotmentStep, ChannelConfig, ChannelHandlers, EndReport, EndedPlace, PLACES_PATH,
    PlaceChannel, PlaceChannels, PlaceReply, PlaceRequest, PlaceServer, RpcError,
};
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{Fingerprint, Incarnation, SessionId};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::oneshot,
    task::JoinSet,
};

pub(crate) const SESSION: SessionId = SessionId(7);

/// What the owner did, in its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Asked(u64),
    Ended(u64),
}

/// Places of the owner.
#[derive(Default)]
pub(crate) struct Places {
    pub(crate) waiting: BTreeMap<u64, oneshot::Sender<()>>,
    pub(crate) granted: BTreeSet<u64>,
    pub(crate) steps: Vec<Step>,
    pub(crate) reports: Vec<EndedPlace>,
    /// Units that were returned, by call.
    pub(crate) returned: Vec<u64>,
    /// Grants each place at once.
    pub(crate) grants_at_once: bool,
}

#[derive(Clone, Default)]
pub(crate) struct Owner {
    places: Arc<Mutex<Places>>,
    pub(crate) accepted: Arc<AtomicUsize>,
}

/// Removes a request that stops waiting, as the owner of a group does.
struct Waiting(Owner, u64);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.places().waiting.remove(&self.1);
    }
}

impl Owner {
    pub(crate) fn places(&self) -> MutexGuard<'_, Places> {
        self.places.lock().unwrap()
    }

    async fn take(self, request: PlaceRequest) -> PlaceReply {
        let place = request.place;
        let rx = {
            let mut places = self.places();
            places.steps.push(Step::Asked(place));
            if places.grants_at_once {
                places.granted.insert(place);
                return granted(&request);
            }
            let (tx, rx) = oneshot::channel();
            places.waiting.insert(place, tx);
            rx
        };
        let waiting = Waiting(self.clone(), place);
        let is_granted = rx.await.is_ok();
        drop(waiting);
        match is_granted {
            true => granted(&request),
            false => PlaceReply::Refused {
                error: shallotdrum_types::RequestError::not_run(
                    shallotdrum_types::RequestErrorKind::DeadlineExceeded,
                    "cancelled",
                ),
                group_wait_ms: None,
            },
        }
    }

    /// Grants all places that are waited for.
    pub(crate) fn grant_all(&self) {
        let mut places = self.places();
        for (place, tx) in std::mem::take(&mut places.waiting) {
            places.granted.insert(place);
            let _ = tx.send(());
        }
    }

    fn end(&self, ended: Vec<EndedPlace>) {
        let mut places = self.places();
        for ended in ended {
            places.steps.push(Step::Ended(ended.place));
            places.waiting.remove(&ended.place);
            places.granted.remove(&ended.place);
            places.reports.push(ended);
        }
    }

    /// Serves channels at a new address.
    pub(crate) async fn serve(&self) -> SocketAddr {
        let (taker, ender, allotments) = (self.clone(), self.clone(), self.clone());
        let handlers = ChannelHandlers {
            take: Box::new(move |request| taker.clone().take(request).map(Ok).boxed()),
            end: Box::new(move |_, ended| ender.end(ended)),
            allotment: Box::new(move |call| {
                let owner = allotments.clone();
                async move {
                    match (call.step, call.units) {
                        (_, 0) => Err(RpcError::NotGroupOwner(call.group)),
                        (AllotmentStep::Take, units) => {
                            Ok(Some(AllotmentReply::granted_at(units as f64)))
                        }
                        (AllotmentStep::Reserve { id, left_ms }, units) => {
                            Ok(Some(AllotmentReply {
                                is_reserved: true,
                                room_after_ms: Some(left_ms),
                                ..AllotmentReply::granted_at((units + id.0) as f64)
                            }))
                        }
                        (AllotmentStep::Settle { is_used, .. }, _) => Ok(Some(AllotmentReply {
                            granted: is_used,
                            ..AllotmentReply::NOT_A_SHARD
                        })),
                        (AllotmentStep::Return, units) => {
                            owner.places().returned.push(units);
                            Ok(None)
                        }
                    }
                }
                .boxed()
            }),
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let server = PlaceServer::new(handlers, Metrics::new().unwrap(), log);
        self.serve_http(move |req| match req.uri().path() {
            PLACES_PATH => server.upgrade(req),
            _ => not_found(),
        })
        .await
    }

    /// Serves as an earlier release does, which does not know the channel.
    pub(crate) async fn serve_without_channel(&self) -> SocketAddr {
        self.serve_http(|_| not_found()).await
    }

    async fn serve_http(
        &self,
        respond: impl Fn(Request<Incoming>) -> Response<()> + Send + Sync + 'static,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (respond, accepted) = (Arc::new(respond), self.accepted.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::Relaxed);
                let respond = respond.clone();
                let service = service_fn(move |req| {
                    let response = respond(req).map(|()| String::new());
                    async move { Ok::<_, Infallible>(response) }
                });
                let http = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(http.with_upgrades());
            }
        });
        addr
    }
}

fn not_found() -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}

/// Reports that no channel delivered.
pub(crate) type Undelivered = Arc<Mutex<Vec<EndedPlace>>>;

pub(crate) fn open_channel(addr: SocketAddr) -> (PlaceChannels, PlaceChannel, Undelivered) {
    open_measured(addr, Metrics::new().unwrap())
}

pub(crate) fn open_measured(
    addr: SocketAddr,
    metrics: Metrics,
) -> (PlaceChannels, PlaceChannel, Undelivered) {
    let undelivered = Undelivered::default();
    let kept = undelivered.clone();
    let channels = PlaceChannels::new(ChannelConfig {
        undelivered: Arc::new(move |_, ends| {
            kept.lock().unwrap().extend(ends.into_iter().map(|report| report.ended));
        }),
        metrics,
        log: slog::Logger::root(slog::Discard, slog::o!()),
    });
    let channel = channels.get(addr, addr).unwrap();
    (channels, channel, undelivered)
}

/// Forwards connections to an owner until it is told to cut them.
pub(crate) struct Proxy {
    pub(crate) addr: SocketAddr,
    connections: Arc<Mutex<JoinSet<()>>>,
}

impl Proxy {
    pub(crate) async fn start(owner: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let connections = Arc::<Mutex<JoinSet<()>>>::default();
        let forwarded = connections.clone();
        tokio::spawn(async move {
            while let Ok((mut entry, _)) = listener.accept().await {
                let mut owner = TcpStream::connect(owner).await.unwrap();
                forwarded.lock().unwrap().spawn(async move {
                    let _ = tokio::io::copy_bidirectional(&mut entry, &mut owner).await;
                });
            }
        });
        Self { addr, connections }
    }

    /// Ends all connections, with what is on its way.
    pub(crate) fn cut(&self) {
        self.connections.lock().unwrap().abort_all();
    }
}

/// Waits until a condition holds; fails after 10 s.
pub(crate) async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("waited in vain: {what}");
}

pub(crate) fn request(place: u64) -> PlaceRequest {
    PlaceRequest {
        session: SESSION,
        request: format!("r-{place}").parse().unwrap(),
        place,
        group: "pool/fj/1".parse().unwrap(),
        subscriber: "c".parse().unwrap(),
        weight: None,
        charge: None,
        need: Requirements::Generation {
            adapter: None,
            prompt_tokens: 10,
            max_tokens: 5,
            prefixes: vec![1, u64::MAX],
        },
        fingerprint: Some(Fingerprint::of(b"f")),
        any_caller: None,
        limits: Vec::new(),
        urgency: Urgency { customer: 1, route: 2 },
        objective_ms: Some(300),
        spread: None,
        left_ms: 20_000,
        avoid: vec!["t-2".parse().unwrap()],
        software: Some("v1".parse().unwrap()),
    }
}

fn granted(request: &PlaceRequest) -> PlaceReply {
    let place = GrantedPlace {
        target: format!("t-{}", request.place).parse().unwrap(),
        incarnation: Incarnation(3),
        addr: "127.0.0.1:9".parse().unwrap(),
        priority: Priority(64),
        is_rate_limited: true,
        software: request.software.clone(),
        spread: Some(2),
        group_wait_ms: None,
    };
    match request.charge {
        Some(_) => PlaceReply::Charged { place, allotment: AllotmentReply::granted_at(1.0) },
        None => PlaceReply::Granted(place),
    }
}

pub(crate) fn ended(place: u64) -> EndReport {
    let ended = EndedPlace {
        load: Some(TargetLoad { running: 1, waiting: 2, slots: 3, slowness: Some(1.5) }),
        first_event_ms: Some(4),
        has_no_room: true,
        ..EndedPlace::cancelled(place)
    };
    EndReport { session: SESSION, ended, until: Instant::now() + Duration::from_secs(20) }
}
