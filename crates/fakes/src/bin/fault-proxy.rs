//! Standalone fault-injecting TCP proxy.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};

use anyhow::Context;
use shallotdrum_fakes::{
    FaultProxy, ProxySettings, ReservedPort, wait_for_stop_signal, write_addr_file,
};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    // Runs until SIGTERM or SIGINT.
    let flags = xflags::parse_or_exit! {
        /// Address to forward connections to.
        required --upstream addr: SocketAddr
        /// Listen address; a free loopback port by default.
        optional --listen addr: SocketAddr
        /// Listen address of the control interface; a free loopback port by default.
        optional --control addr: SocketAddr
        /// Seed for random faults; 0 by default.
        optional --seed seed: u64
        /// Settings as a JSON object; omitted fields keep their defaults.
        optional --settings json: String
        /// File to write the listen address to.
        optional --addr-file path: PathBuf
        /// File to write the address of the control interface to.
        optional --control-addr-file path: PathBuf
    };
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut settings = ProxySettings::new(flags.upstream);
    if let Some(json) = flags.settings {
        settings = settings.merged(&json).context("--settings is invalid")?;
    }
    let port = ReservedPort::bind(flags.listen.unwrap_or(any_port)).context("cannot listen")?;
    let control_port = ReservedPort::bind(flags.control.unwrap_or(any_port))
        .context("cannot listen on the control address")?;
    let seed = flags.seed.unwrap_or(0);
    let proxy = FaultProxy::start_on(port, settings, seed).context("cannot listen")?;
    let control = control_port.listen().context("cannot listen on the control address")?;
    if let Some(path) = flags.control_addr_file {
        write_addr_file(&path, control_port.addr()).context("cannot write --control-addr-file")?;
    }
    if let Some(path) = flags.addr_file {
        write_addr_file(&path, proxy.addr()).context("cannot write --addr-file")?;
    }
    println!(
        "fault proxy listening on {}, control on {}, seed {seed}",
        proxy.addr(),
        control_port.addr()
    );
    tokio::select! {
        () = proxy.serve_control(control) => {}
        result = wait_for_stop_signal() => result?,
    }
    Ok(())
}
