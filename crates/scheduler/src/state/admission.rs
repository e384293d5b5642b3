//! Bounds of the queue and refusal of requests that would miss their deadline.

use std::time::Duration;

use shallotdrum_engine::Priority;
use shallotdrum_telemetry::event;
use shallotdrum_types::{RequestError, RequestErrorKind, SubscriberId};
use tokio::{sync::oneshot, time::Instant};

use super::{Adapter, Grant, Lane, Queued, State, SubKey};
use crate::{
    api::{Job, MAX_REQUEST_DEADLINE, Policy, Work},
    fair::{Account, Cost, Seq},
    slots::AdapterKey,
    target::Target,
};

/// Receives the place in a target's batch, or the refusal.
pub(crate) type GrantRx = oneshot::Receiver<Result<Grant, RequestError>>;

/// Load interval assumed before loads were observed; the smaller store grants 2 to 3 a second.
const INITIAL_LOAD_INTERVAL_SECS: f64 = 0.4;
/// Time that an adapter load takes at least.
const LOAD_SECS: f64 = 0.25;
/// Shortest advice for a retry; callers that retry faster only add load.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest advice for a retry, so that callers notice when an overload ends.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// An answer takes at least about this long; a request with less time left is not started.
const MIN_RUN_TIME: Duration = Duration::from_millis(20);
/// Share from which a request counts as one of a light subscriber.
const LIGHT_SHARE: f64 = 0.5;
/// Lengths of answers vary; this covers about three quarters of exponentially distributed ones.
const RUN_RESERVE: f64 = 1.5;
/// Part of the remaining time that the answer may be expected to take.
const MAX_RUN_SHARE: f64 = 0.5;
/// Queues of fewer loads refuse nobody: the store works them off within about 5 s, and single slow
/// loads, for example while owners change, say little about its rate.
const MIN_REFUSED_QUEUE: usize = 12;
/// Part of the remaining time that the wait for a load may be expected to take at `stall_weight`
/// 0. Requests for popular adapters overtake, so the wait may become several times as long.
const MAX_LOAD_SHARE: f64 = 0.3;
/// What `stall_weight` 1 takes off that part.
const LOAD_SHARE_SPAN: f64 = 0.2;
/// Lead over virtual time, in tokens, that lowers the priority by one step.
const PRIORITY_STEP_TOKENS: f64 = 500.0;
/// Lines about full queues are this far apart in each group.
const FULL_QUEUE_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Priority of a request within its subscriber's share; leaves room above for others.
const USUAL_PRIORITY: u8 = 64;

impl State {
    /// Queues a request, or refuses it at once.
    pub(crate) fn enqueue(
        &mut self,
        work: Work,
        now: Instant,
    ) -> Result<(Seq, Instant, GrantRx), RequestError> {
        if let Some(error) = &self.closed {
            return Err(error.clone());
        }
        if let Err(error) = self.check(&work, now) {
            self.stats.refused += 1;
            return Err(error);
        }
        let give_up_at = work.deadline - self.run_time(&work, now);
        let sub = self.account(&work.subscriber, &work, now);
        let account = &mut self.subs[sub];
        account.weight = work.weight.get();
        let (cost, prompt_tokens) = match &work.job {
            Job::Completion { prompt_tokens, max_tokens, .. }
            | Job::Base { prompt_tokens, max_tokens, .. } => {
                let expected = account.expected_completion(*max_tokens);
                (Cost::tokens(*prompt_tokens, expected), *prompt_tokens)
            }
            Job::Service { .. } => (Cost::SERVICE, 0),
        };
        let tag = self.clock.enqueue(account, cost);
        let share = self.fair_share(sub, tag);
        if share >= LIGHT_SHARE {
            self.light.add(1.0, now);
        }
        let steps = (self.clock.lead(tag) / PRIORITY_STEP_TOKENS).min(127.0) as u8;
        let seq = self.next_seq;
        self.next_seq += 1;
        let is_repeatable = !matches!(work.job, Job::Service { is_repeatable: false });
        let is_engine = is_engine_job(&work.job);
        let is_base = matches!(work.job, Job::Base { .. });
        let (adapter, prefixes) = match work.job {
            Job::Completion { adapter, source, prompt_prefix_hashes, .. } => {
                let key = self.adapters.key_or_insert_with(&adapter, || Adapter::new(now));
                let row = &mut self.adapters[key];
                row.source = Some(source);
                row.users += 1;
                // A flood beyond the fair share must not keep the subscriber's adapters resident.
                row.demand.add(share, now);
                (Some(key), prompt_prefix_hashes)
            }
            Job::Base { prompt_prefix_hashes, .. } => (None, prompt_prefix_hashes),
            Job::Service { .. } => (None, Vec::new()),
        };
        let is_special = work.is_suspect || is_base || !work.avoid.is_empty();
        let lane = match (self.cfg.policy, adapter) {
            (Policy::Baseline, _) => Lane::Assigned(None),
            (Policy::Adaptive, _) if is_special => Lane::Special,
            (Policy::Adaptive, Some(adapter)) => Lane::Adapter(adapter),
            (Policy::Adaptive, None) => Lane::Service { is_repeatable },
        };
        let (tx, rx) = oneshot::channel();
        let queued = Queued {
            sub,
            adapter,
            is_engine,
            lane,
            tag,
            cost,
            prompt_tokens,
            prefixes,
            queued_at: now,
            give_up_at,
            is_repeatable,
            is_suspect: work.is_suspect,
            avoid: work.avoid,
            priority: Priority(USUAL_PRIORITY + steps),
            tx,
        };
        self.queued.insert(seq, queued);
        let account = &mut self.subs[sub];
        if account.queued.is_empty() {
            account.active_weight = account.weight;
            self.active_weight += account.weight;
        }
        self.longest.remove(&(account.queued.len(), sub));
        account.queued.insert(seq);
        self.longest.insert((account.queued.len(), sub));
        self.join_lane(seq, lane, now);
        Ok((seq, give_up_at, rx))
    }

    fn join_lane(&mut self, seq: Seq, lane: Lane, now: Instant) {
        let tag = self.queued[&seq].tag;
        match lane {
            Lane::Adapter(key) => {
                self.adapters[key].queue.insert((tag, seq));
                if self.waiting.insert(key) && self.adapters[key].holders.is_empty() {
                    // Counted anew by the next plan.
                    self.starved += 1;
                    *self.starved_subs.entry(self.queued[&seq].sub).or_default() += 1;
                    self.starved_share += self.load_share(self.queued[&seq].sub, tag, now);
                }
                self.dispatch_adapter(key, now);
            }
            Lane::Service { is_repeatable } => {
                self.services_mut(is_repeatable).insert((tag, seq));
                self.dispatch_services(now);
            }
            Lane::Special => {
                self.special.insert((tag, seq));
                self.dispatch_special(now);
            }
            Lane::Assigned(_) => {
                self.unassigned.push_back(seq);
                self.assign(seq, now);
            }
        }
        self.plan(now);
    }

    fn account(&mut self, id: &SubscriberId, work: &Work, now: Instant) -> SubKey {
        self.subs.key_or_insert_with(id, || Account::new(work.weight, now))
    }

    /// Checks bounds and deadline before a request is queued.
    fn check(&mut self, work: &Work, now: Instant) -> Result<(), RequestError> {
        if work.deadline <= now {
            let detail = format!("the deadline of request {} has passed", work.request);
            return Err(RequestError::not_run(RequestErrorKind::DeadlineExceeded, detail));
        }
        let is_completion = is_engine_job(&work.job);
        let can_serve = self
            .targets
            .values()
            .any(|target| !target.is_draining && target.is_engine() == is_completion);
        if !can_serve {
            let detail = "no target of the group takes requests; retry later";
            return Err(RequestError::not_run(RequestErrorKind::NoTarget, detail)
                .retry_after(MIN_RETRY_AFTER));
        }
        self.check_limits(work, now)?;
        self.check_load(work, now)?;
        let wait = self.expected_wait(work, now);
        let run_time = self.run_time(work, now);
        if now + wait + run_time > work.deadline {
            let detail = format!(
                "the expected wait of {:.1} s exceeds the deadline; retry later",
                wait.as_secs_f64()
            );
            return Err(RequestError::not_run(RequestErrorKind::Overloaded, detail)
                .retry_after(retry_after(wait)));
        }
        if self.queued.len() >= self.cfg.max_queued {
            self.make_room(work, now)?;
        }
        Ok(())
    }

    /// Refuses a request that would add a load to a long queue of loads.
    ///
    /// In an overload of the weight store, requests that are queued beyond its rate only lengthen
    /// the stalls of all others until their own deadline passes.
    fn check_load(&self, work: &Work, now: Instant) -> Result<(), RequestError> {
        let Job::Completion { adapter, .. } = &work.job else { return Ok(()) };
        let key = self.adapters.key(adapter);
        let row = key.map(|key| &self.adapters[key]);
        let is_new_load = row.is_none_or(|row| {
            row.holders.is_empty() && row.loading.is_empty() && row.queue.is_empty()
        });
        let is_short = self.starved < MIN_REFUSED_QUEUE;
        if !is_new_load || is_short || self.cfg.policy == Policy::Baseline {
            return Ok(());
        }
        let sub = self.subs.key(&work.subscriber);
        let wait = self.load_wait(sub, key, now);
        let weight = self.cfg.stall_weight.clamp(0.0, 1.0);
        let left = work.deadline.saturating_duration_since(now);
        let most = left.mul_f64(MAX_LOAD_SHARE - LOAD_SHARE_SPAN * weight);
        if wait <= most {
            return Ok(());
        }
        let detail = format!(
            "adapter {adapter} would be loaded in {:.1} s, after {} others; retry later",
            wait.as_secs_f64(),
            self.starved
        );
        Err(RequestError::not_run(RequestErrorKind::Overloaded, detail)
            .retry_after(retry_after(wait - most)))
    }

    fn check_limits(&mut self, work: &Work, now: Instant) -> Result<(), RequestError> {
        let Some(sub) = self.subs.key(&work.subscriber) else { return Ok(()) };
        let account = &self.subs[sub];
        let is_full = account.queued.len() >= self.cfg.max_queued_per_subscriber;
        let in_use = account.queued.len() + account.running as usize;
        let exceeds = work.max_concurrent.is_some_and(|max| in_use >= max as usize);
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
            self.log_full_queue(&work.subscriber, now);
        }
        Err(RequestError::not_run(RequestErrorKind::RateLimited, detail)
            .retry_after(retry_after(wait)))
    }

    /// Logs a full queue at a bounded rate: a flood is refused thousands of times a second.
    fn log_full_queue(&mut self, subscriber: &SubscriberId, now: Instant) {
        if now < self.next_full_log_at {
            self.unlogged_full += 1;
            return;
        }
        self.next_full_log_at = now + FULL_QUEUE_LOG_INTERVAL;
        event!(self.log, SUBSCRIBER_QUEUE_FULL; "subscriber" => %subscriber,
            "limit" => self.cfg.max_queued_per_subscriber,
            "unlogged" => std::mem::take(&mut self.unlogged_full));
    }

    /// Makes room in a full queue by refusing the newest request of the longest queue.
    fn make_room(&mut self, work: &Work, now: Instant) -> Result<(), RequestError> {
        let own = self.subs.key(&work.subscriber).map_or(0, |sub| self.subs[sub].queued.len());
        let longest = self.longest.last().copied().filter(|(len, _)| *len > own + 1);
        let newest = longest.and_then(|(_, sub)| self.subs[sub].queued.last().copied());
        let (sub, victim) = match (longest, newest) {
            (Some((_, sub)), Some(victim)) => (Some(sub), Some(victim)),
            _ => (self.subs.key(&work.subscriber), None),
        };
        let wait = sub.map_or(MIN_RETRY_AFTER, |sub| self.queue_wait(sub, None, now));
        let detail = format!("{} requests are queued in the group; retry later", self.queued.len());
        let error = RequestError::not_run(RequestErrorKind::Overloaded, detail)
            .retry_after(retry_after(wait));
        let Some(victim) = victim else { return Err(error) };
        self.fail(victim, error);
        Ok(())
    }

    /// Time that the answer takes, with a reserve, once the request is admitted.
    ///
    /// An answer that is cut off by the deadline is wasted, and in an overload most requests are
    /// admitted late.
    fn run_time(&self, work: &Work, now: Instant) -> Duration {
        let secs = match &work.job {
            Job::Completion { max_tokens, .. } | Job::Base { max_tokens, .. } => {
                let sub = self.subs.key(&work.subscriber).map(|sub| &self.subs[sub]);
                let tokens = match sub {
                    Some(account) => account.expected_completion(*max_tokens),
                    None => *max_tokens as f64 / 2.0,
                };
                tokens * self.secs_per_token.get().unwrap_or(0.0)
            }
            Job::Service { .. } => self.service_secs.get().unwrap_or(0.0),
        };
        let left = work.deadline.saturating_duration_since(now);
        // Estimates are not trusted so far that an idle group refuses a request.
        let most = left.mul_f64(MAX_RUN_SHARE);
        Duration::from_secs_f64((secs * RUN_RESERVE).min(most.as_secs_f64()))
            .max(MIN_RUN_TIME.min(left))
    }

    /// Requests that are admitted before a new one of the subscriber, at its fair share.
    fn requests_ahead(&self, sub: SubKey) -> f64 {
        let account = &self.subs[sub];
        let others = (self.active_weight - account.active_weight).max(0.0);
        let share = account.weight / (account.weight + others);
        (account.queued.len() as f64 / share).min(self.queued.len() as f64)
    }

    /// Time in which this many requests are admitted to these targets.
    fn drain_time<'a>(
        &self,
        requests: f64,
        targets: impl Iterator<Item = &'a Target>,
        now: Instant,
    ) -> Duration {
        let active = targets.filter(|target| target.is_active(now));
        let places: u32 = active.map(Target::capacity).sum();
        let secs = self.service_secs.get().unwrap_or(0.0);
        let wait = requests * secs / f64::from(places.max(1));
        Duration::from_secs_f64(wait.min(2.0 * MAX_REQUEST_DEADLINE.as_secs_f64()))
    }

    /// Time until a new request of the subscriber finds a place in a batch.
    fn queue_wait(&self, sub: SubKey, adapter: Option<AdapterKey>, now: Instant) -> Duration {
        let ahead = self.requests_ahead(sub);
        let wait = self.drain_time(ahead, self.targets.values(), now);
        let Some(adapter) = adapter.map(|key| &self.adapters[key]) else { return wait };
        if adapter.holders.is_empty() {
            return wait;
        }
        // Only the holders serve the adapter's own queue.
        let ahead = ahead.min(adapter.queue.len() as f64);
        let holders = adapter.holders.iter().map(|key| &self.targets[key]);
        wait.max(self.drain_time(ahead, holders, now))
    }

    /// Time until the request would be admitted.
    fn expected_wait(&self, work: &Work, now: Instant) -> Duration {
        let adapter = match &work.job {
            Job::Completion { adapter, .. } => self.adapters.key(adapter),
            Job::Base { .. } | Job::Service { .. } => None,
        };
        let sub = self.subs.key(&work.subscriber);
        let queue_wait = match sub {
            Some(sub) if !self.subs[sub].queued.is_empty() => self.queue_wait(sub, adapter, now),
            _ => Duration::ZERO,
        };
        match &work.job {
            Job::Base { .. } | Job::Service { .. } => queue_wait,
            Job::Completion { .. } => queue_wait.max(self.load_wait(sub, adapter, now)),
        }
    }

    /// Time until the adapter can serve somewhere.
    fn load_wait(
        &self,
        sub: Option<SubKey>,
        adapter: Option<AdapterKey>,
        now: Instant,
    ) -> Duration {
        let mut backoff = Duration::ZERO;
        if let Some(adapter) = adapter.map(|key| &self.adapters[key]) {
            if !adapter.holders.is_empty() {
                return Duration::ZERO;
            }
            if !adapter.loading.is_empty() {
                return Duration::from_secs_f64(LOAD_SECS);
            }
            backoff = adapter.retry_at.saturating_duration_since(now);
        }
        if self.cfg.policy == Policy::Baseline {
            return backoff;
        }
        // The planner weights adapters by fair share, so a light subscriber is ahead of most.
        let share = sub.map_or(1.0, |sub| self.load_share(sub, self.subs[sub].last_finish, now));
        let ahead = (self.starved_share / share).min(self.starved.min(self.waiting.len()) as f64);
        let interval = match self.cfg.engine_model {
            // As many loads as may be under way end within the time of one.
            Some(model) => {
                model.store_load.as_secs_f64() / self.cfg.max_outstanding_loads.max(1) as f64
            }
            None => self.load_interval.get().unwrap_or(INITIAL_LOAD_INTERVAL_SECS),
        };
        backoff.max(Duration::from_secs_f64(LOAD_SECS + interval * ahead))
    }

    /// Fails the requests of an adapter that can't be loaded before their deadlines.
    pub(super) fn fail_hopeless(&mut self, adapter: AdapterKey, now: Instant) {
        let retry_at = self.adapters[adapter].retry_at;
        let is_hopeless = |queued: &Queued| queued.give_up_at < retry_at;
        let hopeless: Vec<Seq> = self.adapters[adapter]
            .queue
            .iter()
            .map(|(_, seq)| *seq)
            .filter(|seq| self.queued.get(seq).is_some_and(is_hopeless))
            .collect();
        let detail = format!(
            "loading adapter {} failed {} times; retry later",
            self.adapters.name(adapter),
            self.adapters[adapter].failures
        );
        for seq in hopeless {
            let error = RequestError::not_run(RequestErrorKind::LoadFailed, &detail)
                .retry_after(retry_after(retry_at.saturating_duration_since(now)));
            self.fail(seq, error);
        }
    }

    /// Error for a request whose time ran out in the queue.
    pub(crate) fn expired(&mut self, seq: Seq, now: Instant) -> RequestError {
        let sub = self.queued.get(&seq).map(|queued| queued.sub);
        let wait = sub.map_or(MIN_RETRY_AFTER, |sub| self.queue_wait(sub, None, now));
        self.stats.refused += 1;
        let detail = "the request could not be started before its deadline; retry later";
        RequestError::not_run(RequestErrorKind::DeadlineExceeded, detail)
            .retry_after(retry_after(wait))
    }
}

/// Advice for a retry in whole seconds, within bounds.
fn retry_after(wait: Duration) -> Duration {
    let secs = wait.as_secs_f64().ceil();
    Duration::from_secs_f64(secs).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Whether the request runs on an engine.
fn is_engine_job(job: &Job) -> bool {
    !matches!(job, Job::Service { .. })
}
