//! Scheduler fixture with a fake weight store and fake engines.

#![allow(dead_code, reason = "each test file uses its part")]

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::FutureExt;
use shallotdrum_engine::{AdapterStatus, LoadReport, TargetKind, Urgency};
use shallotdrum_scheduler::{
    AdmissionRequest, GroupScheduler, Lease, LoadFailure, LoadOrder, RequestKind, SchedulerConfig,
    TargetSpec,
};
use shallotdrum_types::{
    AdapterRef, Fingerprint, Incarnation, RequestError, SubscriberId, TargetId, Weight,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Duration of each load order.
pub(crate) const LOAD_TIME: Duration = Duration::from_millis(250);

/// Decides the result of each load order when it is sent.
pub(crate) type Outcomes = Arc<dyn Fn(&LoadOrder) -> Result<(), LoadFailure> + Send + Sync>;

/// Scheduler of a group, with the load orders that it has sent and their send times.
pub(crate) struct Group {
    pub(crate) scheduler: GroupScheduler,
    pub(crate) orders: Arc<Mutex<Vec<(Instant, LoadOrder)>>>,
}

pub(crate) fn config() -> SchedulerConfig {
    let zone = "suva-a".parse().unwrap();
    SchedulerConfig { seed: Some(7), report_transit: Duration::ZERO, ..SchedulerConfig::new(zone) }
}

pub(crate) fn group(cfg: SchedulerConfig) -> Group {
    group_with(cfg, Arc::new(|_| Ok(())))
}

pub(crate) fn group_with(cfg: SchedulerConfig, outcomes: Outcomes) -> Group {
    let orders = Arc::new(Mutex::new(Vec::new()));
    let log = Arc::clone(&orders);
    let load = move |order: LoadOrder| {
        log.lock().unwrap().push((Instant::now(), order.clone()));
        let result = outcomes(&order);
        async move {
            sleep(LOAD_TIME).await;
            result
        }
        .boxed()
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    Group { scheduler: GroupScheduler::new(cfg, Arc::new(load), logger), orders }
}

impl Group {
    pub(crate) fn engine(&self, id: &str, incarnation: u64, slots: u32, batch: u32) {
        self.scheduler.upsert_target(engine_spec(id, incarnation, slots, batch));
        // The slots are reconciled after two reports.
        self.report(id, incarnation, 0, &[]);
        self.report(id, incarnation, 0, &[]);
    }

    pub(crate) fn report(&self, id: &str, incarnation: u64, age_ms: u64, adapters: &[(&str, u32)]) {
        let report = LoadReport {
            age_ms,
            sequence: 0,
            base_missing: false,
            running: adapters.iter().map(|(_, running)| running).sum(),
            queued: 0,
            adapters: adapters
                .iter()
                .map(|(name, running)| AdapterStatus {
                    adapter: adapter(name),
                    ready: true,
                    running: *running,
                })
                .collect(),
        };
        self.scheduler.report(&target(id), Incarnation(incarnation), &report);
    }

    pub(crate) async fn admit(&self, request: AdmissionRequest) -> Result<Lease, RequestError> {
        self.scheduler.admit(request).await
    }

    /// Admits a request in a separate task and holds its lease for `hold`.
    pub(crate) fn run(
        &self,
        request: AdmissionRequest,
        hold: Duration,
    ) -> JoinHandle<Result<Done, RequestError>> {
        let scheduler = self.scheduler.clone();
        tokio::spawn(async move {
            let asked_at = Instant::now();
            let lease = scheduler.admit(request).await?;
            let done = Done {
                target: lease.target.to_string(),
                wait: asked_at.elapsed(),
                stall: lease.load_stall,
                at: Instant::now(),
            };
            lease.started();
            sleep(hold).await;
            lease.finish(answered(100));
            Ok(done)
        })
    }

    pub(crate) fn orders(&self) -> Vec<LoadOrder> {
        self.orders.lock().unwrap().iter().map(|(_, order)| order.clone()).collect()
    }
}

/// Admission of a request that `Group::run` has completed.
#[derive(Clone, Debug)]
pub(crate) struct Done {
    pub(crate) target: String,
    pub(crate) wait: Duration,
    pub(crate) stall: Duration,
    /// Time of the admission.
    pub(crate) at: Instant,
}

pub(crate) fn answered(tokens: u64) -> shallotdrum_scheduler::Finish {
    shallotdrum_scheduler::Finish::Answered { prompt_tokens: 10, completion_tokens: tokens }
}

pub(crate) fn engine_spec(id: &str, incarnation: u64, slots: u32, batch: u32) -> TargetSpec {
    spec(
        id,
        incarnation,
        TargetKind::Engine {
            base_model: "base".parse().unwrap(),
            adapter_slots: slots,
            max_batch: batch,
            checks_fencing: true,
        },
    )
}

pub(crate) fn spec(id: &str, incarnation: u64, kind: TargetKind) -> TargetSpec {
    TargetSpec {
        id: target(id),
        incarnation: Incarnation(incarnation),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "suva-a".parse().unwrap(),
        kind,
        software: None,
        orders_allowed_from: Instant::now(),
    }
}

pub(crate) fn target(id: &str) -> TargetId {
    id.parse().unwrap()
}

pub(crate) fn adapter(name: &str) -> AdapterRef {
    AdapterRef { adapter: name.parse().unwrap(), version: "1".parse().unwrap() }
}

pub(crate) fn completion(subscriber: &str, name: &str) -> AdmissionRequest {
    let kind = RequestKind::Completion {
        adapter: adapter(name),
        source: format!("store/{name}"),
        prompt_tokens: 10,
        max_tokens: 100,
        prompt_prefix_hashes: Vec::new(),
    };
    request_of_kind(subscriber, kind)
}

pub(crate) fn request_of_kind(subscriber: &str, kind: RequestKind) -> AdmissionRequest {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    AdmissionRequest {
        request: format!("r{n}").parse().unwrap(),
        subscriber: subscriber.parse::<SubscriberId>().unwrap(),
        weight: Weight::default(),
        fingerprint: Fingerprint::of(&n.to_le_bytes()),
        kind,
        deadline: Instant::now() + Duration::from_secs(60),
        is_suspect: false,
        avoid: Vec::new(),
        software: None,
        max_concurrent: None,
        urgency: Urgency::default(),
        objective: None,
        spread: 1,
    }
}

/// Counts the occurrences of each name.
pub(crate) fn counts(names: impl IntoIterator<Item = String>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    counts
}
