//! Public types: configuration, admission requests, targets and load orders.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use shallotdrum_engine::{OrderRefusal, TargetKind, TargetLoad, Urgency};
use shallotdrum_telemetry::OverloadCounters;
use shallotdrum_types::{
    AdapterRef, AvailabilityZone, Fingerprint, Incarnation, RequestId, SoftwareVersion,
    SubscriberId, TargetId, Weight,
};
use tokio::time::Instant;

use crate::{EngineModel, LoadProgress};

/// Upper bound on request deadlines, and so on how long a previous owner's request can run.
pub const MAX_REQUEST_DEADLINE: Duration = Duration::from_secs(120);

/// Timeout for the response to a load order; engines respond at once and carry the order out later.
pub const ORDER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Scheduling policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Fair queueing, planned loads and target selection by expected wait.
    #[default]
    Adaptive,
    /// Round robin over targets, first come first served, least recently used eviction and loads on
    /// demand.
    Baseline,
}

/// Who gets a place first when capacity is insufficient.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scheduling {
    /// Fair shares of the subscribers alone.
    #[default]
    Shares,
    /// The more urgent first; requests that can no longer be finished are refused.
    Urgency,
    /// Like `Urgency` once a target has stated its pace, until then like `Shares`.
    WhenPaced,
}

/// Settings of one group's scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Scheduling policy.
    pub policy: Policy,
    /// Who gets a place first when capacity is insufficient.
    pub scheduling: Scheduling,
    /// Trade-off from 0 (full batches) to 1 (short load stalls).
    pub stall_weight: f64,
    /// Limit on queued requests in the group.
    pub max_queued: usize,
    /// Limit on queued requests of one subscriber in the group.
    pub max_queued_per_subscriber: usize,
    /// Availability zone of this instance; targets in it are preferred.
    pub zone: AvailabilityZone,
    /// Limit on loads from the weight store that are waiting for a permit or in progress.
    pub max_outstanding_loads: usize,
    /// Upper bound on the transit time of a load report, in addition to its sample age.
    pub report_transit: Duration,
    /// Seed for back-off jitter; random if absent.
    pub seed: Option<u64>,
    /// Ejects only targets that fail much more often than the rest of their group. Without this, a
    /// fault shared by all targets, such as a failing store behind them, ejects half of the group.
    pub relative_ejection: bool,
    /// Timing of the group's engines. If set, it decides target selection and loads.
    pub engine_model: Option<EngineModel>,
    /// Whether targets in this instance's availability zone are preferred, because requests are sent from
    /// here; otherwise entries send them.
    pub prefers_own_zone: bool,
    /// Counters of what is refused under overload.
    pub counters: Option<OverloadCounters>,
}

impl SchedulerConfig {
    /// Returns the default settings for an instance in this availability zone.
    pub fn new(zone: AvailabilityZone) -> Self {
        Self {
            policy: Policy::Adaptive,
            scheduling: Scheduling::default(),
            stall_weight: 0.5,
            // A wait of 10 s at 400 requests/s in one group; callers give up after that.
            max_queued: 4096,
            // A quarter of the group's queue, so that one subscriber alone cannot fill it.
            max_queued_per_subscriber: 1024,
            zone,
            // One load in progress and the next one already chosen, so that the store's permit is
            // used as soon as it is granted. More would be decided on outdated information.
            max_outstanding_loads: 2,
            // Announcements are relayed once between instances about 1 ms apart and time out within
            // a second.
            report_transit: Duration::from_secs(1),
            seed: None,
            relative_ejection: false,
            engine_model: None,
            prefers_own_zone: true,
            counters: None,
        }
    }
}

/// Target to add to the group, or to update.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Name; stable across restarts.
    pub id: TargetId,
    /// Identifies the target's process; increases with each restart.
    pub incarnation: Incarnation,
    /// Address for requests and load orders.
    pub addr: SocketAddr,
    /// Availability zone of the target; other zones than the instance's are less preferred.
    pub zone: AvailabilityZone,
    /// Kind and limits of the target.
    pub kind: TargetKind,
    /// Version of the software of the process, if it tells one.
    pub software: Option<SoftwareVersion>,
    /// Earliest time at which this owner may send load orders.
    pub orders_allowed_from: Instant,
}

/// Kind of a request and the resources it needs.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// Completion on an adapter.
    Completion {
        /// Adapter and version.
        adapter: AdapterRef,
        /// Path of the adapter in the weight store.
        source: String,
        /// Prompt length in tokens; may be an estimate.
        prompt_tokens: u64,
        /// Limit on generated tokens.
        max_tokens: u64,
        /// Hashes of successively longer prefixes of the prompt.
        prompt_prefix_hashes: Vec<u64>,
    },
    /// Completion on the base model, without an adapter.
    Base {
        /// Prompt length in tokens; may be an estimate.
        prompt_tokens: u64,
        /// Limit on generated tokens.
        max_tokens: u64,
        /// Hashes of successively longer prefixes of the prompt.
        prompt_prefix_hashes: Vec<u64>,
    },
    /// Call of a plain service.
    Service {
        /// Whether the call may be sent again. Repeatable calls count as lookups, for which
        /// capacity is reserved.
        is_repeatable: bool,
    },
}

/// Request to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Id that identifies the request in error messages.
    pub request: RequestId,
    /// Subscriber that is charged for the request.
    pub subscriber: SubscriberId,
    /// Weight of the subscriber in fair queueing.
    pub weight: Weight,
    /// Identifies the request across resends.
    pub fingerprint: Fingerprint,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Time by which the complete response is due.
    pub deadline: Instant,
    /// Whether the request may have crashed a target and must run alone.
    pub is_suspect: bool,
    /// Targets on which the request already failed.
    pub avoid: Vec<TargetId>,
    /// Software version of a target at which the request may run; any if absent.
    pub software: Option<SoftwareVersion>,
    /// Limit on the subscriber's queued and running requests; unlimited if absent.
    pub max_concurrent: Option<u32>,
    /// How urgent the request is.
    pub urgency: Urgency,
    /// Time from which the response is late by the objective of its route, although it is still
    /// useful; absent without an objective.
    pub objective: Option<Instant>,
    /// Number of groups over which the requests for the adapter are spread, this one included.
    pub spread: u32,
}

/// Order to load an adapter on a target.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOrder {
    /// Target to load on.
    pub target: TargetId,
    /// Process of the target that the order is meant for.
    pub incarnation: Incarnation,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Adapter to load.
    pub adapter: AdapterRef,
    /// Path of the adapter in the weight store.
    pub source: String,
    /// Adapter to evict first; absent if a slot is free.
    pub evict: Option<AdapterRef>,
    /// Time of the decision. It reflects only what was known about the target by then.
    pub decided_at: Instant,
    /// Told by the sender while the order is under way.
    pub progress: LoadProgress,
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
    /// The load is known to have failed.
    #[error("the load failed")]
    Failed,
    /// The engine's resident adapters must be inspected before the next order; no order was sent.
    #[error("the engine's resident adapters are unknown")]
    InspectionRequired,
    /// The order may or may not have been carried out.
    #[error("the result of the load is unknown")]
    Unknown,
}

/// Acquires a permit from the weight store and sends the order. Completes once the adapter can
/// serve requests.
pub type LoadFn =
    Arc<dyn Fn(LoadOrder) -> BoxFuture<'static, Result<(), LoadFailure>> + Send + Sync>;

/// What is known at the end of a request of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlaceFeedback {
    /// Time from the send to the first event of a stream.
    pub first_event: Option<Duration>,
    /// Load that the target stated in its response, and the time since then.
    pub load: Option<(TargetLoad, Duration)>,
    /// Number of tokens that were received in a stream.
    pub tokens: Option<u64>,
    /// Time from the first event of a stream to the last one.
    pub stream: Option<Duration>,
    /// Time from the grant to the end of the request, without the time until its report was processed.
    pub used: Option<Duration>,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The complete response was received.
    Answered {
        /// Prompt length in tokens.
        prompt_tokens: u64,
        /// Generated tokens.
        completion_tokens: u64,
    },
    /// The target failed, or its response was truncated.
    TargetFailed,
    /// The target's process crashed.
    TargetCrashed,
    /// The caller abandoned the request.
    Cancelled,
    /// The target refused the request without running it.
    Refused,
    /// The target refused the request because it has no room for another.
    NoRoom,
}
