//! Time of an explanation, and of its part under the group's lock, by the number of queued requests.
//!
//! Usage: `cargo bench -p shallotdrum-scheduler --bench copies`. The group has 16 engines, whose request
//! slots are mostly taken and whose estimated prefix caches are full. `copy` is the time for which the
//! group's lock is held (median, 90th percentile and maximum); `explain` is the mean time of a copy and
//! its trial outside the lock.

use std::{sync::Arc, time::Duration};

use futures_util::FutureExt;
use shallotdrum_engine::{CacheEvents, LoadReport, PrefixHash, TargetKind, Urgency};
use shallotdrum_scheduler::{
    AdmissionRequest, EngineModel, GroupScheduler, RequestKind, SchedulerConfig, Scheduling,
    TargetSpec,
};
use shallotdrum_types::{AdapterRef, Fingerprint, Incarnation, Weight};
use tokio::{
    runtime::Builder,
    time::{Instant, sleep},
};

const ENGINES: usize = 16;
const ADAPTER_SLOTS: u32 = 5;
const PLACES: u32 = 64;
const ADAPTERS: usize = 200;
const SUBSCRIBERS: usize = 100;
const RANKS: usize = 4;
/// Prefixes of a prompt, one for each block of 256 tokens.
const PREFIXES: u64 = 16;
const PROMPT_TOKENS: u64 = 256 * PREFIXES;
/// Prefixes that the estimate of an engine's cache keeps.
const CACHED: u64 = 4_096;
const DEADLINE: Duration = Duration::from_secs(100);
const RUNS: usize = 50;

fn main() {
    println!(
        "{:>7} {:>8} {:>10} {:>10} {:>10} {:>12}",
        "queued", "running", "copy ms", "p90 ms", "max ms", "explain ms"
    );
    for queued in [100, 1_000, 4_000] {
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
        runtime.expect("runtime").block_on(measure(queued));
    }
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(s: &str) -> T {
    s.parse().expect("valid name")
}

fn adapter(n: usize) -> AdapterRef {
    AdapterRef { adapter: name(&format!("a{n}")), version: name("1") }
}

fn completion(n: usize, adapters: usize, prompt_tokens: u64) -> AdmissionRequest {
    let first = n as u64 * PREFIXES;
    AdmissionRequest {
        request: name(&format!("r{n}")),
        subscriber: name(&format!("s{}", n % SUBSCRIBERS)),
        weight: Weight::default(),
        fingerprint: Fingerprint::of(&n.to_le_bytes()),
        kind: RequestKind::Completion {
            adapter: adapter(n % adapters),
            source: String::new(),
            prompt_tokens,
            max_tokens: 128,
            prompt_prefix_hashes: (first..first + PREFIXES).collect(),
        },
        deadline: Instant::now() + DEADLINE,
        is_suspect: false,
        avoid: Vec::new(),
        software: None,
        max_concurrent: None,
        urgency: Urgency { customer: 0, route: (n % RANKS) as u8 },
        objective: None,
        spread: 1,
    }
}

fn add_engine(scheduler: &GroupScheduler, n: usize) {
    let id = name(&format!("engine-{n}"));
    let kind = TargetKind::Engine {
        base_model: name("base"),
        adapter_slots: ADAPTER_SLOTS,
        max_batch: PLACES,
        checks_fencing: true,
    };
    scheduler.upsert_target(TargetSpec {
        id,
        incarnation: Incarnation(1),
        addr: "127.0.0.1:1".parse().expect("address"),
        zone: name("suva-a"),
        kind,
        software: None,
        orders_allowed_from: Instant::now(),
    });
    let report = LoadReport {
        age_ms: 0,
        sequence: 0,
        base_missing: false,
        running: 0,
        queued: 0,
        adapters: Vec::new(),
    };
    let id = name(&format!("engine-{n}"));
    // The slots are reconciled after two reports.
    for _ in 0..2 {
        scheduler.report(&id, Incarnation(1), &report);
    }
    scheduler.cache_events(&CacheEvents {
        target: id,
        incarnation: Incarnation(1),
        sequence: 1,
        stored: (0..CACHED).map(PrefixHash).collect(),
        removed: Vec::new(),
    });
}

/// Queues requests until this many wait. Each holds its place once it gets one.
async fn queue(scheduler: &GroupScheduler, waiting: usize, adapters: usize, prompt_tokens: u64) {
    let mut n = 0;
    loop {
        sleep(Duration::from_millis(200)).await;
        let missing = waiting.saturating_sub(scheduler.snapshot().queued);
        if missing == 0 {
            return;
        }
        for _ in 0..missing {
            let (scheduler, request) = (scheduler.clone(), completion(n, adapters, prompt_tokens));
            tokio::spawn(async move {
                let lease = scheduler.admit(request).await;
                sleep(DEADLINE).await;
                drop(lease);
            });
            n += 1;
        }
        assert!(n < 4 * waiting + 10_000, "requests do not wait");
    }
}

async fn measure(queued: usize) {
    let cfg = SchedulerConfig {
        scheduling: Scheduling::Urgency,
        max_queued: 2 * queued + 10_000,
        max_queued_per_subscriber: queued + 10_000,
        seed: Some(1),
        engine_model: Some(EngineModel::default()),
        ..SchedulerConfig::new(name("suva-a"))
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let scheduler = GroupScheduler::new(cfg, Arc::new(|_| async { Ok(()) }.boxed()), log);
    for n in 0..ENGINES {
        add_engine(&scheduler, n);
    }
    // Short prompts for loaded adapters take the request slots.
    queue(&scheduler, PLACES as usize, ENGINES * ADAPTER_SLOTS as usize, 1).await;
    queue(&scheduler, queued, ADAPTERS, PROMPT_TOKENS).await;
    let snapshot = scheduler.snapshot();
    let running: u32 = snapshot.targets.values().map(|target| target.running).sum();
    let waiting = snapshot.queued;
    let mut copies = Vec::new();
    for _ in 0..RUNS {
        let begin = std::time::Instant::now();
        let copy = scheduler.copy();
        copies.push(begin.elapsed());
        drop(copy);
    }
    copies.sort();
    let begin = std::time::Instant::now();
    for n in 0..RUNS {
        std::hint::black_box(scheduler.explain(&completion(n, ADAPTERS, PROMPT_TOKENS)));
    }
    let explain = begin.elapsed() / RUNS as u32;
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    println!(
        "{waiting:>7} {running:>8} {:>10.2} {:>10.2} {:>10.2} {:>12.2}",
        ms(copies[RUNS / 2]),
        ms(copies[RUNS * 9 / 10]),
        ms(copies[RUNS - 1]),
        ms(explain)
    );
}
