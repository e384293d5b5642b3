//! Verdicts on links while connections open slowly, and while this process does not run.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::Response;
use http_body_util::Empty;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use rstest::rstest;
use shallotdrum_links::{LinkContext, LinkStatus, LinkStream, Links, PeerInstance, serve_tunnel};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    runtime::Runtime,
    sync::Notify,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// Time within which a silent link is found, from the beginning of its check.
const FOUND_WITHIN: Duration = Duration::from_millis(400);

/// Maximum number of connections that the operating system accepts for a listener that does not.
const BACKLOG: u32 = 1;

/// Time for which a connection that fills the backlog is waited for.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);

/// Target, the way of the instance under test to it, and another instance, all on other threads.
struct Remote {
    /// Until it is dropped.
    runtime: Option<Runtime>,
    target: SocketAddr,
    /// Address at which the instance under test reaches the target.
    direct: SocketAddr,
    /// Connections that the instance under test opened.
    accepted: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Mutex<Option<JoinHandle<TcpListener>>>,
    listener: Mutex<Option<TcpListener>>,
    stop_accepting: Arc<Notify>,
    filling: Mutex<Vec<TcpStream>>,
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

fn listen(addr: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(addr).unwrap();
    socket.listen(BACKLOG).unwrap()
}

/// Sends a byte every 20 ms on each connection that it accepts.
async fn serve_target(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            while stream.write_all(b"x").await.is_ok() {
                sleep(Duration::from_millis(20)).await;
            }
        });
    }
}

/// Opens connections for the instance under test, after a delay.
async fn serve_peer(listener: TcpListener, links: Links, delay: Duration) {
    while let Ok((stream, _)) = listener.accept().await {
        let links = links.clone();
        let service = service_fn(move |req| {
            let links = links.clone();
            async move {
                sleep(delay).await;
                let response = serve_tunnel(links, req).await;
                Ok::<Response<Empty<Bytes>>, Infallible>(response.map(|()| Empty::new()))
            }
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(served.with_upgrades());
    }
}

impl Drop for Remote {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Remote {
    /// Starts them; the other instance takes `delay` to open a connection.
    fn start(delay: Duration) -> (Arc<Self>, Links) {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.unwrap();
        let entered = runtime.enter();
        let any = || listen("127.0.0.1:0".parse().unwrap());
        let (listener, of_target, of_peer) = (any(), any(), any());
        let direct = listener.local_addr().unwrap();
        let target = of_target.local_addr().unwrap();
        let peer = of_peer.local_addr().unwrap();
        let peer_links = Links::new(BTreeMap::new());
        peer_links.attach(context(None, target));
        runtime.spawn(serve_target(of_target));
        runtime.spawn(serve_peer(of_peer, peer_links, delay));
        let links = Links::new(BTreeMap::from([(target, direct)]));
        links.attach(context(Some(peer), target));
        drop(entered);
        let remote = Self {
            target,
            direct,
            accepted: Arc::default(),
            accepting: Mutex::default(),
            listener: Mutex::new(Some(listener)),
            stop_accepting: Arc::default(),
            filling: Mutex::default(),
            runtime: Some(runtime),
        };
        remote.accept();
        (Arc::new(remote), links)
    }

    /// Accepts connections of the instance under test.
    fn accept(&self) {
        self.filling.lock().unwrap().clear();
        let runtime = self.runtime.as_ref().unwrap();
        let _entered = runtime.enter();
        let listener = self.listener.lock().unwrap().take().unwrap_or_else(|| listen(self.direct));
        let (accepted, stop) = (self.accepted.clone(), self.stop_accepting.clone());
        let accepting = runtime.spawn(async move {
            loop {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => accepted.lock().unwrap().push(stream),
                    () = stop.notified() => return listener,
                }
            }
        });
        *self.accepting.lock().unwrap() = Some(accepting);
    }

    async fn take_listener(&self) -> TcpListener {
        let accepting = self.accepting.lock().unwrap().take().unwrap();
        self.stop_accepting.notify_one();
        accepting.await.unwrap()
    }

    /// Lets further connections wait.
    async fn stop_accepting(&self) {
        let listener = self.take_listener().await;
        let mut filling = Vec::new();
        while let Ok(Ok(stream)) = timeout(FILL_TIMEOUT, TcpStream::connect(self.direct)).await {
            filling.push(stream);
        }
        *self.filling.lock().unwrap() = filling;
        *self.listener.lock().unwrap() = Some(listener);
    }

    /// Refuses further connections.
    async fn refuse(&self) {
        drop(self.take_listener().await);
    }

    /// Sends a byte on each open connection.
    fn send(&self) {
        for stream in self.accepted.lock().unwrap().iter() {
            let _ = stream.try_write(b"x");
        }
    }

    /// Does something on another thread after some time.
    fn after(self: &Arc<Self>, delay: Duration, act: impl FnOnce(&Self) + Send + 'static) {
        let remote = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            act(&remote);
        });
    }

    /// Opens a direct connection and reads from it.
    async fn read_directly(&self, links: &Links) {
        let stream = links.connect(self.target, "request-1").await.unwrap();
        assert!(stream.through().is_none());
        read(stream);
        let opened = async {
            while self.accepted.lock().unwrap().is_empty() {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(Duration::from_secs(10), opened).await.unwrap();
    }
}

/// Reads from a connection in the background.
fn read(stream: LinkStream) {
    tokio::spawn(async move {
        let mut stream = TokioIo::new(stream);
        let mut buf = [0; 16];
        while stream.read(&mut buf).await.is_ok_and(|bytes| bytes > 0) {}
    });
}

/// Lets nothing else run on this thread for some time, as in a process that is stopped.
fn stand_still(from_ms: u64, for_ms: u64) {
    tokio::spawn(async move {
        sleep(Duration::from_millis(from_ms)).await;
        std::thread::sleep(Duration::from_millis(for_ms));
    });
}

/// Guards against a link that is taken for silent though bytes arrive on it during the check.
#[rstest]
#[case::while_check_waits(100)]
#[case::while_others_are_asked(400)]
#[tokio::test]
async fn check_bytes_arrive(#[case] at_ms: u64) {
    let (remote, links) = Remote::start(Duration::from_millis(300));
    remote.read_directly(&links).await;
    remote.stop_accepting().await;
    remote.after(Duration::from_millis(at_ms), Remote::send);
    assert!(!links.is_link_failure(remote.target).await);
    assert_eq!(links.status(remote.target), LinkStatus::Open);
}

/// Guards against a link that is taken for silent though a connection opens while others are asked.
#[tokio::test]
async fn check_connection_opens_late() {
    let (remote, links) = Remote::start(Duration::from_millis(300));
    remote.read_directly(&links).await;
    remote.stop_accepting().await;
    remote.after(Duration::from_millis(300), Remote::accept);
    assert!(!links.is_link_failure(remote.target).await);
}

/// Guards against a link that is taken for silent by a process that has not read what has arrived.
#[rstest]
#[case::while_check_waits(100, 1_000)]
#[case::while_others_are_asked(350, 900)]
#[tokio::test]
async fn check_process_stands_still(#[case] from_ms: u64, #[case] for_ms: u64) {
    let (remote, links) = Remote::start(Duration::from_millis(250));
    remote.read_directly(&links).await;
    remote.stop_accepting().await;
    remote.after(Duration::from_millis(from_ms + for_ms / 2), Remote::send);
    stand_still(from_ms, for_ms);
    assert!(!links.is_link_failure(remote.target).await);
}

/// Guards against a link that is taken for refusing though the target restarts meanwhile.
#[rstest]
#[case::check(false)]
#[case::connect(true)]
#[tokio::test]
async fn target_listens_again(#[case] connects: bool) {
    let (remote, links) = Remote::start(Duration::from_millis(200));
    remote.read_directly(&links).await;
    remote.refuse().await;
    remote.after(Duration::from_millis(100), Remote::accept);
    if connects {
        assert!(links.connect(remote.target, "request-2").await.is_ok());
    } else {
        assert!(!links.is_link_failure(remote.target).await);
    }
    assert_eq!(links.status(remote.target), LinkStatus::Open);
}

/// Guards against a silent link that is not found, or later, also where another instance brings bytes.
#[rstest]
#[case::nothing_arrives(false)]
#[case::bytes_through_instance(true)]
#[tokio::test]
async fn check_link_silent(#[case] has_detour: bool) {
    let (remote, links) = Remote::start(Duration::ZERO);
    remote.read_directly(&links).await;
    remote.stop_accepting().await;
    if has_detour {
        // Starts the check as well.
        let stream = links.connect(remote.target, "request-2").await.unwrap();
        assert!(stream.through().is_some());
        read(stream);
    }
    let started = Instant::now();
    assert!(links.is_link_failure(remote.target).await);
    assert_eq!(links.status(remote.target), LinkStatus::Silent);
    assert!(started.elapsed() < FOUND_WITHIN, "{:?}", started.elapsed());
}

/// Guards against a link that refuses connections and is not found.
#[tokio::test]
async fn check_link_refuses() {
    let (remote, links) = Remote::start(Duration::ZERO);
    remote.read_directly(&links).await;
    remote.refuse().await;
    assert!(links.is_link_failure(remote.target).await);
    assert_eq!(links.status(remote.target), LinkStatus::Refusing);
}

/// Guards against a broken link that is taken for a crash by a process that did not run while it asked
/// another instance.
#[tokio::test]
async fn is_refused_process_stands_still() {
    let (remote, links) = Remote::start(Duration::from_millis(100));
    remote.refuse().await;
    stand_still(50, 900);
    assert!(!links.is_refused(remote.target, Duration::from_secs(1)).await);
}
