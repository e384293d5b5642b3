//! Errors of requests that got no complete response from a target.

use std::time::Duration;

use http::StatusCode;
use shallotdrum_types::{RequestError, RequestErrorKind};

/// `Retry-After` if a target refused the request or could not be reached, and no retry was made.
const RETRY_AFTER_REFUSALS: Duration = Duration::from_millis(500);

pub(crate) fn target_failed(cause: impl std::fmt::Display) -> RequestError {
    let detail = format!("the target returned no complete response: {cause}");
    RequestError::unknown(RequestErrorKind::TargetFailed, detail)
}

pub(crate) fn target_unreachable(cause: impl std::fmt::Display) -> RequestError {
    let detail = format!("cannot reach the target: {cause}; retry later");
    RequestError::not_run(RequestErrorKind::NoTarget, detail).retry_after(RETRY_AFTER_REFUSALS)
}

pub(crate) fn target_refused(status: StatusCode) -> RequestError {
    let detail = format!("the target refused the request with status {}", status.as_u16());
    RequestError::not_run(RequestErrorKind::Overloaded, detail).retry_after(RETRY_AFTER_REFUSALS)
}

pub(crate) fn target_timed_out() -> RequestError {
    RequestError::unknown(
        RequestErrorKind::DeadlineExceeded,
        "the deadline passed before the target's response was complete",
    )
}

pub(crate) fn timed_out_waiting() -> RequestError {
    let detail = "the deadline passed while the request waited for a target";
    RequestError::not_run(RequestErrorKind::DeadlineExceeded, detail)
}
