//! Fixture: an entry with a scripted owner and an in-memory catalog.

mod catalog;
mod owner;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::{Value, json};
use shallotdrum_entry::{
    AnnounceReply, EntryConfig, EntryContext, EntryHandle, EntryServer, Freshness,
};
use shallotdrum_owner::Forwarder;
use shallotdrum_settings::{Limits, WhenStale};
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{RequestError, RequestErrorKind};
use tokio::net::TcpListener;

pub(crate) use catalog::FakeCatalog;
pub(crate) use owner::{FakeOwner, Step, chunk, chunk_of, end};

/// API key of subscriber `clinic`.
pub(crate) const KEY: &str = "clinic-key";
/// Timeout of every wait; far above what a loaded machine needs.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Running entry with the owner of all groups and an HTTP client.
pub(crate) struct Fixture {
    pub(crate) entry: EntryHandle,
    pub(crate) catalog: Arc<FakeCatalog>,
    pub(crate) owner: FakeOwner,
    pub(crate) metrics: Metrics,
    pub(crate) freshness: Arc<std::sync::Mutex<Freshness>>,
    client: Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>,
}

/// Response with its whole body, or as much of it as arrived.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }

    /// Returns the code and outcome of a problem document; checks that all its members are present.
    pub(crate) fn problem(&self) -> (String, String) {
        let json = self.json();
        assert_eq!(self.header("content-type"), "application/problem+json");
        assert_eq!(json["status"], self.status);
        assert_eq!(json["request_id"], self.header("x-shallotdrum-request-id"));
        assert_eq!(json["outcome"], self.header("x-shallotdrum-outcome"));
        assert!(json["title"].is_string() && json["detail"].is_string());
        let code = json["type"].as_str().unwrap().strip_prefix("urn:shallotdrum:problem:");
        (code.unwrap().to_owned(), json["outcome"].as_str().unwrap().to_owned())
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }
}

impl Fixture {
    pub(crate) async fn start() -> Self {
        Self::with(|_| {}).await
    }

    pub(crate) async fn with(change: impl FnOnce(&mut EntryConfig)) -> Self {
        let owner = FakeOwner::start().await;
        let catalog = Arc::new(FakeCatalog::new(owner.addr()));
        let metrics = Metrics::new().unwrap();
        let freshness = Arc::new(std::sync::Mutex::new(Freshness::Ready));
        let mut cfg = EntryConfig {
            region: "north".parse().unwrap(),
            limits: Limits::default(),
            when_stale: WhenStale::Refuse,
            drain_delay: Duration::ZERO,
            stop_timeout: TEST_TIMEOUT,
            repeated_loss_pause: Duration::ZERO,
            forward_headers: vec!["content-type".to_owned()],
        };
        change(&mut cfg);
        let cx = EntryContext {
            catalog: catalog.clone(),
            forwarder: Forwarder::new(),
            freshness: {
                let freshness = freshness.clone();
                Arc::new(move || *freshness.lock().unwrap())
            },
            announce: Arc::new(|announcement| {
                Box::pin(async move {
                    if announcement.pool.as_str() == "engines" {
                        return Ok(AnnounceReply { renew_after_ms: 1000 });
                    }
                    let detail = "unknown pool";
                    Err(RequestError::not_run(RequestErrorKind::NotFound, detail))
                })
            }),
            leave: Arc::new(|_| Box::pin(async { Ok(()) })),
            cache_events: Arc::new(|_| Box::pin(async { Ok(()) })),
            metrics: metrics.clone(),
            log: shallotdrum_telemetry::discard(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let entry = EntryServer::start(listener, cfg, cx).unwrap();
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { entry, catalog, owner, metrics, freshness, client }
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry.local_addr())
    }

    /// Sends a request; `authorization` in `headers` replaces the valid API key.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Response<Incoming> {
        let mut req = Request::builder().method(method).uri(self.url(path));
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            req = req.header("authorization", format!("Bearer {KEY}"));
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into())).unwrap();
        tokio::time::timeout(TEST_TIMEOUT, self.client.request(req)).await.unwrap().unwrap()
    }

    pub(crate) async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Reply {
        let res = self.send(method, path, headers, body).await;
        let (parts, body) = res.into_parts();
        let body = tokio::time::timeout(TEST_TIMEOUT, body.collect()).await.unwrap().unwrap();
        let (status, headers) = (parts.status.as_u16(), parts.headers);
        Reply { status, headers, body: body.to_bytes().to_vec() }
    }

    /// Sends a completion request with fields added or replaced.
    pub(crate) async fn complete(&self, extra: Value) -> Reply {
        self.call("POST", "/v1/completions", &[], completion_body(&extra)).await
    }

    /// Sends a streaming request; also returns whether the body ended without error.
    pub(crate) async fn stream(&self, extra: Value) -> (Reply, bool) {
        let mut extra = extra;
        extra["stream"] = json!(true);
        let res = self.send("POST", "/v1/completions", &[], completion_body(&extra)).await;
        let (parts, mut incoming) = res.into_parts();
        let mut text = Vec::new();
        let is_clean = loop {
            match tokio::time::timeout(TEST_TIMEOUT, incoming.frame()).await.unwrap() {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => text.extend_from_slice(&frame.into_data().unwrap_or_default()),
            }
        };
        let (status, headers) = (parts.status.as_u16(), parts.headers);
        (Reply { status, headers, body: text }, is_clean)
    }
}

/// Valid completion request with fields added or replaced.
pub(crate) fn completion_body(extra: &Value) -> Vec<u8> {
    let mut body = json!({"model": "base/ada", "prompt": "Hello", "max_tokens": 8});
    body.as_object_mut().unwrap().extend(extra.as_object().unwrap().clone());
    body.to_string().into_bytes()
}

/// Polls until the condition holds; panics with `what` after [`TEST_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting for {what}"));
}
