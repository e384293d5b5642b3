//! Snapshot files.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use shallotdrum_types::{LogIndex, Term};

use super::{frame, frame::Frame, sync_dir, write_durably};
use crate::{Membership, StartError, SyncHook, WriteHook};

/// State of the state machine and the cluster configuration as of a log entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    pub(crate) membership: Membership,
    pub(crate) data: Bytes,
}

impl Snapshot {
    pub(super) fn path(dir: &Path, index: LogIndex) -> PathBuf {
        dir.join(format!("snapshot-{:020}", index.0))
    }

    /// Writes the snapshot file durably.
    pub(crate) fn write(
        &self,
        dir: &Path,
        hook: Option<&SyncHook>,
        before_write: Option<&WriteHook>,
    ) -> io::Result<()> {
        if let Some(hook) = before_write {
            hook(&Self::path(dir, self.index))?;
        }
        write_durably(&Self::path(dir, self.index), &[&frame::encode(self)], hook)
    }

    /// Reads a snapshot file and verifies its checksum.
    pub(super) fn read(path: &Path) -> Result<Self, StartError> {
        let corrupt = |reason| StartError::Corrupt { path: path.to_owned(), offset: 0, reason };
        let file = fs::read(path).map_err(|e| StartError::io("read", path, e))?;
        match frame::read(&file, 0) {
            Frame::Complete(payload, end) if end == file.len() => {
                frame::decode(payload).ok_or_else(|| corrupt("unknown snapshot format"))
            }
            _ => Err(corrupt("the checksum of the snapshot does not match")),
        }
    }
}

/// Index in the name of a snapshot file; `None` for other files.
pub(super) fn index(name: &str) -> Option<u64> {
    name.strip_prefix("snapshot-")?.parse().ok()
}

/// Removes all snapshot files with an index below `newest`.
pub(crate) fn remove_older(
    dir: &Path,
    newest: LogIndex,
    hook: Option<&SyncHook>,
) -> io::Result<()> {
    for file in fs::read_dir(dir)? {
        let file = file?;
        if file.file_name().to_str().and_then(index).is_some_and(|i| i < newest.0) {
            fs::remove_file(file.path())?;
        }
    }
    sync_dir(dir, hook)
}
