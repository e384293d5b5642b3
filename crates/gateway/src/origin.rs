//! Finds the software version at which a stream began that a caller takes up.
//!
//! Instances that know where the stream began say so. Otherwise it may go on at any target if the pool
//! had a single version of late, and is refused if it had several: what two versions generate does not
//! fit together.
//!
//! Architecture Invariant: that a pool had a single version is concluded only from a state that was
//! confirmed after the request arrived. An older one may lack the version at which the stream began,
//! however recently it was confirmed.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use futures_util::stream::{FuturesUnordered, StreamExt};
use shallotdrum_engine::StreamOrigin;
use shallotdrum_rpc::PeerApiClient;
use shallotdrum_telemetry::event;
use shallotdrum_types::{PoolId, RequestError, RequestErrorKind, RequestId, SoftwareVersion};
use tokio::time::{Instant, timeout_at};

use crate::{
    CallerRequest, Gateway,
    origin_copies::{COPIES, ranked_holders},
};

/// Timeout for all replies. A frozen instance does not reply, and callers take streams up with half
/// of their time gone.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which the control leader alone is asked; a round trip within a region, several times.
const CONFIRM_HEAD_START: Duration = Duration::from_millis(50);

/// Maximum number of instances to ask; in larger deployments only those that may hold copies and the
/// owners of the pool's groups are asked, which granted the place.
const MAX_ASKED: usize = 32;

/// Number of instances to ask for a copy. The first ones in their order may have joined or started again
/// after the stream was copied.
const ASKED_HOLDERS: usize = 2 * COPIES;

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
        let arrived = Instant::now();
        let by_origin = self.find_origin_of(began_as, pool);
        let by_state = self.confirm_single_version(pool, arrived + ASK_TIMEOUT);
        tokio::select! {
            Some(StreamOrigin { software, has_begun, age_ms }) = by_origin => {
                event!(self.cx.log, STREAM_ORIGIN_FOUND; "request" => %req.id,
                    "resumes" => began_as.map(ToString::to_string), "software" => %software,
                    "has_begun" => has_begun, "age_ms" => age_ms);
                Ok(Some(software))
            }
            Some(single) = by_state => {
                event!(self.cx.log, STREAM_VERSION_CONFIRMED; "request" => %req.id,
                    "resumes" => began_as.map(ToString::to_string),
                    "software" => single.as_ref().map(ToString::to_string),
                    "ms" => arrived.elapsed().as_millis() as u64);
                Ok(single)
            }
            else => {
                event!(self.cx.log, STREAM_ORIGIN_UNKNOWN; "request" => %req.id,
                    "resumes" => began_as.map(ToString::to_string),
                    "versions" => self.software_versions(pool).len(),
                    "ms" => arrived.elapsed().as_millis() as u64);
                let detail = "no instance knows the software version at which the stream began";
                Err(RequestError::not_run(RequestErrorKind::NoTarget, detail))
            }
        }
    }

    fn software_versions(&self, pool: &PoolId) -> Vec<SoftwareVersion> {
        self.cx.view.read(|state| state.software_versions(pool))
    }

    /// Returns the only version that the pool had of late, or that it had none, by a state that is
    /// confirmed now. Fails if there were several, or without a confirmation by the deadline.
    async fn confirm_single_version(
        &self,
        pool: &PoolId,
        deadline: Instant,
    ) -> Option<Option<SoftwareVersion>> {
        // A newer state seldom has fewer, and instances are asked at once.
        if self.software_versions(pool).len() > 1 {
            return None;
        }
        if !(self.cx.confirm_state)(deadline).await {
            return None;
        }
        let mut versions = self.software_versions(pool);
        (versions.len() <= 1).then(|| versions.pop())
    }

    /// Looks a stream up here, and then at other instances.
    async fn find_origin_of(
        &self,
        began_as: Option<&RequestId>,
        pool: &PoolId,
    ) -> Option<StreamOrigin> {
        let began_as = began_as?;
        let known = self.cx.owner.streams.find(began_as);
        if known.as_ref().is_some_and(|origin| origin.has_begun) {
            return known;
        }
        // A pool with a single version usually needs no other instance than the control leader.
        if self.software_versions(pool).len() <= 1 {
            tokio::time::sleep(CONFIRM_HEAD_START).await;
        }
        self.ask_for_origin(began_as, known, pool).await
    }

    /// Asks other instances for a stream; `latest` is what is known here.
    async fn ask_for_origin(
        &self,
        request: &RequestId,
        mut latest: Option<StreamOrigin>,
        pool: &PoolId,
    ) -> Option<StreamOrigin> {
        let deadline = Instant::now() + ASK_TIMEOUT;
        let asked = self.origin_addrs(request, pool).into_iter().map(async |addr| {
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
    fn origin_addrs(&self, request: &RequestId, pool: &PoolId) -> Vec<SocketAddr> {
        let own = (self.cx.session)();
        self.cx.view.read(|state| {
            let others = state.sessions().filter(|s| !s.info.replica && Some(s.id) != own);
            let others: BTreeMap<_, _> = others.map(|s| (s.id, s.info.addrs.rpc)).collect();
            if others.len() <= MAX_ASKED {
                return others.into_values().collect();
            }
            let owners = state.groups_of_pool(pool).filter_map(|group| group.owner);
            let owners = owners.filter_map(|owner| Some((owner, *others.get(&owner)?)));
            let holders = ranked_holders(request, &others).into_iter().take(ASKED_HOLDERS);
            let asked: BTreeMap<_, _> = holders.chain(owners.take(MAX_ASKED)).collect();
            asked.into_values().collect()
        })
    }
}
