//! What one instance adds to the time of a request, and how many requests it answers.
//!
//! Each request is sent twice, straight to the fake target and through the instance, by the same
//! client code at the same time. The added time is the difference of the two ways' quantiles.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, ensure};
use hdrhistogram::Histogram;
use hyper::Method;
use shallotdrum_engine::{ClientTimeouts, CompletionRequest, EngineClient, EngineEvent, Priority};
use shallotdrum_fakes::EngineSettings;
use shallotdrum_harness::{Caller, Deployment, TargetsConfig};
use shallotdrum_types::AdapterRef;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::{
    cluster::{BenchCluster, BenchConfig},
    flags::Overhead,
    policy::commit,
};

/// Tokens of the measured streams.
const STREAM_TOKENS: u32 = 4;

/// Time of a batch step; short, as it adds to both ways alike but widens their spread.
const STEP_MS: f64 = 1.0;

/// Requests that are batched; above what is in progress at the measured rates.
const MAX_BATCH: u32 = 512;

/// Requests in progress at a time when the highest rate is looked for: what the fake service
/// announces to serve at a time.
const CONCURRENCY: usize = 64;

/// Deadline of requests.
const DEADLINE: Duration = Duration::from_secs(15);

/// Requests before each measurement, which open connections and load the adapter.
const WARM_UP_REQUESTS: usize = 200;

/// Sends one request on one of the two ways.
#[derive(Clone)]
struct Way {
    caller: Caller,
    engine: EngineClient,
    service: SocketAddr,
    engine_addr: SocketAddr,
    entry: SocketAddr,
    deployment: Arc<Deployment>,
}

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Lookup,
    Stream,
}

/// Times of one way, in microseconds.
struct Times {
    first: Histogram<u64>,
    total: Histogram<u64>,
    failed: usize,
}

/// Runs all measurements.
pub(crate) async fn run(args: &Overhead) -> anyhow::Result<()> {
    let rate = args.rate.unwrap_or(1000.0);
    let seconds = args.seconds.unwrap_or(10);
    println!("commit {}", commit());
    println!(
        "one instance, one engine, one plain server; {rate} requests/s on each way, {seconds} s"
    );
    let deployment = Deployment::registry().scaled(1, 1, 4);
    let targets = TargetsConfig {
        max_batch: MAX_BATCH,
        engine: EngineSettings {
            step_base_ms: STEP_MS,
            step_per_sequence_ms: 0.0,
            prefill_ms_per_token: 0.0,
            ..EngineSettings::default()
        },
        ..TargetsConfig::default()
    };
    let cfg = BenchConfig {
        instances: 1,
        replicas: 1,
        mode: "adaptive",
        deadline: DEADLINE,
        seed: 1,
        targets,
    };
    let mut cluster = BenchCluster::start(&deployment, &cfg).await?;
    let pid = cluster.cluster.process(0)?.id();
    let way = Way {
        caller: Caller::new(&deployment.key(0)),
        engine: EngineClient::new(ClientTimeouts::default()),
        service: cluster.targets.services[0].addr(),
        engine_addr: cluster.targets.engines[0].addr(),
        entry: cluster.entries[0],
        deployment: Arc::new(deployment),
    };
    println!(
        "{:<22} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>8}",
        "time in ms",
        "direct50",
        "through50",
        "added50",
        "direct99",
        "through99",
        "added99",
        "failed"
    );
    for kind in [Kind::Lookup, Kind::Stream] {
        measure(&way, kind, rate, Duration::from_secs(seconds)).await?;
    }
    for kind in [Kind::Lookup, Kind::Stream] {
        let time = Duration::from_secs(seconds);
        let direct = highest_rate(&way, kind, true, time).await?;
        let cpu_before = cpu_seconds(pid)?;
        let through = highest_rate(&way, kind, false, time).await?;
        let cpu = cpu_seconds(pid)? - cpu_before;
        println!(
            "{kind:?}: {direct:.0} requests/s direct, {through:.0} requests/s through the \
             instance, {CONCURRENCY} at a time; the instance used {:.1} us of processor time for \
             each",
            1e6 * cpu / (through * time.as_secs_f64())
        );
    }
    cluster.stop().await
}

async fn measure(way: &Way, kind: Kind, rate: f64, time: Duration) -> anyhow::Result<()> {
    for _ in 0..WARM_UP_REQUESTS {
        way.send(kind, false).await.context("request through the instance")?;
        way.send(kind, true).await.context("direct request")?;
    }
    let mut running = JoinSet::new();
    let start = Instant::now();
    let count = (rate * time.as_secs_f64()) as usize;
    for i in 0..count {
        sleep_until(start + Duration::from_secs_f64(i as f64 / rate)).await;
        // Which way comes first alternates.
        for is_direct in [i % 2 == 0, i % 2 != 0] {
            let way = way.clone();
            running.spawn(async move { (is_direct, way.send(kind, is_direct).await) });
        }
    }
    let mut direct = Times::new()?;
    let mut through = Times::new()?;
    for (is_direct, result) in running.join_all().await {
        let times = if is_direct { &mut direct } else { &mut through };
        match result {
            Ok((first, total)) => {
                times.first.record(first.as_micros() as u64)?;
                times.total.record(total.as_micros() as u64)?;
            }
            Err(_) => times.failed += 1,
        }
    }
    let failed = direct.failed + through.failed;
    print_added(&format!("{kind:?}, total"), &direct.total, &through.total, failed);
    if kind == Kind::Stream {
        print_added("Stream, first token", &direct.first, &through.first, failed);
    }
    Ok(())
}

fn print_added(name: &str, direct: &Histogram<u64>, through: &Histogram<u64>, failed: usize) {
    let ms = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1000.0;
    let cells: Vec<String> = [0.5, 0.99]
        .into_iter()
        .flat_map(|q| [ms(direct, q), ms(through, q), ms(through, q) - ms(direct, q)])
        .map(|value| format!("{value:>10.3}"))
        .collect();
    println!("{name:<22} {} {failed:>8}", cells.join(" "));
}

/// Answers in a second when each answer is followed by another request at once.
async fn highest_rate(
    way: &Way,
    kind: Kind,
    is_direct: bool,
    time: Duration,
) -> anyhow::Result<f64> {
    let start = Instant::now();
    let mut running = JoinSet::new();
    for _ in 0..CONCURRENCY {
        let way = way.clone();
        running.spawn(async move {
            let mut answers = 0_u64;
            while start.elapsed() < time {
                answers += u64::from(way.send(kind, is_direct).await.is_ok());
            }
            answers
        });
    }
    let answers: u64 = running.join_all().await.into_iter().sum();
    ensure!(answers > 0, "no request was answered");
    Ok(answers as f64 / start.elapsed().as_secs_f64())
}

/// Processor time that a process has used; depends less on other load of the machine than the
/// requests in a second do.
fn cpu_seconds(pid: u32) -> anyhow::Result<f64> {
    /// Unit of the times in `/proc/PID/stat`, fixed for user space on Linux.
    const TICKS_PER_SECOND: f64 = 100.0;
    let path = format!("/proc/{pid}/stat");
    let stat = std::fs::read_to_string(&path).with_context(|| format!("cannot read {path}"))?;
    // The name in parentheses may hold spaces; user and system time are fields 14 and 15.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Ok(ticks / TICKS_PER_SECOND)
}

impl Way {
    /// Returns the times to the first token and to the end.
    async fn send(&self, kind: Kind, is_direct: bool) -> anyhow::Result<(Duration, Duration)> {
        let start = Instant::now();
        match (kind, is_direct) {
            (Kind::Lookup, true) => self.lookup_direct().await?,
            (Kind::Lookup, false) => {
                let path = format!("/{}/status/1", self.deployment.service);
                let answer = self.caller.call(self.entry, Method::GET, &path, None, "").await?;
                ensure!(answer.status == 200, "status {}", answer.status);
            }
            (Kind::Stream, true) => return self.stream_direct(start).await,
            (Kind::Stream, false) => {
                let model = self.deployment.model(0, 2);
                let answer =
                    self.caller.complete(self.entry, &model, "ready?", STREAM_TOKENS, true).await?;
                return Ok((answer.first_token, answer.total));
            }
        }
        Ok((start.elapsed(), start.elapsed()))
    }

    async fn lookup_direct(&self) -> anyhow::Result<()> {
        let req = self.caller.request(self.service, Method::GET, "/status/1");
        let res = self.caller.send(req.body(Default::default())?).await?;
        ensure!(res.status() == 200, "status {}", res.status());
        http_body_util::BodyExt::collect(res.into_body()).await?;
        Ok(())
    }

    async fn stream_direct(&self, start: Instant) -> anyhow::Result<(Duration, Duration)> {
        let adapter =
            AdapterRef { adapter: self.deployment.adapter(0).parse()?, version: "2".parse()? };
        let request = CompletionRequest {
            request: format!("direct-{:x}", rand::random::<u128>()).parse()?,
            base_model: self.deployment.base_model.clone(),
            adapter,
            prompt: "ready?".to_owned(),
            max_tokens: STREAM_TOKENS,
            temperature: 1.0,
            stop: Vec::new(),
            seed: None,
            priority: Priority::default(),
            deadline_ms: DEADLINE.as_millis() as u64,
            resume: None,
        };
        let mut stream = self.engine.generate(self.engine_addr, &request).await?;
        let mut first = None;
        while let Some(event) = stream.next().await {
            match event? {
                EngineEvent::Chunk(_) => {
                    first.get_or_insert(start.elapsed());
                }
                EngineEvent::End(_) => {
                    return Ok((first.unwrap_or(start.elapsed()), start.elapsed()));
                }
            }
        }
        anyhow::bail!("the stream ended early")
    }
}

impl Times {
    fn new() -> anyhow::Result<Self> {
        Ok(Self { first: Histogram::new(3)?, total: Histogram::new(3)?, failed: 0 })
    }
}
