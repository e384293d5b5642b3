//! HTTP server that writes its responses once more, where a later response is expected.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
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
    requests: Mutex<usize>,
}

impl LateCopies {
    /// Starts a server whose copies equal the responses.
    pub(crate) async fn start(lag: usize, responses: Vec<String>) -> Self {
        let responses = responses.into_iter().map(|res| (res.clone(), res)).collect();
        Self::with_copies(lag, responses).await
    }

    /// Starts a server from pairs of a response and its copy.
    pub(crate) async fn with_copies(lag: usize, responses: Vec<(String, String)>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let script = Arc::new(Script { responses, lag, requests: Mutex::default() });
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
        let bytes = late.unwrap_or_default() + &response;
        // The client may have closed the connection.
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        copies.push(copy);
    }
}
