//! Map from names to small numeric keys, with a value for each.

use std::{
    collections::HashMap,
    hash::Hash,
    ops::{Index, IndexMut},
};

/// Values indexed by key, with an index by name. Keys of removed rows are reused.
#[derive(Clone, Debug)]
pub(crate) struct Table<N, V> {
    index: HashMap<N, usize>,
    rows: Vec<Option<(N, V)>>,
    free: Vec<usize>,
}

impl<N: Clone + Eq + Hash, V> Table<N, V> {
    pub(crate) fn new() -> Self {
        Self { index: HashMap::new(), rows: Vec::new(), free: Vec::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.index.len()
    }

    pub(crate) fn key(&self, name: &N) -> Option<usize> {
        self.index.get(name).copied()
    }

    pub(crate) fn key_or_insert_with(&mut self, name: &N, make: impl FnOnce() -> V) -> usize {
        if let Some(key) = self.key(name) {
            return key;
        }
        let row = Some((name.clone(), make()));
        let key = match self.free.pop() {
            Some(key) => {
                self.rows[key] = row;
                key
            }
            None => {
                self.rows.push(row);
                self.rows.len() - 1
            }
        };
        self.index.insert(name.clone(), key);
        key
    }

    pub(crate) fn name(&self, key: usize) -> &N {
        &self.row(key).0
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, &N, &V)> {
        self.rows.iter().enumerate().filter_map(|(key, row)| {
            let (name, value) = row.as_ref()?;
            Some((key, name, value))
        })
    }

    /// Removes the rows for which `keep` returns false.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(usize, &V) -> bool) {
        for (key, slot) in self.rows.iter_mut().enumerate() {
            if let Some((name, _)) = slot.take_if(|(_, value)| !keep(key, value)) {
                self.index.remove(&name);
                self.free.push(key);
            }
        }
    }

    fn row(&self, key: usize) -> &(N, V) {
        self.rows[key].as_ref().expect("key of a removed row")
    }
}

impl<N: Clone + Eq + Hash, V> Index<usize> for Table<N, V> {
    type Output = V;

    fn index(&self, key: usize) -> &V {
        &self.row(key).1
    }
}

impl<N: Clone + Eq + Hash, V> IndexMut<usize> for Table<N, V> {
    fn index_mut(&mut self, key: usize) -> &mut V {
        &mut self.rows[key].as_mut().expect("key of a removed row").1
    }
}
