//! Requests that were running on crashed targets (suspects), and quarantined requests.
//!
//! A crash has one cause. Of the requests that ran on the target, the cause is the one that crashes
//! its targets and does not run to its end. Where requests run beside others, successful runs
//! therefore count against the suspicion, and the crashes of a quarantined request no longer count
//! against others. `parts` holds what is known of the parts of their prompts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{ControlTimeMs, Fingerprint, Incarnation, TargetId};

use super::parts::{CrashLog, PartQuarantine, PartRun, Parts, SuspectPart};
use crate::CommandError;

/// Number of crashes, of different target processes, after which a request is quarantined if
/// suspects run alone. A single crash may have another cause; a second one is the suspect's.
pub const CRASHES_TO_QUARANTINE: usize = 2;
/// Number of crashes after which a request is quarantined if suspects run beside others. A request
/// that moves from one crashed target to the next victim of a crashing one has two.
pub const SHARED_CRASHES_TO_QUARANTINE: usize = 3;
/// Number of successful runs per crash from which a request that runs beside others is no suspect.
/// A crash takes about as many other requests with it, those that run on the target.
pub const RUNS_PER_CRASH: u64 = 10;
/// Duration of the first temporary quarantine of a request; each later one is twice as long. A
/// crashed target is back within a few seconds, so that most of its capacity remains even if the
/// request crashes one after each release.
pub const SUSPENSION_MS: u64 = 20_000;
/// Number of times that the duration of a temporary quarantine doubles; the last one takes an hour
/// and a half.
const MAX_DOUBLINGS: u32 = 8;
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

    /// Whether crashes show that a request is their cause, in view of its successful runs.
    pub fn is_cause(self, crashes: usize, completed: u64) -> bool {
        let is_outweighed =
            self == Self::Shared && completed >= RUNS_PER_CRASH.saturating_mul(crashes as u64);
        crashes >= self.crashes_to_quarantine() && !is_outweighed
    }
}

/// Successful runs of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedRuns {
    /// One of the identities of the request.
    pub request: Fingerprint,
    /// Number of runs.
    pub runs: u64,
}

/// A crashed target process.
type Crash = (TargetId, Incarnation);

/// Quarantined request, which all instances refuse.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Target processes that crashed while the request was running on them.
    pub crashes: BTreeSet<(TargetId, Incarnation)>,
    /// Control time at which the request was quarantined.
    pub since: ControlTimeMs,
    /// How the request ran.
    #[serde(default)]
    pub isolation: Isolation,
    /// Duration of a temporary quarantine, in milliseconds; absent until an operator lifts it.
    #[serde(default)]
    pub suspension_ms: Option<u64>,
    /// Successful runs since the first of the crashes, and shortly before it.
    #[serde(default)]
    pub completed: u64,
    /// Number of earlier quarantines.
    #[serde(default)]
    pub earlier: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Suspect {
    crashes: BTreeSet<Crash>,
    last_crash: ControlTimeMs,
    #[serde(default)]
    completed: u64,
    /// Number of earlier quarantines.
    #[serde(default)]
    quarantines: u32,
    /// Whether it stands for the request by any caller.
    #[serde(default)]
    is_any_caller: bool,
}

impl Quarantined {
    /// Whether the request is certainly the cause of its crashes, and they have no other one.
    fn is_certain(&self) -> bool {
        self.isolation == Isolation::Shared && self.suspension_ms.is_none()
    }
}

impl Suspect {
    fn quarantined(
        self,
        request: Fingerprint,
        isolation: Isolation,
        since: ControlTimeMs,
    ) -> Quarantined {
        let is_shared = self.is_any_caller || self.completed > 0 || self.quarantines > 0;
        let is_temporary = isolation == Isolation::Shared && is_shared;
        Quarantined {
            request,
            crashes: self.crashes,
            since,
            isolation,
            suspension_ms: is_temporary.then(|| suspension_ms(self.quarantines)),
            completed: self.completed,
            earlier: self.quarantines,
        }
    }
}

/// Requests that were running on a target process when it crashed.
pub(crate) struct CrashReport {
    pub(crate) crash: (TargetId, Incarnation),
    pub(crate) requests: Vec<Fingerprint>,
    pub(crate) isolation: Isolation,
    /// Those of `requests` that stand for a request by any caller.
    pub(crate) any_caller: Vec<Fingerprint>,
    pub(crate) completed: Vec<CompletedRuns>,
    /// Parts of the prompts of `requests`.
    pub(crate) parts: Vec<SuspectPart>,
    pub(crate) part_runs: Vec<PartRun>,
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
    #[serde(default)]
    log: CrashLog,
    #[serde(default)]
    parts: Parts,
}

impl Suspects {
    pub(crate) fn crashes(&self, request: &Fingerprint) -> u32 {
        let suspect = self.suspects.get(request).map(|s| s.crashes.len());
        let quarantined = self.quarantined.get(request).map(|q| q.crashes.len());
        quarantined.or(suspect).map_or_else(|| self.parts.crashes(request), |n| n as u32)
    }

    /// Number of crashes recorded so far.
    pub(crate) fn crash_count(&self) -> u64 {
        self.log.last()
    }

    /// Whether the crash of a target process was recorded; older ones are forgotten.
    pub(crate) fn is_crashed(&self, process: &Crash) -> bool {
        self.log.number(process).is_some()
    }

    pub(crate) fn part_quarantine(&self, part: &Fingerprint) -> Option<PartQuarantine> {
        self.parts.quarantine(part)
    }

    pub(crate) fn part_had_runs(&self, part: &Fingerprint) -> bool {
        self.parts.had_runs(part)
    }

    /// Parts with their numbers of crashes, and whether they are quarantined.
    pub(crate) fn parts(&self) -> impl Iterator<Item = (Fingerprint, u32, bool)> {
        self.parts.iter()
    }

    pub(crate) fn completed(&self, request: &Fingerprint) -> u64 {
        self.suspects.get(request).map_or(0, |suspect| suspect.completed)
    }

    /// Whether a crash is already counted for a request, or has another cause.
    pub(crate) fn is_counted(
        &self,
        request: &Fingerprint,
        crash: &(TargetId, Incarnation),
    ) -> bool {
        self.quarantined.contains_key(request)
            || self.suspects.get(request).is_some_and(|suspect| suspect.crashes.contains(crash))
            || self.log.number(crash).is_some_and(|n| self.parts.is_counted(request, n))
            || self.is_explained(crash)
    }

    /// Suspects with their numbers of crashes; excludes quarantined requests.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = (Fingerprint, u32)> {
        self.suspects.iter().map(|(request, suspect)| (*request, suspect.crashes.len() as u32))
    }

    pub(crate) fn quarantine_of(&self, request: &Fingerprint) -> Option<&Quarantined> {
        self.quarantined.get(request)
    }

    pub(crate) fn quarantined(&self) -> impl Iterator<Item = &Quarantined> {
        self.quarantined.values()
    }

    /// Records a crash of a target process for each request; a repeated report has no effect.
    pub(crate) fn report(&mut self, report: CrashReport, now: ControlTimeMs) {
        let CrashReport { crash, requests, isolation, any_caller, completed, parts, part_runs } =
            report;
        let number = self.log.record(&crash, now);
        self.parts.report(number, &parts, now);
        self.parts.complete(&part_runs);
        if self.parts.is_explained(number) {
            self.explain_crashes(&BTreeSet::from([crash.clone()]));
        }
        // A copy of a quarantined request that was still running explains the crash of its target.
        for request in &requests {
            if let Some(cause) = self.quarantined.get_mut(request).filter(|q| q.is_certain()) {
                cause.crashes.insert(crash.clone());
                let cause = cause.clone();
                self.explain(&cause);
            }
        }
        let is_explained = match isolation {
            Isolation::Shared => self.is_explained(&crash),
            Isolation::Alone => self.parts.is_explained(number),
        };
        for request in &requests {
            if is_explained || self.quarantined.contains_key(request) {
                continue;
            }
            let suspect = self.suspects.entry(*request).or_default();
            suspect.is_any_caller |= any_caller.contains(request);
            if !suspect.crashes.insert(crash.clone()) {
                continue;
            }
            suspect.last_crash = now;
            self.order.push_back((now, *request));
            self.enforce_limit();
        }
        self.add_runs(&completed);
        self.quarantine_causes(&requests, isolation, now);
    }

    /// Records successful runs; enough of them clear a suspect or end its quarantine.
    pub(crate) fn complete(&mut self, completed: &[CompletedRuns], part_runs: &[PartRun]) {
        self.parts.complete(part_runs);
        self.add_runs(completed);
        for CompletedRuns { request, .. } in completed {
            let Some(quarantined) = self.quarantined.get_mut(request) else { continue };
            if Isolation::Shared.is_cause(quarantined.crashes.len(), quarantined.completed) {
                // Some of its runs succeed, so it may be a request that many share.
                quarantined.suspension_ms.get_or_insert(suspension_ms(quarantined.earlier));
                continue;
            }
            self.clear(request);
        }
    }

    /// Ends a temporary quarantine. A single further crash starts the next one.
    pub(crate) fn end_suspension(
        &mut self,
        request: Fingerprint,
        now: ControlTimeMs,
    ) -> Result<(), CommandError> {
        let Some(quarantined) = self.quarantined.get(&request) else {
            return self.parts.permit(request, now);
        };
        let Some(suspension_ms) = quarantined.suspension_ms else { return Ok(()) };
        if now.0 < quarantined.since.0.saturating_add(suspension_ms) {
            return Err(CommandError::Suspended(request));
        }
        if let Some(quarantined) = self.remove_quarantined(&request) {
            let kept = Isolation::Shared.crashes_to_quarantine() - 1;
            let suspect = Suspect {
                crashes: quarantined.crashes.into_iter().take(kept).collect(),
                last_crash: now,
                quarantines: quarantined.earlier + 1,
                ..Suspect::default()
            };
            self.suspects.insert(request, suspect);
            self.order.push_back((now, request));
            self.enforce_limit();
        }
        Ok(())
    }

    pub(crate) fn lift(&mut self, request: Fingerprint) -> Result<(), CommandError> {
        match self.remove_quarantined(&request).is_some() || self.parts.lift(&request) {
            true => Ok(()),
            false => Err(CommandError::NotQuarantined(request)),
        }
    }

    /// Forgets the crashes of a request, and releases it from quarantine.
    pub(crate) fn clear(&mut self, request: &Fingerprint) {
        self.suspects.remove(request);
        self.remove_quarantined(request);
    }

    /// Removes suspects whose last crash is older than `SUSPECT_LIFETIME_MS`, and quarantines parts
    /// whose crashes have settled.
    pub(crate) fn advance(&mut self, now: ControlTimeMs) {
        while let Some((time, _)) = self.order.front()
            && now.0.saturating_sub(time.0) >= SUSPECT_LIFETIME_MS
        {
            self.drop_oldest();
        }
        self.parts.expire(now);
        let numbers = self.parts.update_quarantine(&self.log, now);
        if !numbers.is_empty() {
            let crashes = numbers.iter().filter_map(|number| self.log.crash(*number)).collect();
            self.explain_crashes(&crashes);
        }
    }

    fn add_runs(&mut self, completed: &[CompletedRuns]) {
        for CompletedRuns { request, runs } in completed {
            if let Some(quarantined) = self.quarantined.get_mut(request) {
                quarantined.completed = quarantined.completed.saturating_add(*runs);
            } else if let Some(suspect) = self.suspects.get_mut(request) {
                suspect.completed = suspect.completed.saturating_add(*runs);
            }
        }
    }

    /// Quarantines those of the requests that are the cause of their crashes, the likeliest ones
    /// first, as their crashes then no longer count against the others.
    fn quarantine_causes(
        &mut self,
        requests: &[Fingerprint],
        isolation: Isolation,
        now: ControlTimeMs,
    ) {
        loop {
            let causes = requests.iter().filter_map(|request| {
                let suspect = self.suspects.get(request)?;
                let is_cause = isolation.is_cause(suspect.crashes.len(), suspect.completed);
                is_cause.then_some(((suspect.completed, suspect.is_any_caller), *request))
            });
            let causes: BTreeSet<_> = causes.collect();
            let Some((likeliest, _)) = causes.first().copied() else { return };
            let causes = causes.into_iter().take_while(|(likelihood, _)| *likelihood == likeliest);
            let quarantined: Vec<_> = causes
                .filter_map(|(_, request)| {
                    let suspect = self.suspects.remove(&request)?;
                    Some(suspect.quarantined(request, isolation, now))
                })
                .collect();
            for quarantined in quarantined {
                self.explain(&quarantined);
                self.quarantine(quarantined);
            }
        }
    }

    /// Whether a quarantined request is known as the cause of a crash.
    fn is_explained(&self, crash: &Crash) -> bool {
        let mut certain = self.quarantined.values().filter(|q| q.is_certain());
        certain.any(|quarantined| quarantined.crashes.contains(crash))
            || self.log.number(crash).is_some_and(|number| self.parts.is_explained(number))
    }

    /// Removes the crashes of a request that is certainly their cause from all others.
    fn explain(&mut self, cause: &Quarantined) {
        if !cause.is_certain() {
            return;
        }
        // Parts keep these crashes, as one of them may be the cause of those of the request.
        self.explain_crashes(&cause.crashes);
    }

    /// Removes crashes whose cause is known from all other requests.
    fn explain_crashes(&mut self, explained: &BTreeSet<Crash>) {
        self.suspects.retain(|_, suspect| {
            suspect.crashes.retain(|crash| !explained.contains(crash));
            !suspect.crashes.is_empty()
        });
        let mut released = Vec::new();
        for other in self.quarantined.values_mut().filter(|other| other.suspension_ms.is_some()) {
            other.crashes.retain(|crash| !explained.contains(crash));
            if !Isolation::Shared.is_cause(other.crashes.len(), other.completed) {
                released.push(other.request);
            }
        }
        for request in released {
            self.remove_quarantined(&request);
        }
    }

    fn quarantine(&mut self, quarantined: Quarantined) {
        if self.quarantine_order.len() >= MAX_QUARANTINED
            && let Some(oldest) = self.quarantine_order.pop_front()
        {
            self.quarantined.remove(&oldest);
        }
        self.quarantine_order.push_back(quarantined.request);
        self.quarantined.insert(quarantined.request, quarantined);
    }

    fn remove_quarantined(&mut self, request: &Fingerprint) -> Option<Quarantined> {
        let quarantined = self.quarantined.remove(request)?;
        self.quarantine_order.retain(|other| other != request);
        Some(quarantined)
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

/// Duration of a temporary quarantine after this number of earlier ones.
pub(super) fn suspension_ms(earlier: u32) -> u64 {
    SUSPENSION_MS << earlier.min(MAX_DOUBLINGS)
}
