//! Calls of plain services, with any method, at `/services/<service>/<path>`.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Request, Response, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited, StreamBody};
use hyper::body::{Body as _, Incoming};
use shallotdrum_owner::{ForwardBody, ServiceCall, full_body};
use shallotdrum_types::{
    GroupId, IdempotencyKey, Outcome, RequestError, RequestErrorKind, RequestId, ServiceId,
};
use tokio::time::Instant;

use crate::{
    auth,
    body::{self, Body},
    context::Shared,
    problem,
    route::{DEADLINE_GRACE, Route, StepError},
    router::OUTCOME_HEADER,
};

/// Request header that identifies a call which must run at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Largest request body that is buffered for retries; larger ones are streamed and sent only once.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;
/// Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Request body of a call.
enum CallBody {
    /// In memory, so that the call can be retried.
    Buffered(Bytes),
    /// Streamed to the first owner and `None` afterwards; the flag is set if the body exceeds
    /// the size limit.
    Streamed(Option<ForwardBody>, Arc<AtomicBool>),
}

pub(crate) async fn handle(
    shared: &Arc<Shared>,
    req: Request<Incoming>,
    request: &RequestId,
) -> Result<Response<Body>, RequestError> {
    let started = Instant::now();
    let (parts, body) = req.into_parts();
    let subscriber = auth::subscriber(shared, &parts.headers)?;
    let deadline = auth::deadline(shared, &parts.headers)?;
    let (service, path) = split_path(&parts)?;
    let method = parts.method.as_str();
    let freshness = auth::check_ready(shared)?;
    let service_route = shared.cx.catalog.service(&subscriber, &service, method, path);
    let service_route = service_route.map_err(|error| freshness.refuse(error.into()))?;
    let idempotency_key = match idempotency_key(&parts.headers)? {
        Some(_) if service_route.repeatable => None,
        None if !service_route.repeatable => {
            let detail =
                format!("{method} {path} of service {service} requires an Idempotency-Key header");
            return Err(
                freshness.refuse(RequestError::not_run(RequestErrorKind::KeyRequired, detail))
            );
        }
        key => key,
    };
    body::check_size(&body, &shared.cfg.limits)?;
    let body = buffer_if_small(body, shared).await?;
    let path = match parts.uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let mut route =
        Route::new(shared, service_route.pool.clone(), request.as_str().to_owned(), deadline);
    if idempotency_key.is_some() {
        // The first retry gets its response from the owner's ledger of calls, whatever the outcome
        // of the first attempt; further retries would only get the same result.
        route.limit_losses(1);
    }
    let call = ServiceCall {
        // Placeholder until a group is chosen.
        group: GroupId {
            pool: service_route.pool.clone(),
            region: shared.cfg.region.clone(),
            shard: 0,
        },
        request: request.clone(),
        subscriber,
        service,
        method: method.to_owned(),
        path,
        headers: forwarded_headers(&parts.headers, &shared.cfg.forward_headers),
        deadline_ms: 0,
        idempotency_key,
    };
    let metrics = shared.cx.metrics.subscriber(&call.subscriber);
    let result = forward(&mut route, call, body).await;
    metrics.total(started.elapsed());
    match &result {
        Ok(_) => shared.cx.metrics.finished("answered", "none"),
        Err(error) => {
            shared.cx.metrics.finished(problem::outcome_text(error.outcome), error.kind.code());
        }
    }
    result.map(|res| relay_response(res, route))
}

/// Splits `/services/<service>/<path>`; the path starts with `/`.
///
/// Rejects paths that a service could interpret differently from the rules of the manifest that
/// decide whether a call is repeatable.
fn split_path(parts: &Parts) -> Result<(ServiceId, &str), RequestError> {
    let path = parts.uri.path();
    let rest = path.strip_prefix("/services/").unwrap_or_default();
    let end = rest.find('/').unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let service =
        service.parse().map_err(|e| RequestError::not_run(RequestErrorKind::NotFound, e))?;
    let path = if path.is_empty() { "/" } else { path };
    let lower = path.to_ascii_lowercase();
    let is_ambiguous = lower.contains("//")
        || lower.contains('\\')
        || ["%2e", "%2f", "%5c", "%00"].iter().any(|code| lower.contains(code))
        || lower.split('/').any(|segment| matches!(segment, "." | ".."));
    if is_ambiguous {
        let detail = "the path must not have empty, `.` or `..` segments, or encoded separators";
        return Err(RequestError::not_run(RequestErrorKind::InvalidRequest, detail));
    }
    Ok((service, path))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, RequestError> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    let text = value.to_str().unwrap_or_default();
    // The IETF draft of this header defines the key as a quoted string.
    let text = text.strip_prefix('"').and_then(|text| text.strip_suffix('"')).unwrap_or(text);
    let key = text.parse().map_err(|e| {
        RequestError::not_run(RequestErrorKind::InvalidRequest, format!("Idempotency-Key: {e}"))
    })?;
    Ok(Some(key))
}

fn forwarded_headers(headers: &HeaderMap, allowed: &[String]) -> Vec<(String, String)> {
    let mut forwarded = Vec::new();
    for name in allowed {
        let values = headers.get_all(name.as_str()).iter();
        let texts = values.filter_map(|value| value.to_str().ok());
        forwarded.extend(texts.map(|text| (name.clone(), text.to_owned())));
    }
    forwarded
}

/// Buffers a body whose declared size is small; any other is streamed with a size limit.
async fn buffer_if_small(body: Incoming, shared: &Arc<Shared>) -> Result<CallBody, RequestError> {
    let limits = &shared.cfg.limits;
    if body.size_hint().exact().is_some_and(|size| size <= MAX_BUFFERED_BYTES) {
        return Ok(CallBody::Buffered(body::read(body, limits).await?));
    }
    let is_too_large = Arc::new(AtomicBool::new(false));
    let flag = is_too_large.clone();
    let body = Limited::new(body, limits.max_body_bytes).map_err(move |e| {
        flag.fetch_or(e.is::<LengthLimitError>(), Ordering::Relaxed);
        e
    });
    Ok(CallBody::Streamed(Some(body.boxed()), is_too_large))
}

async fn forward(
    route: &mut Route,
    mut call: ServiceCall,
    mut body: CallBody,
) -> Result<Response<ForwardBody>, RequestError> {
    loop {
        let (group, owner) = route.resolve_owner().await?;
        call.group = group.clone();
        call.deadline_ms = route.left_ms();
        let sent_body = match &mut body {
            CallBody::Buffered(bytes) => full_body(bytes.clone()),
            CallBody::Streamed(body, _) => match body.take() {
                Some(body) => body,
                None => {
                    let detail = "the owner was lost and the request body is too large for a retry";
                    let error = RequestError::not_run(RequestErrorKind::NotReady, detail);
                    return Err(route.final_error(error.retry_after(Duration::from_secs(1))));
                }
            },
        };
        let forwarder = route.shared.cx.forwarder.clone();
        let step = route.run_step(owner, forwarder.service(owner.addr, &call, sent_body)).await;
        let error = match step {
            Ok(res) => {
                route.reset_backoff();
                return Ok(res);
            }
            Err(StepError::DeadlineExceeded) => return Err(route.owner_deadline_exceeded()),
            Err(StepError::Failed(error)) => error,
        };
        if let CallBody::Streamed(_, is_too_large) = &body {
            if is_too_large.load(Ordering::Relaxed) {
                let error = body::too_large(route.shared.cfg.limits.max_body_bytes);
                // The body up to the limit was sent, so the service may have run.
                return Err(RequestError { outcome: Outcome::Unknown, ..error });
            }
            route.limit_losses(0);
        }
        route.recover(&group, owner, error).await?;
    }
}

/// Relays the service's response; the request counts as in flight until the body has ended.
///
/// If the body fails or exceeds the deadline, the caller's connection is aborted, so that the
/// response never looks complete.
fn relay_response(res: Response<ForwardBody>, mut route: Route) -> Response<Body> {
    let (mut parts, body) = res.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    parts.headers.insert(OUTCOME_HEADER, problem::outcome_value(Outcome::Answered));
    let state = (body, route.take_in_flight_guard(), route.deadline + DEADLINE_GRACE);
    let body = stream::unfold(state, |(mut body, in_flight_guard, end)| async move {
        let frame = match tokio::time::timeout_at(end, body.frame()).await {
            Ok(frame) => frame?,
            Err(_) => Err("the deadline passed before the response was complete".into()),
        };
        Some((frame, (body, in_flight_guard, end)))
    });
    let body = StreamBody::new(body);
    Response::from_parts(parts, body.boxed_unsync())
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in HOP_BY_HOP.iter().copied().chain(named.iter().map(String::as_str)) {
        headers.remove(name);
    }
}
