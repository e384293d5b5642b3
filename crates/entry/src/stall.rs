//! Stream of a caller's connection: a write timeout if the caller stops reading the response, and a reset
//! in place of a close in the middle of a response whose end only the close tells.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep},
};

/// TCP stream whose writes fail with `TimedOut` after making no progress for `timeout`.
///
/// Without it, a caller that stops reading would hold its connection and the owner's stream open.
pub(crate) struct WriteTimeoutStream {
    stream: TcpStream,
    timeout: Duration,
    timer: Pin<Box<Sleep>>,
    is_write_pending: bool,
    ends_with_connection: EndsWithConnection,
    /// Whether the kernel resets the connection instead of closing it.
    is_reset_armed: bool,
}

/// Whether the response of a connection has neither a length nor chunks; clones share it.
///
/// Set before the response's head is written. From then on the connection is reset, however its task or
/// process ends, unless the response came to its end.
#[derive(Clone, Default)]
pub(crate) struct EndsWithConnection(Arc<AtomicBool>);

impl EndsWithConnection {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl WriteTimeoutStream {
    pub(crate) fn new(
        stream: TcpStream,
        timeout: Duration,
        ends_with_connection: EndsWithConnection,
    ) -> Self {
        Self {
            stream,
            timeout,
            timer: Box::pin(tokio::time::sleep(timeout)),
            is_write_pending: false,
            ends_with_connection,
            is_reset_armed: false,
        }
    }

    fn arm_reset(&mut self) -> io::Result<()> {
        if !self.is_reset_armed && self.ends_with_connection.0.load(Ordering::Relaxed) {
            self.stream.set_zero_linger()?;
            self.is_reset_armed = true;
        }
        Ok(())
    }

    /// Closes the connection regularly after a complete response.
    fn disarm_reset(&mut self) -> io::Result<()> {
        if std::mem::take(&mut self.is_reset_armed) {
            #[expect(deprecated, reason = "blocks only with a duration")]
            self.stream.set_linger(None)?;
        }
        Ok(())
    }

    fn poll_timeout<T>(
        &mut self,
        result: Poll<io::Result<T>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.is_write_pending = false;
            return result;
        }
        if !self.is_write_pending {
            self.is_write_pending = true;
            self.timer.as_mut().reset(Instant::now() + self.timeout);
        }
        match self.timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.arm_reset()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.poll_timeout(result, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.arm_reset()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.poll_timeout(result, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.disarm_reset()?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
