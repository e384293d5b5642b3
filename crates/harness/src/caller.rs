//! Client of the public HTTP interface, built on plain `hyper`.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{Deployment, WaitError, wait_until};

/// HTTP client with an API key; clones share a connection pool.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    api_key: String,
}

/// Complete response to a completion request.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Generated text.
    pub text: String,
    /// Model name in the response, with the adapter version.
    pub model: String,
    /// Time from sending the request to the first token; equals `total` if not streamed.
    pub first_token: Duration,
    /// Times between consecutive chunks; empty if not streamed.
    pub gaps: Vec<Duration>,
    /// Time from sending the request to the end of the response.
    pub total: Duration,
}

/// Response of a service.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: http::HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

/// Problem document, the format of error responses.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Problem {
    /// Type URI; the part after the last colon is the error code.
    #[serde(rename = "type")]
    pub kind: String,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request was executed: `answered`, `not-run` or `unknown`.
    pub outcome: String,
    /// Human-readable explanation; empty if absent.
    #[serde(default)]
    pub detail: String,
    /// Request identifier that targets record; empty if absent.
    #[serde(default)]
    pub request_id: String,
    /// Value of the `Retry-After` header, in seconds, if the response had one.
    #[serde(skip)]
    pub retry_after: Option<u64>,
}

/// Error of a request that got a problem document or no complete response.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CallerError {
    /// The instance sent a problem document, as the response or within the stream.
    #[error("{} ({}): {}", .0.kind, .0.outcome, .0.detail)]
    Problem(Problem),
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection was lost, or the response was incomplete or malformed.
    #[error("incomplete or malformed response: {0}")]
    Broken(String),
}

impl CallerError {
    /// Error code of the problem document, if there is one.
    pub fn code(&self) -> Option<&str> {
        match self {
            Self::Problem(problem) => problem.kind.rsplit(':').next(),
            Self::Connect(_) | Self::Broken(_) => None,
        }
    }

    /// Whether the request is known not to have been executed.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Problem(problem) => problem.outcome == "not-run",
            Self::Connect(_) => true,
            Self::Broken(_) => false,
        }
    }
}

impl Caller {
    /// Creates a client with the given API key.
    pub fn new(api_key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, api_key: api_key.to_owned() }
    }

    /// Returns a client with another API key that shares the connections.
    #[must_use]
    pub fn with_key(&self, api_key: &str) -> Self {
        Self { client: self.client.clone(), api_key: api_key.to_owned() }
    }

    /// Requests a completion, optionally streamed, and reads the complete response.
    pub async fn complete(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        stream: bool,
    ) -> Result<Completion, CallerError> {
        let body = json!({
            "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
        });
        let start = Instant::now();
        let res = self.post(entry, "/v1/completions", &body).await?;
        match stream {
            true => read_stream(res, start).await,
            false => read_completion(res, start).await,
        }
    }

    /// Posts a JSON body and returns the response if its status is a success.
    pub async fn post(
        &self,
        entry: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Response<Incoming>, CallerError> {
        let req = self
            .request(entry, Method::POST, path)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body.to_string()))
            .map_err(|e| CallerError::Connect(e.to_string()))?;
        let res = self.send(req).await?;
        if res.status().is_success() {
            return Ok(res);
        }
        Err(read_problem(res).await)
    }

    /// Calls a service, optionally with an idempotency key.
    pub async fn call(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        idempotency_key: Option<&str>,
        body: &str,
    ) -> Result<ServiceResponse, CallerError> {
        let mut req = self.request(entry, method, &format!("/services{path}"));
        if let Some(key) = idempotency_key {
            req = req.header("idempotency-key", key);
        }
        let req = req
            .body(Full::from(body.to_owned()))
            .map_err(|e| CallerError::Connect(e.to_string()))?;
        let res = self.send(req).await?;
        let is_problem = res
            .headers()
            .get(header::CONTENT_TYPE)
            .is_some_and(|value| value == "application/problem+json");
        if is_problem {
            return Err(read_problem(res).await);
        }
        let (parts, body) = res.into_parts();
        let body = body.collect().await.map_err(|e| CallerError::Broken(e.to_string()))?;
        Ok(ServiceResponse {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    /// Sends a request with an absolute URI.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallerError> {
        self.client.request(req).await.map_err(|e| match e.is_connect() {
            true => CallerError::Connect(e.to_string()),
            false => CallerError::Broken(format!("{e}: {:?}", std::error::Error::source(&e))),
        })
    }

    /// Starts building a request with the API key.
    pub fn request(&self, entry: SocketAddr, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.api_key))
    }
}

/// Waits until each entry serves a service lookup and a completion.
pub async fn wait_until_served(
    deployment: &Deployment,
    entries: &[SocketAddr],
    limit: Duration,
) -> Result<(), WaitError> {
    let caller = Caller::new(&deployment.key(0));
    for entry in entries {
        let path = format!("/{}/status/1", deployment.service);
        let lookup = || async {
            let res = caller.call(*entry, Method::GET, &path, None, "").await;
            res.map(drop).map_err(|e| e.to_string())
        };
        wait_until("a lookup succeeds", limit, lookup).await?;
        let model = deployment.model(0, 2);
        let complete = || async {
            let res = caller.complete(*entry, &model, "ready?", 1, false).await;
            res.map(drop).map_err(|e| e.to_string())
        };
        wait_until("a completion succeeds", limit, complete).await?;
    }
    Ok(())
}

async fn read_problem(res: Response<Incoming>) -> CallerError {
    let retry_after =
        res.headers().get(header::RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    let status = res.status();
    let body = match res.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => return CallerError::Broken(e.to_string()),
    };
    match serde_json::from_slice::<Problem>(&body) {
        Ok(problem) => CallerError::Problem(Problem { retry_after, ..problem }),
        Err(_) => CallerError::Broken(format!(
            "status {status} without a problem document: {}",
            String::from_utf8_lossy(&body)
        )),
    }
}

async fn read_completion(
    res: Response<Incoming>,
    start: Instant,
) -> Result<Completion, CallerError> {
    let broken = |e: &dyn std::fmt::Display| CallerError::Broken(e.to_string());
    let body = res.into_body().collect().await.map_err(|e| broken(&e))?.to_bytes();
    let total = start.elapsed();
    let value: Value = serde_json::from_slice(&body).map_err(|e| broken(&e))?;
    let text = value["choices"][0]["text"].as_str().ok_or_else(|| broken(&"no text"))?;
    Ok(Completion {
        text: text.to_owned(),
        model: value["model"].as_str().unwrap_or_default().to_owned(),
        first_token: total,
        gaps: Vec::new(),
        total,
    })
}

async fn read_stream(res: Response<Incoming>, start: Instant) -> Result<Completion, CallerError> {
    let mut body = res.into_body();
    let mut buf = BytesMut::new();
    let mut completion = Completion {
        text: String::new(),
        model: String::new(),
        first_token: Duration::ZERO,
        gaps: Vec::new(),
        total: Duration::ZERO,
    };
    let mut last_chunk = None;
    loop {
        while let Some(end) = buf.iter().position(|b| *b == b'\n') {
            let line = buf.split_to(end + 1);
            let line = String::from_utf8_lossy(&line[..end]).into_owned();
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                completion.total = start.elapsed();
                return Ok(completion);
            }
            let value: Value =
                serde_json::from_str(data).map_err(|e| CallerError::Broken(e.to_string()))?;
            if value.get("outcome").is_some() {
                let problem = serde_json::from_value(value)
                    .map_err(|e| CallerError::Broken(e.to_string()))?;
                return Err(CallerError::Problem(problem));
            }
            if let Some(model) = value["model"].as_str() {
                model.clone_into(&mut completion.model);
            }
            let Some(text) = value["choices"][0]["text"].as_str() else { continue };
            if text.is_empty() {
                continue;
            }
            completion.text.push_str(text);
            let now = Instant::now();
            match last_chunk.replace(now) {
                Some(last) => completion.gaps.push(now - last),
                None => completion.first_token = now - start,
            }
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buf.extend_from_slice(&data);
                }
            }
            Some(Err(e)) => return Err(CallerError::Broken(e.to_string())),
            None => return Err(CallerError::Broken("the stream has no end marker".to_owned())),
        }
    }
}
