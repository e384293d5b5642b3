//! Apply task, which applies committed entries to the state machine.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use shallotdrum_types::LogIndex;

use super::{CommittedTail, Node, Shared};
use crate::{
    FatalError, ProposeError, StateMachine,
    log::{Entry, Payload},
    storage::Snapshot,
};

/// Approximate size of the batches in which entries are read from the log.
const APPLY_BATCH_BYTES: usize = 256 << 10;

/// Time after which a batch is interrupted between two entries. It bounds the wait of readers of the
/// state machine, and on a runtime with one thread that of heartbeats; far below a heartbeat interval.
const APPLY_SLICE: Duration = Duration::from_millis(10);

/// Next action of the apply task.
enum Work {
    Restore(Arc<Snapshot>),
    Apply(Vec<Arc<Entry>>),
}

/// Applies committed entries and restores received snapshots, in log order.
pub(super) async fn run<S: StateMachine>(shared: Arc<Shared<S>>) {
    loop {
        while let Some(work) = next_work(&shared) {
            let result = match work {
                Work::Restore(snapshot) => shared.restore(&snapshot),
                Work::Apply(entries) => shared.apply(&entries),
            };
            if let Err(error) = result {
                shared.fail(error);
                return;
            }
            shared.compact_if_due().await;
            // A replica that applies its log after a restart would otherwise answer no heartbeat.
            tokio::task::yield_now().await;
        }
        shared.apply_wake.notified().await;
    }
}

fn next_work<S: StateMachine>(shared: &Shared<S>) -> Option<Work> {
    let mut core = shared.core();
    if core.is_stopped || shared.has_failed() {
        return None;
    }
    if let Some(snapshot) = core.pending_restore.take() {
        return Some(Work::Restore(snapshot));
    }
    let mut entries = core.log.batch(core.applied, APPLY_BATCH_BYTES);
    entries.retain(|e| e.index <= core.commit);
    if entries.is_empty() {
        core.apply_rate.pause();
        return None;
    }
    core.apply_rate.start();
    Some(Work::Apply(entries))
}

impl<S: StateMachine> Shared<S> {
    fn restore(&self, snapshot: &Snapshot) -> Result<(), FatalError> {
        let mut machine = self.machine.write().unwrap_or_else(PoisonError::into_inner);
        machine.restore(&snapshot.data).map_err(|e| FatalError::Decode {
            what: "snapshot",
            index: snapshot.index,
            reason: e.to_string(),
        })?;
        machine.advance(snapshot.index);
        drop(machine);
        let mut core = self.core();
        core.applied = snapshot.index;
        core.update_caught_up();
        self.publish(&core);
        Ok(())
    }

    /// Applies entries for a slice of time, at least one of them.
    fn apply(&self, entries: &[Arc<Entry>]) -> Result<(), FatalError> {
        let start = Instant::now();
        let mut replies = Vec::new();
        let mut count = 0;
        let mut applied = LogIndex(0);
        let mut machine = self.machine.write().unwrap_or_else(PoisonError::into_inner);
        for entry in entries {
            match &entry.payload {
                Payload::Command(bytes) => {
                    let command = decode_command::<S>(entry.index, bytes)?;
                    replies.push((entry.index, machine.apply(entry.index, command)));
                }
                _ => machine.advance(entry.index),
            }
            applied = entry.index;
            count += 1;
            if start.elapsed() >= APPLY_SLICE {
                break;
            }
        }
        drop(machine);
        let mut core = self.core();
        core.apply_rate.record(count);
        core.record_applied(applied);
        for (index, reply) in replies {
            let Some(reply_tx) = core.pending_proposals.remove(&index) else { continue };
            let result = if self.has_failed() { Err(ProposeError::Unknown) } else { Ok(reply) };
            // Fails if the proposer no longer waits.
            let _ = reply_tx.send(result);
        }
        self.publish(&core);
        Ok(())
    }
}

fn decode_command<S: StateMachine>(
    index: LogIndex,
    bytes: &[u8],
) -> Result<S::Command, FatalError> {
    S::decode(bytes).map_err(|e| FatalError::Decode {
        what: "command",
        index,
        reason: e.to_string(),
    })
}

impl<S: StateMachine> Node<S> {
    /// Applied commands after the index, or a snapshot if some of them are compacted.
    ///
    /// Reads about `max_bytes` of the log, but at least one entry.
    pub fn committed_after(&self, after: LogIndex, max_bytes: usize) -> CommittedTail<S> {
        let (entries, applied) = {
            let core = self.0.core();
            match &core.snapshot {
                Some(snapshot) if after < core.log.base() => {
                    let (index, bytes) = (snapshot.index, snapshot.data.clone());
                    return CommittedTail::Snapshot { index, bytes };
                }
                _ => (core.log.batch(after, max_bytes), core.applied),
            }
        };
        let mut last = after;
        let mut commands = Vec::new();
        for entry in entries.iter().take_while(|e| e.index <= applied) {
            if let Payload::Command(bytes) = &entry.payload {
                match decode_command::<S>(entry.index, bytes) {
                    Ok(command) => commands.push((entry.index, command)),
                    Err(error) => {
                        self.0.fail(error);
                        break;
                    }
                }
            }
            last = entry.index;
        }
        CommittedTail::Entries { entries: commands, last }
    }
}
