//! Sessions, targets, groups and group ownership.

mod common;

use common::{Log, engine, instance_info, service};
use rstest::rstest;
use shallotdrum_control::{
    AnnouncedTarget, Command, CommandError, ControlState, GroupKind, Handover,
    LOST_OWNER_SETTLE_MS, MAX_GROUP_TARGETS, NEWEST_FORMAT, Reply, SOFTWARE_MEMORY_MS,
};
use shallotdrum_types::{GroupId, Incarnation, SessionId, TargetId};

fn group() -> GroupId {
    "engines/fj/0".parse().unwrap()
}

/// State with two sessions and an unowned group of one engine.
fn log_with_group() -> (Log, SessionId, SessionId) {
    let mut log = Log::default();
    let (a, b) = (log.open("fj-a", 1), log.open("fj-b", 1));
    assert_eq!(log.register(engine("e1", 1)), group());
    (log, a, b)
}

/// Guards against a resent `OpenSession` that ends the session it opened, and against a delayed one
/// of the previous process that ends the session of its successor.
#[test]
fn open_session_resent() {
    let mut log = Log::default();
    let first = log.open("fj-a", 5);
    assert_eq!(log.open("fj-a", 5), first);
    let second = log.open("fj-a", 6);
    assert_ne!(second, first);
    assert!(log.state.session(first).is_none());
    let error = log.refused(Command::OpenSession(instance_info("fj-a", 5)));
    assert!(matches!(error, CommandError::OldInstance { current: Incarnation(6), .. }));
    assert!(log.state.session(second).is_some());
}

/// Guards against two owners of a group, and an epoch that does not increase.
#[test]
fn assign_once() {
    let (mut log, a, b) = log_with_group();
    let epoch = log.assign(&group(), a);
    assert_eq!(log.assign(&group(), a), epoch);
    let to_b = Command::AssignGroup { group: group(), session: b };
    assert_eq!(log.refused(to_b.clone()), CommandError::GroupOwned(group()));
    assert_eq!(
        log.release(&group(), b),
        Reply::Refused(CommandError::NotOwner { group: group(), session: b })
    );
    assert_eq!(log.release(&group(), a), Reply::Done);
    assert!(log.assign(&group(), b) > epoch);
}

/// Guards against groups that are assigned to a draining instance or to an ended session.
#[test]
fn assign_draining() {
    let (mut log, a, b) = log_with_group();
    let assign = |session| Command::AssignGroup { group: group(), session };
    let instance = "fj-a".parse().unwrap();
    log.apply(Command::DrainInstance { instance, drain: true });
    assert_eq!(log.refused(assign(a)), CommandError::SessionDraining(a));
    let restarted = log.open("fj-a", 2);
    assert_eq!(log.refused(assign(a)), CommandError::NoSession(a));
    assert_eq!(log.refused(assign(restarted)), CommandError::SessionDraining(restarted));
    let instance = "fj-a".parse().unwrap();
    log.apply(Command::DrainInstance { instance, drain: false });
    log.assign(&group(), restarted);

    log.apply(Command::DrainSession { session: b });
    assert!(log.state.is_draining(b));
    let b = log.open("fj-b", 2);
    assert!(!log.state.is_draining(b));
}

/// Guards against a new owner that sends orders while those of a previous owner are in flight.
#[rstest]
#[case::released(false, 0, Handover::Released)]
#[case::lost(true, 0, Handover::Lost)]
#[case::lost_and_released_early(true, LOST_OWNER_SETTLE_MS - 1, Handover::Lost)]
#[case::lost_and_released_late(true, LOST_OWNER_SETTLE_MS, Handover::Released)]
fn handover_cause(#[case] is_lost: bool, #[case] owned_ms: u64, #[case] expected: Handover) {
    let (mut log, a, b) = log_with_group();
    assert_eq!(log.state.group(&group()).unwrap().handover, Handover::First);
    log.assign(&group(), a);
    log.now = 1_000;
    match is_lost {
        true => log.apply(Command::EndSession { session: a }),
        false => log.release(&group(), a),
    };
    let state = log.state.group(&group()).unwrap();
    assert_eq!((state.owner, state.previous_owner_ended_at.unwrap().0), (None, 1_000));
    if owned_ms > 0 {
        log.assign(&group(), b);
        log.now += owned_ms;
        log.release(&group(), b);
    }
    assert_eq!(log.state.group(&group()).unwrap().handover, expected);
}

/// Guards against groups that are too large, and against targets placed in the wrong group.
#[test]
fn register_placement() {
    let mut log = Log::default();
    let shards: Vec<u32> = (0..MAX_GROUP_TARGETS + 2)
        .map(|i| log.register(engine(&format!("e{i}"), 1)).shard)
        .collect();
    assert_eq!(shards.iter().filter(|shard| **shard == 0).count(), MAX_GROUP_TARGETS);
    assert_eq!(&shards[MAX_GROUP_TARGETS..], [1, 1]);
    let remove = Command::RemoveTarget {
        target: "e3".parse().unwrap(),
        incarnation: Incarnation(1),
        is_leaving: false,
    };
    assert_eq!(log.apply(remove), Reply::Done);
    assert_eq!(log.register(engine("new", 1)).shard, 0);
    let mut remote = engine("remote", 1);
    remote.region = "bengal".parse().unwrap();
    assert_eq!(log.register(remote).to_string(), "engines/bengal/0");
    let pool = "engines".parse().unwrap();
    assert_eq!(log.state.groups_of_pool(&pool).count(), 3);
    let kind = GroupKind::Engines { base_model: "m".parse().unwrap() };
    assert!(log.state.groups().all(|group| group.kind == kind));
}

/// Guards against a delayed announcement or removal that replaces or removes a restarted target.
#[test]
fn register_incarnations() {
    let mut log = Log::default();
    log.register(engine("e1", 5));
    log.apply(Command::DrainTarget { target: "e1".parse().unwrap(), drain: true });
    log.register(engine("e1", 5));
    assert!(log.state.target("e1".parse().as_ref().unwrap()).unwrap().draining);
    log.register(engine("e1", 6));
    assert!(!log.state.target("e1".parse().as_ref().unwrap()).unwrap().draining);
    let old = log.refused(Command::RegisterTarget(engine("e1", 5)));
    assert!(matches!(old, CommandError::OldIncarnation { .. }));
    let remove = Command::RemoveTarget {
        target: "e1".parse().unwrap(),
        incarnation: Incarnation(5),
        is_leaving: false,
    };
    assert!(matches!(log.refused(remove), CommandError::OldIncarnation { .. }));
    assert_eq!(log.state.targets().count(), 1);
}

/// Guards against model requests that are sent to a plain service of the same pool.
#[test]
fn register_other_kind() {
    let mut log = Log::default();
    log.register(engine("e1", 1));
    let error = log.refused(Command::RegisterTarget(service("s1")));
    assert!(matches!(error, CommandError::PoolKindMismatch { .. }));
    log.register(service("e1"));
    assert_eq!(log.state.group(&group()).unwrap().kind, GroupKind::Services);
}

/// Guards against an engine that refuses all orders because it saw a higher fencing token in its
/// previous group.
#[test]
fn fencing_after_move() {
    let (mut log, a, b) = log_with_group();
    for i in 2..=MAX_GROUP_TARGETS + 1 {
        log.register(engine(&format!("e{i}"), 1));
    }
    let second: GroupId = "engines/fj/1".parse().unwrap();
    log.assign(&second, b);
    let high = log.assign(&group(), a);
    let moved = "e1".parse().unwrap();
    assert_eq!(log.state.fencing_token(&moved), Some(high));
    // e1 leaves the first group, another target takes its place, and e1 joins the second group.
    log.apply(Command::RemoveTarget {
        target: moved.clone(),
        incarnation: Incarnation(1),
        is_leaving: false,
    });
    assert_eq!(log.register(engine("other", 1)), group());
    assert_eq!(log.register(engine("e1", 1)), second);
    assert!(log.state.fencing_token(&moved) > Some(high));
    log.apply(Command::EndSession { session: b });
    let next = log.assign(&second, a);
    assert_eq!(log.state.fencing_token(&moved), Some(next));
}

/// Guards against a target that left but gets new work because of a delayed announcement.
#[test]
fn register_after_leaving() {
    let mut log = Log::default();
    log.register(engine("e1", 1));
    let target: shallotdrum_types::TargetId = "e1".parse().unwrap();
    let incarnation = Incarnation(1);
    let leave = Command::RemoveTarget { target: target.clone(), incarnation, is_leaving: true };
    assert_eq!(log.apply(leave), Reply::Done);
    let late = log.refused(Command::RegisterTarget(engine("e1", 1)));
    assert_eq!(late, CommandError::TargetLeft { target: target.clone() });
    log.register(engine("e1", 2));
    // A target that only stopped announcing itself may register the same incarnation again.
    let remove = Command::RemoveTarget { target, incarnation: Incarnation(2), is_leaving: false };
    assert_eq!(log.apply(remove), Reply::Done);
    log.register(engine("e1", 2));
}

/// Guards against a target that was removed for its silence, left then, and gets new work because of a
/// delayed announcement.
#[rstest]
#[case::ready(false)]
#[case::draining(true)]
fn register_after_silence_and_leaving(#[case] was_draining: bool) {
    let mut log = Log::default();
    let target: TargetId = "e1".parse().unwrap();
    let remove = |incarnation, is_leaving| Command::RemoveTarget {
        target: target.clone(),
        incarnation: Incarnation(incarnation),
        is_leaving,
    };
    log.apply(Command::RaiseFormat { format: NEWEST_FORMAT });
    log.register(engine("e1", 7));
    log.apply(Command::DrainTarget { target: target.clone(), drain: was_draining });
    log.apply(remove(7, false));
    assert_eq!(log.apply(remove(0, true)), Reply::Done);
    let late = log.refused(Command::RegisterTarget(engine("e1", 7)));
    assert_eq!(late, CommandError::TargetLeft { target: target.clone() });
    assert!(log.state.is_leaving(&target, Incarnation(7)));

    // The departure of an unknown process concerns none that is registered.
    log.register(engine("e1", 8));
    let current = Incarnation(8);
    let refused = log.refused(remove(0, true));
    assert_eq!(refused, CommandError::OldIncarnation { target: target.clone(), current });
    log.apply(remove(8, false));
    log.register(engine("e1", 8));
}

/// Guards against departures that are forgotten because of others, of targets that were never here or have
/// left before.
#[rstest]
#[case::never_here(|n| format!("x{n}"))]
#[case::left_before(|_| "e2".to_owned())]
fn departures_of_unknown_targets(#[case] name: fn(usize) -> String) {
    let mut log = Log::default();
    log.apply(Command::RaiseFormat { format: NEWEST_FORMAT });
    let leave = |name: &str, incarnation| Command::RemoveTarget {
        target: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        is_leaving: true,
    };
    for name in ["e1", "e2"] {
        log.register(engine(name, 7));
        assert_eq!(log.apply(leave(name, 7)), Reply::Done);
    }
    // As many departures are kept.
    for n in 0..1_000 {
        assert_eq!(log.apply(leave(&name(n), 0)), Reply::Done);
    }
    for name in ["e1", "e2"] {
        let target: TargetId = name.parse().unwrap();
        let late = log.refused(Command::RegisterTarget(engine(name, 7)));
        assert_eq!(late, CommandError::TargetLeft { target });
    }
}

fn leave_unknown(name: &str, newest: u64) -> Command {
    Command::LeaveUnknown { target: name.parse().unwrap(), newest: Incarnation(newest) }
}

/// Guards against a target that left before its first announcement arrived, and gets new work because of
/// that announcement; also against refusing the next process of the target.
#[rstest]
#[case::never_here(None)]
#[case::left_before(Some(true))]
#[case::removed_for_silence(Some(false))]
fn register_after_unknown_departure(#[case] earlier: Option<bool>) {
    let mut log = Log::default();
    let target: TargetId = "e1".parse().unwrap();
    log.apply(Command::RaiseFormat { format: NEWEST_FORMAT });
    if let Some(is_leaving) = earlier {
        log.register(engine("e1", 500));
        let incarnation = Incarnation(500);
        log.apply(Command::RemoveTarget { target: target.clone(), incarnation, is_leaving });
    }
    assert_eq!(log.apply(leave_unknown("e1", 1_000)), Reply::Done);
    log.state = ControlState::from_snapshot(&log.state.snapshot()).unwrap();
    for incarnation in [500, 900, 1_000] {
        let late = log.refused(Command::RegisterTarget(engine("e1", incarnation)));
        assert_eq!(late, CommandError::TargetLeft { target: target.clone() });
        assert!(log.state.is_leaving(&target, Incarnation(incarnation)));
    }
    log.register(engine("e1", 1_001));
    let current = Incarnation(1_001);
    let refused = log.refused(leave_unknown("e1", 1_000));
    assert_eq!(refused, CommandError::OldIncarnation { target, current });
}

/// Guards against a departure that removes no target, since the instance that wrote it did not know yet
/// that the target is registered.
#[test]
fn unknown_departure_of_registered() {
    let mut log = Log::default();
    let target: TargetId = "e1".parse().unwrap();
    log.apply(Command::RaiseFormat { format: NEWEST_FORMAT });
    log.register(engine("e1", 900));
    assert_eq!(log.apply(leave_unknown("e1", 1_000)), Reply::Done);
    assert!(log.state.target(&target).is_none());
    let late = log.refused(Command::RegisterTarget(engine("e1", 900)));
    assert_eq!(late, CommandError::TargetLeft { target });
    // The incarnation that left is known, so that any other one may register.
    log.register(engine("e1", 901));
}

/// Guards against departures that are forgotten because of others of targets that were never here, and
/// against memory that grows with these.
#[test]
fn unknown_departures_displace_no_known() {
    let mut log = Log::default();
    log.apply(Command::RaiseFormat { format: NEWEST_FORMAT });
    log.register(engine("e1", 7));
    let leave = Command::RemoveTarget {
        target: "e1".parse().unwrap(),
        incarnation: Incarnation(7),
        is_leaving: true,
    };
    assert_eq!(log.apply(leave), Reply::Done);
    for n in 0..3_000 {
        log.now += 1;
        assert_eq!(log.apply(leave_unknown(&format!("x{n}"), 1_000)), Reply::Done);
    }
    let size = log.state.snapshot().len();
    for name in ["e1", "x2999", "x2000"] {
        let late = log.refused(Command::RegisterTarget(engine(name, 7)));
        assert_eq!(late, CommandError::TargetLeft { target: name.parse().unwrap() });
    }
    // The oldest ones were displaced.
    log.register(engine("x1", 7));
    // None is kept for longer than an announcement may be delayed.
    log.now += 600_000;
    log.register(engine("e2", 7));
    assert!(log.state.snapshot().len() < size / 2);
}

/// Guards against sending requests to a crashed target whose address a new process has taken, and
/// against a delayed announcement of the crashed one that registers it again.
#[test]
fn register_at_address_of_crashed() {
    let mut log = Log::default();
    let old = engine("old", 1);
    let other = engine("other", 1);
    let new = AnnouncedTarget { addr: old.addr, ..engine("new", 2) };
    for target in [&old, &other] {
        log.register(target.clone());
    }
    log.register(new.clone());
    let registered: Vec<_> = log.state.targets().map(|t| t.announced.target.to_string()).collect();
    assert_eq!(registered, ["new", "other"]);
    assert_eq!(
        log.refused(Command::RegisterTarget(old.clone())),
        CommandError::TargetLeft { target: old.target }
    );
}

/// Guards against new work for a draining target that fell silent, was removed and announces itself
/// again: its registration is a command of its own, before the one that drains it.
#[test]
fn register_again_while_draining() {
    let mut log = Log::default();
    let id: TargetId = "e1".parse().unwrap();
    let is_draining = |log: &Log| log.state.target(&id).unwrap().draining;
    let remove = || Command::RemoveTarget {
        target: id.clone(),
        incarnation: Incarnation(1),
        is_leaving: false,
    };
    log.register(engine("e1", 1));
    log.apply(Command::DrainTarget { target: id.clone(), drain: true });
    log.apply(remove());
    log.register(engine("e1", 1));
    assert!(is_draining(&log));

    log.apply(Command::DrainTarget { target: id.clone(), drain: false });
    log.apply(remove());
    log.register(engine("e1", 1));
    assert!(!is_draining(&log));

    log.apply(Command::DrainTarget { target: id.clone(), drain: true });
    log.apply(remove());
    log.register(engine("e1", 2));
    assert!(!is_draining(&log));
}

/// Guards against taking the versions that serve now for those at which a stream may have begun, and
/// against remembering a version for good.
#[rstest]
#[case::removed(false)]
#[case::replaced(true)]
fn software_version_remembered(#[case] is_replaced: bool) {
    let mut log = Log::default();
    let with_software = |software: &str, target| AnnouncedTarget {
        software: Some(software.parse().unwrap()),
        ..target
    };
    let versions = |log: &Log| {
        let versions = log.state.software_versions(&"engines".parse().unwrap());
        versions.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    log.register(with_software("v1", engine("e1", 1)));
    log.register(with_software("v2", engine("e2", 1)));
    log.now = 1_000;
    match is_replaced {
        true => drop(log.register(with_software("v1", engine("e2", 2)))),
        false => {
            let (target, incarnation) = ("e2".parse().unwrap(), Incarnation(1));
            log.apply(Command::RemoveTarget { target, incarnation, is_leaving: true });
        }
    }
    assert_eq!(versions(&log), ["v1", "v2"]);
    log.now += SOFTWARE_MEMORY_MS;
    log.register(with_software("v1", engine("e3", 1)));
    assert_eq!(versions(&log), ["v1"]);
}
