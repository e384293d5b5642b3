//! Splits a stream of server-sent events at their ends.
//!
//! Architecture Invariant: only whole events leave the splitter, so a stream that breaks in the
//! middle of an event can go on at another target with that event.

use bytes::{Bytes, BytesMut};

/// Collects bytes and returns whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes; returns the events that they complete.
    pub fn push(&mut self, part: &[u8]) -> Option<Bytes> {
        // An end may lie across the former end of the pending bytes.
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(part);
        let end = last_event_end(&self.pending[searched..])? + searched;
        let whole = self.pending.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Identifier of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether bytes of an incomplete event are pending.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops the bytes of an incomplete event.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
    }
}

/// Index behind the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = [b"\n\n".as_slice(), b"\r\n\r\n".as_slice()].into_iter().filter_map(|end| {
        let at = bytes.windows(end.len()).rposition(|window| window == end)?;
        Some(at + end.len())
    });
    ends.max()
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
