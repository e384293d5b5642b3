//! Splits a stream of server-sent events at event boundaries.
//!
//! Architecture Invariant: the splitter returns only complete events, so a stream that breaks
//! within an event can resume at another target with that event.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event; engines send some tokens in each.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Maximum number of parts that an event may come in; the work on a part does not depend on its length.
/// Events take a few hundred bytes, and few parts of one byte each.
const MAX_EVENT_PARTS: usize = 4 * 1024;

/// Error of a stream with an event that is too long, or that does not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes or {MAX_EVENT_PARTS} parts")]
pub struct EventTooLong;

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Number of parts since the last complete event.
    parts: usize,
}

impl EventSplitter {
    /// Appends bytes and returns the events that they complete; fails if an event is too long.
    pub fn push(&mut self, part: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        // A delimiter may span the boundary between the pending bytes and the new ones.
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(part);
        let complete = last_event_end(&self.pending[searched..])
            .map(|end| self.pending.split_to(end + searched).freeze());
        self.parts = if complete.is_some() { 0 } else { self.parts + 1 };
        if self.pending.len() > MAX_EVENT_BYTES || self.parts > MAX_EVENT_PARTS {
            return Err(EventTooLong);
        }
        Ok(complete)
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// Returns the index after the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = [b"\n\n".as_slice(), b"\r\n\r\n".as_slice()].into_iter().filter_map(|end| {
        let at = bytes.windows(end.len()).rposition(|window| window == end)?;
        Some(at + end.len())
    });
    ends.max()
}
