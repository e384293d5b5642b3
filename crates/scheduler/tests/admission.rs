//! Admission, queue limits, refusals and closing.

mod support;

use std::time::Duration;

use shallotdrum_engine::TargetKind;
use shallotdrum_scheduler::{RequestKind, SchedulerConfig};
use shallotdrum_types::{Outcome, RequestError, RequestErrorKind};
use support::{answered, completion, config, group, request_of_kind, spec};
use tokio::time::{Instant, sleep};

/// Guards against a request that is not woken when the load it waits for completes.
#[tokio::test(start_paused = true)]
async fn admit_loads_missing_adapter() {
    let group = group(config());
    group.engine("e1", 1, 4, 8);
    let lease = group.admit(completion("light", "a")).await.unwrap();
    assert_eq!(lease.load_stall, support::LOAD_TIME);
    lease.finish(answered(10));
    let lease = group.admit(completion("light", "a")).await.unwrap();
    assert_eq!(lease.load_stall, Duration::ZERO);
    assert_eq!(group.orders().len(), 1);
}

/// Guards against service calls beyond the target's concurrency limit.
#[tokio::test(start_paused = true)]
async fn admit_service_respects_max_concurrent() {
    let group = group(config());
    group.scheduler.upsert_target(spec("s1", 1, TargetKind::Service { max_concurrent: 1 }));
    let first = group
        .admit(request_of_kind("light", RequestKind::Service { is_repeatable: true }))
        .await
        .unwrap();
    let second = group.run(
        request_of_kind("light", RequestKind::Service { is_repeatable: true }),
        Duration::ZERO,
    );
    sleep(Duration::from_secs(1)).await;
    assert!(!second.is_finished());
    drop(first);
    second.await.unwrap().unwrap();
}

/// Guards against requests that stay queued after ownership of the group is lost.
#[tokio::test(start_paused = true)]
async fn close_fails_queued_at_once() {
    let group = group(config());
    group.engine("e1", 1, 1, 1);
    let running = group.admit(completion("light", "a")).await.unwrap();
    let queued = group.run(completion("light", "a"), Duration::ZERO);
    sleep(Duration::from_millis(10)).await;
    let error = RequestError::not_run(RequestErrorKind::NoTarget, "ownership lost");
    group.scheduler.close(error.clone());
    assert_eq!(queued.await.unwrap().unwrap_err(), error);
    let refused = group.admit(completion("light", "a")).await.unwrap_err();
    assert_eq!(refused.outcome, Outcome::NotRun);
    running.finish(answered(1));
}

/// Guards against loads of an owner that is about to release the group, and against refusing what needs
/// none meanwhile.
#[tokio::test(start_paused = true)]
async fn stop_loads_admits_without_load() {
    let group = group(config());
    group.engine("e1", 1, 2, 8);
    group.admit(completion("light", "a")).await.unwrap().finish(answered(10));
    let loading = group.run(completion("light", "b"), Duration::ZERO);
    sleep(Duration::from_millis(50)).await;
    let missing = group.run(completion("light", "c"), Duration::ZERO);
    sleep(Duration::from_millis(10)).await;
    assert!(!missing.is_finished());
    let error = RequestError::not_run(RequestErrorKind::NotReady, "about to be released");
    group.scheduler.stop_loads(error.clone());
    assert_eq!(missing.await.unwrap().unwrap_err(), error);
    assert_eq!(group.admit(completion("light", "d")).await.unwrap_err(), error);
    group.admit(completion("light", "a")).await.unwrap().finish(answered(10));
    assert!(!loading.is_finished());
    loading.await.unwrap().unwrap();
    sleep(Duration::from_secs(2)).await;
    assert_eq!(group.orders().len(), 2);
}

/// Guards against one subscriber that fills the group's queue, and against refusals without a
/// suggested retry delay.
#[tokio::test(start_paused = true)]
async fn admit_refuses_beyond_subscriber_queue() {
    let group = group(SchedulerConfig { max_queued_per_subscriber: 2, ..config() });
    group.engine("e1", 1, 1, 1);
    let _running = group.admit(completion("heavy", "a")).await.unwrap();
    let _queued: Vec<_> =
        (0..2).map(|_| group.run(completion("heavy", "a"), Duration::ZERO)).collect();
    sleep(Duration::from_millis(1)).await;
    let refused = group.admit(completion("heavy", "a")).await.unwrap_err();
    assert_eq!(refused.kind, RequestErrorKind::RateLimited);
    assert!(refused.retry_after.is_some());
    let light = group.run(completion("light", "a"), Duration::ZERO);
    sleep(Duration::from_millis(1)).await;
    assert!(!light.is_finished());
}

/// Guards against a full queue that refuses subscribers who did not fill it.
#[tokio::test(start_paused = true)]
async fn admit_full_queue_displaces_longest() {
    let group = group(SchedulerConfig { max_queued: 4, ..config() });
    group.engine("e1", 1, 1, 1);
    let running = group.admit(completion("heavy", "a")).await.unwrap();
    let queued: Vec<_> =
        (0..4).map(|_| group.run(completion("heavy", "a"), Duration::ZERO)).collect();
    sleep(Duration::from_millis(1)).await;
    let light = group.run(completion("light", "a"), Duration::ZERO);
    sleep(Duration::from_millis(1)).await;
    let displaced = queued.iter().filter(|task| task.is_finished()).count();
    assert_eq!(displaced, 1);
    let refused = group.admit(completion("heavy", "a")).await.unwrap_err();
    assert_eq!(refused.kind, RequestErrorKind::Overloaded);
    assert!(refused.retry_after.is_some());
    running.finish(answered(1));
    light.await.unwrap().unwrap();
}

/// Guards against queueing a request that will miss its deadline anyway.
#[tokio::test(start_paused = true)]
async fn admit_refuses_unmeetable_deadline_at_once() {
    let group = group(config());
    group.engine("e1", 1, 1, 1);
    for _ in 0..3 {
        let done = group.run(completion("heavy", "a"), Duration::from_secs(10));
        done.await.unwrap().unwrap();
    }
    let _tasks: Vec<_> =
        (0..6).map(|_| group.run(completion("heavy", "a"), Duration::from_secs(10))).collect();
    sleep(Duration::from_secs(1)).await;
    let mut late = completion("heavy", "a");
    late.deadline = Instant::now() + Duration::from_secs(30);
    let asked_at = Instant::now();
    let refused = group.admit(late).await.unwrap_err();
    assert_eq!(refused.kind, RequestErrorKind::Overloaded);
    assert_eq!(asked_at.elapsed(), Duration::ZERO);
    let retry_after = refused.retry_after.unwrap();
    assert!(
        retry_after >= Duration::from_secs(30) && retry_after <= Duration::from_secs(60),
        "{retry_after:?}"
    );
}

/// Guards against a request that stays queued beyond its deadline.
#[tokio::test(start_paused = true)]
async fn admit_expires_before_deadline() {
    let group = group(config());
    group.engine("e1", 1, 1, 1);
    let _running = group.admit(completion("heavy", "a")).await.unwrap();
    let mut request = completion("light", "a");
    request.deadline = Instant::now() + Duration::from_secs(2);
    let asked_at = Instant::now();
    let refused = group.admit(request).await.unwrap_err();
    assert_eq!(refused.kind, RequestErrorKind::DeadlineExceeded);
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert!(asked_at.elapsed() < Duration::from_secs(2));
    assert_eq!(group.scheduler.snapshot().queued, 0);
}

/// Guards against a cancelled request that stays in the queue or keeps its capacity.
#[tokio::test(start_paused = true)]
async fn admit_dropped_frees_place() {
    let group = group(config());
    group.engine("e1", 1, 1, 1);
    let running = group.admit(completion("light", "a")).await.unwrap();
    for _ in 0..3 {
        let queued = group.run(completion("light", "a"), Duration::ZERO);
        sleep(Duration::from_millis(1)).await;
        queued.abort();
    }
    sleep(Duration::from_millis(1)).await;
    assert_eq!(group.scheduler.snapshot().queued, 0);
    // Admitted, but dropped before the lease is received.
    let mut dropped = Box::pin(group.admit(completion("light", "a")));
    assert!(futures_util::poll!(dropped.as_mut()).is_pending());
    running.finish(answered(1));
    drop(dropped);
    let snapshot = group.scheduler.snapshot();
    assert_eq!(snapshot.targets.values().map(|target| target.running).sum::<u32>(), 0);
    group.admit(completion("light", "a")).await.unwrap();
}

/// Guards against a subscriber that exceeds its limit on concurrent requests.
#[tokio::test(start_paused = true)]
async fn admit_refuses_beyond_max_concurrent() {
    let group = group(config());
    group.engine("e1", 1, 1, 8);
    let limited = || {
        let mut request = completion("light", "a");
        request.max_concurrent = Some(2);
        request
    };
    let first = group.admit(limited()).await.unwrap();
    let _second = group.admit(limited()).await.unwrap();
    let refused = group.admit(limited()).await.unwrap_err();
    assert_eq!(refused.kind, RequestErrorKind::RateLimited);
    first.finish(answered(1));
    group.admit(limited()).await.unwrap();
}

/// Guards against a timer task that outlives its scheduler.
#[tokio::test(start_paused = true)]
async fn drop_ends_timer_task() {
    let before = tokio::runtime::Handle::current().metrics().num_alive_tasks();
    let group = group(config());
    group.engine("e1", 1, 1, 1);
    drop(group.admit(completion("light", "a")).await.unwrap());
    drop(group);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(tokio::runtime::Handle::current().metrics().num_alive_tasks(), before);
}

/// Guards against load decisions that are made long before the store can carry them out.
#[tokio::test(start_paused = true)]
async fn admit_keeps_few_loads_outstanding() {
    let group = group(config());
    for n in 0..6 {
        group.engine(&format!("e{n}"), 1, 4, 8);
    }
    let tasks: Vec<_> =
        (0..20).map(|n| group.run(completion("light", &format!("a{n}")), Duration::ZERO)).collect();
    while tasks.iter().any(|task| !task.is_finished()) {
        assert!(group.scheduler.snapshot().loads_in_flight <= config().max_outstanding_loads);
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(group.orders().len(), 20);
}

/// Guards against deadlocks and leaked capacity when threads admit, finish and cancel concurrently.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn admit_in_parallel_leaks_no_capacity() {
    let group = group(config());
    group.engine("e1", 1, 4, 4);
    group.engine("e2", 1, 4, 4);
    let tasks: Vec<_> = (0..16)
        .map(|n| {
            let scheduler = group.scheduler.clone();
            tokio::spawn(async move {
                for round in 0..200 {
                    let request = completion(&format!("s{}", n % 5), &format!("a{}", n % 3));
                    let admitted = scheduler.admit(request);
                    if round % 7 == 0 {
                        drop(tokio::time::timeout(Duration::from_micros(50), admitted).await);
                        continue;
                    }
                    let lease = admitted.await.unwrap();
                    lease.started();
                    tokio::task::yield_now().await;
                    lease.finish(answered(1));
                }
            })
        })
        .collect();
    for task in tasks {
        task.await.unwrap();
    }
    let snapshot = group.scheduler.snapshot();
    assert_eq!(snapshot.queued, 0);
    assert!(snapshot.targets.values().all(|target| target.running == 0));
}
