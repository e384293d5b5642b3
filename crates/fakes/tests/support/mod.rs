//! Names, requests and waiting that the tests share.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{net::SocketAddr, time::Duration};

use shallotdrum_engine::{
    CompletionRequest, EngineClient, EngineEvent, Order, OrderError, OrderRequest, Priority,
    Resume, StreamError,
};
use shallotdrum_fakes::{FakeEngineConfig, Identity};
use shallotdrum_types::{AdapterRef, Epoch};

/// Longest wait for a condition; only a failing test waits that long.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

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

/// A fast engine, whose steps take 1 ms.
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
    EngineClient::default().order(addr, &order, PATIENCE).await
}

/// Runs a request; returns the text, or the text so far and the error.
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

/// Runs a request to its end, resuming at the offset reached after each interruption.
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

/// Waits until the condition holds.
pub(crate) async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    if tokio::time::timeout(PATIENCE, poll).await.is_err() {
        panic!("waited {PATIENCE:?} in vain until {what}");
    }
}
