//! Requests that were sent to a target and got no complete response, until the target is known to
//! have survived them or a later process shows that it crashed.
//!
//! Architecture Invariant: a target is known to have survived a request once it answers another one, which
//! was sent after the end of that request, on a connection that had been opened before that request was sent.
//! On any other connection, the answer may be that of a later process whose first report has not arrived
//! here. It counts once such a report would have arrived.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use shallotdrum_types::RequestIdentity;
use tokio::time::Instant;

use crate::{
    OwnerContext,
    crash::{Crash, CrashDetector, Process, is_replaced},
};

/// Time for which a later process of a target counts as evidence that an unanswered request crashed
/// the target. Targets restart within a few seconds.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between checks for a later process.
const SUCCESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Number of checks for a later process after an answer that may be its first one. They take 2 s, and targets
/// report within a second after their start. Checks are counted in place of time because an instance that
/// does not run reads no reports either.
const CHECKS_AFTER_ANSWER: u32 = 8;

/// Maximum number of unanswered requests of a target process; beyond it, the oldest one is dropped.
const MAX_UNANSWERED: usize = 64;

/// Unanswered requests by target process.
#[derive(Debug, Default)]
pub(crate) struct UnansweredRequests(Mutex<BTreeMap<Crash, VecDeque<Unanswered>>>);

#[derive(Clone, Debug)]
struct Unanswered {
    identity: RequestIdentity,
    sent_at: Instant,
    since: Instant,
    /// Checks since this or a later process answered another request.
    checks_after_answer: Option<u32>,
}

impl Unanswered {
    /// Counts a check that found no later process; returns whether the target may have crashed.
    fn count_check(&mut self) -> bool {
        if let Some(checks) = &mut self.checks_after_answer {
            *checks += 1;
        }
        self.since.elapsed() < SUCCESSOR_TIMEOUT
            && self.checks_after_answer.is_none_or(|checks| checks < CHECKS_AFTER_ANSWER)
    }
}

impl UnansweredRequests {
    /// Adds a request; `true` if it is the first one of the process.
    fn add(&self, process: &Crash, identity: RequestIdentity, sent_at: Instant) -> bool {
        let mut processes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_first = !processes.contains_key(process);
        let requests = processes.entry(process.clone()).or_default();
        requests.push_back(Unanswered {
            identity,
            sent_at,
            since: Instant::now(),
            checks_after_answer: None,
        });
        if requests.len() > MAX_UNANSWERED {
            requests.pop_front();
        }
        is_first
    }

    /// Records that a request that was sent at `sent_at` was answered completely, on a connection that was
    /// opened at `connected_at`. Removes the requests that the process is known to have survived.
    pub(crate) fn record_answer(
        &self,
        process: &Crash,
        sent_at: Instant,
        connected_at: Option<Instant>,
    ) {
        let mut processes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(requests) = processes.get_mut(process) else { return };
        let is_survived =
            |request: &Unanswered| connected_at.is_some_and(|at| at <= request.sent_at);
        requests.retain(|request| request.since >= sent_at || !is_survived(request));
        for request in requests.iter_mut().filter(|request| request.since < sent_at) {
            request.checks_after_answer.get_or_insert_default();
        }
    }

    /// Removes the requests whose time is over, and the process if none are left; returns whether
    /// it is watched further.
    fn expire(&self, process: &Crash) -> bool {
        let mut processes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(requests) = processes.get_mut(process) else { return false };
        requests.retain_mut(Unanswered::count_check);
        if requests.is_empty() {
            processes.remove(process);
            return false;
        }
        true
    }

    fn take(&self, process: &Crash) -> Vec<RequestIdentity> {
        let mut processes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let requests = processes.remove(process).unwrap_or_default();
        requests.into_iter().map(|request| request.identity).collect()
    }
}

impl CrashDetector {
    /// Watches for a later process of a target that did not respond completely to a request.
    pub(crate) fn watch_unanswered(
        self: &Arc<Self>,
        cx: &OwnerContext,
        process: &Process,
        identity: RequestIdentity,
        sent_at: Instant,
    ) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        if self.unanswered.add(&process.key, identity, sent_at) {
            let (detector, cx, process) = (self.clone(), cx.clone(), process.clone());
            runtime.spawn(async move { detector.wait_for_successor(&cx, process).await });
        }
    }

    async fn wait_for_successor(self: &Arc<Self>, cx: &OwnerContext, process: Process) {
        let (target, incarnation) = &process.key;
        let mut changed = cx.view.changed();
        loop {
            changed.mark_unchanged();
            let (is_replaced, is_leaving) = cx.view.read(|state| {
                let is_draining = state.target(target).is_some_and(|current| {
                    current.announced.incarnation == *incarnation && current.draining
                });
                let is_leaving = is_draining || state.has_left(target, *incarnation);
                (is_replaced(state, target, *incarnation, process.addr), is_leaving)
            });
            if is_replaced {
                let unanswered = self.unanswered.take(&process.key);
                let requests = [unanswered, self.requests_on(&process.key)].concat();
                self.report_news(cx, process.key.clone(), requests).await;
                return;
            }
            // A target that leaves by itself does not crash.
            if is_leaving {
                self.unanswered.take(&process.key);
                return;
            }
            while let Ok(false) = changed.has_changed() {
                if !self.unanswered.expire(&process.key) {
                    return;
                }
                tokio::time::sleep(SUCCESSOR_CHECK_INTERVAL).await;
            }
            if changed.has_changed().is_err() {
                // The instance stops.
                return;
            }
        }
    }
}
