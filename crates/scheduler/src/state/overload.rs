//! Applies the decisions of [`crate::urgency`] to the queues.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use shallotdrum_engine::{Priority, Urgency};
use shallotdrum_telemetry::event;
use shallotdrum_types::{RequestError, RequestErrorKind, RequestId};
use tokio::time::Instant;

use super::{QueueId, QueuedRequest, State, admission};
use crate::{
    api::{AdmissionRequest, Finish, RequestKind},
    engine_model::millis,
    fair::{Seq, Tag},
    learned::Learned,
    service_share::ServiceShares,
    target::Target,
    urgency::{
        Candidate, Capacity, Decision, Estimate, Order, Outlook, Queue, Rank, SerialTarget, Turns,
        decide, engine_priority, hopeless, lateness, retry_after_secs,
    },
};

/// Time between two checks of the queued requests; no more than a tenth of the shortest response.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);
/// Part of its time after which a waiting request counts as not served.
const UNSERVED_AFTER: f64 = 0.5;
/// Interval in which the number of logged refusals is limited.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Refusals and displacements of one group that are logged in an interval; a burst causes hundreds.
const MAX_LOGGED: u32 = 20;

/// What a queued request needs, and by when.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    pub(super) request: RequestId,
    pub(super) urgency: Urgency,
    pub(super) deadline: Instant,
    pub(super) objective: Option<Instant>,
    /// Limit on generated tokens; absent for calls of plain services.
    pub(super) max_tokens: Option<u64>,
}

impl Demand {
    pub(super) fn of(request: &AdmissionRequest) -> Self {
        Self {
            request: request.request.clone(),
            urgency: request.urgency,
            deadline: request.deadline,
            objective: request.objective,
            max_tokens: max_tokens(&request.kind),
        }
    }
}

/// Number of a request's tokens, or none for a call of a plain service.
fn max_tokens(kind: &RequestKind) -> Option<u64> {
    match kind {
        RequestKind::Completion { max_tokens, .. } | RequestKind::Base { max_tokens, .. } => {
            Some(*max_tokens)
        }
        RequestKind::Service { .. } => None,
    }
}

/// Who got places at the targets of one kind.
#[derive(Clone, Debug, Default)]
struct Service {
    /// Grants that went to waiting requests.
    turns: Turns,
    shares: ServiceShares,
    /// Urgency that is served too rarely, as of the latest sweep.
    underserved: Option<Urgency>,
}

/// State of the order and refusal under overload.
#[derive(Clone, Debug)]
pub(super) struct Overload {
    pub(super) learned: Learned,
    engines: Service,
    services: Service,
    /// Loads for waiting requests.
    load_turns: Turns,
    /// Ranks of the customers that sent requests.
    customer_ranks: BTreeSet<u8>,
    next_sweep_at: Instant,
    logged: u32,
    unlogged: u64,
    log_resets_at: Instant,
}

impl Overload {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            learned: Learned::default(),
            engines: Service::default(),
            services: Service::default(),
            load_turns: Turns::default(),
            customer_ranks: BTreeSet::new(),
            next_sweep_at: now,
            logged: 0,
            unlogged: 0,
            log_resets_at: now,
        }
    }

    fn service(&self, is_engine: bool) -> &Service {
        if is_engine { &self.engines } else { &self.services }
    }

    fn service_mut(&mut self, is_engine: bool) -> &mut Service {
        if is_engine { &mut self.engines } else { &mut self.services }
    }

    /// Counts a decision towards the limit on log lines; returns the number of those not logged since
    /// the last line, if this one may be logged.
    fn log_permit(&mut self, now: Instant) -> Option<u64> {
        if now >= self.log_resets_at {
            self.log_resets_at = now + LOG_INTERVAL;
            self.logged = 0;
        }
        if self.logged >= MAX_LOGGED {
            self.unlogged += 1;
            return None;
        }
        self.logged += 1;
        Some(std::mem::take(&mut self.unlogged))
    }
}

impl State {
    /// Rank of a request in its queue.
    pub(super) fn rank(&self, urgency: Urgency, tag: Tag) -> Rank {
        match self.is_urgency_active() {
            true => Rank::new(urgency, tag),
            false => Rank::by_tag(tag),
        }
    }

    /// By what the next grant of a place at an engine or a plain service goes.
    pub(super) fn order(&self, is_engine: bool) -> Order {
        match self.is_urgency_active() {
            false => Order::Rank,
            true => {
                let service = self.overload.service(is_engine);
                service.turns.order(service.underserved)
            }
        }
    }

    /// By what the next load goes.
    pub(super) fn load_order(&self) -> Order {
        match self.is_urgency_active() {
            true => self.overload.load_turns.order(None),
            false => Order::Rank,
        }
    }

    pub(super) fn count_load_turn(&mut self) {
        self.overload.load_turns.count();
    }

    /// Counts a grant. Only requests that waited took their place from others.
    pub(super) fn count_turn(&mut self, queued: &QueuedRequest, now: Instant) {
        let service = self.overload.service_mut(queued.is_engine);
        service.shares.record_grant(queued.demand.urgency, now);
        if now > queued.queued_at {
            service.turns.count();
        }
    }

    /// Priority for the engine of a request that is this many steps ahead of its fair share.
    pub(super) fn urgent_priority(&mut self, urgency: Urgency, lead_steps: u8) -> Priority {
        self.overload.customer_ranks.insert(urgency.customer);
        engine_priority(urgency, &self.overload.customer_ranks, lead_steps)
    }

    /// Learns from the end of a request.
    pub(super) fn learn(
        &mut self,
        max_tokens: Option<u64>,
        finish: Finish,
        secs: f64,
        now: Instant,
    ) {
        match (finish, max_tokens) {
            (Finish::Answered { completion_tokens, .. }, Some(max)) => {
                self.overload.learned.record_response(max, completion_tokens, secs, now);
            }
            (Finish::Answered { .. }, None) => self.overload.learned.record_call(secs, now),
            _ => {}
        }
    }

    /// Expected cost and duration of a request with this prompt and limit.
    fn estimate(&self, prompt_tokens: u64, max_tokens: Option<u64>, now: Instant) -> Estimate {
        let Some(max_tokens) = max_tokens else { return self.overload.learned.call(now) };
        let prefill = self.cfg.engine_model.map(|model| model.prefill(prompt_tokens, 0.0));
        self.overload.learned.response(prefill.unwrap_or_default().as_secs_f64(), max_tokens, now)
    }

    /// What the active targets of a kind can do.
    fn capacity_of(&self, is_engine: bool, now: Instant) -> Capacity {
        let is_usable = |target: &&Target| target.is_engine() == is_engine && target.is_active(now);
        let service = self.overload.service(is_engine);
        let mut sum = Capacity {
            until_tag: service.turns.until_tag(),
            other_turns: if service.underserved.is_some() { 2.0 } else { 1.0 },
            ..Capacity::default()
        };
        let mut granted_at = None;
        for target in self.targets.values().filter(is_usable) {
            let in_use = target.running + target.foreign(now);
            sum.targets.push(SerialTarget {
                free_after_secs: target.prefill_backlog.wait(now).as_secs_f64(),
                speed: target.pace.factor(now).recip(),
            });
            sum.slots += f64::from(target.capacity());
            sum.free_slots += f64::from(target.capacity().saturating_sub(in_use));
            granted_at = granted_at.max(target.granted_at);
        }
        sum.since_grant_secs = granted_at.map_or(0.0, |at| (now - at).as_secs_f64());
        sum
    }

    /// Queued requests for targets of a kind.
    fn waiting_for(&self, is_engine: bool, now: Instant) -> Vec<Candidate> {
        let queued = self.queued.iter().filter(|(_, queued)| queued.is_engine == is_engine);
        queued
            .map(|(seq, queued)| {
                let demand = &queued.demand;
                let estimate = self.estimate(queued.prompt_tokens, demand.max_tokens, now);
                candidate(*seq, queued.rank, demand, estimate, now)
            })
            .collect()
    }

    /// Refuses a new request for which no time is left, or makes room for it.
    pub(super) fn check_urgency(
        &mut self,
        request: &AdmissionRequest,
        other_wait: Duration,
        now: Instant,
    ) -> Result<(), RequestError> {
        let is_engine = admission::is_engine_request(&request.kind);
        let prompt_tokens = match &request.kind {
            RequestKind::Completion { prompt_tokens, .. }
            | RequestKind::Base { prompt_tokens, .. } => *prompt_tokens,
            RequestKind::Service { .. } => 0,
        };
        let demand = Demand::of(request);
        let last_finish = self.subs.key(&request.subscriber).map(|sub| self.subs[sub].last_finish);
        let rank = Rank::new(request.urgency, self.fair_clock.next_tag(last_finish));
        let estimate = self.estimate(prompt_tokens, demand.max_tokens, now);
        let newcomer = candidate(self.next_seq, rank, &demand, estimate, now);
        let by_load = Outlook::new(&newcomer, other_wait.as_secs_f64(), false);
        if !other_wait.is_zero() && !by_load.is_in_time() {
            return Err(self.refuse_newcomer(&demand, &by_load, now));
        }
        let queued = self.waiting_for(is_engine, now);
        let is_full = self.queued.len() >= self.cfg.max_queued;
        match decide(&newcomer, &queued, &self.capacity_of(is_engine, now), is_full) {
            Decision::Admit => Ok(()),
            // Among equally urgent requests, fair shares decide which one has no room.
            Decision::Refuse(outlook) if outlook.is_in_time() => self.displace_newest(request, now),
            Decision::Refuse(outlook) => Err(self.refuse_newcomer(&demand, &outlook, now)),
            Decision::Displace { victim, outlook, room_secs } => {
                let retry = retry_after_secs(room_secs);
                self.displace(victim, &demand, &outlook, retry, now);
                Ok(())
            }
        }
    }

    fn refuse_newcomer(
        &mut self,
        demand: &Demand,
        outlook: &Outlook,
        now: Instant,
    ) -> RequestError {
        let is_engine = demand.max_tokens.is_some();
        self.overload.service_mut(is_engine).shares.record_refusal(demand.urgency, now);
        self.stats.refused_on_arrival += 1;
        if let Some(counters) = &self.cfg.counters {
            counters.refused_on_arrival.inc();
        }
        self.log_refusal(demand, outlook, Duration::ZERO, now);
        refusal(outlook)
    }

    /// Refuses a queued request in favour of a more urgent one.
    fn displace(
        &mut self,
        victim: Seq,
        newcomer: &Demand,
        outlook: &Outlook,
        retry: Duration,
        now: Instant,
    ) {
        let Some(queued) = self.queued.get(&victim) else { return };
        if let Some(unlogged) = self.overload.log_permit(now) {
            event!(self.log, REQUEST_DISPLACED; "request" => %queued.demand.request,
                "urgency" => urgency_text(queued.demand.urgency),
                "waited_ms" => millis(now - queued.queued_at) as u64,
                "left_ms" => millis(queued.demand.deadline.saturating_duration_since(now)) as u64,
                "by" => %newcomer.request, "by_urgency" => urgency_text(newcomer.urgency),
                "by_wait_ms" => (outlook.wait_secs * 1_000.0) as u64,
                "by_needs_ms" => (outlook.needed_secs * 1_000.0) as u64,
                "retry_ms" => millis(retry) as u64,
                "queued" => self.queued.len(), "unlogged" => unlogged);
        }
        let (is_engine, urgency) = (queued.is_engine, queued.demand.urgency);
        self.overload.service_mut(is_engine).shares.record_refusal(urgency, now);
        self.stats.displaced += 1;
        if let Some(counters) = &self.cfg.counters {
            counters.displaced.inc();
        }
        let detail = "a more urgent request took its place in the queue; retry later";
        let error = RequestError::not_run(RequestErrorKind::Overloaded, detail).retry_after(retry);
        self.fail(victim, error);
    }

    fn log_refusal(&mut self, demand: &Demand, outlook: &Outlook, waited: Duration, now: Instant) {
        let Some(unlogged) = self.overload.log_permit(now) else { return };
        event!(self.log, REQUEST_REFUSED_EARLY; "request" => %demand.request,
            "urgency" => urgency_text(demand.urgency), "waited_ms" => millis(waited) as u64,
            "left_ms" => millis(demand.deadline.saturating_duration_since(now)) as u64,
            "wait_ms" => (outlook.wait_secs * 1_000.0) as u64,
            "needs_ms" => (outlook.needed_secs * 1_000.0) as u64,
            "retry_ms" => millis(outlook.retry_after()) as u64,
            "queued" => self.queued.len(), "unlogged" => unlogged);
    }

    /// Orders the queued requests anew and refuses those that can no longer be finished.
    pub(super) fn sweep(&mut self, now: Instant) {
        if now < self.overload.next_sweep_at || !self.is_urgency_active() {
            return;
        }
        self.overload.next_sweep_at = now + SWEEP_INTERVAL;
        for is_engine in [true, false] {
            let mut queued = self.waiting_for(is_engine, now);
            if queued.is_empty() {
                self.overload.service_mut(is_engine).underserved = None;
                continue;
            }
            self.find_underserved(is_engine, now);
            let capacity = self.capacity_of(is_engine, now);
            for candidate in &mut queued {
                candidate.rank.urgency = self.queued[&candidate.seq].demand.urgency;
            }
            let late = lateness(&queued, &capacity);
            for (candidate, (seq, is_late)) in queued.iter_mut().zip(late) {
                candidate.rank.is_late = is_late;
                self.set_rank(seq, candidate.rank);
            }
            for (seq, outlook) in hopeless(&mut queued, &capacity) {
                self.refuse_queued(seq, &outlook, now);
            }
        }
    }

    /// Finds the urgency whose requests are served too rarely.
    fn find_underserved(&mut self, is_engine: bool, now: Instant) {
        let mut waiting = BTreeMap::new();
        for queued in self.queued.values().filter(|queued| queued.is_engine == is_engine) {
            let waited = (now - queued.queued_at).as_secs_f64();
            let time = queued.demand.deadline.saturating_duration_since(queued.queued_at);
            *waiting.entry(queued.demand.urgency).or_default() +=
                (waited / time.as_secs_f64().max(f64::MIN_POSITIVE) / UNSERVED_AFTER).min(1.0);
        }
        let service = self.overload.service_mut(is_engine);
        service.underserved = service.shares.underserved(&waiting, now);
    }

    fn refuse_queued(&mut self, seq: Seq, outlook: &Outlook, now: Instant) {
        let Some(queued) = self.remove_queued(seq) else { return };
        self.log_refusal(&queued.demand, outlook, now - queued.queued_at, now);
        let service = self.overload.service_mut(queued.is_engine);
        service.shares.record_refusal(queued.demand.urgency, now);
        self.stats.refused_in_queue += 1;
        if let Some(counters) = &self.cfg.counters {
            counters.refused_in_queue.inc();
        }
        self.refuse(queued, refusal(outlook));
    }

    /// Moves a request within its queue.
    fn set_rank(&mut self, seq: Seq, rank: Rank) {
        let Some(queued) = self.queued.get_mut(&seq).filter(|queued| queued.rank != rank) else {
            return;
        };
        let previous = std::mem::replace(&mut queued.rank, rank);
        let queue_id = queued.queue_id;
        if let Some(queue) = self.queue_mut(queue_id)
            && queue.remove(&(previous, seq))
        {
            queue.insert((rank, seq));
        }
    }

    fn queue_mut(&mut self, id: QueueId) -> Option<&mut Queue> {
        match id {
            QueueId::Adapter(key) => Some(&mut self.adapters[key].queue),
            QueueId::Service { is_repeatable } => Some(self.services_mut(is_repeatable)),
            QueueId::Restricted => Some(&mut self.restricted),
            QueueId::Assigned(_) => None,
        }
    }

    /// Number of adapters that are loaded before one for a request of this urgency.
    pub(super) fn missing_before(&self, urgency: Urgency) -> usize {
        let is_missing = |key: &&usize| {
            let adapter = &self.adapters[**key];
            let head = adapter.queue.first();
            adapter.holders.is_empty() && head.is_some_and(|(rank, _)| rank.urgency <= urgency)
        };
        self.waiting.iter().filter(is_missing).count()
    }
}

fn candidate(seq: Seq, rank: Rank, demand: &Demand, estimate: Estimate, now: Instant) -> Candidate {
    let secs_until = |at: Instant| at.saturating_duration_since(now).as_secs_f64();
    let left_secs = secs_until(demand.deadline);
    Candidate { seq, rank, left_secs, objective_secs: demand.objective.map(secs_until), estimate }
}

fn refusal(outlook: &Outlook) -> RequestError {
    let Outlook { wait_secs, needed_secs, .. } = outlook;
    let detail = format!(
        "the request would start in {wait_secs:.2} s and needs {needed_secs:.2} s, more than its \
         deadline leaves; retry later"
    );
    RequestError::not_run(RequestErrorKind::Overloaded, detail).retry_after(outlook.retry_after())
}

/// Ranks of customer and route, for log lines.
fn urgency_text(urgency: Urgency) -> String {
    format!("{}.{}", urgency.customer, urgency.route)
}
