//! Drives a caller's request through its attempts.
//!
//! Each attempt acquires a place at a target, sends the request there and evaluates the response.
//! `decision` determines whether another attempt follows.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use shallotdrum_allotments::{ServedTimes, ShardHints};
use shallotdrum_control::ControlView;
use shallotdrum_links::{Links, WitnessUse};
use shallotdrum_owner::{CrashStatus, OwnerService, RunningGuard, SessionFn};
use shallotdrum_routes::{Customer, Route, RouteIndex};
use shallotdrum_rpc::{Peers, PlaceEnd};
use shallotdrum_telemetry::{Metrics, event};
use shallotdrum_types::{
    ConfirmationFn, Fingerprint, Outcome, PoolId, RequestError, RequestErrorKind, RequestId,
    RequestIdentity, Revision, SoftwareVersion, SubscriberId, TargetId,
};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, timeout_at},
};

use crate::{
    Access, CallerRequest, Dispatch, EntryCount, Framing, GatewayResponse, Generation, HeaderCodec,
    HeldMemory, RetryAllowance, RetryBudget, RevocationBound, RunTimes, StopTimes,
    admit::{Admitted, NoRoute, choose_pool},
    body::{BodyError, discard},
    charges::Taken,
    connections::{Connection, ConnectionPool, SendError, response_headers},
    continuation::check_head,
    decision::{RequestProgress, RetryDecision, SendFailure, decide_retry, resend_delay},
    errors::{
        target_failed, target_refused, target_timed_out, target_unreachable, timed_out_waiting,
    },
    fingerprint::request_identity,
    grant::Granted,
    need::fallback_label,
    origin_copies::OriginCopies,
    places::{Place, PlaceClient},
    progress::{ProgressGuard, RequestEnd, RequestsInProgress, Stage},
    relay::Relay,
    stop::stopped_unfinished,
};

/// `Retry-After` of an instance that has no route table yet. The election of a control leader and
/// the transfer of the state take about a second.
pub(crate) const RETRY_AFTER_START: Duration = Duration::from_millis(1_200);

/// `Retry-After` of an instance that is stopping; a new connection reaches another one.
pub(crate) const RETRY_AFTER_CLOSE: Duration = Duration::from_millis(50);

/// Part of the time left that a request waits for a witness of its target, which takes some round trips.
const WITNESS_SHARE: u32 = 2;

/// Interval between checks for expired idle connections, and between counts of the entries.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Waits until the local copy of the control state includes all that was committed when it was called;
/// `false` if the control leader did not confirm that by the deadline.
pub type ConfirmStateFn = Arc<dyn Fn(Instant) -> BoxFuture<'static, bool> + Send + Sync>;

/// Dependencies and settings of a `Gateway`.
pub struct GatewayContext {
    /// Local copy of the control state; may lag behind the log.
    pub view: ControlView,
    /// Session of this instance while its lease is valid.
    pub session: SessionFn,
    /// Whether the control state of this instance is confirmed to be current.
    pub confirmation: ConfirmationFn,
    /// Confirms the control state of this instance anew.
    pub confirm_state: ConfirmStateFn,
    /// Whether requests are served while the control state is not confirmed.
    pub serve_when_stale: bool,
    /// Time from the start of the instance for which requests wait until it can decide on them.
    pub startup_wait: Duration,
    /// Time within which a withdrawn key is refused; `None` without a bound.
    pub revocation: Option<RevocationBound>,
    /// Grants places in the groups that this instance owns.
    pub owner: Arc<OwnerService>,
    /// RPC clients for the owners in other instances.
    pub peers: Peers,
    /// Whether owners in other instances are asked over channels for places.
    pub place_channel: bool,
    /// Writes requests for targets and reads their responses.
    pub codec: HeaderCodec,
    /// Allowance for retries, applied to each pool.
    pub retries: RetryAllowance,
    /// Whether the deployment starts for the first time, so that no process was here before.
    pub is_first_start: bool,
    /// Memory limit of the instance in bytes, of which bodies may take a part.
    pub memory: usize,
    /// Receives request counts and latencies.
    pub metrics: Metrics,
    /// Receives the events of requests.
    pub log: slog::Logger,
}

/// Routes callers' requests to targets and returns the responses.
pub struct Gateway {
    pub(crate) cx: GatewayContext,
    pub(crate) places: PlaceClient,
    pub(crate) shard_hints: Mutex<ShardHints>,
    pub(crate) served: Mutex<ServedTimes>,
    pub(crate) next_reservation: AtomicU64,
    pub(crate) origin_copies: OriginCopies,
    pub(crate) in_progress: RequestsInProgress,
    pub(crate) run_times: Mutex<RunTimes>,
    /// Planned stop that has begun.
    pub(crate) stop: watch::Sender<Option<StopTimes>>,
    pub(crate) connections: ConnectionPool,
    /// Memory for bodies.
    pub(crate) memory: HeldMemory,
    budgets: Mutex<HashMap<PoolId, RetryBudget>>,
    entry_count: Mutex<EntryCount>,
    pub(crate) started_at: Instant,
    /// New requests are refused, as this instance may end before their responses do.
    pub(crate) is_closing: AtomicBool,
}

/// State of a request across its attempts.
pub(crate) struct RequestRun {
    pub(crate) req: CallerRequest,
    /// Entry among the requests in progress.
    pub(crate) progress: Arc<ProgressGuard>,
    /// Whether its caller has the begin of a stream.
    pub(crate) is_relayed: bool,
    /// Equal for repeats of the request with other ids.
    pub(crate) identity: RequestIdentity,
    /// What is quarantined about the request and permitted for its first send.
    pub(crate) permitted: Option<Fingerprint>,
    /// Software version that the events received by the caller came from.
    pub(crate) software: Option<SoftwareVersion>,
    /// Customer that the request runs for; `None` without customers, and on public routes without a key.
    pub(crate) customer: Option<Arc<Customer>>,
    /// Whether what the caller says of itself is forwarded.
    pub(crate) forwards_credentials: bool,
    /// Whether the customer's allotment was charged.
    pub(crate) is_charged: bool,
    /// Units that were taken from the allotment.
    pub(crate) taken: Option<Taken>,
    pub(crate) route: Route,
    pub(crate) pool: PoolId,
    /// Revision of the route table that selected the pool.
    pub(crate) revision: Revision,
    pub(crate) deadline: Instant,
    /// Targets that already failed or refused the request.
    pub(crate) avoid: Vec<TargetId>,
    /// Number of targets that may have run the request.
    pub(crate) possible_runs: u32,
    /// Number of attempts to send the request.
    pub(crate) sends: u32,
    /// Time of the latest attempt.
    pub(crate) sent_at: Option<Instant>,
    /// Id of the last event of the stream that the caller has received.
    pub(crate) resume_after: Option<String>,
    /// Check whether the target of the latest broken connection crashed.
    pub(crate) crash_check: Option<JoinHandle<CrashStatus>>,
    /// Latest complete error response of a target.
    pub(crate) error_response: Option<GatewayResponse>,
}

/// Response of a target whose head has been read.
pub(crate) struct Received {
    pub(crate) place: Place,
    pub(crate) running: RunningGuard,
    pub(crate) connection: Connection,
    pub(crate) response: Response<Incoming>,
    pub(crate) framing: Framing,
    /// Shows at the end of the body whether the target runs on; present if it was needed and ready
    /// before the request was sent.
    pub(crate) witness: Option<WitnessUse>,
}

/// How an attempt ended.
enum AttemptOutcome {
    /// This response is returned to the caller.
    Answered(GatewayResponse),
    /// The target returned no complete successful response.
    Failed(SendFailure, RequestError),
    /// No place was granted, or the deadline passed while the request waited for one.
    NoPlace(RequestError),
}

impl Gateway {
    /// Creates a gateway and spawns its background tasks; must be called within a
    /// Tokio runtime.
    pub fn new(cx: GatewayContext, connections: ConnectionPool) -> Arc<Self> {
        let places = PlaceClient::new(
            cx.view.clone(),
            cx.session.clone(),
            cx.owner.clone(),
            cx.peers.clone(),
            cx.place_channel.then(|| cx.metrics.clone()),
            cx.log.clone(),
        );
        let withheld = places.clone();
        connections.links().withhold(move |addr| withheld.is_withheld(addr));
        let restarted = Some(Instant::now()).filter(|_| !cx.is_first_start);
        let memory = HeldMemory::new(cx.memory, cx.metrics.clone());
        let gateway = Arc::new(Self {
            cx,
            places,
            shard_hints: Mutex::default(),
            served: Mutex::default(),
            next_reservation: AtomicU64::new(1),
            origin_copies: OriginCopies::default(),
            in_progress: RequestsInProgress::default(),
            run_times: Mutex::default(),
            stop: watch::Sender::new(None),
            connections: connections.clone(),
            memory,
            budgets: Mutex::default(),
            entry_count: Mutex::new(EntryCount::new(restarted)),
            started_at: Instant::now(),
            is_closing: AtomicBool::new(false),
        });
        let weak = Arc::downgrade(&gateway);
        tokio::spawn(Self::copy_origins(weak.clone()));
        tokio::spawn(async move {
            while let Some(gateway) = weak.upgrade() {
                gateway.count_entries();
                gateway.places.expire();
                gateway.expire_shard_hints();
                gateway.run_times().expire(Instant::now().into_std());
                drop(gateway);
                tokio::time::sleep(EXPIRE_INTERVAL).await;
                connections.expire();
                connections.links().expire();
            }
        });
        gateway
    }

    pub(crate) fn links(&self) -> &Links {
        self.connections.links()
    }

    /// Returns the current route table; `None` until the first one is received.
    pub fn routes(&self) -> Option<Arc<RouteIndex>> {
        self.cx.view.read(|state| state.routes().cloned())
    }

    /// Whether requests are served at the moment.
    pub fn is_ready(&self) -> bool {
        self.routes().is_some()
            && (self.cx.confirmation)().freshness.check_serving(self.cx.serve_when_stale).is_ok()
    }

    /// Refuses new requests from now on, also those that began to arrive before; for the end of a
    /// planned stop, when the balancer has sent new connections elsewhere.
    pub fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }

    /// Records a request that the front end could not decode.
    pub fn record_malformed(&self, error: &dyn std::fmt::Display) {
        event!(self.cx.log, INPUT_REFUSED; "error" => %error);
        self.cx.metrics.finished("not-run", RequestErrorKind::InvalidRequest.code());
    }

    /// Runs a request and returns the response of a target. An error states whether the request may
    /// have run.
    pub async fn handle(
        self: Arc<Self>,
        req: CallerRequest,
    ) -> Result<GatewayResponse, RequestError> {
        let id = req.id.clone();
        let arrived = req.arrived;
        let label = self.metrics_label(&req);
        let prompt = req.generation.as_ref().map(Generation::part_ids);
        let in_flight = InFlightGuard::enter(self.cx.metrics.in_flight());
        let progress = self.in_progress.enter(id.clone(), arrived, arrived + req.timeout);
        let progress = Arc::new(progress);
        let result = self.clone().try_handle(req, &progress).await;
        drop(in_flight);
        let took = arrived.elapsed();
        let ms = took.as_millis() as u64;
        match &result {
            Ok(GatewayResponse::Whole { status, end, .. }) => {
                self.cx.metrics.subscriber(&label).total(took);
                self.cx.metrics.finished("answered", "none");
                progress.record_end(RequestEnd::Answered);
                event!(self.cx.log, REQUEST_ANSWERED; "request" => %id, "status" => status.as_u16(),
                    "framing" => %end.framing, "evidence" => end.evidence(),
                    "checked_after_ms" => end.checked_after.as_millis() as u64, "ms" => ms);
            }
            Ok(GatewayResponse::Stream { .. }) => {
                self.cx.metrics.subscriber(&label).first_token(took);
                self.cx.metrics.finished("answered", "none");
                event!(self.cx.log, REQUEST_ANSWERED; "request" => %id, "first_event_ms" => ms);
            }
            Err(error) => {
                self.cx.metrics.finished(&error.outcome.to_string(), error.kind.code());
                progress.record_end(match error.outcome {
                    Outcome::NotRun => RequestEnd::Refused,
                    _ => RequestEnd::Failed,
                });
                event!(self.cx.log, REQUEST_ENDED; "request" => %id, "kind" => %error.kind,
                    "outcome" => %error.outcome, "detail" => &error.detail, "prompt" => prompt,
                    "ms" => ms);
            }
        }
        result
    }

    /// Returns the label for the latency metrics of a request: the name of its route.
    fn metrics_label(&self, req: &CallerRequest) -> SubscriberId {
        let routes = self.routes();
        let route = routes.as_ref().and_then(|r| r.find(&req.host, req.target.path()));
        let name = route.map_or("no-route", |route| route.name.as_str());
        name.parse().unwrap_or_else(|_| fallback_label())
    }

    async fn try_handle(
        self: Arc<Self>,
        req: CallerRequest,
        progress: &Arc<ProgressGuard>,
    ) -> Result<GatewayResponse, RequestError> {
        let in_force = self.in_force_for(&req).await;
        let found = self.find_route(&in_force, &req.host, req.target.path());
        let route = match found {
            Ok((_, route)) => route.clone(),
            Err(NoRoute::NotServing(error)) => return Err(error),
            Err(NoRoute::NotInTable(refusal)) => {
                return Err(self.refuse_for_good(req.id.as_str(), &in_force, refusal));
            }
        };
        let access = self
            .check_key(req.id.as_str(), &req.credentials, &route, &in_force)
            .map_err(|refusal| refusal.error)?;
        let pool = choose_pool(&route, rand::random())?;
        let admitted = Admitted { access, route, pool, revision: in_force.revision() };
        drop(in_force);
        let identity = request_identity(&req);
        progress.wait_for(Stage::StreamOrigin);
        let software = self.required_software(&req, &admitted.pool).await?;
        let permitted = self.cx.owner.admit_relayed(&identity)?;
        self.with_budget(&admitted.pool, |budget, now| {
            budget.count_request(now, &self.cx.retries);
        });
        let run = RequestRun::new(req, progress.clone(), admitted, identity, permitted, software);
        progress.set_deadline(run.deadline);
        self.run(run).await
    }

    /// Repeats attempts until one succeeds or no further attempt is allowed.
    async fn run(self: Arc<Self>, mut run: RequestRun) -> Result<GatewayResponse, RequestError> {
        loop {
            let (failure, error) = match self.attempt(&mut run).await {
                AttemptOutcome::Answered(response) => return Ok(response),
                AttemptOutcome::Failed(failure, error) => (failure, error),
                AttemptOutcome::NoPlace(error) => {
                    self.return_unused(&mut run);
                    return run.give_up(error);
                }
            };
            if !self.may_resend(&mut run, failure).await {
                self.return_unused(&mut run);
                return run.give_up(error);
            }
        }
    }

    /// Counts a failed attempt and decides whether another one follows.
    pub(crate) async fn may_resend(&self, run: &mut RequestRun, failure: SendFailure) -> bool {
        run.possible_runs += u32::from(failure.may_have_run());
        run.sends += 1;
        let left = run.deadline.saturating_duration_since(Instant::now());
        let progress =
            RequestProgress { failure, possible_runs: run.possible_runs, sends: run.sends, left };
        match decide_retry(run.route.repeat, run.route.max_targets, progress) {
            RetryDecision::GiveUp => false,
            RetryDecision::Resend { .. } if self.is_too_late(run) => false,
            RetryDecision::Resend { uses_budget } => {
                run.progress.wait_for(Stage::Resend);
                let too_late = self.too_late(run);
                let checked = self.wait_for_crash_check(run);
                if self.unless_too_late(too_late, checked).await.is_none() {
                    return false;
                }
                if self.check_quarantine(&run.identity).is_err() {
                    return false;
                }
                let sharing = self.count_entries();
                let is_allowed = !uses_budget
                    || self.with_budget(&run.pool, |budget, now| {
                        budget.try_consume(now, &self.cx.retries, sharing)
                    });
                if is_allowed {
                    self.cx.metrics.retries().inc();
                    let delay = resend_delay(failure, &run.avoid);
                    if !delay.is_zero() {
                        let pause = tokio::time::sleep(delay.min(left));
                        return self.unless_too_late(self.too_late(run), pause).await.is_some();
                    }
                } else {
                    event!(self.cx.log, ENTRY_RETRY_BUDGET_EMPTY; "request" => %run.req.id,
                        "pool" => %run.pool, "sharing" => sharing);
                }
                is_allowed
            }
        }
    }

    /// Records the number of entries, and returns how many share the fixed part of the allowance.
    fn count_entries(&self) -> Option<usize> {
        let count = self.cx.view.read(|state| state.sessions().filter(|s| !s.info.replica).count());
        let now = Instant::now();
        let mut entries = self.entry_count.lock().unwrap_or_else(PoisonError::into_inner);
        if (self.cx.session)().is_some() && count > 0 {
            entries.record(now, count);
        }
        entries.sharing(now, &self.cx.retries)
    }

    fn with_budget<T>(&self, pool: &PoolId, f: impl FnOnce(&mut RetryBudget, Instant) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        f(budgets.entry(pool.clone()).or_default(), Instant::now())
    }

    /// Sends the request once and reads the response, or starts to relay it if it is a stream.
    async fn attempt(self: &Arc<Self>, run: &mut RequestRun) -> AttemptOutcome {
        let received = match self.dispatch(run).await {
            Ok(received) => received,
            Err(ended) => return ended,
        };
        let status = received.response.status();
        if run.route.repeat.is_stream() && status.is_success() {
            match check_head(status, status, received.response.headers()) {
                Ok(()) => {
                    let (relay, head) = Relay::new(self.clone(), received);
                    return match relay.start(run, head).await {
                        Ok(response) => AttemptOutcome::Answered(response),
                        Err(error) => AttemptOutcome::Failed(SendFailure::Unknown, error),
                    };
                }
                Err(error) if run.resume_after.is_some() => {
                    let failure = self.refuse_resumption(run, received, &error);
                    return AttemptOutcome::Failed(failure, target_failed(error));
                }
                // What the target responds in place of a stream is returned as a whole.
                Err(_) => {}
            }
        }
        let Received { place, running, connection, response, framing, witness } = received;
        let (parts, body) = response.into_parts();
        run.progress.wait_for(Stage::Body);
        let body = self.memory.read(framing, body, &connection, witness.as_ref());
        let read = tokio::select! {
            read = timeout_at(run.deadline, body) => read,
            () = self.stop_end() => {
                return AttemptOutcome::Failed(SendFailure::Unknown, stopped_unfinished());
            }
        };
        let (body, end) = match read {
            Ok(Ok(read)) => read,
            Ok(Err(error)) => {
                if let BodyError::Unproven(end) = &error {
                    self.cx.metrics.body_ended(end.evidence());
                }
                let target = &place.granted.target;
                self.log_send_failure(run, target, SendFailure::Unknown, &error);
                self.check_crash(run, running);
                run.avoid.push(place.granted.target.clone());
                self.end_failed(place);
                return AttemptOutcome::Failed(SendFailure::Unknown, target_failed(&error));
            }
            Err(_) => return AttemptOutcome::Failed(SendFailure::Unknown, target_timed_out()),
        };
        self.cx.metrics.body_ended(end.evidence());
        running.complete(Some(connection.opened_at()));
        connection.release();
        let response =
            GatewayResponse::Whole { status, headers: response_headers(parts.headers), body, end };
        if status.is_server_error() {
            run.avoid.push(place.granted.target.clone());
            place.end(PlaceEnd::Failed);
            run.error_response = Some(response);
            let error = target_failed(format!("status {}", status.as_u16()));
            return AttemptOutcome::Failed(SendFailure::Failed, error);
        }
        if status.is_success() {
            self.record_served(run);
        }
        self.cx.owner.complete_relayed(&running);
        place.end(PlaceEnd::Answered { prompt_tokens: 0, completion_tokens: 0 });
        AttemptOutcome::Answered(response)
    }

    /// Acquires a place, sends the request to its target and reads the head of the response.
    async fn dispatch(&self, run: &mut RequestRun) -> Result<Received, AttemptOutcome> {
        let Granted { mut place, witness, need, version } =
            self.take_place_in_time(run).await.map_err(AttemptOutcome::NoPlace)?;
        // The target may have left meanwhile.
        if self.places.is_withheld(place.granted.addr) {
            run.avoid.push(place.granted.target.clone());
            place.end(PlaceEnd::Cancelled);
            let error = target_unreachable("the target takes no requests any more");
            return Err(AttemptOutcome::Failed(SendFailure::NotSent, error));
        }
        let left = run.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(AttemptOutcome::NoPlace(timed_out_waiting()));
        }
        // The control state of this instance may be newer than that of the owner.
        self.check_quarantine(&run.admitted_identity()).map_err(AttemptOutcome::NoPlace)?;
        self.check_key_again(run).map_err(AttemptOutcome::NoPlace)?;
        place.record_send();
        let granted = &place.granted;
        let dispatch = Dispatch {
            target: granted.target.clone(),
            left,
            priority: run.req.generation.is_some().then_some(granted.priority),
            version,
            resume_after: run.resume_after.clone(),
            customer: run.customer.as_ref().map(|customer| customer.name.clone()),
        };
        event!(self.cx.log, REQUEST_ROUTED; "request" => %run.req.id,
            "fingerprint" => %run.identity.request, "path" => run.req.target.path(),
            "caller" => run.req.caller.map(|caller| caller.to_string()),
            "customer" => dispatch.customer.as_ref().map(ToString::to_string),
            "prompt" => run.req.generation.as_ref().map(Generation::part_ids), "route" => &run.route.name,
            "revision" => run.revision.0, "version" => dispatch.version.as_ref().map(ToString::to_string),
            "target" => %granted.target, "granted_by" => place.granted_by(),
            "index" => self.cx.view.applied().0, "session" => (self.cx.session)().map(|session| session.0),
            "software" => granted.software.as_ref().map(ToString::to_string),
            "resumes" => run.req.resumes.as_ref().map(ToString::to_string), "send" => run.sends + 1, "left_ms" => left.as_millis() as u64);
        let target = granted.target.clone();
        let running = self.cx.owner.enter_relayed(granted, &run.req.id, run.identity.clone());
        let sent_at = Instant::now();
        run.sent_at = Some(sent_at);
        run.progress.record_send();
        let request = run.request(&self.cx.codec, &dispatch);
        let sent = async {
            match run.avoid.contains(&target) {
                true => self.connections.send_on_new(granted.addr, request, &run.req.id).await,
                false => self.connections.send(granted.addr, request, &run.req.id).await,
            }
        };
        let sent = tokio::select! {
            sent = timeout_at(run.deadline, sent) => sent,
            () = self.stop_end() => {
                place.end(PlaceEnd::Cancelled);
                let error = stopped_unfinished();
                return Err(AttemptOutcome::Failed(SendFailure::Unknown, error));
            }
        };
        let (mut connection, response) = match sent {
            Ok(Ok(received)) => received,
            Ok(Err(error)) => {
                run.avoid.push(target.clone());
                let failure = match error {
                    SendError::NotSent(_) => {
                        running.end();
                        SendFailure::NotSent
                    }
                    SendError::Unknown(_) => {
                        self.check_crash(run, running);
                        SendFailure::Unknown
                    }
                    SendError::Unreadable(_) => {
                        self.cx.metrics.unreadable_responses().inc();
                        self.check_crash(run, running);
                        SendFailure::Unknown
                    }
                };
                self.end_failed(place);
                self.log_send_failure(run, &target, failure, &error);
                let error = match failure {
                    SendFailure::NotSent => target_unreachable(&error),
                    _ => target_failed(&error),
                };
                return Err(AttemptOutcome::Failed(failure, error));
            }
            Err(_) => {
                self.end_failed(place);
                return Err(AttemptOutcome::Failed(SendFailure::Unknown, target_timed_out()));
            }
        };
        let (parts, body) = response.into_parts();
        let info = (self.cx.codec.read)(&parts);
        if let Err(cause) = connection.check_response(info.request.as_ref()) {
            event!(self.cx.log, RESPONSE_DISCARDED; "request" => %run.req.id, "target" => %target,
                "cause" => %cause, "named" => info.request.as_ref().map(named_request),
                "use" => connection.uses(), "status" => parts.status.as_u16(),
                "outcome" => "unknown");
            place.end(PlaceEnd::Failed);
            run.avoid.push(target);
            return Err(AttemptOutcome::Failed(SendFailure::Unknown, target_failed(cause)));
        }
        // A misdirected request reached another process.
        if parts.status != StatusCode::MISDIRECTED_REQUEST {
            self.places.record_limit(&place.granted, sent_at, info.limit);
            place.record_load(&run.pool, info.load);
            if info.is_leaving {
                self.places.record_leaving(&place.granted);
            }
            if let Some(pause) = info.pause {
                self.places.record_pause(&place.granted, pause);
            }
        }
        if info.is_not_run {
            running.end();
            event!(self.cx.log, TARGET_DECLINED; "request" => %run.req.id, "target" => %target,
                "status" => parts.status.as_u16());
            // Engines refuse for other reasons as well, unless they say that they must not be filled.
            let tells_room = run.req.generation.is_none() || info.is_brittle;
            match parts.status {
                StatusCode::SERVICE_UNAVAILABLE if tells_room => place.end_without_room(),
                _ => place.end(PlaceEnd::Refused),
            }
            self.places.record_refusal(&run.pool, &need, &target);
            run.avoid.push(target);
            tokio::spawn(async move {
                if discard(body).await {
                    connection.release();
                }
            });
            return Err(AttemptOutcome::Failed(SendFailure::NotRun, target_refused(parts.status)));
        }
        if parts.status.is_success() && !info.is_signed {
            place.end(PlaceEnd::Failed);
            run.avoid.push(target);
            return Err(AttemptOutcome::Failed(
                SendFailure::Unknown,
                target_failed("the response is not signed"),
            ));
        }
        let framing = Framing::of(&parts.headers, &body);
        let ends_with_connection = framing == Framing::Connection;
        // An error response with a length says nothing of the others.
        if ends_with_connection || framing != Framing::Empty && parts.status.is_success() {
            self.links().record_framing(&run.pool, ends_with_connection);
        }
        let response = Response::from_parts(parts, body);
        Ok(Received { place, running, connection, response, framing, witness })
    }

    /// Witness of the target of a place, if its response may end with its connection.
    pub(crate) async fn witness(&self, run: &RequestRun, place: &Place) -> Option<WitnessUse> {
        if !self.links().may_end_with_connection(&run.pool) {
            return None;
        }
        let granted = &place.granted;
        let routes = self.routes()?;
        let spec = routes.table().pool(&run.pool)?;
        let ask = || (self.cx.codec.ask)(spec, &granted.target, granted.addr);
        let left = run.deadline.saturating_duration_since(Instant::now());
        self.links().witness(granted.addr, left / WITNESS_SHARE, ask).await
    }

    /// Resumes an interrupted stream, which a response with this status began, at another target.
    pub(crate) async fn resume(
        &self,
        run: &mut RequestRun,
        began_with: StatusCode,
    ) -> Option<Received> {
        loop {
            let failure = match self.dispatch(run).await {
                Ok(received) => {
                    let response = &received.response;
                    match check_head(began_with, response.status(), response.headers()) {
                        Ok(()) => return Some(received),
                        Err(error) => self.refuse_resumption(run, received, &error),
                    }
                }
                Err(AttemptOutcome::Failed(failure, _)) => failure,
                Err(_) => return None,
            };
            if !self.may_resend(run, failure).await {
                return None;
            }
        }
    }
}

impl RequestRun {
    /// Returns the result of a request that is not retried: the error response of a target if there
    /// is one, otherwise `error`.
    fn give_up(mut self, error: RequestError) -> Result<GatewayResponse, RequestError> {
        if let Some(response) = self.error_response.take() {
            return Ok(response);
        }
        if self.possible_runs > 0 {
            return Err(RequestError {
                outcome: Outcome::Unknown,
                kind: RequestErrorKind::TargetFailed,
                retry_after: None,
                ..error
            });
        }
        Err(error)
    }

    /// Applies a decision by a newer table.
    pub(crate) fn set_access(&mut self, access: &Access) {
        self.customer = access.customer().cloned();
        self.forwards_credentials = *access == Access::Unchecked;
    }

    /// Whether a target may have run a part of the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// Time until the response is late by the objective of the route.
    pub(crate) fn left_by_objective(&self) -> Option<Duration> {
        let objective = Some(self.route.objective).filter(|objective| !objective.is_zero())?;
        Some((self.req.arrived + objective).saturating_duration_since(Instant::now()))
    }

    /// Identity to check for quarantines before the next send.
    pub(crate) fn admitted_identity(&self) -> RequestIdentity {
        match &self.permitted {
            Some(permitted) if self.sends == 0 => self.identity.without(permitted),
            _ => self.identity.clone(),
        }
    }

    fn request(&self, codec: &HeaderCodec, dispatch: &Dispatch) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.req.body.clone()));
        *request.method_mut() = self.req.method.clone();
        *request.uri_mut() = http::Uri::from(self.req.target.clone());
        *request.headers_mut() = self.req.headers.clone();
        if self.forwards_credentials {
            request.headers_mut().extend(self.req.credentials.forwarded().clone());
        }
        let (mut parts, body) = request.into_parts();
        (codec.write)(dispatch, &mut parts);
        Request::from_parts(parts, body)
    }

    /// Moves the state into the task that relays the response.
    pub(crate) fn take_for_relay(&mut self) -> Self {
        Self {
            req: self.req.clone(),
            progress: self.progress.clone(),
            is_relayed: true,
            identity: self.identity.clone(),
            permitted: self.permitted,
            software: self.software.clone(),
            customer: self.customer.clone(),
            forwards_credentials: self.forwards_credentials,
            is_charged: self.is_charged,
            taken: None,
            route: self.route.clone(),
            pool: self.pool.clone(),
            revision: self.revision,
            deadline: self.deadline,
            avoid: std::mem::take(&mut self.avoid),
            possible_runs: self.possible_runs,
            sends: self.sends,
            sent_at: self.sent_at,
            crash_check: None,
            resume_after: self.resume_after.take(),
            error_response: None,
        }
    }

    /// Revision of the route table that selected the pool.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Identifier given by the caller.
    pub(crate) fn id(&self) -> &RequestId {
        &self.req.id
    }
}

/// Text of a response that names its request, as it is.
fn named_request(named: &Result<RequestId, String>) -> &str {
    match named {
        Ok(id) => id.as_str(),
        Err(text) => text,
    }
}

/// Counts a request as in flight until dropped.
struct InFlightGuard(prometheus::IntGauge);

impl InFlightGuard {
    fn enter(gauge: &prometheus::IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}
