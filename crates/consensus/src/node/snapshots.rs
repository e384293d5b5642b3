//! Taking and installing snapshots.
//!
//! Architecture Invariant: a snapshot file is durable before the log is compacted up to it.

use std::sync::{Arc, PoisonError};

use bytes::Bytes;

use super::{Shared, core::Core};
use shallotdrum_telemetry::event;

use crate::{
    FatalError, StateMachine,
    message::ChunkRequest,
    storage::{Snapshot, remove_older},
};

impl<S: StateMachine> Shared<S> {
    /// Takes a snapshot if `snapshot_every` entries were applied since the last one.
    pub(super) async fn compact_if_due(self: &Arc<Self>) {
        {
            let core = self.core();
            let newest = core.snapshot.as_ref().map_or(0, |s| s.index.0);
            let is_due = core.applied.0.saturating_sub(newest) >= self.cfg.snapshot_every;
            if !is_due || core.pending_restore.is_some() {
                return;
            }
        }
        let shared = self.clone();
        let task = tokio::task::spawn_blocking(move || {
            // The state machine doesn't change here: only the apply task modifies it, and that
            // waits for this one.
            let (index, position) = {
                let core = shared.core();
                let position = core.log.term(core.applied);
                (core.applied, position.zip(core.membership_at(core.applied).cloned()))
            };
            let Some((term, membership)) = position else { return };
            let machine = shared.machine.read().unwrap_or_else(PoisonError::into_inner);
            let data = Bytes::from(machine.snapshot());
            drop(machine);
            let snapshot = Snapshot { index, term, membership, data };
            if !shared.store(&snapshot) {
                return;
            }
            let mut core = shared.core();
            if !core.is_stopped && core.snapshot.as_ref().is_none_or(|s| s.index < index) {
                shared.adopt(&mut core, snapshot);
            }
        });
        if task.await.is_err() {
            self.fail(FatalError::Panicked { task: "snapshot" });
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
        let result =
            snapshot.write(dir, hook).and_then(|()| remove_older(dir, snapshot.index, hook));
        if let Err(e) = &result {
            self.fail(FatalError::Storage {
                action: "write a snapshot to",
                path: dir.clone(),
                reason: e.to_string(),
            });
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
