//! Data model of the settings; serialises to the format of the settings file.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, time::Duration};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{AvailabilityZone, ControlFormat, InstanceId, MilliCores, Region};

/// Default of `Settings::target_timeout_ms`. Targets announce themselves every second, so two lost
/// announcements are tolerated; with a check every 250 ms, detection still takes less than 3 s.
pub(crate) const DEFAULT_TARGET_TIMEOUT_MS: u64 = 2_700;

/// Default of `Settings::drain_delay_ms`: time for the platform's load balancer to notice that the
/// instance is not ready.
pub(crate) const DEFAULT_DRAIN_DELAY_MS: u64 = 2_000;

/// Part of the default grace period in which idle connections close (5 s) and the instance ends.
const CLOSE_ALLOWANCE_MS: u64 = 10_000;

/// Memory limit of an instance whose settings name none.
const DEFAULT_MEMORY_MB: u64 = 256;

/// Contents of the settings file.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Settings {
    /// Instance name; unique in the deployment and stable across restarts.
    pub instance: InstanceId,
    /// Region of the instance.
    pub region: Region,
    /// Availability zone of the instance.
    pub zone: AvailabilityZone,
    /// Listen addresses.
    pub addrs: Addrs,
    /// Addresses for other instances, if they differ from `addrs`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertise: Option<Addrs>,
    /// Control replicas of the deployment. If `seeds` is set, only those that this instance does
    /// not reach at the address that is their name, for example behind a port forwarding.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub replicas: Vec<ReplicaAddr>,
    /// Targets behind a port forwarding, by the address that they announce.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub forwarded_targets: BTreeMap<SocketAddr, SocketAddr>,
    /// Control replicas from which the others are discovered. Each replica's name is its IP
    /// address, and all use the RPC port of this instance.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub seeds: Vec<InstanceId>,
    /// Whether the seeds bootstrap the control log; set only for the first start of a deployment.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub forms_log: bool,
    /// Data folder; set on control replicas and nowhere else.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_dir: Option<PathBuf>,
    /// Processor time that the instance may use. Instances with more own more groups; without it in all
    /// settings, groups are spread evenly.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cores: Option<MilliCores>,
    /// Limits of the public listener.
    pub limits: Limits,
    /// Bound on the age of the last manifest confirmation.
    pub freshness: Freshness,
    /// Time after the acknowledgement of a route table from which no request may run by a key that it
    /// removed, in milliseconds. Requests with keys are refused while the table is not confirmed;
    /// without a value they are served.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revocation_ms: Option<u64>,
    /// Scheduling policy.
    pub policy: Policy,
    /// Time without an announcement after which a target gets no new requests, in milliseconds.
    pub target_timeout_ms: u64,
    /// Time that the listener stays open after the instance reports not ready, in milliseconds.
    pub drain_delay_ms: u64,
    /// Time after SIGTERM at which the platform kills the process, in milliseconds; by default long enough
    /// for a request with the longest deadline.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub grace_period_ms: Option<u64>,
    /// Log format and level.
    pub log: Log,
    /// Request headers that are forwarded to plain services, in lower case.
    pub forward_headers: Vec<String>,
    /// Newest format of the control log that this instance says it can read; by default the newest
    /// that its release reads. Keeps the return to an earlier release open during an upgrade.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_control_format: Option<ControlFormat>,
    /// Memory limit of the instance in megabytes, of which an eighth holds bodies for callers and targets
    /// that read slowly.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<u64>,
    /// Accepts port 0, for which the operating system assigns a port; for tests only.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub allow_port_zero: bool,
}

impl Settings {
    /// Addresses that other instances connect to.
    pub fn advertised(&self) -> Addrs {
        self.advertise.unwrap_or(self.addrs)
    }

    /// Settings of an instance that discovers the control replicas through seeds, with defaults.
    pub fn from_seeds(
        instance: InstanceId,
        region: Region,
        zone: AvailabilityZone,
        addrs: Addrs,
        seeds: Vec<InstanceId>,
    ) -> Self {
        Self {
            instance,
            region,
            zone,
            addrs,
            advertise: None,
            replicas: Vec::new(),
            forwarded_targets: BTreeMap::new(),
            seeds,
            forms_log: false,
            data_dir: None,
            cores: None,
            limits: Limits::default(),
            freshness: Freshness::default(),
            revocation_ms: None,
            policy: Policy::default(),
            target_timeout_ms: DEFAULT_TARGET_TIMEOUT_MS,
            drain_delay_ms: DEFAULT_DRAIN_DELAY_MS,
            grace_period_ms: None,
            log: Log::default(),
            forward_headers: Vec::new(),
            max_control_format: None,
            memory_mb: None,
            allow_port_zero: false,
        }
    }

    /// Time after SIGTERM in which the process must end. The default is that in which each request ends: the
    /// last one begins when the listener closes, has the longest deadline, and its caller reads slowly.
    pub fn grace_period(&self) -> Duration {
        let limits = &self.limits;
        let longest = self.drain_delay_ms + limits.max_deadline_ms + limits.idle_timeout_ms;
        Duration::from_millis(self.grace_period_ms.unwrap_or(longest + CLOSE_ALLOWANCE_MS))
    }

    /// Memory limit of the instance in bytes.
    pub fn memory_bytes(&self) -> usize {
        let megabytes = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        usize::try_from(megabytes.saturating_mul(1024 * 1024)).unwrap_or(usize::MAX)
    }

    /// Whether the instance is a control replica.
    pub fn is_replica(&self) -> bool {
        match self.seeds.is_empty() {
            true => self.replicas.iter().any(|replica| replica.instance == self.instance),
            false => self.data_dir.is_some(),
        }
    }
}

/// IP addresses and ports of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Addrs {
    /// HTTP for callers, targets and the platform.
    pub entry: SocketAddr,
    /// JSON-RPC for other instances and operators.
    pub rpc: SocketAddr,
    /// Requests that other instances forward.
    pub data: SocketAddr,
}

/// Address of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReplicaAddr {
    /// Instance name of the replica.
    pub instance: InstanceId,
    /// JSON-RPC address.
    pub rpc: SocketAddr,
}

/// Limits of the public listener and of the owner's queues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum size of a header section.
    pub max_header_bytes: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum wait for the next chunk of a request body, or for the caller to read response bytes.
    pub idle_timeout_ms: u64,
    /// Maximum wait for a complete header section, including that of the next request on a
    /// keep-alive connection.
    pub header_timeout_ms: u64,
    /// Deadline of requests that don't set one.
    pub default_deadline_ms: u64,
    /// Maximum deadline that a request may set.
    pub max_deadline_ms: u64,
    /// Maximum number of queued requests in one group.
    pub max_queued: usize,
    /// Maximum number of queued requests of one subscriber in one group.
    pub max_queued_per_subscriber: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // Four times the text of a 200,000-token prompt at about 5 bytes per token.
            max_body_bytes: 4 * 1024 * 1024,
            max_header_bytes: 16 * 1024,
            // Enough for 10,000 requests/s that take 0.4 s each.
            max_connections: 4096,
            idle_timeout_ms: 30_000,
            // Longer than the usual 60 s idle timeout of load balancers, so that the entry does not
            // close a connection just as the balancer reuses it.
            header_timeout_ms: 65_000,
            default_deadline_ms: 60_000,
            max_deadline_ms: 120_000,
            max_queued: 4096,
            max_queued_per_subscriber: 512,
        }
    }
}

/// Bound on the age of the last manifest confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Freshness {
    /// Age of the last confirmation from which the instance counts as stale.
    pub bound_ms: u64,
    /// Behaviour of a stale instance.
    pub when_stale: WhenStale,
}

impl Default for Freshness {
    fn default() -> Self {
        // A manifest has to be in force on every instance within 5 s.
        Self { bound_ms: 5_000, when_stale: WhenStale::Refuse }
    }
}

/// How a stale instance handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenStale {
    /// Refuses them and reports them as not run.
    #[default]
    Refuse,
    /// Serves them with the last known manifest.
    Serve,
}

/// Scheduling policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Policy {
    /// Weight of adapter load stalls against batch efficiency, from 0 to 1.
    pub stall_weight: f64,
    /// Scheduling algorithm.
    pub mode: PolicyMode,
    /// Maximum number of concurrent adapter loads per group.
    pub max_loads: usize,
    /// Whether each adapter load needs a permit from the control leader; if not, `max_loads` is the
    /// only limit.
    pub load_permits: bool,
    /// Prefill rate of an engine, in prompt tokens per millisecond. If set, the scheduler chooses
    /// targets and adapter loads by estimated times.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prefill_tokens_per_ms: Option<f64>,
    /// What decides the order and the place of requests.
    pub scheduling: Scheduling,
    /// Whether entries ask owners for places over one connection, and owners accept it.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub place_channel: bool,
    /// Time from the start of an instance for which requests wait until it can decide on them, in
    /// milliseconds; 0 to refuse them at once.
    #[serde(skip_serializing_if = "is_zero")]
    pub startup_wait_ms: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            stall_weight: 0.5,
            mode: PolicyMode::Adaptive,
            // The second load is chosen while the first is in progress, so that a permit of the
            // weight store is used as soon as it is granted. With more, loads would be chosen
            // on older information.
            max_loads: 2,
            load_permits: true,
            prefill_tokens_per_ms: None,
            scheduling: Scheduling::Shares,
            place_channel: false,
            startup_wait_ms: 0,
        }
    }
}

/// What decides the order and the place of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scheduling {
    /// Fair shares of the subscribers, and the configured speed of the targets.
    #[default]
    Shares,
    /// Urgency of the requests, and the measured pace of each target.
    Urgency,
    /// Like `Urgency` in a pool whose targets state how slow they are, else like `Shares`.
    WhenPaced,
}

/// Scheduling algorithm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyMode {
    /// Weighs load stalls against batch efficiency, as the design page describes.
    #[default]
    Adaptive,
    /// Round robin over targets, FIFO queue, LRU eviction and loading on demand.
    Baseline,
}

/// Log format and level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Log {
    /// Format of the lines.
    pub format: LogFormat,
    /// Minimum level that is written.
    pub level: LogLevel,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text.
    Terminal,
}

/// Minimum log level that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Failures that end the process.
    Critical,
    /// Failures that need an operator.
    Error,
    /// Conditions that an operator should know about.
    Warning,
    /// Normal state changes.
    #[default]
    Info,
    /// Details of single requests.
    Debug,
    /// All other details.
    Trace,
}

impl LogLevel {
    /// Name of the level in the settings file.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Critical => "critical",
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}
