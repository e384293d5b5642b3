//! One run of one policy, and its figures.

use std::time::Duration;

use serde::Serialize;
use shallotdrum_fakes::{EngineStats, FakeEngine};
use shallotdrum_harness::{Caller, Deployment, TargetsConfig};
use tokio::time::{Instant, sleep_until};

use crate::{
    cluster::{BenchCluster, BenchConfig},
    load::{self, Done, LoadConfig, Lost},
    scrape::Scrape,
};

/// Instances of each organisation today, and the control replicas among them.
const INSTANCES: usize = 8;
const REPLICAS: usize = 3;

/// Deadline of requests: bounds a run, and is far above the goal for the first token.
pub(crate) const DEADLINE: Duration = Duration::from_secs(15);

/// Time between two samples of the stall counters.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Age of the engines' load reports, as targets report with a delay.
const REPORT_LAG_MS: u64 = 500;

const STALL: &str = "shallotdrum_load_stall_seconds";

/// Figures of the measured time of a run; times in seconds.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Figures {
    pub(crate) stall_total: f64,
    pub(crate) stall_p99: f64,
    /// Requests in the average batch step of the engines.
    pub(crate) batch: f64,
    pub(crate) sent: usize,
    pub(crate) answered: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    pub(crate) first_p50: f64,
    pub(crate) first_p99: f64,
    pub(crate) total_p50: f64,
    pub(crate) total_p99: f64,
    pub(crate) light_total_p99: f64,
    pub(crate) lookup_p99: f64,
    pub(crate) loads: u64,
    /// Answers that ended within the measured time, in each of its seconds on average.
    pub(crate) goodput: f64,
    /// Breaches of the target interface.
    pub(crate) violations: usize,
    /// Errors by kind, most frequent first.
    pub(crate) errors: Vec<(String, usize)>,
    /// Seconds into the measured time, admitted requests and their stall since the sample before.
    pub(crate) timeline: Vec<Sample>,
}

/// Growth of the stall counters in one interval.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Sample {
    pub(crate) at: f64,
    pub(crate) admitted: f64,
    pub(crate) stall: f64,
}

/// Starts a deployment, runs a load and stops the deployment.
pub(crate) async fn run(
    deployment: &Deployment,
    mode: &'static str,
    cfg: &LoadConfig,
) -> anyhow::Result<Figures> {
    let mut targets = TargetsConfig { seed: cfg.seed, ..TargetsConfig::default() };
    targets.engine.report_lag_ms = REPORT_LAG_MS;
    let bench = BenchConfig {
        instances: INSTANCES,
        replicas: REPLICAS,
        mode,
        deadline: DEADLINE,
        seed: cfg.seed,
        targets,
    };
    let cluster = BenchCluster::start(deployment, &bench).await?;
    let caller = Caller::new(&deployment.key(0));
    let entries = cluster.entries.clone();
    let start = Instant::now();
    let arrivals = load::arrivals(cfg, entries.len());
    let sending = {
        let (deployment, entries) = (deployment.clone(), entries.clone());
        tokio::spawn(async move { load::send(&deployment, &entries, arrivals, start).await })
    };

    sleep_until(start + cfg.warm_up).await;
    let before = Scrape::read(&caller, &entries).await?;
    let engines_before = EngineSums::of(&cluster.targets.engines);
    let mut timeline = Vec::new();
    let mut last = before.clone();
    let end = start + cfg.warm_up + cfg.measured;
    let mut next = start + cfg.warm_up + SAMPLE_INTERVAL;
    while next <= end {
        sleep_until(next).await;
        let scrape = Scrape::read(&caller, &entries).await?;
        timeline.push(Sample {
            at: (next - start - cfg.warm_up).as_secs_f64(),
            admitted: scrape.since(&last, &format!("{STALL}_count")),
            stall: scrape.since(&last, &format!("{STALL}_sum")),
        });
        last = scrape;
        next += SAMPLE_INTERVAL;
    }
    let engines_after = EngineSums::of(&cluster.targets.engines);
    let done = sending.await?;
    let after = Scrape::read(&caller, &entries).await?;
    let stats: Vec<EngineStats> = cluster.targets.engines.iter().map(FakeEngine::stats).collect();
    cluster.stop().await?;

    let mut figures = from_answers(&done, cfg);
    figures.stall_total = after.since(&before, &format!("{STALL}_sum"));
    figures.stall_p99 = after.quantile_since(&before, STALL, 0.99);
    let steps = engines_after.steps - engines_before.steps;
    let occupancy = engines_after.occupancy - engines_before.occupancy;
    figures.batch = occupancy as f64 / steps.max(1) as f64;
    figures.loads = engines_after.loads - engines_before.loads;
    figures.violations = stats.iter().map(|stats| stats.violations.len()).sum();
    figures.timeline = timeline;
    Ok(figures)
}

/// Statistics summed over engines.
struct EngineSums {
    steps: u64,
    occupancy: u64,
    loads: u64,
}

impl EngineSums {
    fn of(engines: &[FakeEngine]) -> Self {
        let mut sums = Self { steps: 0, occupancy: 0, loads: 0 };
        for stats in engines.iter().map(FakeEngine::stats) {
            sums.steps += stats.steps;
            sums.occupancy += stats.occupancy_sum;
            sums.loads += stats.loads;
        }
        sums
    }
}

fn from_answers(done: &[Done], cfg: &LoadConfig) -> Figures {
    let mut figures = Figures::default();
    let (mut first, mut total, mut light, mut lookups) = (vec![], vec![], vec![], vec![]);
    let window = cfg.warm_up..cfg.warm_up + cfg.measured;
    let mut ended = 0;
    for request in done {
        let is_answer = request.result.is_ok() && !request.is_lookup;
        ended += usize::from(is_answer && window.contains(&request.ended));
        if !window.contains(&request.at) {
            continue;
        }
        figures.sent += 1;
        let times = match &request.result {
            Ok(times) => times,
            Err(Lost::Refused(code)) => {
                figures.refused += 1;
                count(&mut figures.errors, format!("refused: {code}"));
                continue;
            }
            Err(Lost::Failed(error)) => {
                figures.failed += 1;
                count(&mut figures.errors, error.chars().take(60).collect());
                continue;
            }
        };
        figures.answered += 1;
        if request.is_lookup {
            lookups.push(times.total.as_secs_f64());
            continue;
        }
        first.push(times.first_token.as_secs_f64());
        total.push(times.total.as_secs_f64());
        if !request.is_heavy {
            light.push(times.total.as_secs_f64());
        }
    }
    figures.errors.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    figures.goodput = ended as f64 / cfg.measured.as_secs_f64();
    figures.first_p50 = quantile(&mut first, 0.5);
    figures.first_p99 = quantile(&mut first, 0.99);
    figures.total_p50 = quantile(&mut total, 0.5);
    figures.total_p99 = quantile(&mut total, 0.99);
    figures.light_total_p99 = quantile(&mut light, 0.99);
    figures.lookup_p99 = quantile(&mut lookups, 0.99);
    figures
}

fn count(errors: &mut Vec<(String, usize)>, error: String) {
    match errors.iter_mut().find(|(known, _)| *known == error) {
        Some((_, count)) => *count += 1,
        None => errors.push((error, 1)),
    }
}

/// Exact quantile of measured values.
pub(crate) fn quantile(values: &mut [f64], q: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (q * values.len() as f64) as usize;
    values.get(at.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
