//! Charges requests to the allotments of their customers.
//!
//! The units of a request are taken from one of the customer's shares, each of which the owner of a
//! target group keeps. The request for a place carries the charge if its group has a share; otherwise
//! the units are reserved at another owner before, and confirmed when there is a place (`charges`).
//!
//! Architecture Invariant: a caller's request is charged at most once, however often it is sent, and
//! it gets status 429 only if every share that was asked or is known has no room.

use std::{
    sync::{MutexGuard, PoisonError},
    time::Duration,
};

use shallotdrum_allotments::{
    AllotmentReply, Charge, ChargeRequest, ChargeStep, Limits, ServedKind, ServedTimes, ShardHints,
    WaitStep, plan_charge, plan_wait, shard_count, shards, spread_delay, units,
};
use shallotdrum_control::SESSION_LEASE;
use shallotdrum_owner::{ChargeError, PlaceAdmission};
use shallotdrum_routes::{Allotment, Customer};
use shallotdrum_rpc::PlaceEnd;
use shallotdrum_telemetry::event;
use shallotdrum_types::{GroupId, RequestError, RequestErrorKind, RequestId};
use tokio::time::Instant;

use crate::{
    Gateway,
    charges::{ReturnGuard, Share, Taken},
    errors::timed_out_waiting,
    exchange::RequestRun,
    places::Place,
    progress::Stage,
};

/// Interval at which a request looks for an owner while no share has one. It reads the state of this
/// instance only.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// `Retry-After` of an entry that has no session: about the time in which one is opened.
const NO_SESSION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time in which a group gets an owner after the lease of the previous one: some rounds of the control
/// log.
const ASSIGN_TIME: Duration = Duration::from_millis(500);

/// Longest time after the next owner is expected at which a refused request is told to return, so that
/// callers do not return together.
const MAX_OWNER_SPREAD: Duration = Duration::from_secs(1);

/// Shares of a customer's allotment, by the state of this instance.
pub(crate) struct Shares {
    limits: Limits,
    /// Those that have an owner.
    pub(crate) owned: Vec<Share>,
    /// Number of all shares.
    count: usize,
}

/// Wait of a request that cannot be charged yet.
struct ChargeWait {
    /// What it waits for, for log lines.
    cause: &'static str,
    /// Time before which it cannot be charged.
    needed: Duration,
    /// Time after which it is to be charged.
    wanted: Duration,
    /// Time after which it is told to return if it is refused.
    retry_after: Duration,
}

impl Gateway {
    pub(crate) fn shard_hints(&self) -> MutexGuard<'_, ShardHints> {
        self.shard_hints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn served(&self) -> MutexGuard<'_, ServedTimes> {
        self.served.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets replies of owners and times of requests that are too old to matter.
    pub(crate) fn expire_shard_hints(&self) {
        let now = Instant::now().into_std();
        self.shard_hints().expire(now);
        self.served().expire(now);
    }

    /// Records that a request was served, and how long that took.
    pub(crate) fn record_served(&self, run: &RequestRun) {
        let Some(sent_at) = run.sent_at else { return };
        let (kind, now) = (served_kind(run), Instant::now());
        self.run_times().record(&kind, now - sent_at, now.into_std());
        if run.customer.as_ref().is_some_and(|c| c.allotment.is_some()) {
            self.served().record(&kind, now - sent_at, now.into_std());
        }
    }

    /// Waits for a place at a target, and charges the request for it unless it is charged already.
    pub(crate) async fn take_charged_place(
        &self,
        run: &RequestRun,
        admission: PlaceAdmission,
    ) -> Result<(Place, Option<Taken>), RequestError> {
        let allotment = run.customer.as_ref().and_then(|customer| customer.allotment);
        match (&run.customer, allotment.filter(|_| !run.is_charged)) {
            (Some(customer), Some(allotment)) => {
                let charge = charge_of(run, customer, &allotment);
                let placed = self.take_charged(run, admission, &allotment, &charge).await;
                placed.map(|(place, taken)| (place, Some(taken)))
            }
            (customer, _) => {
                run.progress.wait_for(Stage::Place);
                let place = self.places.take(&run.pool, admission, run.deadline).await;
                let place = match customer {
                    Some(_) => place.map_err(busy),
                    None => place,
                };
                place.map(|place| (place, None))
            }
        }
    }

    async fn take_charged(
        &self,
        run: &RequestRun,
        admission: PlaceAdmission,
        allotment: &Allotment,
        charge: &Charge,
    ) -> Result<(Place, Taken), RequestError> {
        let mut has_lost = false;
        loop {
            let taken = match self.charge(run, &admission, allotment, charge, has_lost).await? {
                (Some(place), taken) => return Ok((place, taken)),
                (None, taken) => taken,
            };
            let units = ReturnGuard::new(self, &run.req.id, taken);
            run.progress.wait_for(Stage::Place);
            let placed = self.places.take(&run.pool, admission.clone(), run.deadline).await;
            let place = placed.map_err(busy)?;
            run.progress.wait_for(Stage::Confirmation);
            if let Some(taken) = units.confirm().await {
                return Ok((place, taken));
            }
            // The share has another owner, or cannot be reached.
            if let Some(taken) = self.charge_placed(run, allotment, charge).await {
                return Ok((place, taken));
            }
            place.end(PlaceEnd::Cancelled);
            has_lost = true;
        }
    }

    /// Charges a request, together with its place if its group has a share with room.
    ///
    /// One that `has_lost` units which were reserved for it is within its allotment.
    async fn charge(
        &self,
        run: &RequestRun,
        admission: &PlaceAdmission,
        allotment: &Allotment,
        charge: &Charge,
        has_lost: bool,
    ) -> Result<(Option<Place>, Taken), RequestError> {
        let mut asked: Vec<GroupId> = Vec::new();
        run.progress.wait_for(Stage::Allotment);
        loop {
            let now = Instant::now();
            if now >= run.deadline {
                return Err(timed_out_waiting());
            }
            // Another entry may be able to ask.
            if (self.cx.session)().is_none() {
                return Err(unreached(charge, NO_SESSION_RETRY_AFTER));
            }
            let shares = self.shares(allotment, charge);
            let own = self.places.choose_group(&run.pool, admission).ok();
            let own_group = own.as_ref().map(|chosen| &chosen.group);
            let step = self.plan(&shares, charge, own_group, &asked, &self.shard_hints());
            let share = match step {
                ChargeStep::Ask(group) => match shares.owner(group) {
                    Some(share) => share.clone(),
                    None => return Err(unreached(charge, self.next_owner_after(&shares, charge))),
                },
                ChargeStep::NoRoom(room_after) if has_lost => {
                    return Err(unreached(charge, spread_delay(room_after, rand::random())));
                }
                ChargeStep::NoRoom(room_after) => {
                    return Err(self.refuse(run, charge, room_after, asked.len()));
                }
                ChargeStep::Queued(room_after) => return Err(overloaded(charge, room_after)),
                // As for a place, the request waits for the next owner of a group.
                ChargeStep::Unreached { is_known: false } => {
                    let wait = ChargeWait {
                        cause: "no owner",
                        needed: Duration::ZERO,
                        wanted: OWNER_POLL_INTERVAL,
                        retry_after: self.next_owner_after(&shares, charge),
                    };
                    self.wait_to_charge(run, charge, wait).await?;
                    asked.clear();
                    continue;
                }
                ChargeStep::Unreached { is_known: true } => {
                    return Err(unreached(charge, self.next_owner_after(&shares, charge)));
                }
                ChargeStep::Recovering(room_after) => {
                    // Requests that wait for the same share return at different times.
                    let wanted =
                        (room_after + OWNER_POLL_INTERVAL).mul_f64(1.0 + rand::random::<f64>());
                    let wait = ChargeWait {
                        cause: "recovering",
                        needed: room_after,
                        wanted,
                        retry_after: spread_delay(room_after, rand::random()),
                    };
                    self.wait_to_charge(run, charge, wait).await?;
                    asked.clear();
                    continue;
                }
            };
            asked.push(share.0.clone());
            let Some(chosen) = own.filter(|chosen| chosen.group == share.0) else {
                let left = run.deadline.saturating_duration_since(now);
                match self.ask(&run.req.id, &share, charge, Some(left)).await {
                    Some(taken) => return Ok((None, taken)),
                    None => continue,
                }
            };
            let (admission, deadline) = (admission.clone(), run.deadline);
            run.progress.wait_for(Stage::Place);
            let placed =
                self.places.take_charged(&run.pool, chosen, admission, charge.clone(), deadline);
            match placed.await {
                Ok((place, reply)) => {
                    self.record(charge, &share.0, &reply);
                    return Ok((place, Taken::now(share, charge.clone())));
                }
                Err(ChargeError::NoRoom(reply)) => {
                    self.record(charge, &share.0, &reply);
                }
                Err(ChargeError::NoPlace(error)) if error.kind == RequestErrorKind::NotReady => {
                    self.record_unreached(&run.req.id, &share, charge, &error);
                }
                Err(ChargeError::NoPlace(error)) => return Err(busy(error)),
            }
            run.progress.wait_for(Stage::Allotment);
        }
    }

    /// Waits until a request is charged again, or refuses it if it could not be served after the wait.
    async fn wait_to_charge(
        &self,
        run: &RequestRun,
        charge: &Charge,
        wait: ChargeWait,
    ) -> Result<(), RequestError> {
        let now = Instant::now();
        let left = run.deadline.saturating_duration_since(now);
        let shortest = self.served().shortest(&served_kind(run), now.into_std());
        match plan_wait(left, shortest.max(OWNER_POLL_INTERVAL), wait.needed, wait.wanted) {
            WaitStep::Wait(time) => {
                tokio::time::sleep(time).await;
                Ok(())
            }
            WaitStep::Refuse => {
                event!(self.cx.log, ALLOTMENT_WAIT_ENDED; "request" => %run.req.id,
                    "customer" => %charge.customer, "units" => charge.units, "cause" => wait.cause,
                    "left_ms" => left.as_millis() as u64,
                    "shortest_ms" => shortest.as_millis() as u64,
                    "room_after_ms" => wait.needed.as_millis() as u64,
                    "retry_after_ms" => wait.retry_after.as_millis() as u64);
                self.cx.metrics.allotment_unserved().inc();
                Err(unreached(charge, wait.retry_after))
            }
        }
    }

    /// Time until a share without a reachable owner is expected to have one, for `Retry-After`.
    pub(crate) fn next_owner_after(&self, shares: &Shares, charge: &Charge) -> Duration {
        let now = Instant::now().into_std();
        let expected = match shares.owned.len() < shares.count {
            // The lease of the previous owner has ended.
            true => Duration::ZERO,
            false => self
                .shard_hints()
                .next_owner_after(&charge.customer, &shares.groups(), SESSION_LEASE, now)
                .unwrap_or(SESSION_LEASE),
        };
        expected + ASSIGN_TIME + MAX_OWNER_SPREAD.mul_f64(rand::random())
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

    /// Records the reply of a share's owner; returns whether the units were given.
    pub(crate) fn record(&self, charge: &Charge, group: &GroupId, reply: &AllotmentReply) -> bool {
        if reply.granted {
            self.cx.metrics.allotment_admitted().inc();
        }
        let now = Instant::now().into_std();
        self.shard_hints().record(&charge.customer, group, reply, now);
        reply.granted
    }

    pub(crate) fn record_unreached(
        &self,
        request: &RequestId,
        (group, _, addr): &Share,
        charge: &Charge,
        error: &dyn std::fmt::Display,
    ) {
        event!(self.cx.log, ALLOTMENT_UNREACHED; "request" => %request, "group" => %group,
            "customer" => %charge.customer, "owner" => %addr, "error" => %error);
        let now = Instant::now().into_std();
        self.shard_hints().record_unreached(&charge.customer, group, now);
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

/// Kind of a request, by which the time that it takes is told.
pub(crate) fn served_kind(run: &RequestRun) -> ServedKind {
    ServedKind::new(run.pool.clone(), run.req.generation.as_ref().map(|g| g.max_tokens))
}

pub(crate) fn unreached(charge: &Charge, retry_after: Duration) -> RequestError {
    let customer = &charge.customer;
    let detail = format!("cannot ask all owners of the allotment of customer {customer}");
    RequestError::not_run(RequestErrorKind::NotReady, detail).retry_after(retry_after)
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
