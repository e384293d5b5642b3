//! Connection to a target, whichever way it was opened.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::{
    client::legacy::connect::{Connected, Connection},
    rt::TokioIo,
};
use shallotdrum_types::InstanceId;
use tokio::io::{AsyncRead, AsyncWrite};

use crate::{ReadMeter, link::Link, meter::Metered};

/// Bytes in both directions.
trait Io: Read + Write + Send + Unpin {}

impl<T: Read + Write + Send + Unpin> Io for T {}

/// Open connection to a target.
pub struct LinkStream {
    io: Box<dyn Io>,
    /// Instance that it goes through.
    through: Option<InstanceId>,
    meter: ReadMeter,
}

impl LinkStream {
    /// Connection that this instance opened.
    pub(crate) fn direct(
        io: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        link: Option<Arc<Link>>,
    ) -> Self {
        Self::new(io, None, link)
    }

    /// Connection that another instance opened.
    pub(crate) fn through_instance(
        io: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        instance: InstanceId,
    ) -> Self {
        Self::new(io, Some(instance), None)
    }

    fn new(
        io: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        through: Option<InstanceId>,
        link: Option<Arc<Link>>,
    ) -> Self {
        let meter = ReadMeter::default();
        let io = TokioIo::new(Metered::new(io, meter.clone(), link));
        Self { io: Box::new(io), through, meter }
    }

    /// Limit on what the target sends.
    pub fn meter(&self) -> &ReadMeter {
        &self.meter
    }

    /// Instance that the connection goes through; `None` if it is direct.
    pub fn through(&self) -> Option<&InstanceId> {
        self.through.as_ref()
    }
}

impl Read for LinkStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for LinkStream {
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

impl Connection for LinkStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}
