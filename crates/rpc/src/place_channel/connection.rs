//! Task of a channel at the entry: opens connections, and moves frames over them.

use std::{sync::Arc, time::Instant};

use bytes::{Bytes, BytesMut};
use http::{Request, StatusCode, header};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use shallotdrum_telemetry::event;
use shallotdrum_types::ConnectionNumber;
use tokio::{net::TcpStream, time};

use super::{
    CHANNEL_HEADER, CONNECTION_HEADER, PING_TIMEOUT, PLACES_PATH, PLACES_PROTOCOL, REPLY_TIMEOUT,
    client::Shared,
    frame::{decode, read_available, write_available},
    state::{ChannelError, Liveness},
};

/// Time for which an owner without a channel is asked by JSON-RPC.
const UNSUPPORTED_FOR: time::Duration = time::Duration::from_secs(30);

/// Pause after a connection that could not be opened or broke at once; that of a request before it looks
/// for an owner again.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(40);

/// Why no connection was opened.
enum OpenError {
    /// The owner does not upgrade.
    Unsupported(StatusCode),
    /// The owner is not reachable.
    Unreachable(String),
}

impl From<hyper::Error> for OpenError {
    fn from(error: hyper::Error) -> Self {
        Self::Unreachable(error.to_string())
    }
}

/// Runs a channel until the future is dropped.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        while !shared.state().has_work() {
            shared.wake.notified().await;
        }
        if shared.state().is_unsupported(Instant::now()) {
            let ends = shared.state().take_ends();
            shared.deliver(ends);
            // Requests of this time were refused when they were made.
            shared.state().fail(&ChannelError::Unsupported, false);
            continue;
        }
        let number = {
            let mut state = shared.state();
            state.connection = state.connection.next();
            state.connection
        };
        let opened = time::timeout(REPLY_TIMEOUT + PING_TIMEOUT, open(&shared, number));
        let error = match opened.await {
            Ok(Ok((stream, read))) => {
                let opened_at = Instant::now();
                run_connection(&shared, &stream, read, number).await;
                if opened_at.elapsed() < REPLY_TIMEOUT {
                    time::sleep(RECONNECT_DELAY).await;
                }
                continue;
            }
            Ok(Err(OpenError::Unsupported(status))) => {
                event!(shared.cfg.log, PLACE_CHANNEL_UNSUPPORTED; "owner" => %shared.addr,
                    "status" => status.as_u16(),
                    "retry_after_ms" => UNSUPPORTED_FOR.as_millis() as u64);
                let ends = {
                    let mut state = shared.state();
                    state.unsupported_until = Some(Instant::now() + UNSUPPORTED_FOR);
                    state.fail(&ChannelError::Unsupported, false);
                    state.take_ends()
                };
                shared.deliver(ends);
                continue;
            }
            Ok(Err(OpenError::Unreachable(error))) => error,
            Err(_) => "the connection was not opened in time".to_owned(),
        };
        let (failed, ends) = {
            let mut state = shared.state();
            (state.fail(&ChannelError::Broken(error.clone()), false), state.take_ends())
        };
        shared.log_broken(&error, number, failed, ends.len());
        shared.deliver(ends);
        time::sleep(RECONNECT_DELAY).await;
    }
}

/// Opens a connection to the owner and upgrades it.
async fn open(
    shared: &Shared,
    number: ConnectionNumber,
) -> Result<(TcpStream, BytesMut), OpenError> {
    let unreachable = |e: &dyn std::fmt::Display| OpenError::Unreachable(e.to_string());
    let stream = TcpStream::connect(shared.addr).await.map_err(|e| unreachable(&e))?;
    // Disables Nagle's algorithm, which would delay small writes.
    stream.set_nodelay(true).map_err(|e| unreachable(&e))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // Ends with the upgrade, or when the sender is dropped.
    tokio::spawn(connection.with_upgrades());
    let request = Request::get(PLACES_PATH)
        .header(header::HOST, shared.addr.to_string())
        .header(header::CONNECTION, "upgrade")
        .header(header::UPGRADE, PLACES_PROTOCOL)
        .header(CHANNEL_HEADER, shared.id.to_string())
        .header(CONNECTION_HEADER, number.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|e| unreachable(&e))?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::SWITCHING_PROTOCOLS {
        return Err(OpenError::Unsupported(response.status()));
    }
    let upgraded = hyper::upgrade::on(response).await?;
    let parts = upgraded
        .downcast::<TokioIo<TcpStream>>()
        .map_err(|_| OpenError::Unreachable("the connection is not TCP".to_owned()))?;
    Ok((parts.io.into_inner(), BytesMut::from(parts.read_buf)))
}

/// Runs a connection until it breaks, and fails what waits on it.
async fn run_connection(
    shared: &Shared,
    stream: &TcpStream,
    read: BytesMut,
    number: ConnectionNumber,
) {
    event!(shared.cfg.log, PLACE_CHANNEL_OPENED; "owner" => %shared.addr,
        "connection" => number.0);
    let open = OpenGuard::new(shared);
    shared.state().opened(Instant::now());
    let error = exchange(shared, stream, read).await;
    drop(open);
    shared.cfg.metrics.place_channels_broken().inc();
    let failed = shared.state().fail(&ChannelError::Broken(error.clone()), true);
    shared.log_broken(&error, number, failed, 0);
}

/// Counts an open connection.
struct OpenGuard<'a>(&'a Shared);

impl<'a> OpenGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.cfg.metrics.place_channels().inc();
        shared.cfg.metrics.place_channels_opened().inc();
        Self(shared)
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.cfg.metrics.place_channels().dec();
    }
}

/// Moves frames until the connection breaks; returns the reason.
async fn exchange(shared: &Shared, stream: &TcpStream, mut read: BytesMut) -> String {
    let metrics = &shared.cfg.metrics;
    let mut out = BytesMut::new();
    let mut check_at = Instant::now() + REPLY_TIMEOUT;
    let mut timer = std::pin::pin!(time::sleep_until(check_at.into()));
    loop {
        let arrived = read_available(stream, &mut read);
        let now = Instant::now();
        let mut received = 0;
        let liveness = {
            let mut state = shared.state();
            loop {
                match decode(&mut read) {
                    Ok(Some(message)) => {
                        received += 1;
                        state.receive(message, now);
                    }
                    Ok(None) => break,
                    Err(error) => return error.to_string(),
                }
            }
            if let Err(error) = arrived {
                return error.to_string();
            }
            state.check(now)
        };
        metrics.place_channel_frames_received().inc_by(received);
        loop {
            if out.is_empty() {
                let written = shared.state().next_write(&mut out, now);
                metrics.place_channel_ends().inc_by(written.ends as u64);
                metrics.place_channel_frames_sent().inc_by(written.frames as u64);
            }
            if out.is_empty() {
                break;
            }
            match write_available(stream, &mut out) {
                Ok(0) => break,
                Ok(_) => metrics.place_channel_writes().inc(),
                Err(error) => return error.to_string(),
            }
        }
        let due = match liveness {
            Liveness::CheckAt(due) => due,
            Liveness::Silent => return "the owner does not reply to a ping".to_owned(),
        };
        // A timer that is due too early costs less than setting it for each frame.
        if due < check_at || check_at <= now {
            check_at = due;
            timer.as_mut().reset(due.into());
        }
        tokio::select! {
            () = shared.wake.notified() => {}
            ready = stream.readable() => match ready {
                Ok(()) => {}
                Err(error) => return error.to_string(),
            },
            ready = stream.writable(), if !out.is_empty() => match ready {
                Ok(()) => {}
                Err(error) => return error.to_string(),
            },
            () = timer.as_mut() => {}
        }
    }
}
