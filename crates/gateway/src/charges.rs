//! Units of a request, from their reservation until it is known whether it ran.
//!
//! Units of a share of another group than that of the place are reserved before the request waits for a
//! place, and confirmed when it has one. A confirmation that follows the reservation within
//! `MAX_UNCONFIRMED_AGE` is not waited for. A later one is: the share may have another owner, which has
//! given the units to other requests.
//!
//! Architecture Invariant: a request is sent by units that were reserved at most `MAX_UNCONFIRMED_AGE`
//! before, or that their owner has taken under a valid lease since its place was granted. So in any time
//! `t`, the units that reach targets are at most what shares give away in `t + MAX_UNCONFIRMED_AGE`.

use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant as StdInstant},
};

use futures_util::{FutureExt, future::BoxFuture};
use shallotdrum_allotments::{
    AllotmentReply, Charge, ChargeStep, Reservation, ReservationKey, Reserved,
};
use shallotdrum_routes::Allotment;
use shallotdrum_rpc::{AllotmentCall, AllotmentStep, ChannelError, PeerApiClient, RpcError};
use shallotdrum_telemetry::event;
use shallotdrum_types::{GroupId, RequestId, ReservationId, SessionId};
use tokio::time::Instant;

use crate::{Gateway, exchange::RequestRun};

/// Time without a reply after which another share is asked; many round trips.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Age of a reservation up to which its request is sent before the confirmation is replied to. In this
/// time a share gives away a thirty-second of what its rate allows in 8 s, the window of the bound.
const MAX_UNCONFIRMED_AGE: Duration = Duration::from_millis(250);

/// Time after which units of a request that did not run are not returned any more. Their bucket may have
/// filled since, and would give away more than its burst with them.
const MAX_RETURN_AGE: Duration = Duration::from_millis(250);

/// Group whose owner keeps a share, with its owner and the owner's address.
pub(crate) type Share = (GroupId, SessionId, SocketAddr);

/// Units that a share gave a request.
#[derive(Clone)]
pub(crate) struct Taken {
    pub(crate) share: Share,
    pub(crate) charge: Charge,
    /// When they were asked for, or taken at the earliest.
    at: Instant,
    /// Reservation that is to be confirmed or returned; absent if the units are taken.
    reservation: Option<ReservationKey>,
}

impl Taken {
    /// Units that are taken now.
    pub(crate) fn now(share: Share, charge: Charge) -> Self {
        Self { share, charge, at: Instant::now(), reservation: None }
    }
}

/// Returns the units of a request that gets no place, when dropped.
pub(crate) struct ReturnGuard<'a> {
    gateway: &'a Gateway,
    request: &'a RequestId,
    taken: Option<Taken>,
}

impl<'a> ReturnGuard<'a> {
    pub(crate) fn new(gateway: &'a Gateway, request: &'a RequestId, taken: Taken) -> Self {
        Self { gateway, request, taken: Some(taken) }
    }

    /// Confirms the units of a request that has got its place; absent if they are lost.
    pub(crate) async fn confirm(mut self) -> Option<Taken> {
        let taken = self.taken.as_ref()?;
        let Some(key) = taken.reservation else { return self.taken.take() };
        let age = taken.at.elapsed();
        let confirmed = self.gateway.settle(self.request, &taken.share, &taken.charge, key, true);
        let is_confirmed = match age <= MAX_UNCONFIRMED_AGE {
            true => {
                tokio::spawn(confirmed);
                true
            }
            false => confirmed.await,
        };
        if !is_confirmed {
            let (group, _, addr) = &taken.share;
            event!(self.gateway.cx.log, ALLOTMENT_UNCONFIRMED; "request" => %self.request,
                "group" => %group, "customer" => %taken.charge.customer,
                "units" => taken.charge.units, "owner" => %addr,
                "age_ms" => age.as_millis() as u64);
            return None;
        }
        let taken = self.taken.take()?;
        Some(Taken { at: Instant::now(), reservation: None, ..taken })
    }
}

impl Drop for ReturnGuard<'_> {
    fn drop(&mut self) {
        if let Some(taken) = &self.taken {
            self.gateway.return_units(self.request, taken);
        }
    }
}

impl Gateway {
    /// Asks the owner of a share for the units: to reserve them for the time `left`, or to take them at
    /// once without one. Absent if they were not given.
    pub(crate) async fn ask(
        &self,
        request: &RequestId,
        share: &Share,
        charge: &Charge,
        left: Option<Duration>,
    ) -> Option<Taken> {
        let at = Instant::now();
        let (group, owner, addr) = share;
        let Some(session) = (self.cx.session)() else {
            self.record_unreached(request, share, charge, &"this instance has no session");
            return None;
        };
        let id = ReservationId(self.next_reservation.fetch_add(1, Ordering::Relaxed));
        let key = (session, id);
        let taken = |reply: &AllotmentReply| Taken {
            share: share.clone(),
            charge: charge.clone(),
            at,
            reservation: reply.is_reserved.then_some(key),
        };
        if *owner == session {
            let owner = &self.cx.owner;
            let reply = match left {
                Some(left) => {
                    let (request, charge) = (request.clone(), charge.clone());
                    let reserved = Reserved { request, charge, until: StdInstant::now() + left };
                    owner.reserve_allotment(group, key, reserved)
                }
                None => owner.take_allotment(group, request, charge),
            };
            return match reply {
                Ok(reply) => self.record(charge, group, &reply).then(|| taken(&reply)),
                Err(error) => {
                    self.record_unreached(request, share, charge, &error);
                    None
                }
            };
        }
        self.cx.metrics.allotment_asked().inc();
        let Charge { customer, units } = charge.clone();
        let reservation = left.map(|left| Reservation { id, left_ms: left.as_millis() as u64 });
        let asked = async {
            if let Some(channel) = self.places.channel(*owner) {
                let step = match reservation {
                    Some(Reservation { id, left_ms }) => AllotmentStep::Reserve { id, left_ms },
                    None => AllotmentStep::Take,
                };
                let call = allotment_call(session, request, group, charge, step);
                match channel.change_allotment(call).await {
                    Ok(Some(reply)) => return Ok(reply),
                    Ok(None) => return Err(RpcError::Malformed("no level".to_owned())),
                    Err(ChannelError::Unsupported) => {}
                    Err(error) => return Err(RpcError::NoAnswer(error.to_string())),
                }
            }
            let client = self.cx.peers.get(*addr)?;
            let (request, group) = (request.clone(), group.clone());
            let reply =
                client.take_allotment(session, request, customer, units, group, reservation);
            Ok::<_, RpcError>(reply.await?)
        };
        let error = match tokio::time::timeout(ASK_TIMEOUT, asked).await {
            Ok(Ok(reply)) => {
                return self.record(charge, group, &reply).then(|| taken(&reply));
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "timed out".to_owned(),
        };
        self.record_unreached(request, share, charge, &error);
        // The units may be reserved. An owner of an earlier release may have taken them; they are lost then.
        if reservation.is_some() {
            tokio::spawn(self.settle(request, share, charge, key, false));
        }
        None
    }

    /// Charges a request that has its place, at once, as the units that were reserved for it are lost.
    pub(crate) async fn charge_placed(
        &self,
        run: &RequestRun,
        allotment: &Allotment,
        charge: &Charge,
    ) -> Option<Taken> {
        let mut asked: Vec<GroupId> = Vec::new();
        while Instant::now() < run.deadline {
            let shares = self.shares(allotment, charge);
            let step = self.plan(&shares, charge, None, &asked, &self.shard_hints());
            let ChargeStep::Ask(group) = step else { return None };
            let share = shares.owner(group)?.clone();
            asked.push(group.clone());
            if let Some(taken) = self.ask(&run.req.id, &share, charge, None).await {
                return Some(taken);
            }
        }
        None
    }

    /// Returns the units of a request that certainly did not run; it is charged again if it is queued
    /// again.
    pub(crate) fn return_unused(&self, run: &mut RequestRun) {
        if run.may_have_run() {
            return;
        }
        if let Some(taken) = run.taken.take_if(|taken| taken.at.elapsed() <= MAX_RETURN_AGE) {
            self.return_units(&run.req.id, &taken);
            run.is_charged = false;
        }
    }

    /// Ends a reservation; resolves to whether its units were taken, or released.
    fn settle(
        &self,
        request: &RequestId,
        (group, owner, addr): &Share,
        charge: &Charge,
        key: ReservationKey,
        is_used: bool,
    ) -> BoxFuture<'static, bool> {
        let (session, id) = key;
        if *owner == session {
            let settled = self.cx.owner.settle_allotment(group, request, &key, is_used);
            return std::future::ready(settled.unwrap_or(false)).boxed();
        }
        let Ok(client) = self.cx.peers.get(*addr) else {
            return std::future::ready(false).boxed();
        };
        let step = AllotmentStep::Settle { id, is_used };
        let call = allotment_call(session, request, group, charge, step);
        let channel = self.places.channel(*owner);
        let (request, group) = (request.clone(), group.clone());
        async move {
            if let Some(channel) = channel {
                match tokio::time::timeout(ASK_TIMEOUT, channel.change_allotment(call)).await {
                    Ok(Err(ChannelError::Unsupported)) => {}
                    Ok(Ok(reply)) => return reply.is_some_and(|reply| reply.granted),
                    Ok(Err(_)) | Err(_) => return false,
                }
            }
            let settled = client.settle_allotment(session, request, group, id, is_used);
            matches!(tokio::time::timeout(ASK_TIMEOUT, settled).await, Ok(Ok(true)))
        }
        .boxed()
    }

    fn return_units(&self, request: &RequestId, taken: &Taken) {
        let Taken { share, charge, at, reservation } = taken;
        if let Some(key) = reservation {
            self.shard_hints().record_return(charge, &share.0);
            tokio::spawn(self.settle(request, share, charge, *key, false));
            return;
        }
        let (group, owner, addr) = share;
        let Some(session) = (self.cx.session)().filter(|_| at.elapsed() <= MAX_RETURN_AGE) else {
            return;
        };
        self.shard_hints().record_return(charge, group);
        if *owner == session {
            // A share that changed its owner does not get the units back.
            let _ = self.cx.owner.return_allotment(group, request, charge);
            return;
        }
        if let Some(channel) = self.places.channel(*owner) {
            let call = allotment_call(session, request, group, charge, AllotmentStep::Return);
            if channel.send_allotment(call).is_ok() {
                return;
            }
        }
        let Ok(client) = self.cx.peers.get(*addr) else { return };
        let (request, group, Charge { customer, units }) =
            (request.clone(), group.clone(), charge.clone());
        tokio::spawn(async move {
            let returned = client.return_allotment(session, request, customer, units, group);
            // Units are lost if this fails, which only delays later requests of the customer.
            let _ = tokio::time::timeout(ASK_TIMEOUT, returned).await;
        });
    }
}

/// Message to the owner of a share over its channel.
fn allotment_call(
    session: SessionId,
    request: &RequestId,
    group: &GroupId,
    charge: &Charge,
    step: AllotmentStep,
) -> AllotmentCall {
    AllotmentCall {
        session,
        request: request.clone(),
        customer: charge.customer.clone(),
        units: charge.units,
        group: group.clone(),
        step,
    }
}
