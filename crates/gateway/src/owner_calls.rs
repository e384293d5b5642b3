//! Calls to the owners of target groups: over the channel for places if the owner has one, else by
//! JSON-RPC.

use std::{fmt::Display, net::SocketAddr, sync::PoisonError, time::Duration};

use shallotdrum_rpc::{
    ChannelError, EndReport, PeerApiClient, PlaceChannel, PlaceReply, PlaceRequest,
};
use shallotdrum_telemetry::event;
use shallotdrum_types::{GroupId, PoolId, RequestError, RequestErrorKind, SessionId};
use tokio::time::Instant;

use crate::{
    errors::timed_out_waiting,
    places::{GrantedBy, NO_OWNER_RETRY_AFTER, PlaceClient, PlaceGuard, no_owner},
};

/// Timeout for reporting the end of a place; if the report is lost, the place expires at the owner.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a reply after which an owner is pinged: many round trips, and a sixth of a session
/// lease.
const OWNER_REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for a ping; about a hundred round trips. An owner that misses it counts as unresponsive.
const PING_TIMEOUT: Duration = Duration::from_millis(200);

/// `Retry-After` if too many requests wait for an owner: about as long as the owner takes to serve them.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl PlaceClient {
    /// Channel to an owner; absent if the settings do not allow it, or the owner is known to have none.
    pub(crate) fn channel(&self, owner: SessionId) -> Option<PlaceChannel> {
        let channels = self.0.channels.as_ref()?;
        let addrs = self.0.view.read(|state| Some(state.session(owner)?.info.addrs))?;
        channels.get(addrs.data, addrs.rpc)
    }

    /// Sends a request for a place to an owner in another instance, and waits for the reply.
    ///
    /// Until the place is granted, the channel cancels the request when the future is dropped; with
    /// JSON-RPC, `guard` does.
    pub(crate) async fn request_place(
        &self,
        pool: &PoolId,
        group: &GroupId,
        (owner, addr): (SessionId, SocketAddr),
        request: PlaceRequest,
        guard: &mut PlaceGuard,
        deadline: Instant,
    ) -> Result<PlaceReply, RequestError> {
        let Some(used) = self.channel(owner) else {
            self.record_fallback();
            return self.request_by_rpc(pool, group, (owner, addr), request, deadline).await;
        };
        guard.is_reported = false;
        let reply = tokio::select! {
            reply = tokio::time::timeout_at(deadline, used.take_place(request.clone())) => reply,
            () = self.owner_changed(group, owner) => return Err(no_owner(pool)),
        };
        match reply {
            Ok(Ok(reply)) => {
                let is_granted =
                    matches!(reply, PlaceReply::Granted(_) | PlaceReply::Charged { .. });
                guard.is_reported = is_granted;
                if let GrantedBy::Other { channel, .. } = &mut guard.granted_by {
                    *channel = Some(used);
                }
                Ok(reply)
            }
            Ok(Err(ChannelError::Unsupported)) => {
                guard.is_reported = true;
                self.record_fallback();
                self.request_by_rpc(pool, group, (owner, addr), request, deadline).await
            }
            Ok(Err(error @ ChannelError::Overloaded)) => {
                Err(RequestError::not_run(RequestErrorKind::Overloaded, error)
                    .retry_after(OVERLOADED_RETRY_AFTER))
            }
            Ok(Err(error)) => Err(owner_unreachable(group, &error)),
            Err(_) => Err(timed_out_waiting()),
        }
    }

    /// Counts a request that goes by JSON-RPC though this entry uses channels.
    fn record_fallback(&self) {
        if let Some(channels) = &self.0.channels {
            channels.record_fallback();
        }
    }

    async fn request_by_rpc(
        &self,
        pool: &PoolId,
        group: &GroupId,
        (owner, addr): (SessionId, SocketAddr),
        request: PlaceRequest,
        deadline: Instant,
    ) -> Result<PlaceReply, RequestError> {
        let client = self.0.peers.get(addr).map_err(|e| owner_unreachable(group, &e))?;
        let reply = tokio::select! {
            reply = tokio::time::timeout_at(deadline, client.take_place(request)) => reply,
            () = self.owner_changed(group, owner) => return Err(no_owner(pool)),
            () = self.owner_unresponsive(addr) => return Err(no_owner(pool)),
        };
        match reply {
            Ok(Ok(reply)) => {
                self.record_reply(addr);
                Ok(reply)
            }
            Ok(Err(error)) => {
                Err(owner_unreachable(group, &shallotdrum_rpc::RpcError::from(error)))
            }
            Err(_) => Err(timed_out_waiting()),
        }
    }

    /// Reports the end of a place by JSON-RPC. With channels, a report that is not delivered is kept.
    pub(crate) async fn report_end(self, addr: SocketAddr, report: EndReport) {
        let Ok(client) = self.0.peers.get(addr) else { return };
        let sent = client.end_places(report.session, vec![report.ended]);
        let error = match tokio::time::timeout(REPORT_TIMEOUT, sent).await {
            Ok(Ok(())) => return self.record_reply(addr),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "timed out".to_owned(),
        };
        match &self.0.undelivered {
            Some(undelivered) => undelivered.send(addr, vec![report]),
            None => event!(self.0.log, PLACE_END_LOST; "owner" => %addr, "error" => error),
        }
    }

    fn record_reply(&self, addr: SocketAddr) {
        let mut last_replies = self.0.last_replies.lock().unwrap_or_else(PoisonError::into_inner);
        last_replies.insert(addr, Instant::now());
    }

    /// Sends an empty report to an owner and returns whether it replies.
    async fn ping(&self, addr: SocketAddr) -> bool {
        let (Some(session), Ok(client)) = ((self.0.session)(), self.0.peers.get(addr)) else {
            return false;
        };
        let reply = client.end_places(session, Vec::new());
        matches!(tokio::time::timeout(PING_TIMEOUT, reply).await, Ok(Ok(())))
    }

    /// Resolves when an owner has not replied to anything for `OWNER_REPLY_TIMEOUT`, counted from
    /// now, and then does not reply to a ping either.
    async fn owner_unresponsive(&self, addr: SocketAddr) {
        let started = Instant::now();
        loop {
            let last_reply = {
                let last_replies =
                    self.0.last_replies.lock().unwrap_or_else(PoisonError::into_inner);
                last_replies.get(&addr).copied().unwrap_or(started).max(started)
            };
            if last_reply.elapsed() >= OWNER_REPLY_TIMEOUT {
                // A queued request gets no reply even from a healthy owner, so the owner is pinged.
                if !self.ping(addr).await {
                    return;
                }
                self.record_reply(addr);
                continue;
            }
            tokio::time::sleep_until(last_reply + OWNER_REPLY_TIMEOUT).await;
        }
    }

    /// Resolves when `owner` no longer owns the group.
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
}

fn owner_unreachable(group: &GroupId, error: &dyn Display) -> RequestError {
    let detail = format!("cannot reach the owner of target group {group}: {error}");
    RequestError::not_run(RequestErrorKind::NotReady, detail).retry_after(NO_OWNER_RETRY_AFTER)
}
