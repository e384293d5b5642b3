//! Scripted HTTP server and request builders shared by the tests.

#![allow(dead_code, unused_imports, reason = "each test file uses only some of the items")]

mod late_copies;

pub(crate) use late_copies::LateCopies;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use shallotdrum_engine::{ClientTimeouts, CompletionRequest, EngineClient, Priority};
use shallotdrum_types::AdapterRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    task::{JoinHandle, JoinSet},
};

/// Maximum wait for a condition, reached only if a test fails.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Reaction of the server to a request.
#[derive(Clone)]
pub(crate) enum Step {
    /// Sends the bytes and reads the next request from the connection.
    Respond(String),
    /// Sends the bytes and closes the connection.
    RespondAndClose(String),
    /// Sends the bytes and waits until the client closes the connection.
    RespondAndWait(String),
}

/// Server that reacts to its n-th request with the n-th step; the last step repeats.
pub(crate) struct ScriptedServer {
    pub(crate) addr: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl ScriptedServer {
    pub(crate) async fn start(script: Vec<Step>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let log = Arc::new(Mutex::new(Vec::new()));
        let task = tokio::spawn(accept(listener, script, log.clone()));
        Self { addr, log, task }
    }

    /// Request lines in lower case without the HTTP version, and `closed` for each connection that
    /// the client closed during `RespondAndWait`.
    pub(crate) fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, script: Vec<Step>, log: Arc<Mutex<Vec<String>>>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve(stream, script.clone(), log.clone()));
    }
}

async fn serve(mut stream: TcpStream, script: Vec<Step>, log: Arc<Mutex<Vec<String>>>) {
    while let Some(line) = read_request(&mut stream).await {
        let step = {
            let mut log = log.lock().unwrap();
            log.push(line);
            script[(log.len() - 1).min(script.len() - 1)].clone()
        };
        let (Step::Respond(bytes) | Step::RespondAndClose(bytes) | Step::RespondAndWait(bytes)) =
            &step;
        stream.write_all(bytes.as_bytes()).await.unwrap();
        match step {
            Step::Respond(_) => {}
            Step::RespondAndClose(_) => return,
            Step::RespondAndWait(_) => {
                while stream.read(&mut [0; 64]).await.is_ok_and(|len| len > 0) {}
                log.lock().unwrap().push("closed".to_owned());
                return;
            }
        }
    }
}

/// Reads one request; returns its request line in lower case without the HTTP version.
pub(crate) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?.into());
    }
    let head = head.to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    stream.read_exact(&mut body).await.ok()?;
    head.lines().next().map(|line| line.replace(" http/1.1", ""))
}

/// HTTP response with a `content-length`.
pub(crate) fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Address that refuses connections until the socket is dropped: it is bound but doesn't listen.
pub(crate) fn refusing_addr() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = socket.local_addr().unwrap();
    (socket, addr)
}

pub(crate) fn client() -> EngineClient {
    EngineClient::new(ClientTimeouts { connect: WAIT_LIMIT, idle: WAIT_LIMIT })
}

pub(crate) fn adapter(version: &str) -> AdapterRef {
    AdapterRef { adapter: "a".parse().unwrap(), version: version.parse().unwrap() }
}

/// Request `r` for 100 tokens of adapter `a@1`.
pub(crate) fn request() -> CompletionRequest {
    CompletionRequest {
        request: "r".parse().unwrap(),
        base_model: "base".parse().unwrap(),
        adapter: adapter("1"),
        prompt: "prompt".to_owned(),
        max_tokens: 100,
        temperature: 0.0,
        stop: Vec::new(),
        seed: None,
        priority: Priority::default(),
        deadline_ms: 60_000,
        resume: None,
    }
}

/// Waits until the condition holds.
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    if tokio::time::timeout(WAIT_LIMIT, poll).await.is_err() {
        panic!("timed out after {WAIT_LIMIT:?} waiting until {what}");
    }
}
