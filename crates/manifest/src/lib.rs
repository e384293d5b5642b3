//! The manifest: subscribers, adapters, services and the weight store's limits.
//!
//! Architecture Invariant: a `Manifest` value passed validation as a whole. Its maps are ordered,
//! so equal manifests have equal canonical JSON and equal digests.

mod delta;
mod model;

pub use delta::{ManifestDelta, MapDelta};
pub use model::{
    Adapter, AdapterSource, BaseModel, CallRule, Limits, Manifest, Permissions, Service,
    Subscriber, WeightStore,
};
