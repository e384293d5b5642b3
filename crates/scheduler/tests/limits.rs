//! Limits that targets name on the requests that they take from all instances.

mod support;

use std::time::Duration;

use rstest::rstest;
use shallotdrum_engine::TargetKind;
use shallotdrum_scheduler::{AdmissionRequest, RequestKind};
use shallotdrum_types::{Incarnation, RequestErrorKind, RequestRate};
use support::{Group, completion, config, counts, group, request_of_kind, spec, target};
use tokio::time::{Instant, sleep};

/// Responses of the targets take this long.
const RUN_TIME: Duration = Duration::from_millis(20);

fn call(subscriber: &str, deadline: Duration) -> AdmissionRequest {
    let request = request_of_kind(subscriber, RequestKind::Service { is_repeatable: true });
    AdmissionRequest { deadline: Instant::now() + deadline, ..request }
}

fn services(n: u32) -> Group {
    let group = group(config());
    for n in 1..=n {
        let kind = TargetKind::Service { max_concurrent: 6 };
        group.scheduler.upsert_target(spec(&format!("s{n}"), 1, kind));
    }
    group
}

fn name_limit(group: &Group, id: &str, limit: Option<f64>) {
    name_limit_at(group, id, limit, Instant::now());
}

fn name_limit_at(group: &Group, id: &str, limit: Option<f64>, at: Instant) {
    let limit = limit.map(|limit| RequestRate::new(limit).unwrap());
    group.scheduler.observe_limit(&target(id), Incarnation(1), limit, at);
}

/// Sends calls at an interval; returns the targets that they ran on.
async fn run_calls(group: &Group, n: u32, interval: Duration) -> Vec<String> {
    let mut runs = Vec::new();
    for _ in 0..n {
        runs.push(group.run(call("a", Duration::from_secs(3)), RUN_TIME));
        sleep(interval).await;
    }
    let mut targets = Vec::new();
    for run in runs {
        targets.extend(run.await.unwrap().ok().map(|done| done.target));
    }
    targets
}

/// Guards against requests that wait for a target with a limit while others have capacity.
#[tokio::test(start_paused = true)]
async fn limited_target_bypassed() {
    let group = services(3);
    name_limit(&group, "s1", Some(1.0));
    let targets = run_calls(&group, 200, Duration::from_millis(50)).await;
    assert_eq!(targets.len(), 200);
    // 10 s at 1 per second, and what may be saved up.
    let limited = counts(targets).get("s1").copied().unwrap_or_default();
    assert!((5..=12).contains(&limited), "{limited}");
}

/// Guards against a limit that holds back more than it must, where it is high.
#[tokio::test(start_paused = true)]
async fn high_limit_used() {
    let group = services(1);
    name_limit(&group, "s1", Some(200.0));
    let mut runs = Vec::new();
    for _ in 0..600 {
        runs.push(group.run(call("a", Duration::from_secs(8)), Duration::from_millis(1)));
    }
    let at = Instant::now();
    for run in runs {
        run.await.unwrap().unwrap();
    }
    let took = at.elapsed();
    assert!(took <= Duration::from_millis(3_300), "{took:?}");
    assert!(took >= Duration::from_millis(2_800), "{took:?}");
}

/// Guards against a new owner that admits a burst to a target although the previous one just did.
#[tokio::test(start_paused = true)]
async fn limit_starts_empty() {
    let group = services(1);
    name_limit(&group, "s1", Some(1.0));
    let at = Instant::now();
    group.run(call("a", Duration::from_secs(3)), RUN_TIME).await.unwrap().unwrap();
    assert!(at.elapsed() >= Duration::from_secs(1));
}

/// Guards against requests that wait until their deadline although it is known that they get no
/// place, and against a `Retry-After` before there is one.
#[tokio::test(start_paused = true)]
async fn hopeless_refused_at_once() {
    let group = services(2);
    for id in ["s1", "s2"] {
        name_limit(&group, id, Some(1.0));
    }
    let mut waiting = Vec::new();
    for _ in 0..20 {
        waiting.push(group.run(call("a", Duration::from_secs(3)), RUN_TIME));
    }
    sleep(Duration::from_millis(100)).await;
    let refused = waiting.iter().filter(|run| run.is_finished()).count();
    // Two places become free after 1, 2 and 3 s each; the last two leave no time to run.
    assert_eq!(refused, 16);
    let mut served = 0;
    for run in waiting {
        match run.await.unwrap() {
            Ok(_) => served += 1,
            Err(error) => {
                assert_eq!(error.kind, RequestErrorKind::Overloaded);
                assert!(error.retry_after.unwrap() >= Duration::from_secs(3), "{error:?}");
            }
        }
    }
    assert_eq!(served + refused, 20);
}

/// Guards against queueing a request whose place would come a moment too late.
#[tokio::test(start_paused = true)]
async fn place_just_too_late() {
    let group = services(1);
    name_limit(&group, "s1", Some(1.0));
    let at = Instant::now();
    let deadline = Duration::from_secs(1) + RUN_TIME + Duration::from_millis(10);
    let refused = group.run(call("a", deadline), RUN_TIME).await.unwrap().unwrap_err();
    assert_eq!(refused.kind, RequestErrorKind::Overloaded);
    assert!(at.elapsed() < RUN_TIME);
}

/// Guards against refusing queued requests only at their deadline when the last target names a
/// limit.
#[tokio::test(start_paused = true)]
async fn queued_refused_when_limited() {
    let group = services(1);
    let running: Vec<_> = (0..6)
        .map(|_| group.run(call("a", Duration::from_secs(60)), Duration::from_secs(1)))
        .collect();
    sleep(Duration::from_millis(1)).await;
    let queued: Vec<_> =
        (0..20).map(|_| group.run(call("a", Duration::from_secs(4)), RUN_TIME)).collect();
    sleep(Duration::from_millis(1)).await;
    assert!(queued.iter().all(|run| !run.is_finished()));
    name_limit(&group, "s1", Some(1.0));
    sleep(Duration::from_millis(100)).await;
    let refused = queued.iter().filter(|run| run.is_finished()).count();
    assert!(refused >= 16, "{refused}");
    drop(running);
}

/// Guards against light subscribers that get no place because of a heavy one.
#[tokio::test(start_paused = true)]
async fn light_subscriber_admitted() {
    let group = services(2);
    for id in ["s1", "s2"] {
        name_limit(&group, id, Some(1.0));
    }
    let mut heavy = Vec::new();
    let mut light = Vec::new();
    for n in 0..400 {
        heavy.push(group.run(call("heavy", Duration::from_secs(4)), RUN_TIME));
        if n % 40 == 39 {
            light.push(group.run(call("light", Duration::from_secs(4)), RUN_TIME));
        }
        sleep(Duration::from_millis(50)).await;
    }
    for run in light {
        let done = run.await.unwrap().expect("a light subscriber's call is served");
        assert!(done.wait <= Duration::from_secs(2), "{:?}", done.wait);
    }
}

/// Guards against applying a limit that has ended, because another entry saw it before.
#[tokio::test(start_paused = true)]
async fn older_observation_ignored() {
    let group = services(1);
    let named_at = Instant::now();
    name_limit(&group, "s1", Some(1.0));
    sleep(Duration::from_secs(1)).await;
    name_limit(&group, "s1", None);
    name_limit_at(&group, "s1", Some(1.0), named_at);
    let at = Instant::now();
    run_calls(&group, 6, Duration::ZERO).await;
    assert!(at.elapsed() < Duration::from_millis(500));
}

/// Guards against a limit of 0 that never ends, as no response can show its end.
#[rstest]
#[case::zero(0.0)]
#[case::tiny(0.001)]
#[tokio::test(start_paused = true)]
async fn smallest_limit_probed(#[case] limit: f64) {
    let group = services(1);
    name_limit(&group, "s1", Some(limit));
    group.run(call("a", Duration::from_secs(5)), RUN_TIME).await.unwrap().unwrap();
}

/// Guards against applying the limit of an earlier process.
#[tokio::test(start_paused = true)]
async fn limit_ends_with_process() {
    let group = services(1);
    name_limit(&group, "s1", Some(0.0));
    let kind = TargetKind::Service { max_concurrent: 6 };
    group.scheduler.upsert_target(spec("s1", 2, kind));
    name_limit(&group, "s1", Some(0.0));
    let at = Instant::now();
    run_calls(&group, 6, Duration::ZERO).await;
    assert!(at.elapsed() < Duration::from_millis(500));
}

/// Guards against requests that wait for the only engine with their adapter, which names a limit.
#[tokio::test(start_paused = true)]
async fn adapter_of_limited_engine_loaded_elsewhere() {
    let group = group(config());
    group.engine("e1", 1, 2, 64);
    let first = group.run(completion("a", "x"), RUN_TIME).await.unwrap().unwrap();
    assert_eq!(first.target, "e1");
    group.engine("e2", 1, 2, 64);
    name_limit(&group, "e1", Some(1.0));
    let mut runs = Vec::new();
    for _ in 0..20 {
        runs.push(group.run(completion("a", "x"), RUN_TIME));
        sleep(Duration::from_millis(50)).await;
    }
    let mut targets = Vec::new();
    for run in runs {
        let done = run.await.unwrap().unwrap();
        assert!(done.wait < Duration::from_secs(1), "{:?}", done.wait);
        targets.push(done.target);
    }
    assert!(counts(targets)["e2"] >= 17);
}
