//! The part of the log that is kept in memory: everything not yet compacted.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use shallotdrum_types::{LogIndex, Term};

use crate::Membership;

/// Largest encoded command. Leaves room for a manifest of 75,000 adapters.
pub(crate) const MAX_COMMAND_BYTES: usize = 16 << 20;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    pub(crate) payload: Payload,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Payload {
    /// Start of a leader's term.
    Noop,
    /// Encoded command of the state machine.
    Command(Bytes),
    /// Configuration in force from this entry on.
    Membership(Membership),
}

impl Entry {
    /// Approximate encoded size.
    pub(crate) fn size(&self) -> usize {
        // Index, term, tag and lengths take at most this much.
        const FIXED_BYTES: usize = 32;
        FIXED_BYTES
            + match &self.payload {
                Payload::Noop => 0,
                Payload::Command(bytes) => bytes.len(),
                // An id of at most 128 bytes and a disk id for each member.
                Payload::Membership(m) => 160 * m.members().count(),
            }
    }
}

/// Contiguous entries that follow a base position.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: LogIndex,
    base_term: Term,
    entries: VecDeque<Arc<Entry>>,
}

impl Log {
    pub(crate) fn new(base: LogIndex, base_term: Term) -> Self {
        Self { base, base_term, entries: VecDeque::new() }
    }

    /// Position just before the first kept entry.
    pub(crate) fn base(&self) -> LogIndex {
        self.base
    }

    pub(crate) fn base_term(&self) -> Term {
        self.base_term
    }

    pub(crate) fn last(&self) -> LogIndex {
        LogIndex(self.base.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Term of the entry, if it is kept or is the base.
    pub(crate) fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Arc<Entry>> {
        let offset = index.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Appends the entry, which must follow the last one, or replaces the tail from its index on.
    pub(crate) fn put(&mut self, entry: Arc<Entry>) {
        let keep = entry.index.0 - self.base.0 - 1;
        debug_assert!(keep <= self.entries.len() as u64, "gap before entry {}", entry.index);
        self.entries.truncate(keep as usize);
        self.entries.push_back(entry);
    }

    /// Entries after the index, up to the end, in order.
    pub(crate) fn after(&self, index: LogIndex) -> impl Iterator<Item = &Arc<Entry>> {
        let skip = index.0.saturating_sub(self.base.0) as usize;
        self.entries.range(skip.min(self.entries.len())..)
    }

    /// Entries after the index, limited to about the given size but at least one.
    pub(crate) fn batch(&self, after: LogIndex, max_bytes: usize) -> Vec<Arc<Entry>> {
        let mut total = 0;
        self.after(after)
            .take_while(|e| {
                let is_first = total == 0;
                total += e.size();
                is_first || total <= max_bytes
            })
            .cloned()
            .collect()
    }

    /// Drops all entries up to the index, which becomes the base.
    pub(crate) fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term(index) else { return };
        self.entries.drain(..(index.0 - self.base.0) as usize);
        (self.base, self.base_term) = (index, term);
    }
}
