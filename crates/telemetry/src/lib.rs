//! Structured logging with event codes, and metrics in the Prometheus text format.
//!
//! Architecture Invariant: each log line of normal operation carries the code of an event in the
//! catalogue, and `docs/events.md` lists exactly the events in the catalogue.

pub mod events;
mod logger;
mod metrics;
mod store_loads;

pub use logger::{LogConfig, LogFormat, LogGuard, discard, open, open_to};
pub use metrics::{MAX_SUBSCRIBER_LABELS, Metrics, OverloadCounters, SubscriberMetrics};
#[doc(hidden)]
pub use slog;
pub use store_loads::{MAX_GROUP_LABELS, StoreLoadValues};
