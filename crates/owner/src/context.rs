//! Dependencies of the owner's request path, provided by the instance.

use std::{collections::BTreeSet, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use shallotdrum_control::{Command, ControlView, Proposal, ProposeError, ProposeFn, Reply};
use shallotdrum_engine::{EngineClient, LoadReport, Order, OrderError, OrderRequest};
use shallotdrum_links::Links;
use shallotdrum_scheduler::{Finish, Lease, LoadFailure, LoadOrder, SchedulerConfig};
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{BaseModelId, Epoch, GroupId, Incarnation, PermitId, SessionId, TargetId};
use tokio::time::Instant;

/// Returns the instance's session if its lease is known to be valid, `None` otherwise.
pub type SessionFn = Arc<dyn Fn() -> Option<SessionId> + Send + Sync>;

/// Acquires a weight-store permit for a group; `None` on timeout.
pub type PermitFn =
    Arc<dyn Fn(GroupId) -> Pin<Box<dyn Future<Output = Option<PermitId>> + Send>> + Send + Sync>;

/// Releases a weight-store permit.
pub type ReleaseFn = Arc<dyn Fn(PermitId) + Send + Sync>;

/// Order for an engine to load an adapter or its base model.
#[derive(Clone, Debug)]
pub struct TargetOrder {
    /// Fencing token of the owner.
    pub epoch: Epoch,
    /// When this instance began to own the target's group. What an earlier ownership knew of the target
    /// does not count, even under the same fencing token.
    pub owned_since: std::time::Instant,
    /// Engine that receives the order.
    pub target: TargetId,
    /// Process start of the target that the order is meant for.
    pub incarnation: Incarnation,
    /// Address that the target announced.
    pub addr: SocketAddr,
    /// Base model that the target announced.
    pub base: BaseModelId,
    /// Model to load.
    pub wanted: OrderKind,
    /// When the order was decided; later state of the target was not considered.
    pub decided_at: Instant,
    /// Maximum duration of the order.
    pub timeout: Duration,
}

/// Model that an engine is ordered to load.
#[derive(Clone, Debug)]
pub enum OrderKind {
    /// An adapter, replacing another if the order names one to evict.
    Adapter(LoadOrder),
    /// The base model, for an engine that holds none.
    Base,
}

/// Sends an order to an engine; resolves when the engine has executed it.
pub type OrderFn = Arc<
    dyn Fn(TargetOrder) -> Pin<Box<dyn Future<Output = Result<(), LoadFailure>> + Send>>
        + Send
        + Sync,
>;

/// Load report of an inspected engine.
pub struct Inspection {
    /// What the engine holds.
    pub report: LoadReport,
    /// Number of orders that the engine had accepted by then.
    pub order_count: u64,
    /// Called with the time at which the scheduler applied the report. No order is sent to the engine
    /// until then, and orders that were decided earlier are refused if the engine has accepted
    /// others that were unknown to this instance.
    pub applied: Box<dyn FnOnce(Instant) + Send>,
}

/// Queries the load report of an engine, for engines whose announcements don't state reliably what
/// they hold; `None` if the engine does not respond.
pub type InspectFn = Arc<
    dyn Fn(InspectRequest) -> Pin<Box<dyn Future<Output = Option<Inspection>> + Send>>
        + Send
        + Sync,
>;

/// Identifies an engine to inspect.
#[derive(Clone, Debug)]
pub struct InspectRequest {
    /// When this instance began to own the target's group. After a short loss of ownership the
    /// fencing token may be the same, but what was known of the target before is outdated.
    pub owned_since: std::time::Instant,
    /// Engine to query.
    pub target: TargetId,
    /// Process start that is expected at the address.
    pub incarnation: Incarnation,
    /// Address that the target announced.
    pub addr: SocketAddr,
    /// Base model that the target announced.
    pub base: BaseModelId,
}

/// Returns an [`OrderFn`] for Shallotdrum's own engine API, whose engines always hold their base
/// model.
pub fn engine_orders(engine: EngineClient) -> OrderFn {
    Arc::new(move |order| {
        let engine = engine.clone();
        Box::pin(async move {
            let OrderKind::Adapter(load) = order.wanted else { return Ok(()) };
            let request = OrderRequest {
                epoch: order.epoch,
                order: Order::Load {
                    adapter: load.adapter,
                    source: load.source,
                    evict: load.evict,
                },
            };
            let result = engine.order(order.addr, &request, order.timeout).await;
            result.map_err(|error| match error {
                OrderError::NotSent { .. } => LoadFailure::Failed,
                OrderError::Refused(refusal) => LoadFailure::Refused(refusal),
                OrderError::Unknown { .. } => LoadFailure::Unknown,
            })
        })
    })
}

/// Dependencies and settings of an `OwnerService`.
#[derive(Clone)]
pub struct OwnerContext {
    /// Local copy of the control state; may lag behind the log.
    pub view: ControlView,
    /// Session of this instance while its lease is valid.
    pub session: SessionFn,
    /// Proposes commands to the control log.
    pub propose: ProposeFn,
    /// Acquires weight-store permits.
    pub permit: PermitFn,
    /// Releases weight-store permits.
    pub release: ReleaseFn,
    /// Sends orders to engines.
    pub order: OrderFn,
    /// Queries what engines hold; if absent, announcements are trusted instead.
    pub inspect: Option<InspectFn>,
    /// Client for requests to targets.
    pub engine: EngineClient,
    /// Connections to targets.
    pub links: Links,
    /// Settings for the scheduler of each group.
    pub scheduler: SchedulerConfig,
    /// Receives counters and wait times of requests.
    pub metrics: Metrics,
    /// Receives the events of owned groups.
    pub log: slog::Logger,
    /// Time without an announcement after which a target gets no new work.
    pub target_timeout: Duration,
    /// Maximum body size of a service call, in bytes.
    pub max_body_bytes: usize,
}

impl OwnerContext {
    /// Proposes a command to the control log.
    pub(crate) async fn propose(&self, command: Command) -> Result<Reply, ProposeError> {
        (self.propose)(Proposal::Command(command)).await
    }

    /// Ends the lease of a request without a complete response; a failure of the link does not count
    /// against the target.
    pub(crate) fn finish_failed(&self, lease: Lease) {
        let links = self.links.clone();
        tokio::spawn(async move {
            let finish = match links.is_link_failure(lease.addr).await {
                true => Finish::Cancelled,
                false => Finish::TargetFailed,
            };
            lease.finish(finish);
        });
    }
}

/// Weight-store permits that an instance holds, reported with each lease renewal.
pub type HeldPermits = Arc<std::sync::Mutex<BTreeSet<PermitId>>>;
