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

/// Maximum number of identities per generation, about half a megabyte; runs of further ones are not
/// counted.
const MAX_IDENTITIES: usize = 8_192;

/// Runs that were not reported to the control log, by identity.
#[derive(Debug)]
pub(crate) struct RunCounts {
    current: HashMap<Fingerprint, u64>,
    previous: HashMap<Fingerprint, u64>,
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
            *self.current.entry(request).or_default() += 1;
        }
    }

    /// Number of runs that were not reported.
    pub(crate) fn unreported(&self, request: &Fingerprint) -> u64 {
        let count = |runs: &HashMap<_, u64>| runs.get(request).copied().unwrap_or_default();
        count(&self.current) + count(&self.previous)
    }

    /// Returns the runs of these identities that were not reported, and counts them as reported.
    pub(crate) fn take(&mut self, requests: &[Fingerprint]) -> Vec<CompletedRuns> {
        let take = |request: &Fingerprint| {
            let runs = self.current.remove(request).unwrap_or_default()
                + self.previous.remove(request).unwrap_or_default();
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
