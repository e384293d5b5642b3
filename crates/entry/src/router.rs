//! Dispatch of requests by method and path.

use std::{fmt::Write, sync::Arc};

use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode,
    header::{ALLOW, CONTENT_TYPE},
};
use hyper::body::Incoming;
use rand::RngExt;
use shallotdrum_telemetry::event;
use shallotdrum_types::{RequestError, RequestErrorKind, RequestId};

use crate::{
    Freshness,
    body::{self, Body},
    completions,
    context::{Phase, Shared},
    models,
    openai::Api,
    problem, services, targets,
};

/// Header that names the request.
const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-shallotdrum-request-id");
/// Header that says what became of the request.
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-shallotdrum-outcome");
/// Header that names the resolved model.
pub(crate) const MODEL_HEADER: HeaderName = HeaderName::from_static("x-shallotdrum-model");

/// Answers one request.
pub(crate) async fn handle(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let request = match new_request_id() {
        Ok(request) => request,
        Err(error) => return plain(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    };
    let path = req.uri().path();
    let allowed = allowed_methods(path);
    let result = match allowed {
        Some(allowed) if !allowed.is_empty() && !allowed.contains(&req.method().as_str()) => {
            let detail = format!("{} is not allowed on {path}", req.method());
            Err(RequestError::not_run(RequestErrorKind::MethodNotAllowed, detail))
        }
        Some(_) => match check_headers(shared, &req) {
            Ok(()) => dispatch(shared, req, &request).await,
            Err(error) => Err(error),
        },
        None => {
            let detail = format!("there is nothing at {path}");
            Err(RequestError::not_run(RequestErrorKind::NotFound, detail))
        }
    };
    let mut res = result.unwrap_or_else(|error| {
        event!(shared.cx.log, ENTRY_REQUEST_FAILED; "request" => %request, "error" => %error);
        let mut res = problem::response(&error, &request);
        if let (RequestErrorKind::MethodNotAllowed, Some(allowed)) = (error.kind, allowed)
            && let Ok(value) = HeaderValue::from_str(&allowed.join(", "))
        {
            res.headers_mut().insert(ALLOW, value);
        }
        res
    });
    if let Ok(value) = HeaderValue::from_str(request.as_str()) {
        res.headers_mut().insert(REQUEST_HEADER, value);
    }
    res
}

/// Methods of a path; an empty list allows all, `None` means that the path does not exist.
fn allowed_methods(path: &str) -> Option<&'static [&'static str]> {
    match path {
        "/healthz" | "/readyz" | "/metrics" | "/v1/models" => Some(&["GET", "HEAD"]),
        "/v1/completions"
        | "/v1/chat/completions"
        | "/targets/announce"
        | "/targets/leave"
        | "/targets/cache-events" => Some(&["POST"]),
        _ if path.starts_with("/services/") => Some(&[]),
        _ => None,
    }
}

async fn dispatch(
    shared: &Arc<Shared>,
    req: Request<Incoming>,
    request: &RequestId,
) -> Result<Response<Body>, RequestError> {
    match req.uri().path() {
        "/healthz" => Ok(plain(StatusCode::OK, "ok")),
        "/readyz" => Ok(ready(shared)),
        "/metrics" => Ok(plain(StatusCode::OK, &shared.cx.metrics.render())),
        "/v1/models" => models::handle(shared, req.headers(), req.uri().query()),
        "/v1/completions" => completions::handle(shared, Api::Text, req, request).await,
        "/v1/chat/completions" => completions::handle(shared, Api::Chat, req, request).await,
        "/targets/announce" => targets::handle(shared, &shared.cx.announce, req).await,
        "/targets/leave" => targets::handle(shared, &shared.cx.leave, req).await,
        "/targets/cache-events" => targets::handle(shared, &shared.cx.cache_events, req).await,
        _ => services::handle(shared, req, request).await,
    }
}

/// 128 random bits, so that ids of all instances differ.
fn new_request_id() -> Result<RequestId, RequestError> {
    let mut text = String::with_capacity(32);
    let _ = write!(text, "{:032x}", rand::rng().random::<u128>());
    text.parse().map_err(|e| RequestError::not_run(RequestErrorKind::Internal, e))
}

fn check_headers(shared: &Shared, req: &Request<Incoming>) -> Result<(), RequestError> {
    let max = shared.cfg.limits.max_header_bytes;
    let size = |headers: &HeaderMap| -> usize {
        // Each header line also has `: ` and a line break.
        headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
    };
    let target = req.uri().path_and_query().map_or(0, |target| target.as_str().len());
    if size(req.headers()) + target <= max {
        return Ok(());
    }
    let detail = format!("the request headers exceed {max} bytes");
    Err(RequestError::not_run(RequestErrorKind::HeadersTooLarge, detail))
}

fn ready(shared: &Shared) -> Response<Body> {
    if *shared.phase.borrow() != Phase::Serving {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "draining");
    }
    match (shared.cx.is_fresh)() {
        Freshness::Ready => plain(StatusCode::OK, "ready"),
        Freshness::Draining => plain(StatusCode::SERVICE_UNAVAILABLE, "draining"),
        Freshness::NoManifest => plain(StatusCode::SERVICE_UNAVAILABLE, "no manifest"),
        Freshness::Stale { age } => {
            let reason = format!("stale: manifest not confirmed for {} ms", age.as_millis());
            plain(StatusCode::SERVICE_UNAVAILABLE, &reason)
        }
    }
}

fn plain(status: StatusCode, text: &str) -> Response<Body> {
    let mut res = Response::new(body::full(text.to_owned()));
    *res.status_mut() = status;
    let value = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    res.headers_mut().insert(CONTENT_TYPE, value);
    res
}
