//! Continuous load of all kinds of requests, recorded in a history that is checked afterwards.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::Method;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use shallotdrum_fakes::expected_text;
use shallotdrum_harness::{Caller, CallerError, Deployment};
use shallotdrum_types::AdapterRef;
use tokio::{task::JoinSet, time::Instant};

use crate::setup::Setup;

/// Maximum number of times that a call is sent with one key before its caller gives up.
const MAX_ATTEMPTS: usize = 20;

/// Parameters of a load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadConfig {
    /// Number of workers: half request completions, a quarter send non-repeatable calls, and a
    /// quarter send lookups.
    pub(crate) workers: usize,
    /// Maximum tokens of a completion.
    pub(crate) max_tokens: u32,
    /// Seed of the random requests.
    pub(crate) seed: u64,
}

/// Running load; instances that are not marked as ready get no new requests, as behind a load
/// balancer.
pub(crate) struct Load {
    pub(crate) ready: Vec<Arc<AtomicBool>>,
    stop: Arc<AtomicBool>,
    history: Arc<Mutex<Vec<Event>>>,
    workers: JoinSet<()>,
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Event {
    pub(crate) instance: usize,
    /// Idempotency key of a non-repeatable call.
    pub(crate) key: Option<String>,
    pub(crate) is_completion: bool,
    pub(crate) error: Option<CallerError>,
    pub(crate) total: Duration,
}

/// Sends the requests of a worker and records them.
#[derive(Clone)]
struct RequestSender {
    caller: Caller,
    deployment: Deployment,
    entries: Vec<SocketAddr>,
    ready: Vec<Arc<AtomicBool>>,
    history: Arc<Mutex<Vec<Event>>>,
    max_tokens: u32,
}

impl Load {
    pub(crate) fn start(setup: &Setup, cfg: LoadConfig) -> Self {
        eprintln!("load seed {}", cfg.seed);
        let ready: Vec<_> =
            (0..setup.cluster.len()).map(|_| Arc::new(AtomicBool::new(true))).collect();
        let (stop, history) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Vec<_>>>::default());
        let sender = RequestSender {
            caller: setup.caller.clone(),
            deployment: setup.deployment.clone(),
            entries: setup.cluster.entries(),
            ready: ready.clone(),
            history: history.clone(),
            max_tokens: cfg.max_tokens,
        };
        let mut workers = JoinSet::new();
        let calls = Arc::<AtomicUsize>::default();
        for worker in 0..cfg.workers {
            let (sender, stop, calls) = (sender.clone(), stop.clone(), calls.clone());
            let mut rng = StdRng::seed_from_u64(cfg.seed * 1_000 + worker as u64);
            workers.spawn(async move {
                while !stop.load(Ordering::SeqCst) {
                    match worker % 4 {
                        0 | 1 => sender.complete(&mut rng, worker % 2 == 0).await,
                        2 => {
                            let key = format!("load-{}", calls.fetch_add(1, Ordering::SeqCst));
                            sender.issue_certificate(&mut rng, &key).await;
                        }
                        _ => sender.look_up(&mut rng).await,
                    }
                }
            });
        }
        Self { ready, stop, history, workers }
    }

    /// Number of requests that were answered successfully so far.
    pub(crate) fn answered(&self) -> usize {
        let history = self.history.lock().unwrap();
        history.iter().filter(|event| event.error.is_none()).count()
    }

    /// Finishes the requests in progress and returns the history; panics if a response was wrong.
    pub(crate) async fn finish(mut self) -> Vec<Event> {
        self.stop.store(true, Ordering::SeqCst);
        while let Some(result) = self.workers.join_next().await {
            result.unwrap();
        }
        std::mem::take(&mut self.history.lock().unwrap())
    }
}

impl RequestSender {
    fn pick_ready_instance(&self, rng: &mut StdRng) -> usize {
        loop {
            let i = rng.random_range(0..self.entries.len());
            if self.ready[i].load(Ordering::SeqCst) {
                return i;
            }
        }
    }

    async fn record(&self, event: Event) {
        let is_failed = event.error.is_some();
        self.history.lock().unwrap().push(event);
        // Back off after a failure, so that immediate failures do not cause a busy loop.
        if is_failed {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn complete(&self, rng: &mut StdRng, stream: bool) {
        let instance = self.pick_ready_instance(rng);
        let adapter = rng.random_range(0..self.deployment.adapters);
        let tokens = rng.random_range(1..=self.max_tokens);
        let prompt = format!("prompt {}", rng.random_range(0..1_000_000));
        let model = self.deployment.model(adapter, 1);
        let start = Instant::now();
        let entry = self.entries[instance];
        let result = self.caller.complete(entry, &model, &prompt, tokens, stream).await;
        let error = match result {
            Ok(response) => {
                let adapter = AdapterRef {
                    adapter: self.deployment.adapter(adapter).parse().unwrap(),
                    version: "1".parse().unwrap(),
                };
                let base = &self.deployment.base_model;
                let expected = expected_text(base, &adapter, &prompt, u64::from(tokens));
                assert_eq!(response.text, expected, "text of {adapter} at instance {instance}");
                assert_eq!(response.model, model);
                None
            }
            Err(error) => Some(error),
        };
        let total = start.elapsed();
        self.record(Event { instance, key: None, is_completion: true, error, total }).await;
    }

    /// Requests a certificate, and retries with the same key until the call has a final result.
    async fn issue_certificate(&self, rng: &mut StdRng, key: &str) {
        let path = format!("/{}/certificates", self.deployment.service);
        for _ in 0..MAX_ATTEMPTS {
            let instance = self.pick_ready_instance(rng);
            let start = Instant::now();
            let result =
                self.caller.call(self.entries[instance], Method::POST, &path, Some(key), key).await;
            let error = match result {
                Ok(response) if response.status == 200 => None,
                Ok(response) => Some(CallerError::Broken(format!("status {}", response.status))),
                Err(error) => Some(error),
            };
            let is_final = error.as_ref().is_none_or(|e| e.code() == Some("result-unknown"));
            let (key, total) = (Some(key.to_owned()), start.elapsed());
            self.record(Event { instance, key, is_completion: false, error, total }).await;
            if is_final {
                return;
            }
        }
    }

    async fn look_up(&self, rng: &mut StdRng) {
        let instance = self.pick_ready_instance(rng);
        let path = format!("/{}/status/{}", self.deployment.service, rng.random_range(0..100));
        let start = Instant::now();
        let result = self.caller.call(self.entries[instance], Method::GET, &path, None, "").await;
        let (error, total) = (result.err(), start.elapsed());
        self.record(Event { instance, key: None, is_completion: false, error, total }).await;
    }
}

/// Compares the history with what the fake targets recorded.
///
/// Panics if a call ran twice, an answered call did not run, or a request ran although it was
/// reported as not run.
pub(crate) fn check_history(setup: &Setup, history: &[Event]) {
    let mut executions = BTreeMap::<String, usize>::new();
    for service in &setup.targets.services {
        for execution in service.stats().executions {
            if let Some(key) = execution.idempotency_key {
                *executions.entry(key).or_default() += 1;
            }
        }
    }
    let repeated: Vec<_> = executions.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "calls that ran twice: {repeated:?}");

    let mut calls = BTreeMap::<&str, Vec<&Event>>::new();
    for event in history {
        if let Some(key) = &event.key {
            calls.entry(key).or_default().push(event);
        }
    }
    for (key, sends) in calls {
        let has_run = executions.contains_key(key);
        if sends.iter().any(|send| send.error.is_none()) {
            assert!(has_run, "{key} was answered but did not run: {sends:?}");
        }
        let is_not_run = |send: &&Event| send.error.as_ref().is_some_and(CallerError::is_not_run);
        if sends.iter().all(is_not_run) {
            assert!(!has_run, "{key} ran: {sends:?}");
        }
    }

    let engines: Vec<_> = setup.targets.engines.iter().map(|engine| engine.stats()).collect();
    let ran: BTreeSet<_> = engines
        .iter()
        .flat_map(|stats| stats.runs.iter().map(|run| run.request.to_string()))
        .collect();
    for event in history.iter().filter(|event| event.is_completion) {
        if let Some(error @ CallerError::Problem(problem)) = &event.error
            && error.is_not_run()
        {
            let id = problem.request_id.as_str();
            let instance = event.instance;
            assert!(!ran.contains(id), "ran although `not run` (instance {instance}): {error}");
        }
    }
}
