//! Data model of the route table.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotdrum_types::{BaseModelId, PoolId, Revision};

/// All routes and pools of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Revision that the operator gave the table; the highest is in force.
    pub revision: Revision,
    /// Routes in the order of the document.
    pub routes: Vec<Route>,
    /// Pools that the routes lead to.
    pub pools: Vec<PoolSpec>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Document as submitted; operators read it back unchanged.
    pub document: String,
}

/// Requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name given by the operator.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Prefix of the path.
    pub prefix: String,
    /// Pools that take the requests, each with its share.
    pub shares: Vec<Share>,
    /// Whether a request may be sent again.
    pub repeat: Repeat,
    /// Longest time for the whole answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, has its full value.
    pub objective: Duration,
    /// Rank among the routes; 0 is the most urgent.
    pub rank: u8,
    /// Most targets that one request may run on.
    pub max_targets: u32,
}

/// Part of a route's requests that goes to one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Pool.
    pub pool: PoolId,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
    /// Its answer is a stream of events; a broken stream that is resumable may go on at another
    /// target after the last event, any other runs at most once.
    Stream {
        /// Whether a broken stream may go on at another target.
        is_resumable: bool,
    },
}

impl Repeat {
    /// Whether the request may be sent again although an earlier send may have run.
    pub fn allows_resend(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Interchangeable targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// Name of the pool.
    pub pool: PoolId,
    /// Path that answers whether a target is healthy.
    pub health_path: String,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Present if the targets are model engines.
    pub engine: Option<EngineSpec>,
}

/// Model engines of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that an engine batches at a time.
    pub max_batch: u32,
    /// Adapters that an engine holds at a time.
    pub adapter_slots: u32,
    /// Models that the pool serves.
    pub models: Vec<ModelSpec>,
}

/// Base model of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Base model.
    pub base: BaseModelId,
    /// Time of a load from the weight store.
    pub load: Duration,
}

/// Bounds on what callers send, and on how long they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest header section in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time for a header section.
    pub header_time: Duration,
    /// Longest pause on a connection between requests.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // The limits of the product's own listener; a route table brings its own.
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(30),
        }
    }
}

impl RouteTable {
    /// Description of a pool.
    pub fn pool(&self, id: &PoolId) -> Option<&PoolSpec> {
        self.pools.iter().find(|spec| spec.pool == *id)
    }
}

impl Route {
    /// Pool for a request; `draw` is uniform in 0 to 1.
    pub fn choose_pool(&self, draw: f64) -> Option<&PoolId> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = draw.clamp(0.0, 1.0) * total as f64;
        let positive = || self.shares.iter().filter(|share| share.weight > 0);
        let chosen = positive().find(|share| {
            left -= f64::from(share.weight);
            left < 0.0
        });
        // A draw of exactly 1 falls behind the last share.
        chosen.or_else(|| positive().next_back()).map(|share| &share.pool)
    }
}
