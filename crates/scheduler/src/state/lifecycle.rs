//! Requests from their admission to their end.

use std::time::Duration;

use shallotdrum_telemetry::event;
use tokio::time::Instant;

use super::{Grant, QueueId, RunningRequest, State, choice::has_unreserved_capacity};
use crate::{
    api::Finish,
    fair::{Cost, Seq},
    held::MIN_USE,
    target::TargetKey,
};

impl State {
    /// Admits a queued request to a target.
    pub(super) fn grant(&mut self, seq: Seq, key: TargetKey, now: Instant) {
        let Some(queued) = self.remove_queued(seq) else { return };
        let spread =
            queued.adapter.and_then(|adapter| self.update_spread(adapter, queued.spread, now));
        let group_wait = self.group_wait(now);
        let is_paced = self.is_urgency_active();
        let Some(target) = self.targets.get_mut(&key) else { return };
        let mut ready_since = None;
        if let Some(adapter) = queued.adapter {
            if let Some(slot) = target.slots.get_mut(adapter) {
                slot.leases += 1;
                slot.last_used = now;
                ready_since = Some(slot.ready_at);
            }
            if let QueueId::Adapter(_) = queued.queue_id {
                ready_since = self.adapters[adapter].available_since;
            }
        }
        let (mut unread_tokens, mut first_token) = (None, None);
        if let Some(model) = self.cfg.engine_model.filter(|_| queued.is_engine) {
            let cached = target.prefix_cache.hit_ratio(&queued.prefixes);
            let is_idle = target.prefill_backlog.wait(now).is_zero();
            unread_tokens = is_idle.then_some(queued.prompt_tokens as f64 * (1.0 - cached));
            let prefill = model.prefill(queued.prompt_tokens, cached);
            if is_paced {
                let first = target.add_paced_prefill(&model, prefill, now);
                first_token = Some(first);
                let token_ms = target.pace.usual_token_ms(target.running, now);
                let tokens_secs = queued.response_tokens * token_ms / 1_000.0;
                target.pace.begin(seq, first + Duration::from_secs_f64(tokens_secs), now);
            } else {
                target.prefill_backlog.add(prefill, now);
            }
            if let Some(adapter) = queued.adapter {
                target.adapter_cache.touch(adapter, model.cached_adapters);
            }
        }
        target.prefix_cache.record_request(&queued.prefixes, now);
        // A lookup uses reserved capacity only if there is no other.
        let is_unreserved = has_unreserved_capacity(target, now);
        if let Some(limit) = &mut target.limit {
            limit.take(now);
        }
        target.running += 1;
        target.granted_at = Some(now);
        target.unreserved_running += u32::from(is_unreserved);
        target.running_peak = target.running_peak.max(target.running);
        if queued.is_suspect {
            target.exclusive_to = Some(seq);
        }
        let load_stall = ready_since
            .map_or(Duration::ZERO, |since| since.saturating_duration_since(queued.queued_at));
        let grant = Grant {
            target: target.spec.id.clone(),
            incarnation: target.spec.incarnation,
            addr: target.spec.addr,
            is_rate_limited: target.limit.is_some(),
            software: target.spec.software.clone(),
            priority: queued.priority,
            queue_wait: now - queued.queued_at,
            load_stall,
            spread,
            group_wait,
        };
        self.stats.admitted += 1;
        self.stats.queue_wait += grant.queue_wait;
        self.stats.load_stall += load_stall;
        self.stats.stalled += u64::from(!load_stall.is_zero());
        self.fair_clock.serve(queued.rank.tag);
        self.count_turn(&queued, now);
        self.subs[queued.sub].running += 1;
        let running = RunningRequest {
            sub: queued.sub,
            target: key,
            adapter: queued.adapter,
            is_unreserved,
            cost: queued.cost,
            prompt_tokens: queued.prompt_tokens,
            max_tokens: queued.demand.max_tokens,
            admitted_at: now,
            used: None,
            unread_tokens,
            first_token,
            is_started: false,
            first_token_at: None,
            tokens: 0,
        };
        self.running.insert(seq, running);
        // If the caller has dropped the receiver, its guard releases the request.
        queued.tx.send(Ok(grant));
    }

    /// Records that the request is being sent.
    pub(crate) fn started(&mut self, seq: Seq) {
        if let Some(running) = self.running.get_mut(&seq) {
            running.is_started = true;
        }
    }

    /// Learns the speed at which engines read prompts from the time to a request's first token.
    pub(crate) fn first_token_after(&mut self, seq: Seq, time: Duration) {
        let Some(tokens) = self.running.get(&seq).and_then(|running| running.unread_tokens) else {
            return;
        };
        let Some(model) = &mut self.cfg.engine_model else { return };
        if let Some(speed) = self.prefill_speed.record(model, tokens, time) {
            event!(self.log, PREFILL_SPEED_LEARNED;
                "from" => model.prefill_tokens_per_ms, "to" => speed);
            model.prefill_tokens_per_ms = speed;
        }
    }

    /// Records `n` more generated tokens.
    pub(crate) fn tokens(&mut self, seq: Seq, n: u64, now: Instant) {
        if let Some(running) = self.running.get_mut(&seq) {
            running.is_started = true;
            running.first_token_at.get_or_insert(now);
            running.tokens += n;
        }
    }

    /// Ends an admitted request and admits others in its place.
    pub(crate) fn release(&mut self, seq: Seq, finish: Finish, now: Instant) {
        let Some(running) = self.running.remove(&seq) else { return };
        let is_urgency_active = self.is_urgency_active();
        // Under load, a report of an end waits at the owner: calls of 33 ms counted as 0.63 to 0.87 s.
        let held = now - running.admitted_at;
        let stated = running.used.filter(|used| is_urgency_active && *used >= MIN_USE);
        let used = stated.map_or(held, |used| used.min(held));
        let secs = used.as_secs_f64();
        self.learn(running.max_tokens, finish, secs, now);
        let account = &mut self.subs[running.sub];
        account.running -= 1;
        let actual = match finish {
            // The number of tokens is not known; the expected number was charged.
            Finish::Answered { completion_tokens: 0, .. } if is_urgency_active => {
                self.service_secs.add(secs);
                running.cost
            }
            Finish::Answered { prompt_tokens, completion_tokens } => {
                account.completion.add(completion_tokens as f64);
                self.service_secs.add(secs);
                if running.adapter.is_some() {
                    self.secs_per_token.add(secs / completion_tokens.max(1) as f64);
                }
                self.stats.tokens.0 += completion_tokens;
                Cost::tokens(prompt_tokens, completion_tokens as f64)
            }
            Finish::Refused | Finish::NoRoom => Cost::default(),
            _ if !running.is_started => Cost::default(),
            Finish::TargetFailed | Finish::TargetCrashed | Finish::Cancelled => {
                self.stats.tokens.0 += running.tokens;
                Cost::tokens(running.prompt_tokens, running.tokens as f64)
            }
        };
        account.refund(running.cost);
        account.charge(if running.adapter.is_some() { actual } else { running.cost });
        if matches!(finish, Finish::Answered { .. }) && is_urgency_active {
            self.record_call_time(&running, used);
        }
        let is_held_known = match finish {
            Finish::Answered { .. } => true,
            Finish::Refused | Finish::NoRoom => false,
            // Without a stated use, the request may never have been sent.
            Finish::TargetFailed | Finish::TargetCrashed | Finish::Cancelled => stated.is_some(),
        };
        if let Some(target) = self.targets.get_mut(&running.target)
            && is_held_known
            && is_urgency_active
        {
            target.held.record(held, used, now);
        }
        self.release_target(seq, &running, finish, now);
        self.end_busy_period_if_idle();
        self.sweep(now);
        self.fill_target(running.target, now);
    }

    fn release_target(&mut self, seq: Seq, running: &RunningRequest, finish: Finish, now: Instant) {
        let Some(target) = self.targets.get_mut(&running.target) else { return };
        if finish == Finish::NoRoom {
            target.lower_ceiling(now);
        }
        target.running -= 1;
        target.pace.end(seq);
        target.unreserved_running -= u32::from(running.is_unreserved);
        target.exclusive_to = target.exclusive_to.filter(|exclusive| *exclusive != seq);
        let is_settled =
            matches!(finish, Finish::Answered { .. } | Finish::Refused | Finish::NoRoom);
        if let Some(slot) = running.adapter.and_then(|key| target.slots.get_mut(key)) {
            let secs = (now - running.admitted_at).as_secs_f64();
            self.subs[running.sub].charge(Cost::slot_time(secs, slot.leases));
            slot.leases = slot.leases.saturating_sub(1);
            slot.last_used = now;
            // The engine may still be running a request without a complete response.
            if running.is_started && !is_settled {
                slot.pin_uncertain(now);
            }
        }
        let is_counted = !matches!(finish, Finish::Cancelled | Finish::Refused | Finish::NoRoom);
        if is_counted {
            target.health.record_end(!matches!(finish, Finish::Answered { .. }), now);
        }
        let is_failure = match finish {
            Finish::Answered { completion_tokens, .. } => {
                target.raise_ceiling(now);
                target.health.record_success(now);
                if let Some(first) = running.first_token_at.filter(|_| completion_tokens > 1) {
                    let secs = (now - first).as_secs_f64();
                    target.health.secs_per_token.add(secs / (completion_tokens - 1) as f64);
                }
                false
            }
            Finish::TargetFailed => target.health.record_failure(false),
            Finish::TargetCrashed => target.health.record_failure(true),
            Finish::Cancelled | Finish::Refused | Finish::NoRoom => false,
        };
        if is_failure {
            self.eject(running.target, now);
        }
    }
}
