//! Instances of two releases that share the control log.
//!
//! `releases/COMMIT` holds commands and the resulting snapshot as that commit wrote them: the platform's
//! first release, one before the parts of prompts were known, and the last one without formats.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use common::Log;
use rstest::rstest;
use serde_json::Value;
use shallotdrum_consensus::StateMachine;
use shallotdrum_control::{
    CUSTOMERS_FORMAT, Command, CommandError, ControlState, ControlView, DecodeError,
    INITIAL_FORMAT, LeaderState, NEWEST_FORMAT, RECORDED_DEPARTURES_FORMAT, Reply, TimedCommand,
    UNKNOWN_DEPARTURES_FORMAT,
};
use shallotdrum_routes::RouteTable;
use shallotdrum_types::{
    ControlFormat, ControlTimeMs, Incarnation, Revision, SessionId, TargetId, Term,
};

/// Time within which the log is raised once all instances can read a newer format. Longer than the
/// restart of an instance.
const RAISE_LIMIT: Duration = Duration::from_secs(20);

fn commands(release: &str) -> Vec<String> {
    let path = format!("tests/releases/{release}/commands.jsonl");
    std::fs::read_to_string(path).unwrap().lines().map(str::to_owned).collect()
}

fn snapshot(release: &str) -> Vec<u8> {
    std::fs::read(format!("tests/releases/{release}/snapshot")).unwrap()
}

fn decode(line: &str) -> TimedCommand {
    ControlView::decode(line.as_bytes()).unwrap()
}

/// Whether the commit f07eb35 can read the command. The match has no wildcard, so that a new command
/// must be placed here.
fn is_known_at_f07eb35(command: &Command) -> bool {
    match command {
        Command::ReportLinks { .. }
        | Command::LeaveUnknown { .. }
        | Command::RaiseFormat { .. } => false,
        Command::OpenSession(_)
        | Command::EndSession { .. }
        | Command::DrainSession { .. }
        | Command::DrainInstance { .. }
        | Command::SubmitManifest { .. }
        | Command::RegisterTarget(_)
        | Command::RemoveTarget { .. }
        | Command::DrainTarget { .. }
        | Command::AssignGroup { .. }
        | Command::ReleaseGroup { .. }
        | Command::BeginCall { .. }
        | Command::FinishCall { .. }
        | Command::AbandonCall { .. }
        | Command::ReportCrash { .. }
        | Command::ReportRuns { .. }
        | Command::EndSuspension { .. }
        | Command::ClearSuspect { .. }
        | Command::LiftQuarantine { .. }
        | Command::PutRoutes { .. }
        | Command::PatchRoutes { .. }
        | Command::RaiseAdapterVersion { .. }
        | Command::Tick => true,
    }
}

/// Guards against a log or a snapshot on disk that the next release cannot read, or from which it
/// computes something else.
#[rstest]
#[case("248bc0e")]
#[case("97a9259")]
#[case("f07eb35")]
fn read_earlier_release(#[case] release: &str) {
    let mut replayed = Log::default();
    for line in commands(release) {
        let TimedCommand { at, command } = decode(&line);
        replayed.now = at.0;
        replayed.apply(command);
    }
    let restored = ControlState::from_snapshot(&snapshot(release)).unwrap();
    let replayed = replayed.state;
    assert_eq!(restored.applied(), replayed.applied());
    assert_eq!(restored.revision(), Revision(1));
    assert_eq!(restored.digest(), replayed.digest());
    assert_eq!(restored.route_table(), replayed.route_table());
    assert!(restored.route_table().is_some());
    let sessions = |state: &ControlState| state.sessions().cloned().collect::<Vec<_>>();
    assert_eq!(sessions(&restored), sessions(&replayed));
    let groups = |state: &ControlState| state.groups().cloned().collect::<Vec<_>>();
    assert_eq!(groups(&restored), groups(&replayed));
    assert_eq!((restored.ledger_len(), replayed.ledger_len()), (2, 2));
    let key = common::call_key("k1");
    assert_eq!(restored.call(&key), replayed.call(&key));
    assert_eq!((restored.format(), replayed.format()), (INITIAL_FORMAT, INITIAL_FORMAT));
    // What this release writes of that state can be read again.
    assert_eq!(ControlState::from_snapshot(&restored.snapshot()).unwrap(), restored);
}

/// Guards against commands of the initial format without a field that earlier releases demand.
#[rstest]
#[case("97a9259")]
#[case("f07eb35")]
fn write_for_earlier_release(#[case] release: &str) {
    for line in commands(release) {
        let command = decode(&line);
        assert_eq!(command.command.format(), INITIAL_FORMAT);
        let written: Value = serde_json::from_slice(&ControlView::encode(&command)).unwrap();
        assert_contains(&written, &serde_json::from_str(&line).unwrap());
    }
}

/// Panics unless `value` has all fields of `expected`, with the same values; earlier releases ignore
/// others.
fn assert_contains(value: &Value, expected: &Value) {
    match (value, expected) {
        (Value::Object(value), Value::Object(expected)) => {
            for (name, expected) in expected {
                let found = value.get(name).unwrap_or_else(|| panic!("no field {name}: {value:?}"));
                assert_contains(found, expected);
            }
        }
        _ => assert_eq!(value, expected),
    }
}

/// Guards against a command that earlier releases cannot read, which would end their replicas, in a
/// log of the initial format.
#[test]
fn allows_unknown_to_earlier_release() {
    let mut log = Log::default();
    let session = log.open("fj-a", 1);
    let report = Command::ReportLinks { session, is_cut_off: true };
    let samples = commands("f07eb35").into_iter().map(|line| decode(&line).command);
    for command in samples.chain([report.clone(), Command::RaiseFormat { format: NEWEST_FORMAT }]) {
        assert_eq!(log.state.allows(&command).is_ok(), is_known_at_f07eb35(&command));
    }
    let needed = report.format();
    let refused = CommandError::FormatNotAgreed { needed, agreed: INITIAL_FORMAT };
    assert_eq!(log.state.allows(&report), Err(refused));
    assert_eq!(log.apply(Command::RaiseFormat { format: NEWEST_FORMAT }), Reply::Done);
    assert_eq!(log.state.allows(&report), Ok(()));
    // The format never goes down, and a snapshot keeps it.
    log.apply(Command::RaiseFormat { format: INITIAL_FORMAT });
    let restored = ControlState::from_snapshot(&log.state.snapshot()).unwrap();
    assert_eq!(restored.format(), NEWEST_FORMAT);
}

/// Guards against replicas that differ on whether a target has left: those of earlier releases do not keep
/// in mind which processes were removed for their silence.
#[test]
fn unknown_departure_in_log_of_earlier_release() {
    let target: TargetId = "e1".parse().unwrap();
    let remove = |incarnation, is_leaving| Command::RemoveTarget {
        target: target.clone(),
        incarnation: Incarnation(incarnation),
        is_leaving,
    };
    let mut log = Log::default();
    log.register(common::engine("e1", 7));
    log.apply(remove(7, false));
    let needed = UNKNOWN_DEPARTURES_FORMAT;
    let refused = CommandError::FormatNotAgreed { needed, agreed: INITIAL_FORMAT };
    assert_eq!(log.state.allows(&remove(0, true)), Err(refused));
    log.apply(Command::RaiseFormat { format: NEWEST_FORMAT });
    // A replica that was upgraded after the removal knows nothing of it, so no other one may.
    assert_eq!(log.apply(remove(0, true)), Reply::Done);
    log.register(common::engine("e1", 7));
}

/// Guards against the departure of an unknown target that a log of an earlier format forgets, so that a
/// delayed announcement registers the target.
#[rstest]
fn unknown_departure_in_earlier_format(#[values(1, 2, 3)] format: u64) {
    let target: TargetId = "e1".parse().unwrap();
    let mut log = Log::default();
    log.apply(Command::RaiseFormat { format: ControlFormat(format) });
    let leave = Command::LeaveUnknown { target: target.clone(), newest: Incarnation(1_000) };
    let agreed = ControlFormat(format);
    let refused = CommandError::FormatNotAgreed { needed: RECORDED_DEPARTURES_FORMAT, agreed };
    assert_eq!(log.state.allows(&leave), Err(refused));
    // What instances write in its place.
    let remove = Command::RemoveTarget {
        target: target.clone(),
        incarnation: Incarnation(1_000),
        is_leaving: true,
    };
    assert_eq!(log.state.allows(&remove), Ok(()));
    assert_eq!(log.apply(remove), Reply::Done);
    for _ in 0..2 {
        let late = log.refused(Command::RegisterTarget(common::engine("e1", 900)));
        assert_eq!(late, CommandError::TargetLeft { target: target.clone() });
        log.apply(Command::RaiseFormat { format: NEWEST_FORMAT });
    }
    log.register(common::engine("e1", 1_001));
}

/// Guards against a table with customers that an instance of an earlier release serves without checking
/// keys, and against one that is never accepted.
#[rstest]
fn customers_in_earlier_format(#[values(1, 2, 3, 4)] format: u64) {
    let agreed = ControlFormat(format);
    let with = |revision, customers| {
        Arc::new(RouteTable { revision: Revision(revision), customers, ..RouteTable::default() })
    };
    let mut log = Log::default();
    log.apply(Command::RaiseFormat { format: agreed });
    let (open, closed) = (with(1, None), with(2, Some(Vec::new())));
    let put = |base: Option<&RouteTable>, table: &Arc<RouteTable>| {
        Command::put_routes(base, table.clone()).unwrap()
    };
    assert_eq!(log.state.allows(&put(None, &open)), Ok(()));
    log.apply(put(None, &open));
    let refused = Err(CommandError::FormatNotAgreed { needed: CUSTOMERS_FORMAT, agreed });
    assert_eq!(log.state.allows(&put(None, &closed)), refused);
    assert_eq!(log.state.allows(&put(Some(&open), &closed)), refused);
    log.apply(Command::RaiseFormat { format: NEWEST_FORMAT });
    for change in [put(Some(&open), &closed), put(None, &closed)] {
        assert_eq!(log.state.allows(&change), Ok(()));
        assert_eq!(log.apply(change), Reply::RoutesInForce(Revision(2)));
    }
    let restored = ControlState::from_snapshot(&log.state.snapshot()).unwrap();
    assert_eq!(restored.route_table(), Some(&closed));
}

/// Rolling upgrade of a replica and two entries, seen by a leader of this release.
struct Upgrade {
    log: Log,
    leader: LeaderState,
    now: Instant,
    /// What each session states with its renewals.
    formats: BTreeMap<SessionId, Option<ControlFormat>>,
}

impl Upgrade {
    fn new() -> Self {
        let log = Log::default();
        let now = Instant::now();
        let leader = LeaderState::new(now, Term(1), &log.state);
        Self { leader, log, now, formats: BTreeMap::new() }
    }

    /// Starts an instance; one of an earlier release states no format.
    fn start(&mut self, instance: &str, incarnation: u64, format: Option<ControlFormat>) {
        let session = self.log.open(instance, incarnation);
        self.formats.insert(session, format);
    }

    /// Raise that the leader proposes within the time, if any.
    fn raise_within(&mut self, time: Duration) -> Option<Command> {
        let replicas = ["fj-a".parse().unwrap()];
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            self.formats.retain(|session, _| self.log.state.session(*session).is_some());
            for (session, format) in &self.formats {
                let state = &self.log.state;
                self.leader.renew(self.now, state, *session, Revision(0), Vec::new()).unwrap();
                self.leader.set_format(*session, *format);
            }
            let raise = self.leader.due_raise(self.now, &self.log.state, &replicas);
            if raise.is_some() {
                return raise;
            }
        }
        None
    }
}

/// Guards against a raise while an instance of an earlier release runs, or may come back, and against
/// one that never comes.
#[test]
fn due_raise_rolling_upgrade() {
    let raise = Command::RaiseFormat { format: NEWEST_FORMAT };
    let newest = Some(NEWEST_FORMAT);
    let mut upgrade = Upgrade::new();
    for instance in ["fj-a", "fj-b", "fj-c"] {
        upgrade.start(instance, 1, None);
    }
    upgrade.start("fj-a", 2, newest);
    upgrade.start("fj-b", 2, newest);
    assert_eq!(upgrade.raise_within(RAISE_LIMIT), None);
    upgrade.start("fj-c", 2, newest);
    assert_eq!(upgrade.raise_within(Duration::from_secs(5)), None);
    // The last one returns to its earlier release.
    upgrade.start("fj-c", 3, None);
    assert_eq!(upgrade.raise_within(RAISE_LIMIT), None);
    upgrade.start("fj-c", 4, newest);
    assert_eq!(upgrade.raise_within(RAISE_LIMIT), Some(raise.clone()));
    upgrade.log.apply(raise);
    assert_eq!(upgrade.raise_within(RAISE_LIMIT), None);
}

/// Guards against a new deployment that does without the newest commands for long after its start, and
/// against the short wait once an instance has restarted.
#[test]
fn due_raise_new_deployment() {
    let mut upgrade = Upgrade::new();
    for instance in ["fj-a", "fj-b", "fj-c"] {
        upgrade.start(instance, 1, Some(NEWEST_FORMAT));
    }
    assert!(upgrade.raise_within(Duration::from_secs(2)).is_some());
    let mut upgrade = Upgrade::new();
    upgrade.start("fj-a", 1, Some(NEWEST_FORMAT));
    upgrade.start("fj-b", 1, None);
    assert_eq!(upgrade.raise_within(RAISE_LIMIT), None);
    upgrade.start("fj-b", 2, Some(NEWEST_FORMAT));
    assert_eq!(upgrade.raise_within(Duration::from_secs(5)), None);
    assert!(upgrade.raise_within(RAISE_LIMIT).is_some());
}

/// Guards against a raise by a leader that has not yet heard from all instances, or while the release of
/// a replica is unknown because it has no session.
#[test]
fn due_raise_release_unknown() {
    let mut upgrade = Upgrade::new();
    upgrade.start("fj-b", 1, Some(NEWEST_FORMAT));
    assert_eq!(upgrade.raise_within(RAISE_LIMIT), None);
    upgrade.start("fj-a", 1, Some(NEWEST_FORMAT));
    assert!(upgrade.raise_within(RAISE_LIMIT).is_some());
    upgrade.leader = LeaderState::new(upgrade.now, Term(2), &upgrade.log.state);
    // Nobody renews with the new leader.
    upgrade.formats.clear();
    assert_eq!(upgrade.raise_within(RAISE_LIMIT), None);
}

/// Guards against a release that reads what it cannot understand, in place of saying which one is
/// needed.
#[test]
fn decode_newer_format() {
    let newer = ControlFormat(NEWEST_FORMAT.0 + 1);
    let command = Command::RaiseFormat { format: newer };
    let bytes =
        ControlView::encode(&TimedCommand { at: ControlTimeMs(1), command: command.clone() });
    let error = ControlView::decode(&bytes).unwrap_err();
    assert!(matches!(error, DecodeError::Format(format) if format == newer), "{error}");
    let mut log = Log::default();
    log.apply(command);
    let error = ControlState::from_snapshot(&log.state.snapshot()).unwrap_err();
    assert!(error.to_string().contains("install the release that was running before"), "{error}");
}

/// Guards against fixtures that leave out the commands whose form matters most.
#[test]
fn fixtures_cover_commands() {
    let tags: BTreeSet<String> = commands("f07eb35")
        .iter()
        .map(|line| match serde_json::from_str::<Value>(line).unwrap()["command"].clone() {
            Value::String(tag) => tag,
            Value::Object(fields) => fields.keys().next().unwrap().clone(),
            other => panic!("{other}"),
        })
        .collect();
    for tag in ["OpenSession", "RegisterTarget", "AssignGroup", "PutRoutes", "ReportCrash"] {
        assert!(tags.contains(tag), "{tags:?}");
    }
}
