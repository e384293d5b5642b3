//! Log line on the end of a relayed stream.

use std::fmt;

use shallotdrum_telemetry::event;
use shallotdrum_types::{RequestId, TargetId};
use tokio::time::Instant;

use crate::BodyEnd;

/// How a relayed stream ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamOutcome {
    /// The caller got the end of the stream.
    Complete,
    /// The caller sees that the stream is incomplete.
    Broken,
    /// The caller left before the end, or did not read it until its deadline.
    CallerLeft,
    /// The relaying task ended early; the caller sees that the stream is incomplete.
    Dropped,
}

impl fmt::Display for StreamOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Complete => "complete",
            Self::Broken => "broken",
            Self::CallerLeft => "caller-left",
            Self::Dropped => "dropped",
        })
    }
}

/// What is logged of a relayed stream when dropped, however its task ends.
pub(crate) struct StreamLog {
    pub(crate) log: slog::Logger,
    pub(crate) request: RequestId,
    /// Target of the latest response.
    pub(crate) target: TargetId,
    /// Id of the last event that was delivered.
    pub(crate) last_event: Option<String>,
    /// Number of targets that were to go on with the stream.
    pub(crate) resumptions: u32,
    /// Number of times that the target was not read on, as the caller was slow.
    pub(crate) pauses: u32,
    /// How the body of the latest response ended, if the stream is complete.
    pub(crate) end: Option<BodyEnd>,
    pub(crate) outcome: StreamOutcome,
    pub(crate) started: Instant,
}

impl Drop for StreamLog {
    fn drop(&mut self) {
        event!(self.log, STREAM_ENDED; "request" => %self.request, "target" => %self.target,
            "last_event" => self.last_event.as_deref().unwrap_or(""), "resumptions" => self.resumptions,
            "pauses" => self.pauses,
            "outcome" => %self.outcome, "framing" => self.end.map(|end| end.framing.to_string()),
            "evidence" => self.end.map(|end| end.evidence()),
            "checked_after_ms" => self.end.map(|end| end.checked_after.as_millis() as u64), "ms" => self.started.elapsed().as_millis() as u64);
    }
}
