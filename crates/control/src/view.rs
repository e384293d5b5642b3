//! Shared handle to the control state of a process.
//!
//! Architecture Invariant: only one task writes the state, either the consensus node through
//! `StateMachine` or the watch stream through `apply_on_follower`, `advance_applied` and
//! `restore_follower`. Expensive computations run without the write lock, so readers never wait for
//! them.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Instant,
};

use shallotdrum_consensus::StateMachine;
use shallotdrum_types::{Epoch, GroupId, LogIndex};
use tokio::sync::watch;

use crate::{
    ApplyCosts, Command, ControlState, DecodeError, NEWEST_FORMAT, Reply, TimedCommand,
    ownerships::Ownerships,
};

/// Shared handle to the control state; clones refer to the same state.
#[derive(Clone, Debug)]
pub struct ControlView {
    state: Arc<RwLock<ControlState>>,
    /// Index of the last applied command, published after the change to the state is visible.
    applied: watch::Sender<LogIndex>,
    /// Commands that were applied since the last `take_costs`.
    costs: Arc<Mutex<ApplyCosts>>,
    ownerships: Arc<Mutex<Ownerships>>,
}

impl Default for ControlView {
    fn default() -> Self {
        Self::new()
    }
}

impl ControlView {
    /// Creates a handle to an empty state, before the first command.
    pub fn new() -> Self {
        let (applied, _) = watch::channel(LogIndex::default());
        let ownerships = Arc::new(Mutex::new(Ownerships::new(Instant::now())));
        Self { state: Arc::default(), applied, costs: Arc::default(), ownerships }
    }

    /// Calls `f` under the read lock; `f` must be short because it blocks writers.
    pub fn read<T>(&self, f: impl FnOnce(&ControlState) -> T) -> T {
        f(&self.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Index of the last command applied.
    pub fn applied(&self) -> LogIndex {
        *self.applied.borrow()
    }

    /// Subscribes to the index of the last applied command.
    pub fn changed(&self) -> watch::Receiver<LogIndex> {
        self.applied.subscribe()
    }

    /// Time since which no ownership of a group began but that of `epoch`, by the commands that were
    /// applied here; absent if it is not known.
    pub fn quiet_since(&self, group: &GroupId, epoch: Epoch) -> Option<Instant> {
        self.ownerships().quiet_since(group, epoch)
    }

    fn ownerships(&self) -> MutexGuard<'_, Ownerships> {
        self.ownerships.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what applying commands has cost since the last call.
    pub fn take_costs(&self) -> ApplyCosts {
        std::mem::take(&mut self.costs.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies a command from the watch stream on a follower.
    ///
    /// Commands that were already applied and ledger commands have no effect on the state.
    pub fn apply_on_follower(&self, index: LogIndex, command: TimedCommand) {
        if index <= self.applied() {
            return;
        }
        if command.command.is_ledger_only() {
            return self.advance_applied(index);
        }
        self.apply_command(index, command);
    }

    /// Advances to an index up to which no further commands will be applied.
    pub fn advance_applied(&self, index: LogIndex) {
        self.write(|state| state.skip_to(index));
    }

    /// Replaces the state of a follower with a snapshot, unless the snapshot is older.
    pub fn restore_follower(&self, snapshot: &[u8]) -> Result<(), DecodeError> {
        let restored = ControlState::from_snapshot(snapshot)?;
        self.write(|state| {
            if restored.applied() >= state.applied() {
                self.replace(state, restored);
            }
        });
        Ok(())
    }

    /// Encodes a snapshot for followers.
    pub fn snapshot_without_ledger(&self) -> Vec<u8> {
        self.read(ControlState::without_ledger).snapshot_without_ledger()
    }

    fn apply_command(&self, index: LogIndex, command: TimedCommand) -> Reply {
        let (kind, start) = (command.command.kind(), Instant::now());
        let prepared = self.read(|state| state.prepare(&command.command));
        let assigned = match &command.command {
            Command::AssignGroup { group, .. } => Some(group.clone()),
            _ => None,
        };
        let reply = self.write(|state| {
            let reply = state.apply_prepared(index, command, prepared);
            if let Some((id, group)) = assigned.and_then(|id| Some((id.clone(), state.group(&id)?)))
            {
                // Before the change is published, so that the owner finds it.
                let mut ownerships = self.ownerships();
                ownerships.record(&id, group.epoch, Instant::now());
                ownerships.retain(|id| state.group(id).is_some());
            }
            reply
        });
        self.costs.lock().unwrap_or_else(PoisonError::into_inner).add(kind, start.elapsed());
        reply
    }

    /// Replaces the state with that of a snapshot, which does not tell the ownerships before it.
    fn replace(&self, state: &mut ControlState, restored: ControlState) {
        *state = restored;
        *self.ownerships() = Ownerships::new(Instant::now());
    }

    fn write<T>(&self, f: impl FnOnce(&mut ControlState) -> T) -> T {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut state);
        let index = state.applied();
        drop(state);
        self.applied.send_if_modified(|applied| std::mem::replace(applied, index) != index);
        result
    }
}

impl StateMachine for ControlView {
    type Command = TimedCommand;
    type Reply = Reply;
    type DecodeError = DecodeError;

    fn encode(command: &TimedCommand) -> Vec<u8> {
        // Encoding cannot fail: the keys of all maps are strings.
        serde_json::to_vec(command).expect("a command is representable as JSON")
    }

    fn decode(bytes: &[u8]) -> Result<TimedCommand, DecodeError> {
        let command: TimedCommand = serde_json::from_slice(bytes)?;
        match command.command.format() {
            format if format > NEWEST_FORMAT => Err(DecodeError::Format(format)),
            _ => Ok(command),
        }
    }

    fn apply(&mut self, index: LogIndex, command: TimedCommand) -> Reply {
        self.apply_command(index, command)
    }

    fn advance(&mut self, index: LogIndex) {
        self.advance_applied(index);
    }

    fn snapshot(&self) -> Vec<u8> {
        // Encode a copy, so that the state is not locked meanwhile.
        self.read(ControlState::clone).snapshot()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), DecodeError> {
        let restored = ControlState::from_snapshot(bytes)?;
        self.write(|state| self.replace(state, restored));
        Ok(())
    }
}
