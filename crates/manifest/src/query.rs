//! Questions that requests ask of the manifest.

use shallotdrum_types::{
    AdapterId, AdapterRef, AdapterVersion, BaseModelId, ModelName, PoolId, ServiceId,
};

use crate::{Manifest, Subscriber};

/// What a model name stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedModel {
    /// Base model.
    pub base: BaseModelId,
    /// Adapter and version to run on.
    pub adapter: AdapterRef,
    /// Path of the weights in the weight store.
    pub source: String,
    /// Pool of engines that serves the base model.
    pub pool: PoolId,
    /// Longest context, prompt and answer together, in tokens.
    pub max_context_tokens: u32,
}

/// Why a model name stands for nothing.
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
    OtherBaseModel {
        /// Adapter.
        adapter: AdapterId,
        /// Base model in the request.
        requested: BaseModelId,
        /// Base model of the adapter.
        actual: BaseModelId,
    },
    /// The adapter has no such version.
    #[error("adapter `{adapter}` has no version `{version}`")]
    NoVersion {
        /// Adapter.
        adapter: AdapterId,
        /// Version in the request.
        version: AdapterVersion,
    },
}

impl Manifest {
    /// Finds the adapter version that a model name stands for, and where it runs.
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
            return Err(ResolveError::OtherBaseModel {
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
    /// Whether the subscriber may use an adapter, by its name or by a pattern.
    pub fn may_use_adapter(&self, adapter: &AdapterId) -> bool {
        let allowed = &self.allow.adapters;
        let name = adapter.as_str();
        if allowed.contains(name) {
            return true;
        }
        // Looks up each possible prefix, as a subscriber may have far more names than the adapter's
        // name has letters. Names are ASCII, so each length is a boundary.
        (0..=name.len()).any(|len| allowed.contains(format!("{}*", &name[..len]).as_str()))
    }

    /// Whether the subscriber may call a service.
    pub fn may_use_service(&self, service: &ServiceId) -> bool {
        self.allow.services.contains(service)
    }
}
