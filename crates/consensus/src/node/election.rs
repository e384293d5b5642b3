//! Leader election, and periodic checks of the leader.
//!
//! Architecture Invariant: except in a leadership transfer, a replica campaigns only after a quorum
//! has granted it a pre-vote. A replica that was disconnected therefore doesn't increase its term,
//! and doesn't depose the leader when it reconnects.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use shallotdrum_telemetry::event;
use shallotdrum_types::Term;
use tokio::time::Instant;

use super::{Shared, core::RoleState};
use crate::{
    Member, StateMachine,
    message::{Refusal, Request, Response, VoteRequest},
    storage::WriteSeq,
};

/// Next action of the election task.
enum Step {
    Bootstrap,
    Campaign,
    Wait(Duration),
}

/// Runs the election timer; as leader, checks for loss of quorum and drives membership changes.
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
    if let RoleState::Leader(leader_state) = &mut core.role {
        leader_state.record_check(timing.election_min);
        let since = leader_state.since;
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

/// Runs an election, preceded by a pre-vote unless the leader requested it.
pub(super) async fn campaign<S: StateMachine>(shared: &Arc<Shared<S>>, is_transfer: bool) {
    let pre_vote = {
        let mut core = shared.core();
        core.reset_election_timer();
        VoteRequest {
            term: core.term.next(),
            last: core.log.last(),
            last_term: core.log.last_term(),
            is_trial: true,
            is_transfer,
        }
    };
    if !is_transfer && !shared.collect_votes(&pre_vote).await {
        return;
    }
    let Some((request, seq)) = become_candidate(shared, &pre_vote) else { return };
    if shared.wait_durable(seq).await.is_err() || !shared.collect_votes(&request).await {
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

/// Starts the term that the pre-vote was for and votes for this replica; `None` if the pre-vote is
/// obsolete.
fn become_candidate<S: StateMachine>(
    shared: &Shared<S>,
    pre_vote: &VoteRequest,
) -> Option<(VoteRequest, WriteSeq)> {
    let mut core = shared.core();
    let is_leader = matches!(core.role, RoleState::Leader(_));
    let is_obsolete = core.term.next() != pre_vote.term || !core.is_voter();
    if core.is_stopped
        || is_leader
        || is_obsolete
        || (!pre_vote.is_transfer && core.has_live_leader())
    {
        return None;
    }
    core.term = pre_vote.term;
    core.vote = Some(shared.local.clone());
    core.role = RoleState::Candidate;
    core.leader = None;
    core.reset_election_timer();
    let seq = core.store_vote();
    event!(shared.log, ELECTION_STARTED; "term" => %core.term);
    shared.publish(&core);
    let request = VoteRequest {
        is_trial: false,
        last: core.log.last(),
        last_term: core.log.last_term(),
        ..pre_vote.clone()
    };
    Some((request, seq))
}

impl<S: StateMachine> Shared<S> {
    /// Requests the vote of all voters and returns whether a quorum has granted it. Returns as soon
    /// as that is so, a replica reports a later term, or no response is pending.
    async fn collect_votes(&self, request: &VoteRequest) -> bool {
        let Some(membership) = self.core().membership().cloned() else { return false };
        let others = membership.voters.iter().filter(|m| **m != self.local);
        let mut responses: FuturesUnordered<_> = others
            .map(|m| async move { (m, self.call_member(m, Request::Vote(request.clone())).await) })
            .collect();
        let mut granted = usize::from(membership.is_voter(&self.local));
        while granted < membership.quorum() {
            let Some((member, envelope)) = responses.next().await else { return false };
            let Some(envelope) = envelope else { continue };
            if self.adopt_later_term(envelope.term) {
                return false;
            }
            let is_granted = matches!(envelope.response, Ok(Response::Vote { is_granted: true }));
            granted += usize::from(is_granted && envelope.from.as_ref() == Some(member));
        }
        true
    }

    /// Steps down if the term of another replica is later; returns whether it is.
    fn adopt_later_term(&self, term: Term) -> bool {
        let mut core = self.core();
        let is_later = term > core.term;
        if is_later {
            core.step_down(term);
            self.publish(&core);
        }
        is_later
    }

    /// Handles a request for a vote; a granted vote is durable before this returns.
    pub(super) async fn handle_vote(
        &self,
        from: &Member,
        request: &VoteRequest,
    ) -> Result<Response, Refusal> {
        let seq = {
            let mut core = self.core();
            let is_disruptive = core.has_live_leader() && !request.is_transfer;
            if is_disruptive || request.term < core.term {
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
            let can_vote = core.vote.as_ref().is_none_or(|vote| vote == from);
            if !is_up_to_date || !can_vote || matches!(core.role, RoleState::Leader(_)) {
                return Ok(Response::Vote { is_granted: false });
            }
            core.vote = Some(from.clone());
            core.reset_election_timer();
            core.store_vote()
        };
        self.wait_durable(seq).await.map_err(|_| Refusal::Stopped)?;
        Ok(Response::Vote { is_granted: true })
    }
}
