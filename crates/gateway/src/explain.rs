//! Where a request would go now, and why, for operators.
//!
//! An explanation calls the functions that decide on requests, with copies of what they change: of the
//! replies of owners that this entry knows (`ShardHints`), and at the owner of the scheduler's state and
//! of the shares. It sends no request, charges nothing, and counts and logs no decision.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, uri::PathAndQuery};
use shallotdrum_allotments::{Charge, ChargeStep, shard_count, shards, spread_delay};
use shallotdrum_engine::{Lacking, PlaceVerdict};
use shallotdrum_owner::PlaceAdmission;
use shallotdrum_routes::{Allotment, Customer, Route, RouteIndex};
use shallotdrum_rpc::{
    ExplainQuery, ExplainedCustomer, ExplainedOutcome, ExplainedRoute, Explanation, GroupChoiceRow,
    PeerApiClient, PlaceExplanation, PlaceRequest, PoolRow, RpcError, ShareRow, TableInForce,
};
use shallotdrum_types::{
    Fingerprint, GroupId, PoolId, RequestError, RequestErrorKind, SessionId, Weight,
};
use tokio::time::Instant;

use crate::{
    CallerRequest, Credentials, Gateway, Generation, KeyRefusalReason,
    admit::{Admitted, NoRoute, choose_pool},
    allotments::{busy, charge_of, no_room, overloaded, unreached},
    charges::Share,
    customers::{Access, decide_for},
    exchange::RequestRun,
    in_force::InForce,
    places::{ChosenGroup, choose_fallback},
    progress::RequestsInProgress,
};

/// Timeout for the reply of an owner; an operator waits for it.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Length of a prompt that the query does not state, in tokens; one block of a prefix cache.
const DEFAULT_PROMPT_TOKENS: u64 = 256;

/// Limit on generated tokens that the query does not state.
const DEFAULT_MAX_TOKENS: u64 = 128;

/// A query that describes no request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidQuery(String);

/// Why an explanation ends before a place is asked for.
enum Stop {
    Refused(RequestError),
    Invalid(InvalidQuery),
}

impl From<RequestError> for Stop {
    fn from(error: RequestError) -> Self {
        Self::Refused(error)
    }
}

/// Result of a charge.
enum ChargeOutlook {
    /// There is room; the owner's reply if it is that of the request's own group.
    Room(Option<PlaceExplanation>),
    /// The request is refused, or waits.
    Ended(ExplainedOutcome),
}

impl Gateway {
    /// Says where a request would go now, and why.
    pub async fn explain(&self, query: &ExplainQuery) -> Result<Explanation, InvalidQuery> {
        let in_force = self.in_force();
        let last = in_force.confirmation.last;
        let mut explanation = Explanation {
            outcome: ExplainedOutcome::Waits { lacks: Lacking::Owner, wait_ms: None },
            table: TableInForce {
                revision: in_force.revision(),
                confirmed_index: last.map(|last| last.index),
                confirmed_ms: last.map(|last| last.age.as_millis() as u64),
            },
            route: None,
            customer: None,
            shares: Vec::new(),
            pools: Vec::new(),
            groups: Vec::new(),
            place: None,
            owner_error: None,
        };
        explanation.outcome = match self.outlook(query, &in_force, &mut explanation).await {
            Ok(outcome) => outcome,
            Err(Stop::Refused(error)) => ExplainedOutcome::Refused { error },
            Err(Stop::Invalid(error)) => return Err(error),
        };
        Ok(explanation)
    }

    async fn outlook(
        &self,
        query: &ExplainQuery,
        in_force: &InForce,
        explanation: &mut Explanation,
    ) -> Result<ExplainedOutcome, Stop> {
        let run = self.run_of(query, in_force, explanation)?;
        let need = self.need(&run).requirements;
        let mut admission = self.admission(&run, need);
        admission.avoid = self.places.withheld_targets(&run.pool);
        admission.left = run.deadline.saturating_duration_since(Instant::now());
        let chosen = self.places.choose_group(&run.pool, &admission).ok();
        admission.spread = chosen.as_ref().map_or(1, |chosen| chosen.spread);
        explanation.groups = self.group_rows(&run.pool, chosen.as_ref());
        let own = chosen.as_ref().map(own_share);
        let allotment = run.customer.as_ref().and_then(|customer| customer.allotment);
        let mut reply = None;
        if let (Some(customer), Some(allotment)) = (&run.customer, allotment) {
            let charge = charge_of(&run, customer, &allotment);
            if let Some(row) = &mut explanation.customer {
                row.units = Some(charge.units);
            }
            explanation.shares = self.share_rows(&allotment, &charge);
            let asked = &mut explanation.shares;
            match self.explain_charge(&admission, &allotment, &charge, own.as_ref(), asked).await {
                ChargeOutlook::Room(own) => reply = own,
                ChargeOutlook::Ended(outcome) => return Ok(outcome),
            }
        }
        let reply = match (reply, &own) {
            (Some(reply), _) => Ok(reply),
            (None, Some(own)) => self.ask_owner(own, &admission, None).await,
            (None, None) => return Ok(self.without_owner(&run.pool, &admission)),
        };
        let place = match reply {
            Ok(reply) => reply.place,
            Err(error) => {
                explanation.owner_error = Some(error);
                return Ok(self.without_owner(&run.pool, &admission));
            }
        };
        match place {
            Ok(outlook) => {
                let outcome = outcome_of(&outlook.verdict, run.customer.is_some());
                explanation.place = Some(outlook);
                Ok(outcome)
            }
            // As for a place, another owner is waited for.
            Err(error) if error.kind == RequestErrorKind::NotReady => {
                explanation.owner_error = Some(error.to_string());
                Ok(self.without_owner(&run.pool, &admission))
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Request that the query describes, with its route, customer and pool.
    fn run_of(
        &self,
        query: &ExplainQuery,
        in_force: &InForce,
        explanation: &mut Explanation,
    ) -> Result<RequestRun, Stop> {
        let target: PathAndQuery = query.path.parse().map_err(|_| {
            Stop::Invalid(InvalidQuery(format!("`{}` is not the path of a request", query.path)))
        })?;
        let confirmation = &in_force.confirmation;
        let found = self.find_route(in_force, &query.host, target.path());
        let (routes, route) = found.map_err(|error| match error {
            NoRoute::NotServing(error) => error,
            NoRoute::NotInTable(refusal) => confirmation.freshness.refuse(refusal),
        })?;
        explanation.route = Some(route_row(route));
        let known = known_customer(query, routes);
        explanation.customer = known.as_ref().ok().map(|customer| customer_row(customer));
        let access = decide_for(known, route, routes, confirmation, self.cx.revocation)
            .map_err(|refusal| refusal.error)?;
        if access == Access::Unchecked {
            explanation.customer = None;
        }
        let pool = choose_pool(route, rand::random())?;
        let shares = route.shares.iter().map(|share| PoolRow {
            pool: share.pool.clone(),
            weight: share.weight,
            is_chosen: share.pool == pool,
        });
        explanation.pools = shares.collect();
        let generation = generation(query, routes, &pool).map_err(Stop::Invalid)?;
        let req = CallerRequest {
            id: format!("explain-{:016x}", rand::random::<u64>())
                .parse()
                .expect("letters and digits form a valid id"),
            caller: None,
            host: query.host.clone(),
            method: Method::POST,
            target,
            credentials: Credentials::new([], HeaderMap::new()),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            arrived: Instant::now(),
            timeout: query.deadline_ms.map_or(route.timeout, Duration::from_millis),
            generation,
            resume_after: None,
            resumes: None,
        };
        let admitted =
            Admitted { access, route: route.clone(), pool, revision: in_force.revision() };
        let identity = Fingerprint::of(req.id.as_str().as_bytes()).into();
        let deadline = req.arrived + req.timeout;
        let progress = RequestsInProgress::default().enter(req.id.clone(), req.arrived, deadline);
        Ok(RequestRun::new(req, Arc::new(progress), admitted, identity, None, None))
    }

    /// Goes through the steps of a charge with the owners' replies to a question. Marks the shares that
    /// were asked.
    async fn explain_charge(
        &self,
        admission: &PlaceAdmission,
        allotment: &Allotment,
        charge: &Charge,
        own: Option<&Share>,
        rows: &mut [ShareRow],
    ) -> ChargeOutlook {
        let mut hints = self.shard_hints().clone();
        let mut asked: Vec<GroupId> = Vec::new();
        let refused = |error| ChargeOutlook::Ended(ExplainedOutcome::Refused { error });
        let waits = |lacks, wait: Option<Duration>| {
            let wait_ms = wait.map(|wait| wait.as_millis() as u64);
            ChargeOutlook::Ended(ExplainedOutcome::Waits { lacks, wait_ms })
        };
        loop {
            let shares = self.shares(allotment, charge);
            let own_group = own.map(|(group, ..)| group);
            let share = match self.plan(&shares, charge, own_group, &asked, &hints) {
                ChargeStep::Ask(group) => match shares.owner(group) {
                    Some(share) => share.clone(),
                    None => {
                        let after = self.next_owner_after(&shares, charge);
                        return refused(unreached(charge, after));
                    }
                },
                ChargeStep::NoRoom(after) => {
                    return refused(no_room(charge, spread_delay(after, rand::random())));
                }
                ChargeStep::Queued(after) => return refused(overloaded(charge, after)),
                ChargeStep::Unreached { is_known: false } => return waits(Lacking::Owner, None),
                ChargeStep::Unreached { is_known: true } => {
                    let after = self.next_owner_after(&shares, charge);
                    return refused(unreached(charge, after));
                }
                ChargeStep::Recovering(after) => return waits(Lacking::Allotment, Some(after)),
            };
            asked.push(share.0.clone());
            let is_own = own_group == Some(&share.0);
            let reply = self.ask_owner(&share, admission, Some(charge)).await;
            let now = Instant::now().into_std();
            let row = rows.iter_mut().find(|row| row.group == share.0);
            match reply {
                Ok(reply) => match &reply.allotment {
                    Some(Ok(told)) => {
                        if let Some(row) = row {
                            (row.level, row.age_ms) = (Some(told.level), Some(0));
                            (row.is_asked, row.has_room) = (true, Some(told.granted));
                        }
                        if told.granted {
                            return ChargeOutlook::Room(Some(reply).filter(|_| is_own));
                        }
                        hints.record(&charge.customer, &share.0, told, now);
                    }
                    _ => hints.record_unreached(&charge.customer, &share.0, now),
                },
                Err(_) => {
                    if let Some(row) = row {
                        row.is_asked = true;
                    }
                    hints.record_unreached(&charge.customer, &share.0, now);
                }
            }
        }
    }

    /// Asks the owner of a group what it would decide; the error says why it did not answer.
    async fn ask_owner(
        &self,
        (group, owner, addr): &Share,
        admission: &PlaceAdmission,
        charge: Option<&Charge>,
    ) -> Result<PlaceExplanation, String> {
        let session = (self.cx.session)().ok_or("this instance has no session")?;
        let limits = self.places.limits_of(group);
        let admission = PlaceAdmission { limits, ..admission.clone() };
        if *owner == session {
            let owner = &self.cx.owner;
            let allotment = charge.map(|charge| owner.explain_allotment(group, charge));
            return Ok(PlaceExplanation {
                place: owner.explain_place(group, admission),
                allotment,
            });
        }
        let request = place_request(session, group, admission, charge);
        let asked = async {
            let client = self.cx.peers.get(*addr)?;
            Ok::<_, RpcError>(client.explain_place(request).await?)
        };
        match tokio::time::timeout(ASK_TIMEOUT, asked).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => Err(format!("cannot reach the owner of {group} at {addr}: {error}")),
            Err(_) => Err(format!("the owner of {group} at {addr} does not answer")),
        }
    }

    /// What happens to a request whose group has no owner that can be reached.
    fn without_owner(&self, pool: &PoolId, admission: &PlaceAdmission) -> ExplainedOutcome {
        let candidates = self.places.candidates_without_owner(pool, admission);
        let fallback = self.places.fallback();
        match choose_fallback(&fallback, pool, admission, candidates) {
            Some(target) => ExplainedOutcome::Sent { target: target.target, by_owner: false },
            None => ExplainedOutcome::Waits { lacks: Lacking::Owner, wait_ms: None },
        }
    }

    fn group_rows(&self, pool: &PoolId, chosen: Option<&ChosenGroup>) -> Vec<GroupChoiceRow> {
        let now = Instant::now();
        self.cx.view.read(|state| {
            let rows = state.groups_of_pool(pool).map(|group| {
                let stated = self.places.spread().stated_wait(&group.id, now);
                let millis = |time: Duration| time.as_millis() as u64;
                let owner = group.owner.and_then(|owner| state.session(owner));
                GroupChoiceRow {
                    group: group.id.clone(),
                    owner: owner.map(|session| session.info.instance.clone()),
                    wait_ms: stated.map(|(wait, _)| millis(wait)),
                    wait_age_ms: stated.map(|(_, age)| millis(age)),
                    is_chosen: chosen.is_some_and(|chosen| chosen.group == group.id),
                }
            });
            rows.collect()
        })
    }

    fn share_rows(&self, allotment: &Allotment, charge: &Charge) -> Vec<ShareRow> {
        let now = Instant::now().into_std();
        let hints = self.shard_hints();
        self.cx.view.read(|state| {
            let groups: Vec<&GroupId> = state.groups().map(|group| &group.id).collect();
            let count = shard_count(allotment, groups.len());
            let rows = shards(&charge.customer, groups).into_iter().take(count).map(|group| {
                let stated = hints.stated_level(&charge.customer, group, now);
                let owner = state.group(group).and_then(|group| state.session(group.owner?));
                ShareRow {
                    group: group.clone(),
                    owner: owner.map(|session| session.info.instance.clone()),
                    level: stated.map(|(level, _)| level),
                    age_ms: stated.map(|(_, age)| age.as_millis() as u64),
                    is_asked: false,
                    has_room: None,
                }
            });
            rows.collect()
        })
    }
}

fn own_share(chosen: &ChosenGroup) -> Share {
    (chosen.group.clone(), chosen.owner, chosen.addr)
}

fn outcome_of(verdict: &PlaceVerdict, has_customer: bool) -> ExplainedOutcome {
    match verdict.clone() {
        PlaceVerdict::Granted { target } => ExplainedOutcome::Sent { target, by_owner: true },
        PlaceVerdict::Waits { lacks, wait_ms, .. } => ExplainedOutcome::Waits { lacks, wait_ms },
        PlaceVerdict::Refused { error } if has_customer => {
            ExplainedOutcome::Refused { error: busy(error) }
        }
        PlaceVerdict::Refused { error } => ExplainedOutcome::Refused { error },
    }
}

/// Customer that the query names, as if its key had been found.
fn known_customer(
    query: &ExplainQuery,
    routes: &RouteIndex,
) -> Result<Arc<Customer>, KeyRefusalReason> {
    let name = query.customer.as_ref().ok_or(KeyRefusalReason::NoKey)?;
    let mut customers = routes.table().customers.iter().flatten();
    let found = customers.find(|customer| customer.name == *name);
    found.cloned().ok_or(KeyRefusalReason::UnknownKey)
}

/// Model parameters of the request, for a pool of engines.
fn generation(
    query: &ExplainQuery,
    routes: &RouteIndex,
    pool: &PoolId,
) -> Result<Option<Generation>, InvalidQuery> {
    let engine = routes.table().pool(pool).and_then(|spec| spec.engine.as_ref());
    let names_model = query.model.is_some() || query.adapter.is_some();
    let base = match (engine, &query.model) {
        (None, _) if names_model => {
            return Err(InvalidQuery(format!("pool {pool} runs no models")));
        }
        (None, _) => return Ok(None),
        (Some(_), Some(model)) => model.clone(),
        (Some(engine), None) => match engine.models.as_slice() {
            [model] => model.base.clone(),
            models => {
                let models = models.len();
                let detail = format!("pool {pool} runs {models} models; name one with --model");
                return Err(InvalidQuery(detail));
            }
        },
    };
    Ok(Some(Generation {
        base,
        adapter: query.adapter.clone(),
        prompt_tokens: query.prompt_tokens.unwrap_or(DEFAULT_PROMPT_TOKENS),
        max_tokens: query.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        prompt: Vec::new(),
    }))
}

fn route_row(route: &Route) -> ExplainedRoute {
    ExplainedRoute {
        route: route.name.clone(),
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        rank: route.rank,
        timeout_ms: route.timeout.as_millis() as u64,
        is_public: route.is_public,
    }
}

fn customer_row(customer: &Customer) -> ExplainedCustomer {
    ExplainedCustomer {
        customer: customer.name.clone(),
        rank: customer.rank,
        units: None,
        rate: customer.allotment.map(|allotment| allotment.rate),
        burst: customer.allotment.map(|allotment| allotment.burst),
    }
}

fn place_request(
    session: SessionId,
    group: &GroupId,
    admission: PlaceAdmission,
    charge: Option<&Charge>,
) -> PlaceRequest {
    PlaceRequest {
        session,
        request: admission.request,
        // No place is granted.
        place: 0,
        group: group.clone(),
        subscriber: admission.subscriber,
        weight: (admission.weight != Weight::default()).then_some(admission.weight),
        charge: charge.cloned(),
        need: admission.need,
        fingerprint: Some(admission.identity.request),
        any_caller: admission.identity.any_caller,
        left_ms: admission.left.as_millis() as u64,
        urgency: admission.urgency,
        objective_ms: admission.objective.map(|left| left.as_millis() as u64),
        spread: Some(admission.spread),
        avoid: admission.avoid,
        software: admission.software,
        limits: admission.limits,
    }
}
