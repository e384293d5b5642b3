//! Requests that were running on crashed targets (suspects), and quarantined requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{ControlTimeMs, Fingerprint, Incarnation, TargetId};

use crate::CommandError;

/// Number of crashes, of different target processes, after which a request is quarantined if
/// suspects run alone. A single crash may have another cause; a second one is the suspect's.
pub const CRASHES_TO_QUARANTINE: usize = 2;
/// Number of crashes after which a request is quarantined if suspects run beside others. A request
/// that moves from one crashed target to the next victim of a crashing one has two.
pub const SHARED_CRASHES_TO_QUARANTINE: usize = 3;
/// Maximum number of suspects. A crash adds at most the requests of one target, some hundreds.
pub const MAX_SUSPECTS: usize = 10_000;
/// Maximum number of quarantined requests. Beyond it, the oldest one is released and is
/// quarantined again only after as many crashes as before.
pub const MAX_QUARANTINED: usize = 10_000;
/// Control time after its last crash at which a suspect is cleared.
pub const SUSPECT_LIFETIME_MS: u64 = 24 * 60 * 60 * 1_000;

/// How suspects run, which decides how many crashes show that a request is their cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Isolation {
    /// Alone on a target.
    #[default]
    Alone,
    /// Beside other requests.
    Shared,
}

impl Isolation {
    /// Number of crashes after which a request is quarantined.
    pub fn crashes_to_quarantine(self) -> usize {
        match self {
            Self::Alone => CRASHES_TO_QUARANTINE,
            Self::Shared => SHARED_CRASHES_TO_QUARANTINE,
        }
    }
}

/// Quarantined request, which all instances refuse.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Target processes that crashed while the request was running on them.
    pub crashes: BTreeSet<(TargetId, Incarnation)>,
    /// Control time at which the request was quarantined.
    pub since: ControlTimeMs,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Suspect {
    crashes: BTreeSet<(TargetId, Incarnation)>,
    last_crash: ControlTimeMs,
}

/// Suspects and quarantined requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Suspects {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Crashes of `suspects`, oldest first; an entry is stale if the suspect crashed again later.
    order: VecDeque<(ControlTimeMs, Fingerprint)>,
    quarantined: BTreeMap<Fingerprint, Quarantined>,
    /// Keys of `quarantined`, oldest first.
    quarantine_order: VecDeque<Fingerprint>,
}

impl Suspects {
    pub(crate) fn crashes(&self, request: &Fingerprint) -> u32 {
        let suspect = self.suspects.get(request).map(|s| s.crashes.len());
        let quarantined = self.quarantined.get(request).map(|q| q.crashes.len());
        quarantined.or(suspect).unwrap_or(0) as u32
    }

    /// Whether a crash is already counted for a request, or the request is quarantined.
    pub(crate) fn is_counted(
        &self,
        request: &Fingerprint,
        crash: &(TargetId, Incarnation),
    ) -> bool {
        self.quarantined.contains_key(request)
            || self.suspects.get(request).is_some_and(|suspect| suspect.crashes.contains(crash))
    }

    /// Suspects with their numbers of crashes; excludes quarantined requests.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = (Fingerprint, u32)> {
        self.suspects.iter().map(|(request, suspect)| (*request, suspect.crashes.len() as u32))
    }

    pub(crate) fn is_quarantined(&self, request: &Fingerprint) -> bool {
        self.quarantined.contains_key(request)
    }

    pub(crate) fn quarantined(&self) -> impl Iterator<Item = &Quarantined> {
        self.quarantined.values()
    }

    /// Records a crash of a target process for each request; a repeated report has no effect.
    pub(crate) fn report(
        &mut self,
        crash: &(TargetId, Incarnation),
        requests: Vec<Fingerprint>,
        isolation: Isolation,
        now: ControlTimeMs,
    ) {
        for request in requests {
            if self.quarantined.contains_key(&request) {
                continue;
            }
            let suspect = self.suspects.entry(request).or_default();
            if !suspect.crashes.insert(crash.clone()) {
                continue;
            }
            suspect.last_crash = now;
            if suspect.crashes.len() < isolation.crashes_to_quarantine() {
                self.order.push_back((now, request));
                self.enforce_limit();
                continue;
            }
            if let Some(suspect) = self.suspects.remove(&request) {
                self.quarantine(request, suspect.crashes, now);
            }
        }
    }

    pub(crate) fn lift(&mut self, request: Fingerprint) -> Result<(), CommandError> {
        self.quarantined.remove(&request).ok_or(CommandError::NotQuarantined(request))?;
        self.quarantine_order.retain(|other| *other != request);
        Ok(())
    }

    /// Forgets the crashes of a request that has run to its end, and releases it from quarantine.
    pub(crate) fn clear(&mut self, request: &Fingerprint) {
        self.suspects.remove(request);
        if self.quarantined.remove(request).is_some() {
            self.quarantine_order.retain(|other| other != request);
        }
    }

    /// Removes suspects whose last crash is older than `SUSPECT_LIFETIME_MS`.
    pub(crate) fn expire(&mut self, now: ControlTimeMs) {
        while let Some((time, _)) = self.order.front()
            && now.0.saturating_sub(time.0) >= SUSPECT_LIFETIME_MS
        {
            self.drop_oldest();
        }
    }

    fn quarantine(
        &mut self,
        request: Fingerprint,
        crashes: BTreeSet<(TargetId, Incarnation)>,
        since: ControlTimeMs,
    ) {
        if self.quarantine_order.len() >= MAX_QUARANTINED
            && let Some(oldest) = self.quarantine_order.pop_front()
        {
            self.quarantined.remove(&oldest);
        }
        self.quarantine_order.push_back(request);
        self.quarantined.insert(request, Quarantined { request, crashes, since });
    }

    fn enforce_limit(&mut self) {
        while self.order.len() > MAX_SUSPECTS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((time, request)) = self.order.pop_front() else { return };
        if self.suspects.get(&request).is_some_and(|suspect| suspect.last_crash == time) {
            self.suspects.remove(&request);
        }
    }
}
