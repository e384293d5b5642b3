//! What the owner's request path needs from the rest of the instance.

use std::{collections::BTreeSet, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use shallotdrum_control::{Command, ControlView, Proposal, ProposeError, ProposeFn, Reply};
use shallotdrum_engine::{EngineClient, LoadReport, Order, OrderError, OrderRequest};
use shallotdrum_scheduler::{LoadFailure, LoadOrder, SchedulerConfig};
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{BaseModelId, Epoch, GroupId, Incarnation, PermitId, SessionId, TargetId};
use tokio::time::Instant;

/// Returns the instance's session while its lease is certainly valid.
pub type SessionFn = Arc<dyn Fn() -> Option<SessionId> + Send + Sync>;

/// Waits for a weight-store permit for a group; `None` if none became free in time.
pub type PermitFn =
    Arc<dyn Fn(GroupId) -> Pin<Box<dyn Future<Output = Option<PermitId>> + Send>> + Send + Sync>;

/// Gives a weight-store permit back.
pub type ReleaseFn = Arc<dyn Fn(PermitId) + Send + Sync>;

/// Order to an engine.
#[derive(Clone, Debug)]
pub struct TargetOrder {
    /// Fencing number of the owner.
    pub epoch: Epoch,
    /// Target.
    pub target: TargetId,
    /// Process start of the target.
    pub incarnation: Incarnation,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Base model of the target.
    pub base: BaseModelId,
    /// What the target is to hold.
    pub wanted: Wanted,
    /// When it was decided, by what was known of the target at that time.
    pub decided_at: Instant,
    /// Longest time for the order.
    pub timeout: Duration,
}

/// What an engine is told to hold.
#[derive(Clone, Debug)]
pub enum Wanted {
    /// An adapter, in place of another if one is named.
    Adapter(LoadOrder),
    /// The base model; the engine holds none.
    Base,
}

/// Sends an order to an engine; done when it is carried out.
pub type OrderFn = Arc<
    dyn Fn(TargetOrder) -> Pin<Box<dyn Future<Output = Result<(), LoadFailure>> + Send>>
        + Send
        + Sync,
>;

/// Asks an engine what it holds, for owners that can't rely on announcements; `None` without an
/// answer.
pub type InspectFn = Arc<
    dyn Fn(InspectRequest) -> Pin<Box<dyn Future<Output = Option<LoadReport>> + Send>>
        + Send
        + Sync,
>;

/// Engine to inspect.
#[derive(Clone, Debug)]
pub struct InspectRequest {
    /// When this instance began to own the target's group. It may have lost it for a moment and
    /// kept its fencing number, but not what it knew of the target.
    pub owned_since: std::time::Instant,
    /// Target.
    pub target: TargetId,
    /// Process start of the target.
    pub incarnation: Incarnation,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Base model of the target.
    pub base: BaseModelId,
}

/// Orders over the product's own engine interface, whose engines always hold their base model.
pub fn engine_orders(engine: EngineClient) -> OrderFn {
    Arc::new(move |order| {
        let engine = engine.clone();
        Box::pin(async move {
            let Wanted::Adapter(load) = order.wanted else { return Ok(()) };
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

/// What the owner's request path needs from the rest of the instance.
#[derive(Clone)]
pub struct OwnerContext {
    /// Control state of this instance.
    pub view: ControlView,
    /// Session of this instance.
    pub session: SessionFn,
    /// Writes to the control log.
    pub propose: ProposeFn,
    /// Waits for weight-store permits.
    pub permit: PermitFn,
    /// Gives weight-store permits back.
    pub release: ReleaseFn,
    /// Sends orders to engines.
    pub order: OrderFn,
    /// Asks engines what they hold; without it, their announcements say so.
    pub inspect: Option<InspectFn>,
    /// Client of the targets.
    pub engine: EngineClient,
    /// Settings of the schedulers.
    pub scheduler: SchedulerConfig,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Log of this instance.
    pub log: slog::Logger,
    /// Silence after which a target gets no new work.
    pub target_timeout: Duration,
    /// Longest body of a service call.
    pub max_body_bytes: usize,
}

impl OwnerContext {
    /// Writes a command to the control log.
    pub(crate) async fn propose(&self, command: Command) -> Result<Reply, ProposeError> {
        (self.propose)(Proposal::Command(command)).await
    }
}

/// Set of permits that an instance holds, reported with each renewal.
pub type HeldPermits = Arc<std::sync::Mutex<BTreeSet<PermitId>>>;
