//! What the leader decides outside the log: leases, permits and the assignment of groups.
//!
//! Architecture Invariant: nothing here reads a clock or sends a message. The RPC layer passes in
//! the time, holds one `LeaderDuties` while it leads, and proposes the resulting commands.

mod assignments;
mod permits;
mod sessions;

use std::{collections::BTreeSet, time::Instant};

use shallotdrum_manifest::Manifest;
use shallotdrum_types::{GroupId, InstanceId, PermitId, Revision, SessionId, Term};

pub use assignments::{assignments, rebalance};
pub use permits::{PERMIT_LIFETIME, PermitAnswer, PermitTable, permit_term};
pub use sessions::{CLOCK_DRIFT_MARGIN, RenewError, SESSION_LEASE, SessionTable};

use crate::{Command, ControlState};

/// Leases and permits of a leader, from its election on.
#[derive(Debug)]
pub struct LeaderDuties {
    sessions: SessionTable,
    permits: PermitTable,
    limits_of: Revision,
}

impl LeaderDuties {
    /// Starts the duties of a leader that has applied all entries of earlier terms.
    pub fn new(now: Instant, term: Term, state: &ControlState) -> Self {
        let live: Vec<SessionId> = state.sessions().map(|session| session.id).collect();
        let store = state.manifest().map(|manifest| manifest.weight_store.clone());
        let store = store.unwrap_or_else(|| Manifest::empty().weight_store);
        let mut sessions = SessionTable::default();
        sessions.reset(now, live.iter().copied());
        let permits = PermitTable::new(now, term, &store, live);
        Self { sessions, permits, limits_of: state.revision() }
    }

    /// Adopts changes of sessions and limits; to be called when the state has changed.
    pub fn sync(&mut self, now: Instant, state: &ControlState) {
        self.sessions.sync(now, state.sessions().map(|session| session.id));
        self.permits.retain(|session| state.session(session).is_some());
        if self.limits_of != state.revision()
            && let Some(manifest) = state.manifest()
        {
            self.permits.set_limits(&manifest.weight_store);
            self.limits_of = state.revision();
        }
    }

    /// Renews a lease; the reply to the instance is the RPC layer's.
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
        self.permits.renewed(session, self.sessions.permits(session), now);
        Ok(())
    }

    /// Grants a permit to a session whose lease has not expired, or lets it wait.
    pub fn request_permit(
        &mut self,
        now: Instant,
        state: &ControlState,
        session: SessionId,
    ) -> Result<PermitAnswer, RenewError> {
        self.sync(now, state);
        match self.sessions.live(now).contains(&session) {
            true => Ok(self.permits.request(session, now)),
            false => Err(RenewError::Ended(session)),
        }
    }

    /// Returns a permit.
    pub fn release_permit(&mut self, session: SessionId, permit: PermitId) {
        self.permits.release(session, permit);
    }

    /// Commands that are due: ends of expired sessions and assignments of unowned groups.
    ///
    /// Proposing a command twice has no further effect.
    pub fn due(&mut self, now: Instant, state: &ControlState) -> Vec<Command> {
        self.sync(now, state);
        let ends = self.sessions.expired(now).into_iter();
        let ends = ends.map(|session| Command::EndSession { session });
        let live = self.sessions.live(now);
        let assign = |(group, session)| Command::AssignGroup { group, session };
        ends.chain(assignments(state, &live).into_iter().map(assign)).collect()
    }

    /// Expired session of an instance, to be ended before the instance opens another.
    ///
    /// Until its end is applied, an opening by the same process returns the expired session.
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

    /// A group that its owner should be asked to release.
    pub fn rebalance(&self, now: Instant, state: &ControlState) -> Option<(GroupId, SessionId)> {
        rebalance(state, &self.sessions.live(now))
    }

    /// Lowest manifest revision that a live session has applied.
    pub fn lowest_revision(&self, now: Instant) -> Option<Revision> {
        let live: BTreeSet<SessionId> = self.sessions.live(now);
        live.into_iter().filter_map(|id| self.sessions.applied_revision(id)).min()
    }

    /// Outstanding permits.
    pub fn permits(&self) -> &PermitTable {
        &self.permits
    }

    /// Leases of the live sessions.
    pub fn sessions(&self) -> &SessionTable {
        &self.sessions
    }
}
