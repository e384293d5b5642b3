//! State and decisions of the leader outside the log: session leases, load permits and group
//! assignment.
//!
//! Architecture Invariant: this module reads no clock and performs no I/O. The RPC layer passes
//! in the time, keeps a `LeaderState` while it is the leader, and proposes the resulting commands.

mod assignments;
mod permits;
mod sessions;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use shallotdrum_manifest::Manifest;
use shallotdrum_types::{ControlFormat, GroupId, InstanceId, PermitId, Revision, SessionId, Term};

pub use assignments::{assignments, rebalance};
pub use permits::{PERMIT_LIFETIME, PermitReply, PermitTable, permit_term};
pub use sessions::{CLOCK_DRIFT_MARGIN, RenewError, SESSION_LEASE, SessionTable};

use crate::{Command, ControlState};

/// Time for which all instances must have been able to read a format before the log is raised to it.
/// Covers the restart of an instance that is replaced last, so that its session is missing for a while.
const RAISE_SETTLE: Duration = Duration::from_secs(10);

/// The same while no instance has stopped or restarted since the log was formed: it is a new deployment,
/// whose instances start within a second.
const NEW_LOG_RAISE_SETTLE: Duration = Duration::from_secs(1);

/// Session leases and load permits of a leader, created at its election.
#[derive(Debug)]
pub struct LeaderState {
    sessions: SessionTable,
    permits: PermitTable,
    /// Manifest revision whose limits the permit table uses.
    limits_revision: Revision,
    /// Newest format that all instances can read, and since when.
    readable: Option<(ControlFormat, Instant)>,
}

impl LeaderState {
    /// Creates the state of a new leader, which must have applied all entries of earlier terms.
    pub fn new(now: Instant, term: Term, state: &ControlState) -> Self {
        let live: Vec<SessionId> = state.sessions().map(|session| session.id).collect();
        let store = state.manifest().map(|manifest| manifest.weight_store.clone());
        let store = store.unwrap_or_else(|| Manifest::empty().weight_store);
        let mut sessions = SessionTable::default();
        sessions.reset(now, live.iter().copied());
        let permits = PermitTable::new(now, term, &store, live);
        Self { sessions, permits, limits_revision: state.revision(), readable: None }
    }

    /// Updates the sessions and limits from the control state; must be called when it changes.
    pub fn sync(&mut self, now: Instant, state: &ControlState) {
        self.sessions.sync(now, state.sessions().map(|session| session.id));
        self.permits.retain(|session| state.session(session).is_some());
        if self.limits_revision != state.revision()
            && let Some(manifest) = state.manifest()
        {
            self.permits.set_limits(&manifest.weight_store);
            self.limits_revision = state.revision();
        }
    }

    /// Renews the lease of a session.
    ///
    /// The RPC layer replies to the instance only once a quorum has confirmed that this is the
    /// leader.
    pub fn renew(
        &mut self,
        now: Instant,
        state: &ControlState,
        session: SessionId,
        applied_revision: Revision,
        permits: Vec<PermitId>,
    ) -> Result<(), RenewError> {
        if state.session(session).is_none() {
            return Err(RenewError::Ended(session));
        }
        if !self.sessions.contains(session) {
            self.sync(now, state);
        }
        self.sessions.renew(session, now, applied_revision, permits)?;
        self.permits.record_renewal(session, self.sessions.permits(session), now);
        Ok(())
    }

    /// Stores what the instance of a session reads, as stated with a renewal.
    pub fn set_format(&mut self, session: SessionId, format: Option<ControlFormat>) {
        self.sessions.set_format(session, format);
    }

    /// Grants a load permit to a session, or queues the session. Fails if its lease has expired.
    pub fn request_permit(
        &mut self,
        now: Instant,
        state: &ControlState,
        session: SessionId,
    ) -> Result<PermitReply, RenewError> {
        self.sync(now, state);
        match self.sessions.live(now).contains(&session) {
            true => Ok(self.permits.request(session, now)),
            false => Err(RenewError::Ended(session)),
        }
    }

    /// Releases a permit after its load has ended.
    pub fn release_permit(&mut self, session: SessionId, permit: PermitId) {
        self.permits.release(session, permit);
    }

    /// Commands to propose now: they end expired sessions and assign unowned groups.
    ///
    /// The commands are idempotent and may be proposed repeatedly.
    pub fn due_commands(&mut self, now: Instant, state: &ControlState) -> Vec<Command> {
        self.sync(now, state);
        let ends = self.sessions.expired(now).into_iter();
        let ends = ends.map(|session| Command::EndSession { session });
        let live = self.sessions.live(now);
        let assign = |(group, session)| Command::AssignGroup { group, session };
        ends.chain(assignments(state, &live).into_iter().map(assign)).collect()
    }

    /// Command that raises the format of the log, once all sessions and replicas can read a newer one
    /// for long enough.
    pub fn due_raise<'a>(
        &mut self,
        now: Instant,
        state: &ControlState,
        replicas: impl IntoIterator<Item = &'a InstanceId>,
    ) -> Option<Command> {
        let formats = state.sessions().map(|session| self.sessions.format(session.id));
        let have_sessions = replicas.into_iter().all(|id| state.session_of(id).is_some());
        let readable = formats.min().filter(|format| have_sessions && *format > state.format());
        let since = match (readable, self.readable) {
            (Some(format), Some((before, since))) if format == before => since,
            _ => now,
        };
        self.readable = readable.map(|format| (format, since));
        let settle = match state.has_ended_sessions() {
            true => RAISE_SETTLE,
            false => NEW_LOG_RAISE_SETTLE,
        };
        let format = readable.filter(|_| now >= since + settle)?;
        Some(Command::RaiseFormat { format })
    }

    /// Expired session of an instance, which must be ended before the instance opens another.
    ///
    /// Until `EndSession` is applied, `OpenSession` by the same process returns the expired
    /// session.
    pub fn expired_session_of(
        &mut self,
        now: Instant,
        state: &ControlState,
        instance: &InstanceId,
    ) -> Option<SessionId> {
        let session = state.session_of(instance)?.id;
        self.sync(now, state);
        self.sessions.expired(now).contains(&session).then_some(session)
    }

    /// Group that its owner should release to balance the load, with that owner.
    pub fn rebalance(&self, now: Instant, state: &ControlState) -> Option<(GroupId, SessionId)> {
        rebalance(state, &self.sessions.live(now))
    }

    /// Lowest manifest revision applied by a live session; `None` without live sessions.
    pub fn lowest_revision(&self, now: Instant) -> Option<Revision> {
        let live: BTreeSet<SessionId> = self.sessions.live(now);
        live.into_iter().filter_map(|id| self.sessions.applied_revision(id)).min()
    }

    /// Outstanding permits and the queue for them.
    pub fn permits(&self) -> &PermitTable {
        &self.permits
    }

    /// Leases of the sessions.
    pub fn sessions(&self) -> &SessionTable {
        &self.sessions
    }
}
