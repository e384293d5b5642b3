//! Bootstrap of a cluster.
//!
//! Architecture Invariant: only the initial member with the lowest id writes the first
//! configuration, after all initial members have confirmed that their data folders never held any
//! state. A replica that lost its data folder can't bootstrap a second cluster, because the others
//! don't confirm that.

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
    /// Configured initial members, sorted and without duplicates.
    fn initial_members(&self) -> Vec<InstanceId> {
        let mut members = self.cfg.initial_members.clone();
        members.sort();
        members.dedup();
        members
    }

    /// Whether this replica is the initial member that writes the first configuration.
    pub(super) fn may_bootstrap(&self) -> bool {
        self.cfg.initial_members.iter().min() == Some(&self.local.id)
    }

    /// Handles a probe; confirms an empty data folder only to a bootstrap with the same members.
    pub(super) fn handle_probe(&self, from: &Member, initial_members: &[InstanceId]) -> Response {
        let core = self.core();
        let is_agreed =
            self.initial_members() == initial_members && initial_members.first() == Some(&from.id);
        Response::Probe {
            is_fresh: is_agreed && core.is_fresh(),
            cluster: core.membership().map(|m| m.cluster),
        }
    }

    /// Probes all initial members, and writes the first configuration if all confirm it.
    pub(super) async fn bootstrap(&self) {
        let initial_members = self.initial_members();
        let others = initial_members.iter().filter(|id| **id != self.local.id);
        let probes = others.map(|id| {
            let initial_members = initial_members.clone();
            self.call_instance(id, None, Request::Probe { initial_members })
        });
        let mut voters = vec![self.local.clone()];
        let mut problem = None;
        for (response, id) in join_all(probes).await.into_iter().zip(&initial_members[1..]) {
            match response.map(|r| (r.from, r.response)) {
                Ok((Some(from), Ok(Response::Probe { is_fresh: true, .. }))) => voters.push(from),
                Ok(_) => problem = Some(format!("{id} is not empty or has other initial members")),
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
        // No need to wait here: the log is written in order, so the entry is durable before the
        // vote of the election that starts now.
        core.election_deadline = tokio::time::Instant::now();
        self.publish(&core);
    }
}
