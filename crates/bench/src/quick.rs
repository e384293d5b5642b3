//! Quick run: both organisations at a small size, in this process.
//!
//! Every answer is compared with the text that the named adapter and version generates, and every
//! call that may not be repeated is sent twice and must have run once.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use hdrhistogram::Histogram;
use hyper::Method;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use shallotdrum_fakes::expected_text;
use shallotdrum_harness::{
    Caller, Deployment, Embedded, Operator, Targets, TargetsConfig, wait_until_served,
};
use shallotdrum_types::{AdapterRef, Revision};
use tokio::task::JoinSet;

/// Instances of each deployment, the first three of them control replicas.
const INSTANCES: usize = 4;
const REPLICAS: usize = 3;

/// Time for sessions, manifest and targets to be in place.
const SET_UP_LIMIT: Duration = Duration::from_secs(20);

/// Adapters that the load uses, each in two versions; they fill the slots of three engines.
const ADAPTERS: usize = 6;

/// Tokens of each answer.
const MAX_TOKENS: u32 = 16;

/// Requests that are in progress at a time.
const CONCURRENCY: usize = 24;

/// Every tenth request calls the plain service.
const SERVICE_EVERY: usize = 10;

/// Runs the load on both deployments and prints a table.
pub(crate) async fn run(requests: usize, seed: u64, log: &slog::Logger) -> anyhow::Result<()> {
    println!("seed {seed}, {requests} requests for each deployment, {INSTANCES} instances");
    println!(
        "{:<12} {:>8} {:>6} {:>12} {:>12} {:>12} {:>10}",
        "deployment", "answers", "wrong", "p50 total", "p99 total", "p99 first", "in force"
    );
    let mut wrong = 0;
    for deployment in [Deployment::registry(), Deployment::cooperative()] {
        let deployment = deployment.scaled(3, 2, ADAPTERS);
        let row = run_deployment(&deployment, requests, seed, log)
            .await
            .with_context(|| format!("deployment {}", deployment.name))?;
        println!(
            "{:<12} {:>8} {:>6} {:>9} ms {:>9} ms {:>9} ms {:>7} ms",
            deployment.name,
            row.answers,
            row.wrong.len(),
            row.total.value_at_quantile(0.5),
            row.total.value_at_quantile(0.99),
            row.first_token.value_at_quantile(0.99),
            row.in_force.as_millis(),
        );
        for problem in row.wrong.iter().take(10) {
            println!("  {problem}");
        }
        wrong += row.wrong.len();
    }
    ensure!(wrong == 0, "{wrong} answers are wrong");
    Ok(())
}

struct Row {
    answers: usize,
    wrong: Vec<String>,
    /// In milliseconds.
    total: Histogram<u64>,
    /// In milliseconds.
    first_token: Histogram<u64>,
    in_force: Duration,
}

async fn run_deployment(
    deployment: &Deployment,
    requests: usize,
    seed: u64,
    log: &slog::Logger,
) -> anyhow::Result<Row> {
    let embedded = Embedded::start(deployment, INSTANCES, REPLICAS, log).await?;
    let operator = Operator::default();
    operator.wait_for_instances(embedded.rpcs[0], INSTANCES, SET_UP_LIMIT).await?;
    let start = Instant::now();
    operator.submit(embedded.rpcs[0], "quick", 0, &deployment.manifest()).await?;
    operator.wait_in_force(embedded.rpcs[0], Revision(1), SET_UP_LIMIT).await?;
    let in_force = start.elapsed();

    let cfg = TargetsConfig { seed, ..TargetsConfig::default() };
    let targets = Targets::start(deployment, &cfg, &embedded.entries).await?;
    wait_until_served(deployment, &embedded.entries, SET_UP_LIMIT).await?;

    let mut row = Row {
        answers: 0,
        wrong: Vec::new(),
        total: Histogram::new(3)?,
        first_token: Histogram::new(3)?,
        in_force,
    };
    let mut rng = StdRng::seed_from_u64(seed);
    let mut running = JoinSet::new();
    for i in 0..requests {
        if running.len() >= CONCURRENCY {
            take_result(&mut running, &mut row).await?;
        }
        let request = Request::new(deployment, &embedded.entries, i, &mut rng);
        running.spawn(request.run());
    }
    while !running.is_empty() {
        take_result(&mut running, &mut row).await?;
    }
    check_executions(&targets, &mut row);
    embedded.stop().await;
    Ok(row)
}

async fn take_result(
    running: &mut JoinSet<Result<Done, String>>,
    row: &mut Row,
) -> anyhow::Result<()> {
    let Some(result) = running.join_next().await else { return Ok(()) };
    match result? {
        Ok(done) => {
            row.answers += 1;
            row.total.record(done.total.as_millis() as u64)?;
            if let Some(first_token) = done.first_token {
                row.first_token.record(first_token.as_millis() as u64)?;
            }
        }
        Err(problem) => row.wrong.push(problem),
    }
    Ok(())
}

/// Calls that may not be repeated must have run once, and engines must have seen no violation.
fn check_executions(targets: &Targets, row: &mut Row) {
    for service in &targets.services {
        for (key, count) in service.stats().repeated_keys() {
            row.wrong.push(format!("call with key {key} ran {count} times"));
        }
    }
    for engine in &targets.engines {
        for violation in engine.stats().violations {
            row.wrong.push(format!("violation at an engine: {violation:?}"));
        }
    }
}

/// One request of the load.
struct Request {
    caller: Caller,
    entries: [SocketAddr; 2],
    kind: Kind,
}

enum Kind {
    Completion { model: String, expected: String, prompt: String, is_streamed: bool },
    Lookup { path: String },
    Once { path: String, key: String },
}

struct Done {
    total: Duration,
    first_token: Option<Duration>,
}

impl Request {
    fn new(deployment: &Deployment, entries: &[SocketAddr], i: usize, rng: &mut StdRng) -> Self {
        let subscriber = rng.random_range(0..deployment.subscribers);
        let kind = match i % SERVICE_EVERY {
            0 if i.is_multiple_of(2 * SERVICE_EVERY) => {
                Kind::Lookup { path: format!("/{}/status/{i}", deployment.service) }
            }
            0 => Kind::Once {
                path: format!("/{}/certificates", deployment.service),
                key: format!("key-{i}"),
            },
            _ => completion(deployment, i, rng),
        };
        let first = rng.random_range(0..entries.len());
        Self {
            caller: Caller::new(&deployment.key(subscriber)),
            entries: [entries[first], entries[(first + 1) % entries.len()]],
            kind,
        }
    }

    async fn run(self) -> Result<Done, String> {
        let start = Instant::now();
        let [entry, other] = self.entries;
        match &self.kind {
            Kind::Completion { model, expected, prompt, is_streamed } => {
                let answer = self
                    .caller
                    .complete(entry, model, prompt, MAX_TOKENS, *is_streamed)
                    .await
                    .map_err(|e| format!("{model}: {e}"))?;
                if answer.text != *expected || answer.model != *model {
                    return Err(format!("{model} answered as {}: {}", answer.model, answer.text));
                }
                let first_token = is_streamed.then_some(answer.first_token);
                Ok(Done { total: answer.total, first_token })
            }
            Kind::Lookup { path } => {
                let answer = self.caller.call(entry, Method::GET, path, None, "").await;
                let answer = answer.map_err(|e| format!("{path}: {e}"))?;
                match answer.status {
                    200 => Ok(Done { total: start.elapsed(), first_token: None }),
                    status => Err(format!("{path}: status {status}")),
                }
            }
            Kind::Once { path, key } => {
                let call = |entry| self.caller.call(entry, Method::POST, path, Some(key), "{}");
                let first = call(entry).await.map_err(|e| format!("{path} {key}: {e}"))?;
                let total = start.elapsed();
                let second = call(other).await.map_err(|e| format!("{path} {key} again: {e}"))?;
                if (first.status, &first.body) != (second.status, &second.body) {
                    return Err(format!("{path} {key}: the second answer differs"));
                }
                Ok(Done { total, first_token: None })
            }
        }
    }
}

fn completion(deployment: &Deployment, i: usize, rng: &mut StdRng) -> Kind {
    let adapter = rng.random_range(0..deployment.adapters);
    let version = rng.random_range(1..=2);
    let prompt = format!("case {i}: summarise the history");
    let adapter_ref = AdapterRef {
        adapter: deployment.adapter(adapter).parse().expect("a valid name"),
        version: version.to_string().parse().expect("a valid name"),
    };
    Kind::Completion {
        model: deployment.model(adapter, version),
        expected: expected_text(
            &deployment.base_model,
            &adapter_ref,
            &prompt,
            u64::from(MAX_TOKENS),
        ),
        prompt,
        is_streamed: rng.random(),
    }
}
