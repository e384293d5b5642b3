//! Queueing of requests, queue limits, and refusal of requests that would miss their deadline.

use std::time::Duration;

use shallotdrum_engine::{Priority, Urgency};
use shallotdrum_telemetry::event;
use shallotdrum_types::{RequestError, RequestErrorKind, SubscriberId};
use tokio::{sync::oneshot, time::Instant};

use super::{Adapter, Exclusion, Grant, QueueId, QueuedRequest, State, SubKey, overload::Demand};
use crate::{
    api::{AdmissionRequest, MAX_REQUEST_DEADLINE, Policy, RequestKind},
    fair::{Account, Cost, Seq},
    queue_sums::Weighed,
    slots::AdapterKey,
    target::Target,
    urgency::retry_after_secs,
};

/// Receives the admission, or the reason for a refusal.
pub(crate) type GrantRx = oneshot::Receiver<Result<Grant, RequestError>>;

/// Load interval assumed until loads have been observed; the smaller store grants 2 to 3 loads/s.
const INITIAL_LOAD_INTERVAL_SECS: f64 = 0.4;
/// Lower bound on the duration of a load.
const MIN_LOAD_SECS: f64 = 0.25;
/// Shortest suggested delay before a retry; faster retries only add load.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest suggested delay before a retry, so that callers notice when an overload ends.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Shortest duration of a response; a request with less time left is not started.
const MIN_RUN_TIME: Duration = Duration::from_millis(20);
/// Fair share from which a request's subscriber counts as light.
const LIGHT_SHARE: f64 = 0.5;
/// Factor applied to the expected duration, since response lengths vary; if they are exponentially
/// distributed, it covers about three quarters of them.
const RUN_TIME_MARGIN: f64 = 1.5;
/// Limit on the expected duration of the response, as a share of the remaining time.
const MAX_RUN_TIME_SHARE: f64 = 0.5;
/// Length of the load queue below which no request is refused. The store serves this many loads
/// within about 5 s, and single slow loads, such as during a change of owners, do not reflect its
/// rate.
const MIN_LOAD_QUEUE: usize = 12;
/// Limit on the expected wait for a load, as a share of the remaining time, at `stall_weight` 0.
/// Requests for popular adapters overtake others, so the actual wait may be several times as long.
const MAX_LOAD_WAIT_SHARE: f64 = 0.3;
/// Amount by which `MAX_LOAD_WAIT_SHARE` is reduced at `stall_weight` 1.
const LOAD_WAIT_SHARE_RANGE: f64 = 0.2;
/// Lead over virtual time, in tokens, that lowers the priority by one step.
const PRIORITY_STEP_TOKENS: f64 = 500.0;
/// Minimum time between log lines about full queues in one group.
const QUEUE_FULL_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Priority of a request within its subscriber's share; leaves room for higher priorities.
const DEFAULT_PRIORITY: u8 = 64;

impl State {
    /// Queues a request, or refuses it immediately.
    pub(crate) fn enqueue(
        &mut self,
        request: AdmissionRequest,
        now: Instant,
    ) -> Result<(Seq, Instant, GrantRx), RequestError> {
        if let Some(error) = &self.closed {
            return Err(error.clone());
        }
        if let Some(error) = &self.loads_stopped
            && let RequestKind::Completion { adapter, .. } = &request.kind
            && !self.adapters.key(adapter).is_some_and(|key| self.is_held_or_loading(key))
        {
            return Err(error.clone());
        }
        let work_ms = self.record_demand(&request, now);
        if let Err(error) = self.check(&request, now) {
            self.stats.refused += 1;
            return Err(error);
        }
        let expires_at = match self.is_urgency_active() {
            // Refused earlier, by `sweep`, if it cannot be finished.
            true => request.deadline - MIN_RUN_TIME.min(request.deadline - now),
            false => request.deadline - self.expected_run_time(&request, now),
        };
        let is_urgency_active = self.is_urgency_active();
        let demand = Demand::of(&request);
        let response_tokens =
            demand.max_tokens.map_or(0.0, |max_tokens| self.demand.lengths.expected(max_tokens));
        let sub = self.account(&request.subscriber, &request, now);
        let account = &mut self.subs[sub];
        account.weight = request.weight.get();
        let (cost, prompt_tokens) = match &request.kind {
            RequestKind::Completion { prompt_tokens, max_tokens, .. }
            | RequestKind::Base { prompt_tokens, max_tokens, .. } => {
                let expected = match is_urgency_active {
                    true => response_tokens,
                    false => account.expected_completion(*max_tokens),
                };
                (Cost::tokens(*prompt_tokens, expected), *prompt_tokens)
            }
            RequestKind::Service { .. } => (Cost::SERVICE, 0),
        };
        let tag = self.fair_clock.enqueue(account, cost);
        let share = self.fair_share(sub, tag);
        if share >= LIGHT_SHARE {
            self.light_arrivals.add(1.0, now);
            if is_engine_request(&request.kind) {
                self.record_light(sub, now);
            }
        }
        let steps = (self.fair_clock.lead(tag) / PRIORITY_STEP_TOKENS).min(127.0) as u8;
        let priority = match is_urgency_active {
            true => self.urgent_priority(request.urgency, steps),
            false => Priority(DEFAULT_PRIORITY + steps),
        };
        let seq = self.next_seq;
        self.next_seq += 1;
        let is_repeatable = !matches!(request.kind, RequestKind::Service { is_repeatable: false });
        let is_engine = is_engine_request(&request.kind);
        let is_base = matches!(request.kind, RequestKind::Base { .. });
        let (adapter, prefixes) = match request.kind {
            RequestKind::Completion { adapter, source, prompt_prefix_hashes, .. } => {
                let key = self.adapters.key_or_insert_with(&adapter, || Adapter::new(now));
                let row = &mut self.adapters[key];
                row.source = Some(source);
                row.queued_requests += 1;
                // Requests beyond the fair share must not keep the subscriber's adapters resident.
                row.demand.add(share, now);
                (Some(key), prompt_prefix_hashes)
            }
            RequestKind::Base { prompt_prefix_hashes, .. } => (None, prompt_prefix_hashes),
            RequestKind::Service { .. } => (None, Vec::new()),
        };
        let is_restricted = request.is_suspect
            || is_base
            || !request.avoid.is_empty()
            || request.software.is_some();
        let queue_id = match (self.cfg.policy, adapter) {
            (Policy::Baseline, _) => QueueId::Assigned(None),
            (Policy::Adaptive, _) if is_restricted => QueueId::Restricted,
            (Policy::Adaptive, Some(adapter)) => QueueId::Adapter(adapter),
            (Policy::Adaptive, None) => QueueId::Service { is_repeatable },
        };
        let (tx, rx) = oneshot::channel();
        let queued = QueuedRequest {
            sub,
            adapter,
            is_engine,
            queue_id,
            rank: self.rank(request.urgency, tag),
            weighed: Weighed::default(),
            demand,
            cost,
            work_ms,
            prompt_tokens,
            response_tokens,
            prefixes,
            queued_at: now,
            expires_at,
            is_repeatable,
            is_suspect: request.is_suspect,
            avoid: request.avoid,
            software: request.software,
            spread: request.spread,
            priority,
            tx: tx.into(),
        };
        self.queued.insert(seq, queued);
        self.count_queued(seq, now);
        self.demand.queued_ms += work_ms;
        let account = &mut self.subs[sub];
        if account.queued.is_empty() {
            account.active_weight = account.weight;
            self.active_weight += account.weight;
        }
        self.by_queue_len.remove(&(account.queued.len(), sub));
        account.queued.insert(seq);
        self.by_queue_len.insert((account.queued.len(), sub));
        self.push_to_queue(seq, queue_id, now);
        Ok((seq, expires_at, rx))
    }

    fn push_to_queue(&mut self, seq: Seq, queue_id: QueueId, now: Instant) {
        let rank = self.queued[&seq].rank;
        match queue_id {
            QueueId::Adapter(key) => {
                self.adapters[key].queue.insert((rank, seq));
                if self.waiting.insert(key) && self.adapters[key].holders.is_empty() {
                    // Recounted by the next planning pass.
                    self.missing_adapters += 1;
                    *self.missing_by_sub.entry(self.queued[&seq].sub).or_default() += 1;
                    self.missing_share += self.load_share(self.queued[&seq].sub, rank.tag, now);
                }
                self.dispatch_adapter(key, now);
            }
            QueueId::Service { is_repeatable } => {
                self.services_mut(is_repeatable).insert((rank, seq));
                self.dispatch_services(now);
            }
            QueueId::Restricted => {
                self.restricted.insert((rank, seq));
                self.dispatch_restricted(now);
            }
            QueueId::Assigned(_) => {
                self.unassigned.push_back(seq);
                self.assign(seq, now);
            }
        }
        self.plan(now);
    }

    pub(super) fn account(
        &mut self,
        id: &SubscriberId,
        request: &AdmissionRequest,
        now: Instant,
    ) -> SubKey {
        self.subs.key_or_insert_with(id, || Account::new(request.weight, now))
    }

    /// Checks the limits and the deadline before a request is queued.
    fn check(&mut self, request: &AdmissionRequest, now: Instant) -> Result<(), RequestError> {
        if request.deadline <= now {
            let detail = format!("the deadline of request {} has passed", request.request);
            return Err(RequestError::not_run(RequestErrorKind::DeadlineExceeded, detail));
        }
        let is_completion = is_engine_request(&request.kind);
        let exclusion = Exclusion { avoid: &[], software: request.software.as_ref() };
        let can_serve = self.targets.values().any(|target| {
            !target.is_draining
                && target.is_engine() == is_completion
                && !exclusion.excludes(target)
        });
        if !can_serve {
            let detail = "no target of the group accepts requests; retry later";
            return Err(RequestError::not_run(RequestErrorKind::NoTarget, detail)
                .retry_after(MIN_RETRY_AFTER));
        }
        self.check_limits(request, now)?;
        self.check_load_queue(request, now)?;
        if self.is_urgency_active() {
            let wait = self.load_wait_of(request, now).max(self.limit_wait(request, now));
            return self.check_urgency(request, wait, now);
        }
        let wait = self.expected_wait(request, now).max(self.limit_wait(request, now));
        let expected_run_time = self.expected_run_time(request, now);
        if now + wait + expected_run_time > request.deadline {
            let detail = format!(
                "the expected wait of {:.1} s exceeds the deadline; retry later",
                wait.as_secs_f64()
            );
            return Err(RequestError::not_run(RequestErrorKind::Overloaded, detail)
                .retry_after(self.retry_after(wait)));
        }
        if self.queued.len() >= self.cfg.max_queued {
            self.displace_newest(request, now)?;
        }
        Ok(())
    }

    /// Refuses a request that would add a load to a long queue of loads.
    ///
    /// When the weight store is overloaded, queueing requests beyond its rate only lengthens the
    /// stalls of all others, and their own deadline still passes.
    fn check_load_queue(
        &self,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Result<(), RequestError> {
        let RequestKind::Completion { adapter, .. } = &request.kind else { return Ok(()) };
        let key = self.adapters.key(adapter);
        let row = key.map(|key| &self.adapters[key]);
        let is_new_load = row.is_none_or(|row| {
            row.holders.is_empty() && row.loading.is_empty() && row.queue.is_empty()
        });
        if !is_new_load || self.cfg.policy == Policy::Baseline {
            return Ok(());
        }
        let is_short = match self.is_urgency_active() {
            true => self.missing_before(request.urgency, MIN_LOAD_QUEUE) < MIN_LOAD_QUEUE,
            false => self.missing_adapters < MIN_LOAD_QUEUE,
        };
        if is_short {
            return Ok(());
        }
        let sub = self.subs.key(&request.subscriber);
        let wait = self.load_wait(sub, key, request.urgency, now);
        let weight = self.cfg.stall_weight.clamp(0.0, 1.0);
        let left = request.deadline.saturating_duration_since(now);
        let max_wait = left.mul_f64(MAX_LOAD_WAIT_SHARE - LOAD_WAIT_SHARE_RANGE * weight);
        if wait <= max_wait {
            return Ok(());
        }
        let detail = format!(
            "adapter {adapter} would be loaded in {:.1} s, after {} others; retry later",
            wait.as_secs_f64(),
            self.missing_adapters
        );
        Err(RequestError::not_run(RequestErrorKind::Overloaded, detail)
            .retry_after(self.retry_after(wait - max_wait)))
    }

    fn check_limits(
        &mut self,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Result<(), RequestError> {
        let Some(sub) = self.subs.key(&request.subscriber) else { return Ok(()) };
        let account = &self.subs[sub];
        let is_full = account.queued.len() >= self.cfg.max_queued_per_subscriber;
        let in_use = account.queued.len() + account.running as usize;
        let exceeds = request.max_concurrent.is_some_and(|max| in_use >= max as usize);
        if !is_full && !exceeds {
            return Ok(());
        }
        let detail = if is_full {
            format!("{} requests of the subscriber are queued; retry later", account.queued.len())
        } else {
            format!("{in_use} requests of the subscriber are in progress; retry later")
        };
        let wait = self.queue_wait(sub, None, now);
        if is_full {
            self.log_queue_full(&request.subscriber, now);
        }
        Err(RequestError::not_run(RequestErrorKind::RateLimited, detail)
            .retry_after(self.retry_after(wait)))
    }

    /// Logs a full queue at a limited rate, since a flood can cause thousands of refusals per
    /// second.
    fn log_queue_full(&mut self, subscriber: &SubscriberId, now: Instant) {
        if now < self.next_queue_full_log_at {
            self.suppressed_queue_full_logs += 1;
            return;
        }
        self.next_queue_full_log_at = now + QUEUE_FULL_LOG_INTERVAL;
        event!(self.log, SUBSCRIBER_QUEUE_FULL; "subscriber" => %subscriber,
            "limit" => self.cfg.max_queued_per_subscriber,
            "unlogged" => std::mem::take(&mut self.suppressed_queue_full_logs));
    }

    /// Makes room in a full queue by refusing the newest request of the subscriber with the longest
    /// queue.
    pub(super) fn displace_newest(
        &mut self,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Result<(), RequestError> {
        let own = self.subs.key(&request.subscriber).map_or(0, |sub| self.subs[sub].queued.len());
        let longest = self.by_queue_len.last().copied().filter(|(len, _)| *len > own + 1);
        let newest = longest.and_then(|(_, sub)| self.subs[sub].queued.last().copied());
        let newest = newest.filter(|seq| {
            // A request never takes the room of a more urgent one.
            !self.is_urgency_active() || self.queued[seq].demand.urgency >= request.urgency
        });
        let (sub, victim) = match (longest, newest) {
            (Some((_, sub)), Some(victim)) => (Some(sub), Some(victim)),
            _ => (self.subs.key(&request.subscriber), None),
        };
        let wait = sub.map_or(MIN_RETRY_AFTER, |sub| self.queue_wait(sub, None, now));
        let detail = format!("{} requests are queued in the group; retry later", self.queued.len());
        let error = RequestError::not_run(RequestErrorKind::Overloaded, detail)
            .retry_after(self.retry_after(wait));
        let Some(victim) = victim else { return Err(error) };
        self.fail(victim, error);
        Ok(())
    }

    /// Expected duration of the response once the request is admitted, with a margin.
    ///
    /// A response that is cut off by the deadline is wasted, and in an overload most requests are
    /// admitted late.
    fn expected_run_time(&self, request: &AdmissionRequest, now: Instant) -> Duration {
        let secs = match &request.kind {
            RequestKind::Completion { max_tokens, .. } | RequestKind::Base { max_tokens, .. } => {
                let sub = self.subs.key(&request.subscriber).map(|sub| &self.subs[sub]);
                let tokens = match sub {
                    Some(account) => account.expected_completion(*max_tokens),
                    None => *max_tokens as f64 / 2.0,
                };
                tokens * self.secs_per_token.get().unwrap_or(0.0)
            }
            RequestKind::Service { .. } => self.service_secs.get().unwrap_or(0.0),
        };
        let left = request.deadline.saturating_duration_since(now);
        // The estimate is bounded, so that an idle group never refuses a request because of it.
        let max_run_time = left.mul_f64(MAX_RUN_TIME_SHARE);
        Duration::from_secs_f64((secs * RUN_TIME_MARGIN).min(max_run_time.as_secs_f64()))
            .max(MIN_RUN_TIME.min(left))
    }

    /// Number of requests admitted before a new one of the subscriber if it gets its fair share.
    fn requests_ahead(&self, sub: SubKey) -> f64 {
        let account = &self.subs[sub];
        let others = (self.active_weight - account.active_weight).max(0.0);
        let share = account.weight / (account.weight + others);
        (account.queued.len() as f64 / share).min(self.queued.len() as f64)
    }

    /// Time until this many requests are admitted to these targets.
    fn drain_time<'a>(
        &self,
        requests: f64,
        targets: impl Iterator<Item = &'a Target>,
        now: Instant,
    ) -> Duration {
        let (mut capacity, mut crashed_capacity) = (0, 0);
        for target in targets {
            match target.is_crashed && !target.is_draining {
                true => crashed_capacity += target.capacity(),
                false if target.is_active(now) => capacity += target.capacity(),
                false => {}
            }
        }
        // Crashed targets start again within seconds; a single slot in their place would refuse most
        // requests meanwhile.
        if capacity == 0 {
            capacity = crashed_capacity;
        }
        let secs = self.service_secs.get().unwrap_or(0.0);
        let wait = requests * secs / f64::from(capacity.max(1));
        Duration::from_secs_f64(wait.min(2.0 * MAX_REQUEST_DEADLINE.as_secs_f64()))
    }

    /// Time until a new request of the subscriber is admitted, apart from loads.
    fn queue_wait(&self, sub: SubKey, adapter: Option<AdapterKey>, now: Instant) -> Duration {
        let ahead = self.requests_ahead(sub);
        let wait = self.drain_time(ahead, self.targets.values(), now);
        let Some(adapter) = adapter.map(|key| &self.adapters[key]) else { return wait };
        if adapter.holders.is_empty() {
            return wait;
        }
        // Only the holders serve the adapter's queue.
        let ahead = ahead.min(adapter.queue.len() as f64);
        let holders = adapter.holders.iter().map(|key| &self.targets[key]);
        wait.max(self.drain_time(ahead, holders, now))
    }

    /// Time until the request is admitted.
    fn expected_wait(&self, request: &AdmissionRequest, now: Instant) -> Duration {
        let adapter = match &request.kind {
            RequestKind::Completion { adapter, .. } => self.adapters.key(adapter),
            RequestKind::Base { .. } | RequestKind::Service { .. } => None,
        };
        let sub = self.subs.key(&request.subscriber);
        let queue_wait = match sub {
            Some(sub) if !self.subs[sub].queued.is_empty() => self.queue_wait(sub, adapter, now),
            _ => Duration::ZERO,
        };
        queue_wait.max(self.load_wait_of(request, now))
    }

    /// Time until at least one target can serve the request's adapter, if it has one.
    pub(super) fn load_wait_of(&self, request: &AdmissionRequest, now: Instant) -> Duration {
        let RequestKind::Completion { adapter, .. } = &request.kind else { return Duration::ZERO };
        let sub = self.subs.key(&request.subscriber);
        self.load_wait(sub, self.adapters.key(adapter), request.urgency, now)
    }

    /// Time until at least one target can serve the adapter.
    fn load_wait(
        &self,
        sub: Option<SubKey>,
        adapter: Option<AdapterKey>,
        urgency: Urgency,
        now: Instant,
    ) -> Duration {
        let mut backoff = Duration::ZERO;
        if let Some(adapter) = adapter.map(|key| &self.adapters[key]) {
            if !adapter.holders.is_empty() {
                return Duration::ZERO;
            }
            if !adapter.loading.is_empty() {
                return Duration::from_secs_f64(MIN_LOAD_SECS);
            }
            backoff = adapter.retry_at.saturating_duration_since(now);
        }
        if self.cfg.policy == Policy::Baseline {
            return backoff;
        }
        // The planner weights adapters by load share, so a light subscriber is ahead of most
        // others.
        let share = sub.map_or(1.0, |sub| self.load_share(sub, self.subs[sub].last_finish, now));
        let mut missing = self.missing_adapters.min(self.waiting.len());
        if self.is_urgency_active() {
            missing = self.missing_before(urgency, missing);
        }
        let ahead = (self.missing_share / share).min(missing as f64);
        let interval = match self.cfg.engine_model {
            Some(model) => self.store_interval_secs(&model, now),
            None => self.load_interval_secs.get().unwrap_or(INITIAL_LOAD_INTERVAL_SECS),
        };
        backoff.max(Duration::from_secs_f64(MIN_LOAD_SECS + interval * ahead))
    }

    /// Fails the adapter's requests that expire before its next load attempt.
    pub(super) fn fail_expiring_before_retry(&mut self, adapter: AdapterKey, now: Instant) {
        let retry_at = self.adapters[adapter].retry_at;
        let expires_first = |queued: &QueuedRequest| queued.expires_at < retry_at;
        let expiring: Vec<Seq> = self.adapters[adapter]
            .queue
            .iter()
            .map(|(_, seq)| *seq)
            .filter(|seq| self.queued.get(seq).is_some_and(expires_first))
            .collect();
        let detail = format!(
            "loading adapter {} failed {} times; retry later",
            self.adapters.name(adapter),
            self.adapters[adapter].failures
        );
        for seq in expiring {
            let error = RequestError::not_run(RequestErrorKind::LoadFailed, &detail)
                .retry_after(self.retry_after(retry_at.saturating_duration_since(now)));
            self.fail(seq, error);
        }
    }

    /// Suggested delay before a retry, within bounds; whole seconds unless urgency decides.
    pub(super) fn retry_after(&self, wait: Duration) -> Duration {
        let secs = wait.as_secs_f64();
        match self.is_urgency_active() {
            true => retry_after_secs(secs),
            false => Duration::from_secs_f64(secs.ceil()).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    /// Returns the error for a request that expired in the queue.
    pub(crate) fn expired(&mut self, seq: Seq, now: Instant) -> RequestError {
        self.count_expired(seq, now);
        let sub = self.queued.get(&seq).map(|queued| queued.sub);
        let wait = sub.map_or(MIN_RETRY_AFTER, |sub| self.queue_wait(sub, None, now));
        self.stats.refused += 1;
        let detail = "the request could not be started before its deadline; retry later";
        RequestError::not_run(RequestErrorKind::DeadlineExceeded, detail)
            .retry_after(self.retry_after(wait))
    }
}

/// Whether the request runs on an engine.
pub(super) fn is_engine_request(kind: &RequestKind) -> bool {
    !matches!(kind, RequestKind::Service { .. })
}
