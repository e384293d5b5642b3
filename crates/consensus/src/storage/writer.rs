//! Thread that writes the log file.
//!
//! Architecture Invariant: writes become durable in the order of submission. All appends that are
//! pending when a sync ends are written and synced together (group commit).

use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use shallotdrum_telemetry::event;
use slog::Logger;
use tokio::sync::watch;

use super::{TEMPORARY_SUFFIX, is_full, sync, sync_dir, wal, wal::Record};
use crate::{FatalError, NodeConfig, StartError, SyncHook, WriteHook};

/// Approximate upper bound of a group commit, so that a proposal doesn't wait for the sync of much
/// more data than its own.
const MAX_GROUP_COMMIT_BYTES: usize = 8 << 20;

/// Pause before a write that a full disk refused is repeated; a leader sends a heartbeat in this time.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(100);

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
    is_stopping: Arc<AtomicBool>,
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

    /// Stops the thread after all writes submitted so far, of which it gives up those that a full
    /// disk refuses.
    pub(crate) fn stop(&mut self) {
        self.is_stopping.store(true, Ordering::Relaxed);
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
        log: Logger,
    ) -> Result<(WriterHandle, Self), StartError> {
        let path = wal::path(&cfg.data_dir, generation);
        let file = File::options()
            .append(true)
            .open(&path)
            .map_err(|e| StartError::io("open", &path, e))?;
        let length = file.metadata().map_err(|e| StartError::io("read", &path, e))?.len();
        let is_stopping = Arc::new(AtomicBool::new(false));
        let (tx, rx) = mpsc::channel();
        let (durable_tx, durable) = watch::channel(WriteSeq::default());
        let syncs = Arc::new(AtomicU64::new(0));
        let writer_thread = WriterThread {
            dir: cfg.data_dir.clone(),
            hook: cfg.before_sync.clone(),
            before_write: cfg.before_write.clone(),
            generation,
            path: path.clone(),
            file,
            length,
            syncs: syncs.clone(),
            durable: durable_tx,
            is_stopping: is_stopping.clone(),
            log,
        };
        let thread = thread::Builder::new()
            .name("consensus-log".to_owned())
            .spawn(move || {
                let _lock = lock;
                writer_thread.run(&rx, &failure);
            })
            .map_err(|e| StartError::io("start the writer of", &path, e))?;
        let handle = WriterHandle { tx, latest: WriteSeq::default(), is_stopping };
        Ok((handle, Self { durable, syncs, thread }))
    }
}

/// State of the writer thread.
struct WriterThread {
    dir: PathBuf,
    hook: Option<SyncHook>,
    before_write: Option<WriteHook>,
    generation: u64,
    path: PathBuf,
    file: File,
    /// Length of the file up to the last frame that is durable.
    length: u64,
    syncs: Arc<AtomicU64>,
    durable: watch::Sender<WriteSeq>,
    is_stopping: Arc<AtomicBool>,
    log: Logger,
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
        let frame = super::frame::encode(records);
        let written = self.retry_while_full(|writer| {
            let result =
                write(&mut writer.file, &writer.path, &frame, writer.before_write.as_ref());
            if result.is_err() {
                writer.file.set_len(writer.length)?;
            }
            result
        });
        written?;
        self.sync()?;
        self.length += frame.len() as u64;
        Ok(())
    }

    fn rewrite(&mut self, records: &[Record]) -> io::Result<()> {
        let path = wal::path(&self.dir, self.generation + 1);
        let temporary = path.with_extension(TEMPORARY_SUFFIX);
        let frames: Vec<u8> = wal::encode(records).concat();
        let file = self.retry_while_full(|writer| {
            let mut file = File::options().create(true).append(true).open(&temporary)?;
            file.set_len(0)?;
            write(&mut file, &temporary, &frames, writer.before_write.as_ref())?;
            Ok(file)
        })?;
        self.file = file;
        self.length = frames.len() as u64;
        let replaced = std::mem::replace(&mut self.path, temporary);
        self.sync()?;
        fs::rename(&self.path, &path)?;
        self.path = path;
        sync_dir(&self.dir, self.hook.as_ref())?;
        fs::remove_file(replaced)?;
        self.generation += 1;
        Ok(())
    }

    /// Repeats a write that a full disk refuses until it has room, or the writer is stopped.
    ///
    /// Nothing that waits for the write is acknowledged meanwhile, so this replica gives no vote and
    /// counts towards no quorum. A failed sync is never repeated: what it covered may be lost.
    fn retry_while_full<T>(
        &mut self,
        mut write: impl FnMut(&mut Self) -> io::Result<T>,
    ) -> io::Result<T> {
        let mut full_since = None;
        loop {
            let result = write(self);
            match &result {
                Err(error) if is_full(error) && !self.is_stopping.load(Ordering::Relaxed) => {
                    if full_since.is_none() {
                        event!(self.log, DISK_FULL; "path" => %self.path.display(), "error" => %error);
                    }
                    full_since.get_or_insert_with(Instant::now);
                    thread::sleep(FULL_RETRY_INTERVAL);
                }
                Ok(_) if let Some(since) = full_since => {
                    event!(self.log, DISK_HAS_ROOM; "path" => %self.path.display(),
                        "after_ms" => since.elapsed().as_millis() as u64);
                    return result;
                }
                _ => return result,
            }
        }
    }

    fn sync(&self) -> io::Result<()> {
        sync(&self.file, &self.path, self.hook.as_ref())?;
        self.syncs.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

/// Writes all bytes at the end of the file, after the fault injection hook.
fn write(file: &mut File, path: &Path, bytes: &[u8], before: Option<&WriteHook>) -> io::Result<()> {
    if let Some(hook) = before {
        hook(path)?;
    }
    file.write_all(bytes)
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
