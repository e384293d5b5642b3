//! Keeps the control state up to date on an instance without a control replica.
//!
//! Long-polls one replica for the commands after the last applied one, and switches to the next
//! replica when a poll fails.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallotdrum_control::ControlView;
use shallotdrum_rpc::{Compressed, Directory, PeerApiClient, Peers, RpcError, WatchReply};
use shallotdrum_telemetry::event;
use tokio::sync::Notify;

/// How long a replica waits for a new command before it replies with none; short, so that an
/// unreachable replica is detected quickly.
const WATCH_WAIT: Duration = Duration::from_millis(400);

/// Timeout of a poll; longer than the replica's wait. Each unresponsive replica delays a change by
/// this much; the delay of two in a row must stay within the time in which a leaving target may
/// still get requests.
const WATCH_TIMEOUT: Duration = Duration::from_millis(650);

/// Timeout of a poll that may return a snapshot, at the start or after failures; enough for half a
/// megabyte over a link of 10 Mbit/s that other instances share.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause before the next replica is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Follows the control log until the task is dropped.
pub(crate) async fn follow(
    view: ControlView,
    peers: Peers,
    directory: Directory,
    lag_notify: Arc<Notify>,
    log: slog::Logger,
) {
    let mut timeout = SNAPSHOT_TIMEOUT;
    // After a failure the reply may be a snapshot, which takes long over a slow link. Cancelling
    // the poll whenever this instance is behind would keep the snapshot from ever arriving.
    let mut may_cancel = true;
    // A random start spreads the followers over the replicas.
    let mut current = rand::random::<u32>() as usize;
    // Replica whose last poll succeeded.
    let mut followed = None;
    loop {
        let names = directory.names();
        let name = names.get(current % names.len().max(1));
        let Some(addr) = name.and_then(|name| directory.addr(name)) else {
            current += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let polled = tokio::time::timeout(timeout, poll(&view, &peers, addr));
        let result = tokio::select! {
            polled = polled => {
                polled.unwrap_or_else(|_| Err(RpcError::NoAnswer("timed out".to_owned())))
            }
            () = lag_notify.notified(), if may_cancel => {
                Err(RpcError::NoAnswer("the replica is behind the leader".to_owned()))
            }
        };
        may_cancel = result.is_ok();
        let applied = view.applied().0;
        if result.is_ok() && followed.replace(addr) != Some(addr) {
            event!(log, FOLLOW_STARTED; "addr" => %addr, "index" => applied);
        }
        timeout = match &result {
            Ok(()) => WATCH_TIMEOUT,
            // The next reply may be a snapshot over a slow link.
            Err(_) => (2 * timeout).min(SNAPSHOT_TIMEOUT),
        };
        if let Err(error) = result {
            followed = None;
            event!(log, FOLLOW_RETRIED; "addr" => %addr, "index" => applied, "error" => %error);
            current += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn poll(view: &ControlView, peers: &Peers, addr: SocketAddr) -> Result<(), RpcError> {
    let after = view.read(|state| state.applied());
    let wait_ms = WATCH_WAIT.as_millis() as u64;
    let Compressed(reply) = peers.get(addr)?.watch(after, wait_ms).await?;
    match reply {
        WatchReply::Entries { entries, through } => {
            for entry in entries {
                view.apply_on_follower(entry.index, entry.command);
            }
            view.advance_applied(through);
            Ok(())
        }
        WatchReply::Snapshot { index, state } if index > after => view
            .restore_follower(&state.0)
            .map_err(|e| RpcError::Malformed(format!("snapshot at index {index}: {e}"))),
        // The replica is behind this instance.
        WatchReply::Snapshot { .. } => {
            Err(RpcError::NoAnswer("the replica is behind this instance".to_owned()))
        }
    }
}
