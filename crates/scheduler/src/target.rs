//! State of one target as known to the group's owner.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use shallotdrum_engine::{TargetKind, TargetLoad};
use tokio::time::Instant;

use crate::{
    api::TargetSpec,
    engine_model::{AdapterCache, Backlog, EngineModel},
    extra_calls::ExtraCalls,
    fair::Seq,
    held::HeldPlaces,
    measure::{DecayingCounter, Ewma},
    pace::{MAX_PREFILL_SHARE, Pace},
    rate_limit::RateLimit,
    slots::Slots,
};

/// Key of one incarnation of a target; a new incarnation gets a new key.
pub(crate) type TargetKey = u64;

/// Age at which a reported load figure is no longer used.
const REPORT_TTL: Duration = Duration::from_secs(5);
/// Orders wait this long for the first report, which lists the resident adapters at a takeover.
/// Announcements are sent every second and may take another second to arrive.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Target with its slots, load and health.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    pub(crate) added_at: Instant,
    pub(crate) is_draining: bool,
    /// The process is known to have crashed; its successor is added with a new incarnation.
    pub(crate) is_crashed: bool,
    pub(crate) slots: Slots,
    /// Admitted requests that have not ended.
    pub(crate) running: u32,
    /// Limit on concurrent requests since the target had no room for one.
    pub(crate) ceiling: Option<Ceiling>,
    pub(crate) held: HeldPlaces,
    extra: ExtraCalls,
    /// Time of the latest admission.
    pub(crate) granted_at: Option<Instant>,
    /// Admitted requests that do not use the capacity reserved for lookups.
    pub(crate) unreserved_running: u32,
    /// Maximum of `running` since the latest report.
    pub(crate) running_peak: u32,
    /// End time and peak of each interval between previous reports.
    peak_history: VecDeque<(Instant, u32)>,
    /// Running and waiting requests without a lease, according to the latest report.
    pub(crate) foreign: u32,
    pub(crate) reported_at: Option<Instant>,
    pub(crate) sampled_at: Option<Instant>,
    /// Outstanding orders from before the target was removed and added again. Their victims are
    /// unknown, so nothing is admitted until they end.
    pub(crate) orphaned_orders: usize,
    /// Earliest time for the next order after a refusal or a missing permit.
    pub(crate) orders_resume_at: Instant,
    /// Suspect request that is running alone on the target.
    pub(crate) exclusive_to: Option<Seq>,
    /// Suspect request for which the target is being drained.
    pub(crate) reserved_for: Option<Seq>,
    /// Requests that the baseline policy assigned to this target.
    pub(crate) assigned: VecDeque<Seq>,
    pub(crate) prefix_cache: PrefixCacheEstimate,
    pub(crate) prefill_backlog: Backlog,
    pub(crate) adapter_cache: AdapterCache,
    /// Limit on loads that the engine carries out at the same time.
    pub(crate) parallel_loads: usize,
    pub(crate) health: Health,
    pub(crate) pace: Pace,
    /// Load that the target stated in a response, and when.
    pub(crate) stated_load: Option<(TargetLoad, Instant)>,
    /// Limit that the target names.
    pub(crate) limit: Option<RateLimit>,
    /// Time of the latest observation that the target names a limit, or none.
    pub(crate) limit_observed_at: Option<Instant>,
}

/// Limit on concurrent requests that is below what the target announced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ceiling {
    limit: u32,
    changed_at: Instant,
}

/// Time between two raises of a ceiling. Each may cost a refusal, and a target that says it is brittle
/// falls over if it must refuse several requests within a second.
const CEILING_RAISE_INTERVAL: Duration = Duration::from_millis(500);

impl Target {
    pub(crate) fn new(spec: TargetSpec, health: Health, now: Instant) -> Self {
        let max_slots = match &spec.kind {
            TargetKind::Engine { adapter_slots, .. } => *adapter_slots as usize,
            TargetKind::Service { .. } => 0,
        };
        Self {
            spec,
            added_at: now,
            is_draining: false,
            is_crashed: false,
            slots: Slots::new(max_slots, now),
            running: 0,
            unreserved_running: 0,
            running_peak: 0,
            peak_history: VecDeque::new(),
            foreign: 0,
            reported_at: None,
            sampled_at: None,
            orphaned_orders: 0,
            orders_resume_at: now,
            exclusive_to: None,
            reserved_for: None,
            assigned: VecDeque::new(),
            prefix_cache: PrefixCacheEstimate::default(),
            ceiling: None,
            held: HeldPlaces::default(),
            extra: ExtraCalls::default(),
            granted_at: None,
            prefill_backlog: Backlog::new(now),
            adapter_cache: AdapterCache::default(),
            parallel_loads: 1,
            health,
            pace: Pace::new(now),
            stated_load: None,
            limit: None,
            limit_observed_at: None,
        }
    }

    pub(crate) fn is_engine(&self) -> bool {
        matches!(self.spec.kind, TargetKind::Engine { .. })
    }

    /// Limit on concurrent requests: what the target announced, or fewer after it had no room.
    pub(crate) fn capacity(&self) -> u32 {
        let announced = self.announced_capacity();
        self.ceiling.map_or(announced, |ceiling| ceiling.limit.min(announced))
    }

    /// Requests that the target takes at a time.
    fn announced_slots(&self) -> u32 {
        match self.spec.kind {
            TargetKind::Engine { max_batch, .. } => max_batch,
            TargetKind::Service { max_concurrent } => max_concurrent,
        }
    }

    fn announced_capacity(&self) -> u32 {
        let slots = self.announced_slots();
        match self.is_engine() {
            true => slots,
            false => (f64::from(slots) * self.held.ratio() + self.extra.get()) as u32,
        }
        .max(1)
    }

    /// Requests that run at a time while the capacity is used.
    pub(crate) fn concurrency(&self) -> f64 {
        f64::from(self.capacity()) / self.held.ratio()
    }

    /// Learns from the load that a service states at the end of a call; `is_awaited` says that calls wait for
    /// a place.
    pub(crate) fn record_load(&mut self, load: TargetLoad, is_awaited: bool) {
        if !self.is_engine() {
            self.extra.record(load, self.announced_slots(), is_awaited);
        }
    }

    /// Lowers the limit below the number of requests with which the target had no room for another.
    ///
    /// The refusal shows that the places beyond the slots were in use, so all of them are taken back at once.
    pub(crate) fn lower_ceiling(&mut self, now: Instant) {
        let highest = self.capacity().min(self.announced_slots()).max(1);
        let limit = self.running.saturating_sub(1).clamp(1, highest);
        self.ceiling = Some(Ceiling { limit, changed_at: now });
        self.extra = ExtraCalls::default();
    }

    /// Raises the limit by one after a response, at most once per [`CEILING_RAISE_INTERVAL`].
    pub(crate) fn raise_ceiling(&mut self, now: Instant) {
        let announced = self.announced_capacity();
        self.ceiling = match self.ceiling {
            Some(Ceiling { limit, changed_at }) if now >= changed_at + CEILING_RAISE_INTERVAL => {
                let raised = Ceiling { limit: limit + 1, changed_at: now };
                Some(raised).filter(|ceiling| ceiling.limit < announced)
            }
            ceiling => ceiling,
        };
    }

    /// Maximum of `running` since a sample was taken; starts a new interval.
    pub(crate) fn take_peak(&mut self, sampled: Instant, now: Instant) -> u32 {
        /// Number of intervals between reports that are kept; older peaks are ignored.
        const MAX_INTERVALS: usize = 16;
        let peak = std::mem::replace(&mut self.running_peak, self.running);
        self.peak_history.push_back((now, peak));
        while self.peak_history.len() > MAX_INTERVALS {
            self.peak_history.pop_front();
        }
        let since = self.peak_history.iter().filter(|(end, _)| *end >= sampled);
        since.map(|(_, peak)| *peak).max().unwrap_or(peak)
    }

    pub(crate) fn foreign(&self, now: Instant) -> u32 {
        let is_valid = self.reported_at.is_some_and(|at| now < at + REPORT_TTL);
        if is_valid { self.foreign } else { 0 }
    }

    /// Adds a prompt that takes `prefill` at the pace 1, and returns the expected time to its first
    /// token at that pace.
    pub(crate) fn add_paced_prefill(
        &mut self,
        model: &EngineModel,
        prefill: Duration,
        now: Instant,
    ) -> Duration {
        let factor = self.pace.factor(now);
        let first_token = self.prefill_backlog.wait(now).div_f64(factor) + prefill;
        let reading = prefill.saturating_sub(model.prompt_overhead);
        let occupied = match self.running {
            0 => prefill,
            _ => prefill.max(reading.div_f64(MAX_PREFILL_SHARE)),
        };
        self.prefill_backlog.add(occupied.mul_f64(factor), now);
        self.pace.add_prefill(reading.mul_f64(factor), now);
        first_token
    }

    pub(crate) fn has_capacity(&self, now: Instant) -> bool {
        self.running + self.foreign(now) < self.capacity()
    }

    /// Share of the capacity in use.
    pub(crate) fn utilization(&self, now: Instant) -> f64 {
        f64::from(self.running + self.foreign(now)) / f64::from(self.capacity())
    }

    /// Whether the target may be used at all: it is not draining, crashed or ejected and has no
    /// orphaned orders.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        !self.is_draining
            && !self.is_crashed
            && self.orphaned_orders == 0
            && !self.health.is_ejected(now)
    }

    /// Whether the limit that the target names allows another request now.
    pub(crate) fn is_within_limit(&self, now: Instant) -> bool {
        self.limit.is_none_or(|limit| limit.tokens(now) >= 1.0)
    }

    /// Whether requests other than suspects may be admitted: the target is active, within its limit
    /// and neither occupied by nor reserved for a suspect.
    pub(crate) fn accepts_requests(&self, now: Instant) -> bool {
        self.is_active(now)
            && self.is_within_limit(now)
            && self.exclusive_to.is_none()
            && self.reserved_for.is_none()
    }

    /// Whether no request is running and none can be running without a lease.
    pub(crate) fn is_unoccupied(&self, now: Instant) -> bool {
        self.running == 0 && self.foreign(now) == 0 && !self.slots.has_uncertain_pins(now)
    }

    /// Whether a load order may be sent.
    pub(crate) fn accepts_orders(&self, now: Instant) -> bool {
        let has_slot_state =
            self.reported_at.is_some() || now >= self.added_at + FIRST_REPORT_TIMEOUT;
        self.is_engine()
            && self.is_active(now)
            && has_slot_state
            && now >= self.spec.orders_allowed_from
            && now >= self.orders_resume_at
            && self.slots.loading() < self.parallel_loads
            && !self.slots.may_exceed_slots()
    }
}

/// Estimate of the prompt prefixes that an engine has cached.
///
/// The estimate follows the requests that were sent and is corrected by the engine's cache events.
/// A lost event may have reported removals. After a gap, each prefix therefore counts half until a
/// request or an event names it again; discarding all of them would move running conversations to
/// engines without their cache.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCacheEstimate {
    prefixes: HashMap<u64, Prefix>,
    /// Uses with their stamps, oldest first. Only the stamp of a prefix's latest use is current.
    order: VecDeque<(u64, u64)>,
    next_stamp: u64,
    /// Number of gaps in the sequence of cache events so far.
    gaps: u64,
    /// Sequence number of the latest cache event.
    sequence: u64,
}

/// Prefix that the engine probably has cached.
#[derive(Clone, Debug)]
struct Prefix {
    stamp: u64,
    /// Value of the cache's `gaps` at the latest use.
    gaps: u64,
    /// Time at which a request with the prefix was last admitted.
    sent_at: Option<Instant>,
}

impl PrefixCacheEstimate {
    /// Bound on tracked prefixes. Engines cache prefixes in limited memory, so older ones are
    /// probably gone.
    const MAX_PREFIXES: usize = 4096;
    /// Weight of a prefix that may have been removed by a lost event.
    const STALE_PREFIX_WEIGHT: f64 = 0.5;
    /// Upper bound on the delay of events. A removal does not apply to a prefix sent more recently.
    const MAX_EVENT_DELAY: Duration = Duration::from_secs(2);

    /// Records the prefixes of a request that is being sent.
    pub(crate) fn record_request(&mut self, hashes: &[u64], now: Instant) {
        for hash in hashes {
            self.insert(*hash, Some(now));
        }
    }

    /// Applies a cache event of the engine.
    pub(crate) fn apply_event(
        &mut self,
        sequence: u64,
        stored: impl Iterator<Item = u64>,
        removed: impl Iterator<Item = u64>,
        now: Instant,
    ) {
        // An event that arrives out of order is outdated; it was counted as a gap.
        if sequence <= self.sequence {
            return;
        }
        if sequence > self.sequence + 1 {
            self.gaps += 1;
        }
        self.sequence = sequence;
        for hash in removed {
            let is_recent = |prefix: &Prefix| {
                prefix.sent_at.is_some_and(|sent_at| now < sent_at + Self::MAX_EVENT_DELAY)
            };
            if self.prefixes.get(&hash).is_some_and(|prefix| !is_recent(prefix)) {
                self.prefixes.remove(&hash);
            }
        }
        for hash in stored {
            self.insert(hash, None);
        }
    }

    fn insert(&mut self, hash: u64, sent_at: Option<Instant>) {
        let stamp = self.next_stamp;
        self.next_stamp += 1;
        let sent_at = sent_at.or_else(|| self.prefixes.get(&hash)?.sent_at);
        self.prefixes.insert(hash, Prefix { stamp, gaps: self.gaps, sent_at });
        self.order.push_back((hash, stamp));
        while self.order.len() > Self::MAX_PREFIXES {
            let Some((oldest, stamp)) = self.order.pop_front() else { return };
            if self.prefixes.get(&oldest).is_some_and(|prefix| prefix.stamp == stamp) {
                self.prefixes.remove(&oldest);
            }
        }
    }

    /// Share of the prompt that is probably cached, 0 to 1.
    pub(crate) fn hit_ratio(&self, hashes: &[u64]) -> f64 {
        if hashes.is_empty() {
            return 0.0;
        }
        let prefixes = hashes.iter().map_while(|hash| self.prefixes.get(hash));
        let weight = |prefix: &Prefix| match prefix.gaps == self.gaps {
            true => 1.0,
            false => Self::STALE_PREFIX_WEIGHT,
        };
        prefixes.map(weight).sum::<f64>() / hashes.len() as f64
    }
}

/// Failure history and speed of a target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Recently ended requests, and how many of them failed.
    recent: Option<(DecayingCounter, DecayingCounter)>,
    pub(crate) secs_per_token: Ewma,
    /// Time per token relative to twice the group's median, at least 1; higher is slower.
    pub(crate) slowness: Option<f64>,
}

impl Health {
    /// Consecutive failures that point to the target as the cause.
    const FAILURES_TO_EJECT: u32 = 3;
    /// Duration of the first ejection; about the time that an engine process takes to restart.
    const BASE_EJECTION_TIME: Duration = Duration::from_secs(5);
    /// Half-life of the counts for the failure rate.
    const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(3);
    /// Upper bound on the duration of an ejection before jitter, after which the target gets
    /// requests again. A success this long after the end of an ejection resets the doubling.
    const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Records the end of a request for the failure rate.
    pub(crate) fn record_end(&mut self, is_failure: bool, now: Instant) {
        let new = || DecayingCounter::new(Self::FAILURE_RATE_HALF_LIFE, now);
        let (ends, failures) = self.recent.get_or_insert_with(|| (new(), new()));
        ends.add(1.0, now);
        failures.add(f64::from(u8::from(is_failure)), now);
    }

    /// Recently ended requests, and how many of them failed.
    pub(crate) fn recent(&self, now: Instant) -> (f64, f64) {
        self.recent.map_or((0.0, 0.0), |(ends, failures)| (ends.get(now), failures.get(now)))
    }

    pub(crate) fn record_success(&mut self, now: Instant) {
        self.consecutive_failures = 0;
        if self.ejected_until.is_some_and(|until| now > until + Self::MAX_EJECTION_TIME) {
            self.ejections = 0;
        }
    }

    /// Records a failure and returns whether the target should be ejected.
    pub(crate) fn record_failure(&mut self, is_crash: bool) -> bool {
        self.consecutive_failures += if is_crash { Self::FAILURES_TO_EJECT } else { 1 };
        self.consecutive_failures >= Self::FAILURES_TO_EJECT
    }

    /// Ejects the target for a time that doubles with each ejection; `jitter` is 0 to 1.
    pub(crate) fn eject(&mut self, jitter: f64, now: Instant) -> Duration {
        let base = Self::BASE_EJECTION_TIME * 2_u32.pow(self.ejections.min(8));
        // Jitter keeps targets that failed together from returning at the same time.
        let time = base.min(Self::MAX_EJECTION_TIME).mul_f64(0.9 + 0.2 * jitter);
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.ejected_until = Some(now + time);
        time
    }
}
