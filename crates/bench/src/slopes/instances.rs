//! Resource usage of whole processes, by the number of instances and of announcing targets.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use anyhow::ensure;
use serde_json::Value;
use shallotdrum_fakes::ProxyStats;
use shallotdrum_harness::{
    Cluster, ClusterConfig, Deployment, Operator, Targets, TargetsConfig, wait_until,
};
use shallotdrum_rpc::AdminApiClient;
use shallotdrum_types::Revision;

use super::{SEED, report::Report, usage};

/// Number of control replicas.
const REPLICAS: usize = 3;

/// Numbers of instances, each a process.
const INSTANCES: [usize; 4] = [4, 8, 16, 32];

/// Numbers of announcing targets, measured with `INSTANCES_WITH_TARGETS` instances.
const TARGETS: [usize; 4] = [0, 300, 600, 1_200];
const INSTANCES_WITH_TARGETS: usize = 16;

/// Numbers of adapters and subscribers for which the system is designed.
const ADAPTERS: usize = 75_000;
const SUBSCRIBERS: usize = 25_000;

/// Window over which CPU time and bytes are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Timeout of each setup step.
const TIMEOUT: Duration = Duration::from_secs(40);

/// Number of timed manifest changes per number of instances.
const CHANGES: u64 = 3;

/// Bytes per MiB.
const MIB: f64 = 1024.0 * 1024.0;

/// Path of the daemon binary, which is expected next to this program.
pub(crate) fn daemon_path() -> anyhow::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name("shallotdrumd");
    ensure!(
        path.exists(),
        "{} does not exist; build it with `cargo build --release -p shallotdrum-daemon`",
        path.display()
    );
    Ok(path)
}

/// Returns the index of the control leader.
pub(crate) async fn find_leader(operator: &Operator, cluster: &Cluster) -> anyhow::Result<usize> {
    for i in 0..cluster.replicas() {
        if operator.client(cluster.rpc_addr(i))?.replica_status().await?.is_leader {
            return Ok(i);
        }
    }
    anyhow::bail!("no replica leads")
}

/// Waits until exactly `count` targets are registered and all have owners.
pub(crate) async fn wait_for_targets(
    operator: &Operator,
    rpc: SocketAddr,
    count: usize,
) -> anyhow::Result<()> {
    let check_state = || async {
        let client = operator.client(rpc).map_err(|e| e.to_string())?;
        let rows = client.targets().await.map_err(|e| e.to_string())?;
        match rows.iter().filter(|row| row.owner.is_some()).count() {
            owned if owned == count && rows.len() == count => Ok(()),
            owned => Err(format!("{owned} of {} targets have an owner", rows.len())),
        }
    };
    wait_until(&format!("{count} targets are registered"), TIMEOUT, check_state).await?;
    Ok(())
}

/// Resource usage of a process: mean rates over a window, and memory at its end.
#[derive(Clone, Copy, Default)]
struct Usage {
    /// CPU usage in percent of a core.
    cpu: f64,
    /// Resident memory in bytes.
    resident: f64,
    /// Sent control traffic in bytes per second.
    sent: f64,
    /// Received control traffic in bytes per second.
    received: f64,
}

/// Resource usage by role.
struct Sample {
    leader: Usage,
    /// Mean over the replicas other than the leader.
    replica: Usage,
    /// Mean over the followers, the instances that are not control replicas.
    follower: Usage,
    /// Highest resident memory of a follower.
    follower_peak: f64,
}

/// Measures processes by the number of instances, then by the number of targets.
pub(crate) async fn measure(report: &mut Report) -> anyhow::Result<()> {
    report.section("Processes by number of instances: 75,000 adapters, 25,000 subscribers, idle");
    let deployment =
        Deployment { subscribers: SUBSCRIBERS, ..Deployment::registry() }.scaled(0, 0, ADAPTERS);
    let mut samples = Vec::new();
    let mut changed = Vec::new();
    let (mut times, mut accept, mut spread) = (Vec::new(), Vec::new(), Vec::new());
    for instances in INSTANCES {
        let mut cluster = start(&deployment, instances).await?;
        samples.push((instances as f64, sample(&mut cluster).await?));
        let change = time_changes(&deployment, &mut cluster).await?;
        times.push((instances as f64, change.in_force.as_secs_f64() * 1e3));
        accept.push((instances as f64, change.accepted.as_secs_f64() * 1e3));
        spread.push((instances as f64, change.accepted_to_in_force().as_secs_f64() * 1e3));
        changed.push((instances as f64, change.follower_resident / MIB));
    }
    report_samples(report, "instance", &samples);
    report.add("a follower's highest memory after 3 changes", "MiB", "instance", &changed);
    report.add("change sent until accepted, slowest of 3", "ms", "instance", &accept);
    report.add("accepted until reported by all, slowest of 3", "ms", "instance", &spread);
    report.add("change sent until reported by all, slowest of 3", "ms", "instance", &times);

    report.section("16 processes by number of announcing engines: 3,000 adapters");
    let deployment = Deployment::registry().scaled(0, 0, 3_000);
    let mut cluster = start(&deployment, INSTANCES_WITH_TARGETS).await?;
    let operator = Operator::default();
    let mut samples = Vec::new();
    let mut own_cpu = Vec::new();
    for count in TARGETS {
        let deployment = deployment.clone().scaled(count, 0, 3_000);
        let cfg = TargetsConfig { seed: SEED, ..TargetsConfig::default() };
        let targets = Targets::start(&deployment, &cfg, &cluster.entries()).await?;
        wait_for_targets(&operator, cluster.rpc_addr(0), count).await?;
        let before = usage::process_cpu(std::process::id())?;
        samples.push((count as f64, sample(&mut cluster).await?));
        let used = usage::process_cpu(std::process::id())?.saturating_sub(before);
        own_cpu.push((count as f64, used.as_secs_f64() / WINDOW.as_secs_f64() * 100.0));
        drop(targets);
    }
    report_samples(report, "target", &samples);
    report.add("this process with fake engines and proxies, CPU", "% core", "target", &own_cpu);
    Ok(())
}

async fn start(deployment: &Deployment, instances: usize) -> anyhow::Result<Cluster> {
    let cfg = ClusterConfig {
        instances,
        replicas: REPLICAS,
        seed: SEED,
        ..ClusterConfig::new(daemon_path()?)
    };
    let cluster = Cluster::start(deployment, cfg).await?;
    let operator = Operator::default();
    operator.wait_for_instances(cluster.rpc_addr(0), instances, TIMEOUT).await?;
    submit(&cluster, "set-up", 0, &deployment.manifest()).await?;
    wait_in_force(&cluster, Revision(1)).await?;
    Ok(cluster)
}

/// Submits a manifest; retries errors with the same submission id until `TIMEOUT`.
async fn submit(cluster: &Cluster, id: &str, base: u64, manifest: &Value) -> anyhow::Result<()> {
    let operator = Operator::default();
    let start = Instant::now();
    loop {
        match operator.submit(cluster.rpc_addr(0), id, base, manifest).await {
            Ok(_) => return Ok(()),
            Err(error) if start.elapsed() < TIMEOUT => {
                let after = start.elapsed().as_secs_f64();
                println!("  submission {id} sent again after {after:.1} s: {error}");
            }
            Err(error) => return Err(error.into()),
        }
    }
}

async fn wait_in_force(cluster: &Cluster, revision: Revision) -> anyhow::Result<()> {
    let operator = Operator::default();
    let check_state = || async {
        let rows = operator.instances(cluster.rpc_addr(0)).await.map_err(|e| e.to_string())?;
        match rows.iter().filter(|row| row.revision >= Some(revision)).count() {
            n if n == cluster.len() => Ok(()),
            n => Err(format!("in force on {n} of {} instances", cluster.len())),
        }
    };
    wait_until("the manifest is in force everywhere", TIMEOUT, check_state).await?;
    Ok(())
}

/// Times of the slowest change, and the memory after all changes.
struct ChangeTimes {
    /// Time from the submission until it is accepted.
    accepted: Duration,
    /// Time from the submission until every instance has reported the revision.
    in_force: Duration,
    /// Highest resident memory of a follower after all changes, in bytes.
    follower_resident: f64,
}

impl ChangeTimes {
    fn accepted_to_in_force(&self) -> Duration {
        self.in_force.saturating_sub(self.accepted)
    }
}

/// Times changes of one adapter. Instances report their revision when they renew their session,
/// every second.
async fn time_changes(
    deployment: &Deployment,
    cluster: &mut Cluster,
) -> anyhow::Result<ChangeTimes> {
    let mut manifest = deployment.manifest();
    let mut changes =
        ChangeTimes { accepted: Duration::ZERO, in_force: Duration::ZERO, follower_resident: 0.0 };
    for base in 1..=CHANGES {
        let adapter = deployment.adapter(base as usize);
        manifest["adapters"][&adapter]["current"] = "1".into();
        let start = Instant::now();
        let id = format!("change-{base}");
        submit(cluster, &id, base, &manifest).await?;
        let accepted = start.elapsed();
        wait_in_force(cluster, Revision(base + 1)).await?;
        let in_force = start.elapsed();
        if in_force > changes.in_force {
            changes.accepted = accepted;
            changes.in_force = in_force;
        }
    }
    for i in REPLICAS..cluster.len() {
        let pid = cluster.process(i)?.id();
        changes.follower_resident = changes.follower_resident.max(usage::resident(pid)?);
    }
    Ok(changes)
}

/// Measures resource usage over `WINDOW`.
async fn sample(cluster: &mut Cluster) -> anyhow::Result<Sample> {
    let leader = find_leader(&Operator::default(), cluster).await?;
    let mut cpu = Vec::new();
    for i in 0..cluster.len() {
        cpu.push(usage::process_cpu(cluster.process(i)?.id())?);
    }
    let bytes = (0..cluster.len()).map(|i| traffic(cluster, i)).collect::<Vec<_>>();
    let start = Instant::now();
    tokio::time::sleep(WINDOW).await;
    let seconds = start.elapsed().as_secs_f64();
    let mut usages = Vec::new();
    for i in 0..cluster.len() {
        let pid = cluster.process(i)?.id();
        let used = usage::process_cpu(pid)?.saturating_sub(cpu[i]).as_secs_f64();
        let (sent, received) = traffic(cluster, i);
        usages.push(Usage {
            cpu: used / seconds * 100.0,
            resident: usage::resident(pid)?,
            sent: (sent - bytes[i].0) as f64 / seconds,
            received: (received - bytes[i].1) as f64 / seconds,
        });
    }
    let replicas = (0..cluster.replicas()).filter(|i| *i != leader).map(|i| usages[i]);
    let followers = &usages[cluster.replicas()..];
    Ok(Sample {
        leader: usages[leader],
        replica: mean(&replicas.collect::<Vec<_>>()),
        follower: mean(followers),
        follower_peak: followers.iter().map(|usage| usage.resident).fold(0.0, f64::max),
    })
}

/// Bytes of control messages that an instance has sent and received, as counted by the proxies.
///
/// Messages to the RPC addresses of other instances are counted only at the receiver.
fn traffic(cluster: &Cluster, i: usize) -> (u64, u64) {
    let outgoing: Vec<ProxyStats> = cluster.control[i].iter().map(|proxy| proxy.stats()).collect();
    let mut incoming = vec![cluster.rpc[i].stats()];
    if i < cluster.replicas() {
        incoming.extend(cluster.control.iter().map(|to_replicas| to_replicas[i].stats()));
    }
    let to = |stats: &[ProxyStats]| stats.iter().map(|s| s.bytes_to_upstream).sum::<u64>();
    let from = |stats: &[ProxyStats]| stats.iter().map(|s| s.bytes_to_client).sum::<u64>();
    (to(&outgoing) + from(&incoming), from(&outgoing) + to(&incoming))
}

fn mean(usages: &[Usage]) -> Usage {
    let n = usages.len().max(1) as f64;
    let mean_of = |f: fn(&Usage) -> f64| usages.iter().map(f).sum::<f64>() / n;
    Usage {
        cpu: mean_of(|usage| usage.cpu),
        resident: mean_of(|usage| usage.resident),
        sent: mean_of(|usage| usage.sent),
        received: mean_of(|usage| usage.received),
    }
}

fn report_samples(report: &mut Report, per: &'static str, samples: &[(f64, Sample)]) {
    let mut add = |name: &str, unit, value: &dyn Fn(&Sample) -> f64| {
        let points: Vec<_> = samples.iter().map(|(size, sample)| (*size, value(sample))).collect();
        report.add(name, unit, per, &points);
    };
    type Role = fn(&Sample) -> Usage;
    let leader: Role = |s| s.leader;
    let replica: Role = |s| s.replica;
    let follower: Role = |s| s.follower;
    for (role, usage_of) in [("leader", leader), ("replica", replica), ("follower", follower)] {
        add(&format!("{role}, CPU"), "% core", &|s| usage_of(s).cpu);
        add(&format!("{role}, resident memory"), "MiB", &|s| usage_of(s).resident / MIB);
        add(&format!("{role}, sent"), "B/s", &|s| usage_of(s).sent);
        add(&format!("{role}, received"), "B/s", &|s| usage_of(s).received);
    }
    add("a follower's highest memory", "MiB", &|s| s.follower_peak / MIB);
}
