//! Lookups in the manifest on behalf of requests.

use shallotdrum_types::{
    AdapterId, AdapterRef, AdapterVersion, BaseModelId, ModelName, PoolId, ServiceId,
};

use crate::{Manifest, Subscriber};

/// Result of resolving a model name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedModel {
    /// Name of the base model.
    pub base: BaseModelId,
    /// Adapter, and the requested or current version.
    pub adapter: AdapterRef,
    /// Path of the weights in the weight store.
    pub source: String,
    /// Engine pool that serves the base model.
    pub pool: PoolId,
    /// Maximum context length, in tokens, of prompt and output together.
    pub max_context_tokens: u32,
}

/// Reason why a model name can't be resolved.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResolveError {
    /// The base model is not in the manifest.
    #[error("base model `{0}` does not exist")]
    NoBaseModel(BaseModelId),
    /// The adapter is not in the manifest.
    #[error("adapter `{0}` does not exist")]
    NoAdapter(AdapterId),
    /// The adapter belongs to another base model.
    #[error("adapter `{adapter}` belongs to base model `{actual}`, not `{requested}`")]
    BaseModelMismatch {
        /// Name of the adapter.
        adapter: AdapterId,
        /// Base model named in the request.
        requested: BaseModelId,
        /// Base model that the adapter belongs to.
        actual: BaseModelId,
    },
    /// The adapter does not have the requested version.
    #[error("adapter `{adapter}` has no version `{version}`")]
    NoVersion {
        /// Name of the adapter.
        adapter: AdapterId,
        /// Requested version.
        version: AdapterVersion,
    },
}

impl Manifest {
    /// Resolves a model name to an adapter version and the pool that serves it.
    pub fn resolve(&self, name: &ModelName) -> Result<ResolvedModel, ResolveError> {
        let base = self
            .base_models
            .get(&name.base)
            .ok_or_else(|| ResolveError::NoBaseModel(name.base.clone()))?;
        let adapter = self
            .adapters
            .get(&name.adapter)
            .ok_or_else(|| ResolveError::NoAdapter(name.adapter.clone()))?;
        if adapter.base_model != name.base {
            return Err(ResolveError::BaseModelMismatch {
                adapter: name.adapter.clone(),
                requested: name.base.clone(),
                actual: adapter.base_model.clone(),
            });
        }
        let version = name.version.as_ref().unwrap_or(&adapter.current);
        let source = adapter.versions.get(version).ok_or_else(|| ResolveError::NoVersion {
            adapter: name.adapter.clone(),
            version: version.clone(),
        })?;
        Ok(ResolvedModel {
            base: name.base.clone(),
            adapter: AdapterRef { adapter: name.adapter.clone(), version: version.clone() },
            source: source.path.clone(),
            pool: base.pool.clone(),
            max_context_tokens: base.max_context_tokens,
        })
    }
}

impl Subscriber {
    /// Whether the subscriber may use an adapter, allowed by name or by a pattern.
    pub fn may_use_adapter(&self, adapter: &AdapterId) -> bool {
        let allowed = &self.allow.adapters;
        let name = adapter.as_str();
        if allowed.contains(name) {
            return true;
        }
        // Looks up each prefix of the name instead of scanning the patterns, because a subscriber
        // may have far more entries than the name has characters. Names are ASCII, so slicing at
        // any index is valid.
        (0..=name.len()).any(|len| allowed.contains(format!("{}*", &name[..len]).as_str()))
    }

    /// Whether the subscriber may call a service, allowed by name.
    pub fn may_use_service(&self, service: &ServiceId) -> bool {
        self.allow.services.contains(service)
    }
}
