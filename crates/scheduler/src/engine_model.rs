//! Timing model of the engines.
//!
//! Used where many adapters share few slots. An engine reads prompts one after the other, so its
//! backlog of prompts decides when a new request starts. A load from the weight store takes ten
//! times as long as one from the engine's adapter cache, and uses bandwidth that all engines share.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use crate::slots::AdapterKey;

/// Timing and limits of a group's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// Prefill speed, in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Fixed time per prompt in addition to its tokens: about one step of the batch.
    pub prompt_overhead: Duration,
    /// Number of adapters that an engine keeps in memory after unloading them.
    pub cached_adapters: usize,
    /// Duration of a load from the weight store.
    pub store_load: Duration,
    /// Duration of a load from the engine's adapter cache.
    pub cached_load: Duration,
    /// Number of loads that an engine carries out at the same time.
    pub parallel_loads: usize,
    /// Whether an engine finishes an adapter's requests before it evicts the adapter. Requests that
    /// may still be running then need no pin.
    pub evicts_after_requests: bool,
    /// Prefill backlog beyond which an engine gets no further requests. Later ones wait in the
    /// group's queue, where they are ordered fairly and any engine can take them.
    pub max_backlog: Duration,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            // Specified by the operators for their engines.
            prefill_tokens_per_ms: 25.0,
            prompt_overhead: Duration::from_millis(12),
            // About 2.4 GB for adapters of 66 MB each, a small part of an engine's memory.
            cached_adapters: 32,
            store_load: Duration::from_millis(250),
            cached_load: Duration::from_millis(25),
            evicts_after_requests: true,
            // Specified by the engine interface.
            parallel_loads: 4,
            // Consecutive prefills delay every running stream. An event of three tokens would take
            // as long as three prompts and exceed the longest allowed pause of 400 ms.
            max_backlog: Duration::ZERO,
        }
    }
}

/// Cost factor of a load from the store, which also delays the loads of other engines.
const STORE_LOAD_WEIGHT: f64 = 2.0;

/// Cost in milliseconds of engine time for each recent request for the victim: the probability that
/// it is requested again within seconds, times the reload time.
const VICTIM_DEMAND_MS: f64 = 3.0;

/// Additional cost of a target in another availability zone, in milliseconds.
pub(crate) const REMOTE_ZONE_MS: f64 = 4.0;

impl EngineModel {
    /// Time to prefill a prompt; `cached` is the cached share, 0 to 1.
    pub(crate) fn prefill(&self, tokens: u64, cached: f64) -> Duration {
        let ms = tokens as f64 * (1.0 - cached.clamp(0.0, 1.0)) / self.prefill_tokens_per_ms;
        self.prompt_overhead + Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Cost of a load in milliseconds; `victim_demand` is the number of recent requests for the
    /// victim.
    pub(crate) fn load_cost(&self, is_cached: bool, victim_demand: f64, backlog: Duration) -> f64 {
        let load = match is_cached {
            true => millis(self.cached_load),
            false => millis(self.store_load) * STORE_LOAD_WEIGHT,
        };
        load + millis(backlog) + VICTIM_DEMAND_MS * victim_demand
    }
}

/// Converts a duration to milliseconds.
pub(crate) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Measured speed at which the engines of a group read prompts.
///
/// Engines of another deployment may be faster than the settings say. With too low a speed, an engine
/// waits for prompts that are held back for it.
#[derive(Clone, Debug)]
pub(crate) struct PrefillSpeed {
    /// Speed of the settings, in tokens per millisecond. It is never undercut: the time to a first token
    /// also holds waits that have other causes.
    configured: f64,
    /// Speeds of the latest prompts.
    samples: VecDeque<f64>,
}

/// Prompts from which a speed is learned.
const SPEED_SAMPLES: usize = 64;
/// Prompts that must have been measured before the speed changes.
const MIN_SPEED_SAMPLES: usize = 16;
/// Tokens of a prompt below which its time is mostly overhead.
const MIN_MEASURED_TOKENS: f64 = 1_000.0;
/// Relative change of the speed below which the earlier one is kept.
const MIN_SPEED_CHANGE: f64 = 0.05;
/// Largest factor between the measured and the configured speed.
const MAX_SPEEDUP: f64 = 4.0;

impl PrefillSpeed {
    pub(crate) fn new(configured: f64) -> Self {
        Self { configured, samples: VecDeque::new() }
    }

    /// Adds a prompt that an idle engine read; returns the speed if it has changed.
    pub(crate) fn record(
        &mut self,
        model: &EngineModel,
        tokens: f64,
        first_token_after: Duration,
    ) -> Option<f64> {
        let reading = first_token_after.saturating_sub(model.prompt_overhead);
        if tokens < MIN_MEASURED_TOKENS || reading.is_zero() {
            return None;
        }
        self.samples.push_back(tokens / millis(reading));
        if self.samples.len() > SPEED_SAMPLES {
            self.samples.pop_front();
        }
        if self.samples.len() < MIN_SPEED_SAMPLES {
            return None;
        }
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let median = sorted[sorted.len() / 2];
        let speed = median.clamp(self.configured, self.configured * MAX_SPEEDUP);
        let change = (speed / model.prefill_tokens_per_ms - 1.0).abs();
        (change >= MIN_SPEED_CHANGE).then_some(speed)
    }
}

/// Estimated prefill work that an engine has yet to do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backlog {
    free_at: Instant,
}

impl Backlog {
    pub(crate) fn new(now: Instant) -> Self {
        Self { free_at: now }
    }

    /// Adds a prompt.
    pub(crate) fn add(&mut self, prefill: Duration, now: Instant) {
        self.free_at = self.free_at.max(now) + prefill;
    }

    /// Time until the engine can start on a new prompt.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        self.free_at.saturating_duration_since(now)
    }
}

/// Adapters that an engine probably still keeps in memory, least recently used first.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdapterCache(VecDeque<AdapterKey>);

impl AdapterCache {
    /// Marks an adapter as most recently used.
    pub(crate) fn touch(&mut self, adapter: AdapterKey, max_len: usize) {
        self.0.retain(|other| *other != adapter);
        self.0.push_back(adapter);
        while self.0.len() > max_len {
            self.0.pop_front();
        }
    }

    pub(crate) fn contains(&self, adapter: AdapterKey) -> bool {
        self.0.contains(&adapter)
    }

    pub(crate) fn adapters(&self) -> impl Iterator<Item = AdapterKey> {
        self.0.iter().copied()
    }
}
