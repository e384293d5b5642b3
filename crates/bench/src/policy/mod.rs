//! Compares the policies, and measures the adaptive one in special loads.
//!
//! Load stalls come from `shallotdrum_load_stall_seconds` on the metrics pages of all instances:
//! the sum is exact, quantiles are interpolated within a bucket. Requests that are refused while
//! they wait for a load are not in it and are reported beside it. Batch efficiency is the number
//! of requests in the average batch step that the fake engines ran.

mod report;
mod run;

use std::{str::FromStr, time::Duration};

use anyhow::Context;
use serde_json::{Value, json};
use shallotdrum_harness::Deployment;

use crate::{
    flags::Policy,
    load::{LoadConfig, MEAN_TOKENS, Senders},
};
use run::{Figures, Sample};

/// Deployments to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeploymentChoice {
    Registry,
    Cooperative,
    Both,
}

/// Loads to measure with.
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

/// Subscribers 0 to 2 are the heavy ones.
const HEAVY: std::ops::Range<usize> = 0..3;

/// Share of the requests that the heavy subscribers send in the comparison.
const HEAVY_SHARE: f64 = 0.5;

/// Largest stall rate after a shift, as a multiple of the one before.
const STALL_RATE_LIMIT: f64 = 1.5;

/// Samples over which the stall rate is averaged; fewer leave it to single loads.
const RATE_SAMPLES: usize = 10;

/// Stall rate, in seconds for each admitted request, below which a level counts as no stall: one
/// load in a hundred requests.
const NO_STALL: f64 = 0.0025;

/// Runs the chosen scenario for all deployments and seeds.
pub(crate) async fn run(args: &Policy) -> anyhow::Result<()> {
    println!("commit {}", commit());
    let scenario = args.scenario.unwrap_or(Scenario::Compare);
    let choice = args.deployment.unwrap_or(DeploymentChoice::Both);
    let deployments = [
        (DeploymentChoice::Registry, Deployment::registry()),
        (DeploymentChoice::Cooperative, Deployment::cooperative()),
    ];
    let mut results = Vec::new();
    for (kind, deployment) in deployments {
        if choice != DeploymentChoice::Both && choice != kind {
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

/// Requests in a second and Zipf exponent.
///
/// With these the adapters that are new after the start and after the shift need about the loads
/// that the weight store allows; with more, each policy only queues for the store.
fn defaults(deployment: &Deployment) -> (f64, f64) {
    match deployment.name {
        "registry" => (3.0, 1.3),
        _ => (12.0, 1.8),
    }
}

fn load_config(args: &Policy, deployment: &Deployment, seed: u64) -> LoadConfig {
    let (rate, exponent) = defaults(deployment);
    let rate = args.rate.unwrap_or(rate);
    let senders = |is_heavy, subscribers, rate| Senders {
        is_heavy,
        subscribers,
        rate,
        adapters: 0..deployment.adapters,
    };
    LoadConfig {
        senders: vec![
            senders(true, HEAVY, rate * HEAVY_SHARE),
            senders(false, HEAVY.end..deployment.subscribers, rate * (1.0 - HEAVY_SHARE)),
        ],
        exponent: args.exponent.unwrap_or(exponent),
        warm_up: Duration::from_secs(args.warm_up.unwrap_or(10)),
        measured: Duration::from_secs(args.seconds.unwrap_or(20)),
        shifts: true,
        seed,
    }
}

fn seeds(args: &Policy) -> std::ops::Range<u64> {
    let first = args.first_seed.unwrap_or(1);
    first..first + args.seeds.unwrap_or(5)
}

fn print_load(cfg: &LoadConfig) {
    let rates: Vec<_> = cfg
        .senders
        .iter()
        .map(|s| {
            let kind = if s.is_heavy { "heavy" } else { "light" };
            format!("{} {kind} subscribers {:.1}/s", s.subscribers.len(), s.rate)
        })
        .collect();
    println!(
        "load: {}, Zipf exponent {}, warm-up {} s, measured {} s{}, deadline {} s",
        rates.join(", "),
        cfg.exponent,
        cfg.warm_up.as_secs(),
        cfg.measured.as_secs(),
        if cfg.shifts { ", popularity shift half-way" } else { "" },
        run::DEADLINE.as_secs(),
    );
}

/// Runs both policies at the same time, so that the noise of the machine meets both.
async fn compare(args: &Policy, deployment: &Deployment) -> anyhow::Result<Vec<Value>> {
    print_load(&load_config(args, deployment, 0));
    report::head();
    let mut pairs = Vec::new();
    let mut json = Vec::new();
    for seed in seeds(args) {
        let cfg = load_config(args, deployment, seed);
        let (adaptive, baseline) = tokio::try_join!(
            run::run(deployment, ADAPTIVE, &cfg),
            run::run(deployment, BASELINE, &cfg)
        )?;
        report::row(deployment.name, seed, ADAPTIVE, &adaptive);
        report::row(deployment.name, seed, BASELINE, &baseline);
        json.push(json!({ "seed": seed, ADAPTIVE: adaptive, BASELINE: baseline }));
        pairs.push((adaptive, baseline));
    }
    let goal = match deployment.name {
        "registry" => "at least 1",
        _ => "at least 1.2",
    };
    report::ratios(deployment.name, &pairs, goal);
    Ok(json)
}

/// Requests in a second that the engines can generate with full batches.
fn capacity(deployment: &Deployment) -> f64 {
    let targets = shallotdrum_harness::TargetsConfig::default();
    let batch = f64::from(targets.max_batch);
    let step_ms = targets.engine.step_base_ms + targets.engine.step_per_sequence_ms * batch;
    deployment.engines as f64 * batch * 1000.0 / (step_ms * MEAN_TOKENS)
}

/// Light subscribers with and without three heavy ones that flood, and one heavy alone.
async fn fairness(args: &Policy, deployment: &Deployment) -> anyhow::Result<Vec<Value>> {
    let capacity = capacity(deployment);
    let flood = args.rate.unwrap_or(1.5 * capacity);
    // All adapters fit into the slots, so that waiting for loads does not hide waiting in queues.
    let light = Senders {
        is_heavy: false,
        subscribers: HEAVY.end..deployment.subscribers,
        rate: 0.1 * capacity,
        adapters: 0..12,
    };
    let heavy =
        |subscribers| Senders { is_heavy: true, subscribers, rate: flood, adapters: 12..24 };
    let mut json = Vec::new();
    report::head();
    let mut light_ratios = Vec::new();
    let mut alone_ratios = Vec::new();
    for seed in seeds(args) {
        let base = load_config(args, deployment, seed);
        let cfg = |senders| LoadConfig { senders, shifts: false, exponent: 0.8, ..base.clone() };
        let with_heavy = cfg(vec![light.clone(), heavy(HEAVY)]);
        let without = cfg(vec![light.clone()]);
        let alone = cfg(vec![heavy(0..1)]);
        print_load(&with_heavy);
        let (with_heavy, without) = tokio::try_join!(
            run::run(deployment, ADAPTIVE, &with_heavy),
            run::run(deployment, ADAPTIVE, &without),
        )?;
        report::row(deployment.name, seed, "with heavy", &with_heavy);
        report::row(deployment.name, seed, "without heavy", &without);
        println!(
            "    light p99: {:.3} s with, {:.3} s without",
            with_heavy.light_total_p99, without.light_total_p99
        );
        light_ratios.push(with_heavy.light_total_p99 / without.light_total_p99);
        let (adaptive, baseline) = tokio::try_join!(
            run::run(deployment, ADAPTIVE, &alone),
            run::run(deployment, BASELINE, &alone),
        )?;
        report::row(deployment.name, seed, "alone, adaptive", &adaptive);
        report::row(deployment.name, seed, "alone, baseline", &baseline);
        alone_ratios.push(adaptive.goodput / baseline.goodput);
        json.push(json!({
            "seed": seed, "with_heavy": with_heavy, "without_heavy": without,
            "alone_adaptive": adaptive, "alone_baseline": baseline,
        }));
    }
    print_spread("light p99, with/without heavy (goal: at most 1.2)", &mut light_ratios);
    print_spread("heavy alone, answers adaptive/baseline (goal: at least 1)", &mut alone_ratios);
    Ok(json)
}

/// Time from a popularity shift until the stall rate is near its former level.
async fn shift(args: &Policy, deployment: &Deployment) -> anyhow::Result<Vec<Value>> {
    let mut json = Vec::new();
    let mut times = Vec::new();
    print_load(&load_config(args, deployment, 0));
    report::head();
    for seed in seeds(args) {
        let cfg = load_config(args, deployment, seed);
        let (adaptive, baseline) = tokio::try_join!(
            run::run(deployment, ADAPTIVE, &cfg),
            run::run(deployment, BASELINE, &cfg)
        )?;
        for (name, figures) in [(ADAPTIVE, &adaptive), (BASELINE, &baseline)] {
            report::row(deployment.name, seed, name, figures);
            let (level, time) = recovery(figures, cfg.measured.as_secs_f64() / 2.0);
            let time_text = time.map_or("not within the run".to_owned(), |t| format!("{t:.0} s"));
            println!(
                "    stall rate before {level:.4} s/request; back within 1.5 times: {time_text}"
            );
            if name == ADAPTIVE {
                times.push(time.unwrap_or(f64::INFINITY));
            }
        }
        json.push(json!({ "seed": seed, ADAPTIVE: adaptive, BASELINE: baseline }));
    }
    print_spread("adaptive, seconds until the stall rate is back (goal: 30)", &mut times);
    Ok(json)
}

/// Stall rate before the shift, and the time after it from which on the rate stays near that.
///
/// A stall is recorded when it ends, so the first samples after the shift don't show it yet; what
/// counts is the last window above the limit.
fn recovery(figures: &Figures, shift_at: f64) -> (f64, Option<f64>) {
    let (before, after): (Vec<&Sample>, Vec<&Sample>) =
        figures.timeline.iter().partition(|sample| sample.at <= shift_at);
    let rate = |samples: &[&Sample]| {
        let admitted: f64 = samples.iter().map(|sample| sample.admitted).sum();
        samples.iter().map(|sample| sample.stall).sum::<f64>() / admitted.max(1.0)
    };
    let level = rate(&before);
    let limit = (level * STALL_RATE_LIMIT).max(NO_STALL);
    let windows: Vec<_> = after.windows(RATE_SAMPLES).collect();
    let time = match windows.iter().rposition(|window| rate(window) > limit) {
        None => Some(0.0),
        Some(last) if last + 1 >= windows.len() => None,
        Some(last) => windows[last].last().map(|sample| sample.at - shift_at),
    };
    (level, time)
}

/// Answers in a second at several multiples of what the engines can generate.
async fn overload(args: &Policy, deployment: &Deployment) -> anyhow::Result<Vec<Value>> {
    let capacity = args.rate.unwrap_or_else(|| capacity(deployment));
    println!("capacity of the engines with full batches: {capacity:.1} requests/s");
    report::head();
    let mut json = Vec::new();
    let mut ratios = Vec::new();
    for seed in seeds(args) {
        let mut goodputs = Vec::new();
        for factor in [0.75, 1.0, 2.0] {
            let mut cfg = load_config(args, deployment, seed);
            cfg.shifts = false;
            cfg.exponent = 0.8;
            cfg.senders = vec![Senders {
                is_heavy: false,
                subscribers: 0..deployment.subscribers,
                rate: capacity * factor,
                adapters: 0..24,
            }];
            let figures = run::run(deployment, ADAPTIVE, &cfg).await?;
            report::row(deployment.name, seed, &format!("{factor} x capacity"), &figures);
            goodputs.push(figures.goodput);
            json.push(json!({ "seed": seed, "factor": factor, "figures": figures }));
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

/// Commit of the work tree that the program runs in, and whether files differ from it.
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
