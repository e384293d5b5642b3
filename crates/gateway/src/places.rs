//! Asks the owner of a target group for a place, and reports the place's end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use shallotdrum_control::ControlView;
use shallotdrum_owner::{OwnerService, PlaceNeed, PlaceWork, SessionFn};
use shallotdrum_rpc::{
    EndedPlace, GrantedPlace, Need, PeerApiClient, Peers, PlaceEnd, PlaceReply, PlaceRequest,
    RpcError,
};
use shallotdrum_telemetry::event;
use shallotdrum_types::{GroupId, PoolId, RequestError, RequestErrorKind, SessionId};
use tokio::time::Instant;

/// Pause before the owner of a group is looked up again.
const OWNER_RETRY: Duration = Duration::from_millis(40);

/// When a caller should come back while a group has no owner: about a session lease.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time for reporting an end; a lost report expires at the owner.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks for places.
#[derive(Clone)]
pub(crate) struct Places {
    pub(crate) view: ControlView,
    pub(crate) session: SessionFn,
    pub(crate) owner: Arc<OwnerService>,
    pub(crate) peers: Peers,
    pub(crate) log: slog::Logger,
    pub(crate) next: Arc<AtomicU64>,
}

/// Place at a target; ends as cancelled when dropped.
pub(crate) struct Place {
    pub(crate) granted: GrantedPlace,
    ticket: Ticket,
}

/// Place or request for one; reports its end when dropped.
struct Ticket {
    places: Places,
    session: SessionId,
    place: u64,
    owner: Option<SocketAddr>,
    end: PlaceEnd,
}

impl Place {
    /// Ends the place.
    pub(crate) fn end(mut self, end: PlaceEnd) {
        self.ticket.end = end;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let ended = EndedPlace { place: self.place, end: self.end };
        let (places, session) = (self.places.clone(), self.session);
        match self.owner {
            None => places.owner.end_place((session, ended.place), finish(ended.end)),
            Some(addr) => {
                tokio::spawn(async move {
                    let Ok(client) = places.peers.get(addr) else { return };
                    let sent = client.end_places(session, vec![ended]);
                    if let Ok(Err(error)) = tokio::time::timeout(END_TIMEOUT, sent).await {
                        event!(places.log, PLACE_END_LOST; "owner" => %addr, "error" => %error);
                    }
                });
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
    /// Waits for a place in a pool until the deadline.
    pub(crate) async fn take(
        &self,
        pool: &PoolId,
        work: PlaceWork,
        deadline: Instant,
    ) -> Result<Place, RequestError> {
        let mut last = no_owner(pool);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(last);
            }
            let work = PlaceWork { left, ..work.clone() };
            match self.try_take(pool, work, deadline).await {
                Ok(place) => return Ok(place),
                Err(error) if error.kind == RequestErrorKind::NotReady => last = error,
                Err(error) => return Err(error),
            }
            tokio::time::sleep(OWNER_RETRY).await;
        }
    }

    async fn try_take(
        &self,
        pool: &PoolId,
        work: PlaceWork,
        deadline: Instant,
    ) -> Result<Place, RequestError> {
        let Some(session) = (self.session)() else { return Err(no_owner(pool)) };
        let (group, owner, addr) = self.choose_group(pool, &work)?;
        let place = self.next.fetch_add(1, Ordering::Relaxed);
        let remote = (owner != session).then_some(addr);
        let end = PlaceEnd::Cancelled;
        let ticket = Ticket { places: self.clone(), session, place, owner: remote, end };
        if remote.is_none() {
            let granted = self.owner.take_place(&group, (session, place), work).await?;
            let granted = GrantedPlace {
                target: granted.target,
                incarnation: granted.incarnation,
                addr: granted.addr,
                priority: granted.priority,
            };
            return Ok(Place { granted, ticket });
        }
        let request = PlaceRequest {
            session,
            request: work.request,
            place,
            group: group.clone(),
            subscriber: work.subscriber,
            need: need(work.need),
            left_ms: work.left.as_millis() as u64,
            avoid: work.avoid,
        };
        let client = self.peers.get(addr).map_err(|e| not_reached(&group, &e))?;
        let reply = tokio::select! {
            reply = tokio::time::timeout_at(deadline, client.take_place(request)) => reply,
            () = self.owner_changed(&group, owner) => return Err(no_owner(pool)),
        };
        match reply {
            Ok(Ok(PlaceReply::Granted(granted))) => Ok(Place { granted, ticket }),
            Ok(Ok(PlaceReply::Refused { error })) => Err(error),
            Ok(Err(error)) => Err(not_reached(&group, &error.into())),
            Err(_) => Err(RequestError::not_run(
                RequestErrorKind::DeadlineExceeded,
                "no place became free in time",
            )),
        }
    }

    /// Resolves when another session owns the group.
    async fn owner_changed(&self, group: &GroupId, owner: SessionId) {
        let mut changed = self.view.changed();
        let is_owner =
            || self.view.read(|state| state.group(group).and_then(|g| g.owner) == Some(owner));
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
            PlaceNeed::Generation { adapter: Some(adapter), .. } => adapter.adapter.to_string(),
            _ => work.request.to_string(),
        };
        let weight = |group: &GroupId| {
            let hash = blake3::hash(format!("{key} {group}").as_bytes());
            hash.as_bytes().first_chunk::<8>().copied().map(u64::from_le_bytes)
        };
        self.view.read(|state| {
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

fn need(need: PlaceNeed) -> Need {
    match need {
        PlaceNeed::Generation { adapter, prompt_tokens, max_tokens, prefixes } => {
            Need::Generation { adapter, prompt_tokens, max_tokens, prefixes }
        }
        PlaceNeed::Call { is_repeatable } => Need::Call { is_repeatable },
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
