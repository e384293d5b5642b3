//! Loads from the store of one group: orders without a response, the limit in force, and the
//! expected wait.
//!
//! Fake engines keep what they loaded and report it; the store is never slower than at full speed.

mod support;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::FutureExt;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use shallotdrum_engine::{AdapterStatus, LoadReport};
use shallotdrum_scheduler::{
    EngineModel, GroupScheduler, LoadFailure, LoadOrder, ORDER_RESPONSE_TIMEOUT, SchedulerConfig,
    Scheduling,
};
use shallotdrum_types::{AdapterRef, Incarnation, TargetId};
use tokio::time::{Instant, sleep, sleep_until};

use slog::{Drain, KV, Logger, OwnedKVList, Record, Serializer};
use support::{answered, completion, config, engine_spec, target};

const ENGINES: usize = 15;
const SLOTS: u32 = 5;
const CONFIGURED: usize = 8;
/// Time of a load from the store.
const STORE_LOAD: Duration = Duration::from_millis(288);
/// Sends of an order without a response until its result is unknown.
const SENDS: u32 = 4;
/// Time between two inspections of an engine.
const INSPECTION: Duration = Duration::from_millis(250);

/// What the engines have loaded, and how they treat orders.
struct Engines {
    loaded: Mutex<HashMap<TargetId, Vec<AdapterRef>>>,
    /// Part of the orders that get no response.
    unanswered: f64,
    rng: Mutex<StdRng>,
    counts: Mutex<Counts>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    started: u32,
    loaded: u32,
    in_flight: u32,
    most_in_flight: u32,
}

async fn carry_out(engines: Arc<Engines>, order: LoadOrder) -> Result<(), LoadFailure> {
    let is_unanswered = engines.rng.lock().unwrap().random::<f64>() < engines.unanswered;
    {
        let mut counts = engines.counts.lock().unwrap();
        counts.started += 1;
        counts.in_flight += 1;
        counts.most_in_flight = counts.most_in_flight.max(counts.in_flight);
    }
    order.progress.await_response(Instant::now());
    let result = if is_unanswered {
        sleep(ORDER_RESPONSE_TIMEOUT * SENDS).await;
        Err(LoadFailure::Unknown)
    } else {
        order.progress.accepted(Instant::now());
        sleep(STORE_LOAD).await;
        let mut loaded = engines.loaded.lock().unwrap();
        let held = loaded.entry(order.target).or_default();
        held.retain(|adapter| Some(adapter) != order.evict.as_ref());
        held.push(order.adapter);
        Ok(())
    };
    let mut counts = engines.counts.lock().unwrap();
    counts.loaded += u32::from(result.is_ok());
    counts.in_flight -= 1;
    result
}

fn report(scheduler: &GroupScheduler, engines: &Engines, id: &TargetId) {
    let held = engines.loaded.lock().unwrap().get(id).cloned().unwrap_or_default();
    let status = |adapter| AdapterStatus { adapter, ready: true, running: 0 };
    let report = LoadReport {
        age_ms: 0,
        sequence: 0,
        base_missing: false,
        running: 0,
        queued: 0,
        adapters: held.into_iter().map(status).collect(),
    };
    scheduler.report(id, Incarnation(1), &report);
}

fn scheduler(scheduling: Scheduling, engines: &Arc<Engines>, logger: Logger) -> GroupScheduler {
    let cfg = SchedulerConfig {
        scheduling,
        engine_model: Some(EngineModel::default()),
        prefers_own_zone: false,
        max_outstanding_loads: CONFIGURED,
        ..config()
    };
    let fakes = Arc::clone(engines);
    let load = move |order| carry_out(Arc::clone(&fakes), order).boxed();
    let scheduler = GroupScheduler::new(cfg, Arc::new(load), logger);
    let ids: Vec<TargetId> = (0..ENGINES).map(|n| target(&format!("e{n}"))).collect();
    for id in &ids {
        scheduler.upsert_target(engine_spec(id.as_str(), 1, SLOTS, 64));
        report(&scheduler, engines, id);
        report(&scheduler, engines, id);
    }
    let (inspected, engines) = (scheduler.clone(), Arc::clone(engines));
    tokio::spawn(async move {
        loop {
            sleep(INSPECTION).await;
            for id in &ids {
                report(&inspected, &engines, id);
            }
        }
    });
    scheduler
}

/// Requests an adapter of its own `rate` times a second; returns what became of the loads, the
/// number of refused requests and the learned limit at the end.
async fn run(
    scheduling: Scheduling,
    unanswered: f64,
    rate: f64,
    time: Duration,
) -> (Counts, u32, Option<usize>) {
    let logger = Logger::root(slog::Discard, slog::o!());
    run_logged(scheduling, unanswered, rate, time, logger).await
}

/// Like `run`, with a log.
async fn run_logged(
    scheduling: Scheduling,
    unanswered: f64,
    rate: f64,
    time: Duration,
    logger: Logger,
) -> (Counts, u32, Option<usize>) {
    let rng = Mutex::new(StdRng::seed_from_u64(11));
    let (loaded, counts) = (Mutex::default(), Mutex::default());
    let engines = Arc::new(Engines { loaded, unanswered, rng, counts });
    let scheduler = scheduler(scheduling, &engines, logger);
    let begin = Instant::now();
    let refused = Arc::new(Mutex::new(0));
    for n in 0.. {
        let at = begin + Duration::from_secs_f64(f64::from(n) / rate);
        if at >= begin + time {
            break;
        }
        sleep_until(at).await;
        let mut request = completion(&format!("s{n}"), &format!("a{n}"));
        request.deadline = at + Duration::from_secs(8);
        let (scheduler, refused) = (scheduler.clone(), Arc::clone(&refused));
        tokio::spawn(async move {
            let Ok(lease) = scheduler.admit(request).await else {
                *refused.lock().unwrap() += 1;
                return;
            };
            lease.started();
            sleep(Duration::from_millis(100)).await;
            lease.finish(answered(10));
        });
    }
    let counts = *engines.counts.lock().unwrap();
    let refused = *refused.lock().unwrap();
    (counts, refused, scheduler.snapshot().store_limit)
}

/// Guards against orders without a response that keep other adapters from being loaded while slots
/// are free: each of them used to count towards the limit for a second.
#[tokio::test(start_paused = true)]
async fn unanswered_orders_make_room() {
    let time = Duration::from_secs(30);
    let (sound, refused, limit) = run(Scheduling::Urgency, 0.0, 30.0, time).await;
    let (faulty, faulty_refused, faulty_limit) =
        run(Scheduling::Urgency, 1.0 / 3.0, 30.0, time).await;
    let (shares, _, _) = run(Scheduling::Shares, 0.0, 30.0, time).await;
    let (shares_faulty, shares_refused, _) = run(Scheduling::Shares, 1.0 / 3.0, 30.0, time).await;
    println!(
        "sound {sound:?}, refused {refused}, limit {limit:?}; a third unanswered {faulty:?}, refused \
         {faulty_refused}, limit {faulty_limit:?}; by shares {shares:?}, a third unanswered \
         {shares_faulty:?}, refused {shares_refused}"
    );
    assert!(f64::from(faulty.started) >= f64::from(sound.started) * 2.0 / 3.0);
    assert!(faulty.loaded > shares_faulty.loaded);
}

/// Guards against a limit that stays at the configured one while adapters wait and slots are free,
/// and against one that is learned where urgency is not active.
#[rstest]
#[case::urgency(Scheduling::Urgency)]
#[case::shares(Scheduling::Shares)]
#[case::not_paced(Scheduling::WhenPaced)]
#[tokio::test(start_paused = true)]
async fn store_limit_follows_demand(#[case] scheduling: Scheduling) {
    let (counts, refused, limit) = run(scheduling, 0.0, 60.0, Duration::from_secs(20)).await;
    println!("{scheduling:?}: {counts:?}, refused {refused}, limit {limit:?}");
    match scheduling {
        Scheduling::Urgency => {
            assert!(limit.is_some_and(|limit| limit > 14), "{limit:?}");
            assert!(counts.loaded > 900, "{}", counts.loaded);
        }
        Scheduling::Shares | Scheduling::WhenPaced => {
            assert_eq!((limit, counts.most_in_flight as usize), (None, CONFIGURED));
        }
    }
}

/// Guards against orders without a response that are sent without a bound.
#[tokio::test(start_paused = true)]
async fn unanswered_orders_bounded() {
    let (counts, ..) = run(Scheduling::Urgency, 1.0, 60.0, Duration::from_secs(10)).await;
    println!("{counts:?}");
    assert!(counts.most_in_flight as usize <= 3 * CONFIGURED, "{counts:?}");
    assert!(counts.started > 0);
}

/// Collects the time and the limits of each line about a changed limit.
#[derive(Clone, Default)]
struct LimitLines(Arc<Mutex<Vec<(Instant, usize, usize)>>>);

impl Drain for LimitLines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        let mut values = Values::default();
        record.kv().serialize(record, &mut values).unwrap();
        if values.0.get("code").is_some_and(|code| code == "O0345") {
            let limit = |key: &str| values.0[key].parse().unwrap();
            self.0.lock().unwrap().push((Instant::now(), limit("from"), limit("to")));
        }
        Ok(())
    }
}

#[derive(Default)]
struct Values(HashMap<String, String>);

impl Serializer for Values {
    fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments<'_>) -> slog::Result {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Guards against a line for each step of the limit, against more than one in a second, and against
/// a limit that is far from the logged one after its last change.
#[tokio::test(start_paused = true)]
async fn limit_changes_logged() {
    let lines = LimitLines::default();
    let logger = Logger::root(lines.clone(), slog::o!());
    let (_, _, limit) =
        run_logged(Scheduling::Urgency, 0.0, 60.0, Duration::from_secs(60), logger).await;
    let lines = lines.0.lock().unwrap().clone();
    println!("{limit:?}, {lines:?}");
    for (_, from, to) in &lines {
        assert!(4 * from.abs_diff(*to) > *from, "from {from} to {to}");
    }
    for pair in lines.windows(2) {
        let ((earlier, _, logged), (later, from, _)) = (pair[0], pair[1]);
        assert!(later >= earlier + Duration::from_secs(1), "{:?}", later - earlier);
        assert_eq!(logged, from);
    }
    let (_, _, logged) = *lines.last().expect("the limit rises by more than a quarter");
    assert!(4 * logged.abs_diff(limit.unwrap()) <= logged, "{limit:?}, logged {logged}");
}
