//! Configuration, settings that can change at run time, and lagging load reports.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use shallotdrum_engine::LoadReport;
use shallotdrum_types::{AdapterRef, BaseModelId};
use tokio::time::Instant;

use crate::{presence::Identity, serve::merge_settings, weight_store::WeightStoreModel};

/// Fixed properties of a fake engine.
#[derive(Clone, Debug)]
pub struct FakeEngineConfig {
    /// Name and place.
    pub identity: Identity,
    /// Base model that is loaded.
    pub base_model: BaseModelId,
    /// Adapters that fit at a time.
    pub adapter_slots: u32,
    /// Requests that are batched at a time.
    pub max_batch: u32,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Store that adapters are loaded from.
    pub store: WeightStoreModel,
    /// Seed of all random faults.
    pub seed: u64,
    /// Settings at the start.
    pub settings: EngineSettings,
}

impl FakeEngineConfig {
    /// An engine with 4 slots and batches of 16 that checks fencing numbers.
    pub fn new(identity: Identity, base_model: BaseModelId) -> Self {
        Self {
            identity,
            base_model,
            adapter_slots: 4,
            max_batch: 16,
            checks_fencing: true,
            store: WeightStoreModel::default(),
            seed: 0,
            settings: EngineSettings::default(),
        }
    }
}

/// Settings that `POST /fake/config` changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Time of a batch step without any request, in milliseconds.
    pub step_base_ms: f64,
    /// Time that each request adds to a batch step, in milliseconds.
    pub step_per_sequence_ms: f64,
    /// Time that each prompt token outside the prefix cache adds to the first step.
    pub prefill_ms_per_token: f64,
    /// Tokens of one chunk.
    pub tokens_per_chunk: u64,
    /// Requests that wait at most; others are refused with 429.
    pub max_queue: usize,
    /// Prompt blocks that the prefix cache holds, from the next start on.
    pub prefix_cache_blocks: usize,
    /// Delay of cache events, in milliseconds.
    pub cache_event_delay_ms: u64,
    /// Probability that a cache event report is lost.
    pub cache_event_loss: f64,
    /// Least age of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Probability that a load fails.
    pub load_failure: f64,
    /// Adapters whose loads always fail.
    pub failing_adapters: Vec<AdapterRef>,
    /// Carries out an eviction while the adapter serves, and records the violation.
    pub obeys_blindly: bool,
    /// Text in a prompt that crashes the engine when the request starts to run.
    pub crash_marker: Option<String>,
    /// Time from a crash to the next start, in milliseconds.
    pub restart_delay_ms: u64,
    /// Probability that a chunk is sent twice.
    pub duplicate_chunk: f64,
    /// Probability that a chunk is sent after the one that follows it.
    pub reorder_chunk: f64,
    /// Probability that a chunk is left out.
    pub lose_chunk: f64,
    /// Probability that a chunk is preceded by one of another request.
    pub foreign_chunk: f64,
    /// Probability that an answer names and uses another version of the adapter.
    pub wrong_version: f64,
    /// Probability, for each chunk, that the connection is closed after it.
    pub cut: f64,
    /// Tokens of one run after which the connection is closed.
    pub cut_after_tokens: Option<u64>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            step_base_ms: 20.0,
            step_per_sequence_ms: 0.5,
            prefill_ms_per_token: 0.2,
            tokens_per_chunk: 1,
            max_queue: 1024,
            prefix_cache_blocks: 1024,
            cache_event_delay_ms: 500,
            cache_event_loss: 0.0,
            report_lag_ms: 0,
            load_failure: 0.0,
            failing_adapters: Vec::new(),
            obeys_blindly: false,
            crash_marker: None,
            restart_delay_ms: 500,
            duplicate_chunk: 0.0,
            reorder_chunk: 0.0,
            lose_chunk: 0.0,
            foreign_chunk: 0.0,
            wrong_version: 0.0,
            cut: 0.0,
            cut_after_tokens: None,
        }
    }
}

impl EngineSettings {
    /// These settings with those that a JSON object names overwritten.
    pub fn merged(&self, json: &str) -> Result<Self, serde_json::Error> {
        merge_settings(self, json.as_bytes())
    }

    pub(super) fn restart_delay(&self) -> Duration {
        Duration::from_millis(self.restart_delay_ms)
    }

    pub(super) fn report_lag(&self) -> Duration {
        Duration::from_millis(self.report_lag_ms)
    }

    /// Time of a batch step with the given requests and prompt tokens to process.
    pub(super) fn step_time(&self, batch: usize, prefill_tokens: u64) -> Duration {
        let ms = self.step_base_ms
            + self.step_per_sequence_ms * batch as f64
            + self.prefill_ms_per_token * prefill_tokens as f64;
        Duration::from_secs_f64(ms.max(0.0) / 1000.0)
    }
}

/// Past load reports, of which an old one is sent.
#[derive(Default)]
pub(super) struct ReportHistory(VecDeque<(Instant, LoadReport)>);

impl ReportHistory {
    /// Adds a fresh report; returns the newest that is at least `lag` old, or else the oldest.
    pub(super) fn push_and_take(&mut self, fresh: LoadReport, lag: Duration) -> LoadReport {
        let now = Instant::now();
        self.0.push_back((now, fresh));
        while self.0.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= lag) {
            self.0.pop_front();
        }
        let (at, report) = &self.0[0];
        let age_ms = now.duration_since(*at).as_millis().try_into().unwrap_or(u64::MAX);
        LoadReport { age_ms, ..report.clone() }
    }
}
