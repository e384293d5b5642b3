//! Successful runs of this instance on parts of prompts, as evidence that the parts do not crash
//! their targets.
//!
//! A run counts only when its target has survived it for a while: a target may crash shortly after
//! a response is complete, and a response without a length looks complete when its target crashes.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use shallotdrum_control::PartRun;
use shallotdrum_types::Fingerprint;
use tokio::time::Instant;

use crate::crash::Crash;

/// Time for which a target must survive a run. A crash shows within some tens of milliseconds and is
/// recorded within some tens more.
pub(crate) const SURVIVAL_TIME: Duration = Duration::from_millis(500);

/// Time for which a run is remembered at least.
const RUN_MEMORY: Duration = Duration::from_secs(30);

/// Maximum number of parts per generation, about half a megabyte; runs on further ones are not
/// counted.
const MAX_PARTS: usize = 8_192;

/// Maximum number of runs whose targets have not survived them long enough: a thousand a second
/// and a few parts each.
const MAX_UNCONFIRMED: usize = 2_048;

/// Run that its target may not have survived.
#[derive(Debug)]
struct UnconfirmedRun {
    process: Crash,
    parts: Arc<[Fingerprint]>,
    crashes_known: u64,
    ended_at: Instant,
}

/// Runs by part.
#[derive(Debug)]
pub(crate) struct PartRuns {
    /// Oldest first.
    unconfirmed: VecDeque<UnconfirmedRun>,
    /// Number of crashes known when the latest run on each part began.
    current: HashMap<Fingerprint, u64>,
    previous: HashMap<Fingerprint, u64>,
    rotated_at: Instant,
    /// Parts whose runs are to be reported soon.
    due: BTreeSet<Fingerprint>,
}

impl PartRuns {
    pub(crate) fn new() -> Self {
        Self {
            unconfirmed: VecDeque::new(),
            current: HashMap::new(),
            previous: HashMap::new(),
            rotated_at: Instant::now(),
            due: BTreeSet::new(),
        }
    }

    /// Records a run that has just ended.
    pub(crate) fn add(&mut self, process: Crash, parts: &Arc<[Fingerprint]>, crashes_known: u64) {
        if parts.is_empty() || self.unconfirmed.len() >= MAX_UNCONFIRMED {
            return;
        }
        let (parts, ended_at) = (parts.clone(), Instant::now());
        self.unconfirmed.push_back(UnconfirmedRun { process, parts, crashes_known, ended_at });
    }

    /// Counts the runs that their targets have survived.
    pub(crate) fn confirm(&mut self, is_crashed: impl Fn(&Crash) -> bool) {
        if self.rotated_at.elapsed() >= RUN_MEMORY {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = Instant::now();
        }
        let has_survived = |run: &mut UnconfirmedRun| run.ended_at.elapsed() >= SURVIVAL_TIME;
        while let Some(run) = self.unconfirmed.pop_front_if(has_survived) {
            if is_crashed(&run.process) {
                continue;
            }
            for part in run.parts.iter() {
                if self.current.len() >= MAX_PARTS && !self.current.contains_key(part) {
                    continue;
                }
                let known = self.current.entry(*part).or_default();
                *known = run.crashes_known.max(*known);
            }
        }
    }

    /// Whether a run on the part is remembered.
    pub(crate) fn contains(&self, part: &Fingerprint) -> bool {
        self.current.contains_key(part) || self.previous.contains_key(part)
    }

    /// The latest remembered run on each of these parts.
    pub(crate) fn latest(&self, parts: impl Iterator<Item = Fingerprint>) -> Vec<PartRun> {
        let latest = |part| {
            let crashes_known = self.current.get(&part).or_else(|| self.previous.get(&part))?;
            Some(PartRun { part, crashes_known: *crashes_known })
        };
        parts.filter_map(latest).collect()
    }

    /// Marks the runs on parts as due; whether they are the first ones.
    pub(crate) fn mark_due(&mut self, parts: impl Iterator<Item = Fingerprint>) -> bool {
        let was_empty = self.due.is_empty();
        self.due.extend(parts);
        was_empty && !self.due.is_empty()
    }

    /// Returns the confirmed runs that are due, and whether none are left: unconfirmed ones stay due.
    pub(crate) fn take_due(&mut self) -> (Vec<PartRun>, bool) {
        let due = std::mem::take(&mut self.due);
        let unconfirmed = self.unconfirmed.iter().flat_map(|run| run.parts.iter());
        self.due = unconfirmed.filter(|part| due.contains(part)).copied().collect();
        (self.latest(due.into_iter()), self.due.is_empty())
    }
}
