//! Parts of prompts that were in requests on crashed targets.
//!
//! A part that crashes its targets does so in each request. A single successful run on a part that
//! began when a crash was known therefore shows that the crash had another cause. Parts that ran
//! successfully before their first crash may be shared by most requests, so that they are aboard
//! each crash; they are suspected only when enough time has passed for such a run.
//!
//! The causes are the fewest parts that explain the crashes. They are chosen anew with each crash,
//! so that a part which was aboard by chance is released when the actual cause shows.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, VecDeque},
};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{ControlTimeMs, Fingerprint, Incarnation, TargetId};

use super::{derived::Derived, suspects::suspension_ms};
use crate::CommandError;

/// Number of crashes after which a part without any successful run is quarantined, if no other part
/// is as likely. A request that moves from one crashed target to the next victim takes its parts with
/// it twice.
pub const PART_CRASHES_TO_QUARANTINE: usize = 3;
/// Number of crashes after which any other part is quarantined: one that ran successfully before,
/// the first one of a prompt, which many requests share, and one of several equally likely parts.
pub const SHARED_PART_CRASHES_TO_QUARANTINE: usize = 5;
/// Time after which a crash counts. Each instance with requests on the target reports it, and the
/// cause may be in the last report.
pub const CRASH_SETTLE_MS: u64 = 200;
/// Time after its first crash for which a part with `SHARED_PART_CRASHES_TO_QUARANTINE` is
/// observed. A run takes some hundred milliseconds, and its report about one second.
pub const PART_OBSERVATION_MS: u64 = 2_000;
/// The same for the first part of a prompt, whose quarantine refuses all requests of a route.
pub const FIRST_PART_OBSERVATION_MS: u64 = 4_000;
/// The same for the first part of a prompt if it ran successfully before.
pub const SHARED_FIRST_PART_OBSERVATION_MS: u64 = 10_000;
/// Control time after its last crash at which a part is cleared. Parts of sessions never come
/// again.
pub const PART_LIFETIME_MS: u64 = 60 * 60 * 1_000;
/// Maximum number of suspected and quarantined parts.
const MAX_PARTS: usize = 10_000;
/// Number of crashes whose targets are remembered; more do not happen within the minutes for which
/// an entry may report one.
const MAX_CRASHES: usize = 512;

/// A crashed target process.
type Crash = (TargetId, Incarnation);

/// Part of a prompt in a request that was running on a crashed target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SuspectPart {
    /// Identifies the part.
    pub part: Fingerprint,
    /// Whether the prompt begins with the part.
    #[serde(default)]
    pub is_first: bool,
}

/// Successful run of a request with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRun {
    /// Identifies the part.
    pub part: Fingerprint,
    /// Number of crashes that the instance knew of when the run began.
    pub crashes_known: u64,
}

/// Numbers of the latest crashes, in the order in which they were recorded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct CrashLog {
    last: u64,
    crashes: VecDeque<LoggedCrash>,
    #[serde(skip)]
    numbers: Derived<BTreeMap<Crash, u64>>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LoggedCrash {
    number: u64,
    at: ControlTimeMs,
    crash: Crash,
}

impl CrashLog {
    /// Records a crash and returns its number, and the crash that is forgotten for it; a known one
    /// keeps its own number.
    pub(super) fn record(&mut self, crash: &Crash, now: ControlTimeMs) -> (u64, Option<Crash>) {
        if let Some(number) = self.number(crash) {
            return (number, None);
        }
        self.last += 1;
        self.numbers.insert(crash.clone(), self.last);
        let logged = LoggedCrash { number: self.last, at: now, crash: crash.clone() };
        self.crashes.push_back(logged);
        let is_full = self.crashes.len() > MAX_CRASHES;
        let forgotten = self.crashes.pop_front_if(|_| is_full).map(|logged| logged.crash);
        if let Some(crash) = &forgotten {
            self.numbers.remove(crash);
        }
        (self.last, forgotten)
    }

    /// Rebuilds what snapshots do not include.
    pub(super) fn rebuild_index(&mut self) {
        let numbers = self.crashes.iter().map(|logged| (logged.crash.clone(), logged.number));
        *self.numbers = numbers.collect();
    }

    pub(super) fn number(&self, crash: &Crash) -> Option<u64> {
        self.numbers.get(crash).copied()
    }

    pub(super) fn crash(&self, number: u64) -> Option<&Crash> {
        // The numbers are consecutive.
        let offset = number.checked_sub(self.crashes.front()?.number)?;
        self.crashes.get(usize::try_from(offset).ok()?).map(|logged| &logged.crash)
    }

    /// Number of the latest crash that counts.
    fn settled(&self, now: ControlTimeMs) -> u64 {
        let is_recent = |logged: &&LoggedCrash| now.0.saturating_sub(logged.at.0) < CRASH_SETTLE_MS;
        self.last - self.crashes.iter().rev().take_while(is_recent).count() as u64
    }

    pub(super) fn last(&self) -> u64 {
        self.last
    }
}

/// Temporary quarantine of a part. Its end permits one request, which decides how it goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartQuarantine {
    /// Control time at which the part was quarantined, or a request was permitted.
    pub since: ControlTimeMs,
    /// Time from `since` to the next permitted request, in milliseconds.
    pub suspension_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct PartState {
    /// Numbers of the crashes that may have been caused by the part.
    crashes: BTreeSet<u64>,
    first_crash: ControlTimeMs,
    last_crash: ControlTimeMs,
    #[serde(default)]
    is_first: bool,
    /// Whether a run on the part succeeded shortly before its first crash or since then.
    #[serde(default)]
    had_runs: bool,
    #[serde(default)]
    quarantine: Option<PartQuarantine>,
    /// Number of requests permitted by the end of a quarantine.
    #[serde(default)]
    permitted: u32,
}

impl PartState {
    /// Number of crashes, and time after the first one, that show the part to be their cause.
    fn evidence_needed(&self) -> (usize, u64) {
        match (self.had_runs, self.is_first) {
            (false, false) => (PART_CRASHES_TO_QUARANTINE, 0),
            (true, false) => (SHARED_PART_CRASHES_TO_QUARANTINE, PART_OBSERVATION_MS),
            (false, true) => (SHARED_PART_CRASHES_TO_QUARANTINE, FIRST_PART_OBSERVATION_MS),
            (true, true) => (SHARED_PART_CRASHES_TO_QUARANTINE, SHARED_FIRST_PART_OBSERVATION_MS),
        }
    }

    /// Weighs the crashes that are not explained, if they are enough to suspect the part.
    fn suspicion(&self, explained: &NumberSet, settled: u64) -> Option<Suspicion> {
        let (needed, _) = self.evidence_needed();
        if self.crashes.len() < needed {
            return None;
        }
        let caused = self.crashes.range(..=settled).filter(|number| !explained.contains(**number));
        let caused = caused.count();
        let surplus = Reverse(caused.checked_sub(needed)?);
        Some(Suspicion { is_first: self.is_first, surplus, had_runs: self.had_runs, caused })
    }

    /// Control time from which the part is observed long enough.
    fn observed_at(&self) -> ControlTimeMs {
        ControlTimeMs(self.first_crash.0.saturating_add(self.evidence_needed().1))
    }
}

/// Numbers of crashes, which lie close together.
#[derive(Debug, Default)]
struct NumberSet {
    first: u64,
    present: VecDeque<bool>,
}

impl NumberSet {
    fn insert(&mut self, number: u64) {
        if self.present.is_empty() {
            self.first = number;
        }
        while number < self.first {
            self.first -= 1;
            self.present.push_front(false);
        }
        let offset = (number - self.first) as usize;
        if offset >= self.present.len() {
            self.present.resize(offset + 1, false);
        }
        self.present[offset] = true;
    }

    fn contains(&self, number: u64) -> bool {
        let offset = number.checked_sub(self.first).and_then(|offset| usize::try_from(offset).ok());
        offset.and_then(|offset| self.present.get(offset)).is_some_and(|present| *present)
    }
}

/// How strongly a part is suspected; the likeliest cause is the least one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Suspicion {
    is_first: bool,
    /// Crashes beyond those needed.
    surplus: Reverse<usize>,
    had_runs: bool,
    caused: usize,
}

/// Suspected and quarantined parts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Parts {
    parts: BTreeMap<Fingerprint, PartState>,
    /// Crashes of `parts`, oldest first; an entry is stale if the part crashed again later.
    order: VecDeque<(ControlTimeMs, Fingerprint)>,
    /// Control time of the latest report of a crash.
    reported: ControlTimeMs,
    #[serde(skip)]
    index: Derived<PartIndex>,
}

/// What a report changes or asks for, so that it does not go through all parts.
#[derive(Clone, Debug, Default)]
struct PartIndex {
    /// Parts that were aboard each crash.
    aboard: BTreeMap<u64, BTreeSet<Fingerprint>>,
    /// Parts with `PART_CRASHES_TO_QUARANTINE` crashes or more.
    candidates: BTreeSet<Fingerprint>,
    quarantined: BTreeSet<Fingerprint>,
    /// Number of quarantined parts that were aboard each crash.
    explained: BTreeMap<u64, usize>,
    /// Crashes that became explained, or are no longer.
    changed: BTreeSet<u64>,
    /// Last choice of causes; absent if the evidence has changed since then.
    decision: Option<Decision>,
}

/// When the last choice of causes must be made anew, if the evidence does not change.
#[derive(Clone, Copy, Debug)]
struct Decision {
    /// Number of the latest crash that counted.
    settled: u64,
    /// Earliest control time at which a part that is likely enough has been observed long enough.
    observed_at: Option<ControlTimeMs>,
}

impl PartIndex {
    fn explain(&mut self, number: u64) {
        let parts = self.explained.entry(number).or_default();
        *parts += 1;
        if *parts == 1 {
            self.changed.insert(number);
        }
    }

    fn unexplain(&mut self, number: u64) {
        let Some(parts) = self.explained.get_mut(&number) else { return };
        *parts -= 1;
        if *parts == 0 {
            self.explained.remove(&number);
            self.changed.insert(number);
        }
    }

    fn add_aboard(&mut self, number: u64, part: Fingerprint) {
        self.aboard.entry(number).or_default().insert(part);
    }

    fn remove_aboard(&mut self, number: u64, part: &Fingerprint) {
        let Some(parts) = self.aboard.get_mut(&number) else { return };
        parts.remove(part);
        if parts.is_empty() {
            self.aboard.remove(&number);
        }
    }
}

impl Parts {
    pub(super) fn crashes(&self, part: &Fingerprint) -> u32 {
        self.parts.get(part).map_or(0, |state| state.crashes.len() as u32)
    }

    /// Crashes of a quarantined part.
    pub(super) fn quarantined_crashes(&self, part: &Fingerprint) -> BTreeSet<u64> {
        let state = self.parts.get(part).filter(|state| state.quarantine.is_some());
        state.map(|state| state.crashes.clone()).unwrap_or_default()
    }

    pub(super) fn is_counted(&self, part: &Fingerprint, number: u64) -> bool {
        self.parts.get(part).is_some_and(|state| state.crashes.contains(&number))
    }

    pub(super) fn had_runs(&self, part: &Fingerprint) -> bool {
        self.parts.get(part).is_some_and(|state| state.had_runs)
    }

    pub(super) fn quarantine(&self, part: &Fingerprint) -> Option<PartQuarantine> {
        self.parts.get(part)?.quarantine
    }

    /// All parts with their numbers of crashes, and whether they are quarantined.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Fingerprint, u32, bool)> {
        let row = |(part, state): (&Fingerprint, &PartState)| {
            (*part, state.crashes.len() as u32, state.quarantine.is_some())
        };
        self.parts.iter().map(row)
    }

    /// Whether a quarantined part is known as the cause of a crash.
    pub(super) fn is_explained(&self, number: u64) -> bool {
        self.index.explained.contains_key(&number)
    }

    /// Takes the crashes that became explained, or are no longer, since the last call.
    pub(super) fn take_changed(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.index.changed)
    }

    /// Rebuilds what snapshots do not include.
    pub(super) fn rebuild_index(&mut self) {
        let mut index = PartIndex::default();
        for (part, state) in &self.parts {
            for number in &state.crashes {
                index.add_aboard(*number, *part);
                if state.quarantine.is_some() {
                    index.explain(*number);
                }
            }
            if state.crashes.len() >= PART_CRASHES_TO_QUARANTINE {
                index.candidates.insert(*part);
            }
            if state.quarantine.is_some() {
                index.quarantined.insert(*part);
            }
        }
        *self.index = index;
    }

    /// Records a crash for the parts that were aboard.
    pub(super) fn report(&mut self, number: u64, parts: &[SuspectPart], now: ControlTimeMs) {
        self.reported = now;
        for SuspectPart { part, is_first } in parts {
            let state = self.parts.entry(*part).or_default();
            if !state.crashes.insert(number) {
                continue;
            }
            let becomes_first = *is_first && !state.is_first;
            // A crash that has not settled changes nothing yet.
            if becomes_first || self.index.decision.is_some_and(|d| number <= d.settled) {
                self.index.decision = None;
            }
            if state.crashes.len() == 1 {
                state.first_crash = now;
            }
            state.last_crash = now;
            state.is_first |= *is_first;
            self.order.push_back((now, *part));
            self.index.add_aboard(number, *part);
            if state.crashes.len() >= PART_CRASHES_TO_QUARANTINE {
                self.index.candidates.insert(*part);
            }
            if state.quarantine.is_some() {
                self.index.explain(number);
            }
        }
        while self.order.len() > MAX_PARTS {
            self.drop_oldest();
        }
    }

    /// Records successful runs, which show that the crashes known before had other causes.
    pub(super) fn complete(&mut self, runs: &[PartRun]) {
        for PartRun { part, crashes_known } in runs {
            let Some(state) = self.parts.get_mut(part) else { continue };
            if !std::mem::replace(&mut state.had_runs, true) {
                self.index.decision = None;
            }
            let was_quarantined = state.quarantine.is_some();
            let earlier: Vec<_> = state.crashes.range(..=crashes_known).copied().collect();
            self.remove_crashes(part, &earlier);
            if was_quarantined && !self.parts.contains_key(part) {
                // It was the cause until its targets changed.
                self.explain(&earlier);
            }
        }
    }

    /// Chooses the causes of the crashes that have settled, and quarantines them. Returns whether that
    /// changed any quarantine.
    pub(super) fn update_quarantine(&mut self, log: &CrashLog, now: ControlTimeMs) -> bool {
        let undecided = CRASH_SETTLE_MS + SHARED_FIRST_PART_OBSERVATION_MS;
        if now.0.saturating_sub(self.reported.0) > undecided {
            return false;
        }
        let settled = log.settled(now);
        let is_due = |decision: Decision| {
            decision.settled != settled || decision.observed_at.is_some_and(|at| at <= now)
        };
        if self.index.decision.is_some_and(|decision| !is_due(decision)) {
            return false;
        }
        let (causes, observed_at) = self.causes(settled, now);
        let released = self.index.quarantined.difference(&causes).copied();
        let released: Vec<_> = released.collect();
        let added: Vec<_> = causes.difference(&self.index.quarantined).copied().collect();
        for part in &released {
            self.set_quarantine(part, None);
        }
        for part in &added {
            let permitted = self.parts.get(part).map_or(0, |state| state.permitted);
            let suspension_ms = suspension_ms(permitted);
            self.set_quarantine(part, Some(PartQuarantine { since: now, suspension_ms }));
        }
        let has_changed = !released.is_empty() || !added.is_empty();
        // A quarantine decides between parts that are equally likely, so that one that changed may change
        // the next choice.
        self.index.decision = (!has_changed).then_some(Decision { settled, observed_at });
        has_changed
    }

    /// The likeliest causes of all crashes. Waits while one of them must be observed longer, or while
    /// several are equally likely. Also returns when the observation of such a part ends.
    fn causes(
        &self,
        settled: u64,
        now: ControlTimeMs,
    ) -> (BTreeSet<Fingerprint>, Option<ControlTimeMs>) {
        let mut causes = BTreeSet::new();
        let mut explained = NumberSet::default();
        let suspicion = |part: &Fingerprint, explained: &NumberSet| {
            Some((self.parts[part].suspicion(explained, settled)?, *part))
        };
        let candidates = self.index.candidates.iter();
        let mut suspects: Vec<_> =
            candidates.filter_map(|part| suspicion(part, &explained)).collect();
        let mut observed_at: Option<ControlTimeMs> = None;
        loop {
            let Some(likeliest) = suspects.iter().map(|(suspicion, _)| *suspicion).min() else {
                return (causes, observed_at);
            };
            let equal = suspects.iter().filter(|(suspicion, _)| *suspicion == likeliest);
            let mut equal: Vec<_> = equal.map(|(_, part)| *part).collect();
            // The next crash usually tells the parts of a single request apart.
            if equal.len() > 1 && likeliest.caused < SHARED_PART_CRASHES_TO_QUARANTINE {
                equal.retain(|part| self.quarantine(part).is_some());
            }
            equal.retain(|part| {
                let at = self.parts[part].observed_at();
                if at > now {
                    observed_at = Some(observed_at.map_or(at, |earliest| earliest.min(at)));
                }
                at <= now
            });
            if equal.is_empty() {
                return (causes, observed_at);
            }
            for part in equal {
                self.parts[&part].crashes.range(..=settled).for_each(|n| explained.insert(*n));
                causes.insert(part);
            }
            // Suspicions only become weaker.
            suspects =
                suspects.iter().filter_map(|(_, part)| suspicion(part, &explained)).collect();
        }
    }

    /// Removes explained crashes from all parts that are not quarantined.
    fn explain(&mut self, explained: &[u64]) {
        let aboard = explained.iter().filter_map(|number| self.index.aboard.get(number));
        let aboard: BTreeSet<_> = aboard.flatten().copied().collect();
        for part in aboard.difference(&self.index.quarantined.clone()) {
            self.remove_crashes(part, explained);
        }
    }

    /// Permits one request with a quarantined part, and doubles the time to the next one.
    pub(super) fn permit(
        &mut self,
        part: Fingerprint,
        now: ControlTimeMs,
    ) -> Result<(), CommandError> {
        let Some(state) = self.parts.get_mut(&part) else { return Ok(()) };
        let Some(quarantine) = &mut state.quarantine else { return Ok(()) };
        if now.0 < quarantine.since.0.saturating_add(quarantine.suspension_ms) {
            return Err(CommandError::Suspended(part));
        }
        state.permitted += 1;
        *quarantine = PartQuarantine { since: now, suspension_ms: suspension_ms(state.permitted) };
        Ok(())
    }

    /// Forgets a quarantined part and the crashes that it explains; returns whether there is one.
    pub(super) fn lift(&mut self, part: &Fingerprint) -> bool {
        if self.quarantine(part).is_none() {
            return false;
        }
        let crashes: Vec<_> = self.quarantined_crashes(part).into_iter().collect();
        self.remove(part);
        self.explain(&crashes);
        true
    }

    /// Removes parts whose last crash is older than `PART_LIFETIME_MS`.
    pub(super) fn expire(&mut self, now: ControlTimeMs) {
        while let Some((time, _)) = self.order.front()
            && now.0.saturating_sub(time.0) >= PART_LIFETIME_MS
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((time, part)) = self.order.pop_front() else { return };
        if self.parts.get(&part).is_some_and(|state| state.last_crash == time) {
            self.remove(&part);
        }
    }

    fn set_quarantine(&mut self, part: &Fingerprint, quarantine: Option<PartQuarantine>) {
        let Some(state) = self.parts.get_mut(part) else { return };
        state.quarantine = quarantine;
        if quarantine.is_some() && self.index.quarantined.insert(*part) {
            state.crashes.iter().for_each(|number| self.index.explain(*number));
        }
        if quarantine.is_none() && self.index.quarantined.remove(part) {
            state.crashes.iter().for_each(|number| self.index.unexplain(*number));
        }
    }

    /// Removes crashes of a part, and the part itself when none are left.
    fn remove_crashes(&mut self, part: &Fingerprint, numbers: &[u64]) {
        let Some(state) = self.parts.get_mut(part) else { return };
        if self.index.candidates.contains(part) {
            self.index.decision = None;
        }
        for number in numbers.iter().filter(|number| state.crashes.remove(number)) {
            self.index.remove_aboard(*number, part);
            if state.quarantine.is_some() {
                self.index.unexplain(*number);
            }
        }
        if state.crashes.len() < PART_CRASHES_TO_QUARANTINE {
            self.index.candidates.remove(part);
        }
        if state.crashes.is_empty() {
            self.remove(part);
        }
    }

    fn remove(&mut self, part: &Fingerprint) {
        self.set_quarantine(part, None);
        let Some(state) = self.parts.remove(part) else { return };
        if self.index.candidates.remove(part) {
            self.index.decision = None;
        }
        for number in state.crashes {
            self.index.remove_aboard(number, part);
        }
    }
}
