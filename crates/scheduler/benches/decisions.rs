//! Cost of the decisions under overload by the number of queued requests, in time of one thread.
//!
//! Usage: `cargo bench -p shallotdrum-scheduler --bench decisions`. The group has 4 plain services, all
//! of whose places are taken. `arrival` is the time to decide on a request, to queue it and to withdraw
//! it. `ticks` is the share of a core that the periodic passes take while nothing arrives, most of it
//! for sweeps; the clock of the simulation is paused, so that it shows how often they run.

use std::{sync::Arc, time::Duration};

use futures_util::FutureExt;
use shallotdrum_engine::{TargetKind, Urgency};
use shallotdrum_scheduler::{
    AdmissionRequest, Finish, GroupScheduler, RequestKind, SchedulerConfig, Scheduling, TargetSpec,
};
use shallotdrum_types::{Fingerprint, Incarnation, Weight};
use tokio::{
    runtime::Builder,
    time::{Instant, sleep},
};

const TARGETS: usize = 4;
const PLACES: u32 = 6;
const ARRIVALS: usize = 2_000;
const RANKS: usize = 4;
const SUBSCRIBERS: usize = 100;
/// Duration of the calls from which the scheduler learns; short, so that nothing is refused.
const CALL: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_secs(100);
const MEASURED: Duration = Duration::from_secs(5);

fn main() {
    println!(
        "{:>7} {:>14} {:>16} {:>12}",
        "queued", "arrival us", "ticks % of core", "per tick us"
    );
    for queued in [100, 500, 2_000, 4_000] {
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
        runtime.expect("runtime").block_on(measure(queued));
    }
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(s: &str) -> T {
    s.parse().expect("valid name")
}

fn call(n: usize) -> AdmissionRequest {
    AdmissionRequest {
        request: name("r"),
        subscriber: name(&format!("s{}", n % SUBSCRIBERS)),
        weight: Weight::default(),
        fingerprint: Fingerprint::from_bytes([0; 32]),
        kind: RequestKind::Service { is_repeatable: true },
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

async fn measure(queued: usize) {
    let cfg = SchedulerConfig {
        scheduling: Scheduling::Urgency,
        max_queued: 2 * queued,
        max_queued_per_subscriber: queued,
        seed: Some(1),
        ..SchedulerConfig::new(name("suva-a"))
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let scheduler = GroupScheduler::new(cfg, Arc::new(|_| async { Ok(()) }.boxed()), log);
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
    for n in 0..40 {
        let lease = scheduler.admit(call(n)).await.expect("admitted");
        lease.started();
        sleep(CALL).await;
        lease.finish(Finish::Answered { prompt_tokens: 0, completion_tokens: 0 });
    }
    let mut leases = Vec::new();
    for n in 0..TARGETS * PLACES as usize {
        leases.push(scheduler.admit(call(n)).await.expect("admitted"));
    }
    for n in 0..queued {
        let scheduler = scheduler.clone();
        tokio::spawn(async move { drop(scheduler.admit(call(n)).await) });
    }
    sleep(Duration::from_millis(500)).await;
    let waiting = scheduler.snapshot().queued;
    let begin = std::time::Instant::now();
    for n in 0..ARRIVALS {
        assert!(scheduler.admit(call(n)).now_or_never().is_none(), "decided at once");
    }
    let arrival = begin.elapsed().as_secs_f64() / ARRIVALS as f64;
    let begin = std::time::Instant::now();
    sleep(MEASURED).await;
    let ticks = begin.elapsed().as_secs_f64() / MEASURED.as_secs_f64();
    let tick_secs = 0.02;
    println!(
        "{waiting:>7} {:>14.2} {:>16.2} {:>12.1}",
        arrival * 1e6,
        ticks * 100.0,
        ticks * tick_secs * 1e6
    );
    assert_eq!(scheduler.snapshot().queued, waiting, "requests were refused");
}
