//! Asks all control replicas at once for their position in the log.
//!
//! Architecture Invariant: the time until a replica is found does not depend on how many others do
//! not respond.

use std::{net::SocketAddr, time::Duration};

use futures_util::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use jsonrpsee::{core::ClientError, http_client::HttpClient, types::ErrorCode};
use rand::seq::IndexedRandom;
use shallotdrum_types::{InstanceId, LogIndex};
use tokio::time::{Instant, timeout_at};

use crate::{AdminApiClient, Directory, PeerApiClient, Peers, ReplicaPosition, ReplicaStatus};

/// Time limit of a survey; the leader counts a replica that takes longer as unreachable.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after the first suitable response in which others are awaited, so that followers spread over
/// the replicas; a few round trips between availability zones.
const SPREAD_WINDOW: Duration = Duration::from_millis(20);

/// Control replica that responded to a survey.
#[derive(Clone, Debug)]
pub struct SurveyedReplica {
    /// Name of the replica.
    pub name: InstanceId,
    /// RPC address of the replica.
    pub addr: SocketAddr,
    /// Position in the log.
    pub position: ReplicaPosition,
}

/// Asks a replica for its position. Earlier releases know only `replica_status`, which may name a leader
/// that is no longer connected.
async fn position_of(client: &HttpClient) -> Result<ReplicaPosition, ClientError> {
    match client.position().await {
        Err(ClientError::Call(error)) if error.code() == ErrorCode::MethodNotFound.code() => {
            let ReplicaStatus { leader, first, applied, .. } = client.replica_status().await?;
            let is_caught_up = leader.is_some();
            Ok(ReplicaPosition { leader, is_caught_up, first, applied })
        }
        position => position,
    }
}

/// Survey in progress.
struct Survey {
    pending: FuturesUnordered<BoxFuture<'static, Option<SurveyedReplica>>>,
    deadline: Instant,
}

impl Survey {
    fn start(peers: &Peers, directory: &Directory) -> Self {
        let ask = |name: InstanceId| {
            let client = peers.get(directory.addr(&name)?).ok()?;
            let addr = directory.addr(&name)?;
            let asked: BoxFuture<'static, _> = Box::pin(async move {
                let position = position_of(&client).await.ok()?;
                Some(SurveyedReplica { name, addr, position })
            });
            Some(asked)
        };
        Self {
            pending: directory.names().into_iter().filter_map(ask).collect(),
            deadline: Instant::now() + SURVEY_TIMEOUT,
        }
    }

    /// Next response; `None` once all have responded or the time limit has passed.
    async fn next(&mut self) -> Option<SurveyedReplica> {
        loop {
            match timeout_at(self.deadline, self.pending.next()).await {
                Ok(Some(Some(replica))) => return Some(replica),
                Ok(Some(None)) => {}
                Ok(None) | Err(_) => return None,
            }
        }
    }
}

/// Finds the control leader; `None` if no replica says that it leads, and none that is connected to the
/// leader names one that was not asked.
pub async fn find_leader(peers: &Peers, directory: &Directory) -> Option<InstanceId> {
    let asked = directory.names();
    let mut survey = Survey::start(peers, directory);
    let mut named = None;
    while let Some(SurveyedReplica { name, position, .. }) = survey.next().await {
        match position.leader {
            Some(leader) if leader == name => return Some(leader),
            // The seeds of an instance that knows no other replicas need not include the leader.
            Some(leader) if !asked.contains(&leader) => named = Some(leader),
            _ => {}
        }
    }
    // A fixed list has no address of others.
    named.filter(|leader| directory.addr(leader).is_some())
}

/// Finds a replica that can pass on the log to a follower: one that is connected to the leader and
/// has applied at least `index`. Chooses at random among those that respond first.
pub async fn find_source(
    peers: &Peers,
    directory: &Directory,
    index: LogIndex,
) -> Option<SurveyedReplica> {
    let mut survey = Survey::start(peers, directory);
    let mut suitable = Vec::new();
    while let Some(replica) = survey.next().await {
        if !replica.position.can_serve(index) {
            continue;
        }
        if suitable.is_empty() {
            survey.deadline = survey.deadline.min(Instant::now() + SPREAD_WINDOW);
        }
        suitable.push(replica);
    }
    suitable.choose(&mut rand::rng()).cloned()
}
