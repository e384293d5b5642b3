//! Bodies of requests and responses.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body as _, Incoming};
use shallotdrum_settings::Limits;
use shallotdrum_types::{RequestError, RequestErrorKind};

/// Error of a body.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response.
pub(crate) type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Makes a response body of bytes that are at hand.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Reads a whole request body within the limits.
pub(crate) async fn read(body: Incoming, limits: &Limits) -> Result<Bytes, RequestError> {
    let max = limits.max_body_bytes;
    check_size(&body, limits)?;
    let mut body = body;
    let mut whole = BytesMut::new();
    let mut first = Bytes::new();
    while let Some(data) = next_data(&mut body, limits).await? {
        if first.len() + whole.len() + data.len() > max {
            return Err(too_large(max));
        }
        // Most bodies arrive in one part, which needs no copy.
        if first.is_empty() && whole.is_empty() {
            first = data;
            continue;
        }
        if whole.is_empty() {
            whole.extend_from_slice(&std::mem::take(&mut first));
        }
        whole.extend_from_slice(&data);
    }
    Ok(if whole.is_empty() { first } else { whole.freeze() })
}

/// Refuses a body whose stated size exceeds the limit, before any of it is read.
pub(crate) fn check_size(body: &Incoming, limits: &Limits) -> Result<(), RequestError> {
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(too_large(limits.max_body_bytes));
    }
    Ok(())
}

async fn next_data(body: &mut Incoming, limits: &Limits) -> Result<Option<Bytes>, RequestError> {
    let idle = Duration::from_millis(limits.idle_timeout_ms);
    loop {
        let invalid =
            |detail: &str| RequestError::not_run(RequestErrorKind::InvalidRequest, detail);
        let frame = tokio::time::timeout(idle, body.frame())
            .await
            .map_err(|_| invalid("the rest of the request body did not arrive in time"))?;
        match frame {
            None => return Ok(None),
            Some(Err(_)) => return Err(invalid("the request body ended early")),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

pub(crate) fn too_large(max: usize) -> RequestError {
    let detail = format!("the request body exceeds {max} bytes; send a smaller one");
    RequestError::not_run(RequestErrorKind::BodyTooLarge, detail)
}
