//! Instances that run in this process, without child processes or proxies.

use std::net::SocketAddr;

use anyhow::Context;
use shallotdrum_daemon::{Instance, Listeners};
use shallotdrum_settings::Settings;
use tempfile::TempDir;

use crate::{Deployment, InstancePorts, instance_settings};

/// Instances that run in this process.
pub struct InProcessCluster {
    instances: Vec<Instance>,
    /// Entry address of each instance.
    pub entries: Vec<SocketAddr>,
    /// RPC address of each instance.
    pub rpcs: Vec<SocketAddr>,
    _folder: TempDir,
}

impl InProcessCluster {
    /// Starts instances, the first `replicas` of them as control replicas.
    pub async fn start(
        deployment: &Deployment,
        instances: usize,
        replicas: usize,
        log: &slog::Logger,
    ) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir().context("cannot create a data folder")?;
        let ports: Vec<_> =
            (0..instances).map(|_| InstancePorts::reserve()).collect::<Result<_, _>>()?;
        let replica_addrs: Vec<_> = ports[..replicas].iter().map(|p| p.rpc.addr()).collect();
        let mut running = Vec::new();
        for (i, ports) in ports.iter().enumerate() {
            let json = instance_settings(deployment, i, ports, &replica_addrs, folder.path());
            let settings = Settings::from_json(&json.to_string())?;
            let listeners = Listeners::open(&settings).await?;
            running.push(Instance::start(settings, listeners, log.clone()).await?);
        }
        Ok(Self {
            instances: running,
            entries: ports.iter().map(|p| p.entry.addr()).collect(),
            rpcs: ports.iter().map(|p| p.rpc.addr()).collect(),
            _folder: folder,
        })
    }

    /// Stops all instances gracefully and concurrently.
    pub async fn stop(self) {
        let mut stopping = tokio::task::JoinSet::new();
        for instance in self.instances {
            stopping.spawn(instance.stop());
        }
        stopping.join_all().await;
    }
}
