//! Versions of an adapter in one allocation.
//!
//! A B-tree reserves room for eleven entries, over 450 bytes; most of 75,000 adapters have one or
//! two versions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize, Serializer};
use shallotdrum_types::AdapterVersion;

use crate::AdapterSource;

/// Versions of an adapter, ordered by name; each name occurs once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(from = "BTreeMap<AdapterVersion, AdapterSource>")]
pub struct Versions(Box<[(AdapterVersion, AdapterSource)]>);

impl Versions {
    /// Where the weights of a version are stored, if it exists.
    pub fn get(&self, version: &AdapterVersion) -> Option<&AdapterSource> {
        let place = self.0.binary_search_by(|(name, _)| name.cmp(version)).ok()?;
        Some(&self.0[place].1)
    }

    /// Whether a version exists.
    pub fn contains(&self, version: &AdapterVersion) -> bool {
        self.get(version).is_some()
    }

    /// Versions in the order of their names.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&AdapterVersion, &AdapterSource)> {
        self.0.iter().map(|(version, source)| (version, source))
    }

    /// Number of versions.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is no version.
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
    /// Collects versions; of several with one name, the last is kept.
    fn from_iter<I: IntoIterator<Item = (AdapterVersion, AdapterSource)>>(versions: I) -> Self {
        versions.into_iter().collect::<BTreeMap<_, _>>().into()
    }
}

impl Serialize for Versions {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter())
    }
}
