//! Shares of customers' allotments that this owner keeps.
//!
//! A bucket belongs to an owned group and is dropped with it, so the next owner begins with an empty
//! one. The limits of a bucket are those of the route table that this instance has applied.
//!
//! Architecture Invariant: units are taken only while the lease of the session that owns the group
//! is valid, so at each time at most one instance gives away the units of a shard.

use std::{
    sync::{Arc, MutexGuard, PoisonError},
    time::Instant,
};

use shallotdrum_allotments::{AllotmentReply, AppliedAllotments, Charge};
use shallotdrum_engine::GrantedPlace;
use shallotdrum_telemetry::event;
use shallotdrum_types::{GroupId, RequestError, RequestId};

use crate::{OwnerService, PlaceAdmission, PlaceKey, service::OwnedGroup};

/// Why no place was granted for a request that is to be charged.
#[derive(Clone, Debug, PartialEq)]
pub enum ChargeError {
    /// The units were not taken.
    NoRoom(AllotmentReply),
    /// The units were not taken, or were returned.
    NoPlace(RequestError),
}

impl From<RequestError> for ChargeError {
    fn from(error: RequestError) -> Self {
        Self::NoPlace(error)
    }
}

/// Returns the units of a request that gets no place when dropped.
struct RefundGuard<'a> {
    owner: &'a OwnerService,
    group: Arc<OwnedGroup>,
    request: RequestId,
    charge: &'a Charge,
    is_used: bool,
}

impl Drop for RefundGuard<'_> {
    fn drop(&mut self) {
        if !self.is_used {
            self.owner.refund(&self.group, &self.request, self.charge);
        }
    }
}

impl OwnerService {
    /// Takes units of a customer from the bucket of an owned group.
    pub fn take_allotment(
        &self,
        group: &GroupId,
        request: &RequestId,
        charge: &Charge,
    ) -> Result<AllotmentReply, RequestError> {
        let owned = self.owned(group)?;
        let reply = self.charge(&owned, charge);
        // The lease may have ended before the units were taken; they are lost then.
        self.check_owned(&owned)?;
        event!(self.cx.log, ALLOTMENT_DECIDED; "request" => %request, "group" => %group,
            "customer" => %charge.customer, "units" => charge.units, "granted" => reply.granted,
            "level" => reply.level, "room_after_ms" => reply.room_after_ms,
            "index" => self.cx.view.applied().0);
        Ok(reply)
    }

    /// Returns units to the bucket of an owned group, for a request that got no place.
    pub fn return_allotment(
        &self,
        group: &GroupId,
        request: &RequestId,
        charge: &Charge,
    ) -> Result<(), RequestError> {
        let owned = self.owned(group)?;
        self.refund(&owned, request, charge);
        Ok(())
    }

    /// Takes units and waits for a place; the units are returned if there is none.
    pub async fn take_charged_place(
        self: &Arc<Self>,
        group: &GroupId,
        key: PlaceKey,
        admission: PlaceAdmission,
        charge: &Charge,
    ) -> Result<(GrantedPlace, AllotmentReply), ChargeError> {
        let owned = self.owned(group)?;
        let request = admission.request.clone();
        let reply = self.take_allotment(group, &request, charge)?;
        if !reply.granted {
            return Err(ChargeError::NoRoom(reply));
        }
        let mut refund = RefundGuard { owner: self, group: owned, request, charge, is_used: false };
        let granted = self.take_place(group, key, admission).await?;
        refund.is_used = true;
        Ok((granted, reply))
    }

    fn refund(&self, owned: &OwnedGroup, request: &RequestId, charge: &Charge) {
        if owned.shares().refund(charge, Instant::now()) {
            self.cx.metrics.allotment_refunds().inc();
            event!(self.cx.log, ALLOTMENT_RETURNED; "request" => %request, "group" => %owned.id,
                "customer" => %charge.customer, "units" => charge.units);
        }
    }

    /// Follows the applied table and groups, so that a group which becomes a shard begins with what
    /// has accrued since.
    pub(crate) fn update_allotments(&self) {
        let groups = self.owned_groups();
        let (applied, has_changed) = self.applied_allotments(Instant::now());
        if has_changed {
            for group in groups {
                group.shares().retain_shards(&applied);
            }
        }
    }

    fn charge(&self, owned: &OwnedGroup, charge: &Charge) -> AllotmentReply {
        let now = Instant::now();
        let (applied, _) = self.applied_allotments(now);
        owned.shares().charge(&applied, charge, now)
    }

    /// Allotments of the state that this instance has applied, and whether they are new.
    fn applied_allotments(&self, now: Instant) -> (MutexGuard<'_, AppliedAllotments>, bool) {
        let mut applied = self.allotments.lock().unwrap_or_else(PoisonError::into_inner);
        let has_changed = self.cx.view.read(|state| {
            let table = state.routes().map(|routes| routes.table());
            applied.update(table, || state.groups().map(|group| &group.id), now)
        });
        (applied, has_changed)
    }
}
