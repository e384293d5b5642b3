//! Fake HTTP service with endpoints for certificates, pickups and payouts, whose calls must each
//! run at most once.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{HeaderMap, Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use shallotdrum_engine::{LoadReport, NOT_RUN_HEADER, REQUEST_ID_HEADER, TargetKind};
use shallotdrum_types::{Fingerprint, Incarnation};
use tokio::{net::TcpListener, task::JoinHandle, time::sleep};

use crate::{
    clock::{next_incarnation, unix_ms},
    port::ReservedPort,
    presence::{Identity, Presence, PresenceStats, lock, run_incarnations},
    serve::{
        CloseConnection, HandlerResult, json, merge_settings, problem, read_body, respond, serve,
    },
};

/// Interval at which a stopping service checks for running calls.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of pieces in which a slow body is sent.
const SLOW_BODY_PIECES: u32 = 10;

/// Configuration that is fixed while a fake service runs.
#[derive(Clone, Debug)]
pub struct FakeServiceConfig {
    /// Identity, location and addresses.
    pub identity: Identity,
    /// Announced limit of concurrent calls; not enforced.
    pub max_concurrent: u32,
    /// Seed for random faults.
    pub seed: u64,
    /// Initial run-time settings.
    pub settings: ServiceSettings,
}

impl FakeServiceConfig {
    /// A service that announces a limit of 64 concurrent calls.
    pub fn new(identity: Identity) -> Self {
        Self { identity, max_concurrent: 64, seed: 0, settings: ServiceSettings::default() }
    }
}

/// Run-time settings, changed by `POST /fake/config`. Probabilities range from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Delay before a call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Probability that the connection closes after the call has taken effect.
    pub lose_answer: f64,
    /// Duration over which a response body is sent, in milliseconds.
    pub slow_body_ms: u64,
    /// Probability that a call is refused with 503 and the not-run header.
    pub refuse: f64,
    /// Probability that a response is written once more, before the next response on its connection.
    pub late_copy: f64,
    /// Probability of a 500 response after the call has taken effect.
    pub fail: f64,
    /// Text in a request body that crashes the service before the call takes effect.
    pub crash_marker: Option<String>,
    /// Delay between a crash and the restart, in milliseconds.
    pub restart_delay_ms: u64,
}

/// Statistics of a fake service over all incarnations, served by `GET /fake/stats`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Calls that took effect, in order of execution.
    pub executions: Vec<Execution>,
    /// Paths of GET requests that ran, including those whose response was lost.
    pub lookups: Vec<String>,
    /// Calls refused by the `refuse` fault.
    pub refused: u64,
    /// Calls in progress.
    pub running: u32,
    /// Crashes caused by the crash marker.
    pub crashes: u64,
    /// Results of announcements.
    pub presence: PresenceStats,
}

/// A call that took effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Execution {
    /// Request path.
    pub path: String,
    /// Value of the `idempotency-key` header.
    pub idempotency_key: Option<String>,
    /// Request identifier from the header, if present.
    pub request: Option<String>,
    /// Hash of the request body.
    pub body: Fingerprint,
    /// Execution time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Incarnation that ran the call.
    pub incarnation: Incarnation,
}

impl ServiceSettings {
    /// Returns these settings with the fields of a JSON object applied.
    pub fn merged(&self, json: &str) -> Result<Self, serde_json::Error> {
        merge_settings(self, json.as_bytes())
    }
}

impl ServiceStats {
    /// Idempotency keys of calls that took effect more than once, with the number of executions.
    pub fn repeated_keys(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for key in self.executions.iter().filter_map(|e| e.idempotency_key.as_deref()) {
            *counts.entry(key).or_default() += 1;
        }
        counts.retain(|_, count| *count > 1);
        counts
    }
}

/// Handle of a fake service in this process; dropping it stops the service immediately.
pub struct FakeService {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    presence: Presence,
    max_concurrent: u32,
    settings: Mutex<ServiceSettings>,
    stats: Mutex<ServiceStats>,
    rng: Mutex<StdRng>,
    incarnation: Mutex<Incarnation>,
}

impl FakeService {
    /// Starts the service, which is listening when this returns.
    pub async fn start(cfg: FakeServiceConfig) -> io::Result<Self> {
        let port = ReservedPort::bind(cfg.identity.listen)?;
        let listener = port.listen()?;
        let incarnation = next_incarnation();
        let shared = Arc::new(Shared {
            presence: Presence::new(cfg.identity, port.addr()),
            max_concurrent: cfg.max_concurrent,
            settings: Mutex::new(cfg.settings),
            stats: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(cfg.seed)),
            incarnation: Mutex::new(incarnation),
        });
        let task = tokio::spawn(run_incarnations(port, listener, incarnation, {
            let shared = shared.clone();
            move |incarnation, listener| shared.clone().run(incarnation, listener)
        }));
        Ok(Self { shared, task })
    }

    /// Listen address.
    pub fn addr(&self) -> SocketAddr {
        self.shared.presence.addr
    }

    /// Current incarnation, or the last one while the service restarts.
    pub fn incarnation(&self) -> Incarnation {
        *lock(&self.shared.incarnation)
    }

    /// Statistics over all incarnations of this handle.
    pub fn stats(&self) -> ServiceStats {
        self.shared.stats()
    }

    /// Changes the run-time settings.
    pub fn configure(&self, change: impl FnOnce(&mut ServiceSettings)) {
        change(&mut lock(&self.shared.settings));
    }

    /// Sets the entries that the service announces itself to.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        self.shared.presence.set_entries(entries);
    }

    /// Simulates a crash, as a request body with the crash marker does.
    pub fn crash(&self) {
        self.shared.presence.crash();
    }

    /// Announces that the service takes no new work; returns whether an entry accepted this.
    pub async fn leave(&self) -> bool {
        self.shared.presence.leave(self.incarnation()).await
    }

    /// Announces that the service leaves, waits for running calls, and stops.
    pub async fn stop(self) {
        self.leave().await;
        while lock(&self.shared.stats).running > 0 {
            sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

impl Drop for FakeService {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    /// Runs until the service crashes; returns the delay before the next start.
    async fn run(self: Arc<Self>, incarnation: Incarnation, listener: TcpListener) -> Duration {
        *lock(&self.incarnation) = incarnation;
        let kind = TargetKind::Service { max_concurrent: self.max_concurrent };
        let report = || LoadReport { running: lock(&self.stats).running, ..LoadReport::default() };
        tokio::select! {
            () = serve(
                listener,
                {
                    let shared = self.clone();
                    move |req: Request<Incoming>| shared.clone().handle(req)
                },
                {
                    let shared = self.clone();
                    move || {
                        let late_copy = lock(&shared.settings).late_copy;
                        shared.random_bool(late_copy)
                    }
                },
            ) => {}
            () = self.presence.announce(incarnation, kind, report) => {}
            () = self.presence.crashed() => {}
        }
        Duration::from_millis(lock(&self.settings).restart_delay_ms)
    }

    /// Handles a request and echoes its id.
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerResult {
        let id = req.headers().get(REQUEST_ID_HEADER).cloned();
        let mut res = self.respond(req).await?;
        if let Some(id) = id {
            res.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        Ok(res)
    }

    async fn respond(self: Arc<Self>, req: Request<Incoming>) -> HandlerResult {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/fake/stats") => json(StatusCode::OK, &self.stats()),
            (&Method::POST, "/fake/leave") => {
                let incarnation = *lock(&self.incarnation);
                let is_accepted = self.presence.leave(incarnation).await;
                json(StatusCode::OK, &serde_json::json!({ "accepted": is_accepted }))
            }
            (&Method::POST, "/fake/crash") => {
                self.presence.crash();
                Err(CloseConnection)
            }
            (&Method::POST, "/fake/config") => {
                let body = read_body(req.into_body()).await.map_err(|_| CloseConnection)?;
                let mut settings = lock(&self.settings);
                match merge_settings(&*settings, &body) {
                    Ok(changed) => {
                        *settings = changed;
                        json(StatusCode::OK, &*settings)
                    }
                    Err(e) => problem(StatusCode::BAD_REQUEST, &e.to_string()),
                }
            }
            (&Method::POST, "/certificates" | "/pickups" | "/payouts") => {
                let _guard = RunningGuard::new(&self);
                self.execute(req).await
            }
            (&Method::GET, _) => {
                let _guard = RunningGuard::new(&self);
                self.look_up(&path).await
            }
            _ => problem(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn execute(&self, req: Request<Incoming>) -> HandlerResult {
        let settings = lock(&self.settings).clone();
        if self.random_bool(settings.refuse) {
            return self.refuse();
        }
        let (parts, body) = req.into_parts();
        let body = read_body(body).await.map_err(|_| CloseConnection)?;
        if settings
            .crash_marker
            .is_some_and(|marker| String::from_utf8_lossy(&body).contains(&marker))
        {
            lock(&self.stats).crashes += 1;
            self.presence.crash();
            return Err(CloseConnection);
        }
        sleep(Duration::from_millis(settings.delay_ms)).await;
        let number = self.record_execution(parts.uri.path(), &parts.headers, &body);
        if self.random_bool(settings.lose_answer) {
            return Err(CloseConnection);
        }
        if self.random_bool(settings.fail) {
            return problem(StatusCode::INTERNAL_SERVER_ERROR, "failed after running");
        }
        let body = serde_json::json!({ "number": number, "path": parts.uri.path() });
        respond_slowly(body.to_string(), settings.slow_body_ms)
    }

    async fn look_up(&self, path: &str) -> HandlerResult {
        let settings = lock(&self.settings).clone();
        if self.random_bool(settings.refuse) {
            return self.refuse();
        }
        sleep(Duration::from_millis(settings.delay_ms)).await;
        lock(&self.stats).lookups.push(path.to_owned());
        if self.random_bool(settings.lose_answer) {
            return Err(CloseConnection);
        }
        let body = serde_json::json!({ "path": path, "status": "valid" });
        respond_slowly(body.to_string(), settings.slow_body_ms)
    }

    fn refuse(&self) -> HandlerResult {
        lock(&self.stats).refused += 1;
        let mut res = problem(StatusCode::SERVICE_UNAVAILABLE, "refused by setting")?;
        res.headers_mut().insert(NOT_RUN_HEADER, http::HeaderValue::from_static("1"));
        Ok(res)
    }

    /// Records a call as executed; returns its sequence number, starting at 1.
    fn record_execution(&self, path: &str, headers: &HeaderMap, body: &[u8]) -> usize {
        let header = |name| headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let execution = Execution {
            path: path.to_owned(),
            idempotency_key: header("idempotency-key"),
            request: header(REQUEST_ID_HEADER),
            body: Fingerprint::of(body),
            at_ms: unix_ms(),
            incarnation: *lock(&self.incarnation),
        };
        let mut stats = lock(&self.stats);
        stats.executions.push(execution);
        stats.executions.len()
    }

    fn stats(&self) -> ServiceStats {
        ServiceStats { presence: self.presence.stats(), ..lock(&self.stats).clone() }
    }

    fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && lock(&self.rng).random_bool(probability.min(1.0))
    }
}

/// Counts a call as running until dropped.
struct RunningGuard(Arc<Shared>);

impl RunningGuard {
    fn new(shared: &Arc<Shared>) -> Self {
        lock(&shared.stats).running += 1;
        Self(shared.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.0.stats).running -= 1;
    }
}

/// Builds a response whose body is sent in pieces over the given time.
fn respond_slowly(body: String, over_ms: u64) -> HandlerResult {
    if over_ms == 0 {
        return respond(StatusCode::OK, "application/json", body);
    }
    let pause = Duration::from_millis(over_ms) / SLOW_BODY_PIECES;
    let body = Bytes::from(body);
    let size = body.len().div_ceil(SLOW_BODY_PIECES as usize).max(1);
    let pieces: Vec<_> = body.chunks(size).map(Bytes::copy_from_slice).collect();
    let frames = stream::iter(pieces).then(move |piece| async move {
        sleep(pause).await;
        Ok(Frame::data(piece))
    });
    Response::builder()
        .header(CONTENT_TYPE, "application/json")
        .body(StreamBody::new(frames).boxed_unsync())
        .map_err(|_| CloseConnection)
}
