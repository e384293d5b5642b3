//! Asks the owner of a target group for a place, and reports the place's end.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use shallotdrum_control::{AnnouncedTarget, ControlView};
use shallotdrum_engine::{GrantedPlace, Need, Priority};
use shallotdrum_owner::{OwnerService, PlaceKey, PlaceWork, SessionFn};
use shallotdrum_rpc::{
    EndedPlace, PeerApiClient, Peers, PlaceEnd, PlaceReply, PlaceRequest, RpcError,
};
use shallotdrum_telemetry::event;
use shallotdrum_types::{GroupId, PoolId, RequestError, RequestErrorKind, SessionId, TargetId};
use tokio::time::Instant;

use crate::Holders;

/// Pause before the owner of a group is looked up again.
const OWNER_RETRY: Duration = Duration::from_millis(40);

/// When a caller should come back while a group has no owner: about a session lease.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Priority of a request that no owner has compared with others.
const USUAL_PRIORITY: Priority = Priority(64);

/// Longest time for reporting an end; a lost report expires at the owner.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Silence of an owner after which an entry goes on without it: many round trips, and a sixth of a
/// session's lease.
const OWNER_SILENCE: Duration = Duration::from_millis(500);

/// Longest wait for an owner that has been silent; a hundred round trips.
const PING_TIMEOUT: Duration = Duration::from_millis(200);

/// Asks for places.
#[derive(Clone)]
pub(crate) struct Places(Arc<Shared>);

struct Shared {
    view: ControlView,
    session: SessionFn,
    owner: Arc<OwnerService>,
    peers: Peers,
    log: slog::Logger,
    next: AtomicU64,
    holders: Mutex<Holders>,
    /// When each owner answered last.
    heard: Mutex<HashMap<SocketAddr, Instant>>,
}

/// Place at a target; ends as cancelled when dropped.
pub(crate) struct Place {
    pub(crate) granted: GrantedPlace,
    ticket: Ticket,
}

/// Place or request for one; reports its end when dropped.
struct Ticket {
    places: Places,
    end: PlaceEnd,
    granted_by: GrantedBy,
}

/// Who has to know of the end of a place.
enum GrantedBy {
    /// This instance owns the group.
    This { key: PlaceKey },
    /// Another instance owns the group.
    Other { key: PlaceKey, addr: SocketAddr },
    /// No owner; this entry counts for itself.
    NoOwner { target: TargetId },
}

impl Place {
    /// Ends the place.
    pub(crate) fn end(mut self, end: PlaceEnd) {
        self.ticket.end = end;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        match &self.granted_by {
            GrantedBy::This { key } => self.places.0.owner.end_place(*key, finish(self.end)),
            GrantedBy::NoOwner { target } => self.places.holders().end(target),
            GrantedBy::Other { key: (session, place), addr } => {
                let ended = EndedPlace { place: *place, end: self.end };
                tokio::spawn(self.places.clone().report_end(*addr, *session, ended));
            }
        }
    }
}

/// Translates the end of a place for the scheduler.
pub fn finish(end: PlaceEnd) -> shallotdrum_owner::Finish {
    use shallotdrum_owner::Finish;
    match end {
        PlaceEnd::Answered { prompt_tokens, completion_tokens } => {
            Finish::Answered { prompt_tokens, completion_tokens }
        }
        PlaceEnd::Failed => Finish::TargetFailed,
        PlaceEnd::Cancelled => Finish::Cancelled,
        PlaceEnd::Refused => Finish::Refused,
    }
}

impl Places {
    pub(crate) fn new(
        view: ControlView,
        session: SessionFn,
        owner: Arc<OwnerService>,
        peers: Peers,
        log: slog::Logger,
    ) -> Self {
        Self(Arc::new(Shared {
            view,
            session,
            owner,
            peers,
            log,
            next: AtomicU64::new(1),
            holders: Mutex::default(),
            heard: Mutex::default(),
        }))
    }

    fn holders(&self) -> MutexGuard<'_, Holders> {
        self.0.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes note that a target refused a request for an adapter.
    pub(crate) fn refused(&self, pool: &PoolId, need: &Need, target: &TargetId) {
        if let Need::Generation { adapter: Some(adapter), .. } = need {
            self.holders().forget(pool, adapter, target);
        }
    }

    async fn report_end(self, addr: SocketAddr, session: SessionId, ended: EndedPlace) {
        let Ok(client) = self.0.peers.get(addr) else { return };
        let sent = client.end_places(session, vec![ended]);
        match tokio::time::timeout(END_TIMEOUT, sent).await {
            Ok(Ok(())) => self.hear(addr),
            Ok(Err(error)) => {
                event!(self.0.log, PLACE_END_LOST; "owner" => %addr, "error" => %error);
            }
            Err(_) => {
                event!(self.0.log, PLACE_END_LOST; "owner" => %addr, "error" => "timed out");
            }
        }
    }

    fn hear(&self, addr: SocketAddr) {
        let mut heard = self.0.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.insert(addr, Instant::now());
    }

    /// Waits for a place in a pool until the deadline.
    pub(crate) async fn take(
        &self,
        pool: &PoolId,
        work: PlaceWork,
        deadline: Instant,
    ) -> Result<Place, RequestError> {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let work = PlaceWork { left, ..work.clone() };
            let error = match self.try_take(pool, work.clone(), deadline).await {
                Ok(place) => {
                    if let Need::Generation { adapter: Some(adapter), .. } = &work.need {
                        let target = &place.granted.target;
                        self.holders().note(pool, adapter, target, Instant::now());
                    }
                    return Ok(place);
                }
                Err(error) if error.kind == RequestErrorKind::NotReady => error,
                Err(error) => return Err(error),
            };
            if let Some(place) = self.without_owner(pool, &work) {
                event!(self.0.log, PLACE_WITHOUT_OWNER; "request" => %work.request,
                    "pool" => %pool, "target" => %place.granted.target, "cause" => &error.detail);
                return Ok(place);
            }
            if Instant::now() + OWNER_RETRY >= deadline {
                return Err(error);
            }
            tokio::time::sleep(OWNER_RETRY).await;
        }
    }

    /// Place at a target that needs no decision of the owner, if there is one.
    fn without_owner(&self, pool: &PoolId, work: &PlaceWork) -> Option<Place> {
        let adapter = match &work.need {
            Need::Generation { adapter, .. } => adapter.as_ref(),
            Need::Call { .. } => None,
        };
        let usable: Vec<AnnouncedTarget> = self.0.view.read(|state| {
            let targets = state.targets().filter(|target| {
                let announced = &target.announced;
                announced.pool == *pool
                    && !target.draining
                    && !work.avoid.contains(&announced.target)
            });
            targets.map(|target| target.announced.clone()).collect()
        });
        let names: Vec<TargetId> = usable.iter().map(|target| target.target.clone()).collect();
        let mut holders = self.holders();
        let chosen = holders.choose(pool, adapter, &names, rand::random(), Instant::now())?;
        let target = usable.into_iter().find(|target| target.target == chosen)?;
        holders.begin(&chosen);
        drop(holders);
        let granted = GrantedPlace {
            target: chosen.clone(),
            incarnation: target.incarnation,
            addr: target.addr,
            priority: USUAL_PRIORITY,
        };
        let granted_by = GrantedBy::NoOwner { target: chosen };
        let ticket = Ticket { places: self.clone(), end: PlaceEnd::Cancelled, granted_by };
        Some(Place { granted, ticket })
    }

    async fn try_take(
        &self,
        pool: &PoolId,
        work: PlaceWork,
        deadline: Instant,
    ) -> Result<Place, RequestError> {
        let Some(session) = (self.0.session)() else { return Err(no_owner(pool)) };
        let (group, owner, addr) = self.choose_group(pool, &work)?;
        let key = (session, self.0.next.fetch_add(1, Ordering::Relaxed));
        let granted_by = match owner == session {
            true => GrantedBy::This { key },
            false => GrantedBy::Other { key, addr },
        };
        let ticket = Ticket { places: self.clone(), end: PlaceEnd::Cancelled, granted_by };
        if owner == session {
            let granted = self.0.owner.take_place(&group, key, work).await?;
            return Ok(Place { granted, ticket });
        }
        let request = PlaceRequest {
            session,
            request: work.request,
            place: key.1,
            group: group.clone(),
            subscriber: work.subscriber,
            need: work.need,
            left_ms: work.left.as_millis() as u64,
            avoid: work.avoid,
        };
        let client = self.0.peers.get(addr).map_err(|e| not_reached(&group, &e))?;
        let reply = tokio::select! {
            reply = tokio::time::timeout_at(deadline, client.take_place(request)) => reply,
            () = self.owner_changed(&group, owner) => return Err(no_owner(pool)),
            () = self.owner_silent(addr) => return Err(no_owner(pool)),
        };
        match reply {
            Ok(Ok(reply)) => {
                self.hear(addr);
                match reply {
                    PlaceReply::Granted(granted) => Ok(Place { granted, ticket }),
                    PlaceReply::Refused { error } => Err(error),
                }
            }
            Ok(Err(error)) => Err(not_reached(&group, &error.into())),
            Err(_) => Err(RequestError::not_run(
                RequestErrorKind::DeadlineExceeded,
                "no place became free in time",
            )),
        }
    }

    /// Whether an owner answers a call that changes nothing.
    async fn answers(&self, addr: SocketAddr) -> bool {
        let (Some(session), Ok(client)) = ((self.0.session)(), self.0.peers.get(addr)) else {
            return false;
        };
        let asked = client.end_places(session, Vec::new());
        matches!(tokio::time::timeout(PING_TIMEOUT, asked).await, Ok(Ok(())))
    }

    /// Resolves when an owner has answered nothing for `OWNER_SILENCE` since now.
    async fn owner_silent(&self, addr: SocketAddr) {
        let asked = Instant::now();
        loop {
            let heard = {
                let heard = self.0.heard.lock().unwrap_or_else(PoisonError::into_inner);
                heard.get(&addr).copied().unwrap_or(asked).max(asked)
            };
            if heard.elapsed() >= OWNER_SILENCE {
                // A request that waits in the queue says nothing about the owner, so it is asked.
                if !self.answers(addr).await {
                    return;
                }
                self.hear(addr);
                continue;
            }
            tokio::time::sleep_until(heard + OWNER_SILENCE).await;
        }
    }

    /// Resolves when another session owns the group.
    async fn owner_changed(&self, group: &GroupId, owner: SessionId) {
        let mut changed = self.0.view.changed();
        let is_owner =
            || self.0.view.read(|state| state.group(group).and_then(|g| g.owner) == Some(owner));
        while is_owner() {
            if changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Group of the pool for a request: the same one for the same adapter, as long as it has an
    /// owner.
    fn choose_group(
        &self,
        pool: &PoolId,
        work: &PlaceWork,
    ) -> Result<(GroupId, SessionId, SocketAddr), RequestError> {
        let key = match &work.need {
            Need::Generation { adapter: Some(adapter), .. } => adapter.adapter.to_string(),
            _ => work.request.to_string(),
        };
        let weight = |group: &GroupId| {
            let hash = blake3::hash(format!("{key} {group}").as_bytes());
            hash.as_bytes().first_chunk::<8>().copied().map(u64::from_le_bytes)
        };
        self.0.view.read(|state| {
            let groups = state.groups_of_pool(pool).filter(|group| !group.targets.is_empty());
            let owned = groups.filter_map(|group| {
                let owner = group.owner?;
                let addr = state.session(owner)?.info.addrs.rpc;
                Some((group.id.clone(), owner, addr))
            });
            owned.max_by_key(|(id, _, _)| weight(id)).ok_or_else(|| no_owner(pool))
        })
    }
}

fn no_owner(pool: &PoolId) -> RequestError {
    let detail = format!("no instance owns the targets of pool {pool} at present; retry later");
    RequestError::not_run(RequestErrorKind::NotReady, detail).retry_after(NO_OWNER_RETRY_AFTER)
}

fn not_reached(group: &GroupId, error: &RpcError) -> RequestError {
    let detail = format!("cannot reach the owner of target group {group}: {error}");
    RequestError::not_run(RequestErrorKind::NotReady, detail).retry_after(NO_OWNER_RETRY_AFTER)
}
