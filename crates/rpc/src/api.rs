//! JSON-RPC methods that each instance serves on its RPC address.

use jsonrpsee::proc_macros::rpc;
use shallotdrum_allotments::{AllotmentReply, Reservation};
use shallotdrum_control::{Proposal, Reply};
use shallotdrum_engine::{Announcement, CacheEvents, CopiedOrigin, StreamOrigin};
use shallotdrum_routes::RouteTable;
use shallotdrum_types::{
    AdapterId, Base64Bytes, CustomerName, Fingerprint, GroupId, Incarnation, InstanceId, LogIndex,
    PermitId, RequestId, ReservationId, Revision, SessionId, SubmissionId, TargetId,
};

use crate::{
    AdapterRow, Compressed, EndedPlace, ExplainQuery, Explanation, GroupRow, InstanceRow,
    ManifestCheck, ManifestView, Permit, PermitRequest, PermitRow, PlaceExplanation, PlaceReply,
    PlaceRequest, ProposalTerms, QuarantineRow, RenewReply, RenewRequest, ReplicaPosition,
    ReplicaStatus, RpcError, SessionRow, SubmissionRow, SubscriberRow, TargetRow, WatchReply,
};

/// Methods that instances call on each other.
#[rpc(server, client)]
pub trait PeerApi {
    /// Delivers a consensus message to a replica and returns its response.
    #[method(name = "consensus_message")]
    async fn consensus_message(&self, message: Base64Bytes) -> Result<Base64Bytes, RpcError>;

    /// Appends a proposal to the control log; served by the leader. One that is sent again under the same
    /// id is not appended again, unless the leader has changed. Instances of earlier releases send
    /// no terms.
    #[method(name = "control_propose")]
    async fn propose(
        &self,
        proposal: Proposal,
        terms: Option<ProposalTerms>,
    ) -> Result<Reply, RpcError>;

    /// Returns the commands committed after an index, waiting up to `wait_ms` for the first one;
    /// served by replicas.
    #[method(name = "control_watch")]
    async fn watch(
        &self,
        after: LogIndex,
        wait_ms: u64,
    ) -> Result<Compressed<WatchReply>, RpcError>;

    /// Returns the position of a replica in the log.
    #[method(name = "control_position")]
    async fn position(&self) -> Result<ReplicaPosition, RpcError>;

    /// Renews the lease of a session; served by the leader.
    #[method(name = "control_renew")]
    async fn renew(&self, request: RenewRequest) -> Result<RenewReply, RpcError>;

    /// Waits for a weight-store permit; served by the leader.
    #[method(name = "control_permit")]
    async fn permit(&self, request: PermitRequest) -> Result<Permit, RpcError>;

    /// Releases a weight-store permit; served by the leader.
    #[method(name = "control_release_permit")]
    async fn release_permit(&self, session: SessionId, permit: PermitId) -> Result<(), RpcError>;

    /// Lists what each session reported when it last renewed; served by the leader.
    #[method(name = "control_sessions")]
    async fn sessions(&self) -> Result<Vec<SessionRow>, RpcError>;

    /// Lists the granted weight-store permits; served by the leader.
    #[method(name = "control_permits")]
    async fn leader_permits(&self) -> Result<Vec<PermitRow>, RpcError>;

    /// Adds a control replica; served by the leader.
    #[method(name = "control_add_replica")]
    async fn leader_add_replica(&self, instance: InstanceId) -> Result<(), RpcError>;

    /// Removes a control replica; served by the leader.
    #[method(name = "control_remove_replica")]
    async fn leader_remove_replica(&self, instance: InstanceId) -> Result<(), RpcError>;

    /// Waits for a place, the right to send one request to a target of a group; served by the
    /// group's owner.
    #[method(name = "place_take")]
    async fn take_place(&self, request: PlaceRequest) -> Result<PlaceReply, RpcError>;

    /// Takes units of a customer from the share of its allotment that belongs to a group; served by the
    /// group's owner. The session is that of the entry that asks. With a reservation, the units are kept
    /// until `allotment_settle`; owners of earlier releases take them at once, as they do without one.
    #[method(name = "allotment_take")]
    async fn take_allotment(
        &self,
        session: SessionId,
        request: RequestId,
        customer: CustomerName,
        units: u64,
        group: GroupId,
        reservation: Option<Reservation>,
    ) -> Result<AllotmentReply, RpcError>;

    /// Takes the units of a reservation, or releases them; `false` if there is no such reservation any
    /// more. Served by the group's owner; those of earlier releases have no reservations.
    #[method(name = "allotment_settle")]
    async fn settle_allotment(
        &self,
        session: SessionId,
        request: RequestId,
        group: GroupId,
        reservation: ReservationId,
        is_used: bool,
    ) -> Result<bool, RpcError>;

    /// Returns units that were taken for a request which got no place; served by the group's owner.
    #[method(name = "allotment_return")]
    async fn return_allotment(
        &self,
        session: SessionId,
        request: RequestId,
        customer: CustomerName,
        units: u64,
        group: GroupId,
    ) -> Result<(), RpcError>;

    /// Returns the software version at which the stream of a request began, if this instance sent it
    /// or granted a place for it.
    #[method(name = "stream_origin")]
    async fn stream_origin(&self, request: RequestId) -> Result<Option<StreamOrigin>, RpcError>;

    /// Keeps at which software versions streams began that another instance sent.
    #[method(name = "stream_origins_copy")]
    async fn copy_stream_origins(&self, origins: Vec<CopiedOrigin>) -> Result<(), RpcError>;

    /// Releases places of a session and cancels those that are still queued; served by the owner.
    #[method(name = "place_end")]
    async fn end_places(&self, session: SessionId, ended: Vec<EndedPlace>) -> Result<(), RpcError>;

    /// Confirms that this replica leads, and returns an index that a replica must have applied to serve a
    /// read that began with the call; served by the leader, which may not have applied it itself.
    #[method(name = "control_read_index")]
    async fn read_index(&self) -> Result<LogIndex, RpcError>;

    /// Returns the newest route table, if there is one; served by the leader to instances of earlier
    /// releases, which do not ask for an index.
    #[method(name = "control_routes")]
    async fn leader_routes(&self) -> Result<Option<RouteTable>, RpcError>;

    /// Forwards a target's announcement to the owner of its group.
    #[method(name = "target_announce")]
    async fn target_announce(&self, announcement: Announcement) -> Result<(), RpcError>;

    /// Notifies the owner of a target's group that the target is shutting down.
    #[method(name = "target_leave")]
    async fn target_leave(
        &self,
        target: TargetId,
        incarnation: Incarnation,
    ) -> Result<(), RpcError>;

    /// Forwards a target's cache events to the owner of its group.
    #[method(name = "target_cache_events")]
    async fn target_cache_events(&self, events: CacheEvents) -> Result<(), RpcError>;

    /// Says what the owner of a group would decide on a request for a place, and grants none; served by
    /// the owner.
    #[method(name = "place_explain")]
    async fn explain_place(&self, request: PlaceRequest) -> Result<PlaceExplanation, RpcError>;
}

/// Methods for operators, served by every instance.
#[rpc(server, client, namespace = "admin")]
pub trait AdminApi {
    /// Validates a manifest and compares it with the current one.
    #[method(name = "check_manifest")]
    async fn check_manifest(&self, manifest: String) -> Result<ManifestCheck, RpcError>;

    /// Submits a manifest; refused if `base` is not the current revision. A retry with the same
    /// `submission` returns the accepted revision.
    #[method(name = "submit_manifest")]
    async fn submit_manifest(
        &self,
        submission: SubmissionId,
        base: Revision,
        manifest: String,
    ) -> Result<Revision, RpcError>;

    /// Returns the current manifest, as last applied by this instance.
    #[method(name = "manifest")]
    async fn manifest(&self) -> Result<ManifestView, RpcError>;

    /// Lists the accepted submissions that are still retained, oldest first.
    #[method(name = "submissions")]
    async fn submissions(&self) -> Result<Vec<SubmissionRow>, RpcError>;

    /// Lists instances with the manifest revision that they last reported to the leader.
    #[method(name = "instances")]
    async fn instances(&self) -> Result<Vec<InstanceRow>, RpcError>;

    /// Lists all registered targets.
    #[method(name = "targets")]
    async fn targets(&self) -> Result<Vec<TargetRow>, RpcError>;

    /// Lists target groups with their owners and epochs.
    #[method(name = "groups")]
    async fn groups(&self) -> Result<Vec<GroupRow>, RpcError>;

    /// Lists the subscribers of the current manifest.
    #[method(name = "subscribers")]
    async fn subscribers(&self) -> Result<Vec<SubscriberRow>, RpcError>;

    /// Returns one page of adapters: at most `limit`, starting after the name `after`.
    #[method(name = "adapters")]
    async fn adapters(
        &self,
        after: Option<AdapterId>,
        limit: u32,
    ) -> Result<Vec<AdapterRow>, RpcError>;

    /// Lists the granted weight-store permits.
    #[method(name = "permits")]
    async fn permits(&self) -> Result<Vec<PermitRow>, RpcError>;

    /// Lists quarantined requests and those suspected of crashing targets.
    #[method(name = "quarantine")]
    async fn quarantine(&self) -> Result<Vec<QuarantineRow>, RpcError>;

    /// Lifts the quarantine of a request and resets its crash count.
    #[method(name = "lift_quarantine")]
    async fn lift_quarantine(&self, request: Fingerprint) -> Result<(), RpcError>;

    /// Starts or stops draining an instance.
    #[method(name = "drain_instance")]
    async fn drain_instance(&self, instance: InstanceId, drain: bool) -> Result<(), RpcError>;

    /// Starts or stops draining a target.
    #[method(name = "drain_target")]
    async fn drain_target(&self, target: TargetId, drain: bool) -> Result<(), RpcError>;

    /// Returns the status of this instance's control replica.
    #[method(name = "replica_status")]
    async fn replica_status(&self) -> Result<ReplicaStatus, RpcError>;

    /// Adds a control replica, which includes transferring a snapshot to it.
    #[method(name = "add_replica")]
    async fn add_replica(&self, instance: InstanceId) -> Result<(), RpcError>;

    /// Removes a control replica from the cluster.
    #[method(name = "remove_replica")]
    async fn remove_replica(&self, instance: InstanceId) -> Result<(), RpcError>;

    /// Says where a request would go now and why, by what this instance and the owner of the group know.
    /// Sends no request and changes nothing.
    #[method(name = "explain")]
    async fn explain(&self, query: ExplainQuery) -> Result<Explanation, RpcError>;
}
