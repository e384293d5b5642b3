//! Interface through which a front end reads and changes the control state.

use std::{net::IpAddr, sync::Arc, time::Duration};

use jsonrpsee::{core::ClientError, http_client::HttpClient, types::ErrorCode};
use shallotdrum_control::{
    Command, CommandError, ControlView, DIRECT_REPORTS_FORMAT, Proposal, ProposeError, Reply,
};
use shallotdrum_engine::Announcement;
use shallotdrum_routes::RouteTable;
use shallotdrum_rpc::{ControlClient, PeerApiClient, RpcError};
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    AdapterId, BaseModelId, Incarnation, LogIndex, RequestError, Revision, TargetId,
};
use tokio::time::Instant;

use crate::targets::TargetRelay;

/// Timeout of an operator's read; operators try another instance after one second.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Number of attempts to write a route table as a difference from that of this instance; operators
/// send up to eight changes concurrently.
const MAX_DIFF_ATTEMPTS: u32 = 4;

/// Maximum wait for a route table that another change has made the current one; a few heartbeats of
/// the control log.
const CONFLICT_WAIT: Duration = Duration::from_millis(300);

/// Handle with which a front end reads and changes the control state; cheap to clone.
#[derive(Clone)]
pub struct ControlPlane {
    pub(crate) view: ControlView,
    pub(crate) client: ControlClient,
    pub(crate) targets: TargetRelay,
    pub(crate) log: slog::Logger,
}

/// Why a change was not confirmed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// The control log did not confirm the change.
    #[error(transparent)]
    Propose(#[from] ProposeError),
    /// The control log refused the change, which has no effect.
    #[error("the control log refused the change: {0}")]
    Refused(CommandError),
    /// A message of a target was refused or could not be relayed.
    #[error(transparent)]
    Target(#[from] RequestError),
}

/// Why the newest route table could not be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ReadError {
    /// No control leader said which index is the newest.
    #[error("no control leader confirmed an index within {} ms: {source}", waited.as_millis())]
    Unconfirmed {
        /// Why there was no index.
        source: RpcError,
        /// Time since the read began.
        waited: Duration,
    },
    /// This instance has not applied what the leader has committed.
    #[error("index {applied} is applied and {index} is needed after {} ms", waited.as_millis())]
    Behind {
        /// Index that the leader named.
        index: LogIndex,
        /// Index that this instance has applied.
        applied: LogIndex,
        /// Time since the read began.
        waited: Duration,
    },
}

/// What a read of the route table waits for.
enum ReadPosition {
    /// Index to apply here.
    Index(LogIndex),
    /// Table of a leader of an earlier release, which names no index.
    Table(Option<Arc<RouteTable>>),
}

/// Asks the control leader for the position of a read.
async fn read_position(leader: HttpClient) -> Result<ReadPosition, ClientError> {
    match leader.read_index().await {
        Err(ClientError::Call(error)) if error.code() == ErrorCode::MethodNotFound.code() => {
            Ok(ReadPosition::Table(leader.leader_routes().await?.map(Arc::new)))
        }
        index => index.map(ReadPosition::Index),
    }
}

impl ControlPlane {
    /// Current route table of this instance; a newer one may be committed already.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.view.read(|state| state.route_table().cloned())
    }

    /// Index of the last command applied by this instance.
    pub fn applied(&self) -> LogIndex {
        self.view.applied()
    }

    /// Makes a validated route table the current one, unless the current one has the same or a
    /// higher revision.
    ///
    /// Sends only the difference from the table of this instance. If another one was committed
    /// meanwhile, the difference is computed again once that is applied here; after
    /// [`MAX_DIFF_ATTEMPTS`], and without a table here, the whole table is sent.
    pub async fn put_routes(&self, table: Arc<RouteTable>) -> Result<(), ChangeError> {
        for _ in 0..MAX_DIFF_ATTEMPTS {
            let Some(current) = self.routes() else { break };
            // State applied here is committed, so this table is superseded permanently.
            if current.revision >= table.revision {
                return Ok(());
            }
            let command = match Command::put_routes(Some(&current), table.clone()) {
                Ok(command) => command,
                Err(error) => {
                    event!(self.log, ROUTES_SENT_WHOLE; "revision" => table.revision.0, "error" => %error);
                    break;
                }
            };
            match self.propose(command).await {
                Err(ChangeError::Refused(CommandError::RoutesConflict { current, .. })) => {
                    self.wait_for_routes(current).await;
                }
                result => return result,
            }
        }
        self.propose(Command::PutRoutes { table }).await
    }

    /// Waits until this instance has a route table of at least this revision, for a limited time.
    async fn wait_for_routes(&self, revision: Revision) {
        let mut changed = self.view.changed();
        let is_known =
            changed.wait_for(|_| self.routes().is_some_and(|current| current.revision >= revision));
        // After the time limit the difference conflicts once more, or the whole table is sent.
        let _ = tokio::time::timeout(CONFLICT_WAIT, is_known).await;
    }

    /// Raises the current version of an adapter; a version below the current one has no effect.
    pub async fn raise_adapter_version(
        &self,
        base: BaseModelId,
        adapter: AdapterId,
        version: u64,
    ) -> Result<(), ChangeError> {
        self.propose(Command::RaiseAdapterVersion { base, adapter, version }).await
    }

    /// Reads the newest committed route table.
    ///
    /// The control leader names the index that this instance must have applied; the table itself is
    /// that of this instance.
    pub async fn read_routes(&self) -> Result<Option<Arc<RouteTable>>, ReadError> {
        let start = Instant::now();
        let deadline = start + READ_TIMEOUT;
        let confirmed = self.client.call_leader(deadline, read_position).await;
        let confirmed_after = start.elapsed();
        let position = confirmed
            .map_err(|source| ReadError::Unconfirmed { source, waited: confirmed_after })?;
        let table = match position {
            ReadPosition::Index(index) => {
                if !self.wait_for_index(index, deadline).await {
                    let (applied, waited) = (self.applied(), start.elapsed());
                    return Err(ReadError::Behind { index, applied, waited });
                }
                self.routes()
            }
            ReadPosition::Table(table) => table,
        };
        event!(self.log, ROUTES_READ; "revision" => table.as_ref().map(|table| table.revision.0),
            "index" => self.applied().0, "confirmed_ms" => confirmed_after.as_millis() as u64,
            "waited_ms" => start.elapsed().as_millis() as u64);
        Ok(table)
    }

    /// Waits until this instance has applied all that was committed when the call began; `false` if that
    /// was not confirmed by the deadline.
    pub async fn confirm_state(&self, deadline: Instant) -> bool {
        let read_index = async |leader: HttpClient| leader.read_index().await;
        match self.client.call_leader(deadline, read_index).await {
            Ok(index) => self.wait_for_index(index, deadline).await,
            Err(_) => false,
        }
    }

    /// Waits until this instance has applied an index; `false` if it has not by the deadline.
    async fn wait_for_index(&self, index: LogIndex, deadline: Instant) -> bool {
        let mut applied = self.view.changed();
        let is_applied = applied.wait_for(|applied| *applied >= index);
        matches!(tokio::time::timeout_at(deadline, is_applied).await, Ok(Ok(_)))
    }

    /// Registers a target or refreshes its load; failures to relay the load are only logged.
    pub async fn announce(&self, announcement: Announcement) -> Result<(), ChangeError> {
        let target = announcement.target.clone();
        let is_registered = || self.view.read(|state| state.target(&target).is_some());
        match self.targets.announce(announcement).await {
            // The owner may have changed; the target announces itself again before its timeout.
            Err(error) if is_registered() => {
                event!(self.log, TARGET_RELAY_FAILED; "target" => %target, "error" => %error);
                Ok(())
            }
            result => Ok(result?),
        }
    }

    /// Registers a target or refreshes its load like `announce`, at an instance that targets report to in
    /// place of a replica.
    ///
    /// Fails if this instance has no valid lease or the owner was not reached: the target must then
    /// report to a replica, as its owner would take it for silent.
    pub async fn announce_to_owner(&self, announcement: Announcement) -> Result<(), ChangeError> {
        if self.targets.session.current().is_none() {
            return Err(ProposeError::Unavailable.into());
        }
        Ok(self.targets.announce(announcement).await?)
    }

    /// Whether the target is registered, as far as this instance knows.
    pub fn knows_target(&self, target: &TargetId) -> bool {
        self.view.read(|state| state.target(target).is_some())
    }

    /// Address of the instance that owns the target's group, if targets may report to it directly.
    ///
    /// Replicas would otherwise relay each report of each target.
    pub fn direct_owner(&self, target: &TargetId) -> Option<IpAddr> {
        self.view.read(|state| {
            let group = state.group(&state.target(target)?.group)?;
            let owner = state.session(group.owner?)?;
            let is_direct = state.format() >= DIRECT_REPORTS_FORMAT && !owner.info.replica;
            is_direct.then_some(owner.info.addrs.rpc.ip())
        })
    }

    /// Stops new requests to a target that is leaving but still finishes those it has.
    pub async fn drain_target(&self, announcement: Announcement) -> Result<(), ChangeError> {
        Ok(self.targets.drain(announcement).await?)
    }

    /// Removes a target that has left.
    ///
    /// The control log decides about one that is not registered here: this instance may be behind, or
    /// no announcement has arrived yet. Announcements of `newest` and earlier incarnations that arrive
    /// later then do not register it.
    pub async fn remove_target(
        &self,
        target: TargetId,
        newest: Incarnation,
    ) -> Result<(), ChangeError> {
        let registered = self
            .view
            .read(|state| state.target(&target).map(|registered| registered.announced.incarnation));
        match registered {
            Some(incarnation) => Ok(self.targets.leave(target, incarnation).await?),
            None => Ok(self.targets.leave_unknown(target, newest).await?),
        }
    }

    async fn propose(&self, command: Command) -> Result<(), ChangeError> {
        match self.client.propose(Proposal::Command(command)).await? {
            Reply::Refused(error) => Err(ChangeError::Refused(error)),
            _ => Ok(()),
        }
    }
}
