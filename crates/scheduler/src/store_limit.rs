//! Learned limit on the loads that a group may have in flight from the weight store.
//!
//! The limit follows the time of the loads (additive increase, multiplicative decrease). Up to its
//! full speed, a store carries out each load in the same time; beyond it, all loads take longer in
//! proportion, which every group sees. No messages between groups are needed.
//!
//! The times are compared with the shortest one of the last 30 s. Groups that together use the store
//! beyond its full speed for longer would forget how short a load can be and rise further. A group
//! that has not seen such a time for 20 s therefore lowers its limit to the configured one for two
//! rounds of loads (a probe). Other groups see the shorter times and renew theirs, so that the next
//! probes of all groups fall together.
//!
//! This module uses no network and no clock: callers pass the time.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Time for which the shortest load counts.
const SHORTEST_WINDOW: Duration = Duration::from_secs(30);
/// Ratio to the shortest time below which a load counts for an increase.
const MAX_RATIO_TO_INCREASE: f64 = 1.25;
/// Ratio to the shortest time above which the median of the last loads leads to a decrease.
const MAX_MEDIAN_RATIO: f64 = 1.5;
/// Number of loads of which the median is taken.
const MEDIAN_LOADS: usize = 8;
/// A decrease takes off one part of this many.
const DECREASE_DIVISOR: usize = 8;
/// Ratio up to which a load confirms the shortest time.
const CONFIRMING_RATIO: f64 = 1.1;
/// Time without a confirming load after which a probe begins; shorter than the window, so that the
/// shortest time is known until then.
const PROBE_AFTER: Duration = Duration::from_secs(20);
/// Rounds of loads at the configured limit in a probe. Loads of the first one still run beside
/// those from before it.
const PROBE_ROUNDS: usize = 2;
/// Upper bound on the time of a probe; several loads of a slow store fit into it.
const MAX_PROBE_TIME: Duration = Duration::from_secs(3);

/// Learned limit of one group.
#[derive(Clone, Debug)]
pub struct StoreLimit {
    /// Start value and lower bound.
    configured: usize,
    limit: usize,
    /// Loads since the latest change that were short enough for an increase.
    credit: usize,
    /// Times that may become the shortest one of the window: each is longer than those before it.
    shortest: VecDeque<(Instant, Duration)>,
    /// Time of the latest load that took about the shortest time.
    confirmed_at: Option<Instant>,
    /// Times of the latest loads that were accepted after the latest decrease.
    recent: VecDeque<Duration>,
    /// Median of `recent` when it last had `MEDIAN_LOADS` times.
    median: Option<Duration>,
    decreased_at: Option<Instant>,
    probe: Option<Probe>,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    since: Instant,
    /// Ended loads that were accepted since then.
    loads: usize,
}

/// Load that has ended with the adapter ready.
#[derive(Clone, Copy, Debug)]
pub struct EndedLoad {
    /// Time at which the engine accepted the order.
    pub accepted_at: Instant,
    /// Time at which the adapter was ready.
    pub ended_at: Instant,
    /// Whether the limit was reached and adapters waited for a load.
    pub is_limited: bool,
}

impl StoreLimit {
    /// Starts at the configured limit, which is also the lower bound.
    pub fn new(configured: usize) -> Self {
        let configured = configured.max(1);
        Self {
            configured,
            limit: configured,
            credit: 0,
            shortest: VecDeque::new(),
            confirmed_at: None,
            recent: VecDeque::new(),
            median: None,
            decreased_at: None,
            probe: None,
        }
    }

    /// Number of loads that may be in flight.
    pub fn get(&self) -> usize {
        match self.probe {
            Some(_) => self.configured,
            None => self.limit,
        }
    }

    /// Shortest time of a load in the window, as of the latest load.
    pub fn shortest(&self) -> Option<Duration> {
        self.shortest.front().map(|(_, took)| *took)
    }

    /// Median time of the latest loads that were compared with the shortest time.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// Whether a probe is under way.
    pub fn is_probing(&self) -> bool {
        self.probe.is_some()
    }

    /// Learns from a load; `max` is the upper bound, unless the configured limit is higher.
    pub fn record(&mut self, load: EndedLoad, max: usize) {
        let now = load.ended_at;
        let took = now.saturating_duration_since(load.accepted_at);
        let shortest = self.add_time(took, now);
        let max = max.max(self.configured);
        self.limit = self.limit.min(max);
        match self.probe {
            Some(probe) => self.continue_probe(probe, load),
            None if self.is_probe_due(now) => self.probe = Some(Probe { since: now, loads: 0 }),
            None => {
                self.increase(load, took.as_secs_f64() / shortest.as_secs_f64(), max);
                self.add_recent(load, took, shortest);
            }
        }
    }

    /// Adds a time, and returns the shortest one of the window.
    fn add_time(&mut self, took: Duration, now: Instant) -> Duration {
        // A time of 0 would make every other load too long.
        let took = took.max(Duration::from_millis(1));
        while self.shortest.back().is_some_and(|(_, other)| *other >= took) {
            self.shortest.pop_back();
        }
        self.shortest.push_back((now, took));
        while self.shortest.front().is_some_and(|(at, _)| now > *at + SHORTEST_WINDOW) {
            self.shortest.pop_front();
        }
        let shortest = self.shortest().unwrap_or(took);
        if took <= shortest.mul_f64(CONFIRMING_RATIO) {
            self.confirmed_at = Some(now);
        }
        shortest
    }

    fn is_probe_due(&self, now: Instant) -> bool {
        self.limit > self.configured && self.confirmed_at.is_some_and(|at| now >= at + PROBE_AFTER)
    }

    /// Ends a probe whose time is over although no load with a known time has ended.
    pub fn end_overdue_probe(&mut self, now: Instant) {
        if self.probe.is_some_and(|probe| now >= probe.since + MAX_PROBE_TIME) {
            self.probe = None;
            self.decrease(now);
            self.confirmed_at = Some(now);
        }
    }

    fn continue_probe(&mut self, mut probe: Probe, load: EndedLoad) {
        probe.loads += usize::from(load.accepted_at >= probe.since);
        let is_over = probe.loads >= PROBE_ROUNDS * self.configured
            || load.ended_at >= probe.since + MAX_PROBE_TIME;
        self.probe = Some(probe).filter(|_| !is_over);
        if is_over {
            // Groups with a high limit give up more than those with a low one, so that they converge.
            self.decrease(load.ended_at);
            self.confirmed_at = Some(load.ended_at);
        }
    }

    fn increase(&mut self, load: EndedLoad, ratio: f64, max: usize) {
        if !load.is_limited || ratio >= MAX_RATIO_TO_INCREASE {
            return;
        }
        self.credit = (self.credit + 1).min(self.limit);
        if self.credit >= self.limit && self.limit < max {
            self.limit += 1;
            self.credit = 0;
        }
    }

    /// Decreases the limit if the latest loads took too long. Loads from before the latest decrease
    /// do not show its effect.
    fn add_recent(&mut self, load: EndedLoad, took: Duration, shortest: Duration) {
        if self.decreased_at.is_some_and(|at| load.accepted_at < at) {
            return;
        }
        self.recent.push_back(took);
        if self.recent.len() > MEDIAN_LOADS {
            self.recent.pop_front();
        }
        if self.recent.len() < MEDIAN_LOADS {
            return;
        }
        let mut times: Vec<Duration> = self.recent.iter().copied().collect();
        times.sort();
        let median = (times[MEDIAN_LOADS / 2 - 1] + times[MEDIAN_LOADS / 2]) / 2;
        self.median = Some(median);
        if median > shortest.mul_f64(MAX_MEDIAN_RATIO) {
            self.decrease(load.ended_at);
        }
    }

    fn decrease(&mut self, now: Instant) {
        let less = (self.limit / DECREASE_DIVISOR).max(1);
        self.limit = self.limit.saturating_sub(less).max(self.configured);
        self.credit = 0;
        self.recent.clear();
        self.decreased_at = Some(now);
    }
}
