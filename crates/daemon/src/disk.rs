//! Detects when a data folder accepts writes again.

use std::{io::Write, path::Path, time::Duration};

/// Pause before each write probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Size of the probe file; about a batch of log entries, so that a disk with only a few free bytes
/// fails the probe.
const PROBE_BYTES: usize = 256 * 1024;

/// Resolves when a file can be written to the folder and synced.
pub(crate) async fn wait_writable(dir: &Path) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let path = dir.join("write-trial");
        let probed = tokio::task::spawn_blocking(move || {
            let result = write_probe(&path);
            // A failed probe may leave a partial file behind.
            let _ = std::fs::remove_file(&path);
            result
        });
        if let Ok(Ok(())) = probed.await {
            return;
        }
    }
}

fn write_probe(path: &Path) -> std::io::Result<()> {
    let mut file = std::fs::File::create(path)?;
    file.write_all(&[0; PROBE_BYTES])?;
    file.sync_all()
}
