//! Chooses the requests that caused crashes, among those that ran beside others.
//!
//! The identities of a request are nested: all requests of one caller are also requests by any caller, and
//! all those for one adapter are also requests for any adapter. The rules are the same for both; this
//! module speaks of callers and paths.
//! If a single caller was aboard all crashes of a path, the caller is the cause. If no single caller
//! was, the path is: one cause of the crashes of several callers is likelier than one for each of
//! them. Callers whose runs on the path succeed speak for themselves only; crashes at which no other
//! caller was aboard do not count against the path.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use shallotdrum_types::Fingerprint;

use super::{
    crash_callers::CrashCallers,
    parts::SHARED_PART_CRASHES_TO_QUARANTINE,
    suspects::{Crash, Isolation},
};

/// What is known of a request that ran beside others.
pub(super) struct Evidence<'a> {
    pub(super) request: Fingerprint,
    pub(super) crashes: &'a BTreeSet<Crash>,
    pub(super) completed: u64,
    /// Whether it was quarantined before, or ran successfully since.
    pub(super) is_repeated: bool,
    /// Callers, if it stands for the request by any caller.
    pub(super) callers: Option<&'a CrashCallers>,
}

/// Returns the causes, and whether each is certainly the only one of its crashes.
///
/// `is_explained` holds for crashes with another known cause, `is_trusted` for callers whose runs
/// outweigh their crashes.
pub(super) fn choose_causes(
    evidence: &[Evidence<'_>],
    is_explained: impl Fn(&Crash) -> bool,
    is_trusted: impl Fn(&Fingerprint) -> bool,
) -> BTreeMap<Fingerprint, bool> {
    let needed = Isolation::Shared.crashes_to_quarantine();
    let suspects: Vec<_> = evidence.iter().filter(|e| e.crashes.len() >= needed).collect();
    let callers = suspects.iter().filter(|suspect| suspect.callers.is_none()).copied();
    let mut causes = choose_callers(callers, &is_explained);
    let mut certain: BTreeMap<&Crash, Vec<Fingerprint>> = BTreeMap::new();
    for suspect in suspects.iter().filter(|suspect| causes.get(&suspect.request) == Some(&true)) {
        for crash in suspect.crashes {
            certain.entry(crash).or_default().push(suspect.request);
        }
    }
    for path in &suspects {
        let Some(callers) = path.callers else { continue };
        let has_other_cause = |crash: &Crash| {
            let mut others = certain.get(crash).into_iter().flatten();
            others.any(|cause| !callers.contains(cause)) || is_explained(crash)
        };
        if is_path_cause(path, callers, has_other_cause, &is_trusted) {
            causes.insert(path.request, false);
        }
    }
    causes
}

/// Whether a request by any caller is the cause of its crashes that have no other one. Ends as soon as
/// enough of them are found, since more of them do not change that.
fn is_path_cause(
    path: &Evidence<'_>,
    callers: &CrashCallers,
    has_other_cause: impl Fn(&Crash) -> bool,
    is_trusted: impl Fn(&Fingerprint) -> bool,
) -> bool {
    if !Isolation::Shared.is_cause(path.crashes.len(), path.completed) {
        return false;
    }
    // Earlier releases do not report callers.
    let is_suspicious = |crash: &Crash| match callers.aboard(crash) {
        Some(aboard) => aboard.iter().any(|caller| !is_trusted(caller)),
        None => true,
    };
    let mut caused = 0;
    // Callers that were aboard all crashes so far.
    let mut aboard_all: Option<BTreeSet<Fingerprint>> = None;
    for crash in path.crashes {
        if has_other_cause(crash) || !is_suspicious(crash) {
            continue;
        }
        caused += 1;
        let aboard = callers.aboard(crash);
        aboard_all = match (aboard_all, aboard) {
            (_, None) => Some(BTreeSet::new()),
            (None, Some(aboard)) => Some(aboard.clone()),
            (Some(mut all), Some(aboard)) => {
                all.retain(|caller| aboard.contains(caller));
                Some(all)
            }
        };
        let is_one_caller = aboard_all.as_ref().is_some_and(|all| !all.is_empty());
        if !is_one_caller && Isolation::Shared.is_cause(caused, path.completed) {
            return true;
        }
    }
    false
}

/// Chooses the causes among requests of known callers, the likeliest ones first, as their crashes
/// then no longer count against the others.
fn choose_callers<'a>(
    suspects: impl Iterator<Item = &'a Evidence<'a>>,
    is_explained: impl Fn(&Crash) -> bool,
) -> BTreeMap<Fingerprint, bool> {
    let mut causes = BTreeMap::new();
    let mut explained: BTreeSet<&Crash> = BTreeSet::new();
    let count = |suspect: &Evidence<'_>, explained: &BTreeSet<&Crash>| {
        let caused = |crash: &&Crash| !explained.contains(crash) && !is_explained(crash);
        suspect.crashes.iter().filter(caused).count()
    };
    let mut suspects: Vec<_> = suspects.map(|s| (count(s, &explained), s)).collect();
    loop {
        suspects.retain(|(caused, s)| Isolation::Shared.is_cause(*caused, s.completed));
        let likelihood =
            |(caused, suspect): &(usize, &Evidence<'_>)| (suspect.completed, Reverse(*caused));
        let Some(likeliest) = suspects.iter().map(likelihood).min() else { return causes };
        let equal: Vec<_> = suspects.extract_if(.., |s| likelihood(s) == likeliest).collect();
        // The next crash usually tells them apart.
        let Reverse(crashes) = likeliest.1;
        if equal.len() > 1 && crashes < SHARED_PART_CRASHES_TO_QUARANTINE {
            continue;
        }
        for (_, cause) in &equal {
            let is_certain = equal.len() == 1 && cause.completed == 0 && !cause.is_repeated;
            causes.insert(cause.request, is_certain);
            if is_certain {
                explained.extend(cause.crashes);
                for (caused, suspect) in &mut suspects {
                    *caused = count(suspect, &explained);
                }
            }
        }
    }
}
