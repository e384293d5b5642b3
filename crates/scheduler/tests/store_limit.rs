//! Learned limit on loads from the store: several groups on one store, without a network or a clock.
//!
//! The store carries out up to `full` loads at full speed; beyond that, each takes longer in
//! proportion. Adapters wait in each group all the time.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use shallotdrum_scheduler::{EndedLoad, StoreLimit};
use tokio::time::Instant;

/// Time of a load at full speed.
const BASE: Duration = Duration::from_millis(288);
/// Step of the simulation.
const STEP: Duration = Duration::from_millis(1);
/// Configured limit.
const CONFIGURED: usize = 8;
/// Engines of a group, each of which takes four loads at a time.
const MAX: usize = 4 * 15;
/// Time after which the groups are measured.
const WARM_UP: Duration = Duration::from_secs(5);

struct Load {
    group: usize,
    accepted_at: Instant,
    /// Time at full speed that is left.
    left: f64,
    is_limited: bool,
}

/// Store and groups of a run.
#[derive(Clone, Copy)]
struct Setup {
    groups: usize,
    /// Loads that the store carries out at full speed.
    full: usize,
    /// Part by which the time of a load varies in both directions.
    jitter: f64,
    /// Length of the run.
    time: Duration,
    /// Time at which the owner of the first group is lost, so that its limit is forgotten.
    new_owner_at: Duration,
    seed: u64,
}

/// What a run measured after its warm-up.
struct Measured {
    /// Part of the store's full throughput that was used.
    used: f64,
    /// Ended loads of each group over the mean.
    shares: Vec<f64>,
    /// Mean time of a load over that at full speed.
    time: f64,
}

fn run(setup: Setup) -> Measured {
    let Setup { groups, full, jitter, time, new_owner_at, seed } = setup;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut limits: Vec<StoreLimit> = (0..groups).map(|_| StoreLimit::new(CONFIGURED)).collect();
    let mut loads: Vec<Load> = Vec::new();
    let (mut ended, mut sum) = (vec![0_u32; groups], Duration::ZERO);
    let begin = Instant::now();
    let mut now = begin;
    while now < begin + time {
        if now == begin + new_owner_at {
            limits[0] = StoreLimit::new(CONFIGURED);
        }
        for (group, limit) in limits.iter().enumerate() {
            let in_flight = loads.iter().filter(|load| load.group == group).count();
            for _ in in_flight..limit.get() {
                let left = BASE.as_secs_f64() * rng.random_range(1.0 - jitter..=1.0 + jitter);
                loads.push(Load { group, accepted_at: now, left, is_limited: true });
            }
        }
        let speed = (full as f64 / loads.len() as f64).min(1.0);
        now += STEP;
        for load in &mut loads {
            load.left -= STEP.as_secs_f64() * speed;
        }
        for load in loads.extract_if(.., |load| load.left <= 0.0) {
            let Load { group, accepted_at, is_limited, .. } = load;
            limits[group].record(EndedLoad { accepted_at, ended_at: now, is_limited }, MAX);
            if now > begin + WARM_UP {
                ended[group] += 1;
                sum += now - accepted_at;
            }
        }
    }
    let total: u32 = ended.iter().sum();
    let possible = (time - WARM_UP).as_secs_f64() * full as f64 / BASE.as_secs_f64();
    let fair = f64::from(total) / groups as f64;
    Measured {
        used: f64::from(total) / possible,
        shares: ended.iter().map(|n| f64::from(*n) / fair).collect(),
        time: sum.as_secs_f64() / f64::from(total) / BASE.as_secs_f64(),
    }
}

/// Guards against a store that is left unused while adapters wait, against loads that slow each
/// other down, and against a group that the others starve.
#[rstest]
fn limit_several_groups(
    #[values((6, 72), (6, 104), (9, 72), (9, 104))] (groups, full): (usize, usize),
    #[values(0.0, 0.1)] jitter: f64,
    #[values(0, 20)] new_owner_at: u64,
    #[values(1, 2)] seed: u64,
) {
    let (time, new_owner_at) = (Duration::from_secs(40), Duration::from_secs(new_owner_at));
    check(Setup { groups, full, jitter, time, new_owner_at, seed });
}

/// Guards against groups that forget how short a load can be after a long time of overload.
#[rstest]
fn limit_several_groups_long(
    #[values((6, 72), (6, 104), (9, 72), (9, 104))] (groups, full): (usize, usize),
) {
    let (time, new_owner_at) = (Duration::from_secs(300), Duration::from_secs(20));
    check(Setup { groups, full, jitter: 0.1, time, new_owner_at, seed: 1 });
}

fn check(setup: Setup) {
    let Setup { groups, full, jitter, time, new_owner_at, .. } = setup;
    let measured = run(setup);
    let least = measured.shares.iter().copied().fold(f64::INFINITY, f64::min);
    println!(
        "{groups} groups, {full} loads, jitter {jitter}, {time:?}, new owner at {new_owner_at:?}: \
         used {:.3}, least share {least:.3}, time {:.3}",
        measured.used, measured.time
    );
    assert!(measured.used >= 0.9, "{:.3}", measured.used);
    assert!(least >= 0.5, "{:.3?}", measured.shares);
    assert!(measured.time <= 1.5, "{:.3}", measured.time);
}

/// Ends loads one after the other, each of which took `ms`.
fn record(limit: &mut StoreLimit, now: &mut Instant, ms: u64, loads: usize, is_limited: bool) {
    for _ in 0..loads {
        let accepted_at = *now;
        *now += Duration::from_millis(ms);
        limit.record(EndedLoad { accepted_at, ended_at: *now, is_limited }, 20);
    }
}

/// Guards against a limit that leaves its bounds, that rises without need, and that does not follow
/// the times.
#[test]
fn limit_bounds() {
    let (mut limit, mut now) = (StoreLimit::new(8), Instant::now());
    record(&mut limit, &mut now, 288, 50, false);
    assert_eq!(limit.get(), 8, "the limit was not reached");
    record(&mut limit, &mut now, 288, 7, true);
    assert_eq!(limit.get(), 8);
    record(&mut limit, &mut now, 288, 1, true);
    assert_eq!(limit.get(), 9);
    record(&mut limit, &mut now, 288, 9, true);
    assert_eq!(limit.get(), 10);
    record(&mut limit, &mut now, 380, 30, true);
    assert_eq!(limit.get(), 10, "loads of 1.32 times the shortest time");
    record(&mut limit, &mut now, 288, 500, true);
    assert_eq!(limit.get(), 20, "the upper bound");
    // A load that began before a decrease does not lead to another one.
    let accepted_at = now;
    record(&mut limit, &mut now, 500, 5, true);
    assert_eq!(limit.get(), 18, "an eighth less");
    for _ in 0..8 {
        now += Duration::from_millis(1);
        limit.record(EndedLoad { accepted_at, ended_at: now, is_limited: true }, 20);
    }
    assert_eq!(limit.get(), 18);
    record(&mut limit, &mut now, 500, 100, true);
    assert!(limit.get() >= 8);
}

/// Guards against a limit that stays high when engines are gone.
#[test]
fn limit_fewer_engines() {
    let (mut limit, mut now) = (StoreLimit::new(8), Instant::now());
    record(&mut limit, &mut now, 288, 500, true);
    assert_eq!(limit.get(), 20);
    let mut record = |max| {
        let accepted_at = now;
        now += Duration::from_millis(288);
        limit.record(EndedLoad { accepted_at, ended_at: now, is_limited: true }, max);
        limit.get()
    };
    assert_eq!(record(12), 12);
    assert_eq!(record(0), 8, "never below the configured limit");
}

/// Guards against groups that take the times of an overloaded store for its shortest ones: a group
/// goes back to the configured limit for a while if no load has been short for long.
#[test]
fn limit_probe() {
    let (mut limit, mut now) = (StoreLimit::new(8), Instant::now());
    record(&mut limit, &mut now, 288, 200, true);
    let before = limit.get();
    assert!(before > 12, "{before}");
    // Loads of 1.32 times the shortest time change nothing until the shortest time is 20 s old.
    record(&mut limit, &mut now, 380, 52, true);
    assert_eq!(limit.get(), before);
    record(&mut limit, &mut now, 380, 1, true);
    assert_eq!(limit.get(), 8);
    // Two rounds of loads, or 3 s.
    record(&mut limit, &mut now, 380, 7, true);
    assert_eq!(limit.get(), 8);
    record(&mut limit, &mut now, 380, 1, true);
    assert_eq!(limit.get(), before - before / 8);
}
