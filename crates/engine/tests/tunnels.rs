//! Responses without a length through another instance: only the end of the connection tells the end of
//! their bodies.

use std::{collections::BTreeMap, convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::{body::Body as _, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use rstest::rstest;
use shallotdrum_engine::{ClientTimeouts, EngineClient, full_body};
use shallotdrum_links::{LinkContext, Links, PeerInstance, serve_tunnel};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    runtime::Runtime,
    time::timeout,
};

/// Maximum wait for conditions that are met within a second.
const LIMIT: Duration = Duration::from_secs(10);

/// How the response of the target ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    /// The target's connection stays open, and the instance that opened it is gone.
    InstanceGone,
}

/// Starts a target that sends a body without a length, and ends its connection.
async fn start_target(end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                // Connections that only check the target bring nothing.
                if !stream.read(&mut [0; 1024]).await.is_ok_and(|len| len > 0) {
                    return;
                }
                stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nbody").await.unwrap();
                match end {
                    End::Close => {}
                    End::Reset => {
                        // The body arrives before the reset.
                        tokio::time::sleep(Duration::from_millis(50)).await;
                        stream.set_zero_linger().unwrap();
                    }
                    End::InstanceGone => std::future::pending().await,
                }
            });
        }
    });
    addr
}

/// Context with instances that are asked in this order.
fn context(peers: Vec<SocketAddr>, target: SocketAddr) -> LinkContext {
    LinkContext {
        peers: Box::new(move || {
            let peer = |(data, rank): (&SocketAddr, u8)| PeerInstance {
                instance: format!("peer-{rank}").parse().unwrap(),
                data: *data,
                rank,
            };
            peers.iter().zip(0..).map(peer).collect()
        }),
        is_target: Box::new(move |addr| addr == target),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    }
}

/// Address at which nothing listens.
async fn closed_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Starts an instance, in a runtime of its own, that opens connections to the target, which it reaches at
/// an address of its own.
async fn start_peer(target: SocketAddr, reached_at: SocketAddr) -> (SocketAddr, Runtime) {
    let links = Links::new(BTreeMap::from([(target, reached_at)]));
    links.attach(context(Vec::new(), target));
    let runtime = Runtime::new().unwrap();
    let (tx, rx) = tokio::sync::oneshot::channel();
    runtime.spawn(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        tx.send(listener.local_addr().unwrap()).unwrap();
        while let Ok((stream, _)) = listener.accept().await {
            let links = links.clone();
            let service = service_fn(move |req| {
                let links = links.clone();
                async move {
                    let res = serve_tunnel(links, req).await;
                    Ok::<_, Infallible>(res.map(|()| Full::<Bytes>::default()))
                }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(served.with_upgrades());
        }
    });
    (rx.await.unwrap(), runtime)
}

/// Guards against a body that is taken as complete because the instance between closes the connection
/// regularly, though the target reset its own or the instance itself is gone.
#[rstest]
#[case::complete(End::Close, true)]
#[case::reset(End::Reset, false)]
#[case::instance_gone(End::InstanceGone, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_without_length_through_tunnel(#[case] end: End, #[case] is_complete: bool) {
    let target = start_target(end).await;
    let (peer, runtime) = start_peer(target, target).await;
    // Nothing listens where this instance reaches the target.
    let links = Links::new(BTreeMap::from([(target, closed_addr().await)]));
    links.attach(context(vec![peer], target));
    let client = EngineClient::with_links(ClientTimeouts::default(), links);
    let req = Request::builder().uri("/").body(full_body(Bytes::new())).unwrap();
    let res = timeout(LIMIT, client.call_unpooled(target, req)).await.unwrap().unwrap();
    assert_eq!(res.body().size_hint().exact(), None);
    let mut body = res.into_body();
    let mut text = Vec::new();
    let mut runtime = Some(runtime);
    let ended = loop {
        match timeout(LIMIT, body.frame()).await.unwrap() {
            Some(Ok(frame)) => text.extend_from_slice(&frame.into_data().unwrap()),
            Some(Err(e)) => break Err(e),
            None => break Ok(()),
        }
        if end == End::InstanceGone
            && let Some(runtime) = runtime.take()
        {
            runtime.shutdown_background();
        }
    };
    if let Some(runtime) = runtime {
        runtime.shutdown_background();
    }
    assert_eq!(text, b"body");
    assert_eq!(ended.is_ok(), is_complete, "{ended:?}");
}

/// Guards against taking a target for one that refuses connections on the word of a single instance, whose
/// own link to it may be broken.
#[rstest]
#[case::one_link_broken(1, true)]
#[case::all_refuse(3, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_of_one_instance(#[case] refusing: usize, #[case] is_listening: bool) {
    let target = start_target(End::Close).await;
    let closed = closed_addr().await;
    let mut peers = Vec::new();
    for n in 0..3 {
        let reached_at = if n < refusing { closed } else { target };
        peers.push(start_peer(target, reached_at).await);
    }
    let links = Links::new(BTreeMap::from([(target, closed)]));
    links.attach(context(peers.iter().map(|(peer, _)| *peer).collect(), target));
    assert_eq!(timeout(LIMIT, links.is_listening(target)).await.unwrap(), is_listening);
    for (_, runtime) in peers {
        runtime.shutdown_background();
    }
}
