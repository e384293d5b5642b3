//! Single decisions by urgency: order, refusal, displacement and the priority for the engine.

mod support;

use std::time::Duration;

use rstest::rstest;
use shallotdrum_engine::{Priority, TargetKind, Urgency};
use shallotdrum_scheduler::{AdmissionRequest, Finish, RequestKind, SchedulerConfig, Scheduling};
use shallotdrum_types::RequestErrorKind;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

use support::{Group, answered, completion, config, group, request_of_kind, spec};

/// Duration of each call.
const CALL: Duration = Duration::from_millis(100);
/// Longer than any wait in these tests.
const MAX_WAIT: Duration = Duration::from_secs(20);

fn urgent_config() -> SchedulerConfig {
    SchedulerConfig { scheduling: Scheduling::Urgency, ..config() }
}

/// A service that runs one call at a time, and from which the duration of calls was learned.
async fn single_service(cfg: SchedulerConfig) -> Group {
    let group = group(cfg);
    group.scheduler.upsert_target(spec("s1", 1, TargetKind::Service { max_concurrent: 1 }));
    for _ in 0..4 {
        let lease = group.admit(call("learn", 0)).await.unwrap();
        lease.started();
        sleep(CALL).await;
        lease.finish(answered(0));
    }
    group
}

fn call(subscriber: &str, rank: u8) -> AdmissionRequest {
    let mut request = request_of_kind(subscriber, RequestKind::Service { is_repeatable: true });
    request.urgency = Urgency { route: rank, ..Urgency::default() };
    request
}

fn due_in(request: AdmissionRequest, time: Duration) -> AdmissionRequest {
    AdmissionRequest { deadline: Instant::now() + time, ..request }
}

/// Names of the calls in the order in which they are admitted, without those that are refused.
async fn admission_order<T>(calls: Vec<(T, JoinHandle<Option<Instant>>)>) -> Vec<T> {
    let mut admitted = Vec::new();
    for (name, call) in calls {
        if let Some(at) = timeout(MAX_WAIT, call).await.unwrap().unwrap() {
            admitted.push((at, name));
        }
    }
    admitted.sort_by_key(|(at, _)| *at);
    admitted.into_iter().map(|(_, name)| name).collect()
}

/// Runs a call in a separate task; returns when it was admitted.
async fn queue(group: &Group, request: AdmissionRequest) -> JoinHandle<Option<Instant>> {
    let scheduler = group.scheduler.clone();
    let task = tokio::spawn(async move {
        let lease = scheduler.admit(request).await.ok()?;
        let at = Instant::now();
        lease.started();
        sleep(CALL).await;
        lease.finish(answered(0));
        Some(at)
    });
    tokio::task::yield_now().await;
    task
}

/// Guards against a first-come order, in which an urgent call waits behind the others.
#[tokio::test(start_paused = true)]
async fn order_urgent_first() {
    let group = single_service(urgent_config()).await;
    let mut calls = vec![(9, queue(&group, call("running", 2)).await)];
    for (n, rank) in [2, 1, 0, 1].into_iter().enumerate() {
        calls.push((rank, queue(&group, call(&format!("c{n}"), rank)).await));
    }
    assert_eq!(admission_order(calls).await, [9, 0, 1, 1, 2]);
}

/// Guards against an order of the customers that the routes' ranks override.
#[tokio::test(start_paused = true)]
async fn order_customer_before_route() {
    let group = single_service(urgent_config()).await;
    let mut calls = vec![("running", queue(&group, call("running", 2)).await)];
    for (name, customer, route) in [("light", 7, 0), ("heavy", 1, 3)] {
        let request = AdmissionRequest { urgency: Urgency { customer, route }, ..call(name, 0) };
        calls.push((name, queue(&group, request).await));
    }
    assert_eq!(admission_order(calls).await, ["running", "heavy", "light"]);
}

/// Guards against calls that are served after their objective because others, which had missed theirs
/// before, go first; and against a late call that misses its deadline for that.
#[rstest]
#[case::has_time(Duration::from_secs(10), ["running", "on_time", "late"])]
#[case::has_no_time(Duration::from_millis(260), ["running", "late", "on_time"])]
#[tokio::test(start_paused = true)]
async fn order_late_after_on_time(#[case] left: Duration, #[case] expected: [&str; 3]) {
    let group = single_service(urgent_config()).await;
    let mut calls = vec![("running", queue(&group, call("running", 0)).await)];
    let mut late = due_in(call("a", 0), left);
    late.objective = Some(Instant::now() + Duration::from_millis(20));
    calls.push(("late", queue(&group, late).await));
    let mut on_time = call("b", 0);
    on_time.objective = Some(Instant::now() + Duration::from_millis(450));
    calls.push(("on_time", queue(&group, on_time).await));
    assert_eq!(admission_order(calls).await, expected);
}

/// Guards against a call that is held although the calls ahead of it leave no time, and against a time
/// for the retry that is rounded up to whole seconds.
#[tokio::test(start_paused = true)]
async fn admit_refuses_without_time_left() {
    let group = single_service(urgent_config()).await;
    let mut calls = Vec::new();
    for n in 0..10 {
        calls.push((n, queue(&group, call(&format!("c{n}"), 0)).await));
    }
    let asked_at = Instant::now();
    let request = due_in(call("next", 0), Duration::from_millis(800));
    let error = group.admit(request).await.unwrap_err();
    assert_eq!(asked_at.elapsed(), Duration::ZERO);
    assert_eq!(error.kind, RequestErrorKind::Overloaded);
    // The ten calls ahead take 1 s; this one must start 0.7 s from now.
    let retry = error.retry_after.unwrap();
    assert!(retry > Duration::from_millis(250) && retry < Duration::from_millis(400), "{retry:?}");
    // The queue moves in steps of a call, and places are granted at ticks.
    sleep(retry + CALL / 10).await;
    let again = due_in(call("next", 0), Duration::from_millis(850));
    let lease = timeout(MAX_WAIT, group.admit(again)).await.unwrap().unwrap();
    lease.finish(answered(0));
    assert_eq!(admission_order(calls).await.len(), 10);
}

/// Guards against a call that is held until its deadline after more urgent ones took its time.
#[tokio::test(start_paused = true)]
async fn queued_refused_once_hopeless() {
    let group = single_service(urgent_config()).await;
    let _running = queue(&group, call("running", 0)).await;
    let asked_at = Instant::now();
    let scheduler = group.scheduler.clone();
    let patient = due_in(call("patient", 2), Duration::from_millis(600));
    let patient = tokio::spawn(async move {
        let result = scheduler.admit(patient).await;
        (result.map(|_| ()).unwrap_err().kind, Instant::now())
    });
    tokio::task::yield_now().await;
    let mut urgent = Vec::new();
    for n in 0..40 {
        urgent.push(queue(&group, call(&format!("u{n}"), 0)).await);
    }
    let (kind, at) = timeout(MAX_WAIT, patient).await.unwrap().unwrap();
    assert_eq!(kind, RequestErrorKind::Overloaded);
    // The eighth call goes by tag alone, in 0.8 s; that is too late as well.
    assert!(at - asked_at < Duration::from_millis(100), "held for {:?}", at - asked_at);
}

/// Guards against an urgent call that is refused because less urgent ones fill the queue.
#[tokio::test(start_paused = true)]
async fn full_queue_displaces_least_urgent() {
    let group = single_service(SchedulerConfig { max_queued: 3, ..urgent_config() }).await;
    let mut calls = vec![("running", queue(&group, call("running", 0)).await)];
    calls.push(("usual", queue(&group, call("a", 1)).await));
    calls.push(("patient", queue(&group, call("b", 2)).await));
    let hasty = due_in(call("c", 2), Duration::from_secs(2));
    calls.push(("hasty", queue(&group, hasty).await));
    calls.push(("urgent", queue(&group, call("d", 0)).await));
    // Of the two least urgent calls, the one with the earlier deadline needs more for it.
    assert_eq!(group.scheduler.snapshot().displaced, 1);
    assert_eq!(admission_order(calls).await, ["running", "urgent", "usual", "patient"]);
}

/// Guards against urgent requests of which the engine does not learn that they are.
#[rstest]
#[case::first_route(&[5], 0, 0)]
#[case::second_route(&[5], 1, 39)]
#[case::third_route(&[5], 2, 78)]
#[case::later_route(&[5], 9, 117)]
#[case::first_customer(&[1, 5], 9, 0)]
#[case::second_customer(&[5, 1], 9, 39)]
#[tokio::test(start_paused = true)]
async fn priority_follows_rank(#[case] customers: &[u8], #[case] route: u8, #[case] expected: u8) {
    let group = group(urgent_config());
    group.engine("e1", 1, 2, 8);
    let mut first = None;
    // The customers send one request each; the first one then sends another.
    for customer in customers.iter().chain(&customers[..1]) {
        let mut request = completion("light", "a");
        request.urgency = Urgency { customer: *customer, route };
        let lease = timeout(MAX_WAIT, group.admit(request)).await.unwrap().unwrap();
        first = Some(lease.priority);
        lease.finish(Finish::Refused);
    }
    assert_eq!(first, Some(Priority(expected)));
}

/// Guards against streams whose duration is taken for that of calls.
#[tokio::test(start_paused = true)]
async fn calls_learned_apart_from_streams() {
    let group = single_service(urgent_config()).await;
    group.engine("e1", 1, 2, 8);
    for _ in 0..20 {
        let lease = timeout(MAX_WAIT, group.admit(completion("a", "a"))).await.unwrap().unwrap();
        lease.started();
        sleep(Duration::from_secs(5)).await;
        lease.finish(answered(0));
    }
    let _running = queue(&group, call("running", 0)).await;
    let _waiting = queue(&group, call("waiting", 0)).await;
    let next = queue(&group, due_in(call("next", 0), Duration::from_millis(500))).await;
    assert!(next.await.unwrap().is_some(), "a call was refused that had time left");
}
