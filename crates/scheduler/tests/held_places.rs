//! Places that are held beyond their use, and what is granted for them.

mod support;

use std::time::Duration;

use rstest::rstest;
use shallotdrum_engine::{PlaceVerdict, TargetKind};
use shallotdrum_scheduler::{
    AdmissionRequest, Finish, Lease, PlaceFeedback, RequestKind, SchedulerConfig, Scheduling,
};
use tokio::time::{Instant, sleep};

use support::{Group, answered, completion, config, group, request_of_kind, spec, target};

const SLOTS: u32 = 6;
/// Grants of a service at a time whose places are held for twice the time that calls use them.
const MOST: u32 = 11;
/// Number of calls after which the ratio is learned; the newest one counts a twentieth.
const CALLS: u32 = 60;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn call() -> AdmissionRequest {
    let request = request_of_kind("s", RequestKind::Service { is_repeatable: true });
    AdmissionRequest { deadline: Instant::now() + ms(20_000), ..request }
}

fn urgent() -> SchedulerConfig {
    SchedulerConfig { scheduling: Scheduling::Urgency, ..config() }
}

fn service() -> Group {
    let group = group(urgent());
    group.scheduler.upsert_target(spec("t1", 1, TargetKind::Service { max_concurrent: SLOTS }));
    group
}

/// Grants of the target at a time.
fn capacity(group: &Group) -> u32 {
    group.scheduler.snapshot().targets[&target("t1")].capacity
}

fn end(lease: Lease, used: Option<Duration>, finish: Finish) {
    lease.feedback(PlaceFeedback { used, ..PlaceFeedback::default() }, finish);
    lease.finish(finish);
}

/// Runs a request whose place is held for some time, of which the entry states a part as used.
async fn run(group: &Group, request: AdmissionRequest, held: Duration, used: Option<Duration>) {
    let lease = group.admit(request).await.unwrap();
    lease.started();
    sleep(held).await;
    end(lease, used, answered(0));
}

/// A service that gets as many calls as possible because of late reports.
async fn service_with_late_reports() -> Group {
    let group = service();
    for _ in 0..CALLS {
        run(&group, call(), ms(66), Some(ms(33))).await;
    }
    assert_eq!(capacity(&group), MOST);
    group
}

/// Guards against extra calls at a service whose slots long calls really use, because the reports of many
/// short calls count as much as those of the long ones.
#[tokio::test(start_paused = true)]
async fn long_calls_use_their_places() {
    let group = service();
    for n in 1..=200 {
        let used = if n % 10 == 0 { 500 } else { 5 };
        run(&group, call(), ms(used + 5), Some(ms(used))).await;
    }
    // Nine calls of 10 ms and one of 505 ms use 545 ms of 595 ms.
    assert_eq!(capacity(&group), SLOTS);
}

/// Guards against a refusal of requests that engines can finish: short responses that are reported late
/// counted as much as the long ones that use the slots.
#[tokio::test(start_paused = true)]
async fn long_responses_use_their_places() {
    let group = group(urgent());
    group.engine("t1", 1, 2, 4);
    group.report("t1", 1, 0, &[("a", 0)]);
    for n in 1..=200 {
        let used = if n % 10 == 0 { 1_000 } else { 20 };
        run(&group, completion("s", "a"), ms(used + 20), Some(ms(used))).await;
    }
    assert_eq!(capacity(&group), 4, "engines get no requests beyond their batch");
    for _ in 0..44 {
        drop(group.run(completion("s", "a"), ms(50_000)));
    }
    sleep(ms(1)).await;
    // 40 queued responses of about 0.14 s take 1.4 s in 4 slots, 2.7 s in half as many.
    let deadline = Instant::now() + ms(1_900);
    let outlook = group.scheduler.explain(&AdmissionRequest { deadline, ..completion("s", "a") });
    assert!(matches!(outlook.verdict, PlaceVerdict::Waits { .. }), "{outlook:?}");
}

/// Guards against extra calls for entries that do not state how long they used a place, or state no time:
/// the ratio of a few other entries counted for all.
#[rstest]
#[case::one_in_four(4, ms(33))]
#[case::no_time(1, Duration::ZERO)]
#[tokio::test(start_paused = true)]
async fn unstated_use_is_whole_time(#[case] stated_each: u32, #[case] used: Duration) {
    let group = service();
    for n in 0..200 {
        let used = (n % stated_each == 0).then_some(used);
        run(&group, call(), ms(66), used).await;
    }
    assert_eq!(capacity(&group), SLOTS);
}

/// Guards against extra calls at a service that no longer responds: only calls with a response counted.
#[tokio::test(start_paused = true)]
async fn calls_without_response_count() {
    let group = service_with_late_reports().await;
    for _ in 0..CALLS {
        let lease = group.admit(call()).await.unwrap();
        lease.started();
        sleep(ms(1_000)).await;
        end(lease, Some(ms(1_000)), Finish::Cancelled);
    }
    assert_eq!(capacity(&group), SLOTS);
}

/// Guards against one refusal for each extra call at a service that has no room beyond its slots.
#[tokio::test(start_paused = true)]
async fn refusal_ends_extra_calls() {
    let group = service_with_late_reports().await;
    let mut leases = Vec::new();
    for n in 0..MOST {
        // One customer alone gets none of the slots that are reserved for others.
        let subscriber = format!("s{n}").parse().unwrap();
        leases.push(group.admit(AdmissionRequest { subscriber, ..call() }).await.unwrap());
    }
    end(leases.pop().unwrap(), Some(ms(1)), Finish::NoRoom);
    assert_eq!(capacity(&group), SLOTS);
}

/// Guards against extra calls after a pause because of reports that were late before it.
#[tokio::test(start_paused = true)]
async fn pause_ends_extra_calls() {
    let group = service_with_late_reports().await;
    sleep(ms(10_000)).await;
    assert_eq!(capacity(&group), SLOTS);
}

/// Guards against extra calls that remain once reports arrive in time.
#[tokio::test(start_paused = true)]
async fn reports_in_time_end_extra_calls() {
    let group = service_with_late_reports().await;
    for _ in 0..CALLS {
        run(&group, call(), ms(33), Some(ms(33))).await;
    }
    assert_eq!(capacity(&group), SLOTS);
}

/// Guards against extra calls because of one place, such as that of an entry that was frozen when it got
/// the grant, and against a ratio that grows with the delay.
#[rstest]
#[case::one(1, 33, SLOTS)]
#[case::one_with_long_use(1, 1_000, SLOTS)]
#[case::all(CALLS, 33, MOST)]
#[tokio::test(start_paused = true)]
async fn long_delay_is_bounded(#[case] delayed: u32, #[case] used: u64, #[case] expected: u32) {
    let group = service();
    for n in 0..CALLS {
        let (held, used) = if n < CALLS - delayed { (33, 33) } else { (5_000, used) };
        run(&group, call(), ms(held), Some(ms(used))).await;
    }
    assert_eq!(capacity(&group), expected);
}
