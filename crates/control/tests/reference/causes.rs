//! Chooses the requests that caused crashes, among those that ran beside others.
//!
//! The identities of a request are nested: all requests of one caller are also requests by any caller.
//! If a single caller was aboard all crashes of a path, the caller is the cause. If no single caller
//! was, the path is: one cause of the crashes of several callers is likelier than one for each of
//! them. Callers whose runs on the path succeed speak for themselves only; crashes at which no other
//! caller was aboard do not count against the path.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use shallotdrum_control::Isolation;
use shallotdrum_types::Fingerprint;

use super::{
    parts::SHARED_PART_CRASHES_TO_QUARANTINE,
    suspects::{CallerCrashes, Crash},
};

/// What is known of a request that ran beside others.
pub(crate) struct Evidence<'a> {
    pub(crate) request: Fingerprint,
    pub(crate) crashes: &'a BTreeSet<Crash>,
    pub(crate) completed: u64,
    /// Whether it was quarantined before, or ran successfully since.
    pub(crate) is_repeated: bool,
    /// Callers, if it stands for the request by any caller.
    pub(crate) callers: Option<&'a CallerCrashes>,
}

/// Returns the causes, and whether each is certainly the only one of its crashes.
///
/// `is_explained` holds for crashes with another known cause, `is_trusted` for callers whose runs
/// outweigh their crashes.
pub(crate) fn choose_causes(
    evidence: &[Evidence<'_>],
    is_explained: impl Fn(&Crash) -> bool,
    is_trusted: impl Fn(&Fingerprint) -> bool,
) -> BTreeMap<Fingerprint, bool> {
    let needed = Isolation::Shared.crashes_to_quarantine();
    let suspects: Vec<_> = evidence.iter().filter(|e| e.crashes.len() >= needed).collect();
    let crashes = suspects.iter().flat_map(|suspect| suspect.crashes);
    let explained: BTreeSet<&Crash> = crashes.filter(|crash| is_explained(crash)).collect();

    let callers = suspects.iter().filter(|suspect| suspect.callers.is_none()).copied();
    let mut causes = choose_callers(callers.collect(), explained.clone());
    let certain: Vec<_> = suspects
        .iter()
        .filter(|suspect| causes.get(&suspect.request).is_some_and(|is_certain| *is_certain))
        .collect();
    for path in &suspects {
        let Some(callers) = path.callers else { continue };
        let is_other_cause = |crash: &Crash| {
            let mut others = certain.iter().filter(|cause| !callers.contains_key(&cause.request));
            explained.contains(crash) || others.any(|cause| cause.crashes.contains(crash))
        };
        // Earlier releases do not report callers.
        let is_suspicious = |crash: &Crash| {
            let mut aboard = callers.iter().filter(|(_, c)| c.contains(crash)).peekable();
            aboard.peek().is_none() || aboard.any(|(caller, _)| !is_trusted(caller))
        };
        let caused = path.crashes.iter().filter(|c| !is_other_cause(c) && is_suspicious(c));
        let caused: BTreeSet<_> = caused.cloned().collect();
        let is_one_caller = callers.values().any(|crashes| crashes.is_superset(&caused));
        if !is_one_caller && Isolation::Shared.is_cause(caused.len(), path.completed) {
            causes.insert(path.request, false);
        }
    }
    causes
}

/// Chooses the causes among requests of known callers, the likeliest ones first, as their crashes
/// then no longer count against the others.
fn choose_callers<'a>(
    mut suspects: Vec<&Evidence<'a>>,
    mut explained: BTreeSet<&'a Crash>,
) -> BTreeMap<Fingerprint, bool> {
    let mut causes = BTreeMap::new();
    loop {
        let caused = |suspect: &Evidence<'_>| {
            suspect.crashes.iter().filter(|crash| !explained.contains(crash)).count()
        };
        suspects.retain(|suspect| Isolation::Shared.is_cause(caused(suspect), suspect.completed));
        let likelihood = |suspect: &&Evidence<'_>| (suspect.completed, Reverse(caused(suspect)));
        let Some(likeliest) = suspects.iter().map(likelihood).min() else { return causes };
        let equal: Vec<_> =
            suspects.iter().copied().filter(|s| likelihood(s) == likeliest).collect();
        suspects.retain(|suspect| likelihood(suspect) != likeliest);
        // The next crash usually tells them apart.
        let Reverse(crashes) = likeliest.1;
        if equal.len() > 1 && crashes < SHARED_PART_CRASHES_TO_QUARANTINE {
            continue;
        }
        for cause in &equal {
            let is_certain = equal.len() == 1 && cause.completed == 0 && !cause.is_repeated;
            causes.insert(cause.request, is_certain);
            if is_certain {
                explained.extend(cause.crashes);
            }
        }
    }
}
