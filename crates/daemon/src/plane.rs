//! Changes and reads of the control state by a front end.

use std::{sync::Arc, time::Duration};

use shallotdrum_control::{Command, ControlView, Proposal, ProposeError, Reply};
use shallotdrum_engine::Announcement;
use shallotdrum_routes::RouteTable;
use shallotdrum_rpc::{ControlClient, PeerApiClient, RpcError};
use shallotdrum_telemetry::event;
use shallotdrum_types::{AdapterId, BaseModelId, RequestError, TargetId};
use tokio::time::Instant;

use crate::targets::Targets;

/// Longest time for a read by an operator, who moves on to another instance after a second.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Changes and reads of the control state by a front end.
#[derive(Clone)]
pub struct ControlPlane {
    pub(crate) view: ControlView,
    pub(crate) client: ControlClient,
    pub(crate) targets: Targets,
    pub(crate) log: slog::Logger,
}

/// Why a change has no clear result.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// The control log did not answer.
    #[error(transparent)]
    Propose(#[from] ProposeError),
    /// The control log refused the change.
    #[error("the control log refused the change: {0}")]
    Refused(shallotdrum_control::CommandError),
    /// A message of a target was not taken.
    #[error(transparent)]
    Target(#[from] RequestError),
}

impl ControlPlane {
    /// Route table in force in this instance; the newest one may not have arrived yet.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.view.read(|state| state.route_table().cloned())
    }

    /// Puts a checked route table in force, unless one with the same or a higher revision is.
    pub async fn put_routes(&self, table: Arc<RouteTable>) -> Result<(), ChangeError> {
        // What is applied here is committed, so the operator's table is overtaken for good.
        if self.routes().is_some_and(|current| current.revision >= table.revision) {
            return Ok(());
        }
        self.propose(Command::PutRoutes { table }).await
    }

    /// Names the current version of an adapter; a lower one than before has no effect.
    pub async fn raise_adapter_version(
        &self,
        base: BaseModelId,
        adapter: AdapterId,
        version: u64,
    ) -> Result<(), ChangeError> {
        self.propose(Command::RaiseAdapterVersion { base, adapter, version }).await
    }

    /// Reads the newest accepted route table from the control leader.
    pub async fn read_routes(&self) -> Result<Option<RouteTable>, RpcError> {
        let deadline = Instant::now() + READ_TIMEOUT;
        self.client
            .call_leader(deadline, |client| async move { client.leader_routes().await })
            .await
    }

    /// Takes a target's announcement.
    pub async fn announce(&self, announcement: Announcement) -> Result<(), ChangeError> {
        let target = announcement.target.clone();
        let is_registered = || self.view.read(|state| state.target(&target).is_some());
        match self.targets.announce(announcement).await {
            // The owner may just have changed; the next announcement comes in time.
            Err(error) if is_registered() => {
                event!(self.log, TARGET_RELAY_FAILED; "target" => %target, "error" => %error);
                Ok(())
            }
            result => Ok(result?),
        }
    }

    /// Takes a target's announcement that it leaves but still answers.
    pub async fn drain_target(&self, announcement: Announcement) -> Result<(), ChangeError> {
        Ok(self.targets.drain(announcement).await?)
    }

    /// Removes a target that has left.
    pub async fn target_left(&self, target: TargetId) -> Result<(), ChangeError> {
        let registered = self
            .view
            .read(|state| state.target(&target).map(|registered| registered.announced.incarnation));
        match registered {
            Some(incarnation) => Ok(self.targets.leave(target, incarnation).await?),
            // It has left before, or this instance has not heard of it yet.
            None => Ok(()),
        }
    }

    async fn propose(&self, command: Command) -> Result<(), ChangeError> {
        match self.client.propose(Proposal::Command(command)).await? {
            Reply::Refused(error) => Err(ChangeError::Refused(error)),
            _ => Ok(()),
        }
    }
}
