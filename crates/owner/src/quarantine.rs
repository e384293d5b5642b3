//! Refuses requests that are quarantined, or whose prompts contain a quarantined part, and ends
//! temporary quarantines.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use shallotdrum_control::{Command, ControlState, PartQuarantine, Quarantined, Reply};
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    ControlTimeMs, Fingerprint, RequestError, RequestErrorKind, RequestIdentity,
};
use tokio::time::Instant;

use crate::{OwnerService, crash::CrashDetector, service::quarantined};

/// `Retry-After` for a quarantined request, which an operator must release first.
const RETRY_AFTER_QUARANTINE: Duration = Duration::from_secs(60);

/// Delay before the end of a suspension is proposed again, if the control log did not agree.
const END_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time for which a permitted request may be sent. Another one is permitted only after twice the time
/// of the last suspension.
const PERMIT_LIFETIME: Duration = Duration::from_secs(10);

/// Number of crashes from which a request that ran successfully for no adapter is refused for all of them
/// until an operator lifts the quarantine. Each suspension before that ends with a single request.
const CRASHES_FOR_ANY_ADAPTER: usize = 5;

/// Number of suspensions above which those that ended are forgotten.
const MAX_SUSPENSIONS: usize = 256;

/// Temporary quarantines that this instance has seen, and when each ends by its own clock.
#[derive(Default)]
pub(crate) struct Suspensions {
    known: Mutex<HashMap<Fingerprint, Suspension>>,
    /// Groups of requests and parts with which the control log permitted this instance one request, and since when.
    permits: Mutex<HashMap<Fingerprint, Instant>>,
}

/// Quarantine of a request, or of a part of its prompt.
struct Quarantine {
    fingerprint: Fingerprint,
    since: ControlTimeMs,
    /// Absent until an operator lifts it.
    duration: Option<Duration>,
    kind: QuarantineKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QuarantineKind {
    /// A request by one caller.
    Caller,
    /// A request by any caller or for any adapter, except those whose runs succeed. Its end permits one.
    Group,
    /// A part of prompts. Its end permits one request.
    Part,
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

    /// Permits one request of a group, or with a part.
    fn permit(&self, quarantined: Fingerprint) {
        self.permits().insert(quarantined, Instant::now());
    }

    fn is_permitted(&self, quarantined: &Fingerprint) -> bool {
        self.permits().get(quarantined).is_some_and(|since| since.elapsed() < PERMIT_LIFETIME)
    }

    fn take_permit(&self, quarantined: &Fingerprint) {
        let mut permits = self.permits();
        permits.retain(|other, since| other != quarantined && since.elapsed() < PERMIT_LIFETIME);
    }

    fn permits(&self) -> MutexGuard<'_, HashMap<Fingerprint, Instant>> {
        self.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a request crashed enough targets, and never ran successfully.
fn crashes_always(quarantined: &Quarantined) -> bool {
    quarantined.crashes.len() >= CRASHES_FOR_ANY_ADAPTER && quarantined.completed == 0
}

fn part_quarantined(part: &Fingerprint) -> RequestError {
    let detail = format!(
        "the prompt contains part {part}, which crashed the targets that ran it and is quarantined"
    );
    RequestError::not_run(RequestErrorKind::Quarantined, detail)
}

impl OwnerService {
    /// Refuses a request that has crashed too many targets, or with a part in its prompt that has,
    /// unless the control log permitted this instance one request by any caller, for any adapter or with the
    /// part. Returns which.
    pub fn admit_relayed(
        self: &Arc<Self>,
        identity: &RequestIdentity,
    ) -> Result<Option<Fingerprint>, RequestError> {
        let Err(error) = self.check_whole(identity) else {
            return self.admit_parts(&self.relayed, &identity.parts);
        };
        let permitted = identity.groups().find(|group| self.suspensions.is_permitted(group));
        let Some(group) = permitted else { return Err(error) };
        self.check_relayed_quarantine(&identity.without(&group))?;
        self.suspensions.take_permit(&group);
        event!(self.cx.log, REQUEST_PERMITTED; "fingerprint" => %group);
        Ok(Some(group))
    }

    /// Refuses a request that has crashed too many targets, or with such a part in its prompt.
    pub fn check_relayed_quarantine(
        self: &Arc<Self>,
        identity: &RequestIdentity,
    ) -> Result<(), RequestError> {
        self.check_whole(identity)?;
        self.check_parts(&self.relayed, &identity.parts, None)
    }

    /// The identity by which other instances decide on a request: a caller whose runs succeed is not
    /// refused for the others of its path.
    pub fn identity_to_admit(&self, identity: RequestIdentity) -> RequestIdentity {
        let is_trusted = |state: &ControlState| self.relayed.is_trusted(state, &identity.request);
        match identity.any_caller {
            Some(path) if self.cx.view.read(is_trusted) => identity.without(&path),
            _ => identity,
        }
    }

    fn check_whole(self: &Arc<Self>, identity: &RequestIdentity) -> Result<(), RequestError> {
        let RequestIdentity { request, any_caller, any_adapter, content, .. } = identity;
        let (quarantine, is_known_cause) = self.cx.view.read(|state| {
            let find = |request: &Fingerprint| {
                let quarantined = state.quarantine_of(request)?;
                let Quarantined { since, suspension_ms, is_any_caller, .. } = quarantined;
                let is_any_adapter = *any_adapter == Some(*request) || *content == Some(*request);
                let is_final = is_any_adapter && crashes_always(quarantined);
                let duration = suspension_ms.map(Duration::from_millis).filter(|_| !is_final);
                let kind = match is_any_caller {
                    true => QuarantineKind::Group,
                    false => QuarantineKind::Caller,
                };
                Some(Quarantine { fingerprint: *request, since: *since, duration, kind })
            };
            let is_trusted = self.relayed.is_trusted(state, request);
            // A run for this adapter shows that the content alone does not crash targets.
            let has_run = self.relayed.has_run(state, request);
            let mut groups = identity.groups().filter(|group| match Some(*group) == *any_caller {
                true => !is_trusted,
                false => !has_run,
            });
            let quarantine = find(request).or_else(|| groups.find_map(|group| find(&group)));
            (quarantine, self.relayed.is_known_cause(state, request))
        });
        match quarantine {
            Some(quarantine) => Err(self.refuse_quarantined(&quarantine)),
            None if is_known_cause => Err(quarantined(request).retry_after(RETRY_AFTER_QUARANTINE)),
            None => Ok(()),
        }
    }

    /// Refuses a prompt with a part that has crashed too many targets, unless the control log
    /// permitted this instance one request with the part. Returns that part.
    pub(crate) fn admit_parts(
        self: &Arc<Self>,
        crashes: &CrashDetector,
        parts: &[Fingerprint],
    ) -> Result<Option<Fingerprint>, RequestError> {
        let Err(error) = self.check_parts(crashes, parts, None) else { return Ok(None) };
        let permitted = parts.iter().find(|part| self.suspensions.is_permitted(part));
        let Some(part) = permitted else { return Err(error) };
        self.check_parts(crashes, parts, Some(part))?;
        self.suspensions.take_permit(part);
        event!(self.cx.log, REQUEST_PERMITTED; "fingerprint" => %part);
        Ok(Some(*part))
    }

    /// Refuses a prompt with a part that has crashed too many targets, other than a permitted one.
    pub(crate) fn check_parts(
        self: &Arc<Self>,
        crashes: &CrashDetector,
        parts: &[Fingerprint],
        permitted: Option<&Fingerprint>,
    ) -> Result<(), RequestError> {
        let (quarantine, known_cause) = self.cx.view.read(|state| {
            let mut checked = parts.iter().filter(|part| Some(*part) != permitted);
            let quarantine = checked.clone().find_map(|part| {
                let PartQuarantine { since, suspension_ms } = state.part_quarantine(part)?;
                let duration = Some(Duration::from_millis(suspension_ms));
                Some(Quarantine { fingerprint: *part, since, duration, kind: QuarantineKind::Part })
            });
            // The first part of a prompt may be shared by most requests.
            let is_known_cause = |part: &&Fingerprint| {
                parts.first() != Some(*part) && crashes.is_known_cause_part(state, part)
            };
            (quarantine, checked.find(is_known_cause))
        });
        match (quarantine, known_cause) {
            (Some(quarantine), _) => Err(self.refuse_quarantined(&quarantine)),
            (None, Some(part)) => Err(part_quarantined(part).retry_after(RETRY_AFTER_QUARANTINE)),
            (None, None) => Ok(()),
        }
    }

    fn refuse_quarantined(self: &Arc<Self>, quarantine: &Quarantine) -> RequestError {
        let is_part = quarantine.kind == QuarantineKind::Part;
        let refused = match is_part {
            true => part_quarantined(&quarantine.fingerprint),
            false => quarantined(&quarantine.fingerprint),
        };
        let Some(duration) = quarantine.duration else {
            return refused.retry_after(RETRY_AFTER_QUARANTINE);
        };
        let SuspensionStatus { left, has_ended, is_new } =
            self.suspensions.check(quarantine, duration);
        if is_new && is_part {
            let part = &quarantine.fingerprint;
            let (crashes, had_runs) =
                self.cx.view.read(|state| (state.suspect_crashes(part), state.part_had_runs(part)));
            event!(self.cx.log, PART_QUARANTINED; "fingerprint" => %part, "crashes" => crashes,
                "had_runs" => had_runs, "suspension_ms" => duration.as_millis() as u64);
        }
        if has_ended {
            let (service, request) = (self.clone(), quarantine.fingerprint);
            let permits_one = quarantine.kind != QuarantineKind::Caller;
            tokio::spawn(async move {
                let ended = service.cx.propose(Command::EndSuspension { request }).await;
                let error = match ended {
                    Ok(Reply::Refused(error)) => error.to_string(),
                    Ok(_) => {
                        if permits_one {
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
}
