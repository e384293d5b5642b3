//! Whether an instance's copy of the control state may be used to answer.
//!
//! Architecture Invariant: a request is refused for good ("no such route", "unknown key") only by a
//! confirmed state. All front ends decide by the methods of this module, and read the freshness before
//! the state that they decide by: a state that is read later includes what was confirmed, whereas one
//! that was read before may have been replaced, and the freshness be that of its successor.

use std::{sync::Arc, time::Duration};

use crate::{LogIndex, RequestError, RequestErrorKind, Term};

/// `Retry-After` of an instance that cannot confirm its state; the renewals that confirm it are sent
/// every second.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` of an instance that knows of a newer state, which it is fetching.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Whether an instance's copy of the control state is confirmed to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Confirmed recently.
    Ready,
    /// The instance has received neither a manifest nor a route table yet.
    NoManifest,
    /// The instance has not received yet what was in the control log when it started. The states on the
    /// way there are older than the one that it served by before.
    CatchingUp,
    /// The last confirmation is older than the limit, or there was none since the start.
    Stale {
        /// Time since the last confirmation, or since the start.
        age: Duration,
    },
    /// The leader named a newer revision, which has not arrived within the limit.
    Outdated {
        /// Time since the last confirmation, or since the start.
        age: Duration,
    },
    /// The instance is shutting down; it still serves requests.
    Draining,
}

/// Returns the current [`Freshness`]; called for each request, so it must be cheap.
pub type FreshnessFn = Arc<dyn Fn() -> Freshness + Send + Sync>;

/// Freshness of an instance's copy of the control state, with the confirmation that it rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Whether the copy is confirmed.
    pub freshness: Freshness,
    /// Last confirmation; `None` before the first one.
    pub last: Option<LastConfirmation>,
}

/// Confirmation by the control leader that this instance has a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastConfirmation {
    /// Index of the control log up to which the state was confirmed.
    pub index: LogIndex,
    /// Term of the leader.
    pub term: Term,
    /// Time since the renewal that the leader answered was sent.
    pub age: Duration,
}

/// Returns the current [`Confirmation`]; called for each request, so it must be cheap.
pub type ConfirmationFn = Arc<dyn Fn() -> Confirmation + Send + Sync>;

impl Freshness {
    /// Fails if requests must be refused; `serve_when_stale` accepts an unconfirmed state, but not one
    /// that is known to be outdated.
    pub fn check_serving(self, serve_when_stale: bool) -> Result<(), RequestError> {
        match self {
            Self::Ready | Self::Draining => Ok(()),
            Self::Stale { .. } if serve_when_stale => Ok(()),
            _ => Err(self.not_ready()),
        }
    }

    /// Fails unless the state is confirmed, so that what it lacks is known not to exist.
    pub fn check_absence(self) -> Result<(), RequestError> {
        match self {
            Self::Ready | Self::Draining => Ok(()),
            _ => Err(self.not_ready()),
        }
    }

    /// Error for a request that a state does not allow which was read after this freshness: `refusal` if
    /// the state is confirmed, otherwise a temporary one, as a newer state may allow it.
    pub fn refuse(self, refusal: RequestError) -> RequestError {
        self.check_absence().err().unwrap_or(refusal)
    }

    fn not_ready(self) -> RequestError {
        let (detail, retry_after) = match self {
            Self::Stale { age } => (
                format!("the instance could not confirm its manifest for {} ms", age.as_millis()),
                UNCONFIRMED_RETRY_AFTER,
            ),
            Self::Outdated { age } => (
                format!("the instance lacks a newer manifest for {} ms", age.as_millis()),
                OUTDATED_RETRY_AFTER,
            ),
            Self::CatchingUp => ("the instance has just started".to_owned(), OUTDATED_RETRY_AFTER),
            _ => ("the instance has no manifest yet".to_owned(), UNCONFIRMED_RETRY_AFTER),
        };
        RequestError::not_run(RequestErrorKind::NotReady, detail).retry_after(retry_after)
    }
}
