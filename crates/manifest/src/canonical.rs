//! Canonical JSON, digest, and computing and applying deltas.
//!
//! Architecture Invariant: `a.apply(&a.diff(&b)) == b` for any two manifests.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    io::{BufWriter, Write},
};

use serde::Serialize;
use shallotdrum_types::{Digest, RatePerSecond};

use crate::{Manifest, ManifestDelta, MapDelta, WeightStore};

/// Size of the buffer in front of the hasher; the serializer writes a few bytes at a time.
const HASH_BUF_BYTES: usize = 64 * 1024;

impl Manifest {
    /// Returns the manifest that the first submission is based on; it has no entries.
    pub fn empty() -> Self {
        Self {
            base_models: BTreeMap::new(),
            adapters: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            services: BTreeMap::new(),
            weight_store: WeightStore {
                loads_per_second: RatePerSecond::new(1.0).expect("1 is above zero"),
                max_loads_in_flight: 1,
            },
        }
    }

    /// Serializes to canonical JSON: ordered keys, no white space.
    pub fn to_canonical_json(&self) -> Vec<u8> {
        let mut json = Vec::new();
        self.write_canonical(&mut json);
        json
    }

    /// Hashes the canonical JSON, without keeping it in memory.
    pub fn digest(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        let mut buf = BufWriter::with_capacity(HASH_BUF_BYTES, &mut hasher);
        self.write_canonical(&mut buf);
        buf.flush().expect("a hasher accepts all bytes");
        drop(buf);
        Digest::from_bytes(*hasher.finalize().as_bytes())
    }

    /// Returns the delta from this manifest to a newer one.
    pub fn diff(&self, newer: &Manifest) -> ManifestDelta {
        ManifestDelta {
            base_models: diff_maps(&self.base_models, &newer.base_models),
            adapters: diff_maps(&self.adapters, &newer.adapters),
            subscribers: diff_maps(&self.subscribers, &newer.subscribers),
            services: diff_maps(&self.services, &newer.services),
            weight_store: (self.weight_store != newer.weight_store)
                .then(|| newer.weight_store.clone()),
        }
    }

    /// Returns the manifest that results from a delta; it must still be validated by `check`.
    #[must_use]
    pub fn apply(&self, delta: &ManifestDelta) -> Manifest {
        Manifest {
            base_models: apply_map(&self.base_models, &delta.base_models),
            adapters: apply_map(&self.adapters, &delta.adapters),
            subscribers: apply_map(&self.subscribers, &delta.subscribers),
            services: apply_map(&self.services, &delta.services),
            weight_store: delta.weight_store.clone().unwrap_or_else(|| self.weight_store.clone()),
        }
    }

    fn write_canonical(&self, out: &mut impl Write) {
        let mut serializer = serde_json::Serializer::new(out);
        // All keys are strings, all floats are finite, and writing to either writer can't fail.
        self.serialize(&mut serializer).expect("a manifest is representable as JSON");
    }
}

impl ManifestDelta {
    /// Whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.base_models.is_empty()
            && self.adapters.is_empty()
            && self.subscribers.is_empty()
            && self.services.is_empty()
            && self.weight_store.is_none()
    }

    /// Lists the added, changed and removed names, relative to the manifest `base`.
    pub fn summary(&self, base: &Manifest) -> DeltaSummary {
        DeltaSummary {
            base_models: summarize(&base.base_models, &self.base_models),
            adapters: summarize(&base.adapters, &self.adapters),
            subscribers: summarize(&base.subscribers, &self.subscribers),
            services: summarize(&base.services, &self.services),
            weight_store: self.weight_store.is_some(),
        }
    }
}

impl<K, V> MapDelta<K, V> {
    /// Whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }
}

/// Names of the entries that a delta adds, changes and removes, for display to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DeltaSummary {
    /// Affected base models.
    pub base_models: MapDeltaSummary,
    /// Affected adapters.
    pub adapters: MapDeltaSummary,
    /// Affected subscribers.
    pub subscribers: MapDeltaSummary,
    /// Affected services.
    pub services: MapDeltaSummary,
    /// Whether the limits of the weight store change.
    pub weight_store: bool,
}

/// Names of the affected entries of one map.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MapDeltaSummary {
    /// Keys that are not in the base manifest.
    pub added: Vec<String>,
    /// Keys whose values differ from the base manifest.
    pub changed: Vec<String>,
    /// Keys that are only in the base manifest.
    pub removed: Vec<String>,
}

impl fmt::Display for DeltaSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kinds = [
            ("base models", &self.base_models),
            ("adapters", &self.adapters),
            ("subscribers", &self.subscribers),
            ("services", &self.services),
        ];
        for (kind, names) in kinds {
            let (added, changed, removed) =
                (names.added.len(), names.changed.len(), names.removed.len());
            writeln!(f, "{kind}: {added} added, {changed} changed, {removed} removed")?;
            for (sign, names) in [('+', &names.added), ('~', &names.changed), ('-', &names.removed)]
            {
                for name in names {
                    writeln!(f, "  {sign} {name}")?;
                }
            }
        }
        let store = if self.weight_store { "changed" } else { "unchanged" };
        writeln!(f, "weight store: {store}")
    }
}

fn diff_maps<K, V>(older: &BTreeMap<K, V>, newer: &BTreeMap<K, V>) -> MapDelta<K, V>
where
    K: Clone + Ord,
    V: Clone + PartialEq,
{
    let set = newer
        .iter()
        .filter(|(key, value)| older.get(*key) != Some(*value))
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect();
    let removed: BTreeSet<K> =
        older.keys().filter(|key| !newer.contains_key(*key)).cloned().collect();
    MapDelta { set, removed }
}

fn apply_map<K, V>(base: &BTreeMap<K, V>, delta: &MapDelta<K, V>) -> BTreeMap<K, V>
where
    K: Clone + Ord,
    V: Clone,
{
    let mut map = base.clone();
    for key in &delta.removed {
        map.remove(key);
    }
    map.extend(delta.set.iter().map(|(key, value)| (key.clone(), value.clone())));
    map
}

fn summarize<K, V>(base: &BTreeMap<K, V>, delta: &MapDelta<K, V>) -> MapDeltaSummary
where
    K: Ord + fmt::Display,
{
    let (changed, added): (Vec<&K>, Vec<&K>) =
        delta.set.keys().partition(|key| base.contains_key(*key));
    let names = |keys: Vec<&K>| keys.into_iter().map(K::to_string).collect();
    MapDeltaSummary {
        added: names(added),
        changed: names(changed),
        removed: names(delta.removed.iter().filter(|key| base.contains_key(*key)).collect()),
    }
}
