//! Quorum-replicated log with snapshots, elections and membership changes.
//!
//! `Node` keeps the log on disk, agrees on it with the other replicas and drives a
//! `StateMachine` with the committed commands. The caller supplies the `Transport` and passes
//! incoming messages to `Node::handle`.
//!
//! Architecture Invariant: nothing is acknowledged, to a caller or to another replica, before the
//! state it depends on is synced to disk. After a failed sync the node acknowledges nothing more.
//!
//! Architecture Invariant: a replica is identified by its instance id and the random id of its
//! data folder. A folder that was lost never votes under its predecessor's identity.

mod config;
mod error;
mod log;
mod machine;
mod member;
mod message;
mod node;
mod storage;
mod transport;

pub use config::{NodeConfig, SyncHook, Timing};
pub use error::{FatalError, MembershipError, ProposeError, StartError};
pub use machine::StateMachine;
pub use member::{ClusterId, DiskId, Member, Membership};
pub use message::{Answer, DecodeError, Refusal};
pub use node::{CommittedTail, Node, Role, Status};
pub use transport::{Transport, TransportError};
