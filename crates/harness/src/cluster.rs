//! Instances as processes, with fault proxies on every path between them.
//!
//! Each instance reaches each control replica through a proxy of its own, so that one direction
//! of one pair can be cut. Forwarded requests and the RPC methods of an owner go through one
//! proxy in front of each instance.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::Context;
use serde_json::{Value, json};
use shallotdrum_fakes::{Direction, FaultProxy, Process};
use tempfile::TempDir;

use crate::{Deployment, InstancePorts, Operator, instance_settings, wait_until};

/// What to start.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Path of the daemon's program.
    pub program: PathBuf,
    /// Number of instances.
    pub instances: usize,
    /// Number of control replicas among them.
    pub replicas: usize,
    /// Seed of the proxies.
    pub seed: u64,
    /// Settings that replace those of `instance_settings`, by field.
    pub overrides: Value,
    /// Whether instances reach each other through the fault proxies; benchmarks go without, as a
    /// proxy adds to the latency that they measure.
    pub proxies: bool,
}

impl ClusterConfig {
    /// Eight instances, three of them control replicas.
    pub fn new(program: impl Into<PathBuf>) -> Self {
        Self {
            program: program.into(),
            instances: 8,
            replicas: 3,
            seed: 1,
            overrides: json!({}),
            proxies: true,
        }
    }
}

/// Running instances.
pub struct Cluster {
    cfg: ClusterConfig,
    folder: TempDir,
    ports: Vec<InstancePorts>,
    processes: Vec<Option<Process>>,
    /// `control[i][r]` carries what instance `i` sends to replica `r`.
    pub control: Vec<Vec<FaultProxy>>,
    /// In front of each instance's RPC address, for other instances.
    pub rpc: Vec<FaultProxy>,
    /// In front of each instance's data address.
    pub data: Vec<FaultProxy>,
}

impl Cluster {
    /// Starts the instances.
    pub async fn start(deployment: &Deployment, cfg: ClusterConfig) -> anyhow::Result<Self> {
        eprintln!("cluster seed {}", cfg.seed);
        let folder = tempfile::tempdir()?;
        let ports: Vec<_> =
            (0..cfg.instances).map(|_| InstancePorts::reserve()).collect::<Result<_, _>>()?;
        let proxy = |addr: SocketAddr| FaultProxy::start(addr, cfg.seed);
        let rpc: Vec<_> = ports.iter().map(|p| proxy(p.rpc.addr())).collect::<Result<_, _>>()?;
        let data: Vec<_> = ports.iter().map(|p| proxy(p.data.addr())).collect::<Result<_, _>>()?;
        let mut control = Vec::new();
        for i in 0..cfg.instances {
            let to_replicas: Vec<_> = ports[..cfg.replicas]
                .iter()
                .map(|p| proxy(p.rpc.addr()))
                .collect::<Result<_, _>>()?;
            let addrs: Vec<_> = (0..cfg.replicas)
                .map(|r| match cfg.proxies {
                    false => ports[r].rpc.addr(),
                    true if r == i => rpc[r].addr(),
                    true => to_replicas[r].addr(),
                })
                .collect();
            let mut settings = instance_settings(deployment, i, &ports[i], &addrs, folder.path());
            if cfg.proxies {
                settings["advertise"] = json!({
                    "entry": ports[i].entry.addr(), "rpc": rpc[i].addr(), "data": data[i].addr(),
                });
            }
            merge(&mut settings, &cfg.overrides);
            std::fs::write(settings_path(folder.path(), i), settings.to_string())?;
            control.push(to_replicas);
        }
        let mut cluster = Self { cfg, folder, ports, processes: Vec::new(), control, rpc, data };
        for i in 0..cluster.cfg.instances {
            cluster.processes.push(None);
            cluster.restart(i)?;
        }
        Ok(cluster)
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.cfg.instances
    }

    /// Whether there are no instances.
    pub fn is_empty(&self) -> bool {
        self.cfg.instances == 0
    }

    /// Number of control replicas.
    pub fn replicas(&self) -> usize {
        self.cfg.replicas
    }

    /// Starts an instance that is not running.
    pub fn restart(&mut self, i: usize) -> anyhow::Result<()> {
        let process = Process::start(
            &self.cfg.program,
            [settings_path(self.folder.path(), i)],
            &self.folder.path().join(format!("output-{i}")),
        )
        .with_context(|| format!("instance {i}"))?;
        self.processes[i] = Some(process);
        Ok(())
    }

    /// Waits until an instance accepts connections, which it does after it handles signals.
    pub async fn wait_listening(&self, i: usize, limit: Duration) -> anyhow::Result<()> {
        let addr = self.entry(i);
        let look = || async move {
            tokio::net::TcpStream::connect(addr).await.map(drop).map_err(|e| e.to_string())
        };
        wait_until("the instance listens", limit, look).await?;
        Ok(())
    }

    /// Kills an instance with SIGKILL.
    pub fn kill(&mut self, i: usize) -> anyhow::Result<()> {
        if let Some(mut process) = self.processes[i].take() {
            process.kill9()?;
        }
        Ok(())
    }

    /// Stops an instance with SIGTERM and waits for its end; fails if it does not exit with 0.
    pub async fn stop(&mut self, i: usize, limit: Duration) -> anyhow::Result<()> {
        let Some(mut process) = self.processes[i].take() else { return Ok(()) };
        process.sigterm()?;
        let status = process.wait(limit).await?;
        anyhow::ensure!(status.success(), "instance {i} ended with {status}: {}", process.output());
        Ok(())
    }

    /// Process of a running instance.
    pub fn process(&mut self, i: usize) -> anyhow::Result<&mut Process> {
        self.processes[i].as_mut().with_context(|| format!("instance {i} does not run"))
    }

    /// Deletes the data folder of a control replica that is not running.
    pub fn lose_data(&self, i: usize) -> anyhow::Result<()> {
        Ok(std::fs::remove_dir_all(self.folder.path().join(format!("data-{i}")))?)
    }

    /// Output of an instance over all its starts.
    pub fn output(&self, i: usize) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("output-{i}"))).unwrap_or_default()
    }

    /// Cuts all control traffic of an instance silently, in both directions.
    pub fn isolate(&self, i: usize) {
        self.for_each_path_of(i, FaultProxy::cut_both);
    }

    /// Cuts all control traffic of an instance silently in one direction: what it sends if
    /// `outgoing`, else what it receives.
    pub fn isolate_one_way(&self, i: usize, outgoing: bool) {
        let (own, others) = match outgoing {
            true => (Direction::ToUpstream, Direction::ToClient),
            false => (Direction::ToClient, Direction::ToUpstream),
        };
        self.control[i].iter().for_each(|proxy| proxy.cut(own));
        self.rpc[i].cut(others);
        self.data[i].cut(others);
        if i < self.cfg.replicas {
            self.control.iter().for_each(|to_replicas| to_replicas[i].cut(others));
        }
    }

    /// Delays all control traffic of an instance by a time and a random addition.
    pub fn delay(&self, i: usize, delay_ms: u64, jitter_ms: u64) {
        self.for_each_path_of(i, |proxy| {
            proxy.configure(|settings| {
                for link in [&mut settings.to_upstream, &mut settings.to_client] {
                    (link.delay_ms, link.jitter_ms) = (delay_ms, jitter_ms);
                }
            });
        });
    }

    /// Ends the cuts and delays of an instance.
    pub fn heal(&self, i: usize) {
        self.for_each_path_of(i, FaultProxy::heal);
    }

    /// Entry address of an instance.
    pub fn entry(&self, i: usize) -> SocketAddr {
        self.ports[i].entry.addr()
    }

    /// Entry addresses of all instances.
    pub fn entries(&self) -> Vec<SocketAddr> {
        (0..self.len()).map(|i| self.entry(i)).collect()
    }

    /// RPC address of an instance for operators, around all proxies.
    pub fn rpc_addr(&self, i: usize) -> SocketAddr {
        self.ports[i].rpc.addr()
    }

    /// Waits until all instances have sessions, then submits the deployment's manifest.
    pub async fn set_up(&self, deployment: &Deployment, limit: Duration) -> anyhow::Result<()> {
        let operator = Operator::default();
        operator.wait_for_instances(self.rpc_addr(0), self.len(), limit).await?;
        operator.submit(self.rpc_addr(0), "set-up", 0, &deployment.manifest()).await?;
        Ok(())
    }

    fn for_each_path_of(&self, i: usize, change: impl Fn(&FaultProxy)) {
        self.control[i].iter().for_each(&change);
        change(&self.rpc[i]);
        change(&self.data[i]);
        if i < self.cfg.replicas {
            self.control.iter().for_each(|to_replicas| change(&to_replicas[i]));
        }
    }
}

impl Drop for Cluster {
    /// Keeps the outputs and data of a failed test, so that the failure can be traced.
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            eprintln!("folder of the cluster kept: {}", self.folder.path().display());
        }
    }
}

fn settings_path(folder: &Path, i: usize) -> PathBuf {
    folder.join(format!("settings-{i}.json"))
}

/// Replaces fields of an object, those of nested objects one by one.
fn merge(settings: &mut Value, overrides: &Value) {
    match (settings, overrides) {
        (Value::Object(settings), Value::Object(overrides)) => {
            for (name, value) in overrides {
                merge(settings.entry(name.clone()).or_insert(Value::Null), value);
            }
        }
        (settings, overrides) => *settings = overrides.clone(),
    }
}
