//! Detects crashes of targets and records the requests that were running on them.
//!
//! A crash counts for a request from the moment at which this instance detects it: until the
//! control log has recorded it, `unrecorded` holds it and the report is retried.
//!
//! Architecture Invariant: before a request of the product's own interface that ran on a crashed
//! target is sent to another target, the crash is durable in the control log. Otherwise the crash
//! count of the request would be lost when the owner restarts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::RngExt;
use shallotdrum_control::{
    CallerIdentity, Command, ControlState, Isolation, PartRun, RUNS_PER_CRASH, Reply,
    SHARED_PART_CRASHES_TO_QUARANTINE, SuspectPart,
};
use shallotdrum_engine::GrantedPlace;
use shallotdrum_scheduler::Lease;
use shallotdrum_telemetry::event;
use shallotdrum_types::{Fingerprint, Incarnation, RequestId, RequestIdentity, TargetId};
use tokio::{sync::OnceCell, time::Instant};

use crate::{
    OwnerContext, part_runs::PartRuns, runs::RunCounts, unanswered::UnansweredRequests,
    unrecorded::UnrecordedCrashes,
};

/// How long to look for evidence of a crash after a connection broke; a restarted target announces
/// itself within a second.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval between checks for evidence of a crash.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of checks that open a connection. The port of a crashed process is closed together with
/// its connections, and connections take capacity from a target that is alive.
const MAX_PROBES: u32 = 3;

/// Time for which a request waits for the local copy of the control state to apply its crash.
const VIEW_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a crash that the control log has recorded counts on this instance alone, if the local
/// copy of the control state does not apply it. It may also have been cleared before it was seen here.
const RECORDED_LIFETIME: Duration = Duration::from_secs(30);

/// Delay before the first further attempt to report a crash that the control log did not record; about
/// as long as the election of a leader. Doubles with each attempt.
const REPORT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum delay between attempts.
const MAX_REPORT_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Number of further attempts to report a crash; covers a partition of about half a minute.
const MAX_REPORT_RETRIES: usize = 6;

/// One crash: the target and its incarnation.
pub(crate) type Crash = (TargetId, Incarnation);

/// Target process that runs a request.
#[derive(Clone, Debug)]
pub(crate) struct Process {
    pub(crate) key: Crash,
    pub(crate) addr: SocketAddr,
}

impl From<&Lease> for Process {
    fn from(lease: &Lease) -> Self {
        Self { key: (lease.target.clone(), lease.incarnation), addr: lease.addr }
    }
}

impl From<&GrantedPlace> for Process {
    fn from(place: &GrantedPlace) -> Self {
        Self { key: (place.target.clone(), place.incarnation), addr: place.addr }
    }
}

/// Tracks the running requests of each target incarnation and detects its crash.
pub(crate) struct CrashDetector {
    isolation: Isolation,
    running: Mutex<BTreeMap<Crash, RunningRequests>>,
    pub(crate) unanswered: UnansweredRequests,
    unrecorded: Mutex<UnrecordedCrashes>,
    runs: Mutex<RunCounts>,
    part_runs: Mutex<PartRuns>,
}

#[derive(Default)]
struct RunningRequests {
    requests: BTreeMap<RequestId, RequestIdentity>,
    /// Result of the crash check, which runs once for all requests that lost their connection.
    status: Arc<OnceCell<CrashStatus>>,
}

/// Status of a target whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStatus {
    /// No crash was detected; only the connection broke.
    Alive,
    /// The target crashed, and the crash is durable in the control log.
    Crashed,
    /// The target crashed, but the report was not confirmed by the control log.
    NotRecorded,
}

/// Keeps a request registered as running until dropped.
///
/// If it is dropped before the request is known to have ended, a later process of the target shows
/// that the request was running at a crash.
pub struct RunningGuard {
    detector: Arc<CrashDetector>,
    cx: OwnerContext,
    process: Process,
    request: RequestId,
    identity: RequestIdentity,
    started_at: Instant,
    /// Number of crashes known when the request was sent.
    crashes_known: u64,
    has_ended: AtomicBool,
}

impl RunningGuard {
    /// Records that the request did not run, or that it is known how it ended.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    /// Records that the request was answered completely, on a connection that was opened at `connected_at`
    /// as far as is known. The target may have survived those that ended before it was sent.
    pub fn complete(&self, connected_at: Option<Instant>) {
        self.end();
        self.detector.unanswered.record_answer(&self.process.key, self.started_at, connected_at);
    }

    pub(crate) fn identity(&self) -> &RequestIdentity {
        &self.identity
    }

    /// Records that the run was successful. Returns whether runs on parts with this many crashes are
    /// to be reported, and no report was due before.
    pub(crate) fn succeed(&self, min_crashes: u32) -> bool {
        let Self { detector, cx, process, identity, crashes_known, .. } = self;
        cx.view.read(|state| {
            let mut part_runs = detector.part_runs();
            part_runs.add(process.key.clone(), &identity.parts, *crashes_known);
            part_runs.confirm(|run| detector.is_crashed(state, run));
            let is_suspected = |part: &&Fingerprint| state.suspect_crashes(part) >= min_crashes;
            part_runs.mark_due(identity.parts.iter().filter(is_suspected).copied())
        })
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        {
            let mut running = self.detector.running();
            if let Some(target) = running.get_mut(&self.process.key) {
                target.requests.remove(&self.request);
                if target.requests.is_empty() {
                    running.remove(&self.process.key);
                }
            }
        }
        if !*self.has_ended.get_mut() {
            let (identity, sent_at) = (self.identity.clone(), self.started_at);
            self.detector.watch_unanswered(&self.cx, &self.process, identity, sent_at);
        }
    }
}

impl CrashDetector {
    /// Creates a detector for requests whose suspects run with this isolation.
    pub(crate) fn new(isolation: Isolation) -> Arc<Self> {
        Arc::new(Self {
            isolation,
            running: Mutex::default(),
            unanswered: UnansweredRequests::default(),
            unrecorded: Mutex::default(),
            runs: Mutex::new(RunCounts::new()),
            part_runs: Mutex::new(PartRuns::new()),
        })
    }

    /// Registers a request as running on a target.
    pub(crate) fn enter(
        self: &Arc<Self>,
        cx: &OwnerContext,
        process: Process,
        request: &RequestId,
        identity: impl Into<RequestIdentity>,
    ) -> RunningGuard {
        let identity = identity.into();
        let mut running = self.running();
        let requests = &mut running.entry(process.key.clone()).or_default().requests;
        requests.insert(request.clone(), identity.clone());
        RunningGuard {
            detector: self.clone(),
            cx: cx.clone(),
            process,
            request: request.clone(),
            identity,
            started_at: Instant::now(),
            crashes_known: cx.view.read(ControlState::crash_count),
            has_ended: AtomicBool::new(false),
        }
    }

    /// Checks whether the target crashed; if so, reports the crash and all requests running on it.
    pub(crate) async fn check(
        self: &Arc<Self>,
        cx: &OwnerContext,
        guard: &RunningGuard,
    ) -> CrashStatus {
        let Process { key, addr } = &guard.process;
        let cell = self.running().get(key).map(|target| target.status.clone()).unwrap_or_default();
        let status = *cell
            .get_or_init(|| async {
                if !has_crashed(cx, &key.0, key.1, *addr).await {
                    return CrashStatus::Alive;
                }
                let requests = self.requests_on(key);
                self.report(cx, key.clone(), requests).await
            })
            .await;
        if status == CrashStatus::Alive {
            // The target may crash later, with requests that keep this entry in the table.
            let mut running = self.running();
            if let Some(target) = running.get_mut(key)
                && Arc::ptr_eq(&target.status, &cell)
            {
                target.status = Arc::default();
            }
        } else {
            guard.end();
        }
        status
    }

    /// Number of known crashes of a request, including those not yet recorded.
    pub(crate) fn crashes(&self, state: &ControlState, request: &Fingerprint) -> usize {
        state.suspect_crashes(request) as usize + self.unrecorded_crashes(state, request)
    }

    fn unrecorded_crashes(&self, state: &ControlState, request: &Fingerprint) -> usize {
        let is_recorded = |crash: &Crash| state.is_crash_counted(request, crash);
        self.unrecorded().count(request, is_recorded)
    }

    /// Whether the crashes known to this instance, before the control log quarantines the request,
    /// are too many for it to be sent again.
    pub(crate) fn is_known_cause(&self, state: &ControlState, request: &Fingerprint) -> bool {
        let crashes = self.crashes(state, request);
        let completed = state.suspect_runs(request) + self.runs().unreported(request);
        self.isolation.is_cause(crashes, completed)
    }

    /// Whether the successful runs of a caller's request outweigh its crashes.
    pub(crate) fn is_trusted(&self, state: &ControlState, request: &Fingerprint) -> bool {
        let runs = self.runs().remembered(request).max(state.suspect_runs(request));
        let crashes = self.crashes(state, request) as u64;
        runs > 0 && runs >= RUNS_PER_CRASH.saturating_mul(crashes)
    }

    /// Whether a request is known to have run successfully.
    pub(crate) fn has_run(&self, state: &ControlState, request: &Fingerprint) -> bool {
        self.runs().remembered(request) > 0 || state.suspect_runs(request) > 0
    }

    /// Whether the crashes known to this instance, of which the control log lacks some, are too many for
    /// requests with a part to be sent.
    pub(crate) fn is_known_cause_part(&self, state: &ControlState, part: &Fingerprint) -> bool {
        let unrecorded = self.unrecorded_crashes(state, part);
        unrecorded > 0
            && state.suspect_crashes(part) as usize + unrecorded
                >= SHARED_PART_CRASHES_TO_QUARANTINE
            && !self.may_be_shared(state, part)
    }

    /// Whether a part crashed targets, as far as is known.
    pub(crate) fn is_suspect_part(&self, state: &ControlState, part: &Fingerprint) -> bool {
        self.crashes(state, part) > 0 && !self.may_be_shared(state, part)
    }

    fn may_be_shared(&self, state: &ControlState, part: &Fingerprint) -> bool {
        state.part_had_runs(part) || self.part_runs().contains(part)
    }

    /// Whether the crash of a process is known to this instance.
    fn is_crashed(&self, state: &ControlState, process: &Crash) -> bool {
        state.is_crashed(process) || self.unrecorded().contains(process)
    }

    /// Takes the runs on parts that are to be reported; also returns whether none are left.
    pub(crate) fn take_due_part_runs(&self, cx: &OwnerContext) -> (Vec<PartRun>, bool) {
        cx.view.read(|state| {
            let mut part_runs = self.part_runs();
            part_runs.confirm(|run| self.is_crashed(state, run));
            part_runs.take_due()
        })
    }

    pub(crate) fn requests_on(&self, key: &Crash) -> Vec<RequestIdentity> {
        let running = self.running();
        running
            .get(key)
            .map(|target| target.requests.values().cloned().collect())
            .unwrap_or_default()
    }

    /// Reports a crash for those of the requests for which that has not been done. A process that was seen
    /// to crash by its connections is seen again by its successor.
    pub(crate) async fn report_news(
        self: &Arc<Self>,
        cx: &OwnerContext,
        crash: Crash,
        mut requests: Vec<RequestIdentity>,
    ) {
        cx.view.read(|state| {
            let unrecorded = self.unrecorded();
            requests.retain(|identity| {
                let request = &identity.request;
                !unrecorded.holds(&crash, request) && !state.is_crash_counted(request, &crash)
            });
        });
        if !requests.is_empty() {
            self.report(cx, crash, requests).await;
        }
    }

    /// Reports a crash; if the control log does not record it, the report is retried in the
    /// background.
    pub(crate) async fn report(
        self: &Arc<Self>,
        cx: &OwnerContext,
        crash: Crash,
        mut requests: Vec<RequestIdentity>,
    ) -> CrashStatus {
        requests.sort_unstable();
        requests.dedup();
        event!(cx.log, TARGET_CRASHED;
            "target" => %crash.0, "incarnation" => crash.1.0, "requests" => requests.len());
        self.unrecorded().add(&crash, &requests);
        let report = self.crash_report(crash, requests);
        let status = match report.write(cx).await {
            true => CrashStatus::Crashed,
            false => CrashStatus::NotRecorded,
        };
        if status == CrashStatus::NotRecorded {
            event!(cx.log, CRASH_UNRECORDED;
                "target" => %report.crash.0, "incarnation" => report.crash.1.0);
        }
        let (detector, cx) = (self.clone(), cx.clone());
        let settled = tokio::spawn(async move {
            if status == CrashStatus::NotRecorded {
                report.retry(&cx).await;
            } else {
                let counted = report.wait_until_counted(&cx);
                // The crash is recorded in any case.
                let _ = tokio::time::timeout(RECORDED_LIFETIME, counted).await;
            }
            report.log_suspects(&cx);
            detector.unrecorded().remove(&report.crash, &report.identities);
        });
        if status == CrashStatus::Crashed {
            // Meanwhile the crash counts on this instance.
            let _ = tokio::time::timeout(VIEW_TIMEOUT, settled).await;
        }
        status
    }

    fn crash_report(&self, crash: Crash, identities: Vec<RequestIdentity>) -> CrashReport {
        let mut requests: Vec<_> = identities.iter().flat_map(RequestIdentity::whole).collect();
        requests.sort_unstable();
        requests.dedup();
        // The log weighs a request by any caller and one for any adapter in the same way, by the identities
        // that each includes.
        let mut any_caller: Vec<_> = identities.iter().flat_map(RequestIdentity::groups).collect();
        any_caller.sort_unstable();
        any_caller.dedup();
        let inclusions = identities.iter().flat_map(RequestIdentity::inclusions);
        let mut callers: Vec<_> = inclusions
            .map(|(request, any_caller)| CallerIdentity { request, any_caller })
            .collect();
        callers.sort_unstable();
        callers.dedup();
        let parts = suspect_parts(&identities);
        let command = Command::ReportCrash {
            target: crash.0.clone(),
            incarnation: crash.1,
            completed: self.runs().take(&requests),
            requests: requests.clone(),
            isolation: self.isolation,
            any_caller,
            callers,
            part_runs: self.part_runs().latest(parts.iter().map(|suspect| suspect.part)),
            parts: parts.clone(),
        };
        CrashReport { crash, identities, requests, parts, command }
    }

    fn running(&self) -> MutexGuard<'_, BTreeMap<Crash, RunningRequests>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn runs(&self) -> MutexGuard<'_, RunCounts> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn part_runs(&self) -> MutexGuard<'_, PartRuns> {
        self.part_runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unrecorded(&self) -> MutexGuard<'_, UnrecordedCrashes> {
        self.unrecorded.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Crash of a target process, as this instance reports it.
struct CrashReport {
    crash: Crash,
    /// Requests that were running.
    identities: Vec<RequestIdentity>,
    /// All identities of these requests.
    requests: Vec<Fingerprint>,
    parts: Vec<SuspectPart>,
    command: Command,
}

impl CrashReport {
    /// Writes the report to the control log; returns whether it is recorded.
    async fn write(&self, cx: &OwnerContext) -> bool {
        !matches!(cx.propose(self.command.clone()).await, Ok(Reply::Refused(_)) | Err(_))
    }

    /// Writes the report again until it is recorded. It may have been recorded although the reply was
    /// lost, so each attempt first waits for the local state to show that.
    async fn retry(&self, cx: &OwnerContext) {
        let mut delay = REPORT_RETRY_DELAY;
        for _ in 0..MAX_REPORT_RETRIES {
            let jittered = delay.mul_f64(rand::rng().random_range(1.0..1.5));
            let counted = tokio::time::timeout(jittered, self.wait_until_counted(cx)).await;
            if counted.is_ok() || self.write(cx).await {
                return;
            }
            delay = (2 * delay).min(MAX_REPORT_RETRY_DELAY);
        }
    }

    /// Waits until the local state counts this crash for all requests; they may have crashed other
    /// targets before.
    async fn wait_until_counted(&self, cx: &OwnerContext) {
        let mut changed = cx.view.changed();
        let is_counted = |request: &Fingerprint| {
            cx.view.read(|state| state.is_crash_counted(request, &self.crash))
        };
        while !self.requests.iter().all(is_counted) {
            if changed.changed().await.is_err() {
                // The instance stops.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Logs what is known of the requests and their parts after the crash.
    fn log_suspects(&self, cx: &OwnerContext) {
        let Self { crash, requests, parts, .. } = self;
        for request in requests {
            let (crashes, completed, quarantine) = cx.view.read(|state| {
                let quarantine = state.quarantine_of(request).cloned();
                (state.suspect_crashes(request), state.suspect_runs(request), quarantine)
            });
            match quarantine {
                Some(quarantine) => event!(cx.log, REQUEST_QUARANTINED;
                    "fingerprint" => %request, "crashes" => crashes, "target" => %crash.0,
                    "runs" => quarantine.completed, "suspension_ms" => quarantine.suspension_ms),
                None => event!(cx.log, REQUEST_SUSPECTED;
                    "fingerprint" => %request, "crashes" => crashes, "target" => %crash.0,
                    "runs" => completed),
            }
        }
        for SuspectPart { part, is_first } in parts {
            let (crashes, had_runs) =
                cx.view.read(|state| (state.suspect_crashes(part), state.part_had_runs(part)));
            event!(cx.log, PART_SUSPECTED; "fingerprint" => %part, "crashes" => crashes,
                "target" => %crash.0, "had_runs" => had_runs, "is_first" => is_first);
        }
    }
}

/// Parts of the prompts of requests; the first one of any prompt is marked.
fn suspect_parts(identities: &[RequestIdentity]) -> Vec<SuspectPart> {
    let mut parts = BTreeMap::new();
    for identity in identities {
        for (i, part) in identity.parts.iter().enumerate() {
            *parts.entry(*part).or_default() |= i == 0;
        }
    }
    parts.into_iter().map(|(part, is_first)| SuspectPart { part, is_first }).collect()
}

/// Waits for evidence of a crash: a refused connection or a later process of the target.
///
/// A refused connection shows that the host is up and the process is gone; a network partition
/// leads to a timeout instead.
async fn has_crashed(
    cx: &OwnerContext,
    target: &TargetId,
    incarnation: Incarnation,
    addr: SocketAddr,
) -> bool {
    let deadline = Instant::now() + CRASH_CHECK_TIMEOUT;
    for check in 0.. {
        if cx.view.read(|state| is_replaced(state, target, incarnation, addr)) {
            return true;
        }
        if check < MAX_PROBES && cx.links.is_refused(addr, CRASH_CHECK_INTERVAL).await {
            return true;
        }
        if Instant::now() >= deadline {
            break;
        }
        tokio::time::sleep(CRASH_CHECK_INTERVAL).await;
    }
    false
}

/// Whether a later process has registered as this target, or under another id at its address.
pub(crate) fn is_replaced(
    state: &ControlState,
    target: &TargetId,
    incarnation: Incarnation,
    addr: SocketAddr,
) -> bool {
    let same_id = state.target(target).map(|current| current.announced.incarnation);
    same_id.is_some_and(|current| current != incarnation)
        || state
            .targets()
            .any(|other| other.announced.addr == addr && other.announced.incarnation > incarnation)
}
