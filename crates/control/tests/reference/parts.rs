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

use super::suspects::suspension_ms;
use shallotdrum_control::{CommandError, PartRun, SuspectPart};

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

/// Numbers of the latest crashes, in the order in which they were recorded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct CrashLog {
    last: u64,
    crashes: VecDeque<LoggedCrash>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LoggedCrash {
    number: u64,
    at: ControlTimeMs,
    crash: Crash,
}

impl CrashLog {
    /// Records a crash and returns its number; a known one keeps its own.
    pub(crate) fn record(&mut self, crash: &Crash, now: ControlTimeMs) -> u64 {
        if let Some(number) = self.number(crash) {
            return number;
        }
        self.last += 1;
        let crash = LoggedCrash { number: self.last, at: now, crash: crash.clone() };
        self.crashes.push_back(crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.last
    }

    pub(crate) fn number(&self, crash: &Crash) -> Option<u64> {
        // Most queries are for a recent crash.
        let mut latest = self.crashes.iter().rev();
        latest.find(|logged| logged.crash == *crash).map(|logged| logged.number)
    }

    pub(crate) fn crash(&self, number: u64) -> Option<Crash> {
        let logged = self.crashes.iter().find(|logged| logged.number == number)?;
        Some(logged.crash.clone())
    }

    /// Number of the latest crash that counts.
    fn settled(&self, now: ControlTimeMs) -> u64 {
        let is_recent = |logged: &&LoggedCrash| now.0.saturating_sub(logged.at.0) < CRASH_SETTLE_MS;
        self.last - self.crashes.iter().rev().take_while(is_recent).count() as u64
    }

    pub(crate) fn last(&self) -> u64 {
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
    fn suspicion(&self, explained: &BTreeSet<u64>, settled: u64) -> Option<Suspicion> {
        let (needed, _) = self.evidence_needed();
        if self.crashes.len() < needed {
            return None;
        }
        let caused = self.crashes.range(..=settled).filter(|number| !explained.contains(number));
        let caused = caused.count();
        let surplus = Reverse(caused.checked_sub(needed)?);
        Some(Suspicion { is_first: self.is_first, surplus, had_runs: self.had_runs, caused })
    }

    fn is_observed(&self, now: ControlTimeMs) -> bool {
        now.0.saturating_sub(self.first_crash.0) >= self.evidence_needed().1
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
pub(crate) struct Parts {
    parts: BTreeMap<Fingerprint, PartState>,
    /// Crashes of `parts`, oldest first; an entry is stale if the part crashed again later.
    order: VecDeque<(ControlTimeMs, Fingerprint)>,
    /// Control time of the latest report of a crash.
    reported: ControlTimeMs,
}

impl Parts {
    pub(crate) fn crashes(&self, part: &Fingerprint) -> u32 {
        self.parts.get(part).map_or(0, |state| state.crashes.len() as u32)
    }

    /// Crashes of a quarantined part.
    pub(crate) fn quarantined_crashes(&self, part: &Fingerprint) -> BTreeSet<u64> {
        let state = self.parts.get(part).filter(|state| state.quarantine.is_some());
        state.map(|state| state.crashes.clone()).unwrap_or_default()
    }

    pub(crate) fn is_counted(&self, part: &Fingerprint, number: u64) -> bool {
        self.parts.get(part).is_some_and(|state| state.crashes.contains(&number))
    }

    pub(crate) fn had_runs(&self, part: &Fingerprint) -> bool {
        self.parts.get(part).is_some_and(|state| state.had_runs)
    }

    pub(crate) fn quarantine(&self, part: &Fingerprint) -> Option<PartQuarantine> {
        self.parts.get(part)?.quarantine
    }

    /// All parts with their numbers of crashes, and whether they are quarantined.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Fingerprint, u32, bool)> {
        let row = |(part, state): (&Fingerprint, &PartState)| {
            (*part, state.crashes.len() as u32, state.quarantine.is_some())
        };
        self.parts.iter().map(row)
    }

    /// Whether a quarantined part is known as the cause of a crash.
    pub(crate) fn is_explained(&self, number: u64) -> bool {
        let mut quarantined = self.parts.values().filter(|state| state.quarantine.is_some());
        quarantined.any(|state| state.crashes.contains(&number))
    }

    /// Records a crash for the parts that were aboard.
    pub(crate) fn report(&mut self, number: u64, parts: &[SuspectPart], now: ControlTimeMs) {
        self.reported = now;
        for SuspectPart { part, is_first } in parts {
            let state = self.parts.entry(*part).or_default();
            if !state.crashes.insert(number) {
                continue;
            }
            if state.crashes.len() == 1 {
                state.first_crash = now;
            }
            state.last_crash = now;
            state.is_first |= *is_first;
            self.order.push_back((now, *part));
        }
        while self.order.len() > MAX_PARTS {
            self.drop_oldest();
        }
    }

    /// Records successful runs, which show that the crashes known before had other causes.
    pub(crate) fn complete(&mut self, runs: &[PartRun]) {
        for PartRun { part, crashes_known } in runs {
            let Some(state) = self.parts.get_mut(part) else { continue };
            state.had_runs = true;
            let later = state.crashes.split_off(&(crashes_known + 1));
            let earlier = std::mem::replace(&mut state.crashes, later);
            if state.crashes.is_empty()
                && let Some(PartState { quarantine: Some(_), .. }) = self.parts.remove(part)
            {
                // It was the cause until its targets changed.
                self.explain(&earlier);
            }
        }
        self.parts.retain(|_, state| !state.crashes.is_empty());
    }

    /// Chooses the causes of the crashes that have settled, and quarantines them. Returns whether that
    /// changed any quarantine.
    pub(crate) fn update_quarantine(&mut self, log: &CrashLog, now: ControlTimeMs) -> bool {
        let undecided = CRASH_SETTLE_MS + SHARED_FIRST_PART_OBSERVATION_MS;
        if now.0.saturating_sub(self.reported.0) > undecided {
            return false;
        }
        let causes = self.causes(log.settled(now), now);
        let mut has_changed = false;
        for (part, state) in &mut self.parts {
            match (causes.contains(part), state.quarantine) {
                (true, None) => {
                    let suspension_ms = suspension_ms(state.permitted);
                    state.quarantine = Some(PartQuarantine { since: now, suspension_ms });
                }
                (false, Some(_)) => state.quarantine = None,
                _ => continue,
            }
            has_changed = true;
        }
        has_changed
    }

    /// The likeliest causes of all crashes. Waits while one of them must be observed longer, or while
    /// several are equally likely.
    fn causes(&self, settled: u64, now: ControlTimeMs) -> BTreeSet<Fingerprint> {
        let (mut causes, mut explained) = (BTreeSet::new(), BTreeSet::new());
        loop {
            let suspects = self
                .parts
                .iter()
                .filter_map(|(part, state)| Some((state.suspicion(&explained, settled)?, *part)));
            let suspects: BTreeSet<_> = suspects.collect();
            let Some((likeliest, _)) = suspects.first().copied() else { return causes };
            let equal = suspects.iter().filter(|(suspicion, _)| *suspicion == likeliest);
            let mut equal: Vec<_> = equal.map(|(_, part)| *part).collect();
            // The next crash usually tells the parts of a single request apart.
            if equal.len() > 1 && likeliest.caused < SHARED_PART_CRASHES_TO_QUARANTINE {
                equal.retain(|part| self.quarantine(part).is_some());
            }
            equal.retain(|part| self.parts[part].is_observed(now));
            if equal.is_empty() {
                return causes;
            }
            for part in equal {
                explained.extend(self.parts[&part].crashes.range(..=settled));
                causes.insert(part);
            }
        }
    }

    /// Removes explained crashes from all parts that are not quarantined.
    fn explain(&mut self, explained: &BTreeSet<u64>) {
        for state in self.parts.values_mut().filter(|state| state.quarantine.is_none()) {
            state.crashes.retain(|number| !explained.contains(number));
        }
    }

    /// Permits one request with a quarantined part, and doubles the time to the next one.
    pub(crate) fn permit(
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
    pub(crate) fn lift(&mut self, part: &Fingerprint) -> bool {
        if self.quarantine(part).is_none() {
            return false;
        }
        let crashes = self.parts.remove(part).map(|state| state.crashes).unwrap_or_default();
        self.explain(&crashes);
        self.parts.retain(|_, state| !state.crashes.is_empty());
        true
    }

    /// Removes parts whose last crash is older than `PART_LIFETIME_MS`.
    pub(crate) fn expire(&mut self, now: ControlTimeMs) {
        while let Some((time, _)) = self.order.front()
            && now.0.saturating_sub(time.0) >= PART_LIFETIME_MS
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((time, part)) = self.order.pop_front() else { return };
        if self.parts.get(&part).is_some_and(|state| state.last_crash == time) {
            self.parts.remove(&part);
        }
    }
}
