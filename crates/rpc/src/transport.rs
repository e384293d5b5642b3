//! Transport of consensus messages between control replicas.

use shallotdrum_consensus::{Transport, TransportError};
use shallotdrum_types::{Base64Bytes, InstanceId};

use crate::{Directory, PeerApiClient, Peers};

/// [`Transport`] that sends consensus messages over JSON-RPC.
pub struct RpcTransport {
    peers: Peers,
    directory: Directory,
}

impl RpcTransport {
    /// Creates a transport to the replicas in `directory`.
    pub fn new(peers: Peers, directory: Directory) -> Self {
        Self { peers, directory }
    }
}

impl Transport for RpcTransport {
    async fn call(&self, to: &InstanceId, message: Vec<u8>) -> Result<Vec<u8>, TransportError> {
        let failed = |reason: String| TransportError { to: to.clone(), reason };
        let addr =
            self.directory.addr(to).ok_or_else(|| failed("its address is unknown".to_owned()))?;
        let client = self.peers.get(addr).map_err(|e| failed(e.to_string()))?;
        let response = client
            .consensus_message(Base64Bytes(message))
            .await
            .map_err(|e| failed(e.to_string()))?;
        Ok(response.0)
    }
}
