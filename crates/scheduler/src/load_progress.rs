//! What the sender of a load order tells the scheduler while the order is under way.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use crate::api::ORDER_RESPONSE_TIMEOUT;

/// Progress of a load order; clones share it.
///
/// A sender that tells nothing leaves the scheduler with the result alone.
#[derive(Clone, Debug, Default)]
pub struct LoadProgress(Arc<Mutex<Stage>>);

#[derive(Clone, Copy, Debug, Default)]
enum Stage {
    /// The sender has told nothing.
    #[default]
    Untold,
    /// The order has not been accepted; `since` is the time of the latest response, or of the start.
    Awaited { since: Instant, was_resent: bool },
    /// The order has been accepted; the time is absent if an earlier send may have been accepted.
    Accepted { at: Option<Instant> },
}

/// Compares the orders that are followed, not their progress.
impl PartialEq for LoadProgress {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl LoadProgress {
    /// Records that the engine's response is awaited.
    pub fn await_response(&self, now: Instant) {
        let mut stage = self.lock();
        if let Stage::Untold = *stage {
            *stage = Stage::Awaited { since: now, was_resent: false };
        }
    }

    /// Records a response that does not accept the load, such as one to the eviction before it.
    pub fn answered(&self, now: Instant) {
        if let Stage::Awaited { since, .. } = &mut *self.lock() {
            *since = now;
        }
    }

    /// Records that the load was sent again without a response.
    pub fn resent(&self) {
        if let Stage::Awaited { was_resent, .. } = &mut *self.lock() {
            *was_resent = true;
        }
    }

    /// Records that the engine has accepted the load.
    pub fn accepted(&self, now: Instant) {
        let mut stage = self.lock();
        if let Stage::Awaited { was_resent, .. } = *stage {
            *stage = Stage::Accepted { at: (!was_resent).then_some(now) };
        }
    }

    /// Whether the order has had no response for a response timeout.
    pub(crate) fn is_unanswered(&self, now: Instant) -> bool {
        match *self.lock() {
            Stage::Awaited { since, .. } => now > since + ORDER_RESPONSE_TIMEOUT,
            Stage::Untold | Stage::Accepted { .. } => false,
        }
    }

    /// Time of the acceptance, `decided_at` if the sender tells nothing; absent if it is unknown.
    pub(crate) fn accepted_at(&self, decided_at: Instant) -> Option<Instant> {
        match *self.lock() {
            Stage::Untold => Some(decided_at),
            Stage::Awaited { .. } => None,
            Stage::Accepted { at } => at,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Stage> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
