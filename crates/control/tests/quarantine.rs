//! Quarantine of requests that crash their targets.

mod common;

use common::Log;
use shallotdrum_control::{
    CRASH_SETTLE_MS, CallerIdentity, Command, CommandError, CompletedRuns,
    FIRST_PART_OBSERVATION_MS, Isolation, MAX_SUSPECTS, PART_OBSERVATION_MS, PartRun,
    RUNS_PER_CRASH, Reply, SHARED_PART_CRASHES_TO_QUARANTINE, SUSPECT_LIFETIME_MS, SUSPENSION_MS,
    SuspectPart,
};
use shallotdrum_types::{Fingerprint, Incarnation};

fn request(name: &str) -> Fingerprint {
    Fingerprint::of(name.as_bytes())
}

fn crash(log: &mut Log, target: &str, incarnation: u64, requests: &[&str]) {
    report(log, target, incarnation, requests, Isolation::Alone);
}

fn shared_crash(log: &mut Log, target: &str, incarnation: u64, requests: &[&str]) {
    report(log, target, incarnation, requests, Isolation::Shared);
}

fn report(log: &mut Log, target: &str, incarnation: u64, requests: &[&str], isolation: Isolation) {
    let requests = requests.iter().map(|name| request(name)).collect();
    let target = target.parse().unwrap();
    let incarnation = Incarnation(incarnation);
    let report = Command::ReportCrash {
        target,
        incarnation,
        requests,
        isolation,
        any_caller: Vec::new(),
        callers: Vec::new(),
        completed: Vec::new(),
        parts: Vec::new(),
        part_runs: Vec::new(),
    };
    assert_eq!(log.apply(report), Reply::Done);
}

/// Guards against a request that crashes one target after another, and against a harmless request
/// that is quarantined because a single crash was reported twice.
#[test]
fn crash_twice() {
    let mut log = Log::default();
    crash(&mut log, "e1", 1, &["bad", "bystander", "bad"]);
    crash(&mut log, "e1", 1, &["bad", "bystander"]);
    assert_eq!(log.state.suspect_crashes(&request("bad")), 1);
    assert!(!log.state.is_quarantined(&request("bad")));
    crash(&mut log, "e1", 2, &["bad"]);
    assert!(log.state.is_quarantined(&request("bad")));
    assert_eq!(log.state.quarantine().next().unwrap().crashes.len(), 2);
    assert!(!log.state.is_quarantined(&request("bystander")));
    assert_eq!(log.state.suspect_crashes(&request("bystander")), 1);
}

/// Guards against a quarantine that cannot be lifted, or that returns after a single crash.
#[test]
fn lift_clears_crashes() {
    let mut log = Log::default();
    let lift = Command::LiftQuarantine { request: request("bad") };
    assert_eq!(log.refused(lift.clone()), CommandError::NotQuarantined(request("bad")));
    crash(&mut log, "e1", 1, &["bad"]);
    crash(&mut log, "e2", 1, &["bad"]);
    assert_eq!(log.apply(lift), Reply::Done);
    assert_eq!(log.state.suspect_crashes(&request("bad")), 0);
    crash(&mut log, "e3", 1, &["bad"]);
    assert!(!log.state.is_quarantined(&request("bad")));
}

/// Guards against a quarantine for unrelated crashes on different days, and against a quarantine
/// that expires.
#[test]
fn suspects_expire() {
    let mut log = Log::default();
    crash(&mut log, "e1", 1, &["a"]);
    crash(&mut log, "e1", 2, &["b"]);
    crash(&mut log, "e1", 3, &["b"]);
    log.now = SUSPECT_LIFETIME_MS;
    crash(&mut log, "e1", 4, &["a"]);
    assert_eq!(log.state.suspect_crashes(&request("a")), 1);
    assert!(log.state.is_quarantined(&request("b")));
}

/// Guards against an unlimited number of stored suspects.
#[test]
fn suspects_bounded() {
    let mut log = Log::default();
    let names: Vec<String> = (0..=MAX_SUSPECTS).map(|i| format!("r{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    crash(&mut log, "e1", 1, &names);
    assert_eq!(log.state.suspect_crashes(&request("r0")), 0);
    assert_eq!(log.state.suspect_crashes(&request("r1")), 1);
}

/// Guards against a quarantine of requests that moved from one crashed target to the next beside
/// the request that crashed both.
#[test]
fn shared_crash_three_times() {
    let mut log = Log::default();
    shared_crash(&mut log, "e1", 1, &["bad", "moved"]);
    shared_crash(&mut log, "e2", 1, &["bad", "moved"]);
    assert!(!log.state.is_quarantined(&request("bad")));
    shared_crash(&mut log, "e3", 1, &["bad"]);
    assert!(log.state.is_quarantined(&request("bad")));
    assert!(!log.state.is_quarantined(&request("moved")));
}

/// Guards against a quarantine of identical proper requests, of which one is in flight at each
/// crash while others run to their end.
#[test]
fn completed_run_clears() {
    let mut log = Log::default();
    let clear = |name| Command::ClearSuspect { request: request(name) };
    shared_crash(&mut log, "e1", 1, &["proper"]);
    shared_crash(&mut log, "e2", 1, &["proper"]);
    assert_eq!(log.apply(clear("proper")), Reply::Done);
    shared_crash(&mut log, "e3", 1, &["proper"]);
    assert_eq!(log.state.suspect_crashes(&request("proper")), 1);

    // Two more complete the count before the run on another target ends.
    shared_crash(&mut log, "e4", 1, &["proper"]);
    shared_crash(&mut log, "e5", 1, &["proper"]);
    assert!(log.state.is_quarantined(&request("proper")));
    assert_eq!(log.apply(clear("proper")), Reply::Done);
    assert!(!log.state.is_quarantined(&request("proper")));
    assert_eq!(log.state.suspect_crashes(&request("proper")), 0);
    assert_eq!(log.apply(clear("unknown")), Reply::Done);
}

fn caller_of_path(name: &&str) -> CallerIdentity {
    CallerIdentity { request: request(name), any_caller: request("path") }
}

/// Reports a crash for requests of known callers, each with the identity of its path.
fn path_crash(log: &mut Log, target: &str, callers: &[&str], runs: &[(&str, u64)]) {
    let requests = callers.iter().chain(&["path"]).map(|name| request(name)).collect();
    let report = Command::ReportCrash {
        target: target.parse().unwrap(),
        incarnation: Incarnation(1),
        requests,
        isolation: Isolation::Shared,
        any_caller: vec![request("path")],
        callers: callers.iter().map(caller_of_path).collect(),
        completed: completed(runs),
        parts: Vec::new(),
        part_runs: Vec::new(),
    };
    assert_eq!(log.apply(report), Reply::Done);
}

fn completed(runs: &[(&str, u64)]) -> Vec<CompletedRuns> {
    runs.iter().map(|(name, runs)| CompletedRuns { request: request(name), runs: *runs }).collect()
}

fn suspension(log: &Log, name: &str) -> Option<u64> {
    log.state.quarantine_of(&request(name)).and_then(|quarantined| quarantined.suspension_ms)
}

/// Guards against refusing all callers of a path because of the one whose requests crash.
#[test]
fn crashing_caller_explains_crashes() {
    let mut log = Log::default();
    for target in ["e1", "e2", "e3"] {
        path_crash(&mut log, target, &["bad", "moved"], &[("moved", 1)]);
    }
    assert!(log.state.is_quarantined(&request("bad")));
    assert_eq!(suspension(&log, "bad"), None);
    for innocent in ["moved", "path"] {
        assert!(!log.state.is_quarantined(&request(innocent)), "{innocent}");
        assert_eq!(log.state.suspect_crashes(&request(innocent)), 0, "{innocent}");
    }

    // Copies that were still running on other targets, reported for others first.
    path_crash(&mut log, "e4", &["moved"], &[]);
    path_crash(&mut log, "e4", &["bad"], &[]);
    path_crash(&mut log, "e4", &["moved"], &[]);
    assert_eq!(log.state.suspect_crashes(&request("moved")), 0);
    assert_eq!(log.state.suspect_crashes(&request("path")), 0);
}

/// Guards against releasing a crashing request because a bystander was reported first.
#[test]
fn crashing_caller_reported_after_bystander() {
    let mut log = Log::default();
    for target in ["e1", "e2", "e3"] {
        path_crash(&mut log, target, &["moved"], &[("moved", 1)]);
        path_crash(&mut log, target, &["bad"], &[]);
    }
    assert!(log.state.is_quarantined(&request("bad")));
    assert!(!log.state.is_quarantined(&request("moved")));
    assert!(!log.state.is_quarantined(&request("path")));
}

/// Guards against a request that crashes targets under a new caller each time.
#[test]
fn crashing_path_of_many_callers() {
    let mut log = Log::default();
    for (target, caller) in [("e1", "a"), ("e2", "b"), ("e3", "c")] {
        path_crash(&mut log, target, &[caller], &[]);
    }
    assert_eq!(suspension(&log, "path"), Some(SUSPENSION_MS));
    assert!(!log.state.is_quarantined(&request("a")));
}

/// Guards against a path that costs three targets again with each new caller.
#[test]
fn crashing_path_caller_after_caller() {
    let mut log = Log::default();
    for target in ["e1", "e2", "e3"] {
        path_crash(&mut log, target, &["a"], &[]);
    }
    assert!(!log.state.is_quarantined(&request("path")));
    path_crash(&mut log, "e4", &["b"], &[]);
    assert_eq!(suspension(&log, "path"), Some(SUSPENSION_MS));
    assert_eq!(suspension(&log, "a"), None);
    assert!(log.state.is_quarantined(&request("a")));
    path_crash(&mut log, "e5", &["b"], &[]);
    path_crash(&mut log, "e6", &["b"], &[]);
    assert!(log.state.is_quarantined(&request("path")));
}

/// Guards against refusing a path because callers whose runs succeed were aboard crashes with other
/// causes.
#[test]
fn crashing_path_of_trusted_callers() {
    let mut log = Log::default();
    for (target, caller) in [("e1", "a"), ("e2", "b"), ("e3", "c"), ("e4", "a")] {
        path_crash(&mut log, target, &[caller], &[(caller, RUNS_PER_CRASH), ("path", 1)]);
    }
    assert!(!log.state.is_quarantined(&request("path")));
}

/// Guards against a released path that crashes as many targets as there are copies of the request.
#[test]
fn crashing_path_permits_one() {
    let mut log = Log::default();
    for (target, caller) in [("e1", "a"), ("e2", "b"), ("e3", "c")] {
        path_crash(&mut log, target, &[caller], &[]);
    }
    let end = || Command::EndSuspension { request: request("path") };
    log.now = SUSPENSION_MS - 1;
    assert_eq!(log.refused(end()), CommandError::Suspended(request("path")));
    log.now = SUSPENSION_MS;
    assert_eq!(log.apply(end()), Reply::Done);
    assert_eq!(suspension(&log, "path"), Some(2 * SUSPENSION_MS));
    assert_eq!(log.refused(end()), CommandError::Suspended(request("path")));

    // The run of the permitted request.
    let runs = Command::ReportRuns { completed: completed(&[("path", 1)]), part_runs: Vec::new() };
    assert_eq!(log.apply(runs), Reply::Done);
    assert!(!log.state.is_quarantined(&request("path")));
    path_crash(&mut log, "e4", &["d"], &[]);
    assert_eq!(suspension(&log, "path"), Some(2 * SUSPENSION_MS));
}

/// Guards against a request that is quarantined for good because its crashes were reported before
/// those of the one that caused them.
#[test]
fn crashing_request_reported_last() {
    let mut log = Log::default();
    for target in ["e1", "e2"] {
        shared_crash(&mut log, target, 1, &["moved", "bad"]);
    }
    shared_crash(&mut log, "e3", 1, &["moved"]);
    assert!(log.state.is_quarantined(&request("moved")));
    shared_crash(&mut log, "e3", 1, &["bad"]);
    assert!(!log.state.is_quarantined(&request("moved")));
    shared_crash(&mut log, "e4", 1, &["bad"]);
    assert!(log.state.is_quarantined(&request("bad")));
    assert!(!log.state.is_quarantined(&request("moved")));
    assert_eq!(log.state.suspect_crashes(&request("moved")), 0);
}

/// Guards against a quarantine of a path that many callers use while targets crash at the same time
/// for another reason.
#[test]
fn successful_runs_outweigh_crashes() {
    let mut log = Log::default();
    path_crash(&mut log, "e1", &["a"], &[("path", 3 * RUNS_PER_CRASH)]);
    path_crash(&mut log, "e2", &["a"], &[]);
    path_crash(&mut log, "e3", &["b"], &[]);
    assert!(!log.state.is_quarantined(&request("path")));
    path_crash(&mut log, "e4", &["c"], &[]);
    assert!(log.state.is_quarantined(&request("path")));
    let runs = Command::ReportRuns {
        completed: completed(&[("path", RUNS_PER_CRASH)]),
        part_runs: Vec::new(),
    };
    assert_eq!(log.apply(runs), Reply::Done);
    assert!(!log.state.is_quarantined(&request("path")));
}

/// Guards against refusing for good a request whose runs also succeed, and against a release that
/// lets it crash several targets again.
#[test]
fn suspension_doubles() {
    let mut log = Log::default();
    for target in ["e1", "e2", "e3"] {
        path_crash(&mut log, target, &["mixed"], &[("mixed", 1)]);
    }
    let end = || Command::EndSuspension { request: request("mixed") };
    let mut now = 0;
    for (n, target) in (0..3).zip(["e4", "e5", "e6"]) {
        let duration = SUSPENSION_MS << n;
        assert_eq!(suspension(&log, "mixed"), Some(duration));
        log.now = now + duration - 1;
        assert_eq!(log.refused(end()), CommandError::Suspended(request("mixed")));
        now += duration;
        log.now = now;
        assert_eq!(log.apply(end()), Reply::Done);
        assert!(!log.state.is_quarantined(&request("mixed")));
        path_crash(&mut log, target, &["mixed"], &[]);
    }
    assert_eq!(suspension(&log, "mixed"), Some(SUSPENSION_MS << 3));
}

/// Guards against refusing for good a request that a run in progress shows to be harmless.
#[test]
fn successful_run_in_quarantine() {
    let mut log = Log::default();
    for target in ["e1", "e2", "e3"] {
        path_crash(&mut log, target, &["unlucky"], &[]);
    }
    assert_eq!(suspension(&log, "unlucky"), None);
    assert!(log.state.is_quarantined(&request("unlucky")));
    let runs =
        Command::ReportRuns { completed: completed(&[("unlucky", 1)]), part_runs: Vec::new() };
    assert_eq!(log.apply(runs), Reply::Done);
    assert_eq!(suspension(&log, "unlucky"), Some(SUSPENSION_MS));
}

/// Reports a crash under requests without parts in common but these.
fn part_crash(log: &mut Log, target: &str, parts: &[&str]) {
    let report = Command::ReportCrash {
        target: target.parse().unwrap(),
        incarnation: Incarnation(1),
        requests: vec![request(&format!("request on {target}"))],
        isolation: Isolation::Shared,
        any_caller: Vec::new(),
        callers: Vec::new(),
        completed: Vec::new(),
        parts: suspect_parts(parts),
        part_runs: Vec::new(),
    };
    assert_eq!(log.apply(report), Reply::Done);
}

/// Parts of prompts; those whose names begin with `first` begin a prompt.
fn suspect_parts(names: &[&str]) -> Vec<SuspectPart> {
    let part =
        |name: &&str| SuspectPart { part: request(name), is_first: name.starts_with("first") };
    names.iter().map(part).collect()
}

/// Reports a successful run that began when all crashes so far were known.
fn part_run(log: &mut Log, name: &str) {
    let crashes_known = log.state.crash_count();
    let part_runs = vec![PartRun { part: request(name), crashes_known }];
    let report = Command::ReportRuns { completed: Vec::new(), part_runs };
    assert_eq!(log.apply(report), Reply::Done);
}

fn is_part_quarantined(log: &mut Log, name: &str) -> bool {
    log.now += CRASH_SETTLE_MS;
    log.apply(Command::ReportRuns { completed: Vec::new(), part_runs: Vec::new() });
    log.state.part_quarantine(&request(name)).is_some()
}

/// Guards against a quarantine of the parts that share a crashed target with the crashing one.
#[test]
fn part_crash_explained() {
    let mut log = Log::default();
    part_crash(&mut log, "e1", &["first", "bad", "a", "b"]);
    part_crash(&mut log, "e2", &["first", "bad", "a", "c"]);
    part_crash(&mut log, "e3", &["first", "bad", "a"]);
    assert!(!is_part_quarantined(&mut log, "bad"), "two parts are equally likely");
    part_crash(&mut log, "e4", &["first", "bad", "d"]);
    assert!(is_part_quarantined(&mut log, "bad"));
    for innocent in ["first", "a", "b", "c", "d"] {
        assert!(!is_part_quarantined(&mut log, innocent), "{innocent}");
    }
    // None of them is blamed for these crashes later, when the cause is gone.
    part_run(&mut log, "bad");
    for innocent in ["first", "a", "b", "c", "d"] {
        assert_eq!(log.state.suspect_crashes(&request(innocent)), 0, "{innocent}");
    }
}

/// Guards against a quarantine of a part that was aboard by chance, after its cause is known.
#[test]
fn part_released_by_cause() {
    let mut log = Log::default();
    for (target, parts) in [("e1", ["bad1", "a"]), ("e2", ["bad2", "a"]), ("e3", ["bad1", "a"])] {
        part_crash(&mut log, target, &parts);
    }
    assert!(is_part_quarantined(&mut log, "a"));
    for target in ["e4", "e5"] {
        part_crash(&mut log, target, &["bad1"]);
    }
    assert!(is_part_quarantined(&mut log, "bad1"));
    assert!(!is_part_quarantined(&mut log, "a"));
}

/// Guards against blaming a part because the report of its crash comes before that of the cause.
#[test]
fn part_crash_reported_twice() {
    let mut log = Log::default();
    for target in ["e1", "e2"] {
        part_crash(&mut log, target, &["bad", "a"]);
        log.now += CRASH_SETTLE_MS;
    }
    part_crash(&mut log, "e3", &["first", "a"]);
    part_crash(&mut log, "e3", &["first", "bad"]);
    part_crash(&mut log, "e4", &["first", "bad"]);
    assert!(is_part_quarantined(&mut log, "bad"));
    assert!(!is_part_quarantined(&mut log, "a"));
}

/// Guards against requests that go on with a crashing part because it always comes with the same
/// others.
#[test]
fn part_crash_same_companions() {
    let mut log = Log::default();
    for n in 0..SHARED_PART_CRASHES_TO_QUARANTINE {
        part_crash(&mut log, &format!("e{n}"), &["first", "bad", "companion"]);
    }
    assert!(is_part_quarantined(&mut log, "bad"));
    assert!(!is_part_quarantined(&mut log, "first"));
}

/// Guards against a quarantine of a part that others crash targets beside, as soon as one run shows
/// that it is sound, and against clearing a part by a run that began before its crash.
#[test]
fn part_run_clears() {
    let mut log = Log::default();
    let before = PartRun { part: request("bad"), crashes_known: 0 };
    part_crash(&mut log, "e1", &["first", "bad"]);
    let runs = Command::ReportRuns { completed: Vec::new(), part_runs: vec![before] };
    assert_eq!(log.apply(runs), Reply::Done);
    assert_eq!(log.state.suspect_crashes(&request("bad")), 1);
    part_run(&mut log, "first");
    assert_eq!(log.state.suspect_crashes(&request("first")), 0);
    assert_eq!(log.state.suspect_crashes(&request("bad")), 1);
}

/// Guards against a quarantine of a part that thousands share, when two parts crash targets, and
/// against one that never ends for a part that was sound before its first crash.
#[test]
fn part_crash_sound_before() {
    let mut log = Log::default();
    let before = |name| PartRun { part: request(name), crashes_known: 0 };
    for n in 0..SHARED_PART_CRASHES_TO_QUARANTINE {
        part_crash(&mut log, &format!("e{n}"), &["first", "bad"]);
        let part_runs = vec![before("first"), before("bad")];
        log.apply(Command::ReportRuns { completed: Vec::new(), part_runs });
    }
    assert!(!is_part_quarantined(&mut log, "bad"));
    log.now = PART_OBSERVATION_MS;
    part_crash(&mut log, "e9", &["first", "bad"]);
    assert!(is_part_quarantined(&mut log, "bad"));
    assert!(!is_part_quarantined(&mut log, "first"));
}

/// Guards against a first part that only ever appears in crashed runs.
#[test]
fn part_crash_first() {
    let mut log = Log::default();
    for n in 0..SHARED_PART_CRASHES_TO_QUARANTINE {
        log.now = n as u64 * FIRST_PART_OBSERVATION_MS;
        part_crash(&mut log, &format!("e{n}"), &["first"]);
    }
    assert!(is_part_quarantined(&mut log, "first"));
}

/// Guards against more than one request at the end of a quarantine, and against a quarantine that
/// goes on after its run.
#[test]
fn part_suspension_ends() {
    let mut log = Log::default();
    for target in ["e1", "e2", "e3"] {
        part_crash(&mut log, target, &["first", "bad"]);
    }
    assert!(is_part_quarantined(&mut log, "bad"));
    let permit = Command::EndSuspension { request: request("bad") };
    assert_eq!(log.refused(permit.clone()), CommandError::Suspended(request("bad")));
    log.now += SUSPENSION_MS;
    assert_eq!(log.apply(permit.clone()), Reply::Done);
    assert!(is_part_quarantined(&mut log, "bad"));
    assert_eq!(log.refused(permit.clone()), CommandError::Suspended(request("bad")));
    log.now += SUSPENSION_MS;
    assert_eq!(log.refused(permit.clone()), CommandError::Suspended(request("bad")));
    log.now += SUSPENSION_MS;
    assert_eq!(log.apply(permit), Reply::Done);
    part_run(&mut log, "bad");
    assert!(!is_part_quarantined(&mut log, "bad"));
    assert_eq!(log.state.suspect_crashes(&request("bad")), 0);
}

/// Guards against a part that stays free because a request with it crashed several targets and
/// explains their crashes as well.
#[test]
fn part_crash_one_request_first() {
    let mut log = Log::default();
    let mut resumed = |target: &str, parts: &[&str]| {
        let report = Command::ReportCrash {
            target: target.parse().unwrap(),
            incarnation: Incarnation(1),
            requests: vec![request("resumed")],
            isolation: Isolation::Shared,
            any_caller: Vec::new(),
            callers: Vec::new(),
            completed: Vec::new(),
            parts: suspect_parts(parts),
            part_runs: Vec::new(),
        };
        log.apply(report)
    };
    for target in ["e1", "e2", "e3"] {
        resumed(target, &["first", "bad", "own"]);
    }
    assert!(log.state.is_quarantined(&request("resumed")));
    part_crash(&mut log, "e4", &["first", "bad", "other"]);
    assert!(is_part_quarantined(&mut log, "bad"));
    assert!(!is_part_quarantined(&mut log, "own"));
}
