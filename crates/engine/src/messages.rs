//! JSON messages exchanged with targets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallotdrum_types::{
    AdapterRef, AvailabilityZone, BaseModelId, Epoch, Incarnation, PoolId, Region, RequestId,
    SoftwareVersion, TargetId, Tokens,
};

/// A target's registration, sent to any entry and renewed every second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Identifier of the target; stable across restarts.
    pub target: TargetId,
    /// Identifies this process start; increases with each restart.
    pub incarnation: Incarnation,
    /// Address at which the target accepts requests and orders.
    pub addr: SocketAddr,
    /// Pool that the target belongs to.
    pub pool: PoolId,
    /// Region that the target is in.
    pub region: Region,
    /// Availability zone that the target is in.
    pub zone: AvailabilityZone,
    /// What the target serves, and its capacity.
    pub kind: TargetKind,
    /// Version of the target's software; streams of one version do not go on at another. Absent if the
    /// target does not tell it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// Current load.
    pub load: LoadReport,
}

/// Response to an accepted announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Delay until the target's next announcement, in milliseconds.
    pub renew_after_ms: u64,
}

/// Notice that a target accepts no new work: `POST /targets/leave` on any entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    /// Target that is leaving.
    pub target: TargetId,
    /// Process start that is leaving; a later one may already have announced itself.
    pub incarnation: Incarnation,
}

/// Hash of a prompt prefix, as computed by `prefix_hashes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// Changes of an engine's prefix cache: `POST /targets/cache-events` on any entry.
///
/// Reports may be delayed or lost; a gap in `sequence` reveals lost ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvents {
    /// Engine that owns the cache.
    pub target: TargetId,
    /// Process start of the engine; a restart begins with an empty cache and sequence 1.
    pub incarnation: Incarnation,
    /// Report number, incremented by one for each report.
    pub sequence: u64,
    /// Prefixes added to the cache.
    #[serde(default)]
    pub stored: Vec<PrefixHash>,
    /// Prefixes removed from the cache.
    #[serde(default)]
    pub removed: Vec<PrefixHash>,
}

/// What a target serves, and its capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum TargetKind {
    /// Model engine.
    Engine {
        /// Loaded base model.
        base_model: BaseModelId,
        /// Maximum number of loaded adapters.
        adapter_slots: u32,
        /// Maximum number of requests in a batch.
        max_batch: u32,
        /// Whether the engine refuses orders with an outdated fencing token.
        checks_fencing: bool,
    },
    /// Plain service.
    Service {
        /// Maximum number of concurrent calls.
        max_concurrent: u32,
    },
}

/// Load of a target as sampled by the target itself; may be seconds old.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Age of the sample at the time of sending, in milliseconds.
    pub age_ms: u64,
    /// Report number, increasing within one process start; 0 if the target doesn't number reports.
    #[serde(default)]
    pub sequence: u64,
    /// The engine has no base model loaded and can't serve.
    #[serde(default)]
    pub base_missing: bool,
    /// Running requests.
    pub running: u32,
    /// Requests waiting in the target's own queue.
    pub queued: u32,
    /// Adapters that are loaded or loading.
    #[serde(default)]
    pub adapters: Vec<AdapterStatus>,
}

/// State of one adapter on an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterStatus {
    /// Adapter and version.
    pub adapter: AdapterRef,
    /// False while the adapter is loading.
    pub ready: bool,
    /// Requests running on this adapter.
    pub running: u32,
}

/// Order to an engine: `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// Fencing token; engines that check it refuse one below the highest they have seen.
    pub epoch: Epoch,
    /// Requested change.
    pub order: Order,
}

/// Change that an engine is ordered to make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Order {
    /// Load an adapter, after evicting another if given; completes when the adapter can serve.
    Load {
        /// Adapter to load.
        adapter: AdapterRef,
        /// Path in the weight store.
        source: String,
        /// Adapter to evict first.
        evict: Option<AdapterRef>,
    },
    /// Evict an adapter.
    Evict {
        /// Adapter to evict.
        adapter: AdapterRef,
    },
    /// Change the engine's role, such as `prefill`, `decode` or `both`.
    ChangeRole {
        /// Name of the new role.
        role: String,
    },
    /// Only raise the engine's fencing token.
    Fence,
}

/// Why an engine refused an order; HTTP status 409 or 422.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum OrderRefusal {
    /// The fencing token is outdated.
    #[error("fencing token is older than {highest}")]
    OldEpoch {
        /// Highest fencing token seen.
        highest: Epoch,
    },
    /// The adapter to evict is serving requests.
    #[error("adapter is serving requests")]
    AdapterBusy,
    /// No adapter slot is free.
    #[error("no adapter slot is free")]
    NoFreeSlot,
    /// The weights could not be loaded.
    #[error("load failed: {reason}")]
    LoadFailed {
        /// What the engine reported.
        reason: String,
    },
}

/// Completion request: `POST /v1/generate`; the response is a stream of server-sent
/// `EngineEvent`s.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// Identifier of the request; echoed in every event of the response.
    pub request: RequestId,
    /// Base model to run on.
    pub base_model: BaseModelId,
    /// Adapter and version to run on.
    pub adapter: AdapterRef,
    /// Prompt text; the entry has already rendered chat messages into it.
    pub prompt: String,
    /// Maximum completion length in tokens, including tokens generated before a resume.
    pub max_tokens: u32,
    /// Sampling temperature.
    pub temperature: f64,
    /// Stop sequences.
    #[serde(default)]
    pub stop: Vec<String>,
    /// Sampling seed, if the caller sets one.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Priority in the engine's batch queue.
    pub priority: Priority,
    /// Time left for the entire response, in milliseconds.
    pub deadline_ms: u64,
    /// Where to continue an interrupted completion; absent for a new one.
    #[serde(default)]
    pub resume: Option<Resume>,
}

/// Request priority; lower values run first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// Position from which an interrupted completion continues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resume {
    /// Number of tokens already generated.
    pub offset: u64,
    /// Text already generated.
    pub text: String,
}

/// Event of a completion stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum EngineEvent {
    /// Next part of the text.
    Chunk(Chunk),
    /// Last event of the stream.
    End(End),
}

/// Part of a generated text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Request that the chunk belongs to.
    pub request: RequestId,
    /// Adapter and version that generated it.
    pub adapter: AdapterRef,
    /// Number of tokens that precede this chunk.
    pub offset: u64,
    /// Number of tokens in this chunk.
    pub tokens: u64,
    /// Generated text.
    pub text: String,
}

/// Last event of a completion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Request that the completion belongs to.
    pub request: RequestId,
    /// Adapter and version that generated it.
    pub adapter: AdapterRef,
    /// Why generation ended.
    pub finish_reason: FinishReason,
    /// Token counts of prompt and completion.
    pub usage: Usage,
}

/// Why generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the text, or a stop sequence was reached.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the completion, including tokens generated before a resume.
    pub completion_tokens: Tokens,
}
