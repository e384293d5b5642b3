//! Choice of a target without an owner, by the loads that targets stated to this entry.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use shallotdrum_engine::TargetLoad;
use shallotdrum_gateway::FallbackSelector;
use shallotdrum_types::{PoolId, TargetId};
use tokio::time::Instant;

fn pool() -> PoolId {
    "desk".parse().unwrap()
}

fn targets(n: usize) -> Vec<TargetId> {
    (0..n).map(|n| format!("t{n}").parse().unwrap()).collect()
}

fn load(running: u32, waiting: u32, slowness: Option<f64>) -> TargetLoad {
    TargetLoad { running, waiting, slots: 6, slowness }
}

/// Guards against requests for a slow or full target while others are idle, and against a choice by old
/// loads, or by loads in a pool whose targets state no slowness.
#[rstest]
#[case::slow([load(1, 0, Some(2.5)), load(1, 0, Some(1.0))], 0, 0.0, 1)]
#[case::full([load(6, 4, Some(1.0)), load(2, 0, Some(1.0))], 0, 0.0, 1)]
#[case::slow_but_idle([load(0, 0, Some(1.2)), load(6, 2, Some(1.0))], 0, 0.99, 0)]
#[case::equal([load(1, 0, Some(1.0)), load(1, 0, Some(1.0))], 0, 0.99, 1)]
#[case::old([load(6, 4, Some(2.5)), load(0, 0, Some(1.0))], 3_000, 0.0, 0)]
#[case::no_slowness([load(6, 4, None), load(0, 0, None)], 0, 0.0, 0)]
#[tokio::test(start_paused = true)]
async fn fallback_choose(
    #[case] loads: [TargetLoad; 2],
    #[case] age_ms: u64,
    #[case] random: f64,
    #[case] expected: usize,
) {
    let targets = targets(2);
    let mut fallback = FallbackSelector::default();
    let now = Instant::now();
    for (target, load) in targets.iter().zip(loads) {
        fallback.record_load(&pool(), target, load, now);
    }
    let now = now + Duration::from_millis(age_ms);
    let chosen = fallback.choose(&pool(), None, &targets, random, now);
    assert_eq!(chosen.as_ref(), Some(&targets[expected]));
}

/// Guards against a stated slowness of another pool that changes the choice in this one.
#[tokio::test(start_paused = true)]
async fn fallback_other_pool() {
    let targets = targets(2);
    let mut fallback = FallbackSelector::default();
    let now = Instant::now();
    fallback.record_load(&"other".parse().unwrap(), &targets[0], load(6, 6, Some(2.5)), now);
    assert_eq!(fallback.choose(&pool(), None, &targets, 0.0, now).as_ref(), Some(&targets[0]));
}

/// Guards against more requests for a target than an entry may send without an owner.
#[tokio::test(start_paused = true)]
async fn fallback_bound_per_target() {
    let targets = targets(3);
    let mut fallback = FallbackSelector::default();
    let now = Instant::now();
    fallback.record_load(&pool(), &targets[0], load(0, 0, Some(1.0)), now);
    let mut rng = StdRng::seed_from_u64(1);
    let mut sent = [0; 3];
    while let Some(chosen) = fallback.choose(&pool(), None, &targets, rng.random(), now) {
        fallback.begin(&chosen);
        sent[targets.iter().position(|target| *target == chosen).unwrap()] += 1;
    }
    assert_eq!(sent, [6; 3]);
}
