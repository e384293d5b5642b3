//! Forwarding of one request to the owner of a group: choice of the group, waits and retries.
//!
//! Architecture Invariant: `may_have_run` becomes true with the first forwarding attempt that was
//! neither certainly unsent nor refused as not run, and stays true; from then on no error of the
//! request has the outcome "not run".

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use shallotdrum_owner::ForwardError;
use shallotdrum_telemetry::event;
use shallotdrum_types::{GroupId, LogIndex, Outcome, PoolId, RequestError, RequestErrorKind};
use tokio::{sync::watch, time::Instant};

use crate::{
    Owner,
    catalog::GroupOwner,
    context::Shared,
    routing::{self, InFlightGuard},
};

/// Timeout for a group to get a reachable owner: the lease of the previous owner (3 s), an
/// election (2 s), and the same again, because the new owner can be lost right after it took over.
const MAX_OWNER_WAIT: Duration = Duration::from_secs(10);
/// Initial back-off. A group that is released in a planned handover has a new owner after about one
/// round of log replication.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum back-off.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Longest `retry_after` of a refusal that is retried; one with a longer delay goes to the caller.
const MAX_REFUSAL_DELAY: Duration = Duration::from_secs(3);
/// Retries after a lost owner; bounds how many owners a request that crashes them can reach.
const MAX_LOSSES: u32 = 3;
/// Retries in total, including those after refusals for lack of a target.
const MAX_RETRIES: u32 = 5;
/// `Retry-After` of errors for lack of an owner, a target or retry budget.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after the deadline in which the owner can still report whether the request ran.
pub(crate) const DEADLINE_GRACE: Duration = Duration::from_millis(250);
/// Interval at which a pending step checks that the owner's session has not ended, and that the instance does
/// not stop.
const LIVENESS_CHECK: Duration = Duration::from_millis(500);

/// Forwarding state of one request.
pub(crate) struct Route {
    pub(crate) shared: Arc<Shared>,
    pub(crate) deadline: Instant,
    pool: PoolId,
    /// Hashed to choose the group.
    key: String,
    changes: watch::Receiver<LogIndex>,
    in_flight_guard: Option<InFlightGuard>,
    /// Group that had no target; chosen again only if the pool has no other.
    excluded: Option<GroupId>,
    /// When the wait for a reachable owner times out; set while the group has none.
    owner_wait_end: Option<Instant>,
    backoff: Duration,
    retries: u32,
    /// Number of failed attempts in which the request may have run.
    losses: u32,
    max_losses: u32,
    may_have_run: bool,
}

impl Route {
    /// Creates the state of a new request; requests with the same `key` prefer the same group.
    pub(crate) fn new(shared: &Arc<Shared>, pool: PoolId, key: String, deadline: Instant) -> Self {
        shared.budget.deposit();
        Self {
            shared: shared.clone(),
            deadline,
            pool,
            key,
            changes: shared.cx.catalog.changes(),
            in_flight_guard: None,
            excluded: None,
            owner_wait_end: None,
            backoff: MIN_BACKOFF,
            retries: 0,
            losses: 0,
            max_losses: MAX_LOSSES,
            may_have_run: false,
        }
    }

    /// Sets the maximum number of retries after lost owners.
    pub(crate) fn limit_losses(&mut self, max: u32) {
        self.max_losses = max;
    }

    /// When the instance ends the request because it stops; absent unless that is before the deadline.
    fn stop_at(&self) -> Option<Instant> {
        self.shared.stop_at.get().copied().filter(|at| *at < self.deadline)
    }

    /// When the request ends at the latest, apart from the wait for an owner's last report.
    fn end(&self) -> Instant {
        self.stop_at().unwrap_or(self.deadline)
    }

    /// Milliseconds that the owner has for the request, at least 1. An instance that stops leaves time for the
    /// owner's report of a request that did not run.
    pub(crate) fn left_ms(&self) -> u64 {
        let end = self.stop_at().map_or(self.deadline, |at| at - DEADLINE_GRACE);
        let left = end.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1)
    }

    /// Chooses a group unless one is chosen already; waits while the group has no owner.
    pub(crate) async fn resolve_owner(&mut self) -> Result<(GroupId, Owner), RequestError> {
        loop {
            if Instant::now() >= self.end() {
                return Err(self.deadline_exceeded("before the request reached a target"));
            }
            self.changes.borrow_and_update();
            let group = match self.in_flight_guard.as_ref().map(|guard| guard.group().clone()) {
                Some(group) => group,
                None => self.choose_group()?,
            };
            match self.shared.cx.catalog.owner(&group) {
                GroupOwner::Owned(owner) => {
                    self.shared.cx.metrics.forwarded().inc();
                    return Ok((group, owner));
                }
                GroupOwner::Unowned => self.wait_for_owner(&group, None).await?,
                GroupOwner::Gone => self.in_flight_guard = None,
            }
        }
    }

    fn choose_group(&mut self) -> Result<GroupId, RequestError> {
        let group = routing::choose(&self.shared, &self.pool, &self.key, self.excluded.as_ref());
        let Some(group) = group else {
            let detail = format!("pool {} has no targets; try again later", self.pool);
            let error = RequestError::not_run(RequestErrorKind::NoTarget, detail);
            return Err(self.final_error(error.retry_after(RETRY_AFTER)));
        };
        self.in_flight_guard = Some(InFlightGuard::new(&self.shared, group.clone()));
        Ok(group)
    }

    /// Called when the owner responds; ends the wait for a reachable owner.
    pub(crate) fn reset_backoff(&mut self) {
        self.owner_wait_end = None;
        self.backoff = MIN_BACKOFF;
    }

    /// Handles a failed attempt: waits until the next one is due, or returns the final error.
    pub(crate) async fn recover(
        &mut self,
        group: &GroupId,
        owner: Owner,
        error: ForwardError,
    ) -> Result<(), RequestError> {
        let (error, is_owner_lost) = match error {
            // Nothing was sent, so a retry adds no load to targets and needs no budget.
            ForwardError::NotSent { .. } => {
                return self.wait_for_owner(group, Some(owner)).await;
            }
            ForwardError::Refused(error) => (error, false),
            ForwardError::Lost { .. } | ForwardError::Malformed { .. } => {
                event!(
                    self.shared.cx.log, ENTRY_OWNER_LOST;
                    "group" => %group, "owner" => %owner.addr, "error" => %error
                );
                let detail =
                    format!("the owner of group {group} was lost; the request may have run");
                (RequestError::unknown(RequestErrorKind::TargetFailed, detail), true)
            }
        };
        let is_not_run = error.outcome == Outcome::NotRun;
        self.may_have_run |= !is_not_run;
        let is_retryable = match error.kind {
            _ if is_owner_lost => self.losses < self.max_losses,
            // The instance is not, or no longer, the owner, and nothing was sent to a target. Its
            // `retry_after` is for callers, which can't tell when the group has a new owner.
            RequestErrorKind::NotReady if is_not_run => {
                return self.wait_for_owner(group, Some(owner)).await;
            }
            RequestErrorKind::NotReady => self.losses < self.max_losses,
            RequestErrorKind::NoTarget => is_not_run,
            _ => false,
        };
        let delay = error.retry_after.unwrap_or_default();
        if !is_retryable || delay > MAX_REFUSAL_DELAY {
            return Err(self.final_error(error));
        }
        self.losses += u32::from(!is_not_run);
        if error.kind == RequestErrorKind::NoTarget {
            self.excluded = Some(group.clone());
            self.in_flight_guard = None;
        }
        self.withdraw_retry(error)?;
        let delay =
            if self.losses > 1 { delay.max(self.shared.cfg.repeated_loss_pause) } else { delay };
        self.back_off(group, owner, delay).await;
        Ok(())
    }

    /// Withdraws a retry from the budget; returns `error` as final if no retry is left.
    fn withdraw_retry(&mut self, error: RequestError) -> Result<(), RequestError> {
        self.retries += 1;
        if self.retries > MAX_RETRIES || Instant::now() >= self.end() {
            return Err(self.final_error(error));
        }
        if let Err(exhausted) = self.shared.budget.withdraw(std::time::Instant::now()) {
            if exhausted.is_first {
                event!(self.shared.cx.log, ENTRY_RETRY_BUDGET_EMPTY);
            }
            return Err(self.final_error(error.retry_after(RETRY_AFTER)));
        }
        self.shared.cx.metrics.retries().inc();
        Ok(())
    }

    /// Waits for a change of the group's owner; fails after [`MAX_OWNER_WAIT`] without a response.
    async fn wait_for_owner(
        &mut self,
        group: &GroupId,
        previous: Option<Owner>,
    ) -> Result<(), RequestError> {
        let until = *self.owner_wait_end.get_or_insert_with(|| Instant::now() + MAX_OWNER_WAIT);
        if Instant::now() >= until {
            let detail = format!("group {group} has no reachable owner; try again later");
            let error = RequestError::not_run(RequestErrorKind::NoTarget, detail);
            return Err(self.final_error(error.retry_after(RETRY_AFTER)));
        }
        match previous {
            Some(previous) => self.back_off(group, previous, Duration::ZERO).await,
            None => {
                let end = (Instant::now() + self.next_backoff()).min(self.end());
                // Fails only if the replicated state was dropped; the timeout bounds the wait.
                let _ = tokio::time::timeout_at(end, self.changes.changed()).await;
            }
        }
        Ok(())
    }

    /// Backs off for at least `min_delay`, but returns early if the group's owner changes.
    async fn back_off(&mut self, group: &GroupId, previous: Owner, min_delay: Duration) {
        let until = Instant::now() + self.next_backoff().max(min_delay);
        while self.shared.cx.catalog.owner(group) == GroupOwner::Owned(previous) {
            let (now, end) = (Instant::now(), until.min(self.end()));
            if now >= end {
                return;
            }
            let check = (now + LIVENESS_CHECK).min(end);
            if let Ok(Err(_)) = tokio::time::timeout_at(check, self.changes.changed()).await {
                tokio::time::sleep_until(check).await;
            }
        }
    }

    /// Next delay of the exponential back-off, with jitter between half and the full delay.
    fn next_backoff(&mut self) -> Duration {
        let delay = self.backoff;
        self.backoff = (delay * 2).min(MAX_BACKOFF);
        delay.mul_f64(rand::rng().random_range(0.5..1.0))
    }

    /// Runs a forwarding step until it completes, the deadline and its grace period pass, the owner's session
    /// ends, or the instance must end its requests.
    pub(crate) async fn run_step<T>(
        &self,
        owner: Owner,
        step: impl Future<Output = Result<T, ForwardError>>,
    ) -> Result<T, StepError> {
        tokio::pin!(step);
        loop {
            let end = self.stop_at().unwrap_or(self.deadline + DEADLINE_GRACE);
            let check = (Instant::now() + LIVENESS_CHECK).min(end);
            match tokio::time::timeout_at(check, step.as_mut()).await {
                Ok(result) => return result.map_err(StepError::Failed),
                Err(_) if Instant::now() >= end => return Err(StepError::DeadlineExceeded),
                Err(_) if !self.shared.cx.catalog.is_live(owner.session) => {
                    let reason = "the owner's session ended".to_owned();
                    return Err(StepError::Failed(ForwardError::Lost { addr: owner.addr, reason }));
                }
                Err(_) => {}
            }
        }
    }

    /// Error of a request whose deadline passed after it was sent to an owner.
    pub(crate) fn owner_deadline_exceeded(&mut self) -> RequestError {
        self.may_have_run = true;
        self.deadline_exceeded("before the response was complete")
    }

    fn deadline_exceeded(&self, when: &str) -> RequestError {
        let detail = format!("the deadline passed {when}");
        self.final_error(RequestError::not_run(RequestErrorKind::DeadlineExceeded, detail))
    }

    /// Final error of the request: "not run" becomes "unknown" if an attempt may have run it, and a deadline
    /// that the stop of the instance set is told as such.
    pub(crate) fn final_error(&self, mut error: RequestError) -> RequestError {
        if error.kind == RequestErrorKind::DeadlineExceeded && self.stop_at().is_some() {
            let outcome = error.outcome;
            let detail = "this instance stops before the response is complete; use another one";
            error = RequestError::not_run(RequestErrorKind::NotReady, detail);
            error = RequestError { outcome, ..error.retry_after(RETRY_AFTER) };
        }
        if self.may_have_run && error.outcome == Outcome::NotRun {
            error.outcome = Outcome::Unknown;
        }
        error
    }

    /// Takes the guard that counts the request as in flight to its group.
    pub(crate) fn take_in_flight_guard(&mut self) -> Option<InFlightGuard> {
        self.in_flight_guard.take()
    }
}

/// Why a forwarding step failed.
pub(crate) enum StepError {
    /// The deadline and its grace period passed.
    DeadlineExceeded,
    /// The attempt failed, or the owner's session ended.
    Failed(ForwardError),
}
