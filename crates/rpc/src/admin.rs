//! What operators see.

use serde::{Deserialize, Serialize};
use shallotdrum_engine::TargetKind;
use shallotdrum_manifest::Manifest;
use shallotdrum_types::{
    AdapterId, AdapterVersion, AvailabilityZone, BaseModelId, Digest, Epoch, Fingerprint, GroupId,
    Incarnation, InstanceId, LogIndex, PermitId, Region, Revision, SessionId, SubmissionId,
    SubscriberId, TargetId, Term, Weight,
};

/// Result of a dry run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ManifestCheck {
    /// Revision that the manifest was compared with.
    pub compared_with: Revision,
    /// Digest of the checked manifest.
    pub digest: Digest,
    /// What would change.
    pub changes: ManifestSummary,
}

/// Numbers of changed items.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestSummary {
    /// Adapters added or changed.
    pub adapters_set: usize,
    /// Adapters removed.
    pub adapters_removed: usize,
    /// Subscribers added or changed.
    pub subscribers_set: usize,
    /// Subscribers removed.
    pub subscribers_removed: usize,
    /// Base models and services added, changed or removed.
    pub others: usize,
}

/// Manifest in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ManifestView {
    /// Revision; 0 if none was accepted.
    pub revision: Revision,
    /// Digest of the manifest.
    pub digest: Option<Digest>,
    /// The manifest.
    pub manifest: Option<Manifest>,
}

/// Accepted submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubmissionRow {
    /// Submission.
    pub submission: SubmissionId,
    /// Revision that it became.
    pub revision: Revision,
    /// Digest of the manifest.
    pub digest: Digest,
}

/// Instance with an open session.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Instance.
    pub instance: InstanceId,
    /// Process start.
    pub incarnation: Incarnation,
    /// Session.
    pub session: SessionId,
    /// Region.
    pub region: Region,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Whether it is a control replica.
    pub is_replica: bool,
    /// Whether it leads the control log.
    pub is_leader: bool,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Manifest revision in force at the last renewal, if it has renewed.
    pub revision: Option<Revision>,
    /// Groups that it owns.
    pub groups: Vec<GroupId>,
}

/// Target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetRow {
    /// Target.
    pub target: TargetId,
    /// Process start.
    pub incarnation: Incarnation,
    /// Region.
    pub region: Region,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// What it runs.
    pub kind: TargetKind,
    /// Group that it belongs to.
    pub group: GroupId,
    /// Owner of the group.
    pub owner: Option<InstanceId>,
    /// Whether it is draining.
    pub is_draining: bool,
}

/// Target group with its owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupRow {
    /// Group.
    pub group: GroupId,
    /// Targets in it.
    pub targets: Vec<TargetId>,
    /// Owner.
    pub owner: Option<InstanceId>,
    /// Session of the owner.
    pub session: Option<SessionId>,
    /// Fencing number.
    pub epoch: Epoch,
}

/// Subscriber.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubscriberRow {
    /// Subscriber.
    pub subscriber: SubscriberId,
    /// Share relative to the others.
    pub weight: Weight,
    /// Number of bearer keys.
    pub keys: usize,
    /// Number of allowed adapter patterns.
    pub adapter_patterns: usize,
    /// Number of allowed services.
    pub services: usize,
}

/// Adapter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AdapterRow {
    /// Adapter.
    pub adapter: AdapterId,
    /// Base model.
    pub base_model: BaseModelId,
    /// Version used when a caller names none.
    pub current: AdapterVersion,
    /// All versions.
    pub versions: Vec<AdapterVersion>,
}

/// Weight-store permit in use.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitRow {
    /// Permit.
    pub permit: PermitId,
    /// Session that holds it.
    pub session: SessionId,
}

/// Request that crashed targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// Request.
    pub request: Fingerprint,
    /// Targets that crashed while they ran it.
    pub crashes: u32,
    /// Whether it is refused.
    pub is_quarantined: bool,
}

/// Numbers of ledger entries by state.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls in the ledger.
    pub total: usize,
}

/// State of a control replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Instance.
    pub instance: InstanceId,
    /// Whether it leads.
    pub is_leader: bool,
    /// Leader, if known.
    pub leader: Option<InstanceId>,
    /// Term.
    pub term: Term,
    /// Last committed command.
    pub commit: LogIndex,
    /// Last applied command.
    pub applied: LogIndex,
    /// First command that the log still holds.
    pub first: LogIndex,
    /// Number of log syncs since start.
    pub syncs: u64,
    /// Members, voting or learning.
    pub members: Vec<String>,
    /// Members that only learn the log and don't count in the quorum.
    pub learners: Vec<String>,
    /// Ledger entries.
    pub calls: CallCounts,
}
