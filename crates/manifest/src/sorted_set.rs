//! Sorted set in a single allocation.
//!
//! A B-tree node has room for eleven values, which takes up to 370 bytes for key hashes, but most
//! of 25,000 subscribers have one key, one pattern and one service.

use std::{borrow::Borrow, collections::BTreeSet};

use serde::{Deserialize, Serialize};

/// Set of values as a sorted slice without duplicates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "BTreeSet<T>",
    bound(serialize = "T: Serialize", deserialize = "T: Ord + Deserialize<'de>")
)]
pub struct SortedSet<T>(Box<[T]>);

impl<T: Ord> SortedSet<T> {
    /// Whether a value is in the set, by binary search.
    pub fn contains<Q>(&self, value: &Q) -> bool
    where
        T: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.0.binary_search_by(|own| own.borrow().cmp(value)).is_ok()
    }

    /// Removes a value; returns whether it was in the set. Reallocates the set.
    pub fn remove(&mut self, value: &T) -> bool {
        let Ok(index) = self.0.binary_search(value) else { return false };
        let mut values = std::mem::take(&mut self.0).into_vec();
        values.remove(index);
        self.0 = values.into_boxed_slice();
        true
    }
}

impl<T> SortedSet<T> {
    /// Iterates over the values in ascending order.
    pub fn iter(&self) -> std::slice::Iter<'_, T> {
        self.0.iter()
    }

    /// Number of distinct values.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the set has no values.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl<T> Default for SortedSet<T> {
    fn default() -> Self {
        Self(Box::default())
    }
}

impl<T> From<BTreeSet<T>> for SortedSet<T> {
    fn from(values: BTreeSet<T>) -> Self {
        Self(values.into_iter().collect())
    }
}

impl<T: Ord> FromIterator<T> for SortedSet<T> {
    fn from_iter<I: IntoIterator<Item = T>>(values: I) -> Self {
        values.into_iter().collect::<BTreeSet<_>>().into()
    }
}

impl<'a, T> IntoIterator for &'a SortedSet<T> {
    type Item = &'a T;
    type IntoIter = std::slice::Iter<'a, T>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}
