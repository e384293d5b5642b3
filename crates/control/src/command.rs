//! Commands of the control log and their replies.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use shallotdrum_engine::TargetKind;
use shallotdrum_manifest::{Manifest, ManifestDelta, ManifestErrors};
use shallotdrum_routes::{DeltaError, RouteDelta, RouteTable};
use shallotdrum_types::{
    AdapterId, AvailabilityZone, BaseModelId, ControlTimeMs, Digest, Epoch, Fingerprint, GroupId,
    IdempotencyKey, Incarnation, InstanceId, PoolId, Region, RequestId, Revision, SessionId,
    SubmissionId, SubscriberId, TargetId,
};

/// Command with the control time at which the leader proposed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedCommand {
    /// Control time, never below that of an earlier command.
    pub at: ControlTimeMs,
    /// What to change.
    pub command: Command,
}

/// Change to the control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session for a started instance and ends the instance's earlier session.
    OpenSession(InstanceInfo),
    /// Ends a session, planned or after its lease expired; its groups become unowned and its
    /// unfinished calls become unknown.
    EndSession {
        /// Session to end.
        session: SessionId,
    },
    /// Marks a session as draining until it ends, for the planned stop of a process.
    DrainSession {
        /// Session to drain.
        session: SessionId,
    },
    /// Marks an instance as draining: it gets no new groups and gives up those it has.
    ///
    /// The mark survives restarts of the instance, until draining is ended.
    DrainInstance {
        /// Instance to drain.
        instance: InstanceId,
        /// Whether to drain it or to end draining.
        drain: bool,
    },
    /// Puts a new manifest in force, as the difference from the revision it is based on.
    SubmitManifest {
        /// Identifies the submission, also when resent.
        submission: SubmissionId,
        /// Revision that the operator's change is based on.
        base: Revision,
        /// Difference from the base revision; the leader computes it.
        delta: Box<ManifestDelta>,
        /// Digest of the whole new manifest.
        digest: Digest,
    },
    /// Registers a target, or a new incarnation of it, and puts it in a group.
    RegisterTarget(AnnouncedTarget),
    /// Removes a target that left, or that stopped announcing itself.
    RemoveTarget {
        /// Target to remove.
        target: TargetId,
        /// Incarnation to remove; a newer one stays.
        incarnation: Incarnation,
        /// Whether the target said that it leaves; a late announcement of this incarnation does
        /// not register it again.
        is_leaving: bool,
    },
    /// Marks a target as draining: it gets no new work. A new incarnation is not draining.
    DrainTarget {
        /// Target to drain.
        target: TargetId,
        /// Whether to drain it or to end draining.
        drain: bool,
    },
    /// Gives an unowned group to a session, at the next epoch.
    AssignGroup {
        /// Group to assign.
        group: GroupId,
        /// New owner.
        session: SessionId,
    },
    /// Gives up the ownership of a group; no order of the owner is in flight any more.
    ReleaseGroup {
        /// Group to release.
        group: GroupId,
        /// Session that owns it.
        session: SessionId,
    },
    /// Records the intent of a call that may not be repeated.
    BeginCall {
        /// Subscriber and key of the call.
        key: CallKey,
        /// Hash of service, method, path and body.
        fingerprint: Fingerprint,
        /// Session that will send the call.
        session: SessionId,
        /// Identifies the attempt to begin, so that a resent command gets the first reply.
        attempt: RequestId,
    },
    /// Records the answer of a begun call.
    FinishCall {
        /// Subscriber and key of the call.
        key: CallKey,
        /// Session that sent the call.
        session: SessionId,
        /// The answer; absent if the result is unknown.
        answer: Option<RecordedAnswer>,
    },
    /// Withdraws a begun call that was certainly not run, so that the key can be used again.
    ///
    /// The attempt protects a later call with the same key from a copy of this command that is
    /// committed late.
    AbandonCall {
        /// Subscriber and key of the call.
        key: CallKey,
        /// Session that had begun the call.
        session: SessionId,
        /// Attempt that had begun the call.
        attempt: RequestId,
    },
    /// Counts a crash for each request that ran on a crashed target.
    ReportCrash {
        /// Target that crashed.
        target: TargetId,
        /// Incarnation that crashed; a crash is counted once.
        incarnation: Incarnation,
        /// Requests that were running.
        requests: Vec<Fingerprint>,
    },
    /// Lifts the quarantine of a request and forgets its crashes.
    LiftQuarantine {
        /// Request to allow again.
        request: Fingerprint,
    },
    /// Puts a route table in force if its revision is higher than the one in force.
    PutRoutes {
        /// Table, already checked.
        table: Arc<RouteTable>,
    },
    /// Puts a route table in force, as the difference from the table in force; the leader
    /// computes it.
    PatchRoutes {
        /// Difference; it has no effect if its revision is not higher than the one in force.
        delta: Box<RouteDelta>,
    },
    /// Names the current version of an adapter; a lower one than before has no effect.
    RaiseAdapterVersion {
        /// Base model of the adapter.
        base: BaseModelId,
        /// Adapter.
        adapter: AdapterId,
        /// Version.
        version: u64,
    },
    /// Advances control time and forgets what has expired.
    Tick,
}

/// A started instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Name from the settings.
    pub instance: InstanceId,
    /// Number of this process start.
    pub incarnation: Incarnation,
    /// Region from the settings.
    pub region: Region,
    /// Availability zone from the settings.
    pub zone: AvailabilityZone,
    /// Where the instance listens.
    pub addrs: InstanceAddrs,
    /// Whether the instance is a control replica.
    pub replica: bool,
}

/// Where an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceAddrs {
    /// Callers, targets and the platform.
    pub entry: SocketAddr,
    /// JSON-RPC of other instances and operators.
    pub rpc: SocketAddr,
    /// Forwarded requests of other instances.
    pub data: SocketAddr,
}

/// The lasting part of a target's announcement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnouncedTarget {
    /// Name that is stable across restarts.
    pub target: TargetId,
    /// Number of this process start.
    pub incarnation: Incarnation,
    /// Address that serves requests and orders.
    pub addr: SocketAddr,
    /// Pool that the target belongs to.
    pub pool: PoolId,
    /// Region that the target is in.
    pub region: Region,
    /// Availability zone that the target is in.
    pub zone: AvailabilityZone,
    /// What the target runs.
    pub kind: TargetKind,
}

/// Identifies a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallKey {
    /// Subscriber that made the call.
    pub subscriber: SubscriberId,
    /// Key that the subscriber chose.
    pub key: IdempotencyKey,
}

/// Answer of a finished call, kept for resends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: Vec<(String, String)>,
    /// Body; absent if it was larger than `MAX_RECORDED_BODY_BYTES` or the ledger had no room.
    #[serde(with = "body_base64")]
    pub body: Option<Vec<u8>>,
}

impl Command {
    /// Puts a route table in force, by its difference from the table in force if there is one.
    ///
    /// Takes long for a large table, so a leader calls it without access to the state.
    pub fn put_routes(
        in_force: Option<&RouteTable>,
        table: Arc<RouteTable>,
    ) -> Result<Self, DeltaError> {
        match in_force {
            Some(base) => Ok(Self::PatchRoutes { delta: Box::new(base.diff(&table)?) }),
            None => Ok(Self::PutRoutes { table }),
        }
    }

    /// Whether the command changes the ledger and control time only; followers are not sent it.
    pub fn is_ledger_only(&self) -> bool {
        matches!(
            self,
            Self::BeginCall { .. }
                | Self::FinishCall { .. }
                | Self::AbandonCall { .. }
                | Self::Tick
        )
    }
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The command was applied and has nothing more to say.
    Done,
    /// A session was opened.
    SessionOpened(SessionId),
    /// A manifest is in force at this revision, now or by the same earlier submission.
    ManifestAccepted(Revision),
    /// Route table in force after the command.
    RoutesInForce(Revision),
    /// A target belongs to this group.
    TargetRegistered(GroupId),
    /// A group is owned at this epoch.
    GroupAssigned(Epoch),
    /// What to do with a call that may not be repeated.
    Begin(BeginOutcome),
    /// The command was refused and changed nothing.
    Refused(CommandError),
}

/// What to do with a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BeginOutcome {
    /// The intent is durable; the caller of `BeginCall` sends the call, once.
    Begun,
    /// Another send is in progress.
    InProgress,
    /// The call was answered before.
    Answered(RecordedAnswer),
    /// The call was sent before and its result is unknown.
    Unknown,
    /// The key was used with another fingerprint.
    KeyReused,
}

/// Why a command was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum CommandError {
    /// Another submission was accepted first.
    #[error("manifest conflict: based on revision {base}, but revision {current} is in force")]
    ManifestConflict {
        /// Revision that the submission was based on.
        base: Revision,
        /// Revision in force.
        current: Revision,
    },
    /// The submission id was used for another manifest.
    #[error("submission {submission} was used for another manifest")]
    SubmissionReused {
        /// Submission id.
        submission: SubmissionId,
    },
    /// The delta does not lead to the manifest with the given digest.
    #[error("manifest digest mismatch: expected {expected}, got {actual}")]
    DigestMismatch {
        /// Digest in the command.
        expected: Digest,
        /// Digest after applying the delta.
        actual: Digest,
    },
    /// The delta leads to a manifest that is not valid.
    #[error("invalid manifest: {0}")]
    ManifestInvalid(ManifestErrors),
    /// Another route table came in force since the difference was computed.
    #[error("route table conflict: based on revision {base}, but revision {current} is in force")]
    RoutesConflict {
        /// Revision that the difference is based on.
        base: Revision,
        /// Revision in force.
        current: Revision,
    },
    /// The difference does not lead to a route table.
    #[error("invalid route table: {0}")]
    RoutesInvalid(String),
    /// The session has ended or never existed.
    #[error("session {0} has ended")]
    NoSession(SessionId),
    /// The instance is unknown.
    #[error("instance {0} is unknown")]
    NoInstance(InstanceId),
    /// A newer process of the instance has a session.
    #[error("instance {instance} has a session of newer incarnation {current}")]
    OldInstance {
        /// Instance.
        instance: InstanceId,
        /// Incarnation that has a session.
        current: Incarnation,
    },
    /// The target is unknown.
    #[error("target {0} is unknown")]
    NoTarget(TargetId),
    /// The target announced a newer incarnation.
    #[error("target {target} has newer incarnation {current}")]
    OldIncarnation {
        /// Target.
        target: TargetId,
        /// Newest incarnation.
        current: Incarnation,
    },
    /// The target said before that it leaves.
    #[error("target {target} has left; a new incarnation may join")]
    TargetLeft {
        /// Target.
        target: TargetId,
    },
    /// The target does not run what the other targets of its pool run.
    #[error("target {target} can't join pool {pool}, whose targets run something else")]
    PoolKindMismatch {
        /// Target.
        target: TargetId,
        /// Pool.
        pool: PoolId,
    },
    /// The group is unknown.
    #[error("group {0} is unknown")]
    NoGroup(GroupId),
    /// The group has another owner.
    #[error("group {0} has another owner")]
    GroupOwned(GroupId),
    /// The session does not own the group.
    #[error("session {session} does not own group {group}")]
    NotOwner {
        /// Group.
        group: GroupId,
        /// Session.
        session: SessionId,
    },
    /// The session is draining and takes no groups.
    #[error("session {0} is draining")]
    SessionDraining(SessionId),
    /// The call was not begun by this session.
    #[error("the call was not begun by this session")]
    NoCall,
    /// The call has another answer, which stays.
    #[error("the call was finished before with another answer")]
    CallFinished,
    /// The ledger is full.
    #[error("the ledger holds its limit of calls; try again later")]
    LedgerFull,
    /// The request is not quarantined.
    #[error("request {0} is not quarantined")]
    NotQuarantined(Fingerprint),
}

/// What an instance asks the leader to write to the log.
///
/// Differs from `Command` where the leader completes the command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Proposal {
    /// Writes the command as it is.
    Command(Command),
    /// Computes the difference to the base revision and writes `Command::SubmitManifest`.
    Manifest {
        /// Identifies the submission, also when resent.
        submission: SubmissionId,
        /// Revision that the change is based on.
        base: Revision,
        /// The whole new manifest, already validated.
        manifest: Box<Manifest>,
    },
}

/// Why a proposal got no reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ProposeError {
    /// No leader was reachable; the command was certainly not written.
    #[error("the control log is not available; the change was not made")]
    Unavailable,
    /// The answer was lost; the command may have been written.
    #[error("the control log did not answer; the change may have been made")]
    Unknown,
}

/// Writes a proposal to the control log, through the leader, and returns the reply.
pub type ProposeFn = Arc<
    dyn Fn(Proposal) -> std::pin::Pin<Box<dyn Future<Output = Result<Reply, ProposeError>> + Send>>
        + Send
        + Sync,
>;

/// Recorded bodies as base64; as JSON numbers they would take almost four times their size.
mod body_base64 {
    use base64::{Engine as _, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(
        body: &Option<Vec<u8>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        body.as_ref().map(|body| STANDARD.encode(body)).serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Vec<u8>>, D::Error> {
        let text = Option::<String>::deserialize(deserializer)?;
        text.map(|text| STANDARD.decode(text)).transpose().map_err(D::Error::custom)
    }
}
