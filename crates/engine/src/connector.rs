//! Opens the connections of the HTTP client.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
};

use http::Uri;
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
    type Response = LinkStream;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = Result<LinkStream, io::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), io::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let links = self.0.clone();
        Box::pin(async move {
            let addr: Option<SocketAddr> = uri.authority().and_then(|a| a.as_str().parse().ok());
            let addr = addr.ok_or_else(|| io::Error::other("the URI names no socket address"))?;
            links.connect(addr, POOLED).await.map_err(io::Error::other)
        })
    }
}
