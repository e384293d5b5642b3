//! RPC methods for operators, served from this instance's control state or by the leader.

use std::{
    collections::BTreeMap,
    sync::{Arc, OnceLock, Weak},
    time::Duration,
};

use jsonrpsee::core::async_trait;
use shallotdrum_control::{Command, ControlState, ControlView, Proposal, Reply};
use shallotdrum_gateway::Gateway;
use shallotdrum_manifest::{Manifest, ManifestDelta};
use shallotdrum_rpc::{
    AdapterRow, AdminApiServer, CallCounts, ControlClient, ExplainQuery, Explanation, GroupRow,
    InstanceRow, ManifestCheck, ManifestSummary, ManifestView, PeerApiClient, PermitRow,
    QuarantineRow, ReplicaStatus, RpcError, SubmissionRow, SubscriberRow, TargetRow,
};
use shallotdrum_types::{AdapterId, Fingerprint, InstanceId, Revision, SubmissionId, TargetId};
use tokio::time::Instant;

use crate::replica::Replica;

/// Timeout of a query to the leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a membership change, which includes a snapshot transfer.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of adapters in one reply.
const MAX_ADAPTER_ROWS: u32 = 10_000;

/// Server of the operator RPC methods.
#[derive(Clone)]
pub(crate) struct Admin {
    pub(crate) instance: InstanceId,
    pub(crate) view: ControlView,
    pub(crate) client: ControlClient,
    pub(crate) replica: Option<Arc<Replica>>,
    /// Gateway of the front end, once it has created one.
    pub(crate) gateway: Arc<OnceLock<Weak<Gateway>>>,
}

impl Admin {
    async fn propose(&self, proposal: Proposal) -> Result<Reply, RpcError> {
        match self.client.propose(proposal).await {
            Ok(Reply::Refused(error)) => Err(error.into()),
            Ok(reply) => Ok(reply),
            Err(shallotdrum_control::ProposeError::Unavailable) => Err(RpcError::Unavailable),
            Err(shallotdrum_control::ProposeError::Unknown) => Err(RpcError::Unknown),
        }
    }

    async fn command(&self, command: Command) -> Result<(), RpcError> {
        self.propose(Proposal::Command(command)).await.map(drop)
    }
}

#[async_trait]
impl AdminApiServer for Admin {
    async fn check_manifest(&self, manifest: String) -> Result<ManifestCheck, RpcError> {
        let manifest = parse_manifest(&manifest)?;
        let check = self.view.read(|state| {
            let changes = match state.manifest() {
                Some(current) => summarize_delta(&current.diff(&manifest)),
                None => ManifestSummary {
                    adapters_set: manifest.adapters.len(),
                    subscribers_set: manifest.subscribers.len(),
                    others: manifest.base_models.len() + manifest.services.len(),
                    ..ManifestSummary::default()
                },
            };
            ManifestCheck { compared_with: state.revision(), digest: manifest.digest(), changes }
        });
        Ok(check)
    }

    async fn submit_manifest(
        &self,
        submission: SubmissionId,
        base: Revision,
        manifest: String,
    ) -> Result<Revision, RpcError> {
        let manifest = Box::new(parse_manifest(&manifest)?);
        match self.propose(Proposal::Manifest { submission, base, manifest }).await? {
            Reply::ManifestAccepted(revision) => Ok(revision),
            reply => Err(RpcError::Malformed(format!("reply {reply:?}"))),
        }
    }

    async fn manifest(&self) -> Result<ManifestView, RpcError> {
        Ok(self.view.read(|state| ManifestView {
            revision: state.revision(),
            digest: state.manifest().map(|manifest| manifest.digest()),
            manifest: state.manifest().map(|manifest| Manifest::clone(manifest)),
        }))
    }

    async fn submissions(&self) -> Result<Vec<SubmissionRow>, RpcError> {
        let mut rows: Vec<_> = self.view.read(|state| {
            state
                .submissions()
                .map(|(submission, accepted)| SubmissionRow {
                    submission: submission.clone(),
                    revision: accepted.revision,
                    digest: accepted.digest,
                })
                .collect()
        });
        rows.sort_by_key(|row: &SubmissionRow| row.revision);
        Ok(rows)
    }

    async fn instances(&self) -> Result<Vec<InstanceRow>, RpcError> {
        let deadline = Instant::now() + LEADER_TIMEOUT;
        let reported = self
            .client
            .call_leader(deadline, |client| async move { client.sessions().await })
            .await?;
        let leader = self.client.known_leader();
        let reported: BTreeMap<_, _> = reported.into_iter().map(|row| (row.session, row)).collect();
        Ok(self.view.read(|state| {
            state
                .sessions()
                .map(|session| {
                    let row = reported.get(&session.id);
                    let groups = state.groups().filter(|group| group.owner == Some(session.id));
                    InstanceRow {
                        instance: session.info.instance.clone(),
                        incarnation: session.info.incarnation,
                        session: session.id,
                        region: session.info.region.clone(),
                        zone: session.info.zone.clone(),
                        is_replica: session.info.replica,
                        control_format: row.and_then(|row| row.format),
                        is_leader: Some(&session.info.instance) == leader.as_ref(),
                        is_draining: state.is_draining(session.id),
                        revision: row.and_then(|row| row.revision),
                        groups: groups.map(|group| group.id.clone()).collect(),
                    }
                })
                .collect()
        }))
    }

    async fn targets(&self) -> Result<Vec<TargetRow>, RpcError> {
        Ok(self.view.read(|state| {
            state
                .targets()
                .map(|target| TargetRow {
                    target: target.announced.target.clone(),
                    incarnation: target.announced.incarnation,
                    region: target.announced.region.clone(),
                    zone: target.announced.zone.clone(),
                    kind: target.announced.kind.clone(),
                    group: target.group.clone(),
                    owner: owner_instance(state, &target.group),
                    is_draining: target.draining,
                })
                .collect()
        }))
    }

    async fn groups(&self) -> Result<Vec<GroupRow>, RpcError> {
        Ok(self.view.read(|state| {
            state
                .groups()
                .map(|group| GroupRow {
                    group: group.id.clone(),
                    targets: group.targets.iter().cloned().collect(),
                    owner: owner_instance(state, &group.id),
                    session: group.owner,
                    epoch: group.epoch,
                })
                .collect()
        }))
    }

    async fn subscribers(&self) -> Result<Vec<SubscriberRow>, RpcError> {
        Ok(self.view.read(|state| {
            let subscribers = state.manifest().into_iter().flat_map(|m| m.subscribers.iter());
            subscribers
                .map(|(id, subscriber)| SubscriberRow {
                    subscriber: id.clone(),
                    weight: subscriber.weight,
                    keys: subscriber.key_hashes.len(),
                    adapter_patterns: subscriber.allow.adapters.len(),
                    services: subscriber.allow.services.len(),
                })
                .collect()
        }))
    }

    async fn adapters(
        &self,
        after: Option<AdapterId>,
        limit: u32,
    ) -> Result<Vec<AdapterRow>, RpcError> {
        let limit = limit.min(MAX_ADAPTER_ROWS) as usize;
        Ok(self.view.read(|state| {
            let adapters = state.manifest().into_iter().flat_map(|m| m.adapters.iter());
            adapters
                .skip_while(|(id, _)| after.as_ref().is_some_and(|after| *id <= after))
                .take(limit)
                .map(|(id, adapter)| AdapterRow {
                    adapter: id.clone(),
                    base_model: adapter.base_model.clone(),
                    current: adapter.current.clone(),
                    versions: adapter.versions.iter().map(|(version, _)| version.clone()).collect(),
                })
                .collect()
        }))
    }

    async fn permits(&self) -> Result<Vec<PermitRow>, RpcError> {
        let deadline = Instant::now() + LEADER_TIMEOUT;
        self.client
            .call_leader(deadline, |client| async move { client.leader_permits().await })
            .await
    }

    async fn quarantine(&self) -> Result<Vec<QuarantineRow>, RpcError> {
        Ok(self.view.read(|state| {
            let suspects = state.suspects().map(|(request, crashes)| (request, crashes, false));
            let quarantined = state.quarantine().map(|q| (q.request, q.crashes.len() as u32, true));
            suspects
                .chain(quarantined)
                .chain(state.suspect_parts())
                .map(|(request, crashes, is_quarantined)| QuarantineRow {
                    request,
                    crashes,
                    is_quarantined,
                })
                .collect()
        }))
    }

    async fn lift_quarantine(&self, request: Fingerprint) -> Result<(), RpcError> {
        self.command(Command::LiftQuarantine { request }).await
    }

    async fn drain_instance(&self, instance: InstanceId, drain: bool) -> Result<(), RpcError> {
        self.command(Command::DrainInstance { instance, drain }).await
    }

    async fn drain_target(&self, target: TargetId, drain: bool) -> Result<(), RpcError> {
        self.command(Command::DrainTarget { target, drain }).await
    }

    async fn replica_status(&self) -> Result<ReplicaStatus, RpcError> {
        let replica = self.replica.as_ref().ok_or(RpcError::NotReplica)?;
        let calls = CallCounts { total: self.view.read(|state| state.ledger_len()) };
        Ok(replica.status(&self.instance, calls))
    }

    async fn add_replica(&self, instance: InstanceId) -> Result<(), RpcError> {
        let deadline = Instant::now() + MEMBERSHIP_TIMEOUT;
        self.client
            .call_leader(deadline, |client| {
                let instance = instance.clone();
                async move { client.leader_add_replica(instance).await }
            })
            .await
    }

    async fn explain(&self, query: ExplainQuery) -> Result<Explanation, RpcError> {
        let gateway = self.gateway.get().and_then(Weak::upgrade).ok_or(RpcError::NoGateway)?;
        let explained = gateway.explain(&query).await;
        explained.map_err(|error| RpcError::InvalidQuery(error.to_string()))
    }

    async fn remove_replica(&self, instance: InstanceId) -> Result<(), RpcError> {
        let deadline = Instant::now() + MEMBERSHIP_TIMEOUT;
        self.client
            .call_leader(deadline, |client| {
                let instance = instance.clone();
                async move { client.leader_remove_replica(instance).await }
            })
            .await
    }
}

fn parse_manifest(manifest: &str) -> Result<Manifest, RpcError> {
    Manifest::parse(manifest.as_bytes()).map_err(RpcError::InvalidManifest)
}

fn owner_instance(state: &ControlState, group: &shallotdrum_types::GroupId) -> Option<InstanceId> {
    let owner = state.group(group)?.owner?;
    Some(state.session(owner)?.info.instance.clone())
}

fn summarize_delta(delta: &ManifestDelta) -> ManifestSummary {
    ManifestSummary {
        adapters_set: delta.adapters.set.len(),
        adapters_removed: delta.adapters.removed.len(),
        subscribers_set: delta.subscribers.set.len(),
        subscribers_removed: delta.subscribers.removed.len(),
        others: delta.base_models.set.len()
            + delta.base_models.removed.len()
            + delta.services.set.len()
            + delta.services.removed.len()
            + usize::from(delta.weight_store.is_some()),
    }
}
