//! Fair shares during floods, and use of idle capacity.

mod support;

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use shallotdrum_types::Weight;
use support::{Group, completion, config, counts, group};
use tokio::time::{Instant, sleep};

/// Mean time for which a request holds its lease.
const HOLD: Duration = Duration::from_millis(500);

/// Keeps `depth` requests of a subscriber queued or running until the test ends.
fn flood(group: &Group, subscriber: &str, adapters: usize, depth: usize, weight: f64) {
    for n in 0..depth {
        let scheduler = group.scheduler.clone();
        let subscriber = subscriber.to_owned();
        let name = format!("{subscriber}-{}", n % adapters);
        let mut rng = StdRng::seed_from_u64(n as u64);
        tokio::spawn(async move {
            loop {
                let mut request = completion(&subscriber, &name);
                request.weight = Weight::new(weight).unwrap();
                match scheduler.admit(request).await {
                    Ok(lease) => {
                        lease.started();
                        sleep(HOLD.mul_f64(2.0 * rng.random::<f64>())).await;
                        lease.finish(support::answered(100));
                    }
                    Err(_) => sleep(Duration::from_millis(100)).await,
                }
            }
        });
    }
}

/// Sorted waits of a light subscriber that sends about one request per second.
async fn light_waits(seed: u64, heavy: usize, adapters: usize) -> Vec<Duration> {
    let group = group(config());
    for n in 0..4 {
        group.engine(&format!("e{n}"), 1, 4, 8);
    }
    for n in 0..heavy {
        flood(&group, &format!("heavy{n}"), adapters, 100, 1.0);
    }
    let mut rng = StdRng::seed_from_u64(seed);
    sleep(Duration::from_secs(30)).await;
    let mut tasks = Vec::new();
    for n in 0..90 {
        sleep(Duration::from_secs_f64(2.0 * rng.random::<f64>())).await;
        tasks.push(group.run(completion("light", &format!("light-{}", n % 2)), HOLD));
    }
    let mut waits = Vec::new();
    for task in tasks {
        let done = task.await.unwrap().unwrap();
        if done.wait > Duration::from_millis(100) {
            println!(
                "slow request: wait {:?}, stall {:?}, at {:?}",
                done.wait, done.stall, done.at
            );
        }
        waits.push(done.wait);
    }
    for (at, order) in group.orders.lock().unwrap().iter() {
        if order.adapter.to_string().starts_with("light")
            || order.evict.as_ref().is_some_and(|e| e.to_string().starts_with("light"))
        {
            println!(
                "load order at {at:?}: {} {}, evict {:?}",
                order.target,
                order.adapter,
                order.evict.as_ref().map(|e| e.to_string())
            );
        }
    }
    println!("{} load orders", group.orders().len());
    // The first requests for both adapters wait for their loads in any case.
    let mut waits = waits.split_off(10);
    waits.sort();
    waits
}

/// Guards against heavy subscribers that lengthen the waits of a light one.
#[rstest]
#[case::few_adapters(1, 4)]
#[case::more_adapters_than_slots(2, 12)]
#[tokio::test(start_paused = true)]
async fn admit_flood_leaves_light_wait(#[case] seed: u64, #[case] adapters: usize) {
    let alone = light_waits(seed, 0, adapters).await;
    let flooded = light_waits(seed, 3, adapters).await;
    let at = alone.len() * 99 / 100;
    println!("seed {seed}: p99 wait alone {:?}, with floods {:?}", alone[at], flooded[at]);
    println!("median with floods {:?}", flooded[alone.len() / 2]);
    // The limit is 1.2 times the time until the response ends.
    assert!((flooded[at] + HOLD) <= (alone[at] + HOLD).mul_f64(1.2));
}

/// Guards against weights without effect on contended capacity.
#[tokio::test(start_paused = true)]
async fn admit_respects_weights() {
    let group = group(config());
    group.engine("e1", 1, 2, 8);
    let mut tasks = Vec::new();
    for (subscriber, weight) in [("one", 1.0), ("three", 3.0)] {
        for _ in 0..400 {
            let mut request = completion(subscriber, "shared");
            request.weight = Weight::new(weight).unwrap();
            tasks.push((subscriber, group.run(request, HOLD)));
        }
    }
    let begin = Instant::now();
    sleep(Duration::from_secs(20)).await;
    let mut served = Vec::new();
    for (subscriber, task) in tasks {
        if let Ok(done) = task.await.unwrap()
            && done.at < begin + Duration::from_secs(20)
        {
            served.push(subscriber.to_owned());
        }
    }
    let served = counts(served);
    let ratio = served["three"] as f64 / served["one"] as f64;
    assert!((2.5..3.5).contains(&ratio), "{served:?}");
}

/// Guards against capacity that stays idle while a request that could use it waits.
#[rstest]
#[case(1)]
#[case(2)]
#[tokio::test(start_paused = true)]
async fn admit_is_work_conserving(#[case] seed: u64) {
    let group = group(config());
    for n in 0..3 {
        group.engine(&format!("e{n}"), 1, 2, 4);
    }
    flood(&group, "heavy", 2, 64, 1.0);
    let mut rng = StdRng::seed_from_u64(seed);
    // By then, replicas of the subscriber's adapters occupy the whole group.
    sleep(Duration::from_secs(20)).await;
    let mut occupied = 0.0;
    for _ in 0..200 {
        sleep(Duration::from_secs_f64(0.2 * rng.random::<f64>())).await;
        occupied += group.scheduler.snapshot().batch_occupancy / 200.0;
    }
    assert!(occupied > 0.95, "occupancy {occupied}");
}

/// Guards against a large subscriber that is held back as a flood because of its size alone.
#[tokio::test(start_paused = true)]
async fn admit_large_subscriber_is_no_flood() {
    const LARGE: usize = 16;
    let group = group(config());
    for n in 0..4 {
        group.engine(&format!("e{n}"), 1, 4, 8);
    }
    for n in 0..LARGE {
        flood(&group, &format!("small{n}"), 1, 4, 1.0);
    }
    flood(&group, "large", LARGE, 4 * LARGE, LARGE as f64);
    sleep(Duration::from_secs(20)).await;
    let (mut large, mut small) = (0, 0);
    for _ in 0..400 {
        sleep(Duration::from_millis(250)).await;
        for row in group.scheduler.snapshot().subscribers {
            match row.subscriber.as_str() {
                "large" => large += row.running,
                _ => small += row.running,
            }
        }
    }
    println!("running requests of the large subscriber {large}, of the small ones {small}");
    assert!(f64::from(large) >= 0.8 * f64::from(small), "{large} of {small}");
}
