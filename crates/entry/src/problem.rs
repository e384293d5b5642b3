//! Error responses as problem documents (RFC 9457).

use std::time::Duration;

use http::{
    HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE},
};
use serde::Serialize;
use shallotdrum_types::{Outcome, RequestError, RequestErrorKind, RequestId};

use crate::{
    body::{self, Body},
    router::OUTCOME_HEADER,
};

/// Problem document; also the data of the error event of a stream.
#[derive(Serialize)]
pub(crate) struct Problem<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
    request_id: &'a RequestId,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after: Option<u64>,
}

impl<'a> Problem<'a> {
    pub(crate) fn new(error: &'a RequestError, request: &'a RequestId) -> Self {
        Self {
            r#type: format!("urn:shallotdrum:problem:{}", error.kind.code()),
            title: error.kind.title(),
            status: error.kind.status(),
            detail: &error.detail,
            outcome: error.outcome,
            request_id: request,
            retry_after: error.retry_after.map(whole_seconds),
        }
    }

    pub(crate) fn to_json(&self) -> Vec<u8> {
        // Serialising strings and numbers to memory cannot fail.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Builds the error response, with the matching status and headers.
pub(crate) fn response(error: &RequestError, request: &RequestId) -> Response<Body> {
    let mut res = Response::new(body::full(Problem::new(error, request).to_json()));
    *res.status_mut() =
        StatusCode::from_u16(error.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    headers.insert(OUTCOME_HEADER, outcome_value(error.outcome));
    if let Some(delay) = error.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(delay)));
    }
    if error.kind == RequestErrorKind::Unauthorized {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    res
}

pub(crate) fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(outcome_text(outcome))
}

pub(crate) fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    }
}

/// Rounds up to whole seconds, so that a caller does not retry too early; at least 1 s.
fn whole_seconds(delay: Duration) -> u64 {
    (delay.as_secs() + u64::from(delay.subsec_nanos() > 0)).max(1)
}
