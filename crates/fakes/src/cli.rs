//! What the binaries have in common: reporting the address, and stopping on a signal.

use std::{fs, io, net::SocketAddr, path::Path};

use tokio::signal::unix::{SignalKind, signal};

/// Writes an address to a file, which appears only when it is complete.
pub fn write_addr_file(path: &Path, addr: SocketAddr) -> io::Result<()> {
    let mut draft = path.as_os_str().to_owned();
    draft.push(".tmp");
    fs::write(&draft, addr.to_string())?;
    fs::rename(&draft, path)
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
