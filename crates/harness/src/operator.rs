//! Operator that uses the RPC methods of an instance.

use std::{net::SocketAddr, time::Duration};

use jsonrpsee::http_client::HttpClient;
use serde_json::Value;
use shallotdrum_rpc::{AdminApiClient, InstanceRow, Peers, PeersConfig, RpcError};
use shallotdrum_types::{Revision, SubmissionId};

use crate::{WaitError, wait_until};

/// Longest wait for one answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Operator of a deployment.
#[derive(Clone)]
pub struct Operator {
    peers: Peers,
}

impl Default for Operator {
    fn default() -> Self {
        Self { peers: Peers::new(PeersConfig { timeout: TIMEOUT }) }
    }
}

impl Operator {
    /// Client of the instance with the given RPC address.
    pub fn client(&self, rpc: SocketAddr) -> Result<HttpClient, RpcError> {
        self.peers.get(rpc)
    }

    /// Submits a manifest.
    pub async fn submit(
        &self,
        rpc: SocketAddr,
        submission: &str,
        base: u64,
        manifest: &Value,
    ) -> Result<Revision, RpcError> {
        let submission: SubmissionId =
            submission.parse().map_err(|e| RpcError::Malformed(format!("{e}")))?;
        let client = self.client(rpc)?;
        Ok(client.submit_manifest(submission, Revision(base), manifest.to_string()).await?)
    }

    /// Instances with open sessions.
    pub async fn instances(&self, rpc: SocketAddr) -> Result<Vec<InstanceRow>, RpcError> {
        Ok(self.client(rpc)?.instances().await?)
    }

    /// Waits until a manifest revision is in force on each instance that has a session.
    pub async fn wait_in_force(
        &self,
        rpc: SocketAddr,
        revision: Revision,
        limit: Duration,
    ) -> Result<Duration, WaitError> {
        let look = || async {
            let rows = self.instances(rpc).await.map_err(|e| e.to_string())?;
            let is_missing = |row: &&InstanceRow| row.revision.is_none_or(|r| r < revision);
            match rows.iter().filter(is_missing).count() {
                0 => Ok(()),
                n => Err(format!("{n} instances lack the revision")),
            }
        };
        let what = format!("revision {revision} is in force everywhere");
        wait_until(&what, limit, look).await.map(|(_, time)| time)
    }

    /// Waits until `count` instances have open sessions.
    pub async fn wait_for_instances(
        &self,
        rpc: SocketAddr,
        count: usize,
        limit: Duration,
    ) -> Result<Duration, WaitError> {
        let look = || async {
            match self.instances(rpc).await {
                Ok(rows) if rows.len() >= count => Ok(()),
                Ok(rows) => Err(format!("{} instances", rows.len())),
                Err(e) => Err(e.to_string()),
            }
        };
        wait_until(&format!("{count} instances are up"), limit, look).await.map(|(_, time)| time)
    }
}
