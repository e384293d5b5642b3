//! The entry's view of the replicated state.
//!
//! Architecture Invariant: no query on the request path copies the manifest or iterates over all
//! adapters; only `models` iterates, over the adapters of one subscriber.

use std::net::SocketAddr;

use shallotdrum_types::{
    AdapterRef, BaseModelId, Fingerprint, GroupId, KeyHash, LogIndex, ModelName, PoolId,
    RequestError, RequestErrorKind, ServiceId, SessionId, SubscriberId,
};
use tokio::sync::watch;

/// Read access to the replicated state, as of the last change that this instance applied.
pub trait Catalog: Send + Sync {
    /// Subscriber with this API key, if the key is known.
    fn subscriber_of_key(&self, key: &KeyHash) -> Option<SubscriberId>;

    /// Resolves a model name for a subscriber; without a version, the current one is used.
    fn model(
        &self,
        subscriber: &SubscriberId,
        name: &ModelName,
    ) -> Result<ResolvedModel, LookupError>;

    /// Resolves a call of a service for a subscriber; `path` excludes the query string.
    fn service(
        &self,
        subscriber: &SubscriberId,
        service: &ServiceId,
        method: &str,
        path: &str,
    ) -> Result<ServiceRoute, LookupError>;

    /// Sorted names of the subscriber's models that follow `after`, at most `limit` of them.
    fn models(&self, subscriber: &SubscriberId, after: Option<&str>, limit: usize) -> Vec<String>;

    /// Calls `visit` for each group of the pool that has targets.
    fn for_each_group(&self, pool: &PoolId, visit: &mut dyn FnMut(&GroupId));

    /// Current owner of the group.
    fn owner(&self, group: &GroupId) -> GroupOwner;

    /// Whether the session has not ended.
    fn is_live(&self, session: SessionId) -> bool;

    /// Whether requests with this fingerprint are rejected because they crashed targets.
    fn is_quarantined(&self, request: &Fingerprint) -> bool;

    /// Receiver that is notified after each change of the replicated state.
    fn changes(&self) -> watch::Receiver<LogIndex>;
}

/// Model name resolved for one subscriber.
#[derive(Clone, Debug)]
pub struct ResolvedModel {
    /// Base model that the adapter extends.
    pub base: BaseModelId,
    /// Adapter with the version that serves the request.
    pub adapter: AdapterRef,
    /// Pool of engines that serves the base model.
    pub pool: PoolId,
    /// Context length of the base model, in tokens.
    pub max_context_tokens: u32,
    /// Upper bound of the subscriber's `max_tokens`; `None` means no limit beside the context.
    pub max_output_tokens: Option<u32>,
}

/// Where and how a call of a service is forwarded.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// Pool of the targets that run the service.
    pub pool: PoolId,
    /// Whether the call is idempotent and may be retried when its outcome is unknown.
    pub repeatable: bool,
}

/// Ownership of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupOwner {
    /// A session owns the group.
    Owned(Owner),
    /// The group exists but has no owner at the moment.
    Unowned,
    /// The group does not exist, or no longer.
    Gone,
}

/// Session that owns a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Session of the owning instance.
    pub session: SessionId,
    /// Address at which the owner accepts forwarded requests.
    pub addr: SocketAddr,
}

/// Why a model or service is not available to a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LookupError {
    /// No model or service has this name.
    #[error("{0} does not exist")]
    NotFound(String),
    /// The manifest does not allow it to the subscriber.
    #[error("the subscriber may not use {0}")]
    Forbidden(String),
}

impl From<LookupError> for RequestError {
    fn from(error: LookupError) -> Self {
        let kind = match &error {
            LookupError::NotFound(_) => RequestErrorKind::NotFound,
            LookupError::Forbidden(_) => RequestErrorKind::Forbidden,
        };
        Self::not_run(kind, error)
    }
}
