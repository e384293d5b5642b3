//! Keeps the control state up to date on an instance without a control replica.
//!
//! Long-polls one replica for the commands after the last applied one. When a poll fails, it asks all
//! replicas at once and continues with one that is connected to the leader.
//!
//! Architecture Invariant: the time from a committed command to its application here is bounded by a
//! sum that does not depend on how many replicas are out of order: the detection that the replica is
//! cut off (`Timing::election_min`, by the replica itself), silent ([`WATCH_TIMEOUT`]) or behind
//! (`RENEW_INTERVAL` and `CATCH_UP_TIMEOUT` of the session), one survey, and one transfer.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use shallotdrum_control::ControlView;
use shallotdrum_rpc::{
    Compressed, Directory, PeerApiClient, Peers, ReplicaPosition, RpcError, SurveyedReplica,
    WatchReply, find_source,
};
use shallotdrum_telemetry::event;
use shallotdrum_types::LogIndex;
use tokio::sync::watch;

use crate::replica::MAX_WATCH_ENTRIES;

/// How long a replica waits for a new command before it replies with none; short, so that an
/// unreachable replica is detected quickly.
const WATCH_WAIT: Duration = Duration::from_millis(400);

/// Timeout of a poll; longer than the replica's wait. An unresponsive replica delays a change by this
/// much.
const WATCH_TIMEOUT: Duration = Duration::from_millis(650);

/// Timeout of a poll that may return a snapshot, at the start or after failures; enough for half a
/// megabyte over a link of 10 Mbit/s that other instances share.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after a replica was left, and after a survey that found none.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum pause between surveys. While there is no leader no replica is suitable, and all followers
/// ask all replicas.
const MAX_SURVEY_PAUSE: Duration = Duration::from_millis(400);

/// Follows the control log through one replica at a time.
pub(crate) struct Follower {
    pub(crate) view: ControlView,
    pub(crate) peers: Peers,
    pub(crate) directory: Directory,
    /// Newest index that the leader had applied and that did not arrive here in time.
    pub(crate) overdue: watch::Receiver<LogIndex>,
    /// Set once what the first replica had applied when it was chosen is applied here.
    pub(crate) is_caught_up: Arc<AtomicBool>,
    pub(crate) log: slog::Logger,
}

impl Follower {
    /// Follows the control log until the task is dropped.
    pub(crate) async fn run(mut self) {
        // Longer after a first poll that timed out: its reply may be large, or the link slow.
        let mut first_timeout = WATCH_TIMEOUT;
        let mut start_index = None;
        loop {
            let source = self.choose_source().await;
            let start_index = *start_index.get_or_insert(source.position.applied);
            event!(self.log, FOLLOW_STARTED; "addr" => %source.addr,
                "index" => self.view.applied().0, "replica_index" => source.position.applied.0);
            let left = self.follow(&source, start_index, first_timeout).await;
            first_timeout = match left.polls {
                0 => (2 * first_timeout).min(SNAPSHOT_TIMEOUT),
                _ => WATCH_TIMEOUT,
            };
            event!(self.log, FOLLOW_RETRIED; "addr" => %source.addr,
                "index" => self.view.applied().0, "polls" => left.polls, "error" => %left.error);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Asks the replicas until one can serve this instance.
    async fn choose_source(&self) -> SurveyedReplica {
        let mut pause = RETRY_PAUSE;
        let mut is_logged = false;
        loop {
            let applied = self.view.applied();
            // Without a known lag, any connected replica catches up with this instance on its own.
            let index = Some(*self.overdue.borrow()).filter(|index| *index > applied);
            let index = index.unwrap_or_default();
            if let Some(source) = find_source(&self.peers, &self.directory, index).await {
                return source;
            }
            if !std::mem::replace(&mut is_logged, true) {
                event!(self.log, CONTROL_UNAVAILABLE; "replicas" => self.directory.names().len(),
                    "index" => applied.0);
            }
            tokio::time::sleep(pause).await;
            pause = (2 * pause).min(MAX_SURVEY_PAUSE);
        }
    }

    /// Polls a replica until a poll fails. This instance has caught up at `start_index`.
    async fn follow(
        &mut self,
        source: &SurveyedReplica,
        start_index: LogIndex,
        first_timeout: Duration,
    ) -> LeftReplica {
        let mut timeout = match needs_snapshot(self.view.applied(), &source.position) {
            true => SNAPSHOT_TIMEOUT,
            false => first_timeout,
        };
        let mut polls = 0;
        loop {
            let polled = tokio::time::timeout(timeout, poll(&self.view, &self.peers, source.addr));
            let view = &self.view;
            let overdue = self.overdue.wait_for(|index| *index > view.applied());
            let result = tokio::select! {
                polled = polled => {
                    polled.unwrap_or_else(|_| Err(RpcError::NoAnswer("timed out".to_owned())))
                }
                // The first reply may be large. If it were given up whenever this instance is behind,
                // it would never arrive over a slow link.
                _ = overdue, if polls > 0 => {
                    Err(RpcError::NoAnswer("the replica is behind the leader".to_owned()))
                }
            };
            match result {
                Ok(()) => {
                    (polls, timeout) = (polls + 1, WATCH_TIMEOUT);
                    if self.view.applied() >= start_index {
                        self.is_caught_up.store(true, Ordering::Relaxed);
                    }
                }
                Err(error) => return LeftReplica { polls, error },
            }
        }
    }
}

/// Why a replica is no longer followed.
struct LeftReplica {
    /// Number of polls that succeeded.
    polls: u64,
    error: RpcError,
}

/// Whether the reply to a first poll is a snapshot.
fn needs_snapshot(applied: LogIndex, position: &ReplicaPosition) -> bool {
    let missing = position.applied.0.saturating_sub(applied.0);
    position.first > applied.next() || missing > MAX_WATCH_ENTRIES as u64
}

async fn poll(view: &ControlView, peers: &Peers, addr: SocketAddr) -> Result<(), RpcError> {
    let after = view.read(|state| state.applied());
    let wait_ms = WATCH_WAIT.as_millis() as u64;
    let Compressed(reply) = peers.get(addr)?.watch(after, wait_ms).await?;
    match reply {
        WatchReply::Entries { entries, through } => {
            for entry in entries {
                view.apply_on_follower(entry.index, entry.command);
                // Requests wait for the thread meanwhile, and each command may change a large table.
                tokio::task::yield_now().await;
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
