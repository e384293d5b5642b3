//! Write timeout for connections whose caller stops reading the response.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use shallotdrum_links::CallerStream;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep},
};

/// Connection whose writes fail with `TimedOut` after making no progress for `timeout`.
///
/// Without it, a caller that stops reading would hold its connection and the owner's stream open.
pub(crate) struct WriteTimeoutStream {
    stream: CallerStream,
    timeout: Duration,
    timer: Pin<Box<Sleep>>,
    is_write_pending: bool,
}

impl WriteTimeoutStream {
    pub(crate) fn new(stream: CallerStream, timeout: Duration) -> Self {
        Self {
            stream,
            timeout,
            timer: Box::pin(tokio::time::sleep(timeout)),
            is_write_pending: false,
        }
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
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.poll_timeout(result, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
