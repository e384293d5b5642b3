//! Unit tests of the gateway's decision logic, without a network.

use std::time::Duration;

use rstest::rstest;
use shallotdrum_gateway::{
    EntryCount, EventOrder, EventSplitter, EventTooLong, FallbackSelector, MAX_EVENT_BYTES,
    RequestProgress, RetryAllowance, RetryBudget, RetryDecision, SendFailure, decide_retry,
    resend_delay,
};
use shallotdrum_routes::RetryPolicy;
use shallotdrum_types::{AdapterRef, PoolId, TargetId};
use tokio::time::Instant;

const LEFT: Duration = Duration::from_secs(2);
const STREAM: RetryPolicy = RetryPolicy::Stream { is_resumable: false };
const RESUMABLE: RetryPolicy = RetryPolicy::Stream { is_resumable: true };

fn progress(failure: SendFailure, possible_runs: u32) -> RequestProgress {
    RequestProgress { failure, possible_runs, sends: possible_runs.max(1), left: LEFT }
}

/// Guards against requests that use up their sends within milliseconds at crashed targets, and against a
/// delay while the owner knows other targets.
#[rstest]
#[case::first(SendFailure::NotSent, &["a"], false)]
#[case::other(SendFailure::NotSent, &["a", "b"], false)]
#[case::again(SendFailure::NotSent, &["a", "b", "a"], true)]
#[case::again_refused(SendFailure::NotRun, &["a", "a"], false)]
#[case::none(SendFailure::NotSent, &[], false)]
fn resend_delayed(#[case] failure: SendFailure, #[case] failed: &[&str], #[case] expected: bool) {
    let failed: Vec<TargetId> = failed.iter().map(|id| id.parse().unwrap()).collect();
    assert_eq!(!resend_delay(failure, &failed).is_zero(), expected);
}

/// Guards against a second run of an at-most-once request, and against giving up a request that
/// certainly did not run.
#[rstest]
#[case::once_not_sent(
    RetryPolicy::AtMostOnce,
    SendFailure::NotSent,
    0,
    RetryDecision::Resend { uses_budget: false }
)]
#[case::once_refused(
    RetryPolicy::AtMostOnce,
    SendFailure::NotRun,
    0,
    RetryDecision::Resend { uses_budget: true }
)]
#[case::once_failed(RetryPolicy::AtMostOnce, SendFailure::Failed, 1, RetryDecision::GiveUp)]
#[case::once_unknown(RetryPolicy::AtMostOnce, SendFailure::Unknown, 1, RetryDecision::GiveUp)]
#[case::once_refused_after_run(
    RetryPolicy::AtMostOnce,
    SendFailure::NotRun,
    1,
    RetryDecision::GiveUp
)]
#[case::stream_unknown(STREAM, SendFailure::Unknown, 1, RetryDecision::GiveUp)]
#[case::resumable_unknown(
    RESUMABLE,
    SendFailure::Unknown,
    1,
    RetryDecision::Resend { uses_budget: true }
)]
#[case::idempotent_failed(
    RetryPolicy::Idempotent,
    SendFailure::Failed,
    1,
    RetryDecision::Resend { uses_budget: true }
)]
#[case::idempotent_runs_used(
    RetryPolicy::Idempotent,
    SendFailure::Failed,
    2,
    RetryDecision::GiveUp
)]
#[case::idempotent_unsent_after_runs(
    RetryPolicy::Idempotent,
    SendFailure::NotSent,
    2,
    RetryDecision::GiveUp
)]
fn decide_retry_by_failure(
    #[case] repeat: RetryPolicy,
    #[case] failure: SendFailure,
    #[case] possible_runs: u32,
    #[case] expected: RetryDecision,
) {
    assert_eq!(decide_retry(repeat, 2, progress(failure, possible_runs)), expected);
}

/// Guards against retries with too little time left for a response, and against a request that is
/// sent to every target of a failing pool.
#[rstest]
#[case::no_time(1, Duration::from_millis(5))]
#[case::many_sends(20, LEFT)]
fn decide_retry_limits(#[case] sends: u32, #[case] left: Duration) {
    let progress = RequestProgress { failure: SendFailure::NotSent, possible_runs: 0, sends, left };
    assert_eq!(decide_retry(RetryPolicy::Idempotent, 2, progress), RetryDecision::GiveUp);
}

/// Guards against entries that together exceed the retry allowance, for several numbers of entries
/// and requests.
#[rstest]
#[case::few_requests(8, 0)]
#[case::many_requests(8, 100)]
#[case::one_entry(1, 50)]
fn budget_sum_within_allowance(#[case] entries: usize, #[case] requests: usize) {
    let allowance = RetryAllowance { ratio: 0.2, extra: 56.0, window: Duration::from_secs(10) };
    let mut granted = 0;
    for _ in 0..entries {
        let mut budget = RetryBudget::default();
        for _ in 0..requests {
            budget.count_request(Instant::now(), &allowance);
        }
        granted += (0..1_000)
            .filter(|_| budget.try_consume(Instant::now(), &allowance, Some(entries)))
            .count();
    }
    let allowed = allowance.ratio * (entries * requests) as f64 + allowance.extra;
    assert!(granted as f64 <= allowed, "{granted} of {allowed}");
    assert!(granted as f64 >= allowed / 2.0, "{granted} of {allowed}");
}

/// Guards against an entry that takes the shares of others whose sessions ended with their leader:
/// they make retries meanwhile.
#[test]
fn budget_shared_while_sessions_reopen() {
    const ENTRIES: usize = 8;
    let allowance = RetryAllowance { ratio: 0.0, extra: 56.0, window: Duration::from_secs(10) };
    let mut now = Instant::now();
    let mut granted = 0;
    let mut entries = EntryCount::new(None);
    let mut budgets: Vec<_> = (0..ENTRIES).map(|_| RetryBudget::default()).collect();
    for sessions in [ENTRIES, 0, 1, 3] {
        now += Duration::from_secs(1);
        entries.record(now, sessions);
        let sharing = entries.sharing(now, &allowance);
        assert!(sharing.is_some());
        for budget in &mut budgets {
            granted += (0..100).filter(|_| budget.try_consume(now, &allowance, sharing)).count();
        }
    }
    assert!(granted as f64 <= allowance.extra, "{granted} of {}", allowance.extra);

    now += allowance.window * 3;
    entries.record(now, 3);
    assert_eq!(entries.sharing(now, &allowance), Some(3));
}

/// Guards against a fixed part that each process of a restarted entry uses again, and against one
/// that an entry keeps when the others no longer count it.
#[test]
fn budget_without_fixed_part() {
    let allowance = RetryAllowance { ratio: 0.2, extra: 56.0, window: Duration::from_secs(10) };
    let started = Instant::now();
    let second = Duration::from_secs(1);
    let mut entries = EntryCount::new(Some(started));
    entries.record(started + second, 4);
    assert_eq!(entries.sharing(started + allowance.window, &allowance), None);
    assert_eq!(entries.sharing(started + allowance.window + second, &allowance), Some(4));
    assert_eq!(entries.sharing(started + allowance.window * 3 + second, &allowance), None);

    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.count_request(started, &allowance);
    }
    let granted = (0..100).filter(|_| budget.try_consume(started, &allowance, None)).count();
    assert!((1..=20).contains(&granted), "{granted}");
}

/// Guards against retries that are never forgotten: after a window, the budget must be available
/// again.
#[test]
fn budget_window_passes() {
    let allowance = RetryAllowance { ratio: 0.0, extra: 10.0, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::default();
    let now = Instant::now();
    let first = (0..100).filter(|_| budget.try_consume(now, &allowance, Some(1))).count();
    assert!(first > 0);
    let later = now + allowance.window + Duration::from_millis(1);
    assert_eq!((0..100).filter(|_| budget.try_consume(later, &allowance, Some(1))).count(), first);
}

/// Guards against incomplete events that reach the caller before a stream breaks, and against a
/// wrong id to resume after, for several splits of the bytes.
#[rstest]
#[case::whole(&["id: 1\ndata: a\n\n"], "id: 1\ndata: a\n\n", Some("1"), false)]
#[case::cut_in_end(&["id: 1\ndata: a\n", "\nid: 2\nda"], "id: 1\ndata: a\n\n", Some("1"), true)]
#[case::two_at_once(&["id: 1\n\nid: 2\n\n"], "id: 1\n\nid: 2\n\n", Some("2"), false)]
#[case::carriage_returns(&["id:7\r\ndata: b\r", "\n\r\n"], "id:7\r\ndata: b\r\n\r\n", Some("7"), false)]
#[case::only_a_part(&["id: 1\ndata"], "", None, true)]
#[case::other_header(&["x-weight: 3\nid: 4\n\n"], "x-weight: 3\nid: 4\n\n", Some("4"), false)]
fn splitter_returns_complete_events(
    #[case] parts: &[&str],
    #[case] expected: &str,
    #[case] last: Option<&str>,
    #[case] has_pending: bool,
) {
    let mut splitter = EventSplitter::default();
    let output: Vec<u8> =
        parts.iter().filter_map(|part| splitter.push(part.as_bytes()).unwrap()).flatten().collect();
    assert_eq!(String::from_utf8(output.clone()).unwrap(), expected);
    let mut order = EventOrder::new(None);
    assert_eq!(order.admit(&output.into()), (expected.to_owned().into(), Ok(())));
    assert_eq!(order.resume_after(), Ok(last));
    assert_eq!(splitter.has_pending(), has_pending);
}

/// Guards against output that depends on where the network splits the stream.
#[test]
fn splitter_any_cut() {
    let stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for first in 0..stream.len() {
        for second in first..stream.len() {
            let mut splitter = EventSplitter::default();
            let parts = [&stream[..first], &stream[first..second], &stream[second..]];
            let output: Vec<u8> = parts
                .iter()
                .filter_map(|part| splitter.push(part.as_bytes()).unwrap())
                .flatten()
                .collect();
            assert_eq!(output, stream.as_bytes(), "cut at {first} and {second}");
            let mut order = EventOrder::new(None);
            assert_eq!(order.admit(&output.into()), (stream.into(), Ok(())));
            assert_eq!(order.resume_after(), Ok(Some("3")));
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

/// Guards against requests that are sent to engines without their adapter while no owner can order
/// a load.
#[rstest]
#[case::held("1", &["e1", "e2"], Some("e2"))]
#[case::other_version("2", &["e1", "e2"], None)]
#[case::holder_gone("1", &["e1"], None)]
fn fallback_selects_holder(
    #[case] version: &str,
    #[case] candidates: &[&str],
    #[case] expected: Option<&str>,
) {
    let mut fallback = FallbackSelector::default();
    let now = Instant::now();
    fallback.record_grant(&pool(), &adapter("1"), &targets(&["e2"])[0], now);
    let chosen = fallback.choose(&pool(), Some(&adapter(version)), &targets(candidates), 0.5, now);
    assert_eq!(chosen, expected.map(|name| name.parse().unwrap()));
}

/// Guards against grants that are trusted for too long, and against the selection of targets that
/// refused the adapter.
#[test]
fn fallback_drops_holders() {
    let (mut fallback, now) = (FallbackSelector::default(), Instant::now());
    let candidates = targets(&["e1", "e2"]);
    let choose = |fallback: &FallbackSelector, now| {
        fallback.choose(&pool(), Some(&adapter("1")), &candidates, 0.0, now)
    };
    fallback.record_grant(&pool(), &adapter("1"), &candidates[0], now);
    fallback.record_grant(&pool(), &adapter("1"), &candidates[1], now);
    fallback.record_refusal(&pool(), &adapter("1"), &candidates[0]);
    assert_eq!(choose(&fallback, now), Some(candidates[1].clone()));
    assert_eq!(choose(&fallback, now + Duration::from_secs(60)), None);
}

/// Guards against overload of a target by entries that don't know of each other's requests.
#[test]
fn fallback_limits_in_progress() {
    let (mut fallback, now) = (FallbackSelector::default(), Instant::now());
    let candidates = targets(&["s1", "s2"]);
    let mut sent = 0;
    while let Some(target) = fallback.choose(&pool(), None, &candidates, 0.3, now) {
        fallback.begin(&target);
        sent += 1;
        assert!(sent < 100, "no bound");
    }
    assert_eq!(sent % 2, 0, "both targets get the same number");
    fallback.end(&candidates[0]);
    assert_eq!(fallback.choose(&pool(), None, &candidates, 0.9, now), Some(candidates[0].clone()));
}

/// Guards against buffering an event that does not end.
#[test]
fn splitter_endless_event() {
    let mut splitter = EventSplitter::default();
    let complete = "data: 1\n\n".repeat(MAX_EVENT_BYTES);
    assert_eq!(splitter.push(complete.as_bytes()).unwrap().unwrap(), complete);
    let part = [b'x'; 1024];
    let pushed = (0..).find(|_| splitter.push(&part) == Err(EventTooLong)).unwrap();
    assert_eq!(pushed, MAX_EVENT_BYTES / part.len());
}
