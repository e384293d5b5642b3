//! Effect of `stall_weight`, the trade-off between load stalls and full batches.

mod support;

use std::{collections::BTreeSet, time::Duration};

use rstest::rstest;
use shallotdrum_scheduler::SchedulerConfig;
use support::{adapter, completion, config, engine_spec, group, target};
use tokio::time::sleep;

/// Guards against a stall weight without effect on the placement of loads. Low weights fill few
/// batches; high weights choose less busy engines.
#[rstest]
#[case::full_batches(0.2, 1)]
#[case::short_stalls(0.8, 3)]
#[tokio::test(start_paused = true)]
async fn stall_weight_decides_where_to_load(#[case] stall_weight: f64, #[case] engines: usize) {
    let group = group(SchedulerConfig { stall_weight, ..config() });
    for id in ["e1", "e2", "e3"] {
        group.engine(id, 1, 4, 16);
    }
    let mut leases = Vec::new();
    for name in ["a", "b", "c"] {
        leases.push(group.admit(completion("light", name)).await.unwrap());
    }
    let used: BTreeSet<_> = leases.iter().map(|lease| lease.target.to_string()).collect();
    assert_eq!(used.len(), engines, "{used:?}");
}

/// Guards against popular adapters that keep several engines in use at a low stall weight, and
/// against consolidation that costs loads at a high one.
#[rstest]
#[case::full_batches(0.2, true)]
#[case::short_stalls(0.8, false)]
#[tokio::test(start_paused = true)]
async fn stall_weight_decides_on_moves(#[case] stall_weight: f64, #[case] moves: bool) {
    let group = group(SchedulerConfig { stall_weight, ..config() });
    for (id, name) in [("e1", "a"), ("e2", "b")] {
        group.scheduler.upsert_target(engine_spec(id, 1, 2, 16));
        for _ in 0..2 {
            group.report(id, 1, 0, &[(name, 0)]);
        }
    }
    for _ in 0..10 {
        for name in ["a", "a", "b"] {
            group
                .run(completion("light", name), Duration::from_millis(100))
                .await
                .unwrap()
                .unwrap();
        }
        sleep(Duration::from_secs(1)).await;
    }
    let orders = group.orders();
    let is_move = orders.iter().any(|order| {
        order.adapter == adapter("b") && order.target == target("e1") && order.evict.is_none()
    });
    assert_eq!(is_move, moves, "{orders:?}");
    assert_eq!(orders.len(), usize::from(moves), "{orders:?}");
    let _busy = group.admit(completion("light", "a")).await.unwrap();
    let lease = group.admit(completion("light", "b")).await.unwrap();
    assert_eq!(lease.target, target(if moves { "e1" } else { "e2" }));
}
