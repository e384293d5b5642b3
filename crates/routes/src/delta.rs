//! Differences between route tables, so that a change costs what it changes.
//!
//! A table of a thousand routes takes more than half a megabyte, and every instance gets every
//! change. Routes and pools are compared one by one; the document is compressed against the
//! earlier one.
//!
//! Architecture Invariant: `a.apply(&a.diff(&b)?) == Ok(b)` for any two tables.

use std::{collections::HashMap, hash::Hash, io};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{Base64Bytes, Revision};

use crate::{CallerLimits, PoolSpec, Route, RouteTable};

/// Compression level of the document: the fastest, since successive documents hardly differ.
const DOCUMENT_LEVEL: i32 = 1;

/// Largest document of a difference in bytes; the largest that a front end takes.
const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// Difference between two route tables.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDelta {
    /// Revision of the table that the difference applies to.
    pub base: Revision,
    /// Revision of the new table.
    pub revision: Revision,
    routes: Vec<Piece<Route>>,
    pools: Vec<Piece<PoolSpec>>,
    limits: CallerLimits,
    /// New document, compressed with the earlier one as dictionary.
    document: Base64Bytes,
}

/// Part of a new list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Piece<T> {
    /// Entries of the earlier list.
    Keep {
        /// Position of the first one.
        from: usize,
        /// Number of entries.
        count: usize,
    },
    /// New or changed entries.
    Insert(Vec<T>),
}

/// Why a difference does not lead to a table.
#[derive(Debug, thiserror::Error)]
pub enum DeltaError {
    /// It applies to another table.
    #[error("the difference applies to revision {base}, not to revision {current}")]
    OtherBase {
        /// Revision that it applies to.
        base: Revision,
        /// Revision of the given table.
        current: Revision,
    },
    /// It refers to entries that the table does not have.
    #[error("the difference keeps {count} entries from {from} on, but the table has {len}")]
    OutOfRange {
        /// Position of the first entry.
        from: usize,
        /// Number of entries.
        count: usize,
        /// Length of the table's list.
        len: usize,
    },
    /// Its document cannot be compressed or decompressed.
    #[error("document of the difference: {0}")]
    Document(#[from] io::Error),
    /// Its document is no text.
    #[error("document of the difference: {0}")]
    Text(#[from] std::string::FromUtf8Error),
}

impl RouteTable {
    /// Difference that leads from this table to the newer one.
    pub fn diff(&self, newer: &RouteTable) -> Result<RouteDelta, DeltaError> {
        let dictionary = self.document.as_bytes();
        let mut compressor = zstd::bulk::Compressor::with_dictionary(DOCUMENT_LEVEL, dictionary)?;
        Ok(RouteDelta {
            base: self.revision,
            revision: newer.revision,
            routes: diff(&self.routes, &newer.routes, |r| (r.host.as_str(), r.prefix.as_str())),
            pools: diff(&self.pools, &newer.pools, |spec| &spec.pool),
            limits: newer.limits,
            document: Base64Bytes(compressor.compress(newer.document.as_bytes())?),
        })
    }

    /// Table that results from a difference.
    pub fn apply(&self, delta: &RouteDelta) -> Result<RouteTable, DeltaError> {
        if delta.base != self.revision {
            return Err(DeltaError::OtherBase { base: delta.base, current: self.revision });
        }
        let dictionary = self.document.as_bytes();
        let mut decompressor = zstd::bulk::Decompressor::with_dictionary(dictionary)?;
        let document = decompressor.decompress(&delta.document.0, MAX_DOCUMENT_BYTES)?;
        Ok(RouteTable {
            revision: delta.revision,
            routes: apply(&self.routes, &delta.routes)?,
            pools: apply(&self.pools, &delta.pools)?,
            limits: delta.limits,
            document: String::from_utf8(document)?,
        })
    }
}

fn diff<'a, T, K>(base: &'a [T], newer: &'a [T], key: impl Fn(&'a T) -> K) -> Vec<Piece<T>>
where
    T: Clone + PartialEq,
    K: Eq + Hash,
{
    let positions: HashMap<K, usize> =
        base.iter().enumerate().map(|(at, entry)| (key(entry), at)).collect();
    let mut pieces = Vec::new();
    for entry in newer {
        let kept = positions.get(&key(entry)).copied().filter(|at| base[*at] == *entry);
        match (kept, pieces.last_mut()) {
            (Some(at), Some(Piece::Keep { from, count })) if at == *from + *count => *count += 1,
            (Some(at), _) => pieces.push(Piece::Keep { from: at, count: 1 }),
            (None, Some(Piece::Insert(entries))) => entries.push(entry.clone()),
            (None, _) => pieces.push(Piece::Insert(vec![entry.clone()])),
        }
    }
    pieces
}

fn apply<T: Clone>(base: &[T], pieces: &[Piece<T>]) -> Result<Vec<T>, DeltaError> {
    let mut entries = Vec::new();
    for piece in pieces {
        match piece {
            Piece::Keep { from, count } => {
                let (from, count, len) = (*from, *count, base.len());
                let kept = from.checked_add(count).and_then(|end| base.get(from..end));
                entries.extend_from_slice(kept.ok_or(DeltaError::OutOfRange {
                    from,
                    count,
                    len,
                })?);
            }
            Piece::Insert(new) => entries.extend_from_slice(new),
        }
    }
    Ok(entries)
}
