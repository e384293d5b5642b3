//! Randomised tests that adapters in use are never evicted, against a model of the engines.
//!
//! The model checks each order when it is sent and when it is carried out. Failures print their
//! seed.

mod support;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::FutureExt;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use shallotdrum_engine::{AdapterStatus, LoadReport};
use shallotdrum_scheduler::{
    Finish, GroupScheduler, LoadFailure, LoadOrder, MAX_REQUEST_DEADLINE, Policy, SchedulerConfig,
};
use shallotdrum_types::{AdapterRef, Incarnation, TargetId};
use support::{adapter, answered, completion, config, engine_spec, group, target};
use tokio::time::{Instant, sleep};

const ENGINES: usize = 3;
const SLOTS: usize = 3;

/// Resident adapters of an engine with the number of running requests on each.
#[derive(Clone, Default)]
struct Engine {
    resident: BTreeMap<AdapterRef, u32>,
}

#[derive(Clone, Default)]
struct Engines {
    engines: Arc<Mutex<BTreeMap<TargetId, Engine>>>,
    /// Collected here, since the scheduler catches panics of load orders.
    violations: Arc<Mutex<Vec<String>>>,
}

impl Engines {
    fn with<T>(&self, id: &TargetId, f: impl FnOnce(&mut Engine) -> T) -> T {
        f(self.engines.lock().unwrap().entry(id.clone()).or_default())
    }

    fn check_victim(&self, order: &LoadOrder) {
        let running = |engine: &mut Engine| engine.resident.get(order.evict.as_ref()?).copied();
        if self.with(&order.target, running).is_some_and(|running| running > 0) {
            self.violations.lock().unwrap().push(format!("evicts a busy adapter: {order:?}"));
        }
    }

    /// Carries out an order; returns whether the adapter is now resident.
    fn load(&self, order: &LoadOrder) -> bool {
        self.check_victim(order);
        self.with(&order.target, |engine| {
            if let Some(victim) = &order.evict {
                engine.resident.remove(victim);
            }
            if engine.resident.contains_key(&order.adapter) {
                return true;
            }
            if engine.resident.len() >= SLOTS {
                return false;
            }
            engine.resident.insert(order.adapter.clone(), 0);
            true
        })
    }

    fn start(&self, id: &TargetId, name: &AdapterRef, seed: u64) {
        self.with(id, |engine| match engine.resident.get_mut(name) {
            Some(running) => *running += 1,
            None => panic!("seed {seed}: {name} was admitted to {id}, which does not hold it"),
        });
    }

    fn end(&self, id: &TargetId, name: &AdapterRef) {
        self.with(id, |engine| {
            if let Some(running) = engine.resident.get_mut(name) {
                *running -= 1;
            }
        });
    }

    fn report(&self, id: &TargetId) -> LoadReport {
        self.with(id, |engine| LoadReport {
            sequence: 0,
            base_missing: false,
            age_ms: 0,
            running: engine.resident.values().sum(),
            queued: 0,
            adapters: engine
                .resident
                .iter()
                .map(|(adapter, running)| AdapterStatus {
                    adapter: adapter.clone(),
                    ready: true,
                    running: *running,
                })
                .collect(),
        })
    }
}

fn scheduler(cfg: SchedulerConfig, engines: &Engines, seed: u64) -> GroupScheduler {
    let engines = engines.clone();
    let rng = Arc::new(Mutex::new(StdRng::seed_from_u64(seed)));
    let load = move |order: LoadOrder| {
        let (engines, rng) = (engines.clone(), Arc::clone(&rng));
        let (outcome, wait) = {
            let mut rng = rng.lock().unwrap();
            (rng.random_range(0..10), rng.random_range(0..300))
        };
        engines.check_victim(&order);
        async move {
            sleep(Duration::from_millis(wait)).await;
            match outcome {
                0 => return Err(LoadFailure::NoPermit),
                1 => return Err(LoadFailure::Failed),
                2 => return Err(LoadFailure::Unknown),
                _ => {}
            }
            let is_loaded = engines.load(&order);
            sleep(Duration::from_millis(wait)).await;
            match outcome {
                3 => Err(LoadFailure::Unknown),
                _ if is_loaded => Ok(()),
                _ => Err(LoadFailure::Refused(shallotdrum_engine::OrderRefusal::NoFreeSlot)),
            }
        }
        .boxed()
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    GroupScheduler::new(cfg, Arc::new(load), logger)
}

/// Sends late and sometimes incomplete reports until the test ends.
fn send_reports(scheduler: &GroupScheduler, engines: &Engines, seed: u64) {
    for n in 0..ENGINES {
        let (scheduler, engines) = (scheduler.clone(), engines.clone());
        let mut rng = StdRng::seed_from_u64(seed + n as u64);
        tokio::spawn(async move {
            loop {
                let id = target(&format!("e{n}"));
                let mut report = engines.report(&id);
                if rng.random_bool(0.1) {
                    report.adapters.pop();
                }
                let known_age = rng.random_range(0..1500);
                let transit = rng.random_range(0..900);
                sleep(Duration::from_millis(known_age + transit)).await;
                report.age_ms = known_age;
                scheduler.report(&id, Incarnation(1), &report);
                sleep(Duration::from_millis(rng.random_range(0..500))).await;
            }
        });
    }
}

/// Guards against evicting an adapter that serves requests of this or the previous owner, when
/// loads fail or have unknown results, callers cancel, and reports are late or incomplete.
#[rstest]
#[tokio::test(start_paused = true)]
async fn evict_spares_busy_adapters(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(Policy::Adaptive, Policy::Baseline)] policy: Policy,
) {
    let engines = Engines::default();
    let mut rng = StdRng::seed_from_u64(seed);
    // Adapters of the previous owner, with requests that run for up to the longest deadline.
    for n in 0..ENGINES {
        let id = target(&format!("e{n}"));
        for slot in 0..SLOTS {
            let name = adapter(&format!("a{}", n * SLOTS + slot));
            engines.with(&id, |engine| engine.resident.insert(name.clone(), 0));
            for _ in 0..rng.random_range(0..3) {
                engines.start(&id, &name, seed);
                let (engines, id, name) = (engines.clone(), id.clone(), name.clone());
                let time = MAX_REQUEST_DEADLINE.mul_f64(rng.random::<f64>());
                tokio::spawn(async move {
                    sleep(time).await;
                    engines.end(&id, &name);
                });
            }
        }
    }
    let report_transit = Duration::from_secs(1);
    let cfg = SchedulerConfig { policy, report_transit, seed: Some(seed), ..config() };
    let scheduler = scheduler(cfg, &engines, seed);
    for n in 0..ENGINES {
        scheduler.upsert_target(engine_spec(&format!("e{n}"), 1, SLOTS as u32, 4));
    }
    send_reports(&scheduler, &engines, seed);
    let mut tasks = Vec::new();
    for _ in 0..600 {
        sleep(Duration::from_secs_f64(0.6 * rng.random::<f64>())).await;
        let snapshot = scheduler.snapshot();
        for state in snapshot.targets.values() {
            assert!(state.residents.len() + state.loading.len() <= SLOTS, "seed {seed}");
        }
        let name = format!("a{}", rng.random_range(0..24));
        let request = completion(&format!("s{}", rng.random_range(0..4)), &name);
        let (scheduler, engines) = (scheduler.clone(), engines.clone());
        let hold = Duration::from_millis(rng.random_range(0..3000));
        let outcome = rng.random_range(0..10);
        tasks.push(tokio::spawn(async move {
            let Ok(lease) = scheduler.admit(request).await else { return 0 };
            let (id, name) = (lease.target.clone(), adapter(&name));
            lease.started();
            engines.start(&id, &name, seed);
            sleep(hold).await;
            if outcome == 0 {
                // The engine keeps running a cancelled request for a while.
                lease.finish(Finish::Cancelled);
                sleep(Duration::from_secs(2)).await;
                engines.end(&id, &name);
            } else {
                engines.end(&id, &name);
                lease.finish(answered(10));
            }
            1
        }));
    }
    let mut responses = 0;
    for task in tasks {
        responses += task.await.unwrap();
    }
    let violations = engines.violations.lock().unwrap();
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    assert!(responses > 100, "seed {seed}: only {responses} responses");
}

/// Guards against adapters of the previous owner that stay pinned forever after a takeover, or
/// that are unpinned by a report sampled before it.
#[rstest]
#[case::sampled_before(30_000, false)]
#[case::sampled_after(0, true)]
#[tokio::test(start_paused = true)]
async fn report_unpins_adapters_found_at_takeover(#[case] age_ms: u64, #[case] unpins: bool) {
    let group = group(config());
    group.scheduler.upsert_target(engine_spec("e1", 1, 1, 4));
    group.report("e1", 1, 0, &[("found", 1)]);
    let waiting = group.run(completion("light", "other"), Duration::ZERO);
    sleep(Duration::from_secs(5)).await;
    assert!(group.orders().is_empty());
    let sent_at = Instant::now();
    group.report("e1", 1, age_ms, &[("found", 0)]);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(waiting.is_finished(), unpins);
    if unpins {
        assert!(waiting.await.unwrap().unwrap().at < sent_at + Duration::from_secs(5));
    }
}

/// Guards against a pin that outlasts every request of the previous owner.
#[tokio::test(start_paused = true)]
async fn pin_of_takeover_ends_after_longest_deadline() {
    let group = group(config());
    group.scheduler.upsert_target(engine_spec("e1", 1, 1, 4));
    group.report("e1", 1, 0, &[("found", 1)]);
    sleep(MAX_REQUEST_DEADLINE - Duration::from_secs(10)).await;
    let waiting = group.run(completion("light", "other"), Duration::ZERO);
    sleep(Duration::from_secs(9)).await;
    assert!(group.orders().is_empty());
    waiting.await.unwrap().unwrap();
}

/// Guards against orders to targets without fencing while the previous owner may still send some.
#[tokio::test(start_paused = true)]
async fn load_waits_until_orders_are_allowed() {
    let group = group(config());
    let mut spec = engine_spec("e1", 1, 2, 4);
    spec.orders_allowed_from = Instant::now() + Duration::from_secs(8);
    group.scheduler.upsert_target(spec);
    group.report("e1", 1, 0, &[("found", 0)]);
    let found = group.admit(completion("light", "found")).await.unwrap();
    assert_eq!(found.queue_wait, Duration::ZERO);
    let done = group.run(completion("light", "other"), Duration::ZERO).await.unwrap().unwrap();
    assert!(done.wait >= Duration::from_secs(8));
}

/// Guards against reusing a slot while an order of unknown result may still take effect.
#[tokio::test(start_paused = true)]
async fn unknown_load_reserves_slot_until_report() {
    let outcomes = |order: &LoadOrder| match order.adapter == adapter("a") {
        true => Err(LoadFailure::Unknown),
        false => Ok(()),
    };
    let group = support::group_with(config(), Arc::new(outcomes));
    group.engine("e1", 1, 1, 4);
    let first = group.run(completion("light", "a"), Duration::ZERO);
    sleep(Duration::from_secs(1)).await;
    let other = group.run(completion("light", "b"), Duration::ZERO);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(group.orders().len(), 1);
    group.report("e1", 1, 0, &[("a", 0)]);
    sleep(Duration::from_secs(5)).await;
    first.await.unwrap().unwrap();
    group.report("e1", 1, 0, &[("a", 0)]);
    other.await.unwrap().unwrap();
}
