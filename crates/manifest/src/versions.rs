//! Versions of an adapter in a single allocation.
//!
//! A B-tree node has room for eleven entries, which takes over 450 bytes, but most of 75,000
//! adapters have one or two versions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize, Serializer};
use shallotdrum_types::AdapterVersion;

use crate::AdapterSource;

/// Versions of an adapter as a slice sorted by name, without duplicate names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(from = "BTreeMap<AdapterVersion, AdapterSource>")]
pub struct Versions(Box<[(AdapterVersion, AdapterSource)]>);

impl Versions {
    /// Returns the source of a version's weights; `None` if the version does not exist.
    pub fn get(&self, version: &AdapterVersion) -> Option<&AdapterSource> {
        let index = self.0.binary_search_by(|(name, _)| name.cmp(version)).ok()?;
        Some(&self.0[index].1)
    }

    /// Whether the adapter has a version.
    pub fn contains(&self, version: &AdapterVersion) -> bool {
        self.get(version).is_some()
    }

    /// Iterates over the versions in ascending order of name.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&AdapterVersion, &AdapterSource)> {
        self.0.iter().map(|(version, source)| (version, source))
    }

    /// Number of distinct versions.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the adapter has no versions.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<BTreeMap<AdapterVersion, AdapterSource>> for Versions {
    fn from(versions: BTreeMap<AdapterVersion, AdapterSource>) -> Self {
        Self(versions.into_iter().collect())
    }
}

impl FromIterator<(AdapterVersion, AdapterSource)> for Versions {
    /// Collects versions; if a name occurs several times, the last one is kept.
    fn from_iter<I: IntoIterator<Item = (AdapterVersion, AdapterSource)>>(versions: I) -> Self {
        versions.into_iter().collect::<BTreeMap<_, _>>().into()
    }
}

impl Serialize for Versions {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter())
    }
}
