//! Capacity of services that is reserved for lookups.

mod support;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use rstest::rstest;
use shallotdrum_engine::TargetKind;
use shallotdrum_scheduler::{AdmissionRequest, Finish, RequestKind, SchedulerConfig};
use support::{Group, answered, config, counts, group, request_of_kind, spec, target};
use tokio::time::{Instant, sleep};

/// Duration of a call that outlasts the test's checks.
const LONG_CALL: Duration = Duration::from_secs(20);

fn service(max_concurrent: u32) -> Group {
    let group = group(config());
    group.scheduler.upsert_target(spec("s1", 1, TargetKind::Service { max_concurrent }));
    group
}

fn call(subscriber: &str, is_repeatable: bool) -> AdmissionRequest {
    request_of_kind(subscriber, RequestKind::Service { is_repeatable })
}

fn running(group: &Group) -> u32 {
    group.scheduler.snapshot().targets[&target("s1")].running
}

/// Guards against non-repeatable calls, or a flood of lookups, that use all capacity, so that
/// lookups wait for one of them to end.
#[rstest]
#[case::not_repeatable(false)]
#[case::flood(true)]
#[tokio::test(start_paused = true)]
async fn lookup_finds_reserved_place(#[case] is_repeatable: bool) {
    let group = service(16);
    let _others: Vec<_> =
        (0..100).map(|_| group.run(call("heavy", is_repeatable), LONG_CALL)).collect();
    sleep(Duration::from_millis(100)).await;
    assert!((1..16).contains(&running(&group)), "{} running", running(&group));
    let lookup = group.run(call("light", true), Duration::from_millis(5)).await.unwrap().unwrap();
    assert_eq!(lookup.wait, Duration::ZERO);
}

/// Guards against a call that may not use reserved capacity and blocks the lookups behind it.
#[tokio::test(start_paused = true)]
async fn lookup_passes_blocked_calls() {
    let group = service(8);
    let _calls: Vec<_> = (0..20).map(|_| group.run(call("heavy", false), LONG_CALL)).collect();
    sleep(Duration::from_millis(100)).await;
    let first = group.admit(call("light", true)).await.unwrap();
    let second = group.run(call("light", true), Duration::ZERO);
    sleep(Duration::from_millis(100)).await;
    assert!(!second.is_finished());
    first.finish(answered(0));
    sleep(Duration::from_millis(1)).await;
    assert!(second.is_finished());
}

/// Guards against a reserve that keeps lookups from using the remaining capacity, and against a
/// service with a capacity of one that refuses non-repeatable calls.
#[tokio::test(start_paused = true)]
async fn lookups_use_every_place() {
    let group = service(8);
    let mut leases = Vec::new();
    for n in 0..8 {
        leases.push(group.admit(call(&format!("s{n}"), true)).await.unwrap());
    }
    assert_eq!(running(&group), 8);
    let single = service(1);
    single.admit(call("light", false)).await.unwrap().finish(answered(0));
}

/// Guards against capacity that is leaked when calls finish or are dropped.
#[tokio::test(start_paused = true)]
async fn calls_give_places_back() {
    let group = service(8);
    for round in 0..30 {
        let mut leases = Vec::new();
        for _ in 0..7 {
            leases.push(group.admit(call("light", false)).await.unwrap());
        }
        let queued = group.run(call("light", false), Duration::ZERO);
        sleep(Duration::from_millis(1)).await;
        assert!(!queued.is_finished(), "round {round}");
        for (n, lease) in leases.into_iter().enumerate() {
            if n % 2 == 0 { lease.finish(answered(0)) } else { drop(lease) }
        }
        queued.await.unwrap().unwrap();
    }
}

/// Guards against one of several equal services that gets nearly all calls, by its place in a list or by
/// its availability zone. Plays calls of 30 ms that come one by one, and more than all services can run.
#[rstest]
#[case::light(Duration::from_millis(100))]
#[case::steady(Duration::from_millis(8))]
#[case::heavy(Duration::from_millis(1))]
#[tokio::test(start_paused = true)]
async fn calls_spread_over_services(#[case] interval: Duration) {
    const CALLS: usize = 600;
    const SERVICES: usize = 3;
    let group = group(SchedulerConfig { prefers_own_zone: false, ..config() });
    for (n, zone) in ["suva-a", "nausori-b", "lami-c"].into_iter().enumerate() {
        let mut service = spec(&format!("s{n}"), 1, TargetKind::Service { max_concurrent: 6 });
        service.zone = zone.parse().unwrap();
        group.scheduler.upsert_target(service);
    }
    let mut calls = Vec::new();
    for n in 0..CALLS {
        calls.push(group.run(call(&format!("c{}", n % 40), n % 2 == 0), Duration::from_millis(30)));
        sleep(interval).await;
    }
    let mut targets = Vec::new();
    for call in calls {
        targets.push(call.await.unwrap().unwrap().target);
    }
    let used = counts(targets);
    let busiest = *used.values().max().unwrap() as f64;
    assert!(busiest * SERVICES as f64 <= 1.3 * CALLS as f64, "{used:?}");
}

/// Guards against a target that is filled again and again beyond what it takes, and falls over for it.
/// Plays a service that takes two calls of 30 ms at a time and announces six places, and calls at two
/// thirds of its real rate.
#[tokio::test(start_paused = true)]
async fn target_without_room_is_not_filled() {
    const TAKES: u32 = 2;
    /// Refusals in one second that a brittle target stands.
    const STANDS: usize = 5;
    let group = group(SchedulerConfig { prefers_own_zone: false, ..config() });
    group.scheduler.upsert_target(spec("s1", 1, TargetKind::Service { max_concurrent: 6 }));
    let refusals = Arc::new(Mutex::new(Vec::new()));
    let running = Arc::new(AtomicU32::new(0));
    for n in 0..1_000 {
        let (scheduler, refusals) = (group.scheduler.clone(), refusals.clone());
        let running = running.clone();
        tokio::spawn(async move {
            let Ok(lease) = scheduler.admit(call(&format!("c{}", n % 20), true)).await else {
                return;
            };
            lease.started();
            if running.fetch_add(1, Ordering::SeqCst) >= TAKES {
                sleep(Duration::from_millis(2)).await;
                running.fetch_sub(1, Ordering::SeqCst);
                refusals.lock().unwrap().push(Instant::now());
                lease.finish(Finish::NoRoom);
                return;
            }
            sleep(Duration::from_millis(30)).await;
            running.fetch_sub(1, Ordering::SeqCst);
            lease.finish(answered(1));
        });
        // In pairs, and now and then many at once.
        sleep(Duration::from_millis(if n % 50 < 10 { 0 } else { 28 })).await;
    }
    let refusals = refusals.lock().unwrap();
    let in_second = |from: &Instant| {
        refusals.iter().filter(|at| (*from..*from + Duration::from_secs(1)).contains(*at)).count()
    };
    let worst = refusals.iter().map(in_second).max().unwrap_or(0);
    assert!(worst <= STANDS, "{worst} refusals in a second, {} in all", refusals.len());
}
