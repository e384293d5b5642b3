//! What the owner's request path needs from the rest of the instance.

use std::{collections::BTreeSet, pin::Pin, sync::Arc};

use shallotdrum_control::{Command, ControlView, Proposal, ProposeError, ProposeFn, Reply};
use shallotdrum_engine::EngineClient;
use shallotdrum_scheduler::SchedulerConfig;
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{GroupId, PermitId, SessionId};

/// Returns the instance's session while its lease is certainly valid.
pub type SessionFn = Arc<dyn Fn() -> Option<SessionId> + Send + Sync>;

/// Waits for a weight-store permit for a group; `None` if none became free in time.
pub type PermitFn =
    Arc<dyn Fn(GroupId) -> Pin<Box<dyn Future<Output = Option<PermitId>> + Send>> + Send + Sync>;

/// Gives a weight-store permit back.
pub type ReleaseFn = Arc<dyn Fn(PermitId) + Send + Sync>;

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
    /// Client of the targets.
    pub engine: EngineClient,
    /// Settings of the schedulers.
    pub scheduler: SchedulerConfig,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Log of this instance.
    pub log: slog::Logger,
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
