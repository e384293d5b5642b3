//! Requests that were running on crashed targets (suspects), and quarantined requests.
//!
//! A crash has one cause. Of the requests that ran on the target, the cause is the one that crashes
//! its targets and does not run to its end. Where requests run beside others, successful runs
//! therefore count against the suspicion, and the crashes of a quarantined request no longer count
//! against others. All crashes are kept, and `causes` chooses anew with each report. `parts` holds what
//! is known of the parts of their prompts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{ControlTimeMs, Fingerprint, Incarnation, TargetId};

use super::{
    causes::{Evidence, choose_causes},
    crash_callers::CrashCallers,
    derived::Derived,
    parts::{CrashLog, PartQuarantine, PartRun, Parts, SuspectPart},
    suspect_index::SuspectIndex,
};
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

/// Identity of a request, and a less specific one of the same request that includes it: by any caller in
/// place of one, or for any adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallerIdentity {
    /// The more specific identity, such as the request by this caller.
    pub request: Fingerprint,
    /// The less specific one, such as the request by any caller.
    pub any_caller: Fingerprint,
}

/// A crashed target process.
pub(super) type Crash = (TargetId, Incarnation);

/// Quarantined request, which all instances refuse.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Target processes that crashed while the request was running on them.
    pub crashes: BTreeSet<(TargetId, Incarnation)>,
    /// Control time at which the request was quarantined, or one was permitted.
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
    /// Whether it stands for the request by any caller. Its end permits one request.
    #[serde(default)]
    pub is_any_caller: bool,
    #[serde(default)]
    pub(super) callers: CrashCallers,
    /// Number of requests permitted since it was quarantined.
    #[serde(default)]
    pub(super) permitted: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Suspect {
    /// All crashes at which it was aboard.
    pub(super) crashes: BTreeSet<Crash>,
    /// Those of `crashes` that certainly have another cause.
    #[serde(default)]
    pub(super) explained: BTreeSet<Crash>,
    pub(super) last_crash: ControlTimeMs,
    #[serde(default)]
    pub(super) completed: u64,
    /// Number of earlier quarantines.
    #[serde(default)]
    pub(super) quarantines: u32,
    /// Whether it stands for the request by any caller.
    #[serde(default)]
    pub(super) is_any_caller: bool,
    /// Callers of a request by any caller.
    #[serde(default)]
    pub(super) callers: CrashCallers,
    #[serde(default)]
    pub(super) isolation: Isolation,
}

impl Quarantined {
    /// Whether the request is certainly the cause of its crashes, and they have no other one.
    pub(super) fn is_certain(&self) -> bool {
        self.isolation == Isolation::Shared && self.suspension_ms.is_none()
    }

    fn into_suspect(self) -> Suspect {
        Suspect {
            crashes: self.crashes,
            explained: BTreeSet::new(),
            last_crash: self.since,
            completed: self.completed,
            quarantines: self.earlier,
            is_any_caller: self.is_any_caller,
            callers: self.callers,
            isolation: self.isolation,
        }
    }
}

impl Suspect {
    fn unexplained(&self) -> usize {
        self.crashes.len() - self.explained.len()
    }

    fn quarantined(
        self,
        request: Fingerprint,
        isolation: Isolation,
        is_certain: bool,
        since: ControlTimeMs,
    ) -> Quarantined {
        let is_temporary = isolation == Isolation::Shared && !is_certain;
        Quarantined {
            request,
            crashes: self.crashes,
            since,
            isolation,
            suspension_ms: is_temporary.then(|| suspension_ms(self.quarantines)),
            completed: self.completed,
            earlier: self.quarantines,
            is_any_caller: self.is_any_caller,
            callers: self.callers,
            permitted: 0,
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
    pub(crate) callers: Vec<CallerIdentity>,
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
    #[serde(skip)]
    index: Derived<SuspectIndex>,
}

impl Suspects {
    /// Rebuilds what snapshots do not include.
    pub(crate) fn rebuild_index(&mut self) {
        self.log.rebuild_index();
        self.parts.rebuild_index();
        *self.index = SuspectIndex::new(&self.suspects, &self.quarantined);
    }

    pub(crate) fn crashes(&self, request: &Fingerprint) -> u32 {
        let suspect = self.suspects.get(request).map(Suspect::unexplained);
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
        let suspect = self.suspects.get(request).map(|suspect| suspect.completed);
        let quarantined = self.quarantined.get(request).map(|q| q.completed);
        suspect.or(quarantined).unwrap_or_default()
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
        let suspects = self.suspects.iter().filter(|(_, suspect)| suspect.unexplained() > 0);
        suspects.map(|(request, suspect)| (*request, suspect.unexplained() as u32))
    }

    pub(crate) fn quarantine_of(&self, request: &Fingerprint) -> Option<&Quarantined> {
        self.quarantined.get(request)
    }

    pub(crate) fn quarantined(&self) -> impl Iterator<Item = &Quarantined> {
        self.quarantined.values()
    }

    /// Records a crash of a target process for each request; a repeated report has no effect.
    pub(crate) fn report(&mut self, report: &CrashReport, now: ControlTimeMs) {
        let (number, forgotten) = self.log.record(&report.crash, now);
        if let Some(crash) = forgotten {
            self.index.mark_changed(&crash);
        }
        self.parts.report(number, &report.parts, now);
        self.parts.complete(&report.part_runs);
        match report.isolation {
            Isolation::Shared => {
                self.record_shared(report, now);
                self.add_runs(&report.completed);
                self.update_quarantine(now);
            }
            Isolation::Alone => {
                if !self.parts.is_explained(number) {
                    self.record_alone(report, now);
                }
            }
        }
    }

    /// Records a crash for requests that ran alone, and quarantines those that crashed too many.
    fn record_alone(&mut self, report: &CrashReport, now: ControlTimeMs) {
        for request in &report.requests {
            if !self.quarantined.contains_key(request) {
                self.record_suspect(*request, report, now);
            }
        }
        self.add_runs(&report.completed);
        for request in &report.requests {
            let is_cause = |suspect: &&mut Suspect| {
                report.isolation.is_cause(suspect.unexplained(), suspect.completed)
            };
            if self.suspects.get_mut(request).filter(is_cause).is_some()
                && let Some(suspect) = self.remove_suspect(request)
            {
                self.quarantine(suspect.quarantined(*request, report.isolation, true, now));
            }
        }
    }

    /// Records a crash for requests that ran beside others, also for quarantined ones.
    fn record_shared(&mut self, report: &CrashReport, now: ControlTimeMs) {
        let crash = &report.crash;
        for request in &report.requests {
            match self.quarantined.get_mut(request) {
                Some(quarantined) => {
                    let is_new = quarantined.crashes.insert(crash.clone());
                    if is_new && quarantined.is_certain() {
                        self.index.explain(crash);
                    }
                }
                None => self.record_suspect(*request, report, now),
            }
        }
        for CallerIdentity { request, any_caller } in &report.callers {
            let quarantined = self.quarantined.get_mut(any_caller).map(|q| &mut q.callers);
            let suspect = self.suspects.get_mut(any_caller).map(|suspect| &mut suspect.callers);
            if let Some(callers) = quarantined.or(suspect) {
                callers.insert(*request, crash);
            }
        }
    }

    fn record_suspect(&mut self, request: Fingerprint, report: &CrashReport, now: ControlTimeMs) {
        let suspect = self.suspects.entry(request).or_default();
        suspect.is_any_caller |= report.any_caller.contains(&request);
        suspect.isolation = report.isolation;
        let is_new = suspect.crashes.insert(report.crash.clone());
        if is_new {
            suspect.last_crash = now;
            self.index.add_aboard(&report.crash, request);
        }
        self.index.update(request, suspect);
        if !is_new {
            return;
        }
        self.order.push_back((now, request));
        self.enforce_limit();
    }

    /// Records successful runs; enough of them clear a suspect or end its quarantine.
    pub(crate) fn complete(
        &mut self,
        completed: &[CompletedRuns],
        part_runs: &[PartRun],
        now: ControlTimeMs,
    ) {
        self.parts.complete(part_runs);
        self.add_runs(completed);
        for CompletedRuns { request, .. } in completed {
            let Some(quarantined) = self.quarantined.get_mut(request) else { continue };
            if quarantined.permitted > 0 {
                self.release(request, now);
                continue;
            }
            if Isolation::Shared.is_cause(quarantined.crashes.len(), quarantined.completed) {
                // Some of its runs succeed, so it may be a request that many share.
                if quarantined.is_certain() {
                    self.index.unexplain(&quarantined.crashes);
                }
                quarantined.suspension_ms.get_or_insert(suspension_ms(quarantined.earlier));
                continue;
            }
            self.clear(request);
        }
    }

    /// Ends a temporary quarantine; of a request by any caller, permits one. A single further crash
    /// starts the next quarantine.
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
        if quarantined.is_any_caller {
            let quarantined = self.quarantined.get_mut(&request);
            if let Some(quarantined) = quarantined {
                quarantined.permitted += 1;
                quarantined.since = now;
                quarantined.suspension_ms =
                    Some(self::suspension_ms(quarantined.earlier + quarantined.permitted));
            }
            return Ok(());
        }
        self.release(&request, now);
        Ok(())
    }

    /// Releases a request that is quarantined again after a single further crash.
    fn release(&mut self, request: &Fingerprint, now: ControlTimeMs) {
        let Some(quarantined) = self.remove_quarantined(request) else { return };
        let kept = Isolation::Shared.crashes_to_quarantine() - 1;
        let quarantines = quarantined.earlier + quarantined.permitted.max(1);
        let mut suspect = quarantined.into_suspect();
        suspect.crashes = suspect.crashes.into_iter().take(kept).collect();
        (suspect.completed, suspect.quarantines, suspect.last_crash) = (0, quarantines, now);
        self.insert_suspect(*request, suspect);
        self.order.push_back((now, *request));
        self.enforce_limit();
    }

    pub(crate) fn lift(&mut self, request: Fingerprint) -> Result<(), CommandError> {
        let numbers = self.parts.quarantined_crashes(&request);
        if self.parts.lift(&request) {
            let crashes = numbers.iter().filter_map(|number| self.log.crash(*number));
            self.forget(&crashes.cloned().collect());
            return Ok(());
        }
        match self.remove_quarantined(&request) {
            Some(quarantined) => {
                self.forget_explained(&quarantined);
                Ok(())
            }
            None => Err(CommandError::NotQuarantined(request)),
        }
    }

    /// Forgets the crashes of a request, and releases it from quarantine.
    pub(crate) fn clear(&mut self, request: &Fingerprint) {
        self.remove_suspect(request);
        if let Some(quarantined) = self.remove_quarantined(request) {
            self.forget_explained(&quarantined);
        }
    }

    /// Keeps the crashes of a released request from being blamed on others.
    fn forget_explained(&mut self, cause: &Quarantined) {
        if cause.is_certain() {
            self.forget(&cause.crashes);
        }
    }

    fn forget(&mut self, crashes: &BTreeSet<Crash>) {
        for crash in crashes {
            for request in self.index.take_aboard(crash) {
                let Some(suspect) = self.suspects.get_mut(&request) else { continue };
                suspect.crashes.remove(crash);
                suspect.explained.remove(crash);
                self.index.update(request, suspect);
                if suspect.crashes.is_empty() {
                    self.remove_suspect(&request);
                }
            }
        }
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
        if self.parts.update_quarantine(&self.log, now) {
            self.update_quarantine(now);
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

    /// Chooses the causes of all crashes anew: quarantines them, and releases requests whose crashes
    /// another cause explains.
    fn update_quarantine(&mut self, now: ControlTimeMs) {
        let candidates = self.index.candidates();
        let suspects = candidates.filter_map(|request| self.suspects.get_key_value(request));
        let suspects = suspects.map(|(request, suspect)| Evidence {
            request: *request,
            crashes: &suspect.crashes,
            completed: suspect.completed,
            is_repeated: suspect.quarantines > 0,
            callers: suspect.is_any_caller.then_some(&suspect.callers),
        });
        let quarantined = self.quarantined.values().filter(|q| q.isolation == Isolation::Shared);
        let quarantined = quarantined.map(|quarantined| Evidence {
            request: quarantined.request,
            crashes: &quarantined.crashes,
            completed: quarantined.completed,
            is_repeated: quarantined.earlier > 0 || quarantined.suspension_ms.is_some(),
            callers: quarantined.is_any_caller.then_some(&quarantined.callers),
        });
        let evidence: Vec<_> = suspects.chain(quarantined).collect();
        let is_explained = |crash: &Crash| {
            self.log.number(crash).is_some_and(|number| self.parts.is_explained(number))
        };
        let causes = choose_causes(&evidence, is_explained, |caller| self.is_trusted(caller));

        let quarantined = self.quarantined.values();
        let quarantined = quarantined.filter(|q| q.isolation == Isolation::Shared);
        let released = quarantined.filter(|q| !causes.contains_key(&q.request));
        let released: Vec<_> = released.map(|q| q.request).collect();
        for request in released {
            let Some(quarantined) = self.remove_quarantined(&request) else { continue };
            self.insert_suspect(request, quarantined.into_suspect());
            self.order.push_back((now, request));
        }
        for (request, is_certain) in causes {
            if let Some(suspect) = self.remove_suspect(&request) {
                self.quarantine(suspect.quarantined(request, Isolation::Shared, is_certain, now));
            }
        }
        self.update_explained();
        self.enforce_limit();
    }

    /// Whether the successful runs of a caller's request outweigh its crashes.
    fn is_trusted(&self, caller: &Fingerprint) -> bool {
        let suspect = self.suspects.get(caller).map(|s| (s.crashes.len(), s.completed));
        let quarantined = self.quarantined.get(caller).map(|q| (q.crashes.len(), q.completed));
        suspect.or(quarantined).is_some_and(|(crashes, completed)| {
            completed >= RUNS_PER_CRASH.saturating_mul(crashes as u64)
        })
    }

    /// Determines anew which crashes of suspects have another cause, where that may have changed.
    fn update_explained(&mut self) {
        for number in self.parts.take_changed() {
            // Crashes that the log has forgotten are not explained by parts.
            if let Some(crash) = self.log.crash(number) {
                self.index.mark_changed(crash);
            }
        }
        for request in self.index.take_outdated() {
            let suspect = self.suspects.get_mut(&request);
            let Some(suspect) = suspect.filter(|s| s.isolation == Isolation::Shared) else {
                continue;
            };
            let is_explained = |crash: &&Crash| {
                self.index.is_explained(crash)
                    || self.log.number(crash).is_some_and(|n| self.parts.is_explained(n))
            };
            suspect.explained = suspect.crashes.iter().filter(is_explained).cloned().collect();
        }
    }

    /// Whether a quarantined request is known as the cause of a crash.
    fn is_explained(&self, crash: &Crash) -> bool {
        self.index.is_explained(crash)
            || self.log.number(crash).is_some_and(|number| self.parts.is_explained(number))
    }

    fn insert_suspect(&mut self, request: Fingerprint, suspect: Suspect) {
        for crash in &suspect.crashes {
            self.index.add_aboard(crash, request);
        }
        self.index.update(request, &suspect);
        self.suspects.insert(request, suspect);
    }

    fn remove_suspect(&mut self, request: &Fingerprint) -> Option<Suspect> {
        let suspect = self.suspects.remove(request)?;
        self.index.remove(request, &suspect);
        Some(suspect)
    }

    fn quarantine(&mut self, quarantined: Quarantined) {
        if self.quarantine_order.len() >= MAX_QUARANTINED
            && let Some(oldest) = self.quarantine_order.pop_front()
            && let Some(oldest) = self.quarantined.remove(&oldest)
            && oldest.is_certain()
        {
            self.index.unexplain(&oldest.crashes);
        }
        self.quarantine_order.push_back(quarantined.request);
        if quarantined.is_certain() {
            quarantined.crashes.iter().for_each(|crash| self.index.explain(crash));
        }
        self.quarantined.insert(quarantined.request, quarantined);
    }

    fn remove_quarantined(&mut self, request: &Fingerprint) -> Option<Quarantined> {
        let quarantined = self.quarantined.remove(request)?;
        self.quarantine_order.retain(|other| other != request);
        if quarantined.is_certain() {
            self.index.unexplain(&quarantined.crashes);
        }
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
            self.remove_suspect(&request);
        }
    }
}

/// Duration of a temporary quarantine after this number of earlier ones.
pub(super) fn suspension_ms(earlier: u32) -> u64 {
    SUSPENSION_MS << earlier.min(MAX_DOUBLINGS)
}
