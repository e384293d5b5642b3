//! Handle of the scheduler, leases and the task that follows the passing of time.

use std::{
    net::SocketAddr,
    panic::AssertUnwindSafe,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use futures_util::FutureExt;
use shallotdrum_engine::{CacheEvents, LoadReport, Priority};
use shallotdrum_types::{Incarnation, RequestError, RequestErrorKind, TargetId};
use tokio::{
    runtime::Handle,
    sync::Notify,
    time::{Instant, timeout, timeout_at},
};

use crate::{
    api::{Finish, LoadFailure, LoadFn, LoadOrder, SchedulerConfig, TargetSpec, Work},
    fair::Seq,
    slots::AdapterKey,
    snapshot::GroupSnapshot,
    state::{Grant, State},
    target::TargetKey,
};

/// Scheduler of one target group; clones share the same state.
#[derive(Clone)]
pub struct GroupScheduler {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    load: LoadFn,
    runtime: Handle,
    /// Wakes the timer task when there is something new to wait for.
    wake: Arc<Notify>,
}

impl GroupScheduler {
    /// Creates a scheduler and spawns its timer task on the current runtime.
    ///
    /// The task ends when the last handle and lease are dropped, or after `close`.
    ///
    /// # Panics
    ///
    /// Panics outside of a tokio runtime.
    pub fn new(cfg: SchedulerConfig, load: LoadFn, log: slog::Logger) -> Self {
        let wake = Arc::new(Notify::new());
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(cfg, log, Instant::now())),
            load,
            runtime: Handle::current(),
            wake: Arc::clone(&wake),
        });
        tokio::spawn(run_timer(Arc::downgrade(&shared), wake));
        Self { shared }
    }

    /// Adds a target or updates it; a new incarnation starts with nothing loaded.
    pub fn upsert_target(&self, target: TargetSpec) {
        self.shared.change(|state, now| state.upsert_target(target, now));
    }

    /// Removes a target; admitted requests keep their leases.
    pub fn remove_target(&self, id: &TargetId) {
        self.shared.change(|state, now| state.remove_target(id, now));
    }

    /// Stops or resumes the admission of requests to a target.
    pub fn set_draining(&self, id: &TargetId, is_draining: bool) {
        self.shared.change(|state, now| state.set_draining(id, is_draining, now));
    }

    /// Takes a load report of one incarnation of a target; it may be late and partial.
    pub fn report(&self, id: &TargetId, incarnation: Incarnation, report: &LoadReport) {
        self.shared.change(|state, now| state.report(id, incarnation, report, now));
    }

    /// Takes changes of an engine's prefix cache; they may be late and have gaps.
    ///
    /// Events of another incarnation than the current one are ignored.
    pub fn cache_events(&self, events: &CacheEvents) {
        self.shared.change(|state, now| state.cache_events(events, now));
    }

    /// Whether the reports so far tell what the target holds.
    pub fn is_settled(&self, id: &TargetId) -> bool {
        self.shared.lock().is_settled(id)
    }

    /// Waits until the request may be sent to the lease's target, or refuses it.
    ///
    /// Dropping the future withdraws the request.
    pub async fn admit(&self, work: Work) -> Result<Lease, RequestError> {
        let (seq, give_up_at, rx) = self.shared.change(|state, now| state.enqueue(work, now))?;
        // From here on, the guard withdraws the request if this future is dropped.
        let place = Place { shared: Arc::clone(&self.shared), seq, is_open: true };
        self.shared.wake.notify_one();
        match timeout_at(give_up_at, rx).await {
            Ok(Ok(Ok(grant))) => Ok(Lease::new(grant, place)),
            Ok(Ok(Err(error))) => {
                place.forget();
                Err(error)
            }
            Ok(Err(_)) => Err(RequestError::not_run(
                RequestErrorKind::Internal,
                "the scheduler dropped the request; retry",
            )),
            Err(_) => Err(self.shared.change(|state, now| state.expired(seq, now))),
        }
    }

    /// Fails every queued request at once and refuses new ones; leases stay valid.
    pub fn close(&self, error: RequestError) {
        self.shared.change(|state, _| state.close(error));
        self.shared.wake.notify_one();
    }

    /// State of the group for operators and metrics.
    pub fn snapshot(&self) -> GroupSnapshot {
        self.shared.lock().snapshot(Instant::now())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic in a pass leaves at worst one request unaccounted; the group goes on.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state and sends the load orders that were decided.
    fn change<T>(self: &Arc<Self>, f: impl FnOnce(&mut State, Instant) -> T) -> T {
        let mut state = self.lock();
        let result = f(&mut state, Instant::now());
        if !state.has_orders() {
            return result;
        }
        let orders = state.take_orders();
        drop(state);
        for (target, adapter, order) in orders {
            self.send(target, adapter, order);
        }
        result
    }

    /// Sends a load order in a task of its own.
    fn send(self: &Arc<Self>, target: TargetKey, adapter: AdapterKey, order: LoadOrder) {
        let load = Arc::clone(&self.load);
        let shared = Arc::downgrade(self);
        self.runtime.spawn(async move {
            // A panic says nothing about what was sent.
            let result = AssertUnwindSafe(async move { load(order).await })
                .catch_unwind()
                .await
                .unwrap_or(Err(LoadFailure::Unknown));
            if let Some(shared) = shared.upgrade() {
                shared.load_done(target, adapter, &result);
            }
        });
    }

    fn load_done(
        self: &Arc<Self>,
        target: TargetKey,
        adapter: AdapterKey,
        result: &Result<(), LoadFailure>,
    ) {
        self.change(|state, now| state.load_done(target, adapter, result, now));
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.wake.notify_one();
    }
}

/// Calls `State::tick` until the scheduler is closed or dropped.
async fn run_timer(shared: Weak<Shared>, wake: Arc<Notify>) {
    /// Wake-ups by requests are spaced by this much; each tick passes over all targets.
    const MIN_TICK: Duration = Duration::from_millis(10);
    loop {
        let pause = match shared.upgrade() {
            Some(shared) if shared.lock().closed.is_some() => return,
            Some(shared) => shared.change(|state, now| state.tick(now)),
            None => return,
        };
        tokio::time::sleep(MIN_TICK.min(pause)).await;
        // The pause being over is the usual case.
        let _ = timeout(pause.saturating_sub(MIN_TICK), wake.notified()).await;
    }
}

/// Place of a request in the queue, and later in a target's batch.
struct Place {
    shared: Arc<Shared>,
    seq: Seq,
    is_open: bool,
}

impl Place {
    fn forget(mut self) {
        self.is_open = false;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.is_open {
            self.shared.change(|state, now| state.withdraw(self.seq, now));
        }
    }
}

/// Permission to run a request on a target.
///
/// Holds the pin on the adapter and the place in the batch. Dropping it counts as cancelled.
pub struct Lease {
    /// Target to send the request to.
    pub target: TargetId,
    /// Process start of the target.
    pub incarnation: Incarnation,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Priority to pass to the engine.
    pub priority: Priority,
    /// Time that the request was queued, load stall included.
    pub queue_wait: Duration,
    /// Part of the queue wait in which no target could serve the adapter.
    pub load_stall: Duration,
    place: Place,
}

impl std::fmt::Debug for Lease {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Lease")
            .field("target", &self.target)
            .field("incarnation", &self.incarnation)
            .field("queue_wait", &self.queue_wait)
            .field("load_stall", &self.load_stall)
            .finish_non_exhaustive()
    }
}

impl Lease {
    fn new(grant: Grant, place: Place) -> Self {
        let Grant { target, incarnation, addr, priority, queue_wait, load_stall } = grant;
        Self { target, incarnation, addr, priority, queue_wait, load_stall, place }
    }

    /// Takes note that the request is being sent; before this, the target can't be running it.
    pub fn started(&self) {
        self.place.shared.lock().started(self.place.seq);
    }

    /// Takes note of generated tokens.
    pub fn tokens(&self, n: u64) {
        self.place.shared.lock().tokens(self.place.seq, n, Instant::now());
    }

    /// Ends the request.
    pub fn finish(mut self, finish: Finish) {
        self.place.is_open = false;
        self.place.shared.change(|state, now| state.release(self.place.seq, finish, now));
    }
}
