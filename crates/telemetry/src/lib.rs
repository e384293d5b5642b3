//! Logs with numbered events, and metrics in the prometheus text format.
//!
//! Architecture Invariant: each log line of normal operation carries the code of one event of the
//! catalogue, and `docs/events.md` lists exactly the events of the catalogue.

pub mod events;
mod logger;
mod metrics;

pub use logger::{LogConfig, LogFormat, LogGuard, discard, open, open_to};
pub use metrics::{MAX_SUBSCRIBER_LABELS, Metrics, SubscriberMetrics};
#[doc(hidden)]
pub use slog;
