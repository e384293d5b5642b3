//! What the owner knows of one target.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use shallotdrum_engine::TargetKind;
use tokio::time::Instant;

use crate::{
    api::TargetSpec,
    engine_model::{Backlog, Kept},
    fair::Seq,
    measure::{Decayed, Mean},
    slots::Slots,
};

/// Key of one incarnation of a target; a new incarnation gets a new key.
pub(crate) type TargetKey = u64;

/// A load figure older than this says nothing about the present.
const REPORT_VALID: Duration = Duration::from_secs(5);
/// Orders wait this long for the first report, which lists the adapters found at take-over;
/// announcements are renewed every second and may take another one.
const FIRST_REPORT_WAIT: Duration = Duration::from_secs(3);

/// Target of the group.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    pub(crate) known_since: Instant,
    pub(crate) is_draining: bool,
    pub(crate) slots: Slots,
    /// Admitted requests.
    pub(crate) running: u32,
    /// Admitted requests outside of the places reserved for lookups.
    pub(crate) common: u32,
    /// Most admitted requests at a time since the latest report.
    pub(crate) running_peak: u32,
    /// End and peak of the intervals between earlier reports.
    past_peaks: VecDeque<(Instant, u32)>,
    /// Requests that run or wait on the target without a lease, by the latest report.
    pub(crate) foreign: u32,
    pub(crate) reported_at: Option<Instant>,
    pub(crate) sampled_at: Option<Instant>,
    /// Orders without a result that were sent before the target was removed and added again.
    /// Their victims are unknown, so nothing is admitted meanwhile.
    pub(crate) orphaned_orders: usize,
    /// Orders are not sent before this time after a refusal or a lacking permit.
    pub(crate) orders_resume_at: Instant,
    /// Suspect that runs here alone.
    pub(crate) exclusive: Option<Seq>,
    /// Suspect that waits for the target to become idle.
    pub(crate) reserved: Option<Seq>,
    /// Requests assigned by the baseline policy.
    pub(crate) fifo: VecDeque<Seq>,
    pub(crate) prefixes: PrefixCache,
    pub(crate) backlog: Backlog,
    pub(crate) kept: Kept,
    /// Loads that the engine takes at a time.
    pub(crate) parallel_loads: usize,
    pub(crate) health: Health,
}

impl Target {
    pub(crate) fn new(spec: TargetSpec, health: Health, now: Instant) -> Self {
        let max_slots = match &spec.kind {
            TargetKind::Engine { adapter_slots, .. } => *adapter_slots as usize,
            TargetKind::Service { .. } => 0,
        };
        Self {
            spec,
            known_since: now,
            is_draining: false,
            slots: Slots::new(max_slots, now),
            running: 0,
            common: 0,
            running_peak: 0,
            past_peaks: VecDeque::new(),
            foreign: 0,
            reported_at: None,
            sampled_at: None,
            orphaned_orders: 0,
            orders_resume_at: now,
            exclusive: None,
            reserved: None,
            fifo: VecDeque::new(),
            prefixes: PrefixCache::default(),
            backlog: Backlog::new(now),
            kept: Kept::default(),
            parallel_loads: 1,
            health,
        }
    }

    pub(crate) fn is_engine(&self) -> bool {
        matches!(self.spec.kind, TargetKind::Engine { .. })
    }

    /// Requests that are served at a time.
    pub(crate) fn capacity(&self) -> u32 {
        match self.spec.kind {
            TargetKind::Engine { max_batch, .. } => max_batch,
            TargetKind::Service { max_concurrent } => max_concurrent,
        }
        .max(1)
    }

    /// Most admitted requests at a time since a sample was taken; begins a new interval.
    pub(crate) fn take_peak(&mut self, sampled: Instant, now: Instant) -> u32 {
        /// Samples that are older than this many reports are no longer of use.
        const MAX_INTERVALS: usize = 16;
        let peak = std::mem::replace(&mut self.running_peak, self.running);
        self.past_peaks.push_back((now, peak));
        while self.past_peaks.len() > MAX_INTERVALS {
            self.past_peaks.pop_front();
        }
        let since = self.past_peaks.iter().filter(|(end, _)| *end >= sampled);
        since.map(|(_, peak)| *peak).max().unwrap_or(peak)
    }

    pub(crate) fn foreign(&self, now: Instant) -> u32 {
        let is_valid = self.reported_at.is_some_and(|at| now < at + REPORT_VALID);
        if is_valid { self.foreign } else { 0 }
    }

    pub(crate) fn has_room(&self, now: Instant) -> bool {
        self.running + self.foreign(now) < self.capacity()
    }

    /// Share of the batch or of the concurrent calls in use.
    pub(crate) fn fullness(&self, now: Instant) -> f64 {
        f64::from(self.running + self.foreign(now)) / f64::from(self.capacity())
    }

    /// Whether the target takes part at all.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        !self.is_draining && self.orphaned_orders == 0 && !self.health.is_ejected(now)
    }

    /// Whether ordinary requests may be admitted.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.is_active(now) && self.exclusive.is_none() && self.reserved.is_none()
    }

    /// Whether nothing runs and nothing can be running.
    pub(crate) fn is_quiet(&self, now: Instant) -> bool {
        self.running == 0 && self.foreign(now) == 0 && !self.slots.has_uncertain(now)
    }

    /// Whether a load order may be sent.
    pub(crate) fn takes_orders(&self, now: Instant) -> bool {
        let knows_slots = self.reported_at.is_some() || now >= self.known_since + FIRST_REPORT_WAIT;
        self.is_engine()
            && self.is_active(now)
            && knows_slots
            && now >= self.spec.orders_allowed_from
            && now >= self.orders_resume_at
            && self.slots.loading() < self.parallel_loads
            && !self.slots.is_doubtful()
    }
}

/// Recent prompt prefixes that the engine probably still caches.
///
/// The estimate follows the requests that were sent and is corrected by the engine's cache events.
/// Events that were lost may have named removals, so after a gap every prefix counts half until a
/// request or an event names it again: forgetting them all would scatter running conversations.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    known: HashMap<u64, Prefix>,
    /// Uses, oldest first; only the latest use of a prefix has its stamp.
    order: VecDeque<(u64, u64)>,
    next_stamp: u64,
    /// Gaps in the events so far.
    gaps: u64,
    /// Number of the latest cache event.
    sequence: u64,
}

/// Prefix that the engine probably caches.
#[derive(Debug)]
struct Prefix {
    stamp: u64,
    /// Gaps in the events before the latest use.
    gaps: u64,
    /// When a request with the prefix was admitted last.
    sent_at: Option<Instant>,
}

impl PrefixCache {
    /// Engines cache prefixes in limited memory; older ones are probably gone.
    const MAX_PREFIXES: usize = 4096;
    /// Weight of a prefix whose removal may have been missed.
    const UNCERTAIN: f64 = 0.5;
    /// Events may be this late. A removal does not concern a request that was sent since.
    const EVENT_DELAY: Duration = Duration::from_secs(2);

    /// Takes note of the prefixes of a request that is sent.
    pub(crate) fn sent(&mut self, hashes: &[u64], now: Instant) {
        for hash in hashes {
            self.insert(*hash, Some(now));
        }
    }

    /// Takes a report of the engine.
    pub(crate) fn event(
        &mut self,
        sequence: u64,
        stored: impl Iterator<Item = u64>,
        removed: impl Iterator<Item = u64>,
        now: Instant,
    ) {
        // A report that was overtaken is older than what is known; it was counted as a gap.
        if sequence <= self.sequence {
            return;
        }
        if sequence > self.sequence + 1 {
            self.gaps += 1;
        }
        self.sequence = sequence;
        for hash in removed {
            let is_recent = |prefix: &Prefix| {
                prefix.sent_at.is_some_and(|sent_at| now < sent_at + Self::EVENT_DELAY)
            };
            if self.known.get(&hash).is_some_and(|prefix| !is_recent(prefix)) {
                self.known.remove(&hash);
            }
        }
        for hash in stored {
            self.insert(hash, None);
        }
    }

    fn insert(&mut self, hash: u64, sent_at: Option<Instant>) {
        let stamp = self.next_stamp;
        self.next_stamp += 1;
        let sent_at = sent_at.or_else(|| self.known.get(&hash)?.sent_at);
        self.known.insert(hash, Prefix { stamp, gaps: self.gaps, sent_at });
        self.order.push_back((hash, stamp));
        while self.order.len() > Self::MAX_PREFIXES {
            let Some((oldest, stamp)) = self.order.pop_front() else { return };
            if self.known.get(&oldest).is_some_and(|prefix| prefix.stamp == stamp) {
                self.known.remove(&oldest);
            }
        }
    }

    /// Share of the prompt whose prefix is cached, 0 to 1.
    pub(crate) fn matched(&self, hashes: &[u64]) -> f64 {
        if hashes.is_empty() {
            return 0.0;
        }
        let prefixes = hashes.iter().map_while(|hash| self.known.get(hash));
        let weight = |prefix: &Prefix| match prefix.gaps == self.gaps {
            true => 1.0,
            false => Self::UNCERTAIN,
        };
        prefixes.map(weight).sum::<f64>() / hashes.len() as f64
    }
}

/// Failures and speed of a target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Recent ends of requests, and how many of them were failures.
    recent: Option<(Decayed, Decayed)>,
    pub(crate) secs_per_token: Mean,
    /// Speed relative to the group's median; 1 is usual, higher is slower.
    pub(crate) slowness: Option<f64>,
}

impl Health {
    /// Single failures happen; three in a row point at the target.
    const FAILURES_TO_EJECT: u32 = 3;
    /// First ejection; about the time in which an engine process restarts.
    const FIRST_EJECTION: Duration = Duration::from_secs(5);
    /// Time in which a past end counts half.
    const RECENT_HALF_LIFE: Duration = Duration::from_secs(3);
    /// An ejected target is tried again at least this often.
    const MAX_EJECTION: Duration = Duration::from_secs(60);

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Takes note of the end of a request.
    pub(crate) fn ended(&mut self, is_failure: bool, now: Instant) {
        let new = || Decayed::new(Self::RECENT_HALF_LIFE, now);
        let (ends, failures) = self.recent.get_or_insert_with(|| (new(), new()));
        ends.add(1.0, now);
        failures.add(f64::from(u8::from(is_failure)), now);
    }

    /// Recent ends of requests, and how many of them were failures.
    pub(crate) fn recent(&self, now: Instant) -> (f64, f64) {
        self.recent.map_or((0.0, 0.0), |(ends, failures)| (ends.get(now), failures.get(now)))
    }

    pub(crate) fn succeeded(&mut self, now: Instant) {
        self.consecutive_failures = 0;
        if self.ejected_until.is_some_and(|until| now > until + Self::MAX_EJECTION) {
            self.ejections = 0;
        }
    }

    /// Takes note of a failure; returns whether the target should be ejected.
    pub(crate) fn failed(&mut self, is_crash: bool) -> bool {
        self.consecutive_failures += if is_crash { Self::FAILURES_TO_EJECT } else { 1 };
        self.consecutive_failures >= Self::FAILURES_TO_EJECT
    }

    /// Ejects the target for a time that doubles each time; `jitter` is 0 to 1.
    pub(crate) fn eject(&mut self, jitter: f64, now: Instant) -> Duration {
        let base = Self::FIRST_EJECTION * 2_u32.pow(self.ejections.min(8));
        // Jitter keeps targets that failed together from returning together.
        let time = base.min(Self::MAX_EJECTION).mul_f64(0.9 + 0.2 * jitter);
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.ejected_until = Some(now + time);
        time
    }
}
