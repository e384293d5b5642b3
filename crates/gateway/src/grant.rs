//! Acquires a place on the newest version of a request's adapter.
//!
//! A request waits for a place on one version. That version is compared with the newest known one while the
//! request waits, and once more after the grant.

use std::time::Duration;

use shallotdrum_engine::Requirements;
use shallotdrum_links::WitnessUse;
use shallotdrum_owner::PlaceAdmission;
use shallotdrum_rpc::PlaceEnd;
use shallotdrum_telemetry::event;
use shallotdrum_types::{AdapterVersion, RequestError};

use crate::{
    Gateway,
    customers::urgency,
    exchange::RequestRun,
    need::{Need, subscriber, version_name, weight},
    places::Place,
    progress::Stage,
};

/// Place at a target, and what the request needs there.
pub(crate) struct Granted {
    pub(crate) place: Place,
    pub(crate) witness: Option<WitnessUse>,
    pub(crate) need: Requirements,
    pub(crate) version: Option<AdapterVersion>,
}

impl Gateway {
    /// Waits until the deadline for a place on the newest known version of the request's adapter.
    ///
    /// A version that becomes known while the request waits, or between the grant and the send, lets it
    /// be queued again, at a new position and with the same deadline.
    pub(crate) async fn take_place(&self, run: &mut RequestRun) -> Result<Granted, RequestError> {
        loop {
            let Need { requirements, version } = self.need(run);
            let admission = self.admission(run, requirements.clone());
            let taken = tokio::select! {
                taken = self.take_charged_place(run, admission) => taken?,
                // Dropping the wait for a place cancels it at the owner. A wait with a charge goes on, as
                // what was taken from the allotment may be lost with it; the version is compared below.
                () = self.version_raised(run, version), if run.customer.is_none() || run.is_charged => {
                    self.log_queued_again(run, version, None);
                    continue;
                }
            };
            let (taken, units) = taken;
            run.is_charged = run.customer.is_some();
            run.taken = units.or(run.taken.take());
            run.progress.wait_for(Stage::Witness);
            let witness = self.witness(run, &taken).await;
            // The grant and the witness take a while, and the newest version may arrive with them.
            if self.adapter_version(run) != version {
                self.log_queued_again(run, version, Some(&taken));
                taken.end(PlaceEnd::Cancelled);
                self.return_unused(run);
                continue;
            }
            let version = version_name(version);
            return Ok(Granted { place: taken, witness, need: requirements, version });
        }
    }

    /// What the owner of a target group is told of the request.
    pub(crate) fn admission(&self, run: &RequestRun, need: Requirements) -> PlaceAdmission {
        let routes = self.in_force().routes;
        PlaceAdmission {
            request: run.req.id.clone(),
            identity: self.cx.owner.identity_to_admit(run.admitted_identity()),
            subscriber: subscriber(run),
            weight: weight(run),
            need,
            left: Duration::ZERO,
            urgency: urgency(run.customer.as_deref(), &run.route, routes.as_deref()),
            objective: run.left_by_objective(),
            spread: 1,
            avoid: run.avoid.clone(),
            software: run.software.clone(),
            limits: Vec::new(),
        }
    }

    /// Resolves when the newest version of the request's adapter is another one.
    async fn version_raised(&self, run: &RequestRun, version: Option<u64>) {
        if version.is_none() {
            return std::future::pending().await;
        }
        let mut changed = self.cx.view.changed();
        while self.adapter_version(run) == version {
            if changed.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Logs that a request gives up its place, or its wait for one, on an earlier version.
    fn log_queued_again(&self, run: &RequestRun, version: Option<u64>, granted: Option<&Place>) {
        event!(self.cx.log, QUEUED_FOR_NEW_VERSION; "request" => %run.req.id,
            "version" => version, "newest" => self.adapter_version(run),
            "target" => granted.map(|place| place.granted.target.to_string()),
            "index" => self.cx.view.applied().0);
    }
}
