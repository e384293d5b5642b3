//! Opens, validates and initialises the data folder.

use std::{
    fs::{self, File, TryLockError},
    io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{LogIndex, Term};

use super::{
    TEMPORARY_SUFFIX, frame, frame::Frame, snapshot, snapshot::Snapshot, sync, sync_dir, wal,
};
use super::{wal::Record, write_durably};
use crate::{DiskId, Member, NodeConfig, StartError, SyncHook, log::Log};

/// Content of the identity file.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Identity {
    disk: DiskId,
    /// The folder replaces a damaged one, so the replica must not take part in a bootstrap.
    must_relearn: bool,
}

/// Persistent state of a replica, loaded from its data folder.
pub(crate) struct Opened {
    pub(crate) disk: DiskId,
    pub(crate) must_relearn: bool,
    pub(crate) term: Term,
    pub(crate) vote: Option<Member>,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) generation: u64,
    /// Size of a torn write that was truncated from the log.
    pub(crate) truncated_bytes: u64,
    /// Folder that damaged files were moved to, if any.
    pub(crate) set_aside: Option<PathBuf>,
}

/// Log and snapshot files of a data folder.
#[derive(Default)]
struct DataFiles {
    /// Generations in ascending order.
    logs: Vec<u64>,
    /// Indexes in ascending order.
    snapshots: Vec<u64>,
}

/// Opens the data folder and initialises it if it is empty.
///
/// The returned file holds the lock on the folder.
pub(crate) fn open(cfg: &NodeConfig) -> Result<(Opened, File), StartError> {
    let dir = &cfg.data_dir;
    fs::create_dir_all(dir).map_err(|e| StartError::io("create", dir, e))?;
    let lock_path = dir.join("lock");
    let lock = File::create(&lock_path).map_err(|e| StartError::io("create", &lock_path, e))?;
    match lock.try_lock() {
        Ok(()) => (),
        Err(TryLockError::WouldBlock) => return Err(StartError::Locked { path: dir.clone() }),
        Err(TryLockError::Error(e)) => return Err(StartError::io("lock", &lock_path, e)),
    }
    match load(cfg) {
        Err(StartError::Corrupt { .. }) if cfg.set_aside_damaged => (),
        result => return Ok((result?, lock)),
    }
    let set_aside = set_aside(dir, cfg.before_sync.as_ref())?;
    initialise(cfg, true)?;
    let opened = Opened { set_aside: Some(set_aside), ..load(cfg)? };
    Ok((opened, lock))
}

fn load(cfg: &NodeConfig) -> Result<Opened, StartError> {
    let (dir, hook) = (&cfg.data_dir, cfg.before_sync.as_ref());
    let identity_path = dir.join("identity");
    if !identity_path.try_exists().map_err(|e| StartError::io("read", &identity_path, e))? {
        check_uninitialised(dir, &identity_path)?;
        // A previous start may have been interrupted after it moved the damaged files.
        initialise(cfg, damaged_path(dir, 1).exists())?;
    }
    // The previous process may have ended before it synced the names of its files.
    sync_names(dir, hook).map_err(|e| StartError::io("sync", dir, e))?;
    let identity = read_identity(&identity_path)?;
    let found = scan(dir)?;
    let Some(&newest) = found.logs.last() else {
        return Err(corrupt(wal::path(dir, 1), "the log file is missing"));
    };
    let path = wal::path(dir, newest);
    let mut replayed = wal::replay(&path)?;
    let truncated_bytes = replayed.file_bytes - replayed.valid_bytes;
    // If the previous process was killed before a sync, the data may only be in the page cache.
    // Syncs it, because it is treated as durable from here on.
    let file = File::options().write(true).open(&path);
    file.and_then(|f| f.set_len(replayed.valid_bytes).and_then(|()| sync(&f, &path, hook)))
        .map_err(|e| StartError::io("sync", &path, e))?;
    let path = found.snapshots.last().map(|&i| Snapshot::path(dir, LogIndex(i)));
    let snapshot = path.map(|path| Snapshot::read(&path)).transpose()?;
    let base = snapshot.as_ref().map_or(LogIndex(0), |s| s.index);
    if replayed.log.base() > base {
        return Err(corrupt(
            Snapshot::path(dir, replayed.log.base()),
            "the snapshot that precedes the log is missing",
        ));
    }
    let mut generation = newest;
    if let Some(s) = &snapshot
        && replayed.log.term(s.index) != Some(s.term)
    {
        // The replica stopped after storing the snapshot and before its log was written up to it.
        replayed.begin_at(s);
        generation += 1;
        write_durably(&wal::path(dir, generation), &[&replayed.encode_start()], hook)
            .map_err(|e| StartError::io("compact", wal::path(dir, generation), e))?;
    }
    for previous in found.logs.into_iter().filter(|log| *log < generation) {
        let path = wal::path(dir, previous);
        fs::remove_file(&path).map_err(|e| StartError::io("remove", &path, e))?;
    }
    Ok(Opened {
        disk: identity.disk,
        must_relearn: identity.must_relearn,
        term: replayed.term,
        vote: replayed.vote,
        log: replayed.log,
        snapshot,
        generation,
        truncated_bytes,
        set_aside: None,
    })
}

fn corrupt(path: PathBuf, reason: &'static str) -> StartError {
    StartError::Corrupt { path, offset: 0, reason }
}

/// Creates the files of an empty replica, with the identity file last.
fn initialise(cfg: &NodeConfig, must_relearn: bool) -> Result<(), StartError> {
    let dir = &cfg.data_dir;
    let hook = cfg.before_sync.as_ref();
    let path = wal::path(dir, 1);
    let base = frame::encode(&[Record::Base { index: LogIndex(0), term: Term(0) }][..]);
    write_durably(&path, &[&base], hook).map_err(|e| StartError::io("write", &path, e))?;
    let path = dir.join("identity");
    let identity = frame::encode(&Identity { disk: DiskId::random(), must_relearn });
    write_durably(&path, &[&identity], hook).map_err(|e| StartError::io("write", &path, e))
}

/// Makes the names of all files and of the data folder itself durable.
fn sync_names(dir: &Path, hook: Option<&SyncHook>) -> io::Result<()> {
    let parent = dir.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    sync_dir(dir, hook)?;
    sync_dir(parent, hook)
}

/// Checks that a folder without identity file contains at most the empty log of an interrupted
/// initialisation.
fn check_uninitialised(dir: &Path, identity: &Path) -> Result<(), StartError> {
    let found = scan(dir)?;
    let is_empty = match found.logs[..] {
        [] => true,
        [generation] => wal::replay(&wal::path(dir, generation))
            .is_ok_and(|r| r.log.last() == LogIndex(0) && r.term == Term(0)),
        _ => false,
    };
    if is_empty && found.snapshots.is_empty() {
        return Ok(());
    }
    Err(corrupt(identity.to_owned(), "the identity file is missing, but a log or snapshots exist"))
}

fn read_identity(path: &Path) -> Result<Identity, StartError> {
    let file = fs::read(path).map_err(|e| StartError::io("read", path, e))?;
    match frame::read(&file, 0) {
        Frame::Complete(payload, _) => frame::decode(payload),
        _ => None,
    }
    .ok_or_else(|| corrupt(path.to_owned(), "the checksum of the identity file does not match"))
}

/// Lists log and snapshot files, and removes temporary files.
fn scan(dir: &Path) -> Result<DataFiles, StartError> {
    let mut found = DataFiles::default();
    for file in fs::read_dir(dir).map_err(|e| StartError::io("list", dir, e))? {
        let path = file.map_err(|e| StartError::io("list", dir, e))?.path();
        if path.extension().is_some_and(|e| e == TEMPORARY_SUFFIX) {
            fs::remove_file(&path).map_err(|e| StartError::io("remove", &path, e))?;
            continue;
        }
        let Some(name) = path.file_name().and_then(|n| n.to_str()) else { continue };
        found.logs.extend(wal::generation(name));
        found.snapshots.extend(snapshot::index(name));
    }
    found.logs.sort_unstable();
    found.snapshots.sort_unstable();
    Ok(found)
}

/// Path of the `n`th folder for damaged files.
fn damaged_path(dir: &Path, n: u32) -> PathBuf {
    dir.join(format!("damaged-{n}"))
}

/// Moves all files of the replica to a new subfolder and returns its path.
///
/// The identity file is moved first: if this is interrupted, the next start finds the remaining
/// files without it and refuses them.
fn set_aside(dir: &Path, hook: Option<&SyncHook>) -> Result<PathBuf, StartError> {
    let aside = (1..)
        .map(|n| damaged_path(dir, n))
        .find(|p| !p.exists())
        .expect("fewer than 2^32 folders for damaged files");
    fs::create_dir(&aside).map_err(|e| StartError::io("create", &aside, e))?;
    let mut names = vec!["identity".to_owned()];
    let found = scan(dir)?;
    let paths = found.logs.iter().map(|&g| wal::path(dir, g));
    let paths = paths.chain(found.snapshots.iter().map(|&i| Snapshot::path(dir, LogIndex(i))));
    names.extend(paths.filter_map(|p| Some(p.file_name()?.to_str()?.to_owned())));
    for name in names {
        let (from, to) = (dir.join(&name), aside.join(&name));
        match fs::rename(&from, &to) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => {
                return Err(StartError::io("move", from, e));
            }
            _ => (),
        }
    }
    sync_dir(&aside, hook)
        .and_then(|()| sync_dir(dir, hook))
        .map_err(|e| StartError::io("sync", &aside, e))?;
    Ok(aside)
}
