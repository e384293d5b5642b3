//! Crash detection for requests that entries send to targets themselves, under a place.
//!
//! The entry tracks its own requests, so that a crash is noticed whoever owns the group, and also
//! while nobody does. Suspects run beside other requests: with places in use on all targets, a
//! suspect would wait for an empty one until its deadline.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use shallotdrum_control::{Command, Quarantined, Reply};
use shallotdrum_engine::GrantedPlace;
use shallotdrum_telemetry::event;
use shallotdrum_types::{ControlTimeMs, Fingerprint, RequestError, RequestId, RequestIdentity};
use tokio::{task::JoinHandle, time::Instant};

use crate::{
    OwnerService,
    crash::{CrashStatus, RunningGuard},
    service::quarantined,
};

/// Crashes from which successful runs are reported to the control log. Requests with fewer are far
/// from a quarantine, and each crash of a full target leaves dozens of them.
const MIN_CRASHES_TO_REPORT_RUNS: u32 = 2;

/// Delay after which successful runs are reported, all together.
const RUNS_REPORT_DELAY: Duration = Duration::from_millis(500);

/// `Retry-After` for a quarantined request, which an operator must release first.
const RETRY_AFTER_QUARANTINE: Duration = Duration::from_secs(60);

/// Delay before the end of a suspension is proposed again, if the control log did not agree.
const END_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Number of suspensions above which those that ended are forgotten.
const MAX_SUSPENSIONS: usize = 256;

/// Temporary quarantines that this instance has seen, and when each ends by its own clock.
#[derive(Default)]
pub(crate) struct Suspensions(Mutex<HashMap<Fingerprint, Suspension>>);

struct Suspension {
    since: ControlTimeMs,
    ends_at: Instant,
}

impl Suspensions {
    /// Returns the time left of a quarantine, and whether its end is to be proposed now.
    fn time_left(&self, quarantine: &Quarantined, duration: Duration) -> (Duration, bool) {
        let mut suspensions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if suspensions.len() > MAX_SUSPENSIONS {
            suspensions.retain(|_, suspension| suspension.ends_at > now);
        }
        let started = || Suspension { since: quarantine.since, ends_at: now + duration };
        let suspension = suspensions.entry(quarantine.request).or_insert_with(started);
        if suspension.since != quarantine.since {
            *suspension = started();
        }
        let has_ended = suspension.ends_at <= now;
        if has_ended {
            suspension.ends_at = now + END_RETRY_DELAY;
        }
        (suspension.ends_at - now, has_ended)
    }
}

impl OwnerService {
    /// Registers a request as running at the target of its place.
    pub fn enter_relayed(
        &self,
        place: &GrantedPlace,
        request: &RequestId,
        identity: RequestIdentity,
    ) -> RunningGuard {
        self.relayed.enter(&self.cx, place.into(), request, identity)
    }

    /// Checks whether the target of a request whose connection broke has crashed.
    ///
    /// Runs in a separate task, so that the crash counts even if the caller disconnects.
    pub fn check_relayed(self: &Arc<Self>, guard: RunningGuard) -> JoinHandle<CrashStatus> {
        let service = self.clone();
        tokio::spawn(async move { service.relayed.check(&service.cx, &guard).await })
    }

    /// Whether the request was running at a target when that crashed.
    pub fn is_relayed_suspect(&self, identity: &RequestIdentity) -> bool {
        let has_crashes = |request| self.cx.view.read(|s| self.relayed.crashes(s, &request)) > 0;
        identity.all().any(has_crashes)
    }

    /// Refuses a request that has crashed too many targets.
    pub fn check_relayed_quarantine(
        self: &Arc<Self>,
        identity: &RequestIdentity,
    ) -> Result<(), RequestError> {
        let (quarantines, is_known_cause) = self.cx.view.read(|state| {
            let quarantines: Vec<_> =
                identity.all().filter_map(|i| state.quarantine_of(&i).cloned()).collect();
            (quarantines, self.relayed.is_known_cause(state, &identity.request))
        });
        if let Some(quarantine) = quarantines.first() {
            return Err(self.refuse_quarantined(quarantine));
        }
        match is_known_cause {
            true => Err(quarantined(&identity.request).retry_after(RETRY_AFTER_QUARANTINE)),
            false => Ok(()),
        }
    }

    fn refuse_quarantined(self: &Arc<Self>, quarantine: &Quarantined) -> RequestError {
        let refused = quarantined(&quarantine.request);
        let Some(duration) = quarantine.suspension_ms.map(Duration::from_millis) else {
            return refused.retry_after(RETRY_AFTER_QUARANTINE);
        };
        let (left, has_ended) = self.suspensions.time_left(quarantine, duration);
        if has_ended {
            let (service, request) = (self.clone(), quarantine.request);
            tokio::spawn(async move {
                let ended = service.cx.propose(Command::EndSuspension { request }).await;
                let error = match ended {
                    Ok(Reply::Refused(error)) => error.to_string(),
                    Ok(_) => {
                        return event!(service.cx.log, SUSPENSION_ENDED; "fingerprint" => %request);
                    }
                    Err(error) => error.to_string(),
                };
                event!(service.cx.log, SUSPENSION_KEPT;
                    "fingerprint" => %request, "error" => error);
            });
        }
        refused.retry_after(left)
    }

    /// Counts a successful run of a request, as evidence that it does not crash its targets.
    pub fn complete_relayed(self: &Arc<Self>, guard: &RunningGuard) {
        for request in guard.identity().all() {
            self.relayed.runs().add(request);
            let crashes = self.cx.view.read(|state| state.suspect_crashes(&request));
            if crashes >= MIN_CRASHES_TO_REPORT_RUNS && self.relayed.runs().mark_due(request) {
                let service = self.clone();
                tokio::spawn(async move { service.report_runs().await });
            }
        }
    }

    async fn report_runs(&self) {
        tokio::time::sleep(RUNS_REPORT_DELAY).await;
        let completed = self.relayed.runs().take_due();
        let requests = completed.len();
        let error = match self.cx.propose(Command::ReportRuns { completed }).await {
            Ok(Reply::Refused(error)) => error.to_string(),
            Ok(_) => return event!(self.cx.log, RUNS_REPORTED; "requests" => requests),
            Err(error) => error.to_string(),
        };
        event!(self.cx.log, RUNS_NOT_REPORTED; "requests" => requests, "error" => error);
    }
}
