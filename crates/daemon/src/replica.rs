//! Control replica of this instance, and the duties of the leader.
//!
//! A follower here is an instance without a replica, which long-polls a replica for committed
//! commands.
//!
//! Architecture Invariant: only a leader that has applied everything committed before its election
//! and holds a valid leader lease confirms renewals and grants permits. Hence never do two leaders grant
//! permits at the same time.
//!
//! Architecture Invariant: a confirmed renewal names an index that no replica has passed when it was
//! received. The revisions that it names are those that the leader has applied, and older ones if the
//! leader is behind its own commit index.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use shallotdrum_consensus::{CommittedTail, MembershipError, Node, ProposeError, Role};
use shallotdrum_control::{
    Command, CommandError, ControlView, InstanceInfo, LeaderState, PermitReply, Proposal, Reply,
    Session, TimedCommand,
};
use shallotdrum_manifest::Manifest;
use shallotdrum_routes::RouteTable;
use shallotdrum_rpc::{
    CallCounts, Permit, PermitRequest, PermitRow, ProposalTerms, RenewReply, RenewRequest,
    ReplicaPosition, ReplicaStatus, RpcError, SessionRow, WatchEntry, WatchReply,
};
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    Base64Bytes, ControlTimeMs, InstanceId, LogIndex, PermitId, Revision, SessionId, SubmissionId,
    Term,
};

use crate::{
    in_flight::{InFlight, ProposalKey},
    membership::can_remove_voter,
};

/// Interval of the leader's duties; far shorter than a session lease.
const LEADER_TASK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of commands that only advance control time, so that expired state is dropped.
const TICK_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum total size of the commands in one reply to a follower.
const MAX_WATCH_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of commands in one reply to a follower; one that is further behind gets a
/// snapshot instead. Each command may add a thousand routes.
pub(crate) const MAX_WATCH_ENTRIES: usize = 32;

/// Number of attempts to write a route table as a difference before it is written whole; operators
/// send up to eight changes concurrently.
const MAX_ROUTE_DIFF_ATTEMPTS: u32 = 8;

/// Longest time that a change may be expected to wait for earlier commands to be applied; shorter than
/// an attempt of its sender.
const MAX_APPLY_WAIT: Duration = Duration::from_secs(1);

/// The same for reports of crashes, runs and links, so that they hold up everything else by no more.
const MAX_EVIDENCE_WAIT: Duration = Duration::from_millis(200);

/// Range of the time after which a sender whose proposal was refused tries again.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 50..=1_000;

/// Maximum wait of a read for the confirmation that this replica leads; shorter than that of its
/// caller, so that the log tells why there was none.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum wait of a long poll or a permit request.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Silence after which a replica is removed; longer than a restart with a snapshot transfer. A
/// replica that returns later asks to be added again.
const REMOVE_AFTER: Duration = Duration::from_secs(15);

/// Control replica of this instance, with the leader's state while it leads.
pub(crate) struct Replica {
    pub(crate) node: Node<ControlView>,
    view: ControlView,
    removes_silent: bool,
    log: slog::Logger,
    leader: Mutex<Option<Leader>>,
    in_flight: InFlight,
    /// Newest encoded snapshot for followers, and its index.
    encoded_snapshot: Mutex<Option<(LogIndex, Vec<u8>)>>,
}

/// State of the leader for one term.
struct Leader {
    term: Term,
    /// Control time at `clock_start`.
    clock_base: ControlTimeMs,
    clock_start: Instant,
    leader_state: LeaderState,
}

impl Replica {
    /// `removes_silent` lets the leader remove replicas that do not respond for [`REMOVE_AFTER`].
    pub(crate) fn new(
        node: Node<ControlView>,
        view: ControlView,
        removes_silent: bool,
        log: slog::Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            node,
            view,
            removes_silent,
            log,
            leader: Mutex::default(),
            in_flight: InFlight::default(),
            encoded_snapshot: Mutex::default(),
        })
    }

    /// Performs the leader's duties whenever this replica leads, until the task is dropped.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut last_tick = Instant::now();
        loop {
            tokio::time::sleep(LEADER_TASK_INTERVAL).await;
            if !self.enter_term().await {
                continue;
            }
            for command in self.due_commands() {
                self.write_command(command).await;
            }
            if self.removes_silent {
                self.remove_silent().await;
            }
            if last_tick.elapsed() >= TICK_INTERVAL {
                last_tick = Instant::now();
                self.write_command(Command::Tick).await;
            }
        }
    }

    /// Removes one replica that has not responded for [`REMOVE_AFTER`] if the others keep a quorum.
    async fn remove_silent(&self) {
        let silent = self.node.unresponsive_voters(REMOVE_AFTER);
        let voters = self.node.status().members.map_or(0, |members| members.voters.len());
        let Some(lost) = silent.first().filter(|_| can_remove_voter(voters, silent.len())) else {
            return;
        };
        event!(self.log, REPLICA_LOST; "replica" => %lost, "silent_s" => REMOVE_AFTER.as_secs());
        if let Err(error) = self.node.remove_replica(lost.clone()).await {
            event!(self.log, LEADER_COMMAND_FAILED; "error" => %error);
        }
    }

    /// Returns the newest route table, after everything committed before the call is applied here.
    pub(crate) async fn newest_routes(&self) -> Result<Option<RouteTable>, RpcError> {
        self.node.read_index().await.map_err(propose_error)?;
        Ok(self.view.read(|state| state.route_table().map(|table| table.as_ref().clone())))
    }

    /// Waits until this replica has confirmed that it leads; returns an index that includes everything
    /// committed before the call, whether it is applied here or not.
    pub(crate) async fn confirm_index(&self) -> Result<LogIndex, RpcError> {
        match tokio::time::timeout(CONFIRM_TIMEOUT, self.node.confirm_index()).await {
            Ok(Ok(index)) => Ok(index),
            Ok(Err(error)) => Err(propose_error(error)),
            Err(_) => {
                let status = self.node.status();
                event!(self.log, READ_UNCONFIRMED; "term" => status.term.0,
                    "quorum_contact_ms" => status.last_quorum_contact_ms,
                    "commit" => status.commit.0, "applied" => status.applied.0);
                Err(RpcError::Unconfirmed { quorum_contact_ms: status.last_quorum_contact_ms })
            }
        }
    }

    /// Appends a proposal to the log, unless it is in progress already, and returns the reply of the
    /// state machine.
    pub(crate) async fn propose_as(
        self: &Arc<Self>,
        proposal: Proposal,
        terms: Option<ProposalTerms>,
    ) -> Result<Reply, RpcError> {
        let replica = self.clone();
        let Some(ProposalTerms { id, wait_ms }) = terms else {
            // Earlier releases do not know that a log may be overloaded.
            return match replica.propose(proposal, MAX_APPLY_WAIT).await {
                Err(RpcError::Overloaded { .. }) => Err(RpcError::Unavailable),
                result => result,
            };
        };
        let max_wait = Duration::from_millis(wait_ms).min(MAX_APPLY_WAIT);
        let write = async move { replica.propose(proposal, max_wait).await };
        self.in_flight.join_or_write(ProposalKey::Sent(id), write).await
    }

    /// Appends a proposal to the log, unless it would wait longer than `max_wait` to be applied.
    async fn propose(
        self: &Arc<Self>,
        proposal: Proposal,
        max_wait: Duration,
    ) -> Result<Reply, RpcError> {
        let command = match proposal {
            Proposal::Command(Command::OpenSession(info)) => {
                return self.open_session(info, max_wait).await;
            }
            Proposal::Command(command) => match (self.view.read(|s| s.allows(&command)), command) {
                (Err(error), _) => return Ok(Reply::Refused(error)),
                (Ok(()), Command::PutRoutes { table }) => {
                    return self.put_routes(table, max_wait).await;
                }
                (Ok(()), command) => command,
            },
            Proposal::Manifest { submission, base, manifest } => {
                self.manifest_command(submission, base, &manifest).await?
            }
        };
        self.write(command, max_wait).await
    }

    /// Opens a session; first ends the instance's previous one if its lease has expired.
    async fn open_session(
        self: &Arc<Self>,
        info: InstanceInfo,
        max_wait: Duration,
    ) -> Result<Reply, RpcError> {
        let expired = {
            let mut leader = self.leader();
            let leader = leader.as_mut().ok_or_else(|| self.not_leader())?;
            self.view.read(|state| {
                leader.leader_state.expired_session_of(Instant::now(), state, &info.instance)
            })
        };
        if let Some(session) = expired {
            self.write_command(Command::EndSession { session }).await;
        }
        self.write(Command::OpenSession(info), max_wait).await
    }

    /// Makes a route table the current one by writing its difference from the current one.
    ///
    /// If another table is committed in between, the difference no longer applies and is computed
    /// again; after [`MAX_ROUTE_DIFF_ATTEMPTS`] the whole table is written.
    async fn put_routes(
        &self,
        table: Arc<RouteTable>,
        max_wait: Duration,
    ) -> Result<Reply, RpcError> {
        for _ in 0..MAX_ROUTE_DIFF_ATTEMPTS {
            let current = self.view.read(|state| state.route_table().cloned());
            let command = Command::put_routes(current.as_deref(), table.clone())
                .map_err(|error| RpcError::Malformed(error.to_string()))?;
            match self.write(command, max_wait).await? {
                Reply::Refused(CommandError::RoutesConflict { .. }) => {}
                reply => return Ok(reply),
            }
        }
        self.write(Command::PutRoutes { table }, max_wait).await
    }

    async fn write(&self, command: Command, max_wait: Duration) -> Result<Reply, RpcError> {
        let max_wait = match command.is_evidence() {
            true => max_wait.min(MAX_EVIDENCE_WAIT),
            false => max_wait,
        };
        let command = TimedCommand { at: self.control_time()?, command };
        self.node.propose_within(command, max_wait).await.map_err(propose_error)
    }

    /// Returns the commands committed after an index; waits up to `wait_ms` if there are none.
    ///
    /// Fails as soon as this replica is not connected to the leader: it cannot tell whether there are
    /// new commands. A restarted replica must also have caught up with a leader, since its snapshot
    /// may be much older than the state that followers had before they restarted as well.
    pub(crate) async fn watch(
        &self,
        after: LogIndex,
        wait_ms: u64,
    ) -> Result<WatchReply, RpcError> {
        let wait = Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        // The view's change notification is sent before the node's status counts the command as
        // applied, so waiting for it would wake this loop too early.
        let mut status = self.node.watch();
        loop {
            let seen = status.borrow_and_update().clone();
            let now = tokio::time::Instant::now();
            let connected_until = match self.node.connected_until() {
                Some(until) if until > now && seen.is_caught_up => until,
                _ => return Err(RpcError::NotConnected),
            };
            match self.node.committed_after(after, MAX_WATCH_BYTES) {
                CommittedTail::Snapshot { .. } => return Ok(self.follower_snapshot(after)),
                // A snapshot is smaller than a long history of route tables.
                CommittedTail::Entries { entries, .. } if entries.len() > MAX_WATCH_ENTRIES => {
                    return Ok(self.follower_snapshot(after));
                }
                CommittedTail::Entries { entries, last } => {
                    let entries: Vec<_> = entries
                        .into_iter()
                        .filter(|(_, command)| !command.command.is_ledger_only())
                        .map(|(index, command)| WatchEntry { index, command })
                        .collect();
                    if !entries.is_empty() || now >= deadline {
                        return Ok(WatchReply::Entries { entries, through: last.max(after) });
                    }
                }
            }
            // After a timeout the next iteration returns what is available, or fails.
            let applied = status.wait_for(|status| status.applied > seen.applied);
            let _ = tokio::time::timeout_at(deadline.min(connected_until), applied).await;
        }
    }

    /// Position in the log, by which followers choose a replica and callers find the leader.
    pub(crate) fn position(&self) -> ReplicaPosition {
        let status = self.node.status();
        let now = tokio::time::Instant::now();
        let is_connected = self.node.connected_until().is_some_and(|until| until > now);
        ReplicaPosition {
            leader: status.leader.filter(|_| is_connected),
            is_caught_up: status.is_caught_up,
            first: status.first_index,
            applied: status.applied,
        }
    }

    /// Snapshot for a follower that is far behind.
    ///
    /// Followers share one as long as the commands after it are few enough to be sent as such. When
    /// many instances start at the same time, each of them opens a session, and so changes the state
    /// that the next one needs.
    fn follower_snapshot(&self, after: LogIndex) -> WatchReply {
        let retained = self.node.status().first_index;
        let applied = self.view.applied();
        let suffices = |index: LogIndex| {
            index > after
                && index.next() >= retained
                && applied.0.saturating_sub(index.0) <= MAX_WATCH_ENTRIES as u64
        };
        let mut cached = self.encoded_snapshot.lock().unwrap_or_else(PoisonError::into_inner);
        if cached.as_ref().is_none_or(|(index, _)| !suffices(*index)) {
            let (index, state) =
                self.view.read(|state| (state.applied(), state.snapshot_without_ledger()));
            *cached = Some((index, state));
        }
        let (index, state) = cached.clone().expect("encoded above");
        WatchReply::Snapshot { index, state: Base64Bytes(state) }
    }

    /// Renews the lease of a session.
    pub(crate) fn renew(&self, request: RenewRequest) -> Result<RenewReply, RpcError> {
        let RenewRequest { session, revision, permits, format, .. } = request;
        let mut leader = self.leader();
        let current = self.leased_leader(&mut leader)?;
        let committed = self.node.leased_commit().ok_or_else(|| self.not_leader())?;
        let reply = self.view.read(|state| {
            current
                .leader_state
                .renew(Instant::now(), state, session, revision, permits.into_iter().collect())
                .map_err(|_| RpcError::NoSession(session))?;
            current.leader_state.set_format(session, format);
            let term = current.term;
            Ok(RenewReply {
                term,
                revision: state.revision(),
                routes: state.route_revision(),
                applied: state.applied(),
                committed: Some(committed),
            })
        });
        // A leader that was frozen since the check above may have lost its lease.
        self.check_lease()?;
        reply
    }

    /// Grants a weight-store permit as soon as the store's limits allow, within the request's wait.
    pub(crate) async fn permit(&self, request: PermitRequest) -> Result<Permit, RpcError> {
        let session = request.session;
        let wait = Duration::from_millis(request.wait_ms).min(MAX_WATCH_WAIT);
        let deadline = Instant::now() + wait;
        loop {
            let now = Instant::now();
            let answer = {
                let mut leader = self.leader();
                let current = self.leased_leader(&mut leader)?;
                self.view.read(|state| current.leader_state.request_permit(now, state, session))
            };
            match answer {
                Err(_) => return Err(RpcError::NoSession(session)),
                Ok(PermitReply::Granted(id)) => return Ok(Permit { id }),
                Ok(PermitReply::Wait(wait)) if now + wait > deadline => {
                    return Err(RpcError::NoPermit);
                }
                Ok(PermitReply::Wait(wait)) => tokio::time::sleep(wait).await,
            }
        }
    }

    /// Releases a weight-store permit.
    pub(crate) fn release_permit(
        &self,
        session: SessionId,
        permit: PermitId,
    ) -> Result<(), RpcError> {
        let mut leader = self.leader();
        self.leased_leader(&mut leader)?.leader_state.release_permit(session, permit);
        Ok(())
    }

    /// Revision that each session reported with its last renewal.
    pub(crate) fn sessions(&self) -> Result<Vec<SessionRow>, RpcError> {
        let mut leader = self.leader();
        let sessions = self.leased_leader(&mut leader)?.leader_state.sessions();
        Ok(self.view.read(|state| {
            let row = |session: &Session| SessionRow {
                session: session.id,
                revision: sessions.applied_revision(session.id),
                format: Some(sessions.format(session.id)),
            };
            state.sessions().map(row).collect()
        }))
    }

    /// Weight-store permits that are granted and not yet released.
    pub(crate) fn permits(&self) -> Result<Vec<PermitRow>, RpcError> {
        let mut leader = self.leader();
        let permits = self.leased_leader(&mut leader)?.leader_state.permits();
        Ok(permits.outstanding().map(|(permit, session)| PermitRow { permit, session }).collect())
    }

    pub(crate) async fn add_replica(&self, instance: InstanceId) -> Result<(), RpcError> {
        self.node.add_replica(instance).await.map_err(membership_error)
    }

    pub(crate) async fn remove_replica(&self, instance: InstanceId) -> Result<(), RpcError> {
        self.node.remove_replica(instance).await.map_err(membership_error)
    }

    /// Status of this replica as shown to operators.
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

    /// Creates the leader's state for the current term; false if this replica does not lead.
    async fn enter_term(&self) -> bool {
        let status = self.node.status();
        if status.role != Role::Leader {
            *self.leader() = None;
            return false;
        }
        if self.leader().as_ref().is_some_and(|leader| leader.term == status.term) {
            return true;
        }
        // Confirms leadership and applies everything that was committed before the election.
        if self.node.read_index().await.is_err() {
            return false;
        }
        let now = Instant::now();
        let leader = self.view.read(|state| Leader {
            term: status.term,
            clock_base: state.now(),
            clock_start: now,
            leader_state: LeaderState::new(now, status.term, state),
        });
        *self.leader() = Some(leader);
        event!(self.log, LEADER_READY; "term" => status.term.0);
        true
    }

    /// Commands to write now, which end expired sessions and assign unowned groups.
    fn due_commands(&self) -> Vec<Command> {
        let mut leader = self.leader();
        let Some(leader) = leader.as_mut() else { return Vec::new() };
        let members = self.node.status().members;
        let replicas = members.iter().flat_map(|members| &members.voters).map(|member| &member.id);
        let now = Instant::now();
        self.view.read(|state| {
            let mut commands = leader.leader_state.due_commands(now, state);
            commands.extend(leader.leader_state.due_raise(now, state, replicas));
            commands
        })
    }

    /// Writes a command that the leader issues itself; a failure is only logged.
    async fn write_command(self: &Arc<Self>, command: Command) {
        let replica = self.clone();
        let Command::EndSession { session } = command else {
            // A failure is logged there.
            let _ = self.write_own(command).await;
            return;
        };
        let write = async move { replica.write_own(command).await };
        let _ = self.in_flight.join_or_write(ProposalKey::EndSession(session), write).await;
    }

    async fn write_own(&self, command: Command) -> Result<Reply, RpcError> {
        let at = self.control_time()?;
        if let Command::EndSession { session } = command {
            // Much more than the interval of the leader's tasks if the leader itself stood still.
            let overdue = self
                .leader()
                .as_ref()
                .and_then(|leader| leader.leader_state.sessions().overdue(session, Instant::now()));
            event!(self.log, SESSION_EXPIRED; "session" => session.0,
                "overdue_ms" => overdue.map(|overdue| overdue.as_millis() as u64));
        }
        if let Command::RaiseFormat { format } = command {
            let agreed = self.view.read(|state| state.format());
            event!(self.log, FORMAT_RAISED; "from" => agreed.0, "to" => format.0);
        }
        let result = self.node.propose(TimedCommand { at, command }).await;
        if let Err(error) = &result {
            event!(self.log, LEADER_COMMAND_FAILED; "error" => %error);
        }
        result.map_err(propose_error)
    }

    async fn manifest_command(
        &self,
        submission: SubmissionId,
        base: Revision,
        manifest: &Manifest,
    ) -> Result<Command, RpcError> {
        // The difference must be computed from the newest accepted manifest.
        self.node.read_index().await.map_err(propose_error)?;
        Ok(self.view.read(|state| state.submit_command(submission, base, manifest)))
    }

    /// Current control time; only the leader has one.
    fn control_time(&self) -> Result<ControlTimeMs, RpcError> {
        let leader = self.leader();
        let leader = leader.as_ref().ok_or_else(|| self.not_leader())?;
        let elapsed = leader.clock_start.elapsed().as_millis();
        Ok(ControlTimeMs(leader.clock_base.0 + u64::try_from(elapsed).unwrap_or(u64::MAX)))
    }

    /// Returns the leader's state if this replica holds a valid leader lease in the current term.
    fn leased_leader<'a>(
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
        ProposeError::Overloaded { wait } => {
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            let retry_after_ms = wait_ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end());
            RpcError::Overloaded { retry_after_ms }
        }
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
