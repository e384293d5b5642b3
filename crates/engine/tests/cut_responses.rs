//! Responses that stop after any of their bytes, most of all within their heads.

mod support;

use std::{net::SocketAddr, time::Duration};

use http::Request;
use http_body_util::BodyExt;
use rstest::rstest;
use shallotdrum_engine::{
    CallError, ClientTimeouts, EngineClient, EngineEvent, NOT_RUN_HEADER, Order, OrderError,
    OrderRequest, REQUEST_ID_HEADER, full_body,
};
use shallotdrum_types::Epoch;
use support::{WAIT_LIMIT, client, read_request, request};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::Instant,
};

/// How the connection ends after the last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Server that sends the first bytes of a response to each request, and counts the requests.
struct CutServer {
    addr: SocketAddr,
    prefixes: mpsc::UnboundedSender<String>,
    requests: mpsc::UnboundedReceiver<()>,
}

impl CutServer {
    async fn start(end: End) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (prefixes, mut next) = mpsc::unbounded_channel::<String>();
        let (requested, requests) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                if read_request(&mut stream).await.is_none() {
                    continue;
                }
                let _ = requested.send(());
                let Some(prefix) = next.recv().await else { return };
                send(stream, &prefix, end).await;
            }
        });
        Self { addr, prefixes, requests }
    }

    /// Sets the bytes of the next response.
    fn respond(&self, prefix: &str) {
        self.prefixes.send(prefix.to_owned()).unwrap();
    }

    /// Number of requests since the last call.
    fn take_requests(&mut self) -> usize {
        std::iter::from_fn(|| self.requests.try_recv().ok()).count()
    }
}

async fn send(mut stream: TcpStream, prefix: &str, end: End) {
    stream.write_all(prefix.as_bytes()).await.unwrap();
    if end == End::Reset {
        stream.set_zero_linger().unwrap();
    }
}

/// Response whose body has a length, or is in two chunks.
fn whole(status: &str, headers: &str, body: &str, is_chunked: bool) -> String {
    let (first, second) = body.split_at(body.len() / 2);
    let (framing, body) = match is_chunked {
        true => {
            let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
            let chunks = [chunk(first), chunk(second), "0\r\n\r\n".to_owned()].concat();
            ("transfer-encoding: chunked".to_owned(), chunks)
        }
        false => (format!("content-length: {}", body.len()), body.to_owned()),
    };
    format!("HTTP/1.1 {status}\r\n{headers}{framing}\r\n\r\n{body}")
}

/// Length of a response's head.
fn head_len(response: &str) -> usize {
    response.find("\r\n\r\n").unwrap() + 4
}

/// Guards against a call that is taken as answered, or as refused, though its response stopped, and
/// against a second send of it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_stops_after_any_byte(
    #[values(End::Close, End::Reset)] end: End,
    #[values(false, true)] is_chunked: bool,
    #[values(false, true)] is_refusal: bool,
) {
    const BODY: &str = "{\"number\":1234567890}";
    let (status, mark) = match is_refusal {
        true => ("503 Service Unavailable", format!("{NOT_RUN_HEADER}: 1\r\n")),
        false => ("200 OK", String::new()),
    };
    let headers = format!("{REQUEST_ID_HEADER}: r\r\n{mark}");
    let response = whole(status, &headers, BODY, is_chunked);
    let mut server = CutServer::start(end).await;
    for len in 0..response.len() {
        server.respond(&response[..len]);
        let req = Request::post("/pay").header(REQUEST_ID_HEADER, "r").body(full_body("")).unwrap();
        match client().call_unpooled(server.addr, req).await {
            Ok(res) => {
                assert!(!is_refusal, "answered after {len} bytes of a refusal");
                if let Ok(body) = res.into_body().collect().await {
                    assert_eq!(body.to_bytes(), BODY, "complete after {len} bytes");
                }
            }
            Err(CallError::Lost { .. }) => {}
            // The head says it.
            Err(CallError::Refused { .. }) if is_refusal && len >= head_len(&response) => {}
            Err(e) => panic!("after {len} bytes: {e}"),
        }
        assert_eq!(server.take_requests(), 1, "after {len} bytes");
    }
}

/// Guards against a completion that is taken as complete, or as refused, though its response stopped, and
/// against a second send of it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generate_stops_after_any_byte(
    #[values(End::Close, End::Reset)] end: End,
    #[values(false, true)] is_chunked: bool,
    #[values("200 OK", "204 No Content", "206 Partial Content", "503 Service Unavailable")]
    status: &str,
) {
    let chunk = |offset: u64| {
        format!(
            "data: {{\"type\":\"chunk\",\"request\":\"r\",\"adapter\":{{\"adapter\":\"a\",\
             \"version\":\"1\"}},\"offset\":{offset},\"tokens\":1,\"text\":\"t{offset}\"}}\n\n"
        )
    };
    let last = "data: {\"type\":\"end\",\"request\":\"r\",\"adapter\":{\"adapter\":\"a\",\
        \"version\":\"1\"},\"finish_reason\":\"stop\",\"usage\":{\"prompt_tokens\":1,\
        \"completion_tokens\":2}}\n\n";
    let body = [&chunk(0), &chunk(1), last].concat();
    let response = whole(status, "content-type: text/event-stream\r\n", &body, is_chunked);
    let mut server = CutServer::start(end).await;
    for len in 0..response.len() {
        server.respond(&response[..len]);
        match client().generate(server.addr, &request()).await {
            Ok(mut stream) => {
                assert_eq!(status, "200 OK", "taken as a stream after {len} bytes");
                let mut text = String::new();
                while let Some(event) = stream.next().await {
                    match event {
                        Ok(EngineEvent::Chunk(chunk)) => text += &chunk.text,
                        Ok(EngineEvent::End(_)) => assert_eq!(text, "t0t1", "after {len} bytes"),
                        Err(_) => assert!("t0t1".starts_with(&text), "{text} after {len} bytes"),
                    }
                }
            }
            Err(CallError::Lost { .. }) => {}
            // The head says it.
            Err(CallError::Refused { .. })
                if status.starts_with("503") && len >= head_len(&response) => {}
            Err(e) => panic!("after {len} bytes: {e}"),
        }
        assert_eq!(server.take_requests(), 1, "after {len} bytes");
    }
}

/// Guards against an order that is taken as carried out, or as refused, though its response stopped.
#[rstest]
#[case::carried_out("200 OK", "{}")]
#[case::refused("409 Conflict", r#"{"type":"no-free-slot"}"#)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_stops_after_any_byte(
    #[case] status: &str,
    #[case] body: &str,
    #[values(End::Close, End::Reset)] end: End,
) {
    let response = whole(status, "", body, false);
    let mut server = CutServer::start(end).await;
    let order = OrderRequest { epoch: Epoch(1), order: Order::Fence };
    for len in 0..response.len() {
        server.respond(&response[..len]);
        match client().order(server.addr, &order, WAIT_LIMIT).await {
            Err(OrderError::Unknown { .. }) => {}
            // The head says it.
            Ok(()) if status == "200 OK" && len >= head_len(&response) => {}
            other => panic!("{other:?} after {len} bytes"),
        }
        assert_eq!(server.take_requests(), 1, "after {len} bytes");
    }
}

/// Guards against a head that comes a byte at a time and holds a request beyond its time limit.
#[tokio::test]
async fn generate_head_trickles() {
    const LIMIT: Duration = Duration::from_millis(300);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await.unwrap();
        for byte in whole("200 OK", "", &"x".repeat(1000), false).bytes() {
            if stream.write_all(&[byte]).await.is_err() {
                return;
            }
            tokio::time::sleep(LIMIT / 30).await;
        }
    });
    let client = EngineClient::new(ClientTimeouts { connect: WAIT_LIMIT, idle: LIMIT });
    let started = Instant::now();
    let result = client.generate(addr, &request()).await.err();
    assert!(matches!(result, Some(CallError::Lost { .. })), "{result:?}");
    assert!(started.elapsed() < 2 * LIMIT, "{:?}", started.elapsed());
}
