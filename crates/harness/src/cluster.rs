//! Cluster of instances as child processes, with fault proxies between them.
//!
//! Each instance connects to each control replica through a separate proxy, so that a single
//! direction between two of them can be cut. Forwarded requests and RPC calls to an owner pass
//! through one proxy per receiving instance.

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

/// Configuration of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Path of the daemon binary.
    pub program: PathBuf,
    /// Number of instances.
    pub instances: usize,
    /// Number of instances, starting with the first, that are control replicas.
    pub replicas: usize,
    /// Seed for the random faults of the proxies.
    pub seed: u64,
    /// JSON object merged recursively into the result of `instance_settings`.
    pub overrides: Value,
    /// Whether instances connect to each other through the fault proxies. Benchmarks disable this
    /// because proxies add to the measured latency.
    pub proxies: bool,
}

impl ClusterConfig {
    /// Eight instances, of which the first three are control replicas.
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

/// Running cluster; dropping it kills all instances.
pub struct Cluster {
    cfg: ClusterConfig,
    folder: TempDir,
    ports: Vec<InstancePorts>,
    processes: Vec<Option<Process>>,
    /// `control[i][r]` forwards connections from instance `i` to replica `r`.
    pub control: Vec<Vec<FaultProxy>>,
    /// Proxies in front of the RPC address of each instance, used by other instances.
    pub rpc: Vec<FaultProxy>,
    /// Proxies in front of the data address of each instance.
    pub data: Vec<FaultProxy>,
}

impl Cluster {
    /// Starts all instances without waiting until they are ready.
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

    /// Whether the cluster has no instances.
    pub fn is_empty(&self) -> bool {
        self.cfg.instances == 0
    }

    /// Number of control replicas.
    pub fn replicas(&self) -> usize {
        self.cfg.replicas
    }

    /// Starts an instance that was killed or stopped.
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

    /// Waits until an instance accepts connections, by which time it handles signals.
    pub async fn wait_until_listening(&self, i: usize, limit: Duration) -> anyhow::Result<()> {
        let addr = self.entry(i);
        let probe = || async move {
            tokio::net::TcpStream::connect(addr).await.map(drop).map_err(|e| e.to_string())
        };
        wait_until("the instance listens", limit, probe).await?;
        Ok(())
    }

    /// Kills an instance with SIGKILL if it is running.
    pub fn kill(&mut self, i: usize) -> anyhow::Result<()> {
        if let Some(mut process) = self.processes[i].take() {
            process.kill()?;
        }
        Ok(())
    }

    /// Stops an instance with SIGTERM if it is running; fails if it does not exit with status 0.
    pub async fn stop(&mut self, i: usize, limit: Duration) -> anyhow::Result<()> {
        let Some(mut process) = self.processes[i].take() else { return Ok(()) };
        process.sigterm()?;
        let status = process.wait(limit).await?;
        anyhow::ensure!(status.success(), "instance {i} failed ({status}): {}", process.output());
        Ok(())
    }

    /// Process of an instance; fails if it was killed or stopped.
    pub fn process(&mut self, i: usize) -> anyhow::Result<&mut Process> {
        self.processes[i].as_mut().with_context(|| format!("instance {i} is not running"))
    }

    /// Deletes the data folder of a stopped control replica.
    pub fn delete_data_dir(&self, i: usize) -> anyhow::Result<()> {
        Ok(std::fs::remove_dir_all(self.folder.path().join(format!("data-{i}")))?)
    }

    /// Stdout and stderr of an instance, over all its starts.
    pub fn output(&self, i: usize) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("output-{i}"))).unwrap_or_default()
    }

    /// Silently drops, in both directions, the traffic between an instance and the control replicas
    /// and on connections to its own RPC and data addresses.
    pub fn isolate(&self, i: usize) {
        self.for_each_proxy_of(i, FaultProxy::cut_both);
    }

    /// Silently drops the traffic between these control replicas and the others; all instances still
    /// reach every replica.
    pub fn split(&self, minority: &[usize]) {
        for i in 0..self.cfg.replicas {
            for r in 0..self.cfg.replicas {
                if minority.contains(&i) != minority.contains(&r) {
                    self.control[i][r].cut_both();
                }
            }
        }
    }

    /// Removes the faults between control replicas.
    pub fn heal_split(&self) {
        self.control[..self.cfg.replicas].iter().flatten().for_each(FaultProxy::heal);
    }

    /// Like `isolate`, but in one direction: drops what the instance sends if `outgoing`, otherwise
    /// what it receives.
    pub fn isolate_one_way(&self, i: usize, outgoing: bool) {
        // Directions to cut on connections that the instance opens, and on those that others open.
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

    /// Delays the traffic that `isolate` would drop, by `delay_ms` and up to `jitter_ms` at random.
    pub fn delay(&self, i: usize, delay_ms: u64, jitter_ms: u64) {
        self.for_each_proxy_of(i, |proxy| {
            proxy.configure(|settings| {
                for link in [&mut settings.to_upstream, &mut settings.to_client] {
                    (link.delay_ms, link.jitter_ms) = (delay_ms, jitter_ms);
                }
            });
        });
    }

    /// Removes the faults that `isolate`, `isolate_one_way` and `delay` added to an instance.
    pub fn heal(&self, i: usize) {
        self.for_each_proxy_of(i, FaultProxy::heal);
    }

    /// Entry address of an instance.
    pub fn entry(&self, i: usize) -> SocketAddr {
        self.ports[i].entry.addr()
    }

    /// Entry addresses of all instances.
    pub fn entries(&self) -> Vec<SocketAddr> {
        (0..self.len()).map(|i| self.entry(i)).collect()
    }

    /// RPC address of an instance for operators, without a proxy.
    pub fn rpc_addr(&self, i: usize) -> SocketAddr {
        self.ports[i].rpc.addr()
    }

    /// Waits until all instances have open sessions, then submits the deployment's manifest.
    pub async fn submit_manifest(
        &self,
        deployment: &Deployment,
        limit: Duration,
    ) -> anyhow::Result<()> {
        let operator = Operator::default();
        operator.wait_for_instances(self.rpc_addr(0), self.len(), limit).await?;
        operator.submit(self.rpc_addr(0), "set-up", 0, &deployment.manifest()).await?;
        Ok(())
    }

    fn for_each_proxy_of(&self, i: usize, change: impl Fn(&FaultProxy)) {
        self.control[i].iter().for_each(&change);
        change(&self.rpc[i]);
        change(&self.data[i]);
        if i < self.cfg.replicas {
            self.control.iter().for_each(|to_replicas| change(&to_replicas[i]));
        }
    }
}

impl Drop for Cluster {
    /// Keeps the output and data of a failed test for diagnosis.
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            eprintln!("cluster folder kept: {}", self.folder.path().display());
        }
    }
}

fn settings_path(folder: &Path, i: usize) -> PathBuf {
    folder.join(format!("settings-{i}.json"))
}

/// Merges `overrides` into `settings`, recursively for nested objects.
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
