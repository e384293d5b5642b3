//! Body of a relayed stream, with what its caller has not read yet.
//!
//! While the caller is slow, the target's response is read into a buffer of up to `MAX_STREAM_BYTES`, as far
//! as there is memory (`held`). A full buffer pauses the reading.
//!
//! Architecture Invariant: the body ends as complete only if its sender says so; one whose sender is
//! dropped for any other reason ends with an error, after the events that were sent.

use std::{
    collections::VecDeque,
    convert::Infallible,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use http_body::{Body, Frame};
use tokio::{
    sync::{Notify, mpsc},
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    HeldMemory,
    held::{Claim, HeldBytes},
};

/// Maximum size of the events that are held for the caller of one stream.
pub const MAX_STREAM_BYTES: usize = 256 * 1024;

/// Size up to which a buffer may take the memory that is left to small bodies: some dozen events.
const SMALL_STREAM_BYTES: usize = 16 * 1024;

/// Size that a part counts at least: about its place in the buffer and what its allocation takes.
const MIN_PART_BYTES: usize = 256;

/// HTTP body that yields complete events as they arrive.
#[derive(Debug)]
pub struct StreamBody {
    buffer: Arc<Buffer>,
    has_ended: bool,
    /// Tells the sender of its end.
    _reader: mpsc::Receiver<Infallible>,
}

/// Sends the events of a `StreamBody`.
#[derive(Debug)]
pub struct StreamSender {
    buffer: Arc<Buffer>,
    reader: mpsc::Sender<Infallible>,
}

#[derive(Debug)]
struct Buffer {
    state: Mutex<State>,
    /// Woken after the caller has read.
    room: Notify,
}

#[derive(Debug)]
struct State {
    parts: VecDeque<Bytes>,
    held: HeldBytes,
    /// Number of times that the sender waited for room.
    pauses: u32,
    end: Option<End>,
    /// Whether the caller has read the end of a complete body.
    is_read: bool,
    reader: Option<Waker>,
}

/// How the sender ended the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    Broken,
}

/// Error of a stream that was interrupted and can't be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream was interrupted")]
pub struct StreamBroken;

/// Error of sending to a caller that has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller has left")]
pub struct CallerLeft;

/// Size that a part of this length counts.
fn cost(len: usize) -> usize {
    len.max(MIN_PART_BYTES)
}

impl StreamBody {
    /// Creates a body whose buffer takes its memory from `memory`, and its sender.
    pub fn channel(memory: &HeldMemory) -> (StreamSender, Self) {
        let (reader, closed) = mpsc::channel(1);
        let (parts, held) = (VecDeque::new(), memory.begin());
        let state = State { parts, held, pauses: 0, end: None, is_read: false, reader: None };
        let buffer = Arc::new(Buffer { state: Mutex::new(state), room: Notify::new() });
        let sender = StreamSender { buffer: buffer.clone(), reader };
        (sender, Self { buffer, has_ended: false, _reader: closed })
    }
}

impl Buffer {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops the events that the caller has not read.
    fn discard(&self, end: End) {
        let mut state = self.lock();
        state.parts.clear();
        let held = state.held.bytes();
        state.held.sub(held);
        // A complete end no longer holds without the events.
        state.end = Some(end);
        state.wake();
    }
}

impl State {
    /// Appends events if there is room for them.
    fn push(&mut self, events: &Bytes) -> bool {
        // Expired or left: its sender would go on as if the caller had read.
        if self.end.is_some() {
            return false;
        }
        let (held, cost) = (self.held.bytes(), cost(events.len()));
        let claim = match held + cost {
            // Otherwise they would wait elsewhere in memory.
            _ if held == 0 => Claim::Unconditional,
            total if total <= SMALL_STREAM_BYTES => Claim::Small,
            total if total <= MAX_STREAM_BYTES => Claim::Large,
            _ => return false,
        };
        if self.held.add(cost, claim).is_err() {
            return false;
        }
        self.parts.push_back(events.clone());
        self.wake();
        true
    }

    /// Ends the body; the first end stands, as events that were dropped at the deadline are missing.
    fn finish(&mut self, end: End) {
        self.end.get_or_insert(end);
        self.wake();
    }

    fn wake(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

impl StreamSender {
    /// Sends complete events; waits while the buffer is full or there is no memory.
    pub async fn send(&self, events: Bytes) -> Result<(), CallerLeft> {
        if self.reader.is_closed() {
            return Err(CallerLeft);
        }
        if self.buffer.lock().push(&events) {
            return Ok(());
        }
        tokio::select! {
            () = self.push_with_room(&events) => Ok(()),
            () = self.reader.closed() => Err(CallerLeft),
        }
    }

    async fn push_with_room(&self, events: &Bytes) {
        let memory = {
            let mut state = self.buffer.lock();
            state.pauses += 1;
            state.held.memory().clone()
        };
        memory.metrics().paused_reads().inc();
        loop {
            tokio::select! {
                () = self.buffer.room.notified() => {}
                () = memory.released() => {}
            }
            if self.buffer.lock().push(events) {
                memory.wake_next();
                return;
            }
        }
    }

    /// Number of times that `send` had to wait.
    pub fn pauses(&self) -> u32 {
        self.buffer.lock().pauses
    }

    /// Resolves when the caller has left.
    pub async fn closed(&self) {
        self.reader.closed().await;
    }

    /// Drops what the caller has not read until the deadline, also after the sender has ended.
    pub fn expire_at(&self, deadline: Instant) -> impl Future<Output = ()> + Send + use<> {
        let (buffer, reader) = (self.buffer.clone(), self.reader.clone());
        async move {
            tokio::select! {
                () = reader.closed() => {}
                () = sleep_until(deadline) => {
                    let has_unread = !buffer.lock().parts.is_empty();
                    if has_unread {
                        buffer.discard(End::Broken);
                    }
                }
            }
        }
    }

    /// Ends the body as complete, after the events that were sent.
    pub fn complete(self) {
        self.buffer.lock().finish(End::Complete);
    }

    /// Ends the body as complete, and waits until the deadline for the caller to read its end; returns
    /// whether it did.
    pub async fn complete_and_wait(self, deadline: Instant) -> bool {
        self.buffer.lock().finish(End::Complete);
        let _ = timeout_at(deadline, self.reader.closed()).await;
        self.buffer.lock().is_read
    }
}

impl Drop for StreamSender {
    fn drop(&mut self) {
        let mut state = self.buffer.lock();
        if state.end.is_none() {
            state.finish(End::Broken);
        }
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let mut state = self.buffer.lock();
        if let Some(events) = state.parts.pop_front() {
            state.held.sub(cost(events.len()));
            drop(state);
            self.buffer.room.notify_one();
            return Poll::Ready(Some(Ok(Frame::data(events))));
        }
        let Some(end) = state.end else {
            state.reader = Some(cx.waker().clone());
            return Poll::Pending;
        };
        state.is_read = end == End::Complete;
        drop(state);
        self.has_ended = true;
        match end {
            End::Complete => Poll::Ready(None),
            End::Broken => Poll::Ready(Some(Err(StreamBroken))),
        }
    }
}

impl Drop for StreamBody {
    /// Leaves no room for events that nobody reads.
    fn drop(&mut self) {
        self.buffer.discard(End::Broken);
    }
}
