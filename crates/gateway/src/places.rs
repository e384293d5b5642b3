//! Acquires places from the owner of a target group and reports when they end.
//!
//! If no owner is reachable, targets are selected by `FallbackSelector`.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use shallotdrum_allotments::{AllotmentReply, Charge};
use shallotdrum_control::{AnnouncedTarget, ControlView};
use shallotdrum_engine::{
    GrantedPlace, ObservedLimit, PLACE_GRACE, Priority, Requirements, TargetLoad,
};
use shallotdrum_owner::{
    ChargeError, OwnerService, PlaceAdmission, PlaceFeedback, PlaceKey, SessionFn,
};
use shallotdrum_rpc::{
    ChannelConfig, EndReport, EndedPlace, Peers, PlaceChannel, PlaceChannels, PlaceEnd, PlaceReply,
    PlaceRequest,
};
use shallotdrum_telemetry::{Metrics, event};
use shallotdrum_types::{
    AdapterId, GroupId, PoolId, RequestError, RequestErrorKind, RequestRate, SessionId,
    SoftwareVersion, TargetId, Weight,
};
use tokio::time::Instant;

use crate::{
    FallbackSelector, MalformedLoad,
    limits::{LimitChange, TargetLimits},
    spread::{SpreadKnowledge, group_weight},
    undelivered::UndeliveredEnds,
    withheld::{Process, WithheldTargets},
};

/// Delay before the owner of a group is looked up again.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(40);

/// `Retry-After` while a group has no reachable owner: about a session lease.
pub(crate) const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of places at targets that take no requests after which a request is refused. The second one
/// is granted only if the owner has no other target.
const MAX_WITHHELD_GRANTS: usize = 2;

/// `Retry-After` if all targets leave: about as long as another one takes to start.
const WITHHELD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Priority of a request that was not scheduled by an owner.
const DEFAULT_PRIORITY: Priority = Priority(64);

/// Maximum length of a malformed load in the log.
const MAX_LOGGED_CHARS: usize = 40;

/// Acquires places for the requests of this entry; clones share the state.
#[derive(Clone)]
pub(crate) struct PlaceClient(pub(crate) Arc<Shared>);

pub(crate) struct Shared {
    pub(crate) view: ControlView,
    pub(crate) session: SessionFn,
    owner: Arc<OwnerService>,
    pub(crate) peers: Peers,
    pub(crate) log: slog::Logger,
    next_place: AtomicU64,
    fallback: Mutex<FallbackSelector>,
    limits: Mutex<TargetLimits>,
    withheld: Mutex<WithheldTargets>,
    /// Processes whose malformed load was logged.
    malformed_loads: Mutex<HashSet<Process>>,
    spread: Mutex<SpreadKnowledge>,
    /// Time of the latest reply of each owner.
    pub(crate) last_replies: Mutex<HashMap<SocketAddr, Instant>>,
    /// Channels to owners; absent if the settings do not allow them.
    pub(crate) channels: Option<PlaceChannels>,
    /// Reports that no channel delivered; absent without channels.
    pub(crate) undelivered: Option<UndeliveredEnds>,
}

/// Place at a target; reported as cancelled if dropped without `end`.
pub(crate) struct Place {
    pub(crate) granted: GrantedPlace,
    guard: PlaceGuard,
}

/// Reports the end of a place, or cancels the request for one, when dropped.
pub(crate) struct PlaceGuard {
    places: PlaceClient,
    /// Whether the owner is told when the place ends. A channel tells it itself until the place is granted.
    pub(crate) is_reported: bool,
    end: PlaceEnd,
    pub(crate) granted_by: GrantedBy,
    granted_at: Option<Instant>,
    sent_at: Option<Instant>,
    /// Time from the send to the first event of a stream.
    first_event: Option<Duration>,
    /// Number of events of a stream, and the times of the first and the last one.
    events: Option<(u64, Instant, Instant)>,
    /// Load that the target stated, and when.
    load: Option<(TargetLoad, Instant)>,
    /// Whether the target had no room.
    has_no_room: bool,
}

/// Who granted a place and is told of its end.
pub(crate) enum GrantedBy {
    /// This instance owns the group.
    This { key: PlaceKey },
    /// Another instance owns the group.
    Other {
        key: PlaceKey,
        addr: SocketAddr,
        /// Channel that the place was requested over; absent with JSON-RPC.
        channel: Option<PlaceChannel>,
        /// When the owner ends the place itself.
        until: std::time::Instant,
    },
    /// No owner was reachable; this entry selected the target and counts its own requests.
    NoOwner { target: TargetId },
}

impl Place {
    fn new(granted: GrantedPlace, mut guard: PlaceGuard) -> Self {
        guard.granted_at = Some(Instant::now());
        Self { granted, guard }
    }

    /// Who granted the place, for log lines: the owner's address, or none.
    pub(crate) fn granted_by(&self) -> String {
        match &self.guard.granted_by {
            GrantedBy::This { .. } => "this instance".to_owned(),
            GrantedBy::Other { addr, .. } => addr.to_string(),
            GrantedBy::NoOwner { .. } => "no owner".to_owned(),
        }
    }

    /// Records that the request is being sent.
    pub(crate) fn record_send(&mut self) {
        self.guard.sent_at = Some(Instant::now());
    }

    /// Records that the first event of a stream has arrived.
    pub(crate) fn record_first_event(&mut self) {
        self.guard.first_event = self.guard.sent_at.map(|at| at.elapsed());
    }

    /// Records that this many events of a stream have arrived by now.
    pub(crate) fn record_events(&mut self, events: u64) {
        if self.guard.events.is_some_and(|(known, ..)| known == events) || events == 0 {
            return;
        }
        let now = Instant::now();
        let first = self.guard.events.map_or(now, |(_, first, _)| first);
        self.guard.events = Some((events, first, now));
    }

    /// Records the load that the target states in its response.
    pub(crate) fn record_load(
        &mut self,
        pool: &PoolId,
        load: Option<Result<TargetLoad, MalformedLoad>>,
    ) {
        match load {
            Some(Ok(load)) => {
                let now = Instant::now();
                self.guard.load = Some((load, now));
                let target = &self.granted.target;
                self.guard.places.fallback().record_load(pool, target, load, now);
            }
            Some(Err(error)) => self.guard.places.log_malformed_load(&self.granted, &error),
            None => {}
        }
    }

    /// Ends the place of a request that the target had no room for.
    pub(crate) fn end_without_room(mut self) {
        self.guard.has_no_room = true;
        self.end(PlaceEnd::Refused);
    }

    /// Ends the place and reports how it ended.
    pub(crate) fn end(mut self, end: PlaceEnd) {
        self.guard.end = end;
    }
}

impl PlaceGuard {
    fn new(places: PlaceClient, granted_by: GrantedBy) -> Self {
        Self {
            places,
            is_reported: true,
            end: PlaceEnd::Cancelled,
            granted_by,
            granted_at: None,
            sent_at: None,
            first_event: None,
            events: None,
            load: None,
            has_no_room: false,
        }
    }
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        let place = match &self.granted_by {
            GrantedBy::This { key } | GrantedBy::Other { key, .. } => key.1,
            GrantedBy::NoOwner { target } => return self.places.fallback().end(target),
        };
        let millis = |time: Duration| time.as_millis() as u64;
        let used = self.granted_at.map(|at| at.elapsed());
        let ended = EndedPlace {
            place,
            end: self.end,
            first_event_ms: self.first_event.map(millis),
            has_no_room: self.has_no_room,
            load: self.load.map(|(load, _)| load),
            load_age_ms: self.load.map(|(_, at)| millis(at.elapsed())),
            events: self.events.map(|(events, ..)| events),
            stream_ms: self.events.map(|(_, first, last)| millis(last - first)),
            used_ms: used.map(millis),
        };
        match &self.granted_by {
            GrantedBy::This { key } => {
                let finish = to_finish(self.end, self.has_no_room);
                let first_event = self.first_event;
                let feedback = PlaceFeedback { first_event, used, ..to_feedback(&ended) };
                self.places.0.owner.end_place(*key, finish, feedback, ended.events);
            }
            GrantedBy::Other { .. } if !self.is_reported => {}
            GrantedBy::Other { key: (session, _), addr, channel, until } => {
                let report = EndReport { session: *session, ended, until: *until };
                match channel {
                    Some(channel) => channel.end_place(report),
                    None => {
                        tokio::spawn(self.places.clone().report_end(*addr, report));
                    }
                }
            }
            GrantedBy::NoOwner { .. } => {}
        }
    }
}

/// Converts the end of a place to what the scheduler learns of its target.
pub fn to_feedback(ended: &EndedPlace) -> PlaceFeedback {
    let age = Duration::from_millis(ended.load_age_ms.unwrap_or(0));
    PlaceFeedback {
        first_event: ended.first_event_ms.map(Duration::from_millis),
        load: ended.load.map(|load| (load, age)),
        tokens: None,
        stream: ended.stream_ms.map(Duration::from_millis),
        used: ended.used_ms.map(Duration::from_millis),
    }
}

/// Converts the end of a place to the scheduler's `Finish`.
pub fn to_finish(end: PlaceEnd, has_no_room: bool) -> shallotdrum_owner::Finish {
    use shallotdrum_owner::Finish;
    match end {
        PlaceEnd::Answered { prompt_tokens, completion_tokens } => {
            Finish::Answered { prompt_tokens, completion_tokens }
        }
        PlaceEnd::Failed => Finish::TargetFailed,
        PlaceEnd::Cancelled => Finish::Cancelled,
        PlaceEnd::Refused if has_no_room => Finish::NoRoom,
        PlaceEnd::Refused => Finish::Refused,
    }
}

impl PlaceClient {
    /// Creates a client, which uses channels to owners if it gets metrics for them.
    pub(crate) fn new(
        view: ControlView,
        session: SessionFn,
        owner: Arc<OwnerService>,
        peers: Peers,
        metrics: Option<Metrics>,
        log: slog::Logger,
    ) -> Self {
        let undelivered = metrics
            .clone()
            .map(|metrics| UndeliveredEnds::new(peers.clone(), view.clone(), metrics, log.clone()));
        let channels = undelivered.clone().zip(metrics).map(|(ends, metrics)| {
            let undelivered = Arc::new(move |addr, reports| ends.send(addr, reports));
            PlaceChannels::new(ChannelConfig { undelivered, metrics, log: log.clone() })
        });
        Self(Arc::new(Shared {
            view,
            session,
            owner,
            peers,
            log,
            next_place: AtomicU64::new(1),
            fallback: Mutex::default(),
            limits: Mutex::default(),
            withheld: Mutex::default(),
            malformed_loads: Mutex::default(),
            spread: Mutex::default(),
            last_replies: Mutex::default(),
            channels,
            undelivered,
        }))
    }

    pub(crate) fn fallback(&self) -> MutexGuard<'_, FallbackSelector> {
        self.0.fallback.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn spread(&self) -> MutexGuard<'_, SpreadKnowledge> {
        self.0.spread.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what an owner states of its group, and of the adapter that the request needs.
    fn record_owner_state(
        &self,
        group: &GroupId,
        adapter: Option<(&PoolId, &AdapterId)>,
        spread: Option<u32>,
        wait: Option<Duration>,
    ) {
        let now = Instant::now();
        if let Some(wait) = wait {
            self.spread().record_wait(group, wait, now);
        }
        if let (Some((pool, adapter)), Some(spread)) = (adapter, spread) {
            self.spread().record_spread(pool, adapter, spread, now);
        }
    }

    fn limits(&self) -> MutexGuard<'_, TargetLimits> {
        self.0.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the limit that a target names in its response to a request that was sent at
    /// `sent_at`.
    pub(crate) fn record_limit(
        &self,
        place: &GrantedPlace,
        sent_at: Instant,
        named: Option<Result<RequestRate, String>>,
    ) {
        let process = (place.target.clone(), place.incarnation);
        let is_limited = place.is_rate_limited;
        let change = self.limits().record(process, is_limited, sent_at, named);
        match change {
            Some(LimitChange::Named(limit)) => event!(self.0.log, TARGET_LIMIT_NAMED;
                "target" => %place.target, "incarnation" => place.incarnation.0,
                "limit" => limit.map(RequestRate::get)),
            Some(LimitChange::Malformed(text)) => event!(self.0.log, TARGET_LIMIT_MALFORMED;
                "target" => %place.target, "limit" => text),
            None => {}
        }
    }

    fn withheld(&self) -> MutexGuard<'_, WithheldTargets> {
        self.0.withheld.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn malformed_loads(&self) -> MutexGuard<'_, HashSet<Process>> {
        self.0.malformed_loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs a malformed load, once for each process of a target.
    fn log_malformed_load(&self, place: &GrantedPlace, error: &MalformedLoad) {
        if self.malformed_loads().insert((place.target.clone(), place.incarnation)) {
            let text: String = error.0.chars().take(MAX_LOGGED_CHARS).collect();
            event!(self.0.log, TARGET_LOAD_MALFORMED; "target" => %place.target,
                "incarnation" => place.incarnation.0, "load" => text);
        }
    }

    /// Records that a target says in a response that it leaves.
    pub(crate) fn record_leaving(&self, place: &GrantedPlace) {
        let GrantedPlace { target, incarnation, .. } = place;
        if self.withheld().record_leaving((target.clone(), *incarnation)) {
            event!(self.0.log, TARGET_LEAVING_NAMED;
                "target" => %target, "incarnation" => incarnation.0);
            self.0.owner.drain_target(target.clone(), *incarnation);
        }
    }

    /// Records that a target refused a request and asked this entry for a pause.
    pub(crate) fn record_pause(&self, place: &GrantedPlace, pause: Duration) {
        let GrantedPlace { target, incarnation, .. } = place;
        event!(self.0.log, TARGET_PAUSED; "target" => %target, "incarnation" => incarnation.0,
            "pause_ms" => pause.as_millis() as u64);
        self.withheld().record_pause((target.clone(), *incarnation), pause);
    }

    /// Whether this entry sends no requests to the target at an address.
    pub(crate) fn is_withheld(&self, addr: SocketAddr) -> bool {
        let withheld = self.withheld();
        self.0.view.read(|state| {
            withheld.iter().any(|(id, incarnation)| {
                let announced = state.target(id).map(|target| &target.announced);
                announced.is_some_and(|a| a.addr == addr && a.incarnation == *incarnation)
            })
        })
    }

    /// Targets of a pool to which this entry sends no requests, and that are not known as draining
    /// to all instances.
    pub(crate) fn withheld_targets(&self, pool: &PoolId) -> Vec<TargetId> {
        let withheld = self.withheld();
        self.0.view.read(|state| {
            let is_granted = |(id, incarnation): &&Process| {
                state.target(id).is_some_and(|target| {
                    let announced = &target.announced;
                    announced.pool == *pool
                        && announced.incarnation == *incarnation
                        && !target.draining
                })
            };
            withheld.iter().filter(is_granted).map(|(target, _)| target.clone()).collect()
        })
    }

    /// Forgets what processes that have ended said in responses.
    pub(crate) fn expire(&self) {
        let is_current = |(target, incarnation): &Process| {
            self.0.view.read(|state| {
                state.target(target).is_some_and(|t| t.announced.incarnation == *incarnation)
            })
        };
        self.limits().expire(is_current);
        self.withheld().expire(is_current);
        self.malformed_loads().retain(is_current);
        if let Some(channels) = &self.0.channels {
            let owners: HashSet<SocketAddr> = self
                .0
                .view
                .read(|state| state.sessions().map(|session| session.info.addrs.data).collect());
            channels.retain(|addr| owners.contains(&addr));
        }
    }

    /// Records that a target refused a request for an adapter.
    pub(crate) fn record_refusal(&self, pool: &PoolId, need: &Requirements, target: &TargetId) {
        if let Requirements::Generation { adapter: Some(adapter), .. } = need {
            self.fallback().record_refusal(pool, adapter, target);
        }
    }

    /// Waits until the deadline for a place in a pool, at a target to which this entry sends
    /// requests.
    pub(crate) async fn take(
        &self,
        pool: &PoolId,
        mut admission: PlaceAdmission,
        deadline: Instant,
    ) -> Result<Place, RequestError> {
        let request = admission.request.clone();
        let mut withheld_grants = 0;
        while withheld_grants < MAX_WITHHELD_GRANTS {
            let mut avoiding = admission.clone();
            avoiding.avoid.extend(self.withheld_targets(pool));
            let place = self.take_any(pool, avoiding, deadline).await?;
            let (target, incarnation) = (&place.granted.target, place.granted.incarnation);
            if self.0.view.read(|state| state.is_leaving(target, incarnation)) {
                event!(self.0.log, PLACE_OUTDATED; "request" => %request, "target" => %target,
                    "incarnation" => incarnation.0);
                if !admission.avoid.contains(target) {
                    admission.avoid.push(target.clone());
                    continue;
                }
                let Some(place) = self.take_without_owner(pool, &admission) else { break };
                event!(self.0.log, PLACE_WITHOUT_OWNER; "request" => %request, "pool" => %pool,
                    "target" => %place.granted.target, "cause" => "the owner knows no other target");
                return Ok(place);
            }
            if !self.withheld().contains(&(target.clone(), incarnation)) {
                return Ok(place);
            }
            // The owner may not know it yet, or has no other target.
            event!(self.0.log, PLACE_WITHHELD; "request" => %request, "target" => %target);
            withheld_grants += 1;
        }
        let detail = format!("the targets of pool {pool} that could serve take no requests");
        let retry_after = self.withheld().shortest_pause().unwrap_or(WITHHELD_RETRY_AFTER);
        Err(RequestError::not_run(RequestErrorKind::NoTarget, detail).retry_after(retry_after))
    }

    /// Waits until the deadline for a place in a pool.
    async fn take_any(
        &self,
        pool: &PoolId,
        admission: PlaceAdmission,
        deadline: Instant,
    ) -> Result<Place, RequestError> {
        loop {
            self.check_software(pool, admission.software.as_ref())?;
            let left = deadline.saturating_duration_since(Instant::now());
            let admission = PlaceAdmission { left, ..admission.clone() };
            let error = match self.try_take(pool, admission.clone(), deadline).await {
                Ok(place) => {
                    if let Requirements::Generation { adapter: Some(adapter), .. } = &admission.need
                    {
                        let target = &place.granted.target;
                        self.fallback().record_grant(pool, adapter, target, Instant::now());
                    }
                    return Ok(place);
                }
                Err(error) if error.kind == RequestErrorKind::NotReady => error,
                Err(error) => return Err(error),
            };
            if let Some(place) = self.take_without_owner(pool, &admission) {
                event!(self.0.log, PLACE_WITHOUT_OWNER; "request" => %admission.request,
                    "pool" => %pool, "target" => %place.granted.target, "cause" => &error.detail);
                return Ok(place);
            }
            if Instant::now() + OWNER_RETRY_DELAY >= deadline {
                return Err(error);
            }
            tokio::time::sleep(OWNER_RETRY_DELAY).await;
        }
    }

    /// Fails if no target of the pool runs the required version of its software, so that the request
    /// does not wait for one.
    fn check_software(
        &self,
        pool: &PoolId,
        required: Option<&SoftwareVersion>,
    ) -> Result<(), RequestError> {
        let Some(software) = required else { return Ok(()) };
        let is_served = self.0.view.read(|state| {
            let mut targets = state.targets().filter(|target| target.announced.pool == *pool);
            targets.any(|target| !target.draining && runs_software(&target.announced, required))
        });
        if is_served {
            return Ok(());
        }
        let detail = format!("no target of pool {pool} runs version {software} any more");
        Err(RequestError::not_run(RequestErrorKind::NoTarget, detail))
    }

    /// Selects a target without the owner, if one can serve the request as it is.
    fn take_without_owner(&self, pool: &PoolId, admission: &PlaceAdmission) -> Option<Place> {
        let candidates = self.candidates_without_owner(pool, admission);
        let mut fallback = self.fallback();
        let target = choose_fallback(&fallback, pool, admission, candidates)?;
        let chosen = target.target;
        fallback.begin(&chosen);
        drop(fallback);
        let granted = GrantedPlace {
            target: chosen.clone(),
            incarnation: target.incarnation,
            addr: target.addr,
            priority: DEFAULT_PRIORITY,
            is_rate_limited: false,
            software: target.software,
            spread: None,
            group_wait_ms: None,
        };
        let granted_by = GrantedBy::NoOwner { target: chosen };
        let guard = PlaceGuard::new(self.clone(), granted_by);
        Some(Place::new(granted, guard))
    }

    /// Targets that may be selected without the owner.
    pub(crate) fn candidates_without_owner(
        &self,
        pool: &PoolId,
        admission: &PlaceAdmission,
    ) -> Vec<AnnouncedTarget> {
        let limits = self.limits();
        let withheld = self.withheld_targets(pool);
        self.0.view.read(|state| {
            let targets = state.targets().filter(|target| {
                let announced = &target.announced;
                announced.pool == *pool
                    && !target.draining
                    && runs_software(announced, admission.software.as_ref())
                    && !admission.avoid.contains(&announced.target)
                    && !withheld.contains(&announced.target)
                    // Without an owner, nobody knows how much of a limit is left.
                    && !limits.is_limited(&announced.target, announced.incarnation)
            });
            targets.map(|target| target.announced.clone()).collect()
        })
    }

    /// Requests a place together with a charge from the owner of a group, once.
    ///
    /// The place is absent if the request was charged but its target takes no requests.
    pub(crate) async fn take_charged(
        &self,
        pool: &PoolId,
        chosen: ChosenGroup,
        mut admission: PlaceAdmission,
        charge: Charge,
        deadline: Instant,
    ) -> Result<(Option<Place>, AllotmentReply), ChargeError> {
        self.check_software(pool, admission.software.as_ref())?;
        admission.avoid.extend(self.withheld_targets(pool));
        admission.left = deadline.saturating_duration_since(Instant::now());
        let need = admission.need.clone();
        let (place, reply) = self.take_in(pool, chosen, admission, Some(charge), deadline).await?;
        let Some(reply) = reply else { return Err(no_owner(pool).into()) };
        let (target, incarnation) = (&place.granted.target, place.granted.incarnation);
        if let Requirements::Generation { adapter: Some(adapter), .. } = &need {
            self.fallback().record_grant(pool, adapter, target, Instant::now());
        }
        let is_withheld = self.withheld().contains(&(target.clone(), incarnation));
        let is_leaving = self.0.view.read(|state| state.is_leaving(target, incarnation));
        Ok((Some(place).filter(|_| !is_withheld && !is_leaving), reply))
    }

    /// Requests a place from the owner of a group in the pool.
    async fn try_take(
        &self,
        pool: &PoolId,
        admission: PlaceAdmission,
        deadline: Instant,
    ) -> Result<Place, RequestError> {
        let chosen = self.choose_group(pool, &admission)?;
        match self.take_in(pool, chosen, admission, None, deadline).await {
            Ok((place, _)) => Ok(place),
            Err(ChargeError::NoPlace(error)) => Err(error),
            // Only for requests with a charge.
            Err(ChargeError::NoRoom(_)) => Err(no_owner(pool)),
        }
    }

    /// Requests a place from the owner of a group, which charges the request if `charge` is present.
    async fn take_in(
        &self,
        pool: &PoolId,
        chosen: ChosenGroup,
        admission: PlaceAdmission,
        charge: Option<Charge>,
        deadline: Instant,
    ) -> Result<(Place, Option<AllotmentReply>), ChargeError> {
        let Some(session) = (self.0.session)() else { return Err(no_owner(pool).into()) };
        let ChosenGroup { group, owner, addr, spread } = chosen;
        let limits = self.limits_of(&group);
        let admission = PlaceAdmission { limits, spread, ..admission };
        let adapter = needed_adapter(&admission.need).cloned();
        let adapter = adapter.as_ref().map(|adapter| (pool, adapter));
        let key = (session, self.0.next_place.fetch_add(1, Ordering::Relaxed));
        let granted_by = match owner == session {
            true => GrantedBy::This { key },
            false => {
                let until = (Instant::now() + admission.left + PLACE_GRACE).into_std();
                GrantedBy::Other { key, addr, channel: None, until }
            }
        };
        let mut guard = PlaceGuard::new(self.clone(), granted_by);
        if owner == session {
            let owner = &self.0.owner;
            let granted = match &charge {
                Some(charge) => {
                    let charged = owner.take_charged_place(&group, key, admission, charge).await;
                    charged.map(|(granted, reply)| (granted, Some(reply)))
                }
                None => match owner.take_place(&group, key, admission).await {
                    Ok(granted) => Ok((granted, None)),
                    Err(error) => Err(error.into()),
                },
            };
            let spread = granted.as_ref().ok().and_then(|(granted, _)| granted.spread);
            self.record_owner_state(&group, adapter, spread, owner.group_wait(&group));
            return granted.map(|(granted, reply)| (Place::new(granted, guard), reply));
        }
        let request = PlaceRequest {
            session,
            request: admission.request,
            place: key.1,
            group: group.clone(),
            subscriber: admission.subscriber,
            weight: (admission.weight != Weight::default()).then_some(admission.weight),
            charge,
            need: admission.need,
            fingerprint: Some(admission.identity.request),
            any_caller: admission.identity.any_caller,
            left_ms: admission.left.as_millis() as u64,
            urgency: admission.urgency,
            objective_ms: admission.objective.map(|left| left.as_millis() as u64),
            spread: Some(admission.spread),
            avoid: admission.avoid,
            software: admission.software,
            limits: admission.limits,
        };
        match self.request_place(pool, &group, (owner, addr), request, &mut guard, deadline).await?
        {
            PlaceReply::Granted(granted) => {
                let wait = granted.group_wait_ms.map(Duration::from_millis);
                self.record_owner_state(&group, adapter, granted.spread, wait);
                Ok((Place::new(granted, guard), None))
            }
            PlaceReply::Charged { place: granted, allotment } => {
                let wait = granted.group_wait_ms.map(Duration::from_millis);
                self.record_owner_state(&group, adapter, granted.spread, wait);
                Ok((Place::new(granted, guard), Some(allotment)))
            }
            PlaceReply::NoRoom { allotment } => Err(ChargeError::NoRoom(allotment)),
            PlaceReply::Refused { error, group_wait_ms } => {
                let wait = group_wait_ms.map(Duration::from_millis);
                self.record_owner_state(&group, None, None, wait);
                Err(error.into())
            }
        }
    }

    /// Limits of a group's targets that this entry knows of.
    pub(crate) fn limits_of(&self, group: &GroupId) -> Vec<ObservedLimit> {
        let limits = self.limits();
        if limits.is_empty() {
            return Vec::new();
        }
        self.0.view.read(|state| {
            let targets = state.group(group).map(|group| &group.targets);
            limits.observed(|target| targets.is_some_and(|targets| targets.contains(target)))
        })
    }

    /// Selects a group of the pool by rendezvous hashing, so that requests for an adapter go to the
    /// same group as long as it has an owner; to the least loaded of several if the adapter is spread.
    pub(crate) fn choose_group(
        &self,
        pool: &PoolId,
        admission: &PlaceAdmission,
    ) -> Result<ChosenGroup, RequestError> {
        let adapter = needed_adapter(&admission.need);
        let now = Instant::now();
        let spread = adapter.map_or(1, |adapter| self.spread().spread(pool, adapter, now));
        let key = match adapter {
            Some(adapter) => adapter.to_string(),
            None => admission.request.to_string(),
        };
        self.0.view.read(|state| {
            let software = admission.software.as_ref();
            let has_software = |target: &TargetId| {
                let target = state.target(target);
                target.is_some_and(|target| runs_software(&target.announced, software))
            };
            let groups = state.groups_of_pool(pool);
            let groups = groups.filter(|group| group.targets.iter().any(has_software));
            let owned = groups.filter_map(|group| {
                let owner = group.owner?;
                let addr = state.session(owner)?.info.addrs.rpc;
                Some(ChosenGroup { group: group.id.clone(), owner, addr, spread: 1 })
            });
            let weight = |chosen: &ChosenGroup| group_weight(&key, &chosen.group);
            if spread <= 1 {
                return owned.max_by_key(weight).ok_or_else(|| no_owner(pool));
            }
            let mut ranked: Vec<ChosenGroup> = owned.collect();
            ranked.sort_by_cached_key(|chosen| std::cmp::Reverse(weight(chosen)));
            ranked.truncate(spread as usize);
            let used = ranked.len() as u32;
            let ids: Vec<GroupId> = ranked.iter().map(|chosen| chosen.group.clone()).collect();
            let knowledge = self.spread();
            let first = knowledge.choose(&ids, rand::random(), now);
            let mut ranked = ranked.into_iter();
            let chosen = ranked.find(|chosen| first == Some(&chosen.group));
            chosen
                .map(|chosen| ChosenGroup { spread: used, ..chosen })
                .ok_or_else(|| no_owner(pool))
        })
    }
}

/// Group that a request is sent to, with its owner.
#[derive(Clone)]
pub(crate) struct ChosenGroup {
    pub(crate) group: GroupId,
    pub(crate) owner: SessionId,
    pub(crate) addr: SocketAddr,
    /// Number of groups that were considered.
    pub(crate) spread: u32,
}

/// Target that is selected without the owner.
pub(crate) fn choose_fallback(
    fallback: &FallbackSelector,
    pool: &PoolId,
    admission: &PlaceAdmission,
    candidates: Vec<AnnouncedTarget>,
) -> Option<AnnouncedTarget> {
    let adapter = match &admission.need {
        Requirements::Generation { adapter, .. } => adapter.as_ref(),
        Requirements::Call { .. } => None,
    };
    let names: Vec<TargetId> = candidates.iter().map(|target| target.target.clone()).collect();
    let chosen = fallback.choose(pool, adapter, &names, rand::random(), Instant::now())?;
    candidates.into_iter().find(|target| target.target == chosen)
}

/// Adapter that a request needs.
fn needed_adapter(need: &Requirements) -> Option<&AdapterId> {
    match need {
        Requirements::Generation { adapter: Some(adapter), .. } => Some(&adapter.adapter),
        _ => None,
    }
}

/// Whether a target runs the required version of its software.
fn runs_software(target: &AnnouncedTarget, required: Option<&SoftwareVersion>) -> bool {
    required.is_none() || target.software.as_ref() == required
}

pub(crate) fn no_owner(pool: &PoolId) -> RequestError {
    let detail = format!("no instance currently owns the targets of pool {pool}; retry later");
    RequestError::not_run(RequestErrorKind::NotReady, detail).retry_after(NO_OWNER_RETRY_AFTER)
}
