//! Expected times at an engine, in milliseconds of its own time.
//!
//! Answers the load of many adapters on few slots: prompts are read one after the other, so an
//! engine's backlog of prompts decides when a new request begins; a load from the weight store
//! takes ten times as long as one of an adapter that the engine held lately, and uses bandwidth
//! that all engines share.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use crate::slots::AdapterKey;

/// What is known of the engines of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_per_ms: f64,
    /// Time that each prompt takes beyond its tokens: about one step of the batch.
    pub prompt_overhead: Duration,
    /// Adapters that an engine keeps in its memory after it has unloaded them.
    pub kept_adapters: usize,
    /// Time of a load from the weight store.
    pub store_load: Duration,
    /// Time of a load of an adapter that the engine has kept.
    pub kept_load: Duration,
    /// Loads that an engine takes at a time.
    pub parallel_loads: usize,
    /// An engine that is ordered to evict an adapter waits for the adapter's requests to end, so
    /// requests that may still run there need no pin.
    pub evicts_after_requests: bool,
    /// Backlog of prompts beyond which an engine gets no further request: later ones wait in the
    /// group's queue, where they are ordered fairly and another engine can take them.
    pub max_backlog: Duration,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            // Stated by the operators for their engines.
            prefill_per_ms: 25.0,
            prompt_overhead: Duration::from_millis(12),
            // About 2.4 GB of adapters of 66 MB each, a small part of an engine's memory.
            kept_adapters: 32,
            store_load: Duration::from_millis(250),
            kept_load: Duration::from_millis(25),
            evicts_after_requests: true,
            // Stated by the engine interface.
            parallel_loads: 4,
            // Several prompts in a row hold up every running stream: an event of three tokens
            // would take three prompts' time, beyond the longest pause of 400 ms.
            max_backlog: Duration::ZERO,
        }
    }
}

/// Weight of a load from the store beyond its own time: it delays the loads of other engines.
const STORE_LOAD_WEIGHT: f64 = 2.0;

/// Milliseconds of engine time for each recent request for the adapter that makes room: the
/// chance that it is asked for within the next seconds, times its reload.
const VICTIM_MS: f64 = 3.0;

/// A target of another availability zone costs about this much more.
pub(crate) const REMOTE_ZONE_MS: f64 = 4.0;

impl EngineModel {
    /// Time to read a prompt of which a part, 0 to 1, is cached.
    pub(crate) fn prefill(&self, tokens: u64, cached: f64) -> Duration {
        let ms = tokens as f64 * (1.0 - cached.clamp(0.0, 1.0)) / self.prefill_per_ms;
        self.prompt_overhead + Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Cost in milliseconds of a load, with the recent requests for the adapter that makes room.
    pub(crate) fn load_cost(&self, is_kept: bool, victim_demand: f64, backlog: Duration) -> f64 {
        let load = match is_kept {
            true => millis(self.kept_load),
            false => millis(self.store_load) * STORE_LOAD_WEIGHT,
        };
        load + millis(backlog) + VICTIM_MS * victim_demand
    }
}

/// Milliseconds of a duration.
pub(crate) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Prompts that an engine has yet to read, as far as its owner knows.
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

    /// Time until a new prompt is read.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        self.free_at.saturating_duration_since(now)
    }
}

/// Adapters that an engine has probably kept in its memory, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Kept(VecDeque<AdapterKey>);

impl Kept {
    /// Takes note of a use of an adapter.
    pub(crate) fn touch(&mut self, adapter: AdapterKey, most: usize) {
        self.0.retain(|other| *other != adapter);
        self.0.push_back(adapter);
        while self.0.len() > most {
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
