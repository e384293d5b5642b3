//! Evidence of whether the process of a target runs on after one of its connections has ended.
//!
//! The kernel closes the connections of a process that ends like any others, and a process that starts
//! again listens at once. A connection that outlives another one shows that the process runs on.
//! Connections that end together show that it has ended, or that all of them were reset.
//!
//! A response without a length ends with its connection, and nothing in it tells whether it is
//! complete. While one is being read, a second connection that is left idle is open as a witness.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use tokio::{
    io::AsyncReadExt,
    task::AbortHandle,
    time::{Instant, sleep},
};

use crate::Links;

/// Time within which connections that end have ended together. A process that ends closes its
/// connections within a few milliseconds, and this instance reads their ends one after the other.
const TOGETHER: Duration = Duration::from_millis(20);

/// Delay after the end of a connection before the others are looked at, and the target is probed.
const SETTLE_TIME: Duration = Duration::from_millis(10);

/// Delay before a witness that the target closed is opened again; targets close idle connections.
const REOPEN_DELAY: Duration = Duration::from_secs(1);

/// What was taken as evidence that the process of a target runs on, or has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// Another connection to it is open.
    OtherConnection,
    /// Something listens at its address.
    Listener,
    /// Connections to it ended together.
    EndedTogether,
    /// Nothing listens at its address.
    NoListener,
}

impl EndEvidence {
    /// Whether the process runs on.
    pub fn is_alive(self) -> bool {
        matches!(self, Self::OtherConnection | Self::Listener)
    }

    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OtherConnection => "other-connection",
            Self::Listener => "listener",
            Self::EndedTogether => "ended-together",
            Self::NoListener => "no-listener",
        }
    }
}

/// Direct connections to one target.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// When each one was opened.
    open: BTreeMap<u64, Instant>,
    next: u64,
    /// When the target ended connections, within the last `TOGETHER + SETTLE_TIME` or longer.
    ended: VecDeque<Instant>,
    witness: Weak<Witness>,
}

/// One open connection, until dropped.
pub(crate) struct OpenConnection {
    all: Arc<OpenConnections>,
    id: u64,
}

/// Idle connection to a target, kept open while a response that ends with its connection is read.
#[derive(Debug)]
pub struct Witness(AbortHandle);

impl Drop for Witness {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl OpenConnections {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn add(self: &Arc<Self>) -> OpenConnection {
        let mut state = self.lock();
        let id = state.next;
        state.next += 1;
        state.open.insert(id, Instant::now());
        OpenConnection { all: self.clone(), id }
    }

    /// Whether the process that ended a connection at this time runs on; `None` if no other connection
    /// tells.
    fn outlived(&self, ended_at: Instant) -> Option<bool> {
        let state = self.lock();
        let since = ended_at.checked_sub(TOGETHER)?;
        if state.open.values().any(|opened_at| *opened_at < since) {
            return Some(true);
        }
        let ended = state.ended.iter().filter(|at| (since..=ended_at + TOGETHER).contains(at));
        // One of them is the connection in question.
        (ended.count() > 1).then_some(false)
    }
}

impl OpenConnection {
    /// Records that the target ended the connection.
    pub(crate) fn record_end(&self) {
        let now = Instant::now();
        let mut state = self.all.lock();
        if state.open.remove(&self.id).is_none() {
            return;
        }
        state.ended.push_back(now);
        let is_old = |at: &Instant| now.duration_since(*at) > 2 * (TOGETHER + SETTLE_TIME);
        while state.ended.pop_front_if(|at| is_old(at)).is_some() {}
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.all.lock().open.remove(&self.id);
    }
}

impl Links {
    /// Keeps an idle connection to a target open, for `is_alive_after_end`. All callers share it.
    pub fn witness(&self, target: SocketAddr) -> Arc<Witness> {
        let all = self.open_connections(target);
        let mut state = all.lock();
        if let Some(witness) = state.witness.upgrade() {
            return witness;
        }
        let links = self.clone();
        let task = tokio::spawn(async move {
            // The target is not reachable directly; the check at the end probes it otherwise.
            while let Ok(mut stream) = links.connect_direct(target).await {
                let open = links.open_connections(target).add();
                // Whatever the target sends, its end is what counts.
                let mut buf = [0; 64];
                while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {}
                open.record_end();
                sleep(REOPEN_DELAY).await;
            }
        });
        let witness = Arc::new(Witness(task.abort_handle()));
        state.witness = Arc::downgrade(&witness);
        witness
    }

    /// Evidence of whether the process of a target runs on after it ended a connection just now, so that a
    /// response that ended with it is complete.
    ///
    /// Without a witness that was open for long enough, a process that was started anew in its place
    /// can't be told from it.
    pub async fn evidence_after_end(
        &self,
        target: SocketAddr,
        witness: Option<&Witness>,
    ) -> EndEvidence {
        let ended_at = Instant::now();
        sleep(SETTLE_TIME).await;
        match witness.and_then(|_| self.open_connections(target).outlived(ended_at)) {
            Some(true) => EndEvidence::OtherConnection,
            Some(false) => EndEvidence::EndedTogether,
            None if self.is_listening(target).await => EndEvidence::Listener,
            None => EndEvidence::NoListener,
        }
    }
}
