//! In-memory protocol state of a replica.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use shallotdrum_types::{InstanceId, LogIndex, Term};
use tokio::{sync::oneshot, time::Instant};

use super::{
    apply_rate::ApplyRate,
    status::{Role, Status},
};
use crate::{
    DiskId, Member, Membership, ProposeError, Timing,
    log::{Entry, Log, Payload},
    message::millis_saturating,
    storage::{Opened, Record, Snapshot, WriteSeq, WriterHandle},
};

/// Time in which a healthy log commits an entry, with a disk that syncs slowly and a message lost.
const COMMIT_TIME: Duration = Duration::from_millis(500);

type ReplySender<R> = oneshot::Sender<Result<R, ProposeError>>;

/// Protocol state; `R` is the reply type of the state machine.
pub(super) struct Core<R> {
    pub(super) local: Member,
    pub(super) term: Term,
    pub(super) vote: Option<Member>,
    pub(super) role: RoleState,
    pub(super) leader: Option<InstanceId>,
    /// Time of the last message of a leader, or of the start of this replica.
    pub(super) leader_contact: Option<Instant>,
    /// Replica whose message `leader_contact` tells the time of.
    pub(super) last_leader: Option<Member>,
    pub(super) election_deadline: Instant,
    pub(super) log: Log,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    /// Commit index in the first message of a leader since the start, or the first own entry if
    /// this replica was elected before; see `Status::is_caught_up`.
    pub(super) catch_up_index: Option<LogIndex>,
    is_caught_up: bool,
    /// Configurations with the indexes of their entries; the last one is in force.
    configurations: Vec<(LogIndex, Membership)>,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    /// A snapshot of the own state is being written to disk.
    pub(super) is_taking_snapshot: bool,
    /// Earliest time of the next snapshot, after a full disk refused one.
    pub(super) snapshot_not_before: Option<Instant>,
    /// Received snapshot that is not yet restored to the state machine.
    pub(super) pending_restore: Option<Arc<Snapshot>>,
    /// Snapshot that is being received.
    pub(super) incoming: Option<IncomingSnapshot>,
    /// Proposals that wait for their entry to be applied.
    pub(super) pending_proposals: BTreeMap<LogIndex, ReplySender<R>>,
    pub(super) apply_rate: ApplyRate,
    pub(super) writer: WriterHandle,
    pub(super) must_relearn: bool,
    pub(super) is_stopped: bool,
    timing: Timing,
}

pub(super) enum RoleState {
    Follower,
    Candidate,
    Leader(Box<LeaderState>),
}

/// State that only a leader has.
pub(super) struct LeaderState {
    pub(super) since: Instant,
    /// Previous leader, and the time of its last message.
    predecessor: Option<(Member, Instant)>,
    /// Time of the last periodic check.
    last_check: Instant,
    /// Time of the first check after this replica stood still. Nothing that happened before tells
    /// whether another replica is silent.
    resumed_at: Option<Instant>,
    /// First entry of this leader's term.
    first: LogIndex,
    /// Last entry of this leader that is durable on its own disk.
    own_matched: LogIndex,
    /// Own entries that are not yet durable.
    own_pending: VecDeque<(WriteSeq, LogIndex)>,
    /// Own entries that are not yet applied, with the times at which they were appended.
    waiting: VecDeque<(LogIndex, Instant)>,
    pub(super) progress: HashMap<Member, Progress>,
    /// Data folder that each instance named in its last response.
    pub(super) observed_disks: BTreeMap<InstanceId, DiskId>,
    /// Instances with a running peer task.
    pub(super) peers: BTreeSet<InstanceId>,
    /// A leadership transfer is in progress; proposals are refused.
    pub(super) is_transferring: bool,
    /// The successor was asked to campaign, and may win the election at any time.
    pub(super) is_campaign_sent: bool,
}

/// Replication progress of a replica, as known to the leader.
pub(super) struct Progress {
    /// Next entry to send.
    pub(super) next: LogIndex,
    /// Last entry that is known to be durable on the replica.
    pub(super) matched: LogIndex,
    /// Send time of the newest message that the replica acknowledged.
    pub(super) acked_sent_at: Option<Instant>,
    /// Time of the first message to the replica in this term.
    pub(super) since: Instant,
}

impl LeaderState {
    /// Time for which the oldest own entry has waited to be applied.
    fn oldest_wait(&self) -> Duration {
        self.waiting.front().map_or(Duration::ZERO, |(_, since)| since.elapsed())
    }

    /// Records a periodic check; a pause longer than `still_after` means that this replica stood
    /// still.
    pub(super) fn record_check(&mut self, still_after: Duration) {
        let now = Instant::now();
        if now.duration_since(self.last_check) >= still_after {
            self.resumed_at = Some(now);
        }
        self.last_check = now;
    }

    /// Drops what is known of replicas that are no longer members; one that is added again begins
    /// anew.
    pub(super) fn retain_members(&mut self, membership: &Membership) {
        let is_member = |member: &Member| membership.members().any(|m| m == member);
        self.progress.retain(|member, _| is_member(member));
        self.predecessor.take_if(|(member, _)| !is_member(member));
    }

    /// Time for which a replica has not acknowledged a message although this leader sent some.
    pub(super) fn silence(&self, member: &Member) -> Duration {
        let progress = self.progress.get(member);
        let acked = progress.and_then(|progress| progress.acked_sent_at);
        let heard = || {
            let (leader, at) = self.predecessor.as_ref()?;
            (leader == member).then_some(*at)
        };
        let start = progress.map_or(self.since, |progress| progress.since);
        let contact = acked.or_else(heard).unwrap_or(start);
        self.resumed_at.map_or(contact, |at| at.max(contact)).elapsed()
    }
}

/// Snapshot that is received in chunks.
pub(super) struct IncomingSnapshot {
    pub(super) from: Member,
    pub(super) index: LogIndex,
    pub(super) checksum: u32,
    pub(super) data: Vec<u8>,
    /// Completely received, and being written to disk.
    pub(super) is_installing: bool,
}

impl<R> Core<R> {
    pub(super) fn new(
        timing: &Timing,
        local: Member,
        opened: Opened,
        writer: WriterHandle,
    ) -> Self {
        let snapshot = opened.snapshot.map(Arc::new);
        let start = snapshot.as_ref().map_or(LogIndex(0), |s| s.index);
        let mut core = Self {
            local,
            term: opened.term,
            vote: opened.vote,
            role: RoleState::Follower,
            leader: None,
            leader_contact: None,
            last_leader: None,
            election_deadline: Instant::now(),
            commit: start,
            applied: start,
            catch_up_index: None,
            is_caught_up: false,
            configurations: snapshot.iter().map(|s| (s.index, s.membership.clone())).collect(),
            log: opened.log,
            snapshot,
            is_taking_snapshot: false,
            snapshot_not_before: None,
            pending_restore: None,
            incoming: None,
            pending_proposals: BTreeMap::new(),
            apply_rate: ApplyRate::default(),
            writer,
            must_relearn: opened.must_relearn,
            is_stopped: false,
            timing: timing.clone(),
        };
        let entries: Vec<_> = core.log.after(start).cloned().collect();
        for entry in entries {
            core.record_configuration(&entry);
        }
        if !core.is_fresh() {
            // A message of the leader may have been acknowledged just before the restart, and its
            // lease relies on that acknowledgement.
            core.leader_contact = Some(Instant::now());
        }
        core.reset_election_timer();
        core
    }

    /// Whether the data folder never held any state, so that the replica may take part in a
    /// bootstrap.
    pub(super) fn is_fresh(&self) -> bool {
        !self.must_relearn && self.log.last() == LogIndex(0) && self.configurations.is_empty()
    }

    /// Configuration in force.
    pub(super) fn membership(&self) -> Option<&Membership> {
        self.configurations.last().map(|(_, m)| m)
    }

    /// Configuration in force at the index.
    pub(super) fn membership_at(&self, index: LogIndex) -> Option<&Membership> {
        self.configurations.iter().rev().find(|(i, _)| *i <= index).map(|(_, m)| m)
    }

    /// Whether the configuration in force is committed.
    pub(super) fn is_membership_committed(&self) -> bool {
        self.configurations.last().is_some_and(|(i, _)| *i <= self.commit)
    }

    pub(super) fn is_voter(&self) -> bool {
        self.membership().is_some_and(|m| m.is_voter(&self.local))
    }

    pub(super) fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            RoleState::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }

    /// Fails unless this replica is the leader of the given term.
    pub(super) fn check_leader(&self, term: Term) -> Result<(), ProposeError> {
        if self.is_stopped {
            return Err(ProposeError::Stopped);
        }
        match self.role {
            RoleState::Leader(_) if self.term == term => Ok(()),
            _ => Err(ProposeError::NotLeader { leader: self.other_leader() }),
        }
    }

    /// Current leader, if it is another replica.
    pub(super) fn other_leader(&self) -> Option<InstanceId> {
        self.leader.clone().filter(|id| *id != self.local.id)
    }

    /// Whether this replica is leader and has committed an entry of its term.
    pub(super) fn has_committed_in_term(&self) -> bool {
        matches!(&self.role, RoleState::Leader(leader_state) if self.commit >= leader_state.first)
    }

    /// Restarts the election timer with a new random timeout.
    pub(super) fn reset_election_timer(&mut self) {
        let wait = rand::random_range(self.timing.election_min..self.timing.election_max);
        self.election_deadline = Instant::now() + wait;
    }

    /// Whether this replica had contact with a leader, or as leader with a quorum, within
    /// `election_min`, so that votes must be refused.
    pub(super) fn has_live_leader(&self) -> bool {
        let contact = match self.role {
            RoleState::Leader(_) => self.quorum_contact(),
            _ => self.leader_contact,
        };
        contact.is_some_and(|at| at.elapsed() < self.timing.election_min)
    }

    /// Time until which this replica counts as connected to a leader, unless it hears from one again:
    /// as leader the end of its lease, otherwise `election_min` after the last message of a leader.
    pub(super) fn connected_until(&self) -> Option<Instant> {
        match self.role {
            _ if self.is_stopped => None,
            RoleState::Leader(_) => Some(self.quorum_contact()? + self.timing.lease()),
            _ => Some(self.leader_contact? + self.timing.election_min),
        }
    }

    /// Becomes a follower, in the given term if it is later than the current one.
    pub(super) fn step_down(&mut self, term: Term) {
        if let RoleState::Leader(_) = self.role {
            self.fail_pending_proposals();
            self.reset_election_timer();
        }
        if !matches!(self.role, RoleState::Follower) || term > self.term {
            self.leader = None;
        }
        self.role = RoleState::Follower;
        if term > self.term {
            (self.term, self.vote) = (term, None);
            self.store_vote();
        }
    }

    /// Submits term and vote to the log writer.
    pub(super) fn store_vote(&mut self) -> WriteSeq {
        let record = Record::Vote { term: self.term, vote: self.vote.clone() };
        self.writer.append(vec![record])
    }

    /// Becomes leader of the current term and appends a no-op entry.
    pub(super) fn become_leader(&mut self) {
        let next = self.log.last().next();
        // All entries committed before the election precede the first entry of this term.
        self.catch_up_index.get_or_insert(next);
        self.leader = Some(self.local.id.clone());
        let now = Instant::now();
        self.role = RoleState::Leader(Box::new(LeaderState {
            since: now,
            predecessor: self.last_leader.clone().zip(self.leader_contact),
            last_check: now,
            resumed_at: None,
            first: next,
            own_matched: LogIndex(0),
            own_pending: VecDeque::new(),
            waiting: VecDeque::new(),
            progress: HashMap::new(),
            observed_disks: BTreeMap::new(),
            peers: BTreeSet::new(),
            is_transferring: false,
            is_campaign_sent: false,
        }));
        self.append_own(Payload::Noop);
    }

    /// Expected time until an entry that is appended now is applied here, beside that to commit it: the
    /// rate of applying tells it, and, if the log stands still, the age of the oldest entry that waits.
    pub(super) fn expected_wait(&self) -> Duration {
        let backlog = self.log.last().0.saturating_sub(self.applied.0);
        let oldest = match &self.role {
            RoleState::Leader(leader_state) => leader_state.oldest_wait(),
            _ => Duration::ZERO,
        };
        self.apply_rate.time_for(backlog).max(oldest.saturating_sub(COMMIT_TIME))
    }

    /// Records that entries up to the index are applied.
    pub(super) fn record_applied(&mut self, applied: LogIndex) {
        self.applied = self.applied.max(applied);
        let applied = self.applied;
        if let Some(leader_state) = self.leader_state() {
            while leader_state.waiting.pop_front_if(|(index, _)| *index <= applied).is_some() {}
        }
        self.update_caught_up();
    }

    /// Appends an entry as leader and returns its index.
    pub(super) fn append_own(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last().next();
        let entry = Arc::new(Entry { index, term: self.term, payload });
        let seq = self.append(vec![entry]);
        if let Some(leader_state) = self.leader_state() {
            leader_state.own_pending.push_back((seq, index));
            leader_state.waiting.push_back((index, Instant::now()));
        }
        index
    }

    /// Appends contiguous entries, replacing existing ones from the first index on.
    pub(super) fn append(&mut self, entries: Vec<Arc<Entry>>) -> WriteSeq {
        let Some(first) = entries.first() else { return self.writer.latest() };
        let first = first.index;
        self.configurations.retain(|(i, _)| *i < first);
        for entry in &entries {
            self.record_configuration(entry);
            self.log.truncate_and_append(entry.clone());
        }
        self.writer.append(entries.into_iter().map(Record::Entry).collect())
    }

    fn record_configuration(&mut self, entry: &Entry) {
        if let Payload::Membership(m) = &entry.payload {
            self.configurations.push((entry.index, m.clone()));
        }
    }

    /// Switches to a snapshot that was taken locally or received from the leader, and compacts the
    /// log.
    pub(super) fn adopt_snapshot(&mut self, snapshot: &Arc<Snapshot>, retain: u64) -> WriteSeq {
        if self.log.term(snapshot.index) == Some(snapshot.term) {
            let base = LogIndex(snapshot.index.0.saturating_sub(retain)).max(self.log.base());
            self.log.compact(base);
        } else {
            self.log = Log::new(snapshot.index, snapshot.term);
            self.configurations.clear();
        }
        self.configurations.retain(|(i, _)| *i > snapshot.index);
        self.configurations.insert(0, (snapshot.index, snapshot.membership.clone()));
        self.snapshot = Some(snapshot.clone());
        let mut records = vec![
            Record::Base { index: self.log.base(), term: self.log.base_term() },
            Record::Vote { term: self.term, vote: self.vote.clone() },
        ];
        records.extend(self.log.after(self.log.base()).cloned().map(Record::Entry));
        self.writer.rewrite(records)
    }

    /// Marks the entries written up to `done` as durable on the leader's own disk.
    pub(super) fn advance_own_matched(&mut self, done: WriteSeq) {
        let Some(leader_state) = self.leader_state() else { return };
        while let Some((_, index)) = leader_state.own_pending.pop_front_if(|(seq, _)| *seq <= done)
        {
            leader_state.own_matched = index;
        }
    }

    /// Highest index that is durable on a quorum of voters.
    pub(super) fn quorum_matched(&self) -> Option<LogIndex> {
        let RoleState::Leader(leader_state) = &self.role else { return None };
        self.quorum_value(|m| match leader_state.progress.get(m) {
            _ if *m == self.local => leader_state.own_matched,
            Some(progress) => progress.matched,
            None => LogIndex(0),
        })
    }

    /// Latest send time such that a quorum of voters acknowledged a message sent then or later.
    pub(super) fn quorum_contact(&self) -> Option<Instant> {
        let RoleState::Leader(leader_state) = &self.role else { return None };
        let now = Instant::now();
        self.quorum_value(|m| match leader_state.progress.get(m) {
            _ if *m == self.local => Some(now),
            Some(progress) => progress.acked_sent_at,
            None => None,
        })?
    }

    /// Largest value that a quorum of voters has reached.
    fn quorum_value<V: Ord>(&self, value: impl FnMut(&Member) -> V) -> Option<V> {
        let membership = self.membership()?;
        let mut values: Vec<V> = membership.voters.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(membership.quorum() - 1)
    }

    /// Stops the replica: fails pending proposals and resigns its role.
    pub(super) fn halt(&mut self) {
        self.is_stopped = true;
        self.fail_pending_proposals();
        self.role = RoleState::Follower;
        self.leader = None;
    }

    fn fail_pending_proposals(&mut self) {
        for (_, reply_tx) in std::mem::take(&mut self.pending_proposals) {
            // Fails if the proposer no longer waits.
            let _ = reply_tx.send(Err(ProposeError::Unknown));
        }
    }

    /// Updates whether the state machine has caught up with the leader.
    ///
    /// A new leader may announce an outdated commit index until an entry of its own term is
    /// committed, which commits all entries before it. The last applied entry must therefore be of
    /// the current term.
    pub(super) fn update_caught_up(&mut self) {
        self.is_caught_up |= self.catch_up_index.is_some_and(|index| self.applied >= index)
            && self.log.term(self.applied) == Some(self.term);
    }

    pub(super) fn status(&self, syncs: u64) -> Status {
        let role = match self.role {
            RoleState::Leader(_) => Role::Leader,
            RoleState::Candidate => Role::Candidate,
            RoleState::Follower if self.is_voter() => Role::Follower,
            RoleState::Follower => Role::Learner,
        };
        Status {
            role,
            term: self.term,
            leader: self.leader.clone(),
            commit: self.commit,
            applied: self.applied,
            is_caught_up: self.is_caught_up,
            first_index: self.log.base().next(),
            last_index: self.log.last(),
            snapshot_index: self.snapshot.as_ref().map_or(LogIndex(0), |s| s.index),
            members: self.membership().cloned(),
            disk: self.local.disk,
            last_quorum_contact_ms: self.quorum_contact().map(|at| millis_saturating(at.elapsed())),
            syncs,
            is_stopped: self.is_stopped,
            failure: None,
        }
    }
}
