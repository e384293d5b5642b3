//! The manifest: base models, adapters, subscribers, services and limits of the weight store.
//!
//! Architecture Invariant: a `Manifest` returned by `Manifest::parse` is valid as a whole; one that
//! was deserialized or returned by `apply` must be validated by `check`. The maps are ordered, so
//! equal manifests have equal canonical JSON and equal digests.

mod calls;
mod canonical;
mod check;
mod delta;
mod error;
mod model;
mod query;
mod read;
mod sorted_set;
mod tree;
mod versions;

pub use calls::{CallPath, CallPathError};
pub use canonical::{DeltaSummary, MapDeltaSummary};
pub use check::{MAX_ADAPTERS, MAX_FILE_BYTES, MAX_SUBSCRIBERS};
pub use delta::{ManifestDelta, MapDelta};
pub use error::{MAX_REPORTED_PROBLEMS, ManifestError, ManifestErrors, ManifestProblem};
pub use model::{
    Adapter, AdapterSource, BaseModel, CallRule, Limits, Manifest, Permissions, Service,
    Subscriber, WeightStore,
};
pub use query::{ResolveError, ResolvedModel};
pub use sorted_set::SortedSet;
pub use versions::Versions;
