//! Places that this owner has granted to entries.
//!
//! A place is a reservation for one request at a target. An entry requests a place, sends the
//! request to the target itself and reports when the place ends. Until then the owner keeps the
//! scheduler's lease, which pins the adapter.
//!
//! Architecture Invariant: a place ends at the latest with the session of its entry or shortly
//! after its request's deadline, so a lost report never pins an adapter permanently.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use shallotdrum_engine::{GrantedPlace, ObservedLimit, PLACE_GRACE, Requirements, Urgency};
use shallotdrum_scheduler::{
    AdmissionRequest, Finish, GroupScheduler, Lease, PlaceFeedback, RequestKind,
};
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    GroupId, RequestError, RequestErrorKind, RequestId, RequestIdentity, SessionId,
    SoftwareVersion, SubscriberId, TargetId, Weight,
};
use tokio::sync::Notify;

use crate::OwnerService;

/// Identifies a place: the session of the entry and a number that is unique within it.
pub type PlaceKey = (SessionId, u64);

/// Request for a place at a target of a group.
#[derive(Clone, Debug)]
pub struct PlaceAdmission {
    /// Request that the place is for.
    pub request: RequestId,
    /// Equal for repeats of the request with other ids.
    pub identity: RequestIdentity,
    /// Subscriber whose fair share the request counts against.
    pub subscriber: SubscriberId,
    /// Weight of the subscriber in fair queueing.
    pub weight: Weight,
    /// Resources that the request needs at the target.
    pub need: Requirements,
    /// Time left for the complete response.
    pub left: Duration,
    /// How urgent the request is.
    pub urgency: Urgency,
    /// Time left until the response is late by the objective of its route; absent without one.
    pub objective: Option<Duration>,
    /// Number of groups over which the entry spreads the requests for the adapter.
    pub spread: u32,
    /// Targets that already failed or refused the request.
    pub avoid: Vec<TargetId>,
    /// Software version of a target at which the request may run; any if absent.
    pub software: Option<SoftwareVersion>,
    /// Limits of the group's targets that the entry knows of.
    pub limits: Vec<ObservedLimit>,
}

/// Granted places and pending requests for places, by key.
#[derive(Default)]
pub(crate) struct PlaceTable(Mutex<HashMap<PlaceKey, Place>>);

struct Place {
    lease: Option<Lease>,
    cancelled: Arc<Notify>,
    expires_at: Instant,
}

impl PlaceTable {
    fn lock(&self) -> MutexGuard<'_, HashMap<PlaceKey, Place>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the places of ended sessions and those that have expired.
    pub(crate) fn expire(&self, live: &HashSet<SessionId>) {
        let now = Instant::now();
        let expired: Vec<Place> = {
            let mut places = self.lock();
            let keys: Vec<PlaceKey> = places
                .iter()
                .filter(|((session, _), place)| !live.contains(session) || now > place.expires_at)
                .map(|(key, _)| *key)
                .collect();
            keys.iter().filter_map(|key| places.remove(key)).collect()
        };
        // Leases are dropped outside the lock, because that calls into the scheduler.
        for place in expired {
            place.cancelled.notify_one();
        }
    }
}

/// Removes a pending place when its request stops waiting.
struct WaitGuard<'a> {
    owner: &'a OwnerService,
    key: PlaceKey,
    request: RequestId,
    group: &'a GroupId,
    since: Instant,
    /// Whether the request was granted a place or refused one.
    is_decided: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut places = self.owner.places.lock();
        if places.get(&self.key).is_some_and(|place| place.lease.is_none()) {
            places.remove(&self.key);
        }
        drop(places);
        if !self.is_decided {
            event!(self.owner.cx.log, PLACE_CANCELLED; "request" => %self.request,
                "group" => %self.group, "session" => self.key.0.0,
                "waited_ms" => self.since.elapsed().as_millis() as u64);
        }
    }
}

impl OwnerService {
    /// Waits for a place at a target of an owned group; `end_place` with the same key cancels the
    /// wait.
    pub async fn take_place(
        self: &Arc<Self>,
        group: &GroupId,
        key: PlaceKey,
        admission: PlaceAdmission,
    ) -> Result<GrantedPlace, RequestError> {
        let owned = self.owned(group)?;
        let identity = admission.identity.clone();
        self.check_relayed_quarantine(&identity)?;
        observe_limits(&owned.scheduler, &admission.limits);
        let cancelled = Arc::new(Notify::new());
        let expires_at = Instant::now() + admission.left + PLACE_GRACE;
        let place = Place { lease: None, cancelled: cancelled.clone(), expires_at };
        self.places.lock().insert(key, place);
        let request = admission.request.clone();
        let mut waiting = WaitGuard {
            owner: self,
            key,
            request: request.clone(),
            group,
            since: Instant::now(),
            is_decided: false,
        };
        let subscriber = admission.subscriber.clone();
        let admitted = tokio::select! {
            admitted = owned.scheduler.admit(place_admission(admission)) => admitted,
            () = cancelled.notified() => Err(RequestError::not_run(
                RequestErrorKind::DeadlineExceeded,
                "the request for a place was cancelled or expired",
            )),
        };
        waiting.is_decided = true;
        let lease = match admitted {
            Ok(lease) => lease,
            Err(error) => {
                event!(self.cx.log, PLACE_REFUSED; "request" => %request, "group" => %group,
                    "kind" => %error.kind, "detail" => &error.detail);
                return Err(error);
            }
        };
        self.check_owned(&owned)?;
        // The request may have been quarantined while it was queued.
        self.check_relayed_quarantine(&identity)?;
        self.record_waits(&subscriber, &lease);
        lease.started();
        let granted = GrantedPlace {
            target: lease.target.clone(),
            incarnation: lease.incarnation,
            addr: lease.addr,
            priority: lease.priority,
            is_rate_limited: lease.is_rate_limited,
            software: lease.software.clone(),
            spread: lease.spread,
            group_wait_ms: lease.group_wait.map(|wait| wait.as_millis() as u64),
        };
        if let Some(software) = &granted.software {
            self.streams.record_grant(&request, software);
        }
        event!(self.cx.log, PLACE_GRANTED; "request" => %request, "target" => %granted.target,
            "software" => granted.software.as_ref().map(ToString::to_string), "group" => %group, "epoch" => owned.epoch.0,
            "index" => self.cx.view.applied().0,
            "waited_ms" => lease.queue_wait.as_millis() as u64,
            "stall_ms" => lease.load_stall.as_millis() as u64);
        let unclaimed = match self.places.lock().get_mut(&key) {
            Some(place) => {
                place.lease = Some(lease);
                None
            }
            // The entry has cancelled the request in the meantime.
            None => Some(lease),
        };
        drop(unclaimed);
        drop(waiting);
        Ok(granted)
    }

    /// Expected wait of another request in an owned group; absent if its scheduler does not say.
    pub fn group_wait(&self, group: &GroupId) -> Option<Duration> {
        self.owned(group).ok()?.scheduler.group_wait()
    }

    /// Ends a place, or cancels the wait for it; `events` is the number of events of a stream.
    pub fn end_place(
        &self,
        key: PlaceKey,
        finish: Finish,
        feedback: PlaceFeedback,
        events: Option<u64>,
    ) {
        let Some(place) = self.places.lock().remove(&key) else { return };
        match place.lease {
            Some(lease) => {
                let tokens = events.map(|events| events * self.tokens_per_event(&lease.target));
                lease.feedback(PlaceFeedback { tokens, ..feedback }, finish);
                lease.finish(finish);
            }
            None => place.cancelled.notify_one(),
        }
    }

    /// Number of tokens in an event of a target.
    fn tokens_per_event(&self, target: &TargetId) -> u64 {
        let tokens = self.cx.view.read(|state| {
            let pool = &state.target(target)?.announced.pool;
            let engine = state.routes()?.table().pool(pool)?.engine.as_ref()?;
            Some(engine.tokens_per_event)
        });
        u64::from(tokens.unwrap_or(1))
    }
}

fn observe_limits(scheduler: &GroupScheduler, limits: &[ObservedLimit]) {
    for (limit, observed_at) in with_times(limits) {
        scheduler.observe_limit(&limit.target, limit.incarnation, limit.limit, observed_at);
    }
}

/// Limits that an entry knows of, each with the time at which it was observed.
pub(crate) fn with_times(
    limits: &[ObservedLimit],
) -> impl Iterator<Item = (&ObservedLimit, tokio::time::Instant)> {
    let now = tokio::time::Instant::now();
    limits.iter().map(move |limit| {
        let age = Duration::from_millis(limit.age_ms);
        (limit, now.checked_sub(age).unwrap_or(now))
    })
}

pub(crate) fn place_admission(admission: PlaceAdmission) -> AdmissionRequest {
    let kind = match admission.need {
        Requirements::Generation {
            adapter: Some(adapter),
            prompt_tokens,
            max_tokens,
            prefixes,
        } => RequestKind::Completion {
            adapter,
            source: String::new(),
            prompt_tokens,
            max_tokens,
            prompt_prefix_hashes: prefixes,
        },
        Requirements::Generation { adapter: None, prompt_tokens, max_tokens, prefixes } => {
            RequestKind::Base { prompt_tokens, max_tokens, prompt_prefix_hashes: prefixes }
        }
        Requirements::Call { is_repeatable } => RequestKind::Service { is_repeatable },
    };
    let objective = admission.objective.map(|left| (Instant::now() + left).into());
    AdmissionRequest {
        fingerprint: admission.identity.request,
        request: admission.request,
        subscriber: admission.subscriber,
        weight: admission.weight,
        kind,
        deadline: (Instant::now() + admission.left).into(),
        is_suspect: false,
        avoid: admission.avoid,
        software: admission.software,
        max_concurrent: None,
        urgency: admission.urgency,
        objective,
        spread: admission.spread,
    }
}
