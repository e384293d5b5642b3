//! Checked stream of a generated answer.
//!
//! Architecture Invariant: the chunks that `CompletionStream` returns belong to the request and run
//! on the adapter and version that were asked for, and their offsets are contiguous from the resume
//! offset. `End` is returned only after every token that it counts.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use shallotdrum_types::{AdapterRef, RequestId, Tokens};
use tokio::time::{Instant, timeout, timeout_at};

use crate::{Chunk, CompletionRequest, End, EngineEvent, client::error_chain};

/// Longest line of the stream; one chunk of text and its names are far below it.
pub const MAX_LINE_BYTES: usize = 256 * 1024;
/// Most chunks held back while an earlier one is missing; engines reorder neighbours only.
pub const MAX_HELD_CHUNKS: usize = 16;
/// Time to read the end of the body after `End`, so that the connection can be used again.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Checked events of the answer to one request.
pub struct CompletionStream {
    body: Option<Incoming>,
    lines: LineBuffer,
    answer: AnswerCheck,
    idle_timeout: Duration,
    idle_deadline: Instant,
}

/// Why a stream can't go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The connection ended before the answer did.
    #[error("the answer ended after {delivered_tokens} tokens, before its end: {reason}")]
    Incomplete {
        /// Tokens of the whole answer so far, including those before a resume.
        delivered_tokens: u64,
        /// What the connection reported.
        reason: String,
    },
    /// No event arrived in time.
    #[error("no event of the answer arrived for {idle_ms} ms, after {delivered_tokens} tokens")]
    Idle {
        /// Tokens of the whole answer so far, including those before a resume.
        delivered_tokens: u64,
        /// Time limit.
        idle_ms: u64,
    },
    /// The engine generated with another adapter or version than asked.
    #[error("the engine ran {actual} instead of {asked}")]
    WrongAdapter {
        /// Adapter and version that were asked for.
        asked: AdapterRef,
        /// Adapter and version that the event names.
        actual: AdapterRef,
    },
    /// Chunks are missing and too many later ones have arrived.
    #[error("the chunk at token {missing} is missing")]
    Gap {
        /// Offset of the missing chunk.
        missing: u64,
    },
    /// A chunk contradicts another one.
    #[error("the chunk at token {offset} contradicts an earlier one")]
    Conflict {
        /// Offset of the later chunk.
        offset: u64,
    },
    /// The end counts fewer tokens than were delivered.
    #[error("the end counts {reported} tokens after {delivered_tokens} were delivered")]
    UsageMismatch {
        /// Tokens that the end counts.
        reported: Tokens,
        /// Tokens of the whole answer so far, including those before a resume.
        delivered_tokens: u64,
    },
    /// A line is longer than `MAX_LINE_BYTES`.
    #[error("a line of the answer is longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// A line is no event, or an event is invalid.
    #[error("an event of the answer is malformed: {reason}")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
}

impl CompletionStream {
    pub(crate) fn new(body: Incoming, req: &CompletionRequest, idle_timeout: Duration) -> Self {
        Self {
            body: Some(body),
            lines: LineBuffer::default(),
            answer: AnswerCheck::new(req),
            idle_timeout,
            idle_deadline: Instant::now() + idle_timeout,
        }
    }

    /// Sets the longest time between two events, counted from now.
    pub fn set_idle_timeout(&mut self, limit: Duration) {
        self.idle_timeout = limit;
        self.idle_deadline = Instant::now() + limit;
    }

    /// Tokens of the whole answer so far, including those before a resume.
    pub fn delivered_tokens(&self) -> u64 {
        self.answer.next_offset
    }

    /// Events of other requests that were dropped.
    pub fn foreign_events(&self) -> u64 {
        self.answer.foreign_events
    }

    /// Returns the next event; `None` after `End` or an error.
    ///
    /// Cancel safe: an event is never lost when the future is dropped.
    pub async fn next(&mut self) -> Option<Result<EngineEvent, StreamError>> {
        self.body.as_ref()?;
        let event = self.next_event().await;
        match &event {
            Ok(EngineEvent::Chunk(_)) => self.idle_deadline = Instant::now() + self.idle_timeout,
            Ok(EngineEvent::End(_)) => {
                if let Some(body) = self.body.take() {
                    tokio::spawn(drain(body));
                }
            }
            // Dropping the body closes the connection.
            Err(_) => self.body = None,
        }
        Some(event)
    }

    async fn next_event(&mut self) -> Result<EngineEvent, StreamError> {
        loop {
            if let Some(event) = self.answer.take_event()? {
                return Ok(event);
            }
            if let Some(line) = self.lines.take_line()? {
                if let Some(event) = parse_line(&line)? {
                    self.answer.accept(event)?;
                }
                continue;
            }
            self.read().await?;
        }
    }

    async fn read(&mut self) -> Result<(), StreamError> {
        let delivered_tokens = self.answer.next_offset;
        let incomplete =
            |reason: &str| StreamError::Incomplete { delivered_tokens, reason: reason.to_owned() };
        let body = self.body.as_mut().ok_or_else(|| incomplete("the stream is closed"))?;
        match timeout_at(self.idle_deadline, body.frame()).await {
            Err(_) => {
                let idle_ms = self.idle_timeout.as_millis().try_into().unwrap_or(u64::MAX);
                Err(StreamError::Idle { delivered_tokens, idle_ms })
            }
            Ok(None) => Err(incomplete("the connection ended")),
            Ok(Some(Err(e))) => Err(incomplete(&error_chain(&e))),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    self.lines.push(&data);
                }
                Ok(())
            }
        }
    }
}

/// Reads the rest of a body; what follows `End` is discarded.
async fn drain(mut body: Incoming) {
    // A body that does not end in time is dropped, which closes its connection.
    let _ = timeout(DRAIN_TIMEOUT, async { while let Some(Ok(_)) = body.frame().await {} }).await;
}

/// Splits the body into lines.
#[derive(Default)]
struct LineBuffer {
    buf: BytesMut,
    /// Bytes at the start that hold no line end.
    scanned: usize,
}

impl LineBuffer {
    fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    fn take_line(&mut self) -> Result<Option<BytesMut>, StreamError> {
        let Some(end) = self.buf[self.scanned..].iter().position(|b| *b == b'\n') else {
            self.scanned = self.buf.len();
            return if self.scanned > MAX_LINE_BYTES {
                Err(StreamError::LineTooLong)
            } else {
                Ok(None)
            };
        };
        let mut line = self.buf.split_to(self.scanned + end + 1);
        self.scanned = 0;
        if line.len() > MAX_LINE_BYTES + 1 {
            return Err(StreamError::LineTooLong);
        }
        line.truncate(line.len() - 1);
        if line.ends_with(b"\r") {
            line.truncate(line.len() - 1);
        }
        Ok(Some(line))
    }
}

/// Parses one line of server-sent events; lines without data hold no event.
fn parse_line(line: &[u8]) -> Result<Option<EngineEvent>, StreamError> {
    let Some(data) = line.strip_prefix(b"data:") else { return Ok(None) };
    serde_json::from_slice(data)
        .map(Some)
        .map_err(|e| StreamError::Malformed { reason: e.to_string() })
}

/// What has arrived of an answer, and what may follow.
struct AnswerCheck {
    request: RequestId,
    adapter: AdapterRef,
    max_tokens: u64,
    /// Offset of the next chunk to deliver.
    next_offset: u64,
    /// Hashes of delivered chunks by offset; `max_tokens` bounds their number.
    delivered: BTreeMap<u64, u64>,
    /// Chunks that wait for an earlier one.
    held: BTreeMap<u64, Chunk>,
    end: Option<End>,
    foreign_events: u64,
}

impl AnswerCheck {
    fn new(req: &CompletionRequest) -> Self {
        Self {
            request: req.request.clone(),
            adapter: req.adapter.clone(),
            max_tokens: req.max_tokens.into(),
            next_offset: req.resume.as_ref().map_or(0, |resume| resume.offset),
            delivered: BTreeMap::new(),
            held: BTreeMap::new(),
            end: None,
            foreign_events: 0,
        }
    }

    /// Returns the event that is due, if it has arrived.
    fn take_event(&mut self) -> Result<Option<EngineEvent>, StreamError> {
        if let Some(entry) = self.held.first_entry()
            && *entry.key() <= self.next_offset
        {
            let chunk = entry.remove();
            if chunk.offset < self.next_offset {
                return Err(StreamError::Conflict { offset: chunk.offset });
            }
            self.next_offset += chunk.tokens;
            self.delivered.insert(chunk.offset, hash_chunk(&chunk));
            return Ok(Some(EngineEvent::Chunk(chunk)));
        }
        let Some(end) = &self.end else { return Ok(None) };
        let reported = end.usage.completion_tokens;
        if reported.0 < self.next_offset
            || (reported.0 == self.next_offset && !self.held.is_empty())
        {
            let delivered_tokens = self.next_offset;
            return Err(StreamError::UsageMismatch { reported, delivered_tokens });
        }
        // An end that counts more tokens has overtaken a chunk, which may still arrive.
        if reported.0 > self.next_offset {
            return Ok(None);
        }
        Ok(self.end.take().map(EngineEvent::End))
    }

    fn accept(&mut self, event: EngineEvent) -> Result<(), StreamError> {
        let (request, adapter) = match &event {
            EngineEvent::Chunk(chunk) => (&chunk.request, &chunk.adapter),
            EngineEvent::End(end) => (&end.request, &end.adapter),
        };
        if *request != self.request {
            self.foreign_events += 1;
            return Ok(());
        }
        if *adapter != self.adapter {
            return Err(StreamError::WrongAdapter {
                asked: self.adapter.clone(),
                actual: adapter.clone(),
            });
        }
        match event {
            EngineEvent::Chunk(chunk) => self.accept_chunk(chunk),
            EngineEvent::End(end) => self.accept_end(end),
        }
    }

    fn accept_chunk(&mut self, chunk: Chunk) -> Result<(), StreamError> {
        let offset = chunk.offset;
        if chunk.tokens == 0 {
            return Err(malformed(format!("the chunk at token {offset} holds no token")));
        }
        if offset.checked_add(chunk.tokens).is_none_or(|end| end > self.max_tokens) {
            let max_tokens = self.max_tokens;
            return Err(malformed(format!("the answer is longer than {max_tokens} tokens")));
        }
        let is_duplicate = self.delivered.get(&offset).map_or_else(
            || self.held.get(&offset).map(|held| *held == chunk),
            |hash| Some(*hash == hash_chunk(&chunk)),
        );
        match is_duplicate {
            Some(true) => return Ok(()),
            Some(false) => return Err(StreamError::Conflict { offset }),
            None if offset < self.next_offset => return Err(StreamError::Conflict { offset }),
            None => {}
        }
        if offset > self.next_offset && self.held.len() >= MAX_HELD_CHUNKS {
            return Err(StreamError::Gap { missing: self.next_offset });
        }
        self.held.insert(offset, chunk);
        Ok(())
    }

    fn accept_end(&mut self, end: End) -> Result<(), StreamError> {
        if self.end.as_ref().is_some_and(|earlier| *earlier != end) {
            return Err(malformed("two different ends".to_owned()));
        }
        self.end = Some(end);
        Ok(())
    }
}

fn hash_chunk(chunk: &Chunk) -> u64 {
    let mut hasher = DefaultHasher::new();
    (chunk.tokens, &chunk.text).hash(&mut hasher);
    hasher.finish()
}

fn malformed(reason: String) -> StreamError {
    StreamError::Malformed { reason }
}
