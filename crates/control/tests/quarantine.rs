//! Quarantine of requests that crash their targets.

mod common;

use common::Log;
use shallotdrum_control::{
    Command, CommandError, Isolation, MAX_SUSPECTS, Reply, SUSPECT_LIFETIME_MS,
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
    let report = Command::ReportCrash { target, incarnation, requests, isolation };
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
