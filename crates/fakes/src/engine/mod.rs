//! Fake inference engine with adapter slots, continuous batching, a prefix cache, orders and
//! configurable faults.
//!
//! Architecture Invariant: an adapter leaves its slot only through an order or a crash, and every
//! request for an adapter that is not ready is refused and recorded as a violation.

mod batch;
mod cache;
mod config;
mod http;
mod orders;
mod stats;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use ::http::Request;
use hyper::body::Incoming;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use shallotdrum_engine::{LoadReport, TargetKind};
use shallotdrum_types::Incarnation;
use tokio::{net::TcpListener, sync::Notify, task::JoinHandle, task::JoinSet, time::sleep};

pub use config::{EngineSettings, FakeEngineConfig};
pub use stats::{EngineStats, OrderRecord, Run, RunEnd, Violation, ViolationRecord};

use crate::{
    clock::{next_incarnation, unix_ms},
    port::ReservedPort,
    presence::{Presence, lock, run_incarnations},
    serve::serve,
};
use batch::BatchState;
use orders::SlotState;

/// Interval at which a stopping engine checks for running requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handle of a fake engine in this process; dropping it stops the engine immediately.
pub struct FakeEngine {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

/// State that survives a simulated crash.
struct Shared {
    cfg: FakeEngineConfig,
    presence: Presence,
    settings: Mutex<EngineSettings>,
    stats: Mutex<EngineStats>,
    rng: Mutex<StdRng>,
    incarnation: Mutex<Incarnation>,
}

/// State of one incarnation.
struct Engine {
    shared: Arc<Shared>,
    incarnation: Incarnation,
    slots: Mutex<SlotState>,
    /// Notified when a load succeeds or fails.
    load_ended: Notify,
    batch: Mutex<BatchState>,
    /// Notified when a request is queued.
    request_queued: Notify,
    cache: Mutex<cache::PrefixCache>,
    /// Tasks of orders, which continue when the connection of the sender is closed.
    orders: Mutex<JoinSet<()>>,
}

impl FakeEngine {
    /// Starts the engine, which is listening when this returns.
    pub async fn start(cfg: FakeEngineConfig) -> io::Result<Self> {
        let port = ReservedPort::bind(cfg.identity.listen)?;
        let listener = port.listen()?;
        let incarnation = next_incarnation();
        let shared = Arc::new(Shared {
            presence: Presence::new(cfg.identity.clone(), port.addr()),
            settings: Mutex::new(cfg.settings.clone()),
            stats: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(cfg.seed)),
            incarnation: Mutex::new(incarnation),
            cfg,
        });
        let task = tokio::spawn(run_incarnations(port, listener, incarnation, {
            let shared = shared.clone();
            move |incarnation, listener| Engine::run(shared.clone(), incarnation, listener)
        }));
        Ok(Self { shared, task })
    }

    /// Listen address.
    pub fn addr(&self) -> SocketAddr {
        self.shared.presence.addr
    }

    /// Current incarnation, or the last one while the engine restarts.
    pub fn incarnation(&self) -> Incarnation {
        *lock(&self.shared.incarnation)
    }

    /// Statistics over all incarnations of this handle.
    pub fn stats(&self) -> EngineStats {
        self.shared.stats()
    }

    /// Changes the run-time settings.
    pub fn configure(&self, change: impl FnOnce(&mut EngineSettings)) {
        change(&mut lock(&self.shared.settings));
    }

    /// Sets the entries that the engine announces itself to.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        self.shared.presence.set_entries(entries);
    }

    /// Simulates a crash, as a request with the crash marker does.
    pub fn crash(&self) {
        self.shared.presence.crash();
    }

    /// Announces that the engine takes no new work; returns whether an entry accepted this.
    pub async fn leave(&self) -> bool {
        self.shared.presence.leave(self.incarnation()).await
    }

    /// Announces that the engine leaves, waits until all requests have ended, and stops.
    pub async fn stop(self) {
        self.leave().await;
        while lock(&self.shared.stats).runs.iter().any(|run| run.end.is_none()) {
            sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn settings(&self) -> EngineSettings {
        lock(&self.settings).clone()
    }

    fn stats(&self) -> EngineStats {
        EngineStats { presence: self.presence.stats(), ..lock(&self.stats).clone() }
    }

    fn record_violation(&self, violation: Violation) {
        let incarnation = *lock(&self.incarnation);
        let record = ViolationRecord { at_ms: unix_ms(), incarnation, violation };
        lock(&self.stats).violations.push(record);
    }

    /// Returns true with the given probability.
    fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && lock(&self.rng).random_bool(probability.min(1.0))
    }
}

impl Engine {
    /// Runs until the engine crashes; returns the delay before the next start.
    async fn run(shared: Arc<Shared>, incarnation: Incarnation, listener: TcpListener) -> Duration {
        *lock(&shared.incarnation) = incarnation;
        let settings = shared.settings();
        let engine = Arc::new(Self {
            incarnation,
            slots: Mutex::default(),
            load_ended: Notify::new(),
            batch: Mutex::default(),
            request_queued: Notify::new(),
            cache: Mutex::new(cache::PrefixCache::new(settings.prefix_cache_blocks)),
            orders: Mutex::default(),
            shared: shared.clone(),
        });
        let _guard = StopGuard(engine.clone());
        let reports = Mutex::default();
        tokio::select! {
            () = serve(
                listener,
                {
                    let engine = engine.clone();
                    move |req: Request<Incoming>| engine.clone().handle(req)
                },
                {
                    let shared = shared.clone();
                    move || shared.random_bool(shared.settings().late_copy)
                },
            ) => {}
            () = engine.run_batches() => {}
            () = engine.send_cache_events() => {}
            () = shared.presence.announce(incarnation, engine.kind(), || engine.report(&reports)) => {}
            () = shared.presence.crashed() => {}
        }
        shared.settings().restart_delay()
    }

    fn kind(&self) -> TargetKind {
        let cfg = &self.shared.cfg;
        TargetKind::Engine {
            base_model: cfg.base_model.clone(),
            adapter_slots: cfg.adapter_slots,
            max_batch: cfg.max_batch,
            checks_fencing: cfg.checks_fencing,
        }
    }

    /// Records the current load; returns the newest report that is at least as old as the settings
    /// require, or else the oldest.
    fn report(&self, history: &Mutex<config::ReportHistory>) -> LoadReport {
        let batch = lock(&self.batch);
        let fresh = LoadReport {
            age_ms: 0,
            sequence: 0,
            base_missing: false,
            running: batch.running.len() as u32,
            queued: batch.queue.len() as u32,
            adapters: lock(&self.slots).statuses(&batch),
        };
        drop(batch);
        lock(history).push_and_take(fresh, self.shared.settings().report_lag())
    }
}

/// Aborts the orders of an incarnation and marks its runs as stopped, both after a crash and when
/// the handle is dropped.
struct StopGuard(Arc<Engine>);

impl Drop for StopGuard {
    fn drop(&mut self) {
        lock(&self.0.orders).abort_all();
        lock(&self.0.shared.stats).end_runs_of(self.0.incarnation);
    }
}
