//! Settings files of the instances of a deployment.

use std::{io, net::SocketAddr, path::Path};

use serde_json::{Value, json};
use shallotdrum_fakes::ReservedPort;

use crate::Deployment;

/// Reserved listen ports of an instance.
#[derive(Debug)]
pub struct InstancePorts {
    /// Port for callers, targets and the platform.
    pub entry: ReservedPort,
    /// Port for JSON-RPC.
    pub rpc: ReservedPort,
    /// Port for requests forwarded by other instances.
    pub data: ReservedPort,
}

impl InstancePorts {
    /// Reserves three free loopback ports.
    pub fn reserve() -> io::Result<Self> {
        Ok(Self {
            entry: ReservedPort::reserve()?,
            rpc: ReservedPort::reserve()?,
            data: ReservedPort::reserve()?,
        })
    }
}

/// Settings of instance `i`, in the format of the settings file.
///
/// `replicas` holds the RPC addresses that this instance uses to reach the control replicas;
/// replica `r` is instance `r`. `folder` is the parent of the data folders.
pub fn instance_settings(
    deployment: &Deployment,
    i: usize,
    ports: &InstancePorts,
    replicas: &[SocketAddr],
    folder: &Path,
) -> Value {
    let replica_rows: Vec<_> = replicas
        .iter()
        .enumerate()
        .map(|(r, rpc)| json!({ "instance": instance_name(r), "rpc": rpc }))
        .collect();
    let mut settings = json!({
        "instance": instance_name(i),
        "region": deployment.region,
        "zone": deployment.zones[i % deployment.zones.len()],
        "addrs": {
            "entry": ports.entry.addr(), "rpc": ports.rpc.addr(), "data": ports.data.addr(),
        },
        "replicas": replica_rows,
        "policy": { "stall_weight": deployment.stall_weight, "mode": "adaptive" },
        "drain_delay_ms": 200,
        "log": { "format": "terminal", "level": "info" },
    });
    if i < replicas.len() {
        settings["data_dir"] = json!(folder.join(format!("data-{i}")));
    }
    settings
}

/// Name of instance `i`.
pub(crate) fn instance_name(i: usize) -> String {
    format!("instance-{i}")
}
