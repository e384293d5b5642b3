//! The thread that writes the log file.
//!
//! Architecture Invariant: tickets complete in the order of submission. All records that wait
//! when a sync ends are written and synced together (group commit).

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

/// Records are synced together up to about this size, so that no proposal waits for much more
/// data than its own.
const MAX_GROUP_BYTES: usize = 8 << 20;

/// Position in the sequence of submitted jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Ticket(u64);

enum Job {
    Append {
        ticket: Ticket,
        records: Vec<Record>,
    },
    /// Starts a new log file with the given records only.
    Rewrite {
        ticket: Ticket,
        records: Vec<Record>,
    },
    Stop,
}

/// Submits records to the writer thread.
///
/// Submission happens under the node's lock, which keeps file order equal to memory order.
pub(crate) struct WriterHandle {
    tx: mpsc::Sender<Job>,
    next: Ticket,
}

impl WriterHandle {
    /// Appends the records.
    pub(crate) fn append(&mut self, records: Vec<Record>) -> Ticket {
        self.submit(|ticket| Job::Append { ticket, records })
    }

    /// Replaces the file by one with the given records.
    pub(crate) fn rewrite(&mut self, records: Vec<Record>) -> Ticket {
        self.submit(|ticket| Job::Rewrite { ticket, records })
    }

    /// Ticket of the last submission.
    pub(crate) fn latest(&self) -> Ticket {
        self.next
    }

    /// Ends the thread after the jobs submitted so far.
    pub(crate) fn stop(&mut self) {
        // The thread may have ended after a failure.
        let _ = self.tx.send(Job::Stop);
    }

    fn submit(&mut self, job: impl FnOnce(Ticket) -> Job) -> Ticket {
        self.next = Ticket(self.next.0 + 1);
        // After a failure the ticket never completes, and the failure itself is reported.
        let _ = self.tx.send(job(self.next));
        self.next
    }
}

/// Results of the writer thread.
pub(crate) struct Writer {
    pub(crate) durable: watch::Receiver<Ticket>,
    pub(crate) syncs: Arc<AtomicU64>,
    /// Held by the node until shutdown.
    pub(crate) thread: thread::JoinHandle<()>,
}

impl Writer {
    /// Starts the thread on the newest log file; it holds the folder's lock until it ends.
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
        let (durable_tx, durable) = watch::channel(Ticket::default());
        let syncs = Arc::new(AtomicU64::new(0));
        let thread_state = Thread {
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
                thread_state.run(&rx, &failure);
            })
            .map_err(|e| StartError::io("start the writer of", &path, e))?;
        Ok((WriterHandle { tx, next: Ticket::default() }, Self { durable, syncs, thread }))
    }
}

struct Thread {
    dir: PathBuf,
    hook: Option<SyncHook>,
    generation: u64,
    path: PathBuf,
    file: File,
    syncs: Arc<AtomicU64>,
    durable: watch::Sender<Ticket>,
}

impl Thread {
    /// Runs jobs until told to stop or until the first failure.
    fn run(mut self, rx: &mpsc::Receiver<Job>, failure: &watch::Sender<Option<FatalError>>) {
        let mut next = rx.recv().ok();
        while let Some(job) = next.take() {
            let (action, result) = match job {
                Job::Append { ticket, mut records } => {
                    let ticket = gather(rx, ticket, &mut records, &mut next);
                    ("append to", self.append(&records).map(|()| ticket))
                }
                Job::Rewrite { ticket, records } => {
                    ("compact", self.rewrite(&records).map(|()| ticket))
                }
                Job::Stop => return,
            };
            match result {
                Ok(ticket) => drop(self.durable.send_replace(ticket)),
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
        // One frame: a torn write must not leave a readable frame after an unreadable one.
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
        self.sync()?;
        fs::rename(&temporary, &path)?;
        sync_dir(&self.dir)?;
        fs::remove_file(&self.path)?;
        self.path = path;
        self.generation += 1;
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        sync(&self.file, &self.path, self.hook.as_ref())?;
        self.syncs.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

/// Adds the records of waiting append jobs; a job that can't join is left in `next`.
fn gather(
    rx: &mpsc::Receiver<Job>,
    first: Ticket,
    records: &mut Vec<Record>,
    next: &mut Option<Job>,
) -> Ticket {
    let mut last = first;
    let mut total: usize = records.iter().map(Record::size).sum();
    while total < MAX_GROUP_BYTES {
        match rx.try_recv() {
            Ok(Job::Append { ticket, records: more }) => {
                total += more.iter().map(Record::size).sum::<usize>();
                records.extend(more);
                last = ticket;
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
