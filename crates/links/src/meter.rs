//! Limit on what a target sends without bringing its response forward.
//!
//! The HTTP client reads and drops interim responses, and any number of zeros before the size of a
//! chunk. Whoever waits for the response sees nothing of them, but they take the processor. So the
//! connection counts the bytes, and gives other tasks their turn while more arrive than it can read.
//! Any byte on a direct connection shows that its link works.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::link::Link;

/// Maximum bytes before the head of a response, with the head itself: far more than some interim
/// responses and a large head take.
const MAX_BEFORE_HEAD: usize = 128 * 1024;

/// Maximum bytes between two parts of a body. Larger than the buffer of the HTTP client (408 KiB), which
/// may hold as much of the next part.
const MAX_BETWEEN_PARTS: usize = 512 * 1024;

/// Bytes after which a connection gives other tasks their turn although more have arrived: a few
/// milliseconds of work on the smallest machines.
const BYTES_PER_TURN: usize = 64 * 1024;

/// Counts the bytes that a target sends on a connection; clones share the count.
#[derive(Clone, Debug)]
pub struct ReadMeter(Arc<Count>);

#[derive(Debug)]
struct Count {
    bytes: AtomicUsize,
    limit: AtomicUsize,
}

impl Default for ReadMeter {
    /// A meter without a limit, until it is told what is awaited.
    fn default() -> Self {
        let (bytes, limit) = (AtomicUsize::new(0), AtomicUsize::new(usize::MAX));
        Self(Arc::new(Count { bytes, limit }))
    }
}

impl ReadMeter {
    /// Counts anew, up to the head of a response.
    pub fn expect_head(&self) {
        self.restart(MAX_BEFORE_HEAD);
    }

    /// Counts anew, after the head of a response or a part of its body.
    pub fn record_progress(&self) {
        self.restart(MAX_BETWEEN_PARTS);
    }

    fn restart(&self, limit: usize) {
        self.0.bytes.store(0, Ordering::Relaxed);
        self.0.limit.store(limit, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) {
        self.0.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Fails once the target has sent more than the limit.
    fn check(&self) -> io::Result<()> {
        let (bytes, limit) =
            (self.0.bytes.load(Ordering::Relaxed), self.0.limit.load(Ordering::Relaxed));
        match bytes >= limit {
            true => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("the target sent {bytes} bytes that are no part of a response"),
            )),
            false => Ok(()),
        }
    }
}

/// Connection that counts what is read from it.
pub(crate) struct Metered<T> {
    io: T,
    meter: ReadMeter,
    /// Link that the bytes arrive on; `None` if another instance forwards them.
    link: Option<Arc<Link>>,
    /// Bytes read since other tasks had their turn.
    in_turn: usize,
}

impl<T> Metered<T> {
    pub(crate) fn new(io: T, meter: ReadMeter, link: Option<Arc<Link>>) -> Self {
        Self { io, meter, link, in_turn: 0 }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.meter.check()?;
        if self.in_turn >= BYTES_PER_TURN {
            self.in_turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        let read = match read {
            Poll::Pending => {
                self.in_turn = 0;
                return Poll::Pending;
            }
            Poll::Ready(read) => read,
        };
        let bytes = buf.filled().len() - before;
        self.in_turn += bytes;
        self.meter.add(bytes);
        if let Some(link) = self.link.as_ref().filter(|_| bytes > 0) {
            link.record_heard();
        }
        Poll::Ready(read)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
}
