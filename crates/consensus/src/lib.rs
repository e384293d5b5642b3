//! Implementation of the Raft consensus algorithm, with pre-vote, leader leases, leadership
//! transfer, snapshots and single-server membership changes.
//!
//! `Node` stores the replicated log on disk, runs the protocol with the other replicas and applies
//! committed commands to a `StateMachine`. The caller supplies the `Transport` and passes incoming
//! messages to `Node::handle`.
//!
//! Architecture Invariant: nothing is acknowledged, to a caller or to another replica, before the
//! state it depends on is synced to disk. After a failed sync the node sends no more
//! acknowledgements.
//!
//! Architecture Invariant: a replica is identified by its instance id and the random id of its
//! data folder. A replica whose data folder was lost gets a new identity and cannot vote under the
//! previous one.

mod config;
mod error;
mod log;
mod machine;
mod member;
mod message;
mod node;
mod storage;
mod transport;

pub use config::{NodeConfig, SyncHook, Timing, WriteHook};
pub use error::{FatalError, MembershipError, ProposeError, StartError};
pub use machine::StateMachine;
pub use member::{ClusterId, DiskId, Member, Membership};
pub use message::{DecodeError, Refusal, ResponseEnvelope};
pub use node::{CommittedTail, Node, Role, Status};
pub use transport::{Transport, TransportError};
