//! Order of queued requests, and which ones are refused, when capacity is insufficient.
//!
//! Pure functions on what the scheduler knows: they use no network and no clock. Times are seconds
//! from the moment of the decision.
//!
//! A request uses two resources of its target: the target's undivided time while it reads the prompt,
//! and a request slot from admission to the end of the response. The expected start of a request is the
//! time after which both are free of the work ahead of it. A request is refused once that leaves no time
//! to finish; only requests that would be late anyway, or the least urgent ones, are refused.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::{AddAssign, Bound, SubAssign},
    time::Duration,
};

use shallotdrum_engine::{Priority, Urgency};

use crate::{
    fair::{Seq, Tag},
    turns::{GRANTS_PER_TAG_TURN, Order, ShareTurns, find_turns},
};

/// Wait for all queued work above which requests compete for time. Below that, some requests wait only
/// for the load of an adapter, and one that an idle target can still finish must not be refused.
const CONTENDED_SECS: f64 = 0.1;
/// Part of the time that a request has above which the usual time of others does not count against it.
/// Responses of the slowest targets end together: on engines of uneven speed, the usual time came to 7.8
/// to 13 s where requests had 8 s, and the mean response took 1.8 s.
const MAX_USUAL_SHARE: f64 = 0.75;
/// Shortest time until a retry; a faster one comes back before the queue has changed.
const MIN_RETRY_AFTER_SECS: f64 = 0.05;
/// Longest time until a retry, so that callers notice when an overload ends.
const MAX_RETRY_AFTER_SECS: f64 = 60.0;
/// Distance of the engine priorities of two ranks. A target's interface has ten priorities, each of
/// which covers 13 of these; a rank gets three of them.
const PRIORITIES_PER_RANK: u8 = 39;

/// Place of a request in a queue, apart from its order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// The same for all requests if the order does not follow urgency.
    pub(crate) urgency: Urgency,
    /// Whether the request cannot meet its objective and has time to go after those that can.
    pub(crate) is_late: bool,
    pub(crate) tag: Tag,
}

/// Urgency of all requests while the order does not follow urgency.
pub(crate) const NO_URGENCY: Urgency = Urgency { customer: 0, route: 0 };

impl Rank {
    pub(crate) fn new(urgency: Urgency, tag: Tag) -> Self {
        Self { urgency, is_late: false, tag }
    }

    /// Rank by the fair-queueing tag alone.
    pub(crate) fn by_tag(tag: Tag) -> Self {
        Self::new(NO_URGENCY, tag)
    }
}

/// Queued requests in order.
pub(crate) type Queue = BTreeSet<(Rank, Seq)>;

/// First entry of each class of a queue; a class has one urgency and one lateness.
fn classes(queue: &Queue) -> impl Iterator<Item = (Rank, Seq)> {
    let first = queue.first().copied();
    std::iter::successors(first, |(rank, _)| {
        let end = (Rank { tag: Tag(u64::MAX), ..*rank }, Seq::MAX);
        queue.range((Bound::Excluded(end), Bound::Unbounded)).next().copied()
    })
}

/// First request of a queue.
pub(crate) fn head(queue: &Queue, order: Order) -> Option<(Rank, Seq)> {
    match order {
        Order::Rank => queue.first().copied(),
        Order::Tag | Order::Share(_) => classes(queue).min_by_key(|entry| order.key(*entry)),
    }
}

/// The first `max` requests of a queue.
pub(crate) fn heads(queue: &Queue, order: Order, max: usize) -> Vec<(Rank, Seq)> {
    if order == Order::Rank {
        return queue.iter().take(max).copied().collect();
    }
    let firsts = classes(queue);
    let mut heads: Vec<_> = firsts
        .flat_map(|first| {
            let end = (Rank { tag: Tag(u64::MAX), ..first.0 }, Seq::MAX);
            queue.range(first..=end).take(max)
        })
        .copied()
        .collect();
    heads.sort_unstable_by_key(|entry| order.key(*entry));
    heads.truncate(max);
    heads
}

/// Expected use of targets by requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Work {
    pub(crate) requests: f64,
    /// Time of the target that no other request can use: reading the prompt.
    pub(crate) serial_secs: f64,
    /// Time in a request slot.
    pub(crate) slot_secs: f64,
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.serial_secs += other.serial_secs;
        self.slot_secs += other.slot_secs;
    }
}

impl SubAssign for Work {
    fn sub_assign(&mut self, other: Self) {
        self.requests = (self.requests - other.requests).max(0.0);
        self.serial_secs = (self.serial_secs - other.serial_secs).max(0.0);
        self.slot_secs = (self.slot_secs - other.slot_secs).max(0.0);
    }
}

impl Work {
    fn times(self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            serial_secs: self.serial_secs * factor,
            slot_secs: self.slot_secs * factor,
        }
    }

    fn min(self, other: Self) -> Self {
        Self {
            requests: self.requests.min(other.requests),
            serial_secs: self.serial_secs.min(other.serial_secs),
            slot_secs: self.slot_secs.min(other.slot_secs),
        }
    }

    pub(crate) fn plus(mut self, other: Self) -> Self {
        self += other;
        self
    }

    pub(crate) fn minus(mut self, other: Self) -> Self {
        self -= other;
        self
    }
}

/// What one target can do for work that it does alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SerialTarget {
    /// Time until it is done with the work of admitted requests.
    pub(crate) free_after_secs: f64,
    /// Work that it does in a second, in seconds at the usual pace.
    pub(crate) speed: f64,
}

/// Time until targets have done this much work, each beginning when it is free. A target with much
/// work ahead holds up none of what the others can do.
pub(crate) fn serial_wait_secs(targets: &[SerialTarget], work_secs: f64) -> f64 {
    let mut by_time: Vec<_> = targets.iter().filter(|target| target.speed > 0.0).collect();
    by_time.sort_by(|a, b| a.free_after_secs.total_cmp(&b.free_after_secs));
    let (mut speed, mut at, mut left) = (0.0, 0.0, work_secs);
    for target in by_time {
        let done = speed * (target.free_after_secs - at);
        if speed > 0.0 && done >= left {
            break;
        }
        left -= done;
        at = target.free_after_secs;
        speed += target.speed;
    }
    match speed > 0.0 {
        true => at + left.max(0.0) / speed,
        false => 0.0,
    }
}

/// What the active targets of one kind can do.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Capacity {
    /// Targets for work that each does alone.
    pub(crate) targets: Vec<SerialTarget>,
    pub(crate) slots: f64,
    pub(crate) free_slots: f64,
    /// Time since the latest grant. While no slot is free, one became free then.
    pub(crate) since_grant_secs: f64,
    /// Grants before the next one by tag.
    pub(crate) until_tag: f64,
    /// Kinds that get part of the grants beside the order by rank.
    pub(crate) share_turns: Vec<ShareTurns>,
}

impl Capacity {
    /// Time until a request is started by tag, with this work before it by tag. `mean` is the mean work
    /// of the queued requests, which are granted until then.
    fn wait_by_tag_secs(&self, ahead: &Work, mean: &Work) -> f64 {
        let turns = f64::from(GRANTS_PER_TAG_TURN);
        self.wait_secs(&ahead.times(turns).plus(mean.times(self.until_tag)))
    }

    /// Time until a request is started by the turns of its kind, with this work of the kind before it;
    /// absent if the kind has none. The other grants go to requests of mean work.
    fn wait_by_share_secs(&self, urgency: Urgency, ahead: &Work, mean: &Work) -> Option<f64> {
        let turns = find_turns(&self.share_turns, urgency).filter(|turns| turns.grants > 0.0)?;
        let own = ahead.requests + 1.0;
        let others = own / turns.grants - own;
        Some(self.wait_secs(&ahead.plus(mean.times(others))))
    }

    /// Part of the grants that do not go by rank.
    fn other_grants(&self) -> f64 {
        let by_share: f64 = self.share_turns.iter().map(|turns| turns.grants).sum();
        1.0 / f64::from(GRANTS_PER_TAG_TURN) + by_share
    }

    /// Time for which this work occupies all targets.
    pub(crate) fn drain_secs(&self, work: &Work) -> f64 {
        let speed: f64 = self.targets.iter().map(|target| target.speed).sum();
        let serial = if speed > 0.0 { work.serial_secs / speed } else { 0.0 };
        let slots = if self.slots > 0.0 { work.slot_secs / self.slots } else { 0.0 };
        serial.max(slots)
    }

    /// Time until this work has been started; 0 without a target, as nothing is known then.
    pub(crate) fn wait_secs(&self, ahead: &Work) -> f64 {
        if self.targets.is_empty() || self.slots <= 0.0 {
            return 0.0;
        }
        let serial = serial_wait_secs(&self.targets, ahead.serial_secs);
        // A slot must become free for each request beyond the free slots, the one that waits included.
        let to_free = (ahead.requests + 1.0 - self.free_slots).max(0.0);
        let interval = ahead.slot_secs / ahead.requests.max(1.0) / self.slots;
        let elapsed = if self.free_slots < 1.0 { self.since_grant_secs } else { 0.0 };
        serial.max(to_free * interval - elapsed.min(interval))
    }
}

/// Expected cost and duration of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Estimate {
    pub(crate) work: Work,
    /// Time from admission to the end of the response, which most responses do not exceed: one that is
    /// cut off by the deadline is wasted.
    pub(crate) run_secs: f64,
    /// Shortest time from admission to the end. Decides where requests do not compete.
    pub(crate) best_run_secs: f64,
    /// Time from admission to the beginning of the response, or to the end of a call, which most do not
    /// exceed. In a long queue, requests are started when they can just meet their objective: with the mean
    /// time, half of them missed it.
    pub(crate) first_secs: f64,
}

/// Request to decide on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) seq: Seq,
    pub(crate) rank: Rank,
    /// Time from the arrival to the deadline.
    pub(crate) time_secs: f64,
    /// Time until the deadline.
    pub(crate) left_secs: f64,
    /// Time until the objective is missed, if there is one.
    pub(crate) objective_secs: Option<f64>,
    pub(crate) estimate: Estimate,
}

impl Candidate {
    /// Time that the request must have left when it is admitted.
    fn needed_secs(&self, is_contended: bool) -> f64 {
        let Estimate { run_secs, best_run_secs, .. } = self.estimate;
        match is_contended {
            true => run_secs.min(MAX_USUAL_SHARE * self.time_secs).max(best_run_secs),
            false => best_run_secs,
        }
    }

    /// Work for each second until the deadline; the requests that need most are refused first.
    pub(crate) fn work_for_deadline(&self) -> f64 {
        let work = self.estimate.work;
        work.serial_secs.max(work.slot_secs) / self.left_secs.max(MIN_RETRY_AFTER_SECS)
    }
}

/// Expected start of a request, and by how much it comes too late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Outlook {
    pub(crate) wait_secs: f64,
    pub(crate) needed_secs: f64,
    /// Time until a request like this one would finish in time; at most 0 if this one does.
    pub(crate) excess_secs: f64,
}

impl Outlook {
    pub(crate) fn new(candidate: &Candidate, wait_secs: f64, is_contended: bool) -> Self {
        let needed_secs = candidate.needed_secs(is_contended);
        Self { wait_secs, needed_secs, excess_secs: wait_secs + needed_secs - candidate.left_secs }
    }

    pub(crate) fn is_in_time(&self) -> bool {
        self.excess_secs <= 0.0
    }
}

/// Time until a retry, within bounds but not rounded: whole seconds would leave capacity unused.
pub(crate) fn retry_after_secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs.clamp(MIN_RETRY_AFTER_SECS, MAX_RETRY_AFTER_SECS))
}

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Decision {
    Admit,
    Refuse(Outlook),
    /// Refuse a queued request in place of the newcomer.
    Displace {
        victim: Seq,
        /// What is expected of the newcomer otherwise.
        outlook: Outlook,
        /// Time until all queued work has been started.
        room_secs: f64,
    },
}

/// Work of the queued requests for the same targets, as seen from a newcomer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Ahead {
    pub(crate) all: Work,
    /// Ahead of it by rank.
    pub(crate) by_rank: Work,
    /// Ahead of it by rank, with its urgency.
    pub(crate) of_kind: Work,
    /// Ahead of it by tag.
    pub(crate) by_tag: Work,
    pub(crate) less_urgent: Work,
}

/// Decides on a newcomer, given what is queued for the same targets.
///
/// `victim` is the request to refuse first among those less urgent, with its work; `is_full` says that
/// the queue has no room for another request.
pub(crate) fn decide(
    newcomer: &Candidate,
    ahead: &Ahead,
    victim: Option<(Seq, Work)>,
    capacity: &Capacity,
    is_full: bool,
) -> Decision {
    let room_secs = capacity.wait_secs(&ahead.all);
    let mean = ahead.all.times(1.0 / ahead.all.requests.max(1.0));
    let is_contended = room_secs > CONTENDED_SECS;
    let outlook = |less_urgent: Work| {
        // While the work ahead is done, the other turns may go to less urgent requests.
        let other_grants = capacity.other_grants();
        let others = ahead.by_rank.times(other_grants / (1.0 - other_grants)).min(less_urgent);
        let by_rank = capacity.wait_secs(&ahead.by_rank.plus(others));
        let by_share = capacity.wait_by_share_secs(newcomer.rank.urgency, &ahead.of_kind, &mean);
        let wait = by_rank
            .min(capacity.wait_by_tag_secs(&ahead.by_tag, &mean))
            .min(by_share.unwrap_or(f64::INFINITY));
        Outlook::new(newcomer, wait, is_contended)
    };
    let expected = outlook(ahead.less_urgent);
    if expected.is_in_time() && !is_full {
        return Decision::Admit;
    }
    let Some((victim, work)) = victim else { return Decision::Refuse(expected) };
    match outlook(ahead.less_urgent.minus(work)).is_in_time() {
        true => Decision::Displace { victim, outlook: expected, room_secs },
        false => Decision::Refuse(expected),
    }
}

fn sum_and_mean(queued: &[Candidate]) -> (Work, Work) {
    let sum = queued.iter().fold(Work::default(), |sum, other| sum.plus(other.estimate.work));
    (sum, sum.times(1.0 / queued.len().max(1) as f64))
}

/// Queued requests that are known to miss their deadline, with what is expected of them.
pub(crate) fn hopeless(queued: &mut [Candidate], capacity: &Capacity) -> Vec<(Seq, Outlook)> {
    let (sum, mean) = sum_and_mean(queued);
    let is_contended = capacity.wait_secs(&sum) > CONTENDED_SECS;
    queued.sort_unstable_by_key(|candidate| (candidate.rank.tag, candidate.seq));
    let mut ahead = Work::default();
    let mut by_other_turns = BTreeSet::new();
    for candidate in queued.iter() {
        let wait = capacity.wait_by_tag_secs(&ahead, &mean);
        if Outlook::new(candidate, wait, is_contended).is_in_time() {
            ahead += candidate.estimate.work;
            by_other_turns.insert(candidate.seq);
        }
    }
    queued.sort_unstable_by_key(|candidate| (candidate.rank, candidate.seq));
    let mut of_kind: BTreeMap<Urgency, Work> = BTreeMap::new();
    for candidate in queued.iter() {
        let urgency = candidate.rank.urgency;
        let ahead = of_kind.entry(urgency).or_default();
        let wait = capacity.wait_by_share_secs(urgency, ahead, &mean);
        if wait.is_some_and(|wait| Outlook::new(candidate, wait, is_contended).is_in_time()) {
            *ahead += candidate.estimate.work;
            by_other_turns.insert(candidate.seq);
        }
    }
    let mut ahead = Work::default();
    let mut refused = Vec::new();
    for candidate in queued.iter() {
        let outlook = Outlook::new(candidate, capacity.wait_secs(&ahead), is_contended);
        if outlook.is_in_time() || by_other_turns.contains(&candidate.seq) {
            ahead += candidate.estimate.work;
        } else {
            refused.push((candidate.seq, outlook));
        }
    }
    refused
}

/// Whether each queued request goes after those of its urgency that can still meet their objective.
///
/// A request that can no longer meet its own does so, unless it would then miss its deadline.
pub(crate) fn lateness(queued: &[Candidate], capacity: &Capacity) -> Vec<(Seq, bool)> {
    let misses = |candidate: &Candidate| {
        candidate.objective_secs.is_some_and(|left| left < candidate.estimate.first_secs)
    };
    if !queued.iter().any(misses) {
        return queued.iter().map(|candidate| (candidate.seq, false)).collect();
    }
    /// Work of one urgency: all, and that of requests that can meet their objective.
    #[derive(Default)]
    struct Sums {
        all: Work,
        on_time: Work,
    }
    let mut sums: BTreeMap<Urgency, Sums> = BTreeMap::new();
    for candidate in queued {
        let sum = sums.entry(candidate.rank.urgency).or_default();
        sum.all += candidate.estimate.work;
        if !misses(candidate) {
            sum.on_time += candidate.estimate.work;
        }
    }
    let mut more_urgent = Work::default();
    let waits: BTreeMap<Urgency, f64> = sums
        .iter()
        .map(|(urgency, sum)| {
            let wait = capacity.wait_secs(&more_urgent.plus(sum.on_time));
            more_urgent += sum.all;
            (*urgency, wait)
        })
        .collect();
    let is_late = |candidate: &Candidate| {
        let wait = waits.get(&candidate.rank.urgency).copied().unwrap_or_default();
        misses(candidate) && wait + candidate.estimate.run_secs <= candidate.left_secs
    };
    queued.iter().map(|candidate| (candidate.seq, is_late(candidate))).collect()
}

/// Priority for the engine: a range for each rank, and within it the lead over the fair share in steps.
///
/// The rank is that of the route, or of the customer if the requests so far were of several ranks of
/// customers.
pub(crate) fn engine_priority(
    urgency: Urgency,
    customers: &BTreeSet<u8>,
    lead_steps: u8,
) -> Priority {
    let rank = match customers.len() {
        ..2 => urgency.route,
        _ => customers.range(..urgency.customer).count().min(usize::from(u8::MAX)) as u8,
    };
    Priority(rank.min(3) * PRIORITIES_PER_RANK + lead_steps.min(PRIORITIES_PER_RANK - 1))
}
