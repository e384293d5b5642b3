//! Snapshot files.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use shallotdrum_types::{LogIndex, Term};

use super::{frame, frame::Frame, sync_dir, write_durably};
use crate::{Membership, StartError, SyncHook};

/// State of the machine and the configuration after an entry.
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

    /// Writes the snapshot durably.
    pub(crate) fn write(&self, dir: &Path, hook: Option<&SyncHook>) -> io::Result<()> {
        write_durably(&Self::path(dir, self.index), &[&frame::encode(self)], hook)
    }

    /// Reads and verifies a snapshot file.
    pub(super) fn read(path: &Path) -> Result<Self, StartError> {
        let corrupt = |reason| StartError::Corrupt { path: path.to_owned(), offset: 0, reason };
        let file = fs::read(path).map_err(|e| StartError::io("read", path, e))?;
        match frame::read(&file, 0) {
            Frame::Whole(payload, end) if end == file.len() => {
                frame::decode(payload).ok_or_else(|| corrupt("unknown snapshot format"))
            }
            _ => Err(corrupt("checksum of the snapshot does not match")),
        }
    }
}

/// Index that the file name states, if it is a snapshot.
pub(super) fn index(name: &str) -> Option<u64> {
    name.strip_prefix("snapshot-")?.parse().ok()
}

/// Removes the snapshots before the given one.
pub(crate) fn remove_older(dir: &Path, newest: LogIndex) -> io::Result<()> {
    for file in fs::read_dir(dir)? {
        let file = file?;
        if file.file_name().to_str().and_then(index).is_some_and(|i| i < newest.0) {
            fs::remove_file(file.path())?;
        }
    }
    sync_dir(dir)
}
