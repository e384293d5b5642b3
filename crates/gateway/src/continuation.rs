//! Checks that the events of a stream follow each other, and that a resumption goes on where the
//! stream stood.
//!
//! Ids increase, and nothing says by how much. The difference is learnt from the events of each
//! response: as long as it has been the same in a stream, a resumption must keep to it, as an event is
//! missing otherwise. Without a constant difference, a missing event can't be told from a larger step.
//!
//! Architecture Invariant: a stream is resumed only after an event that was the last one delivered and
//! whose id is a number, as the order of other ids can't be checked.

use std::ops::Range;

use bytes::Bytes;
use http::{
    HeaderMap, StatusCode,
    header::{CONTENT_ENCODING, CONTENT_TYPE},
};

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Maximum length of a content type in a log line; longer than the names of media types in use.
const MAX_SHOWN_BYTES: usize = 80;

/// Field names that form a line without a colon.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Why a response does not go on with a stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ContinuationError {
    /// The response has another status than the one that began the stream.
    #[error("its status is {found}, and {expected} began the stream")]
    Status {
        /// Status of the response.
        found: StatusCode,
        /// Status of the response that began the stream.
        expected: StatusCode,
    },
    /// The response is no event stream.
    #[error("it is no event stream, with content type {0:?}")]
    NoEventStream(String),
    /// The response ended without an event.
    #[error("it ended without an event")]
    NoEvent,
    /// The response has lines that are no fields of an event.
    #[error("it holds text that is no event")]
    NotAnEvent,
    /// An event has no id, or one that is not a number.
    #[error("an event has no number as its id")]
    NoNumber,
    /// An event came before, or should have come before.
    #[error("event {found} comes after event {last}")]
    OutOfOrder {
        /// Id of the event.
        found: String,
        /// Id of the last event that was delivered.
        last: String,
    },
    /// Events are missing.
    #[error("event {found} comes in place of event {expected}")]
    Gap {
        /// Id of the event.
        found: u64,
        /// Id that follows the last event that was delivered.
        expected: u64,
    },
}

/// Error of a stream that can't be resumed, as it is not known after which event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the last event that was delivered has no number as its id")]
pub struct PositionUnknown;

/// Where a stream stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Position {
    /// Before the first event.
    Start,
    /// After the event with this id.
    After(EventId),
    /// After an event without an id.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct EventId {
    text: String,
    /// Absent if the id is not a decimal number.
    number: Option<u64>,
}

impl EventId {
    fn parse(text: &str) -> Self {
        let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
        let number = text.parse().ok().filter(|_| is_number);
        Self { text: text.to_owned(), number }
    }
}

/// Difference between the ids of two successive events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// No two events have been seen.
    Unknown,
    /// The only event seen has the number 1, or follows that which the stream was taken up after by 1.
    Assumed,
    /// The same between all events; seen so many times.
    Constant(u64, u32),
    Varying,
}

impl Step {
    /// Includes the difference between two events of one response.
    fn include(self, difference: u64) -> Self {
        match self {
            Self::Unknown | Self::Assumed => Self::Constant(difference, 1),
            Self::Constant(step, seen) if step == difference => {
                Self::Constant(step, seen.saturating_add(1))
            }
            Self::Constant(..) | Self::Varying => Self::Varying,
        }
    }

    /// Difference that a resumption must keep to. A single one tells little unless it is that of
    /// consecutive numbers.
    fn expected(self) -> Option<u64> {
        match self {
            Self::Assumed => Some(1),
            Self::Constant(step, seen) if step == 1 || seen > 1 => Some(step),
            Self::Unknown | Self::Constant(..) | Self::Varying => None,
        }
    }
}

/// Order of the events of a stream, over the responses of all targets.
#[derive(Clone, Debug)]
pub struct EventOrder {
    position: Position,
    step: Step,
    /// Difference that the events of a resumption keep to.
    expected_step: Option<u64>,
    /// Whether the current response goes on after an event.
    is_resumption: bool,
    /// Number of events of the current response.
    events: u64,
}

impl EventOrder {
    /// Order of a stream that a caller takes up after an event, or that starts from its beginning.
    pub fn new(resume_after: Option<&str>) -> Self {
        let position = match resume_after.map(EventId::parse) {
            None => Position::Start,
            Some(id) => Position::After(id),
        };
        // Other ids can't be compared.
        let is_resumption = matches!(&position, Position::After(EventId { number: Some(_), .. }));
        Self { position, step: Step::Unknown, expected_step: None, is_resumption, events: 0 }
    }

    /// Number of events of the current response.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Begins with the response of another target.
    pub fn begin_resumption(&mut self) {
        self.is_resumption = true;
        self.expected_step = self.step.expected();
        self.events = 0;
    }

    /// Whether the current response goes on after an event, and has brought none yet.
    pub fn lacks_event(&self) -> bool {
        self.is_resumption && self.events == 0
    }

    /// Id of the event to resume the stream after; `None` if it can start from its beginning.
    pub fn resume_after(&self) -> Result<Option<&str>, PositionUnknown> {
        match &self.position {
            Position::Start => Ok(None),
            Position::After(EventId { text, number: Some(_) }) => Ok(Some(text)),
            Position::After(_) | Position::Unknown => Err(PositionUnknown),
        }
    }

    /// Id of the last event that was delivered; empty if it has none.
    pub fn last_id(&self) -> &str {
        match &self.position {
            Position::After(id) => &id.text,
            Position::Start | Position::Unknown => "",
        }
    }

    /// Returns those of the complete events that may be delivered, up to the first that may not.
    pub fn admit(&mut self, events: &Bytes) -> (Bytes, Result<(), ContinuationError>) {
        let (mut begin, mut end) = (0, 0);
        for range in blocks(events) {
            if let Err(error) = self.admit_block(&Block::parse(&events[range.clone()])) {
                return (events.slice(begin..end), Err(error));
            }
            end = range.end;
            // What a target says before its first event belongs to its response, not to the stream.
            if self.lacks_event() {
                begin = end;
            }
        }
        (events.slice(begin..end), Ok(()))
    }

    fn admit_block(&mut self, block: &Block) -> Result<(), ContinuationError> {
        match &block.id {
            _ if !block.has_fields && !block.has_text => Ok(()),
            _ if self.is_resumption && block.has_text => Err(ContinuationError::NotAnEvent),
            None | Some(EventId { number: None, .. }) if self.is_resumption => {
                Err(ContinuationError::NoNumber)
            }
            None if !block.has_data => Ok(()),
            None => {
                self.position = Position::Unknown;
                self.events += 1;
                Ok(())
            }
            Some(id) => {
                self.check_order(id)?;
                self.position = Position::After(id.clone());
                self.events += 1;
                Ok(())
            }
        }
    }

    /// Checks that an event follows the last one, and learns by how much.
    fn check_order(&mut self, id: &EventId) -> Result<(), ContinuationError> {
        let last = match &self.position {
            Position::Start => {
                if id.number == Some(1) {
                    self.step = Step::Assumed;
                }
                return Ok(());
            }
            Position::Unknown => return Ok(()),
            Position::After(last) => last,
        };
        let out_of_order =
            || ContinuationError::OutOfOrder { found: id.text.clone(), last: last.text.clone() };
        let (Some(number), Some(last_number)) = (id.number, last.number) else {
            return if id.text == last.text { Err(out_of_order()) } else { Ok(()) };
        };
        let Some(difference) = number.checked_sub(last_number).filter(|d| *d > 0) else {
            return Err(out_of_order());
        };
        match self.expected_step {
            Some(step) if step != difference => {
                let expected = last_number.saturating_add(step);
                return Err(ContinuationError::Gap { found: number, expected });
            }
            _ => {}
        }
        // The distance to the response of another target shows what may be missing, not how ids are given.
        if self.events > 0 {
            self.step = self.step.include(difference);
        } else if difference == 1 && self.step == Step::Unknown {
            self.step = Step::Assumed;
        }
        Ok(())
    }
}

/// Whether a response holds a stream of events as they are; one without a content type may.
pub fn is_event_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let has_body = !matches!(status, StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT);
    let is_encoded = headers
        .get_all(CONTENT_ENCODING)
        .iter()
        .any(|value| !value.as_bytes().eq_ignore_ascii_case(b"identity"));
    let has_other_type = headers.get(CONTENT_TYPE).is_some_and(|value| {
        let media_type = value.as_bytes().split(|byte| *byte == b';').next().unwrap_or_default();
        !media_type.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM.as_bytes())
    });
    has_body && !is_encoded && !has_other_type
}

/// Checks by its head that a response can go on with a stream that a response with this status began.
pub fn check_head(
    began_with: StatusCode,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<(), ContinuationError> {
    if status != began_with {
        return Err(ContinuationError::Status { found: status, expected: began_with });
    }
    match is_event_stream(status, headers) {
        true => Ok(()),
        false => {
            let content_type = headers.get(CONTENT_TYPE).map_or(b"".as_slice(), |v| v.as_bytes());
            let shown = &content_type[..content_type.len().min(MAX_SHOWN_BYTES)];
            Err(ContinuationError::NoEventStream(String::from_utf8_lossy(shown).into_owned()))
        }
    }
}

/// Lines up to a blank one.
#[derive(Debug, Default)]
struct Block {
    /// Value of the last `id` field; absent if that is empty.
    id: Option<EventId>,
    has_data: bool,
    /// Whether there is any field of an event. Comments are none, and `retry` speaks of the connection.
    has_fields: bool,
    /// Whether there is a line that is neither a field nor a comment.
    has_text: bool,
}

impl Block {
    fn parse(bytes: &[u8]) -> Self {
        let mut block = Self::default();
        for line in bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let mut parts = line.splitn(2, |byte| *byte == b':');
            match (parts.next().unwrap_or_default(), parts.next()) {
                // A blank line or a comment.
                (b"", _) => {}
                (name, value) if !is_field(name, value.is_some()) => block.has_text = true,
                (name, value) => {
                    block.has_fields |= name != b"retry";
                    block.has_data |= name == b"data";
                    if name == b"id" {
                        let value = value.unwrap_or_default().trim_ascii();
                        let text = std::str::from_utf8(value).ok().filter(|text| !text.is_empty());
                        block.id = text.map(EventId::parse);
                    }
                }
            }
        }
        block
    }
}

/// Whether the text before a colon, or a line without one, is the name of a field.
fn is_field(name: &[u8], has_colon: bool) -> bool {
    let is_name_byte = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    match has_colon {
        true => name.iter().all(is_name_byte),
        false => FIELDS.contains(&name),
    }
}

/// Ranges of the blocks of complete events, each with its blank line.
fn blocks(bytes: &[u8]) -> impl Iterator<Item = Range<usize>> {
    let mut begin = 0;
    std::iter::from_fn(move || {
        let mut line = begin;
        while let Some(length) = bytes[line..].iter().position(|byte| *byte == b'\n') {
            let next = line + length + 1;
            if matches!(&bytes[line..next], b"\n" | b"\r\n") {
                return Some(std::mem::replace(&mut begin, next)..next);
            }
            line = next;
        }
        None
    })
}
