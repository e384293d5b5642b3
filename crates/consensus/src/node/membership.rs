//! Membership changes.
//!
//! Architecture Invariant: a configuration is proposed only when the former one is committed,
//! and differs from it by at most one voter, so any two successive quorums overlap.

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
    /// Takes the next step of a pending change, if there is one.
    ///
    /// Also replaces members whose instance answers with another folder: the new folder becomes a
    /// learner, the old one is removed once the new one is up to date, then the new one votes.
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

    /// Waits until the configuration in force is committed and fulfils the condition.
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
    /// Configuration in force, if this leader may change it now.
    fn changeable_membership(&self) -> Result<&Membership, MembershipError> {
        match (&self.role, self.membership()) {
            _ if self.is_stopped => Err(MembershipError::Stopped),
            (RoleState::Leader(_), Some(membership)) => {
                let is_settled = self.is_membership_committed()
                    && self.has_committed_in_term()
                    && membership.learners.is_empty();
                if is_settled { Ok(membership) } else { Err(MembershipError::InProgress) }
            }
            _ => Err(MembershipError::NotLeader { leader: self.leader_elsewhere() }),
        }
    }

    /// A live voter that has the whole log.
    fn successor(&self, live_within: Duration) -> Option<Member> {
        let RoleState::Leader(leading) = &self.role else { return None };
        let is_ready = |m: &&Member| {
            leading.progress.get(*m).is_some_and(|p| {
                let is_live = p.acked.is_some_and(|at| at.elapsed() < live_within);
                p.matched == self.log.last() && is_live
            })
        };
        self.membership()?.voters.iter().find(is_ready).cloned()
    }

    fn next_membership(&self, live_within: Duration) -> Option<Membership> {
        let RoleState::Leader(leading) = &self.role else { return None };
        let membership = self.membership()?;
        let observed = |m: &Member| leading.observed.get(&m.id).copied();
        for learner in &membership.learners {
            let old = membership.voter(&learner.id);
            if old.is_some_and(|old| observed(old) == Some(old.disk)) {
                // The former folder is back; the learner is obsolete.
                let mut next = membership.clone();
                next.learners.retain(|m| m != learner);
                return Some(next);
            }
            let is_caught_up = leading.progress.get(learner).is_some_and(|p| {
                p.matched >= self.commit && p.acked.is_some_and(|at| at.elapsed() < live_within)
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
    /// Adds a replica: it learns the log first and votes once it is up to date.
    ///
    /// The change goes on under the next leader if this one is lost.
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
        let answer = shared.ask_instance(&id, None, probe).await.map_err(unreachable)?;
        let member = match (answer.from, answer.response) {
            (Some(from), Ok(Response::Probe { .. })) => from,
            (_, Err(refusal)) => return Err(unreachable(refusal.to_string())),
            _ => return Err(unreachable("unexpected answer".to_owned())),
        };
        let term = {
            let mut core = shared.core();
            let next = core.changeable_membership()?.with_learner(member);
            shared.change_membership(&mut core, next);
            core.term
        };
        shared.wait_membership(term, |m| m.voter(&id).is_some()).await
    }

    /// Removes a replica.
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

    /// Asks the most up-to-date replica to take over; returns whether another replica leads.
    ///
    /// New proposals are refused meanwhile. Gives up after `election_max`; steps down if the
    /// other replica was already asked, because it may still win.
    pub async fn transfer_leadership(&self) -> bool {
        let shared = &self.0;
        let term = {
            let mut core = shared.core();
            let term = core.term;
            let Some(leading) = core.leading() else { return core.leader_elsewhere().is_some() };
            leading.is_transferring = true;
            term
        };
        let limit = shared.cfg.timing.election_max;
        let is_done = tokio::time::timeout(limit, shared.hand_over(term)).await.unwrap_or(false);
        let mut core = shared.core();
        match core.leading() {
            // Votes for a successor disregard the lease, so the lease can't be claimed again.
            Some(leading) if leading.is_campaign_sent => {
                core.step_down(term);
                shared.publish(&core);
            }
            Some(leading) => leading.is_transferring = false,
            None => (),
        }
        is_done
    }
}

impl<S: StateMachine> Shared<S> {
    async fn hand_over(&self, term: Term) -> bool {
        let mut acks = self.acks.subscribe();
        let mut status = self.status.subscribe();
        self.wake_peers();
        let successor = loop {
            {
                let mut core = self.core();
                let successor = core.successor(self.cfg.timing.election_min);
                let Some(leading) = core.leading() else { return false };
                if let Some(successor) = successor {
                    leading.is_campaign_sent = true;
                    break successor;
                }
            }
            if acks.changed().await.is_err() {
                return false;
            }
        };
        event!(self.log, LEADERSHIP_TRANSFER; "to" => %successor.id, "term" => %term);
        if self.ask(&successor, Request::Campaign { term }).await.is_none() {
            return false;
        }
        loop {
            if self.core().leader_elsewhere().is_some() {
                return true;
            }
            if status.changed().await.is_err() {
                return false;
            }
        }
    }
}
