//! Counts of the successful runs of requests on this instance, as evidence against a suspicion.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use shallotdrum_control::CompletedRuns;
use shallotdrum_types::Fingerprint;
use tokio::time::Instant;

/// Time for which a run is remembered at least: longer than a request that fails repeatedly takes
/// to be quarantined.
const RUN_MEMORY: Duration = Duration::from_secs(30);

/// Maximum number of identities per generation, about 1 MB; a request has up to four. Runs of further
/// ones are not counted.
const MAX_IDENTITIES: usize = 16_384;

/// Runs of one identity.
#[derive(Clone, Copy, Debug, Default)]
struct Runs {
    total: u64,
    /// Those that were not reported to the control log.
    unreported: u64,
}

/// Recent runs by identity.
#[derive(Debug)]
pub(crate) struct RunCounts {
    current: HashMap<Fingerprint, Runs>,
    previous: HashMap<Fingerprint, Runs>,
    rotated_at: Instant,
    /// Identities whose runs are to be reported soon.
    due: BTreeSet<Fingerprint>,
}

impl RunCounts {
    pub(crate) fn new() -> Self {
        let (current, previous, due) = Default::default();
        Self { current, previous, rotated_at: Instant::now(), due }
    }

    /// Counts a run.
    pub(crate) fn add(&mut self, request: Fingerprint) {
        if self.rotated_at.elapsed() >= RUN_MEMORY {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = Instant::now();
        }
        if self.current.len() < MAX_IDENTITIES || self.current.contains_key(&request) {
            let runs = self.current.entry(request).or_default();
            runs.total += 1;
            runs.unreported += 1;
        }
    }

    /// Number of runs, reported or not.
    pub(crate) fn remembered(&self, request: &Fingerprint) -> u64 {
        self.sum(request, |runs| runs.total)
    }

    /// Number of runs that were not reported.
    pub(crate) fn unreported(&self, request: &Fingerprint) -> u64 {
        self.sum(request, |runs| runs.unreported)
    }

    fn sum(&self, request: &Fingerprint, count: impl Fn(&Runs) -> u64) -> u64 {
        let generations = [&self.current, &self.previous];
        generations.iter().filter_map(|runs| runs.get(request)).map(count).sum()
    }

    /// Returns the runs of these identities that were not reported, and counts them as reported.
    pub(crate) fn take(&mut self, requests: &[Fingerprint]) -> Vec<CompletedRuns> {
        let take = |request: &Fingerprint| {
            let generations = [&mut self.current, &mut self.previous];
            let runs = generations.into_iter().filter_map(|runs| runs.get_mut(request));
            let runs = runs.map(|runs| std::mem::take(&mut runs.unreported)).sum();
            (runs > 0).then_some(CompletedRuns { request: *request, runs })
        };
        requests.iter().filter_map(take).collect()
    }

    /// Marks the runs of an identity as due; `true` if none were.
    pub(crate) fn mark_due(&mut self, request: Fingerprint) -> bool {
        let is_first = self.due.is_empty();
        self.due.insert(request);
        is_first
    }

    /// Returns the runs that are due, and counts them as reported.
    pub(crate) fn take_due(&mut self) -> Vec<CompletedRuns> {
        let due: Vec<_> = std::mem::take(&mut self.due).into_iter().collect();
        self.take(&due)
    }
}
