//! Leases of sessions, in the leader's memory.
//!
//! Architecture Invariant: once a session was found to be expired, its renewals are refused until
//! `reset`. Otherwise its holder could count on a new lease while `EndSession` is being committed.
//! A renewal may be answered only by a leader that a quorum has confirmed after the renewal
//! arrived; else a deposed leader could prolong leases that its successor has expired.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use shallotdrum_types::{PermitId, Revision, SessionId};

/// Time after its last renewal at which a session ends. Renewals come each second, so two may be
/// lost; G6 and the take-over of a lost owner's groups wait for it.
pub const SESSION_LEASE: Duration = Duration::from_secs(3);
/// Allowance for clocks that run at different speeds; 300 ms is 10% of the lease.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(300);

/// Why a renewal was refused; the instance stops acting and opens a new session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RenewError {
    /// The session is not live.
    #[error("session {0} has ended")]
    Ended(SessionId),
    /// The lease has expired; the session is about to be ended.
    #[error("the lease of session {0} has expired")]
    Expired(SessionId),
}

#[derive(Debug)]
struct Lease {
    deadline: Instant,
    is_expired: bool,
    applied_revision: Revision,
    permits: Vec<PermitId>,
}

/// Leases of the live sessions.
#[derive(Debug, Default)]
pub struct SessionTable {
    leases: BTreeMap<SessionId, Lease>,
}

impl SessionTable {
    /// Gives each live session a full lease and the margin; for a new leader.
    pub fn reset(&mut self, now: Instant, sessions: impl IntoIterator<Item = SessionId>) {
        self.leases.clear();
        self.sync(now, sessions);
    }

    /// Adopts the live sessions: new ones get a full lease and the margin, ended ones are dropped.
    pub fn sync(&mut self, now: Instant, sessions: impl IntoIterator<Item = SessionId>) {
        let live: BTreeSet<SessionId> = sessions.into_iter().collect();
        self.leases.retain(|session, _| live.contains(session));
        for session in live {
            self.leases.entry(session).or_insert_with(|| Lease {
                deadline: now + SESSION_LEASE + CLOCK_DRIFT_MARGIN,
                is_expired: false,
                applied_revision: Revision::default(),
                permits: Vec::new(),
            });
        }
    }

    /// Whether the table has the session.
    pub fn contains(&self, session: SessionId) -> bool {
        self.leases.contains_key(&session)
    }

    /// Renews a lease and keeps what the session reported.
    pub fn renew(
        &mut self,
        session: SessionId,
        now: Instant,
        applied_revision: Revision,
        permits: Vec<PermitId>,
    ) -> Result<(), RenewError> {
        let lease = self.leases.get_mut(&session).ok_or(RenewError::Ended(session))?;
        lease.is_expired |= lease.deadline <= now;
        if lease.is_expired {
            return Err(RenewError::Expired(session));
        }
        lease.deadline = lease.deadline.max(now + SESSION_LEASE);
        lease.applied_revision = applied_revision;
        lease.permits = permits;
        Ok(())
    }

    /// Sessions to end, until `sync` drops them.
    pub fn expired(&mut self, now: Instant) -> Vec<SessionId> {
        for lease in self.leases.values_mut() {
            lease.is_expired |= lease.deadline <= now;
        }
        let expired = self.leases.iter().filter(|(_, lease)| lease.is_expired);
        expired.map(|(session, _)| *session).collect()
    }

    /// Sessions whose lease has not expired.
    pub fn live(&self, now: Instant) -> BTreeSet<SessionId> {
        let is_live = |lease: &Lease| !lease.is_expired && lease.deadline > now;
        self.leases.iter().filter(|(_, lease)| is_live(lease)).map(|(id, _)| *id).collect()
    }

    /// Manifest revision that a session reported last.
    pub fn applied_revision(&self, session: SessionId) -> Option<Revision> {
        self.leases.get(&session).map(|lease| lease.applied_revision)
    }

    /// Permits that a session reported last.
    pub fn permits(&self, session: SessionId) -> &[PermitId] {
        self.leases.get(&session).map_or(&[], |lease| &lease.permits)
    }
}
