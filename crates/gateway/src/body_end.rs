//! How the body of a target's response was delimited, and what shows that it is complete.

use std::{fmt, time::Duration};

use http::{
    HeaderMap,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use http_body::Body;
use hyper::body::Incoming;
use shallotdrum_links::EndEvidence;

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
            () if headers.contains_key(TRANSFER_ENCODING) => Self::Chunks,
            () if headers.contains_key(CONTENT_LENGTH) => Self::Length,
            () => Self::Connection,
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
    /// What was found out about the target; absent if the framing shows the end.
    pub evidence: Option<EndEvidence>,
    /// Time from the moment at which the end was read to that of the evidence.
    pub checked_after: Duration,
}

impl BodyEnd {
    /// End that the framing itself shows.
    pub(crate) fn framed(framing: Framing) -> Self {
        Self { framing, evidence: None, checked_after: Duration::ZERO }
    }

    /// Name of the evidence in log lines and metrics.
    pub fn evidence(&self) -> &'static str {
        match (self.evidence, self.framing) {
            (Some(evidence), _) => evidence.as_str(),
            (None, Framing::Empty) => "no-body",
            (None, Framing::Length) => "length",
            (None, Framing::Chunks) => "last-chunk",
            (None, Framing::Connection) => "none",
        }
    }

    /// Whether the body is complete.
    pub(crate) fn is_complete(&self) -> bool {
        match self.evidence {
            Some(evidence) => evidence.is_alive(),
            None => self.framing != Framing::Connection,
        }
    }
}
