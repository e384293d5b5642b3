//! Deployments of the Registry and the co-operative, at their present sizes or scaled down.

use serde_json::{Value, json};
use shallotdrum_types::{AvailabilityZone, BaseModelId, KeyHash, PoolId, Region};

/// Deployment of an organisation.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Short name, used as the prefix of API keys.
    pub name: &'static str,
    /// Region of all instances and targets.
    pub region: Region,
    /// Availability zones, assigned to instances and targets in turn.
    pub zones: Vec<AvailabilityZone>,
    /// Base model of all engines.
    pub base_model: BaseModelId,
    /// Pool of the engines.
    pub engine_pool: PoolId,
    /// Number of engines.
    pub engines: usize,
    /// Name of the service, also the name of its pool.
    pub service: PoolId,
    /// Number of service targets.
    pub services: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Number of subscribers; each may use all adapters.
    pub subscribers: usize,
    /// Maximum number of adapter loads per second from the weight store.
    pub loads_per_second: f64,
    /// Weight of load stalls relative to batch efficiency in the scheduling policy.
    pub stall_weight: f64,
}

impl Deployment {
    /// Deployment of the Registry at its present size.
    pub fn registry() -> Self {
        Self {
            name: "registry",
            region: name("fj-central"),
            zones: vec![name("suva-a"), name("nausori-b"), name("lami-c")],
            base_model: name("casereader"),
            engine_pool: name("casereader"),
            engines: 12,
            service: name("registry-app"),
            services: 3,
            adapters: 3_000,
            subscribers: 40,
            loads_per_second: 3.0,
            stall_weight: 0.8,
        }
    }

    /// Deployment of the co-operative at its present size.
    pub fn cooperative() -> Self {
        Self {
            name: "cooperative",
            region: name("bengal"),
            zones: vec![name("kolkata"), name("howrah"), name("siliguri"), name("durgapur")],
            base_model: name("alo-models"),
            engine_pool: name("alo-models"),
            engines: 9,
            service: name("desk-app"),
            services: 4,
            adapters: 3_000,
            subscribers: 40,
            loads_per_second: 2.0,
            stall_weight: 0.2,
        }
    }

    /// Returns the deployment with other numbers of engines, services and adapters.
    #[must_use]
    pub fn scaled(self, engines: usize, services: usize, adapters: usize) -> Self {
        Self { engines, services, adapters, ..self }
    }

    /// API key of a subscriber.
    pub fn key(&self, subscriber: usize) -> String {
        format!("{}-key-{subscriber}", self.name)
    }

    /// Name of a subscriber.
    pub fn subscriber(&self, subscriber: usize) -> String {
        format!("subscriber-{subscriber:03}")
    }

    /// Name of an adapter.
    pub fn adapter(&self, adapter: usize) -> String {
        format!("adapter-{adapter:05}")
    }

    /// Model name of an adapter version; versions 1 and 2 exist.
    pub fn model(&self, adapter: usize, version: u32) -> String {
        format!("{}/{}@{version}", self.base_model, self.adapter(adapter))
    }

    /// Manifest of the deployment; each adapter has versions 1 and 2, of which 2 is current.
    pub fn manifest(&self) -> Value {
        let adapters: serde_json::Map<_, _> = (0..self.adapters)
            .map(|i| {
                let version = |v: u32| json!({ "path": format!("{}/v{v}", self.adapter(i)) });
                let adapter = json!({
                    "base_model": self.base_model,
                    "current": "2",
                    "versions": { "1": version(1), "2": version(2) },
                });
                (self.adapter(i), adapter)
            })
            .collect();
        let subscribers: serde_json::Map<_, _> = (0..self.subscribers)
            .map(|i| {
                let subscriber = json!({
                    "key_hashes": [KeyHash::of(self.key(i).as_bytes())],
                    "weight": 1,
                    "allow": { "adapters": ["*"], "services": [self.service] },
                });
                (self.subscriber(i), subscriber)
            })
            .collect();
        json!({
            "base_models": {
                self.base_model.as_str(): {
                    "pool": self.engine_pool, "max_context_tokens": 32_768,
                },
            },
            "adapters": adapters,
            "subscribers": subscribers,
            "services": {
                self.service.as_str(): {
                    "pool": self.service,
                    "calls": [
                        { "method": "POST", "path_prefix": "/certificates", "repeatable": false },
                        { "method": "POST", "path_prefix": "/pickups", "repeatable": false },
                        { "method": "POST", "path_prefix": "/payouts", "repeatable": false },
                    ],
                },
            },
            "weight_store": {
                "loads_per_second": self.loads_per_second, "max_loads_in_flight": 8,
            },
        })
    }
}

/// Parses a hard-coded name.
fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}
