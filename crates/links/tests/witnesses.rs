//! Evidence that the process of a target runs on, while this process does not run.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Empty;
use rstest::rstest;
use shallotdrum_links::{Links, QuestionFn};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    time::sleep,
};

/// Time that the target takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// Time that a request leaves for a witness.
const LIMIT: Duration = Duration::from_secs(5);

/// Target on threads of its own, until it is dropped.
struct Target {
    runtime: Option<Runtime>,
    addr: SocketAddr,
}

impl Drop for Target {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Target {
    /// Starts a target whose answers have a body of this size.
    fn start(answer_bytes: usize) -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap();
        runtime.spawn(async move {
            let listener = TcpListener::from_std(listener).unwrap();
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_all(stream, answer_bytes));
            }
        });
        Self { runtime: Some(runtime), addr }
    }
}

/// Answers each question on a connection.
async fn answer_all(mut stream: TcpStream, bytes: usize) {
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n{}", "x".repeat(bytes));
    let mut head = Vec::new();
    while let Ok(1..) = stream.read_buf(&mut head).await {
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        sleep(ANSWER_TIME).await;
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn question() -> QuestionFn {
    Arc::new(|| {
        let request = Request::builder().method(Method::OPTIONS).uri("/").header("host", "target");
        request.body(Empty::<Bytes>::new()).unwrap()
    })
}

/// Lets nothing else run on this thread for some time, as in a process that is stopped.
fn stand_still(from: Duration, time: Duration) {
    tokio::spawn(async move {
        sleep(from).await;
        std::thread::sleep(time);
    });
}

/// Guards against whole responses that are taken for broken because this process did not run while the
/// target answered.
#[rstest]
#[case::without_body(0)]
#[case::with_body(64 * 1024)]
#[tokio::test]
async fn ask_process_stands_still(#[case] answer_bytes: usize) {
    let target = Target::start(answer_bytes);
    let links = Links::new(BTreeMap::new());
    let witness = links.witness(target.addr, LIMIT, question).await.expect("the target answers");
    stand_still(ANSWER_TIME / 2, Duration::from_millis(2_500));
    assert_eq!(witness.ask().await, Ok(()));
}

/// Guards against requests without a witness because this process did not run while it was opened.
#[tokio::test]
async fn witness_process_stands_still() {
    let target = Target::start(0);
    let links = Links::new(BTreeMap::new());
    stand_still(ANSWER_TIME / 2, Duration::from_millis(1_500));
    assert!(links.witness(target.addr, LIMIT, question).await.is_some());
}
