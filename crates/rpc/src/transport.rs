//! Carries the messages of the control log between replicas.

use std::{collections::BTreeMap, net::SocketAddr};

use shallotdrum_consensus::{Transport, TransportError};
use shallotdrum_types::InstanceId;

use crate::{Base64Bytes, PeerApiClient, Peers};

/// Transport of the control log over JSON-RPC.
pub struct RpcTransport {
    peers: Peers,
    replicas: BTreeMap<InstanceId, SocketAddr>,
}

impl RpcTransport {
    /// Creates a transport to the given replicas.
    pub fn new(peers: Peers, replicas: BTreeMap<InstanceId, SocketAddr>) -> Self {
        Self { peers, replicas }
    }
}

impl Transport for RpcTransport {
    async fn call(&self, to: &InstanceId, message: Vec<u8>) -> Result<Vec<u8>, TransportError> {
        let failed = |reason: String| TransportError { to: to.clone(), reason };
        let addr = self.replicas.get(to).ok_or_else(|| failed("not in the settings".to_owned()))?;
        let client = self.peers.get(*addr).map_err(|e| failed(e.to_string()))?;
        let answer = client
            .consensus_message(Base64Bytes(message))
            .await
            .map_err(|e| failed(e.to_string()))?;
        Ok(answer.0)
    }
}
