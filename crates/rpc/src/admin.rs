//! Results of the operators' methods.

use serde::{Deserialize, Serialize};
use shallotdrum_engine::TargetKind;
use shallotdrum_manifest::Manifest;
use shallotdrum_types::{
    AdapterId, AdapterVersion, AvailabilityZone, BaseModelId, ControlFormat, Digest, Epoch,
    Fingerprint, GroupId, Incarnation, InstanceId, LogIndex, PermitId, Region, Revision, SessionId,
    SubmissionId, SubscriberId, TargetId, Term, Weight,
};

/// Result of validating a manifest without submitting it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ManifestCheck {
    /// Revision of the current manifest that the changes are relative to.
    pub compared_with: Revision,
    /// Digest of the validated manifest.
    pub digest: Digest,
    /// Changes that a submission would make.
    pub changes: ManifestSummary,
}

/// Counts of the changed items of a manifest.
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
    /// Base models and services added, changed or removed; a changed weight store counts as one.
    pub others: usize,
}

/// Current manifest, as last applied by an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ManifestView {
    /// Revision of the manifest; 0 if no manifest has been accepted yet.
    pub revision: Revision,
    /// Digest of the manifest; absent if there is none.
    pub digest: Option<Digest>,
    /// The manifest; absent at revision 0.
    pub manifest: Option<Manifest>,
}

/// Accepted manifest submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubmissionRow {
    /// Identifier that the operator's client chose.
    pub submission: SubmissionId,
    /// Revision assigned to the manifest.
    pub revision: Revision,
    /// Digest of the manifest.
    pub digest: Digest,
}

/// Instance with an open session.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Run of the instance's process.
    pub incarnation: Incarnation,
    /// Its open session.
    pub session: SessionId,
    /// Region that the instance runs in.
    pub region: Region,
    /// Availability zone that the instance runs in.
    pub zone: AvailabilityZone,
    /// Whether it is a control replica.
    pub is_replica: bool,
    /// Newest format of the control log that it is known to read; absent from earlier releases.
    #[serde(default)]
    pub control_format: Option<ControlFormat>,
    /// Whether it is the leader of the control log, as last observed.
    pub is_leader: bool,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Manifest revision in force at its last renewal; absent until it renews with this leader.
    pub revision: Option<Revision>,
    /// Target groups that it owns.
    pub groups: Vec<GroupId>,
}

/// Registered target and its group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetRow {
    /// Name of the target.
    pub target: TargetId,
    /// Run of the target's process.
    pub incarnation: Incarnation,
    /// Region that the target runs in.
    pub region: Region,
    /// Availability zone that the target runs in.
    pub zone: AvailabilityZone,
    /// Engine or service, with its capacity.
    pub kind: TargetKind,
    /// Group that it belongs to.
    pub group: GroupId,
    /// Owner of the group; absent while the group is unassigned.
    pub owner: Option<InstanceId>,
    /// Whether it is draining.
    pub is_draining: bool,
}

/// Target group with its owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupRow {
    /// Identifier of the group.
    pub group: GroupId,
    /// Members of the group.
    pub targets: Vec<TargetId>,
    /// Instance that owns the group; absent while the group is unassigned.
    pub owner: Option<InstanceId>,
    /// Owner's session; absent while the group is unassigned.
    pub session: Option<SessionId>,
    /// Fencing token of the latest assignment.
    pub epoch: Epoch,
}

/// Subscriber in the current manifest.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubscriberRow {
    /// Name of the subscriber.
    pub subscriber: SubscriberId,
    /// Fair-share weight relative to the other subscribers.
    pub weight: Weight,
    /// Number of accepted API keys.
    pub keys: usize,
    /// Number of allowed adapter names and patterns.
    pub adapter_patterns: usize,
    /// Number of allowed services.
    pub services: usize,
}

/// Adapter in the current manifest.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AdapterRow {
    /// Name of the adapter.
    pub adapter: AdapterId,
    /// Base model that the adapter belongs to.
    pub base_model: BaseModelId,
    /// Version used if a request names none.
    pub current: AdapterVersion,
    /// All versions, ordered by name.
    pub versions: Vec<AdapterVersion>,
}

/// Weight-store permit that has been granted and not released.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitRow {
    /// Identifier of the permit.
    pub permit: PermitId,
    /// Session that holds the permit.
    pub session: SessionId,
}

/// Request that is suspected of crashing targets, or quarantined for it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Number of target processes that crashed while running the request.
    pub crashes: u32,
    /// Whether the request is refused.
    pub is_quarantined: bool,
}

/// Size of the ledger of non-repeatable calls.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Number of calls in the ledger.
    pub total: usize,
}

/// State of a control replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Instance that runs the replica.
    pub instance: InstanceId,
    /// Whether the replica is the leader.
    pub is_leader: bool,
    /// Current leader, if known.
    pub leader: Option<InstanceId>,
    /// Current election term.
    pub term: Term,
    /// Index of the last committed command.
    pub commit: LogIndex,
    /// Index of the last applied command.
    pub applied: LogIndex,
    /// Index of the first command that is still in the log.
    pub first: LogIndex,
    /// Number of log syncs to disk since the process started.
    pub syncs: u64,
    /// Members of the cluster, both voters and learners.
    pub members: Vec<String>,
    /// Members that receive the log but don't vote or count towards the quorum.
    pub learners: Vec<String>,
    /// Size of the replica's call ledger.
    pub calls: CallCounts,
}
