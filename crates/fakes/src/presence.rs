//! Identity and life cycle of a fake target: announcements, leaving, crashes and restarts.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{Method, Request, header::CONTENT_TYPE};
use serde::{Deserialize, Serialize};
use shallotdrum_engine::{
    AnnounceReply, Announcement, ClientTimeouts, EngineClient, Leave, LoadReport, TargetKind,
    full_body,
};
use shallotdrum_types::{AvailabilityZone, Incarnation, PoolId, Region, TargetId};
use tokio::{
    net::TcpListener,
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{clock::next_incarnation, port::ReservedPort, serve::read_body};

/// Interval between announcements if the entry's reply does not set one.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a retry when no entry accepted an announcement.
const ANNOUNCE_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for a request to one entry, after which the next entry is tried.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a retry when listening on the port fails.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Identity, location and addresses of a fake target.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Identifier of the target.
    pub target: TargetId,
    /// Listen address; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address to announce, such as that of a proxy; the listen address if absent.
    pub announce_addr: Option<SocketAddr>,
    /// Pool of the target.
    pub pool: PoolId,
    /// Region of the target.
    pub region: Region,
    /// Availability zone of the target.
    pub zone: AvailabilityZone,
    /// Entries to announce to. One at a time is used, the next one after a failure.
    pub entries: Vec<SocketAddr>,
    /// Effect of a simulated crash.
    pub crash_mode: CrashMode,
}

impl Identity {
    /// A target on a free loopback port that is not announced to any entry.
    pub fn new(target: TargetId, pool: PoolId, region: Region, zone: AvailabilityZone) -> Self {
        Self {
            target,
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            announce_addr: None,
            pool,
            region,
            zone,
            entries: Vec::new(),
            crash_mode: CrashMode::Restart,
        }
    }
}

/// Effect of a simulated crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// All connections close; the fake restarts with a new incarnation after a delay.
    Restart,
    /// The process aborts.
    Abort,
}

/// Results of announcements and other messages to entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PresenceStats {
    /// Number of announcements that an entry accepted.
    pub accepted: u64,
    /// Entry that last accepted a message.
    pub last_entry: Option<SocketAddr>,
    /// Most recent failure, with the entry and the path.
    pub last_error: Option<String>,
}

/// Announces one target and signals its crashes.
pub(crate) struct Presence {
    pub(crate) identity: Identity,
    pub(crate) addr: SocketAddr,
    entries: Mutex<Vec<SocketAddr>>,
    stats: Mutex<PresenceStats>,
    is_leaving: AtomicBool,
    crash: Notify,
    client: EngineClient,
}

impl Presence {
    pub(crate) fn new(identity: Identity, addr: SocketAddr) -> Self {
        Self {
            entries: Mutex::new(identity.entries.clone()),
            identity,
            addr,
            stats: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            crash: Notify::new(),
            client: EngineClient::new(ClientTimeouts::default()),
        }
    }

    pub(crate) fn stats(&self) -> PresenceStats {
        lock(&self.stats).clone()
    }

    pub(crate) fn set_entries(&self, entries: Vec<SocketAddr>) {
        *lock(&self.entries) = entries;
    }

    /// Ends the current incarnation or aborts the process, depending on the crash mode.
    pub(crate) fn crash(&self) {
        match self.identity.crash_mode {
            CrashMode::Restart => self.crash.notify_one(),
            CrashMode::Abort => std::process::abort(),
        }
    }

    /// Waits for the next crash.
    pub(crate) async fn crashed(&self) {
        self.crash.notified().await;
    }

    /// Announces the target until it leaves, then stays pending.
    pub(crate) async fn announce(
        &self,
        incarnation: Incarnation,
        kind: TargetKind,
        load: impl Fn() -> LoadReport,
    ) {
        let mut first = 0;
        while !self.is_leaving.load(Ordering::Relaxed) {
            let announcement = Announcement {
                target: self.identity.target.clone(),
                incarnation,
                addr: self.identity.announce_addr.unwrap_or(self.addr),
                pool: self.identity.pool.clone(),
                region: self.identity.region.clone(),
                zone: self.identity.zone.clone(),
                kind: kind.clone(),
                software: None,
                load: load(),
            };
            let pause = match self.post("/targets/announce", &announcement, &mut first).await {
                Some(body) => {
                    lock(&self.stats).accepted += 1;
                    serde_json::from_slice(&body)
                        .map_or(ANNOUNCE_INTERVAL, |reply: AnnounceReply| {
                            Duration::from_millis(reply.renew_after_ms)
                        })
                }
                None => ANNOUNCE_RETRY_INTERVAL,
            };
            sleep(pause).await;
        }
        std::future::pending::<()>().await;
    }

    /// Announces that the target takes no new work. Tries each entry once and returns whether one
    /// accepted.
    pub(crate) async fn leave(&self, incarnation: Incarnation) -> bool {
        self.is_leaving.store(true, Ordering::Relaxed);
        let leave = Leave { target: self.identity.target.clone(), incarnation };
        self.post("/targets/leave", &leave, &mut 0).await.is_some()
    }

    /// Posts a message to the first entry that accepts it and returns the reply.
    ///
    /// Starts at index `first` and sets it to the index of the entry that accepted.
    pub(crate) async fn post(
        &self,
        path: &str,
        message: &impl Serialize,
        first: &mut usize,
    ) -> Option<bytes::Bytes> {
        let entries = lock(&self.entries).clone();
        for _ in 0..entries.len() {
            let entry = entries[*first % entries.len()];
            match self.post_to(entry, path, message).await {
                Ok(body) => {
                    lock(&self.stats).last_entry = Some(entry);
                    return Some(body);
                }
                Err(reason) => {
                    lock(&self.stats).last_error = Some(format!("{entry}{path}: {reason}"));
                }
            }
            *first = (*first + 1) % entries.len();
        }
        None
    }

    async fn post_to(
        &self,
        entry: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> Result<bytes::Bytes, String> {
        let body = serde_json::to_vec(message).map_err(|e| e.to_string())?;
        let req = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(CONTENT_TYPE, "application/json")
            .body(full_body(body))
            .map_err(|e| e.to_string())?;
        let exchange = async {
            let res = self.client.call(entry, req).await.map_err(|e| e.to_string())?;
            let status = res.status();
            let body = read_body(res.into_body()).await.map_err(|e| e.to_string())?;
            if status.is_success() {
                return Ok(body);
            }
            Err(format!("status {status}: {}", String::from_utf8_lossy(&body)))
        };
        timeout(ENTRY_TIMEOUT, exchange).await.unwrap_or_else(|_| Err("no response".to_owned()))
    }
}

/// Runs incarnations in a loop; `run` returns the delay before the next one.
pub(crate) async fn run_incarnations<R, F>(
    port: ReservedPort,
    mut listener: TcpListener,
    mut incarnation: Incarnation,
    run: R,
) where
    R: Fn(Incarnation, TcpListener) -> F,
    F: Future<Output = Duration>,
{
    loop {
        let delay = run(incarnation, listener).await;
        incarnation = next_incarnation();
        sleep(delay).await;
        listener = loop {
            match port.listen() {
                Ok(listener) => break listener,
                Err(_) => sleep(LISTEN_RETRY_INTERVAL).await,
            }
        };
    }
}

/// Locks a mutex, ignoring poisoning so that a test can still read the state after a panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
