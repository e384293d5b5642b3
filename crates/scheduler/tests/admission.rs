//! Admission, queue bounds, refusal and closing.

mod support;

use std::time::Duration;

use shallotdrum_engine::TargetKind;
use shallotdrum_scheduler::{Job, SchedulerConfig};
use shallotdrum_types::{Outcome, RequestError, RequestErrorKind};
use support::{answered, completion, config, group, spec, work};
use tokio::time::sleep;

/// Guards against a request that waits for a load and is never woken.
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

/// Guards against calls of a plain service that exceed the target's concurrency limit.
#[tokio::test(start_paused = true)]
async fn admit_service_respects_max_concurrent() {
    let group = group(config());
    group.scheduler.upsert_target(spec("s1", 1, TargetKind::Service { max_concurrent: 1 }));
    let first = group.admit(work("light", Job::Service)).await.unwrap();
    let second = group.run(work("light", Job::Service), Duration::ZERO);
    sleep(Duration::from_secs(1)).await;
    assert!(!second.is_finished());
    drop(first);
    second.await.unwrap().unwrap();
}

/// Guards against queued requests that outlive the group's ownership.
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

/// Guards against one subscriber that fills the group's queue, and against refusals without
/// advice when to retry.
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
