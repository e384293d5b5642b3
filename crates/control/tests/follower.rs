//! Replicas, followers and restored replicas agree after random command sequences.

mod common;
#[path = "../../routes/tests/support/mod.rs"]
mod tables;

use std::sync::Arc;

use common::{answer, attempt, call_key, engine, instance_info, registry_with, service};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use shallotdrum_consensus::StateMachine;
use shallotdrum_control::{
    Command, CompletedRuns, ControlState, ControlView, DecodeError, Isolation, PartRun, Reply,
    SuspectPart, TimedCommand,
};
use shallotdrum_types::{
    ControlTimeMs, Fingerprint, GroupId, Incarnation, LogIndex, Revision, SessionId,
};
use tables::route_table;

/// Number of commands in a sequence, enough for each kind to occur often.
const COMMANDS: u64 = 600;

/// Random command. Ids are taken from small sets, so that commands often refer to the same entity.
fn random_command(rng: &mut StdRng, state: &ControlState) -> Command {
    let session = SessionId(rng.random_range(1..12));
    let incarnation = rng.random_range(1..5);
    let instance = ["fj-a", "fj-b", "in-c"][rng.random_range(0..3)];
    let target = format!("e{}", rng.random_range(0..40));
    let group: GroupId = format!("engines/fj/{}", rng.random_range(0..3)).parse().unwrap();
    let key = call_key(&format!("k{}", rng.random_range(0..8)));
    let request = Fingerprint::of(&[rng.random_range(0..6)]);
    let flag = rng.random_bool(0.5);
    match rng.random_range(0..19) {
        0 | 1 => Command::OpenSession(instance_info(instance, incarnation)),
        2 => Command::EndSession { session },
        3 => Command::DrainInstance { instance: instance.parse().unwrap(), drain: flag },
        4 => {
            let id = format!("s{}", rng.random_range(0..30)).parse().unwrap();
            let base = Revision(state.revision().0.saturating_sub(rng.random_range(0..2)));
            state.submit_command(id, base, &registry_with(rng.random_range(0..4)))
        }
        5 if flag => Command::RegisterTarget(service(&target)),
        5 | 6 => Command::RegisterTarget(engine(&target, incarnation)),
        7 => Command::RemoveTarget {
            target: target.parse().unwrap(),
            incarnation: Incarnation(incarnation),
            is_leaving: flag,
        },
        8 => Command::DrainTarget { target: target.parse().unwrap(), drain: flag },
        9 | 10 => Command::AssignGroup { group, session },
        11 => Command::ReleaseGroup { group, session },
        12 => Command::ReportCrash {
            target: target.parse().unwrap(),
            incarnation: Incarnation(incarnation),
            requests: vec![request],
            isolation: if flag { Isolation::Shared } else { Isolation::Alone },
            any_caller: if incarnation % 2 == 0 { vec![request] } else { Vec::new() },
            callers: Vec::new(),
            completed: vec![CompletedRuns { request, runs: incarnation }],
            parts: vec![SuspectPart {
                part: Fingerprint::of(&[incarnation as u8]),
                is_first: flag,
            }],
            part_runs: Vec::new(),
        },
        13 if flag => Command::LiftQuarantine { request },
        13 if rng.random_bool(0.3) => Command::ClearSuspect { request },
        13 if rng.random_bool(0.3) => Command::EndSuspension { request },
        13 if rng.random_bool(0.3) => {
            let part = Fingerprint::of(&[incarnation as u8]);
            let part_runs = vec![PartRun { part, crashes_known: rng.random_range(0..9) }];
            Command::ReportRuns { completed: vec![CompletedRuns { request, runs: 5 }], part_runs }
        }
        13 => Command::DrainSession { session },
        14 | 15 => {
            Command::BeginCall { key, fingerprint: request, session, attempt: attempt(incarnation) }
        }
        17 => {
            let base = state.route_table().filter(|_| flag).map(Arc::as_ref);
            let revision = rng.random_range(1..400);
            Command::put_routes(base, route_table(revision, rng.random_range(1..9))).unwrap()
        }
        16 if flag => Command::FinishCall { key, session, answer: flag.then(|| answer("x")) },
        16 => Command::AbandonCall { key, session, attempt: attempt(incarnation) },
        _ => Command::Tick,
    }
}

/// Guards against followers, or replicas restored from a snapshot, that diverge from a replica
/// that has applied the complete log.
#[rstest]
fn follower_agrees(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    println!("seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut replica = ControlView::new();
    let mut restarted = ControlView::new();
    let follower = ControlView::new();
    let mut now = 0u64;
    let mut history = Vec::new();
    let (mut accepted, mut refused, mut skipped) = (0, 0, 0);
    for i in 1..=COMMANDS {
        let index = LogIndex(i);
        // Advance by up to 3 s; sometimes by 20 h, and sometimes backwards, as with a faulty
        // leader.
        now = match rng.random_range(0..20) {
            0 => now + 20 * 3_600_000,
            1 => now.saturating_sub(30 * 3_600_000),
            _ => now + rng.random_range(0..3_000),
        };
        let command = replica.read(|state| random_command(&mut rng, state));
        let command = TimedCommand { at: ControlTimeMs(now), command };
        let logged = ControlView::decode(&ControlView::encode(&command)).unwrap();
        assert_eq!(logged, command);
        let reply = replica.apply(index, command.clone());
        match reply {
            Reply::Refused(_) => refused += 1,
            _ => accepted += 1,
        }
        if rng.random_bool(0.02) {
            let snapshot = restarted.snapshot();
            restarted = ControlView::new();
            restarted.restore(&snapshot).unwrap();
        }
        assert_eq!(restarted.apply(index, command.clone()), reply, "command {i}");

        match command.command.is_ledger_only() {
            true => skipped += 1,
            false => follower.apply_on_follower(index, command.clone()),
        }
        if rng.random_bool(0.02) {
            follower.restore_follower(&replica.snapshot_without_ledger()).unwrap();
        }
        history.push(command);
        // Repeated commands, as after a reconnect of the watch stream, have no effect.
        let repeated = rng.random_range(0..follower.applied().0.max(1) as usize);
        follower.apply_on_follower(LogIndex(repeated as u64 + 1), history[repeated].clone());
        follower.advance_applied(index);
        let agree = follower.snapshot_without_ledger() == replica.snapshot_without_ledger();
        assert!(agree, "command {i}");
    }
    assert!(accepted > 100 && refused > 100 && skipped > 100, "{accepted} {refused} {skipped}");
    assert!(replica.read(Clone::clone) == restarted.read(Clone::clone));
}

/// Guards against a misread snapshot, and against a failed restore that changes the state.
#[test]
fn restore_error() {
    let mut view = ControlView::new();
    view.apply(LogIndex(7), TimedCommand { at: ControlTimeMs(1), command: Command::Tick });
    let snapshot = StateMachine::snapshot(&view);
    let plain = String::from_utf8(zstd::decode_all(snapshot.as_slice()).unwrap()).unwrap();
    let newer = plain.replacen("\"version\":1", "\"version\":2", 1);
    assert!(matches!(view.restore(newer.as_bytes()), Err(DecodeError::Version(2))));
    assert!(matches!(view.restore(&plain.as_bytes()[1..]), Err(DecodeError::Json(_))));
    assert!(matches!(view.restore(&snapshot[1..]), Err(DecodeError::Json(_))));
    let cut = &snapshot[..snapshot.len() - 1];
    assert!(matches!(view.restore(cut), Err(DecodeError::Compression(_))));
    assert_eq!(view.applied(), LogIndex(7));
    // An older snapshot does not revert a follower.
    view.restore_follower(&ControlView::new().snapshot_without_ledger()).unwrap();
    assert_eq!(view.applied(), LogIndex(7));
}

/// Guards against subscribers that miss a change, or are notified before it is readable.
#[tokio::test]
async fn changed_reports_index() {
    let view = ControlView::new();
    let mut changed = view.changed();
    let other = view.clone();
    let task = tokio::spawn(async move {
        changed.wait_for(|index| *index >= LogIndex(3)).await.unwrap();
        other.read(ControlState::applied)
    });
    let open = |incarnation| Command::OpenSession(instance_info("fj-a", incarnation));
    for i in 1..=3 {
        let command = open(i);
        view.apply_on_follower(LogIndex(i), TimedCommand { at: ControlTimeMs(i), command });
    }
    assert_eq!(task.await.unwrap(), LogIndex(3));
}
