//! Seeded loads on a group of fake engines or services in paused time.
//!
//! A fake engine reads prompts one after the other and generates an event of three tokens in three
//! steps; a prompt that is being read holds up the events. A fake service takes a fixed time for each
//! call. As on the platform, the ends of responses are reported without the number of tokens. Callers of
//! refused requests can return once, at the time that they were told.

#![allow(dead_code, reason = "each test file uses its part")]

use std::{
    collections::BTreeMap,
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use shallotdrum_engine::{TargetKind, Urgency};
use shallotdrum_scheduler::{
    AdmissionRequest, EngineModel, Finish, Lease, RequestKind, SchedulerConfig, Scheduling,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::support::{Group, adapter, config, engine_spec, group, request_of_kind, spec, target};

/// Prompt tokens that an engine reads in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 25.8;
/// Duration of a step, and what each running request adds to it.
const STEP_MS: f64 = 8.2;
const STEP_MS_PER_REQUEST: f64 = 0.018;
/// Engines and services of the group; a group of the deployments has 16 engines.
const ENGINES: usize = 8;
const SERVICES: usize = 4;
/// Requests that an engine and a service run at a time.
const ENGINE_SLOTS: u32 = 64;
const SERVICE_SLOTS: u32 = 6;
/// Adapters, all of which each engine holds, so that loads play no part.
const ADAPTERS: [&str; 5] = ["a0", "a1", "a2", "a3", "a4"];
/// Tokens in an event of a stream.
const TOKENS_PER_EVENT: u64 = 3;
/// Time to a refusal up to which a request counts as refused at once.
const AT_ONCE: Duration = Duration::from_millis(20);

/// Requests of one kind of caller.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) rank: u8,
    /// Part of all requests.
    pub(crate) share: f64,
    pub(crate) work: Demand,
    pub(crate) deadline: Duration,
    pub(crate) objective: Option<Duration>,
    /// Customer that sends the requests; several if absent.
    pub(crate) customer: Option<&'static str>,
}

/// Whether callers of refused requests return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Callers {
    GiveUp,
    /// Once, at the time that they were told, and after at most a third of the time that they have left.
    Return,
    /// Once, at the time that they were told, with as much time as at first.
    Renew,
}

/// What a request needs.
#[derive(Clone, Debug)]
pub(crate) enum Demand {
    /// Prompt tokens and generated tokens.
    Response { prompt: Range<u64>, tokens: u64 },
    /// Milliseconds of a service.
    Call { ms: Range<u64> },
}

/// Period with a constant rate of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Phase {
    pub(crate) secs: f64,
    /// Rate of requests relative to what the targets can do.
    pub(crate) factor: f64,
}

/// Seeded load.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) kinds: Vec<Kind>,
    pub(crate) phases: Vec<Phase>,
    /// Seconds at which a quarter of the engines stops, and at which it is back.
    pub(crate) outage: Option<Range<f64>>,
    pub(crate) seed: u64,
}

/// What became of the requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Stats {
    pub(crate) sent: u32,
    pub(crate) finished: u32,
    /// Began within their objective.
    pub(crate) in_objective: u32,
    /// Were started and missed their deadline, or failed with their engine.
    pub(crate) cut_off: u32,
    pub(crate) refused: u32,
    pub(crate) refused_at_once: u32,
    /// Were refused without having been started, when an idle target could not have finished them.
    pub(crate) held: u32,
    /// Were sent again after a refusal, at the time that the caller was told.
    pub(crate) returned: u32,
    /// Of these, were refused again.
    pub(crate) in_vain: u32,
}

impl Stats {
    pub(crate) fn finished_share(&self) -> f64 {
        share(self.finished, self.sent)
    }

    pub(crate) fn objective_share(&self) -> f64 {
        share(self.in_objective, self.sent)
    }

    /// Fraction of the returns that were refused.
    pub(crate) fn in_vain_share(&self) -> f64 {
        share(self.in_vain, self.returned)
    }

    fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.finished += other.finished;
        self.in_objective += other.in_objective;
        self.cut_off += other.cut_off;
        self.refused += other.refused;
        self.refused_at_once += other.refused_at_once;
        self.held += other.held;
        self.returned += other.returned;
        self.in_vain += other.in_vain;
    }
}

fn share(part: u32, all: u32) -> f64 {
    f64::from(part) / f64::from(all.max(1))
}

/// What became of the requests by phase and kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Report {
    stats: BTreeMap<(usize, &'static str), Stats>,
    /// Times of the complete responses.
    latencies: BTreeMap<(usize, &'static str), Vec<Duration>>,
}

impl Report {
    /// Requests of one kind that were sent in these phases.
    pub(crate) fn of(&self, phases: Range<usize>, kind: &str) -> Stats {
        self.sum(|phase, name| phases.contains(&phase) && name == kind)
    }

    /// All requests that were sent in these phases.
    pub(crate) fn all(&self, phases: Range<usize>) -> Stats {
        self.sum(|phase, _| phases.contains(&phase))
    }

    /// 99th percentile of the times of the complete responses of one kind that was sent in this phase.
    pub(crate) fn p99(&self, phase: usize, kind: &'static str) -> Duration {
        let mut latencies = self.latencies[&(phase, kind)].clone();
        latencies.sort_unstable();
        latencies[latencies.len() * 99 / 100]
    }

    fn sum(&self, is_counted: impl Fn(usize, &str) -> bool) -> Stats {
        let mut sum = Stats::default();
        for ((phase, name), stats) in &self.stats {
            if is_counted(*phase, name) {
                sum.add(stats);
            }
        }
        sum
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for ((phase, name), stats) in &self.stats {
            writeln!(
                f,
                "phase {phase} {name:8} sent {:4} finished {:.3} in objective {:.3} cut off {:3} \
                 refused {:3} at once {:3} held {:3} returned {:3} in vain {:3}",
                stats.sent,
                stats.finished_share(),
                stats.objective_share(),
                stats.cut_off,
                stats.refused,
                stats.refused_at_once,
                stats.held,
                stats.returned,
                stats.in_vain
            )?;
        }
        Ok(())
    }
}

/// Engine or service.
#[derive(Debug, Default)]
struct Fake {
    /// Held while a prompt is read.
    reader: tokio::sync::Mutex<()>,
    reading_until: Mutex<Option<Instant>>,
    running: AtomicU32,
    is_down: AtomicBool,
}

/// The target stopped before the end of the response.
#[derive(Debug)]
struct Stopped;

impl Fake {
    /// Reads the prompt, then sends events; calls `on_first` at the first one.
    async fn respond(
        &self,
        prompt: u64,
        tokens: u64,
        on_first: impl FnOnce(),
    ) -> Result<(), Stopped> {
        let mut on_first = Some(on_first);
        {
            let _reader = self.reader.lock().await;
            let end = Instant::now()
                + Duration::from_secs_f64(prompt as f64 / PREFILL_TOKENS_PER_MS / 1_000.0);
            *self.reading_until.lock().unwrap() = Some(end);
            sleep_until(end).await;
        }
        for _ in 0..tokens.div_ceil(TOKENS_PER_EVENT) {
            let running = f64::from(self.running.load(Ordering::Relaxed));
            let step = Duration::from_secs_f64((STEP_MS + STEP_MS_PER_REQUEST * running) / 1_000.0);
            sleep(step * TOKENS_PER_EVENT as u32).await;
            let reading_until = *self.reading_until.lock().unwrap();
            if let Some(end) = reading_until.filter(|end| *end > Instant::now()) {
                sleep_until(end).await;
            }
            if self.is_down.load(Ordering::Relaxed) {
                return Err(Stopped);
            }
            if let Some(on_first) = on_first.take() {
                on_first();
            }
        }
        Ok(())
    }
}

/// Runs a load under one setting.
pub(crate) async fn run(load: &Load, scheduling: Scheduling) -> Report {
    run_with(load, scheduling, Callers::GiveUp).await
}

/// Runs a load under one setting and with these callers.
pub(crate) async fn run_with(load: &Load, scheduling: Scheduling, callers: Callers) -> Report {
    let engine_model =
        EngineModel { prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS, ..EngineModel::default() };
    let cfg = SchedulerConfig {
        scheduling,
        engine_model: Some(engine_model),
        prefers_own_zone: false,
        max_outstanding_loads: 72,
        ..config()
    };
    let group = Arc::new(group(cfg));
    let is_service = matches!(load.kinds[0].work, Demand::Call { .. });
    let ids: Vec<String> = match is_service {
        true => (0..SERVICES).map(|n| format!("s{n}")).collect(),
        false => (0..ENGINES).map(|n| format!("e{n}")).collect(),
    };
    let fakes: Arc<BTreeMap<String, Fake>> =
        Arc::new(ids.iter().map(|id| (id.clone(), Fake::default())).collect());
    for id in &ids {
        add_target(&group, id, 1, is_service);
    }
    // Reports of adapters count once the sample is later than the takeover.
    sleep(Duration::from_millis(10)).await;
    if let Some(outage) = load.outage.clone() {
        let down: Vec<String> = ids.iter().take(ids.len() / 4).cloned().collect();
        tokio::spawn(stop_and_restart(Arc::clone(&group), Arc::clone(&fakes), down, outage));
    }
    let mut rng = StdRng::seed_from_u64(load.seed);
    let capacity = match is_service {
        true => SERVICES as f64 * f64::from(SERVICE_SLOTS),
        false => ENGINES as f64,
    };
    let mean_secs: f64 = load.kinds.iter().map(|kind| kind.share * kind.work.mean_secs()).sum();
    let mut requests = JoinSet::new();
    let mut at = Instant::now();
    for (phase, Phase { secs, factor }) in load.phases.iter().enumerate() {
        let gap = mean_secs / capacity / factor;
        let end = at + Duration::from_secs_f64(*secs);
        while at < end {
            let kind = pick(&load.kinds, rng.random::<f64>());
            let (request, size) = request(kind, &mut rng);
            sleep_until(at).await;
            let (group, fakes, kind) = (Arc::clone(&group), Arc::clone(&fakes), kind.clone());
            requests.spawn(async move {
                let sent_at = Instant::now();
                let stats = send(group, fakes, request, size, kind.clone(), callers).await;
                ((phase, kind.name), stats, sent_at.elapsed())
            });
            // Arrivals are random, but not so bunched that the factor says nothing.
            at += Duration::from_secs_f64(gap * rng.random_range(0.2..1.8));
        }
    }
    let mut report = Report::default();
    while let Some(ended) = requests.join_next().await {
        let (key, stats, time) = ended.unwrap();
        report.stats.entry(key).or_default().add(&stats);
        if stats.finished > 0 {
            report.latencies.entry(key).or_default().push(time);
        }
    }
    report
}

impl Kind {
    /// Whether not even an idle target finishes the request by its deadline.
    fn is_impossible(&self) -> bool {
        self.deadline < self.work.shortest()
    }
}

impl Demand {
    /// Shortest time in which an idle target finishes such a request.
    fn shortest(&self) -> Duration {
        let ms = match self {
            Self::Response { prompt, tokens } => {
                prompt.start as f64 / PREFILL_TOKENS_PER_MS + STEP_MS * *tokens as f64
            }
            Self::Call { ms } => ms.start as f64,
        };
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Time that a request occupies a target, or a slot of a service, alone.
    fn mean_secs(&self) -> f64 {
        let middle = |range: &Range<u64>| (range.start + range.end) as f64 / 2.0;
        match self {
            Self::Response { prompt, .. } => {
                let overhead = EngineModel::default().prompt_overhead.as_secs_f64();
                middle(prompt) / PREFILL_TOKENS_PER_MS / 1_000.0 + overhead
            }
            Self::Call { ms } => middle(ms) / 1_000.0,
        }
    }
}

fn pick(kinds: &[Kind], mut at: f64) -> &Kind {
    for kind in kinds {
        at -= kind.share;
        if at < 0.0 {
            return kind;
        }
    }
    &kinds[kinds.len() - 1]
}

/// A request of this kind, with its prompt tokens or milliseconds of service.
fn request(kind: &Kind, rng: &mut StdRng) -> (AdmissionRequest, u64) {
    let name = ADAPTERS[rng.random_range(0..ADAPTERS.len())];
    let (size, request_kind) = match &kind.work {
        Demand::Response { prompt, tokens } => {
            let prompt_tokens = rng.random_range(prompt.clone());
            let request_kind = RequestKind::Completion {
                adapter: adapter(name),
                source: format!("store/{name}"),
                prompt_tokens,
                // Callers state a limit that is well above the length of the response.
                max_tokens: tokens * 2,
                prompt_prefix_hashes: Vec::new(),
            };
            (prompt_tokens, request_kind)
        }
        Demand::Call { ms } => {
            (rng.random_range(ms.clone()), RequestKind::Service { is_repeatable: true })
        }
    };
    let mut request = request_of_kind(kind.customer.unwrap_or(name), request_kind);
    request.urgency = Urgency { route: kind.rank, ..Urgency::default() };
    (request, size)
}

/// Sends a request and returns what became of it.
async fn send(
    group: Arc<Group>,
    fakes: Arc<BTreeMap<String, Fake>>,
    mut request: AdmissionRequest,
    size: u64,
    kind: Kind,
    callers: Callers,
) -> Stats {
    let mut sent_at = Instant::now();
    request.deadline = sent_at + kind.deadline;
    request.objective = kind.objective.map(|objective| sent_at + objective);
    let mut stats = Stats { sent: 1, ..Stats::default() };
    let mut result = group.admit(request.clone()).await;
    if let (Callers::Return | Callers::Renew, Err(error)) = (callers, &result) {
        let left = kind.deadline.saturating_sub(sent_at.elapsed());
        sleep(error.retry_after.unwrap_or_default().min(left / 3)).await;
        if callers == Callers::Renew {
            sent_at = Instant::now();
            request.deadline = sent_at + kind.deadline;
            request.objective = kind.objective.map(|objective| sent_at + objective);
        }
        result = group.admit(request).await;
        stats.returned = 1;
        stats.in_vain = u32::from(result.is_err());
    }
    let lease = match result {
        Ok(lease) => lease,
        Err(_) => {
            stats.refused = 1;
            stats.refused_at_once = u32::from(sent_at.elapsed() <= AT_ONCE);
            let left = kind.deadline.saturating_sub(sent_at.elapsed());
            let is_held = left < kind.work.shortest() && !kind.is_impossible();
            stats.held = u32::from(is_held);
            return stats;
        }
    };
    let fake = &fakes[lease.target.as_str()];
    lease.started();
    fake.running.fetch_add(1, Ordering::Relaxed);
    let objective = kind.objective.unwrap_or(kind.deadline);
    let mut first_at = None;
    let run = async {
        match kind.work {
            Demand::Response { tokens, .. } => {
                fake.respond(size, tokens, || first_at = Some(sent_at.elapsed())).await
            }
            Demand::Call { .. } => {
                sleep(Duration::from_millis(size)).await;
                first_at = Some(sent_at.elapsed());
                Ok(())
            }
        }
    };
    let result = tokio::time::timeout_at(sent_at + kind.deadline, run).await;
    fake.running.fetch_sub(1, Ordering::Relaxed);
    stats.in_objective = u32::from(first_at.is_some_and(|after| after <= objective));
    end(lease, &mut stats, &result);
    stats
}

fn end(
    lease: Lease,
    stats: &mut Stats,
    result: &Result<Result<(), Stopped>, tokio::time::error::Elapsed>,
) {
    let finish = match result {
        Ok(Ok(())) => {
            stats.finished = 1;
            Finish::Answered { prompt_tokens: 0, completion_tokens: 0 }
        }
        Ok(Err(Stopped)) => Finish::TargetCrashed,
        Err(_) => Finish::Cancelled,
    };
    stats.cut_off = 1 - stats.finished;
    lease.finish(finish);
}

fn add_target(group: &Arc<Group>, id: &str, incarnation: u64, is_service: bool) {
    if is_service {
        let kind = TargetKind::Service { max_concurrent: SERVICE_SLOTS };
        group.scheduler.upsert_target(spec(id, incarnation, kind));
        return;
    }
    let slots = ADAPTERS.len() as u32;
    group.scheduler.upsert_target(engine_spec(id, incarnation, slots, ENGINE_SLOTS));
    let (group, id) = (Arc::clone(group), id.to_owned());
    tokio::spawn(async move {
        let held: Vec<_> = ADAPTERS.iter().map(|name| (*name, 0)).collect();
        for _ in 0..2 {
            sleep(Duration::from_millis(2)).await;
            group.report(&id, incarnation, 0, &held);
        }
    });
}

async fn stop_and_restart(
    group: Arc<Group>,
    fakes: Arc<BTreeMap<String, Fake>>,
    ids: Vec<String>,
    outage: Range<f64>,
) {
    let set_down = |is_down| {
        for id in &ids {
            fakes[id].is_down.store(is_down, Ordering::Relaxed);
        }
    };
    sleep(Duration::from_secs_f64(outage.start)).await;
    set_down(true);
    for id in &ids {
        group.scheduler.remove_target(&target(id));
    }
    sleep(Duration::from_secs_f64(outage.end - outage.start)).await;
    set_down(false);
    for id in &ids {
        add_target(&group, id, 2, false);
    }
}
