//! Waits for a data folder that refuses writes.

use std::{io::Write, path::Path, time::Duration};

/// Pause between tries to write.
const RETRY: Duration = Duration::from_secs(1);

/// Bytes of a trial; about a batch of log entries, so that a disk with a few free bytes does not
/// pass.
const TRIAL_BYTES: usize = 256 * 1024;

/// Resolves when the folder takes and syncs a file again.
pub(crate) async fn writable(dir: &Path) {
    loop {
        tokio::time::sleep(RETRY).await;
        let path = dir.join("write-trial");
        let tried = tokio::task::spawn_blocking(move || {
            let result = try_write(&path);
            // A trial that failed may have left a part of its file.
            let _ = std::fs::remove_file(&path);
            result
        });
        if let Ok(Ok(())) = tried.await {
            return;
        }
    }
}

fn try_write(path: &Path) -> std::io::Result<()> {
    let mut file = std::fs::File::create(path)?;
    file.write_all(&[0; TRIAL_BYTES])?;
    file.sync_all()
}
