//! Fake engines and services of a deployment, run in this process.

use std::{io, net::SocketAddr, time::Duration};

use shallotdrum_fakes::{
    EngineSettings, FakeEngine, FakeEngineConfig, FakeService, FakeServiceConfig, Identity,
    WeightStoreModel,
};
use shallotdrum_types::{PoolId, TargetId};

use crate::Deployment;

/// Configuration of the fake targets.
#[derive(Clone, Debug)]
pub struct TargetsConfig {
    /// Adapter slots per engine.
    pub adapter_slots: u32,
    /// Maximum batch size of an engine.
    pub max_batch: u32,
    /// Whether engines refuse orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Initial run-time settings of the engines.
    pub engine: EngineSettings,
    /// Duration of an adapter load at full speed.
    pub load_time: Duration,
    /// Seed for random faults; engine `i` uses `seed + i`.
    pub seed: u64,
}

impl Default for TargetsConfig {
    fn default() -> Self {
        Self {
            adapter_slots: 4,
            max_batch: 16,
            checks_fencing: true,
            engine: EngineSettings::default(),
            load_time: Duration::from_millis(250),
            seed: 1,
        }
    }
}

/// Running fake targets; dropping this stops them.
pub struct Targets {
    /// Engines, by index.
    pub engines: Vec<FakeEngine>,
    /// Services, by index.
    pub services: Vec<FakeService>,
    /// Weight store that the engines share.
    pub store: WeightStoreModel,
}

/// Maximum number of loads in flight that the store serves at full speed.
const FULL_SPEED_LOADS: usize = 8;

impl Targets {
    /// Starts the targets of a deployment, which announce themselves to the entries.
    pub async fn start(
        deployment: &Deployment,
        cfg: &TargetsConfig,
        entries: &[SocketAddr],
    ) -> io::Result<Self> {
        let store = WeightStoreModel::new(cfg.load_time, FULL_SPEED_LOADS);
        let mut targets = Self { engines: Vec::new(), services: Vec::new(), store };
        for i in 0..deployment.engines {
            let identity = identity(deployment, "engine", &deployment.engine_pool, i, entries);
            let mut engine = FakeEngineConfig::new(identity, deployment.base_model.clone());
            engine.adapter_slots = cfg.adapter_slots;
            engine.max_batch = cfg.max_batch;
            engine.checks_fencing = cfg.checks_fencing;
            engine.store = targets.store.clone();
            engine.seed = cfg.seed + i as u64;
            engine.settings = cfg.engine.clone();
            targets.engines.push(FakeEngine::start(engine).await?);
        }
        for i in 0..deployment.services {
            let identity = identity(deployment, "service", &deployment.service, i, entries);
            targets.services.push(FakeService::start(FakeServiceConfig::new(identity)).await?);
        }
        Ok(targets)
    }
}

fn identity(
    deployment: &Deployment,
    kind: &str,
    pool: &PoolId,
    i: usize,
    entries: &[SocketAddr],
) -> Identity {
    let target: TargetId = format!("{kind}-{i:02}").parse().expect("a valid name");
    let zone = deployment.zones[i % deployment.zones.len()].clone();
    let mut identity = Identity::new(target, pool.clone(), deployment.region.clone(), zone);
    identity.entries = entries.to_vec();
    // Spreads the first announcements of the targets over the entries.
    let start = i % entries.len().max(1);
    identity.entries.rotate_left(start);
    identity
}
