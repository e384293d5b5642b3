//! A deployment with instances as processes and fake targets in this process.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use anyhow::{Context, ensure};
use serde_json::json;
use shallotdrum_harness::{
    Cluster, ClusterConfig, Deployment, Operator, Targets, TargetsConfig, wait_until,
    wait_until_served,
};
use shallotdrum_types::Revision;

/// Time for sessions, manifest and targets to be in place on a busy machine.
const SET_UP_LIMIT: Duration = Duration::from_secs(40);

/// Time for an instance to stop gracefully; the drain delay and requests in progress fit in.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// What to start.
pub(crate) struct BenchConfig {
    pub(crate) instances: usize,
    pub(crate) replicas: usize,
    pub(crate) mode: &'static str,
    /// Deadline of requests, which also bounds the time after the last arrival.
    pub(crate) deadline: Duration,
    pub(crate) seed: u64,
    pub(crate) targets: TargetsConfig,
}

/// Running deployment; its processes end with it.
pub(crate) struct BenchCluster {
    pub(crate) cluster: Cluster,
    pub(crate) targets: Targets,
    pub(crate) entries: Vec<SocketAddr>,
}

impl BenchCluster {
    /// Starts everything and waits until each entry answers.
    pub(crate) async fn start(deployment: &Deployment, cfg: &BenchConfig) -> anyhow::Result<Self> {
        let mut cluster_cfg = ClusterConfig::new(program()?);
        cluster_cfg.instances = cfg.instances;
        cluster_cfg.replicas = cfg.replicas;
        cluster_cfg.seed = cfg.seed;
        cluster_cfg.proxies = false;
        cluster_cfg.overrides = json!({
            "policy": { "mode": cfg.mode },
            "limits": { "default_deadline_ms": cfg.deadline.as_millis() as u64 },
        });
        let cluster = Cluster::start(deployment, cluster_cfg).await?;
        cluster.set_up(deployment, SET_UP_LIMIT).await?;
        Operator::default().wait_in_force(cluster.rpc_addr(0), Revision(1), SET_UP_LIMIT).await?;
        let entries = cluster.entries();
        let targets = Targets::start(deployment, &cfg.targets, &entries).await?;
        wait_until_served(deployment, &entries, SET_UP_LIMIT).await?;
        wait_for_all_targets(&cluster, deployment).await?;
        Ok(Self { cluster, targets, entries })
    }

    /// Stops all instances gracefully; fails if one doesn't end by itself.
    pub(crate) async fn stop(mut self) -> anyhow::Result<()> {
        for i in 0..self.cluster.len() {
            self.cluster.process(i)?.sigterm()?;
        }
        for i in 0..self.cluster.len() {
            let status = self.cluster.process(i)?.wait(STOP_LIMIT).await?;
            ensure!(status.success(), "instance {i} ended with {status}");
        }
        Ok(())
    }
}

/// The daemon next to this program.
fn program() -> anyhow::Result<PathBuf> {
    let program = std::env::current_exe()?.with_file_name("shallotdrumd");
    ensure!(
        program.exists(),
        "{} does not exist; build it first with `cargo build --release -p shallotdrum-daemon`",
        program.display()
    );
    Ok(program)
}

/// Waits until all targets are registered and have owners.
async fn wait_for_all_targets(cluster: &Cluster, deployment: &Deployment) -> anyhow::Result<()> {
    let operator = Operator::default();
    let wanted = deployment.engines + deployment.services;
    let look = || async {
        let client = operator.client(cluster.rpc_addr(0)).map_err(|e| e.to_string())?;
        let targets = shallotdrum_rpc::AdminApiClient::targets(&client).await;
        match targets.map_err(|e| e.to_string())?.len() {
            n if n >= wanted => Ok(()),
            n => Err(format!("{n} of {wanted} targets")),
        }
    };
    wait_until("all targets are registered", SET_UP_LIMIT, look).await.context("targets")?;
    Ok(())
}
