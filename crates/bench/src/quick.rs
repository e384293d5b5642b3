//! Quick run: small deployments of both organisations, in this process.
//!
//! Each completion is compared with the text that the requested adapter and version generates. Each
//! non-repeatable call is sent twice and must have run once.

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
    Caller, Deployment, InProcessCluster, Operator, Targets, TargetsConfig, wait_until_served,
};
use shallotdrum_types::{AdapterRef, Revision};
use tokio::task::JoinSet;

/// Number of instances per deployment; the first `REPLICAS` are control replicas.
const INSTANCES: usize = 4;
const REPLICAS: usize = 3;

/// Timeout of each setup step.
const SETUP_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of adapters, each in two versions, which together fill the slots of three engines.
const ADAPTERS: usize = 6;

/// Tokens per completion.
const MAX_TOKENS: u32 = 16;

/// Maximum number of concurrent requests.
const CONCURRENCY: usize = 24;

/// One in this many requests calls the plain service.
const SERVICE_EVERY: usize = 10;

/// Runs the load on both deployments, prints a table and fails if any response is wrong.
pub(crate) async fn run(requests: usize, seed: u64, log: &slog::Logger) -> anyhow::Result<()> {
    println!("seed {seed}, {requests} requests for each deployment, {INSTANCES} instances");
    println!(
        "{:<12} {:>8} {:>6} {:>12} {:>12} {:>12} {:>10}",
        "deployment", "answered", "wrong", "p50 total", "p99 total", "p99 first", "in force"
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
            row.answered,
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
    ensure!(wrong == 0, "{wrong} responses are wrong");
    Ok(())
}

struct Row {
    answered: usize,
    wrong: Vec<String>,
    /// Latency of the whole response, in milliseconds.
    total: Histogram<u64>,
    /// Latency of the first token, in milliseconds.
    first_token: Histogram<u64>,
    /// Time from the submission of the manifest until all instances have it in force.
    in_force: Duration,
}

async fn run_deployment(
    deployment: &Deployment,
    requests: usize,
    seed: u64,
    log: &slog::Logger,
) -> anyhow::Result<Row> {
    let cluster = InProcessCluster::start(deployment, INSTANCES, REPLICAS, log).await?;
    let operator = Operator::default();
    operator.wait_for_instances(cluster.rpcs[0], INSTANCES, SETUP_TIMEOUT).await?;
    let start = Instant::now();
    operator.submit(cluster.rpcs[0], "quick", 0, &deployment.manifest()).await?;
    operator.wait_for_revision(cluster.rpcs[0], Revision(1), SETUP_TIMEOUT).await?;
    let in_force = start.elapsed();

    let cfg = TargetsConfig { seed, ..TargetsConfig::default() };
    let targets = Targets::start(deployment, &cfg, &cluster.entries).await?;
    wait_until_served(deployment, &cluster.entries, SETUP_TIMEOUT).await?;

    let mut row = Row {
        answered: 0,
        wrong: Vec::new(),
        total: Histogram::new(3)?,
        first_token: Histogram::new(3)?,
        in_force,
    };
    let mut rng = StdRng::seed_from_u64(seed);
    let mut running = JoinSet::new();
    for i in 0..requests {
        if running.len() >= CONCURRENCY {
            record_next_result(&mut running, &mut row).await?;
        }
        let request = Request::new(deployment, &cluster.entries, i, &mut rng);
        running.spawn(request.run());
    }
    while !running.is_empty() {
        record_next_result(&mut running, &mut row).await?;
    }
    check_executions(&targets, &mut row);
    cluster.stop().await;
    Ok(row)
}

async fn record_next_result(
    running: &mut JoinSet<Result<RequestLatency, String>>,
    row: &mut Row,
) -> anyhow::Result<()> {
    let Some(result) = running.join_next().await else { return Ok(()) };
    match result? {
        Ok(done) => {
            row.answered += 1;
            row.total.record(done.total.as_millis() as u64)?;
            if let Some(first_token) = done.first_token {
                row.first_token.record(first_token.as_millis() as u64)?;
            }
        }
        Err(problem) => row.wrong.push(problem),
    }
    Ok(())
}

/// Checks that non-repeatable calls ran once and that engines saw no protocol violation.
fn check_executions(targets: &Targets, row: &mut Row) {
    for service in &targets.services {
        for (key, count) in service.stats().repeated_keys() {
            row.wrong.push(format!("call with key {key} ran {count} times"));
        }
    }
    for engine in &targets.engines {
        for violation in engine.stats().violations {
            row.wrong.push(format!("protocol violation at an engine: {violation:?}"));
        }
    }
}

/// One request of the load, with the entries that it may be sent to.
struct Request {
    caller: Caller,
    entries: [SocketAddr; 2],
    kind: RequestKind,
}

enum RequestKind {
    Completion { model: String, expected: String, prompt: String, is_streamed: bool },
    Lookup { path: String },
    NonRepeatableCall { path: String, key: String },
}

struct RequestLatency {
    total: Duration,
    first_token: Option<Duration>,
}

impl Request {
    fn new(deployment: &Deployment, entries: &[SocketAddr], i: usize, rng: &mut StdRng) -> Self {
        let subscriber = rng.random_range(0..deployment.subscribers);
        let kind = match i % SERVICE_EVERY {
            0 if i.is_multiple_of(2 * SERVICE_EVERY) => {
                RequestKind::Lookup { path: format!("/{}/status/{i}", deployment.service) }
            }
            0 => RequestKind::NonRepeatableCall {
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

    async fn run(self) -> Result<RequestLatency, String> {
        let start = Instant::now();
        let [entry, other] = self.entries;
        match &self.kind {
            RequestKind::Completion { model, expected, prompt, is_streamed } => {
                let response = self
                    .caller
                    .complete(entry, model, prompt, MAX_TOKENS, *is_streamed)
                    .await
                    .map_err(|e| format!("{model}: {e}"))?;
                if response.text != *expected || response.model != *model {
                    return Err(format!(
                        "{model} answered as {}: {}",
                        response.model, response.text
                    ));
                }
                let first_token = is_streamed.then_some(response.first_token);
                Ok(RequestLatency { total: response.total, first_token })
            }
            RequestKind::Lookup { path } => {
                let response = self.caller.call(entry, Method::GET, path, None, "").await;
                let response = response.map_err(|e| format!("{path}: {e}"))?;
                match response.status {
                    200 => Ok(RequestLatency { total: start.elapsed(), first_token: None }),
                    status => Err(format!("{path}: status {status}")),
                }
            }
            RequestKind::NonRepeatableCall { path, key } => {
                let call = |entry| self.caller.call(entry, Method::POST, path, Some(key), "{}");
                let first = call(entry).await.map_err(|e| format!("{path} {key}: {e}"))?;
                let total = start.elapsed();
                let second =
                    call(other).await.map_err(|e| format!("{path} {key}, repeated: {e}"))?;
                if (first.status, &first.body) != (second.status, &second.body) {
                    return Err(format!(
                        "{path} {key}: the repeated call got a different response"
                    ));
                }
                Ok(RequestLatency { total, first_token: None })
            }
        }
    }
}

fn completion(deployment: &Deployment, i: usize, rng: &mut StdRng) -> RequestKind {
    let adapter = rng.random_range(0..deployment.adapters);
    let version = rng.random_range(1..=2);
    let prompt = format!("case {i}: summarise the history");
    let adapter_ref = AdapterRef {
        adapter: deployment.adapter(adapter).parse().expect("a valid name"),
        version: version.to_string().parse().expect("a valid name"),
    };
    RequestKind::Completion {
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
