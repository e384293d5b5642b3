//! Data model of the route table.

use std::{fmt, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{BaseModelId, CustomerName, KeyHash, PoolId, Revision};

/// All routes and pools of a deployment.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Revision, set by the operator; the table with the highest one is the current one.
    pub revision: Revision,
    /// Routes, in the order of the document; successive tables share those that did not change.
    pub routes: Vec<Arc<Route>>,
    /// Pools that the routes refer to.
    pub pools: Vec<PoolSpec>,
    /// Customers whose keys callers must send; `None` if requests need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customers: Option<Vec<Arc<Customer>>>,
    /// Limits on the connections and requests of callers.
    pub limits: CallerLimits,
    /// Document as the operator submitted it, returned unchanged when read back.
    pub document: String,
}

impl fmt::Debug for RouteTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The document holds the customers' keys.
        f.debug_struct("RouteTable")
            .field("revision", &self.revision)
            .field("routes", &self.routes)
            .field("pools", &self.pools)
            .field("customers", &self.customers)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

/// Rules for the requests that match a host and a path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, set by the operator.
    pub name: String,
    /// Host to match, in lower case and without a port.
    pub host: String,
    /// Path prefix to match; starts and ends with a slash.
    pub prefix: String,
    /// Pools that serve the requests, with their weights.
    pub shares: Vec<WeightedPool>,
    /// Whether a request may be retried.
    pub repeat: RetryPolicy,
    /// Time limit for the complete response.
    pub timeout: Duration,
    /// Latency objective for the response, or for the first event of a stream; a later response
    /// has less than its full value.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of targets that one request may run on.
    pub max_targets: u32,
    /// Whether requests need no key although the table has customers.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_public: bool,
}

/// Customer, identified by the keys that its callers send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Name, set by the operator; told to targets.
    pub name: CustomerName,
    /// Hashes of the customer's keys.
    pub keys: Vec<KeyHash>,
    /// Priority, which goes before that of the route; 0 is the most urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// Limit on what the customer uses; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allotment: Option<Allotment>,
}

/// Limit on what a customer uses over all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allotment {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once after a pause.
    pub burst: f64,
    /// What is counted.
    pub unit: AllotmentUnit,
    /// Tokens that a request counts that states none.
    pub default_tokens: u64,
}

/// What an allotment counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AllotmentUnit {
    /// Each request counts 1.
    Requests,
    /// Each request counts its prompt tokens and its limit on generated tokens.
    Tokens,
}

/// Pool of a route and the proportion of requests that it serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedPool {
    /// Defined in `RouteTable::pools`.
    pub pool: PoolId,
    /// Weight relative to the other pools of the route; a pool of weight 0 gets no requests.
    pub weight: u32,
}

/// Whether a request may be retried once it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryPolicy {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request is executed at most once.
    AtMostOnce,
    /// The response is a stream of events. Unless it is resumable, the request is executed at most
    /// once.
    Stream {
        /// Whether a broken stream may continue on another target, after the last event received.
        is_resumable: bool,
    },
}

impl RetryPolicy {
    /// Whether a request may be retried although an earlier attempt may have been executed.
    pub fn allows_resend(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Definition of a pool of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// Id that routes refer to.
    pub pool: PoolId,
    /// Path of the health check on each target.
    pub health_path: String,
    /// Maximum number of connections to one target in total.
    pub max_connections: u32,
    /// Set if the targets are model engines.
    pub engine: Option<EngineSpec>,
}

/// Properties of the model engines of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Maximum number of requests in a batch.
    pub max_batch: u32,
    /// Maximum number of adapters that an engine keeps loaded.
    pub adapter_slots: u32,
    /// Number of tokens in an event of a stream.
    #[serde(default = "one_token", skip_serializing_if = "is_one_token")]
    pub tokens_per_event: u32,
    /// Base models that the pool serves.
    pub models: Vec<ModelSpec>,
}

fn one_token() -> u32 {
    1
}

fn is_one_token(tokens: &u32) -> bool {
    *tokens == 1
}

/// Base model that a pool serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Id of the model.
    pub base: BaseModelId,
    /// Duration of a load from the weight store.
    pub load: Duration,
}

/// Limits on the connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a header section in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a header section.
    pub header_time: Duration,
    /// Time limit for an idle connection between requests.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // Limits of the built-in listener; a route table sets its own.
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(30),
        }
    }
}

impl RouteTable {
    /// Definition of a pool, if the table has one.
    pub fn pool(&self, id: &PoolId) -> Option<&PoolSpec> {
        self.pools.iter().find(|spec| spec.pool == *id)
    }
}

impl Route {
    /// Chooses a pool at random by weight; `sample` is uniformly distributed between 0 and 1.
    ///
    /// Returns `None` if all weights are 0.
    pub fn choose_pool(&self, sample: f64) -> Option<&PoolId> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut remaining = sample.clamp(0.0, 1.0) * total as f64;
        let positive = || self.shares.iter().filter(|share| share.weight > 0);
        let chosen = positive().find(|share| {
            remaining -= f64::from(share.weight);
            remaining < 0.0
        });
        // A sample of exactly 1 lies beyond the last share.
        chosen.or_else(|| positive().next_back()).map(|share| &share.pool)
    }
}
