//! Compares the scheduling policies, and measures the adaptive one under special loads.
//!
//! Load stalls are read from `shallotdrum_load_stall_seconds` on the metrics pages of all
//! instances: the sum is exact, quantiles are interpolated within a bucket. The metric excludes
//! requests that are refused while they wait for a load; these are reported separately. Batch
//! efficiency is the mean number of requests per batch step of the fake engines.

mod report;
mod run;

use std::{str::FromStr, time::Duration};

use anyhow::Context;
use serde_json::{Value, json};
use shallotdrum_harness::Deployment;

use crate::{
    flags::Policy,
    load::{LoadConfig, MEAN_TOKENS, SenderGroup},
};
use run::{RunStats, Sample};

/// Value of `--deployment`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeploymentChoice {
    Registry,
    Cooperative,
    Both,
}

/// Value of `--scenario`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    Compare,
    Fairness,
    Shift,
    Overload,
}

impl FromStr for DeploymentChoice {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "registry" => Ok(Self::Registry),
            "cooperative" => Ok(Self::Cooperative),
            "both" => Ok(Self::Both),
            _ => Err(format!("{text}: expected `registry`, `cooperative` or `both`")),
        }
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "compare" => Ok(Self::Compare),
            "fairness" => Ok(Self::Fairness),
            "shift" => Ok(Self::Shift),
            "overload" => Ok(Self::Overload),
            _ => Err(format!("{text}: expected `compare`, `fairness`, `shift` or `overload`")),
        }
    }
}

const ADAPTIVE: &str = "adaptive";
const BASELINE: &str = "baseline";

/// Indices of the heavy subscribers.
const HEAVY_SUBSCRIBERS: std::ops::Range<usize> = 0..3;

/// Share of the requests that the heavy subscribers send together, except in `fairness` and
/// `overload`.
const HEAVY_SHARE: f64 = 0.5;

/// Stall rate up to which a run counts as recovered, as a multiple of the rate before the shift.
const MAX_RECOVERED_RATIO: f64 = 1.5;

/// Number of samples over which the stall rate is averaged; with fewer, single loads dominate it.
const STALL_RATE_WINDOW: usize = 10;

/// Stall rate, in seconds per admitted request, up to which a run always counts as recovered;
/// equals one load per hundred requests.
const MIN_STALL_RATE_LIMIT: f64 = 0.0025;

/// Runs the selected scenario for the selected deployments and all seeds.
pub(crate) async fn run(args: &Policy) -> anyhow::Result<()> {
    println!("commit {}", commit());
    let scenario = args.scenario.unwrap_or(Scenario::Compare);
    let selected = args.deployment.unwrap_or(DeploymentChoice::Both);
    let deployments = [
        (DeploymentChoice::Registry, Deployment::registry()),
        (DeploymentChoice::Cooperative, Deployment::cooperative()),
    ];
    let mut results = Vec::new();
    for (kind, deployment) in deployments {
        if selected != DeploymentChoice::Both && selected != kind {
            continue;
        }
        println!(
            "{}: {} engines, {} plain servers, {} availability zones, {} adapters, {} loads/s, \
             {} subscribers, 8 instances",
            deployment.name,
            deployment.engines,
            deployment.services,
            deployment.zones.len(),
            deployment.adapters,
            deployment.loads_per_second,
            deployment.subscribers,
        );
        let result = match scenario {
            Scenario::Compare => compare(args, &deployment).await,
            Scenario::Fairness => fairness(args, &deployment).await,
            Scenario::Shift => shift(args, &deployment).await,
            Scenario::Overload => overload(args, &deployment).await,
        };
        let result = result.with_context(|| format!("deployment {}", deployment.name))?;
        results.push(json!({ "deployment": deployment.name, "runs": result }));
    }
    if let Some(path) = &args.json {
        let json = json!({
            "commit": commit(), "scenario": format!("{scenario:?}"), "deployments": results,
        });
        std::fs::write(path, serde_json::to_string_pretty(&json)?)
            .with_context(|| format!("cannot write {}", path.display()))?;
    }
    Ok(())
}

/// Default requests per second and Zipf exponent.
///
/// With these, the adapters that become popular at the start and at the shift need about as many
/// loads as the weight store allows. With higher values, both policies only queue for the weight
/// store.
fn defaults(deployment: &Deployment) -> (f64, f64) {
    match deployment.name {
        "registry" => (3.0, 1.3),
        _ => (12.0, 1.8),
    }
}

fn load_config(args: &Policy, deployment: &Deployment, seed: u64) -> LoadConfig {
    let (rate, exponent) = defaults(deployment);
    let rate = args.rate.unwrap_or(rate);
    let group = |is_heavy, subscribers, rate| SenderGroup {
        is_heavy,
        subscribers,
        rate,
        adapters: 0..deployment.adapters,
    };
    LoadConfig {
        groups: vec![
            group(true, HEAVY_SUBSCRIBERS, rate * HEAVY_SHARE),
            group(false, HEAVY_SUBSCRIBERS.end..deployment.subscribers, rate * (1.0 - HEAVY_SHARE)),
        ],
        exponent: args.exponent.unwrap_or(exponent),
        warm_up: Duration::from_secs(args.warm_up.unwrap_or(10)),
        measured: Duration::from_secs(args.seconds.unwrap_or(20)),
        has_popularity_shift: true,
        seed,
    }
}

fn seeds(args: &Policy) -> std::ops::Range<u64> {
    let first = args.first_seed.unwrap_or(1);
    first..first + args.seeds.unwrap_or(5)
}

fn print_load(cfg: &LoadConfig) {
    let rates: Vec<_> = cfg
        .groups
        .iter()
        .map(|group| {
            let kind = if group.is_heavy { "heavy" } else { "light" };
            format!("{} {kind} subscribers {:.1}/s", group.subscribers.len(), group.rate)
        })
        .collect();
    println!(
        "load: {}, Zipf exponent {}, warm-up {} s, measured {} s{}, deadline {} s",
        rates.join(", "),
        cfg.exponent,
        cfg.warm_up.as_secs(),
        cfg.measured.as_secs(),
        if cfg.has_popularity_shift { ", popularity shift half-way" } else { "" },
        run::DEADLINE.as_secs(),
    );
}

/// Runs both policies concurrently, so that other load on the machine affects both.
async fn compare(args: &Policy, deployment: &Deployment) -> anyhow::Result<Vec<Value>> {
    print_load(&load_config(args, deployment, 0));
    report::print_header();
    let mut pairs = Vec::new();
    let mut json = Vec::new();
    for seed in seeds(args) {
        let cfg = load_config(args, deployment, seed);
        let (adaptive, baseline) = tokio::try_join!(
            run::run(deployment, ADAPTIVE, &cfg),
            run::run(deployment, BASELINE, &cfg)
        )?;
        report::print_row(deployment.name, seed, ADAPTIVE, &adaptive);
        report::print_row(deployment.name, seed, BASELINE, &baseline);
        json.push(json!({ "seed": seed, ADAPTIVE: adaptive, BASELINE: baseline }));
        pairs.push((adaptive, baseline));
    }
    let goal = match deployment.name {
        "registry" => "at least 1",
        _ => "at least 1.2",
    };
    report::print_ratios(deployment.name, &pairs, goal);
    Ok(json)
}

/// Completions per second that the engines can generate with full batches.
fn capacity(deployment: &Deployment) -> f64 {
    let targets = shallotdrum_harness::TargetsConfig::default();
    let batch = f64::from(targets.max_batch);
    let step_ms = targets.engine.step_base_ms + targets.engine.step_per_sequence_ms * batch;
    deployment.engines as f64 * batch * 1000.0 / (step_ms * MEAN_TOKENS)
}

/// Compares light subscribers with and without three heavy ones that overload the engines, and both
/// policies under a single heavy subscriber.
async fn fairness(args: &Policy, deployment: &Deployment) -> anyhow::Result<Vec<Value>> {
    let capacity = capacity(deployment);
    let heavy_rate = args.rate.unwrap_or(1.5 * capacity);
    // All adapters fit into the slots, so that load stalls do not mask queueing delays.
    let light = SenderGroup {
        is_heavy: false,
        subscribers: HEAVY_SUBSCRIBERS.end..deployment.subscribers,
        rate: 0.1 * capacity,
        adapters: 0..12,
    };
    let heavy = |subscribers| SenderGroup {
        is_heavy: true,
        subscribers,
        rate: heavy_rate,
        adapters: 12..24,
    };
    let mut json = Vec::new();
    report::print_header();
    let mut light_ratios = Vec::new();
    let mut alone_ratios = Vec::new();
    for seed in seeds(args) {
        let base = load_config(args, deployment, seed);
        let cfg = |groups| LoadConfig {
            groups,
            has_popularity_shift: false,
            exponent: 0.8,
            ..base.clone()
        };
        let with_heavy = cfg(vec![light.clone(), heavy(HEAVY_SUBSCRIBERS)]);
        let without = cfg(vec![light.clone()]);
        let alone = cfg(vec![heavy(0..1)]);
        print_load(&with_heavy);
        let (with_heavy, without) = tokio::try_join!(
            run::run(deployment, ADAPTIVE, &with_heavy),
            run::run(deployment, ADAPTIVE, &without),
        )?;
        report::print_row(deployment.name, seed, "with heavy", &with_heavy);
        report::print_row(deployment.name, seed, "without heavy", &without);
        println!(
            "    light p99: {:.3} s with, {:.3} s without",
            with_heavy.light_total_p99, without.light_total_p99
        );
        light_ratios.push(with_heavy.light_total_p99 / without.light_total_p99);
        let (adaptive, baseline) = tokio::try_join!(
            run::run(deployment, ADAPTIVE, &alone),
            run::run(deployment, BASELINE, &alone),
        )?;
        report::print_row(deployment.name, seed, "alone, adaptive", &adaptive);
        report::print_row(deployment.name, seed, "alone, baseline", &baseline);
        alone_ratios.push(adaptive.goodput / baseline.goodput);
        json.push(json!({
            "seed": seed, "with_heavy": with_heavy, "without_heavy": without,
            "alone_adaptive": adaptive, "alone_baseline": baseline,
        }));
    }
    print_spread("light p99, with/without heavy (goal: at most 1.2)", &mut light_ratios);
    print_spread("heavy alone, responses adaptive/baseline (goal: at least 1)", &mut alone_ratios);
    Ok(json)
}

/// Measures the time from a popularity shift until the stall rate recovers.
async fn shift(args: &Policy, deployment: &Deployment) -> anyhow::Result<Vec<Value>> {
    let mut json = Vec::new();
    let mut times = Vec::new();
    print_load(&load_config(args, deployment, 0));
    report::print_header();
    for seed in seeds(args) {
        let cfg = load_config(args, deployment, seed);
        let (adaptive, baseline) = tokio::try_join!(
            run::run(deployment, ADAPTIVE, &cfg),
            run::run(deployment, BASELINE, &cfg)
        )?;
        for (name, stats) in [(ADAPTIVE, &adaptive), (BASELINE, &baseline)] {
            report::print_row(deployment.name, seed, name, stats);
            let (level, time) = recovery(stats, cfg.measured.as_secs_f64() / 2.0);
            let time_text = time.map_or("not within the run".to_owned(), |t| format!("{t:.0} s"));
            println!(
                "    stall rate before {level:.4} s/request; recovery to at most 1.5 times that: \
                 {time_text}"
            );
            if name == ADAPTIVE {
                times.push(time.unwrap_or(f64::INFINITY));
            }
        }
        json.push(json!({ "seed": seed, ADAPTIVE: adaptive, BASELINE: baseline }));
    }
    print_spread("adaptive, seconds until the stall rate recovers (goal: 30)", &mut times);
    Ok(json)
}

/// Returns the stall rate before the shift and the time until recovery, or `None` for the time if
/// the run ends first.
///
/// A stall is recorded when it ends and so is missing from the first samples after the shift.
/// Therefore recovery is at the end of the last window whose rate is above the limit.
fn recovery(stats: &RunStats, shift_at: f64) -> (f64, Option<f64>) {
    let (before, after): (Vec<&Sample>, Vec<&Sample>) =
        stats.timeline.iter().partition(|sample| sample.at <= shift_at);
    let rate = |samples: &[&Sample]| {
        let admitted: f64 = samples.iter().map(|sample| sample.admitted).sum();
        samples.iter().map(|sample| sample.stall).sum::<f64>() / admitted.max(1.0)
    };
    let level = rate(&before);
    let limit = (level * MAX_RECOVERED_RATIO).max(MIN_STALL_RATE_LIMIT);
    let windows: Vec<_> = after.windows(STALL_RATE_WINDOW).collect();
    let time = match windows.iter().rposition(|window| rate(window) > limit) {
        None => Some(0.0),
        Some(last) if last + 1 >= windows.len() => None,
        Some(last) => windows[last].last().map(|sample| sample.at - shift_at),
    };
    (level, time)
}

/// Measures the goodput at several multiples of the engines' capacity.
async fn overload(args: &Policy, deployment: &Deployment) -> anyhow::Result<Vec<Value>> {
    let capacity = args.rate.unwrap_or_else(|| capacity(deployment));
    println!("capacity of the engines with full batches: {capacity:.1} requests/s");
    report::print_header();
    let mut json = Vec::new();
    let mut ratios = Vec::new();
    for seed in seeds(args) {
        let mut goodputs = Vec::new();
        for factor in [0.75, 1.0, 2.0] {
            let mut cfg = load_config(args, deployment, seed);
            cfg.has_popularity_shift = false;
            cfg.exponent = 0.8;
            cfg.groups = vec![SenderGroup {
                is_heavy: false,
                subscribers: 0..deployment.subscribers,
                rate: capacity * factor,
                adapters: 0..24,
            }];
            let stats = run::run(deployment, ADAPTIVE, &cfg).await?;
            report::print_row(deployment.name, seed, &format!("{factor} x capacity"), &stats);
            goodputs.push(stats.goodput);
            json.push(json!({ "seed": seed, "factor": factor, "figures": stats }));
        }
        let peak = goodputs.iter().copied().fold(0.0, f64::max);
        ratios.push(goodputs.last().copied().unwrap_or_default() / peak);
    }
    print_spread("goodput at 2 x capacity / peak (goal: at least 0.9)", &mut ratios);
    Ok(json)
}

fn print_spread(name: &str, values: &mut [f64]) {
    let median = run::quantile(values, 0.5);
    let (low, high) = (values.first(), values.last());
    println!(
        "{name}: {median:.3} ({:.3} to {:.3})",
        low.copied().unwrap_or(f64::NAN),
        high.copied().unwrap_or(f64::NAN)
    );
}

/// Commit of the work tree in the current directory, marked if tracked files are modified.
pub(crate) fn commit() -> String {
    let git = |args: &[&str]| {
        let output = std::process::Command::new("git").args(args).output().ok()?;
        Some(String::from_utf8_lossy(&output.stdout).trim().to_owned())
    };
    let Some(commit) = git(&["rev-parse", "--short", "HEAD"]) else { return "unknown".to_owned() };
    match git(&["status", "--porcelain", "--untracked-files=no"]) {
        Some(changes) if changes.is_empty() => commit,
        _ => format!("{commit} with changes"),
    }
}
