//! Room for adapters on an engine whose reports and orders cross.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rstest::rstest;
use shallotdrum_scheduler::{EngineModel, LoadFailure, SchedulerConfig};
use support::{LOAD_TIME, completion, config, engine_spec, group_with};
use tokio::time::sleep;

/// Age of an inspected state at the time of its response.
const STATE_AGE_MS: u64 = 250;

/// Adapters that fit on the engine.
const SLOTS: u32 = 6;

/// Time that the planner needs after a report; longer than its back-off after a refused order.
const SETTLE: Duration = Duration::from_millis(400);

/// Guards against filling room that the engine reports as occupied, when the report was sampled
/// before the end of the owner's latest order and its adapters therefore got no slots.
#[rstest]
#[case::five_of_six(&["b1", "b2", "b3", "b4", "b5"])]
#[case::full(&["b1", "b2", "b3", "b4", "b5", "b6"])]
#[tokio::test(start_paused = true)]
async fn room_reported_before_end_of_order(#[case] resident: &[&str]) {
    let is_inspected = Arc::new(AtomicBool::new(false));
    let inspected = is_inspected.clone();
    let engine_model = Some(EngineModel::default());
    let cfg = SchedulerConfig { engine_model, max_outstanding_loads: 8, ..config() };
    let group = group_with(
        cfg,
        Arc::new(move |_| match inspected.load(Ordering::SeqCst) {
            true => Ok(()),
            false => Err(LoadFailure::InspectionRequired),
        }),
    );
    group.scheduler.upsert_target(engine_spec("e1", 1, SLOTS, 64));
    group.report("e1", 1, STATE_AGE_MS, &[]);
    let hold = Duration::from_secs(30);
    let requests: Vec<_> =
        (0..4).map(|n| group.run(completion(&format!("s{n}"), &format!("a{n}")), hold)).collect();
    // The orders decided by the first report end because another inspection found more adapters.
    sleep(LOAD_TIME + Duration::from_millis(20)).await;
    let before = group.orders().len();
    assert!(before > 0);
    is_inspected.store(true, Ordering::SeqCst);
    let reported: Vec<_> = resident.iter().map(|name| (*name, 0)).collect();
    group.report("e1", 1, STATE_AGE_MS, &reported);
    sleep(SETTLE).await;

    let orders = group.orders();
    let into_free = orders[before..].iter().filter(|order| order.evict.is_none()).count();
    let free = SLOTS as usize - resident.len();
    assert!(into_free <= free, "{into_free} loads into {free} free places");
    requests.iter().for_each(tokio::task::JoinHandle::abort);
}

/// Guards against a place that stays blocked because a report sampled before an eviction names the
/// evicted adapter.
#[tokio::test(start_paused = true)]
async fn room_reported_before_eviction() {
    let group = group_with(config(), Arc::new(|_| Ok(())));
    group.engine("e1", 1, 1, 64);
    let hold = Duration::from_millis(100);
    group.run(completion("s", "a"), hold).await.unwrap().unwrap();
    sleep(Duration::from_secs(3)).await;
    group.run(completion("s", "b"), hold).await.unwrap().unwrap();
    group.report("e1", 1, STATE_AGE_MS + 200, &[("a", 0)]);
    sleep(Duration::from_secs(3)).await;
    let done = group.run(completion("s", "c"), hold).await.unwrap().unwrap();
    assert!(done.wait < Duration::from_secs(1), "{:?}", done.wait);
    assert_eq!(group.orders().len(), 3);
}
