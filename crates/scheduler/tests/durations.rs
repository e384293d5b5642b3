//! Durations that the scheduler learns from ended requests.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use rstest::rstest;
use shallotdrum_engine::{TargetKind, TargetLoad};
use shallotdrum_scheduler::{
    AdmissionRequest, PlaceFeedback, RequestKind, SchedulerConfig, Scheduling,
};
use shallotdrum_types::RequestError;
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep},
};

use support::{Group, answered, config, group, request_of_kind, spec};

/// Duration of a call, and the time that the report of its end waits at the owner.
const CALL: Duration = Duration::from_millis(50);
const REPORT_DELAY: Duration = Duration::from_millis(600);

fn call(left: Duration) -> AdmissionRequest {
    call_of("a", left)
}

fn call_of(subscriber: &str, left: Duration) -> AdmissionRequest {
    let request = request_of_kind(subscriber, RequestKind::Service { is_repeatable: true });
    AdmissionRequest { deadline: Instant::now() + left, ..request }
}

/// A service from which the scheduler learned calls whose ends were reported late.
async fn late_reports(scheduling: Scheduling, used: Option<Duration>) -> Group {
    let group = group(SchedulerConfig { scheduling, ..config() });
    group.scheduler.upsert_target(spec("s1", 1, TargetKind::Service { max_concurrent: 1 }));
    for _ in 0..8 {
        let lease = group.admit(call(Duration::from_secs(10))).await.unwrap();
        lease.started();
        sleep(CALL + REPORT_DELAY).await;
        lease.feedback(PlaceFeedback { used, ..PlaceFeedback::default() }, answered(0));
        lease.finish(answered(0));
    }
    group
}

/// Guards against an owner that refuses calls because it processes the reports of ended ones late, and
/// against a stated time that is zero or beyond the one for which the place was held.
#[rstest]
#[case::stated(Some(CALL), 300, true)]
#[case::not_stated(None, 300, false)]
#[case::too_long(Some(Duration::from_secs(9)), 300, false)]
#[case::bounded(Some(Duration::from_secs(9)), 800, true)]
#[case::zero(Some(Duration::ZERO), 300, false)]
#[tokio::test(start_paused = true)]
async fn late_report_is_no_duration(
    #[case] used: Option<Duration>,
    #[case] left_ms: u64,
    #[case] is_admitted: bool,
) {
    let group = late_reports(Scheduling::Urgency, used).await;
    let result = group.admit(call(Duration::from_millis(left_ms))).await;
    assert_eq!(result.is_ok(), is_admitted, "{result:?}");
}

/// Guards against a change of what a deployment gets that is scheduled by shares.
#[tokio::test(start_paused = true)]
async fn shares_ignore_stated_duration() {
    async fn refusal(used: Option<Duration>) -> RequestError {
        let group = late_reports(Scheduling::Shares, used).await;
        let _running = group.admit(call(Duration::from_secs(10))).await.unwrap();
        for _ in 0..4 {
            drop(group.run(call(Duration::from_secs(10)), CALL));
        }
        tokio::task::yield_now().await;
        group.admit(call(Duration::from_secs(2))).await.map(|_| ()).unwrap_err()
    }
    let stated = refusal(Some(CALL)).await;
    assert_eq!(stated, refusal(None).await);
    assert!(stated.to_string().contains("expected wait"), "{stated}");
}

/// Number of calls of 16 callers that a service of 6 slots serves in 4 s, if the report of each one takes
/// as long as the call.
async fn served_with_late_reports(scheduling: Scheduling) -> u32 {
    let group = Arc::new(group(SchedulerConfig { scheduling, ..config() }));
    group.scheduler.upsert_target(spec("s1", 1, TargetKind::Service { max_concurrent: 6 }));
    let end = Instant::now() + Duration::from_secs(4);
    let callers = (0..16).map(|_| {
        let group = Arc::clone(&group);
        tokio::spawn(async move {
            let mut served = 0;
            while Instant::now() < end {
                let Ok(lease) = group.admit(call(Duration::from_secs(10))).await else { continue };
                lease.started();
                sleep(2 * CALL).await;
                let used = Some(CALL);
                lease.feedback(PlaceFeedback { used, ..PlaceFeedback::default() }, answered(0));
                lease.finish(answered(0));
                served += 1;
            }
            served
        })
    });
    let mut served = 0;
    for caller in callers.collect::<Vec<_>>() {
        served += caller.await.unwrap();
    }
    served
}

/// Answers a service whose slots are all in use while ends of calls are reported late. Guards against slots
/// that stay idle until the report arrives: only half of the capacity was used.
#[tokio::test(start_paused = true)]
async fn late_report_holds_no_slot() {
    let shares = served_with_late_reports(Scheduling::Shares).await;
    let urgency = served_with_late_reports(Scheduling::Urgency).await;
    // Without any delay, 6 slots serve 480 calls of 50 ms in 4 s.
    assert!(urgency > 360 && urgency <= 480, "{urgency} calls, {shares} by shares");
    assert!(shares < 300, "{shares} calls by shares");
}

/// Number of calls of 24 customers that a service of 6 slots serves in 4 s, and the mean number of calls that
/// wait there. A single customer would not get the slot that is reserved for lookups of others. A call takes `work`, and the way to the service and back 5 ms each.
async fn served_over_network(scheduling: Scheduling, work: Duration) -> (u32, f64) {
    const SLOTS: u32 = 6;
    const WAY: Duration = Duration::from_millis(5);
    let group = Arc::new(group(SchedulerConfig { scheduling, ..config() }));
    group.scheduler.upsert_target(spec("s1", 1, TargetKind::Service { max_concurrent: SLOTS }));
    let service = Arc::new(Semaphore::new(SLOTS as usize));
    let waiting = Arc::new(AtomicU32::new(0));
    let end = Instant::now() + Duration::from_secs(4);
    let callers = (0..24).map(|n| {
        let subscriber = format!("c{n}");
        let (group, service, waiting) = (group.clone(), service.clone(), waiting.clone());
        tokio::spawn(async move {
            let (mut served, mut seen) = (0, 0);
            while Instant::now() < end {
                let request = call_of(&subscriber, Duration::from_secs(10));
                let Ok(lease) = group.admit(request).await else { continue };
                lease.started();
                let sent_at = Instant::now();
                sleep(WAY).await;
                waiting.fetch_add(1, Ordering::Relaxed);
                let slot = service.acquire().await.unwrap();
                waiting.fetch_sub(1, Ordering::Relaxed);
                sleep(work).await;
                drop(slot);
                let load = TargetLoad {
                    running: SLOTS - service.available_permits() as u32,
                    waiting: waiting.load(Ordering::Relaxed),
                    slots: SLOTS,
                    slowness: Some(1.0),
                };
                seen += load.waiting;
                sleep(WAY).await;
                let feedback = PlaceFeedback {
                    used: Some(sent_at.elapsed()),
                    load: Some((load, WAY)),
                    ..PlaceFeedback::default()
                };
                lease.feedback(feedback, answered(0));
                lease.finish(answered(0));
                served += 1;
            }
            (served, seen)
        })
    });
    let (mut served, mut seen) = (0, 0);
    for caller in callers.collect::<Vec<_>>() {
        let (calls, waiting) = caller.await.unwrap();
        (served, seen) = (served + calls, seen + waiting);
    }
    (served, f64::from(seen) / f64::from(served))
}

/// Answers calls that wait for a place while the service is idle for the time of the way to it and back.
/// Guards against slots that are granted one by one as calls end, and against a queue at the service, which
/// does not know the order by urgency.
#[rstest]
#[case::short(30)]
#[case::long(100)]
#[tokio::test(start_paused = true)]
async fn service_is_kept_busy(#[case] work_ms: u64) {
    let work = Duration::from_millis(work_ms);
    let (shares, _) = served_over_network(Scheduling::Shares, work).await;
    let (urgency, waiting) = served_over_network(Scheduling::Urgency, work).await;
    println!("{shares} calls by shares, {urgency} by urgency; {waiting:.2} wait at the service");
    let possible = 6.0 * 4.0 / work.as_secs_f64();
    assert!(f64::from(urgency) >= 0.9 * possible, "{urgency} of {possible} calls");
    assert!(waiting <= 1.0, "{waiting} calls wait at the service");
}
