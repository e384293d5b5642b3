//! Crash detection for requests that entries send to targets themselves, under a place.
//!
//! The entry tracks its own requests, so that a crash is noticed whoever owns the group, and also
//! while nobody does. Suspects run beside other requests: with places in use on all targets, a
//! suspect would wait for an empty one until its deadline.

use std::{net::SocketAddr, sync::Arc};

use shallotdrum_control::{Command, Reply};
use shallotdrum_engine::GrantedPlace;
use shallotdrum_telemetry::event;
use shallotdrum_types::{Fingerprint, RequestError, RequestId};
use tokio::task::JoinHandle;

use crate::{
    OwnerService,
    crash::{CrashStatus, RunningGuard},
    service::quarantined,
};

/// Crashes from which a complete run is recorded. Requests with fewer are not refused, and each
/// crash of a full target leaves dozens of them.
const MIN_CRASHES_TO_CLEAR: usize = 2;

impl OwnerService {
    /// Registers a request as running at the target of its place.
    pub fn enter_relayed(
        &self,
        place: &GrantedPlace,
        request: &RequestId,
        fingerprint: Fingerprint,
    ) -> RunningGuard {
        self.relayed.enter(&place.target, place.incarnation, request, fingerprint)
    }

    /// Checks whether the target of a request whose connection broke has crashed.
    ///
    /// Runs in a separate task, so that the crash counts even if the caller disconnects.
    pub fn check_relayed(
        self: &Arc<Self>,
        guard: RunningGuard,
        addr: SocketAddr,
    ) -> JoinHandle<CrashStatus> {
        let service = self.clone();
        tokio::spawn(async move { service.relayed.check(&service.cx, &guard, addr).await })
    }

    /// Whether the request was running at a target when that crashed, and has not run to its end
    /// since.
    pub fn is_relayed_suspect(&self, request: &Fingerprint) -> bool {
        self.cx.view.read(|state| self.relayed.crashes(state, request)) > 0
    }

    /// Refuses a request that has crashed too many targets.
    pub fn check_relayed_quarantine(&self, request: &Fingerprint) -> Result<(), RequestError> {
        match self.cx.view.read(|state| self.relayed.is_quarantined(state, request)) {
            true => Err(quarantined(request)),
            false => Ok(()),
        }
    }

    /// Clears the suspicion against a request that has run to its end.
    pub fn complete_relayed(self: &Arc<Self>, request: Fingerprint) {
        let crashes = self.cx.view.read(|state| self.relayed.crashes(state, &request));
        if crashes < MIN_CRASHES_TO_CLEAR || !self.relayed.begin_clear(request) {
            return;
        }
        let service = self.clone();
        tokio::spawn(async move {
            let cleared = service.cx.propose(Command::ClearSuspect { request }).await;
            service.relayed.end_clear(&request);
            let error = match cleared {
                Ok(Reply::Refused(error)) => error.to_string(),
                Ok(_) => return event!(service.cx.log, SUSPECT_CLEARED; "fingerprint" => %request),
                Err(error) => error.to_string(),
            };
            event!(service.cx.log, SUSPECT_KEPT; "fingerprint" => %request, "error" => error);
        });
    }
}
