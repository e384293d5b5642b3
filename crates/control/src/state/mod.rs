//! The replicated state and its transitions.
//!
//! Architecture Invariant: everything except the ledger depends only on commands for which
//! `Command::is_ledger_only` is false, and on their times. Followers receive only these commands
//! and agree with replicas on everything except the ledger. Control time is therefore kept twice:
//! the ledger's advances with every command, the shared one only with commands that followers
//! receive.

mod causes;
mod crash_callers;
mod derived;
mod groups;
mod ledger;
mod manifests;
mod parts;
mod routes;
mod sessions;
mod snapshot;
mod software;
mod suspect_index;
mod suspects;

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};
use shallotdrum_manifest::Manifest;
use shallotdrum_routes::{RouteIndex, RouteTable};
use shallotdrum_types::{
    AdapterId, BaseModelId, ControlFormat, ControlTimeMs, Digest, Epoch, Fingerprint, GroupId,
    Incarnation, InstanceId, KeyHash, LogIndex, PoolId, Revision, SessionId, SoftwareVersion,
    SubmissionId, SubscriberId, TargetId,
};

use crate::{
    CallKey, Command, CommandError, Reply, TimedCommand,
    format::{INITIAL_FORMAT, UNKNOWN_DEPARTURES_FORMAT},
};
use {
    groups::Groups,
    ledger::Ledger,
    manifests::{Manifests, PreparedManifest},
    routes::Routes,
    sessions::Sessions,
    software::SoftwareHistory,
    suspects::{CrashReport, Suspects},
};

pub use groups::{Group, GroupKind, Handover, LOST_OWNER_SETTLE_MS, MAX_GROUP_TARGETS, Target};
pub use ledger::{
    Call, CallResult, LEDGER_LIFETIME_MS, MAX_LEDGER_CALLS, MAX_RECORDED_BODY_BYTES,
    MAX_RECORDED_BYTES, MAX_RECORDED_HEADER_BYTES,
};
pub use manifests::{MAX_SUBMISSIONS, Submission};
pub use parts::{
    CRASH_SETTLE_MS, FIRST_PART_OBSERVATION_MS, PART_CRASHES_TO_QUARANTINE, PART_LIFETIME_MS,
    PART_OBSERVATION_MS, PartQuarantine, PartRun, SHARED_FIRST_PART_OBSERVATION_MS,
    SHARED_PART_CRASHES_TO_QUARANTINE, SuspectPart,
};
pub use sessions::Session;
pub use snapshot::DecodeError;
pub use software::SOFTWARE_MEMORY_MS;
pub use suspects::{
    CRASHES_TO_QUARANTINE, CallerIdentity, CompletedRuns, Isolation, MAX_QUARANTINED, MAX_SUSPECTS,
    Quarantined, RUNS_PER_CRASH, SHARED_CRASHES_TO_QUARANTINE, SUSPECT_LIFETIME_MS, SUSPENSION_MS,
};

/// Replicated control state; on followers, the ledger is empty.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlState {
    applied: LogIndex,
    shared: SharedState,
    ledger: Ledger,
}

/// Part of the state that replicas and followers share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct SharedState {
    now: ControlTimeMs,
    manifests: Manifests,
    sessions: Sessions,
    groups: Groups,
    #[serde(default)]
    software: SoftwareHistory,
    suspects: Suspects,
    #[serde(default)]
    routes: Routes,
    #[serde(default, skip_serializing_if = "AgreedFormat::is_initial")]
    format: AgreedFormat,
}

/// Format of the control log that all instances can read.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
struct AgreedFormat(ControlFormat);

impl Default for AgreedFormat {
    fn default() -> Self {
        Self(INITIAL_FORMAT)
    }
}

impl AgreedFormat {
    fn is_initial(&self) -> bool {
        self.0 == INITIAL_FORMAT
    }
}

impl ControlState {
    /// Creates the empty state, before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Index of the last command applied.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Control time. On a follower it advances only with commands that followers receive.
    pub fn now(&self) -> ControlTimeMs {
        self.shared.now.max(self.ledger.now())
    }

    /// Format of the log; commands of a newer one are not written.
    pub fn format(&self) -> ControlFormat {
        self.shared.format.0
    }

    /// Whether any instance has stopped or restarted since the log was formed.
    pub fn has_ended_sessions(&self) -> bool {
        self.shared.sessions.has_ended()
    }

    /// Whether all instances can read the command.
    pub fn allows(&self, command: &Command) -> Result<(), CommandError> {
        match (command.format(), self.format()) {
            (needed, agreed) if needed > agreed => {
                Err(CommandError::FormatNotAgreed { needed, agreed })
            }
            _ => Ok(()),
        }
    }

    /// Current manifest, once one was accepted.
    pub fn manifest(&self) -> Option<&Arc<Manifest>> {
        self.shared.manifests.current()
    }

    /// Revision of the current manifest; 0 before the first one.
    pub fn revision(&self) -> Revision {
        self.shared.manifests.revision()
    }

    /// Digest of the current manifest, once one was accepted.
    pub fn digest(&self) -> Option<Digest> {
        self.shared.manifests.digest()
    }

    /// Accepted submission with this id, if it is among the last `MAX_SUBMISSIONS`.
    pub fn submission(&self, id: &SubmissionId) -> Option<&Submission> {
        self.shared.manifests.submission(id)
    }

    /// The last `MAX_SUBMISSIONS` accepted submissions, ordered by id.
    pub fn submissions(&self) -> impl Iterator<Item = (&SubmissionId, &Submission)> {
        self.shared.manifests.submissions()
    }

    /// Subscriber that an API key belongs to, by the current manifest.
    pub fn subscriber_of_key(&self, key: &KeyHash) -> Option<&SubscriberId> {
        self.shared.manifests.subscriber_of_key(key)
    }

    /// Builds the command that replaces the manifest.
    ///
    /// The delta is computed against the current manifest. If the current revision is not `base`,
    /// the delta makes no difference and is left empty: the command is either a resent one, which
    /// gets the same reply as the first, or is refused.
    pub fn submit_command(
        &self,
        submission: SubmissionId,
        base: Revision,
        manifest: &Manifest,
    ) -> Command {
        let delta = match base == self.revision() {
            true => self.shared.manifests.diff(manifest),
            false => Default::default(),
        };
        Command::SubmitManifest {
            submission,
            base,
            delta: Box::new(delta),
            digest: manifest.digest(),
        }
    }

    /// Index of the current route table, once one was accepted.
    pub fn routes(&self) -> Option<&Arc<RouteIndex>> {
        self.shared.routes.index()
    }

    /// Revision of the current route table; 0 until one is accepted.
    pub fn route_revision(&self) -> Revision {
        self.route_table().map_or(Revision(0), |table| table.revision)
    }

    /// Current route table, once one was accepted.
    pub fn route_table(&self) -> Option<&Arc<RouteTable>> {
        self.shared.routes.table()
    }

    /// Current version of an adapter, if an operator has set one.
    pub fn adapter_version(&self, base: &BaseModelId, adapter: &AdapterId) -> Option<u64> {
        self.shared.routes.version(base, adapter)
    }

    /// Live sessions, ordered by id.
    pub fn sessions(&self) -> impl Iterator<Item = &Session> {
        self.shared.sessions.iter()
    }

    /// Live session with this id.
    pub fn session(&self, id: SessionId) -> Option<&Session> {
        self.shared.sessions.get(id)
    }

    /// Live session of an instance.
    pub fn session_of(&self, instance: &InstanceId) -> Option<&Session> {
        self.sessions().find(|session| session.info.instance == *instance)
    }

    /// Whether a live session or its instance is draining.
    pub fn is_draining(&self, id: SessionId) -> bool {
        self.session(id).is_some_and(|session| self.shared.sessions.is_draining(session))
    }

    /// Instances that operators drain, including those without a live session.
    pub fn drained_instances(&self) -> &BTreeSet<InstanceId> {
        self.shared.sessions.drained()
    }

    /// All groups, ordered by id.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.shared.groups.iter()
    }

    /// Group with this id.
    pub fn group(&self, id: &GroupId) -> Option<&Group> {
        self.shared.groups.get(id)
    }

    /// Groups of a pool, in all regions.
    pub fn groups_of_pool<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a Group> {
        self.shared.groups.of_pool(pool)
    }

    /// Registered target with this id.
    pub fn target(&self, id: &TargetId) -> Option<&Target> {
        self.shared.groups.target(id)
    }

    /// Whether this incarnation of a target gets no new requests: it is draining, or left, or was draining
    /// when it was removed.
    pub fn is_leaving(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        self.shared.groups.is_leaving(id, incarnation)
    }

    /// Whether this incarnation of a target left by itself, or a later process replaced it at its
    /// address. Departures that many others followed are forgotten.
    pub fn has_left(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        self.shared.groups.has_left(id, incarnation)
    }

    /// All registered targets, ordered by id.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.shared.groups.targets()
    }

    /// Software versions at which a stream of the pool may have begun, as far as its targets tell
    /// theirs.
    pub fn software_versions(&self, pool: &PoolId) -> Vec<SoftwareVersion> {
        self.shared.software.versions(&self.shared.groups, pool, self.shared.now)
    }

    /// Fencing token for orders from the current owner to a target.
    ///
    /// It is the epoch of the target's group, or a higher one if the target joined during the
    /// current ownership and may have seen a higher token in another group.
    pub fn fencing_token(&self, target: &TargetId) -> Option<Epoch> {
        self.shared.groups.fencing_token(target)
    }

    /// Whether all instances refuse the request.
    pub fn is_quarantined(&self, request: &Fingerprint) -> bool {
        self.shared.suspects.quarantine_of(request).is_some()
    }

    /// Quarantine of a request.
    pub fn quarantine_of(&self, request: &Fingerprint) -> Option<&Quarantined> {
        self.shared.suspects.quarantine_of(request)
    }

    /// Successful runs of a suspect since its first crash, and shortly before it.
    pub fn suspect_runs(&self, request: &Fingerprint) -> u64 {
        self.shared.suspects.completed(request)
    }

    /// Number of target processes that crashed while the request was running on them.
    pub fn suspect_crashes(&self, request: &Fingerprint) -> u32 {
        self.shared.suspects.crashes(request)
    }

    /// Whether the crash of a target process is already counted for a request, the request is
    /// quarantined, or the crash has another cause.
    pub fn is_crash_counted(&self, request: &Fingerprint, crash: &(TargetId, Incarnation)) -> bool {
        self.shared.suspects.is_counted(request, crash)
    }

    /// Number of crashes of targets recorded so far.
    pub fn crash_count(&self) -> u64 {
        self.shared.suspects.crash_count()
    }

    /// Whether a target process is known to have crashed; older crashes are forgotten.
    pub fn is_crashed(&self, process: &(TargetId, Incarnation)) -> bool {
        self.shared.suspects.is_crashed(process)
    }

    /// Quarantine of a part of prompts.
    pub fn part_quarantine(&self, part: &Fingerprint) -> Option<PartQuarantine> {
        self.shared.suspects.part_quarantine(part)
    }

    /// Whether a suspected part ran successfully shortly before its first crash or since then.
    pub fn part_had_runs(&self, part: &Fingerprint) -> bool {
        self.shared.suspects.part_had_runs(part)
    }

    /// Suspected parts of prompts with their numbers of crashes, and whether they are quarantined.
    pub fn suspect_parts(&self) -> impl Iterator<Item = (Fingerprint, u32, bool)> {
        self.shared.suspects.parts()
    }

    /// Quarantined requests, ordered by fingerprint.
    pub fn quarantine(&self) -> impl Iterator<Item = &Quarantined> {
        self.shared.suspects.quarantined()
    }

    /// Suspects with their numbers of crashes; excludes quarantined requests.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, u32)> {
        self.shared.suspects.suspects()
    }

    /// Call in the ledger; always `None` on followers. See also `is_call_unknown`.
    pub fn call(&self, key: &CallKey) -> Option<&Call> {
        self.ledger.get(key)
    }

    /// Whether the result of a call is unknown: its session reported so, or ended without a report.
    pub fn is_call_unknown(&self, call: &Call) -> bool {
        match call.result {
            CallResult::Unknown => true,
            CallResult::Pending => self.session(call.session).is_none(),
            CallResult::Answered(_) => false,
        }
    }

    /// Number of calls in the ledger; 0 on followers.
    pub fn ledger_len(&self) -> usize {
        self.ledger.len()
    }

    /// Applies the committed command at the given index.
    pub fn apply(&mut self, index: LogIndex, command: TimedCommand) -> Reply {
        self.apply_prepared(index, command, None)
    }

    /// Precomputes the expensive part of a command; `apply_prepared` uses it if it is still valid.
    pub(crate) fn prepare(&self, command: &Command) -> Option<PreparedManifest> {
        match command {
            Command::SubmitManifest { base, delta, .. } if *base == self.revision() => {
                Some(self.shared.manifests.prepare(delta))
            }
            _ => None,
        }
    }

    pub(crate) fn apply_prepared(
        &mut self,
        index: LogIndex,
        command: TimedCommand,
        prepared: Option<PreparedManifest>,
    ) -> Reply {
        self.applied = self.applied.max(index);
        let TimedCommand { at, command } = command;
        self.ledger.advance(at);
        let reply = match command.is_ledger_only() {
            true => self.apply_ledger(index, command),
            false => {
                self.shared.now = self.shared.now.max(at);
                self.shared.suspects.advance(self.shared.now);
                self.shared.apply(command, prepared)
            }
        };
        reply.unwrap_or_else(Reply::Refused)
    }

    /// Advances the applied index over commands that followers do not receive.
    pub(crate) fn skip_to(&mut self, index: LogIndex) {
        self.applied = self.applied.max(index);
    }

    fn apply_ledger(&mut self, index: LogIndex, command: Command) -> Result<Reply, CommandError> {
        let sessions = &self.shared.sessions;
        match command {
            Command::BeginCall { key, fingerprint, session, attempt } => {
                let is_live = |id| sessions.get(id).is_some();
                let begun_by = (session, attempt);
                self.ledger.begin(index, key, fingerprint, begun_by, is_live).map(Reply::Begin)
            }
            Command::FinishCall { key, session, answer } => {
                self.ledger.finish(&key, session, answer).map(|()| Reply::Done)
            }
            Command::AbandonCall { key, session, attempt } => {
                self.ledger.abandon(&key, session, &attempt).map(|()| Reply::Done)
            }
            _ => Ok(Reply::Done),
        }
    }
}

impl SharedState {
    fn apply(
        &mut self,
        command: Command,
        prepared: Option<PreparedManifest>,
    ) -> Result<Reply, CommandError> {
        let now = self.now;
        let done = |()| Reply::Done;
        match command {
            Command::OpenSession(info) => {
                let opened = self.sessions.open(info, now)?;
                if let Some(ended) = opened.ended {
                    self.groups.mark_owner_lost(ended, now);
                }
                Ok(Reply::SessionOpened(opened.session))
            }
            Command::EndSession { session } => {
                self.sessions.end(session)?;
                self.groups.mark_owner_lost(session, now);
                Ok(Reply::Done)
            }
            Command::DrainSession { session } => self.sessions.drain_session(session).map(done),
            Command::ReportLinks { session, is_cut_off } => {
                self.sessions.set_cut_off(session, is_cut_off).map(done)
            }
            Command::DrainInstance { instance, drain } => {
                self.sessions.drain_instance(instance, drain).map(done)
            }
            Command::SubmitManifest { submission, base, delta, digest } => self
                .manifests
                .submit(submission, base, &delta, digest, prepared)
                .map(Reply::ManifestAccepted),
            Command::RegisterTarget(announced) => {
                let register = |groups: &mut Groups| groups.register(announced, now);
                let registered = self.software.record_ends(&mut self.groups, now, register);
                registered.map(Reply::TargetRegistered)
            }
            Command::RemoveTarget { target, incarnation, is_leaving } => {
                let remembers_silent = self.format.0 >= UNKNOWN_DEPARTURES_FORMAT;
                let remove = |groups: &mut Groups| {
                    groups.remove(&target, incarnation, is_leaving, remembers_silent)
                };
                self.software.record_ends(&mut self.groups, now, remove).map(done)
            }
            Command::LeaveUnknown { target, newest } => {
                let leave = |groups: &mut Groups| groups.leave_unknown(&target, newest, now);
                self.software.record_ends(&mut self.groups, now, leave).map(done)
            }
            Command::DrainTarget { target, drain } => self.groups.drain(target, drain).map(done),
            Command::AssignGroup { group, session } => {
                let owner = self.sessions.get(session).ok_or(CommandError::NoSession(session))?;
                let is_owner =
                    self.groups.get(&group).is_some_and(|group| group.owner == Some(session));
                if self.sessions.is_draining(owner) && !is_owner {
                    return Err(CommandError::SessionDraining(session));
                }
                self.groups.assign(group, session).map(Reply::GroupAssigned)
            }
            Command::ReleaseGroup { group, session } => {
                self.groups.release(group, session, now).map(done)
            }
            Command::ReportCrash {
                target,
                incarnation,
                requests,
                isolation,
                any_caller,
                callers,
                completed,
                parts,
                part_runs,
            } => {
                let crash = (target, incarnation);
                let report = CrashReport {
                    crash,
                    requests,
                    isolation,
                    any_caller,
                    callers,
                    completed,
                    parts,
                    part_runs,
                };
                self.suspects.report(&report, now);
                Ok(Reply::Done)
            }
            Command::ReportRuns { completed, part_runs } => {
                self.suspects.complete(&completed, &part_runs, now);
                Ok(Reply::Done)
            }
            Command::EndSuspension { request } => {
                self.suspects.end_suspension(request, now).map(done)
            }
            Command::ClearSuspect { request } => {
                self.suspects.clear(&request);
                Ok(Reply::Done)
            }
            Command::PutRoutes { table } => Ok(Reply::RoutesInForce(self.routes.put(table))),
            Command::PatchRoutes { delta } => self.routes.patch(&delta).map(Reply::RoutesInForce),
            Command::RaiseAdapterVersion { base, adapter, version } => {
                self.routes.raise_version(base, adapter, version);
                Ok(Reply::Done)
            }
            Command::LiftQuarantine { request } => self.suspects.lift(request).map(done),
            Command::RaiseFormat { format } => {
                self.format.0 = self.format.0.max(format);
                Ok(Reply::Done)
            }
            Command::BeginCall { .. }
            | Command::FinishCall { .. }
            | Command::AbandonCall { .. }
            | Command::Tick => Ok(Reply::Done),
        }
    }
}
