//! Data model of the settings, serialised in the form of the file.

use std::{net::SocketAddr, path::PathBuf};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{AvailabilityZone, InstanceId, Region};

/// Default silence after which a target gets no new work. With checks every 250 ms it stays below
/// 3 s; two of the announcements that come every second may be lost.
pub(crate) const DEFAULT_TARGET_TIMEOUT_MS: u64 = 2_700;

/// Default time for the platform's load balancer to see that the instance is not ready.
pub(crate) const DEFAULT_DRAIN_DELAY_MS: u64 = 2_000;

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Settings {
    /// Name of the instance; unique in the deployment and stable across restarts.
    pub instance: InstanceId,
    /// Region that the instance is in.
    pub region: Region,
    /// Availability zone that the instance is in.
    pub zone: AvailabilityZone,
    /// Addresses to listen on.
    pub addrs: Addrs,
    /// Addresses that other instances use, if they differ from `addrs`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertise: Option<Addrs>,
    /// Control replicas of the deployment; empty if seeds are named instead.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub replicas: Vec<ReplicaAddr>,
    /// A few control replicas, through which the others are found. Each replica's name is its IP
    /// number, and all use the RPC port of this instance.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub seeds: Vec<InstanceId>,
    /// The seeds form the control log; only at the first start of the whole deployment.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub forms_log: bool,
    /// Data folder; present exactly on control replicas.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_dir: Option<PathBuf>,
    /// Limits of the public listener.
    pub limits: Limits,
    /// How old the confirmed manifest may be.
    pub freshness: Freshness,
    /// Policy of the scheduler.
    pub policy: Policy,
    /// Silence after which a target gets no new work, in milliseconds.
    pub target_timeout_ms: u64,
    /// How long the listener stays open after the instance reports not ready, in milliseconds.
    pub drain_delay_ms: u64,
    /// Log output.
    pub log: Log,
    /// Caller's headers, in lower case, that are passed on to plain services.
    pub forward_headers: Vec<String>,
    /// Accepts port 0, which lets the system assign the port; for tests only.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub allow_port_zero: bool,
}

impl Settings {
    /// Addresses that other instances use.
    pub fn advertised(&self) -> Addrs {
        self.advertise.unwrap_or(self.addrs)
    }

    /// Settings of an instance that finds the control replicas through seeds.
    pub fn seeded(
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
            seeds,
            forms_log: false,
            data_dir: None,
            limits: Limits::default(),
            freshness: Freshness::default(),
            policy: Policy::default(),
            target_timeout_ms: DEFAULT_TARGET_TIMEOUT_MS,
            drain_delay_ms: DEFAULT_DRAIN_DELAY_MS,
            log: Log::default(),
            forward_headers: Vec::new(),
            allow_port_zero: false,
        }
    }

    /// Whether the instance is a control replica.
    pub fn is_replica(&self) -> bool {
        match self.seeds.is_empty() {
            true => self.replicas.iter().any(|replica| replica.instance == self.instance),
            false => self.data_dir.is_some(),
        }
    }
}

/// Addresses of an instance, by IP number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Addrs {
    /// Callers, targets and the platform.
    pub entry: SocketAddr,
    /// JSON-RPC of other instances and operators.
    pub rpc: SocketAddr,
    /// Forwarded requests of other instances.
    pub data: SocketAddr,
}

/// Where a control replica is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReplicaAddr {
    /// Name of the instance.
    pub instance: InstanceId,
    /// JSON-RPC address.
    pub rpc: SocketAddr,
}

/// Limits of the public listener and of the owner's queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Largest header section.
    pub max_header_bytes: usize,
    /// Connections that may be open at a time.
    pub max_connections: usize,
    /// Longest wait for the next part of a request body, or for a caller to take answer bytes.
    pub idle_timeout_ms: u64,
    /// Longest wait for a whole header section, also of the next request on a connection.
    pub header_timeout_ms: u64,
    /// Deadline of requests that name none.
    pub default_deadline_ms: u64,
    /// Longest deadline that a request may name.
    pub max_deadline_ms: u64,
    /// Requests that may wait in one group's queue.
    pub max_queued: usize,
    /// Requests of one subscriber that may wait in one group's queue.
    pub max_queued_per_subscriber: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // Four times the text of a 200,000-token prompt at about 5 bytes a token.
            max_body_bytes: 4 * 1024 * 1024,
            max_header_bytes: 16 * 1024,
            // Enough for 10,000 requests/s that take 0.4 s each.
            max_connections: 4096,
            idle_timeout_ms: 30_000,
            // Longer than the 60 s for which load balancers usually keep idle connections, so that
            // the entry does not close one just as the balancer uses it.
            header_timeout_ms: 65_000,
            default_deadline_ms: 60_000,
            max_deadline_ms: 120_000,
            max_queued: 4096,
            max_queued_per_subscriber: 512,
        }
    }
}

/// How old the confirmed manifest may be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Freshness {
    /// Age of the last confirmation at which the instance counts as stale.
    pub bound_ms: u64,
    /// What a stale instance does with requests.
    pub when_stale: WhenStale,
}

impl Default for Freshness {
    fn default() -> Self {
        // A manifest must be in force on every instance within 5 s.
        Self { bound_ms: 5_000, when_stale: WhenStale::Refuse }
    }
}

/// What a stale instance does with requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenStale {
    /// Refuses them as not run.
    #[default]
    Refuse,
    /// Serves them by the manifest it has.
    Serve,
}

/// Policy of the scheduler.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Policy {
    /// Weight of load stall against batch efficiency, from 0 to 1.
    pub stall_weight: f64,
    /// Scheduler that is used.
    pub mode: PolicyMode,
    /// Adapter loads that the owner of a group has under way at a time.
    pub max_loads: usize,
    /// Whether each adapter load needs a permit of the control leader; without, only `max_loads`
    /// bounds them.
    pub load_permits: bool,
    /// Prompt tokens that an engine reads in a millisecond, if known; targets and loads are then
    /// chosen by expected times.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prefill_tokens_per_ms: Option<f64>,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            stall_weight: 0.5,
            mode: PolicyMode::Adaptive,
            // The next choice is made while one load is in progress, so that the store's permit is
            // used as soon as it is granted; more would be decided on older information.
            max_loads: 2,
            load_permits: true,
            prefill_tokens_per_ms: None,
        }
    }
}

/// Scheduler that is used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyMode {
    /// Scheduler of the design page.
    #[default]
    Adaptive,
    /// Round robin, first come first served, least recently used eviction, load on demand.
    Baseline,
}

/// Log output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Log {
    /// Form of the lines.
    pub format: LogFormat,
    /// Lowest level that is written.
    pub level: LogLevel,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for people.
    Terminal,
}

/// Lowest log level that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only failures that end the process.
    Critical,
    /// Also failures that an operator must handle.
    Error,
    /// Also conditions that an operator should know.
    Warning,
    /// Also normal changes of state.
    #[default]
    Info,
    /// Also details of single requests.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// Name of the level, as in the settings file.
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
