//! Thread that writes the log file.
//!
//! Architecture Invariant: writes become durable in the order of submission. All appends that are
//! pending when a sync ends are written and synced together (group commit).

use std::{
    fs::{self, File},
    io::{self, Write},
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
};

use tokio::sync::watch;

use super::{TEMPORARY_SUFFIX, sync, sync_dir, wal, wal::Record};
use crate::{FatalError, NodeConfig, StartError, SyncHook};

/// Approximate upper bound of a group commit, so that a proposal doesn't wait for the sync of much
/// more data than its own.
const MAX_GROUP_COMMIT_BYTES: usize = 8 << 20;

/// Sequence number of a write that was submitted to the log writer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WriteSeq(u64);

enum Job {
    Append {
        seq: WriteSeq,
        records: Vec<Record>,
    },
    /// Replaces the log file by one that contains only these records.
    Rewrite {
        seq: WriteSeq,
        records: Vec<Record>,
    },
    Stop,
}

/// Submits writes to the log writer.
///
/// All calls are made under the lock of `Core`, so the file has the same order as the log in
/// memory.
pub(crate) struct WriterHandle {
    tx: mpsc::Sender<Job>,
    latest: WriteSeq,
}

impl WriterHandle {
    /// Appends the records to the log file.
    pub(crate) fn append(&mut self, records: Vec<Record>) -> WriteSeq {
        self.submit(|seq| Job::Append { seq, records })
    }

    /// Replaces the log file by one that contains only these records.
    pub(crate) fn rewrite(&mut self, records: Vec<Record>) -> WriteSeq {
        self.submit(|seq| Job::Rewrite { seq, records })
    }

    /// Sequence number of the last submitted write.
    pub(crate) fn latest(&self) -> WriteSeq {
        self.latest
    }

    /// Stops the thread after all writes submitted so far.
    pub(crate) fn stop(&mut self) {
        // Fails if the thread already ended after a failed write.
        let _ = self.tx.send(Job::Stop);
    }

    fn submit(&mut self, job: impl FnOnce(WriteSeq) -> Job) -> WriteSeq {
        self.latest = WriteSeq(self.latest.0 + 1);
        // After a failed write the thread has ended. It reported the failure, and this write never
        // becomes durable.
        let _ = self.tx.send(job(self.latest));
        self.latest
    }
}

/// Running log writer.
pub(crate) struct Writer {
    /// Last durable write.
    pub(crate) durable: watch::Receiver<WriteSeq>,
    /// Number of syncs since the start.
    pub(crate) syncs: Arc<AtomicU64>,
    /// Joined at shutdown.
    pub(crate) thread: thread::JoinHandle<()>,
}

impl Writer {
    /// Starts the thread on the log file of the given generation. The thread holds the lock on the
    /// data folder until it ends.
    pub(crate) fn start(
        cfg: &NodeConfig,
        generation: u64,
        lock: File,
        failure: watch::Sender<Option<FatalError>>,
    ) -> Result<(WriterHandle, Self), StartError> {
        let path = wal::path(&cfg.data_dir, generation);
        let file = File::options()
            .append(true)
            .open(&path)
            .map_err(|e| StartError::io("open", &path, e))?;
        let (tx, rx) = mpsc::channel();
        let (durable_tx, durable) = watch::channel(WriteSeq::default());
        let syncs = Arc::new(AtomicU64::new(0));
        let writer_thread = WriterThread {
            dir: cfg.data_dir.clone(),
            hook: cfg.before_sync.clone(),
            generation,
            path: path.clone(),
            file,
            syncs: syncs.clone(),
            durable: durable_tx,
        };
        let thread = thread::Builder::new()
            .name("consensus-log".to_owned())
            .spawn(move || {
                let _lock = lock;
                writer_thread.run(&rx, &failure);
            })
            .map_err(|e| StartError::io("start the writer of", &path, e))?;
        Ok((WriterHandle { tx, latest: WriteSeq::default() }, Self { durable, syncs, thread }))
    }
}

/// State of the writer thread.
struct WriterThread {
    dir: PathBuf,
    hook: Option<SyncHook>,
    generation: u64,
    path: PathBuf,
    file: File,
    syncs: Arc<AtomicU64>,
    durable: watch::Sender<WriteSeq>,
}

impl WriterThread {
    /// Runs jobs until `Job::Stop` or the first failure.
    fn run(mut self, rx: &mpsc::Receiver<Job>, failure: &watch::Sender<Option<FatalError>>) {
        let mut next = rx.recv().ok();
        while let Some(job) = next.take() {
            let (action, result) = match job {
                Job::Append { seq, mut records } => {
                    let seq = coalesce_appends(rx, seq, &mut records, &mut next);
                    ("append to", self.append(&records).map(|()| seq))
                }
                Job::Rewrite { seq, records } => ("compact", self.rewrite(&records).map(|()| seq)),
                Job::Stop => return,
            };
            match result {
                Ok(seq) => drop(self.durable.send_replace(seq)),
                Err(e) => {
                    let (path, reason) = (self.path.clone(), e.to_string());
                    failure.send_replace(Some(FatalError::Storage { action, path, reason }));
                    return;
                }
            }
            if next.is_none() {
                next = rx.recv().ok();
            }
        }
    }

    fn append(&mut self, records: &[Record]) -> io::Result<()> {
        // A single frame, because a torn write must not leave a readable frame after an unreadable
        // one.
        self.file.write_all(&super::frame::encode(records))?;
        self.sync()
    }

    fn rewrite(&mut self, records: &[Record]) -> io::Result<()> {
        let path = wal::path(&self.dir, self.generation + 1);
        let temporary = path.with_extension(TEMPORARY_SUFFIX);
        let mut file = File::options().create(true).append(true).open(&temporary)?;
        file.set_len(0)?;
        for frame in wal::encode(records) {
            file.write_all(&frame)?;
        }
        self.file = file;
        let replaced = std::mem::replace(&mut self.path, temporary);
        self.sync()?;
        fs::rename(&self.path, &path)?;
        self.path = path;
        sync_dir(&self.dir, self.hook.as_ref())?;
        fs::remove_file(replaced)?;
        self.generation += 1;
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        sync(&self.file, &self.path, self.hook.as_ref())?;
        self.syncs.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

/// Adds the records of pending append jobs to the group commit and returns the last sequence
/// number. A job of another kind ends the group and is stored in `next`.
fn coalesce_appends(
    rx: &mpsc::Receiver<Job>,
    first: WriteSeq,
    records: &mut Vec<Record>,
    next: &mut Option<Job>,
) -> WriteSeq {
    let mut last = first;
    let mut total: usize = records.iter().map(Record::approx_size).sum();
    while total < MAX_GROUP_COMMIT_BYTES {
        match rx.try_recv() {
            Ok(Job::Append { seq, records: more }) => {
                total += more.iter().map(Record::approx_size).sum::<usize>();
                records.extend(more);
                last = seq;
            }
            Ok(job) => {
                *next = Some(job);
                break;
            }
            Err(_) => break,
        }
    }
    last
}
