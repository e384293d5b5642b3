//! The replica's state in memory.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
};

use shallotdrum_types::{InstanceId, LogIndex, Term};
use tokio::{sync::oneshot, time::Instant};

use super::status::{Role, Status};
use crate::{
    DiskId, Member, Membership, ProposeError, Timing,
    log::{Entry, Log, Payload},
    message::millis,
    storage::{Opened, Record, Snapshot, Ticket, WriterHandle},
};

type Waiter<R> = oneshot::Sender<Result<R, ProposeError>>;

/// State of the replica; `R` is the state machine's reply.
pub(super) struct Core<R> {
    pub(super) me: Member,
    pub(super) term: Term,
    pub(super) vote: Option<Member>,
    pub(super) role: RoleState,
    pub(super) leader: Option<InstanceId>,
    /// When a message of the current leader came, or this replica started.
    pub(super) leader_contact: Option<Instant>,
    pub(super) election_deadline: Instant,
    pub(super) log: Log,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    /// What a leader had committed when this replica first heard of it since its start.
    pub(super) first_commit: Option<LogIndex>,
    is_caught_up: bool,
    /// Configurations by the index of their entry; the last one is in force.
    configurations: Vec<(LogIndex, Membership)>,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    /// Received snapshot that the state machine has yet to take over.
    pub(super) pending_restore: Option<Arc<Snapshot>>,
    /// Snapshot that is being received.
    pub(super) incoming: Option<Incoming>,
    /// Proposers, by the index of their entry.
    pub(super) waiters: BTreeMap<LogIndex, Waiter<R>>,
    pub(super) writer: WriterHandle,
    pub(super) must_relearn: bool,
    pub(super) is_stopped: bool,
    timing: Timing,
}

pub(super) enum RoleState {
    Follower,
    Candidate,
    Leader(Leading),
}

/// What only a leader keeps.
pub(super) struct Leading {
    pub(super) since: Instant,
    /// First entry of the leader's term.
    first: LogIndex,
    /// Last of its entries that its own disk holds.
    own_stored: LogIndex,
    own_pending: VecDeque<(Ticket, LogIndex)>,
    pub(super) progress: HashMap<Member, Progress>,
    /// Folder that each instance last answered with.
    pub(super) observed: BTreeMap<InstanceId, DiskId>,
    /// Instances that have a peer task.
    pub(super) peers: BTreeSet<InstanceId>,
    /// Another replica is to take over; proposals are refused.
    pub(super) is_transferring: bool,
    /// The successor was asked to campaign, and may win at any time.
    pub(super) is_campaign_sent: bool,
}

/// What the leader knows about a replica.
pub(super) struct Progress {
    pub(super) next: LogIndex,
    pub(super) matched: LogIndex,
    /// Send time of the newest acknowledged message.
    pub(super) acked: Option<Instant>,
}

/// A snapshot that arrives in chunks.
pub(super) struct Incoming {
    pub(super) from: Member,
    pub(super) index: LogIndex,
    pub(super) checksum: u32,
    pub(super) data: Vec<u8>,
    /// Complete and being written.
    pub(super) is_installing: bool,
}

impl<R> Core<R> {
    pub(super) fn new(timing: &Timing, me: Member, opened: Opened, writer: WriterHandle) -> Self {
        let snapshot = opened.snapshot.map(Arc::new);
        let start = snapshot.as_ref().map_or(LogIndex(0), |s| s.index);
        let mut core = Self {
            me,
            term: opened.term,
            vote: opened.vote,
            role: RoleState::Follower,
            leader: None,
            leader_contact: None,
            election_deadline: Instant::now(),
            commit: start,
            applied: start,
            first_commit: None,
            is_caught_up: false,
            configurations: snapshot.iter().map(|s| (s.index, s.membership.clone())).collect(),
            log: opened.log,
            snapshot,
            pending_restore: None,
            incoming: None,
            waiters: BTreeMap::new(),
            writer,
            must_relearn: opened.must_relearn,
            is_stopped: false,
            timing: timing.clone(),
        };
        let entries: Vec<_> = core.log.after(start).cloned().collect();
        for entry in entries {
            core.note_configuration(&entry);
        }
        if !core.is_fresh() {
            // A message of the leader may have come just before the restart; the leader's lease
            // counts on it.
            core.leader_contact = Some(Instant::now());
        }
        core.postpone_election();
        core
    }

    /// Whether the folder never held anything and may take part in a bootstrap.
    pub(super) fn is_fresh(&self) -> bool {
        !self.must_relearn && self.log.last() == LogIndex(0) && self.configurations.is_empty()
    }

    /// Configuration in force.
    pub(super) fn membership(&self) -> Option<&Membership> {
        self.configurations.last().map(|(_, m)| m)
    }

    /// Configuration after the index.
    pub(super) fn membership_at(&self, index: LogIndex) -> Option<&Membership> {
        self.configurations.iter().rev().find(|(i, _)| *i <= index).map(|(_, m)| m)
    }

    /// Whether the configuration in force is committed.
    pub(super) fn is_membership_committed(&self) -> bool {
        self.configurations.last().is_some_and(|(i, _)| *i <= self.commit)
    }

    pub(super) fn is_voter(&self) -> bool {
        self.membership().is_some_and(|m| m.is_voter(&self.me))
    }

    pub(super) fn leading(&mut self) -> Option<&mut Leading> {
        match &mut self.role {
            RoleState::Leader(leading) => Some(leading),
            _ => None,
        }
    }

    /// Checks that this replica leads the term.
    pub(super) fn check_leader(&self, term: Term) -> Result<(), ProposeError> {
        if self.is_stopped {
            return Err(ProposeError::Stopped);
        }
        match self.role {
            RoleState::Leader(_) if self.term == term => Ok(()),
            _ => Err(ProposeError::NotLeader { leader: self.leader_elsewhere() }),
        }
    }

    /// The leader, if it is another replica.
    pub(super) fn leader_elsewhere(&self) -> Option<InstanceId> {
        self.leader.clone().filter(|id| *id != self.me.id)
    }

    pub(super) fn has_committed_in_term(&self) -> bool {
        matches!(&self.role, RoleState::Leader(leading) if self.commit >= leading.first)
    }

    /// Starts the wait for the leader's next message anew.
    pub(super) fn postpone_election(&mut self) {
        let wait = rand::random_range(self.timing.election_min..self.timing.election_max);
        self.election_deadline = Instant::now() + wait;
    }

    /// Whether a live leader is known, so that votes must be refused.
    pub(super) fn hears_leader(&self) -> bool {
        let contact = match self.role {
            RoleState::Leader(_) => self.quorum_contact(),
            _ => self.leader_contact,
        };
        contact.is_some_and(|at| at.elapsed() < self.timing.election_min)
    }

    /// Adopts a newer term, or gives up a role in the present one.
    pub(super) fn step_down(&mut self, term: Term) {
        if let RoleState::Leader(_) = self.role {
            self.fail_waiters();
            self.postpone_election();
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

    /// Records term and vote.
    pub(super) fn store_vote(&mut self) -> Ticket {
        let record = Record::Vote { term: self.term, vote: self.vote.clone() };
        self.writer.append(vec![record])
    }

    /// Becomes the leader of the term.
    pub(super) fn become_leader(&mut self) {
        let next = self.log.last().next();
        // Everything that was committed before the election precedes the first own entry.
        self.first_commit.get_or_insert(next);
        self.leader = Some(self.me.id.clone());
        self.role = RoleState::Leader(Leading {
            since: Instant::now(),
            first: next,
            own_stored: LogIndex(0),
            own_pending: VecDeque::new(),
            progress: HashMap::new(),
            observed: BTreeMap::new(),
            peers: BTreeSet::new(),
            is_transferring: false,
            is_campaign_sent: false,
        });
        self.append_own(Payload::Noop);
    }

    /// Appends an entry as leader.
    pub(super) fn append_own(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last().next();
        let entry = Arc::new(Entry { index, term: self.term, payload });
        let ticket = self.append(vec![entry]);
        if let Some(leading) = self.leading() {
            leading.own_pending.push_back((ticket, index));
        }
        index
    }

    /// Appends contiguous entries, which replace the tail from their first index on.
    pub(super) fn append(&mut self, entries: Vec<Arc<Entry>>) -> Ticket {
        let Some(first) = entries.first() else { return self.writer.latest() };
        let first = first.index;
        self.configurations.retain(|(i, _)| *i < first);
        for entry in &entries {
            self.note_configuration(entry);
            self.log.put(entry.clone());
        }
        self.writer.append(entries.into_iter().map(Record::Entry).collect())
    }

    fn note_configuration(&mut self, entry: &Entry) {
        if let Payload::Membership(m) = &entry.payload {
            self.configurations.push((entry.index, m.clone()));
        }
    }

    /// Adopts a snapshot: this replica's own, or one received from the leader.
    pub(super) fn adopt_snapshot(&mut self, snapshot: &Arc<Snapshot>, retain: u64) -> Ticket {
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

    /// Counts the leader's entries up to the ticket as stored on its own disk.
    pub(super) fn own_entries_stored(&mut self, done: Ticket) {
        let Some(leading) = self.leading() else { return };
        while let Some((_, index)) = leading.own_pending.pop_front_if(|(t, _)| *t <= done) {
            leading.own_stored = index;
        }
    }

    /// Index that a quorum of voters has stored.
    pub(super) fn quorum_stored(&self) -> Option<LogIndex> {
        let RoleState::Leader(leading) = &self.role else { return None };
        self.quorum_value(|m| match leading.progress.get(m) {
            _ if *m == self.me => leading.own_stored,
            Some(progress) => progress.matched,
            None => LogIndex(0),
        })
    }

    /// Time at which a quorum of voters certainly followed this leader.
    pub(super) fn quorum_contact(&self) -> Option<Instant> {
        let RoleState::Leader(leading) = &self.role else { return None };
        let now = Instant::now();
        self.quorum_value(|m| match leading.progress.get(m) {
            _ if *m == self.me => Some(now),
            Some(progress) => progress.acked,
            None => None,
        })?
    }

    /// Largest value that a quorum of voters reaches.
    fn quorum_value<V: Ord>(&self, value: impl FnMut(&Member) -> V) -> Option<V> {
        let membership = self.membership()?;
        let mut values: Vec<V> = membership.voters.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(membership.quorum() - 1)
    }

    /// Stops: outstanding proposals fail, and the role is given up.
    pub(super) fn halt(&mut self) {
        self.is_stopped = true;
        self.fail_waiters();
        self.role = RoleState::Follower;
        self.leader = None;
    }

    fn fail_waiters(&mut self) {
        for (_, waiter) in std::mem::take(&mut self.waiters) {
            // The proposer may have given up.
            let _ = waiter.send(Err(ProposeError::Unknown));
        }
    }

    /// Notes whether the state machine has caught up with the leader.
    ///
    /// A leader that was just elected may name an old commit index, until an entry of its own term
    /// is committed; then everything that was committed before its election is, too.
    pub(super) fn note_applied(&mut self) {
        self.is_caught_up |= self.first_commit.is_some_and(|commit| self.applied >= commit)
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
            disk: self.me.disk,
            last_quorum_contact_ms: self.quorum_contact().map(|at| millis(at.elapsed())),
            syncs,
            is_stopped: self.is_stopped,
            failure: None,
        }
    }
}
