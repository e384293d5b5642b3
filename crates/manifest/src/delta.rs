//! Differences between manifests, so that a change costs what it changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{AdapterId, BaseModelId, ServiceId, SubscriberId};

use crate::{Adapter, BaseModel, Service, Subscriber, WeightStore};

/// Difference between two manifests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ManifestDelta {
    /// Changed base models.
    pub base_models: MapDelta<BaseModelId, BaseModel>,
    /// Changed adapters.
    pub adapters: MapDelta<AdapterId, Arc<Adapter>>,
    /// Changed subscribers.
    pub subscribers: MapDelta<SubscriberId, Arc<Subscriber>>,
    /// Changed services.
    pub services: MapDelta<ServiceId, Service>,
    /// New limits of the weight store, if changed.
    pub weight_store: Option<WeightStore>,
}

/// Difference between two maps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "K: Ord + Deserialize<'de>, V: Deserialize<'de>"))]
pub struct MapDelta<K, V> {
    /// Added or replaced values.
    pub set: BTreeMap<K, V>,
    /// Removed keys.
    pub removed: BTreeSet<K>,
}

impl<K, V> Default for MapDelta<K, V> {
    fn default() -> Self {
        Self { set: BTreeMap::new(), removed: BTreeSet::new() }
    }
}
