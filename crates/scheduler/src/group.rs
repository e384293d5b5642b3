//! Scheduler handle, leases and the timer task.

use std::{
    net::SocketAddr,
    panic::AssertUnwindSafe,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use futures_util::FutureExt;
use shallotdrum_engine::{CacheEvents, LoadReport, PlaceOutlook, Priority};
use shallotdrum_types::{
    Incarnation, RequestError, RequestErrorKind, RequestRate, SoftwareVersion, TargetId,
};
use tokio::{
    runtime::Handle,
    sync::Notify,
    time::{Instant, timeout, timeout_at},
};

use crate::{
    api::{
        AdmissionRequest, Finish, LoadFailure, LoadFn, LoadOrder, PlaceFeedback, SchedulerConfig,
        TargetSpec,
    },
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
    /// Wakes the timer task when a request was queued or the scheduler was closed.
    wake: Arc<Notify>,
}

impl GroupScheduler {
    /// Creates a scheduler and spawns its timer task on the current runtime.
    ///
    /// The task ends when the last handle and lease are dropped, or after `close`.
    ///
    /// # Panics
    ///
    /// Panics if called outside a tokio runtime.
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

    /// Adds or updates a target. A new incarnation starts without loaded adapters.
    pub fn upsert_target(&self, target: TargetSpec) {
        self.shared.update(|state, now| state.upsert_target(target, false, now));
    }

    /// Like `upsert_target`, for a target that is draining: requests that wait get no place there.
    pub fn upsert_draining_target(&self, target: TargetSpec) {
        self.shared.update(|state, now| state.upsert_target(target, true, now));
    }

    /// Removes a target; admitted requests keep their leases.
    pub fn remove_target(&self, id: &TargetId) {
        self.shared.update(|state, now| state.remove_target(id, now));
    }

    /// Stops or resumes admission to a target.
    pub fn set_draining(&self, id: &TargetId, is_draining: bool) {
        self.shared.update(|state, now| state.set_draining(id, is_draining, now));
    }

    /// Stops or resumes admission to a target whose process crashed. Requests are not refused for it:
    /// they wait for its successor, which `upsert_target` adds with a new incarnation.
    pub fn set_crashed(&self, id: &TargetId, is_crashed: bool) {
        self.shared.update(|state, now| state.set_crashed(id, is_crashed, now));
    }

    /// Applies a load report from one incarnation of a target. Reports may be late and incomplete.
    pub fn report(
        &self,
        id: &TargetId,
        incarnation: Incarnation,
        report: &LoadReport,
    ) -> Option<Instant> {
        self.shared.update(|state, now| state.report(id, incarnation, report, now).then_some(now))
    }

    /// Applies changes of an engine's prefix cache. Events may be late or missing.
    ///
    /// Events from any incarnation but the current one are ignored.
    pub fn cache_events(&self, events: &CacheEvents) {
        self.shared.update(|state, now| state.cache_events(events, now));
    }

    /// Applies a limit that one incarnation of a target named, or no longer names, at
    /// `observed_at`.
    ///
    /// An observation that is older than the latest one is ignored.
    pub fn observe_limit(
        &self,
        id: &TargetId,
        incarnation: Incarnation,
        limit: Option<RequestRate>,
        observed_at: Instant,
    ) {
        self.shared
            .update(|state, now| state.observe_limit(id, incarnation, limit, observed_at, now));
    }

    /// Whether the reports received so far account for all adapters on the target.
    pub fn is_reconciled(&self, id: &TargetId) -> bool {
        self.shared.lock().is_reconciled(id)
    }

    /// Waits until the request may be sent to the lease's target, or returns why it was refused.
    ///
    /// Dropping the future withdraws the request.
    pub async fn admit(&self, request: AdmissionRequest) -> Result<Lease, RequestError> {
        let (seq, expires_at, rx) = self.shared.update(|state, now| state.enqueue(request, now))?;
        // The guard withdraws the request if this future is dropped from here on.
        let guard = RequestGuard { shared: Arc::clone(&self.shared), seq, is_armed: true };
        self.shared.wake.notify_one();
        match timeout_at(expires_at, rx).await {
            Ok(Ok(Ok(grant))) => Ok(Lease::new(grant, guard)),
            Ok(Ok(Err(error))) => {
                guard.disarm();
                Err(error)
            }
            Ok(Err(_)) => Err(RequestError::not_run(
                RequestErrorKind::Internal,
                "the scheduler dropped the request; retry",
            )),
            Err(_) => Err(self.shared.update(|state, now| state.expired(seq, now))),
        }
    }

    /// Starts no more loads, and fails the requests that need one. Loads under way go on, and requests
    /// for adapters that are loaded, or being loaded, are still admitted.
    pub fn stop_loads(&self, error: RequestError) {
        self.shared.update(|state, now| state.stop_loads(error, now));
    }

    /// Fails all queued requests immediately and refuses new ones. Existing leases stay valid.
    pub fn close(&self, error: RequestError) {
        self.shared.update(|state, _| state.close(error));
        self.shared.wake.notify_one();
    }

    /// Expected wait of another request in the group; absent if the owner does not say.
    pub fn group_wait(&self) -> Option<Duration> {
        self.shared.lock().group_wait(Instant::now())
    }

    /// What would happen to a request if it arrived now. Changes nothing.
    pub fn explain(&self, request: &AdmissionRequest) -> PlaceOutlook {
        self.copy().explain(request)
    }

    /// Copies the group's state. The group's lock is held only meanwhile.
    pub fn copy(&self) -> GroupCopy {
        let (mut state, now) = {
            let state = self.shared.lock();
            (state.clone(), Instant::now())
        };
        state.detach();
        GroupCopy { state, now }
    }

    /// Current state of the group for operators and metrics.
    pub fn snapshot(&self) -> GroupSnapshot {
        self.shared.lock().snapshot(Instant::now())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic during a pass leaves at most one request unaccounted for, so the group continues.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the state, then sends the load orders that it decided on.
    fn update<T>(self: &Arc<Self>, f: impl FnOnce(&mut State, Instant) -> T) -> T {
        let mut state = self.lock();
        let result = f(&mut state, Instant::now());
        if !state.has_orders() {
            return result;
        }
        let orders = state.take_orders();
        drop(state);
        for (target, adapter, order) in orders {
            self.send_load(target, adapter, order);
        }
        result
    }

    /// Sends a load order in a separate task.
    fn send_load(self: &Arc<Self>, target: TargetKey, adapter: AdapterKey, order: LoadOrder) {
        let load = Arc::clone(&self.load);
        let shared = Arc::downgrade(self);
        self.runtime.spawn(async move {
            // After a panic it is unknown whether the order was sent.
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
        self.update(|state, now| state.load_done(target, adapter, result, now));
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.wake.notify_one();
    }
}

/// State of a group at one time, for a trial outside the group's lock.
pub struct GroupCopy {
    state: State,
    now: Instant,
}

impl std::fmt::Debug for GroupCopy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GroupCopy").field("now", &self.now).finish_non_exhaustive()
    }
}

impl GroupCopy {
    /// Like `GroupScheduler::observe_limit`, for the copy alone.
    pub fn observe_limit(
        &mut self,
        id: &TargetId,
        incarnation: Incarnation,
        limit: Option<RequestRate>,
        observed_at: Instant,
    ) {
        self.state.observe_limit(id, incarnation, limit, observed_at, self.now);
    }

    /// What would have happened to a request if it had arrived at the time of the copy.
    pub fn explain(self, request: &AdmissionRequest) -> PlaceOutlook {
        self.state.try_admit(request, self.now)
    }
}

/// Calls `State::tick` periodically until the scheduler is closed or dropped.
async fn run_timer(shared: Weak<Shared>, wake: Arc<Notify>) {
    /// Minimum time between ticks caused by new requests, since each tick visits every target.
    const MIN_TICK: Duration = Duration::from_millis(10);
    loop {
        let pause = match shared.upgrade() {
            Some(shared) if shared.lock().closed.is_some() => return,
            Some(shared) => shared.update(|state, now| state.tick(now)),
            None => return,
        };
        tokio::time::sleep(MIN_TICK.min(pause)).await;
        // An elapsed timeout is the usual case.
        let _ = timeout(pause.saturating_sub(MIN_TICK), wake.notified()).await;
    }
}

/// Withdraws a queued request, or releases an admitted one, when dropped.
struct RequestGuard {
    shared: Arc<Shared>,
    seq: Seq,
    is_armed: bool,
}

impl RequestGuard {
    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.is_armed {
            self.shared.update(|state, now| state.withdraw(self.seq, now));
        }
    }
}

/// Permission to run a request on a target.
///
/// Pins the adapter and occupies capacity of the target. Dropping it counts as a cancelled request.
pub struct Lease {
    /// Target to send the request to.
    pub target: TargetId,
    /// Process of the target that admitted the request.
    pub incarnation: Incarnation,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Whether the target names a limit on its requests.
    pub is_rate_limited: bool,
    /// Version of the software of the process, if it tells one.
    pub software: Option<SoftwareVersion>,
    /// Priority to pass to the engine.
    pub priority: Priority,
    /// Time in the queue, including the load stall.
    pub queue_wait: Duration,
    /// Part of the queue wait during which no target could serve the adapter.
    pub load_stall: Duration,
    /// Number of groups over which the adapter should be spread; absent if the owner does not say.
    pub spread: Option<u32>,
    /// Expected wait of another request in the group; absent if the owner does not say.
    pub group_wait: Option<Duration>,
    guard: RequestGuard,
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
    fn new(grant: Grant, guard: RequestGuard) -> Self {
        let Grant {
            target,
            incarnation,
            addr,
            is_rate_limited,
            software,
            priority,
            queue_wait,
            load_stall,
            spread,
            group_wait,
        } = grant;
        Self {
            target,
            incarnation,
            addr,
            is_rate_limited,
            software,
            priority,
            queue_wait,
            load_stall,
            spread,
            group_wait,
            guard,
        }
    }

    /// Records that the request is being sent. Before this call, the target cannot be running it.
    pub fn started(&self) {
        self.guard.shared.lock().started(self.guard.seq);
    }

    /// Records the time from the send to the first token, which tells how fast the engine reads prompts.
    pub fn first_token_after(&self, time: Duration) {
        self.guard.shared.lock().first_token_after(self.guard.seq, time);
    }

    /// Records what is known of the target at the end of the request.
    ///
    /// The lengths of responses are learned from those that `finish` says are complete.
    pub fn feedback(&self, feedback: PlaceFeedback, finish: Finish) {
        if let Some(time) = feedback.first_event {
            self.first_token_after(time);
        }
        self.guard.shared.lock().feedback(self.guard.seq, feedback, finish, Instant::now());
    }

    /// Records `n` more generated tokens.
    pub fn tokens(&self, n: u64) {
        self.guard.shared.lock().tokens(self.guard.seq, n, Instant::now());
    }

    /// Ends the request and frees its capacity.
    pub fn finish(mut self, finish: Finish) {
        self.guard.is_armed = false;
        self.guard.shared.update(|state, now| state.release(self.guard.seq, finish, now));
    }
}
