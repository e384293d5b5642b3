//! Tests of the fault proxy: delivery, loss, and what client and upstream observe.

mod support;

use std::{io, net::SocketAddr, time::Duration};

use rstest::rstest;
use shallotdrum_engine::{EngineClient, EngineEvent, Resume};
use shallotdrum_fakes::{
    Direction, FakeEngine, FaultProxy, Flow, ProxySettings, ReservedPort, expected_text,
};
use support::{TIMEOUT, adapter, engine_cfg, load, order, request, run, wait_until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};

/// Time during which nothing may arrive; loopback delivers within microseconds. On a slow machine,
/// these checks can pass wrongly but not fail wrongly.
const QUIET_PERIOD: Duration = Duration::from_millis(50);

/// Client and upstream connected through a proxy.
struct Pair {
    proxy: FaultProxy,
    listener: TcpListener,
    client: TcpStream,
    upstream: TcpStream,
}

/// Connects a client through a proxy to an upstream socket of the test.
async fn connect_pair() -> Pair {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = FaultProxy::start(listener.local_addr().unwrap(), 1).unwrap();
    let client = TcpStream::connect(proxy.addr()).await.unwrap();
    let upstream = listener.accept().await.unwrap().0;
    Pair { proxy, listener, client, upstream }
}

impl Pair {
    /// Sender and receiver of a direction.
    fn endpoints(&mut self, direction: Direction) -> (&mut TcpStream, &mut TcpStream) {
        match direction {
            Direction::ToUpstream => (&mut self.client, &mut self.upstream),
            Direction::ToClient => (&mut self.upstream, &mut self.client),
        }
    }

    async fn send(&mut self, direction: Direction, text: &str) {
        self.endpoints(direction).0.write_all(text.as_bytes()).await.unwrap();
    }

    async fn receive(&mut self, direction: Direction, len: usize) -> String {
        let mut buf = vec![0; len];
        let read = self.endpoints(direction).1.read_exact(&mut buf);
        timeout(TIMEOUT, read).await.expect("nothing arrived").unwrap();
        String::from_utf8(buf).unwrap()
    }

    async fn is_silent(&mut self, direction: Direction) -> bool {
        timeout(QUIET_PERIOD, self.endpoints(direction).1.read(&mut [0; 64])).await.is_err()
    }
}

fn is_reset(result: &io::Result<usize>) -> bool {
    matches!(result, Err(e) if e.kind() == io::ErrorKind::ConnectionReset)
}

async fn read(stream: &mut TcpStream) -> io::Result<usize> {
    timeout(TIMEOUT, stream.read(&mut [0; 64])).await.expect("nothing arrived")
}

/// Guards against a proxy without faults that changes bytes or half-closes.
#[rstest]
#[tokio::test]
async fn forwards_bytes_and_half_close(
    #[values(Direction::ToUpstream, Direction::ToClient)] direction: Direction,
) {
    let mut pair = connect_pair().await;
    pair.send(direction, "hello").await;
    assert_eq!(pair.receive(direction, 5).await, "hello");
    pair.endpoints(direction).0.shutdown().await.unwrap();
    assert_eq!(read(pair.endpoints(direction).1).await.unwrap(), 0);
    // The other direction is still open.
    pair.send(direction.opposite(), "reply").await;
    assert_eq!(pair.receive(direction.opposite(), 5).await, "reply");
}

/// Guards against a cut that lets bytes of its direction through or affects the other direction,
/// and against later bytes that are delivered after the gap instead of a reset of the connection.
#[rstest]
#[tokio::test]
async fn cut_existing_connection(
    #[values(Direction::ToUpstream, Direction::ToClient)] direction: Direction,
) {
    let mut pair = connect_pair().await;
    pair.send(direction, "before").await;
    assert_eq!(pair.receive(direction, 6).await, "before");
    pair.proxy.cut(direction);
    pair.send(direction, "lost").await;
    wait_until("the bytes are dropped", async || pair.proxy.stats().dropped_bytes == 4).await;
    pair.send(direction.opposite(), "reply").await;
    assert_eq!(pair.receive(direction.opposite(), 5).await, "reply");
    pair.proxy.heal();
    assert!(is_reset(&read(pair.endpoints(direction).1).await));
}

/// Guards against a silent partition that reveals the close of a connection.
#[rstest]
#[tokio::test]
async fn cut_both_hides_close(
    #[values(Direction::ToUpstream, Direction::ToClient)] direction: Direction,
) {
    let mut pair = connect_pair().await;
    pair.proxy.cut_both();
    pair.endpoints(direction).0.shutdown().await.unwrap();
    assert!(pair.is_silent(direction).await);
    assert_eq!(pair.proxy.stats().open, 1);
}

/// Guards against a cut that does not apply to new connections.
#[rstest]
#[tokio::test]
async fn cut_new_connection(
    #[values(Direction::ToUpstream, Direction::ToClient)] direction: Direction,
) {
    let pair = connect_pair().await;
    pair.proxy.cut(direction);
    let mut client = TcpStream::connect(pair.proxy.addr()).await.unwrap();
    client.write_all(b"hello").await.unwrap();
    assert!(timeout(QUIET_PERIOD, pair.listener.accept()).await.is_err());
    pair.proxy.heal();
    let mut upstream = timeout(TIMEOUT, pair.listener.accept()).await.unwrap().unwrap().0;
    let mut buf = [0; 5];
    timeout(TIMEOUT, upstream.read_exact(&mut buf)).await.unwrap().unwrap();
    assert_eq!(&buf, b"hello");
}

/// Guards against held bytes that are lost or delivered early.
#[rstest]
#[tokio::test]
async fn hold_delivers_later(
    #[values(Direction::ToUpstream, Direction::ToClient)] direction: Direction,
) {
    let mut pair = connect_pair().await;
    pair.proxy.configure(|s| {
        s.to_upstream.flow = Flow::Hold;
        s.to_client.flow = Flow::Hold;
    });
    pair.send(direction, "held").await;
    pair.endpoints(direction).0.shutdown().await.unwrap();
    assert!(pair.is_silent(direction).await);
    pair.proxy.heal();
    assert_eq!(pair.receive(direction, 4).await, "held");
    assert_eq!(read(pair.endpoints(direction).1).await.unwrap(), 0);
}

/// Guards against refused connections that are accepted first, and against a port that does not
/// stay reserved while connections are refused.
#[tokio::test]
async fn refuse_new_connections() {
    let mut pair = connect_pair().await;
    pair.proxy.configure(|s| s.refuse = true);
    let addr: SocketAddr = pair.proxy.addr();
    wait_until("connections are refused", async || {
        matches!(
            TcpStream::connect(addr).await,
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused
        )
    })
    .await;
    pair.send(Direction::ToUpstream, "still open").await;
    assert_eq!(pair.receive(Direction::ToUpstream, 10).await, "still open");
    pair.proxy.heal();
    wait_until("connections are accepted", async || TcpStream::connect(addr).await.is_ok()).await;
}

/// Guards against a reset that ends existing connections with a graceful close instead of RST.
#[tokio::test]
async fn reset_existing_connections() {
    let mut pair = connect_pair().await;
    pair.proxy.reset_connections();
    assert!(is_reset(&read(&mut pair.client).await));
    assert!(is_reset(&read(&mut pair.upstream).await));
    wait_until("the connection is closed", async || pair.proxy.stats().open == 0).await;
    let mut client = TcpStream::connect(pair.proxy.addr()).await.unwrap();
    let mut upstream = pair.listener.accept().await.unwrap().0;
    client.write_all(b"x").await.unwrap();
    assert_eq!(read(&mut upstream).await.unwrap(), 1);
}

/// Guards against a reset by one side that reaches the other as a graceful close.
#[tokio::test]
async fn reset_is_forwarded() {
    let mut pair = connect_pair().await;
    pair.upstream.set_zero_linger().unwrap();
    drop(pair.upstream);
    assert!(is_reset(&read(&mut pair.client).await));
}

/// Guards against an upstream that refuses connections but looks to the client like a silent one.
#[tokio::test]
async fn refusing_upstream_resets_client() {
    let upstream = ReservedPort::reserve().unwrap();
    let proxy = FaultProxy::start(upstream.addr(), 1).unwrap();
    let mut client = TcpStream::connect(proxy.addr()).await.unwrap();
    assert!(is_reset(&read(&mut client).await));
}

/// Guards against delays that have no effect or reorder bytes.
#[tokio::test]
async fn delay_keeps_order() {
    let mut pair = connect_pair().await;
    pair.proxy.configure(|s| {
        s.to_upstream.delay_ms = 30;
        s.to_upstream.jitter_ms = 20;
    });
    let started = Instant::now();
    let text: String = (0..50).map(|i| format!("{i:02}")).collect();
    for piece in text.as_bytes().chunks(2) {
        pair.client.write_all(piece).await.unwrap();
        tokio::task::yield_now().await;
    }
    assert_eq!(pair.receive(Direction::ToUpstream, 100).await, text);
    let elapsed = started.elapsed();
    assert!(elapsed >= Duration::from_millis(30), "{elapsed:?}");
}

/// Guards against a bandwidth limit without effect.
#[tokio::test]
async fn throttle_limits_rate() {
    let mut pair = connect_pair().await;
    pair.proxy.configure(|s| s.to_client.bytes_per_second = Some(100_000));
    let started = Instant::now();
    pair.send(Direction::ToClient, &"x".repeat(10_000)).await;
    pair.receive(Direction::ToClient, 10_000).await;
    assert!(started.elapsed() >= Duration::from_millis(100));
}

/// Guards against duplicated chunks that don't arrive twice.
#[tokio::test]
async fn duplicate_chunk() {
    let mut pair = connect_pair().await;
    pair.proxy.configure(|s| s.to_client.duplicate = 1.0);
    pair.send(Direction::ToClient, "abc").await;
    assert_eq!(pair.receive(Direction::ToClient, 6).await, "abcabc");
}

/// Guards against connections or a listener that stay open after the handle is dropped.
#[tokio::test]
async fn drop_closes_connections_and_listener() {
    let Pair { proxy, mut client, mut upstream, .. } = connect_pair().await;
    let addr = proxy.addr();
    drop(proxy);
    // Either a graceful close or a reset.
    assert!(!matches!(read(&mut client).await, Ok(1..)));
    assert!(!matches!(read(&mut upstream).await, Ok(1..)));
    wait_until("the proxy refuses connections", async || TcpStream::connect(addr).await.is_err())
        .await;
}

/// Guards against a stream that does not report a link fault or is incomplete after resuming, and
/// against runs of the engine that continue for a disconnected client.
#[rstest]
#[case::cut_to_client("Idle", |proxy: &FaultProxy| proxy.cut(Direction::ToClient))]
#[case::cut_both("Idle", FaultProxy::cut_both)]
#[case::reset("Incomplete", FaultProxy::reset_connections)]
#[tokio::test]
async fn stream_through_faulty_link(#[case] expected: &str, #[case] fault: fn(&FaultProxy)) {
    let engine = FakeEngine::start(engine_cfg("e")).await.unwrap();
    let proxy = FaultProxy::start(engine.addr(), 1).unwrap();
    let a = adapter("a");
    order(engine.addr(), 1, load(&a, None)).await.unwrap();
    engine.configure(|settings| settings.step_base_ms = 5.0);
    let client = EngineClient::default();
    let mut req = request("r", &a, "prompt", 100);
    let mut stream = client.generate(proxy.addr(), &req).await.unwrap();
    let mut text = String::new();
    let error = loop {
        match stream.next().await.unwrap() {
            Ok(EngineEvent::Chunk(chunk)) if chunk.offset == 3 => {
                text.push_str(&chunk.text);
                stream.set_idle_timeout(Duration::from_millis(100));
                fault(&proxy);
            }
            Ok(EngineEvent::Chunk(chunk)) => text.push_str(&chunk.text),
            Ok(EngineEvent::End(_)) => panic!("the fault had no effect"),
            Err(e) => break format!("{e:?}"),
        }
    };
    assert!(error.starts_with(expected), "{error}");
    proxy.heal();
    req.resume = Some(Resume { offset: stream.delivered_tokens(), text: text.clone() });
    text.push_str(&run(&client, proxy.addr(), &req).await.unwrap());
    assert_eq!(text, expected_text(&req.base_model, &a, "prompt", 100));
    wait_until("all runs have ended", async || engine.stats().runs.iter().all(|r| r.end.is_some()))
        .await;
    assert_eq!(engine.stats().violations, []);
}

/// Guards against a partial JSON object that resets the other fields of a direction.
#[test]
fn settings_merge_nested() {
    let settings = ProxySettings::new("127.0.0.1:1".parse().unwrap());
    let settings = settings.merged(r#"{"to_client":{"delay_ms":5}}"#).unwrap();
    let settings = settings.merged(r#"{"to_client":{"flow":"drop"}}"#).unwrap();
    assert_eq!((settings.to_client.delay_ms, settings.to_client.flow), (5, Flow::Drop));
    assert!(settings.merged(r#"{"to_client":{"flaw":"drop"}}"#).is_err());
}
