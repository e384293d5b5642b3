//! Tests of load times and counters of the weight store model, in virtual time.

use std::time::Duration;

use rstest::rstest;
use shallotdrum_fakes::WeightStoreModel;
use tokio::{task::JoinSet, time::Instant};

/// Starts loads at the same time; returns the time until the last one ends.
async fn run_together(store: &WeightStoreModel, loads: usize) -> Duration {
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..loads {
        let store = store.clone();
        tasks.spawn(async move { store.load().await });
    }
    tasks.join_all().await;
    started.elapsed()
}

/// Guards against a model that is faster or slower than the measured store, which would invalidate
/// all results about load stalls. Timers round up to 1 ms.
#[rstest]
#[case::one(1, 250)]
#[case::at_full_speed(8, 250)]
#[case::twice_the_limit(16, 500)]
#[case::thrice_the_limit(24, 750)]
#[tokio::test(start_paused = true)]
async fn load_time_grows_with_loads_in_flight(#[case] loads: usize, #[case] expected_ms: u64) {
    let store = WeightStoreModel::default();
    let elapsed = run_together(&store, loads).await.as_millis() as u64;
    assert!((expected_ms..=expected_ms + 2).contains(&elapsed), "{elapsed} ms");
    assert_eq!(store.peak_in_flight(), loads);
    assert_eq!(store.in_flight(), 0);
    assert_eq!(store.starts(), loads);
}

/// Guards against a load whose speed does not change when other loads start or end.
#[tokio::test(start_paused = true)]
async fn load_speed_follows_loads_in_flight() {
    let store = WeightStoreModel::default();
    let started = Instant::now();
    let first = tokio::spawn({
        let store = store.clone();
        async move { store.load().await }
    });
    tokio::time::sleep(Duration::from_millis(125)).await;
    let others = tokio::spawn({
        let store = store.clone();
        async move { run_together(&store, 15).await }
    });
    first.await.unwrap();
    // The first half runs at full speed, the second at half speed.
    let elapsed = started.elapsed().as_millis();
    assert!((375..=378).contains(&elapsed), "{elapsed} ms");
    others.await.unwrap();
}

/// Guards against a cancelled load that slows down later ones.
#[tokio::test(start_paused = true)]
async fn cancelled_load_is_not_in_flight() {
    let store = WeightStoreModel::default();
    let _ = tokio::time::timeout(Duration::from_millis(10), store.load()).await;
    assert_eq!(store.in_flight(), 0);
}

/// Guards against a wrong peak start rate, with which tests check the limit on loads per second.
#[tokio::test(start_paused = true)]
async fn peak_starts_within_period() {
    let store = WeightStoreModel::fixed(Duration::from_millis(400));
    for _ in 0..5 {
        store.load().await;
    }
    assert_eq!(store.peak_starts_within(Duration::from_secs(1)), 3);
    assert_eq!(store.peak_starts_within(Duration::from_millis(100)), 1);
    assert_eq!(store.peak_starts_within(Duration::from_secs(10)), 5);
}
