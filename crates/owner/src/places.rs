//! Places that this owner has granted to entries.
//!
//! An entry asks for a place, sends its request to the target itself and reports the end. The
//! scheduler's lease, which pins the adapter, is kept here meanwhile.
//!
//! Architecture Invariant: a place ends at the latest with the session of its entry or when its
//! request's deadline has passed, so a lost report never pins an adapter for good.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use shallotdrum_engine::{GrantedPlace, Need};
use shallotdrum_scheduler::{Finish, Job, Lease, Work};
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    Fingerprint, GroupId, RequestError, RequestErrorKind, RequestId, SessionId, SubscriberId,
    TargetId, Weight,
};
use tokio::sync::Notify;

use crate::OwnerService;

/// Added to a request's deadline before its place ends by itself: an entry reports the end within
/// a round trip of the deadline.
const PLACE_GRACE: Duration = Duration::from_secs(1);

/// Identifies a place: the entry's session and a number unique in it.
pub type PlaceKey = (SessionId, u64);

/// Asks for a place at a target of a group.
#[derive(Clone, Debug)]
pub struct PlaceWork {
    /// Request, for the log.
    pub request: RequestId,
    /// Whom the request is charged to.
    pub subscriber: SubscriberId,
    /// What the request needs.
    pub need: Need,
    /// Time left for the whole answer.
    pub left: Duration,
    /// Targets on which the request failed before.
    pub avoid: Vec<TargetId>,
}

/// Places by key.
#[derive(Default)]
pub(crate) struct Places(Mutex<HashMap<PlaceKey, Place>>);

struct Place {
    lease: Option<Lease>,
    cancelled: Arc<Notify>,
    until: Instant,
}

impl Places {
    fn lock(&self) -> MutexGuard<'_, HashMap<PlaceKey, Place>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the places of ended sessions, and those that are overdue.
    pub(crate) fn expire(&self, live: &HashSet<SessionId>) {
        let now = Instant::now();
        let overdue: Vec<Place> = {
            let mut places = self.lock();
            let keys: Vec<PlaceKey> = places
                .iter()
                .filter(|((session, _), place)| !live.contains(session) || now > place.until)
                .map(|(key, _)| *key)
                .collect();
            keys.iter().filter_map(|key| places.remove(key)).collect()
        };
        // Dropping a lease changes the scheduler, which must not happen under the lock.
        for place in overdue {
            place.cancelled.notify_one();
        }
    }
}

/// Removes the place of a request that stopped waiting.
struct Waiting<'a>(&'a Places, PlaceKey);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut places = self.0.lock();
        if places.get(&self.1).is_some_and(|place| place.lease.is_none()) {
            places.remove(&self.1);
        }
    }
}

impl OwnerService {
    /// Waits for a place at a target of a group that this instance owns.
    pub async fn take_place(
        &self,
        group: &GroupId,
        key: PlaceKey,
        work: PlaceWork,
    ) -> Result<GrantedPlace, RequestError> {
        let owned = self.owned(group)?;
        let cancelled = Arc::new(Notify::new());
        let until = Instant::now() + work.left + PLACE_GRACE;
        let place = Place { lease: None, cancelled: cancelled.clone(), until };
        self.places.lock().insert(key, place);
        let waiting = Waiting(&self.places, key);
        let request = work.request.clone();
        let subscriber = work.subscriber.clone();
        let admitted = tokio::select! {
            admitted = owned.scheduler.admit(scheduler_work(work)) => admitted,
            () = cancelled.notified() => Err(RequestError::not_run(
                RequestErrorKind::DeadlineExceeded,
                "the caller no longer waits",
            )),
        };
        let lease = match admitted {
            Ok(lease) => lease,
            Err(error) => {
                event!(self.cx.log, PLACE_REFUSED; "request" => %request, "group" => %group,
                    "kind" => %error.kind, "detail" => &error.detail);
                return Err(error);
            }
        };
        self.check_owned(&owned)?;
        self.record_waits(&subscriber, &lease);
        lease.started();
        let granted = GrantedPlace {
            target: lease.target.clone(),
            incarnation: lease.incarnation,
            addr: lease.addr,
            priority: lease.priority,
        };
        event!(self.cx.log, PLACE_GRANTED; "request" => %request, "target" => %granted.target,
            "group" => %group, "epoch" => owned.epoch.0,
            "waited_ms" => lease.queue_wait.as_millis() as u64,
            "stall_ms" => lease.load_stall.as_millis() as u64);
        let late = match self.places.lock().get_mut(&key) {
            Some(place) => {
                place.lease = Some(lease);
                None
            }
            // The entry has withdrawn the request meanwhile.
            None => Some(lease),
        };
        drop(late);
        drop(waiting);
        Ok(granted)
    }

    /// Ends a place, also one that still waits.
    pub fn end_place(&self, key: PlaceKey, finish: Finish) {
        let Some(place) = self.places.lock().remove(&key) else { return };
        match place.lease {
            Some(lease) => lease.finish(finish),
            None => place.cancelled.notify_one(),
        }
    }
}

fn scheduler_work(work: PlaceWork) -> Work {
    let job = match work.need {
        Need::Generation { adapter: Some(adapter), prompt_tokens, max_tokens, prefixes } => {
            Job::Completion {
                adapter,
                source: String::new(),
                prompt_tokens,
                max_tokens,
                prompt_prefix_hashes: prefixes,
            }
        }
        Need::Generation { adapter: None, prompt_tokens, max_tokens, prefixes } => {
            Job::Base { prompt_tokens, max_tokens, prompt_prefix_hashes: prefixes }
        }
        Need::Call { is_repeatable } => Job::Service { is_repeatable },
    };
    Work {
        fingerprint: Fingerprint::of(work.request.as_str().as_bytes()),
        request: work.request,
        subscriber: work.subscriber,
        weight: Weight::default(),
        job,
        deadline: (Instant::now() + work.left).into(),
        is_suspect: false,
        avoid: work.avoid,
        max_concurrent: None,
    }
}
