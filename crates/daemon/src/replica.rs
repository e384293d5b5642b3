//! Control replica of this instance, and the duties of the leader.
//!
//! Architecture Invariant: only a leader that has applied everything committed before its
//! election, and whose leader lease is valid, confirms renewals and grants permits. So a
//! confirmed renewal names the newest accepted manifest, and no two leaders grant at a time.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use shallotdrum_consensus::{CommittedTail, MembershipError, Node, ProposeError, Role};
use shallotdrum_control::{
    Command, ControlTime, ControlView, PermitTable, Proposal, Reply, SessionTable, TimedCommand,
    assignments,
};
use shallotdrum_manifest::Manifest;
use shallotdrum_rpc::{
    Base64Bytes, CallCounts, Permit, PermitRequest, PermitRow, RenewReply, RenewRequest,
    ReplicaStatus, RpcError, SessionRow, WatchEntry, WatchReply,
};
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    ControlTimeMs, InstanceId, LogIndex, PermitId, Revision, SessionId, SubmissionId, Term,
};

/// Pause between rounds of the leader's duties; far below the lease of a session.
const DUTY_INTERVAL: Duration = Duration::from_millis(100);

/// Pause between commands that only advance control time, which forgets what has expired.
const TICK_INTERVAL: Duration = Duration::from_secs(60);

/// Most bytes of commands in one answer to a follower.
const MAX_WATCH_BYTES: usize = 4 * 1024 * 1024;

/// Longest wait that a follower may ask for.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Control replica of this instance.
pub(crate) struct Replica {
    pub(crate) node: Node<ControlView>,
    view: ControlView,
    log: slog::Logger,
    leader: Mutex<Option<Leader>>,
}

/// Memory of a leader in one term.
struct Leader {
    term: Term,
    clock_base: ControlTimeMs,
    clock_start: Instant,
    sessions: SessionTable,
    permits: PermitTable,
}

impl Replica {
    pub(crate) fn new(node: Node<ControlView>, view: ControlView, log: slog::Logger) -> Arc<Self> {
        Arc::new(Self { node, view, log, leader: Mutex::default() })
    }

    /// Performs the leader's duties whenever this replica leads, until the task is dropped.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut last_tick = Instant::now();
        loop {
            tokio::time::sleep(DUTY_INTERVAL).await;
            if !self.enter_term().await {
                continue;
            }
            self.end_expired_sessions().await;
            self.assign_groups().await;
            if last_tick.elapsed() >= TICK_INTERVAL {
                last_tick = Instant::now();
                self.duty(Command::Tick).await;
            }
        }
    }

    /// Writes a proposal to the log.
    pub(crate) async fn propose(&self, proposal: Proposal) -> Result<Reply, RpcError> {
        let command = match proposal {
            Proposal::Command(command) => command,
            Proposal::Manifest { submission, base, manifest } => {
                self.manifest_command(submission, base, &manifest).await?
            }
        };
        let command = TimedCommand { at: self.now()?, command };
        self.node.propose(command).await.map_err(propose_error)
    }

    /// Returns committed commands after an index, waiting for one if there are none.
    pub(crate) async fn watch(
        &self,
        after: LogIndex,
        wait_ms: u64,
    ) -> Result<WatchReply, RpcError> {
        let wait = Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        let mut changed = self.view.changed();
        loop {
            match self.node.committed_after(after, MAX_WATCH_BYTES) {
                CommittedTail::Snapshot { .. } => {
                    return Ok(self.view.read(|state| WatchReply::Snapshot {
                        index: state.applied(),
                        state: Base64Bytes(state.snapshot_without_ledger()),
                    }));
                }
                CommittedTail::Entries { entries, last } => {
                    let entries: Vec<_> = entries
                        .into_iter()
                        .filter(|(_, command)| !command.command.is_ledger_only())
                        .map(|(index, command)| WatchEntry { index, command })
                        .collect();
                    if !entries.is_empty() || tokio::time::Instant::now() >= deadline {
                        return Ok(WatchReply::Entries { entries, through: last.max(after) });
                    }
                }
            }
            // On a time-out the next round returns what there is.
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }

    /// Confirms that a session is alive.
    pub(crate) fn renew(&self, request: RenewRequest) -> Result<RenewReply, RpcError> {
        let mut leader = self.leader();
        let current = self.confirmed(&mut leader)?;
        let now = Instant::now();
        if self.view.read(|state| state.session(request.session).is_none()) {
            return Err(RpcError::NoSession(request.session));
        }
        current
            .sessions
            .renew(request.session, now, request.revision, request.is_draining)
            .map_err(|_| RpcError::NoSession(request.session))?;
        current.permits.renew(request.session, now, &request.permits);
        let reply = self.view.read(|state| RenewReply {
            revision: state.revision(),
            applied: state.applied(),
        });
        // A replica that was frozen since the check above must not confirm.
        self.check_lease()?;
        Ok(reply)
    }

    /// Grants a weight-store permit as soon as the store's limits allow.
    pub(crate) async fn permit(&self, request: PermitRequest) -> Result<Permit, RpcError> {
        let wait = Duration::from_millis(request.wait_ms).min(MAX_WATCH_WAIT);
        let deadline = Instant::now() + wait;
        loop {
            let retry_at = {
                let mut leader = self.leader();
                let current = self.confirmed(&mut leader)?;
                let store = self
                    .view
                    .read(|state| state.manifest().map(|manifest| manifest.weight_store.clone()))
                    .ok_or(RpcError::NoPermit)?;
                match current.permits.acquire(request.session, Instant::now(), &store) {
                    Ok(id) => return Ok(Permit { id }),
                    Err(retry_at) => retry_at,
                }
            };
            if retry_at > deadline {
                return Err(RpcError::NoPermit);
            }
            tokio::time::sleep_until(retry_at.into()).await;
        }
    }

    /// Takes a weight-store permit back.
    pub(crate) fn release_permit(
        &self,
        session: SessionId,
        permit: PermitId,
    ) -> Result<(), RpcError> {
        let mut leader = self.leader();
        self.confirmed(&mut leader)?.permits.release(session, permit);
        Ok(())
    }

    /// What each session reported with its last renewal.
    pub(crate) fn sessions(&self) -> Result<Vec<SessionRow>, RpcError> {
        let mut leader = self.leader();
        let current = self.confirmed(&mut leader)?;
        let rows = current.sessions.reported().map(|(session, revision, is_draining)| SessionRow {
            session,
            revision,
            is_draining,
        });
        Ok(rows.collect())
    }

    /// Weight-store permits in use.
    pub(crate) fn permits(&self) -> Result<Vec<PermitRow>, RpcError> {
        let mut leader = self.leader();
        let current = self.confirmed(&mut leader)?;
        let rows = current.permits.held().map(|(permit, session)| PermitRow { permit, session });
        Ok(rows.collect())
    }

    pub(crate) async fn add_replica(&self, instance: InstanceId) -> Result<(), RpcError> {
        self.node.add_replica(instance).await.map_err(membership_error)
    }

    pub(crate) async fn remove_replica(&self, instance: InstanceId) -> Result<(), RpcError> {
        self.node.remove_replica(instance).await.map_err(membership_error)
    }

    /// State for operators.
    pub(crate) fn status(&self, instance: &InstanceId, calls: CallCounts) -> ReplicaStatus {
        let status = self.node.status();
        ReplicaStatus {
            instance: instance.clone(),
            is_leader: status.role == Role::Leader,
            leader: status.leader,
            term: status.term,
            commit: status.commit,
            applied: status.applied,
            first: status.first_index,
            syncs: status.syncs,
            members: status.members.iter().map(ToString::to_string).collect(),
            calls,
        }
    }

    /// Prepares the leader's memory for the current term; false if this replica does not lead.
    async fn enter_term(&self) -> bool {
        let status = self.node.status();
        if status.role != Role::Leader {
            *self.leader() = None;
            return false;
        }
        if self.leader().as_ref().is_some_and(|leader| leader.term == status.term) {
            return true;
        }
        // Confirms leadership and applies all that was committed before the election.
        if self.node.read_index().await.is_err() {
            return false;
        }
        let now = Instant::now();
        let (clock_base, sessions) = self.view.read(|state| {
            (state.now(), state.sessions().map(|session| session.id).collect::<Vec<_>>())
        });
        let mut leader = Leader {
            term: status.term,
            clock_base,
            clock_start: now,
            sessions: SessionTable::default(),
            permits: PermitTable::default(),
        };
        leader.sessions.reset(now, sessions.iter().copied());
        leader.permits.reset(now, sessions.iter().copied());
        *self.leader() = Some(leader);
        event!(self.log, LEADER_READY; "term" => status.term.0);
        true
    }

    async fn end_expired_sessions(&self) {
        let expired = {
            let mut leader = self.leader();
            let Some(leader) = leader.as_mut() else { return };
            let now = Instant::now();
            let open: Vec<_> =
                self.view.read(|state| state.sessions().map(|session| session.id).collect());
            leader.sessions.retain(now, open.iter().copied());
            leader.permits.retain(now, &open);
            leader.sessions.expired(now)
        };
        for session in expired {
            event!(self.log, SESSION_EXPIRED; "session" => session.0);
            self.duty(Command::EndSession { session }).await;
        }
    }

    async fn assign_groups(&self) {
        let assigned = {
            let leader = self.leader();
            let Some(leader) = leader.as_ref() else { return };
            let live = leader.sessions.assignable();
            self.view.read(|state| assignments(state, &live))
        };
        for (group, session) in assigned {
            self.duty(Command::AssignGroup { group, session }).await;
        }
    }

    /// Writes a command of the leader's own.
    async fn duty(&self, command: Command) {
        let Ok(at) = self.now() else { return };
        if let Err(error) = self.node.propose(TimedCommand { at, command }).await {
            event!(self.log, DUTY_FAILED; "error" => %error);
        }
    }

    async fn manifest_command(
        &self,
        submission: SubmissionId,
        base: Revision,
        manifest: &Manifest,
    ) -> Result<Command, RpcError> {
        // The difference must start from the newest accepted manifest.
        self.node.read_index().await.map_err(propose_error)?;
        let delta = self.view.read(|state| match state.manifest() {
            Some(current) if state.revision() == base => current.diff(manifest),
            None if state.revision() == base => Manifest::default().diff(manifest),
            // Refused as a conflict, or answered as a resend, when it is applied.
            _ => Default::default(),
        });
        let digest = manifest.digest();
        Ok(Command::SubmitManifest { submission, base, delta: Box::new(delta), digest })
    }

    /// Control time of a leader.
    fn now(&self) -> Result<ControlTimeMs, RpcError> {
        let leader = self.leader();
        let leader = leader.as_ref().ok_or_else(|| self.not_leader())?;
        let elapsed = leader.clock_start.elapsed().as_millis();
        Ok(ControlTimeMs(leader.clock_base.0 + u64::try_from(elapsed).unwrap_or(u64::MAX)))
    }

    /// Leader's memory, if this replica certainly leads now.
    fn confirmed<'a>(
        &self,
        leader: &'a mut MutexGuard<'_, Option<Leader>>,
    ) -> Result<&'a mut Leader, RpcError> {
        self.check_lease()?;
        let term = self.node.status().term;
        leader.as_mut().filter(|leader| leader.term == term).ok_or_else(|| self.not_leader())
    }

    fn check_lease(&self) -> Result<(), RpcError> {
        match self.node.leader_lease_valid() {
            true => Ok(()),
            false => Err(self.not_leader()),
        }
    }

    fn not_leader(&self) -> RpcError {
        RpcError::NotLeader { leader: self.node.status().leader }
    }

    fn leader(&self) -> MutexGuard<'_, Option<Leader>> {
        self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn propose_error(error: ProposeError) -> RpcError {
    match error {
        ProposeError::NotLeader { leader } => RpcError::NotLeader { leader },
        ProposeError::Stopped => RpcError::Unavailable,
        ProposeError::Unknown => RpcError::Unknown,
        error @ ProposeError::TooLarge { .. } => RpcError::Malformed(error.to_string()),
    }
}

fn membership_error(error: MembershipError) -> RpcError {
    match error {
        MembershipError::NotLeader { leader } => RpcError::NotLeader { leader },
        MembershipError::Unknown => RpcError::Unknown,
        error => RpcError::Membership(error.to_string()),
    }
}
