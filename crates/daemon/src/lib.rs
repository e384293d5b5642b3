//! Assembly of an instance: `instance` wires the parts together, the other modules connect them
//! to the control log.
//!
//! `replica` holds the control replica and the leader's duties, `follower` keeps the control
//! state of other instances up to date, `session` keeps this instance's session alive, `targets`
//! relays announcements, `peer` and `admin` serve the RPC methods, `catalog`
//! answers the entry's queries.

mod admin;
mod catalog;
mod disk;
mod follower;
mod instance;
mod membership;
mod peer;
mod plane;
mod replica;
mod session;
mod targets;
mod watch;

pub use instance::{Instance, InstanceError, InstanceOptions, Listeners};
pub use plane::{ChangeError, ControlPlane};
