//! Cache of HTTP clients to other instances, one per address.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

use crate::RpcError;

/// Maximum message size, in bytes: a manifest of 32 MiB as a JSON string, with room for escaping.
pub const MAX_MESSAGE_BYTES: u32 = 80 * 1024 * 1024;

/// Settings of the clients in [`Peers`].
#[derive(Clone, Copy, Debug)]
pub struct PeersConfig {
    /// Time limit of a request.
    pub timeout: Duration,
}

/// Clients of other instances by address; clones share them.
#[derive(Clone)]
pub struct Peers {
    cfg: PeersConfig,
    clients: Arc<Mutex<HashMap<SocketAddr, HttpClient>>>,
}

impl Peers {
    /// Creates an empty cache; clients are created on first use.
    pub fn new(cfg: PeersConfig) -> Self {
        Self { cfg, clients: Arc::default() }
    }

    /// Returns the client for an address; creates it if necessary.
    pub fn get(&self, addr: SocketAddr) -> Result<HttpClient, RpcError> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&addr) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .request_timeout(self.cfg.timeout)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{addr}"))
            .map_err(|e| RpcError::NoAnswer(e.to_string()))?;
        clients.insert(addr, client.clone());
        Ok(client)
    }
}
