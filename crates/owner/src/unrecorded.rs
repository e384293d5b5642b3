//! Crashes that this instance has detected and the control log has not recorded yet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shallotdrum_types::Fingerprint;

use crate::crash::Crash;

/// Maximum number of crashes held; beyond it, the oldest one is dropped. More targets do not crash
/// within the time for which a report is retried.
const MAX_CRASHES: usize = 256;

/// Crashes by request, until they are recorded.
#[derive(Debug, Default)]
pub(crate) struct UnrecordedCrashes {
    requests: BTreeMap<Crash, BTreeSet<Fingerprint>>,
    /// Keys of `requests`, oldest first.
    order: VecDeque<Crash>,
}

impl UnrecordedCrashes {
    /// Adds a crash for each of the requests.
    pub(crate) fn add(&mut self, crash: &Crash, requests: &[Fingerprint]) {
        if !self.requests.contains_key(crash) {
            self.order.push_back(crash.clone());
        }
        self.requests.entry(crash.clone()).or_default().extend(requests);
        while self.order.len() > MAX_CRASHES
            && let Some(oldest) = self.order.pop_front()
        {
            self.requests.remove(&oldest);
        }
    }

    /// Removes a crash.
    pub(crate) fn remove(&mut self, crash: &Crash) {
        self.requests.remove(crash);
        self.order.retain(|other| other != crash);
    }

    /// Removes a request from all crashes.
    pub(crate) fn clear(&mut self, request: &Fingerprint) {
        for requests in self.requests.values_mut() {
            requests.remove(request);
        }
    }

    /// Number of crashes of a request, without those for which `is_recorded` holds.
    pub(crate) fn count(
        &self,
        request: &Fingerprint,
        is_recorded: impl Fn(&Crash) -> bool,
    ) -> usize {
        let crashes = self.requests.iter().filter(|(_, requests)| requests.contains(request));
        crashes.filter(|(crash, _)| !is_recorded(crash)).count()
    }

    /// Returns those of the requests that still have the crash.
    pub(crate) fn retain_suspects(
        &self,
        crash: &Crash,
        requests: &[Fingerprint],
    ) -> Vec<Fingerprint> {
        let Some(suspects) = self.requests.get(crash) else { return requests.to_vec() };
        requests.iter().filter(|request| suspects.contains(request)).copied().collect()
    }
}
