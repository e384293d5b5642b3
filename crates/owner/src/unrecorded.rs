//! Crashes that this instance has detected and the control log has not recorded yet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shallotdrum_types::{Fingerprint, RequestIdentity};

use crate::crash::Crash;

/// Maximum number of crashes held; beyond it, the oldest one is dropped. More targets do not crash
/// within the time for which a report is retried.
const MAX_CRASHES: usize = 256;

/// Crashes by request, until they are recorded.
#[derive(Debug, Default)]
pub(crate) struct UnrecordedCrashes {
    /// Requests and parts of each crash, with the number of reports that are under way.
    requests: BTreeMap<Crash, BTreeMap<Fingerprint, usize>>,
    /// Keys of `requests`, oldest first.
    order: VecDeque<Crash>,
}

impl UnrecordedCrashes {
    /// Adds a crash for each of the requests.
    pub(crate) fn add(&mut self, crash: &Crash, requests: &[RequestIdentity]) {
        if !self.requests.contains_key(crash) {
            self.order.push_back(crash.clone());
        }
        let reports = self.requests.entry(crash.clone()).or_default();
        for request in blamed(requests) {
            *reports.entry(request).or_default() += 1;
        }
        while self.order.len() > MAX_CRASHES
            && let Some(oldest) = self.order.pop_front()
        {
            self.requests.remove(&oldest);
        }
    }

    /// Removes what one `add` added.
    pub(crate) fn remove(&mut self, crash: &Crash, requests: &[RequestIdentity]) {
        let Some(reports) = self.requests.get_mut(crash) else { return };
        for request in blamed(requests) {
            if let Some(count) = reports.get_mut(&request) {
                *count -= 1;
            }
        }
        reports.retain(|_, count| *count > 0);
        if reports.is_empty() {
            self.requests.remove(crash);
            self.order.retain(|other| other != crash);
        }
    }

    /// Whether a crash of this process is held for a request.
    pub(crate) fn holds(&self, crash: &Crash, request: &Fingerprint) -> bool {
        self.requests.get(crash).is_some_and(|requests| requests.contains_key(request))
    }

    /// Whether a crash of this process is held.
    pub(crate) fn contains(&self, crash: &Crash) -> bool {
        self.requests.contains_key(crash)
    }

    /// Number of crashes of a request or part, without those for which `is_recorded` holds.
    pub(crate) fn count(
        &self,
        request: &Fingerprint,
        is_recorded: impl Fn(&Crash) -> bool,
    ) -> usize {
        let crashes = self.requests.iter().filter(|(_, requests)| requests.contains_key(request));
        crashes.filter(|(crash, _)| !is_recorded(crash)).count()
    }
}

/// Identities and parts of prompts that a crash counts for.
fn blamed(requests: &[RequestIdentity]) -> BTreeSet<Fingerprint> {
    let blamed = |request: &RequestIdentity| {
        let parts = request.parts.clone();
        std::iter::once(request.request).chain((0..parts.len()).map(move |i| parts[i]))
    };
    requests.iter().flat_map(blamed).collect()
}
