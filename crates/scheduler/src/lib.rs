//! Scheduler of one target group: queueing, fairness, batching, adapter loads, eviction and target
//! selection. It runs in the instance that owns the group.
//!
//! `urgency.rs`, `turns.rs`, `returns.rs` and `queue_sums.rs` decide who gets room under overload, where
//! the setting asks for it; they use no clock.
//!
//! [`GroupScheduler`] keeps all state of the group behind one mutex. Each change is followed by a
//! dispatch pass whose cost does not depend on the number of adapters.
//!
//! Architecture Invariant: an adapter with admitted or possibly running requests is never named as
//! the victim of a load order, and the slots in use never exceed the engine's adapter slots.

mod api;
mod engine_model;
mod extra_calls;
mod fair;
mod group;
mod held;
mod learned;
mod load_progress;
mod measure;
mod pace;
mod queue_sums;
mod rate_limit;
mod returns;
mod service_share;
mod slots;
mod snapshot;
mod state;
mod store_limit;
mod table;
mod target;
mod turns;
mod urgency;

pub use api::{
    AdmissionRequest, Finish, LoadFailure, LoadFn, LoadOrder, MAX_REQUEST_DEADLINE,
    ORDER_RESPONSE_TIMEOUT, PlaceFeedback, Policy, RequestKind, SchedulerConfig, Scheduling,
    TargetSpec,
};
pub use engine_model::EngineModel;
pub use group::{GroupCopy, GroupScheduler, Lease};
pub use load_progress::LoadProgress;
pub use snapshot::{GroupSnapshot, SubscriberQueue, TargetSnapshot};
pub use store_limit::{EndedLoad, StoreLimit};
