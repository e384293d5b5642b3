//! Elections, and the leader's periodic duties.
//!
//! Architecture Invariant: a replica campaigns only after a quorum has said that it would vote
//! for it (trial vote). A replica that was cut off therefore doesn't raise the term and doesn't
//! disturb the others when it returns.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use shallotdrum_telemetry::event;
use shallotdrum_types::Term;
use tokio::time::Instant;

use super::{Shared, core::RoleState};
use crate::{
    Member, StateMachine,
    message::{Refusal, Request, Response, VoteRequest},
    storage::Ticket,
};

enum Step {
    Bootstrap,
    Campaign,
    Wait(Duration),
}

/// Campaigns when the leader is silent; while leading, checks the quorum and the members.
pub(super) async fn run<S: StateMachine>(shared: Arc<Shared<S>>) {
    loop {
        let Some(step) = next_step(&shared) else { return };
        match step {
            Step::Bootstrap => shared.bootstrap().await,
            Step::Campaign => campaign(&shared, false).await,
            Step::Wait(duration) => tokio::time::sleep(duration).await,
        }
    }
}

fn next_step<S: StateMachine>(shared: &Arc<Shared<S>>) -> Option<Step> {
    let timing = &shared.cfg.timing;
    let mut core = shared.core();
    if core.is_stopped {
        return None;
    }
    if let RoleState::Leader(leading) = &core.role {
        let since = leading.since;
        let contact = core.quorum_contact().map_or(since, |at| at.max(since));
        if contact.elapsed() > timing.election_max {
            event!(shared.log, LEADER_LOST_QUORUM; "term" => %core.term);
            let term = core.term;
            core.step_down(term);
        } else {
            shared.maintain_membership(&mut core);
        }
        shared.publish(&core);
        return Some(Step::Wait(timing.heartbeat));
    }
    if core.is_fresh() && shared.may_bootstrap() {
        return Some(Step::Bootstrap);
    }
    let until_election = core.election_deadline.saturating_duration_since(Instant::now());
    Some(match core.is_voter() {
        true if until_election.is_zero() => Step::Campaign,
        true => Step::Wait(until_election.min(timing.heartbeat)),
        false => Step::Wait(timing.heartbeat),
    })
}

/// Tries to become the leader.
pub(super) async fn campaign<S: StateMachine>(shared: &Arc<Shared<S>>, is_transfer: bool) {
    let trial = {
        let mut core = shared.core();
        core.postpone_election();
        VoteRequest {
            term: core.term.next(),
            last: core.log.last(),
            last_term: core.log.last_term(),
            is_trial: true,
            is_transfer,
        }
    };
    if !is_transfer && !shared.collect_votes(&trial).await {
        return;
    }
    let Some((request, ticket)) = become_candidate(shared, &trial) else { return };
    if shared.wait_durable(ticket).await.is_err() || !shared.collect_votes(&request).await {
        return;
    }
    let mut core = shared.core();
    if core.is_stopped || core.term != request.term || !matches!(core.role, RoleState::Candidate) {
        return;
    }
    core.become_leader();
    event!(shared.log, LEADER_ELECTED; "term" => %core.term);
    shared.start_peers(&mut core);
    shared.publish(&core);
}

/// Starts the term that the trial asked about.
fn become_candidate<S: StateMachine>(
    shared: &Shared<S>,
    trial: &VoteRequest,
) -> Option<(VoteRequest, Ticket)> {
    let mut core = shared.core();
    let is_leader = matches!(core.role, RoleState::Leader(_));
    let is_obsolete = core.term.next() != trial.term || !core.is_voter();
    if core.is_stopped || is_leader || is_obsolete || (!trial.is_transfer && core.hears_leader()) {
        return None;
    }
    core.term = trial.term;
    core.vote = Some(shared.me.clone());
    core.role = RoleState::Candidate;
    core.leader = None;
    core.postpone_election();
    let ticket = core.store_vote();
    event!(shared.log, ELECTION_STARTED; "term" => %core.term);
    shared.publish(&core);
    let request = VoteRequest {
        is_trial: false,
        last: core.log.last(),
        last_term: core.log.last_term(),
        ..trial.clone()
    };
    Some((request, ticket))
}

impl<S: StateMachine> Shared<S> {
    /// Asks all voters; returns whether a quorum agrees, as soon as that is known.
    async fn collect_votes(&self, request: &VoteRequest) -> bool {
        let Some(membership) = self.core().membership().cloned() else { return false };
        let others = membership.voters.iter().filter(|m| **m != self.me);
        let mut answers: FuturesUnordered<_> = others
            .map(|m| async move { (m, self.ask(m, Request::Vote(request.clone())).await) })
            .collect();
        let mut granted = usize::from(membership.is_voter(&self.me));
        while granted < membership.quorum() {
            let Some((member, answer)) = answers.next().await else { return false };
            let Some(answer) = answer else { continue };
            if self.adopt_later_term(answer.term) {
                return false;
            }
            let is_granted = matches!(answer.response, Ok(Response::Vote { is_granted: true }));
            granted += usize::from(is_granted && answer.from.as_ref() == Some(member));
        }
        true
    }

    /// Follows a later term that another replica told; returns whether it was later.
    fn adopt_later_term(&self, term: Term) -> bool {
        let mut core = self.core();
        let is_later = term > core.term;
        if is_later {
            core.step_down(term);
            self.publish(&core);
        }
        is_later
    }

    /// Decides on a vote; a given vote is durable before this returns.
    pub(super) async fn vote(
        &self,
        from: &Member,
        request: &VoteRequest,
    ) -> Result<Response, Refusal> {
        let ticket = {
            let mut core = self.core();
            let is_disturbing = core.hears_leader() && !request.is_transfer;
            if is_disturbing || request.term < core.term {
                return Ok(Response::Vote { is_granted: false });
            }
            let is_up_to_date =
                (request.last_term, request.last) >= (core.log.last_term(), core.log.last());
            if request.is_trial {
                let is_granted = is_up_to_date && request.term > core.term;
                return Ok(Response::Vote { is_granted });
            }
            if request.term > core.term {
                core.step_down(request.term);
                self.publish(&core);
            }
            let is_free = core.vote.as_ref().is_none_or(|vote| vote == from);
            if !is_up_to_date || !is_free || matches!(core.role, RoleState::Leader(_)) {
                return Ok(Response::Vote { is_granted: false });
            }
            core.vote = Some(from.clone());
            core.postpone_election();
            core.store_vote()
        };
        self.wait_durable(ticket).await.map_err(|_| Refusal::Stopped)?;
        Ok(Response::Vote { is_granted: true })
    }
}
