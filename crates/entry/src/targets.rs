//! Messages from targets: `POST /targets/announce`, `/targets/leave` and `/targets/cache-events`.

use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};
use shallotdrum_types::{RequestError, RequestErrorKind};

use crate::{
    TargetFn,
    body::{self, Body},
    context::Shared,
};

/// Parses the message, calls its handler and returns the reply as JSON, or 204 if it is empty.
pub(crate) async fn handle<Message, Reply>(
    shared: &Shared,
    handler: &TargetFn<Message, Reply>,
    req: Request<Incoming>,
) -> Result<Response<Body>, RequestError>
where
    Message: DeserializeOwned,
    Reply: Serialize,
{
    let body = body::read(req.into_body(), &shared.cfg.limits).await?;
    let message = serde_json::from_slice(&body).map_err(|e| {
        let detail = format!("invalid message: {e}");
        RequestError::not_run(RequestErrorKind::InvalidRequest, detail)
    })?;
    let reply = handler(message).await?;
    let json = serde_json::to_vec(&reply)
        .map_err(|e| RequestError::unknown(RequestErrorKind::Internal, e))?;
    // The reply `()` serialises as `null`.
    if json == b"null" {
        let mut res = Response::new(body::full(Vec::new()));
        *res.status_mut() = StatusCode::NO_CONTENT;
        return Ok(res);
    }
    let mut res = Response::new(body::full(json));
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(res)
}
