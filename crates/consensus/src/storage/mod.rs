//! Files of a replica: identity, log and snapshots.
//!
//! Architecture Invariant: the identity file is created last, so its presence proves that the log
//! existed. An identity without a log is corruption and not an empty data folder; otherwise a
//! replica that lost its log could vote again under the same id.
//!
//! Architecture Invariant: files are written under a temporary name, synced and renamed, and then
//! the folder is synced. Only the log file is appended to afterwards.

mod frame;
mod open;
mod snapshot;
mod wal;
mod writer;

use std::{
    fs::{self, File},
    io::{self, Write},
    path::Path,
};

pub(crate) use open::{Opened, open};
pub(crate) use snapshot::{Snapshot, remove_older};
pub(crate) use wal::Record;
pub(crate) use writer::{WriteSeq, Writer, WriterHandle};

use crate::SyncHook;

/// Extension of incomplete files; a start removes those that a crash left behind.
const TEMPORARY_SUFFIX: &str = "tmp";

/// Whether a write was refused because there is no room for it.
pub(crate) fn is_full(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
}

/// Syncs the content of the file, after the fault injection hook.
fn sync(file: &File, path: &Path, hook: Option<&SyncHook>) -> io::Result<()> {
    if let Some(hook) = hook {
        hook(path)?;
    }
    file.sync_data()
}

/// Syncs the folder, which makes created, renamed and removed entries durable, after the fault
/// injection hook.
fn sync_dir(dir: &Path, hook: Option<&SyncHook>) -> io::Result<()> {
    if let Some(hook) = hook {
        hook(dir)?;
    }
    File::open(dir)?.sync_all()
}

/// Creates or atomically replaces the file, and syncs it and its folder.
fn write_durably(path: &Path, parts: &[&[u8]], hook: Option<&SyncHook>) -> io::Result<()> {
    let temporary = path.with_extension(TEMPORARY_SUFFIX);
    let mut file = File::create(&temporary)?;
    let written = parts.iter().try_for_each(|part| file.write_all(part));
    if let Err(error) = written.and_then(|()| sync(&file, &temporary, hook)) {
        // Leaves the room to the log. Whatever remains is removed at the next start.
        let _ = fs::remove_file(&temporary);
        return Err(error);
    }
    fs::rename(&temporary, path)?;
    sync_dir(path.parent().unwrap_or(Path::new(".")), hook)
}
