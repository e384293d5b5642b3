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
    Command, CommandError, ControlView, InstanceInfo, LeaderDuties, PermitAnswer, Proposal, Reply,
    Session, TimedCommand,
};
use shallotdrum_manifest::Manifest;
use shallotdrum_routes::RouteTable;
use shallotdrum_rpc::{
    CallCounts, Permit, PermitRequest, PermitRow, RenewReply, RenewRequest, ReplicaStatus,
    RpcError, SessionRow, WatchEntry, WatchReply,
};
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    Base64Bytes, ControlTimeMs, InstanceId, LogIndex, PermitId, Revision, SessionId, SubmissionId,
    Term,
};

use crate::membership::may_remove;

/// Pause between rounds of the leader's duties; far below the lease of a session.
const DUTY_INTERVAL: Duration = Duration::from_millis(100);

/// Pause between commands that only advance control time, which forgets what has expired.
const TICK_INTERVAL: Duration = Duration::from_secs(60);

/// Most bytes of commands in one answer to a follower.
const MAX_WATCH_BYTES: usize = 4 * 1024 * 1024;

/// Most commands in one answer to a follower; one that is further behind gets the state instead.
/// Each may add a thousand routes.
const MAX_WATCH_ENTRIES: usize = 32;

/// Most differences of one route table that are tried; operators send up to eight changes at a
/// time.
const MAX_ROUTE_DIFFERENCES: u32 = 8;

/// Longest wait that a follower may ask for.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Silence after which a replica counts as lost; longer than a restart with a transfer of the
/// state. One that comes back later joins anew.
const LOST_AFTER: Duration = Duration::from_secs(15);

/// Control replica of this instance.
pub(crate) struct Replica {
    pub(crate) node: Node<ControlView>,
    view: ControlView,
    replaces_lost: bool,
    log: slog::Logger,
    leader: Mutex<Option<Leader>>,
    /// Newest state encoded for followers, and its index.
    follower_state: Mutex<Option<(LogIndex, Vec<u8>)>>,
}

/// Memory of a leader in one term.
struct Leader {
    term: Term,
    clock_base: ControlTimeMs,
    clock_start: Instant,
    duties: LeaderDuties,
}

impl Replica {
    /// `replaces_lost` lets a leader remove replicas that are silent for long.
    pub(crate) fn new(
        node: Node<ControlView>,
        view: ControlView,
        replaces_lost: bool,
        log: slog::Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            node,
            view,
            replaces_lost,
            log,
            leader: Mutex::default(),
            follower_state: Mutex::default(),
        })
    }

    /// Performs the leader's duties whenever this replica leads, until the task is dropped.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut last_tick = Instant::now();
        loop {
            tokio::time::sleep(DUTY_INTERVAL).await;
            if !self.enter_term().await {
                continue;
            }
            for command in self.due() {
                self.duty(command).await;
            }
            if self.replaces_lost {
                self.remove_lost().await;
            }
            if last_tick.elapsed() >= TICK_INTERVAL {
                last_tick = Instant::now();
                self.duty(Command::Tick).await;
            }
        }
    }

    /// Removes one replica that has been silent for long, if the others suffice.
    async fn remove_lost(&self) {
        let silent = self.node.silent_voters(LOST_AFTER);
        let voters = self.node.status().members.map_or(0, |members| members.voters.len());
        let Some(lost) = silent.first().filter(|_| may_remove(voters, silent.len())) else {
            return;
        };
        event!(self.log, REPLICA_LOST; "replica" => %lost, "silent_s" => LOST_AFTER.as_secs());
        if let Err(error) = self.node.remove_replica(lost.clone()).await {
            event!(self.log, DUTY_FAILED; "error" => %error);
        }
    }

    /// Newest route table; waits until everything committed before the call is applied here.
    pub(crate) async fn newest_routes(&self) -> Result<Option<RouteTable>, RpcError> {
        self.node.read_index().await.map_err(propose_error)?;
        Ok(self.view.read(|state| state.route_table().map(|table| table.as_ref().clone())))
    }

    /// Writes a proposal to the log.
    pub(crate) async fn propose(&self, proposal: Proposal) -> Result<Reply, RpcError> {
        let command = match proposal {
            Proposal::Command(Command::OpenSession(info)) => return self.open_session(info).await,
            Proposal::Command(Command::PutRoutes { table }) => return self.put_routes(table).await,
            Proposal::Command(command) => command,
            Proposal::Manifest { submission, base, manifest } => {
                self.manifest_command(submission, base, &manifest).await?
            }
        };
        self.write(command).await
    }

    /// Opens a session; ends the instance's former one first if that has expired.
    async fn open_session(&self, info: InstanceInfo) -> Result<Reply, RpcError> {
        let expired = {
            let mut leader = self.leader();
            let leader = leader.as_mut().ok_or_else(|| self.not_leader())?;
            self.view.read(|state| {
                leader.duties.expired_session_of(Instant::now(), state, &info.instance)
            })
        };
        if let Some(session) = expired {
            self.duty(Command::EndSession { session }).await;
        }
        self.write(Command::OpenSession(info)).await
    }

    /// Puts a route table in force by its difference from the one in force.
    ///
    /// Another table that is committed in between makes the difference useless; it is computed
    /// again, and after some tries the whole table is written.
    async fn put_routes(&self, table: Arc<RouteTable>) -> Result<Reply, RpcError> {
        for _ in 0..MAX_ROUTE_DIFFERENCES {
            let in_force = self.view.read(|state| state.route_table().cloned());
            let command = Command::put_routes(in_force.as_deref(), table.clone())
                .map_err(|error| RpcError::Malformed(error.to_string()))?;
            match self.write(command).await? {
                Reply::Refused(CommandError::RoutesConflict { .. }) => {}
                reply => return Ok(reply),
            }
        }
        self.write(Command::PutRoutes { table }).await
    }

    async fn write(&self, command: Command) -> Result<Reply, RpcError> {
        let command = TimedCommand { at: self.now()?, command };
        self.node.propose(command).await.map_err(propose_error)
    }

    /// Returns committed commands after an index, waiting for one if there are none.
    ///
    /// A restarted replica answers only after it has caught up with a leader: its snapshot may be
    /// much older than what followers had before they restarted too.
    pub(crate) async fn watch(
        &self,
        after: LogIndex,
        wait_ms: u64,
    ) -> Result<WatchReply, RpcError> {
        let wait = Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        // The state machine's own signal comes before the node counts the command as applied, so
        // it would wake this loop too early.
        let mut status = self.node.watch();
        loop {
            let seen = status.borrow_and_update().clone();
            if !seen.is_caught_up {
                let caught_up = status.wait_for(|status| status.is_caught_up);
                match tokio::time::timeout_at(deadline, caught_up).await {
                    Ok(_) => continue,
                    Err(_) => return Err(RpcError::Unavailable),
                }
            }
            match self.node.committed_after(after, MAX_WATCH_BYTES) {
                CommittedTail::Snapshot { .. } => return Ok(self.follower_snapshot()),
                // The state is smaller than a long history of route tables.
                CommittedTail::Entries { entries, .. } if entries.len() > MAX_WATCH_ENTRIES => {
                    return Ok(self.follower_snapshot());
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
            let applied = status.wait_for(|status| status.applied > seen.applied);
            let _ = tokio::time::timeout_at(deadline, applied).await;
        }
    }

    /// State for a follower that is far behind; encoded once for all followers that ask for it.
    fn follower_snapshot(&self) -> WatchReply {
        let index = self.view.applied();
        let mut cached = self.follower_state.lock().unwrap_or_else(PoisonError::into_inner);
        if cached.as_ref().is_none_or(|(encoded, _)| *encoded < index) {
            let (index, state) =
                self.view.read(|state| (state.applied(), state.snapshot_without_ledger()));
            *cached = Some((index, state));
        }
        let (index, state) = cached.clone().expect("encoded above");
        WatchReply::Snapshot { index, state: Base64Bytes(state) }
    }

    /// Confirms that a session is alive.
    pub(crate) fn renew(&self, request: RenewRequest) -> Result<RenewReply, RpcError> {
        let RenewRequest { session, revision, permits, .. } = request;
        let mut leader = self.leader();
        let current = self.confirmed(&mut leader)?;
        let reply = self.view.read(|state| {
            current
                .duties
                .renew(Instant::now(), state, session, revision, permits.into_iter().collect())
                .map_err(|_| RpcError::NoSession(session))?;
            let term = current.term;
            Ok(RenewReply { term, revision: state.revision(), applied: state.applied() })
        });
        // A replica that was frozen since the check above must not confirm.
        self.check_lease()?;
        reply
    }

    /// Grants a weight-store permit as soon as the store's limits allow.
    pub(crate) async fn permit(&self, request: PermitRequest) -> Result<Permit, RpcError> {
        let session = request.session;
        let wait = Duration::from_millis(request.wait_ms).min(MAX_WATCH_WAIT);
        let deadline = Instant::now() + wait;
        loop {
            let now = Instant::now();
            let answer = {
                let mut leader = self.leader();
                let current = self.confirmed(&mut leader)?;
                self.view.read(|state| current.duties.request_permit(now, state, session))
            };
            match answer {
                Err(_) => return Err(RpcError::NoSession(session)),
                Ok(PermitAnswer::Granted(id)) => return Ok(Permit { id }),
                Ok(PermitAnswer::Wait(wait)) if now + wait > deadline => {
                    return Err(RpcError::NoPermit);
                }
                Ok(PermitAnswer::Wait(wait)) => tokio::time::sleep(wait).await,
            }
        }
    }

    /// Takes a weight-store permit back.
    pub(crate) fn release_permit(
        &self,
        session: SessionId,
        permit: PermitId,
    ) -> Result<(), RpcError> {
        let mut leader = self.leader();
        self.confirmed(&mut leader)?.duties.release_permit(session, permit);
        Ok(())
    }

    /// What each session reported with its last renewal.
    pub(crate) fn sessions(&self) -> Result<Vec<SessionRow>, RpcError> {
        let mut leader = self.leader();
        let sessions = self.confirmed(&mut leader)?.duties.sessions();
        Ok(self.view.read(|state| {
            let row = |session: &Session| SessionRow {
                session: session.id,
                revision: sessions.applied_revision(session.id),
            };
            state.sessions().map(row).collect()
        }))
    }

    /// Weight-store permits in use.
    pub(crate) fn permits(&self) -> Result<Vec<PermitRow>, RpcError> {
        let mut leader = self.leader();
        let permits = self.confirmed(&mut leader)?.duties.permits();
        Ok(permits.outstanding().map(|(permit, session)| PermitRow { permit, session }).collect())
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
        let members = status.members.as_ref();
        ReplicaStatus {
            instance: instance.clone(),
            is_leader: status.role == Role::Leader,
            leader: status.leader,
            term: status.term,
            commit: status.commit,
            applied: status.applied,
            first: status.first_index,
            syncs: status.syncs,
            members: members
                .map(|m| m.members().map(ToString::to_string).collect())
                .unwrap_or_default(),
            learners: members
                .map(|m| m.learners.iter().map(ToString::to_string).collect())
                .unwrap_or_default(),
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
        let leader = self.view.read(|state| Leader {
            term: status.term,
            clock_base: state.now(),
            clock_start: now,
            duties: LeaderDuties::new(now, status.term, state),
        });
        *self.leader() = Some(leader);
        event!(self.log, LEADER_READY; "term" => status.term.0);
        true
    }

    /// Commands that are due: ends of expired sessions and assignments of unowned groups.
    fn due(&self) -> Vec<Command> {
        let mut leader = self.leader();
        let Some(leader) = leader.as_mut() else { return Vec::new() };
        self.view.read(|state| leader.duties.due(Instant::now(), state))
    }

    /// Writes a command of the leader's own.
    async fn duty(&self, command: Command) {
        let Ok(at) = self.now() else { return };
        if let Command::EndSession { session } = command {
            event!(self.log, SESSION_EXPIRED; "session" => session.0);
        }
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
        Ok(self.view.read(|state| state.submit_command(submission, base, manifest)))
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
