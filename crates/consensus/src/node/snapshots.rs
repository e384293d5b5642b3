//! Taking and installing snapshots.
//!
//! Architecture Invariant: a snapshot file is durable before the log is compacted up to it.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use shallotdrum_telemetry::event;
use tokio::time::Instant;

use super::{Shared, core::Core};

use crate::{
    FatalError, StateMachine,
    message::ChunkRequest,
    storage::{Snapshot, is_full, remove_older},
};

/// Pause after a full disk refused a snapshot; encoding one takes a few milliseconds.
const POSTPONEMENT: Duration = Duration::from_secs(1);

impl<S: StateMachine> Shared<S> {
    /// Takes a snapshot if `snapshot_every` entries were applied since the last one.
    ///
    /// Returns once the state is encoded. The file is written in a separate task, because the apply task
    /// must not wait for a disk that hangs: the others make entries durable meanwhile.
    pub(super) async fn compact_if_due(self: &Arc<Self>) {
        {
            let mut core = self.core();
            let newest = core.snapshot.as_ref().map_or(0, |s| s.index.0);
            let is_due = core.applied.0.saturating_sub(newest) >= self.cfg.snapshot_every;
            let is_postponed = core.snapshot_not_before.is_some_and(|at| at > Instant::now());
            if !is_due || is_postponed || core.pending_restore.is_some() || core.is_taking_snapshot
            {
                return;
            }
            core.is_taking_snapshot = true;
        }
        let shared = self.clone();
        // The state machine doesn't change here: only the apply task modifies it, and that waits for
        // this one.
        let encoded = tokio::task::spawn_blocking(move || shared.encode_state());
        match encoded.await {
            Ok(Some(snapshot)) => self.spawn("snapshot", self.clone().take(snapshot)),
            Ok(None) => self.core().is_taking_snapshot = false,
            Err(_) => self.fail(FatalError::Panicked { task: "snapshot" }),
        }
    }

    /// Encodes the state machine as of the last applied entry.
    fn encode_state(&self) -> Option<Snapshot> {
        let (index, term, membership) = {
            let core = self.core();
            let index = core.applied;
            (index, core.log.term(index)?, core.membership_at(index).cloned()?)
        };
        let machine = self.machine.read().unwrap_or_else(PoisonError::into_inner);
        Some(Snapshot { index, term, membership, data: Bytes::from(machine.snapshot()) })
    }

    /// Writes a snapshot of the own state to disk, and compacts the log up to it.
    async fn take(self: Arc<Self>, snapshot: Snapshot) {
        let shared = self.clone();
        let stored =
            tokio::task::spawn_blocking(move || shared.store(&snapshot).then_some(snapshot));
        let Ok(stored) = stored.await else {
            return self.fail(FatalError::Panicked { task: "snapshot" });
        };
        let mut core = self.core();
        core.is_taking_snapshot = false;
        let Some(snapshot) = stored else { return };
        // A snapshot of the leader may have arrived meanwhile.
        if !core.is_stopped && core.snapshot.as_ref().is_none_or(|s| s.index < snapshot.index) {
            self.adopt(&mut core, snapshot);
        }
    }

    /// Writes a received snapshot to disk and queues it for the apply task.
    pub(super) async fn install(self: Arc<Self>, request: ChunkRequest, data: Bytes) {
        let ChunkRequest { index, index_term: term, membership, .. } = request;
        let snapshot = Snapshot { index, term, membership, data };
        let shared = self.clone();
        let stored =
            tokio::task::spawn_blocking(move || shared.store(&snapshot).then_some(snapshot));
        let stored = stored.await.ok().flatten();
        let mut core = self.core();
        core.incoming = None;
        let Some(snapshot) = stored else { return };
        if core.is_stopped || snapshot.index <= core.commit {
            return;
        }
        event!(self.log, SNAPSHOT_INSTALLING; "index" => %index, "bytes" => snapshot.data.len());
        let snapshot = self.adopt(&mut core, snapshot);
        core.commit = index;
        core.pending_restore = Some(snapshot);
        self.apply_wake.notify_one();
        self.publish(&core);
    }

    /// Writes the snapshot file and removes older ones; blocks the calling thread.
    fn store(&self, snapshot: &Snapshot) -> bool {
        // Aborting a task doesn't interrupt its file operations, so `shutdown` waits for this lock.
        let _guard = self.snapshot_files.blocking_lock();
        if self.core().is_stopped {
            return false;
        }
        let (dir, hook) = (&self.cfg.data_dir, self.cfg.before_sync.as_ref());
        let result = snapshot
            .write(dir, hook, self.cfg.before_write.as_ref())
            .and_then(|()| remove_older(dir, snapshot.index, hook));
        match &result {
            Ok(()) => {}
            // The log still has all that the snapshot would replace.
            Err(e) if is_full(e) => {
                event!(self.log, SNAPSHOT_POSTPONED; "index" => %snapshot.index, "error" => %e);
                self.core().snapshot_not_before = Some(Instant::now() + POSTPONEMENT);
            }
            Err(e) => self.fail(FatalError::Storage {
                action: "write a snapshot to",
                path: dir.clone(),
                reason: e.to_string(),
            }),
        }
        result.is_ok()
    }

    fn adopt(&self, core: &mut Core<S::Reply>, snapshot: Snapshot) -> Arc<Snapshot> {
        let snapshot = Arc::new(snapshot);
        core.adopt_snapshot(&snapshot, self.cfg.retain_entries);
        event!(self.log, LOG_COMPACTED; "snapshot" => %snapshot.index, "first" => %core.log.base().next());
        snapshot
    }
}
