//! State of an entry's channel to one owner, without a network.
//!
//! Frames are encoded when their request is made, into one queue. Reports of ended places are kept apart
//! until the next write, at whose start they go, and then until a later reply of the owner shows that they
//! arrived. A lost connection therefore loses none of them.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use bytes::BytesMut;
use shallotdrum_allotments::AllotmentReply;
use shallotdrum_engine::PLACE_GRACE;
use shallotdrum_types::{ConnectionNumber, RequestNumber, SessionId};
use tokio::sync::oneshot;

use super::{
    IDLE_PING_INTERVAL, MAX_WAITING, PING_TIMEOUT, REPLY_TIMEOUT,
    frame::{self, FrameError},
    messages::{End, EntryMessage, OwnerMessage},
};
use crate::{EndedPlace, PlaceReply, PlaceRequest};

/// Maximum number of ended places in a frame; about 64 KiB.
const MAX_ENDS_PER_FRAME: usize = 1_024;

/// Maximum size of the requests in one write, so that ended places that are reported meanwhile do not wait
/// for a long queue.
const MAX_WRITE_BYTES: usize = 64 * 1024;

/// Number of written reports from which the owner is pinged to have them confirmed.
const MAX_UNCONFIRMED: usize = 1_024;

/// Why a request on a channel failed. Except for `Failed`, no reply to it was received.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChannelError {
    /// The peer does not offer the channel, or not for this request; it was not sent.
    #[error("the owner has no channel for places")]
    Unsupported,
    /// Too many requests wait on the connection; it was not sent.
    #[error("{MAX_WAITING} requests wait on the channel for places")]
    Overloaded,
    /// The connection could not be opened or broke.
    #[error("{0}")]
    Broken(String),
    /// The owner could not execute it.
    #[error("{0}")]
    Failed(String),
}

/// Reply of the owner.
#[derive(Debug)]
pub(crate) enum Answer {
    Place(PlaceReply),
    Allotment(Option<AllotmentReply>),
    Pong,
}

/// Session and number of a place.
pub(crate) type PlaceKey = (SessionId, u64);

/// Report that a place ended, or that its request was cancelled.
#[derive(Clone, Copy, Debug)]
pub struct EndReport {
    /// Session of the entry.
    pub session: SessionId,
    /// How the place ended.
    pub ended: EndedPlace,
    /// When the owner ends the place itself, so that the report is not needed any more.
    pub until: Instant,
}

impl EndReport {
    /// Report of the place of a request that is made now, if it is not used.
    pub(crate) fn unused(request: &PlaceRequest, now: Instant) -> Self {
        let until = now + Duration::from_millis(request.left_ms) + PLACE_GRACE;
        Self { session: request.session, ended: EndedPlace::cancelled(request.place), until }
    }
}

/// Where the reply to a request goes.
pub(crate) type AnswerReceiver = oneshot::Receiver<Result<Answer, ChannelError>>;

/// What a check of the connection found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Liveness {
    /// The next check is due at this time.
    CheckAt(Instant),
    /// The owner did not reply to a ping.
    Silent,
}

/// What was moved to a buffer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Written {
    pub(crate) ends: usize,
    pub(crate) frames: usize,
}

/// What a connection took with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Failed {
    /// Requests that waited.
    pub(crate) requests: usize,
    /// Reports that were written, and are sent again.
    pub(crate) resent: usize,
}

struct Waiting {
    tx: oneshot::Sender<Result<Answer, ChannelError>>,
    /// Report of the place that the request is for, if it is not used.
    unused: Option<EndReport>,
}

/// Report that the owner may not have received.
struct Unconfirmed {
    /// Smallest number whose reply shows that the report arrived.
    confirmed_by: RequestNumber,
    report: EndReport,
}

/// State of a channel.
pub(crate) struct ChannelState {
    next: RequestNumber,
    pub(crate) connection: ConnectionNumber,
    /// Encoded frames of requests that are not written.
    queue: BytesMut,
    /// Reports that are not written.
    ends: Vec<EndReport>,
    /// Reports that are written, oldest first.
    unconfirmed: VecDeque<Unconfirmed>,
    waiting: HashMap<RequestNumber, Waiting>,
    /// Time of the last message from the owner, or since when something waits for one.
    quiet_since: Instant,
    pinged_at: Option<Instant>,
    /// Ping that asks for a confirmation of reports. It does not show whether the owner is alive: its reply
    /// comes after those reports were processed.
    confirming: Option<RequestNumber>,
    /// Time until which the owner counts as one without a channel.
    pub(crate) unsupported_until: Option<Instant>,
}

impl ChannelState {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            next: RequestNumber(1),
            connection: ConnectionNumber(0),
            queue: BytesMut::new(),
            ends: Vec::new(),
            unconfirmed: VecDeque::new(),
            waiting: HashMap::new(),
            quiet_since: now,
            pinged_at: None,
            confirming: None,
            unsupported_until: None,
        }
    }

    pub(crate) fn is_unsupported(&self, now: Instant) -> bool {
        self.unsupported_until.is_some_and(|until| now < until)
    }

    /// Whether there is something to write.
    pub(crate) fn has_work(&self) -> bool {
        !self.queue.is_empty() || !self.ends.is_empty()
    }

    /// Number of requests that wait for a reply.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the owner owes a message.
    fn is_pending(&self) -> bool {
        !self.waiting.is_empty() || !self.unconfirmed.is_empty()
    }

    /// Queues a message with a number of its own.
    fn push(
        &mut self,
        message: impl FnOnce(RequestNumber) -> EntryMessage,
    ) -> Result<RequestNumber, FrameError> {
        let number = self.next;
        frame::encode(&message(number), &mut self.queue)?;
        self.next = number.next();
        Ok(number)
    }

    /// Queues a request; `unused` reports the place that it is for, if it is not used.
    pub(crate) fn submit(
        &mut self,
        unused: Option<EndReport>,
        now: Instant,
        message: impl FnOnce(RequestNumber) -> EntryMessage,
    ) -> Result<(RequestNumber, AnswerReceiver), ChannelError> {
        if self.is_unsupported(now) {
            return Err(ChannelError::Unsupported);
        }
        // Calls for units are few and end soon. Confirmations must not fail because requests wait.
        if unused.is_some() && self.waiting.len() >= MAX_WAITING {
            return Err(ChannelError::Overloaded);
        }
        // JSON-RPC takes requests that are too large for a frame.
        let number = self.push(message).map_err(|_| ChannelError::Unsupported)?;
        if !self.is_pending() {
            self.quiet_since = now;
        }
        let (tx, rx) = oneshot::channel();
        self.waiting.insert(number, Waiting { tx, unused });
        Ok((number, rx))
    }

    /// Queues a message whose reply is of no interest.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        message: impl FnOnce(RequestNumber) -> EntryMessage,
    ) -> Result<(), ChannelError> {
        if self.is_unsupported(now) {
            return Err(ChannelError::Unsupported);
        }
        self.push(message).map(drop).map_err(|_| ChannelError::Unsupported)
    }

    /// Queues the report of an ended place.
    pub(crate) fn end(&mut self, report: EndReport) {
        self.ends.push(report);
    }

    /// Cancels a request unless it has a reply or failed; returns whether there is something to write.
    pub(crate) fn cancel(&mut self, number: RequestNumber, now: Instant) -> bool {
        let Some(report) = self.waiting.remove(&number).and_then(|w| w.unused) else {
            return false;
        };
        // Unlike reports, this must not overtake its request.
        if self.push(|_| EntryMessage::Cancel(report.session, report.ended.place)).is_err() {
            return false;
        }
        if !self.is_pending() {
            self.quiet_since = now;
        }
        self.unconfirmed.push_back(Unconfirmed { confirmed_by: self.next, report });
        true
    }

    /// Moves the frames of one write to an empty buffer, reports first.
    pub(crate) fn next_write(&mut self, out: &mut BytesMut, now: Instant) -> Written {
        let ends = std::mem::take(&mut self.ends);
        if !ends.is_empty() && !self.is_pending() {
            self.quiet_since = now;
        }
        for group in ends.chunk_by(|a, b| a.session == b.session) {
            for chunk in group.chunks(MAX_ENDS_PER_FRAME) {
                let session = chunk[0].session;
                let ended = chunk.iter().map(|report| End::from(report.ended)).collect();
                // Has a bounded size.
                let _ = frame::encode(&EntryMessage::End(session, ended), out);
            }
        }
        let confirmed_by = self.next;
        let written = ends.iter().map(|&report| Unconfirmed { confirmed_by, report });
        self.unconfirmed.extend(written);
        if self.unconfirmed.len() >= MAX_UNCONFIRMED && self.confirming.is_none() {
            self.confirming = self.push(EntryMessage::Ping).ok();
        }
        let requests = match self.queue.len() <= MAX_WRITE_BYTES {
            true => self.queue.split(),
            false => {
                let (len, _) = whole_frames(&self.queue, MAX_WRITE_BYTES);
                self.queue.split_to(len)
            }
        };
        match out.is_empty() {
            true => *out = requests,
            false => out.extend_from_slice(&requests),
        }
        Written { ends: ends.len(), frames: whole_frames(out, usize::MAX).1 }
    }

    fn ping(&mut self, now: Instant) {
        if self.push(EntryMessage::Ping).is_ok() {
            self.pinged_at = Some(now);
        }
    }

    /// Hands a message of the owner to the request that waits for it.
    pub(crate) fn receive(&mut self, message: OwnerMessage, now: Instant) {
        self.quiet_since = now;
        self.pinged_at = None;
        let (number, answer) = match message {
            OwnerMessage::Place(number, reply) => (number, Ok(Answer::Place(reply.into()))),
            OwnerMessage::Allotment(number, reply) => {
                (number, Ok(Answer::Allotment(reply.map(Into::into))))
            }
            OwnerMessage::Pong(number) => (number, Ok(Answer::Pong)),
            OwnerMessage::Failed(number, error) => (number, Err(ChannelError::Failed(error))),
        };
        if self.confirming.is_some_and(|ping| ping <= number) {
            self.confirming = None;
        }
        while self.unconfirmed.front().is_some_and(|front| front.confirmed_by <= number) {
            self.unconfirmed.pop_front();
        }
        if let Some(waiting) = self.waiting.remove(&number) {
            // The request may be dropped at this moment; it then releases the place.
            let _ = waiting.tx.send(answer);
        }
    }

    /// Pings a silent owner, and tells whether it replied to the last ping in time.
    pub(crate) fn check(&mut self, now: Instant) -> Liveness {
        let limit = match self.is_pending() {
            true => REPLY_TIMEOUT,
            false => IDLE_PING_INTERVAL,
        };
        match self.pinged_at {
            Some(at) if now >= at + PING_TIMEOUT => Liveness::Silent,
            Some(at) => Liveness::CheckAt(at + PING_TIMEOUT),
            None if now >= self.quiet_since + limit => {
                self.ping(now);
                Liveness::CheckAt(now + PING_TIMEOUT)
            }
            None => Liveness::CheckAt(self.quiet_since + limit),
        }
    }

    /// Begins a connection.
    pub(crate) fn opened(&mut self, now: Instant) {
        self.quiet_since = now;
        self.pinged_at = None;
        self.confirming = None;
    }

    /// Fails all requests that wait, and queues the reports that the owner may not have received.
    ///
    /// `was_open` tells whether frames may have been written. Places may then be granted to the requests
    /// that fail, so they are reported as ended.
    pub(crate) fn fail(&mut self, error: &ChannelError, was_open: bool) -> Failed {
        self.queue.clear();
        self.pinged_at = None;
        self.confirming = None;
        let resent = self.unconfirmed.len();
        let unconfirmed = self.unconfirmed.drain(..).map(|unconfirmed| unconfirmed.report);
        // The oldest reports first.
        let mut ends: Vec<_> = unconfirmed.collect();
        ends.append(&mut self.ends);
        let requests = self.waiting.len();
        for (_, Waiting { tx, unused }) in self.waiting.drain() {
            ends.extend(unused.filter(|_| was_open));
            let _ = tx.send(Err(error.clone()));
        }
        self.ends = ends;
        Failed { requests, resent }
    }

    /// Takes the reports that no connection could deliver.
    pub(crate) fn take_ends(&mut self) -> Vec<EndReport> {
        std::mem::take(&mut self.ends)
    }
}

/// Length and number of the frames at the start of a buffer that fit into a limit; at least one.
fn whole_frames(buf: &[u8], limit: usize) -> (usize, usize) {
    let (mut len, mut frames) = (0, 0);
    while let Some(next) = frame::frame_len(&buf[len..]) {
        if len > 0 && len + next > limit {
            break;
        }
        len += next;
        frames += 1;
    }
    (len, frames)
}
