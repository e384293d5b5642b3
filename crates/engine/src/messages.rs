//! Messages between the system and its targets, as JSON.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallotdrum_types::{
    AdapterRef, AvailabilityZone, BaseModelId, Epoch, Incarnation, PoolId, Region, RequestId,
    TargetId, Tokens,
};

/// A target's description of itself, sent to any entry and renewed every second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name that is stable across restarts.
    pub target: TargetId,
    /// Number of this process start.
    pub incarnation: Incarnation,
    /// Address that serves requests and orders.
    pub addr: SocketAddr,
    /// Pool that the target belongs to.
    pub pool: PoolId,
    /// Region that the target is in.
    pub region: Region,
    /// Availability zone that the target is in.
    pub zone: AvailabilityZone,
    /// What the target runs.
    pub kind: TargetKind,
    /// Current load.
    pub load: LoadReport,
}

/// Answer to an accepted announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Time after which the target announces itself again, in milliseconds.
    pub renew_after_ms: u64,
}

/// Statement that a target takes no new work: `POST /targets/leave` on any entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    /// Target that leaves.
    pub target: TargetId,
    /// Process start that leaves; a later one may have announced itself already.
    pub incarnation: Incarnation,
}

/// Hash of a prompt prefix, as computed by `prefix_hashes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// Changes of an engine's prefix cache: `POST /targets/cache-events` on any entry.
///
/// May be late, and reports may be missing; a gap in `sequence` shows that some are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvents {
    /// Engine that reports.
    pub target: TargetId,
    /// Process start of the engine; a restart begins with an empty cache and sequence 1.
    pub incarnation: Incarnation,
    /// Number of the report; increases by one with each.
    pub sequence: u64,
    /// Prefixes that the cache holds now.
    #[serde(default)]
    pub stored: Vec<PrefixHash>,
    /// Prefixes that the cache holds no longer.
    #[serde(default)]
    pub removed: Vec<PrefixHash>,
}

/// What a target runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum TargetKind {
    /// Model engine.
    Engine {
        /// Base model that is loaded.
        base_model: BaseModelId,
        /// Adapters that fit at a time.
        adapter_slots: u32,
        /// Requests that are batched at a time.
        max_batch: u32,
        /// Whether orders with an old fencing number are refused.
        checks_fencing: bool,
    },
    /// Plain service.
    Service {
        /// Calls that are served at a time.
        max_concurrent: u32,
    },
}

/// Load of a target; sampled by the target and possibly seconds old.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Age of the sample when it was sent, in milliseconds.
    pub age_ms: u64,
    /// Number of the report, which rises within one process start; 0 if reports have none.
    #[serde(default)]
    pub sequence: u64,
    /// The engine holds no base model and can't serve.
    #[serde(default)]
    pub base_missing: bool,
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait in the target.
    pub queued: u32,
    /// Adapters that are loaded or being loaded.
    #[serde(default)]
    pub adapters: Vec<AdapterStatus>,
}

/// State of one adapter on an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterStatus {
    /// Adapter and version.
    pub adapter: AdapterRef,
    /// Whether it can serve; false while it is being loaded.
    pub ready: bool,
    /// Requests that are running on it.
    pub running: u32,
}

/// Order to an engine: `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// Fencing number; engines that check it refuse one below the highest they have seen.
    pub epoch: Epoch,
    /// What to do.
    pub order: Order,
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Order {
    /// Load an adapter, first evicting another if given; answered when the adapter can serve.
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
    /// Only raise the fencing number.
    Fence,
}

/// Why an engine refused an order; HTTP status 409 or 422.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum OrderRefusal {
    /// The fencing number is old.
    #[error("fencing number is older than {highest}")]
    OldEpoch {
        /// Highest fencing number seen.
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

/// Request to generate text: `POST /v1/generate`, answered by server-sent `EngineEvent`s.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// Identifier that every event of the answer repeats.
    pub request: RequestId,
    /// Base model to run on.
    pub base_model: BaseModelId,
    /// Adapter and version to run on.
    pub adapter: AdapterRef,
    /// Prompt text; chat messages are rendered by the entry.
    pub prompt: String,
    /// Most tokens of the whole answer, including a part generated before a resume.
    pub max_tokens: u32,
    /// Sampling temperature.
    pub temperature: f64,
    /// Texts that end the answer.
    #[serde(default)]
    pub stop: Vec<String>,
    /// Seed of the sampling.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Position of the request in the engine's batch queue.
    pub priority: Priority,
    /// Time left for the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Point at which an interrupted answer goes on.
    #[serde(default)]
    pub resume: Option<Resume>,
}

/// Priority of a request; lower runs first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// Point at which an interrupted answer goes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resume {
    /// Tokens that were generated before.
    pub offset: u64,
    /// Text that was generated before.
    pub text: String,
}

/// Event of a generated answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum EngineEvent {
    /// Part of the text.
    Chunk(Chunk),
    /// End of the answer; nothing follows.
    End(End),
}

/// Part of a generated text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Request that the chunk belongs to.
    pub request: RequestId,
    /// Adapter and version that generated it.
    pub adapter: AdapterRef,
    /// Tokens before this chunk.
    pub offset: u64,
    /// Tokens in this chunk.
    pub tokens: u64,
    /// Generated text.
    pub text: String,
}

/// End of a generated answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Request that the answer belongs to.
    pub request: RequestId,
    /// Adapter and version that generated it.
    pub adapter: AdapterRef,
    /// Why the answer ended.
    pub finish_reason: FinishReason,
    /// Tokens of prompt and whole answer.
    pub usage: Usage,
}

/// Why a generated answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the text or a stop text was reached.
    Stop,
    /// The most tokens to generate were reached.
    Length,
}

/// Tokens used by a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the whole answer, also of a part generated before a resume.
    pub completion_tokens: Tokens,
}
