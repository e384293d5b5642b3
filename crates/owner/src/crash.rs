//! Detects crashes of targets and records the requests that were running on them.
//!
//! Architecture Invariant: before a request that ran on a crashed target is sent to another
//! target, the crash is durable in the control log. Otherwise the crash count of the request would
//! be lost when the owner restarts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use shallotdrum_control::{Command, Reply};
use shallotdrum_telemetry::event;
use shallotdrum_types::{Fingerprint, Incarnation, RequestId, TargetId};
use tokio::{net::TcpStream, sync::OnceCell, time::Instant};

use crate::OwnerContext;

/// How long to look for evidence of a crash after a connection broke; a restarted target announces
/// itself within a second.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval between checks for evidence of a crash.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for the local copy of the control state to apply a reported crash.
const VIEW_TIMEOUT: Duration = Duration::from_secs(3);

/// Tracks the running requests of each target incarnation and detects its crash.
#[derive(Default)]
pub(crate) struct CrashDetector {
    running: Mutex<BTreeMap<(TargetId, Incarnation), RunningRequests>>,
}

#[derive(Default)]
struct RunningRequests {
    requests: BTreeMap<RequestId, Fingerprint>,
    /// Result of the crash check, which runs once for all requests that lost their connection.
    status: Arc<OnceCell<CrashStatus>>,
}

/// Status of a target whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashStatus {
    /// No crash was detected; only the connection broke.
    Alive,
    /// The target crashed, and the crash is durable in the control log.
    Crashed,
    /// The target crashed, but the report was not confirmed by the control log.
    NotRecorded,
}

/// Keeps a request registered as running until dropped.
pub(crate) struct RunningGuard<'a> {
    detector: &'a CrashDetector,
    key: (TargetId, Incarnation),
    request: RequestId,
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        let mut running = self.detector.running();
        if let Some(target) = running.get_mut(&self.key) {
            target.requests.remove(&self.request);
            if target.requests.is_empty() {
                running.remove(&self.key);
            }
        }
    }
}

impl CrashDetector {
    /// Registers a request as running on a target.
    pub(crate) fn enter(
        &self,
        target: &TargetId,
        incarnation: Incarnation,
        request: &RequestId,
        fingerprint: Fingerprint,
    ) -> RunningGuard<'_> {
        let key = (target.clone(), incarnation);
        let mut running = self.running();
        running.entry(key.clone()).or_default().requests.insert(request.clone(), fingerprint);
        RunningGuard { detector: self, key, request: request.clone() }
    }

    /// Checks whether the target crashed; if so, reports the crash and all requests running on it.
    pub(crate) async fn check(
        &self,
        cx: &OwnerContext,
        guard: &RunningGuard<'_>,
        addr: SocketAddr,
    ) -> CrashStatus {
        let status =
            self.running().get(&guard.key).map(|target| target.status.clone()).unwrap_or_default();
        *status
            .get_or_init(|| async {
                let (target, incarnation) = &guard.key;
                if !has_crashed(cx, target, *incarnation, addr).await {
                    return CrashStatus::Alive;
                }
                let requests = self.requests_on(&guard.key);
                report(cx, target.clone(), *incarnation, requests).await
            })
            .await
    }

    fn requests_on(&self, key: &(TargetId, Incarnation)) -> Vec<Fingerprint> {
        let mut requests: Vec<_> = self
            .running()
            .get(key)
            .map(|target| target.requests.values().copied().collect())
            .unwrap_or_default();
        requests.sort_unstable();
        requests.dedup();
        requests
    }

    fn running(&self) -> MutexGuard<'_, BTreeMap<(TargetId, Incarnation), RunningRequests>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for evidence of a crash: a refused connection or a different incarnation.
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
    loop {
        let current = cx.view.read(|state| state.target(target).map(|t| t.announced.incarnation));
        if current.is_some_and(|current| current != incarnation) {
            return true;
        }
        let probe = tokio::time::timeout(CRASH_CHECK_INTERVAL, TcpStream::connect(addr)).await;
        match probe {
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => return true,
            _ if Instant::now() >= deadline => return false,
            _ => tokio::time::sleep(CRASH_CHECK_INTERVAL).await,
        }
    }
}

/// Records a crash in the control log and waits until the local state has applied it.
async fn report(
    cx: &OwnerContext,
    target: TargetId,
    incarnation: Incarnation,
    requests: Vec<Fingerprint>,
) -> CrashStatus {
    event!(cx.log, TARGET_CRASHED;
        "target" => %target, "incarnation" => incarnation.0, "requests" => requests.len());
    let crash = (target.clone(), incarnation);
    let command = Command::ReportCrash { target, incarnation, requests: requests.clone() };
    match cx.propose(command).await {
        Ok(Reply::Refused(_)) | Err(_) => return CrashStatus::NotRecorded,
        Ok(_) => {}
    }
    let mut changed = cx.view.changed();
    let applied = tokio::time::timeout(VIEW_TIMEOUT, async {
        // Checks for this particular crash, as the same request may have crashed a target before.
        let is_counted =
            |request: &Fingerprint| cx.view.read(|state| state.is_crash_counted(request, &crash));
        while !requests.iter().all(is_counted) && changed.changed().await.is_ok() {}
    });
    match applied.await {
        Ok(()) => CrashStatus::Crashed,
        Err(_) => CrashStatus::NotRecorded,
    }
}
