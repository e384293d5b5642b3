//! Requests to targets whose link is broken, through another instance.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use rstest::rstest;
use shallotdrum_engine::{CallError, ClientTimeouts, EngineClient, full_body};
use shallotdrum_links::{LinkContext, LinkStatus, Links, PeerInstance, serve_tunnel};
use tokio::{net::TcpListener, task::JoinSet};

/// Maximum wait for conditions that are met within a second.
const LIMIT: Duration = Duration::from_secs(10);

/// Target, an instance that asks for connections to it, and one that opens them.
struct Deployment {
    target: SocketAddr,
    runs: Arc<AtomicUsize>,
    /// Links of the instance under test.
    links: Links,
    /// Address at which it reaches the target; nothing listens there.
    direct: SocketAddr,
    peer_links: Links,
    tunnels: Arc<Mutex<Vec<String>>>,
    _tasks: JoinSet<()>,
}

/// Address on which nothing listens.
async fn closed_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

fn context(peer: Option<SocketAddr>, target: SocketAddr) -> LinkContext {
    LinkContext {
        peers: Box::new(move || {
            let instance = "peer".parse().unwrap();
            peer.map(|data| PeerInstance { instance, data, rank: 0 }).into_iter().collect()
        }),
        is_target: Box::new(move |addr| addr == target),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    }
}

/// Serves requests, each on the connection that it came on.
fn serve<F, R>(listener: TcpListener, tasks: &mut JoinSet<()>, handle: F)
where
    F: Fn(Request<hyper::body::Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    tasks.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handle = handle.clone();
            let service = service_fn(move |req| {
                let response = handle(req);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(served.with_upgrades());
        }
    });
}

impl Deployment {
    /// Starts the peer with a link to the target, or without.
    async fn start(peer_has_link: bool) -> Self {
        let mut tasks = JoinSet::new();
        let runs = Arc::new(AtomicUsize::new(0));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = listener.local_addr().unwrap();
        let counted = runs.clone();
        serve(listener, &mut tasks, move |_| {
            counted.fetch_add(1, Ordering::Relaxed);
            async { Response::new(Full::new(Bytes::from("done"))) }
        });

        let direct = closed_addr().await;
        let peer_forwarded = match peer_has_link {
            true => BTreeMap::new(),
            false => BTreeMap::from([(target, direct)]),
        };
        let peer_links = Links::new(peer_forwarded);
        peer_links.attach(context(None, target));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = listener.local_addr().unwrap();
        let tunnels = Arc::new(Mutex::new(Vec::new()));
        let (recorded, opener) = (tunnels.clone(), peer_links.clone());
        serve(listener, &mut tasks, move |req| {
            assert_eq!(req.method(), Method::CONNECT);
            let id = req.headers()[shallotdrum_links::REQUEST_HEADER].to_str().unwrap().to_owned();
            recorded.lock().unwrap().push(id);
            let opener = opener.clone();
            async move { serve_tunnel(opener, req).await.map(|()| Full::default()) }
        });

        let links = Links::new(BTreeMap::from([(target, direct)]));
        links.attach(context(Some(peer), target));
        Self { target, runs, links, direct, peer_links, tunnels, _tasks: tasks }
    }

    /// Calls the target on a new connection.
    async fn call(&self) -> Result<Bytes, CallError> {
        let client = EngineClient::with_links(ClientTimeouts::default(), self.links.clone());
        let req = Request::builder().uri("/").body(full_body(Bytes::new())).unwrap();
        let res = client.call_unpooled(self.target, req).await?;
        Ok(res.into_body().collect().await.unwrap().to_bytes())
    }
}

/// Guards against a call on the product's own interface that fails because its owner has no link to
/// the target, and against one that runs twice.
#[tokio::test]
async fn call_link_broken() {
    let deployment = Deployment::start(true).await;
    for calls in 1..=3 {
        assert_eq!(deployment.call().await.unwrap(), "done");
        assert_eq!(deployment.runs.load(Ordering::Relaxed), calls);
    }
    assert_eq!(deployment.links.status(deployment.target), LinkStatus::Refusing);
}

/// Guards against log lines of two instances that can't be matched.
#[tokio::test]
async fn connect_names_request() {
    let deployment = Deployment::start(true).await;
    let stream = deployment.links.connect(deployment.target, "request-1").await.unwrap();
    assert_eq!(stream.through().map(ToString::to_string).as_deref(), Some("peer"));
    assert_eq!(*deployment.tunnels.lock().unwrap(), ["request-1"]);
}

/// Guards against taking a target that is down for all for a broken link.
#[tokio::test]
async fn connect_target_down() {
    let deployment = Deployment::start(false).await;
    assert!(matches!(deployment.call().await, Err(CallError::NotSent { .. })));
    assert_eq!(deployment.links.status(deployment.target), LinkStatus::Open);
    assert!(!deployment.links.is_link_failure(deployment.target).await);
    assert!(deployment.links.is_refused(deployment.target, LIMIT).await);
    assert!(!deployment.links.is_listening(deployment.target).await);
}

/// Guards against blaming a target, or its requests, for a broken link.
#[tokio::test]
async fn is_link_failure_link_broken() {
    let deployment = Deployment::start(true).await;
    assert!(deployment.links.is_link_failure(deployment.target).await);
    assert!(!deployment.links.is_refused(deployment.target, LIMIT).await);
    assert!(deployment.links.is_listening(deployment.target).await);
}

/// Why a peer opens no tunnel.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    Withheld,
    OwnLinkBroken,
    NoTarget,
}

/// Guards against tunnels to targets that take no requests from the peer, over a second detour, and
/// to any other address.
#[rstest]
#[case::withheld(Refusal::Withheld)]
#[case::own_link_broken(Refusal::OwnLinkBroken)]
#[case::no_target(Refusal::NoTarget)]
#[tokio::test]
async fn tunnel_refused(#[case] refusal: Refusal) {
    let deployment = Deployment::start(!matches!(refusal, Refusal::OwnLinkBroken)).await;
    let mut target = deployment.target;
    match refusal {
        Refusal::Withheld => deployment.peer_links.withhold(move |addr| addr == target),
        Refusal::OwnLinkBroken => {}
        Refusal::NoTarget => target = closed_addr().await,
    }
    assert!(deployment.links.connect(target, "request-1").await.is_err());
    assert_eq!(deployment.runs.load(Ordering::Relaxed), 0);
    assert_eq!(deployment.links.status(target), LinkStatus::Open);
}

/// Guards against a link that is not used again when it works.
#[tokio::test]
async fn link_restored() {
    let deployment = Deployment::start(true).await;
    assert_eq!(deployment.call().await.unwrap(), "done");
    assert_ne!(deployment.links.status(deployment.target), LinkStatus::Open);
    let _listener = TcpListener::bind(deployment.direct).await.unwrap();
    let restored = async {
        while deployment.links.status(deployment.target) != LinkStatus::Open {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LIMIT, restored).await.unwrap();
    let stream = deployment.links.connect(deployment.target, "request-1").await.unwrap();
    assert!(stream.through().is_none());
}

/// Guards against an instance that leaves its groups for a target that restarts.
#[tokio::test]
async fn is_cut_off_after_trial() {
    let deployment = Deployment::start(true).await;
    assert_eq!(deployment.call().await.unwrap(), "done");
    assert!(!deployment.links.is_cut_off());
    let cut_off = async {
        while !deployment.links.is_cut_off() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LIMIT, cut_off).await.unwrap();
}
