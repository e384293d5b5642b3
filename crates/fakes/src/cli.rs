//! Address files and stop signals, shared by the binaries.

use std::{fs, io, net::SocketAddr, path::Path};

use tokio::signal::unix::{SignalKind, signal};

/// Writes an address to a file, atomically: readers never see a partial file.
pub fn write_addr_file(path: &Path, addr: SocketAddr) -> io::Result<()> {
    let mut tmp_path = path.as_os_str().to_owned();
    tmp_path.push(".tmp");
    fs::write(&tmp_path, addr.to_string())?;
    fs::rename(&tmp_path, path)
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
