//! Membership changes.
//!
//! Architecture Invariant: a configuration is proposed only after the previous one is committed,
//! and differs from it by at most one voter, so that quorums of successive configurations overlap.

use std::{sync::Arc, time::Duration};

use shallotdrum_telemetry::event;
use shallotdrum_types::{InstanceId, Term};

use super::{
    Node, Shared,
    core::{Core, RoleState},
};
use crate::{
    Member, Membership, MembershipError, StateMachine,
    log::Payload,
    message::{Request, Response},
};

impl<S: StateMachine> Shared<S> {
    /// Proposes the next configuration of a pending membership change, if any.
    ///
    /// Also replaces members whose instance responds with another data folder: the new member
    /// becomes a learner, the previous one is removed once the learner is up to date, and then the
    /// learner is promoted to voter.
    pub(super) fn maintain_membership(self: &Arc<Self>, core: &mut Core<S::Reply>) {
        if !core.is_membership_committed() || !core.has_committed_in_term() {
            return;
        }
        if !core.is_voter() {
            event!(self.log, LEADER_REMOVED);
            let term = core.term;
            core.step_down(term);
            return;
        }
        if let Some(next) = core.next_membership(self.cfg.timing.election_min) {
            self.change_membership(core, next);
        }
    }

    fn change_membership(self: &Arc<Self>, core: &mut Core<S::Reply>, next: Membership) {
        event!(self.log, MEMBERSHIP_CHANGE; "members" => %next);
        core.append_own(Payload::Membership(next));
        self.start_peers(core);
        self.publish(core);
    }

    /// Waits until the configuration in force is committed and satisfies the condition.
    async fn wait_membership(
        &self,
        term: Term,
        is_done: impl Fn(&Membership) -> bool,
    ) -> Result<(), MembershipError> {
        let mut status = self.status.subscribe();
        loop {
            {
                let core = self.core();
                let membership = core.membership().filter(|_| core.is_membership_committed());
                match membership {
                    Some(membership) if is_done(membership) => return Ok(()),
                    _ if core.is_stopped => return Err(MembershipError::Stopped),
                    _ if core.check_leader(term).is_err() => return Err(MembershipError::Unknown),
                    _ => (),
                }
            }
            if status.changed().await.is_err() {
                return Err(MembershipError::Stopped);
            }
        }
    }
}

impl<R> Core<R> {
    /// Configuration in force, if this replica is leader and no change is in progress.
    fn changeable_membership(&self) -> Result<&Membership, MembershipError> {
        match (&self.role, self.membership()) {
            _ if self.is_stopped => Err(MembershipError::Stopped),
            (RoleState::Leader(_), Some(membership)) => {
                let is_settled = self.is_membership_committed()
                    && self.has_committed_in_term()
                    && membership.learners.is_empty();
                if is_settled { Ok(membership) } else { Err(MembershipError::InProgress) }
            }
            _ => Err(MembershipError::NotLeader { leader: self.other_leader() }),
        }
    }

    /// Voter that has acknowledged a message within `live_within` and has the complete log.
    fn successor(&self, live_within: Duration) -> Option<Member> {
        let RoleState::Leader(leader_state) = &self.role else { return None };
        let is_ready = |m: &&Member| {
            leader_state.progress.get(*m).is_some_and(|p| {
                let is_live = p.acked_sent_at.is_some_and(|at| at.elapsed() < live_within);
                p.matched == self.log.last() && is_live
            })
        };
        self.membership()?.voters.iter().find(is_ready).cloned()
    }

    /// Next configuration of a pending change or replacement, if any.
    fn next_membership(&self, live_within: Duration) -> Option<Membership> {
        let RoleState::Leader(leader_state) = &self.role else { return None };
        let membership = self.membership()?;
        let observed = |m: &Member| leader_state.observed_disks.get(&m.id).copied();
        for learner in &membership.learners {
            let previous = membership.voter(&learner.id);
            if previous.is_some_and(|previous| observed(previous) == Some(previous.disk)) {
                // The instance responds with its previous data folder again.
                let mut next = membership.clone();
                next.learners.retain(|m| m != learner);
                return Some(next);
            }
            let is_caught_up = leader_state.progress.get(learner).is_some_and(|p| {
                p.matched >= self.commit
                    && p.acked_sent_at.is_some_and(|at| at.elapsed() < live_within)
            });
            if is_caught_up {
                return Some(membership.promote(learner));
            }
        }
        let replaced = membership.members().find(|m| {
            let learner = membership.learner(&m.id);
            observed(m).is_some_and(|disk| {
                let is_newest = learner.is_none_or(|l| l == *m);
                disk != m.disk && is_newest
            })
        })?;
        let disk = observed(replaced)?;
        Some(membership.with_learner(Member { id: replaced.id.clone(), disk }))
    }
}

impl<S: StateMachine> Node<S> {
    /// Adds a replica as a learner, and waits until it is up to date and promoted to voter.
    ///
    /// If this replica loses leadership, the next leader continues the change.
    pub async fn add_replica(&self, id: InstanceId) -> Result<(), MembershipError> {
        let shared = &self.0;
        let unreachable = |reason| MembershipError::Unreachable { id: id.clone(), reason };
        {
            let core = shared.core();
            if core.changeable_membership()?.voter(&id).is_some() {
                return Err(MembershipError::AlreadyMember { id });
            }
        }
        let probe = Request::Probe { initial_members: Vec::new() };
        let response = shared.call_instance(&id, None, probe).await.map_err(unreachable)?;
        let member = match (response.from, response.response) {
            (Some(from), Ok(Response::Probe { .. })) => from,
            (_, Err(refusal)) => return Err(unreachable(refusal.to_string())),
            _ => return Err(unreachable("unexpected response".to_owned())),
        };
        let term = {
            let mut core = shared.core();
            let next = core.changeable_membership()?.with_learner(member);
            shared.change_membership(&mut core, next);
            core.term
        };
        shared.wait_membership(term, |m| m.voter(&id).is_some()).await
    }

    /// Removes a replica and waits until the change is committed.
    pub async fn remove_replica(&self, id: InstanceId) -> Result<(), MembershipError> {
        let shared = &self.0;
        let term = {
            let mut core = shared.core();
            let membership = core.changeable_membership()?;
            let next = membership.without(&id);
            if next == *membership {
                return Err(MembershipError::NotMember { id });
            }
            if next.voters.is_empty() {
                return Err(MembershipError::LastVoter { id });
            }
            shared.change_membership(&mut core, next);
            core.term
        };
        shared.wait_membership(term, |m| m.members().all(|m| m.id != id)).await
    }

    /// Transfers the leadership to an up-to-date voter; returns whether another replica leads.
    ///
    /// Proposals are refused during the transfer. Gives up after `election_max`. If the successor
    /// was already asked to campaign, this replica steps down in any case, because the successor
    /// may still win.
    pub async fn transfer_leadership(&self) -> bool {
        let shared = &self.0;
        let term = {
            let mut core = shared.core();
            let term = core.term;
            let Some(leader_state) = core.leader_state() else {
                return core.other_leader().is_some();
            };
            leader_state.is_transferring = true;
            term
        };
        let limit = shared.cfg.timing.election_max;
        let is_done = tokio::time::timeout(limit, shared.run_transfer(term)).await.unwrap_or(false);
        let mut core = shared.core();
        match core.leader_state() {
            // Votes for the successor ignore the lease, so this replica must not rely on it again.
            Some(leader_state) if leader_state.is_campaign_sent => {
                core.step_down(term);
                shared.publish(&core);
            }
            Some(leader_state) => leader_state.is_transferring = false,
            None => (),
        }
        is_done
    }
}

impl<S: StateMachine> Shared<S> {
    async fn run_transfer(&self, term: Term) -> bool {
        let mut acks = self.acks.subscribe();
        let mut status = self.status.subscribe();
        self.wake_peers();
        let successor = loop {
            {
                let mut core = self.core();
                let successor = core.successor(self.cfg.timing.election_min);
                let Some(leader_state) = core.leader_state() else { return false };
                if let Some(successor) = successor {
                    leader_state.is_campaign_sent = true;
                    break successor;
                }
            }
            if acks.changed().await.is_err() {
                return false;
            }
        };
        event!(self.log, LEADERSHIP_TRANSFER; "to" => %successor.id, "term" => %term);
        if self.call_member(&successor, Request::Campaign { term }).await.is_none() {
            return false;
        }
        loop {
            if self.core().other_leader().is_some() {
                return true;
            }
            if status.changed().await.is_err() {
                return false;
            }
        }
    }
}
