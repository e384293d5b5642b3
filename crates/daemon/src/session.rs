//! Session of this instance. Only this module opens it, at the start, and renews it every second.
//!
//! Architecture Invariant: `current` returns the session only while the leader cannot have ended
//! it. The lease is counted on `BootInstant` from the time at which the renewal was sent, and ends
//! `CLOCK_DRIFT_MARGIN` early, so a process that was frozen, or whose machine was suspended, sees its
//! lease expired as soon as it resumes. The age of a confirmation is counted in the same way.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use shallotdrum_control::{
    CLOCK_DRIFT_MARGIN, Command, ControlState, ControlView, InstanceInfo, Proposal, Reply,
    SESSION_LEASE,
};
use shallotdrum_owner::HeldPermits;
use shallotdrum_rpc::{ControlClient, RenewRequest, RpcError};
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    BootInstant, Confirmation, ControlFormat, Freshness, LastConfirmation, LogIndex, Revision,
    SessionId, Term,
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Interval of renewals; two may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of one renewal; short enough to retry after a lost reply.
const RENEW_TIMEOUT: Duration = Duration::from_millis(900);

/// Time in which a replica that keeps up with the leader passes a command on to a follower; a
/// replica that takes longer is partitioned or overloaded.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause before a failed renewal or opening is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Opens, renews and ends the session of this instance.
pub(crate) struct SessionManager {
    info: InstanceInfo,
    format: ControlFormat,
    client: ControlClient,
    view: ControlView,
    permits: HeldPermits,
    freshness_bound: Duration,
    is_caught_up: CaughtUpFn,
    started: BootInstant,
    log: slog::Logger,
    state: Mutex<State>,
    /// Newest index that the leader had applied and that did not arrive here in time.
    overdue: watch::Sender<LogIndex>,
}

#[derive(Default)]
struct State {
    session: Option<SessionId>,
    lease_until: Option<BootInstant>,
    confirmations: Confirmations,
    /// Term of the leader that answered the last renewal.
    leader_term: Term,
    is_draining: bool,
    /// Session that the control log has marked as draining.
    drained: Option<SessionId>,
    /// Whether this instance has ended its session for good.
    has_ended: bool,
}

/// Revisions that make up what requests are served by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Revisions {
    manifest: Revision,
    routes: Revision,
}

impl Revisions {
    fn of(state: &ControlState) -> Self {
        Self { manifest: state.revision(), routes: state.route_revision() }
    }

    fn includes(&self, other: &Self) -> bool {
        self.manifest >= other.manifest && self.routes >= other.routes
    }
}

/// What the leader named in its answer to a renewal.
#[derive(Clone, Copy, Debug)]
struct Named {
    revisions: Revisions,
    /// Index that a state must include to be confirmed; one that the leader has applied, from leaders of
    /// earlier releases.
    index: LogIndex,
    term: Term,
    /// Time at which the renewal was sent, from which the confirmation counts.
    sent_at: BootInstant,
}

/// Confirmations by the leader.
#[derive(Default)]
struct Confirmations {
    /// Last answer that this instance has applied.
    last: Option<Named>,
    /// Answers that are not applied here yet, oldest first; of several that name the same index, the
    /// last one.
    pending: VecDeque<Named>,
}

impl Confirmations {
    fn add(&mut self, named: Named) {
        match self.pending.back_mut() {
            Some(last) if last.index == named.index => *last = named,
            _ => self.pending.push_back(named),
        }
    }

    fn advance(&mut self, revisions: Revisions, applied: LogIndex) {
        let is_applied =
            |named: &mut Named| applied >= named.index && revisions.includes(&named.revisions);
        while let Some(named) = self.pending.pop_front_if(is_applied) {
            self.last = Some(named);
        }
    }

    /// Whether the leader named newer revisions than these; its last answer names the newest.
    fn names_newer(&self, revisions: Revisions) -> bool {
        self.pending.back().is_some_and(|named| !revisions.includes(&named.revisions))
    }
}

/// Settings of a [`SessionManager`].
pub(crate) struct SessionConfig {
    /// Description of this instance that opens the session.
    pub(crate) info: InstanceInfo,
    /// Newest format of the control log that this instance says it reads.
    pub(crate) format: ControlFormat,
    /// Maximum time since the newest manifest was last confirmed to be in force here.
    pub(crate) freshness_bound: Duration,
    /// Tells whether this instance has caught up with the control log since its start.
    pub(crate) is_caught_up: CaughtUpFn,
}

/// Returns whether this instance has applied what was committed when it started; called for each
/// request, so it must be cheap.
pub(crate) type CaughtUpFn = Box<dyn Fn() -> bool + Send + Sync>;

impl SessionManager {
    pub(crate) fn new(
        cfg: SessionConfig,
        client: ControlClient,
        view: ControlView,
        permits: HeldPermits,
        log: slog::Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            info: cfg.info,
            format: cfg.format,
            client,
            view,
            permits,
            freshness_bound: cfg.freshness_bound,
            is_caught_up: cfg.is_caught_up,
            started: BootInstant::now(),
            log,
            state: Mutex::default(),
            overdue: watch::Sender::new(LogIndex(0)),
        })
    }

    /// Session, if its lease is valid now.
    pub(crate) fn current(&self) -> Option<SessionId> {
        let state = self.state();
        state.session.filter(|_| state.lease_until.is_some_and(|until| BootInstant::now() < until))
    }

    /// Whether requests may be served, and by which confirmation.
    pub(crate) fn confirmation(&self) -> Confirmation {
        let (revisions, applied) = self.view.read(|state| (Revisions::of(state), state.applied()));
        let mut state = self.state();
        state.confirmations.advance(revisions, applied);
        let last = state.confirmations.last;
        let age = last.map_or(self.started, |named| named.sent_at).elapsed();
        let freshness = match last {
            _ if revisions == Revisions::default() => Freshness::NoManifest,
            // The newest revisions may have arrived without the departures of targets after them.
            _ if !(self.is_caught_up)() => Freshness::CatchingUp,
            Some(_) if age <= self.freshness_bound && state.is_draining => Freshness::Draining,
            Some(_) if age <= self.freshness_bound => Freshness::Ready,
            _ if age > self.freshness_bound && state.confirmations.names_newer(revisions) => {
                Freshness::Outdated { age }
            }
            _ => Freshness::Stale { age },
        };
        let last = last.map(|Named { index, term, .. }| LastConfirmation { index, term, age });
        Confirmation { freshness, last }
    }

    /// Receiver of the newest index that the leader had applied and that did not arrive here in time.
    pub(crate) fn overdue(&self) -> watch::Receiver<LogIndex> {
        self.overdue.subscribe()
    }

    /// Notifies the follower if this instance has not applied `applied` after [`CATCH_UP_TIMEOUT`].
    fn schedule_lag_check(&self, applied: LogIndex) {
        if self.view.applied() >= applied {
            return;
        }
        let (view, overdue) = (self.view.clone(), self.overdue.clone());
        tokio::spawn(async move {
            sleep(CATCH_UP_TIMEOUT).await;
            if view.applied() < applied {
                overdue.send_replace(applied);
            }
        });
    }

    /// Term of the leader that confirmed the last renewal.
    pub(crate) fn leader_term(&self) -> Term {
        self.state().leader_term
    }

    /// Marks the instance as draining, so that the leader assigns it no more groups.
    pub(crate) async fn begin_drain(&self) {
        self.state().is_draining = true;
        self.drain().await;
    }

    /// Marks the session of a draining instance, unless it is marked already.
    async fn drain(&self) {
        let session = {
            let state = self.state();
            match state.session {
                Some(session) if state.is_draining && state.drained != Some(session) => session,
                _ => return,
            }
        };
        let command = Command::DrainSession { session };
        match self.client.propose(Proposal::Command(command)).await {
            Ok(_) => self.state().drained = Some(session),
            Err(error) => {
                event!(self.log, SESSION_DRAIN_FAILED; "session" => session.0, "error" => %error);
            }
        }
    }

    /// Opens the session and renews it until it is ended.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let (session, has_ended) = {
                let state = self.state();
                (state.session, state.has_ended)
            };
            let pause = match session {
                _ if has_ended => return,
                Some(session) => self.renew(session).await,
                None => self.open().await,
            };
            // The session may have been opened during a stop, or the command may have failed. The next renewal
            // does not wait for it.
            let _ = timeout(RENEW_TIMEOUT, self.drain()).await;
            sleep(pause).await;
        }
    }

    /// Ends the session of a stopping instance.
    pub(crate) async fn end(&self) {
        let session = {
            let mut state = self.state();
            state.has_ended = true;
            state.session.take()
        };
        if let Some(session) = session {
            self.propose_end(session).await;
        }
    }

    async fn propose_end(&self, session: SessionId) {
        let command = Command::EndSession { session };
        if let Err(error) = self.client.propose(Proposal::Command(command)).await {
            event!(self.log, SESSION_END_FAILED; "session" => session.0, "error" => %error);
        }
    }

    async fn open(&self) -> Duration {
        let command = Command::OpenSession(self.info.clone());
        match self.client.propose(Proposal::Command(command)).await {
            Ok(Reply::SessionOpened(session)) => {
                event!(self.log, SESSION_OPENED; "session" => session.0);
                let has_ended = {
                    let mut state = self.state();
                    state.session = Some(session).filter(|_| !state.has_ended);
                    state.has_ended
                };
                if has_ended {
                    self.propose_end(session).await;
                }
                Duration::ZERO
            }
            Ok(reply) => {
                event!(self.log, SESSION_REFUSED; "reply" => ?reply);
                RETRY_PAUSE
            }
            Err(error) => {
                event!(self.log, SESSION_RETRIED; "error" => %error);
                RETRY_PAUSE
            }
        }
    }

    async fn renew(&self, session: SessionId) -> Duration {
        let (revision, applied) = self.view.read(|state| (state.revision(), state.applied()));
        let request = RenewRequest {
            session,
            revision,
            applied,
            permits: self.permits.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            format: Some(self.format),
        };
        let sent_at = BootInstant::now();
        match self.client.renew(request, RENEW_TIMEOUT).await {
            Ok(reply) => {
                let mut state = self.state();
                state.lease_until = Some(sent_at + (SESSION_LEASE - CLOCK_DRIFT_MARGIN));
                state.confirmations.add(Named {
                    revisions: Revisions { manifest: reply.revision, routes: reply.routes },
                    index: reply.committed.unwrap_or(reply.applied),
                    term: reply.term,
                    sent_at,
                });
                state.leader_term = reply.term;
                drop(state);
                self.confirmation();
                self.schedule_lag_check(reply.applied);
                RENEW_INTERVAL.saturating_sub(sent_at.elapsed())
            }
            Err(RpcError::NoSession(_)) => {
                event!(self.log, SESSION_ENDED; "session" => session.0);
                let mut state = self.state();
                state.session = None;
                state.lease_until = None;
                Duration::ZERO
            }
            Err(error) => {
                event!(self.log, SESSION_RETRIED; "session" => session.0, "error" => %error);
                RETRY_PAUSE
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
