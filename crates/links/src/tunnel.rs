//! Tunnels: connections to targets that another instance opens.

use std::{io, net::SocketAddr};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::{body::Incoming, client::conn::http1, upgrade::Upgraded};
use hyper_util::rt::TokioIo;
use shallotdrum_telemetry::event;
use tokio::{
    io::{AsyncWriteExt, copy},
    net::TcpStream,
};

use crate::{LinkStatus, Links, links::CHECK_TIMEOUT};

/// Header that names the request that a tunnel is opened for, for log lines.
pub const REQUEST_HEADER: &str = "x-shallotdrum-tunnel-request";

/// Why another instance opened no tunnel.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TunnelError {
    /// The target refuses connections of that instance.
    #[error("the target refuses connections of the other instance as well")]
    Refused,
    /// The instance does not reach the target, or does not open tunnels to it.
    #[error("the other instance answered with status {0}")]
    NoLink(StatusCode),
    /// The instance is not reachable.
    #[error("cannot reach the other instance: {0}")]
    NoPeer(String),
}

/// Asks the instance at `peer` for a connection to a target.
pub(crate) async fn open_tunnel(
    peer: SocketAddr,
    target: SocketAddr,
    request: &str,
) -> Result<Upgraded, TunnelError> {
    let no_peer = |e: &dyn std::fmt::Display| TunnelError::NoPeer(e.to_string());
    let stream = TcpStream::connect(peer).await.map_err(|e| no_peer(&e))?;
    stream.set_nodelay(true).map_err(|e| no_peer(&e))?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| no_peer(&e))?;
    tokio::spawn(connection.with_upgrades());
    let connect = Request::connect(target.to_string())
        .header(REQUEST_HEADER, request)
        .body(Empty::<Bytes>::new())
        .map_err(|e| no_peer(&e))?;
    let response = sender.send_request(connect).await.map_err(|e| no_peer(&e))?;
    match response.status() {
        StatusCode::OK => hyper::upgrade::on(response).await.map_err(|e| no_peer(&e)),
        StatusCode::BAD_GATEWAY => Err(TunnelError::Refused),
        status => Err(TunnelError::NoLink(status)),
    }
}

/// Opens a connection to a target for another instance, over this instance's own link.
///
/// Responds with 502 if the target refuses the connection, 504 if it does not respond, 503 if the
/// link is known to be broken, 409 if the target is sent no requests, and 403 if the address is not one
/// of a target.
pub async fn serve_tunnel(links: Links, mut req: Request<Incoming>) -> Response<()> {
    let request = req.headers().get(REQUEST_HEADER).and_then(|id| id.to_str().ok());
    let request = request.unwrap_or_default().to_owned();
    let target = req.uri().authority().and_then(|addr| addr.as_str().parse().ok());
    let opened = match target {
        Some(target) if links.is_target(target) => open_direct(&links, target).await,
        _ => Err(StatusCode::FORBIDDEN),
    };
    let target = target.map_or_else(String::new, |target: SocketAddr| target.to_string());
    let mut response = Response::new(());
    let stream = match opened {
        Ok(stream) => stream,
        Err(status) => {
            if let Some(log) = links.log() {
                event!(log, TUNNEL_REFUSED; "request" => request, "addr" => target,
                    "status" => status.as_u16());
            }
            *response.status_mut() = status;
            return response;
        }
    };
    if let Some(log) = links.log() {
        event!(log, TUNNEL_OPENED; "request" => &request, "addr" => &target);
    }
    tokio::spawn(async move {
        // An error means that the other instance is gone.
        let Ok(client) = hyper::upgrade::on(&mut req).await else { return };
        let ended = match client.downcast::<TokioIo<TcpStream>>() {
            Ok(client) => pipe(client.io.into_inner(), &client.read_buf, stream).await,
            Err(_) => Err(io::Error::other("the other instance's connection is not TCP")),
        };
        if let (Err(error), Some(log)) = (ended, links.log()) {
            event!(log, TUNNEL_BROKEN; "request" => request, "addr" => target, "error" => %error);
        }
    });
    response
}

async fn open_direct(links: &Links, target: SocketAddr) -> Result<TcpStream, StatusCode> {
    if links.is_withheld(target) {
        return Err(StatusCode::CONFLICT);
    }
    if links.status(target) != LinkStatus::Open {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    match tokio::time::timeout(CHECK_TIMEOUT, links.connect_direct(target)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(_)) => Err(StatusCode::BAD_GATEWAY),
        Err(_) => Err(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Copies both directions until one ends, which cancels the request; fails if the target's connection
/// broke.
///
/// The client's connection is closed regularly only if the target closed its own, since a close may mean
/// that a body is complete. However else this ends, even with the process, the client sees a reset.
async fn pipe(mut client: TcpStream, sent: &[u8], mut target: TcpStream) -> io::Result<()> {
    client.set_zero_linger()?;
    let (mut from_client, mut to_client) = client.split();
    let (mut from_target, mut to_target) = target.split();
    to_target.write_all(sent).await?;
    tokio::select! {
        // The client has all that it wants, or is gone.
        _ = copy(&mut from_client, &mut to_target) => Ok(()),
        copied = copy(&mut from_target, &mut to_client) => {
            copied?;
            #[expect(deprecated, reason = "blocks only with a duration")]
            to_client.as_ref().set_linger(None)?;
            to_client.shutdown().await
        }
    }
}
