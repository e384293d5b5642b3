//! Server-sent events.

use bytes::Bytes;
use serde::Serialize;

/// Last event of a whole answer.
pub(crate) const DONE: Bytes = Bytes::from_static(b"data: [DONE]\n\n");

/// Formats a data event. JSON contains no line break, so one `data` line is enough.
pub(crate) fn data(value: &impl Serialize) -> Bytes {
    let mut buf = Vec::with_capacity(256);
    buf.extend_from_slice(b"data: ");
    write_json(&mut buf, value);
    buf.extend_from_slice(b"\n\n");
    buf.into()
}

/// Formats an error event.
pub(crate) fn error(problem: &impl Serialize) -> Bytes {
    let mut buf = b"event: error\ndata: ".to_vec();
    write_json(&mut buf, problem);
    buf.extend_from_slice(b"\n\n");
    buf.into()
}

fn write_json(buf: &mut Vec<u8>, value: &impl Serialize) {
    // Serialising strings and numbers to memory does not fail.
    let _ = serde_json::to_writer(buf, value);
}
