//! Assembly of an instance: `instance` wires the components together, the other modules connect
//! them to the control log.
//!
//! `replica` runs the control replica and the leader's duties, `in_flight` keeps its proposals from
//! being written twice, `membership` changes the set of
//! replicas, `follower` keeps the control state up to date on instances without a replica,
//! `session` opens and renews the session of this instance, `targets` relays announcements to
//! owners, `peer` and `admin` serve the RPC methods, `catalog` serves the entry's lookups,
//! `plane` is the interface for front ends, `watch` logs state changes and updates gauges,
//! `apply_costs` tells what applying the log costs, and `disk` waits for a writable data folder.

mod admin;
mod apply_costs;
mod catalog;
mod disk;
mod follower;
mod in_flight;
mod instance;
mod links;
mod membership;
mod peer;
mod place_channel;
mod plane;
mod replica;
mod session;
mod targets;
mod watch;

pub use instance::{Instance, InstanceError, InstanceOptions, Listeners};
pub use plane::{ChangeError, ControlPlane, ReadError};
