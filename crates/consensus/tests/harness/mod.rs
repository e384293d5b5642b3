//! Cluster of replicas in one process, with real files and a simulated network that can be
//! partitioned, frozen or lossy.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod power;

use std::{
    collections::{HashMap, HashSet},
    fs::File,
    io::{self, Write},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use shallotdrum_consensus::{
    Node, NodeConfig, ProposeError, Role, StartError, StateMachine, Timing, Transport,
    TransportError,
};
use shallotdrum_types::{InstanceId, LogIndex};
use tempfile::TempDir;

use power::{Disk, UnsyncedWrites};

/// Timeout of every wait; far above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// State machine that records all applied commands in order.
#[derive(Default)]
pub(crate) struct RecordingMachine {
    pub(crate) commands: Vec<(LogIndex, String)>,
    /// Time that applying a command takes the thread.
    apply_time: Duration,
}

impl StateMachine for RecordingMachine {
    type Command = String;
    type Reply = usize;
    type DecodeError = postcard::Error;

    fn encode(command: &String) -> Vec<u8> {
        postcard::to_stdvec(command).unwrap()
    }

    fn decode(bytes: &[u8]) -> Result<String, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    fn apply(&mut self, index: LogIndex, command: String) -> usize {
        std::thread::sleep(self.apply_time);
        self.commands.push((index, command));
        self.commands.len()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.commands).unwrap()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), postcard::Error> {
        self.commands = postcard::from_bytes(bytes)?;
        Ok(())
    }
}

pub(crate) fn id(n: usize) -> InstanceId {
    format!("n{n}").parse().unwrap()
}

/// State of the simulated network. Messages on cut and frozen links get no response and no error,
/// as in a real partition.
pub(crate) struct Network {
    nodes: HashMap<InstanceId, Node<RecordingMachine>>,
    /// Threads of the replicas that have one of their own.
    threads: HashMap<InstanceId, Thread>,
    cuts: HashSet<(InstanceId, InstanceId)>,
    frozen: HashSet<InstanceId>,
    loss: f64,
    /// Bytes per second at which each message is delivered, besides others.
    rate: Option<u32>,
    rng: StdRng,
    /// Number of calls per sender and receiver.
    calls: HashMap<(InstanceId, InstanceId), u64>,
}

/// Thread that runs all tasks of one replica, as a process with a single core does.
struct Thread {
    runtime: tokio::runtime::Handle,
    /// Ends the thread when it is dropped.
    _stop: tokio::sync::oneshot::Sender<()>,
}

impl Thread {
    fn start() -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let (handle, (stop, stopped)) =
            (runtime.handle().clone(), tokio::sync::oneshot::channel::<()>());
        // Ends with an error once the sender is dropped.
        std::thread::spawn(move || runtime.block_on(stopped).is_err());
        Self { runtime: handle, _stop: stop }
    }
}

type SharedNetwork = Arc<Mutex<Network>>;

struct NetworkTransport(InstanceId, SharedNetwork);

impl Transport for NetworkTransport {
    async fn call(&self, to: &InstanceId, message: Vec<u8>) -> Result<Vec<u8>, TransportError> {
        let NetworkTransport(from, net) = self;
        *net.lock().unwrap().calls.entry((from.clone(), to.clone())).or_default() += 1;
        let rate = net.lock().unwrap().rate;
        let transfer = rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(message.len() as f64 / f64::from(rate))
        });
        tokio::time::sleep(transfer).await;
        deliver(net, from, to).await;
        let node = net.lock().unwrap().nodes.get(to).cloned();
        let node =
            node.ok_or_else(|| TransportError { to: to.clone(), reason: "not running".into() })?;
        let thread = net.lock().unwrap().threads.get(to).map(|thread| thread.runtime.clone());
        let response = match thread {
            Some(thread) => {
                let handled = thread.spawn(async move { node.handle(message).await });
                handled
                    .await
                    .map_err(|e| TransportError { to: to.clone(), reason: e.to_string() })?
            }
            None => node.handle(message).await,
        };
        deliver(net, to, from).await;
        Ok(response)
    }
}

/// Delivers a message in one direction; never returns if the message is lost.
async fn deliver(net: &SharedNetwork, from: &InstanceId, to: &InstanceId) {
    loop {
        let (is_lost, is_frozen) = {
            let mut net = net.lock().unwrap();
            let loss = net.loss;
            let is_lost = loss > 0.0 && net.rng.random_bool(loss);
            let is_cut = net.cuts.contains(&(from.clone(), to.clone()));
            (is_lost || is_cut, net.frozen.contains(from) || net.frozen.contains(to))
        };
        if is_lost {
            return std::future::pending().await;
        }
        if !is_frozen {
            return;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Faults injected into the disk of one replica.
#[derive(Clone, Default)]
pub(crate) struct DiskFaults {
    pub(crate) fails: Arc<AtomicBool>,
    /// Writes are refused, after a part of the bytes.
    pub(crate) is_full: Arc<AtomicBool>,
    pub(crate) delay_ms: Arc<AtomicU64>,
}

impl DiskFaults {
    fn before_write(&self, path: &Path) -> io::Result<()> {
        if !self.is_full.load(Ordering::Relaxed) {
            return Ok(());
        }
        if path.exists() {
            File::options().append(true).open(path)?.write_all(&[0x55; 11])?;
        }
        Err(io::Error::from(io::ErrorKind::StorageFull))
    }

    fn before_sync(&self) -> io::Result<()> {
        std::thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed)));
        if self.fails.load(Ordering::Relaxed) {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }
}

pub(crate) struct Cluster {
    pub(crate) net: SharedNetwork,
    pub(crate) nodes: HashMap<usize, Node<RecordingMachine>>,
    pub(crate) disks: HashMap<usize, DiskFaults>,
    /// What a loss of power leaves of the files, by replica.
    power: Mutex<HashMap<usize, Arc<Disk>>>,
    dir: TempDir,
    initial: Vec<InstanceId>,
    pub(crate) snapshot_every: u64,
    pub(crate) retain_entries: u64,
    /// Time that applying a command takes replicas that start from now on.
    pub(crate) apply_time: Duration,
    /// Whether replicas that start from now on have a thread of their own.
    pub(crate) own_threads: bool,
}

impl Cluster {
    /// Creates a cluster of replicas 1 to `n` without starting them.
    pub(crate) fn new(n: usize) -> Self {
        let net = Network {
            nodes: HashMap::new(),
            threads: HashMap::new(),
            cuts: HashSet::new(),
            frozen: HashSet::new(),
            loss: 0.0,
            rate: None,
            rng: StdRng::seed_from_u64(0),
            calls: HashMap::new(),
        };
        Self {
            net: Arc::new(Mutex::new(net)),
            nodes: HashMap::new(),
            disks: HashMap::new(),
            power: Mutex::default(),
            dir: data_folder(),
            initial: (1..=n).map(id).collect(),
            snapshot_every: 10_000,
            retain_entries: 10_000,
            apply_time: Duration::ZERO,
            own_threads: false,
        }
    }

    /// Starts a cluster and waits until each replica has the first configuration. A replica that is
    /// disconnected earlier never campaigns, because it doesn't know the other voters.
    pub(crate) async fn started(n: usize) -> Self {
        let mut cluster = Self::new(n);
        cluster.start_all().await;
        let knows = |node: &Node<RecordingMachine>| node.status().members.is_some();
        wait_until("the first configuration", || cluster.nodes.values().all(knows)).await;
        cluster
    }

    pub(crate) async fn start_all(&mut self) {
        for n in 1..=self.initial.len() {
            self.start(n).await;
        }
    }

    pub(crate) fn config(&self, n: usize) -> NodeConfig {
        let mut cfg = NodeConfig::new(id(n), self.folder(n), self.initial.clone());
        cfg.timing = Timing {
            heartbeat: Duration::from_millis(30),
            election_min: Duration::from_millis(250),
            election_max: Duration::from_millis(500),
            call_timeout: Duration::from_millis(150),
            ..Timing::default()
        };
        cfg.snapshot_every = self.snapshot_every;
        cfg.retain_entries = self.retain_entries;
        let disk = self.disks.get(&n).cloned().unwrap_or_default();
        let power = self.power(n);
        let writes = disk.clone();
        cfg.before_write = Some(Arc::new(move |path| writes.before_write(path)));
        cfg.before_sync = Some(Arc::new(move |path| {
            disk.before_sync()?;
            power.sync(path)
        }));
        cfg
    }

    pub(crate) async fn start(&mut self, n: usize) {
        self.disks.insert(n, DiskFaults::default());
        let cfg = self.config(n);
        self.start_with(n, cfg).await.unwrap();
    }

    pub(crate) async fn start_with(&mut self, n: usize, cfg: NodeConfig) -> Result<(), StartError> {
        let link = NetworkTransport(id(n), self.net.clone());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let machine =
            RecordingMachine { apply_time: self.apply_time, ..RecordingMachine::default() };
        let started = Node::start(cfg, machine, link, log);
        let node = match self.own_threads {
            true => {
                let thread = Thread::start();
                let node = thread.runtime.spawn(started).await.unwrap()?;
                self.net.lock().unwrap().threads.insert(id(n), thread);
                node
            }
            false => started.await?,
        };
        self.net.lock().unwrap().nodes.insert(id(n), node.clone());
        self.nodes.insert(n, node);
        Ok(())
    }

    /// Stops a replica without a leadership transfer; only submitted writes are completed.
    pub(crate) async fn stop(&mut self, n: usize) {
        self.net.lock().unwrap().nodes.remove(&id(n));
        self.nodes.remove(&n).unwrap().shutdown().await;
    }

    /// Disk of a replica.
    pub(crate) fn power(&self, n: usize) -> Arc<Disk> {
        let mut power = self.power.lock().unwrap();
        power.entry(n).or_insert_with(|| Arc::new(Disk::new(self.folder(n)))).clone()
    }

    /// Cuts the power of some replicas, and restores their files as the loss of power left them.
    pub(crate) async fn lose_power(
        &mut self,
        replicas: &[usize],
        unsynced: UnsyncedWrites,
        rng: &mut StdRng,
    ) {
        for n in replicas {
            self.power(*n).cut_power();
        }
        for n in replicas {
            self.stop(*n).await;
            self.power(*n).restore(unsynced, rng);
        }
    }

    pub(crate) fn folder(&self, n: usize) -> PathBuf {
        self.dir.path().join(format!("n{n}"))
    }

    pub(crate) fn wipe(&self, n: usize) {
        std::fs::remove_dir_all(self.folder(n)).unwrap();
        self.power.lock().unwrap().remove(&n);
    }

    /// Path of the replica's current log file.
    pub(crate) fn log_file(&self, n: usize) -> PathBuf {
        let files = std::fs::read_dir(self.folder(n)).unwrap().map(|f| f.unwrap().path());
        files
            .filter(|p| p.file_name().unwrap().to_str().unwrap().starts_with("log-"))
            .max()
            .unwrap()
    }

    pub(crate) fn cut(&self, a: usize, b: usize) {
        self.net.lock().unwrap().cuts.extend([(id(a), id(b)), (id(b), id(a))]);
    }

    pub(crate) fn isolate(&self, n: usize) {
        (1..=self.initial.len()).filter(|&m| m != n).for_each(|m| self.cut(n, m));
    }

    pub(crate) fn heal(&self) {
        let mut net = self.net.lock().unwrap();
        net.cuts.clear();
        net.frozen.clear();
        net.loss = 0.0;
    }

    pub(crate) fn freeze(&self, n: usize) {
        self.net.lock().unwrap().frozen.insert(id(n));
    }

    /// Limits the rate of each message, in bytes per second.
    pub(crate) fn set_rate(&self, rate: u32) {
        self.net.lock().unwrap().rate = Some(rate);
    }

    pub(crate) fn set_loss(&self, probability: f64, seed: u64) {
        let mut net = self.net.lock().unwrap();
        (net.loss, net.rng) = (probability, StdRng::seed_from_u64(seed));
    }

    /// Number of calls so far from one replica to another.
    pub(crate) fn calls(&self, from: usize, to: usize) -> u64 {
        self.net.lock().unwrap().calls.get(&(id(from), id(to))).copied().unwrap_or(0)
    }

    /// Waits for a running leader with a valid lease.
    pub(crate) async fn leader(&self) -> usize {
        let is_stable_leader =
            |n: &Node<RecordingMachine>| n.status().role == Role::Leader && n.leader_lease_valid();
        wait_for("a leader with a valid lease", || {
            self.nodes.iter().find(|(_, node)| is_stable_leader(node)).map(|(n, _)| *n)
        })
        .await
    }

    /// Proposes a command to the leader until it is acknowledged; it may be committed more than
    /// once if the outcome of an attempt is unknown.
    pub(crate) async fn propose(&self, command: &str) {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            let node = &self.nodes[&self.leader().await];
            match node.propose(command.to_owned()).await {
                Ok(_) => return,
                Err(ProposeError::NotLeader { .. } | ProposeError::Unknown) => (),
                Err(e) => panic!("{command}: {e}"),
            }
        }
        panic!("{command} was not accepted within {WAIT_TIMEOUT:?}");
    }

    pub(crate) async fn propose_many(&self, name: &str, count: usize) {
        for i in 0..count {
            self.propose(&format!("{name}-{i}")).await;
        }
    }

    pub(crate) fn commands(&self, n: usize) -> Vec<(LogIndex, String)> {
        self.nodes[&n].with_state(|s| s.commands.clone())
    }

    /// Waits until the running replicas have applied the same log, and checks that it contains the
    /// commands.
    pub(crate) async fn check_converged(&self, expected: &[String]) {
        wait_for("equal states", || {
            let leader = self.nodes.values().map(Node::status).find(|s| s.role == Role::Leader)?;
            let all = self.nodes.values().all(|n| n.status().applied == leader.last_index);
            all.then_some(())
        })
        .await;
        let first = self.commands(*self.nodes.keys().next().unwrap());
        assert!(self.nodes.keys().all(|&n| self.commands(n) == first), "states differ");
        let held: HashSet<_> = first.iter().map(|(_, c)| c).collect();
        let lost: Vec<_> = expected.iter().filter(|c| !held.contains(c)).collect();
        assert!(lost.is_empty(), "acknowledged commands were lost: {lost:?}");
    }
}

pub(crate) fn command_names(name: &str, count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{name}-{i}")).collect()
}

/// Polls until the condition returns a value.
pub(crate) async fn wait_for<R>(what: &str, mut condition: impl FnMut() -> Option<R>) -> R {
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        if let Some(value) = condition() {
            return value;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("timed out after {WAIT_TIMEOUT:?} waiting for {what}");
}

/// Fails the test if the call doesn't complete in time.
pub(crate) async fn with_timeout<R>(call: impl Future<Output = R>) -> R {
    tokio::time::timeout(WAIT_TIMEOUT, call).await.expect("call timed out")
}

pub(crate) async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    wait_for(what, || condition().then_some(())).await;
}

/// Creates the folder for the replicas' files, in memory if the system has such a file system.
///
/// The tests use an election timeout of 250 ms, but their parallel syncs to one disk took up to
/// 0.8 s, so leaders lost leadership without a partition. Slow and failing disks are covered by
/// tests that inject these faults.
fn data_folder() -> TempDir {
    tempfile::tempdir_in("/dev/shm").or_else(|_| tempfile::tempdir()).unwrap()
}
