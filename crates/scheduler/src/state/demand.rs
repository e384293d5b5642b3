//! Demand for adapters in engine time, and over how many groups each of them should be spread.
//!
//! Entries bind an adapter to one group of its pool. An adapter that is asked for a lot fills that
//! group while others are idle, so the owner tells entries to use more groups for it. It scales the
//! demand that it sees by the number of groups that the entry used, so that all owners of an adapter
//! come to about the same number.

use std::time::Duration;

use shallotdrum_telemetry::event;
use shallotdrum_types::AdapterRef;
use tokio::time::Instant;

use super::{RunningRequest, State};
use crate::{
    EngineModel,
    api::{AdmissionRequest, Finish, PlaceFeedback, RequestKind, Scheduling},
    fair::Seq,
    measure::{DecayingCounter, Ewma},
    pace::{MAX_PREFILL_SHARE, ResponseLengths},
    slots::AdapterKey,
    target::Target,
};

/// Half-life of an adapter's demand in engine time. The demand for a popular adapter is hundreds of
/// requests within it, and a change is noticed within seconds.
const ADAPTER_HALF_LIFE: Duration = Duration::from_secs(4);
/// Half-life of the demand of the whole group, which has more requests; shorter, so that entries that
/// prefer the less loaded group do not overshoot.
const GROUP_HALF_LIFE: Duration = Duration::from_secs(2);
/// Share of a group's engine time that one adapter may ask for before it is spread. With a quarter, the
/// busiest of six groups got 1.31 to 1.36 times the mean of a calm load, with a tenth 1.07 to 1.16,
/// for 4% more loads.
const MAX_ADAPTER_SHARE: f64 = 0.1;
/// Time for which the demand must be lower before an adapter is spread over fewer groups, so that it
/// is not moved back and forth.
const SPREAD_HYSTERESIS: Duration = Duration::from_secs(5);
/// Time after a takeover during which the number of groups is not lowered. The demand is known after
/// about 4 s, and entries keep what the previous owner stated for 10 s; a lower number would send all
/// requests for a popular adapter to one group.
const TAKEOVER_GRACE: Duration = Duration::from_secs(10);
/// Largest number of groups that an owner names; entries use at most those that exist.
const MAX_SPREAD: f64 = 64.0;
/// Engine time of one generated token in a busy batch, in milliseconds: a step with 32 running
/// requests takes 8.8 ms and serves all of them.
const TOKEN_MS: f64 = 0.28;
/// Utilization up to which the expected wait is computed; at 1 it would be infinite.
const MAX_UTILIZATION: f64 = 0.95;
/// Engine time of a request before any was seen, in milliseconds: a prompt of 2,000 tokens and a
/// response of 100.
const INITIAL_WORK_MS: f64 = 105.0;

/// Demand for one adapter.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdapterDemand {
    /// Recent work over all groups, in milliseconds of engine time.
    work: DecayingCounter,
    /// Number of groups that entries are told.
    spread: u32,
    /// Time since which fewer groups would do, and the most that were needed since then.
    lower: Option<(Instant, u32)>,
}

impl AdapterDemand {
    pub(super) fn new(now: Instant) -> Self {
        Self { work: DecayingCounter::new(ADAPTER_HALF_LIFE, now), spread: 1, lower: None }
    }

    fn add(&mut self, work_ms: f64, now: Instant) {
        self.work.add(work_ms, now);
    }

    /// Number of groups, each of which has `engines` engines, that keeps the share of the adapter in
    /// each of them below the limit. After a takeover, it is at least the number `in_use` by entries.
    fn update_spread(&mut self, engines: f64, in_use: Option<u32>, now: Instant) -> u32 {
        let limit = MAX_ADAPTER_SHARE * engines.max(1.0);
        let demand = per_sec(&self.work, ADAPTER_HALF_LIFE, now) / 1_000.0;
        let needed = (demand / limit).ceil().clamp(1.0, MAX_SPREAD) as u32;
        let needed = in_use.map_or(needed, |in_use| needed.max(in_use).max(self.spread));
        if needed >= self.spread {
            (self.spread, self.lower) = (needed, None);
            return self.spread;
        }
        let (since, most) = self.lower.unwrap_or((now, needed));
        let most = most.max(needed);
        if now >= since + SPREAD_HYSTERESIS {
            (self.spread, self.lower) = (most, None);
        } else {
            self.lower = Some((since, most));
        }
        self.spread
    }
}

/// Demand for the whole group.
#[derive(Clone, Debug)]
pub(super) struct GroupDemand {
    /// Recent work of this group, in milliseconds of engine time.
    work: DecayingCounter,
    /// Mean work of a request, in milliseconds of engine time.
    request_ms: Ewma,
    /// Work of the queued requests, in milliseconds of engine time.
    pub(super) queued_ms: f64,
    /// Lengths of responses, from which the work of a request is estimated.
    pub(super) lengths: ResponseLengths,
    /// Whether a target has stated how slow it is.
    pub(super) is_paced: bool,
    taken_over_at: Instant,
}

impl GroupDemand {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            work: DecayingCounter::new(GROUP_HALF_LIFE, now),
            request_ms: Ewma::default(),
            queued_ms: 0.0,
            lengths: ResponseLengths::default(),
            is_paced: false,
            taken_over_at: now,
        }
    }
}

/// Mean of a counter's recent additions per second.
fn per_sec(counter: &DecayingCounter, half_life: Duration, now: Instant) -> f64 {
    counter.get(now) * std::f64::consts::LN_2 / half_life.as_secs_f64()
}

impl State {
    /// Engine time that a request takes, in milliseconds; 0 for a service call.
    pub(super) fn work_ms(&self, model: &EngineModel, kind: &RequestKind) -> f64 {
        match kind {
            RequestKind::Completion { prompt_tokens, max_tokens, .. }
            | RequestKind::Base { prompt_tokens, max_tokens, .. } => {
                let tokens = self.demand.lengths.expected(*max_tokens);
                *prompt_tokens as f64 / model.prefill_tokens_per_ms + tokens * TOKEN_MS
            }
            RequestKind::Service { .. } => 0.0,
        }
    }

    /// Counts the work that a request asks for, whether it is admitted or not, and returns it in
    /// milliseconds of engine time.
    pub(super) fn record_demand(&mut self, request: &AdmissionRequest, now: Instant) -> f64 {
        let Some(model) = self.cfg.engine_model.filter(|_| self.is_urgency_active()) else {
            return 0.0;
        };
        let work = self.work_ms(&model, &request.kind);
        if work == 0.0 {
            return work;
        }
        self.demand.work.add(work, now);
        self.demand.request_ms.add(work);
        if let RequestKind::Completion { adapter, .. } = &request.kind {
            let key = self.adapters.key_or_insert_with(adapter, || super::Adapter::new(now));
            let spread = f64::from(request.spread.max(1)).min(MAX_SPREAD);
            self.adapters[key].engine_demand.add(work * spread, now);
        }
        work
    }

    /// Number of groups over which an adapter should be spread; absent if this owner does not say.
    /// `in_use` is the number over which the entry of a request spreads it.
    pub(super) fn update_spread(
        &mut self,
        adapter: AdapterKey,
        in_use: u32,
        now: Instant,
    ) -> Option<u32> {
        if self.cfg.engine_model.is_none() || !self.is_urgency_active() {
            return None;
        }
        let engines = self.engine_capacity(now);
        let is_new = now < self.demand.taken_over_at + TAKEOVER_GRACE;
        let in_use = is_new.then_some(in_use.clamp(1, MAX_SPREAD as u32));
        let demand = &mut self.adapters[adapter].engine_demand;
        let before = demand.spread;
        let spread = demand.update_spread(engines, in_use, now);
        if spread != before {
            event!(self.log, ADAPTER_SPREAD_CHANGED;
                "adapter" => %self.adapters.name(adapter), "from" => before, "to" => spread,
                "engines" => engines, "in_use" => in_use);
        }
        Some(spread)
    }

    /// Adapters that are spread over more than one group, with the number of groups.
    pub(crate) fn spreads(&self) -> Vec<(AdapterRef, u32)> {
        let spread = self.adapters.iter().filter(|(.., adapter)| adapter.engine_demand.spread > 1);
        spread.map(|(_, name, adapter)| (name.clone(), adapter.engine_demand.spread)).collect()
    }

    /// Expected wait of another request in the group; absent if this owner does not say.
    ///
    /// It tells groups apart before a queue forms: at the utilization of the engines, it is the mean wait
    /// for an engine that serves requests of equal size one after the other.
    pub(crate) fn group_wait(&self, now: Instant) -> Option<Duration> {
        if self.cfg.engine_model.is_none() || !self.is_urgency_active() {
            return None;
        }
        let engines = self.engine_capacity(now);
        if engines == 0.0 {
            return None;
        }
        let rate = per_sec(&self.demand.work, GROUP_HALF_LIFE, now);
        let utilization = (rate / 1_000.0 / engines).min(MAX_UTILIZATION);
        let request_ms = self.demand.request_ms.get().unwrap_or(INITIAL_WORK_MS);
        let steady = utilization / (2.0 * (1.0 - utilization)) * request_ms;
        let queued = self.demand.queued_ms.max(0.0) / engines;
        Some(Duration::from_secs_f64(steady.max(queued) / 1_000.0))
    }

    /// Number of engines that may be used; one that takes twice as long counts half.
    fn engine_capacity(&self, now: Instant) -> f64 {
        let is_used = |target: &&Target| target.is_engine() && target.is_active(now);
        let engines = self.targets.values().filter(is_used);
        engines.map(|target| 1.0 / target.pace.factor(now)).sum()
    }

    /// Expected time of a prompt at the pace of a target, beside the prompts that it reads, in
    /// milliseconds. The tokens do not count where a load is placed: they would outweigh the load, and
    /// loads from the store cost the most.
    pub(super) fn prompt_cost(&self, target: &Target, now: Instant) -> f64 {
        let left = 1.0 - target.pace.prefill_share(now).min(MAX_PREFILL_SHARE);
        let prompt_ms = self.demand.request_ms.get().unwrap_or(INITIAL_WORK_MS);
        prompt_ms * target.pace.factor(now) / left
    }

    /// Applies what the end of a request tells of its target.
    pub(crate) fn feedback(
        &mut self,
        seq: Seq,
        feedback: PlaceFeedback,
        finish: Finish,
        now: Instant,
    ) {
        let is_urgency_active = self.is_urgency_active();
        let is_service_awaited = !self.lookups.is_empty() || !self.calls.is_empty();
        let Some(running) = self.running.get_mut(&seq) else { return };
        running.used = feedback.used;
        let Some(target) = self.targets.get_mut(&running.target) else { return };
        if let Some((load, age)) = feedback.load {
            let at = now.checked_sub(age).unwrap_or(now);
            if target.stated_load.is_none_or(|(_, last)| at >= last) {
                target.stated_load = Some((load, at));
                if is_urgency_active {
                    target.record_load(load, is_service_awaited);
                }
            }
            if let Some(slowness) = load.slowness {
                target.pace.record_stated(slowness, at);
                if !self.demand.is_paced {
                    self.demand.is_paced = true;
                    event!(self.log, GROUP_PACED; "target" => %target.spec.id,
                        "slowness" => slowness, "is_used" => self.cfg.scheduling != Scheduling::Shares);
                }
            }
        }
        let (time, expected) = (feedback.first_event, running.first_token);
        if let Some((time, expected)) = time.zip(expected) {
            target.pace.record_time(time, expected);
            self.overload.learned.record_first_event(time.as_secs_f64(), now);
        }
        if let (Some(tokens), Some(max_tokens), Finish::Answered { .. }) =
            (feedback.tokens, running.max_tokens, finish)
        {
            self.demand.lengths.add(max_tokens, tokens);
        }
    }

    /// Learns the pace of a plain service from the time of a call.
    pub(super) fn record_call_time(&mut self, running: &RunningRequest, used: Duration) {
        let Some(expected) = self.service_secs.get() else { return };
        let Some(target) = self.targets.get_mut(&running.target) else { return };
        if !target.is_engine() {
            let expected = Duration::from_secs_f64(expected);
            target.pace.record_time(used, expected);
        }
    }
}
