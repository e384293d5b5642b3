//! Client of the administrative RPC interface of instances.

use std::{net::SocketAddr, time::Duration};

use jsonrpsee::http_client::HttpClient;
use serde_json::Value;
use shallotdrum_rpc::{AdminApiClient, InstanceRow, Peers, PeersConfig, RpcError};
use shallotdrum_types::{Revision, SubmissionId};

use crate::{WaitError, wait_until};

/// Timeout of an RPC call.
const TIMEOUT: Duration = Duration::from_secs(10);

/// RPC client of an operator; `rpc` parameters are the address of the instance to call.
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
    /// RPC client for the instance at the given address.
    pub fn client(&self, rpc: SocketAddr) -> Result<HttpClient, RpcError> {
        self.peers.get(rpc)
    }

    /// Submits a manifest based on revision `base` and returns the revision of the new manifest.
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

    /// Lists the instances with open sessions.
    pub async fn instances(&self, rpc: SocketAddr) -> Result<Vec<InstanceRow>, RpcError> {
        Ok(self.client(rpc)?.instances().await?)
    }

    /// Waits until each instance with a session uses the manifest revision or a later one; returns
    /// how long that took.
    pub async fn wait_for_revision(
        &self,
        rpc: SocketAddr,
        revision: Revision,
        limit: Duration,
    ) -> Result<Duration, WaitError> {
        let probe = || async {
            let rows = self.instances(rpc).await.map_err(|e| e.to_string())?;
            let is_behind = |row: &&InstanceRow| row.revision.is_none_or(|r| r < revision);
            match rows.iter().filter(is_behind).count() {
                0 => Ok(()),
                n => Err(format!("{n} instances have not reached the revision")),
            }
        };
        let what = format!("revision {revision} is in force everywhere");
        wait_until(&what, limit, probe).await.map(|(_, time)| time)
    }

    /// Waits until `count` instances have open sessions; returns how long that took.
    pub async fn wait_for_instances(
        &self,
        rpc: SocketAddr,
        count: usize,
        limit: Duration,
    ) -> Result<Duration, WaitError> {
        let probe = || async {
            match self.instances(rpc).await {
                Ok(rows) if rows.len() >= count => Ok(()),
                Ok(rows) => Err(format!("{} instances", rows.len())),
                Err(e) => Err(e.to_string()),
            }
        };
        wait_until(&format!("{count} instances have sessions"), limit, probe)
            .await
            .map(|(_, time)| time)
    }
}
