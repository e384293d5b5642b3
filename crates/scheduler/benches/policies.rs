//! Compares the policies on a simulated group with paused time, and measures the scheduler's own
//! throughput in real time.
//!
//! Usage: `cargo bench -p shallotdrum-scheduler --bench policies [-- SEED]`. The simulation has 12
//! engines with 4 adapter slots each, 3,000 adapters with Zipf popularity, and a weight store that
//! grants 3 loads/s of 0.25 s each. A token takes 20 ms, plus 0.5 ms for each sequence in the
//! engine's batch.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use futures_util::FutureExt;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use shallotdrum_engine::{LoadReport, TargetKind, Urgency};
use shallotdrum_scheduler::{
    AdmissionRequest, Finish, GroupScheduler, Lease, LoadFn, Policy, RequestKind, SchedulerConfig,
    TargetSpec,
};
use shallotdrum_types::{AdapterRef, Fingerprint, Incarnation, Weight};
use tokio::{
    runtime::Builder,
    time::{Instant, sleep, sleep_until, timeout_at},
};

const ENGINES: usize = 12;
const SLOTS: u32 = 4;
const MAX_BATCH: u32 = 16;
const ADAPTERS: usize = 3000;
const SUBSCRIBERS: usize = 300;
const LOADS_PER_SECOND: f64 = 3.0;
const LOAD_TIME: Duration = Duration::from_millis(250);
const WARM_UP: Duration = Duration::from_secs(60);
const MEASURED: Duration = Duration::from_secs(240);
const DEADLINE: Duration = Duration::from_secs(60);
/// Time per token, without the contribution of the batch.
const TOKEN_TIME: Duration = Duration::from_millis(20);
/// Additional time per token for each sequence in the batch.
const SEQUENCE_TIME: Duration = Duration::from_micros(500);
/// Tokens after which a sequence reads the batch size again.
const TOKENS_PER_STEP: u64 = 8;

struct Case {
    name: &'static str,
    requests_per_second: f64,
    /// Exponent of the Zipf distribution of adapter popularity.
    exponent: f64,
    /// Whether popularity ranks are reassigned half-way through the measured time.
    shifts: bool,
}

#[derive(Default)]
struct Figures {
    /// Load stalls of admitted requests, in seconds.
    stalls: Vec<f64>,
    /// Arrival relative to the popularity shift, and load stall, both in seconds.
    around_shift: Vec<(f64, f64)>,
    /// Queue waits of admitted requests, in seconds.
    waits: Vec<f64>,
    refused: usize,
    /// Refused requests that waited for more than a second.
    refused_late: usize,
    /// Sum of the waits of refused requests, in seconds.
    refused_wait_secs: f64,
    loads: u64,
    /// Batch occupancy over all engines, 0 to 1, summed over the samples.
    occupancy_sum: f64,
    /// The same over the engines with running requests.
    busy_occupancy_sum: f64,
    /// Number of engines with running requests, summed over the samples.
    busy_engines: f64,
    samples: usize,
}

impl Figures {
    fn add_sample(&mut self, running: f64, busy_engines: usize) {
        let busy_places = f64::from(MAX_BATCH) * busy_engines.max(1) as f64;
        self.busy_engines += busy_engines as f64;
        self.occupancy_sum += running / (f64::from(MAX_BATCH) * ENGINES as f64);
        self.busy_occupancy_sum += running / busy_places;
        self.samples += 1;
    }
}

/// Number of sequences in each engine's batch.
#[derive(Clone, Default)]
struct Batches(Arc<[AtomicU32; ENGINES]>);

/// Guard that counts a sequence in its batch until dropped.
struct Sequence<'a>(&'a AtomicU32);

impl Drop for Sequence<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Batches {
    /// Sleeps for the duration of a response, which depends on the batch size.
    async fn generate_response(&self, lease: &Lease, tokens: u64) {
        let (_, engine) = lease.target.as_str().rsplit_once('-').expect("engine name");
        let batch = &self.0[engine.parse::<usize>().expect("engine number")];
        batch.fetch_add(1, Ordering::Relaxed);
        let _sequence = Sequence(batch);
        let mut left = tokens;
        while left > 0 {
            let step = left.min(TOKENS_PER_STEP);
            let token_time = TOKEN_TIME + SEQUENCE_TIME * batch.load(Ordering::Relaxed);
            sleep(token_time * step as u32).await;
            left -= step;
        }
    }
}

fn main() {
    let seed = std::env::args().filter_map(|arg| arg.parse().ok()).next().unwrap_or(1);
    println!("seed {seed}; stall in s, sums over admitted requests; occupancy in %");
    println!("held: refused after more than a second in the queue; engines: mean number in use");
    println!(
        "{:<20} {:<21} {:>8} {:>8} {:>6} {:>9} {:>8} {:>8} {:>8} {:>6} {:>6} {:>6} {:>7}",
        "case",
        "policy",
        "admitted",
        "refused",
        "held",
        "stall",
        "p99",
        "mean",
        "wait99",
        "loads",
        "occup",
        "busy",
        "engines"
    );
    let cases = [
        Case { name: "4/s zipf 1.1", requests_per_second: 4.0, exponent: 1.1, shifts: false },
        Case { name: "8/s zipf 1.1", requests_per_second: 8.0, exponent: 1.1, shifts: false },
        Case { name: "12/s zipf 1.2", requests_per_second: 12.0, exponent: 1.2, shifts: false },
        Case { name: "40/s zipf 1.4", requests_per_second: 40.0, exponent: 1.4, shifts: false },
        Case { name: "90/s zipf 1.6", requests_per_second: 90.0, exponent: 1.6, shifts: false },
        Case { name: "4/s zipf 1.1 shift", requests_per_second: 4.0, exponent: 1.1, shifts: true },
        Case { name: "8/s zipf 1.1 shift", requests_per_second: 8.0, exponent: 1.1, shifts: true },
    ];
    for case in &cases {
        run(case, Policy::Baseline, 0.5, seed);
        for stall_weight in [0.8, 0.5, 0.2] {
            run(case, Policy::Adaptive, stall_weight, seed);
        }
    }
    for factor in [0.5, 1.0, 1.5, 2.0, 3.0] {
        overload(factor, seed);
    }
    for (is_repeatable, callers) in [(false, 3), (false, 100), (true, 3)] {
        lookups(is_repeatable, callers, seed);
    }
    measure_speed();
}

fn run(case: &Case, policy: Policy, stall_weight: f64, seed: u64) {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    let figures = runtime.expect("runtime").block_on(simulate(case, policy, stall_weight, seed));
    let mut stalls = figures.stalls;
    let mut waits = figures.waits;
    let total: f64 = stalls.iter().sum();
    let around_shift = figures.around_shift;
    let count = stalls.len();
    let label = match policy {
        Policy::Baseline => "baseline".to_owned(),
        Policy::Adaptive => format!("adaptive, weight {stall_weight}"),
    };
    println!(
        "{:<20} {:<21} {:>8} {:>8} {:>6} {:>9.1} {:>8.2} {:>8.3} {:>8.2} {:>6} {:>6.1} {:>6.1} {:>7.2}",
        case.name,
        label,
        count,
        figures.refused,
        figures.refused_late,
        total,
        percentile(&mut stalls, 0.99),
        total / count.max(1) as f64,
        percentile(&mut waits, 0.99),
        figures.loads,
        100.0 * figures.occupancy_sum / figures.samples as f64,
        100.0 * figures.busy_occupancy_sum / figures.samples as f64,
        figures.busy_engines / figures.samples as f64,
    );
    if figures.refused > 0 {
        let held = figures.refused_wait_secs / figures.refused as f64;
        println!("    refused requests were held for {held:.1} s on average");
    }
    if case.shifts {
        println!(
            "    mean stall: 120 s before the shift {:.3}, 0 to 30 s after {:.3}, 30 to 120 s {:.3}",
            mean_stall(&around_shift, -120.0, 0.0),
            mean_stall(&around_shift, 0.0, 30.0),
            mean_stall(&around_shift, 30.0, 120.0),
        );
    }
}

/// Mean stall of the requests that arrive in a time span relative to the shift.
fn mean_stall(around_shift: &[(f64, f64)], from: f64, to: f64) -> f64 {
    let stalls: Vec<f64> = around_shift
        .iter()
        .filter(|(at, _)| (from..to).contains(at))
        .map(|(_, stall)| *stall)
        .collect();
    stalls.iter().sum::<f64>() / stalls.len().max(1) as f64
}

fn percentile(values: &mut [f64], p: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (p * values.len() as f64) as usize;
    values.get(at.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

async fn simulate(case: &Case, policy: Policy, stall_weight: f64, seed: u64) -> Figures {
    let cfg = SchedulerConfig {
        policy,
        stall_weight,
        seed: Some(seed),
        ..SchedulerConfig::new(name("suva-a"))
    };
    let scheduler = scheduler(cfg, store(LOADS_PER_SECOND), ENGINES);
    let batches = Batches::default();
    let mut rng = StdRng::seed_from_u64(seed);
    let popularity = cumulative_zipf(case.exponent);
    let mut ranks: Vec<usize> = (0..ADAPTERS).collect();
    let begin = Instant::now();
    let figures = Arc::new(Mutex::new(Figures::default()));
    tokio::spawn(sample_occupancy(scheduler.clone(), Arc::clone(&figures), begin + WARM_UP));
    let mut shift_at = case.shifts.then_some(begin + WARM_UP + MEASURED / 2);
    let mut at = begin;
    let mut loads_before = None;
    while at < begin + WARM_UP + MEASURED {
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / case.requests_per_second);
        sleep_until(at).await;
        if at >= begin + WARM_UP && loads_before.is_none() {
            loads_before = Some(scheduler.snapshot().loads);
        }
        if shift_at.take_if(|shift_at| at >= *shift_at).is_some() {
            ranks.rotate_right(ADAPTERS / 2);
        }
        let u = rng.random::<f64>();
        let adapter = ranks[popularity.partition_point(|sum| *sum < u).min(ADAPTERS - 1)];
        let tokens = 1 + (-(1.0 - rng.random::<f64>()).ln() * 80.0) as u64;
        let request = completion(adapter, tokens);
        let scheduler = scheduler.clone();
        let since_shift = (at - begin).as_secs_f64() - (WARM_UP + MEASURED / 2).as_secs_f64();
        let batches = batches.clone();
        let figures = (at >= begin + WARM_UP).then(|| Arc::clone(&figures));
        tokio::spawn(async move {
            let asked_at = Instant::now();
            let result = scheduler.admit(request).await;
            if let Some(figures) = figures {
                let mut figures = figures.lock().expect("lock");
                match &result {
                    Ok(lease) => {
                        figures.stalls.push(lease.load_stall.as_secs_f64());
                        figures.around_shift.push((since_shift, lease.load_stall.as_secs_f64()));
                        figures.waits.push(asked_at.elapsed().as_secs_f64());
                    }
                    Err(_) => {
                        figures.refused += 1;
                        let held = asked_at.elapsed();
                        figures.refused_wait_secs += held.as_secs_f64();
                        figures.refused_late += usize::from(held > Duration::from_secs(1));
                    }
                }
            }
            if let Ok(lease) = result {
                lease.started();
                batches.generate_response(&lease, tokens).await;
                lease.finish(Finish::Answered { prompt_tokens: 100, completion_tokens: tokens });
            }
        });
    }
    sleep(DEADLINE).await;
    let loads = scheduler.snapshot().loads - loads_before.unwrap_or_default();
    let mut figures = std::mem::take(&mut *figures.lock().expect("lock"));
    figures.loads = loads;
    figures
}

/// Offers a multiple of the group's capacity, with few adapters, and counts complete responses.
fn overload(factor: f64, seed: u64) {
    const FEW_ADAPTERS: usize = 40;
    const DEADLINE: Duration = Duration::from_secs(10);
    const MEAN_TOKENS: f64 = 80.0;
    let full_token_time = (TOKEN_TIME + SEQUENCE_TIME * MAX_BATCH).as_secs_f64();
    let capacity = f64::from(MAX_BATCH) * ENGINES as f64 / (MEAN_TOKENS * full_token_time);
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    let (answered, cut_off, refused) = runtime.expect("runtime").block_on(async {
        let cfg = SchedulerConfig { seed: Some(seed), ..SchedulerConfig::new(name("suva-a")) };
        let scheduler = scheduler(cfg, store(LOADS_PER_SECOND), ENGINES);
        let mut rng = StdRng::seed_from_u64(seed);
        let counts = Arc::new(Mutex::new((0_usize, 0_usize, 0_usize)));
        let batches = Batches::default();
        let begin = Instant::now();
        let mut at = begin;
        while at < begin + WARM_UP * 2 {
            at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / capacity / factor);
            sleep_until(at).await;
            let tokens = 1 + (-(1.0 - rng.random::<f64>()).ln() * MEAN_TOKENS) as u64;
            let mut request = completion(rng.random_range(0..FEW_ADAPTERS), 400);
            request.subscriber = name(&format!("s{}", rng.random_range(0..SUBSCRIBERS)));
            request.deadline = at + DEADLINE;
            let scheduler = scheduler.clone();
            let batches = batches.clone();
            let counts = (at >= begin + WARM_UP).then(|| Arc::clone(&counts));
            tokio::spawn(async move {
                let result = scheduler.admit(request).await;
                let is_refused = result.is_err();
                let mut is_answered = false;
                if let Ok(lease) = result {
                    lease.started();
                    let response = batches.generate_response(&lease, tokens);
                    is_answered = timeout_at(at + DEADLINE, response).await.is_ok();
                    lease.finish(match is_answered {
                        true => Finish::Answered { prompt_tokens: 100, completion_tokens: tokens },
                        false => Finish::Cancelled,
                    });
                }
                if let Some(counts) = counts {
                    let mut counts = counts.lock().expect("lock");
                    counts.0 += usize::from(is_answered);
                    counts.1 += usize::from(!is_answered && !is_refused);
                    counts.2 += usize::from(is_refused);
                }
            });
        }
        sleep(DEADLINE).await;
        *counts.lock().expect("lock")
    });
    println!(
        "overload: offered {factor:.1} x capacity, per second {:.1} answered, {:.1} cut off, {:.1} \
         refused",
        answered as f64 / WARM_UP.as_secs_f64(),
        cut_off as f64 / WARM_UP.as_secs_f64(),
        refused as f64 / WARM_UP.as_secs_f64(),
    );
}

/// Offers lookups of many subscribers during a flood of long calls that fills the service.
fn lookups(is_flood_repeatable: bool, callers: usize, seed: u64) {
    const TARGETS: usize = 4;
    const PLACES: u32 = 32;
    const CALLS: usize = 300;
    const LOOKUPS_PER_SECOND: f64 = 50.0;
    const CALL_TIME: Duration = Duration::from_secs(1);
    const LOOKUP_TIME: Duration = Duration::from_millis(5);
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    let (mut waits, calls) = runtime.expect("runtime").block_on(async {
        let cfg = SchedulerConfig { seed: Some(seed), ..SchedulerConfig::new(name("suva-a")) };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let scheduler = GroupScheduler::new(cfg, store(LOADS_PER_SECOND), log);
        for target in 0..TARGETS {
            scheduler.upsert_target(TargetSpec {
                id: name(&format!("registry-app-{target}")),
                incarnation: Incarnation(1),
                addr: "127.0.0.1:1".parse().expect("address"),
                zone: name("suva-a"),
                kind: TargetKind::Service { max_concurrent: PLACES },
                software: None,
                orders_allowed_from: Instant::now(),
            });
        }
        let answered = Finish::Answered { prompt_tokens: 0, completion_tokens: 0 };
        let calls = Arc::new(Mutex::new(0_usize));
        let mut rng = StdRng::seed_from_u64(seed);
        for n in 0..CALLS {
            let (scheduler, calls) = (scheduler.clone(), Arc::clone(&calls));
            let mut rng = StdRng::seed_from_u64(rng.random());
            tokio::spawn(async move {
                loop {
                    let subscriber = format!("heavy{}", n % callers);
                    match scheduler.admit(call(&subscriber, is_flood_repeatable)).await {
                        Ok(lease) => {
                            sleep(CALL_TIME.mul_f64(2.0 * rng.random::<f64>())).await;
                            lease.finish(answered);
                            *calls.lock().expect("lock") += 1;
                        }
                        Err(_) => sleep(CALL_TIME).await,
                    }
                }
            });
        }
        sleep(CALL_TIME * 5).await;
        let (begin, mut at) = (Instant::now(), Instant::now());
        let calls_before = *calls.lock().expect("lock");
        let waits = Arc::new(Mutex::new(Vec::new()));
        while at < begin + WARM_UP {
            at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / LOOKUPS_PER_SECOND);
            sleep_until(at).await;
            let subscriber = format!("s{}", rng.random_range(0..SUBSCRIBERS));
            let (scheduler, waits) = (scheduler.clone(), Arc::clone(&waits));
            tokio::spawn(async move {
                let result = scheduler.admit(call(&subscriber, true)).await;
                waits.lock().expect("lock").push(at.elapsed().as_secs_f64());
                if let Ok(lease) = result {
                    sleep(LOOKUP_TIME).await;
                    lease.finish(answered);
                }
            });
        }
        let calls = *calls.lock().expect("lock") - calls_before;
        sleep(DEADLINE).await;
        (std::mem::take(&mut *waits.lock().expect("lock")), calls)
    });
    println!(
        "lookups next to {} calls of {callers} subscribers: wait p50 {:.4} s, p99 {:.4} s; {:.1} calls/s",
        if is_flood_repeatable { "repeatable" } else { "non-repeatable" },
        percentile(&mut waits, 0.5),
        percentile(&mut waits, 0.99),
        calls as f64 / WARM_UP.as_secs_f64(),
    );
}

/// Samples batch occupancy over all engines and over those with running requests.
async fn sample_occupancy(scheduler: GroupScheduler, figures: Arc<Mutex<Figures>>, begin: Instant) {
    sleep_until(begin).await;
    while Instant::now() < begin + MEASURED {
        let snapshot = scheduler.snapshot();
        let running: Vec<u32> =
            snapshot.targets.values().map(|target| target.running).filter(|n| *n > 0).collect();
        let sum = f64::from(running.iter().sum::<u32>());
        figures.lock().expect("lock").add_sample(sum, running.len());
        sleep(Duration::from_millis(100)).await;
    }
}

/// Weight store that grants permits at a constant rate, first come first served.
fn store(loads_per_second: f64) -> LoadFn {
    let next_permit = Arc::new(tokio::sync::Mutex::new(Instant::now()));
    Arc::new(move |_| {
        let next_permit = Arc::clone(&next_permit);
        async move {
            let mut next = next_permit.lock().await;
            sleep_until(*next).await;
            *next = Instant::now() + Duration::from_secs_f64(1.0 / loads_per_second);
            drop(next);
            sleep(LOAD_TIME).await;
            Ok(())
        }
        .boxed()
    })
}

fn scheduler(cfg: SchedulerConfig, load: LoadFn, engines: usize) -> GroupScheduler {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let cfg = SchedulerConfig { report_transit: Duration::ZERO, ..cfg };
    let scheduler = GroupScheduler::new(cfg, load, log);
    for engine in 0..engines {
        let id = name::<shallotdrum_types::TargetId>(&format!("casereader-{engine}"));
        scheduler.upsert_target(TargetSpec {
            id: id.clone(),
            incarnation: Incarnation(1),
            addr: "127.0.0.1:1".parse().expect("address"),
            zone: name("suva-a"),
            kind: TargetKind::Engine {
                base_model: name("base"),
                adapter_slots: SLOTS,
                max_batch: MAX_BATCH,
                checks_fencing: true,
            },
            software: None,
            orders_allowed_from: Instant::now(),
        });
        // The slots are reconciled after two reports.
        scheduler.report(&id, Incarnation(1), &LoadReport::default());
        scheduler.report(&id, Incarnation(1), &LoadReport::default());
    }
    scheduler
}

fn call(subscriber: &str, is_repeatable: bool) -> AdmissionRequest {
    let kind = RequestKind::Service { is_repeatable };
    AdmissionRequest { subscriber: name(subscriber), kind, ..completion(0, 0) }
}

fn completion(adapter: usize, max_tokens: u64) -> AdmissionRequest {
    AdmissionRequest {
        request: name("r"),
        subscriber: name(&format!("s{}", adapter % SUBSCRIBERS)),
        weight: Weight::default(),
        fingerprint: Fingerprint::from_bytes([0; 32]),
        kind: RequestKind::Completion {
            adapter: AdapterRef { adapter: name(&format!("a{adapter}")), version: name("1") },
            source: String::new(),
            prompt_tokens: 100,
            max_tokens,
            prompt_prefix_hashes: Vec::new(),
        },
        deadline: Instant::now() + DEADLINE,
        is_suspect: false,
        avoid: Vec::new(),
        software: None,
        max_concurrent: None,
        urgency: Urgency::default(),
        objective: None,
        spread: 1,
    }
}

fn cumulative_zipf(exponent: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=ADAPTERS).map(|rank| (rank as f64).powf(-exponent)).collect();
    let sum: f64 = weights.iter().sum();
    let mut cumulative = 0.0;
    weights
        .iter()
        .map(|weight| {
            cumulative += weight / sum;
            cumulative
        })
        .collect()
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(s: &str) -> T {
    s.parse().expect("valid name")
}

/// Admits as fast as possible in real time on 16 targets, while most adapters wait for a load.
fn measure_speed() {
    const ADMITS: usize = 100_000;
    const CONCURRENT: usize = 200;
    let runtime = Builder::new_current_thread().enable_time().build().expect("runtime");
    runtime.block_on(async {
        let cfg = SchedulerConfig { seed: Some(1), ..SchedulerConfig::new(name("suva-a")) };
        let scheduler = scheduler(cfg, store(LOADS_PER_SECOND), 16);
        // Almost 3,000 adapters wait for loads throughout.
        for adapter in 100..ADAPTERS {
            let scheduler = scheduler.clone();
            let mut request = completion(adapter, 100);
            // With so many loads queued, a request with the default deadline would be refused.
            request.deadline += DEADLINE * 200;
            tokio::spawn(async move { drop(scheduler.admit(request).await) });
        }
        drop(scheduler.admit(completion(0, 100)).await);
        let begin = std::time::Instant::now();
        let tasks: Vec<_> = (0..CONCURRENT)
            .map(|_| {
                let scheduler = scheduler.clone();
                tokio::spawn(async move {
                    for _ in 0..ADMITS / CONCURRENT {
                        let lease = scheduler.admit(completion(0, 100)).await.expect("admitted");
                        lease.started();
                        let finish = Finish::Answered { prompt_tokens: 10, completion_tokens: 5 };
                        lease.finish(finish);
                    }
                })
            })
            .collect();
        for task in tasks {
            task.await.expect("task");
        }
        let secs = begin.elapsed().as_secs_f64();
        let snapshot = scheduler.snapshot();
        println!(
            "speed: {:.0} admits/s on one thread with {} requests queued, {} loads in {secs:.1} s",
            ADMITS as f64 / secs,
            snapshot.queued,
            snapshot.loads,
        );
    });
}
