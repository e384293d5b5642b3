//! Reading of request bodies and construction of response bodies.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body as _, Incoming};
use shallotdrum_settings::Limits;
use shallotdrum_types::{RequestError, RequestErrorKind};

/// Error that ends a streamed body; boxed, because its sources differ.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Response body, buffered or streamed.
pub(crate) type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Response body of bytes that are already in memory.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Buffers the whole request body, within the size limit and the idle timeout.
pub(crate) async fn read(body: Incoming, limits: &Limits) -> Result<Bytes, RequestError> {
    let max = limits.max_body_bytes;
    check_size(&body, limits)?;
    let mut body = body;
    let mut buf = BytesMut::new();
    let mut first = Bytes::new();
    while let Some(data) = next_data(&mut body, limits).await? {
        if first.len() + buf.len() + data.len() > max {
            return Err(too_large(max));
        }
        // Most bodies arrive in a single frame, which is returned without a copy.
        if first.is_empty() && buf.is_empty() {
            first = data;
            continue;
        }
        if buf.is_empty() {
            buf.extend_from_slice(&std::mem::take(&mut first));
        }
        buf.extend_from_slice(&data);
    }
    Ok(if buf.is_empty() { first } else { buf.freeze() })
}

/// Rejects a body whose declared size exceeds the limit, before any of it is read.
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
            .map_err(|_| invalid("timed out while waiting for the rest of the request body"))?;
        match frame {
            None => return Ok(None),
            Some(Err(_)) => return Err(invalid("the request body is incomplete")),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

pub(crate) fn too_large(max: usize) -> RequestError {
    let detail = format!("the request body exceeds the limit of {max} bytes");
    RequestError::not_run(RequestErrorKind::BodyTooLarge, detail)
}
