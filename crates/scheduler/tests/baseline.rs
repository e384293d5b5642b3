//! Baseline policy.

mod support;

use std::time::Duration;

use shallotdrum_scheduler::{Policy, SchedulerConfig};
use support::{Group, adapter, answered, completion, config, group};
use tokio::time::sleep;

fn baseline(engines: usize, slots: u32) -> Group {
    let group = group(SchedulerConfig { policy: Policy::Baseline, ..config() });
    for n in 0..engines {
        group.engine(&format!("e{n}"), 1, slots, 4);
    }
    group
}

/// Guards against a baseline that prefers holders, which would make the comparison unfair.
#[tokio::test(start_paused = true)]
async fn baseline_routes_round_robin() {
    let group = baseline(3, 2);
    let mut targets = Vec::new();
    for _ in 0..6 {
        let lease = group.admit(completion("light", "a")).await.unwrap();
        targets.push(lease.target.to_string());
        lease.finish(answered(1));
    }
    assert_eq!(targets, ["e0", "e1", "e2", "e0", "e1", "e2"]);
    assert_eq!(group.orders().len(), 3);
}

/// Guards against a baseline that evicts by demand instead of by last use.
#[tokio::test(start_paused = true)]
async fn baseline_evicts_least_recently_used() {
    let group = baseline(1, 2);
    for name in ["a", "a", "a", "b", "c"] {
        group.run(completion("light", name), Duration::from_millis(10)).await.unwrap().unwrap();
    }
    assert_eq!(group.orders().last().unwrap().evict, Some(adapter("a")));
}

/// Guards against a baseline that evicts an adapter in use for a load on demand.
#[tokio::test(start_paused = true)]
async fn baseline_waits_for_busy_adapter() {
    let group = baseline(1, 1);
    let lease = group.admit(completion("light", "a")).await.unwrap();
    let other = group.run(completion("light", "b"), Duration::ZERO);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(group.orders().len(), 1);
    lease.finish(answered(1));
    let done = other.await.unwrap().unwrap();
    assert!(done.stall > Duration::from_secs(2));
}

/// Guards against requests that stay assigned to a draining target.
#[tokio::test(start_paused = true)]
async fn baseline_reassigns_queue_of_draining_target() {
    let group = baseline(2, 1);
    let first = group.admit(completion("light", "a")).await.unwrap();
    let second = group.admit(completion("light", "a")).await.unwrap();
    let queued: Vec<_> =
        (0..4).map(|_| group.run(completion("light", "b"), Duration::ZERO)).collect();
    sleep(Duration::from_millis(10)).await;
    group.scheduler.set_draining(&first.target, true);
    drop(second);
    for task in queued {
        assert_ne!(task.await.unwrap().unwrap().target, first.target.as_str());
    }
}
