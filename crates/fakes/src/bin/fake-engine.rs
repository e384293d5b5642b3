//! Standalone fake engine. A simulated crash aborts the process.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use anyhow::Context;
use shallotdrum_fakes::{
    CrashMode, FakeEngine, FakeEngineConfig, Identity, WeightStoreModel, wait_for_stop_signal,
    write_addr_file,
};
use shallotdrum_types::{AvailabilityZone, BaseModelId, PoolId, Region, TargetId};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    // Runs until SIGTERM or SIGINT, then announces that the target leaves and finishes running
    // requests.
    let flags = xflags::parse_or_exit! {
        /// Identifier of the target.
        required --target target: TargetId
        /// Pool of the target.
        required --pool pool: PoolId
        /// Region of the target.
        required --region region: Region
        /// Availability zone of the target.
        required --zone zone: AvailabilityZone
        /// Base model that the engine serves.
        required --base-model base_model: BaseModelId
        /// Listen address; a free loopback port by default.
        optional --listen addr: SocketAddr
        /// Address to announce instead of the listen address.
        optional --announce-addr addr: SocketAddr
        /// Entry address to announce the target to; may be repeated.
        repeated --entry addr: SocketAddr
        /// Number of adapter slots; 4 by default.
        optional --slots count: u32
        /// Maximum number of requests in a batch; 16 by default.
        optional --max-batch count: u32
        /// Accepts orders with an outdated fencing token.
        optional --ignore-fencing
        /// Duration of an adapter load, in milliseconds; 250 by default.
        optional --load-ms ms: u64
        /// Seed for random faults; 0 by default.
        optional --seed seed: u64
        /// Settings as a JSON object; omitted fields keep their defaults.
        optional --settings json: String
        /// File to write the listen address to.
        optional --addr-file path: PathBuf
    };
    let mut identity = Identity::new(flags.target, flags.pool, flags.region, flags.zone);
    identity.listen = flags.listen.unwrap_or(identity.listen);
    identity.announce_addr = flags.announce_addr;
    identity.entries = flags.entry;
    identity.crash_mode = CrashMode::Abort;
    let mut cfg = FakeEngineConfig::new(identity, flags.base_model);
    cfg.adapter_slots = flags.slots.unwrap_or(cfg.adapter_slots);
    cfg.max_batch = flags.max_batch.unwrap_or(cfg.max_batch);
    cfg.checks_fencing = !flags.ignore_fencing;
    cfg.seed = flags.seed.unwrap_or(cfg.seed);
    if let Some(ms) = flags.load_ms {
        cfg.store = WeightStoreModel::fixed(Duration::from_millis(ms));
    }
    if let Some(json) = flags.settings {
        cfg.settings = cfg.settings.merged(&json).context("--settings is invalid")?;
    }
    let seed = cfg.seed;
    let engine = FakeEngine::start(cfg).await.context("cannot listen")?;
    if let Some(path) = flags.addr_file {
        write_addr_file(&path, engine.addr()).context("cannot write --addr-file")?;
    }
    println!("fake engine listening on {}, seed {seed}", engine.addr());
    wait_for_stop_signal().await?;
    engine.stop().await;
    Ok(())
}
