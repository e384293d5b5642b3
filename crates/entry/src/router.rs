//! Routing of HTTP requests to handlers by method and path.

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

/// Response header with the request's id.
const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-shallotdrum-request-id");
/// Response header with the request's [`Outcome`](shallotdrum_types::Outcome).
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-shallotdrum-outcome");
/// Response header with the resolved model, as `base/adapter@version`.
pub(crate) const MODEL_HEADER: HeaderName = HeaderName::from_static("x-shallotdrum-model");

/// Handles one request; errors become problem documents.
pub(crate) async fn handle(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let request = match new_request_id() {
        Ok(request) => request,
        Err(error) => return plain_text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
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
            let detail = format!("no endpoint at {path}");
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

/// Methods allowed on a path: empty if all are, `None` if the path does not exist.
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
        "/healthz" => Ok(plain_text(StatusCode::OK, "ok")),
        "/readyz" => Ok(readiness(shared)),
        "/metrics" => Ok(plain_text(StatusCode::OK, &shared.cx.metrics.render())),
        "/v1/models" => models::handle(shared, req.headers(), req.uri().query()),
        "/v1/completions" => completions::handle(shared, Api::Text, req, request).await,
        "/v1/chat/completions" => completions::handle(shared, Api::Chat, req, request).await,
        "/targets/announce" => targets::handle(shared, &shared.cx.announce, req).await,
        "/targets/leave" => targets::handle(shared, &shared.cx.leave, req).await,
        "/targets/cache-events" => targets::handle(shared, &shared.cx.cache_events, req).await,
        _ => services::handle(shared, req, request).await,
    }
}

/// Random 128-bit id, unique among all instances.
fn new_request_id() -> Result<RequestId, RequestError> {
    let mut text = String::with_capacity(32);
    let _ = write!(text, "{:032x}", rand::rng().random::<u128>());
    text.parse().map_err(|e| RequestError::not_run(RequestErrorKind::Internal, e))
}

fn check_headers(shared: &Shared, req: &Request<Incoming>) -> Result<(), RequestError> {
    let max = shared.cfg.limits.max_header_bytes;
    let size = |headers: &HeaderMap| -> usize {
        // Each header line also has `: ` and CRLF, 4 bytes together.
        headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
    };
    let uri_len = req.uri().path_and_query().map_or(0, |uri| uri.as_str().len());
    if size(req.headers()) + uri_len <= max {
        return Ok(());
    }
    let detail = format!("the request headers exceed the limit of {max} bytes");
    Err(RequestError::not_run(RequestErrorKind::HeadersTooLarge, detail))
}

fn readiness(shared: &Shared) -> Response<Body> {
    if *shared.phase.borrow() != Phase::Serving {
        return plain_text(StatusCode::SERVICE_UNAVAILABLE, "draining");
    }
    match (shared.cx.freshness)() {
        Freshness::Ready => plain_text(StatusCode::OK, "ready"),
        Freshness::Draining => plain_text(StatusCode::SERVICE_UNAVAILABLE, "draining"),
        Freshness::NoManifest => plain_text(StatusCode::SERVICE_UNAVAILABLE, "no manifest"),
        Freshness::CatchingUp => plain_text(StatusCode::SERVICE_UNAVAILABLE, "catching up"),
        Freshness::Stale { age } => {
            let reason = format!("stale: manifest not confirmed for {} ms", age.as_millis());
            plain_text(StatusCode::SERVICE_UNAVAILABLE, &reason)
        }
        Freshness::Outdated { age } => {
            let reason = format!("outdated: manifest not confirmed for {} ms", age.as_millis());
            plain_text(StatusCode::SERVICE_UNAVAILABLE, &reason)
        }
    }
}

fn plain_text(status: StatusCode, text: &str) -> Response<Body> {
    let mut res = Response::new(body::full(text.to_owned()));
    *res.status_mut() = status;
    let value = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    res.headers_mut().insert(CONTENT_TYPE, value);
    res
}
