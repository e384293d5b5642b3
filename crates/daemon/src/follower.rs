//! Keeps the control state of an instance that is no replica up to date.
//!
//! Long-polls one replica for commands after the last one applied; changes the replica when it
//! does not answer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallotdrum_control::ControlView;
use shallotdrum_rpc::{Compressed, Directory, PeerApiClient, Peers, RpcError, WatchReply};
use shallotdrum_telemetry::event;
use tokio::sync::Notify;

/// How long a replica waits for a new command before it answers with none; short, so that a
/// replica that is cut off is noticed.
const WATCH_WAIT: Duration = Duration::from_millis(400);

/// Longest wait for an answer; longer than the replica's wait. A replica that fell silent delays a
/// change by this much, and two in a row must not delay it by more than a leaving target allows.
const WATCH_TIMEOUT: Duration = Duration::from_millis(650);

/// Longest wait for the whole state, at the start or after time-outs: half a megabyte over a link
/// of 10 Mbit/s that other instances use too.
const STATE_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause before another replica is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Follows the control log until the task is dropped.
pub(crate) async fn follow(
    view: ControlView,
    peers: Peers,
    directory: Directory,
    is_behind: Arc<Notify>,
    log: slog::Logger,
) {
    let mut timeout = STATE_TIMEOUT;
    // The answer after a failure may be the whole state, which takes long over a slow link: giving
    // it up whenever this instance is behind would never let it arrive.
    let mut may_interrupt = true;
    // Followers spread over the replicas.
    let mut current = rand::random::<u32>() as usize;
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
            () = is_behind.notified(), if may_interrupt => {
                Err(RpcError::NoAnswer("the replica is behind the leader".to_owned()))
            }
        };
        may_interrupt = result.is_ok();
        timeout = match &result {
            Ok(()) => WATCH_TIMEOUT,
            // The answer may be large and the link slow.
            Err(_) => (2 * timeout).min(STATE_TIMEOUT),
        };
        if let Err(error) = result {
            event!(log, FOLLOW_RETRIED; "addr" => %addr, "error" => %error);
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
                view.apply_follow(entry.index, entry.command);
            }
            view.skip_to(through);
            Ok(())
        }
        WatchReply::Snapshot { index, state } if index > after => view
            .restore_follower(&state.0)
            .map_err(|e| RpcError::Malformed(format!("snapshot at index {index}: {e}"))),
        // An older snapshot comes from a replica that is behind.
        WatchReply::Snapshot { .. } => {
            Err(RpcError::NoAnswer("the replica is behind this instance".to_owned()))
        }
    }
}
