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
    queue_sums::{QueueSums, Weighed, sweep_interval},
    returns::{Refused, Returns},
    service_share::ServiceShares,
    target::Target,
    turns::{Order, ShareTurns, Turns},
    urgency::{
        Candidate, Capacity, Decision, Estimate, NO_URGENCY, Outlook, Queue, Rank, SerialTarget,
        decide, engine_priority, hopeless, lateness, retry_after_secs,
    },
};

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

/// Who waits for, and who got, places at the targets of one kind.
#[derive(Clone, Debug)]
struct Service {
    sums: QueueSums,
    returns: Returns,
    /// Grants that went to waiting requests.
    turns: Turns,
    shares: ServiceShares,
    /// Kinds that are served too rarely, as of the latest sweep.
    behind: Vec<ShareTurns>,
}

impl Service {
    fn new(now: Instant) -> Self {
        Self {
            sums: QueueSums::default(),
            returns: Returns::new(now),
            turns: Turns::default(),
            shares: ServiceShares::default(),
            behind: Vec::new(),
        }
    }
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
            engines: Service::new(now),
            services: Service::new(now),
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
            true => self.overload.service(is_engine).turns.order(),
        }
    }

    /// By what the next load goes.
    pub(super) fn load_order(&self) -> Order {
        match self.is_urgency_active() {
            true => self.overload.load_turns.order(),
            false => Order::Rank,
        }
    }

    pub(super) fn count_load_turn(&mut self) {
        self.overload.load_turns.count(NO_URGENCY, &[]);
    }

    /// Counts a grant. Only requests that waited took their place from others.
    pub(super) fn count_turn(&mut self, queued: &QueuedRequest, now: Instant) {
        let service = self.overload.service_mut(queued.is_engine);
        service.shares.record_grant(queued.demand.urgency, now);
        if now > queued.queued_at {
            service.turns.count(queued.demand.urgency, &service.behind);
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
            share_turns: service.behind.clone(),
            ..Capacity::default()
        };
        let mut granted_at = None;
        for target in self.targets.values().filter(is_usable) {
            let in_use = target.running + target.foreign(now);
            sum.targets.push(SerialTarget {
                free_after_secs: target.prefill_backlog.wait(now).as_secs_f64(),
                speed: target.pace.factor(now).recip(),
            });
            sum.slots += target.concurrency();
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
                candidate(*seq, queued.rank, demand, estimate, (queued.queued_at, now))
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
        let newcomer = candidate(self.next_seq, rank, &demand, estimate, (now, now));
        let by_load = Outlook::new(&newcomer, other_wait.as_secs_f64(), false);
        if !other_wait.is_zero() && !by_load.is_in_time() {
            let retry = retry_after_secs(by_load.excess_secs);
            return Err(self.refuse_newcomer(&demand, &by_load, retry, now));
        }
        let sums = &self.overload.service(is_engine).sums;
        let ahead = sums.ahead(rank);
        let victim = sums.least_valuable(rank.urgency);
        let victim = victim.map(|seq| (seq, self.queued[&seq].weighed.work));
        let is_full = self.queued.len() >= self.cfg.max_queued;
        let capacity = self.capacity_of(is_engine, now);
        let work_secs = capacity.drain_secs(&estimate.work);
        match decide(&newcomer, &ahead, victim, &capacity, is_full) {
            Decision::Admit => Ok(()),
            // Among equally urgent requests, fair shares decide which one has no room.
            Decision::Refuse(outlook) if outlook.is_in_time() => self.displace_newest(request, now),
            Decision::Refuse(outlook) => {
                // Refusals because of loads do not count: turns do not speed up loads.
                let shares = &mut self.overload.service_mut(is_engine).shares;
                shares.record_refusal(demand.urgency, now);
                let retry = self.book_return(&demand, outlook.excess_secs, work_secs, now);
                Err(self.refuse_newcomer(&demand, &outlook, retry, now))
            }
            Decision::Displace { victim, outlook, room_secs } => {
                self.displace(victim, &demand, &outlook, (room_secs, &capacity), now);
                Ok(())
            }
        }
    }

    /// When the caller of a refused request is to return.
    fn book_return(
        &mut self,
        demand: &Demand,
        room_secs: f64,
        work_secs: f64,
        now: Instant,
    ) -> Duration {
        let left_secs = demand.deadline.saturating_duration_since(now).as_secs_f64();
        let service = self.overload.service_mut(demand.max_tokens.is_some());
        let refused = Refused { room_secs, work_secs, left_secs };
        retry_after_secs(service.returns.book(&refused, now))
    }

    fn refuse_newcomer(
        &mut self,
        demand: &Demand,
        outlook: &Outlook,
        retry: Duration,
        now: Instant,
    ) -> RequestError {
        self.stats.refused_on_arrival += 1;
        if let Some(counters) = &self.cfg.counters {
            counters.refused_on_arrival.inc();
        }
        self.log_refusal(demand, outlook, (Duration::ZERO, retry), now);
        refusal(outlook, retry)
    }

    /// Refuses a queued request in favour of a more urgent one.
    fn displace(
        &mut self,
        victim: Seq,
        newcomer: &Demand,
        outlook: &Outlook,
        (room_secs, capacity): (f64, &Capacity),
        now: Instant,
    ) {
        let Some(queued) = self.queued.get(&victim) else { return };
        let work_secs = capacity.drain_secs(&queued.weighed.work);
        let left_secs = queued.demand.deadline.saturating_duration_since(now).as_secs_f64();
        let refused = Refused { room_secs, work_secs, left_secs };
        let service = self.overload.service_mut(queued.is_engine);
        let retry = retry_after_secs(service.returns.book(&refused, now));
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

    fn log_refusal(
        &mut self,
        demand: &Demand,
        outlook: &Outlook,
        (waited, retry): (Duration, Duration),
        now: Instant,
    ) {
        let Some(unlogged) = self.overload.log_permit(now) else { return };
        event!(self.log, REQUEST_REFUSED_EARLY; "request" => %demand.request,
            "urgency" => urgency_text(demand.urgency), "waited_ms" => millis(waited) as u64,
            "left_ms" => millis(demand.deadline.saturating_duration_since(now)) as u64,
            "wait_ms" => (outlook.wait_secs * 1_000.0) as u64,
            "needs_ms" => (outlook.needed_secs * 1_000.0) as u64,
            "retry_ms" => millis(retry) as u64,
            "queued" => self.queued.len(), "unlogged" => unlogged);
    }

    /// Orders the queued requests anew and refuses those that can no longer be finished.
    pub(super) fn sweep(&mut self, now: Instant) {
        if now < self.overload.next_sweep_at || !self.is_urgency_active() {
            return;
        }
        self.overload.next_sweep_at = now + sweep_interval(self.queued.len());
        for is_engine in [true, false] {
            let mut queued = self.waiting_for(is_engine, now);
            if queued.is_empty() {
                let service = self.overload.service_mut(is_engine);
                service.behind.clear();
                service.sums.clear();
                continue;
            }
            self.find_behind(is_engine, now);
            let capacity = self.capacity_of(is_engine, now);
            for candidate in &mut queued {
                candidate.rank.urgency = self.queued[&candidate.seq].demand.urgency;
            }
            let late = lateness(&queued, &capacity);
            for (candidate, (seq, is_late)) in queued.iter_mut().zip(late) {
                candidate.rank.is_late = is_late;
                self.set_rank(seq, candidate.rank);
            }
            self.reweigh(is_engine, &queued);
            for (seq, outlook) in hopeless(&mut queued, &capacity) {
                self.refuse_queued(seq, &outlook, &capacity, now);
            }
        }
    }

    /// Brings the sums over the queued requests up to date; these are all for targets of a kind.
    fn reweigh(&mut self, is_engine: bool, queued: &[Candidate]) {
        for candidate in queued {
            if let Some(queued) = self.queued.get_mut(&candidate.seq) {
                queued.weighed = Weighed::of(candidate);
            }
        }
        let sums = &mut self.overload.service_mut(is_engine).sums;
        if sums.len() == queued.len() {
            let requests = &self.queued;
            sums.reweigh(|seq| requests.get(&seq).map(|queued| queued.weighed).unwrap_or_default());
            return;
        }
        // Requests that came before the order followed urgency are not in the sums.
        sums.clear();
        for candidate in queued {
            sums.insert(candidate.rank, candidate.seq, &Weighed::of(candidate));
        }
    }

    /// Adds a request to the sums over the queued ones.
    pub(super) fn count_queued(&mut self, seq: Seq, now: Instant) {
        if !self.is_urgency_active() {
            return;
        }
        let Some(queued) = self.queued.get(&seq) else { return };
        let demand = &queued.demand;
        let estimate = self.estimate(queued.prompt_tokens, demand.max_tokens, now);
        let candidate = candidate(seq, queued.rank, demand, estimate, (queued.queued_at, now));
        let weighed = Weighed::of(&candidate);
        let is_engine = queued.is_engine;
        self.overload.service_mut(is_engine).sums.insert(candidate.rank, seq, &weighed);
        if let Some(queued) = self.queued.get_mut(&seq) {
            queued.weighed = weighed;
        }
    }

    /// Removes a request from the sums over the queued ones.
    pub(super) fn discount_queued(&mut self, seq: Seq, queued: &QueuedRequest) {
        let service = self.overload.service_mut(queued.is_engine);
        service.sums.remove(queued.rank, seq, &queued.weighed);
    }

    /// Finds the kinds whose requests are served too rarely.
    fn find_behind(&mut self, is_engine: bool, now: Instant) {
        let mut waiting = BTreeMap::new();
        for queued in self.queued.values().filter(|queued| queued.is_engine == is_engine) {
            let waited = (now - queued.queued_at).as_secs_f64();
            let time = queued.demand.deadline.saturating_duration_since(queued.queued_at);
            *waiting.entry(queued.demand.urgency).or_default() +=
                (waited / time.as_secs_f64().max(f64::MIN_POSITIVE) / UNSERVED_AFTER).min(1.0);
        }
        let service = self.overload.service_mut(is_engine);
        service.behind = service.shares.behind(&waiting, now);
    }

    fn refuse_queued(&mut self, seq: Seq, outlook: &Outlook, capacity: &Capacity, now: Instant) {
        let Some(queued) = self.remove_queued(seq) else { return };
        let work_secs = capacity.drain_secs(&queued.weighed.work);
        let retry = self.book_return(&queued.demand, outlook.excess_secs, work_secs, now);
        self.log_refusal(&queued.demand, outlook, (now - queued.queued_at, retry), now);
        let service = self.overload.service_mut(queued.is_engine);
        service.shares.record_refusal(queued.demand.urgency, now);
        self.stats.refused_in_queue += 1;
        if let Some(counters) = &self.cfg.counters {
            counters.refused_in_queue.inc();
        }
        self.refuse(queued, refusal(outlook, retry));
    }

    /// Moves a request within its queue.
    fn set_rank(&mut self, seq: Seq, rank: Rank) {
        let Some(queued) = self.queued.get_mut(&seq).filter(|queued| queued.rank != rank) else {
            return;
        };
        let previous = std::mem::replace(&mut queued.rank, rank);
        let (queue_id, is_engine, weighed) = (queued.queue_id, queued.is_engine, queued.weighed);
        let sums = &mut self.overload.service_mut(is_engine).sums;
        sums.remove(previous, seq, &weighed);
        sums.insert(rank, seq, &weighed);
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

    /// Number of adapters whose loads start before one for a request of this urgency, up to `max`.
    ///
    /// A load that is under way delays others only while the limit on loads is reached, which the
    /// observed rate covers.
    pub(super) fn missing_before(&self, urgency: Urgency, max: usize) -> usize {
        let is_missing = |key: &&usize| {
            let adapter = &self.adapters[**key];
            let head = adapter.queue.first();
            adapter.holders.is_empty()
                && adapter.loading.is_empty()
                && head.is_some_and(|(rank, _)| rank.urgency <= urgency)
        };
        self.waiting.iter().filter(is_missing).take(max).count()
    }

    /// Counts a request that expired in the queue as refused: sweeps of a long queue are rare.
    pub(super) fn count_expired(&mut self, seq: Seq, now: Instant) {
        if !self.is_urgency_active() {
            return;
        }
        let Some(queued) = self.queued.get(&seq) else { return };
        let service = self.overload.service_mut(queued.is_engine);
        service.shares.record_refusal(queued.demand.urgency, now);
    }
}

/// What is to be decided on a request that arrived at the first of these times, at the second one.
fn candidate(
    seq: Seq,
    rank: Rank,
    demand: &Demand,
    estimate: Estimate,
    (arrived_at, now): (Instant, Instant),
) -> Candidate {
    let secs_until = |at: Instant| at.saturating_duration_since(now).as_secs_f64();
    Candidate {
        seq,
        rank,
        time_secs: demand.deadline.saturating_duration_since(arrived_at).as_secs_f64(),
        left_secs: secs_until(demand.deadline),
        objective_secs: demand.objective.map(secs_until),
        estimate,
    }
}

fn refusal(outlook: &Outlook, retry: Duration) -> RequestError {
    let Outlook { wait_secs, needed_secs, .. } = outlook;
    let detail = format!(
        "the request would start in {wait_secs:.2} s and needs {needed_secs:.2} s, more than its \
         deadline leaves; retry later"
    );
    RequestError::not_run(RequestErrorKind::Overloaded, detail).retry_after(retry)
}

/// Ranks of customer and route, for log lines.
fn urgency_text(urgency: Urgency) -> String {
    format!("{}.{}", urgency.customer, urgency.route)
}
