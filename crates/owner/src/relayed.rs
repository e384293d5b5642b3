//! Crash detection for requests that entries send to targets themselves, under a place.
//!
//! The entry tracks its own requests, so that a crash is noticed whoever owns the group, and also
//! while nobody does. Suspects run beside other requests: with places in use on all targets, a
//! suspect would wait for an empty one until its deadline.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use shallotdrum_control::{Command, CompletedRuns, PartQuarantine, PartRun, Quarantined, Reply};
use shallotdrum_engine::GrantedPlace;
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    ControlTimeMs, Fingerprint, RequestError, RequestErrorKind, RequestId, RequestIdentity,
};
use tokio::{task::JoinHandle, time::Instant};

use crate::{
    OwnerService,
    crash::{CrashStatus, RunningGuard},
    part_runs::SURVIVAL_TIME,
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

/// Time for which a permitted request may be sent. Another one is permitted only after twice the time
/// of the last suspension.
const PERMIT_LIFETIME: Duration = Duration::from_secs(10);

/// Number of suspensions above which those that ended are forgotten.
const MAX_SUSPENSIONS: usize = 256;

/// Temporary quarantines that this instance has seen, and when each ends by its own clock.
#[derive(Default)]
pub(crate) struct Suspensions {
    known: Mutex<HashMap<Fingerprint, Suspension>>,
    /// Parts with which the control log permitted this instance one request, and since when.
    permits: Mutex<HashMap<Fingerprint, Instant>>,
}

/// Quarantine of a request, or of a part of its prompt.
struct Quarantine {
    fingerprint: Fingerprint,
    since: ControlTimeMs,
    /// Absent until an operator lifts it.
    duration: Option<Duration>,
    is_part: bool,
}

struct SuspensionStatus {
    left: Duration,
    /// Whether the end is to be proposed now.
    has_ended: bool,
    /// Whether this instance has not seen it before.
    is_new: bool,
}

struct Suspension {
    since: ControlTimeMs,
    ends_at: Instant,
}

impl Suspensions {
    /// Returns the state of a temporary quarantine by this instance's clock.
    fn check(&self, quarantine: &Quarantine, duration: Duration) -> SuspensionStatus {
        let mut suspensions = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if suspensions.len() > MAX_SUSPENSIONS {
            suspensions.retain(|_, suspension| suspension.ends_at > now);
        }
        let started = || Suspension { since: quarantine.since, ends_at: now + duration };
        let known = suspensions.get(&quarantine.fingerprint).map(|suspension| suspension.since);
        let is_new = known != Some(quarantine.since);
        if is_new {
            suspensions.insert(quarantine.fingerprint, started());
        }
        let suspension = suspensions.entry(quarantine.fingerprint).or_insert_with(started);
        let has_ended = suspension.ends_at <= now;
        if has_ended {
            suspension.ends_at = now + END_RETRY_DELAY;
        }
        SuspensionStatus { left: suspension.ends_at - now, has_ended, is_new }
    }

    /// Permits one request with a part.
    fn permit(&self, part: Fingerprint) {
        self.permits().insert(part, Instant::now());
    }

    fn is_permitted(&self, part: &Fingerprint) -> bool {
        self.permits().get(part).is_some_and(|since| since.elapsed() < PERMIT_LIFETIME)
    }

    fn take_permit(&self, part: &Fingerprint) {
        let mut permits = self.permits();
        permits.retain(|other, since| other != part && since.elapsed() < PERMIT_LIFETIME);
    }

    fn permits(&self) -> MutexGuard<'_, HashMap<Fingerprint, Instant>> {
        self.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn part_quarantined(part: &Fingerprint) -> RequestError {
    let detail = format!(
        "the prompt contains part {part}, which crashed the targets that ran it and is quarantined"
    );
    RequestError::not_run(RequestErrorKind::Quarantined, detail)
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

    /// Whether the request, or a part of its prompt that is not known to run successfully, was running
    /// at a target when that crashed.
    pub fn is_relayed_suspect(&self, identity: &RequestIdentity) -> bool {
        self.cx.view.read(|state| {
            identity.whole().any(|request| self.relayed.crashes(state, &request) > 0)
                || identity.parts.iter().any(|part| self.relayed.is_suspect_part(state, part))
        })
    }

    /// Refuses a request that has crashed too many targets, or with a part in its prompt that has,
    /// unless the control log permitted this instance one request with the part. Returns that part.
    pub fn admit_relayed(
        self: &Arc<Self>,
        identity: &RequestIdentity,
    ) -> Result<Option<Fingerprint>, RequestError> {
        let error = match self.check_relayed_quarantine(identity) {
            Ok(()) => return Ok(None),
            Err(error) => error,
        };
        let permitted = identity.parts.iter().find(|part| self.suspensions.is_permitted(part));
        let Some(part) = permitted else { return Err(error) };
        self.check_relayed_quarantine(&identity.without_part(part))?;
        self.suspensions.take_permit(part);
        event!(self.cx.log, PART_PERMITTED; "fingerprint" => %part, "request" => %identity.request);
        Ok(Some(*part))
    }

    /// Refuses a request that has crashed too many targets, or with such a part in its prompt.
    pub fn check_relayed_quarantine(
        self: &Arc<Self>,
        identity: &RequestIdentity,
    ) -> Result<(), RequestError> {
        let (quarantines, is_known_cause) = self.cx.view.read(|state| {
            let whole = identity.whole().filter_map(|request| {
                let Quarantined { since, suspension_ms, .. } = state.quarantine_of(&request)?;
                let duration = suspension_ms.map(Duration::from_millis);
                Some(Quarantine { fingerprint: request, since: *since, duration, is_part: false })
            });
            let parts = identity.parts.iter().filter_map(|part| {
                let PartQuarantine { since, suspension_ms } = state.part_quarantine(part)?;
                let duration = Some(Duration::from_millis(suspension_ms));
                Some(Quarantine { fingerprint: *part, since, duration, is_part: true })
            });
            let quarantines: Vec<_> = whole.chain(parts).collect();
            // The first part of a prompt may be shared by most requests.
            let mut parts = identity.parts.iter().skip(1);
            let is_known_cause = self.relayed.is_known_cause(state, &identity.request)
                || parts.any(|part| self.relayed.is_known_cause_part(state, part));
            (quarantines, is_known_cause)
        });
        if let Some(quarantine) = quarantines.first() {
            return Err(self.refuse_quarantined(quarantine));
        }
        match is_known_cause {
            true => Err(quarantined(&identity.request).retry_after(RETRY_AFTER_QUARANTINE)),
            false => Ok(()),
        }
    }

    fn refuse_quarantined(self: &Arc<Self>, quarantine: &Quarantine) -> RequestError {
        let refused = match quarantine.is_part {
            true => part_quarantined(&quarantine.fingerprint),
            false => quarantined(&quarantine.fingerprint),
        };
        let Some(duration) = quarantine.duration else {
            return refused.retry_after(RETRY_AFTER_QUARANTINE);
        };
        let SuspensionStatus { left, has_ended, is_new } =
            self.suspensions.check(quarantine, duration);
        if is_new && quarantine.is_part {
            let part = &quarantine.fingerprint;
            let (crashes, had_runs) =
                self.cx.view.read(|state| (state.suspect_crashes(part), state.part_had_runs(part)));
            event!(self.cx.log, PART_QUARANTINED; "fingerprint" => %part, "crashes" => crashes,
                "had_runs" => had_runs, "suspension_ms" => duration.as_millis() as u64);
        }
        if has_ended {
            let (service, request) = (self.clone(), quarantine.fingerprint);
            let is_part = quarantine.is_part;
            tokio::spawn(async move {
                let ended = service.cx.propose(Command::EndSuspension { request }).await;
                let error = match ended {
                    Ok(Reply::Refused(error)) => error.to_string(),
                    Ok(_) => {
                        if is_part {
                            service.suspensions.permit(request);
                        }
                        return event!(service.cx.log, SUSPENSION_ENDED; "fingerprint" => %request,
                            "is_part" => is_part);
                    }
                    Err(error) => error.to_string(),
                };
                event!(service.cx.log, SUSPENSION_KEPT;
                    "fingerprint" => %request, "error" => error);
            });
        }
        refused.retry_after(left)
    }

    /// Counts a successful run of a request, as evidence that neither it nor a part of its prompt
    /// crashes targets.
    pub fn complete_relayed(self: &Arc<Self>, guard: &RunningGuard) {
        for request in guard.identity().whole() {
            self.relayed.runs().add(request);
            let crashes = self.cx.view.read(|state| state.suspect_crashes(&request));
            if crashes >= MIN_CRASHES_TO_REPORT_RUNS && self.relayed.runs().mark_due(request) {
                let service = self.clone();
                tokio::spawn(async move { service.report_runs().await });
            }
        }
        if guard.succeed(MIN_CRASHES_TO_REPORT_RUNS) {
            let service = self.clone();
            tokio::spawn(async move { service.report_part_runs().await });
        }
    }

    /// Reports runs on parts when their targets have survived them, unless the report of another
    /// instance has cleared the parts already.
    async fn report_part_runs(&self) {
        let is_suspected = |part: &Fingerprint| {
            self.cx.view.read(|state| state.suspect_crashes(part) >= MIN_CRASHES_TO_REPORT_RUNS)
        };
        loop {
            let delay = RUNS_REPORT_DELAY.mul_f64(rand::random());
            tokio::time::sleep(SURVIVAL_TIME + delay).await;
            let (part_runs, is_done) = self.relayed.take_due_part_runs(&self.cx);
            let part_runs: Vec<_> =
                part_runs.into_iter().filter(|run| is_suspected(&run.part)).collect();
            if !part_runs.is_empty() {
                self.propose_runs(Vec::new(), part_runs).await;
            }
            if is_done {
                return;
            }
        }
    }

    async fn report_runs(&self) {
        tokio::time::sleep(RUNS_REPORT_DELAY).await;
        let completed = self.relayed.runs().take_due();
        self.propose_runs(completed, Vec::new()).await;
    }

    async fn propose_runs(&self, completed: Vec<CompletedRuns>, part_runs: Vec<PartRun>) {
        let (requests, parts) = (completed.len(), part_runs.len());
        let error = match self.cx.propose(Command::ReportRuns { completed, part_runs }).await {
            Ok(Reply::Refused(error)) => error.to_string(),
            Ok(_) => {
                return event!(self.cx.log, RUNS_REPORTED;
                    "requests" => requests, "parts" => parts);
            }
            Err(error) => error.to_string(),
        };
        event!(self.cx.log, RUNS_NOT_REPORTED;
            "requests" => requests, "parts" => parts, "error" => error);
    }
}
