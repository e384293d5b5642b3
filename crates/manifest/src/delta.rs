//! Deltas between manifests, so that the cost of a change depends on its size, not the manifest's.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{AdapterId, BaseModelId, ServiceId, SubscriberId};

use crate::{Adapter, BaseModel, Service, Subscriber, WeightStore};

/// Changes that lead from one manifest to another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ManifestDelta {
    /// Changes to the base models.
    pub base_models: MapDelta<BaseModelId, BaseModel>,
    /// Changes to the adapters.
    pub adapters: MapDelta<AdapterId, Arc<Adapter>>,
    /// Changes to the subscribers.
    pub subscribers: MapDelta<SubscriberId, Arc<Subscriber>>,
    /// Changes to the services.
    pub services: MapDelta<ServiceId, Service>,
    /// New limits of the weight store; absent if unchanged.
    pub weight_store: Option<WeightStore>,
}

/// Changes that lead from one map to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "K: Ord + Deserialize<'de>, V: Deserialize<'de>"))]
pub struct MapDelta<K, V> {
    /// Added entries, and new values of changed ones.
    pub set: BTreeMap<K, V>,
    /// Keys of the removed entries.
    pub removed: BTreeSet<K>,
}

impl<K, V> Default for MapDelta<K, V> {
    fn default() -> Self {
        Self { set: BTreeMap::new(), removed: BTreeSet::new() }
    }
}
