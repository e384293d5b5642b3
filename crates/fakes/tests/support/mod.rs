//! Helpers shared by the tests: configurations, requests, waiting and a fake entry.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde_json::Value;
use shallotdrum_engine::{
    CallError, CompletionRequest, EngineClient, EngineEvent, Order, OrderError, OrderRequest,
    Priority, Resume, StreamError, full_body,
};
use shallotdrum_fakes::{FakeEngineConfig, Identity};
use shallotdrum_types::{AdapterRef, Epoch};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Maximum wait for a condition; generous, since only failing tests wait that long.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn adapter(name: &str) -> AdapterRef {
    AdapterRef { adapter: name.parse().unwrap(), version: "1".parse().unwrap() }
}

pub(crate) fn identity(target: &str) -> Identity {
    Identity::new(
        target.parse().unwrap(),
        "pool".parse().unwrap(),
        "region".parse().unwrap(),
        "zone".parse().unwrap(),
    )
}

/// Configuration of a fast engine with steps of 1 ms.
pub(crate) fn engine_cfg(target: &str) -> FakeEngineConfig {
    let mut cfg = FakeEngineConfig::new(identity(target), "base".parse().unwrap());
    cfg.settings.step_base_ms = 1.0;
    cfg.settings.step_per_sequence_ms = 0.0;
    cfg.settings.prefill_ms_per_token = 0.0;
    cfg.settings.restart_delay_ms = 10;
    cfg
}

pub(crate) fn request(
    id: &str,
    adapter: &AdapterRef,
    prompt: &str,
    max_tokens: u32,
) -> CompletionRequest {
    CompletionRequest {
        request: id.parse().unwrap(),
        base_model: "base".parse().unwrap(),
        adapter: adapter.clone(),
        prompt: prompt.to_owned(),
        max_tokens,
        temperature: 0.0,
        stop: Vec::new(),
        seed: None,
        priority: Priority::default(),
        deadline_ms: 60_000,
        resume: None,
    }
}

pub(crate) fn load(adapter: &AdapterRef, evict: Option<&AdapterRef>) -> Order {
    Order::Load { adapter: adapter.clone(), source: "weights".to_owned(), evict: evict.cloned() }
}

pub(crate) async fn order(addr: SocketAddr, epoch: u64, order: Order) -> Result<(), OrderError> {
    let order = OrderRequest { epoch: Epoch(epoch), order };
    EngineClient::default().order(addr, &order, TIMEOUT).await
}

/// Runs a request; returns its text, or the partial text and the error.
pub(crate) async fn run(
    client: &EngineClient,
    addr: SocketAddr,
    req: &CompletionRequest,
) -> Result<String, (String, StreamError)> {
    let mut stream = client.generate(addr, req).await.unwrap();
    let mut text = String::new();
    loop {
        match stream.next().await.unwrap() {
            Ok(EngineEvent::Chunk(chunk)) => text.push_str(&chunk.text),
            Ok(EngineEvent::End(_)) => return Ok(text),
            Err(e) => return Err((text, e)),
        }
    }
}

/// Runs a request to completion, resuming after each interruption.
pub(crate) async fn run_resuming(
    client: &EngineClient,
    addr: SocketAddr,
    req: &CompletionRequest,
) -> String {
    let mut req = req.clone();
    let mut text = String::new();
    loop {
        let mut stream = client.generate(addr, &req).await.unwrap();
        while let Some(event) = stream.next().await {
            match event {
                Ok(EngineEvent::Chunk(chunk)) => text.push_str(&chunk.text),
                Ok(EngineEvent::End(_)) => return text,
                Err(_) => {}
            }
        }
        req.resume = Some(Resume { offset: stream.delivered_tokens(), text: text.clone() });
    }
}

/// Polls a condition until it holds; panics after `TIMEOUT`.
pub(crate) async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    if tokio::time::timeout(TIMEOUT, poll).await.is_err() {
        panic!("timed out after {TIMEOUT:?} waiting until {what}");
    }
}

/// Fake entry that accepts and records all messages.
pub(crate) struct EntryRecorder {
    pub(crate) addr: SocketAddr,
    messages: Arc<Mutex<Vec<(String, Value)>>>,
    task: JoinHandle<()>,
}

impl EntryRecorder {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let messages = Arc::new(Mutex::new(Vec::new()));
        let task = tokio::spawn({
            let messages = messages.clone();
            async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(record_messages(stream, messages.clone()));
                }
            }
        });
        Self { addr, messages, task }
    }

    /// Messages posted to a path, in order of arrival.
    pub(crate) fn messages<T: DeserializeOwned>(&self, path: &str) -> Vec<T> {
        let messages = self.messages.lock().unwrap();
        let of_path = messages.iter().filter(|(posted_to, _)| posted_to == path);
        of_path.map(|(_, body)| serde_json::from_value(body.clone()).unwrap()).collect()
    }
}

impl Drop for EntryRecorder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn record_messages(stream: TcpStream, messages: Arc<Mutex<Vec<(String, Value)>>>) {
    let service = service_fn(move |req: Request<Incoming>| {
        let messages = messages.clone();
        async move {
            let path = req.uri().path().to_owned();
            let body = req.into_body().collect().await?.to_bytes();
            messages.lock().unwrap().push((path, serde_json::from_slice(&body).unwrap()));
            let reply = r#"{"renew_after_ms":20}"#;
            Ok::<_, hyper::Error>(Response::new(Full::new(Bytes::from(reply))))
        }
    });
    // The connection is closed when the target stops.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Sends a request; returns status and body.
pub(crate) async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<(StatusCode, String), CallError> {
    let mut req = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(full_body(body.to_owned())).unwrap();
    let res = EngineClient::default().call(addr, req).await?;
    let status = res.status();
    let body = res.into_body().collect().await.unwrap().to_bytes();
    Ok((status, String::from_utf8(body.to_vec()).unwrap()))
}
