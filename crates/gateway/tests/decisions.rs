//! Decisions of the gateway, without a network.

use std::time::Duration;

use rstest::rstest;
use shallotdrum_gateway::{
    After, Attempt, EventSplitter, Holders, RetryBudget, RetryShare, Step, next_step,
};
use shallotdrum_routes::Repeat;
use shallotdrum_types::{AdapterRef, PoolId, TargetId};
use tokio::time::Instant;

const LEFT: Duration = Duration::from_secs(2);
const STREAM: Repeat = Repeat::Stream { is_resumable: false };
const RESUMABLE: Repeat = Repeat::Stream { is_resumable: true };

fn after(attempt: Attempt, runs: u32) -> After {
    After { attempt, runs, sends: runs.max(1), left: LEFT }
}

/// Guards against a second run of a request that may run once, and against giving up one that
/// certainly did not run.
#[rstest]
#[case::once_not_sent(Repeat::AtMostOnce, Attempt::NotSent, 0, Step::Resend { is_charged: false })]
#[case::once_refused(Repeat::AtMostOnce, Attempt::NotRun, 0, Step::Resend { is_charged: true })]
#[case::once_failed(Repeat::AtMostOnce, Attempt::Failed, 1, Step::GiveUp)]
#[case::once_unknown(Repeat::AtMostOnce, Attempt::Unknown, 1, Step::GiveUp)]
#[case::once_refused_after_run(Repeat::AtMostOnce, Attempt::NotRun, 1, Step::GiveUp)]
#[case::stream_unknown(STREAM, Attempt::Unknown, 1, Step::GiveUp)]
#[case::resumable_unknown(RESUMABLE, Attempt::Unknown, 1, Step::Resend { is_charged: true })]
#[case::idempotent_failed(Repeat::Idempotent, Attempt::Failed, 1, Step::Resend { is_charged: true })]
#[case::idempotent_runs_used(Repeat::Idempotent, Attempt::Failed, 2, Step::GiveUp)]
#[case::idempotent_unsent_after_runs(Repeat::Idempotent, Attempt::NotSent, 2, Step::GiveUp)]
fn next_step_repeats(
    #[case] repeat: Repeat,
    #[case] attempt: Attempt,
    #[case] runs: u32,
    #[case] expected: Step,
) {
    assert_eq!(next_step(repeat, 2, after(attempt, runs)), expected);
}

/// Guards against attempts that can't be answered before the caller leaves, and against a request
/// that visits every target of a failing pool.
#[rstest]
#[case::no_time(1, Duration::from_millis(5))]
#[case::many_sends(20, LEFT)]
fn next_step_ends(#[case] sends: u32, #[case] left: Duration) {
    let after = After { attempt: Attempt::NotSent, runs: 0, sends, left };
    assert_eq!(next_step(Repeat::Idempotent, 2, after), Step::GiveUp);
}

/// Guards against entries that together exceed the allowance for repeats, whatever the order of
/// requests and repeats.
#[rstest]
#[case::few_requests(8, 0)]
#[case::many_requests(8, 100)]
#[case::one_entry(1, 50)]
fn budget_sum_within_allowance(#[case] entries: usize, #[case] requests: usize) {
    let share = RetryShare { ratio: 0.2, extra: 56.0, window: Duration::from_secs(10) };
    let mut granted = 0;
    for _ in 0..entries {
        let mut budget = RetryBudget::default();
        for _ in 0..requests {
            budget.count_request(Instant::now(), &share);
        }
        granted += (0..1_000).filter(|_| budget.take(Instant::now(), &share, entries)).count();
    }
    let allowed = share.ratio * (entries * requests) as f64 + share.extra;
    assert!(granted as f64 <= allowed, "{granted} of {allowed}");
    assert!(granted as f64 >= allowed / 2.0, "{granted} of {allowed}");
}

/// Guards against repeats that count for ever: those of a past window give room again.
#[test]
fn budget_window_passes() {
    let share = RetryShare { ratio: 0.0, extra: 10.0, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::default();
    let now = Instant::now();
    let first = (0..100).filter(|_| budget.take(now, &share, 1)).count();
    assert!(first > 0);
    let later = now + share.window + Duration::from_millis(1);
    assert_eq!((0..100).filter(|_| budget.take(later, &share, 1)).count(), first);
}

/// Guards against a part of an event that reaches the caller before the stream breaks, and
/// against a wrong event to go on after, however the bytes are cut.
#[rstest]
#[case::whole(&["id: 1\ndata: a\n\n"], "id: 1\ndata: a\n\n", Some("1"), false)]
#[case::cut_in_end(&["id: 1\ndata: a\n", "\nid: 2\nda"], "id: 1\ndata: a\n\n", Some("1"), true)]
#[case::two_at_once(&["id: 1\n\nid: 2\n\n"], "id: 1\n\nid: 2\n\n", Some("2"), false)]
#[case::carriage_returns(&["id:7\r\ndata: b\r", "\n\r\n"], "id:7\r\ndata: b\r\n\r\n", Some("7"), false)]
#[case::only_a_part(&["id: 1\ndata"], "", None, true)]
#[case::other_header(&["x-weight: 3\nid: 4\n\n"], "x-weight: 3\nid: 4\n\n", Some("4"), false)]
fn splitter_passes_whole_events(
    #[case] parts: &[&str],
    #[case] expected: &str,
    #[case] last: Option<&str>,
    #[case] has_pending: bool,
) {
    let mut splitter = EventSplitter::default();
    let passed: Vec<u8> =
        parts.iter().filter_map(|part| splitter.push(part.as_bytes())).flatten().collect();
    assert_eq!(String::from_utf8(passed).unwrap(), expected);
    assert_eq!(splitter.last_id(), last);
    assert_eq!(splitter.has_pending(), has_pending);
}

/// Guards against events that depend on where the network cuts the stream.
#[test]
fn splitter_any_cut() {
    let stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for first in 0..stream.len() {
        for second in first..stream.len() {
            let mut splitter = EventSplitter::default();
            let parts = [&stream[..first], &stream[first..second], &stream[second..]];
            let passed: Vec<u8> =
                parts.iter().filter_map(|part| splitter.push(part.as_bytes())).flatten().collect();
            assert_eq!(passed, stream.as_bytes(), "cut at {first} and {second}");
            assert_eq!(splitter.last_id(), Some("3"));
        }
    }
}

fn pool() -> PoolId {
    "models".parse().unwrap()
}

fn adapter(version: &str) -> AdapterRef {
    AdapterRef { adapter: "a1".parse().unwrap(), version: version.parse().unwrap() }
}

fn targets(names: &[&str]) -> Vec<TargetId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Guards against requests that go to engines which do not hold their adapter while no owner can
/// order a load.
#[rstest]
#[case::held("1", &["e1", "e2"], Some("e2"))]
#[case::other_version("2", &["e1", "e2"], None)]
#[case::holder_gone("1", &["e1"], None)]
fn holders_choose(#[case] version: &str, #[case] usable: &[&str], #[case] expected: Option<&str>) {
    let mut holders = Holders::default();
    let now = Instant::now();
    holders.note(&pool(), &adapter("1"), &targets(&["e2"])[0], now);
    let chosen = holders.choose(&pool(), Some(&adapter(version)), &targets(usable), 0.5, now);
    assert_eq!(chosen, expected.map(|name| name.parse().unwrap()));
}

/// Guards against grants that are trusted for too long, and against targets that refused.
#[test]
fn holders_forget() {
    let (mut holders, now) = (Holders::default(), Instant::now());
    let usable = targets(&["e1", "e2"]);
    let choose =
        |holders: &Holders, now| holders.choose(&pool(), Some(&adapter("1")), &usable, 0.0, now);
    holders.note(&pool(), &adapter("1"), &usable[0], now);
    holders.note(&pool(), &adapter("1"), &usable[1], now);
    holders.forget(&pool(), &adapter("1"), &usable[0]);
    assert_eq!(choose(&holders, now), Some(usable[1].clone()));
    assert_eq!(choose(&holders, now + Duration::from_secs(60)), None);
}

/// Guards against entries that overload a target while none of them knows of the others.
#[test]
fn holders_bound_own_requests() {
    let (mut holders, now) = (Holders::default(), Instant::now());
    let usable = targets(&["s1", "s2"]);
    let mut sent = 0;
    while let Some(target) = holders.choose(&pool(), None, &usable, 0.3, now) {
        holders.begin(&target);
        sent += 1;
        assert!(sent < 100, "no bound");
    }
    assert_eq!(sent % 2, 0, "both targets get the same number");
    holders.end(&usable[0]);
    assert_eq!(holders.choose(&pool(), None, &usable, 0.9, now), Some(usable[0].clone()));
}
