//! Reads request bodies, and the bodies of responses that are not streamed, within the memory of the
//! instance (`held`).
//!
//! A target in trouble may send bytes without end, and a caller may take long to send a body. Part of the
//! memory is left to small bodies, so that those of others do not fail because of it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use shallotdrum_links::WitnessUse;
use shallotdrum_telemetry::event;
use shallotdrum_types::{RequestError, RequestErrorKind};
use tokio::time::timeout;

use crate::{BodyEnd, Connection, Framing, Gateway, HeldBytes, HeldMemory, NoMemory};

/// Maximum body size of a response that is not streamed; plain services return a few kilobytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Size up to which a response is small; larger than most responses.
const SMALL_RESPONSE_BYTES: usize = 64 * 1024;

/// Maximum size of all responses that are being read, without the part of each up to which it is small. A
/// few targets in trouble take no more, whatever the instance's memory.
const MAX_READ_BYTES: usize = 16 * 1024 * 1024;

/// Size up to which a request body is small.
const SMALL_REQUEST_BYTES: usize = 16 * 1024;

/// `Retry-After` of a request whose body has no room: some of the bodies have been sent on by then.
const RETRY_AFTER_MEMORY: Duration = Duration::from_secs(1);

/// Size that a part of a body counts at least, since the work on it does not depend on its length. A body
/// of the maximum size may come in 65,536 parts.
const MIN_PART_BYTES: usize = 256;

/// Step by which the buffer of a large body grows, so that little of it is unused.
const MAX_GROWTH_BYTES: usize = 1024 * 1024;

/// Maximum time to read a body that is not needed: some round trips, as it is short. Opening another
/// connection takes no longer.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The connection broke.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The body ended with its connection, and nothing shows that it is complete.
    #[error("the connection ended, and nothing shows that the body is complete: {}", .0.evidence())]
    Unproven(BodyEnd),
    /// The body is too long, or comes in too many parts.
    #[error("the body exceeds {0} bytes, or comes in as many parts as one of that length may")]
    TooLong(usize),
    /// Other bodies take the memory.
    #[error(transparent)]
    NoMemory(#[from] NoMemory),
}

/// Body that arrives in parts, held in one buffer.
///
/// A part keeps the whole buffer alive that it was read into, so many small ones would take a multiple
/// of their length.
#[derive(Debug, Default)]
pub struct CollectedBody {
    /// The only part so far, not copied.
    first: Bytes,
    buf: Vec<u8>,
}

impl CollectedBody {
    /// Appends a part.
    pub fn push(&mut self, part: Bytes) {
        if self.is_empty() {
            self.first = part;
            return;
        }
        let first = std::mem::take(&mut self.first);
        for part in [first, part] {
            self.reserve(part.len());
            self.buf.extend_from_slice(&part);
        }
    }

    fn reserve(&mut self, len: usize) {
        if self.buf.capacity() - self.buf.len() < len {
            self.buf.reserve_exact(len.max(self.buf.len().min(MAX_GROWTH_BYTES)));
        }
    }

    /// Whether no byte has arrived.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.first.len() + self.buf.len()
    }

    /// Number of bytes of memory.
    pub fn held(&self) -> usize {
        self.first.len() + self.buf.capacity()
    }

    /// Returns the body.
    pub fn into_bytes(self) -> Bytes {
        match self.buf.is_empty() {
            true => self.first,
            false => self.buf.into(),
        }
    }
}

impl HeldMemory {
    /// Reads the body of a response to its end.
    pub(crate) async fn read(
        &self,
        framing: Framing,
        mut body: Incoming,
        connection: &Connection,
        witness: Option<&WitnessUse>,
    ) -> Result<(Bytes, BodyEnd), BodyError> {
        let (mut held, mut counted) = (self.begin(), self.begin_reading());
        let (mut collected, mut cost) = (CollectedBody::default(), 0);
        while let Some(frame) = body.frame().await {
            connection.record_heard();
            let Ok(data) = frame?.into_data() else { continue };
            cost += data.len().max(MIN_PART_BYTES);
            if cost > MAX_RESPONSE_BYTES {
                return Err(BodyError::TooLong(MAX_RESPONSE_BYTES));
            }
            collected.push(data);
            counted
                .grow_to(collected.held().saturating_sub(SMALL_RESPONSE_BYTES), MAX_READ_BYTES)?;
            held.grow_to(collected.held(), SMALL_RESPONSE_BYTES)?;
        }
        let end = BodyEnd::check(framing, witness).await;
        match end.is_complete() {
            true => Ok((held.attach(collected.into_bytes()), end)),
            false => Err(BodyError::Unproven(end)),
        }
    }
}

/// Reads a short body that is not needed, and may never come to its end; whether it did.
pub(crate) async fn discard(mut body: Incoming) -> bool {
    let read = async {
        let mut len = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            len += frame.data_ref().map_or(0, Bytes::len).max(MIN_PART_BYTES);
            if len > SMALL_RESPONSE_BYTES {
                return false;
            }
        }
        true
    };
    timeout(DISCARD_TIMEOUT, read).await.unwrap_or(false)
}

impl Gateway {
    /// Begins to count a request body.
    pub fn begin_body(&self) -> HeldBytes {
        self.memory.begin()
    }

    /// Takes memory for a request body that takes this many bytes by now; fails if there is no room.
    pub fn hold_body(
        &self,
        request: &str,
        held: &mut HeldBytes,
        bytes: usize,
    ) -> Result<(), RequestError> {
        let Err(full) = held.grow_to(bytes, SMALL_REQUEST_BYTES) else { return Ok(()) };
        let error = RequestError::not_run(RequestErrorKind::Overloaded, full.to_string())
            .retry_after(RETRY_AFTER_MEMORY);
        self.cx.metrics.refused_bodies().inc();
        self.cx.metrics.finished(&error.outcome.to_string(), error.kind.code());
        event!(self.cx.log, BODY_REFUSED; "request" => request, "bytes" => bytes,
            "detail" => &error.detail);
        Err(error)
    }
}
