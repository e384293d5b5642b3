//! Quorum-replicated log with snapshots, elections and membership changes.

mod machine;
mod transport;

pub use machine::StateMachine;
pub use transport::{Transport, TransportError};
