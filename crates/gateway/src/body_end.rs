//! How the body of a target's response was delimited, and what shows that it is complete.

use std::{fmt, time::Duration};

use http::{HeaderMap, header::TRANSFER_ENCODING};
use http_body::Body;
use hyper::body::Incoming;
use shallotdrum_links::{Unanswered, WitnessUse, ends_with_connection};
use tokio::time::Instant;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// By its length.
    Length,
    /// By the last chunk.
    Chunks,
    /// By the end of its connection.
    Connection,
}

impl Framing {
    /// Framing of a body that has not been read.
    pub(crate) fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        match () {
            () if body.is_end_stream() => Self::Empty,
            () if ends_with_connection(headers) => Self::Connection,
            () if headers.contains_key(TRANSFER_ENCODING) => Self::Chunks,
            () => Self::Length,
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "empty",
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        })
    }
}

/// End of a body that was read without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyEnd {
    /// How the end was marked.
    pub framing: Framing,
    /// Whether the target answered after the end; absent if the framing shows the end.
    pub answered: Option<Result<(), Unanswered>>,
    /// Time from the moment at which the end was read to that of the answer.
    pub checked_after: Duration,
}

impl BodyEnd {
    /// End that the framing itself shows.
    pub(crate) fn framed(framing: Framing) -> Self {
        Self { framing, answered: None, checked_after: Duration::ZERO }
    }

    /// Checks the end of a body that was read just now.
    pub(crate) async fn check(framing: Framing, witness: Option<&WitnessUse>) -> Self {
        if framing != Framing::Connection {
            return Self::framed(framing);
        }
        let read_at = Instant::now();
        let answered = match witness {
            Some(witness) => witness.ask().await,
            None => Err(Unanswered::NoWitness),
        };
        Self { framing, answered: Some(answered), checked_after: read_at.elapsed() }
    }

    /// Name of the evidence in log lines and metrics.
    pub fn evidence(&self) -> &'static str {
        match (self.answered, self.framing) {
            (Some(Ok(())), _) => "answer",
            (Some(Err(unanswered)), _) => unanswered.as_str(),
            (None, Framing::Empty) => "no-body",
            (None, Framing::Length) => "length",
            (None, Framing::Chunks) => "last-chunk",
            (None, Framing::Connection) => "none",
        }
    }

    /// Whether the body is complete.
    pub(crate) fn is_complete(&self) -> bool {
        match self.answered {
            Some(answered) => answered.is_ok(),
            None => self.framing != Framing::Connection,
        }
    }
}
