//! Shares of customers' allotments that this owner keeps.
//!
//! A bucket belongs to an owned group and is dropped with it, so the next owner begins with an empty
//! one, or with what the bound leaves for a takeover. The limits of a bucket are those of the route table that this instance has applied.
//!
//! Units for a request of another group are reserved until its entry confirms or returns them. Those whose
//! time limit passes count as used.
//!
//! Architecture Invariant: units are taken only while the lease of the session that owns the group
//! is valid, so at each time at most one instance gives away the units of a shard.

use std::{
    sync::{Arc, MutexGuard, PoisonError},
    time::Instant,
};

use shallotdrum_allotments::{
    AllotmentReply, AppliedAllotments, Charge, GroupShares, ReservationKey, Reserved, Settled,
};
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

/// Ends the reservation of a request that gets no place when dropped.
struct ReservationGuard<'a> {
    owner: &'a OwnerService,
    group: Arc<OwnedGroup>,
    request: RequestId,
    charge: &'a Charge,
    is_taken: bool,
}

impl Drop for ReservationGuard<'_> {
    fn drop(&mut self) {
        if !self.is_taken {
            self.group.shares().release(self.charge);
            self.owner.record_return(&self.group, &self.request, self.charge);
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
        self.decide(&owned, request, charge, GroupShares::charge)
    }

    /// Reserves units of a customer for a request that waits for a place in another group.
    pub fn reserve_allotment(
        &self,
        group: &GroupId,
        key: ReservationKey,
        reserved: Reserved,
    ) -> Result<AllotmentReply, RequestError> {
        let owned = self.owned(group)?;
        let Reserved { request, charge, .. } = reserved.clone();
        self.decide(&owned, &request, &charge, |shares, applied, _, now| {
            shares.hold(applied, key, reserved, now)
        })
    }

    /// Takes the units of a reservation, or releases them; returns whether it existed.
    pub fn settle_allotment(
        &self,
        group: &GroupId,
        request: &RequestId,
        key: &ReservationKey,
        is_used: bool,
    ) -> Result<bool, RequestError> {
        let owned = self.owned(group)?;
        let settled = owned.shares().settle(key, is_used, Instant::now());
        let Some(Settled { charge, level }) = settled else { return Ok(false) };
        event!(self.cx.log, ALLOTMENT_SETTLED; "request" => %request, "group" => %owned.id,
            "customer" => %charge.customer, "units" => charge.units, "used" => is_used,
            "level" => level);
        if !is_used {
            self.cx.metrics.allotment_refunds().inc();
        }
        Ok(true)
    }

    /// Counts reserved units as used whose time limit has passed.
    fn expire_reservations(&self, group: &OwnedGroup, now: Instant) {
        // The guard of the lock is not kept while the lines are written.
        let expired = group.shares().expire_reservations(now);
        for Reserved { request, charge, .. } in expired {
            self.cx.metrics.allotment_expired().inc();
            event!(self.cx.log, ALLOTMENT_EXPIRED; "request" => %request, "group" => %group.id,
                "customer" => %charge.customer, "units" => charge.units);
        }
    }

    /// Charges a request, under a valid lease only.
    fn decide(
        &self,
        owned: &OwnedGroup,
        request: &RequestId,
        charge: &Charge,
        take: impl FnOnce(&mut GroupShares, &AppliedAllotments, &Charge, Instant) -> AllotmentReply,
    ) -> Result<AllotmentReply, RequestError> {
        let now = Instant::now();
        self.check_owned(owned)?;
        let applied = self.current_allotments(now);
        let reply = take(&mut owned.shares(), &applied, charge, now);
        drop(applied);
        event!(self.cx.log, ALLOTMENT_DECIDED; "request" => %request, "group" => %owned.id,
            "customer" => %charge.customer, "units" => charge.units, "granted" => reply.granted,
            "reserved" => reply.is_reserved,
            "level" => reply.level, "room_after_ms" => reply.room_after_ms,
            "lack" => ?reply.lack, "index" => self.cx.view.applied().0);
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
        if owned.shares().refund(charge, Instant::now()) {
            self.record_return(&owned, request, charge);
        }
        Ok(())
    }

    /// Reserves units and waits for a place; the units are taken when it is granted.
    pub async fn take_charged_place(
        self: &Arc<Self>,
        group: &GroupId,
        key: PlaceKey,
        admission: PlaceAdmission,
        charge: &Charge,
    ) -> Result<(GrantedPlace, AllotmentReply), ChargeError> {
        let owned = self.owned(group)?;
        let request = admission.request.clone();
        let reply = self.decide(&owned, &request, charge, GroupShares::reserve)?;
        if !reply.granted {
            return Err(ChargeError::NoRoom(reply));
        }
        let mut reservation = ReservationGuard {
            owner: self,
            group: owned.clone(),
            request,
            charge,
            is_taken: false,
        };
        let granted = self.take_place(group, key, admission).await?;
        // The level has changed while the request waited.
        let level = owned.shares().take_reserved(charge, Instant::now());
        reservation.is_taken = true;
        Ok((granted, AllotmentReply::granted_at(level.unwrap_or(reply.level))))
    }

    fn record_return(&self, owned: &OwnedGroup, request: &RequestId, charge: &Charge) {
        self.cx.metrics.allotment_refunds().inc();
        event!(self.cx.log, ALLOTMENT_RETURNED; "request" => %request, "group" => %owned.id,
            "customer" => %charge.customer, "units" => charge.units);
    }

    /// Follows the applied table and groups, so that a group which becomes a shard begins with what
    /// has accrued since, and ends reservations whose time limit has passed.
    pub(crate) fn update_allotments(&self) {
        let now = Instant::now();
        drop(self.current_allotments(now));
        for group in self.owned_groups() {
            self.expire_reservations(&group, now);
        }
    }

    /// Allotments of the state that this instance has applied. A change is told only once, to the caller
    /// that sees it first, so that each one drops the buckets that the change ends.
    fn current_allotments(&self, now: Instant) -> MutexGuard<'_, AppliedAllotments> {
        let groups = self.owned_groups();
        let (applied, has_changed) = self.applied_allotments(now);
        if has_changed {
            for group in groups {
                group.shares().retain_shards(&applied);
            }
        }
        applied
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
