//! What this owner would decide on a request for a place, without granting one.

use std::{sync::PoisonError, time::Instant};

use shallotdrum_allotments::{AllotmentReply, Charge};
use shallotdrum_engine::PlaceOutlook;
use shallotdrum_types::{GroupId, RequestError};

use crate::{
    OwnerService, PlaceAdmission,
    places::{place_admission, with_times},
};

impl OwnerService {
    /// What would happen now to a request for a place in an owned group.
    ///
    /// Quarantines do not count, as they apply to the body of a request.
    pub fn explain_place(
        &self,
        group: &GroupId,
        admission: PlaceAdmission,
    ) -> Result<PlaceOutlook, RequestError> {
        let owned = self.owned(group)?;
        self.check_owned(&owned)?;
        let mut copy = owned.scheduler.copy();
        for (limit, observed_at) in with_times(&admission.limits) {
            copy.observe_limit(&limit.target, limit.incarnation, limit.limit, observed_at);
        }
        Ok(copy.explain(&place_admission(admission)))
    }

    /// Reply to a charge if an owned group were asked for it now. Takes and reserves nothing.
    pub fn explain_allotment(
        &self,
        group: &GroupId,
        charge: &Charge,
    ) -> Result<AllotmentReply, RequestError> {
        let owned = self.owned(group)?;
        self.check_owned(&owned)?;
        // The periodic update applies changes of the state; this only reads it.
        let applied = self.allotments.lock().unwrap_or_else(PoisonError::into_inner);
        let reply = owned.shares().try_charge(&applied, charge, Instant::now());
        Ok(reply)
    }
}
