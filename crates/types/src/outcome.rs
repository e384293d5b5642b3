//! What became of a request, and the errors that callers see.
//!
//! Architecture Invariant: `Outcome::NotRun` is reported only when no byte of the request reached
//! a target, or when the target itself refused the request. Every doubt is `Outcome::Unknown`.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A target ran it and the answer is whole.
    Answered,
    /// No target ran it.
    NotRun,
    /// A target may have run it, in part or in full.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

impl FromStr for Outcome {
    type Err = ParseOutcomeError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "answered" => Ok(Self::Answered),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(ParseOutcomeError(s.to_owned())),
        }
    }
}

/// Text that names no outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid outcome `{0}`: expected `answered`, `not-run` or `unknown`")]
pub struct ParseOutcomeError(pub String);

/// Defines the kinds of request errors with their code, HTTP status and title.
macro_rules! error_kinds {
    ($($(#[$meta:meta])* $name:ident = $code:literal, $status:literal, $title:literal;)+) => {
        /// Why a request failed; the last part of the problem type URI.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum RequestErrorKind {
            $($(#[$meta])* $name,)+
        }

        impl RequestErrorKind {
            /// All kinds, for documentation and tests.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// Stable code, as in the problem type URI.
            pub fn code(self) -> &'static str {
                match self { $(Self::$name => $code,)+ }
            }

            /// HTTP status code.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Short title, the same for each occurrence.
            pub fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)+ }
            }
        }
    };
}

error_kinds! {
    /// The request is not well-formed.
    InvalidRequest = "invalid-request", 400, "The request is not valid";
    /// The bearer key is missing or belongs to no subscriber.
    Unauthorized = "unauthorized", 401, "The bearer key is missing or unknown";
    /// The subscriber may not use this adapter, version or service.
    Forbidden = "forbidden", 403, "The subscriber may not use this resource";
    /// The path, model or service does not exist.
    NotFound = "not-found", 404, "The resource does not exist";
    /// The method is not allowed on this path.
    MethodNotAllowed = "method-not-allowed", 405, "The method is not allowed here";
    /// The idempotency key's first call is still running.
    InProgress = "in-progress", 409, "A call with this idempotency key is in progress";
    /// The idempotency key's first call has no known result.
    ResultUnknown = "result-unknown", 409, "The result of the first call is unknown";
    /// The answer was recorded as given, but its body was too large to keep.
    ResultNotKept = "result-not-kept", 409, "The call was answered, its body was not kept";
    /// The body exceeds the configured limit.
    BodyTooLarge = "body-too-large", 413, "The request body is too large";
    /// The idempotency key was used with another request.
    KeyReused = "key-reused", 422, "The idempotency key belongs to another request";
    /// The call may not be repeated and needs an idempotency key.
    KeyRequired = "key-required", 400, "This call requires an Idempotency-Key header";
    /// The request crashed targets before and is refused.
    Quarantined = "quarantined", 422, "The request crashed targets and is quarantined";
    /// The header section exceeds the configured limit.
    HeadersTooLarge = "headers-too-large", 431, "The request headers are too large";
    /// The subscriber exceeds its limits.
    RateLimited = "rate-limited", 429, "The subscriber exceeds its limits";
    /// The queue is full or the expected wait exceeds the deadline.
    Overloaded = "overloaded", 503, "The system is overloaded";
    /// The instance is not ready, or cannot confirm its manifest.
    NotReady = "not-ready", 503, "The instance is not ready";
    /// No target can serve the request at present.
    NoTarget = "no-target", 503, "No target is available";
    /// The deadline passed before the request ran.
    DeadlineExceeded = "deadline-exceeded", 504, "The deadline has passed";
    /// The target failed or its answer ended early.
    TargetFailed = "target-failed", 502, "The target failed";
    /// The adapter could not be loaded.
    LoadFailed = "load-failed", 503, "The adapter could not be loaded";
    /// An unexpected internal failure.
    Internal = "internal", 500, "Internal error";
}

impl fmt::Display for RequestErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// Failure of a request, as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind} ({outcome}): {detail}")]
pub struct RequestError {
    /// Why it failed.
    pub kind: RequestErrorKind,
    /// Whether a target may have run it.
    pub outcome: Outcome,
    /// What was attempted, on what, and what the caller can do.
    pub detail: String,
    /// When the caller should try again.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// Creates an error for a request that no target ran.
    pub fn not_run(kind: RequestErrorKind, detail: impl fmt::Display) -> Self {
        Self { kind, outcome: Outcome::NotRun, detail: detail.to_string(), retry_after: None }
    }

    /// Creates an error for a request that a target may have run.
    pub fn unknown(kind: RequestErrorKind, detail: impl fmt::Display) -> Self {
        Self { kind, outcome: Outcome::Unknown, detail: detail.to_string(), retry_after: None }
    }

    /// Adds the time after which the caller should try again.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
