//! Fault-injecting TCP proxy as a process of its own.

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
    // Runs until SIGTERM.
    let flags = xflags::parse_or_exit! {
        /// Address that connections are forwarded to.
        required --upstream addr: SocketAddr
        /// Address to listen on; a free loopback port by default.
        optional --listen addr: SocketAddr
        /// Address of the control interface; a free loopback port by default.
        optional --control addr: SocketAddr
        /// Seed of all random faults; 0 by default.
        optional --seed seed: u64
        /// Settings as a JSON object; those left out keep their defaults.
        optional --settings json: String
        /// File that the address listened on is written to.
        optional --addr-file path: PathBuf
        /// File that the address of the control interface is written to.
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
