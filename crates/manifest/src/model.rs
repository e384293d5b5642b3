//! Data model of the manifest, as written in JSON.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{
    AdapterId, AdapterVersion, BaseModelId, KeyHash, PoolId, RatePerSecond, ServiceId,
    SubscriberId, Weight,
};

use crate::{SortedSet, Versions};

/// Everything that operators configure; replaced as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Base models by name.
    pub base_models: BTreeMap<BaseModelId, BaseModel>,
    /// Adapters by name; revisions share those that are equal.
    pub adapters: BTreeMap<AdapterId, Arc<Adapter>>,
    /// Subscribers by name; revisions share those that are equal.
    pub subscribers: BTreeMap<SubscriberId, Arc<Subscriber>>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, Service>,
    /// Limits of the store that adapters are loaded from.
    pub weight_store: WeightStore,
}

/// Base model and the pool of engines that serves it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BaseModel {
    /// Pool of engines that hold the base model.
    pub pool: PoolId,
    /// Longest context, prompt and answer together, in tokens.
    pub max_context_tokens: u32,
}

/// LoRA adapter with its versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Base model that the adapter belongs to.
    pub base_model: BaseModelId,
    /// Version used when a caller names none; a key of `versions`.
    pub current: AdapterVersion,
    /// Versions that callers may name.
    pub versions: Versions,
}

/// Where the weights of an adapter version are stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSource {
    /// Path in the weight store.
    pub path: String,
}

/// Flat-rate customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Subscriber {
    /// BLAKE3 hashes of the subscriber's bearer keys.
    pub key_hashes: SortedSet<KeyHash>,
    /// Share of contended capacity relative to the other subscribers.
    #[serde(default)]
    pub weight: Weight,
    /// Adapters and services that the subscriber may use.
    pub allow: Permissions,
    /// Upper limits of use.
    #[serde(default)]
    pub limits: Limits,
}

/// Adapters and services that a subscriber may use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Permissions {
    /// Names of adapters; a name that ends in `*` matches each adapter with that prefix.
    #[serde(default)]
    pub adapters: SortedSet<String>,
    /// Names of services.
    #[serde(default)]
    pub services: SortedSet<ServiceId>,
}

/// Upper limits of a subscriber's use; absent means unlimited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests that may be queued or running at a time, in each target group.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_concurrent_requests: Option<u32>,
    /// Generated tokens a request may ask for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_output_tokens: Option<u32>,
}

/// Plain service and the rules of its calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Pool of targets that runs the service.
    pub pool: PoolId,
    /// Rules by method and path; the first match applies. A call without a match may be
    /// repeated only if its method is GET, HEAD or OPTIONS.
    #[serde(default)]
    pub calls: Vec<CallRule>,
}

/// Rule that says whether calls may be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// HTTP method, in upper case.
    pub method: String,
    /// Prefix of the path below the service, starting with `/`.
    pub path_prefix: String,
    /// Whether a call may be sent again when its result is unknown.
    pub repeatable: bool,
}

/// Limits of the store that adapters are loaded from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// Loads that may start in a second, over all targets.
    pub loads_per_second: RatePerSecond,
    /// Loads that may be in flight at a time, over all targets.
    pub max_loads_in_flight: u32,
}
