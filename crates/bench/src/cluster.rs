//! Deployment under test: instances as processes, fake targets in this process.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use anyhow::{Context, ensure};
use serde_json::json;
use shallotdrum_harness::{
    Cluster, ClusterConfig, Deployment, Operator, Targets, TargetsConfig, wait_until,
    wait_until_served,
};
use shallotdrum_types::Revision;

/// Timeout of each setup step, long enough for a busy machine.
const SETUP_TIMEOUT: Duration = Duration::from_secs(40);

/// Timeout of a graceful stop; covers the drain delay and requests in progress.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Size, policy and targets of a `BenchCluster`.
pub(crate) struct BenchConfig {
    pub(crate) instances: usize,
    pub(crate) replicas: usize,
    pub(crate) mode: &'static str,
    /// Default request deadline; also bounds how long a run continues after the last arrival.
    pub(crate) deadline: Duration,
    pub(crate) seed: u64,
    pub(crate) targets: TargetsConfig,
}

/// Running deployment; dropping it ends its processes.
pub(crate) struct BenchCluster {
    pub(crate) cluster: Cluster,
    pub(crate) targets: Targets,
    pub(crate) entries: Vec<SocketAddr>,
}

impl BenchCluster {
    /// Starts instances and targets, and waits until every entry serves requests.
    pub(crate) async fn start(deployment: &Deployment, cfg: &BenchConfig) -> anyhow::Result<Self> {
        let mut cluster_cfg = ClusterConfig::new(daemon_path()?);
        cluster_cfg.instances = cfg.instances;
        cluster_cfg.replicas = cfg.replicas;
        cluster_cfg.seed = cfg.seed;
        cluster_cfg.proxies = false;
        cluster_cfg.overrides = json!({
            "policy": { "mode": cfg.mode },
            "limits": { "default_deadline_ms": cfg.deadline.as_millis() as u64 },
        });
        let cluster = Cluster::start(deployment, cluster_cfg).await?;
        cluster.submit_manifest(deployment, SETUP_TIMEOUT).await?;
        Operator::default()
            .wait_for_revision(cluster.rpc_addr(0), Revision(1), SETUP_TIMEOUT)
            .await?;
        let entries = cluster.entries();
        let targets = Targets::start(deployment, &cfg.targets, &entries).await?;
        wait_until_served(deployment, &entries, SETUP_TIMEOUT).await?;
        wait_for_all_targets(&cluster, deployment).await?;
        Ok(Self { cluster, targets, entries })
    }

    /// Stops all instances gracefully; fails if one does not exit in time or exits with an error.
    pub(crate) async fn stop(mut self) -> anyhow::Result<()> {
        for i in 0..self.cluster.len() {
            self.cluster.process(i)?.sigterm()?;
        }
        for i in 0..self.cluster.len() {
            let status = self.cluster.process(i)?.wait(STOP_TIMEOUT).await?;
            ensure!(status.success(), "instance {i} ended with {status}");
        }
        Ok(())
    }
}

/// Path of the daemon binary, which is expected next to this program.
fn daemon_path() -> anyhow::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name("shallotdrumd");
    ensure!(
        path.exists(),
        "{} does not exist; build it first with `cargo build --release -p shallotdrum-daemon`",
        path.display()
    );
    Ok(path)
}

/// Waits until all targets are registered.
async fn wait_for_all_targets(cluster: &Cluster, deployment: &Deployment) -> anyhow::Result<()> {
    let operator = Operator::default();
    let expected = deployment.engines + deployment.services;
    let check_count = || async {
        let client = operator.client(cluster.rpc_addr(0)).map_err(|e| e.to_string())?;
        let targets = shallotdrum_rpc::AdminApiClient::targets(&client).await;
        match targets.map_err(|e| e.to_string())?.len() {
            n if n >= expected => Ok(()),
            n => Err(format!("{n} of {expected} targets")),
        }
    };
    wait_until("all targets are registered", SETUP_TIMEOUT, check_count)
        .await
        .context("targets")?;
    Ok(())
}
