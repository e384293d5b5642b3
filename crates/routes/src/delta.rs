//! Deltas between route tables, whose size depends on the change instead of the table.
//!
//! A table of a thousand routes takes more than half a megabyte, and each change is sent to all
//! instances. Routes and pools are compared entry by entry; the document is compressed with the
//! previous document as dictionary.
//!
//! Architecture Invariant: `a.apply(&a.diff(&b)?) == Ok(b)` for any two tables.

use std::{collections::HashMap, hash::Hash, io, sync::Arc};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{Base64Bytes, Revision};

use crate::{CallerLimits, Customer, PoolSpec, Route, RouteTable};

/// Compression level of the document. The fastest one suffices, since successive documents
/// hardly differ.
const DOCUMENT_LEVEL: i32 = 1;

/// Limit on the decompressed document in bytes: the largest document that a front end accepts.
const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// Delta that turns one route table into another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDelta {
    /// Revision of the table that the delta applies to.
    pub base: Revision,
    /// Revision of the resulting table.
    pub revision: Revision,
    routes: Vec<ListEdit<Arc<Route>>>,
    pools: Vec<ListEdit<PoolSpec>>,
    /// Absent if the new table has no list of customers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    customers: Option<Vec<ListEdit<Arc<Customer>>>>,
    limits: CallerLimits,
    /// New document, compressed with the base document as dictionary.
    document: Base64Bytes,
}

/// Run of consecutive entries in the new list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ListEdit<T> {
    /// Entries that are copied from the base list.
    Keep {
        /// Index of the first entry in the base list.
        from: usize,
        /// Number of entries.
        count: usize,
    },
    /// Entries that are new or changed.
    Insert(Vec<T>),
}

/// Why a delta cannot be computed or applied.
#[derive(Debug, thiserror::Error)]
pub enum DeltaError {
    /// The delta was computed against another table.
    #[error("the route delta applies to revision {base}, not to revision {current}")]
    BaseMismatch {
        /// Revision that the delta applies to.
        base: Revision,
        /// Revision of the given table.
        current: Revision,
    },
    /// The delta copies entries beyond the end of a list of the table.
    #[error("the route delta copies {count} entries from index {from}, but the list has {len}")]
    OutOfRange {
        /// Index of the first entry.
        from: usize,
        /// Number of entries.
        count: usize,
        /// Length of the list in the base table.
        len: usize,
    },
    /// The document cannot be compressed or decompressed.
    #[error("cannot compress or decompress the document of a route delta: {0}")]
    Document(#[from] io::Error),
    /// The decompressed document is not UTF-8.
    #[error("the document of a route delta is not UTF-8: {0}")]
    Text(#[from] std::string::FromUtf8Error),
}

impl RouteTable {
    /// Computes the delta from this table to a newer one.
    pub fn diff(&self, newer: &RouteTable) -> Result<RouteDelta, DeltaError> {
        let dictionary = self.document.as_bytes();
        let mut compressor = zstd::bulk::Compressor::with_dictionary(DOCUMENT_LEVEL, dictionary)?;
        Ok(RouteDelta {
            base: self.revision,
            revision: newer.revision,
            routes: diff(&self.routes, &newer.routes, |r| (r.host.as_str(), r.prefix.as_str())),
            pools: diff(&self.pools, &newer.pools, |spec| &spec.pool),
            customers: newer.customers.as_ref().map(|newer| {
                diff(self.customers.as_deref().unwrap_or_default(), newer, |c| &c.name)
            }),
            limits: newer.limits,
            document: Base64Bytes(compressor.compress(newer.document.as_bytes())?),
        })
    }

    /// Computes the table that results from a delta.
    pub fn apply(&self, delta: &RouteDelta) -> Result<RouteTable, DeltaError> {
        if delta.base != self.revision {
            return Err(DeltaError::BaseMismatch { base: delta.base, current: self.revision });
        }
        let dictionary = self.document.as_bytes();
        let mut decompressor = zstd::bulk::Decompressor::with_dictionary(dictionary)?;
        let document = decompressor.decompress(&delta.document.0, MAX_DOCUMENT_BYTES)?;
        let customers = delta.customers.as_ref().map(|edits| {
            let base = self.customers.as_deref().unwrap_or_default();
            apply(base, edits)
        });
        Ok(RouteTable {
            revision: delta.revision,
            routes: apply(&self.routes, &delta.routes)?,
            pools: apply(&self.pools, &delta.pools)?,
            customers: customers.transpose()?,
            limits: delta.limits,
            document: String::from_utf8(document)?,
        })
    }
}

impl RouteDelta {
    /// Whether the new table has a list of customers.
    pub fn has_customers(&self) -> bool {
        self.customers.is_some()
    }
}

fn diff<'a, T, K>(base: &'a [T], newer: &'a [T], key: impl Fn(&'a T) -> K) -> Vec<ListEdit<T>>
where
    T: Clone + PartialEq,
    K: Eq + Hash,
{
    let positions: HashMap<K, usize> =
        base.iter().enumerate().map(|(at, entry)| (key(entry), at)).collect();
    let mut edits = Vec::new();
    for entry in newer {
        let kept = positions.get(&key(entry)).copied().filter(|at| base[*at] == *entry);
        match (kept, edits.last_mut()) {
            (Some(at), Some(ListEdit::Keep { from, count })) if at == *from + *count => *count += 1,
            (Some(at), _) => edits.push(ListEdit::Keep { from: at, count: 1 }),
            (None, Some(ListEdit::Insert(entries))) => entries.push(entry.clone()),
            (None, _) => edits.push(ListEdit::Insert(vec![entry.clone()])),
        }
    }
    edits
}

fn apply<T: Clone>(base: &[T], edits: &[ListEdit<T>]) -> Result<Vec<T>, DeltaError> {
    let mut entries = Vec::new();
    for edit in edits {
        match edit {
            ListEdit::Keep { from, count } => {
                let (from, count, len) = (*from, *count, base.len());
                let kept = from.checked_add(count).and_then(|end| base.get(from..end));
                entries.extend_from_slice(kept.ok_or(DeltaError::OutOfRange {
                    from,
                    count,
                    len,
                })?);
            }
            ListEdit::Insert(new) => entries.extend_from_slice(new),
        }
    }
    Ok(entries)
}
