//! Memory that the instance holds for callers and targets that read slowly.
//!
//! Request bodies, the bodies of responses that are read as a whole, and the parts of streams that their
//! callers have not read count against one bound, an eighth of the instance's memory. The last quarter of
//! the bound is left to small bodies and to the beginning of each buffer, so that a few slow callers do not
//! take the memory from all others.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use shallotdrum_telemetry::Metrics;
use tokio::sync::Notify;

/// Part of the instance's memory that bodies may take.
const MEMORY_SHARE: usize = 8;

/// Part of the bound that is left to small bodies.
const SMALL_SHARE: usize = 4;

/// Memory for bodies; clones share it.
#[derive(Clone, Debug)]
pub struct HeldMemory(Arc<Inner>);

struct Inner {
    /// Maximum number of bytes.
    bound: usize,
    held: AtomicUsize,
    /// Number of these that large responses take while they are read.
    reading: AtomicUsize,
    /// Woken once for each release.
    released: Notify,
    metrics: Metrics,
}

impl std::fmt::Debug for Inner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let held = self.held.load(Ordering::Relaxed);
        f.debug_struct("HeldMemory").field("bound", &self.bound).field("held", &held).finish()
    }
}

/// What a body may take of the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// All but the part for small bodies.
    Large,
    /// All of it.
    Small,
    /// More than there is: what is in memory anyway until it is passed on.
    Unconditional,
}

/// The memory for bodies is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("bodies take {held} bytes of the instance's memory already")]
pub struct NoMemory {
    held: usize,
}

/// Memory that one body takes, until dropped.
#[derive(Debug)]
pub struct HeldBytes {
    memory: HeldMemory,
    bytes: usize,
}

impl HeldMemory {
    /// Creates the memory for bodies of an instance with this memory limit in bytes.
    pub fn new(memory: usize, metrics: Metrics) -> Self {
        let bound = memory / MEMORY_SHARE;
        Self(Arc::new(Inner {
            bound,
            held: AtomicUsize::new(0),
            reading: AtomicUsize::new(0),
            released: Notify::new(),
            metrics,
        }))
    }

    /// Begins to count a body.
    pub fn begin(&self) -> HeldBytes {
        HeldBytes { memory: self.clone(), bytes: 0 }
    }

    /// Begins to count a response that is being read.
    pub(crate) fn begin_reading(&self) -> Reading<'_> {
        Reading { memory: self, bytes: 0 }
    }

    /// Number of bytes that are held.
    pub fn held(&self) -> usize {
        self.0.held.load(Ordering::Relaxed)
    }

    /// Resolves after bytes were released; one waiter is woken for each release.
    pub(crate) async fn released(&self) {
        self.0.released.notified().await;
    }

    /// Wakes another waiter, if there is room for more than this one took.
    pub(crate) fn wake_next(&self) {
        self.0.released.notify_one();
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }

    fn take(&self, bytes: usize, claim: Claim) -> Result<(), NoMemory> {
        let limit = match claim {
            Claim::Large => self.0.bound - self.0.bound / SMALL_SHARE,
            Claim::Small => self.0.bound,
            Claim::Unconditional => usize::MAX,
        };
        let add = |held: usize| held.checked_add(bytes).filter(|held| *held <= limit);
        let taken = self.0.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        taken.map_err(|held| NoMemory { held })?;
        self.0.metrics.held_bytes().add(i64::try_from(bytes).unwrap_or(i64::MAX));
        Ok(())
    }

    fn release(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.0.held.fetch_sub(bytes, Ordering::Relaxed);
        self.0.metrics.held_bytes().sub(i64::try_from(bytes).unwrap_or(i64::MAX));
        self.0.released.notify_one();
    }
}

impl HeldBytes {
    /// Takes memory up to this many bytes; a body of at most `small` bytes may take all that there is.
    pub fn grow_to(&mut self, bytes: usize, small: usize) -> Result<(), NoMemory> {
        let claim = if bytes <= small { Claim::Small } else { Claim::Large };
        self.add(bytes.saturating_sub(self.bytes), claim)
    }

    pub(crate) fn add(&mut self, bytes: usize, claim: Claim) -> Result<(), NoMemory> {
        if bytes > 0 {
            self.memory.take(bytes, claim)?;
            self.bytes += bytes;
        }
        Ok(())
    }

    pub(crate) fn sub(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.memory.release(bytes);
    }

    /// Number of bytes that are taken.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn memory(&self) -> &HeldMemory {
        &self.memory
    }

    /// Returns the body, which takes its memory until its last clone is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        match body.is_empty() {
            true => body,
            false => Bytes::from_owner(HeldBody { body, _held: self }),
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory.release(self.bytes);
    }
}

/// Part of a response that counts as large while it is read, until dropped.
pub(crate) struct Reading<'a> {
    memory: &'a HeldMemory,
    bytes: usize,
}

impl Reading<'_> {
    /// Counts up to this many bytes; fails if all responses together exceed `limit`.
    pub(crate) fn grow_to(&mut self, bytes: usize, limit: usize) -> Result<(), NoMemory> {
        let added = bytes.saturating_sub(self.bytes);
        let held = self.memory.0.reading.fetch_add(added, Ordering::Relaxed);
        self.bytes += added;
        match added > 0 && held + added > limit {
            true => Err(NoMemory { held }),
            false => Ok(()),
        }
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.memory.0.reading.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct HeldBody {
    body: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
