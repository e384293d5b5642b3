//! A replica of the log.
//!
//! Architecture Invariant: `Core` is changed only under its lock, which is never held across an
//! await or a file operation. Records are submitted to the log writer under the same lock, so the
//! file has the order of the changes; their tickets are awaited after the lock is released.
//!
//! Architecture Invariant: the state machine is changed only by the apply task.

mod apply;
mod bootstrap;
mod core;
mod election;
mod membership;
mod peer;
mod receive;
mod snapshots;
mod status;

use std::{
    future::Future,
    panic::AssertUnwindSafe,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, atomic::Ordering},
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

use self::core::{Core, RoleState};
use crate::{
    FatalError, Member, NodeConfig, ProposeError, StartError, StateMachine, Transport,
    TransportError,
    log::{MAX_COMMAND_BYTES, Payload},
    message::{Answer, Envelope, MAX_TERM, Request, decode, encode},
    storage::{self, Ticket, Writer},
};

type CallFuture = Pin<Box<dyn Future<Output = Result<Vec<u8>, TransportError>> + Send>>;
type Caller = Box<dyn Fn(InstanceId, Vec<u8>) -> CallFuture + Send + Sync>;

/// A replica of the log; clones share it.
pub struct Node<S: StateMachine>(Arc<Shared<S>>);

impl<S: StateMachine> Clone for Node<S> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// State shared by the node's tasks.
struct Shared<S: StateMachine> {
    cfg: NodeConfig,
    me: Member,
    core: Mutex<Core<S::Reply>>,
    machine: RwLock<S>,
    call: Caller,
    log: Logger,
    writer: Mutex<Option<Writer>>,
    durable: watch::Receiver<Ticket>,
    syncs: Arc<std::sync::atomic::AtomicU64>,
    failure: watch::Sender<Option<FatalError>>,
    status: watch::Sender<Status>,
    /// Committed entries or a received snapshot wait to be applied.
    apply_wake: Notify,
    /// Counts reasons to send to the peers before the next heartbeat is due.
    peer_wake: watch::Sender<u64>,
    /// Counts acknowledgements of the peers.
    acks: watch::Sender<u64>,
    tasks: Mutex<JoinSet<()>>,
    /// Held while snapshot files are written or removed.
    snapshot_files: tokio::sync::Mutex<()>,
}

/// The node is stopped or its disk failed.
#[derive(Debug)]
struct Halted;

impl<S: StateMachine> Node<S> {
    /// Opens the data folder, restores the state machine and starts the node's tasks.
    pub async fn start<T: Transport>(
        cfg: NodeConfig,
        machine: S,
        transport: T,
        log: Logger,
    ) -> Result<Self, StartError> {
        check(&cfg)?;
        let dir = cfg.data_dir.clone();
        let transport = Arc::new(transport);
        let call: Caller = Box::new(move |to, message| {
            let transport = transport.clone();
            Box::pin(async move { transport.call(&to, message).await })
        });
        let load = tokio::task::spawn_blocking(move || Shared::load(cfg, machine, call, log));
        let shared = load.await.map_err(|_| StartError::Interrupted { path: dir })??;
        let shared = Arc::new(shared);
        shared.spawn("election", election::run(shared.clone()));
        shared.spawn("apply", apply::run(shared.clone()));
        shared.spawn("disk", watch_disk(shared.clone()));
        Ok(Self(shared))
    }

    /// Appends a command to the log; returns its result once it is committed and applied here.
    pub async fn propose(&self, command: S::Command) -> Result<S::Reply, ProposeError> {
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
                RoleState::Leader(leading) if !leading.is_transferring => (),
                _ => return Err(ProposeError::NotLeader { leader: core.leader_elsewhere() }),
            }
            let index = core.append_own(Payload::Command(bytes.into()));
            let (tx, rx) = oneshot::channel();
            core.waiters.insert(index, tx);
            rx
        };
        self.0.wake_peers();
        rx.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Handles a peer's message and returns the answer.
    pub async fn handle(&self, message: Vec<u8>) -> Vec<u8> {
        encode(&self.0.receive(&message).await)
    }

    /// Confirms leadership with a quorum and waits until the state includes everything that was
    /// committed before the call.
    pub async fn read_index(&self) -> Result<LogIndex, ProposeError> {
        let mut acks = self.0.acks.subscribe();
        let started = tokio::time::Instant::now();
        let term = self.0.core().term;
        self.0.wake_peers();
        let mut status = self.watch();
        let index = loop {
            {
                let core = self.0.core();
                core.check_leader(term)?;
                let is_confirmed = core.quorum_contact().is_some_and(|at| at >= started);
                // Before the leader's first own entry, it doesn't know what is committed.
                if is_confirmed && core.has_committed_in_term() {
                    break core.commit;
                }
            }
            // The status changes when leadership is lost.
            tokio::select! {
                _ = acks.changed() => (),
                _ = status.changed() => (),
            }
        };
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

    /// Reads the state machine; the closure must be short.
    pub fn with_state<R>(&self, f: impl FnOnce(&S) -> R) -> R {
        f(&self.0.machine.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Current status.
    pub fn status(&self) -> Status {
        self.0.status_now(&self.0.core())
    }

    /// Status that changes with role, leader, term, members and progress.
    pub fn watch(&self) -> watch::Receiver<Status> {
        self.0.status.subscribe()
    }

    /// Whether this replica belongs to the voters and its leader, or a quorum, has been heard of
    /// lately; a replica that was removed while it was cut off is not told.
    pub fn takes_part(&self) -> bool {
        let core = self.0.core();
        core.is_voter() && (core.hears_leader() || matches!(core.role, RoleState::Leader(_)))
    }

    /// Voters that a leader has not heard of for this time; empty on other replicas.
    pub fn silent_voters(&self, silence: std::time::Duration) -> Vec<InstanceId> {
        let core = self.0.core();
        let (RoleState::Leader(leading), Some(membership)) = (&core.role, core.membership()) else {
            return Vec::new();
        };
        let is_silent = |m: &&Member| {
            let acked = leading.progress.get(*m).and_then(|progress| progress.acked);
            **m != self.0.me && acked.map_or(leading.since, |at| at).elapsed() >= silence
        };
        membership.voters.iter().filter(is_silent).map(|m| m.id.clone()).collect()
    }

    /// Whether this replica is certainly the only leader now.
    ///
    /// Its replicas refuse votes for `election_min` after each of its messages. The lease counts
    /// from the send time of the newest message that a quorum acknowledged.
    pub fn leader_lease_valid(&self) -> bool {
        let core = self.0.core();
        match &core.role {
            RoleState::Leader(leading) if !leading.is_transferring && !core.is_stopped => {
                core.quorum_contact().is_some_and(|at| at.elapsed() < self.0.cfg.timing.lease())
            }
            _ => false,
        }
    }

    /// Stops the node; it answers and acknowledges nothing any more.
    ///
    /// A node that is dropped without it keeps running. Its folder can be opened again afterwards.
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
            // The thread ends with the jobs submitted before the stop, or has failed already.
            let _ = tokio::task::spawn_blocking(move || writer.thread.join()).await;
        }
        self.0.publish(&self.0.core());
        event!(self.0.log, REPLICA_STOPPED);
    }

    /// Resolves when the disk fails or the log can't be decoded; the process should then exit.
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
    /// Loads the data folder and restores the state machine.
    fn load(
        cfg: NodeConfig,
        mut machine: S,
        call: Caller,
        log: Logger,
    ) -> Result<Self, StartError> {
        let (opened, lock) = storage::open(&cfg)?;
        let me = Member { id: cfg.id.clone(), disk: opened.disk };
        if let Some(snapshot) = &opened.snapshot {
            machine.restore(&snapshot.data).map_err(|e| StartError::Restore {
                path: cfg.data_dir.clone(),
                source: Box::new(e),
            })?;
        }
        if let Some(path) = &opened.set_aside {
            event!(log, LOG_SET_ASIDE; "folder" => %path.display());
        }
        if opened.truncated_bytes > 0 {
            event!(log, LOG_TAIL_CUT; "bytes" => opened.truncated_bytes);
        }
        event!(log, REPLICA_STARTED; "member" => %me,
            "term" => %opened.term, "last" => %opened.log.last(),
            "snapshot" => %opened.snapshot.as_ref().map_or(LogIndex(0), |s| s.index));
        let failure = watch::Sender::new(None);
        let generation = opened.generation;
        let (handle, writer) = Writer::start(&cfg, generation, lock, failure.clone())?;
        let core = Core::new(&cfg.timing, me.clone(), opened, handle);
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
            snapshot_files: tokio::sync::Mutex::new(()),
            cfg,
            me,
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

    /// Starts a task that ends with the node; its panic stops the node.
    fn spawn(
        self: &Arc<Self>,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let shared = self.clone();
        let mut tasks = self.lock_tasks();
        // Frees the results of ended tasks.
        while tasks.try_join_next().is_some() {}
        tasks.spawn(async move {
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                shared.fail(FatalError::Panicked { task: name });
            }
        });
    }

    /// Makes the peer tasks send now.
    fn wake_peers(&self) {
        self.peer_wake.send_modify(|n| *n += 1);
    }

    /// Publishes the status if it changed.
    fn publish(&self, core: &Core<S::Reply>) {
        let next = self.status_now(core);
        self.status.send_if_modified(|status| {
            let is_changed = !status.is_same_progress(&next);
            *status = next;
            is_changed
        });
    }

    fn status_now(&self, core: &Core<S::Reply>) -> Status {
        let mut status = core.status(self.syncs.load(Ordering::Relaxed));
        status.failure = self.failure.borrow().as_ref().map(ToString::to_string);
        status
    }

    /// Waits until the ticket's records are synced.
    async fn wait_durable(&self, ticket: Ticket) -> Result<(), Halted> {
        let mut durable = self.durable.clone();
        durable.wait_for(|done| *done >= ticket).await.map_err(|_| Halted)?;
        Ok(())
    }

    fn has_failed(&self) -> bool {
        self.failure.borrow().is_some()
    }

    /// Stops acknowledging because of the error.
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

    /// Sends a request to a replica and returns its answer; `None` if there is no usable one.
    async fn ask(&self, to: &Member, request: Request) -> Option<Answer> {
        self.ask_instance(&to.id, Some(to), request).await.ok()
    }

    async fn ask_instance(
        &self,
        to: &InstanceId,
        member: Option<&Member>,
        request: Request,
    ) -> Result<Answer, String> {
        let envelope = Envelope {
            from: self.me.clone(),
            to: to.clone(),
            to_disk: member.map(|m| m.disk),
            cluster: self.core().membership().map(|m| m.cluster),
            request,
        };
        let call = (self.call)(to.clone(), encode(&envelope));
        let answer = tokio::time::timeout(self.cfg.timing.call_timeout, call)
            .await
            .map_err(|_| format!("no answer within {:?}", self.cfg.timing.call_timeout))?
            .map_err(|e| e.to_string())?;
        let answer: Answer = decode(&answer).map_err(|e| e.to_string())?;
        if answer.term > MAX_TERM {
            return Err(format!("impossible term {}", answer.term));
        }
        match &answer.from {
            Some(from) if from.id == *to => Ok(answer),
            Some(from) => Err(format!("instance {} answered", from.id)),
            None => Err(answer.refusal().map_or_else(String::new, ToString::to_string)),
        }
    }
}

/// Follows the log writer: counts the leader's own entries as stored, and reports failures.
async fn watch_disk<S: StateMachine>(shared: Arc<Shared<S>>) {
    let mut durable = shared.durable.clone();
    while durable.changed().await.is_ok() {
        let done = *durable.borrow_and_update();
        let mut core = shared.core();
        core.own_entries_stored(done);
        shared.advance_commit(&mut core);
    }
    let failure = shared.failure.borrow().clone();
    match failure {
        Some(error) => shared.fail(error),
        None if shared.core().is_stopped => (),
        None => shared.fail(FatalError::Panicked { task: "log writer" }),
    }
}

fn check(cfg: &NodeConfig) -> Result<(), StartError> {
    let timing = &cfg.timing;
    let problem = if timing.heartbeat.is_zero() || timing.heartbeat * 2 > timing.election_min {
        "the heartbeat interval must be above zero and at most half of election_min"
    } else if timing.election_min >= timing.election_max {
        "election_min must be below election_max"
    } else if cfg.snapshot_every == 0 {
        "snapshot_every must be above zero"
    } else {
        return Ok(());
    };
    Err(StartError::Settings { reason: problem })
}
