//! Client of the control log that locates the leader and retries.
//!
//! Architecture Invariant: a method is retried until its deadline, which is safe because each
//! method may be executed twice. `Unavailable` is reported only if no attempt can have been
//! executed.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use jsonrpsee::{core::ClientError, http_client::HttpClient};
use rand::RngExt;
use shallotdrum_control::{Proposal, ProposeError, Reply};
use shallotdrum_manifest::Manifest;
use shallotdrum_types::{InstanceId, PermitId, ProposalId, SessionId};
use tokio::time::Instant;

use crate::{
    Directory, PeerApiClient, Peers, Permit, PermitRequest, ProposalTerms, RenewReply,
    RenewRequest, RpcError, survey::find_leader,
};

/// Settings of a [`ControlClient`].
#[derive(Clone, Debug)]
pub struct ControlClientConfig {
    /// Addresses of the control replicas.
    pub directory: Directory,
    /// Time limit of a proposal, including retries; long enough for several elections.
    pub propose_timeout: Duration,
    /// Time limit of one attempt; short enough to try other replicas if one does not respond.
    pub attempt_timeout: Duration,
}

/// Range of the random delay before the next attempt, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 20..100;

/// Minimum interval between two surveys that find no leader; all calls of an instance share them.
const SURVEY_INTERVAL: Duration = Duration::from_millis(50);

/// Time allowed to send, parse and compare one adapter or subscriber of a manifest: about ten times
/// that of an idle machine, because a busy one takes several seconds for 100,000 of them.
const TIME_PER_MANIFEST_ENTRY: Duration = Duration::from_micros(70);

/// Number of attempts at submitting a manifest that fit into the total time limit.
const MANIFEST_ATTEMPTS: u32 = 3;

/// Time limits of a call: over all attempts, and for each attempt.
#[derive(Clone, Copy)]
struct Limits {
    total: Duration,
    attempt: Duration,
}

/// Client of the control log; clones share the known leader.
#[derive(Clone)]
pub struct ControlClient {
    cfg: Arc<ControlClientConfig>,
    peers: Peers,
    leader: Arc<Mutex<Option<InstanceId>>>,
    /// Time of the last survey that found no leader; locked during a survey.
    surveyed: Arc<tokio::sync::Mutex<Option<Instant>>>,
}

impl ControlClient {
    /// Creates a client of the replicas in `cfg.directory`; connects on first use.
    pub fn new(cfg: ControlClientConfig, peers: Peers) -> Self {
        Self { cfg: Arc::new(cfg), peers, leader: Arc::default(), surveyed: Arc::default() }
    }

    /// Returns the directory of the control replicas.
    pub fn directory(&self) -> &Directory {
        &self.cfg.directory
    }

    /// Appends a proposal to the control log; a whole manifest gets extra time by its size.
    pub async fn propose(&self, proposal: Proposal) -> Result<Reply, ProposeError> {
        let extra = match &proposal {
            Proposal::Manifest { manifest, .. } => extra_manifest_time(manifest),
            Proposal::Command(_) => Duration::ZERO,
        };
        let limits = Limits {
            total: self.cfg.propose_timeout + extra * MANIFEST_ATTEMPTS,
            attempt: self.cfg.attempt_timeout + extra,
        };
        let id = ProposalId(rand::random());
        let terms = ProposalTerms { id, wait_ms: limits.attempt.as_millis() as u64 };
        let result = self
            .call_leader_within(limits, |client| {
                let proposal = proposal.clone();
                async move { client.propose(proposal, Some(terms)).await }
            })
            .await;
        match result {
            Ok(reply) => Ok(reply),
            Err(RpcError::Refused(error)) => Ok(Reply::Refused(error)),
            Err(RpcError::Unavailable) => Err(ProposeError::Unavailable),
            Err(_) => Err(ProposeError::Unknown),
        }
    }

    /// Renews the lease of a session, retrying for at most `timeout`.
    pub async fn renew(
        &self,
        request: RenewRequest,
        timeout: Duration,
    ) -> Result<RenewReply, RpcError> {
        self.call_leader(Instant::now() + timeout, |client| {
            let request = request.clone();
            async move { client.renew(request).await }
        })
        .await
    }

    /// Waits for a weight-store permit for at most `request.wait_ms` and one attempt.
    pub async fn permit(&self, request: PermitRequest) -> Result<Permit, RpcError> {
        let timeout = Duration::from_millis(request.wait_ms) + self.cfg.attempt_timeout;
        self.call_leader(Instant::now() + timeout, |client| {
            let request = request.clone();
            async move { client.permit(request).await }
        })
        .await
    }

    /// Releases a weight-store permit.
    pub async fn release_permit(
        &self,
        session: SessionId,
        permit: PermitId,
    ) -> Result<(), RpcError> {
        let deadline = Instant::now() + self.cfg.propose_timeout;
        self.call_leader(
            deadline,
            |client| async move { client.release_permit(session, permit).await },
        )
        .await
    }

    /// Calls a method of the leader, retrying until it responds or the deadline passes.
    pub async fn call_leader<T, F, Fut>(&self, deadline: Instant, call: F) -> Result<T, RpcError>
    where
        F: Fn(HttpClient) -> Fut,
        Fut: Future<Output = Result<T, ClientError>>,
    {
        let total = deadline.saturating_duration_since(Instant::now());
        self.call_leader_within(Limits { total, attempt: self.cfg.attempt_timeout }, call).await
    }

    async fn call_leader_within<T, F, Fut>(&self, limits: Limits, call: F) -> Result<T, RpcError>
    where
        F: Fn(HttpClient) -> Fut,
        Fut: Future<Output = Result<T, ClientError>>,
    {
        let deadline = Instant::now() + limits.total;
        let mut may_have_run = false;
        loop {
            let mut delay = Duration::from_millis(rand::rng().random_range(RETRY_DELAY_MS));
            if let Some(name) = self.locate_leader(deadline).await {
                let attempt_deadline = deadline.min(Instant::now() + limits.attempt);
                match self.attempt(&name, attempt_deadline, &call).await {
                    Ok(response) => {
                        self.set_leader(Some(name));
                        return Ok(response);
                    }
                    Err(RpcError::NotLeader { leader }) => {
                        self.set_leader(leader.filter(|leader| *leader != name));
                    }
                    Err(RpcError::NotReplica | RpcError::Unavailable) => self.set_leader(None),
                    Err(RpcError::Unknown | RpcError::NoAnswer(_)) => {
                        may_have_run = true;
                        self.set_leader(None);
                    }
                    // Spread, so that those that were refused together do not return together.
                    Err(RpcError::Overloaded { retry_after_ms }) => {
                        let retry_after = Duration::from_millis(retry_after_ms);
                        delay += retry_after.mul_f64(rand::rng().random_range(1.0..2.0));
                    }
                    Err(error) => return Err(error),
                }
            }
            if Instant::now() + delay >= deadline {
                let error = if may_have_run { RpcError::Unknown } else { RpcError::Unavailable };
                return Err(error);
            }
            tokio::time::sleep(delay).await;
        }
    }

    /// Returns the leader as last observed, or asks the replicas; `None` if none of them leads.
    async fn locate_leader(&self, deadline: Instant) -> Option<InstanceId> {
        if let Some(leader) = self.known_leader() {
            return Some(leader);
        }
        tokio::time::timeout_at(deadline, self.survey_leader()).await.ok().flatten()
    }

    /// Asks the replicas for the leader; concurrent calls share surveys.
    async fn survey_leader(&self) -> Option<InstanceId> {
        let called_at = Instant::now();
        let mut surveyed = self.surveyed.lock().await;
        let is_answered = surveyed.is_some_and(|at| at + SURVEY_INTERVAL >= called_at);
        if let Some(leader) = self.known_leader() {
            return Some(leader);
        }
        if is_answered {
            return None;
        }
        let found = find_leader(&self.peers, &self.cfg.directory).await;
        match &found {
            Some(_) => self.set_leader(found.clone()),
            None => *surveyed = Some(Instant::now()),
        }
        found
    }

    async fn attempt<T, F, Fut>(
        &self,
        name: &InstanceId,
        deadline: Instant,
        call: &F,
    ) -> Result<T, RpcError>
    where
        F: Fn(HttpClient) -> Fut,
        Fut: Future<Output = Result<T, ClientError>>,
    {
        let addr = self.cfg.directory.addr(name).ok_or(RpcError::NotReplica)?;
        let client = self.peers.get(addr)?;
        match tokio::time::timeout_at(deadline, call(client)).await {
            Ok(result) => result.map_err(RpcError::from),
            Err(_) => Err(RpcError::NoAnswer(format!("replica {name} did not respond in time"))),
        }
    }

    /// Leader as last observed; `None` while it is unknown.
    pub fn known_leader(&self) -> Option<InstanceId> {
        self.leader.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set_leader(&self, leader: Option<InstanceId>) {
        let leader = leader.filter(|leader| self.cfg.directory.addr(leader).is_some());
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = leader;
    }
}

/// Additional time that submitting a whole manifest takes, compared with a small command.
fn extra_manifest_time(manifest: &Manifest) -> Duration {
    let entries = manifest.adapters.len() + manifest.subscribers.len();
    TIME_PER_MANIFEST_ENTRY.saturating_mul(u32::try_from(entries).unwrap_or(u32::MAX))
}
