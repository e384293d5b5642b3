//! In-memory copy of the log entries that are not compacted.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use shallotdrum_types::{LogIndex, Term};

use crate::Membership;

/// Largest encoded command; sufficient for a manifest of 75,000 adapters.
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
    /// First entry of a leader's term, without a command.
    Noop,
    /// Encoded command of the state machine.
    Command(Bytes),
    /// Configuration that is in force from this entry on, even before it is committed.
    Membership(Membership),
}

impl Entry {
    /// Approximate encoded size.
    pub(crate) fn approx_size(&self) -> usize {
        // Upper bound on index, term, enum tag and length prefixes.
        const FIXED_BYTES: usize = 32;
        FIXED_BYTES
            + match &self.payload {
                Payload::Noop => 0,
                Payload::Command(bytes) => bytes.len(),
                // An instance id of at most 128 bytes and a disk id for each member.
                Payload::Membership(m) => 160 * m.members().count(),
            }
    }
}

/// Contiguous entries after a base position.
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

    /// Index just before the first entry.
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

    /// Term of the entry; `None` if the index is before the base or after the last entry.
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

    /// Removes all entries from the index of the given one on and appends it. There must be no gap.
    pub(crate) fn truncate_and_append(&mut self, entry: Arc<Entry>) {
        let keep = entry.index.0 - self.base.0 - 1;
        debug_assert!(keep <= self.entries.len() as u64, "gap before entry {}", entry.index);
        self.entries.truncate(keep as usize);
        self.entries.push_back(entry);
    }

    /// All entries after the index, in order.
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
                total += e.approx_size();
                is_first || total <= max_bytes
            })
            .cloned()
            .collect()
    }

    /// Drops all entries up to and including the index, which becomes the base.
    pub(crate) fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term(index) else { return };
        self.entries.drain(..(index.0 - self.base.0) as usize);
        (self.base, self.base_term) = (index, term);
    }
}
