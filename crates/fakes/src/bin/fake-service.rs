//! Standalone fake HTTP service. A simulated crash aborts the process.

use std::{net::SocketAddr, path::PathBuf};

use anyhow::Context;
use shallotdrum_fakes::{
    CrashMode, FakeService, FakeServiceConfig, Identity, wait_for_stop_signal, write_addr_file,
};
use shallotdrum_types::{AvailabilityZone, PoolId, Region, TargetId};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    // Runs until SIGTERM or SIGINT, then announces that the target leaves and finishes running
    // calls.
    let flags = xflags::parse_or_exit! {
        /// Identifier of the target.
        required --target target: TargetId
        /// Pool of the target.
        required --pool pool: PoolId
        /// Region of the target.
        required --region region: Region
        /// Availability zone of the target.
        required --zone zone: AvailabilityZone
        /// Listen address; a free loopback port by default.
        optional --listen addr: SocketAddr
        /// Address to announce instead of the listen address.
        optional --announce-addr addr: SocketAddr
        /// Entry address to announce the target to; may be repeated.
        repeated --entry addr: SocketAddr
        /// Announced limit of concurrent calls; 64 by default.
        optional --max-concurrent count: u32
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
    let mut cfg = FakeServiceConfig::new(identity);
    cfg.max_concurrent = flags.max_concurrent.unwrap_or(cfg.max_concurrent);
    cfg.seed = flags.seed.unwrap_or(cfg.seed);
    if let Some(json) = flags.settings {
        cfg.settings = cfg.settings.merged(&json).context("--settings is invalid")?;
    }
    let seed = cfg.seed;
    let service = FakeService::start(cfg).await.context("cannot listen")?;
    if let Some(path) = flags.addr_file {
        write_addr_file(&path, service.addr()).context("cannot write --addr-file")?;
    }
    println!("fake service listening on {}, seed {seed}", service.addr());
    wait_for_stop_signal().await?;
    service.stop().await;
    Ok(())
}
