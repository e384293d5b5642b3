//! Processor time per place at an owner that grants at once, by JSON-RPC and by the channel for places:
//! `cargo bench -p shallotdrum-rpc`. Linux only.
//!
//! The owner and the entry have a thread each. A place costs a request for it and the report of its end.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    time::{Duration, Instant},
};

use futures_util::{FutureExt, future::join_all};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use jsonrpsee::{RpcModule, server::Server};
use shallotdrum_engine::{GrantedPlace, Priority, Requirements, Urgency};
use shallotdrum_rpc::{
    ChannelConfig, ChannelHandlers, EndReport, EndedPlace, PeerApiClient, Peers, PeersConfig,
    PlaceChannels, PlaceEnd, PlaceReply, PlaceRequest, PlaceServer, RpcError,
};
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{Fingerprint, Incarnation, SessionId};
use tokio::{net::TcpListener, runtime::Builder};

/// Places of one measurement.
const PLACES: u64 = 20_000;

/// Requests in progress at a time.
const CONCURRENT: [u64; 3] = [1, 16, 256];

fn request(place: u64) -> PlaceRequest {
    PlaceRequest {
        session: SessionId(1),
        request: format!("request-{place}").parse().expect("a valid name"),
        place,
        group: "pool/eu/1".parse().expect("a valid group"),
        subscriber: "customer-1".parse().expect("a valid name"),
        weight: None,
        charge: None,
        need: Requirements::Call { is_repeatable: true },
        fingerprint: Some(Fingerprint::of(&place.to_be_bytes())),
        any_caller: Some(Fingerprint::of(&place.to_le_bytes())),
        limits: Vec::new(),
        urgency: Urgency::default(),
        objective_ms: Some(300),
        spread: Some(1),
        left_ms: 2_000,
        avoid: Vec::new(),
        software: None,
    }
}

fn grant() -> PlaceReply {
    PlaceReply::Granted(GrantedPlace {
        target: "target-1".parse().expect("a valid name"),
        incarnation: Incarnation(1),
        addr: "127.0.0.1:1".parse().expect("a valid address"),
        priority: Priority(64),
        is_rate_limited: false,
        software: None,
        spread: Some(1),
        group_wait_ms: Some(3),
    })
}

fn ended(place: u64) -> EndedPlace {
    let end = PlaceEnd::Answered { prompt_tokens: 0, completion_tokens: 0 };
    EndedPlace { end, ..EndedPlace::cancelled(place) }
}

/// Processor time of the calling thread.
fn thread_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").expect("Linux");
    let ns = stat.split(' ').next().and_then(|ns| ns.parse().ok()).expect("a time");
    Duration::from_nanos(ns)
}

/// Runs a server in a thread of its own; returns its address and a function that asks for its processor
/// time.
fn spawn_owner(serve: fn() -> futures_util::future::BoxFuture<'static, SocketAddr>) -> Owner {
    let (addr_tx, addr_rx) = mpsc::channel();
    let (ask, mut asked) = tokio::sync::mpsc::unbounded_channel::<mpsc::Sender<Duration>>();
    std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            addr_tx.send(serve().await).expect("a receiver");
            while let Some(reply) = asked.recv().await {
                reply.send(thread_time()).expect("a receiver");
            }
        });
    });
    Owner { addr: addr_rx.recv().expect("an address"), ask }
}

struct Owner {
    addr: SocketAddr,
    ask: tokio::sync::mpsc::UnboundedSender<mpsc::Sender<Duration>>,
}

impl Owner {
    fn time(&self) -> Duration {
        let (tx, rx) = mpsc::channel();
        self.ask.send(tx).expect("an owner");
        rx.recv().expect("a time")
    }
}

async fn serve_rpc() -> SocketAddr {
    let mut module = RpcModule::new(());
    module
        .register_async_method("place_take", |params, _, _| {
            let request: Result<PlaceRequest, _> = params.sequence().next();
            async move { request.map(|_| grant()) }
        })
        .expect("a new method");
    module
        .register_async_method("place_end", |params, _, _| {
            let mut params = params.sequence();
            let session: Result<SessionId, _> = params.next();
            let ended: Result<Vec<EndedPlace>, _> = params.next();
            async move { session.and(ended).map(drop) }
        })
        .expect("a new method");
    let server = Server::builder().build("127.0.0.1:0").await.expect("a server");
    let addr = server.local_addr().expect("an address");
    let handle = server.start(module);
    tokio::spawn(handle.stopped());
    addr
}

async fn serve_channel() -> SocketAddr {
    let handlers = ChannelHandlers {
        take: Box::new(|_| async { Ok(grant()) }.boxed()),
        end: Box::new(|_, _| {}),
        allotment: Box::new(|call| async { Err(RpcError::NotGroupOwner(call.group)) }.boxed()),
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = PlaceServer::new(handlers, Metrics::new().expect("metrics"), log);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let server = server.clone();
            let upgrade = service_fn(move |req: hyper::Request<Incoming>| {
                let response = server.upgrade(req).map(|()| String::new());
                async move { Ok::<_, std::convert::Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), upgrade);
            tokio::spawn(connection.with_upgrades());
        }
    });
    addr
}

/// Takes and ends places, and prints the processor time of the owner and of this thread.
async fn measure<F>(kind: &str, concurrent: u64, owner: &Owner, take: impl Fn(u64) -> F) -> f64
where
    F: Future<Output = ()>,
{
    let one_by_one = |first: u64| {
        let take = &take;
        async move {
            for place in (first..PLACES).step_by(concurrent as usize) {
                take(place).await;
            }
        }
    };
    // Opens the connections.
    join_all((0..concurrent).map(|n| take(PLACES + n))).await;
    let (owner_before, entry_before, start) = (owner.time(), thread_time(), Instant::now());
    join_all((0..concurrent).map(one_by_one)).await;
    let wall = start.elapsed();
    let micros = |time: Duration| time.as_nanos() as f64 / 1e3 / PLACES as f64;
    let owner_us = micros(owner.time() - owner_before);
    let entry_us = micros(thread_time() - entry_before);
    println!(
        "{kind}, {concurrent} at a time: owner {owner_us:.1} us, entry {entry_us:.1} us of processor \
         time per place; {:.0} places/s",
        PLACES as f64 / wall.as_secs_f64()
    );
    owner_us
}

async fn compare(rpc: &Owner, channel: &Owner) {
    let client = Peers::new(PeersConfig { timeout: Duration::from_secs(10) })
        .get(rpc.addr)
        .expect("a client");
    let cfg = ChannelConfig {
        undelivered: Arc::new(|_, _| panic!("a report was not delivered")),
        metrics: Metrics::new().expect("metrics"),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    };
    let place_channel = PlaceChannels::new(cfg).get(channel.addr, channel.addr).expect("a channel");
    for concurrent in CONCURRENT {
        let by_rpc = measure("JSON-RPC", concurrent, rpc, |place| {
            let client = client.clone();
            async move {
                client.take_place(request(place)).await.expect("a reply");
                client.end_places(SessionId(1), vec![ended(place)]).await.expect("a reply");
            }
        });
        let by_rpc = by_rpc.await;
        let by_channel = measure("channel", concurrent, channel, |place| {
            let channel = place_channel.clone();
            async move {
                channel.take_place(request(place)).await.expect("a reply");
                let until = Instant::now() + Duration::from_secs(3);
                channel.end_place(EndReport { session: SessionId(1), ended: ended(place), until });
            }
        });
        let by_channel = by_channel.await;
        println!("{concurrent} at a time: {:.1} times as many by the channel", by_rpc / by_channel);
    }
}

fn main() {
    let rpc = spawn_owner(|| serve_rpc().boxed());
    let channel = spawn_owner(|| serve_channel().boxed());
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(compare(&rpc, &channel));
}
