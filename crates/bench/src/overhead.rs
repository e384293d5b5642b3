//! Latency overhead and throughput of one instance.
//!
//! Each request is sent twice by the same client code at the same time: directly to the fake target
//! and through the instance. The added latency is the difference between the quantiles of the two.

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

/// Duration of a batch step of the fake engine. Short, because a longer step would add the same
/// time to direct and proxied requests but widen their spread.
const STEP_MS: f64 = 1.0;

/// Maximum batch size; larger than the number of concurrent requests at the measured rates.
const MAX_BATCH: u32 = 512;

/// Concurrent requests when measuring the throughput: the concurrency that the fake service
/// announces.
const CONCURRENCY: usize = 64;

/// Request deadline.
const DEADLINE: Duration = Duration::from_secs(15);

/// Number of requests before each measurement; they open connections and load the adapter.
const WARM_UP_REQUESTS: usize = 200;

/// Sends requests directly to a target or through the instance.
#[derive(Clone)]
struct RequestSender {
    caller: Caller,
    engine: EngineClient,
    service: SocketAddr,
    engine_addr: SocketAddr,
    entry: SocketAddr,
    deployment: Arc<Deployment>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Lookup,
    Stream,
}

/// Latencies of direct or of proxied requests, in microseconds.
struct Latencies {
    first: Histogram<u64>,
    total: Histogram<u64>,
    failed: usize,
}

/// Measures and prints overhead and throughput for each kind of request.
pub(crate) async fn run(args: &Overhead) -> anyhow::Result<()> {
    let rate = args.rate.unwrap_or(1000.0);
    let seconds = args.seconds.unwrap_or(10);
    println!("commit {}", commit());
    println!(
        "one instance, one engine, one plain server; {rate} requests/s each, direct and \
         through the instance, {seconds} s"
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
    let sender = RequestSender {
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
    for kind in [RequestKind::Lookup, RequestKind::Stream] {
        measure(&sender, kind, rate, Duration::from_secs(seconds)).await?;
    }
    for kind in [RequestKind::Lookup, RequestKind::Stream] {
        let duration = Duration::from_secs(seconds);
        let direct = throughput(&sender, kind, true, duration).await?;
        let cpu_before = cpu_seconds(pid)?;
        let through = throughput(&sender, kind, false, duration).await?;
        let cpu = cpu_seconds(pid)? - cpu_before;
        println!(
            "{kind:?}: {direct:.0} requests/s direct, {through:.0} requests/s through the \
             instance, {CONCURRENCY} at a time; the instance used {:.1} us of CPU time for \
             each",
            1e6 * cpu / (through * duration.as_secs_f64())
        );
    }
    cluster.stop().await
}

async fn measure(
    sender: &RequestSender,
    kind: RequestKind,
    rate: f64,
    duration: Duration,
) -> anyhow::Result<()> {
    for _ in 0..WARM_UP_REQUESTS {
        sender.send(kind, false).await.context("request through the instance")?;
        sender.send(kind, true).await.context("direct request")?;
    }
    let mut running = JoinSet::new();
    let start = Instant::now();
    let count = (rate * duration.as_secs_f64()) as usize;
    for i in 0..count {
        sleep_until(start + Duration::from_secs_f64(i as f64 / rate)).await;
        // Alternate which of the two requests is sent first.
        for is_direct in [i % 2 == 0, i % 2 != 0] {
            let sender = sender.clone();
            running.spawn(async move { (is_direct, sender.send(kind, is_direct).await) });
        }
    }
    let mut direct = Latencies::new()?;
    let mut through = Latencies::new()?;
    for (is_direct, result) in running.join_all().await {
        let latencies = if is_direct { &mut direct } else { &mut through };
        match result {
            Ok((first, total)) => {
                latencies.first.record(first.as_micros() as u64)?;
                latencies.total.record(total.as_micros() as u64)?;
            }
            Err(_) => latencies.failed += 1,
        }
    }
    let failed = direct.failed + through.failed;
    print_added(&format!("{kind:?}, total"), &direct.total, &through.total, failed);
    if kind == RequestKind::Stream {
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

/// Responses per second in a closed loop with `CONCURRENCY` concurrent requests.
async fn throughput(
    sender: &RequestSender,
    kind: RequestKind,
    is_direct: bool,
    duration: Duration,
) -> anyhow::Result<f64> {
    let start = Instant::now();
    let mut running = JoinSet::new();
    for _ in 0..CONCURRENCY {
        let sender = sender.clone();
        running.spawn(async move {
            let mut responses = 0_u64;
            while start.elapsed() < duration {
                responses += u64::from(sender.send(kind, is_direct).await.is_ok());
            }
            responses
        });
    }
    let responses: u64 = running.join_all().await.into_iter().sum();
    ensure!(responses > 0, "no request was answered");
    Ok(responses as f64 / start.elapsed().as_secs_f64())
}

/// CPU time that a process has used, in seconds. It depends less on other load on the machine than
/// the throughput does.
fn cpu_seconds(pid: u32) -> anyhow::Result<f64> {
    /// Clock ticks per second in `/proc/PID/stat`; fixed for user space on Linux.
    const TICKS_PER_SECOND: f64 = 100.0;
    let path = format!("/proc/{pid}/stat");
    let stat = std::fs::read_to_string(&path).with_context(|| format!("cannot read {path}"))?;
    // The command name in parentheses may contain spaces; utime and stime are fields 14 and 15.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Ok(ticks / TICKS_PER_SECOND)
}

impl RequestSender {
    /// Sends one request and returns the latencies of the first token and of the whole response.
    async fn send(
        &self,
        kind: RequestKind,
        is_direct: bool,
    ) -> anyhow::Result<(Duration, Duration)> {
        let start = Instant::now();
        match (kind, is_direct) {
            (RequestKind::Lookup, true) => self.lookup_direct().await?,
            (RequestKind::Lookup, false) => {
                let path = format!("/{}/status/1", self.deployment.service);
                let response = self.caller.call(self.entry, Method::GET, &path, None, "").await?;
                ensure!(response.status == 200, "status {}", response.status);
            }
            (RequestKind::Stream, true) => return self.stream_direct(start).await,
            (RequestKind::Stream, false) => {
                let model = self.deployment.model(0, 2);
                let response =
                    self.caller.complete(self.entry, &model, "ready?", STREAM_TOKENS, true).await?;
                return Ok((response.first_token, response.total));
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
        anyhow::bail!("the stream ended without a final event")
    }
}

impl Latencies {
    fn new() -> anyhow::Result<Self> {
        Ok(Self { first: Histogram::new(3)?, total: Histogram::new(3)?, failed: 0 })
    }
}
