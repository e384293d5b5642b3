//! HTTP server that writes its responses once more, where a later response is expected.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

use super::read_request;

/// Server that sends the n-th response to its n-th request; the last response repeats.
///
/// Before a response it writes a copy of the one that it sent `lag` requests ago on the connection.
pub(crate) struct LateCopies {
    pub(crate) addr: SocketAddr,
    task: JoinHandle<()>,
}

struct Script {
    /// Each response with the copy of it.
    responses: Vec<(String, String)>,
    lag: usize,
    /// Time from a copy to the response after it.
    pause: Duration,
    requests: Mutex<usize>,
}

impl LateCopies {
    /// Starts a server whose copies equal the responses.
    pub(crate) async fn start(lag: usize, responses: Vec<String>) -> Self {
        let responses = responses.into_iter().map(|res| (res.clone(), res)).collect();
        Self::run(lag, Duration::ZERO, responses).await
    }

    /// Starts a server from pairs of a response and its copy.
    pub(crate) async fn with_copies(lag: usize, responses: Vec<(String, String)>) -> Self {
        Self::run(lag, Duration::ZERO, responses).await
    }

    /// Starts a server that sends a response some time after the copy before it.
    pub(crate) async fn with_pause(pause: Duration, responses: Vec<String>) -> Self {
        let responses = responses.into_iter().map(|res| (res.clone(), res)).collect();
        Self::run(1, pause, responses).await
    }

    async fn run(lag: usize, pause: Duration, responses: Vec<(String, String)>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let script = Arc::new(Script { responses, lag, pause, requests: Mutex::default() });
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream, script.clone()));
            }
        });
        Self { addr, task }
    }
}

impl Drop for LateCopies {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut stream: TcpStream, script: Arc<Script>) {
    let mut copies: Vec<String> = Vec::new();
    while read_request(&mut stream).await.is_some() {
        let number = {
            let mut requests = script.requests.lock().unwrap();
            *requests += 1;
            *requests - 1
        };
        let (response, copy) = script.responses[number.min(script.responses.len() - 1)].clone();
        let late = copies.len().checked_sub(script.lag).map(|at| copies[at].clone());
        let late = late.unwrap_or_default();
        let parts = match script.pause.is_zero() || late.is_empty() {
            true => vec![late + &response],
            false => vec![late, response],
        };
        for (number, part) in parts.into_iter().enumerate() {
            if number > 0 {
                tokio::time::sleep(script.pause).await;
            }
            // The client may have closed the connection.
            if stream.write_all(part.as_bytes()).await.is_err() {
                return;
            }
        }
        copies.push(copy);
    }
}
