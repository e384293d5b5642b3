//! Authentication of callers, request deadlines and the readiness check.

use std::time::Duration;

use http::{HeaderMap, header::AUTHORIZATION};
use shallotdrum_settings::WhenStale;
use shallotdrum_types::{Freshness, KeyHash, RequestError, RequestErrorKind, SubscriberId};
use tokio::time::Instant;

use crate::context::Shared;

/// Request header with the time that the caller waits for the response, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "x-request-deadline-ms";

/// Authenticates the caller by the API key in its `Authorization` header, unless the instance may not
/// serve.
pub(crate) fn subscriber(
    shared: &Shared,
    headers: &HeaderMap,
) -> Result<SubscriberId, RequestError> {
    let freshness = check_ready(shared)?;
    let unauthorized = |detail| RequestError::not_run(RequestErrorKind::Unauthorized, detail);
    let value = headers
        .get(AUTHORIZATION)
        .ok_or_else(|| unauthorized("the Authorization header is missing"))?;
    let key = match value.as_bytes().split_at_checked(7) {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case(b"bearer ") => key.trim_ascii(),
        _ => return Err(unauthorized("the Authorization header must be `Bearer <API key>`")),
    };
    shared
        .cx
        .catalog
        .subscriber_of_key(&KeyHash::of(key))
        .ok_or_else(|| unauthorized("the API key does not belong to any subscriber"))
        .map_err(|error| freshness.refuse(error))
}

/// Freshness of the manifest, to be read before what decides a request; fails if the manifest is missing or
/// outdated, or stale and `when_stale` is `refuse`.
pub(crate) fn check_ready(shared: &Shared) -> Result<Freshness, RequestError> {
    let freshness = (shared.cx.freshness)();
    freshness.check_serving(shared.cfg.when_stale == WhenStale::Serve)?;
    Ok(freshness)
}

/// Deadline of the request: from its header, capped at the limit, or the default.
pub(crate) fn deadline(shared: &Shared, headers: &HeaderMap) -> Result<Instant, RequestError> {
    let limits = &shared.cfg.limits;
    let ms = match headers.get(DEADLINE_HEADER) {
        None => limits.default_deadline_ms,
        Some(value) => match value.to_str().ok().and_then(|text| text.parse::<u64>().ok()) {
            Some(ms) if ms > 0 => ms.min(limits.max_deadline_ms),
            _ => {
                let detail = format!("{DEADLINE_HEADER}: expected a whole number of 1 or more");
                return Err(RequestError::not_run(RequestErrorKind::InvalidRequest, detail));
            }
        },
    };
    Ok(Instant::now() + Duration::from_millis(ms))
}
