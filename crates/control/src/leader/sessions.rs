//! Leases of sessions, kept only in the leader's memory.
//!
//! Architecture Invariant: once a lease was found to be expired, its renewals are refused until
//! `reset`. Otherwise its holder could rely on a new lease while `EndSession` is being committed.
//! A leader may answer a renewal only if a quorum has confirmed its leadership after the renewal
//! arrived. Otherwise a deposed leader could extend leases that its successor has expired.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use shallotdrum_types::{ControlFormat, PermitId, Revision, SessionId};

use crate::INITIAL_FORMAT;

/// Time after the last renewal at which a lease expires. Sessions renew every second, so two
/// renewals in a row may be lost. Guarantee G6 and the reassignment of groups after the loss of
/// their owner depend on this time.
pub const SESSION_LEASE: Duration = Duration::from_secs(3);
/// Allowance for clocks that run at different rates: 10% of the lease.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(300);

/// Why a renewal was refused. The instance must stop using the session and open a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RenewError {
    /// The session has ended or never existed.
    #[error("session {0} has ended")]
    Ended(SessionId),
    /// The lease has expired, but `EndSession` is not applied yet.
    #[error("the lease of session {0} has expired")]
    Expired(SessionId),
}

#[derive(Debug)]
struct Lease {
    deadline: Instant,
    /// Set when the expiry is first observed, and never cleared.
    is_expired: bool,
    applied_revision: Revision,
    permits: Vec<PermitId>,
    /// Newest format of the control log that the instance reads; absent before its first renewal, and
    /// if its release does not state one.
    format: Option<ControlFormat>,
}

/// Leases of the live sessions.
#[derive(Debug, Default)]
pub struct SessionTable {
    leases: BTreeMap<SessionId, Lease>,
}

impl SessionTable {
    /// Starts a full lease plus `CLOCK_DRIFT_MARGIN` for each live session, after an election.
    pub fn reset(&mut self, now: Instant, sessions: impl IntoIterator<Item = SessionId>) {
        self.leases.clear();
        self.sync(now, sessions);
    }

    /// Updates the set of live sessions. New ones get a full lease plus `CLOCK_DRIFT_MARGIN`, ended
    /// ones are removed.
    pub fn sync(&mut self, now: Instant, sessions: impl IntoIterator<Item = SessionId>) {
        let live: BTreeSet<SessionId> = sessions.into_iter().collect();
        self.leases.retain(|session, _| live.contains(session));
        for session in live {
            self.leases.entry(session).or_insert_with(|| Lease {
                deadline: now + SESSION_LEASE + CLOCK_DRIFT_MARGIN,
                is_expired: false,
                applied_revision: Revision::default(),
                permits: Vec::new(),
                format: None,
            });
        }
    }

    /// Whether the session has a lease, expired or not.
    pub fn contains(&self, session: SessionId) -> bool {
        self.leases.contains_key(&session)
    }

    /// Renews a lease and stores the reported revision and permits.
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

    /// Sessions whose lease has expired, until `sync` removes them.
    pub fn expired(&mut self, now: Instant) -> Vec<SessionId> {
        for lease in self.leases.values_mut() {
            lease.is_expired |= lease.deadline <= now;
        }
        let expired = self.leases.iter().filter(|(_, lease)| lease.is_expired);
        expired.map(|(session, _)| *session).collect()
    }

    /// Time since the lease of a session ended.
    pub fn overdue(&self, session: SessionId, now: Instant) -> Option<Duration> {
        now.checked_duration_since(self.leases.get(&session)?.deadline)
    }

    /// Sessions whose lease has not expired.
    pub fn live(&self, now: Instant) -> BTreeSet<SessionId> {
        let is_live = |lease: &Lease| !lease.is_expired && lease.deadline > now;
        self.leases.iter().filter(|(_, lease)| is_live(lease)).map(|(id, _)| *id).collect()
    }

    /// Manifest revision that a session last reported; 0 before its first renewal.
    pub fn applied_revision(&self, session: SessionId) -> Option<Revision> {
        self.leases.get(&session).map(|lease| lease.applied_revision)
    }

    /// Stores the newest format of the control log that the instance of a session reads.
    pub fn set_format(&mut self, session: SessionId, format: Option<ControlFormat>) {
        if let Some(lease) = self.leases.get_mut(&session) {
            lease.format = format;
        }
    }

    /// Newest format of the control log that the instance of a session is known to read.
    pub fn format(&self, session: SessionId) -> ControlFormat {
        self.leases.get(&session).and_then(|lease| lease.format).unwrap_or(INITIAL_FORMAT)
    }

    /// Permits that a session last reported.
    pub fn permits(&self, session: SessionId) -> &[PermitId] {
        self.leases.get(&session).map_or(&[], |lease| &lease.permits)
    }
}
