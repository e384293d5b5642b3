//! Connections to targets whose responses are scripted.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rstest::rstest;
use shallotdrum_gateway::{Connection, ConnectionPool, SendError, UnattributedResponse};
use shallotdrum_types::RequestId;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::oneshot,
    time::timeout,
};

const ID_HEADER: &str = "x-id";

/// Target that answers each request; `script` names the ids of the responses.
struct Target {
    addr: SocketAddr,
    connections: Arc<AtomicUsize>,
}

/// Returns the id that the response to a request names, from the id and the number of requests on its
/// connection.
type Script = fn(&str, usize) -> Option<String>;

/// Names the request.
fn own(id: &str, _: usize) -> Option<String> {
    Some(id.to_owned())
}

impl Target {
    async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = connections.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(stream, script));
            }
        });
        Self { addr, connections }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

async fn serve(mut stream: TcpStream, script: Script) {
    let mut buf = vec![0; 4096];
    let mut requests = 0;
    // Requests are small and arrive in a single read.
    while let Ok(len @ 1..) = stream.read(&mut buf).await {
        requests += 1;
        let request = String::from_utf8_lossy(&buf[..len]).into_owned();
        let id = request.lines().find_map(|line| line.strip_prefix("x-id: ")).unwrap();
        let named = script(id, requests).map_or_else(String::new, |id| format!("x-id: {id}\r\n"));
        let response = format!("HTTP/1.1 200 OK\r\n{named}content-length: 2\r\n\r\nok");
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn request(id: &str) -> Request<Full<Bytes>> {
    Request::get("/").header(ID_HEADER, id).body(Full::default()).unwrap()
}

fn named<T>(response: &Response<T>) -> Option<Result<RequestId, String>> {
    let id = response.headers().get(ID_HEADER)?.to_str().unwrap();
    Some(id.parse().map_err(|_| id.to_owned()))
}

async fn send(
    pool: &ConnectionPool,
    target: &Target,
    id: &str,
) -> (Connection, Response<Incoming>) {
    pool.send(target.addr, request(id), &id.parse().unwrap()).await.unwrap()
}

/// Sends a request, checks its response and, if that is its own, reads it.
async fn call(
    pool: &ConnectionPool,
    target: &Target,
    id: &str,
) -> Result<(), UnattributedResponse> {
    let (mut connection, response) = send(pool, target, id).await;
    connection.check_response(named(&response).as_ref())?;
    response.into_body().collect().await.unwrap();
    connection.release();
    Ok(())
}

/// Guards against sending a request again on a connection on which a response to it may still come.
#[tokio::test]
async fn connection_carries_each_id_once() {
    let target = Target::start(own).await;
    let pool = ConnectionPool::default();
    for id in ["a", "b", "c"] {
        assert_eq!(call(&pool, &target, id).await, Ok(()));
    }
    assert_eq!(target.connections(), 1);
    for expected in 2..5 {
        assert_eq!(call(&pool, &target, "b").await, Ok(()));
        assert_eq!(target.connections(), expected);
    }
    // Kept connections serve other requests.
    assert_eq!(call(&pool, &target, "d").await, Ok(()));
    assert_eq!(target.connections(), 4);
}

/// Guards against unlimited memory for ids, and against forgetting some of them.
#[tokio::test]
async fn connection_is_closed_after_many_requests() {
    const REQUESTS: usize = 3_000;
    let target = Target::start(own).await;
    let pool = ConnectionPool::default();
    for n in 0..REQUESTS {
        assert_eq!(call(&pool, &target, &format!("id-{n}")).await, Ok(()));
    }
    assert_eq!(target.connections(), REQUESTS.div_ceil(1024));
}

/// Guards against taking a response without an id on a connection that carried another request, and
/// against losing requests at a target that never names them.
#[tokio::test]
async fn unnamed_responses_use_one_connection_each() {
    let target = Target::start(|_, _| None).await;
    let pool = ConnectionPool::default();
    for (n, id) in ["a", "b", "c", "d"].into_iter().enumerate() {
        assert_eq!(call(&pool, &target, id).await, Ok(()));
        assert_eq!(target.connections(), n + 1);
    }
}

/// Guards against sending a request to a target again on a kept connection, where a copy of the target's refusal
/// may come.
#[tokio::test]
async fn request_sent_again_uses_new_connection() {
    let target = Target::start(own).await;
    let pool = ConnectionPool::default();
    assert_eq!(call(&pool, &target, "a").await, Ok(()));
    pool.send_on_new(target.addr, request("b"), &"b".parse().unwrap()).await.unwrap();
    assert_eq!(target.connections(), 2);
}

/// Guards against responses of earlier requests, of other ones and of unknown origin.
#[rstest]
#[case::earlier(|id: &str, n: usize| Some(if n < 3 { id } else { "a" }.to_owned()), UnattributedResponse::Earlier)]
#[case::other(|id: &str, n: usize| Some(if n < 3 { id } else { "x" }.to_owned()), UnattributedResponse::Other)]
#[case::no_id(|id: &str, n: usize| Some(if n < 3 { id } else { "" }.to_owned()), UnattributedResponse::Other)]
#[case::unnamed(|id: &str, n: usize| (n < 3).then(|| id.to_owned()), UnattributedResponse::Unnamed)]
#[tokio::test]
async fn other_response_is_discarded(
    #[case] script: Script,
    #[case] expected: UnattributedResponse,
) {
    let target = Target::start(script).await;
    let pool = ConnectionPool::default();
    // Remains in use when the response is discarded.
    let (mut second, response) = send(&pool, &target, "z").await;
    assert_eq!(second.check_response(named(&response).as_ref()), Ok(()));
    for id in ["a", "b"] {
        assert_eq!(call(&pool, &target, id).await, Ok(()));
    }
    assert_eq!(call(&pool, &target, "c").await, Err(expected));
    assert_eq!(target.connections(), 2);
    // The target may be faulty: from here on, each connection carries one request.
    response.into_body().collect().await.unwrap();
    second.release();
    for (n, id) in ["d", "e", "f"].into_iter().enumerate() {
        assert_eq!(call(&pool, &target, id).await, Ok(()));
        assert_eq!(target.connections(), n + 3);
    }
}

/// Reads a request up to the end of its headers; returns what follows them.
async fn read_head(stream: &mut TcpStream) -> (String, Vec<u8>) {
    let mut buf = Vec::new();
    loop {
        assert_ne!(stream.read_buf(&mut buf).await.unwrap(), 0, "no request");
        if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            let body = buf.split_off(end + 4);
            return (String::from_utf8(buf).unwrap(), body);
        }
    }
}

fn response_to(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nok")
}

/// Guards against a request that waits without end on a connection whose target responded to the one
/// before without reading its body, and against other bytes where the rest of that body is due.
#[tokio::test]
async fn early_response_does_not_hold_next_request() {
    const BODY: usize = 4 * 1024 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (read_on, may_read) = oneshot::channel::<()>();
    let target = tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.unwrap();
        let (_, mut body) = read_head(&mut first).await;
        first.write_all(response_to("a").as_bytes()).await.unwrap();
        let (mut second, _) = listener.accept().await.unwrap();
        let (head, _) = read_head(&mut second).await;
        assert!(head.contains("x-id: b"), "{head}");
        second.write_all(response_to("b").as_bytes()).await.unwrap();
        may_read.await.unwrap();
        first.read_to_end(&mut body).await.unwrap();
        body
    });
    let pool = ConnectionPool::default();
    let long = Request::post("/").body(Full::new(Bytes::from(vec![b'y'; BODY]))).unwrap();
    let (mut connection, response) = pool.send(addr, long, &"a".parse().unwrap()).await.unwrap();
    assert_eq!(connection.check_response(named(&response).as_ref()), Ok(()));
    response.into_body().collect().await.unwrap();
    connection.release();
    let id = "b".parse().unwrap();
    let next = pool.send(addr, request("b"), &id);
    // The shortest time that a caller waits.
    let (mut connection, response) =
        timeout(Duration::from_millis(500), next).await.expect("the request waits").unwrap();
    assert_eq!(connection.check_response(named(&response).as_ref()), Ok(()));
    read_on.send(()).unwrap();
    drop(pool);
    let body =
        timeout(Duration::from_secs(5), target).await.expect("the connection stays").unwrap();
    assert!(body.len() <= BODY && body.iter().all(|byte| *byte == b'y'));
}

/// Target that writes the same text to each connection after the head of a request, and closes it.
async fn writing_target(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            read_head(&mut stream).await;
            stream.write_all(response.as_bytes()).await.unwrap();
        }
    });
    addr
}

/// Guards against taking a response whose status is none that a final response may have: in a response to a
/// request, named or not, and in that to a state query or an order.
#[rstest]
#[case::above_range("HTTP/1.1 600 X")]
#[case::highest("HTTP/1.1 999 X")]
#[case::of_http_1_0("HTTP/1.0 600 X")]
#[case::without_reason("HTTP/1.1 600")]
#[case::zeros("HTTP/1.1 000 X")]
#[case::below_range("HTTP/1.1 099 X")]
#[case::two_digits("HTTP/1.1 99 X")]
#[case::two_low_digits("HTTP/1.1 20 X")]
#[case::four_digits("HTTP/1.1 1000 X")]
#[case::four_digits_of_success("HTTP/1.1 2000 X")]
#[case::letters("HTTP/1.1 abc X")]
#[case::interim_as_last("HTTP/1.1 100 X")]
#[case::switch_of_protocol("HTTP/1.1 101 X")]
#[tokio::test]
async fn invalid_status_is_unreadable(
    #[case] line: &str,
    #[values("x-id: a\r\n", "")] named: &str,
) {
    let addr = writing_target(format!("{line}\r\n{named}content-length: 2\r\n\r\nok")).await;
    let pool = ConnectionPool::default();
    let sent = pool.send(addr, request("a"), &"a".parse().unwrap()).await;
    let sent = sent.map(|(_, response)| response.status());
    assert!(matches!(sent, Err(SendError::Unreadable(_) | SendError::Unknown(_))), "{sent:?}");
    let called = pool.exclusive(addr).call(request("a"), 100).await;
    assert!(matches!(called, Err(SendError::Unreadable(_) | SendError::Unknown(_))), "{called:?}");
}

/// Guards against refusing a response with an unusual status that is in the range.
#[rstest]
#[case::lowest_final("HTTP/1.1 200 X", 200)]
#[case::highest("HTTP/1.1 599 X", 599)]
#[case::of_http_1_0("HTTP/1.0 299 X", 299)]
#[case::after_interim("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X", 200)]
#[tokio::test]
async fn unusual_status_is_read(#[case] line: &str, #[case] expected: u16) {
    let addr = writing_target(format!("{line}\r\nx-id: a\r\ncontent-length: 2\r\n\r\nok")).await;
    let pool = ConnectionPool::default();
    let (mut connection, response) =
        pool.send(addr, request("a"), &"a".parse().unwrap()).await.unwrap();
    assert_eq!(response.status().as_u16(), expected);
    assert_eq!(connection.check_response(named(&response).as_ref()), Ok(()));
    let (status, _) = pool.exclusive(addr).call(request("a"), 100).await.unwrap();
    assert_eq!(status.as_u16(), expected);
}
