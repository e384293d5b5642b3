//! Copies of where streams began, at other instances than the entry and the owner that know it.
//!
//! While a pool has several software versions, a stream whose version nobody knows can't be taken up.
//! Its entry therefore copies the version to [`COPIES`] instances, which a hash of the request chooses
//! among the live sessions, and once more when one of them ends. In a pool with a single version
//! nothing is sent; its streams are copied when a second one appears.
//!
//! Architecture Invariant: the instances that hold copies follow from the request and the sessions
//! alone, so that any instance finds them without knowing the entry.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use futures_util::future::join_all;
use jsonrpsee::{core::ClientError, types::ErrorCode};
use shallotdrum_control::SOFTWARE_MEMORY_MS;
use shallotdrum_engine::CopiedOrigin;
use shallotdrum_rpc::{PeerApiClient, RpcError};
use shallotdrum_telemetry::event;
use shallotdrum_types::{Fingerprint, PoolId, RequestId, SessionId, SoftwareVersion};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use crate::{Gateway, exchange::RequestRun};

/// Number of copies of each stream. With the entry that began it, two instances may end one shortly
/// after the other.
pub(crate) const COPIES: usize = 2;

/// Time for which a stream may be taken up.
const MEMORY: Duration = Duration::from_millis(SOFTWARE_MEMORY_MS);

/// Maximum number of streams of which this entry keeps where they began; two minutes at more than a
/// hundred a second.
const MAX_BEGUN: usize = 16_384;

/// Delay from the first new stream until all new ones are copied together. A stream is lost only if
/// its entry ends within this time and the owner that granted its place is gone too.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Interval between checks for changes of the sessions and of the pools' versions.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before copies are sent again that an instance did not take.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Timeout of a message with copies; one to a frozen instance delays the others by this much.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of copies in a message, about 100 KB.
const MAX_BATCH: usize = 1_000;

/// Streams that began at this entry, and which instances hold copies of them; clones share them.
#[derive(Clone, Default)]
pub(crate) struct OriginCopies(Arc<Shared>);

#[derive(Default)]
struct Shared {
    streams: Mutex<BegunStreams>,
    added: Notify,
}

#[derive(Default)]
struct BegunStreams {
    /// Streams that may lack copies.
    pending: VecDeque<Begun>,
    /// Streams that lack none until `needs` change.
    settled: VecDeque<Begun>,
    needs: CopyNeeds,
}

/// What the need for copies depends on, as of the latest check.
#[derive(Default, PartialEq)]
struct CopyNeeds {
    /// Other instances that may hold copies.
    holders: BTreeMap<SessionId, SocketAddr>,
    /// Versions of each pool of late, including those of targets that left.
    versions: HashMap<PoolId, Vec<SoftwareVersion>>,
}

struct Begun {
    origin: CopiedOrigin,
    pool: PoolId,
    at: Instant,
    /// Sessions that have a copy.
    holders: Vec<SessionId>,
}

impl CopyNeeds {
    /// Instances that lack a copy of a stream.
    fn missing(&self, begun: &Begun) -> Vec<(SessionId, SocketAddr)> {
        let versions = self.versions.get(&begun.pool);
        let is_other = |version: &SoftwareVersion| *version != begun.origin.software;
        let needs_copies = versions.is_some_and(|versions| versions.iter().any(is_other));
        let chosen = match needs_copies {
            true => ranked_holders(&begun.origin.request, &self.holders),
            false => Vec::new(),
        };
        let chosen = chosen.into_iter().take(COPIES);
        chosen.filter(|(session, _)| !begun.holders.contains(session)).collect()
    }
}

/// Orders sessions by how they are chosen to hold copies of a stream.
pub(crate) fn ranked_holders(
    request: &RequestId,
    sessions: &BTreeMap<SessionId, SocketAddr>,
) -> Vec<(SessionId, SocketAddr)> {
    let mut sessions: Vec<_> = sessions.iter().map(|(session, addr)| (*session, *addr)).collect();
    sessions.sort_by_cached_key(|(session, _)| {
        Fingerprint::of(format!("{request} {session}").as_bytes())
    });
    sessions
}

impl OriginCopies {
    /// Adds a stream that began at this entry.
    fn add(&self, request: &RequestId, pool: &PoolId, software: &SoftwareVersion) {
        let origin = CopiedOrigin { request: request.clone(), software: software.clone() };
        let (at, holders) = (Instant::now(), Vec::new());
        // In a pool with a single version nothing is due.
        if self.streams().add(Begun { origin, pool: pool.clone(), at, holders }) {
            self.0.added.notify_one();
        }
    }

    /// Waits until copies may be due.
    async fn wait(&self, is_complete: bool) {
        if !is_complete {
            sleep(RETRY_DELAY).await;
        } else if timeout(CHECK_INTERVAL, self.0.added.notified()).await.is_ok() {
            sleep(BATCH_DELAY).await;
        }
    }

    fn streams(&self) -> MutexGuard<'_, BegunStreams> {
        self.0.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BegunStreams {
    /// Adds a stream; returns whether it may lack copies.
    fn add(&mut self, begun: Begun) -> bool {
        let is_new_pool = !self.needs.versions.contains_key(&begun.pool);
        let is_pending = is_new_pool || !self.needs.missing(&begun).is_empty();
        match is_pending {
            true => self.pending.push_back(begun),
            false => self.settled.push_back(begun),
        }
        while self.pending.len() + self.settled.len() > MAX_BEGUN {
            if self.settled.pop_front().is_none() {
                self.pending.pop_front();
            }
        }
        is_pending
    }

    fn pools(&self) -> BTreeSet<PoolId> {
        self.pending.iter().chain(&self.settled).map(|begun| begun.pool.clone()).collect()
    }

    /// Whether a stream is of a pool that was not checked yet.
    fn has_new_pool(&self) -> bool {
        self.pending.iter().any(|begun| !self.needs.versions.contains_key(&begun.pool))
    }

    /// Forgets old streams, and checks all others anew if the needs have changed.
    fn update(&mut self, needs: CopyNeeds) {
        if needs != self.needs {
            self.needs = needs;
            self.pending.extend(std::mem::take(&mut self.settled));
        }
        let is_remembered = |begun: &Begun| begun.at.elapsed() < MEMORY;
        self.pending.retain(is_remembered);
        self.settled.retain(is_remembered);
    }

    /// Returns the copies that instances lack.
    fn due(&self) -> Vec<(SessionId, SocketAddr, Vec<CopiedOrigin>)> {
        let mut due: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for begun in &self.pending {
            for holder in self.needs.missing(begun) {
                due.entry(holder).or_default().push(begun.origin.clone());
            }
        }
        due.into_iter().map(|((holder, addr), origins)| (holder, addr, origins)).collect()
    }

    /// Moves streams that lack no copy to the settled ones.
    fn settle(&mut self) {
        for begun in std::mem::take(&mut self.pending) {
            match self.needs.missing(&begun).is_empty() {
                true => self.settled.push_back(begun),
                false => self.pending.push_back(begun),
            }
        }
    }

    /// Records that an instance has taken copies.
    fn record_copied(&mut self, holder: SessionId, copied: &[CopiedOrigin]) {
        let copied: HashSet<_> = copied.iter().map(|origin| &origin.request).collect();
        let begun = self.pending.iter_mut().filter(|b| copied.contains(&b.origin.request));
        begun.for_each(|begun| begun.holders.push(holder));
    }
}

impl Gateway {
    /// Records at which version a stream began whose first events have arrived, here and soon at other
    /// instances. One that its caller took up may be taken up again, under the name of its first request.
    pub(crate) fn record_begin(&self, run: &RequestRun) {
        let Some(software) = &run.software else { return };
        let taken_up = run.req.resumes.as_ref().filter(|_| run.req.resume_after.is_some());
        for request in std::iter::once(run.id()).chain(taken_up) {
            self.cx.owner.streams.record_begin(request, software);
            if run.route.repeat.allows_resend() {
                self.origin_copies.add(request, &run.pool, software);
            }
        }
    }

    /// Copies where streams began until the gateway is dropped.
    pub(crate) async fn copy_origins(gateway: Weak<Self>) {
        let mut checked_at: Option<Instant> = None;
        loop {
            let Some(gateway) = gateway.upgrade() else { return };
            let is_due = checked_at.is_none_or(|at| at.elapsed() >= CHECK_INTERVAL);
            if is_due || gateway.origin_copies.streams().has_new_pool() {
                gateway.update_copy_needs();
                checked_at = Some(Instant::now());
            }
            let is_complete = gateway.send_due_copies().await;
            let copies = gateway.origin_copies.clone();
            // The gateway may be dropped meanwhile.
            drop(gateway);
            copies.wait(is_complete).await;
        }
    }

    /// Checks for changes of the sessions and of the versions in the pools of recent streams.
    fn update_copy_needs(&self) {
        let own = (self.cx.session)();
        let pools = self.origin_copies.streams().pools();
        let needs = self.cx.view.read(|state| {
            let others = state.sessions().filter(|s| !s.info.replica && Some(s.id) != own);
            let versions = |pool: PoolId| {
                let versions = state.software_versions(&pool);
                (pool, versions)
            };
            CopyNeeds {
                holders: others.map(|session| (session.id, session.info.addrs.rpc)).collect(),
                versions: pools.into_iter().map(versions).collect(),
            }
        });
        self.origin_copies.streams().update(needs);
    }

    /// Sends the copies that are due; returns whether all of them were taken.
    async fn send_due_copies(&self) -> bool {
        let due = self.origin_copies.streams().due();
        let sent = due.into_iter().map(async |(holder, addr, origins)| {
            let error = match self.send_copies(addr, &origins).await {
                Ok(()) => {
                    self.origin_copies.streams().record_copied(holder, &origins);
                    return true;
                }
                Err(error) => error,
            };
            event!(self.cx.log, STREAM_COPIES_FAILED; "session" => %holder, "addr" => %addr,
                "streams" => origins.len(), "error" => %error);
            false
        });
        let is_complete = join_all(sent).await.into_iter().all(|is_taken| is_taken);
        self.origin_copies.streams().settle();
        is_complete
    }

    async fn send_copies(
        &self,
        addr: SocketAddr,
        origins: &[CopiedOrigin],
    ) -> Result<(), RpcError> {
        let client = self.cx.peers.get(addr)?;
        for batch in origins.chunks(MAX_BATCH) {
            match timeout(SEND_TIMEOUT, client.copy_stream_origins(batch.to_vec())).await {
                Ok(Ok(())) => {}
                // An instance of an earlier release holds no copies.
                Ok(Err(ClientError::Call(e))) if e.code() == ErrorCode::MethodNotFound.code() => {}
                Ok(Err(error)) => return Err(error.into()),
                Err(_) => return Err(RpcError::NoAnswer("timed out".to_owned())),
            }
        }
        Ok(())
    }
}
