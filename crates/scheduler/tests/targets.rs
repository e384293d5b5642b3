//! Target selection, draining, suspects, failed loads, restarts and failing targets.

mod support;

use std::{sync::Arc, time::Duration};

use rstest::rstest;
use shallotdrum_engine::{OrderRefusal, TargetKind};
use shallotdrum_scheduler::{
    AdmissionRequest, Finish, LoadFailure, LoadOrder, RequestKind, SchedulerConfig, TargetSpec,
};
use shallotdrum_types::RequestErrorKind;
use support::{
    adapter, answered, completion, config, counts, engine_spec, group, group_with, request_of_kind,
    spec, target,
};
use tokio::time::{Instant, sleep};

/// Time for which a request holds its lease.
const HOLD: Duration = Duration::from_millis(500);

/// Guards against requests or loads on a target that is draining.
#[tokio::test(start_paused = true)]
async fn draining_target_gets_nothing() {
    let group = group(config());
    group.engine("e1", 1, 2, 4);
    group.engine("e2", 1, 2, 4);
    for name in ["a", "b", "c", "d"] {
        group.run(completion("light", name), HOLD).await.unwrap().unwrap();
    }
    group.scheduler.set_draining(&target("e1"), true);
    let orders = group.orders().len();
    let tasks: Vec<_> = ["a", "b", "c", "d", "e", "f"]
        .map(|name| group.run(completion("light", name), HOLD))
        .into_iter()
        .collect();
    for task in tasks {
        assert_eq!(task.await.unwrap().unwrap().target, "e2");
    }
    assert!(group.orders()[orders..].iter().all(|order| order.target == target("e2")));
    group.scheduler.set_draining(&target("e2"), true);
    let refused = group.admit(completion("light", "a")).await.unwrap_err();
    assert_eq!(refused.kind, RequestErrorKind::NoTarget);
}

/// Guards against refusing requests while all targets of a group start again after crashes.
#[tokio::test(start_paused = true)]
async fn requests_wait_for_successor_of_crashed() {
    const WAIT: Duration = Duration::from_secs(1);
    let group = group(config());
    let service = TargetKind::Service { max_concurrent: 8 };
    group.scheduler.upsert_target(spec("s1", 1, service.clone()));
    group.scheduler.upsert_target(spec("s2", 1, service.clone()));
    let call = || request_of_kind("light", RequestKind::Service { is_repeatable: true });
    group.scheduler.set_crashed(&target("s1"), true);
    for _ in 0..8 {
        assert_eq!(group.run(call(), HOLD).await.unwrap().unwrap().target, "s2");
    }
    group.scheduler.set_crashed(&target("s2"), true);
    let waiting: Vec<_> = (0..4).map(|_| group.run(call(), HOLD)).collect();
    sleep(WAIT).await;
    assert!(waiting.iter().all(|task| !task.is_finished()));
    group.scheduler.upsert_target(spec("s1", 2, service));
    for task in waiting {
        let done = task.await.unwrap().unwrap();
        assert_eq!(done.target, "s1");
        assert!(done.wait >= WAIT);
    }
}

/// Guards against refusing requests that wait for crashed targets because no target has slots meanwhile.
#[tokio::test(start_paused = true)]
async fn crashed_targets_count_for_wait() {
    let group = group(config());
    let service = TargetKind::Service { max_concurrent: 8 };
    let call = || AdmissionRequest {
        deadline: Instant::now() + Duration::from_secs(5),
        ..request_of_kind("light", RequestKind::Service { is_repeatable: true })
    };
    group.scheduler.upsert_target(spec("s1", 1, service.clone()));
    group.run(call(), HOLD).await.unwrap().unwrap();
    group.scheduler.set_crashed(&target("s1"), true);
    let waiting: Vec<_> = (0..24).map(|_| group.run(call(), HOLD)).collect();
    sleep(Duration::from_secs(1)).await;
    group.scheduler.upsert_target(spec("s1", 2, service));
    for task in waiting {
        task.await.unwrap().unwrap();
    }
}

/// Guards against a suspect that shares a target with requests that its crash would interrupt.
#[rstest]
#[case::engine(true)]
#[case::service(false)]
#[tokio::test(start_paused = true)]
async fn suspect_runs_alone(#[case] is_engine: bool) {
    let group = group(config());
    group.engine("e1", 1, 2, 8);
    group.engine("e2", 1, 2, 8);
    let service = TargetKind::Service { max_concurrent: 8 };
    group.scheduler.upsert_target(spec("s1", 1, service.clone()));
    group.scheduler.upsert_target(spec("s2", 1, service));
    let request = |name: &str| match is_engine {
        true => completion("light", name),
        false => request_of_kind("light", RequestKind::Service { is_repeatable: true }),
    };
    let others: Vec<_> =
        (0..6).map(|n| group.run(request(["a", "b"][n % 2]), Duration::from_secs(2))).collect();
    sleep(HOLD).await;
    let mut suspect = request("a");
    suspect.is_suspect = true;
    let lease = group.admit(suspect).await.unwrap();
    let state = |id: &str| group.scheduler.snapshot().targets[&target(id)].running;
    assert_eq!(state(lease.target.as_str()), 1);
    let later: Vec<_> = (0..6).map(|n| group.run(request(["a", "b"][n % 2]), HOLD)).collect();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(state(lease.target.as_str()), 1);
    let alone = lease.target.to_string();
    lease.started();
    lease.finish(answered(1));
    for task in others {
        task.await.unwrap().unwrap();
    }
    for task in later {
        assert_ne!(task.await.unwrap().unwrap().target, alone);
    }
}

/// Guards against resending a request to the target on which it failed.
#[tokio::test(start_paused = true)]
async fn resend_avoids_failed_target() {
    let group = group(config());
    group.engine("e1", 1, 2, 4);
    group.engine("e2", 1, 2, 4);
    let first = group.admit(completion("light", "a")).await.unwrap();
    let failed = first.target.clone();
    first.started();
    first.finish(Finish::TargetFailed);
    let mut resend = completion("light", "a");
    resend.avoid = vec![failed.clone()];
    let second = group.admit(resend).await.unwrap();
    assert_ne!(second.target, failed);
}

/// Guards against retrying a load on the target where it failed, or without a back-off.
#[tokio::test(start_paused = true)]
async fn failed_load_backs_off_and_goes_elsewhere() {
    let fails = |order: &LoadOrder| match order.target == target("e1") {
        true => Err(LoadFailure::Refused(OrderRefusal::LoadFailed { reason: "test".to_owned() })),
        false => Ok(()),
    };
    let group = group_with(config(), Arc::new(fails));
    group.engine("e1", 1, 2, 4);
    group.engine("e2", 1, 2, 4);
    for name in ["a", "b", "c"] {
        let done = group.run(completion("light", name), HOLD).await.unwrap().unwrap();
        assert_eq!(done.target, "e2");
    }
    let failed = group.orders().into_iter().filter(|order| order.target == target("e1"));
    let failed = counts(failed.map(|order| order.adapter.to_string()));
    assert!(!failed.is_empty() && failed.values().all(|n| *n == 1), "{failed:?}");
}

/// Guards against a failing adapter that uses up the store's permits, and against requests that
/// wait for it until their deadline.
#[tokio::test(start_paused = true)]
async fn failing_adapter_backs_off_exponentially() {
    let fails = |order: &LoadOrder| match order.adapter == adapter("bad") {
        true => Err(LoadFailure::Failed),
        false => Ok(()),
    };
    let group = group_with(config(), Arc::new(fails));
    group.engine("e1", 1, 2, 4);
    let waiting = group.run(completion("light", "bad"), HOLD);
    sleep(Duration::from_millis(10)).await;
    let done = group.run(completion("light", "good"), HOLD).await.unwrap().unwrap();
    assert!(done.wait < Duration::from_secs(1));
    let error = waiting.await.unwrap().unwrap_err();
    assert_eq!(error.kind, RequestErrorKind::LoadFailed);
    assert!(error.retry_after.is_some());
    let attempts = group.orders().iter().filter(|order| order.adapter == adapter("bad")).count();
    assert!((4..12).contains(&attempts), "{attempts} attempts");
}

/// Guards against keeping the adapters of a restarted engine as resident, and against loading all
/// of them again at once.
#[tokio::test(start_paused = true)]
async fn restart_loads_only_what_is_queued() {
    let group = group(config());
    group.engine("e1", 1, 8, 8);
    let names: Vec<String> = (0..8).map(|n| format!("a{n}")).collect();
    for name in &names {
        group.run(completion("light", name), HOLD).await.unwrap().unwrap();
    }
    let before = group.orders().len();
    let previous = group.admit(completion("light", "a0")).await.unwrap();
    group.engine("e1", 2, 8, 8);
    group.report("e1", 1, 0, &[("a1", 0)]);
    previous.finish(Finish::TargetCrashed);
    let restarted_at = Instant::now();
    let lease = group.admit(completion("light", "a3")).await.unwrap();
    assert_eq!(lease.incarnation.0, 2);
    assert!(restarted_at.elapsed() >= support::LOAD_TIME);
    sleep(Duration::from_millis(600)).await;
    let orders = group.orders().split_off(before);
    assert!(orders.len() <= 2, "{orders:?}");
    assert_eq!(orders[0].adapter, adapter("a3"));
}

/// Guards against a failing target that still gets requests, and against ejecting so many targets
/// that the others are overloaded.
#[tokio::test(start_paused = true)]
async fn failing_targets_are_ejected_up_to_half() {
    let group = group(config());
    for n in 0..4 {
        group.scheduler.upsert_target(spec(
            &format!("s{n}"),
            1,
            TargetKind::Service { max_concurrent: 8 },
        ));
    }
    let mut failed = Vec::new();
    for _ in 0..40 {
        let lease = group
            .admit(request_of_kind("light", RequestKind::Service { is_repeatable: true }))
            .await
            .unwrap();
        failed.push(lease.target.to_string());
        lease.started();
        lease.finish(Finish::TargetFailed);
    }
    let snapshot = group.scheduler.snapshot();
    let ejected = snapshot.targets.values().filter(|target| target.is_ejected).count();
    assert_eq!(ejected, 2, "{:?}", counts(failed));
    sleep(Duration::from_secs(10)).await;
    let snapshot = group.scheduler.snapshot();
    assert!(snapshot.targets.values().all(|target| !target.is_ejected));
}

/// Guards against cross-zone requests while the own zone has capacity, and against a zone
/// preference that overloads the own zone.
#[tokio::test(start_paused = true)]
async fn zone_preference_yields_under_load() {
    let group = group(SchedulerConfig { stall_weight: 1.0, ..config() });
    let service = TargetKind::Service { max_concurrent: 10 };
    group.scheduler.upsert_target(spec("near", 1, service.clone()));
    let mut far = spec("far", 1, service);
    far.zone = "lami-c".parse().unwrap();
    group.scheduler.upsert_target(far);
    let mut leases = Vec::new();
    for _ in 0..10 {
        leases.push(
            group
                .admit(request_of_kind("light", RequestKind::Service { is_repeatable: true }))
                .await
                .unwrap(),
        );
    }
    let used = counts(leases.iter().map(|lease| lease.target.to_string()));
    assert_eq!(leases[0].target, target("near"));
    assert!(used["near"] > used["far"] && used["far"] >= 3, "{used:?}");
}

/// Guards against sending a prompt to another target than the one that caches its prefix.
#[tokio::test(start_paused = true)]
async fn prefix_locality_prefers_caching_target() {
    let group = group(SchedulerConfig { stall_weight: 1.0, ..config() });
    for id in ["e1", "e2"] {
        group.scheduler.upsert_target(engine_spec(id, 1, 1, 10));
        group.report(id, 1, 0, &[("a", 0)]);
    }
    let request = |prefix: u64| {
        let mut request = completion("light", "a");
        let RequestKind::Completion { prompt_prefix_hashes, .. } = &mut request.kind else {
            unreachable!()
        };
        *prompt_prefix_hashes = vec![prefix, prefix + 1];
        request
    };
    let first = group.admit(request(10)).await.unwrap();
    let other = group.admit(request(20)).await.unwrap();
    assert_ne!(first.target, other.target);
    for _ in 0..2 {
        let again = group.admit(request(20)).await.unwrap();
        assert_eq!(again.target, other.target);
        let again = group.admit(request(10)).await.unwrap();
        assert_eq!(again.target, first.target);
    }
}

/// Guards against a popular adapter whose queue cannot use the idle batches of other engines.
#[tokio::test(start_paused = true)]
async fn hot_adapter_gets_replica() {
    let group = group(config());
    group.engine("e1", 1, 2, 2);
    group.engine("e2", 1, 2, 2);
    let tasks: Vec<_> = (0..30).map(|_| group.run(completion("light", "hot"), HOLD)).collect();
    let mut targets = Vec::new();
    for task in tasks {
        targets.push(task.await.unwrap().unwrap().target);
    }
    let used = counts(targets);
    assert!(used.len() == 2 && used.values().all(|n| *n >= 10), "{used:?}");
}

/// Guards against a slow target that gets as many requests as the others.
#[tokio::test(start_paused = true)]
async fn slow_target_gets_fewer_requests() {
    let group = group(SchedulerConfig { stall_weight: 1.0, ..config() });
    for id in ["e1", "e2", "e3"] {
        group.scheduler.upsert_target(engine_spec(id, 1, 1, 10));
        group.report(id, 1, 0, &[("a", 0)]);
    }
    let mut used = Vec::new();
    for n in 0..60 {
        let lease = group.admit(completion("light", "a")).await.unwrap();
        let is_slow = lease.target == target("e2");
        if n >= 30 {
            used.push(lease.target.to_string());
        }
        lease.tokens(1);
        tokio::spawn(async move {
            sleep(if is_slow { 8 * HOLD } else { HOLD }).await;
            lease.finish(answered(50));
        });
        sleep(HOLD).await;
    }
    let used = counts(used);
    assert!(used.get("e2").copied().unwrap_or(0) * 3 < used["e1"], "{used:?}");
}

/// Guards against an idle store while an adapter in demand has lost its only holder.
#[tokio::test(start_paused = true)]
async fn prefetch_loads_popular_adapter_when_idle() {
    let group = group(config());
    group.engine("e1", 1, 1, 4);
    for _ in 0..5 {
        group.run(completion("light", "a"), HOLD).await.unwrap().unwrap();
    }
    group.engine("e2", 1, 1, 4);
    group.scheduler.remove_target(&target("e1"));
    sleep(Duration::from_secs(3)).await;
    let lease = group.admit(completion("light", "a")).await.unwrap();
    assert_eq!(lease.load_stall, Duration::ZERO);
}

/// Guards against requests on a target that was removed and added again while an order from before
/// may still evict its adapters.
#[tokio::test(start_paused = true)]
async fn readded_target_waits_for_outstanding_order() {
    let group = group(config());
    group.engine("e1", 1, 1, 4);
    group.run(completion("light", "a"), Duration::ZERO).await.unwrap().unwrap();
    sleep(Duration::from_secs(2)).await;
    let _other = group.run(completion("light", "b"), HOLD);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(group.orders().last().unwrap().evict, Some(adapter("a")));
    group.scheduler.remove_target(&target("e1"));
    group.scheduler.upsert_target(engine_spec("e1", 1, 1, 4));
    group.report("e1", 1, 0, &[("a", 0)]);
    let asked_at = Instant::now();
    let lease = group.admit(completion("light", "a")).await.unwrap();
    assert!(asked_at.elapsed() >= Duration::from_millis(150));
    lease.finish(answered(1));
}

/// Guards against resuming a stream at a target whose software has another version, also when the
/// only target with its version failed before, and against waiting when there is none.
#[rstest]
#[case::adapter(true)]
#[case::base(false)]
#[tokio::test(start_paused = true)]
async fn required_software(#[case] is_adapter: bool) {
    let group = group(config());
    for (id, software) in [("e1", "v1"), ("e2", "v2"), ("e3", "v1")] {
        let software = Some(software.parse().unwrap());
        group.scheduler.upsert_target(TargetSpec { software, ..engine_spec(id, 1, 2, 4) });
        group.report(id, 1, 0, &[]);
        group.report(id, 1, 0, &[]);
    }
    let base =
        RequestKind::Base { prompt_tokens: 10, max_tokens: 100, prompt_prefix_hashes: Vec::new() };
    let request = |software: &str, avoid: &[&str]| AdmissionRequest {
        software: Some(software.parse().unwrap()),
        avoid: avoid.iter().map(|id| target(id)).collect(),
        ..match is_adapter {
            true => completion("light", "a"),
            false => request_of_kind("light", base.clone()),
        }
    };
    for avoid in [&[][..], &["e2"]] {
        let lease = group.run(request("v2", avoid), HOLD).await.unwrap().unwrap();
        assert_eq!(lease.target, "e2");
    }
    let lease = group.run(request("v1", &["e1"]), HOLD).await.unwrap().unwrap();
    assert_eq!(lease.target, "e3");
    let refused = group.admit(request("v3", &[])).await.unwrap_err();
    assert_eq!(refused.kind, RequestErrorKind::NoTarget);
}

/// Guards against a waiting request that is granted the first place at a target that is added while it
/// drains.
#[rstest]
#[case::engine(true)]
#[case::service(false)]
#[tokio::test(start_paused = true)]
async fn draining_target_added(#[case] is_engine: bool) {
    let group = group(config());
    let (kind, request) = match is_engine {
        true => (
            engine_spec("e", 1, 2, 1).kind,
            RequestKind::Base {
                prompt_tokens: 10,
                max_tokens: 10,
                prompt_prefix_hashes: Vec::new(),
            },
        ),
        false => {
            let kind = TargetKind::Service { max_concurrent: 1 };
            (kind, RequestKind::Service { is_repeatable: true })
        }
    };
    group.scheduler.upsert_target(spec("t1", 1, kind.clone()));
    let first = group.run(request_of_kind("light", request.clone()), HOLD);
    let second = group.run(request_of_kind("light", request.clone()), HOLD);
    sleep(HOLD / 2).await;
    for incarnation in [1, 1, 2] {
        group.scheduler.upsert_draining_target(spec("t2", incarnation, kind.clone()));
    }
    assert_eq!(first.await.unwrap().unwrap().target, "t1");
    assert_eq!(second.await.unwrap().unwrap().target, "t1");
    // A target that was ready before takes no more requests either.
    group.scheduler.upsert_target(spec("t3", 1, kind.clone()));
    group.scheduler.upsert_draining_target(spec("t3", 1, kind.clone()));
    let third = group.run(request_of_kind("light", request), HOLD);
    assert_eq!(third.await.unwrap().unwrap().target, "t1");
}
