//! Refusal of requests whose adapters cannot be loaded soon at the weight store's rate.

mod support;

use std::time::Duration;

use rstest::rstest;
use shallotdrum_scheduler::{Policy, SchedulerConfig};
use shallotdrum_types::{Outcome, RequestErrorKind};
use support::{Group, completion, config, group};
use tokio::time::{Instant, sleep};

/// Time for which a request holds its lease.
const HOLD: Duration = Duration::from_millis(100);

/// Requests distinct adapters at once; returns the waits of served requests and the number of
/// refused ones.
async fn burst(group: &Group, subscribers: usize, adapters: usize) -> (Vec<Duration>, usize) {
    let tasks: Vec<_> = (0..adapters)
        .map(|n| {
            let request = completion(&format!("s{}", n % subscribers), &format!("a{n}"));
            let run = group.run(request, HOLD);
            tokio::spawn(async move {
                let asked_at = Instant::now();
                (run.await.unwrap(), asked_at.elapsed())
            })
        })
        .collect();
    let (mut waits, mut refused) = (Vec::new(), 0);
    for task in tasks {
        let (result, held) = task.await.unwrap();
        match result {
            Ok(done) => waits.push(done.wait),
            Err(error) => {
                assert_eq!(
                    (error.kind, error.outcome),
                    (RequestErrorKind::Overloaded, Outcome::NotRun)
                );
                assert!(error.retry_after.is_some());
                assert!(held < Duration::from_millis(10), "held for {held:?}");
                refused += 1;
            }
        }
    }
    (waits, refused)
}

/// Guards against requests that are refused only after a long wait, and against stalls that grow
/// with the number of requests beyond the weight store's rate.
#[rstest]
#[case::short_stalls(0.8)]
#[case::usual(0.5)]
#[case::full_batches(0.2)]
#[tokio::test(start_paused = true)]
async fn admit_refuses_loads_beyond_store_rate(#[case] stall_weight: f64) {
    let group = group(SchedulerConfig { stall_weight, ..config() });
    group.engine("e1", 1, 8, 16);
    // The engine loads one adapter at a time, four per second.
    let (waits, refused) = burst(&group, 100, 400).await;
    assert!(refused > 200, "{refused} refused");
    // Some requests must be queued: refusing all of them would also keep waits short.
    assert!(waits.len() > 20, "{} served", waits.len());
    let longest = waits.into_iter().max().unwrap();
    assert!(longest < Duration::from_secs(30), "{longest:?}");
}

/// Guards against refusing a request whose adapter is being loaded for another one anyway.
#[tokio::test(start_paused = true)]
async fn admit_joins_a_queued_load() {
    let group = group(config());
    group.engine("e1", 1, 8, 16);
    let scheduler = group.scheduler.clone();
    let first = group.run(completion("first", "shared"), HOLD);
    let flood = tokio::spawn(async move { burst(&group, 100, 400).await });
    sleep(Duration::from_millis(1)).await;
    scheduler.admit(completion("second", "shared")).await.unwrap();
    first.await.unwrap().unwrap();
    assert!(flood.await.unwrap().1 > 0);
}

/// Guards against refusing other subscribers because one requests many adapters.
#[tokio::test(start_paused = true)]
async fn admit_keeps_load_queue_open_for_light_subscriber() {
    let group = group(config());
    for n in 0..4 {
        group.engine(&format!("e{n}"), 1, 4, 8);
    }
    for n in 0..200 {
        let scheduler = group.scheduler.clone();
        tokio::spawn(async move {
            loop {
                match scheduler.admit(completion("heavy", &format!("h{n}"))).await {
                    Ok(lease) => {
                        sleep(HOLD).await;
                        lease.finish(support::answered(100));
                    }
                    Err(_) => sleep(Duration::from_secs(1)).await,
                }
            }
        });
    }
    sleep(Duration::from_secs(30)).await;
    for n in 0..20 {
        sleep(Duration::from_secs(3)).await;
        let done = group.run(completion("light", &format!("l{n}")), HOLD).await.unwrap().unwrap();
        assert!(done.wait < Duration::from_secs(3), "{:?}", done.wait);
    }
}

/// Guards against a baseline that refuses requests like the adaptive policy, which would distort
/// the comparison.
#[tokio::test(start_paused = true)]
async fn baseline_queues_all_loads() {
    let group = group(SchedulerConfig { policy: Policy::Baseline, ..config() });
    group.engine("e1", 1, 8, 16);
    for n in 0..200 {
        let _queued = group.run(completion(&format!("s{n}"), &format!("a{n}")), HOLD);
    }
    sleep(Duration::from_millis(10)).await;
    assert!(group.scheduler.snapshot().queued > 150);
}
