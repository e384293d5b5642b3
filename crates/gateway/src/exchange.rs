//! A caller's request through all its attempts.
//!
//! Each attempt takes a place at a target, sends the request there and looks at what comes back.
//! `decision` says whether another one follows.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use shallotdrum_control::ControlView;
use shallotdrum_engine::Need;
use shallotdrum_owner::{OwnerService, PlaceWork, SessionFn};
use shallotdrum_routes::{Route, RouteIndex};
use shallotdrum_rpc::{Peers, PlaceEnd};
use shallotdrum_telemetry::{Metrics, event};
use shallotdrum_types::{
    AdapterRef, AdapterVersion, PoolId, RequestError, RequestErrorKind, RequestId, Revision,
    SubscriberId, TargetId,
};
use tokio::time::{Instant, timeout_at};

use crate::{
    Answer, CallerRequest, Dialect, Dispatch, Generation, RetryBudget, RetryShare,
    connections::{CONNECTION_HEADERS, Connection, Connections, SendError},
    decision::{After, Attempt, Step, next_step},
    places::{Place, Places},
    relay::{Relay, Started},
};

/// Largest whole answer; answers of plain services are a few kilobytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// When a caller should come back after every target refused or failed its request.
const RETRY_AFTER_REFUSALS: Duration = Duration::from_millis(500);

/// When a caller should come back to an instance that has no route table yet: an election of the
/// control replicas and the transfer of the state take about a second.
const RETRY_AFTER_START: Duration = Duration::from_millis(1_200);

/// Pause between looks for connections that have been idle for too long.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Tokens that one hash of a prefix stands for; the share of known hashes is then about the share
/// of cached tokens.
const BLOCK_TOKENS: u64 = 256;

/// Version of an adapter for which operators have named none.
const FIRST_VERSION: u64 = 1;

/// What the gateway needs from the rest of the instance.
pub struct GatewayContext {
    /// Control state of this instance.
    pub view: ControlView,
    /// Session of this instance.
    pub session: SessionFn,
    /// Groups that this instance owns.
    pub owner: Arc<OwnerService>,
    /// Clients of the other instances.
    pub peers: Peers,
    /// How targets are spoken to.
    pub dialect: Dialect,
    /// Allowance for repeated sends.
    pub retries: RetryShare,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Log of this instance.
    pub log: slog::Logger,
}

/// Takes requests of callers to targets.
pub struct Gateway {
    pub(crate) cx: GatewayContext,
    places: Places,
    pub(crate) connections: Connections,
    budgets: Mutex<HashMap<PoolId, RetryBudget>>,
}

/// State of a request over all its attempts.
pub(crate) struct Run {
    pub(crate) req: CallerRequest,
    pub(crate) route: Route,
    pub(crate) pool: PoolId,
    /// Route table by which the request goes to the pool.
    revision: Revision,
    pub(crate) deadline: Instant,
    pub(crate) avoid: Vec<TargetId>,
    runs: u32,
    sends: u32,
    /// Last event of the stream that the caller has.
    pub(crate) resume_after: Option<String>,
    /// Latest whole answer of a target that failed the request.
    failure: Option<Answer>,
}

/// Answer of a target whose head was read.
pub(crate) struct Received {
    pub(crate) place: Place,
    pub(crate) connection: Connection,
    pub(crate) response: Response<Incoming>,
}

/// How an attempt ended.
enum Ended {
    /// The caller gets this answer.
    Answered(Answer),
    /// No whole answer came.
    Not(Attempt, RequestError),
    /// No place could be had.
    NoPlace(RequestError),
}

impl Gateway {
    /// Creates a gateway; must be called within a runtime.
    pub fn new(cx: GatewayContext, connections: Connections) -> Arc<Self> {
        let places = Places::new(
            cx.view.clone(),
            cx.session.clone(),
            cx.owner.clone(),
            cx.peers.clone(),
            cx.log.clone(),
        );
        let gateway = Arc::new(Self {
            cx,
            places,
            connections: connections.clone(),
            budgets: Mutex::default(),
        });
        let alive = Arc::downgrade(&gateway);
        tokio::spawn(async move {
            while alive.strong_count() > 0 {
                tokio::time::sleep(EXPIRE_INTERVAL).await;
                connections.expire();
            }
        });
        gateway
    }

    /// Routes in force.
    pub fn routes(&self) -> Option<Arc<RouteIndex>> {
        self.cx.view.read(|state| state.routes().cloned())
    }

    /// Takes note of a request that a front end could not decode.
    pub fn note_malformed(&self, error: &dyn std::fmt::Display) {
        event!(self.cx.log, INPUT_REFUSED; "error" => %error);
        self.cx.metrics.finished("not-run", RequestErrorKind::InvalidRequest.code());
    }

    /// Answers a request, or says why it can't be answered.
    pub async fn handle(self: Arc<Self>, req: CallerRequest) -> Result<Answer, RequestError> {
        let id = req.id.clone();
        let arrived = req.arrived;
        let class = self.class(&req);
        let in_flight = InFlight::enter(self.cx.metrics.in_flight());
        let result = self.clone().try_handle(req).await;
        drop(in_flight);
        let took = arrived.elapsed();
        let ms = took.as_millis() as u64;
        match &result {
            Ok(Answer::Whole { status, .. }) => {
                self.cx.metrics.subscriber(&class).total(took);
                self.cx.metrics.finished("answered", "none");
                event!(self.cx.log, REQUEST_ANSWERED; "request" => %id, "status" => status.as_u16(), "ms" => ms);
            }
            Ok(Answer::Stream { .. }) => {
                self.cx.metrics.subscriber(&class).first_token(took);
                self.cx.metrics.finished("answered", "none");
                event!(self.cx.log, REQUEST_ANSWERED; "request" => %id, "first_event_ms" => ms);
            }
            Err(error) => {
                self.cx.metrics.finished(&error.outcome.to_string(), error.kind.code());
                event!(self.cx.log, REQUEST_ENDED; "request" => %id, "kind" => %error.kind,
                    "outcome" => %error.outcome, "detail" => &error.detail, "ms" => ms);
            }
        }
        result
    }

    /// Name under which the times of a request are counted: that of its route.
    fn class(&self, req: &CallerRequest) -> SubscriberId {
        let routes = self.routes();
        let route = routes.as_ref().and_then(|r| r.find(&req.host, req.target.path()));
        let name = route.map_or("no-route", |route| route.name.as_str());
        name.parse().unwrap_or_else(|_| other_class())
    }

    async fn try_handle(self: Arc<Self>, req: CallerRequest) -> Result<Answer, RequestError> {
        let Some(routes) = self.routes() else {
            let detail = "no route table is in force yet; retry later";
            return Err(RequestError::not_run(RequestErrorKind::NotReady, detail)
                .retry_after(RETRY_AFTER_START));
        };
        let Some(route) = routes.find(&req.host, req.target.path()).cloned() else {
            let detail = format!("no route of host {} leads to this path", req.host);
            return Err(RequestError::not_run(RequestErrorKind::NotFound, detail));
        };
        let Some(pool) = route.choose_pool(rand::random()).cloned() else {
            let detail = format!("route {} leads nowhere", route.name);
            return Err(RequestError::not_run(RequestErrorKind::NoTarget, detail));
        };
        let revision = routes.table().revision;
        drop(routes);
        self.with_budget(&pool, |budget, now| {
            budget.count_request(now, &self.cx.retries);
        });
        let run = Run {
            deadline: req.arrived + req.patience.min(route.timeout),
            resume_after: req.resume_after.clone(),
            req,
            route,
            pool,
            revision,
            avoid: Vec::new(),
            runs: 0,
            sends: 0,
            failure: None,
        };
        self.run(run).await
    }

    async fn run(self: Arc<Self>, mut run: Run) -> Result<Answer, RequestError> {
        loop {
            let (attempt, error) = match self.attempt(&mut run).await {
                Ended::Answered(answer) => return Ok(answer),
                Ended::Not(attempt, error) => (attempt, error),
                Ended::NoPlace(error) => return run.give_up(error),
            };
            if !self.may_resend(&mut run, attempt) {
                return run.give_up(error);
            }
        }
    }

    /// Counts the attempt and decides whether another one follows.
    pub(crate) fn may_resend(&self, run: &mut Run, attempt: Attempt) -> bool {
        run.runs += u32::from(attempt.may_have_run());
        run.sends += 1;
        let left = run.deadline.saturating_duration_since(Instant::now());
        let after = After { attempt, runs: run.runs, sends: run.sends, left };
        match next_step(run.route.repeat, run.route.max_targets, after) {
            Step::GiveUp => false,
            Step::Resend { is_charged } => {
                let entries = self.entries();
                let is_allowed = !is_charged
                    || self.with_budget(&run.pool, |budget, now| {
                        budget.take(now, &self.cx.retries, entries)
                    });
                if is_allowed {
                    self.cx.metrics.retries().inc();
                } else {
                    event!(self.cx.log, ENTRY_RETRY_BUDGET_EMPTY; "request" => %run.req.id,
                        "pool" => %run.pool);
                }
                is_allowed
            }
        }
    }

    /// Instances that take requests; they share the allowance for repeats.
    fn entries(&self) -> usize {
        self.cx.view.read(|state| state.sessions().filter(|s| !s.info.replica).count())
    }

    fn with_budget<T>(&self, pool: &PoolId, f: impl FnOnce(&mut RetryBudget, Instant) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        f(budgets.entry(pool.clone()).or_default(), Instant::now())
    }

    async fn attempt(self: &Arc<Self>, run: &mut Run) -> Ended {
        let received = match self.dispatch(run).await {
            Ok(received) => received,
            Err(ended) => return ended,
        };
        let Received { place, connection, response } = received;
        let status = response.status();
        if run.route.repeat.is_stream() && status.is_success() {
            let relay = Relay::new(self.clone(), place, connection);
            return match relay.start(run, response).await {
                Ok(Started { answer }) => Ended::Answered(answer),
                Err(error) => Ended::Not(Attempt::Unknown, error),
            };
        }
        let (parts, body) = response.into_parts();
        let body =
            match timeout_at(run.deadline, Limited::new(body, MAX_ANSWER_BYTES).collect()).await {
                Ok(Ok(body)) => body.to_bytes(),
                Ok(Err(error)) => {
                    place.end(PlaceEnd::Failed);
                    return Ended::Not(Attempt::Unknown, target_failed(&*error));
                }
                Err(_) => return Ended::Not(Attempt::Unknown, timed_out()),
            };
        connection.keep();
        let answer = Answer::Whole { status, headers: answer_headers(parts.headers), body };
        if status.is_server_error() {
            place.end(PlaceEnd::Failed);
            run.failure = Some(answer);
            let error = target_failed(format!("status {}", status.as_u16()));
            return Ended::Not(Attempt::Failed, error);
        }
        place.end(PlaceEnd::Answered { prompt_tokens: 0, completion_tokens: 0 });
        Ended::Answered(answer)
    }

    /// Sends the request to a target and reads the head of the answer.
    async fn dispatch(&self, run: &mut Run) -> Result<Received, Ended> {
        let (need, version) = self.need(run);
        let work = PlaceWork {
            request: run.req.id.clone(),
            subscriber: subscriber(run),
            need: need.clone(),
            left: Duration::ZERO,
            avoid: run.avoid.clone(),
        };
        let place =
            self.places.take(&run.pool, work, run.deadline).await.map_err(Ended::NoPlace)?;
        let left = run.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Ended::NoPlace(no_time()));
        }
        let granted = &place.granted;
        let dispatch = Dispatch {
            target: granted.target.clone(),
            left,
            priority: run.req.generation.is_some().then_some(granted.priority),
            version,
            resume_after: run.resume_after.clone(),
        };
        event!(self.cx.log, REQUEST_ROUTED; "request" => %run.req.id, "route" => &run.route.name,
            "revision" => run.revision.0, "version" => dispatch.version.as_ref().map(ToString::to_string),
            "target" => %granted.target, "send" => run.sends + 1, "left_ms" => left.as_millis() as u64);
        let target = granted.target.clone();
        let sent = self.connections.send(granted.addr, run.request(&self.cx.dialect, &dispatch));
        let (connection, response) = match timeout_at(run.deadline, sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                place.end(PlaceEnd::Failed);
                run.avoid.push(target);
                let attempt = match error {
                    SendError::NotSent(_) => Attempt::NotSent,
                    SendError::Unknown(_) => Attempt::Unknown,
                };
                let error = match attempt {
                    Attempt::NotSent => not_sent(&error),
                    _ => target_failed(&error),
                };
                return Err(Ended::Not(attempt, error));
            }
            Err(_) => {
                place.end(PlaceEnd::Failed);
                return Err(Ended::Not(Attempt::Unknown, timed_out()));
            }
        };
        let (parts, body) = response.into_parts();
        let info = (self.cx.dialect.read)(&parts);
        if info.request.as_ref().is_some_and(|id| *id != run.req.id) {
            place.end(PlaceEnd::Failed);
            run.avoid.push(target);
            let error = target_failed("the answer belongs to another request");
            return Err(Ended::Not(Attempt::Unknown, error));
        }
        if info.is_not_run {
            event!(self.cx.log, TARGET_DECLINED; "request" => %run.req.id, "target" => %target,
                "status" => parts.status.as_u16());
            place.end(PlaceEnd::Refused);
            self.places.refused(&run.pool, &need, &target);
            run.avoid.push(target);
            let drained = timeout_at(run.deadline, Limited::new(body, MAX_ANSWER_BYTES).collect());
            if let Ok(Ok(_)) = drained.await {
                connection.keep();
            }
            return Err(Ended::Not(Attempt::NotRun, refused(parts.status)));
        }
        if parts.status.is_success() && !info.is_signed {
            place.end(PlaceEnd::Failed);
            run.avoid.push(target);
            return Err(Ended::Not(Attempt::Unknown, target_failed("the answer is not signed")));
        }
        let response = Response::from_parts(parts, body);
        Ok(Received { place, connection, response })
    }

    /// Sends the rest of a broken stream's request to another target.
    pub(crate) async fn resume(&self, run: &mut Run) -> Option<Received> {
        loop {
            match self.dispatch(run).await {
                Ok(received) if received.response.status().is_success() => return Some(received),
                Ok(received) => {
                    received.place.end(PlaceEnd::Failed);
                    return None;
                }
                Err(Ended::Not(attempt, _)) if self.may_resend(run, attempt) => {}
                Err(_) => return None,
            }
        }
    }

    /// What the request needs of a target, and the version that it must run on.
    fn need(&self, run: &Run) -> (Need, Option<AdapterVersion>) {
        let Some(generation) = &run.req.generation else {
            let is_repeatable = run.route.repeat.allows_resend();
            return (Need::Call { is_repeatable }, None);
        };
        let adapter = generation.adapter.as_ref().map(|adapter| AdapterRef {
            adapter: adapter.clone(),
            version: self.adapter_version(generation, adapter),
        });
        let version = adapter.as_ref().map(|adapter| adapter.version.clone());
        let need = Need::Generation {
            prefixes: prefixes(generation, adapter.as_ref()),
            adapter,
            prompt_tokens: generation.prompt_tokens,
            max_tokens: generation.max_tokens,
        };
        (need, version)
    }

    fn adapter_version(
        &self,
        generation: &Generation,
        adapter: &shallotdrum_types::AdapterId,
    ) -> AdapterVersion {
        let version = self.cx.view.read(|state| state.adapter_version(&generation.base, adapter));
        // Decimal digits are a valid name.
        version.unwrap_or(FIRST_VERSION).to_string().parse().expect("a number is a valid version")
    }
}

impl Run {
    /// Final answer of a request that goes to no further target.
    fn give_up(mut self, error: RequestError) -> Result<Answer, RequestError> {
        if let Some(failure) = self.failure.take() {
            return Ok(failure);
        }
        if self.runs > 0 {
            return Err(RequestError {
                outcome: shallotdrum_types::Outcome::Unknown,
                kind: RequestErrorKind::TargetFailed,
                retry_after: None,
                ..error
            });
        }
        Err(error)
    }

    fn request(&self, dialect: &Dialect, dispatch: &Dispatch) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.req.body.clone()));
        *request.method_mut() = self.req.method.clone();
        *request.uri_mut() = http::Uri::from(self.req.target.clone());
        *request.headers_mut() = self.req.headers.clone();
        let (mut parts, body) = request.into_parts();
        (dialect.write)(dispatch, &mut parts);
        Request::from_parts(parts, body)
    }

    /// Takes the state over into the task that relays the answer.
    pub(crate) fn take(&mut self) -> Self {
        Self {
            req: self.req.clone(),
            route: self.route.clone(),
            pool: self.pool.clone(),
            revision: self.revision,
            deadline: self.deadline,
            avoid: std::mem::take(&mut self.avoid),
            runs: self.runs,
            sends: self.sends,
            resume_after: self.resume_after.take(),
            failure: None,
        }
    }

    /// Identifier of the request.
    pub(crate) fn id(&self) -> &RequestId {
        &self.req.id
    }
}

/// Whom a request is charged to: each adapter belongs to one subscriber.
fn subscriber(run: &Run) -> SubscriberId {
    let adapter = run.req.generation.as_ref().and_then(|g| g.adapter.as_ref());
    let name = adapter.map_or(run.route.name.as_str(), |adapter| adapter.as_str());
    name.parse().unwrap_or_else(|_| other_class())
}

/// Stands for names that are no valid identifiers.
fn other_class() -> SubscriberId {
    "other".parse().expect("a valid name")
}

/// Counts a request as in progress until dropped.
struct InFlight(prometheus::IntGauge);

impl InFlight {
    fn enter(gauge: &prometheus::IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Hashes of successively longer prefixes; engines share them only within an adapter.
fn prefixes(generation: &Generation, adapter: Option<&AdapterRef>) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    if let Some(adapter) = adapter {
        hasher.update(adapter.to_string().as_bytes());
    }
    let mut hashes = Vec::new();
    for part in &generation.prompt {
        for block in 0..part.tokens.div_ceil(BLOCK_TOKENS) {
            hasher.update(&part.id.to_le_bytes()).update(&block.to_le_bytes());
            let hash = hasher.finalize();
            let first = hash.as_bytes().first_chunk::<8>();
            hashes.push(first.copied().map_or(0, u64::from_le_bytes));
        }
    }
    hashes
}

/// Headers of a target's answer that concern the answer itself.
pub(crate) fn answer_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers
}

pub(crate) fn target_failed(cause: impl std::fmt::Display) -> RequestError {
    let detail = format!("the target did not give a whole answer: {cause}");
    RequestError::unknown(RequestErrorKind::TargetFailed, detail)
}

fn not_sent(cause: impl std::fmt::Display) -> RequestError {
    let detail = format!("the target could not be reached: {cause}; retry later");
    RequestError::not_run(RequestErrorKind::NoTarget, detail).retry_after(RETRY_AFTER_REFUSALS)
}

fn refused(status: StatusCode) -> RequestError {
    let detail = format!("the target refused the request with status {}", status.as_u16());
    RequestError::not_run(RequestErrorKind::Overloaded, detail).retry_after(RETRY_AFTER_REFUSALS)
}

pub(crate) fn timed_out() -> RequestError {
    RequestError::unknown(RequestErrorKind::DeadlineExceeded, "the deadline passed at the target")
}

fn no_time() -> RequestError {
    let detail = "the deadline passed before a place became free";
    RequestError::not_run(RequestErrorKind::DeadlineExceeded, detail)
}
