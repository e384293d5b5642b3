//! A replica of the log.
//!
//! Architecture Invariant: `Core` is modified only under its lock, which is never held across an
//! await point or a file operation. Records are submitted to the log writer under the same lock,
//! so they are written in the order of the changes. The lock is released before waiting until they
//! are durable.
//!
//! Architecture Invariant: only the apply task modifies the state machine.

mod apply;
mod apply_rate;
mod bootstrap;
mod core;
mod election;
mod membership;
mod peer;
mod receive;
mod snapshots;
mod status;
mod suspension;

use std::{
    future::Future,
    panic::AssertUnwindSafe,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, atomic::Ordering},
    time::Duration,
};

use futures_util::FutureExt;
use shallotdrum_telemetry::event;
use shallotdrum_types::{InstanceId, LogIndex};
use slog::Logger;
use tokio::{
    sync::{Notify, oneshot, watch},
    task::JoinSet,
};

pub use self::status::{CommittedTail, Role, Status};

use self::{
    core::{Core, RoleState},
    suspension::SuspensionWatch,
};
use crate::{
    FatalError, Member, NodeConfig, ProposeError, StartError, StateMachine, Transport,
    TransportError,
    log::{MAX_COMMAND_BYTES, Payload},
    message::{Envelope, MAX_TERM, Request, ResponseEnvelope, decode, encode},
    storage::{self, WriteSeq, Writer},
};

/// Payload from which a message may take longer than an election timeout on a slow machine or link, so
/// that heartbeats are sent beside it.
const LARGE_PAYLOAD_BYTES: usize = 32 << 10;

/// Rate in bytes per second at which a large message is sent, received and stored at least: a tenth
/// of a link of 10 Mbit/s, or of a core that decodes a megabyte each second.
const SLOWEST_TRANSFER: f64 = 125_000.0;

type CallFuture = Pin<Box<dyn Future<Output = Result<Vec<u8>, TransportError>> + Send>>;
type TransportFn = Box<dyn Fn(InstanceId, Vec<u8>) -> CallFuture + Send + Sync>;

/// Handle to a replica of the log; clones refer to the same replica.
pub struct Node<S: StateMachine>(Arc<Shared<S>>);

impl<S: StateMachine> Clone for Node<S> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// State shared by all tasks of a node.
struct Shared<S: StateMachine> {
    cfg: NodeConfig,
    local: Member,
    core: Mutex<Core<S::Reply>>,
    machine: RwLock<S>,
    call: TransportFn,
    log: Logger,
    writer: Mutex<Option<Writer>>,
    durable: watch::Receiver<WriteSeq>,
    syncs: Arc<std::sync::atomic::AtomicU64>,
    failure: watch::Sender<Option<FatalError>>,
    status: watch::Sender<Status>,
    /// Wakes the apply task when there are committed entries or a received snapshot to apply.
    apply_wake: Notify,
    /// Incremented to make the peer tasks send before the next heartbeat is due.
    peer_wake: watch::Sender<u64>,
    /// Incremented on each acknowledgement of a peer.
    acks: watch::Sender<u64>,
    tasks: Mutex<JoinSet<()>>,
    suspension: SuspensionWatch,
    /// Locked while snapshot files are written or removed.
    snapshot_files: tokio::sync::Mutex<()>,
}

/// The node stopped or its storage failed before a write was durable.
#[derive(Debug)]
struct Halted;

impl<S: StateMachine> Node<S> {
    /// Opens the data folder, restores the state machine and starts the tasks of the node.
    pub async fn start<T: Transport>(
        cfg: NodeConfig,
        machine: S,
        transport: T,
        log: Logger,
    ) -> Result<Self, StartError> {
        check_config(&cfg)?;
        let dir = cfg.data_dir.clone();
        let transport = Arc::new(transport);
        let call: TransportFn = Box::new(move |to, message| {
            let transport = transport.clone();
            Box::pin(async move { transport.call(&to, message).await })
        });
        let load = tokio::task::spawn_blocking(move || Shared::load(cfg, machine, call, log));
        let shared = load.await.map_err(|_| StartError::Interrupted { path: dir })??;
        let shared = Arc::new(shared);
        shared.spawn("election", election::run(shared.clone()));
        shared.spawn("apply", apply::run(shared.clone()));
        shared.spawn("disk", watch_writer(shared.clone()));
        Ok(Self(shared))
    }

    /// Appends a command to the log and waits until it is committed and applied on this replica.
    pub async fn propose(&self, command: S::Command) -> Result<S::Reply, ProposeError> {
        self.propose_within(command, Duration::MAX).await
    }

    /// Like `propose`, but refuses a command that would be applied later than `max_wait`, as far as is
    /// known, so that the log does not grow faster than it is applied.
    pub async fn propose_within(
        &self,
        command: S::Command,
        max_wait: Duration,
    ) -> Result<S::Reply, ProposeError> {
        let bytes = S::encode(&command);
        if bytes.len() > MAX_COMMAND_BYTES {
            return Err(ProposeError::TooLarge { bytes: bytes.len(), limit: MAX_COMMAND_BYTES });
        }
        let rx = {
            let mut core = self.0.core();
            if core.is_stopped {
                return Err(ProposeError::Stopped);
            }
            match &core.role {
                RoleState::Leader(leader_state) if !leader_state.is_transferring => (),
                _ => return Err(ProposeError::NotLeader { leader: core.other_leader() }),
            }
            let wait = core.expected_wait();
            if wait > max_wait {
                return Err(ProposeError::Overloaded { wait });
            }
            let index = core.append_own(Payload::Command(bytes.into()));
            let (tx, rx) = oneshot::channel();
            core.pending_proposals.insert(index, tx);
            rx
        };
        self.0.wake_peers();
        rx.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Handles an encoded message of another replica and returns the encoded response.
    pub async fn handle(&self, message: Vec<u8>) -> Vec<u8> {
        encode(&self.0.handle_message(&message).await)
    }

    /// Confirms leadership with a quorum and waits until everything that was committed before the
    /// call is applied, so that a subsequent read is linearizable. Returns the confirmed index.
    pub async fn read_index(&self) -> Result<LogIndex, ProposeError> {
        let index = self.confirm_index().await?;
        let mut status = self.watch();
        loop {
            {
                let core = self.0.core();
                if core.is_stopped {
                    return Err(ProposeError::Stopped);
                }
                if core.applied >= index {
                    return Ok(index);
                }
            }
            if status.changed().await.is_err() {
                return Err(ProposeError::Stopped);
            }
        }
    }

    /// Confirms leadership with a quorum. Returns an index before which everything is that was committed
    /// before the call; a replica that has applied it, this one or another, can serve a linearizable
    /// read.
    pub async fn confirm_index(&self) -> Result<LogIndex, ProposeError> {
        let mut acks = self.0.acks.subscribe();
        let started = tokio::time::Instant::now();
        let term = self.0.core().term;
        self.0.wake_peers();
        let mut status = self.watch();
        loop {
            {
                let core = self.0.core();
                core.check_leader(term)?;
                let is_confirmed = core.quorum_contact().is_some_and(|at| at >= started);
                // A new leader knows the commit index only once an entry of its term is committed.
                if is_confirmed && core.has_committed_in_term() {
                    return Ok(core.commit);
                }
            }
            // A loss of leadership also changes the status.
            tokio::select! {
                _ = acks.changed() => (),
                _ = status.changed() => (),
            }
        }
    }

    /// Reads the state machine; the closure must be short, because it blocks the apply task.
    pub fn with_state<R>(&self, f: impl FnOnce(&S) -> R) -> R {
        f(&self.0.machine.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Status at the time of the call.
    pub fn status(&self) -> Status {
        self.0.status_now(&self.0.core())
    }

    /// Receiver of the status, notified of every change except in `last_quorum_contact_ms` and
    /// `syncs`.
    pub fn watch(&self) -> watch::Receiver<Status> {
        self.0.status.subscribe()
    }

    /// Whether this replica is a voter and leads or has recently received a message of the leader.
    ///
    /// The contact is required because a replica that was removed while it was disconnected still
    /// finds itself among the voters.
    pub fn is_active_member(&self) -> bool {
        let core = self.0.core();
        core.is_voter() && (core.has_live_leader() || matches!(core.role, RoleState::Leader(_)))
    }

    /// Voters that have not acknowledged a message for this time; empty unless this replica leads.
    pub fn unresponsive_voters(&self, silence: Duration) -> Vec<InstanceId> {
        let core = self.0.core();
        let (RoleState::Leader(leader_state), Some(membership)) = (&core.role, core.membership())
        else {
            return Vec::new();
        };
        let is_silent = |m: &&Member| **m != self.0.local && leader_state.silence(m) >= silence;
        membership.voters.iter().filter(is_silent).map(|m| m.id.clone()).collect()
    }

    /// Whether this replica holds the leader lease, so that no other replica can be leader.
    ///
    /// Replicas refuse votes for `election_min` after each message of the leader. The lease starts
    /// at the send time of the newest message that a quorum acknowledged. After a suspension of the
    /// machine, that message must have been sent since.
    pub fn leader_lease_valid(&self) -> bool {
        let resumed = self.0.suspension.last_noticed();
        let core = self.0.core();
        match &core.role {
            RoleState::Leader(leader_state)
                if !leader_state.is_transferring && !core.is_stopped =>
            {
                core.quorum_contact().is_some_and(|at| {
                    resumed.is_none_or(|resumed| at >= resumed)
                        && at.elapsed() < self.0.cfg.timing.lease()
                })
            }
            _ => false,
        }
    }

    /// Index up to which replicas may have applied the log by now; `None` unless this replica holds the
    /// leader lease. It may have applied less itself.
    pub fn leased_commit(&self) -> Option<LogIndex> {
        let commit = {
            let core = self.0.core();
            core.has_committed_in_term().then_some(core.commit)
        };
        // The lease covers the moment of the read, since it is checked after it.
        commit.filter(|_| self.leader_lease_valid())
    }

    /// Time until which this replica counts as connected to the leader, unless it hears from it
    /// again; `None` if it has stopped or had no contact yet.
    ///
    /// A replica that is connected learns of each committed command within a heartbeat. One that is
    /// cut off from the leader is not connected `election_min` later.
    pub fn connected_until(&self) -> Option<tokio::time::Instant> {
        self.0.core().connected_until()
    }

    /// Stops the node: it refuses all further messages and proposals.
    ///
    /// Dropping a node doesn't stop it. After the shutdown its data folder can be opened again.
    pub async fn shutdown(&self) {
        {
            let mut core = self.0.core();
            core.halt();
            core.writer.stop();
        }
        self.0.lock_tasks().abort_all();
        drop(self.0.snapshot_files.lock().await);
        let writer = self.0.writer.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(writer) = writer {
            // The thread ends after the submitted writes, or has already ended with a failure.
            let _ = tokio::task::spawn_blocking(move || writer.thread.join()).await;
        }
        self.0.publish(&self.0.core());
        event!(self.0.log, REPLICA_STOPPED);
    }

    /// Resolves when the node fails and can't continue; the process should then exit.
    pub fn failed(&self) -> impl Future<Output = FatalError> + Send + 'static {
        let mut failure = self.0.failure.subscribe();
        async move {
            loop {
                if let Some(error) = failure.borrow_and_update().clone() {
                    return error;
                }
                if failure.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        }
    }
}

impl<S: StateMachine> Shared<S> {
    /// Loads the data folder, restores the state machine and starts the log writer.
    fn load(
        cfg: NodeConfig,
        mut machine: S,
        call: TransportFn,
        log: Logger,
    ) -> Result<Self, StartError> {
        let (opened, lock) = storage::open(&cfg)?;
        let local = Member { id: cfg.id.clone(), disk: opened.disk };
        if let Some(snapshot) = &opened.snapshot {
            machine.restore(&snapshot.data).map_err(|e| StartError::Restore {
                path: cfg.data_dir.clone(),
                source: Box::new(e),
            })?;
            machine.advance(snapshot.index);
        }
        if let Some(path) = &opened.set_aside {
            event!(log, DAMAGED_FILES_MOVED; "folder" => %path.display());
        }
        if opened.truncated_bytes > 0 {
            event!(log, LOG_TAIL_CUT; "bytes" => opened.truncated_bytes);
        }
        event!(log, REPLICA_STARTED; "member" => %local,
            "term" => %opened.term, "last" => %opened.log.last(),
            "snapshot" => %opened.snapshot.as_ref().map_or(LogIndex(0), |s| s.index));
        let failure = watch::Sender::new(None);
        let generation = opened.generation;
        let (handle, writer) = Writer::start(&cfg, generation, lock, failure.clone(), log.clone())?;
        let core = Core::new(&cfg.timing, local.clone(), opened, handle);
        Ok(Self {
            status: watch::Sender::new(core.status(0)),
            durable: writer.durable.clone(),
            syncs: writer.syncs.clone(),
            writer: Mutex::new(Some(writer)),
            core: Mutex::new(core),
            machine: RwLock::new(machine),
            apply_wake: Notify::new(),
            peer_wake: watch::Sender::new(0),
            acks: watch::Sender::new(0),
            tasks: Mutex::new(JoinSet::new()),
            suspension: SuspensionWatch::new(),
            snapshot_files: tokio::sync::Mutex::new(()),
            cfg,
            local,
            call,
            log,
            failure,
        })
    }

    fn core(&self) -> MutexGuard<'_, Core<S::Reply>> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_tasks(&self) -> MutexGuard<'_, JoinSet<()>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Spawns a task that is aborted at shutdown; a panic in it makes the node fail.
    fn spawn(
        self: &Arc<Self>,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let shared = self.clone();
        let mut tasks = self.lock_tasks();
        // Removes finished tasks from the set.
        while tasks.try_join_next().is_some() {}
        tasks.spawn(async move {
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                shared.fail(FatalError::Panicked { task: name });
            }
        });
    }

    /// Makes the peer tasks send their next message immediately.
    fn wake_peers(&self) {
        self.peer_wake.send_modify(|n| *n += 1);
    }

    /// Updates the published status, and notifies the receivers if it changed.
    fn publish(&self, core: &Core<S::Reply>) {
        let next = self.status_now(core);
        self.status.send_if_modified(|status| {
            let is_changed = !status.eq_ignoring_counters(&next);
            *status = next;
            is_changed
        });
    }

    fn status_now(&self, core: &Core<S::Reply>) -> Status {
        let mut status = core.status(self.syncs.load(Ordering::Relaxed));
        status.failure = self.failure.borrow().as_ref().map(ToString::to_string);
        status
    }

    /// Waits until the write is durable.
    async fn wait_durable(&self, seq: WriteSeq) -> Result<(), Halted> {
        let mut durable = self.durable.clone();
        durable.wait_for(|done| *done >= seq).await.map_err(|_| Halted)?;
        Ok(())
    }

    fn has_failed(&self) -> bool {
        self.failure.borrow().is_some()
    }

    /// Stops the replica because of the error, and reports the first such error.
    fn fail(&self, error: FatalError) {
        event!(self.log, REPLICA_FAILED; "error" => %error);
        self.failure.send_if_modified(|failure| {
            let is_first = failure.is_none();
            failure.get_or_insert(error);
            is_first
        });
        let mut core = self.core();
        core.halt();
        self.publish(&core);
    }

    /// Sends a request to a replica; `None` if there is no valid response of its instance.
    async fn call_member(&self, to: &Member, request: Request) -> Option<ResponseEnvelope> {
        self.call_instance(&to.id, Some(to), request).await.ok()
    }

    async fn call_instance(
        &self,
        to: &InstanceId,
        member: Option<&Member>,
        request: Request,
    ) -> Result<ResponseEnvelope, String> {
        let limit = self.cfg.timing.call_timeout + transfer_time(request.payload_bytes());
        let envelope = Envelope {
            from: self.local.clone(),
            to: to.clone(),
            to_disk: member.map(|m| m.disk),
            cluster: self.core().membership().map(|m| m.cluster),
            request,
        };
        let call = (self.call)(to.clone(), encode(&envelope));
        let response = tokio::time::timeout(limit, call)
            .await
            .map_err(|_| format!("no response within {limit:?}"))?
            .map_err(|e| e.to_string())?;
        let response: ResponseEnvelope = decode(&response).map_err(|e| e.to_string())?;
        if response.term > MAX_TERM {
            return Err(format!("term {} exceeds the maximum", response.term));
        }
        match &response.from {
            Some(from) if from.id == *to => Ok(response),
            Some(from) => Err(format!("unexpected instance {} responded", from.id)),
            None => Err(response.refusal().map_or_else(String::new, ToString::to_string)),
        }
    }
}

/// Time allowed for the payload of a message, besides that of a small one.
fn transfer_time(payload_bytes: usize) -> Duration {
    match payload_bytes {
        0..LARGE_PAYLOAD_BYTES => Duration::ZERO,
        large => Duration::from_secs_f64(large as f64 / SLOWEST_TRANSFER),
    }
}

/// Advances the leader's own match index when writes become durable, and reports a failure of the
/// log writer.
async fn watch_writer<S: StateMachine>(shared: Arc<Shared<S>>) {
    let mut durable = shared.durable.clone();
    while durable.changed().await.is_ok() {
        let done = *durable.borrow_and_update();
        let mut core = shared.core();
        core.advance_own_matched(done);
        shared.advance_commit(&mut core);
    }
    let failure = shared.failure.borrow().clone();
    match failure {
        Some(error) => shared.fail(error),
        None if shared.core().is_stopped => (),
        None => shared.fail(FatalError::Panicked { task: "log writer" }),
    }
}

fn check_config(cfg: &NodeConfig) -> Result<(), StartError> {
    let timing = &cfg.timing;
    let problem = if timing.heartbeat.is_zero() || timing.heartbeat * 2 > timing.election_min {
        "the heartbeat interval must be above zero and at most half of election_min"
    } else if timing.election_min >= timing.election_max {
        "election_min must be below election_max"
    } else if cfg.snapshot_every == 0 {
        "snapshot_every must be above zero"
    } else if timing.replace_after <= timing.election_max {
        "replace_after must be above election_max"
    } else {
        return Ok(());
    };
    Err(StartError::Settings { reason: problem })
}
