//! Way of one request to the owner of a group, with retries.
//!
//! Architecture Invariant: `may_have_run` becomes true with the first forward that was neither
//! certainly unsent nor refused as not run, and stays true; from then on no error of the request
//! says "not run".

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
    routing::{self, Ticket},
};

/// Longest wait for a group to get a reachable owner: the lease of the old one (3 s), an election
/// (2 s) and as much again, because a new owner can be lost right after the old one.
const MAX_OWNER_WAIT: Duration = Duration::from_secs(10);
/// First pause between two tries; a group that is released on purpose has a new owner after about
/// one round of the log.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause that a refusal may ask for before the caller is told to come back instead.
const MAX_REFUSAL_PAUSE: Duration = Duration::from_secs(3);
/// Times that a request is sent again after a loss; one that breaks each owner is not sent on.
const MAX_LOSSES: u32 = 3;
/// Times that a request is sent again in all, also after refusals for lack of a target.
const MAX_RETRIES: u32 = 5;
/// Pause that a caller is told when no owner or target is there.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time that the owner has, after the deadline, to say whether the request ran.
pub(crate) const DEADLINE_GRACE: Duration = Duration::from_millis(250);
/// How often a silent forward checks that the owner's session has not ended.
const LIVENESS_CHECK: Duration = Duration::from_millis(500);

/// Way of one request to the owner of a group.
pub(crate) struct Route {
    pub(crate) shared: Arc<Shared>,
    pub(crate) deadline: Instant,
    pool: PoolId,
    key: String,
    changes: watch::Receiver<LogIndex>,
    ticket: Option<Ticket>,
    avoid: Option<GroupId>,
    wait_until: Option<Instant>,
    pause: Duration,
    retries: u32,
    losses: u32,
    max_losses: u32,
    may_have_run: bool,
}

impl Route {
    /// Starts the way of a request; `key` is what the group is chosen by.
    pub(crate) fn new(shared: &Arc<Shared>, pool: PoolId, key: String, deadline: Instant) -> Self {
        shared.budget.earn();
        Self {
            shared: shared.clone(),
            deadline,
            pool,
            key,
            changes: shared.cx.catalog.changes(),
            ticket: None,
            avoid: None,
            wait_until: None,
            pause: FIRST_PAUSE,
            retries: 0,
            losses: 0,
            max_losses: MAX_LOSSES,
            may_have_run: false,
        }
    }

    /// Limits how often the request is sent again after its owner was lost.
    pub(crate) fn limit_losses(&mut self, max: u32) {
        self.max_losses = max;
    }

    /// Time left for the answer, in milliseconds.
    pub(crate) fn left_ms(&self) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1)
    }

    /// Finds the group and its owner; waits while the group has none.
    pub(crate) async fn owner(&mut self) -> Result<(GroupId, Owner), RequestError> {
        loop {
            if Instant::now() >= self.deadline {
                return Err(self.deadline_exceeded("before the request reached a target"));
            }
            self.changes.borrow_and_update();
            let group = match self.ticket.as_ref().map(|ticket| ticket.group().clone()) {
                Some(group) => group,
                None => self.choose()?,
            };
            match self.shared.cx.catalog.owner(&group) {
                GroupOwner::Owned(owner) => {
                    self.shared.cx.metrics.forwarded().inc();
                    return Ok((group, owner));
                }
                GroupOwner::Unowned => self.wait_for_owner(&group, None).await?,
                GroupOwner::Gone => self.ticket = None,
            }
        }
    }

    fn choose(&mut self) -> Result<GroupId, RequestError> {
        let group = routing::choose(&self.shared, &self.pool, &self.key, self.avoid.as_ref());
        let Some(group) = group else {
            let detail = format!("pool {} has no targets; try again later", self.pool);
            let error = RequestError::not_run(RequestErrorKind::NoTarget, detail);
            return Err(self.fail(error.retry_after(RETRY_AFTER)));
        };
        self.ticket = Some(Ticket::new(&self.shared, group.clone()));
        Ok(group)
    }

    /// Notes that the owner has begun to answer.
    pub(crate) fn reached(&mut self) {
        self.wait_until = None;
        self.pause = FIRST_PAUSE;
    }

    /// Decides whether a failed forward is tried again, and waits before it is.
    pub(crate) async fn recover(
        &mut self,
        group: &GroupId,
        owner: Owner,
        error: ForwardError,
    ) -> Result<(), RequestError> {
        let (error, is_lost) = match error {
            // Nothing was sent, so trying again adds no load to targets and needs no budget.
            ForwardError::NotSent { .. } => {
                return self.wait_for_owner(group, Some(owner)).await;
            }
            ForwardError::Refused(error) => (error, false),
            ForwardError::Lost { .. } | ForwardError::Malformed { .. } => {
                event!(
                    self.shared.cx.log, ENTRY_OWNER_LOST;
                    "group" => %group, "owner" => %owner.data, "error" => %error
                );
                let detail =
                    format!("the owner of group {group} was lost; the request may have run");
                (RequestError::unknown(RequestErrorKind::TargetFailed, detail), true)
            }
        };
        let is_not_run = error.outcome == Outcome::NotRun;
        self.may_have_run |= !is_not_run;
        let is_retryable = match error.kind {
            _ if is_lost => self.losses < self.max_losses,
            // The instance is not, or no longer, the owner; nothing reached a target, and the delay
            // that it states is meant for callers, which can't see the next owner.
            RequestErrorKind::NotReady if is_not_run => {
                return self.wait_for_owner(group, Some(owner)).await;
            }
            RequestErrorKind::NotReady => self.losses < self.max_losses,
            RequestErrorKind::NoTarget => is_not_run,
            _ => false,
        };
        let pause = error.retry_after.unwrap_or_default();
        if !is_retryable || pause > MAX_REFUSAL_PAUSE {
            return Err(self.fail(error));
        }
        self.losses += u32::from(!is_not_run);
        if error.kind == RequestErrorKind::NoTarget {
            self.avoid = Some(group.clone());
            self.ticket = None;
        }
        self.spend(error)?;
        let pause =
            if self.losses > 1 { pause.max(self.shared.cfg.repeated_loss_pause) } else { pause };
        self.pause_unless_changed(group, owner, pause).await;
        Ok(())
    }

    /// Takes a retry from the budget, or returns the error as final.
    fn spend(&mut self, error: RequestError) -> Result<(), RequestError> {
        self.retries += 1;
        if self.retries > MAX_RETRIES || Instant::now() >= self.deadline {
            return Err(self.fail(error));
        }
        if let Err(empty) = self.shared.budget.spend(std::time::Instant::now()) {
            if empty.is_first {
                event!(self.shared.cx.log, ENTRY_RETRY_BUDGET_EMPTY);
            }
            return Err(self.fail(error.retry_after(RETRY_AFTER)));
        }
        self.shared.cx.metrics.retries().inc();
        Ok(())
    }

    /// Waits until the group may have another owner.
    async fn wait_for_owner(
        &mut self,
        group: &GroupId,
        old: Option<Owner>,
    ) -> Result<(), RequestError> {
        let until = *self.wait_until.get_or_insert_with(|| Instant::now() + MAX_OWNER_WAIT);
        if Instant::now() >= until {
            let detail = format!("group {group} has no reachable owner; try again later");
            let error = RequestError::not_run(RequestErrorKind::NoTarget, detail);
            return Err(self.fail(error.retry_after(RETRY_AFTER)));
        }
        match old {
            Some(old) => self.pause_unless_changed(group, old, Duration::ZERO).await,
            None => {
                let end = (Instant::now() + self.next_pause()).min(self.deadline);
                // Errors only if the state is gone; the pause then bounds the tries.
                let _ = tokio::time::timeout_at(end, self.changes.changed()).await;
            }
        }
        Ok(())
    }

    /// Pauses with back-off, but not longer than until the group's owner changes.
    async fn pause_unless_changed(&mut self, group: &GroupId, old: Owner, at_least: Duration) {
        let end = Instant::now() + self.next_pause().max(at_least);
        let end = end.min(self.deadline);
        while self.shared.cx.catalog.owner(group) == GroupOwner::Owned(old) {
            match tokio::time::timeout_at(end, self.changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return tokio::time::sleep_until(end).await,
                Err(_) => return,
            }
        }
    }

    /// Next pause: doubles up to the longest, with full jitter above half.
    fn next_pause(&mut self) -> Duration {
        let pause = self.pause;
        self.pause = (pause * 2).min(MAX_PAUSE);
        pause.mul_f64(rand::rng().random_range(0.5..1.0))
    }

    /// Runs a forward step until it ends, the deadline passes or the owner's session ends.
    pub(crate) async fn watch<T>(
        &self,
        owner: Owner,
        step: impl Future<Output = Result<T, ForwardError>>,
    ) -> Result<T, Watched> {
        tokio::pin!(step);
        let end = self.deadline + DEADLINE_GRACE;
        loop {
            let check = (Instant::now() + LIVENESS_CHECK).min(end);
            match tokio::time::timeout_at(check, step.as_mut()).await {
                Ok(result) => return result.map_err(Watched::Failed),
                Err(_) if Instant::now() >= end => return Err(Watched::DeadlineExceeded),
                Err(_) if !self.shared.cx.catalog.is_live(owner.session) => {
                    let reason = "the owner's session ended".to_owned();
                    return Err(Watched::Failed(ForwardError::Lost { addr: owner.data, reason }));
                }
                Err(_) => {}
            }
        }
    }

    /// Error for a request whose deadline passed while an owner had it.
    pub(crate) fn deadline_exceeded_at_owner(&mut self) -> RequestError {
        self.may_have_run = true;
        self.deadline_exceeded("before the answer was whole")
    }

    fn deadline_exceeded(&self, when: &str) -> RequestError {
        let detail = format!("the deadline passed {when}");
        self.fail(RequestError::not_run(RequestErrorKind::DeadlineExceeded, detail))
    }

    /// Turns "not run" into "unknown" if an earlier forward may have run.
    pub(crate) fn fail(&self, mut error: RequestError) -> RequestError {
        if self.may_have_run && error.outcome == Outcome::NotRun {
            error.outcome = Outcome::Unknown;
        }
        error
    }

    /// Releases the count of the request in flight to its group.
    pub(crate) fn take_ticket(&mut self) -> Option<Ticket> {
        self.ticket.take()
    }
}

/// Why a watched step gave no result.
pub(crate) enum Watched {
    /// The deadline passed.
    DeadlineExceeded,
    /// The forward failed.
    Failed(ForwardError),
}
