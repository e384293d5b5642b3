//! Explanations against what then happens to a request.

mod support;

use std::time::Duration;

use rstest::rstest;
use shallotdrum_engine::{Holding, Lacking, PlaceOutlook, PlaceVerdict, TargetKind, Urgency};
use shallotdrum_scheduler::{AdmissionRequest, RequestKind, SchedulerConfig, Scheduling};
use shallotdrum_types::RequestErrorKind;
use tokio::time::{Instant, sleep};

use support::{
    Group, LOAD_TIME, answered, completion, config, group, request_of_kind, spec, target,
};

/// Time for which requests hold their places.
const HOLD: Duration = Duration::from_millis(100);

/// Explains a request several times; fails if that changes the group.
fn explain(group: &Group, request: &AdmissionRequest) -> PlaceOutlook {
    let state = |group: &Group| format!("{:?} {:?}", group.scheduler.snapshot(), group.orders());
    let before = state(group);
    let first = group.scheduler.explain(request);
    for _ in 0..10 {
        assert_eq!(group.scheduler.explain(request), first);
    }
    assert_eq!(state(group), before);
    first
}

fn call(subscriber: &str) -> AdmissionRequest {
    request_of_kind(subscriber, RequestKind::Service { is_repeatable: true })
}

/// Guards against an explanation that names another target than the one that gets the request, and
/// against one that loads, queues or counts.
#[tokio::test(start_paused = true)]
async fn explain_granted() {
    let group = group(config());
    for (id, adapters) in [("e1", [("a", 0)]), ("e2", [("b", 0)]), ("e3", [("a", 0)])] {
        group.engine(id, 1, 2, 4);
        group.report(id, 1, 0, &adapters);
    }
    let busy = group.admit(completion("s", "a")).await.unwrap();
    let request = completion("s", "a");
    let outlook = explain(&group, &request);
    let lease = group.admit(request).await.unwrap();
    assert_ne!(lease.target, target("e2"));
    assert_eq!(outlook.verdict, PlaceVerdict::Granted { target: lease.target.clone() });
    let chosen = outlook.candidates.iter().find(|candidate| candidate.is_chosen).unwrap();
    assert_eq!(chosen.target, lease.target);
    let holds = outlook.candidates.iter().map(|candidate| candidate.adapter);
    let expected = [Holding::Ready, Holding::Absent, Holding::Ready];
    assert_eq!(holds.collect::<Vec<_>>(), expected.map(Some));
    let running: u32 = outlook.candidates.iter().map(|candidate| candidate.running).sum();
    assert_eq!(running, 1, "only the first request runs before the second one");
    drop((busy, lease));
}

/// Guards against an explanation that orders a load, or names another engine for it.
#[tokio::test(start_paused = true)]
async fn explain_waits_for_load() {
    let group = group(config());
    group.engine("e1", 1, 2, 4);
    let request = completion("s", "a");
    let outlook = explain(&group, &request);
    let PlaceVerdict::Waits { lacks: Lacking::Load, target: Some(loads), .. } = outlook.verdict
    else {
        panic!("{outlook:?}")
    };
    assert!(group.orders().is_empty());
    let asked = Instant::now();
    let lease = group.admit(request).await.unwrap();
    assert_eq!(asked.elapsed(), LOAD_TIME);
    assert_eq!(
        group.orders().iter().map(|order| order.target.clone()).collect::<Vec<_>>(),
        [loads]
    );
    drop(lease);
}

/// Guards against an explanation that takes a request for admitted, or for lacking a load, whose targets
/// have no room.
#[rstest]
#[case::engine(true, Lacking::Engine)]
#[case::service(false, Lacking::Service)]
#[tokio::test(start_paused = true)]
async fn explain_waits_for_target(#[case] is_engine: bool, #[case] lacks: Lacking) {
    let group = group(config());
    match is_engine {
        true => {
            group.engine("t1", 1, 2, 1);
            group.report("t1", 1, 0, &[("a", 0)]);
        }
        false => {
            group.scheduler.upsert_target(spec("t1", 1, TargetKind::Service { max_concurrent: 1 }));
        }
    }
    let request = || if is_engine { completion("s", "a") } else { call("s") };
    let running = group.run(request(), HOLD);
    sleep(HOLD / 2).await;
    let outlook = explain(&group, &request());
    let expected = PlaceVerdict::Waits { lacks, target: None, wait_ms: None };
    assert_eq!(outlook.verdict, expected);
    assert!(!outlook.candidates[0].is_free);
    let second = group.run(request(), HOLD).await.unwrap().unwrap();
    assert_eq!(second.wait, HOLD / 2);
    running.await.unwrap().unwrap();
}

/// Guards against an explanation that admits a request which is refused under overload, displaces a
/// queued one, or tells another time to return.
#[rstest]
#[case::too_late(Duration::from_millis(250), 0, Some(RequestErrorKind::Overloaded))]
#[case::more_urgent(Duration::from_millis(250), 1, None)]
#[tokio::test(start_paused = true)]
async fn explain_under_overload(
    #[case] left: Duration,
    #[case] steps: u8,
    #[case] refused: Option<RequestErrorKind>,
) {
    let cfg = SchedulerConfig { scheduling: Scheduling::Urgency, ..config() };
    let group = group(cfg);
    group.scheduler.upsert_target(spec("s1", 1, TargetKind::Service { max_concurrent: 1 }));
    let with_rank =
        |route| AdmissionRequest { urgency: Urgency { route, ..Urgency::default() }, ..call("s") };
    for _ in 0..4 {
        let lease = group.admit(with_rank(2)).await.unwrap();
        lease.started();
        sleep(HOLD).await;
        lease.finish(answered(0));
    }
    let queued: Vec<_> = (0..6).map(|_| group.run(with_rank(2), HOLD)).collect();
    sleep(HOLD / 10).await;
    let request = AdmissionRequest { deadline: Instant::now() + left, ..with_rank(2 - steps) };
    let outlook = explain(&group, &request);
    let admitted = group.admit(request).await;
    match refused {
        Some(kind) => {
            let error = admitted.unwrap_err();
            assert_eq!(error.kind, kind);
            assert!(error.retry_after.is_some());
            assert_eq!(outlook.verdict, PlaceVerdict::Refused { error });
        }
        None => {
            let lacks = Lacking::Service;
            let expected = PlaceVerdict::Waits { lacks, target: None, wait_ms: None };
            assert_eq!((outlook.verdict, outlook.queued), (expected, 5));
            drop(admitted.unwrap());
        }
    }
    for request in queued {
        // Some may be displaced.
        let _ = request.await.unwrap();
    }
}

/// Guards against an explanation of a group without targets that differs from the refusal.
#[tokio::test(start_paused = true)]
async fn explain_without_target() {
    let group = group(config());
    let request = call("s");
    let outlook = explain(&group, &request);
    let error = group.admit(request).await.unwrap_err();
    assert_eq!(error.kind, RequestErrorKind::NoTarget);
    assert_eq!(outlook.verdict, PlaceVerdict::Refused { error });
    assert!(outlook.candidates.is_empty());
}
