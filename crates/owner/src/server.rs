//! HTTP server for requests that other instances forward, and for connections that this instance
//! opens for them.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::{
    body::{Frame as BodyFrame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use shallotdrum_links::serve_tunnel;
use shallotdrum_types::{RequestError, RequestErrorKind};
use tokio::{net::TcpListener, sync::mpsc, time::Instant};

use crate::{
    CALL_HEADER, COMPLETION_PATH, CompletionCall, ERROR_HEADER, ForwardBody, Frame, OwnerService,
    SERVICE_PATH, ServiceCall, forwarder::FRAME_BUFFER, full_body,
};

/// Maximum size of a forwarded model request: a prompt, and the text so far if it is resumed.
const MAX_CALL_BYTES: usize = 16 * 1024 * 1024;

/// Upgrades a request for a path of its own to another protocol.
#[derive(Clone)]
pub struct Upgrade {
    /// Path that is upgraded.
    pub path: &'static str,
    /// Responds to the request, and serves the connection afterwards.
    pub serve: Arc<dyn Fn(Request<Incoming>) -> Response<()> + Send + Sync>,
}

/// Serves forwarded requests, and upgrades if there is one, until the future is dropped.
pub async fn serve_forwarded(
    listener: TcpListener,
    service: Arc<OwnerService>,
    upgrade: Option<Upgrade>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Probably out of file descriptors; an immediate retry would busy-loop.
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let (service, upgrade) = (service.clone(), upgrade.clone());
        tokio::spawn(async move {
            // Disables Nagle's algorithm, which would delay small frames.
            let _ = stream.set_nodelay(true);
            let handler = service_fn(move |req| {
                let (service, upgrade) = (service.clone(), upgrade.clone());
                async move { Ok::<_, Infallible>(handle(service, upgrade, req).await) }
            });
            // An error means that the connection to the peer broke, which the peer itself reports.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), handler)
                .with_upgrades()
                .await;
        });
    }
}

async fn handle(
    service: Arc<OwnerService>,
    upgrade: Option<Upgrade>,
    mut req: Request<Incoming>,
) -> Response<ForwardBody> {
    let is_upgrade =
        |upgrade: &Upgrade| req.method() == Method::GET && req.uri().path() == upgrade.path;
    if let Some(upgrade) = upgrade.filter(is_upgrade) {
        return (upgrade.serve)(req).map(|()| full_body(Bytes::new()));
    }
    if req.method() == Method::CONNECT {
        let links = service.cx.links.clone();
        // `serve_tunnel` keeps the request until the tunnel ends.
        req.extensions_mut().insert(Arc::new(service.enter()));
        return serve_tunnel(links, req).await.map(|()| full_body(Bytes::new()));
    }
    let result = match (req.method(), req.uri().path()) {
        (&Method::POST, COMPLETION_PATH) => completion(service, req).await,
        (&Method::POST, SERVICE_PATH) => service_call(service, req).await,
        _ => Err(RequestError::not_run(
            RequestErrorKind::NotFound,
            "unknown path for forwarded requests",
        )),
    };
    result.unwrap_or_else(|error| error_response(&error))
}

async fn completion(
    service: Arc<OwnerService>,
    req: Request<Incoming>,
) -> Result<Response<ForwardBody>, RequestError> {
    let invalid =
        |e: &dyn std::fmt::Display| RequestError::not_run(RequestErrorKind::InvalidRequest, e);
    let body = Limited::new(req.into_body(), MAX_CALL_BYTES)
        .collect()
        .await
        .map_err(|e| invalid(&e))?
        .to_bytes();
    let call: CompletionCall = serde_json::from_slice(&body).map_err(|e| invalid(&e))?;
    let (tx, mut rx) = mpsc::channel::<Frame>(FRAME_BUFFER);
    tokio::spawn(async move { service.complete(call, tx).await });
    let frames = stream::poll_fn(move |cx| rx.poll_recv(cx));
    let lines = futures_util::StreamExt::map(frames, |frame| {
        let mut line = serde_json::to_vec(&frame)?;
        line.push(b'\n');
        Ok::<_, Box<dyn std::error::Error + Send + Sync>>(BodyFrame::data(Bytes::from(line)))
    });
    Ok(Response::new(BodyExt::boxed(StreamBody::new(lines))))
}

async fn service_call(
    service: Arc<OwnerService>,
    req: Request<Incoming>,
) -> Result<Response<ForwardBody>, RequestError> {
    let (parts, body) = req.into_parts();
    let call: ServiceCall = parts
        .headers
        .get(CALL_HEADER)
        .and_then(|meta| serde_json::from_slice(meta.as_bytes()).ok())
        .ok_or_else(|| {
            let detail = format!("header {CALL_HEADER} is missing or malformed");
            RequestError::not_run(RequestErrorKind::InvalidRequest, detail)
        })?;
    // Makes a graceful shutdown wait for calls whose body is still being received.
    let _in_progress = service.enter();
    let received = Instant::now();
    let body = Limited::new(body, service.cx.max_body_bytes).collect().await.map_err(|e| {
        RequestError::not_run(
            RequestErrorKind::BodyTooLarge,
            format!("cannot read the body of the call: {e}"),
        )
    })?;
    service.call(call, body.to_bytes(), received).await
}

/// Builds the response that reports an error to the entry.
fn error_response(error: &RequestError) -> Response<ForwardBody> {
    let mut res = Response::new(full_body(Bytes::new()));
    *res.status_mut() =
        StatusCode::from_u16(error.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let meta = serde_json::to_vec(error)
        .ok()
        .and_then(|json| HeaderValue::from_bytes(&json).ok())
        .unwrap_or_else(|| HeaderValue::from_static("{}"));
    res.headers_mut().insert(ERROR_HEADER, meta);
    res
}
