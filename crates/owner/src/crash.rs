//! Finds out whether a target crashed, and which requests ran on it.
//!
//! Architecture Invariant: before a request that ran on a crashed target is sent to another
//! target, the crash is durable in the control log. Otherwise a restart of the owner would give
//! a crashing request another first chance.

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

/// How long a broken connection waits for signs of a crash; a restarted target announces itself
/// within a second.
const CONFIRM_WINDOW: Duration = Duration::from_millis(1500);

/// Pause between looks for signs of a crash.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(50);

/// How long the local copy of the control state may take to show a reported crash.
const VIEW_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests that run on each process start of a target.
#[derive(Default)]
pub(crate) struct CrashWatch {
    running: Mutex<BTreeMap<(TargetId, Incarnation), Running>>,
}

#[derive(Default)]
struct Running {
    requests: BTreeMap<RequestId, Fingerprint>,
    /// Result of the only look for a crash, shared by all requests that lost their connection.
    verdict: Arc<OnceCell<Verdict>>,
}

/// What became of a target whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The target still runs; only the connection broke.
    Alive,
    /// The target crashed, and the crash is durable in the control log.
    Crashed,
    /// The target crashed, but the control log did not take the report.
    NotRecorded,
}

/// Request that counts as running until the value is dropped.
pub(crate) struct RunningGuard<'a> {
    watch: &'a CrashWatch,
    key: (TargetId, Incarnation),
    request: RequestId,
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        let mut running = self.watch.running();
        if let Some(target) = running.get_mut(&self.key) {
            target.requests.remove(&self.request);
            if target.requests.is_empty() {
                running.remove(&self.key);
            }
        }
    }
}

impl CrashWatch {
    /// Counts a request as running on a target.
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
        RunningGuard { watch: self, key, request: request.clone() }
    }

    /// Finds out whether the target crashed and reports the crash with all requests on it.
    pub(crate) async fn investigate(
        &self,
        cx: &OwnerContext,
        guard: &RunningGuard<'_>,
        addr: SocketAddr,
    ) -> Verdict {
        let verdict =
            self.running().get(&guard.key).map(|target| target.verdict.clone()).unwrap_or_default();
        *verdict
            .get_or_init(|| async {
                let (target, incarnation) = &guard.key;
                if !has_crashed(cx, target, *incarnation, addr).await {
                    return Verdict::Alive;
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

    fn running(&self) -> MutexGuard<'_, BTreeMap<(TargetId, Incarnation), Running>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for signs of a crash: a refused connection or another incarnation.
///
/// A refused connection means that the host is up and the process is gone; a network cut looks
/// different.
async fn has_crashed(
    cx: &OwnerContext,
    target: &TargetId,
    incarnation: Incarnation,
    addr: SocketAddr,
) -> bool {
    let deadline = Instant::now() + CONFIRM_WINDOW;
    loop {
        let current = cx.view.read(|state| state.target(target).map(|t| t.announced.incarnation));
        if current.is_some_and(|current| current != incarnation) {
            return true;
        }
        let probe = tokio::time::timeout(CONFIRM_INTERVAL, TcpStream::connect(addr)).await;
        match probe {
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => return true,
            _ if Instant::now() >= deadline => return false,
            _ => tokio::time::sleep(CONFIRM_INTERVAL).await,
        }
    }
}

async fn report(
    cx: &OwnerContext,
    target: TargetId,
    incarnation: Incarnation,
    requests: Vec<Fingerprint>,
) -> Verdict {
    event!(cx.log, TARGET_CRASHED;
        "target" => %target, "incarnation" => incarnation.0, "requests" => requests.len());
    let crash = (target.clone(), incarnation);
    let command = Command::ReportCrash { target, incarnation, requests: requests.clone() };
    match cx.propose(command).await {
        Ok(Reply::Refused(_)) | Err(_) => return Verdict::NotRecorded,
        Ok(_) => {}
    }
    let mut changed = cx.view.changed();
    let seen = tokio::time::timeout(VIEW_TIMEOUT, async {
        // An earlier crash of the same request does not show that this one has arrived.
        let is_counted =
            |request: &Fingerprint| cx.view.read(|state| state.is_crash_counted(request, &crash));
        while !requests.iter().all(is_counted) && changed.changed().await.is_ok() {}
    });
    match seen.await {
        Ok(()) => Verdict::Crashed,
        Err(_) => Verdict::NotRecorded,
    }
}
