//! Current route table and current version of each adapter.
//!
//! Architecture Invariant: the revision of the table and the version of an adapter never decrease.
//! A command that would not increase them is accepted without effect, so an operator may resend a
//! change after a lost reply.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use shallotdrum_routes::{RouteDelta, RouteIndex, RouteTable};
use shallotdrum_types::{AdapterId, BaseModelId, Revision};

use crate::CommandError;

/// Current route table and current version of each adapter.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Routes {
    #[serde(serialize_with = "serialize_table", deserialize_with = "deserialize_table")]
    index: Option<Arc<RouteIndex>>,
    /// Versions set by operators; all other adapters have their initial version.
    versions: BTreeMap<BaseModelId, BTreeMap<AdapterId, u64>>,
}

impl PartialEq for Routes {
    fn eq(&self, other: &Self) -> bool {
        self.table() == other.table() && self.versions == other.versions
    }
}

impl Routes {
    pub(crate) fn index(&self) -> Option<&Arc<RouteIndex>> {
        self.index.as_ref()
    }

    pub(crate) fn table(&self) -> Option<&Arc<RouteTable>> {
        self.index.as_ref().map(|index| index.table())
    }

    pub(crate) fn revision(&self) -> Revision {
        self.table().map_or(Revision(0), |table| table.revision)
    }

    /// Replaces the table if the revision is higher; returns the resulting revision.
    pub(crate) fn put(&mut self, table: Arc<RouteTable>) -> Revision {
        if self.index.is_none() || table.revision > self.revision() {
            self.index = Some(Arc::new(RouteIndex::new(table)));
        }
        self.revision()
    }

    /// Applies a delta to the table if its revision is higher; returns the resulting revision.
    pub(crate) fn patch(&mut self, delta: &RouteDelta) -> Result<Revision, CommandError> {
        let current = self.revision();
        if delta.revision <= current {
            return Ok(current);
        }
        let table = match self.table() {
            Some(table) if delta.base == current => table.apply(delta),
            _ => return Err(CommandError::RoutesConflict { base: delta.base, current }),
        };
        let table = table.map_err(|error| CommandError::RoutesInvalid(error.to_string()))?;
        Ok(self.put(Arc::new(table)))
    }

    pub(crate) fn version(&self, base: &BaseModelId, adapter: &AdapterId) -> Option<u64> {
        self.versions.get(base)?.get(adapter).copied()
    }

    /// Sets the version of an adapter unless it is lower than the current one.
    pub(crate) fn raise_version(&mut self, base: BaseModelId, adapter: AdapterId, version: u64) {
        let current = self.versions.entry(base).or_default().entry(adapter).or_default();
        *current = version.max(*current);
    }
}

fn serialize_table<S: Serializer>(
    index: &Option<Arc<RouteIndex>>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    index.as_ref().map(|index| index.table().as_ref()).serialize(serializer)
}

fn deserialize_table<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Arc<RouteIndex>>, D::Error> {
    let table = Option::<RouteTable>::deserialize(deserializer)?;
    Ok(table.map(|table| Arc::new(RouteIndex::new(Arc::new(table)))))
}
