//! Loads from the weight store: how many may be in flight, and at which rate they complete.
//!
//! While urgency is active, the limit is learned ([`StoreLimit`]), orders without a response do not
//! count towards it, and expected waits follow the observed rate. Otherwise the configured limit and
//! rate apply.

use std::time::Duration;

use shallotdrum_telemetry::event;
use tokio::time::Instant;

use super::State;
use crate::{
    EngineModel,
    load_progress::LoadProgress,
    measure::DecayingCounter,
    slots::AdapterKey,
    store_limit::{EndedLoad, StoreLimit},
    target::TargetKey,
};

/// Number of loads that an engine with an engine model carries out at a time, as a bound on the limit
/// if there is no such model.
const LOADS_PER_ENGINE: usize = 4;
/// Half-life of the observed rate, in time during which the limit is reached: about 50 loads.
const RATE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Slowest rate that is expected, in loads per second. Longer gaps are outages, such as engines that
/// do not respond; a request should find out when they end.
const MIN_RATE: f64 = 1.0;
/// Unanswered orders may be this many times the limit.
const MAX_UNANSWERED_FACTOR: usize = 2;
/// The limit is logged when it differs from the logged one by more than one part of this many.
const LOGGED_CHANGE_DIVISOR: usize = 4;
/// Shortest time between two log lines about the limit. Probes of a group with a high limit and the
/// increases after them change it many times a second.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Load from the store in flight.
#[derive(Clone, Debug)]
pub(super) struct StoreLoad {
    pub(super) decided_at: Instant,
    pub(super) progress: LoadProgress,
}

/// What is learned about loads from the store.
#[derive(Clone, Debug)]
pub(super) struct StoreState {
    limit: StoreLimit,
    rate: LimitedRate,
    /// Whether the limit is reached, as of the latest check.
    is_reached: bool,
    logged: LoggedLimit,
}

impl StoreState {
    /// `configured` is the limit of the settings, `rate` the number of loads per second that is
    /// assumed until loads have been observed.
    pub(super) fn new(configured: usize, rate: f64, now: Instant) -> Self {
        let limit = StoreLimit::new(configured);
        let logged = LoggedLimit { limit: limit.get(), at: None };
        Self { limit, rate: LimitedRate::new(rate, now), is_reached: false, logged }
    }
}

/// Limit by the latest log line, at first the configured one.
#[derive(Clone, Copy, Debug)]
struct LoggedLimit {
    limit: usize,
    at: Option<Instant>,
}

impl LoggedLimit {
    /// Records the limit if a log line about it is due; returns the one of the line before.
    fn replace(&mut self, limit: usize, now: Instant) -> Option<usize> {
        let is_small = limit.abs_diff(self.limit) * LOGGED_CHANGE_DIVISOR <= self.limit;
        if is_small || self.at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return None;
        }
        self.at = Some(now);
        Some(std::mem::replace(&mut self.limit, limit))
    }
}

/// Rate of completed loads, by the time during which the limit is reached. The rest of the time says
/// nothing about the store.
#[derive(Clone, Debug)]
struct LimitedRate {
    completed: DecayingCounter,
    /// Start of the scale of `completed`, on which time passes only while the limit is reached.
    origin: Instant,
    /// Time during which the limit was reached, without the current period.
    reached: Duration,
    since: Option<Instant>,
}

impl LimitedRate {
    fn new(rate: f64, now: Instant) -> Self {
        let mut completed = DecayingCounter::new(RATE_HALF_LIFE, now);
        completed.add(rate * RATE_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2, now);
        Self { completed, origin: now, reached: Duration::ZERO, since: None }
    }

    fn scaled(&self, now: Instant) -> Instant {
        let current =
            self.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        self.origin + self.reached + current
    }

    fn set_reached(&mut self, is_reached: bool, now: Instant) {
        match (self.since, is_reached) {
            (None, true) => self.since = Some(now),
            (Some(since), false) => {
                self.reached += now.saturating_duration_since(since);
                self.since = None;
            }
            _ => {}
        }
    }

    fn complete(&mut self, now: Instant) {
        if self.since.is_some() {
            self.completed.add(1.0, self.scaled(now));
        }
    }

    /// Completed loads per second.
    fn get(&self, now: Instant) -> f64 {
        let recent = self.completed.get(self.scaled(now));
        (recent * std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64()).max(MIN_RATE)
    }
}

impl State {
    /// Whether the limit on concurrent loads from the weight store is reached.
    pub(super) fn is_store_busy(&self) -> bool {
        match self.is_urgency_active() {
            true => self.store.is_reached,
            false => self.store_loads.len() >= self.cfg.max_outstanding_loads,
        }
    }

    /// Whether a load would exceed its limit. What is learned beyond the configured limit is for
    /// adapters without a holder: more replicas would evict adapters that are in use.
    pub(super) fn is_store_busy_for(&self, is_replica: bool) -> bool {
        let is_configured_reached = self.store_loads.len() >= self.cfg.max_outstanding_loads;
        self.is_store_busy() || (is_replica && is_configured_reached)
    }

    /// Checks again whether the limit is reached.
    pub(super) fn update_store_limit(&mut self, now: Instant) {
        if !self.is_urgency_active() {
            return;
        }
        let unanswered = self.unanswered_loads(now);
        self.store.limit.end_overdue_probe(now);
        let limit = self.store.limit.get();
        let is_reached = self.store_loads.len() - unanswered >= limit
            || unanswered >= MAX_UNANSWERED_FACTOR * limit;
        self.store.is_reached = is_reached;
        self.store.rate.set_reached(is_reached, now);
        self.log_store_limit(unanswered, now);
    }

    /// Logs the limit if it has changed much. A change right after a line is logged at the first check
    /// after `LOG_INTERVAL`.
    fn log_store_limit(&mut self, unanswered: usize, now: Instant) {
        let to = self.store.limit.get();
        let Some(from) = self.store.logged.replace(to, now) else { return };
        let millis = |time: Option<Duration>| time.map(|time| time.as_millis() as u64);
        event!(self.log, STORE_LIMIT_CHANGED; "from" => from, "to" => to,
            "shortest_ms" => millis(self.store.limit.shortest()),
            "median_ms" => millis(self.store.limit.median()),
            "is_probe" => self.store.limit.is_probing(), "max" => self.max_store_limit(now),
            "in_flight" => self.store_loads.len(), "unanswered" => unanswered,
            "waiting_adapters" => self.missing_adapters);
    }

    /// Number of loads from the store whose orders have had no response for a response timeout.
    pub(crate) fn unanswered_loads(&self, now: Instant) -> usize {
        let loads = self.store_loads.values();
        loads.filter(|load| load.progress.is_unanswered(now)).count()
    }

    /// Number of loads from the store in flight.
    pub(crate) fn store_loads(&self) -> usize {
        self.store_loads.len()
    }

    /// Limit on loads from the store; absent if it is not learned.
    pub(crate) fn store_limit(&self) -> Option<usize> {
        self.is_urgency_active().then(|| self.store.limit.get())
    }

    /// Shortest time of a load from the store; absent if it is not known or not used.
    pub(crate) fn shortest_store_load(&self) -> Option<Duration> {
        self.store.limit.shortest().filter(|_| self.is_urgency_active())
    }

    /// Median time of the latest loads from the store; absent if it is not known or not used.
    pub(crate) fn median_store_load(&self) -> Option<Duration> {
        self.store.limit.median().filter(|_| self.is_urgency_active())
    }

    /// Observed rate of completed loads per second; absent if it is not used.
    pub(crate) fn store_rate(&self, now: Instant) -> Option<f64> {
        self.is_urgency_active().then(|| self.store.rate.get(now))
    }

    /// Removes a load from the store that has ended, and learns from it.
    pub(super) fn end_store_load(
        &mut self,
        key: TargetKey,
        adapter: AdapterKey,
        is_loaded: bool,
        now: Instant,
    ) {
        // Before the removal, which frees the place that this load took.
        self.update_store_limit(now);
        let Some(load) = self.store_loads.remove(&(key, adapter)) else { return };
        if !is_loaded || !self.is_urgency_active() {
            return;
        }
        self.store.rate.complete(now);
        let Some(accepted_at) = load.progress.accepted_at(load.decided_at) else { return };
        // An engine that has the adapter in its memory, unknown to this owner, says nothing about
        // the store.
        let shortest = self.cfg.engine_model.map_or(Duration::ZERO, |model| model.store_load / 2);
        if now.saturating_duration_since(accepted_at) < shortest {
            return;
        }
        let is_limited = self.store.is_reached && self.has_unplanned_load();
        let ended = EndedLoad { accepted_at, ended_at: now, is_limited };
        let max = self.max_store_limit(now);
        self.store.limit.record(ended, max);
        self.log_store_limit(self.unanswered_loads(now), now);
    }

    /// Whether an adapter with queued requests has no holder and no load under way.
    fn has_unplanned_load(&self) -> bool {
        let mut waiting = self.waiting.iter().map(|key| &self.adapters[*key]);
        waiting.any(|adapter| adapter.holders.is_empty() && adapter.loading.is_empty())
    }

    /// Number of loads that all active engines together carry out at a time.
    fn max_store_limit(&self, now: Instant) -> usize {
        let engines = self.targets.values().filter(|t| t.is_engine() && t.is_active(now));
        engines.count() * self.cfg.engine_model.map_or(LOADS_PER_ENGINE, |m| m.parallel_loads)
    }

    /// Mean time between the ends of consecutive loads, in seconds.
    pub(super) fn store_interval_secs(&self, model: &EngineModel, now: Instant) -> f64 {
        if self.is_urgency_active() && self.store.is_reached {
            return 1.0 / self.store.rate.get(now);
        }
        // `max_outstanding_loads` loads complete within the duration of one.
        model.store_load.as_secs_f64() / self.cfg.max_outstanding_loads.max(1) as f64
    }
}
