//! RPC methods that other instances call.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jsonrpsee::core::async_trait;
use shallotdrum_allotments::{AllotmentReply, Charge, Reservation, Reserved};
use shallotdrum_control::{Proposal, Reply};
use shallotdrum_engine::{Announcement, CacheEvents, CopiedOrigin, StreamOrigin};
use shallotdrum_owner::{ChargeError, OwnerService, PlaceAdmission, PlaceKey};
use shallotdrum_routes::RouteTable;
use shallotdrum_rpc::{
    Compressed, EndedPlace, PeerApiServer, Permit, PermitRequest, PermitRow, PlaceExplanation,
    PlaceReply, PlaceRequest, ProposalTerms, RenewReply, RenewRequest, ReplicaPosition, RpcError,
    SessionRow, WatchReply,
};
use shallotdrum_types::{
    Base64Bytes, CustomerName, Fingerprint, GroupId, Incarnation, InstanceId, LogIndex, PermitId,
    RequestId, RequestIdentity, ReservationId, SessionId, TargetId,
};

use crate::replica::Replica;

/// Server of the peer RPC methods.
#[derive(Clone)]
pub(crate) struct Peer {
    pub(crate) replica: Option<Arc<Replica>>,
    pub(crate) owner: Arc<OwnerService>,
}

impl Peer {
    fn replica(&self) -> Result<&Arc<Replica>, RpcError> {
        self.replica.as_ref().ok_or(RpcError::NotReplica)
    }

    /// Releases places of a session and cancels those that are still queued.
    pub(crate) fn end(&self, session: SessionId, ended: Vec<EndedPlace>) {
        for ended in ended {
            let finish = shallotdrum_gateway::to_finish(ended.end, ended.has_no_room);
            let feedback = shallotdrum_gateway::to_feedback(&ended);
            self.owner.end_place((session, ended.place), finish, feedback, ended.events);
        }
    }
}

#[async_trait]
impl PeerApiServer for Peer {
    async fn consensus_message(&self, message: Base64Bytes) -> Result<Base64Bytes, RpcError> {
        Ok(Base64Bytes(self.replica()?.node.handle(message.0).await))
    }

    async fn propose(
        &self,
        proposal: Proposal,
        terms: Option<ProposalTerms>,
    ) -> Result<Reply, RpcError> {
        self.replica()?.propose_as(proposal, terms).await
    }

    async fn watch(
        &self,
        after: LogIndex,
        wait_ms: u64,
    ) -> Result<Compressed<WatchReply>, RpcError> {
        self.replica()?.watch(after, wait_ms).await.map(Compressed)
    }

    async fn position(&self) -> Result<ReplicaPosition, RpcError> {
        Ok(self.replica()?.position())
    }

    async fn renew(&self, request: RenewRequest) -> Result<RenewReply, RpcError> {
        self.replica()?.renew(request)
    }

    async fn permit(&self, request: PermitRequest) -> Result<Permit, RpcError> {
        self.replica()?.permit(request).await
    }

    async fn release_permit(&self, session: SessionId, permit: PermitId) -> Result<(), RpcError> {
        self.replica()?.release_permit(session, permit)
    }

    async fn sessions(&self) -> Result<Vec<SessionRow>, RpcError> {
        self.replica()?.sessions()
    }

    async fn leader_permits(&self) -> Result<Vec<PermitRow>, RpcError> {
        self.replica()?.permits()
    }

    async fn leader_add_replica(&self, instance: InstanceId) -> Result<(), RpcError> {
        self.replica()?.add_replica(instance).await
    }

    async fn leader_remove_replica(&self, instance: InstanceId) -> Result<(), RpcError> {
        self.replica()?.remove_replica(instance).await
    }

    async fn take_place(&self, request: PlaceRequest) -> Result<PlaceReply, RpcError> {
        let AskedPlace { key, group, admission, charge } = request.into();
        let refused = |error| {
            let group_wait_ms = self.owner.group_wait(&group).map(|wait| wait.as_millis() as u64);
            PlaceReply::Refused { error, group_wait_ms }
        };
        let Some(charge) = charge else {
            return Ok(match self.owner.take_place(&group, key, admission).await {
                Ok(granted) => PlaceReply::Granted(granted),
                Err(error) => refused(error),
            });
        };
        Ok(match self.owner.take_charged_place(&group, key, admission, &charge).await {
            Ok((place, allotment)) => PlaceReply::Charged { place, allotment },
            Err(ChargeError::NoRoom(allotment)) => PlaceReply::NoRoom { allotment },
            Err(ChargeError::NoPlace(error)) => refused(error),
        })
    }

    async fn take_allotment(
        &self,
        session: SessionId,
        request: RequestId,
        customer: CustomerName,
        units: u64,
        group: GroupId,
        reservation: Option<Reservation>,
    ) -> Result<AllotmentReply, RpcError> {
        let charge = Charge { customer, units };
        let reply = match reservation {
            Some(Reservation { id, left_ms }) => {
                let until = Instant::now() + Duration::from_millis(left_ms);
                let reserved = Reserved { request, charge, until };
                self.owner.reserve_allotment(&group, (session, id), reserved)
            }
            None => self.owner.take_allotment(&group, &request, &charge),
        };
        reply.map_err(|_| RpcError::NotGroupOwner(group))
    }

    async fn settle_allotment(
        &self,
        session: SessionId,
        request: RequestId,
        group: GroupId,
        reservation: ReservationId,
        is_used: bool,
    ) -> Result<bool, RpcError> {
        let key = (session, reservation);
        let settled = self.owner.settle_allotment(&group, &request, &key, is_used);
        settled.map_err(|_| RpcError::NotGroupOwner(group))
    }

    async fn return_allotment(
        &self,
        _session: SessionId,
        request: RequestId,
        customer: CustomerName,
        units: u64,
        group: GroupId,
    ) -> Result<(), RpcError> {
        let charge = Charge { customer, units };
        let returned = self.owner.return_allotment(&group, &request, &charge);
        returned.map_err(|_| RpcError::NotGroupOwner(group))
    }

    async fn stream_origin(&self, request: RequestId) -> Result<Option<StreamOrigin>, RpcError> {
        Ok(self.owner.streams.find(&request))
    }

    async fn copy_stream_origins(&self, origins: Vec<CopiedOrigin>) -> Result<(), RpcError> {
        for CopiedOrigin { request, software } in &origins {
            self.owner.streams.record_begin(request, software);
        }
        Ok(())
    }

    async fn end_places(&self, session: SessionId, ended: Vec<EndedPlace>) -> Result<(), RpcError> {
        self.end(session, ended);
        Ok(())
    }

    async fn explain_place(&self, request: PlaceRequest) -> Result<PlaceExplanation, RpcError> {
        let AskedPlace { group, admission, charge, .. } = request.into();
        let allotment = charge.map(|charge| self.owner.explain_allotment(&group, &charge));
        Ok(PlaceExplanation { place: self.owner.explain_place(&group, admission), allotment })
    }

    async fn read_index(&self) -> Result<LogIndex, RpcError> {
        self.replica()?.confirm_index().await
    }

    async fn leader_routes(&self) -> Result<Option<RouteTable>, RpcError> {
        self.replica()?.newest_routes().await
    }

    async fn target_announce(&self, announcement: Announcement) -> Result<(), RpcError> {
        self.owner.announce(&announcement).map_err(|e| RpcError::NotOwner(e.target))
    }

    async fn target_leave(
        &self,
        target: TargetId,
        incarnation: Incarnation,
    ) -> Result<(), RpcError> {
        self.owner.leave(&target, incarnation).map_err(|e| RpcError::NotOwner(e.target))
    }

    async fn target_cache_events(&self, events: CacheEvents) -> Result<(), RpcError> {
        self.owner.cache_events(&events).map_err(|e| RpcError::NotOwner(e.target))
    }
}

/// Request for a place as the owner takes it.
struct AskedPlace {
    key: PlaceKey,
    group: GroupId,
    admission: PlaceAdmission,
    charge: Option<Charge>,
}

impl From<PlaceRequest> for AskedPlace {
    fn from(request: PlaceRequest) -> Self {
        let PlaceRequest {
            session,
            request,
            place,
            group,
            subscriber,
            weight,
            charge,
            need,
            fingerprint,
            any_caller,
            limits,
            left_ms,
            urgency,
            objective_ms,
            spread,
            avoid,
            software,
        } = request;
        let left = Duration::from_millis(left_ms);
        let fingerprint =
            fingerprint.unwrap_or_else(|| Fingerprint::of(request.as_str().as_bytes()));
        let identity = RequestIdentity { any_caller, ..fingerprint.into() };
        let admission = PlaceAdmission {
            request,
            identity,
            subscriber,
            weight: weight.unwrap_or_default(),
            need,
            left,
            urgency,
            objective: objective_ms.map(Duration::from_millis),
            spread: spread.unwrap_or(1),
            avoid,
            software,
            limits,
        };
        Self { key: (session, place), group, admission, charge }
    }
}
