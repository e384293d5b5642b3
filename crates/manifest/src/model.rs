//! Data model of the manifest, as serialized in JSON.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{
    AdapterId, AdapterVersion, BaseModelId, KeyHash, PoolId, RatePerSecond, ServiceId,
    SubscriberId, Weight,
};

use crate::{SortedSet, Versions};

/// Configuration of models, subscribers and services; operators submit it as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Base models by name, which is the first part of a model name.
    pub base_models: BTreeMap<BaseModelId, BaseModel>,
    /// Adapters by name; successive revisions share unchanged ones.
    pub adapters: BTreeMap<AdapterId, Arc<Adapter>>,
    /// Subscribers by name; successive revisions share unchanged ones.
    pub subscribers: BTreeMap<SubscriberId, Arc<Subscriber>>,
    /// Plain HTTP services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, Service>,
    /// Limits on loading adapters from the weight store.
    pub weight_store: WeightStore,
}

/// Base model and the engine pool that serves it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BaseModel {
    /// Pool of engines that have the base model loaded.
    pub pool: PoolId,
    /// Maximum context length, in tokens, of prompt and output together.
    pub max_context_tokens: u32,
}

/// LoRA adapter with its versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Base model that the adapter belongs to.
    pub base_model: BaseModelId,
    /// Version used if a request names none; must be in `versions`.
    pub current: AdapterVersion,
    /// Versions that requests may name.
    pub versions: Versions,
}

/// Location of the weights of an adapter version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSource {
    /// Path in the weight store, without `..` segments.
    pub path: String,
}

/// Flat-rate customer, its keys and its permissions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Subscriber {
    /// BLAKE3 hashes of the subscriber's API keys.
    pub key_hashes: SortedSet<KeyHash>,
    /// Fair-share weight relative to the other subscribers, applied when capacity is contended.
    #[serde(default)]
    pub weight: Weight,
    /// Adapters and services that the subscriber may use.
    pub allow: Permissions,
    /// Limits on the subscriber's requests.
    #[serde(default)]
    pub limits: Limits,
}

/// Adapters and services that a subscriber may use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Permissions {
    /// Names of adapters, or prefixes followed by `*`.
    #[serde(default)]
    pub adapters: SortedSet<String>,
    /// Names of services; there are no patterns.
    #[serde(default)]
    pub services: SortedSet<ServiceId>,
}

/// Limits on a subscriber's requests; an absent limit means unlimited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of queued and running requests in each target group.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_concurrent_requests: Option<u32>,
    /// Maximum number of generated tokens per request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_output_tokens: Option<u32>,
}

/// Plain HTTP service and the rules for repeating its calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Pool of targets that run the service.
    pub pool: PoolId,
    /// Rules in order of precedence; the first match applies. A call without a match may be
    /// repeated only if its method is GET, HEAD or OPTIONS.
    #[serde(default)]
    pub calls: Vec<CallRule>,
}

/// Rule that determines whether matching calls may be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// HTTP method that the rule matches, in upper case.
    pub method: String,
    /// Path prefix that the rule matches by whole segments; relative to the service's root, starts
    /// with `/`.
    pub path_prefix: String,
    /// Whether a matching call may be sent again when its result is unknown.
    pub repeatable: bool,
}

/// Limits on loading adapters from the weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// Maximum rate at which loads start, over all targets.
    pub loads_per_second: RatePerSecond,
    /// Maximum number of concurrent loads, over all targets.
    pub max_loads_in_flight: u32,
}
