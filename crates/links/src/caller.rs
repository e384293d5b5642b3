//! Connection of a caller: it is reset in place of closed in the middle of a response whose end only the
//! close tells.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// TCP stream that the kernel resets, however its task or process ends, in the middle of a response of
/// which `EndsWithConnection` was set.
pub struct CallerStream {
    stream: TcpStream,
    ends_with_connection: EndsWithConnection,
    is_reset_armed: bool,
}

/// Whether the response of a connection has neither a length nor chunks; clones share it.
#[derive(Clone, Default)]
pub struct EndsWithConnection(Arc<AtomicBool>);

impl EndsWithConnection {
    /// Records that the response to be written ends with the connection; no other one follows it.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, ends_with_connection: EndsWithConnection) -> Self {
        Self { stream, ends_with_connection, is_reset_armed: false }
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
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.arm_reset()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.arm_reset()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
