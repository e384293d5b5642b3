//! Encoding of server-sent events.

use bytes::Bytes;
use serde::Serialize;

/// Last event of a complete stream, as in OpenAI's API.
pub(crate) const DONE: Bytes = Bytes::from_static(b"data: [DONE]\n\n");

/// Encodes a data event. Compact JSON has no line breaks, so one `data` line is enough.
pub(crate) fn data(value: &impl Serialize) -> Bytes {
    let mut buf = Vec::with_capacity(256);
    buf.extend_from_slice(b"data: ");
    write_json(&mut buf, value);
    buf.extend_from_slice(b"\n\n");
    buf.into()
}

/// Encodes an event of type `error`.
pub(crate) fn error(problem: &impl Serialize) -> Bytes {
    let mut buf = b"event: error\ndata: ".to_vec();
    write_json(&mut buf, problem);
    buf.extend_from_slice(b"\n\n");
    buf.into()
}

fn write_json(buf: &mut Vec<u8>, value: &impl Serialize) {
    // Serialising strings and numbers to memory cannot fail.
    let _ = serde_json::to_writer(buf, value);
}
