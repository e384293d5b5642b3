//! Charges requests to the allotments of their customers.
//!
//! The units of a request are taken from one of the customer's shares, each of which the owner of a
//! target group keeps. The request for a place carries the charge if its group has a share; otherwise
//! another owner is asked before.
//!
//! Architecture Invariant: a caller's request is charged at most once, however often it is sent, and
//! it gets status 429 only if every share that was asked or is known has no room.

use std::{
    net::SocketAddr,
    sync::{MutexGuard, PoisonError},
    time::Duration,
};

use shallotdrum_allotments::{
    AllotmentReply, Charge, ChargeRequest, ChargeStep, Limits, ShardHints, plan_charge,
    shard_count, shards, spread_delay, units,
};
use shallotdrum_owner::{ChargeError, PlaceAdmission};
use shallotdrum_routes::{Allotment, Customer};
use shallotdrum_rpc::{PeerApiClient, RpcError};
use shallotdrum_telemetry::event;
use shallotdrum_types::{GroupId, RequestError, RequestErrorKind, RequestId, SessionId};
use tokio::time::Instant;

use crate::{Gateway, errors::timed_out_waiting, exchange::RequestRun, places::Place};

/// Time without a reply after which another share is asked; many round trips.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which a request looks for an owner while no share has one. It reads the state of this
/// instance only.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// `Retry-After` while a share has no reachable owner: about a session lease.
const UNREACHED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Group whose owner keeps a share, with its owner and the owner's address.
pub(crate) type Share = (GroupId, SessionId, SocketAddr);

/// Shares of a customer's allotment, by the state of this instance.
pub(crate) struct Shares {
    limits: Limits,
    /// Those that have an owner.
    pub(crate) owned: Vec<Share>,
    /// Number of all shares.
    count: usize,
}

/// Returns units that were taken for a request which gets no place, when dropped.
struct ReturnGuard<'a> {
    gateway: &'a Gateway,
    request: &'a RequestId,
    share: Share,
    charge: Charge,
    is_used: bool,
}

impl Drop for ReturnGuard<'_> {
    fn drop(&mut self) {
        if !self.is_used {
            self.gateway.return_units(self.request, &self.share, &self.charge);
        }
    }
}

impl Gateway {
    pub(crate) fn shard_hints(&self) -> MutexGuard<'_, ShardHints> {
        self.shard_hints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets replies of owners that are too old to matter.
    pub(crate) fn expire_shard_hints(&self) {
        self.shard_hints().expire(Instant::now().into_std());
    }

    /// Waits for a place at a target. The request is charged before, unless it is already.
    pub(crate) async fn take_charged_place(
        &self,
        run: &RequestRun,
        admission: PlaceAdmission,
    ) -> Result<Place, RequestError> {
        let Some(customer) = &run.customer else {
            return self.places.take(&run.pool, admission, run.deadline).await;
        };
        match customer.allotment.filter(|_| !run.is_charged) {
            Some(allotment) => {
                let charge = charge_of(run, customer, &allotment);
                self.take_charged(run, admission, &allotment, &charge).await
            }
            None => self.places.take(&run.pool, admission, run.deadline).await.map_err(busy),
        }
    }

    async fn take_charged(
        &self,
        run: &RequestRun,
        admission: PlaceAdmission,
        allotment: &Allotment,
        charge: &Charge,
    ) -> Result<Place, RequestError> {
        let mut asked: Vec<GroupId> = Vec::new();
        let share = loop {
            if Instant::now() >= run.deadline {
                return Err(timed_out_waiting());
            }
            // Another entry may be able to ask.
            if (self.cx.session)().is_none() {
                return Err(unreached(charge));
            }
            let shares = self.shares(allotment, charge);
            let own = self.places.choose_group(&run.pool, &admission).ok();
            let own_group = own.as_ref().map(|chosen| &chosen.group);
            let step = self.plan(&shares, charge, own_group, &asked, &self.shard_hints());
            let (group, owner, addr) = match step {
                ChargeStep::Ask(group) => match shares.owner(group) {
                    Some(share) => share.clone(),
                    None => return Err(unreached(charge)),
                },
                ChargeStep::NoRoom(room_after) => {
                    return Err(self.refuse(run, charge, room_after, asked.len()));
                }
                ChargeStep::Queued(room_after) => return Err(overloaded(charge, room_after)),
                // As for a place, the request waits for the next owner of a group.
                ChargeStep::Unreached { is_known: false }
                    if Instant::now() + OWNER_POLL_INTERVAL < run.deadline =>
                {
                    tokio::time::sleep(OWNER_POLL_INTERVAL).await;
                    asked.clear();
                    continue;
                }
                ChargeStep::Unreached { .. } => return Err(unreached(charge)),
                ChargeStep::Recovering(room_after) => {
                    // Requests that wait for the same share return at different times.
                    let wait =
                        (room_after + OWNER_POLL_INTERVAL).mul_f64(1.0 + rand::random::<f64>());
                    if Instant::now() + wait >= run.deadline {
                        return Err(unreached(charge));
                    }
                    tokio::time::sleep(wait).await;
                    asked.clear();
                    continue;
                }
            };
            asked.push(group.clone());
            let share = (group, owner, addr);
            let Some(chosen) = own.filter(|chosen| chosen.group == share.0) else {
                match self.ask(&run.req.id, &share, charge).await {
                    true => break share,
                    false => continue,
                }
            };
            let placed = self.places.take_charged(
                &run.pool,
                chosen,
                admission.clone(),
                charge.clone(),
                run.deadline,
            );
            match placed.await {
                Ok((place, reply)) => {
                    self.record(charge, &share.0, &reply);
                    match place {
                        Some(place) => return Ok(place),
                        None => break share,
                    }
                }
                Err(ChargeError::NoRoom(reply)) => {
                    self.record(charge, &share.0, &reply);
                }
                Err(ChargeError::NoPlace(error)) if error.kind == RequestErrorKind::NotReady => {
                    self.record_unreached(&run.req.id, &share, charge, &error);
                }
                Err(ChargeError::NoPlace(error)) => return Err(busy(error)),
            }
        };
        let mut taken = ReturnGuard {
            gateway: self,
            request: &run.req.id,
            share,
            charge: charge.clone(),
            is_used: false,
        };
        let place = self.places.take(&run.pool, admission, run.deadline).await.map_err(busy)?;
        taken.is_used = true;
        Ok(place)
    }

    /// Shares of the customer's allotment, by the state of this instance.
    pub(crate) fn shares(&self, allotment: &Allotment, charge: &Charge) -> Shares {
        self.cx.view.read(|state| {
            let groups: Vec<&GroupId> = state.groups().map(|group| &group.id).collect();
            let count = shard_count(allotment, groups.len());
            let limits = Limits::share(allotment, groups.len());
            let shares = shards(&charge.customer, groups).into_iter().take(count);
            let owned = shares.filter_map(|id| {
                let owner = state.group(id)?.owner?;
                Some((id.clone(), owner, state.session(owner)?.info.addrs.rpc))
            });
            Shares { limits, owned: owned.collect(), count }
        })
    }

    pub(crate) fn plan<'a>(
        &self,
        shares: &'a Shares,
        charge: &Charge,
        own: Option<&GroupId>,
        asked: &[GroupId],
        hints: &ShardHints,
    ) -> ChargeStep<'a> {
        let request = ChargeRequest {
            customer: &charge.customer,
            units: charge.units,
            limits: shares.limits,
            shards: &shares.groups(),
            shard_count: shares.count,
            own,
            asked,
        };
        plan_charge(&request, hints, Instant::now().into_std(), rand::random())
    }

    /// Asks the owner of a share for the units; returns whether they were taken.
    async fn ask(&self, request: &RequestId, share: &Share, charge: &Charge) -> bool {
        let (group, owner, addr) = share;
        let Some(session) = (self.cx.session)() else {
            self.record_unreached(request, share, charge, &"this instance has no session");
            return false;
        };
        if *owner == session {
            return match self.cx.owner.take_allotment(group, request, charge) {
                Ok(reply) => self.record(charge, group, &reply),
                Err(error) => self.record_unreached(request, share, charge, &error),
            };
        }
        self.cx.metrics.allotment_asked().inc();
        let Charge { customer, units } = charge.clone();
        let asked = async {
            let client = self.cx.peers.get(*addr)?;
            let reply =
                client.take_allotment(session, request.clone(), customer, units, group.clone());
            Ok::<_, RpcError>(reply.await?)
        };
        match tokio::time::timeout(ASK_TIMEOUT, asked).await {
            Ok(Ok(reply)) => self.record(charge, group, &reply),
            Ok(Err(error)) => self.record_unreached(request, share, charge, &error),
            // The units may have been taken; they are not returned then.
            Err(_) => self.record_unreached(request, share, charge, &"timed out"),
        }
    }

    /// Records the reply of a share's owner; returns whether the units were taken.
    fn record(&self, charge: &Charge, group: &GroupId, reply: &AllotmentReply) -> bool {
        if reply.granted {
            self.cx.metrics.allotment_admitted().inc();
        }
        let now = Instant::now().into_std();
        self.shard_hints().record(&charge.customer, group, reply, now);
        reply.granted
    }

    fn record_unreached(
        &self,
        request: &RequestId,
        (group, _, addr): &Share,
        charge: &Charge,
        error: &dyn std::fmt::Display,
    ) -> bool {
        event!(self.cx.log, ALLOTMENT_UNREACHED; "request" => %request, "group" => %group,
            "customer" => %charge.customer, "owner" => %addr, "error" => %error);
        let now = Instant::now().into_std();
        self.shard_hints().record_unreached(&charge.customer, group, now);
        false
    }

    fn return_units(&self, request: &RequestId, (group, owner, addr): &Share, charge: &Charge) {
        let Some(session) = (self.cx.session)() else { return };
        if *owner == session {
            // A share that changed its owner does not get the units back.
            let _ = self.cx.owner.return_allotment(group, request, charge);
            return;
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

    fn refuse(
        &self,
        run: &RequestRun,
        charge: &Charge,
        room_after: Duration,
        asked: usize,
    ) -> RequestError {
        let delay = spread_delay(room_after, rand::random());
        event!(self.cx.log, ALLOTMENT_REFUSED; "request" => %run.req.id,
            "customer" => %charge.customer, "units" => charge.units, "asked" => asked,
            "room_after_ms" => room_after.as_millis() as u64,
            "retry_after_ms" => delay.as_millis() as u64, "revision" => run.revision().0);
        self.cx.metrics.allotment_refused().inc();
        no_room(charge, delay)
    }
}

impl Shares {
    fn groups(&self) -> Vec<&GroupId> {
        self.owned.iter().map(|(group, ..)| group).collect()
    }

    pub(crate) fn owner(&self, group: &GroupId) -> Option<&Share> {
        self.owned.iter().find(|(id, ..)| id == group)
    }
}

/// Error of a request that is within its allotment; a full queue is not the customer's excess.
pub(crate) fn busy(error: RequestError) -> RequestError {
    match error.kind {
        RequestErrorKind::RateLimited => {
            RequestError { kind: RequestErrorKind::Overloaded, ..error }
        }
        _ => error,
    }
}

/// Error of a request that may be within its allotment, while many of its customer wait for places.
pub(crate) fn overloaded(charge: &Charge, room_after: Duration) -> RequestError {
    let detail = format!("many requests of customer {} wait for targets", charge.customer);
    RequestError::not_run(RequestErrorKind::Overloaded, detail)
        .retry_after(spread_delay(room_after, rand::random()))
}

pub(crate) fn unreached(charge: &Charge) -> RequestError {
    let customer = &charge.customer;
    let detail = format!("cannot ask all owners of the allotment of customer {customer}");
    RequestError::not_run(RequestErrorKind::NotReady, detail).retry_after(UNREACHED_RETRY_AFTER)
}

/// Error of a request that exceeds the allotment.
pub(crate) fn no_room(charge: &Charge, delay: Duration) -> RequestError {
    let Charge { customer, units } = charge;
    let detail = format!("the allotment of customer {customer} has no room for {units} units");
    RequestError::not_run(RequestErrorKind::RateLimited, detail).retry_after(delay)
}

/// What a request is charged.
pub(crate) fn charge_of(run: &RequestRun, customer: &Customer, allotment: &Allotment) -> Charge {
    let generation = run.req.generation.as_ref();
    let tokens = generation.map(|g| g.prompt_tokens.saturating_add(g.max_tokens));
    Charge { customer: customer.name.clone(), units: units(allotment, tokens) }
}
