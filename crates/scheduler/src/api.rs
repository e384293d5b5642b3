//! Types of the public interface: configuration, work, targets and load orders.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use shallotdrum_engine::{OrderRefusal, TargetKind};
use shallotdrum_types::{
    AdapterRef, AvailabilityZone, Fingerprint, Incarnation, RequestId, SubscriberId, TargetId,
    Weight,
};
use tokio::time::Instant;

use crate::EngineModel;

/// Longest deadline of a request; bounds how long a request of a former owner can run.
pub const MAX_REQUEST_DEADLINE: Duration = Duration::from_secs(120);

/// How the scheduler decides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Fair queueing, planned loads, target choice by expected wait.
    #[default]
    Adaptive,
    /// Round robin, first come first served, least recently used eviction, load on demand.
    Baseline,
}

/// Settings of one group's scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// How the scheduler decides.
    pub policy: Policy,
    /// 1 favours short load stalls, 0 favours full batches.
    pub stall_weight: f64,
    /// Requests that may be queued in the group.
    pub max_queued: usize,
    /// Requests of one subscriber that may be queued in the group.
    pub max_queued_per_subscriber: usize,
    /// Availability zone of this instance.
    pub zone: AvailabilityZone,
    /// Load decisions that may be waiting for a permit or loading at a time.
    pub max_outstanding_loads: usize,
    /// Longest time that a load report spends on its way, in addition to its sample age.
    pub report_transit: Duration,
    /// Seed of back-off jitter; random if absent.
    pub seed: Option<u64>,
    /// Ejects only targets that fail much more often than the others of their group. Otherwise a
    /// fault that all targets share, such as a failing store behind them, ejects half of them.
    pub relative_ejection: bool,
    /// Times of the group's engines, if they are known; decides targets and loads then.
    pub engine_model: Option<EngineModel>,
}

impl SchedulerConfig {
    /// Default settings for an instance in this availability zone.
    pub fn new(zone: AvailabilityZone) -> Self {
        Self {
            policy: Policy::Adaptive,
            stall_weight: 0.5,
            // At 400 requests/s of a group this is a wait of 10 s, beyond which callers give up.
            max_queued: 4096,
            // A quarter of the group's queue: one subscriber alone never fills it.
            max_queued_per_subscriber: 1024,
            zone,
            // The next choice is made while one load is in progress, so that the store's permit
            // is used as soon as it is granted; more would be decided on older information.
            max_outstanding_loads: 2,
            // Announcements are relayed once between instances about 1 ms apart and time out
            // within a second.
            report_transit: Duration::from_secs(1),
            seed: None,
            relative_ejection: false,
            engine_model: None,
        }
    }
}

/// Target of the group.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Name that is stable across restarts.
    pub id: TargetId,
    /// Process start of the target.
    pub incarnation: Incarnation,
    /// Address that serves requests and orders.
    pub addr: SocketAddr,
    /// Availability zone that the target is in.
    pub zone: AvailabilityZone,
    /// What the target runs.
    pub kind: TargetKind,
    /// Earliest time at which this owner may send orders.
    pub orders_allowed_from: Instant,
}

/// What a request needs.
#[derive(Clone, Debug)]
pub enum Job {
    /// Completion on an adapter.
    Completion {
        /// Adapter and version.
        adapter: AdapterRef,
        /// Path of the adapter in the weight store.
        source: String,
        /// Tokens of the prompt, possibly estimated.
        prompt_tokens: u64,
        /// Most tokens to generate.
        max_tokens: u64,
        /// Hashes of successively longer prefixes of the prompt.
        prompt_prefix_hashes: Vec<u64>,
    },
    /// Completion on the base model itself.
    Base {
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Most tokens to generate.
        max_tokens: u64,
        /// Hashes of successively longer prefixes of the prompt.
        prompt_prefix_hashes: Vec<u64>,
    },
    /// Call of a plain service.
    Service {
        /// Whether the call may be sent again. Some places are reserved for such lookups.
        is_repeatable: bool,
    },
}

/// Request that waits for admission.
#[derive(Clone, Debug)]
pub struct Work {
    /// Request.
    pub request: RequestId,
    /// Subscriber that is charged.
    pub subscriber: SubscriberId,
    /// Subscriber's share.
    pub weight: Weight,
    /// Identifies the request across resends.
    pub fingerprint: Fingerprint,
    /// What the request needs.
    pub job: Job,
    /// Time by which the whole answer is due.
    pub deadline: Instant,
    /// Whether the request must run alone on a target.
    pub is_suspect: bool,
    /// Targets on which the request failed before.
    pub avoid: Vec<TargetId>,
    /// Requests of the subscriber that may be queued or running at a time.
    pub max_concurrent: Option<u32>,
}

/// Order to load an adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOrder {
    /// Target to load on.
    pub target: TargetId,
    /// Process start of the target.
    pub incarnation: Incarnation,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Adapter to load.
    pub adapter: AdapterRef,
    /// Path of the adapter in the weight store.
    pub source: String,
    /// Adapter to evict first.
    pub evict: Option<AdapterRef>,
    /// When it was decided, by what was known of the target at that time.
    pub decided_at: Instant,
}

/// Why a load did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadFailure {
    /// The weight store granted no permit; no order was sent.
    #[error("the weight store granted no permit")]
    NoPermit,
    /// The target refused the order.
    #[error("the target refused the order: {0}")]
    Refused(#[from] OrderRefusal),
    /// The order failed for certain.
    #[error("the load failed")]
    Failed,
    /// The engine must be inspected before the next order; no order was sent.
    #[error("what the engine holds is not known")]
    NotInspected,
    /// The order may or may not have been carried out.
    #[error("the result of the load is unknown")]
    Unknown,
}

/// Acquires a permit of the weight store and sends the order; done when the adapter can serve.
pub type LoadFn =
    Arc<dyn Fn(LoadOrder) -> BoxFuture<'static, Result<(), LoadFailure>> + Send + Sync>;

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The whole answer was received.
    Answered {
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens of the answer.
        completion_tokens: u64,
    },
    /// The target failed or its answer ended early.
    TargetFailed,
    /// The target crashed.
    TargetCrashed,
    /// The caller no longer wants the answer.
    Cancelled,
    /// The target refused the request without running it.
    Refused,
}
