//! Finds the software version at which a stream began that a caller takes up.
//!
//! If the pool had several versions of late, and no instance knows where the stream began, it is
//! refused: what two versions generate does not fit together.

use std::{net::SocketAddr, time::Duration};

use futures_util::stream::{FuturesUnordered, StreamExt};
use shallotdrum_engine::StreamOrigin;
use shallotdrum_rpc::PeerApiClient;
use shallotdrum_telemetry::event;
use shallotdrum_types::{PoolId, RequestError, RequestErrorKind, RequestId, SoftwareVersion};
use tokio::time::{Instant, timeout_at};

use crate::{CallerRequest, Gateway};

/// Timeout for all replies. A frozen instance does not reply, and callers take streams up with half
/// of their time gone.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of instances to ask; in larger deployments only the owners of the pool's groups
/// are asked, which granted the place.
const MAX_ASKED: usize = 32;

impl Gateway {
    /// Returns the software version that a request must run at; `None` if any will do.
    pub(crate) async fn required_software(
        &self,
        req: &CallerRequest,
        pool: &PoolId,
    ) -> Result<Option<SoftwareVersion>, RequestError> {
        if req.resume_after.is_none() {
            return Ok(None);
        }
        let began_as = match &req.resumes {
            Some(id) if *id == req.id => {
                let detail = "the request names itself as the stream that it takes up";
                return Err(RequestError::not_run(RequestErrorKind::InvalidRequest, detail));
            }
            other => other.as_ref(),
        };
        let mut versions = self.cx.view.read(|state| state.software_versions(pool));
        if versions.len() <= 1 {
            return Ok(versions.pop());
        }
        let origin = match began_as {
            Some(id) => self.find_origin(id, pool).await,
            None => None,
        };
        let Some(StreamOrigin { software, has_begun, age_ms }) = origin else {
            event!(self.cx.log, STREAM_ORIGIN_UNKNOWN; "request" => %req.id,
                "resumes" => began_as.map(ToString::to_string), "versions" => versions.len());
            let detail = "no instance knows the software version at which the stream began";
            return Err(RequestError::not_run(RequestErrorKind::NoTarget, detail));
        };
        event!(self.cx.log, STREAM_ORIGIN_FOUND; "request" => %req.id,
            "resumes" => began_as.map(ToString::to_string), "software" => %software,
            "has_begun" => has_begun, "age_ms" => age_ms);
        Ok(Some(software))
    }

    /// Looks a stream up here, and then at other instances.
    async fn find_origin(&self, request: &RequestId, pool: &PoolId) -> Option<StreamOrigin> {
        let mut latest = self.cx.owner.streams.find(request);
        let deadline = Instant::now() + ASK_TIMEOUT;
        let asked = self.origin_addrs(pool).into_iter().map(async |addr| {
            let client = self.cx.peers.get(addr).ok()?;
            let reply = timeout_at(deadline, client.stream_origin(request.clone()));
            reply.await.ok()?.ok()?
        });
        let mut replies: FuturesUnordered<_> = asked.collect();
        while !latest.as_ref().is_some_and(|origin| origin.has_begun) {
            let Some(reply) = replies.next().await else { break };
            let Some(reply) = reply else { continue };
            let is_better = |known: &StreamOrigin| reply.has_begun || reply.age_ms < known.age_ms;
            if latest.as_ref().is_none_or(is_better) {
                latest = Some(reply);
            }
        }
        latest
    }

    /// Addresses of the instances that may know where a stream began.
    fn origin_addrs(&self, pool: &PoolId) -> Vec<SocketAddr> {
        let own = (self.cx.session)();
        self.cx.view.read(|state| {
            let others = state.sessions().filter(|s| !s.info.replica && Some(s.id) != own);
            let others: Vec<_> = others.map(|session| session.info.addrs.rpc).collect();
            if others.len() <= MAX_ASKED {
                return others;
            }
            let owners = state.groups_of_pool(pool).filter_map(|group| group.owner);
            let others = owners.filter(|owner| Some(*owner) != own);
            let addrs = others.filter_map(|owner| Some(state.session(owner)?.info.addrs.rpc));
            addrs.take(MAX_ASKED).collect()
        })
    }
}
