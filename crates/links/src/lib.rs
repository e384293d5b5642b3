//! Connections from this instance to targets, directly or through another instance.
//!
//! A target that does not respond may have failed, or only the link from this instance to it. What
//! tells them apart is another instance that reaches the target: then the link is broken, and new
//! connections go through another instance until a trial succeeds. `links` decides this, `link` holds
//! the state of one link, and `tunnel` is the protocol between the instances: HTTP `CONNECT` on the
//! address for forwarded requests.
//!
//! `stream` is an open connection to a target, `meter` limits what the target sends on it, and
//! `witness` tells whether the target runs on after one has ended; `framing` says which requests
//! need that. `caller` is the connection of a caller, on both fronts.
//!
//! Architecture Invariant: an instance opens tunnels for others over its own links only, so a request
//! takes one detour at most. Orders to engines never take one, as engines tell owners apart by it.

mod caller;
mod framing;
mod link;
mod links;
mod meter;
mod stream;
mod tunnel;
mod witness;

pub use caller::{CallerStream, EndsWithConnection};
pub use framing::{ends_with_connection, is_final};
pub use link::LinkStatus;
pub use links::{ConnectError, LinkContext, Links, PeerInstance, read_arrived};
pub use meter::ReadMeter;
pub use stream::LinkStream;
pub use tunnel::{REQUEST_HEADER, serve_tunnel};
pub use witness::{QuestionFn, Unanswered, WitnessUse};
