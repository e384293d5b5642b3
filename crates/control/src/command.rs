//! Commands of the control log and their replies.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use shallotdrum_engine::TargetKind;
use shallotdrum_manifest::{Manifest, ManifestDelta, ManifestErrors};
use shallotdrum_routes::{DeltaError, RouteDelta, RouteTable};
use shallotdrum_types::{
    AdapterId, AvailabilityZone, BaseModelId, ControlFormat, ControlTimeMs, Digest, Epoch,
    Fingerprint, GroupId, IdempotencyKey, Incarnation, InstanceId, MilliCores, PoolId, Region,
    RequestId, Revision, SessionId, SoftwareVersion, SubmissionId, SubscriberId, TargetId,
};

use crate::{CallerIdentity, CompletedRuns, Isolation, PartRun, SuspectPart};

/// Log entry: a command with the control time at which the leader proposed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedCommand {
    /// Control time, never below that of an earlier command.
    pub at: ControlTimeMs,
    /// The change to apply.
    pub command: Command,
}

/// Change to the control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session for a started instance and ends the instance's previous session.
    OpenSession(InstanceInfo),
    /// Ends a session, on shutdown or because its lease expired. Its groups lose their owner, and
    /// the results of its unfinished calls become unknown.
    EndSession {
        /// Session to end.
        session: SessionId,
    },
    /// Marks a session as draining until it ends, for a graceful shutdown of the process.
    DrainSession {
        /// Session to drain.
        session: SessionId,
    },
    /// Records whether an instance has lost its links to most targets. It gets groups only if no other
    /// instance can.
    ReportLinks {
        /// Session of the instance.
        session: SessionId,
        /// Whether most links are broken.
        is_cut_off: bool,
    },
    /// Starts or stops draining an instance: it gets no new groups and releases those it owns.
    ///
    /// The instance keeps draining across restarts until this is revoked.
    DrainInstance {
        /// Must have a live session if draining starts.
        instance: InstanceId,
        /// `true` starts draining, `false` stops it.
        drain: bool,
    },
    /// Replaces the manifest, by its delta from the revision that it is based on.
    SubmitManifest {
        /// Idempotency key of the submission.
        submission: SubmissionId,
        /// Revision that the operator's change is based on.
        base: Revision,
        /// Delta from the base revision, computed by the leader.
        delta: Box<ManifestDelta>,
        /// Digest of the complete new manifest.
        digest: Digest,
    },
    /// Registers a target, or a new incarnation of it, and adds it to a group.
    RegisterTarget(AnnouncedTarget),
    /// Removes a target that left, or that stopped announcing itself.
    RemoveTarget {
        /// Target to remove.
        target: TargetId,
        /// Incarnation to remove; the command is refused if a newer one is registered. 0 in commands of
        /// earlier releases that knew of none: the one that was removed last, then.
        incarnation: Incarnation,
        /// Whether the target left on its own; a delayed announcement of this incarnation then
        /// does not register it again.
        is_leaving: bool,
    },
    /// Records that a target left whose incarnation the sender does not know, because no announcement
    /// has reached it yet. Removes the target if it is registered.
    LeaveUnknown {
        /// Target that left on its own.
        target: TargetId,
        /// Newest incarnation that may have left: a delayed announcement of this or an earlier one
        /// does not register the target. The command is refused if a newer one is registered.
        newest: Incarnation,
    },
    /// Starts or stops draining a target: it gets no new work. A new incarnation is not draining.
    DrainTarget {
        /// Must be registered.
        target: TargetId,
        /// `true` starts draining, `false` stops it.
        drain: bool,
    },
    /// Makes a session the owner of an unowned group, at the next epoch.
    AssignGroup {
        /// Group without an owner.
        group: GroupId,
        /// New owner.
        session: SessionId,
    },
    /// Ends the ownership of a group. The owner sends it once none of its orders is in flight.
    ReleaseGroup {
        /// Group to release.
        group: GroupId,
        /// Current owner.
        session: SessionId,
    },
    /// Records the intent to send a non-repeatable call.
    BeginCall {
        /// Subscriber and idempotency key of the call.
        key: CallKey,
        /// Hash of service, method, path and body.
        fingerprint: Fingerprint,
        /// Session that will send the call.
        session: SessionId,
        /// Identifies the attempt, so that a resent command gets the same reply as the first.
        attempt: RequestId,
    },
    /// Records the result of a begun call.
    FinishCall {
        /// Subscriber and idempotency key of the call.
        key: CallKey,
        /// Session that sent the call.
        session: SessionId,
        /// Answer to record; `None` if the result is unknown.
        answer: Option<RecordedAnswer>,
    },
    /// Deletes a begun call that is known not to have been executed, so that the key can be
    /// reused.
    ///
    /// A delayed duplicate of this command does not affect a later call with the same key, which
    /// has another attempt.
    AbandonCall {
        /// Subscriber and idempotency key of the call.
        key: CallKey,
        /// Session that began the call.
        session: SessionId,
        /// Attempt that began the call.
        attempt: RequestId,
    },
    /// Records a crash of a target for each request that was running on it.
    ReportCrash {
        /// Target that crashed.
        target: TargetId,
        /// Incarnation that crashed; its crash is counted once per request.
        incarnation: Incarnation,
        /// Requests that were running.
        requests: Vec<Fingerprint>,
        /// How these requests run if they are suspects.
        #[serde(default)]
        isolation: Isolation,
        /// Identities in `requests` that stand for the same request by any caller or for any adapter.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        any_caller: Vec<Fingerprint>,
        /// Which of these identities each of them includes.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        callers: Vec<CallerIdentity>,
        /// Successful runs of these requests shortly before the crash that were not reported yet.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        completed: Vec<CompletedRuns>,
        /// Parts of the prompts of these requests that others may share.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        parts: Vec<SuspectPart>,
        /// Successful runs on these parts shortly before the crash.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        part_runs: Vec<PartRun>,
    },
    /// Records successful runs of suspected or quarantined requests, and on such parts of prompts.
    ReportRuns {
        /// Runs since the previous report of the instance.
        completed: Vec<CompletedRuns>,
        /// The latest run on each of the parts.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        part_runs: Vec<PartRun>,
    },
    /// Ends the temporary quarantine of a request by one caller, or permits the sender one request by
    /// any caller or with a quarantined part. Refused until the time has passed.
    EndSuspension {
        /// Request or part; no effect if it is not quarantined, or only until an operator lifts it.
        request: Fingerprint,
    },
    /// Forgets the crashes of a request, and releases it from quarantine.
    ///
    /// Written by earlier releases, for which a single complete run cleared a request.
    ClearSuspect {
        /// No effect if it is not a suspect.
        request: Fingerprint,
    },
    /// Lifts the quarantine of a request and clears its crash count.
    LiftQuarantine {
        /// Must be quarantined.
        request: Fingerprint,
    },
    /// Replaces the route table if the revision of the new one is higher.
    PutRoutes {
        /// Table that has passed `RouteTable::check`.
        table: Arc<RouteTable>,
    },
    /// Replaces the route table, by a delta from the current table that the leader computes.
    PatchRoutes {
        /// No effect if its revision is not higher than the current one.
        delta: Box<RouteDelta>,
    },
    /// Raises the current version of an adapter; a lower version has no effect.
    RaiseAdapterVersion {
        /// Base model of the adapter.
        base: BaseModelId,
        /// Adapter to update.
        adapter: AdapterId,
        /// Version to serve from now on.
        version: u64,
    },
    /// Raises the format of the log. A lower format has no effect.
    ///
    /// Written once all replicas and live sessions can read the format; releases that cannot must not
    /// be started on this log any more.
    RaiseFormat {
        /// Format of the commands that may follow.
        format: ControlFormat,
    },
    /// Advances control time and drops expired calls.
    Tick,
}

/// Description of a started instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Name from the settings.
    pub instance: InstanceId,
    /// Increases with each start of the process.
    pub incarnation: Incarnation,
    /// Region from the settings.
    pub region: Region,
    /// Availability zone from the settings.
    pub zone: AvailabilityZone,
    /// Addresses on which the instance listens.
    pub addrs: InstanceAddrs,
    /// Whether the instance is a control replica.
    pub replica: bool,
    /// Processor time that the instance may use, if its settings say; earlier releases do not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cores: Option<MilliCores>,
}

/// Addresses on which an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceAddrs {
    /// For callers, targets and the platform.
    pub entry: SocketAddr,
    /// For JSON-RPC of other instances and operators.
    pub rpc: SocketAddr,
    /// For requests that other instances forward.
    pub data: SocketAddr,
}

/// Part of a target's announcement that is kept in the control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnouncedTarget {
    /// Stable across restarts.
    pub target: TargetId,
    /// Increases with each start of the process.
    pub incarnation: Incarnation,
    /// Address for requests and orders.
    pub addr: SocketAddr,
    /// Pool that the target belongs to.
    pub pool: PoolId,
    /// Region in which the target runs.
    pub region: Region,
    /// Availability zone in which the target runs.
    pub zone: AvailabilityZone,
    /// Model engine or plain service, with its capacity.
    pub kind: TargetKind,
    /// Version of the software of this process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
}

/// Identifies a non-repeatable call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallKey {
    /// Subscriber that made the call.
    pub subscriber: SubscriberId,
    /// Key chosen by the subscriber.
    pub key: IdempotencyKey,
}

/// Answer of a finished call, replayed when the call is resent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// HTTP headers, up to `MAX_RECORDED_HEADER_BYTES`; empty if the ledger was at its size limit.
    pub headers: Vec<(String, String)>,
    /// `None` if it exceeded `MAX_RECORDED_BODY_BYTES` or the ledger was at its size limit.
    #[serde(with = "body_base64")]
    pub body: Option<Vec<u8>>,
}

impl Command {
    /// Builds the command that replaces the route table, by a delta if there is a current table.
    ///
    /// This is slow for a large table, so the leader calls it without holding the state lock.
    pub fn put_routes(
        current: Option<&RouteTable>,
        table: Arc<RouteTable>,
    ) -> Result<Self, DeltaError> {
        match current {
            Some(base) => Ok(Self::PatchRoutes { delta: Box::new(base.diff(&table)?) }),
            None => Ok(Self::PutRoutes { table }),
        }
    }

    /// Name of the kind of command, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::OpenSession(_) => "open-session",
            Self::EndSession { .. } => "end-session",
            Self::DrainSession { .. } => "drain-session",
            Self::ReportLinks { .. } => "report-links",
            Self::DrainInstance { .. } => "drain-instance",
            Self::SubmitManifest { .. } => "submit-manifest",
            Self::RegisterTarget(_) => "register-target",
            Self::RemoveTarget { .. } => "remove-target",
            Self::LeaveUnknown { .. } => "leave-unknown",
            Self::DrainTarget { .. } => "drain-target",
            Self::AssignGroup { .. } => "assign-group",
            Self::ReleaseGroup { .. } => "release-group",
            Self::BeginCall { .. } => "begin-call",
            Self::FinishCall { .. } => "finish-call",
            Self::AbandonCall { .. } => "abandon-call",
            Self::ReportCrash { .. } => "report-crash",
            Self::ReportRuns { .. } => "report-runs",
            Self::EndSuspension { .. } => "end-suspension",
            Self::ClearSuspect { .. } => "clear-suspect",
            Self::LiftQuarantine { .. } => "lift-quarantine",
            Self::PutRoutes { .. } => "put-routes",
            Self::PatchRoutes { .. } => "patch-routes",
            Self::RaiseAdapterVersion { .. } => "raise-adapter-version",
            Self::RaiseFormat { .. } => "raise-format",
            Self::Tick => "tick",
        }
    }

    /// Whether the command only adds to what is known of crashes and links. It counts at its sender before
    /// it is written, so that it can wait for everything else.
    pub fn is_evidence(&self) -> bool {
        matches!(
            self,
            Self::ReportCrash { .. } | Self::ReportRuns { .. } | Self::ReportLinks { .. }
        )
    }

    /// Whether the command changes only the ledger and control time; followers do not receive it.
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
    /// The command was applied and returns no value.
    Done,
    /// The session that was opened, or that the same process had opened before.
    SessionOpened(SessionId),
    /// Revision at which the manifest was accepted, by this command or an earlier copy of it.
    ManifestAccepted(Revision),
    /// Revision of the route table after the command.
    RoutesInForce(Revision),
    /// Group of the registered target.
    TargetRegistered(GroupId),
    /// Epoch at which the session owns the group.
    GroupAssigned(Epoch),
    /// State of a non-repeatable call.
    Begin(BeginOutcome),
    /// The command was refused and changed nothing.
    Refused(CommandError),
}

/// Result of beginning a non-repeatable call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BeginOutcome {
    /// The intent is committed; the session must now send the call exactly once.
    Begun,
    /// Another attempt is in progress.
    InProgress,
    /// An earlier attempt was answered.
    Answered(RecordedAnswer),
    /// An earlier attempt may have been executed; its result is unknown.
    Unknown,
    /// The key was used for a call with another fingerprint.
    KeyReused,
}

/// Why a command was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum CommandError {
    /// Another submission was accepted since the base revision.
    #[error("manifest conflict: based on revision {base}, but revision {current} is in force")]
    ManifestConflict {
        /// Revision that the submission is based on.
        base: Revision,
        /// Revision of the current manifest.
        current: Revision,
    },
    /// The submission id was used for another manifest.
    #[error("submission id {submission} was already used for another manifest")]
    SubmissionReused {
        /// Submission id.
        submission: SubmissionId,
    },
    /// Applying the delta does not result in the manifest with the given digest.
    #[error("manifest digest mismatch: expected {expected}, got {actual}")]
    DigestMismatch {
        /// Digest in the command.
        expected: Digest,
        /// Digest after applying the delta.
        actual: Digest,
    },
    /// Applying the delta results in an invalid manifest.
    #[error("invalid manifest: {0}")]
    ManifestInvalid(ManifestErrors),
    /// The route table was replaced since the delta was computed.
    #[error("route table conflict: based on revision {base}, but revision {current} is in force")]
    RoutesConflict {
        /// Revision that the delta is based on.
        base: Revision,
        /// Revision of the current table.
        current: Revision,
    },
    /// The delta cannot be applied to the current table.
    #[error("invalid route table: {0}")]
    RoutesInvalid(String),
    /// The session has ended or never existed.
    #[error("session {0} has ended or does not exist")]
    NoSession(SessionId),
    /// The instance has no live session and is not draining.
    #[error("instance {0} is unknown")]
    NoInstance(InstanceId),
    /// A newer process of the instance has a session.
    #[error("instance {instance} has a session with the newer incarnation {current}")]
    OldInstance {
        /// Instance of the refused process.
        instance: InstanceId,
        /// Incarnation that has the session.
        current: Incarnation,
    },
    /// The target is not registered.
    #[error("target {0} is unknown")]
    NoTarget(TargetId),
    /// The target announced a newer incarnation.
    #[error("target {target} is registered with the newer incarnation {current}")]
    OldIncarnation {
        /// Target of the refused command.
        target: TargetId,
        /// Registered incarnation.
        current: Incarnation,
    },
    /// This incarnation of the target, or a newer one, has left.
    #[error("target {target} has left; only a newer incarnation can register")]
    TargetLeft {
        /// Target that has left.
        target: TargetId,
    },
    /// The kind of the target differs from that of the other targets of its pool.
    #[error("target {target} cannot join pool {pool}: its kind differs from the pool's targets")]
    PoolKindMismatch {
        /// Target that was not registered.
        target: TargetId,
        /// Pool that it announced.
        pool: PoolId,
    },
    /// The group does not exist.
    #[error("group {0} is unknown")]
    NoGroup(GroupId),
    /// Another session owns the group.
    #[error("group {0} is owned by another session")]
    GroupOwned(GroupId),
    /// The session does not own the group.
    #[error("session {session} does not own group {group}")]
    NotOwner {
        /// Group to release.
        group: GroupId,
        /// Session that sent the command.
        session: SessionId,
    },
    /// The session, or its instance, is draining and gets no new groups.
    #[error("session {0} is draining")]
    SessionDraining(SessionId),
    /// The ledger has no such call of this session and attempt.
    #[error("the call was not begun by this session")]
    NoCall,
    /// The call has a result that this command must not replace.
    #[error("the call already has a result")]
    CallFinished,
    /// The ledger has reached `MAX_LEDGER_CALLS`.
    #[error("the ledger has reached its maximum number of calls; retry later")]
    LedgerFull,
    /// The request is not quarantined.
    #[error("request {0} is not quarantined")]
    NotQuarantined(Fingerprint),
    /// Some instance could not read the command.
    #[error("the control log has format {agreed}, and this command needs format {needed}")]
    FormatNotAgreed {
        /// Format that the command belongs to.
        needed: ControlFormat,
        /// Format of the log.
        agreed: ControlFormat,
    },
    /// The time of the temporary quarantine has not passed.
    #[error("request {0} is still suspended")]
    Suspended(Fingerprint),
}

/// Request to the leader to append a command to the log.
///
/// It differs from `Command` where the leader computes a part of the command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Proposal {
    /// Appends the command unchanged.
    Command(Command),
    /// Appends `Command::SubmitManifest` with the delta from the base revision.
    Manifest {
        /// Idempotency key of the submission.
        submission: SubmissionId,
        /// Revision that the change is based on.
        base: Revision,
        /// Complete new manifest, already validated.
        manifest: Box<Manifest>,
    },
}

/// Why a proposal got no reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ProposeError {
    /// No leader was reachable; the command was not appended.
    #[error("the control log is not available; the change was not made")]
    Unavailable,
    /// No response was received; the command may have been appended.
    #[error("the control log did not respond; the change may have been made")]
    Unknown,
}

/// Sends a proposal to the leader and returns the reply once the command is applied.
pub type ProposeFn = Arc<
    dyn Fn(Proposal) -> std::pin::Pin<Box<dyn Future<Output = Result<Reply, ProposeError>> + Send>>
        + Send
        + Sync,
>;

/// Encodes recorded bodies as base64; an array of JSON numbers is almost four times as large.
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
