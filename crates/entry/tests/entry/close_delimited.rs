//! Callers that speak HTTP/1.0: only the close of their connection tells the end of a response without a
//! length.

use http::StatusCode;
use rstest::rstest;
use serde_json::json;
use shallotdrum_owner::Frame;
use shallotdrum_types::{RequestError, RequestErrorKind};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::common::{Fixture, KEY, Step, TEST_TIMEOUT, chunk, completion_body, end};

/// Response to a caller that speaks HTTP/1.0.
struct Received {
    text: String,
    /// Whether the connection was closed regularly.
    is_closed: bool,
}

async fn send(fixture: &Fixture, path: &str, body: &[u8]) -> Received {
    let mut stream = TcpStream::connect(fixture.entry.local_addr()).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.0\r\nauthorization: Bearer {KEY}\r\nidempotency-key: k-1\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    let mut bytes = Vec::new();
    let ended = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await.unwrap();
    let text = String::from_utf8(bytes).unwrap();
    assert!(text.starts_with(&format!("HTTP/1.0 {}", StatusCode::OK.as_u16())), "{text}");
    Received { text, is_closed: ended.is_ok() }
}

fn failure() -> Step {
    Step::Frame(Frame::Error(RequestError::unknown(RequestErrorKind::TargetFailed, "broke off")))
}

/// Guards against a stream that looks complete although it broke off, and against a reset of one that is
/// complete.
#[rstest]
#[case::complete(vec![chunk(0, "one "), chunk(1, "two"), end(2)], true)]
#[case::broken_off(vec![chunk(0, "one "), failure()], false)]
#[tokio::test]
async fn stream_over_http_1_0(#[case] steps: Vec<Step>, #[case] is_complete: bool) {
    let fixture = Fixture::start().await;
    fixture.owner.script(steps);
    let body = completion_body(&json!({"stream": true}));
    let received = send(&fixture, "/v1/completions", &body).await;
    assert_eq!(received.text.contains("[DONE]"), is_complete, "{}", received.text);
    assert_eq!(received.is_closed, is_complete, "{}", received.text);
}

/// Guards against a service's response that looks complete although it broke off.
#[rstest]
#[case::complete(vec![Step::Respond(200, "whole")], true)]
#[case::broken_off(vec![Step::Respond(200, "half"), Step::Disconnect], false)]
#[tokio::test]
async fn call_over_http_1_0(#[case] steps: Vec<Step>, #[case] is_complete: bool) {
    let fixture = Fixture::start().await;
    fixture.owner.script(steps);
    let received = send(&fixture, "/services/desk/certificates", b"a,b").await;
    assert_eq!(received.is_closed, is_complete, "{}", received.text);
}

/// Guards against a stream that looks complete because its entry is stopped at once.
#[tokio::test]
async fn entry_gone_during_stream_over_http_1_0() {
    let fixture = Fixture::start().await;
    fixture.owner.script(vec![chunk(0, "one "), Step::Hang]);
    let Fixture { entry, owner: _owner, .. } = fixture;
    let mut stream = TcpStream::connect(entry.local_addr()).await.unwrap();
    let body = completion_body(&json!({"stream": true}));
    let head = format!(
        "POST /v1/completions HTTP/1.0\r\nauthorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&body).await.unwrap();
    let mut text = String::new();
    while !text.contains("one ") {
        let mut buf = [0; 1024];
        let len = stream.read(&mut buf).await.unwrap();
        text += std::str::from_utf8(&buf[..len]).unwrap();
    }
    drop(entry);
    let ended = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut Vec::new())).await;
    assert!(ended.unwrap().is_err(), "the connection was closed regularly");
}

/// Guards against a stream that looks complete to a caller that announces the end of its connection, or has
/// sent its next request already.
#[rstest]
#[case::complete(vec![chunk(0, "one "), end(1)], true)]
#[case::broken_off(vec![chunk(0, "one "), failure()], false)]
#[tokio::test]
async fn stream_over_http_1_1(
    #[case] steps: Vec<Step>,
    #[case] is_complete: bool,
    #[values("close", "keep-alive")] connection: &str,
) {
    let fixture = Fixture::start().await;
    fixture.owner.script(steps);
    let mut stream = TcpStream::connect(fixture.entry.local_addr()).await.unwrap();
    let body = completion_body(&json!({"stream": true}));
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         connection: {connection}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let next = "GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    stream.write_all(&[head.as_bytes(), &body, next.as_bytes()].concat()).await.unwrap();
    let mut bytes = Vec::new();
    // The connection may be reset, since the next request is not read.
    let _ = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await.unwrap();
    let text = String::from_utf8(bytes).unwrap();
    assert_eq!(text.contains("\r\n0\r\n\r\n"), is_complete, "{text}");
    let is_next_answered = is_complete && connection == "keep-alive";
    assert_eq!(
        text.matches("HTTP/1.1 200 OK").count(),
        1 + usize::from(is_next_answered),
        "{text}"
    );
}
