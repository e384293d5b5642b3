//! Opens the connections of the HTTP client.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use http::Uri;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection};
use shallotdrum_links::{LinkStream, Links};
use tower_service::Service;

/// Named in log lines in place of a request, as a pooled connection serves several.
const POOLED: &str = "pooled";

/// Connects to the address in a URI, through another instance if the link to it is broken.
#[derive(Clone)]
pub(crate) struct LinkConnector(Links);

impl LinkConnector {
    pub(crate) fn new(links: Links) -> Self {
        Self(links)
    }
}

impl Service<Uri> for LinkConnector {
    type Response = TargetStream;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = Result<TargetStream, io::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), io::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let links = self.0.clone();
        Box::pin(async move {
            let addr: Option<SocketAddr> = uri.authority().and_then(|a| a.as_str().parse().ok());
            let addr = addr.ok_or_else(|| io::Error::other("the URI names no socket address"))?;
            let stream = links.connect(addr, POOLED).await.map_err(io::Error::other)?;
            Ok(TargetStream { stream, is_used: UsedFlag::default() })
        })
    }
}

/// Connection to a target that knows whether it was used before.
pub(crate) struct TargetStream {
    stream: LinkStream,
    is_used: UsedFlag,
}

/// Whether one connection brought a response; clones share it.
#[derive(Clone, Default)]
pub(crate) struct UsedFlag(Arc<AtomicBool>);

impl UsedFlag {
    /// Records a response; returns whether the connection brought another one before.
    pub(crate) fn record_response(&self) -> bool {
        self.0.swap(true, Ordering::Relaxed)
    }
}

impl Connection for TargetStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.is_used.clone())
    }
}

impl Read for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl Write for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
