//! Crash detection for requests that entries send to targets themselves, under a place.
//!
//! The entry tracks its own requests, so that a crash is noticed whoever owns the group, and also
//! while nobody does. Suspects run beside other requests: with places in use on all targets, a
//! suspect would wait for an empty one until its deadline.

use std::{sync::Arc, time::Duration};

use shallotdrum_control::{Command, CompletedRuns, PartRun, Reply};
use shallotdrum_engine::GrantedPlace;
use shallotdrum_telemetry::event;
use shallotdrum_types::{Fingerprint, RequestId, RequestIdentity};
use tokio::task::JoinHandle;

use crate::{
    OwnerService,
    crash::{CrashDetector, CrashStatus, RunningGuard},
    part_runs::SURVIVAL_TIME,
};

/// Crashes from which successful runs are reported to the control log. Requests with fewer are far
/// from a quarantine, and each crash of a full target leaves dozens of them.
const MIN_CRASHES_TO_REPORT_RUNS: u32 = 2;

/// Delay after which successful runs are reported, all together.
const RUNS_REPORT_DELAY: Duration = Duration::from_millis(500);

impl OwnerService {
    /// Registers a request as running at the target of its place.
    pub fn enter_relayed(
        &self,
        place: &GrantedPlace,
        request: &RequestId,
        identity: RequestIdentity,
    ) -> RunningGuard {
        self.relayed.enter(&self.cx, place.into(), request, identity)
    }

    /// Checks whether the target of a request whose connection broke has crashed.
    ///
    /// Runs in a separate task, so that the crash counts even if the caller disconnects.
    pub fn check_relayed(self: &Arc<Self>, guard: RunningGuard) -> JoinHandle<CrashStatus> {
        let service = self.clone();
        tokio::spawn(async move { service.relayed.check(&service.cx, &guard).await })
    }

    /// Whether the request, or a part of its prompt that is not known to run successfully, was running
    /// at a target when that crashed.
    pub fn is_relayed_suspect(&self, identity: &RequestIdentity) -> bool {
        self.cx.view.read(|state| {
            identity.whole().any(|request| self.relayed.crashes(state, &request) > 0)
                || identity.parts.iter().any(|part| self.relayed.is_suspect_part(state, part))
        })
    }

    /// Counts a successful run of a request, as evidence that neither it nor a part of its prompt
    /// crashes targets.
    pub fn complete_relayed(self: &Arc<Self>, guard: &RunningGuard) {
        let RequestIdentity { request, any_caller, any_adapter, content, .. } = guard.identity();
        let is_first = self.relayed.runs().remembered(request) == 0;
        self.count_run(*request, true);
        for any_caller in any_caller.iter().chain(content) {
            // Further runs of a caller say nothing about the others.
            self.count_run(*any_caller, is_first);
        }
        if let Some(any_adapter) = any_adapter {
            self.count_run(*any_adapter, true);
        }
        self.complete_parts(&self.relayed, guard);
    }

    /// Counts a run if `is_counted`, and reports all runs of a suspect.
    fn count_run(self: &Arc<Self>, request: Fingerprint, is_counted: bool) {
        if is_counted {
            self.relayed.runs().add(request);
        }
        let crashes = self.cx.view.read(|state| state.suspect_crashes(&request));
        if crashes >= MIN_CRASHES_TO_REPORT_RUNS
            && self.relayed.runs().unreported(&request) > 0
            && self.relayed.runs().mark_due(request)
        {
            let service = self.clone();
            tokio::spawn(async move { service.report_runs().await });
        }
    }

    /// Counts a successful run on the parts of a prompt.
    pub(crate) fn complete_parts(
        self: &Arc<Self>,
        crashes: &Arc<CrashDetector>,
        guard: &RunningGuard,
    ) {
        if guard.succeed(MIN_CRASHES_TO_REPORT_RUNS) {
            let (service, crashes) = (self.clone(), crashes.clone());
            tokio::spawn(async move { service.report_part_runs(&crashes).await });
        }
    }

    /// Reports runs on parts when their targets have survived them, unless the report of another
    /// instance has cleared the parts already.
    async fn report_part_runs(&self, crashes: &CrashDetector) {
        let is_suspected = |part: &Fingerprint| {
            self.cx.view.read(|state| state.suspect_crashes(part) >= MIN_CRASHES_TO_REPORT_RUNS)
        };
        loop {
            let delay = RUNS_REPORT_DELAY.mul_f64(rand::random());
            tokio::time::sleep(SURVIVAL_TIME + delay).await;
            let (part_runs, is_done) = crashes.take_due_part_runs(&self.cx);
            let part_runs: Vec<_> =
                part_runs.into_iter().filter(|run| is_suspected(&run.part)).collect();
            if !part_runs.is_empty() {
                self.propose_runs(Vec::new(), part_runs).await;
            }
            if is_done {
                return;
            }
        }
    }

    async fn report_runs(&self) {
        tokio::time::sleep(RUNS_REPORT_DELAY).await;
        let completed = self.relayed.runs().take_due();
        self.propose_runs(completed, Vec::new()).await;
    }

    async fn propose_runs(&self, completed: Vec<CompletedRuns>, part_runs: Vec<PartRun>) {
        let (requests, parts) = (completed.len(), part_runs.len());
        let error = match self.cx.propose(Command::ReportRuns { completed, part_runs }).await {
            Ok(Reply::Refused(error)) => error.to_string(),
            Ok(_) => {
                return event!(self.cx.log, RUNS_REPORTED;
                    "requests" => requests, "parts" => parts);
            }
            Err(error) => error.to_string(),
        };
        event!(self.cx.log, RUNS_NOT_REPORTED;
            "requests" => requests, "parts" => parts, "error" => error);
    }
}
