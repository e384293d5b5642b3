//! Session of this instance: opened at start, renewed every second, renewed by no one else.
//!
//! Architecture Invariant: `current` returns the session only while the leader certainly has not
//! ended it. The lease counts from the time at which the renewal was sent, by the monotonic
//! clock, and ends `CLOCK_DRIFT_MARGIN` early. A process that was frozen finds its lease expired
//! as soon as it runs again.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use shallotdrum_control::{
    CLOCK_DRIFT_MARGIN, Command, ControlView, InstanceInfo, Proposal, Reply, SESSION_LEASE,
};
use shallotdrum_entry::Freshness;
use shallotdrum_owner::HeldPermits;
use shallotdrum_rpc::{ControlClient, RenewRequest, RpcError};
use shallotdrum_telemetry::event;
use shallotdrum_types::{LogIndex, Revision, SessionId, Term};
use tokio::sync::Notify;

/// Pause between renewals; two may fail before the lease ends.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for one renewal, so that a lost answer leaves time for another.
const RENEW_TIMEOUT: Duration = Duration::from_millis(900);

/// Time in which a command reaches a follower from a replica that follows the leader; a replica
/// that takes longer is cut off or overloaded.
const CATCH_UP_TIME: Duration = Duration::from_millis(250);

/// Pause before another try to renew or to open a session.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Session of this instance.
pub(crate) struct SessionKeeper {
    info: InstanceInfo,
    client: ControlClient,
    view: ControlView,
    permits: HeldPermits,
    freshness_bound: Duration,
    serve_when_stale: bool,
    log: slog::Logger,
    state: Mutex<State>,
    /// The leader has applied commands that have not arrived here in time.
    is_behind: Arc<Notify>,
}

#[derive(Default)]
struct State {
    session: Option<SessionId>,
    lease_until: Option<Instant>,
    /// Send time of the last renewal after which this instance had the newest manifest.
    confirmed_at: Option<Instant>,
    /// Revision that the last renewal named, and its send time.
    unconfirmed: Option<(Revision, Instant)>,
    /// Term of the leader that the session was renewed with last.
    leader_term: Term,
    is_draining: bool,
}

/// What the keeper needs from the instance.
pub(crate) struct SessionConfig {
    /// This instance.
    pub(crate) info: InstanceInfo,
    /// Longest time without confirmation that the newest manifest is in force.
    pub(crate) freshness_bound: Duration,
    /// Whether to serve beyond that time.
    pub(crate) serve_when_stale: bool,
}

impl SessionKeeper {
    pub(crate) fn new(
        cfg: SessionConfig,
        client: ControlClient,
        view: ControlView,
        permits: HeldPermits,
        log: slog::Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            info: cfg.info,
            client,
            view,
            permits,
            freshness_bound: cfg.freshness_bound,
            serve_when_stale: cfg.serve_when_stale,
            log,
            state: Mutex::default(),
            is_behind: Arc::default(),
        })
    }

    /// Session whose lease is certainly valid now.
    pub(crate) fn current(&self) -> Option<SessionId> {
        let state = self.state();
        state.session.filter(|_| state.lease_until.is_some_and(|until| Instant::now() < until))
    }

    /// Whether requests may be served.
    pub(crate) fn freshness(&self) -> Freshness {
        let revision = self.view.read(|state| state.revision());
        let mut state = self.state();
        if let Some((named, sent_at)) = state.unconfirmed
            && named <= revision
        {
            state.confirmed_at = Some(sent_at);
            state.unconfirmed = None;
        }
        let age = state.confirmed_at.map(|at| at.elapsed());
        match age {
            _ if state.is_draining => Freshness::Draining,
            None => Freshness::NoManifest,
            Some(_) if revision == Revision(0) => Freshness::NoManifest,
            Some(age) if age > self.freshness_bound && !self.serve_when_stale => {
                Freshness::Stale { age }
            }
            Some(_) => Freshness::Ready,
        }
    }

    /// Notified when commands that the leader has applied do not arrive here in time.
    pub(crate) fn behind(&self) -> Arc<Notify> {
        self.is_behind.clone()
    }

    /// Looks some time after a renewal whether this instance has caught up with the leader.
    fn watch_lag(&self, applied: LogIndex) {
        if self.view.applied() >= applied {
            return;
        }
        let (view, is_behind) = (self.view.clone(), self.is_behind.clone());
        tokio::spawn(async move {
            tokio::time::sleep(CATCH_UP_TIME).await;
            if view.applied() < applied {
                is_behind.notify_one();
            }
        });
    }

    /// Term of the leader that the session was renewed with last.
    pub(crate) fn leader_term(&self) -> Term {
        self.state().leader_term
    }

    /// Marks the instance as stopping, so that the leader gives it no more groups.
    pub(crate) async fn begin_drain(&self) {
        self.state().is_draining = true;
        let Some(session) = self.state().session else { return };
        let command = Command::DrainSession { session };
        if let Err(error) = self.client.propose(Proposal::Command(command)).await {
            event!(self.log, SESSION_DRAIN_FAILED; "session" => session.0, "error" => %error);
        }
    }

    /// Opens the session and renews it until the task is dropped.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let session = self.state().session;
            let pause = match session {
                Some(session) => self.renew(session).await,
                None => self.open().await,
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Ends the session of a stopping instance.
    pub(crate) async fn end(&self) {
        let Some(session) = self.state().session.take() else { return };
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
                self.state().session = Some(session);
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
        };
        let sent_at = Instant::now();
        match self.client.renew(request, RENEW_TIMEOUT).await {
            Ok(reply) => {
                let mut state = self.state();
                state.lease_until = Some(sent_at + SESSION_LEASE - CLOCK_DRIFT_MARGIN);
                state.unconfirmed = Some((reply.revision, sent_at));
                state.leader_term = reply.term;
                drop(state);
                self.freshness();
                self.watch_lag(reply.applied);
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
