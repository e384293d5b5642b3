//! Outcome of a request, and the errors that are reported to callers.
//!
//! Architecture Invariant: `Outcome::NotRun` is reported only when no byte of the request reached
//! a target, or when the target itself refused the request. In any other case without a complete
//! response, the outcome is `Outcome::Unknown`.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether a target ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A target ran it and the response is complete.
    Answered,
    /// No target ran it.
    NotRun,
    /// A target may have run it, partly or completely.
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

/// Error for text that is not an outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid outcome `{0}`: expected `answered`, `not-run` or `unknown`")]
pub struct ParseOutcomeError(pub String);

/// Defines the request error kinds, each with its code, HTTP status and title.
macro_rules! error_kinds {
    ($($(#[$meta:meta])* $name:ident = $code:literal, $status:literal, $title:literal;)+) => {
        /// Reason for a failed request; its code is the last segment of the problem type URI.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum RequestErrorKind {
            $($(#[$meta])* $name,)+
        }

        impl RequestErrorKind {
            /// All kinds in declaration order, for documentation and tests.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// Stable code, as used in the problem type URI.
            pub fn code(self) -> &'static str {
                match self { $(Self::$name => $code,)+ }
            }

            /// Status code of the HTTP response.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Short title that does not depend on the occurrence.
            pub fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)+ }
            }
        }
    };
}

error_kinds! {
    /// The request is malformed.
    InvalidRequest = "invalid-request", 400, "The request is not valid";
    /// The API key is missing or does not belong to a subscriber.
    Unauthorized = "unauthorized", 401, "The bearer key is missing or unknown";
    /// The subscriber may not use this adapter, version or service.
    Forbidden = "forbidden", 403, "The subscriber may not use this resource";
    /// The path, model or service does not exist.
    NotFound = "not-found", 404, "The resource does not exist";
    /// The path exists, but not for this method.
    MethodNotAllowed = "method-not-allowed", 405, "The method is not allowed here";
    /// The first call with this idempotency key is still running.
    InProgress = "in-progress", 409, "A call with this idempotency key is in progress";
    /// The result of the first call with this idempotency key is unknown.
    ResultUnknown = "result-unknown", 409, "The result of the first call is unknown";
    /// The first call was answered, but its response body was too large to store.
    ResultNotKept = "result-not-kept", 409, "The call was answered, its body was not kept";
    /// The body exceeds the configured limit.
    BodyTooLarge = "body-too-large", 413, "The request body is too large";
    /// The idempotency key was already used with a different request.
    KeyReused = "key-reused", 422, "The idempotency key belongs to another request";
    /// The call is not repeatable, so it requires an idempotency key.
    KeyRequired = "key-required", 400, "This call requires an Idempotency-Key header";
    /// The request is refused because it crashed targets before.
    Quarantined = "quarantined", 422, "The request crashed targets and is quarantined";
    /// The header section exceeds the configured limit.
    HeadersTooLarge = "headers-too-large", 431, "The request headers are too large";
    /// The subscriber exceeds one of its limits.
    RateLimited = "rate-limited", 429, "The subscriber exceeds its limits";
    /// The queue is full or the expected wait exceeds the deadline.
    Overloaded = "overloaded", 503, "The system is overloaded";
    /// The instance is not ready, or cannot confirm that its manifest is current.
    NotReady = "not-ready", 503, "The instance is not ready";
    /// No target can currently serve the request.
    NoTarget = "no-target", 503, "No target is available";
    /// The deadline passed before the request was run.
    DeadlineExceeded = "deadline-exceeded", 504, "The deadline has passed";
    /// The target failed or its response was truncated.
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

/// Failure of a request, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind} ({outcome}): {detail}")]
pub struct RequestError {
    /// Reason for the failure; determines the HTTP status.
    pub kind: RequestErrorKind,
    /// Whether a target may have run it.
    pub outcome: Outcome,
    /// What was attempted, on which resource, and what the caller can do.
    pub detail: String,
    /// Delay after which the caller should retry, if a retry can help.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// Creates an error with [`Outcome::NotRun`].
    pub fn not_run(kind: RequestErrorKind, detail: impl fmt::Display) -> Self {
        Self { kind, outcome: Outcome::NotRun, detail: detail.to_string(), retry_after: None }
    }

    /// Creates an error with [`Outcome::Unknown`].
    pub fn unknown(kind: RequestErrorKind, detail: impl fmt::Display) -> Self {
        Self { kind, outcome: Outcome::Unknown, detail: detail.to_string(), retry_after: None }
    }

    /// Sets the delay after which the caller should retry.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
