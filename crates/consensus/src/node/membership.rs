//! Membership changes.
//!
//! A learner that has caught up takes the place of a voter that is silent: the voter is removed
//! first, and only then is the learner promoted. While a voter may still respond, the learner waits.
//! A learner that is silent itself is given up, because no other change can begin before that.
//!
//! Architecture Invariant: a configuration is proposed only after the previous one is committed,
//! and differs from it by at most one voter, so that quorums of successive configurations overlap.
//!
//! Architecture Invariant: the quorum grows only while all voters respond. A lost voter that stayed
//! beside its successor would raise the quorum, and a few such replacements in a row would make it
//! larger than the number of replicas that are left.

use std::{sync::Arc, time::Duration};

use shallotdrum_telemetry::event;
use shallotdrum_types::{InstanceId, Term};

use super::{
    Node, Shared,
    core::{Core, RoleState},
};
use crate::{
    Member, Membership, MembershipError, StateMachine, Timing,
    log::Payload,
    message::{Request, Response, millis_saturating},
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
        let Some((next, reason)) = core.next_membership(&self.cfg.timing) else { return };
        match reason {
            Reason::VoterLost { voter, silence } => {
                event!(self.log, VOTER_REPLACED; "voter" => %voter,
                    "silent_ms" => millis_saturating(silence));
            }
            Reason::LearnerLost { learner, silence } => {
                event!(self.log, LEARNER_GIVEN_UP; "learner" => %learner,
                    "silent_ms" => millis_saturating(silence));
            }
            Reason::CaughtUp | Reason::FolderChanged => {}
        }
        self.change_membership(core, next);
    }

    fn change_membership(self: &Arc<Self>, core: &mut Core<S::Reply>, next: Membership) {
        event!(self.log, MEMBERSHIP_CHANGE; "members" => %next);
        if let Some(leader_state) = core.leader_state() {
            leader_state.retain_members(&next);
        }
        core.append_own(Payload::Membership(next));
        self.start_peers(core);
        self.publish(core);
    }

    /// Waits until the configuration in force is committed and decides the outcome.
    async fn wait_membership(
        &self,
        term: Term,
        outcome: impl Fn(&Membership) -> Option<Result<(), MembershipError>>,
    ) -> Result<(), MembershipError> {
        let mut status = self.status.subscribe();
        loop {
            {
                let core = self.core();
                let membership = core.membership().filter(|_| core.is_membership_committed());
                match membership.and_then(&outcome) {
                    Some(outcome) => return outcome,
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

/// Why the leader changes the configuration on its own.
enum Reason {
    /// A learner is up to date.
    CaughtUp,
    /// An instance responds with another data folder than before.
    FolderChanged,
    /// A learner that is up to date takes the place of a silent voter.
    VoterLost { voter: Member, silence: Duration },
    /// A learner does not respond.
    LearnerLost { learner: Member, silence: Duration },
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

    /// Voter other than this replica that has been silent for the longest time.
    fn most_silent_voter(&self) -> Option<(Duration, &Member)> {
        let RoleState::Leader(leader_state) = &self.role else { return None };
        let others = self.membership()?.voters.iter().filter(|m| **m != self.local);
        others.map(|m| (leader_state.silence(m), m)).max()
    }

    /// Next configuration of a pending change or replacement, if any.
    fn next_membership(&self, timing: &Timing) -> Option<(Membership, Reason)> {
        let RoleState::Leader(leader_state) = &self.role else { return None };
        let membership = self.membership()?;
        let live_within = timing.election_min;
        let observed = |m: &Member| leader_state.observed_disks.get(&m.id).copied();
        for learner in &membership.learners {
            let previous = membership.voter(&learner.id);
            let progress = leader_state.progress.get(learner);
            let is_caught_up = progress.is_some_and(|p| {
                p.matched >= self.commit
                    && p.acked_sent_at.is_some_and(|at| at.elapsed() < live_within)
            });
            let silence = leader_state.silence(learner);
            match (previous, self.most_silent_voter()) {
                // The instance responds with its previous data folder again.
                (Some(previous), _) if observed(previous) == Some(previous.disk) => {
                    return Some((membership.without_learner(learner), Reason::FolderChanged));
                }
                _ if silence >= timing.replace_after => {
                    let reason = Reason::LearnerLost { learner: learner.clone(), silence };
                    return Some((membership.without_learner(learner), reason));
                }
                _ if !is_caught_up => {}
                // The learner takes the place of its instance, so that the quorum doesn't grow.
                (Some(_), _) => return Some((membership.promote(learner), Reason::CaughtUp)),
                (None, Some((silence, lost))) if silence >= timing.replace_after => {
                    let reason = Reason::VoterLost { voter: lost.clone(), silence };
                    return Some((membership.without_voter(lost), reason));
                }
                // The learner may be the successor of a voter that was lost a moment before it came.
                // Only a response to a message that was sent later shows that the voter is live.
                (None, Some((silence, _)))
                    if progress.is_none_or(|p| silence >= p.since.elapsed()) => {}
                _ => return Some((membership.promote(learner), Reason::CaughtUp)),
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
        let next = membership.with_learner(Member { id: replaced.id.clone(), disk });
        Some((next, Reason::FolderChanged))
    }
}

impl<S: StateMachine> Node<S> {
    /// Adds a replica as a learner, and waits until it is up to date and promoted to voter. It takes
    /// the place of a voter that has not responded for `replace_after`, if there is one.
    ///
    /// Fails with `Unreachable` if the replica stops responding before it is up to date.
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
        let given_up = || unreachable("it stopped responding before it was up to date".to_owned());
        shared
            .wait_membership(term, |m| match (m.voter(&id), m.learner(&id)) {
                (Some(_), _) => Some(Ok(())),
                (None, Some(_)) => None,
                (None, None) => Some(Err(given_up())),
            })
            .await
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
        let is_removed = |m: &Membership| m.members().all(|m| m.id != id);
        shared.wait_membership(term, |m| is_removed(m).then_some(Ok(()))).await
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
