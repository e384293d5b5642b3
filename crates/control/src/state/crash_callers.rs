//! Callers that were aboard the crashes of a request by any caller.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use shallotdrum_types::Fingerprint;

use super::suspects::Crash;

/// Crashes by the callers whose requests were aboard; encoded as a map of these.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct CrashCallers {
    crashes: BTreeMap<Fingerprint, BTreeSet<Crash>>,
    /// The same by crash.
    aboard: BTreeMap<Crash, BTreeSet<Fingerprint>>,
}

impl CrashCallers {
    pub(super) fn insert(&mut self, caller: Fingerprint, crash: &Crash) {
        self.crashes.entry(caller).or_default().insert(crash.clone());
        self.aboard.entry(crash.clone()).or_default().insert(caller);
    }

    pub(super) fn contains(&self, caller: &Fingerprint) -> bool {
        self.crashes.contains_key(caller)
    }

    /// Callers that were aboard a crash; `None` if none is known.
    pub(super) fn aboard(&self, crash: &Crash) -> Option<&BTreeSet<Fingerprint>> {
        self.aboard.get(crash)
    }
}

impl Serialize for CrashCallers {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.crashes.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for CrashCallers {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let crashes: BTreeMap<Fingerprint, BTreeSet<Crash>> =
            Deserialize::deserialize(deserializer)?;
        let mut aboard: BTreeMap<Crash, BTreeSet<Fingerprint>> = BTreeMap::new();
        for (caller, crashes) in &crashes {
            for crash in crashes {
                aboard.entry(crash.clone()).or_default().insert(*caller);
            }
        }
        Ok(Self { crashes, aboard })
    }
}
