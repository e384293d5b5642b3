//! Choice of targets by their pace: uneven engines of one group are busy for about the same share of
//! their time.
//!
//! Simulated engines read prompts one after the other, and generate tokens while they read none.

mod support;

use std::{
    ops::RangeInclusive,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use shallotdrum_engine::{TargetKind, TargetLoad};
use shallotdrum_scheduler::{
    AdmissionRequest, EngineModel, Finish, PlaceFeedback, RequestKind, SchedulerConfig, Scheduling,
};
use tokio::time::{Instant, sleep, sleep_until};

use self::support::{adapter, config, group, request_of_kind, spec};

const ENGINES: usize = 15;
const TOKENS_PER_MS: f64 = 25.8;
/// Engine time of a token in a busy batch, in milliseconds.
const TOKEN_MS: f64 = 0.28;
/// Share of the time in which work takes `SPELL` times as long, in periods of `PERIOD_MS`.
const SPELL_SHARE: f64 = 0.15;
const SPELL: f64 = 2.5;
const PERIOD_MS: u64 = 600;

/// Simulated engine.
struct Engine {
    /// Speed relative to the model.
    speed: f64,
    seed: u64,
    begin: Instant,
    free_at: Mutex<Instant>,
}

impl Engine {
    /// Slowness at the moment, 1 outside of slow periods.
    fn slowness(&self) -> f64 {
        let period = self.begin.elapsed().as_millis() as u64 / PERIOD_MS;
        let mut rng = StdRng::seed_from_u64(self.seed * 100_003 + period);
        if rng.random::<f64>() < SPELL_SHARE { SPELL } else { 1.0 }
    }

    fn ms(&self, ms: f64) -> f64 {
        ms * self.slowness() / self.speed
    }

    /// Reads a prompt and returns the time that this took the engine, in milliseconds.
    async fn read(&self, tokens: u64) -> f64 {
        let ms = self.ms(tokens as f64 / TOKENS_PER_MS + 8.2);
        let done = {
            let mut free_at = self.free_at.lock().unwrap();
            *free_at = (*free_at).max(Instant::now()) + Duration::from_secs_f64(ms / 1_000.0);
            *free_at
        };
        sleep_until(done).await;
        ms
    }

    /// Generates an event of three tokens, after the prompts that are being read.
    async fn event(&self) -> f64 {
        let free_at = *self.free_at.lock().unwrap();
        sleep_until(free_at).await;
        let step_ms = self.ms(3.0 * 8.5);
        sleep(Duration::from_secs_f64(step_ms / 1_000.0)).await;
        self.ms(3.0 * TOKEN_MS)
    }
}

#[derive(Debug, Default)]
struct Measured {
    /// Busy time of each engine, in milliseconds.
    busy: [f64; ENGINES],
    /// Times of complete responses, in milliseconds.
    responses: Vec<f64>,
    refused: u64,
}

fn request(rank: usize, prompt_tokens: u64, events: u64) -> AdmissionRequest {
    let name = format!("a{rank}");
    let kind = RequestKind::Completion {
        adapter: adapter(&name),
        source: String::new(),
        prompt_tokens,
        max_tokens: 6 * events,
        prompt_prefix_hashes: Vec::new(),
    };
    let deadline = Instant::now() + Duration::from_secs(8);
    AdmissionRequest { deadline, ..request_of_kind(&name, kind) }
}

async fn run(scheduling: Scheduling, seed: u64, rate: f64) -> Measured {
    let model = EngineModel { prefill_tokens_per_ms: TOKENS_PER_MS, ..EngineModel::default() };
    let cfg = SchedulerConfig {
        engine_model: Some(model),
        scheduling,
        prefers_own_zone: false,
        max_outstanding_loads: 8,
        ..config()
    };
    let group = Arc::new(group(cfg));
    let begin = Instant::now();
    let engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|n| {
            group.engine(&format!("t{n}"), 1, 5, 64);
            let speed = 0.7 + n as f64 / (ENGINES - 1) as f64;
            let seed = seed * 1_000 + n as u64;
            Arc::new(Engine { speed, seed, begin, free_at: Mutex::new(begin) })
        })
        .collect();
    let measured = Arc::new(Mutex::new(Measured::default()));
    let mut rng = StdRng::seed_from_u64(seed);
    let weights: Vec<f64> = (1..=200).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let (warm_up, end) = (begin + Duration::from_secs(6), begin + Duration::from_secs(20));
    let mut at = begin;
    loop {
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        if at >= end {
            break;
        }
        sleep_until(at).await;
        let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
        let rank = weights.iter().position(|weight| {
            left -= weight;
            left <= 0.0
        });
        let (rank, prompt) = (rank.unwrap_or(0), rng.random_range(1_000..2_900));
        let events = [8, 57][usize::from(rng.random::<bool>())];
        let (group, engines, measured) = (group.clone(), engines.clone(), measured.clone());
        tokio::spawn(async move {
            let Ok(lease) = group.admit(request(rank, prompt, events)).await else {
                measured.lock().unwrap().refused += u64::from(at >= warm_up);
                return;
            };
            lease.started();
            let n: usize = lease.target.as_str()[1..].parse().unwrap();
            let (engine, sent_at) = (&engines[n], Instant::now());
            let mut busy = engine.read(prompt).await;
            let (first, slowness) = (Instant::now(), engine.slowness());
            for _ in 1..events {
                busy += engine.event().await;
            }
            let load = TargetLoad { running: 1, waiting: 0, slots: 64, slowness: Some(slowness) };
            let feedback = PlaceFeedback {
                first_event: Some(first - sent_at),
                load: Some((load, first.elapsed())),
                tokens: Some(3 * events),
                stream: Some(first.elapsed()),
                used: None,
            };
            let finish = Finish::Answered { prompt_tokens: prompt, completion_tokens: 0 };
            lease.feedback(feedback, finish);
            lease.finish(finish);
            if at >= warm_up {
                let mut measured = measured.lock().unwrap();
                measured.busy[n] += busy;
                measured.responses.push(at.elapsed().as_secs_f64() * 1_000.0);
            }
        });
    }
    sleep(Duration::from_secs(10)).await;
    std::mem::take(&mut *measured.lock().unwrap())
}

fn busiest_over_mean(busy: &[f64]) -> f64 {
    let busiest = busy.iter().copied().fold(0.0, f64::max);
    busiest * busy.len() as f64 / busy.iter().sum::<f64>()
}

/// Guards against slow engines that get as many requests as fast ones. The same load runs without the
/// pace.
#[rstest]
#[case::calm(1, 65.0)]
#[case::other_spells(2, 65.0)]
#[case::busy(3, 85.0)]
#[tokio::test(start_paused = true)]
async fn pace_busiest_engine(#[case] seed: u64, #[case] rate: f64) {
    let mut before = run(Scheduling::Shares, seed, rate).await;
    let mut after = run(Scheduling::WhenPaced, seed, rate).await;
    let stats = |run: &mut Measured| {
        run.responses.sort_by(f64::total_cmp);
        let mean = run.responses.iter().sum::<f64>() / run.responses.len() as f64;
        let p99 = run.responses[run.responses.len() * 99 / 100];
        (busiest_over_mean(&run.busy), mean, p99)
    };
    let (old, new) = (stats(&mut before), stats(&mut after));
    println!(
        "seed {seed}, {rate} per s: busiest over mean, mean and p99 of the responses in ms: {old:.2?} \
         by shares, {new:.2?} by pace; refused {} and {}; busy {:.0?} and {:.0?}",
        before.refused, after.refused, before.busy, after.busy
    );
    assert!(new.0 <= 1.4, "{new:.2?}");
    assert!(new.1 < old.1, "{old:.2?} {new:.2?}");
    assert!(after.refused <= before.refused);
}

/// Guards against a setting that does not switch the pace on, or that switches it on where targets
/// state no slowness, or where the scheduling is by shares.
#[rstest]
#[case::shares(Scheduling::Shares, Some(2.5), false)]
#[case::urgency(Scheduling::Urgency, None, true)]
#[case::when_paced(Scheduling::WhenPaced, Some(1.0), true)]
#[case::when_not_paced(Scheduling::WhenPaced, None, false)]
#[tokio::test(start_paused = true)]
async fn pace_switch(
    #[case] scheduling: Scheduling,
    #[case] slowness: Option<f64>,
    #[case] is_active: bool,
) {
    let engine_model = Some(EngineModel::default());
    let group = group(SchedulerConfig { scheduling, engine_model, ..config() });
    group.engine("t0", 1, 5, 64);
    let lease = group.admit(request(1, 1_000, 8)).await.unwrap();
    let load = TargetLoad { running: 1, waiting: 0, slots: 64, slowness };
    let feedback = PlaceFeedback {
        load: Some((load, Duration::ZERO)),
        first_event: Some(Duration::from_millis(100)),
        ..PlaceFeedback::default()
    };
    let finish = Finish::Answered { prompt_tokens: 1_000, completion_tokens: 0 };
    lease.feedback(feedback, finish);
    lease.finish(finish);
    let lease = group.admit(request(1, 1_000, 8)).await.unwrap();
    assert_eq!((lease.spread.is_some(), lease.group_wait.is_some()), (is_active, is_active));
    let snapshot = group.scheduler.snapshot();
    let paces = snapshot.targets.values().map(|target| target.pace.is_some());
    assert_eq!(paces.collect::<Vec<_>>(), [is_active]);
    assert_eq!(snapshot.group_wait.is_some(), is_active);
}

/// Guards against an engine that falls behind and gets more requests at its earlier pace, as no response
/// ends that would tell otherwise, and against one that seems slow because of a few unended requests.
#[rstest]
#[case::behind(8, 1.5..=4.0)]
#[case::few_unended(7, 1.0..=1.0)]
#[tokio::test(start_paused = true)]
async fn pace_unended(#[case] unended: usize, #[case] expected: RangeInclusive<f64>) {
    let engine_model = Some(EngineModel::default());
    let cfg = SchedulerConfig { scheduling: Scheduling::Urgency, engine_model, ..config() };
    let group = group(cfg);
    group.engine("t0", 1, 5, 64);
    let mut leases = Vec::new();
    for _ in 0..unended {
        leases.push(group.admit(request(1, 1_000, 8)).await.unwrap());
    }
    let pace = || group.scheduler.snapshot().targets.values().next().unwrap().pace.unwrap();
    assert_eq!(pace(), 1.0);
    // The responses take 0.3 s on an engine that serves nothing else.
    sleep(Duration::from_secs(2)).await;
    assert!(expected.contains(&pace()), "{}", pace());
    for lease in leases {
        lease.finish(Finish::Cancelled);
    }
    assert_eq!(pace(), 1.0);
}

/// Guards against calls that wait at a slow or a full service while another one is idle.
#[rstest]
#[case::slow([(0, 2.5), (1, 1.0)])]
#[case::full([(6, 1.0), (1, 1.0)])]
#[tokio::test(start_paused = true)]
async fn pace_service(#[case] states: [(u32, f64); 2]) {
    let cfg =
        SchedulerConfig { scheduling: Scheduling::Urgency, prefers_own_zone: false, ..config() };
    let group = group(cfg);
    for n in 0..2 {
        let kind = TargetKind::Service { max_concurrent: 6 };
        group.scheduler.upsert_target(spec(&format!("t{n}"), 1, kind));
    }
    let call = || request_of_kind("u", RequestKind::Service { is_repeatable: true });
    // Equal services take turns, so that each of them states its load.
    let leases = [group.admit(call()).await.unwrap(), group.admit(call()).await.unwrap()];
    for (lease, (running, slowness)) in leases.into_iter().zip(states) {
        let slowness = Some(slowness);
        let load = TargetLoad { running, waiting: 0, slots: 6, slowness };
        let load = Some((load, Duration::ZERO));
        lease.feedback(PlaceFeedback { load, ..PlaceFeedback::default() }, Finish::Cancelled);
        lease.finish(Finish::Cancelled);
    }
    for _ in 0..2 {
        let lease = group.admit(call()).await.unwrap();
        assert_eq!(lease.target.as_str(), "t1");
        lease.finish(Finish::Cancelled);
    }
}
