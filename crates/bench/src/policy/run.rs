//! One run of one policy, and its measurements.

use std::time::Duration;

use serde::Serialize;
use shallotdrum_fakes::{EngineStats, FakeEngine};
use shallotdrum_harness::{Caller, Deployment, TargetsConfig};
use tokio::time::{Instant, sleep_until};

use crate::{
    cluster::{BenchCluster, BenchConfig},
    load::{self, LoadConfig, RequestError, RequestOutcome},
    scrape::Scrape,
};

/// Number of instances that each organisation runs, and of the control replicas among them.
const INSTANCES: usize = 8;
const REPLICAS: usize = 3;

/// Request deadline; bounds the duration of a run and is far above the goal for the first token.
pub(crate) const DEADLINE: Duration = Duration::from_secs(15);

/// Sampling interval of the stall counters.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Age of the load reports of the fake engines, which simulates the report delay of real targets.
const REPORT_LAG_MS: u64 = 500;

const STALL_METRIC: &str = "shallotdrum_load_stall_seconds";

/// Measurements of a run, without the warm-up; times in seconds.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RunStats {
    pub(crate) stall_total: f64,
    pub(crate) stall_p99: f64,
    /// Mean number of requests per batch step of the engines.
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
    /// Completions per second, counting those that ended within the measurement.
    pub(crate) goodput: f64,
    /// Violations of the target protocol seen by the engines.
    pub(crate) violations: usize,
    /// Errors with their counts, most frequent first.
    pub(crate) errors: Vec<(String, usize)>,
    /// Load stalls over the measurement, in intervals of `SAMPLE_INTERVAL`.
    pub(crate) timeline: Vec<Sample>,
}

/// Increase of the stall counters in one interval.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Sample {
    /// End of the interval, in seconds since the start of the measurement.
    pub(crate) at: f64,
    /// Admitted requests.
    pub(crate) admitted: f64,
    /// Seconds that admitted requests waited for adapter loads.
    pub(crate) stall: f64,
}

/// Starts a deployment, applies a load to it and stops it.
pub(crate) async fn run(
    deployment: &Deployment,
    mode: &'static str,
    cfg: &LoadConfig,
) -> anyhow::Result<RunStats> {
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
            admitted: scrape.increase_since(&last, &format!("{STALL_METRIC}_count")),
            stall: scrape.increase_since(&last, &format!("{STALL_METRIC}_sum")),
        });
        last = scrape;
        next += SAMPLE_INTERVAL;
    }
    let engines_after = EngineSums::of(&cluster.targets.engines);
    let outcomes = sending.await?;
    let after = Scrape::read(&caller, &entries).await?;
    let engine_stats: Vec<EngineStats> =
        cluster.targets.engines.iter().map(FakeEngine::stats).collect();
    cluster.stop().await?;

    let mut stats = summarise(&outcomes, cfg);
    stats.stall_total = after.increase_since(&before, &format!("{STALL_METRIC}_sum"));
    stats.stall_p99 = after.quantile_since(&before, STALL_METRIC, 0.99);
    let steps = engines_after.steps - engines_before.steps;
    let occupancy = engines_after.occupancy - engines_before.occupancy;
    stats.batch = occupancy as f64 / steps.max(1) as f64;
    stats.loads = engines_after.loads - engines_before.loads;
    stats.violations = engine_stats.iter().map(|stats| stats.violations.len()).sum();
    stats.timeline = timeline;
    Ok(stats)
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

fn summarise(outcomes: &[RequestOutcome], cfg: &LoadConfig) -> RunStats {
    let mut stats = RunStats::default();
    let (mut first, mut total, mut light, mut lookups) = (vec![], vec![], vec![], vec![]);
    let window = cfg.warm_up..cfg.warm_up + cfg.measured;
    let mut ended = 0;
    for request in outcomes {
        let is_completion = request.result.is_ok() && !request.is_lookup;
        ended += usize::from(is_completion && window.contains(&request.ended));
        if !window.contains(&request.at) {
            continue;
        }
        stats.sent += 1;
        let times = match &request.result {
            Ok(times) => times,
            Err(RequestError::Refused(code)) => {
                stats.refused += 1;
                increment(&mut stats.errors, format!("refused: {code}"));
                continue;
            }
            Err(RequestError::Failed(error)) => {
                stats.failed += 1;
                increment(&mut stats.errors, error.chars().take(60).collect());
                continue;
            }
        };
        stats.answered += 1;
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
    stats.errors.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    stats.goodput = ended as f64 / cfg.measured.as_secs_f64();
    stats.first_p50 = quantile(&mut first, 0.5);
    stats.first_p99 = quantile(&mut first, 0.99);
    stats.total_p50 = quantile(&mut total, 0.5);
    stats.total_p99 = quantile(&mut total, 0.99);
    stats.light_total_p99 = quantile(&mut light, 0.99);
    stats.lookup_p99 = quantile(&mut lookups, 0.99);
    stats
}

fn increment(errors: &mut Vec<(String, usize)>, error: String) {
    match errors.iter_mut().find(|(known, _)| *known == error) {
        Some((_, count)) => *count += 1,
        None => errors.push((error, 1)),
    }
}

/// Quantile without interpolation; sorts the values. 0 if there are none.
pub(crate) fn quantile(values: &mut [f64], q: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (q * values.len() as f64) as usize;
    values.get(at.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
