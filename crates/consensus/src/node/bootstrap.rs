//! Formation of the first configuration.
//!
//! Architecture Invariant: the first configuration is written by the first initial member, and
//! only after every initial member has confirmed that its folder never held anything. A replica
//! that lost its folder can't start a second cluster, because the others aren't fresh.

use std::sync::Arc;

use futures_util::future::join_all;
use shallotdrum_telemetry::event;
use shallotdrum_types::{InstanceId, LogIndex, Term};

use super::Shared;
use crate::{
    ClusterId, Member, Membership, StateMachine,
    log::{Entry, Payload},
    message::{Request, Response},
};

impl<S: StateMachine> Shared<S> {
    fn initial_members(&self) -> Vec<InstanceId> {
        let mut members = self.cfg.initial_members.clone();
        members.sort();
        members.dedup();
        members
    }

    /// Whether this replica is the one that writes the first configuration.
    pub(super) fn may_bootstrap(&self) -> bool {
        self.cfg.initial_members.iter().min() == Some(&self.me.id)
    }

    /// Answers a probe; confirms a fresh folder only to a bootstrap with the same members.
    pub(super) fn probed(&self, from: &Member, initial_members: &[InstanceId]) -> Response {
        let core = self.core();
        let is_agreed =
            self.initial_members() == initial_members && initial_members.first() == Some(&from.id);
        Response::Probe {
            is_fresh: is_agreed && core.is_fresh(),
            cluster: core.membership().map(|m| m.cluster),
        }
    }

    /// Asks all initial members, and writes the first configuration if all are fresh.
    pub(super) async fn bootstrap(&self) {
        let initial_members = self.initial_members();
        let others = initial_members.iter().filter(|id| **id != self.me.id);
        let probes = others.map(|id| {
            let initial_members = initial_members.clone();
            self.ask_instance(id, None, Request::Probe { initial_members })
        });
        let mut voters = vec![self.me.clone()];
        let mut problem = None;
        for (answer, id) in join_all(probes).await.into_iter().zip(&initial_members[1..]) {
            match answer.map(|a| (a.from, a.response)) {
                Ok((Some(from), Ok(Response::Probe { is_fresh: true, .. }))) => voters.push(from),
                Ok(_) => problem = Some(format!("{id} is not fresh")),
                Err(reason) => problem = Some(format!("{id}: {reason}")),
            }
        }
        if let Some(problem) = problem {
            event!(self.log, BOOTSTRAP_WAITING; "reason" => problem);
            tokio::time::sleep(self.cfg.timing.heartbeat).await;
            return;
        }
        let mut core = self.core();
        if !core.is_fresh() || core.is_stopped {
            return;
        }
        let membership = Membership { cluster: ClusterId::random(), voters, learners: Vec::new() };
        event!(self.log, BOOTSTRAP_FORMING; "cluster" => %membership.cluster, "members" => %membership);
        if core.term == Term(0) {
            core.term = Term(1);
            core.store_vote();
        }
        let payload = Payload::Membership(membership);
        core.append(vec![Arc::new(Entry { index: LogIndex(1), term: Term(1), payload })]);
        // The vote that the campaign stores and waits for is stored after the entry.
        core.election_deadline = tokio::time::Instant::now();
        self.publish(&core);
    }
}
