//! What a planned stop does with requests in progress.
//!
//! From the begin of a stop, a request is sent only while its run can be expected to end before the
//! process does. One that waits for longer is refused, and another instance can still serve it. What was
//! sent and is not finished at the end is ended with an error, or as an incomplete stream.
//!
//! Architecture Invariant: no wait of a request for its next send outlives the process. A request that a
//! target may have run is not refused: `RequestRun::give_up` tells its caller so.

use std::{
    sync::{MutexGuard, PoisonError},
    time::Duration,
};

use shallotdrum_links::read_arrived;
use shallotdrum_telemetry::event;
use shallotdrum_types::{RequestError, RequestErrorKind};
use tokio::time::{Instant, sleep_until};

use crate::{
    Gateway, RunTimes,
    allotments::served_kind,
    exchange::{RETRY_AFTER_CLOSE, RequestRun},
    grant::Granted,
};

/// Time in which an owner learns that a request waits no longer, from an instance with a small share of a
/// core. It would count a request that returns earlier twice, and refuse it for its queue.
const CANCEL_TIME: Duration = Duration::from_millis(250);

/// Begin and end of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// When it began.
    pub begins_at: Instant,
    /// When what is still in progress is ended.
    pub ends_at: Instant,
}

impl StopTimes {
    /// Part of the stop that a run is expected to take at most if no run of its kind is known.
    const UNKNOWN_RUN_SHARE: u32 = 2;

    /// Last time at which a request is sent; absent if its deadline is not later than the end of the stop.
    pub fn last_send(&self, deadline: Instant, run_time: Option<Duration>) -> Option<Instant> {
        if deadline <= self.ends_at {
            return None;
        }
        let whole = self.ends_at.saturating_duration_since(self.begins_at);
        let run_time = run_time.unwrap_or(whole / Self::UNKNOWN_RUN_SHARE);
        Some(self.ends_at - run_time.min(whole))
    }
}

impl Gateway {
    /// Begins a planned stop, which ends what is then in progress at `ends_at`.
    pub fn begin_stop(&self, ends_at: Instant) {
        self.in_progress.begin_stop();
        let times = StopTimes { begins_at: Instant::now(), ends_at };
        self.stop.send_if_modified(|stop| match stop {
            Some(_) => false,
            None => {
                *stop = Some(times);
                true
            }
        });
    }

    /// Logs the requests that end with the process, and what became of the others since `begin_stop`.
    pub fn log_stop(&self) {
        let cut = self.in_progress.list();
        for request in &cut {
            event!(self.cx.log, REQUEST_CUT; "request" => %request.id, "stage" => %request.stage,
                "stage_ms" => request.since.elapsed().as_millis() as u64,
                "ms" => request.arrived.elapsed().as_millis() as u64,
                "left_ms" => request.left().as_millis() as u64, "was_sent" => request.was_sent);
        }
        let counts = self.in_progress.since_stop().unwrap_or_default();
        event!(self.cx.log, STOP_COUNTED; "in_progress" => counts.in_progress,
            "answered" => counts.answered, "refused" => counts.refused, "failed" => counts.failed,
            "broken" => counts.broken, "cut" => cut.len());
    }

    pub(crate) fn stop_times(&self) -> Option<StopTimes> {
        *self.stop.borrow()
    }

    pub(crate) fn run_times(&self) -> MutexGuard<'_, RunTimes> {
        self.run_times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn expected_run_time(&self, run: &RequestRun) -> Option<Duration> {
        // Only a part of a stream is left once it has begun, and without it the stream is broken.
        if run.is_relayed {
            return Some(Duration::ZERO);
        }
        self.run_times().expected(&served_kind(run), Instant::now().into_std())
    }

    /// Runs what precedes a send, unless a planned stop leaves no time to send the request meanwhile. What is
    /// ready counts.
    pub(crate) async fn unless_too_late<T>(
        &self,
        too_late: impl Future<Output = ()>,
        preparation: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            prepared = preparation => Some(prepared),
            () = too_late => None,
        }
    }

    /// Waits for a place, until a planned stop leaves no time to send the request.
    pub(crate) async fn take_place_in_time(
        &self,
        run: &mut RequestRun,
    ) -> Result<Granted, RequestError> {
        // Nothing is reserved for a request that is too late from the begin.
        if self.is_too_late(run) {
            return Err(self.refuse_for_stop(run));
        }
        let too_late = self.too_late(run);
        match self.unless_too_late(too_late, self.take_place(run)).await {
            Some(granted) if granted.is_err() || !self.is_too_late(run) => granted,
            // Callers of requests that are refused together return one after the other.
            _ => {
                let delay = CANCEL_TIME.mul_f64(1.0 + rand::random::<f64>());
                Err(self.refuse_for_stop(run).retry_after(delay))
            }
        }
    }

    /// Whether a planned stop leaves no time to send the request.
    pub(crate) fn is_too_late(&self, run: &RequestRun) -> bool {
        let last_send = self
            .stop_times()
            .and_then(|stop| stop.last_send(run.deadline, self.expected_run_time(run)));
        last_send.is_some_and(|last_send| Instant::now() >= last_send)
    }

    /// Resolves when a planned stop leaves no time to send the request; does not borrow it.
    pub(crate) fn too_late(&self, run: &RequestRun) -> impl Future<Output = ()> + use<> {
        let mut stop = self.stop.subscribe();
        let (run_time, deadline) = (self.expected_run_time(run), run.deadline);
        async move {
            let times = stop.wait_for(Option::is_some).await.ok().and_then(|times| *times);
            match times.and_then(|times| times.last_send(deadline, run_time)) {
                Some(last_send) => sleep_until(last_send).await,
                None => std::future::pending().await,
            }
        }
    }

    /// Resolves at the end of a planned stop, once what had arrived by then could be read.
    pub(crate) fn stop_end(&self) -> impl Future<Output = ()> + use<> {
        let mut stop = self.stop.subscribe();
        async move {
            let times = stop.wait_for(Option::is_some).await.ok().and_then(|times| *times);
            match times {
                Some(times) => sleep_until(times.ends_at).await,
                None => std::future::pending().await,
            }
            read_arrived().await;
        }
    }

    /// Logs that a planned stop ends a request before its next send, and returns the error of one of which
    /// nothing was sent.
    pub(crate) fn refuse_for_stop(&self, run: &RequestRun) -> RequestError {
        let (stage, since) = run.progress.stage();
        let now = Instant::now();
        let ends_after = self.stop_times().map(|stop| stop.ends_at.saturating_duration_since(now));
        event!(self.cx.log, REFUSED_FOR_STOP; "request" => %run.req.id, "stage" => %stage,
            "stage_ms" => since.elapsed().as_millis() as u64,
            "ms" => run.req.arrived.elapsed().as_millis() as u64,
            "left_ms" => run.deadline.saturating_duration_since(now).as_millis() as u64,
            "run_ms" => self.expected_run_time(run).map(|time| time.as_millis() as u64),
            "stop_ends_ms" => ends_after.map(|time| time.as_millis() as u64));
        stopping()
    }
}

/// Error of a request that another instance is to serve.
pub(crate) fn stopping() -> RequestError {
    let detail = "this instance is stopping; send the request to another one";
    RequestError::not_run(RequestErrorKind::NotReady, detail).retry_after(RETRY_AFTER_CLOSE)
}

/// Error of a request whose response was not complete at the end of a planned stop.
pub(crate) fn stopped_unfinished() -> RequestError {
    let detail = "this instance stopped before the target's response was complete";
    RequestError::unknown(RequestErrorKind::TargetFailed, detail)
}
