//! Queries that the entry makes to the replicated state.
//!
//! Architecture Invariant: no query on the request path copies the manifest or visits all
//! adapters; only `models` visits those of one subscriber.

use std::net::SocketAddr;

use shallotdrum_types::{
    AdapterRef, BaseModelId, Fingerprint, GroupId, KeyHash, LogIndex, ModelName, PoolId,
    RequestError, RequestErrorKind, ServiceId, SessionId, SubscriberId,
};
use tokio::sync::watch;

/// Queries that the entry makes to the replicated state.
pub trait Catalog: Send + Sync {
    /// Subscriber that a bearer key belongs to.
    fn subscriber_of_key(&self, key: &KeyHash) -> Option<SubscriberId>;

    /// Resolves a model that the subscriber may use.
    fn model(&self, subscriber: &SubscriberId, name: &ModelName) -> Result<Model, LookupError>;

    /// Finds a service that the subscriber may use; `path` has no query.
    fn service(
        &self,
        subscriber: &SubscriberId,
        service: &ServiceId,
        method: &str,
        path: &str,
    ) -> Result<ServiceRoute, LookupError>;

    /// Names of the subscriber's models after `after`, in order, at most `limit`.
    fn models(&self, subscriber: &SubscriberId, after: Option<&str>, limit: usize) -> Vec<String>;

    /// Visits the groups of a pool that have targets.
    fn for_each_group(&self, pool: &PoolId, visit: &mut dyn FnMut(&GroupId));

    /// Owner of a group.
    fn owner(&self, group: &GroupId) -> GroupOwner;

    /// Whether a session has not ended.
    fn is_live(&self, session: SessionId) -> bool;

    /// Whether a request is refused because it crashed targets.
    fn is_quarantined(&self, request: &Fingerprint) -> bool;

    /// Receiver that is notified after each change of the state.
    fn changes(&self) -> watch::Receiver<LogIndex>;
}

/// Resolved model.
#[derive(Clone, Debug)]
pub struct Model {
    /// Base model.
    pub base: BaseModelId,
    /// Adapter and version.
    pub adapter: AdapterRef,
    /// Pool of engines that serves it.
    pub pool: PoolId,
    /// Longest context of the base model, in tokens.
    pub max_context_tokens: u32,
    /// Most tokens that the subscriber may ask for, if limited.
    pub max_output_tokens: Option<u32>,
}

/// Where calls of a service go.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// Pool of targets that runs the service.
    pub pool: PoolId,
    /// Whether this call may be sent again when its result is unknown.
    pub repeatable: bool,
}

/// Owner of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupOwner {
    /// The group has an owner.
    Owned(Owner),
    /// The group has no owner at present.
    Unowned,
    /// The group does not exist.
    Gone,
}

/// Session that owns a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Session.
    pub session: SessionId,
    /// Address for forwarded requests.
    pub data: SocketAddr,
}

/// Why a model or service can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LookupError {
    /// It does not exist.
    #[error("{0} does not exist")]
    NotFound(String),
    /// The subscriber may not use it.
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
