//! Quarantine of requests that crash their targets.

mod common;

use common::Log;
use shallotdrum_control::{
    Command, CommandError, CompletedRuns, Isolation, MAX_SUSPECTS, RUNS_PER_CRASH, Reply,
    SUSPECT_LIFETIME_MS, SUSPENSION_MS,
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
        completed: Vec::new(),
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

/// Reports a crash for requests of known callers, each with the identity of its path.
fn path_crash(log: &mut Log, target: &str, callers: &[&str], runs: &[(&str, u64)]) {
    let requests = callers.iter().chain(&["path"]).map(|name| request(name)).collect();
    let report = Command::ReportCrash {
        target: target.parse().unwrap(),
        incarnation: Incarnation(1),
        requests,
        isolation: Isolation::Shared,
        any_caller: vec![request("path")],
        completed: completed(runs),
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
    let runs = Command::ReportRuns { completed: completed(&[("path", RUNS_PER_CRASH)]) };
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
    let runs = Command::ReportRuns { completed: completed(&[("unlucky", 1)]) };
    assert_eq!(log.apply(runs), Reply::Done);
    assert_eq!(suspension(&log, "unlucky"), Some(SUSPENSION_MS));
}
