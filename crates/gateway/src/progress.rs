//! What each request in progress waits for.
//!
//! A planned stop counts what becomes of the requests from its begin, and names those that it ends with
//! what they waited for.

use std::{
    collections::HashMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use shallotdrum_types::RequestId;
use tokio::time::Instant;

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The route table of an instance that starts.
    Start,
    /// The software version of the stream that it takes up.
    StreamOrigin,
    /// An owner of a share of its customer's allotment.
    Allotment,
    /// A place at a target.
    Place,
    /// The confirmation of its units, by their owner.
    Confirmation,
    /// A witness of its target.
    Witness,
    /// The head of a response.
    Response,
    /// The rest of a response that is returned as a whole.
    Body,
    /// The first event of a stream.
    FirstEvent,
    /// The rest of a stream.
    Stream,
    /// Another attempt.
    Resend,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Start => "start",
            Self::StreamOrigin => "stream-origin",
            Self::Allotment => "allotment",
            Self::Place => "place",
            Self::Confirmation => "confirmation",
            Self::Witness => "witness",
            Self::Response => "response",
            Self::Body => "body",
            Self::FirstEvent => "first-event",
            Self::Stream => "stream",
            Self::Resend => "resend",
        })
    }
}

/// Requests in progress; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct RequestsInProgress(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    next: u64,
    requests: HashMap<u64, RequestState>,
    /// Counts since a planned stop began; absent before.
    since_stop: Option<StopCounts>,
}

/// Request in progress.
#[derive(Clone, Debug)]
pub struct RequestState {
    /// Id by which the caller names it.
    pub id: RequestId,
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller or its route gives up.
    pub deadline: Instant,
    /// What it waits for.
    pub stage: Stage,
    /// Since when it waits for that.
    pub since: Instant,
    /// Whether a part of it may have reached a target.
    pub was_sent: bool,
}

impl RequestState {
    /// Time that is left until its deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// What became of the requests that were in progress when a planned stop began, or arrived later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopCounts {
    /// In progress when the stop began.
    pub in_progress: usize,
    /// Whole responses of targets, and streams that were relayed to their end.
    pub answered: usize,
    /// Refused; they were not run.
    pub refused: usize,
    /// Ended with an error that says that they may have run.
    pub failed: usize,
    /// Streams that ended early, and requests whose callers left.
    pub broken: usize,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With the whole response of a target.
    Answered,
    /// Refused without having run.
    Refused,
    /// With an error; it may have run.
    Failed,
}

/// Request in progress until dropped.
#[derive(Debug)]
pub struct ProgressGuard {
    requests: RequestsInProgress,
    key: u64,
    end: Mutex<Option<RequestEnd>>,
}

impl RequestsInProgress {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request.
    pub fn enter(&self, id: RequestId, arrived: Instant, deadline: Instant) -> ProgressGuard {
        let (stage, since) = (Stage::Start, Instant::now());
        let request = RequestState { id, arrived, deadline, stage, since, was_sent: false };
        let mut state = self.lock();
        let key = state.next;
        state.next += 1;
        state.requests.insert(key, request);
        ProgressGuard { requests: self.clone(), key, end: Mutex::default() }
    }

    /// Counts how requests end from now on.
    pub fn begin_stop(&self) {
        let mut state = self.lock();
        let in_progress = state.requests.len();
        state.since_stop.get_or_insert(StopCounts { in_progress, ..StopCounts::default() });
    }

    /// What became of requests since the begin of a planned stop; absent before.
    pub fn since_stop(&self) -> Option<StopCounts> {
        self.lock().since_stop
    }

    /// Requests in progress now.
    pub fn list(&self) -> Vec<RequestState> {
        self.lock().requests.values().cloned().collect()
    }
}

impl ProgressGuard {
    fn change(&self, change: impl FnOnce(&mut RequestState)) {
        if let Some(request) = self.requests.lock().requests.get_mut(&self.key) {
            change(request);
        }
    }

    /// What the request waits for, and since when.
    pub fn stage(&self) -> (Stage, Instant) {
        let state = self.requests.lock();
        let request = state.requests.get(&self.key);
        request.map_or((Stage::Start, Instant::now()), |request| (request.stage, request.since))
    }

    /// Records what the request waits for from now on.
    pub fn wait_for(&self, stage: Stage) {
        self.change(|request| (request.stage, request.since) = (stage, Instant::now()));
    }

    /// Records the deadline that follows from the request's route.
    pub fn set_deadline(&self, deadline: Instant) {
        self.change(|request| request.deadline = deadline);
    }

    /// Records that the request is sent to a target.
    pub fn record_send(&self) {
        self.change(|request| {
            (request.stage, request.since) = (Stage::Response, Instant::now());
            request.was_sent = true;
        });
    }

    /// Records how the request ended for its caller.
    pub fn record_end(&self, end: RequestEnd) {
        *self.end.lock().unwrap_or_else(PoisonError::into_inner) = Some(end);
    }
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        let end = *self.end.get_mut().unwrap_or_else(PoisonError::into_inner);
        let mut state = self.requests.lock();
        state.requests.remove(&self.key);
        let Some(counts) = &mut state.since_stop else { return };
        let count = match end {
            Some(RequestEnd::Answered) => &mut counts.answered,
            Some(RequestEnd::Refused) => &mut counts.refused,
            Some(RequestEnd::Failed) => &mut counts.failed,
            None => &mut counts.broken,
        };
        *count += 1;
    }
}
