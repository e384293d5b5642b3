//! CPU time and size of single messages and calls between processes.
//!
//! Each kind of message is sent in growing numbers to idle processes. Their idle CPU usage is
//! measured first and subtracted; the slope of the rest over the number of messages is the cost of
//! one message.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::Context;
use hyper::Method;
use shallotdrum_control::{Command, NEWEST_FORMAT, Proposal};
use shallotdrum_engine::{AdapterStatus, Announcement, LoadReport, TargetKind};
use shallotdrum_fakes::FaultProxy;
use shallotdrum_harness::{
    Caller, Cluster, ClusterConfig, Deployment, Operator, Targets, TargetsConfig,
};
use shallotdrum_rpc::{AdminApiClient, PeerApiClient, RenewRequest};
use shallotdrum_types::{AdapterRef, LogIndex, Revision};
use tokio::task::JoinSet;

use super::{SEED, instances, report::Report, usage};

/// Number of instances; the first `REPLICAS` are control replicas.
const INSTANCES: usize = 4;
const REPLICAS: usize = 3;
/// Index of the instance that is not a control replica.
const FOLLOWER: usize = 3;

/// Numbers of messages, one per point of a series.
const COUNTS: [usize; 3] = [200, 400, 800];

/// Numbers of commands or calls, one per point of a series; each waits for a sync to disk.
const SYNCED_COUNTS: [usize; 3] = [100, 200, 400];

/// Maximum number of concurrent calls.
const CONCURRENT_CALLS: usize = 100;

/// Window over which the idle usage is measured.
const IDLE_WINDOW: Duration = Duration::from_secs(3);

/// Process whose CPU time is reported.
struct MonitoredProcess {
    name: &'static str,
    pid: u32,
    /// CPU usage when idle, as a fraction of a core.
    idle: f64,
}

/// Measures all kinds of messages.
pub(crate) async fn measure(report: &mut Report) -> anyhow::Result<()> {
    report.section("Messages: 4 processes, 3 of them replicas; CPU above idle use");
    let deployment = Deployment::registry().scaled(2, 1, 100);
    let cfg = ClusterConfig {
        instances: INSTANCES,
        replicas: REPLICAS,
        seed: SEED,
        ..ClusterConfig::new(instances::daemon_path()?)
    };
    let mut cluster = Cluster::start(&deployment, cfg).await?;
    let operator = Operator::default();
    cluster.submit_manifest(&deployment, Duration::from_secs(20)).await?;
    let cfg = TargetsConfig { seed: SEED, ..TargetsConfig::default() };
    let targets = Targets::start(&deployment, &cfg, &cluster.entries()).await?;
    instances::wait_for_targets(&operator, cluster.rpc_addr(0), 3).await?;
    wait_for_service(&deployment, &cluster).await?;

    let leader = instances::find_leader(&operator, &cluster).await?;
    let other_replica = (leader + 1) % REPLICAS;
    let leader_rpc = cluster.rpc_addr(leader);
    let monitored = measure_idle(report, &mut cluster, leader, other_replica).await?;

    let leader_client = operator.client(leader_rpc)?;
    let other_client = operator.client(cluster.rpc_addr(other_replica))?;
    let applied = leader_client.replica_status().await?.applied;

    let poll = async |_| {
        other_client.watch(applied, 0).await?;
        Ok(())
    };
    measure_cpu(report, &monitored[1..2], "follower poll, at the replica", &COUNTS, poll).await?;
    // Commands may have been committed since `applied` was read, so poll from an index that is not
    // reached yet.
    let future_index = LogIndex(applied.0 + 1_000_000);
    measure_bytes(report, "follower poll", cluster.rpc_addr(other_replica), async |addr| {
        operator.client(addr)?.watch(future_index, 0).await?;
        Ok(())
    })
    .await?;

    let rows = operator.instances(leader_rpc).await?;
    let session = rows.iter().find(|row| !row.is_replica).context("no follower")?.session;
    let request = || RenewRequest {
        session,
        revision: Revision(1),
        applied,
        permits: Default::default(),
        format: Some(NEWEST_FORMAT),
    };
    let renew = async |_| {
        leader_client.renew(request()).await?;
        Ok(())
    };
    measure_cpu(report, &monitored[..1], "session renewal, at the leader", &COUNTS, renew).await?;
    measure_bytes(report, "session renewal", leader_rpc, async |addr| {
        operator.client(addr)?.renew(request()).await?;
        Ok(())
    })
    .await?;

    let announcement = build_announcement(&operator, leader_rpc, &deployment, &targets).await?;
    let owner = owner_of(&operator, &cluster, &announcement).await?;
    let owner_rpc = cluster.rpc_addr(owner);
    let owner_client = operator.client(owner_rpc)?;
    let pid = cluster.process(owner)?.id();
    let owner_process = [MonitoredProcess { name: "owner", pid, idle: idle_usage(pid).await? }];
    let relay = async |_| {
        owner_client.target_announce(announcement.clone()).await?;
        Ok(())
    };
    measure_cpu(report, &owner_process, "relayed announcement, at the owner", &COUNTS, relay)
        .await?;
    measure_bytes(report, "relayed announcement", owner_rpc, async |addr| {
        operator.client(addr)?.target_announce(announcement.clone()).await?;
        Ok(())
    })
    .await?;

    let tick = async |_| {
        leader_client.propose(Proposal::Command(Command::Tick), None).await?;
        Ok(())
    };
    measure_cpu(report, &monitored[..2], "command for replicas", &SYNCED_COUNTS, tick).await?;
    let target = announcement.target.clone();
    let drain = async |i: usize| {
        leader_client.drain_target(target.clone(), i.is_multiple_of(2)).await?;
        Ok(())
    };
    measure_cpu(report, &monitored, "command for followers too", &SYNCED_COUNTS, drain).await?;

    measure_calls(report, &deployment, &cluster, leader_rpc, &monitored).await
}

/// Measures non-repeatable calls: CPU time of all processes together, duration, and log syncs.
async fn measure_calls(
    report: &mut Report,
    deployment: &Deployment,
    cluster: &Cluster,
    leader_rpc: SocketAddr,
    monitored: &[MonitoredProcess],
) -> anyhow::Result<()> {
    let caller = Caller::new(&deployment.key(0));
    let path = format!("/{}/certificates", deployment.service);
    let entries = cluster.entries();
    let operator = Operator::default();
    let client = operator.client(leader_rpc)?;
    let run = async |name: &str, calls: usize, concurrent: usize| {
        let mut running = JoinSet::new();
        for i in 0..calls {
            if running.len() >= concurrent {
                running.join_next().await.transpose()?;
            }
            let (caller, path) = (caller.clone(), path.clone());
            let (entry, key) = (entries[i % entries.len()], format!("{name}-{calls}-{i}"));
            running.spawn(async move {
                caller.call(entry, Method::POST, &path, Some(&key), "{}").await.map(drop)
            });
        }
        while let Some(result) = running.join_next().await {
            result??;
        }
        anyhow::Ok(())
    };

    let mut cpu = Vec::new();
    let mut time = Vec::new();
    for calls in SYNCED_COUNTS {
        let before = total_cpu(monitored)?;
        let start = Instant::now();
        run("cpu", calls, CONCURRENT_CALLS).await?;
        let elapsed = start.elapsed().as_secs_f64();
        let idle: f64 = monitored.iter().map(|process| process.idle).sum();
        cpu.push((calls as f64, (total_cpu(monitored)? - before - idle * elapsed) * 1e6));
        time.push((calls as f64, elapsed * 1e3));
    }
    report.add("non-repeatable call, leader, replica and follower", "us", "call", &cpu);
    report.add("non-repeatable call, time with 100 concurrent", "ms", "call", &time);
    let mut syncs = Vec::new();
    for concurrent in [1, 10, 100] {
        let before = client.replica_status().await?.syncs;
        run(&format!("sync-{concurrent}"), 100, concurrent).await?;
        let after = client.replica_status().await?.syncs;
        syncs.push((concurrent as f64, (after - before) as f64));
    }
    report.add("log syncs of the leader for 100 calls, by concurrency", "syncs", "call", &syncs);
    Ok(())
}

/// Reports the idle CPU time over growing windows, and the bytes of heartbeats.
async fn measure_idle(
    report: &mut Report,
    cluster: &mut Cluster,
    leader: usize,
    other_replica: usize,
) -> anyhow::Result<Vec<MonitoredProcess>> {
    let roles = [("leader", leader), ("replica", other_replica), ("follower", FOLLOWER)];
    let mut monitored = Vec::new();
    let mut starts = Vec::new();
    for (name, i) in roles {
        let pid = cluster.process(i)?.id();
        monitored.push(MonitoredProcess { name, pid, idle: 0.0 });
        starts.push(usage::process_cpu(pid)?);
    }
    let before = cluster.control[leader][other_replica].stats();
    let start = Instant::now();
    let mut cpu = vec![Vec::new(); roles.len()];
    let (mut sent, mut received) = (Vec::new(), Vec::new());
    for _ in 0..3 {
        tokio::time::sleep(IDLE_WINDOW / 3).await;
        let seconds = start.elapsed().as_secs_f64();
        for ((process, points), start) in monitored.iter().zip(&mut cpu).zip(&starts) {
            let used = (usage::process_cpu(process.pid)?.saturating_sub(*start)).as_secs_f64();
            points.push((seconds, used * 1e3));
        }
        let now = cluster.control[leader][other_replica].stats();
        sent.push((seconds, (now.bytes_to_upstream - before.bytes_to_upstream) as f64));
        received.push((seconds, (now.bytes_to_client - before.bytes_to_client) as f64));
    }
    for (process, points) in monitored.iter_mut().zip(&cpu) {
        let (seconds, used) = points.last().copied().unwrap_or((1.0, 0.0));
        process.idle = used / 1e3 / seconds;
        report.add(format!("idle CPU, {} (3 targets)", process.name), "ms", "s", points);
    }
    report.add("heartbeats to one replica (10 a second), sent", "B", "s", &sent);
    report.add("heartbeats to one replica (10 a second), answers", "B", "s", &received);
    Ok(monitored)
}

/// Sends growing numbers of messages sequentially and reports the CPU time.
async fn measure_cpu(
    report: &mut Report,
    monitored: &[MonitoredProcess],
    name: &str,
    counts: &[usize],
    send: impl AsyncFn(usize) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let own = std::process::id();
    let own_idle = idle_usage(own).await?;
    let sender = MonitoredProcess { name: "sender", pid: own, idle: own_idle };
    let monitored: Vec<_> = monitored.iter().chain([&sender]).collect();
    let mut points = vec![Vec::new(); monitored.len()];
    for count in counts {
        let before: Vec<_> = monitored
            .iter()
            .map(|process| usage::process_cpu(process.pid))
            .collect::<Result<_, _>>()?;
        let start = Instant::now();
        for i in 0..*count {
            send(i).await?;
        }
        let elapsed = start.elapsed().as_secs_f64();
        for ((process, points), before) in monitored.iter().zip(&mut points).zip(before) {
            let used = usage::process_cpu(process.pid)?.saturating_sub(before).as_secs_f64();
            points.push((*count as f64, (used - process.idle * elapsed) * 1e6));
        }
    }
    for (process, points) in monitored.iter().zip(&points) {
        report.add(format!("{name}: CPU of {}", process.name), "us", "message", points);
    }
    Ok(())
}

/// Sends growing numbers of messages through a proxy and reports the bytes.
async fn measure_bytes(
    report: &mut Report,
    name: &str,
    addr: SocketAddr,
    send: impl AsyncFn(SocketAddr) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let proxy = FaultProxy::start(addr, SEED)?;
    let (mut requests, mut responses) = (Vec::new(), Vec::new());
    let mut sent = 0;
    for count in [10, 20, 40] {
        while sent < count {
            send(proxy.addr()).await?;
            sent += 1;
        }
        let stats = proxy.stats();
        requests.push((count as f64, stats.bytes_to_upstream as f64));
        responses.push((count as f64, stats.bytes_to_client as f64));
    }
    report.add(format!("{name}: request"), "B", "message", &requests);
    report.add(format!("{name}: answer"), "B", "message", &responses);
    Ok(())
}

/// Measures the CPU usage over a second, as a fraction of a core.
async fn idle_usage(pid: u32) -> anyhow::Result<f64> {
    let before = usage::process_cpu(pid)?;
    let start = Instant::now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let used = usage::process_cpu(pid)?.saturating_sub(before);
    Ok(used.as_secs_f64() / start.elapsed().as_secs_f64())
}

/// Sum of the CPU times of all processes, in seconds.
fn total_cpu(monitored: &[MonitoredProcess]) -> anyhow::Result<f64> {
    let mut total = 0.0;
    for process in monitored {
        total += usage::process_cpu(process.pid)?.as_secs_f64();
    }
    Ok(total)
}

/// Builds an announcement of the first engine, with four loaded adapters.
async fn build_announcement(
    operator: &Operator,
    rpc: SocketAddr,
    deployment: &Deployment,
    targets: &Targets,
) -> anyhow::Result<Announcement> {
    let rows = operator.client(rpc)?.targets().await?;
    let is_engine = |kind: &TargetKind| matches!(kind, TargetKind::Engine { .. });
    let row = rows.into_iter().find(|row| is_engine(&row.kind)).context("no engine")?;
    let adapters = (0..4)
        .map(|i| {
            let adapter =
                AdapterRef { adapter: deployment.adapter(i).parse()?, version: "1".parse()? };
            anyhow::Ok(AdapterStatus { adapter, ready: true, running: 0 })
        })
        .collect::<Result<_, _>>()?;
    Ok(Announcement {
        target: row.target,
        incarnation: row.incarnation,
        addr: targets.engines[0].addr(),
        pool: deployment.engine_pool.clone(),
        region: row.region,
        zone: row.zone,
        kind: row.kind,
        software: None,
        load: LoadReport { adapters, ..LoadReport::default() },
    })
}

/// Returns the index of the instance that owns the target's group.
async fn owner_of(
    operator: &Operator,
    cluster: &Cluster,
    announcement: &Announcement,
) -> anyhow::Result<usize> {
    let rows = operator.client(cluster.rpc_addr(0))?.targets().await?;
    let row = rows.iter().find(|row| row.target == announcement.target);
    let owner = row.and_then(|row| row.owner.clone()).context("the target has no owner")?;
    let number = owner.as_str().rsplit('-').next().context("no number")?;
    Ok(number.parse()?)
}

async fn wait_for_service(deployment: &Deployment, cluster: &Cluster) -> anyhow::Result<()> {
    let caller = Caller::new(&deployment.key(0));
    let path = format!("/{}/status/1", deployment.service);
    for entry in cluster.entries() {
        let check_lookup = || async {
            let response = caller.call(entry, Method::GET, &path, None, "").await;
            response.map(drop).map_err(|e| e.to_string())
        };
        let timeout = Duration::from_secs(20);
        shallotdrum_harness::wait_until("a lookup is answered", timeout, check_lookup).await?;
    }
    Ok(())
}
