//! Disk that loses unsynced writes and names when its machine loses power.
//!
//! The files of a replica are real; this records what its syncs covered. A loss of power then builds the
//! folder anew from that record: each later write is present, missing or torn, and each name that was
//! created, renamed or removed since the last sync of the folder is kept or lost.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    ffi::OsString,
    fs, io,
    os::unix::fs::MetadataExt,
    path::{Path, PathBuf},
    sync::Mutex,
};

use rand::{RngExt, rngs::StdRng};

/// Unit in which a torn write of full length lacks its data.
const SECTOR_BYTES: usize = 512;

/// Names of files with their inodes.
type Names = BTreeMap<OsString, u64>;

/// What becomes of the writes after the last sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnsyncedWrites {
    /// All of them are gone.
    Lost,
    /// The power was not lost: all of them are present, and become durable with a later sync.
    Kept,
    /// Each is present, missing or torn.
    Mixed,
}

/// Disk of one replica; survives restarts of its process.
pub(crate) struct Disk {
    dir: PathBuf,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Content of each inode as of its last sync.
    synced: HashMap<u64, Vec<u8>>,
    /// Names that outlast a loss of power.
    durable: Names,
    /// Syncs until the process ends; `None` if it does not end.
    remaining_syncs: Option<u64>,
    /// Files at the time at which the process ended.
    ended: Option<Files>,
}

struct Files {
    names: Names,
    content: HashMap<u64, Vec<u8>>,
}

impl Files {
    fn read(dir: &Path) -> Self {
        let (mut names, mut content) = (Names::new(), HashMap::new());
        for file in fs::read_dir(dir).into_iter().flatten() {
            let file = file.unwrap();
            // A file that is renamed or removed meanwhile belongs to another time.
            let Ok(metadata) = file.metadata() else { continue };
            if let (true, Ok(bytes)) = (metadata.is_file(), fs::read(file.path())) {
                names.insert(file.file_name(), metadata.ino());
                content.insert(metadata.ino(), bytes);
            }
        }
        Self { names, content }
    }
}

impl Disk {
    pub(crate) fn new(dir: PathBuf) -> Self {
        Self { dir, state: Mutex::default() }
    }

    /// Records a sync, which counts as complete when this returns; fails once the process has ended.
    pub(crate) fn sync(&self, path: &Path) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        if state.remaining_syncs == Some(0) && state.ended.is_none() {
            state.ended = Some(Files::read(&self.dir));
        }
        if state.ended.is_some() {
            return Err(io::Error::from(io::ErrorKind::Interrupted));
        }
        state.remaining_syncs = state.remaining_syncs.map(|n| n - 1);
        if path == self.dir {
            state.durable = Files::read(&self.dir).names;
        } else if path.parent() == Some(&self.dir) && path.is_file() {
            let (inode, content) = (fs::metadata(path)?.ino(), fs::read(path)?);
            state.synced.insert(inode, content);
            // The sync of a renamed file does not cover its new name.
            if !state.durable.values().any(|other| *other == inode) {
                state.durable.insert(path.file_name().unwrap().to_owned(), inode);
            }
        }
        Ok(())
    }

    /// Ends the process at a later sync: this many still succeed.
    pub(crate) fn end_after(&self, syncs: u64) {
        self.state.lock().unwrap().remaining_syncs = Some(syncs);
    }

    /// Withdraws `end_after`, unless the process has ended.
    pub(crate) fn end_never(&self) {
        self.state.lock().unwrap().remaining_syncs = None;
    }

    /// Whether the process ended at the sync set by `end_after`.
    pub(crate) fn has_ended(&self) -> bool {
        self.state.lock().unwrap().ended.is_some()
    }

    /// Ends the process now: no later write reaches the disk.
    pub(crate) fn cut_power(&self) {
        let mut state = self.state.lock().unwrap();
        state.ended.get_or_insert_with(|| Files::read(&self.dir));
    }

    /// Lets the process start again, with the files that a loss of power left if there was one.
    pub(crate) fn restore(&self, unsynced: UnsyncedWrites, rng: &mut StdRng) {
        let mut state = self.state.lock().unwrap();
        state.remaining_syncs = None;
        let ended = state.ended.take();
        let Some(ended) = ended.filter(|_| unsynced != UnsyncedWrites::Kept) else { return };
        let files = survivors(&state, &ended, unsynced, rng);
        for name in Files::read(&self.dir).names.keys() {
            fs::remove_file(self.dir.join(name)).unwrap();
        }
        state.synced.clear();
        state.durable.clear();
        for (name, inode) in &files.names {
            let (path, content) = (self.dir.join(name), &files.content[inode]);
            fs::write(&path, content).unwrap();
            let written = fs::metadata(&path).unwrap().ino();
            state.synced.insert(written, content.clone());
            state.durable.insert(name.clone(), written);
        }
    }
}

/// Files that are left after a loss of power.
fn survivors(state: &State, ended: &Files, unsynced: UnsyncedWrites, rng: &mut StdRng) -> Files {
    let mut is_kept = || unsynced != UnsyncedWrites::Lost && rng.random_bool(0.5);
    let name_of = |names: &Names, inode| {
        names.iter().find(|(_, other)| **other == inode).map(|(name, _)| name.clone())
    };
    let inodes: BTreeSet<u64> =
        ended.names.values().chain(state.durable.values()).copied().collect();
    let mut names = Names::new();
    for &inode in &inodes {
        let (before, after) = (name_of(&state.durable, inode), name_of(&ended.names, inode));
        let kept = if before == after || is_kept() { after } else { before };
        // A name that was replaced refers to the newer file.
        if let Some(name) = kept {
            names.insert(name, inode);
        }
    }
    let mut content = HashMap::new();
    for inode in inodes {
        let synced = state.synced.get(&inode).cloned().unwrap_or_default();
        let written = ended.content.get(&inode).unwrap_or(&synced);
        let survived = match unsynced {
            UnsyncedWrites::Lost => synced,
            _ => torn(&synced, written, rng),
        };
        content.insert(inode, survived);
    }
    Files { names, content }
}

/// Content of a file whose writes after a sync are present, missing or torn.
fn torn(synced: &[u8], written: &[u8], rng: &mut StdRng) -> Vec<u8> {
    if !written.starts_with(synced) || written.len() == synced.len() {
        return if rng.random_bool(0.5) { synced } else { written }.to_vec();
    }
    let cut = rng.random_range(synced.len()..=written.len());
    let mut torn = written[..cut].to_vec();
    match rng.random_range(0..4) {
        0 => torn.truncate(synced.len()),
        1 => torn = written.to_vec(),
        2 => {}
        // The size reached the disk, and the sectors after some point did not.
        _ => {
            torn.truncate((cut - cut % SECTOR_BYTES).max(synced.len()));
            torn.resize(written.len(), 0);
        }
    }
    torn
}
