//! What a fake engine records for checkers: `GET /fake/stats`.

use serde::{Deserialize, Serialize};
use shallotdrum_engine::Order;
use shallotdrum_types::{AdapterRef, Epoch, Incarnation, RequestId};

use crate::presence::PresenceStats;

/// Statistics of a fake engine, over all incarnations of one handle.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Requests that were accepted, in order of arrival.
    pub runs: Vec<Run>,
    /// Tokens that were generated.
    pub tokens: u64,
    /// Loads that succeeded.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Evictions.
    pub evictions: u64,
    /// Batch steps.
    pub steps: u64,
    /// Requests in the batch, summed over the steps.
    pub occupancy_sum: u64,
    /// Prompt tokens that were processed.
    pub prefill_tokens: u64,
    /// Prompt tokens that the prefix cache saved.
    pub cached_tokens: u64,
    /// Reports of cache changes that were made, including lost ones.
    pub cache_reports: u64,
    /// Highest fencing number of the current incarnation.
    pub highest_epoch: Epoch,
    /// Orders, in order of arrival.
    pub orders: Vec<OrderRecord>,
    /// Breaches of the interface.
    pub violations: Vec<ViolationRecord>,
    /// Runs that a later run of the same request replaced.
    pub superseded: u64,
    /// Crashes by marker.
    pub crashes: u64,
    /// What became of announcements.
    pub presence: PresenceStats,
}

/// One request that was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Request.
    pub request: RequestId,
    /// Adapter and version that were asked for.
    pub adapter: AdapterRef,
    /// Start of the engine that accepted it.
    pub incarnation: Incarnation,
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub arrived_ms: u64,
    /// Time at which it joined the batch, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
    /// Tokens that were generated before, by the resume point.
    pub resume_offset: u64,
    /// Tokens that this run generated.
    pub tokens: u64,
    /// How the run ended; absent while it waits or runs.
    pub end: Option<RunEnd>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// All tokens were generated.
    Finished,
    /// The connection was closed by the other side, or the request was cancelled.
    Cancelled,
    /// The engine cut the connection, by setting or by an eviction.
    Cut,
    /// The engine crashed or was stopped.
    Stopped,
}

/// One order that arrived.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Start of the engine that got the order.
    pub incarnation: Incarnation,
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub arrived_ms: u64,
    /// Fencing number.
    pub epoch: Epoch,
    /// What was ordered.
    pub order: Order,
    /// `done` or the refusal; absent while it is carried out.
    pub result: Option<String>,
}

/// A breach of the interface and when it happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViolationRecord {
    /// Time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Start of the engine; requests and orders may be on their way when an engine restarts.
    pub incarnation: Incarnation,
    /// What happened.
    pub violation: Violation,
}

/// A breach of the interface by the sender of orders and requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Violation {
    /// An eviction was ordered while the adapter was serving.
    EvictionWhileServing {
        /// Adapter.
        adapter: AdapterRef,
        /// Fencing number of the order.
        epoch: Epoch,
        /// Whether the adapter was evicted nevertheless.
        carried_out: bool,
    },
    /// A request named an adapter that was not ready.
    AdapterNotReady {
        /// Request.
        request: RequestId,
        /// Adapter.
        adapter: AdapterRef,
    },
    /// An engine that does not check fencing numbers got an order while one with another number
    /// was carried out.
    ConcurrentEpochs {
        /// Number of the order that was carried out.
        running: Epoch,
        /// Number of the order that arrived.
        arrived: Epoch,
    },
    /// The text before the resume point is not what this model generates.
    WrongResumeText {
        /// Request.
        request: RequestId,
    },
}

impl EngineStats {
    /// Runs of a request, in order of arrival.
    pub fn runs_of(&self, request: &RequestId) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(move |run| run.request == *request)
    }

    /// Requests in the average batch step.
    pub fn mean_occupancy(&self) -> f64 {
        self.occupancy_sum as f64 / self.steps.max(1) as f64
    }

    /// Marks what was waiting or running when an incarnation ended.
    pub(super) fn end_runs_of(&mut self, incarnation: Incarnation) {
        for run in self.runs.iter_mut().filter(|run| run.incarnation == incarnation) {
            run.end.get_or_insert(RunEnd::Stopped);
        }
        self.highest_epoch = Epoch::default();
    }
}
