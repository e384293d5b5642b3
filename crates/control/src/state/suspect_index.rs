//! Index of the suspects, so that the cost of a report does not depend on how many there are.

use std::collections::{BTreeMap, BTreeSet};

use shallotdrum_types::Fingerprint;

use super::suspects::{Crash, Isolation, Quarantined, SHARED_CRASHES_TO_QUARANTINE, Suspect};

/// What a report changes or asks for.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectIndex {
    /// Suspects that were aboard each crash.
    aboard: BTreeMap<Crash, BTreeSet<Fingerprint>>,
    /// Suspects that run beside others, with `SHARED_CRASHES_TO_QUARANTINE` crashes or more.
    candidates: BTreeSet<Fingerprint>,
    /// Number of quarantined requests that are certainly the cause of each crash.
    explained: BTreeMap<Crash, usize>,
    /// Suspects for which other crashes may be explained than at the last `take_outdated`.
    outdated: BTreeSet<Fingerprint>,
}

impl SuspectIndex {
    pub(super) fn new(
        suspects: &BTreeMap<Fingerprint, Suspect>,
        quarantined: &BTreeMap<Fingerprint, Quarantined>,
    ) -> Self {
        let mut index = Self::default();
        for (request, suspect) in suspects {
            suspect.crashes.iter().for_each(|crash| index.add_aboard(crash, *request));
            index.update(*request, suspect);
        }
        for quarantined in quarantined.values().filter(|quarantined| quarantined.is_certain()) {
            quarantined.crashes.iter().for_each(|crash| index.explain(crash));
        }
        index
    }

    /// Suspects whose crashes are enough to quarantine them.
    pub(super) fn candidates(&self) -> impl Iterator<Item = &Fingerprint> {
        self.candidates.iter()
    }

    /// Whether a quarantined request is certainly the cause of a crash.
    pub(super) fn is_explained(&self, crash: &Crash) -> bool {
        self.explained.contains_key(crash)
    }

    /// Counts a quarantined request as the cause of a crash.
    pub(super) fn explain(&mut self, crash: &Crash) {
        let causes = self.explained.entry(crash.clone()).or_default();
        *causes += 1;
        if *causes == 1 {
            self.mark_changed(crash);
        }
    }

    /// Takes back what `explain` counted for a request.
    pub(super) fn unexplain(&mut self, crashes: &BTreeSet<Crash>) {
        for crash in crashes {
            let Some(causes) = self.explained.get_mut(crash) else { continue };
            *causes -= 1;
            if *causes == 0 {
                self.explained.remove(crash);
                self.mark_changed(crash);
            }
        }
    }

    /// Records that a crash became explained, or is no longer.
    pub(super) fn mark_changed(&mut self, crash: &Crash) {
        self.outdated.extend(self.aboard.get(crash).into_iter().flatten());
    }

    /// Takes the suspects for which other crashes may be explained than at the last call.
    pub(super) fn take_outdated(&mut self) -> BTreeSet<Fingerprint> {
        std::mem::take(&mut self.outdated)
    }

    /// Records that a suspect was aboard a crash.
    pub(super) fn add_aboard(&mut self, crash: &Crash, request: Fingerprint) {
        self.aboard.entry(crash.clone()).or_default().insert(request);
    }

    /// Takes the suspects that were aboard a crash.
    pub(super) fn take_aboard(&mut self, crash: &Crash) -> BTreeSet<Fingerprint> {
        self.aboard.remove(crash).unwrap_or_default()
    }

    /// Updates what depends on a suspect that was added or changed.
    pub(super) fn update(&mut self, request: Fingerprint, suspect: &Suspect) {
        let is_candidate = suspect.isolation == Isolation::Shared
            && suspect.crashes.len() >= SHARED_CRASHES_TO_QUARANTINE;
        match is_candidate {
            true => self.candidates.insert(request),
            false => self.candidates.remove(&request),
        };
        self.outdated.insert(request);
    }

    /// Removes a suspect.
    pub(super) fn remove(&mut self, request: &Fingerprint, suspect: &Suspect) {
        self.candidates.remove(request);
        self.outdated.remove(request);
        for crash in &suspect.crashes {
            let Some(requests) = self.aboard.get_mut(crash) else { continue };
            requests.remove(request);
            if requests.is_empty() {
                self.aboard.remove(crash);
            }
        }
    }
}
