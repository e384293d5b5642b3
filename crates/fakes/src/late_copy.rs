//! Connection of a fake on which a response may be written once more, late.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// TCP stream that repeats its previous response before the next one if `is_repeated` returns true.
pub(crate) struct LateCopyStream<F> {
    stream: TcpStream,
    is_repeated: F,
    /// Bytes written since the latest request.
    response: Vec<u8>,
    /// Bytes to write before the next response.
    copy: Vec<u8>,
}

impl<F: Fn() -> bool + Unpin> LateCopyStream<F> {
    pub(crate) fn new(stream: TcpStream, is_repeated: F) -> Self {
        Self { stream, is_repeated, response: Vec::new(), copy: Vec::new() }
    }
}

impl<F: Fn() -> bool + Unpin> AsyncRead for LateCopyStream<F> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        // Bytes after a response are the next request.
        if buf.filled().len() > before && !self.response.is_empty() {
            let response = std::mem::take(&mut self.response);
            if (self.is_repeated)() {
                self.copy = response;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl<F: Fn() -> bool + Unpin> AsyncWrite for LateCopyStream<F> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        while !this.copy.is_empty() {
            let written = ready!(Pin::new(&mut this.stream).poll_write(cx, &this.copy))?;
            this.copy.drain(..written);
        }
        let written = ready!(Pin::new(&mut this.stream).poll_write(cx, buf))?;
        this.response.extend_from_slice(&buf[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
