//! HTTP server and response helpers of the fakes.

use std::{convert::Infallible, error::Error};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{net::TcpListener, task::JoinSet};

use crate::late_copy::LateCopyStream;

/// Maximum request body size; larger than any prompt in tests.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Response body; an error closes the connection in the middle of the body.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, CloseConnection>;
/// Response of a handler; the error closes the connection without a response.
pub(crate) type HandlerResult = Result<Response<ResponseBody>, CloseConnection>;

/// Error that closes the connection immediately, without the rest of the response.
#[derive(Debug, thiserror::Error)]
#[error("the fake closed the connection")]
pub(crate) struct CloseConnection;

/// Serves connections until the future is dropped, which closes all of them.
///
/// A response for which `is_repeated` returns true is written once more before the next response on its
/// connection.
pub(crate) async fn serve<H, F, R>(listener: TcpListener, handler: H, is_repeated: R)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
    R: Fn() -> bool + Clone + Send + Unpin + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        // Accepting fails if the client has reset the connection or file descriptors run out.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        // Nagle's algorithm would delay the small events of a stream.
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let stream = LateCopyStream::new(stream, is_repeated.clone());
        connections.spawn(async move {
            let service = service_fn(handler);
            // An error closes only this connection, which the peer notices.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Reads a request body of at most `MAX_BODY_BYTES`.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Box<dyn Error + Send + Sync>> {
    Ok(Limited::new(body, MAX_BODY_BYTES).collect().await?.to_bytes())
}

/// Builds a response from a complete body.
pub(crate) fn respond(
    status: StatusCode,
    content_type: &str,
    body: impl Into<Bytes>,
) -> HandlerResult {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed_unsync();
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(body)
        .map_err(|_| CloseConnection)
}

/// Builds a JSON response.
pub(crate) fn json(status: StatusCode, message: &impl serde::Serialize) -> HandlerResult {
    let body = serde_json::to_vec(message).map_err(|_| CloseConnection)?;
    respond(status, "application/json", body)
}

/// Builds an error response with a problem document.
pub(crate) fn problem(status: StatusCode, title: &str) -> HandlerResult {
    let body = serde_json::json!({ "title": title, "status": status.as_u16() });
    respond(status, "application/problem+json", body.to_string())
}

/// Applies a partial JSON object to settings, recursively.
pub(crate) fn merge_settings<T>(current: &T, changes: &[u8]) -> Result<T, serde_json::Error>
where
    T: serde::Serialize + serde::de::DeserializeOwned,
{
    let mut merged = serde_json::to_value(current)?;
    merge_values(&mut merged, serde_json::from_slice(changes)?);
    serde_json::from_value(merged)
}

fn merge_values(current: &mut Value, change: Value) {
    match (current, change) {
        (Value::Object(current), Value::Object(change)) => {
            for (name, value) in change {
                merge_values(current.entry(name).or_insert(Value::Null), value);
            }
        }
        (current, change) => *current = change,
    }
}
