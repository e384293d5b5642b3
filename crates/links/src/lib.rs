//! Connections from this instance to targets.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc};

use tokio::net::TcpStream;

/// Opens connections to targets; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// Addresses at which this instance reaches targets behind a port forwarding.
    forwarded: Arc<BTreeMap<SocketAddr, SocketAddr>>,
}

impl Links {
    /// Creates links to targets, of which those in `forwarded` are reached at another address than
    /// the one they announce.
    pub fn new(forwarded: BTreeMap<SocketAddr, SocketAddr>) -> Self {
        Self { forwarded: Arc::new(forwarded) }
    }

    /// Opens a connection to a target.
    pub async fn connect(&self, target: SocketAddr) -> io::Result<TcpStream> {
        TcpStream::connect(self.forwarded.get(&target).copied().unwrap_or(target)).await
    }
}
