//! Channel for places: one connection over which an entry asks an owner for places, units of allotments,
//! and reports ends of places.
//!
//! The entry opens a TCP connection to the owner's data address and upgrades it. Both sides then exchange
//! frames (`frame`), which hold the messages of `messages`. `state` is the entry's side without a network,
//! `connection` the task that moves its frames, and `client` what requests call. `server` is the owner's
//! side. The [design note](../../../../docs/design/place-channel.md) has the reasons.
//!
//! Architecture Invariant: a request that fails because its connection ended is failed once, and its
//! place is reported as ended to the owner.

mod client;
mod connection;
mod frame;
mod messages;
mod server;
mod state;

use std::time::Duration;

pub use client::{ChannelConfig, PlaceChannel, PlaceChannels, UndeliveredFn};
pub use frame::MAX_FRAME_BYTES;
pub use messages::{AllotmentCall, AllotmentStep};
pub use server::{ChannelHandlers, MethodFn, MethodFuture, PlaceServer};
pub use state::{ChannelError, EndReport};

/// Path that is upgraded to a channel.
pub const PLACES_PATH: &str = "/places";

/// Name and version of the protocol. The layout of messages changes only with the version.
pub const PLACES_PROTOCOL: &str = "shallotdrum-places/1";

/// Maximum number of requests that wait on one connection; twice the default length of a group's queue.
pub const MAX_WAITING: usize = 8_192;

/// Header with the channel's id, by which the owner ends the channel's earlier connections.
const CHANNEL_HEADER: &str = "x-shallotdrum-channel";

/// Header with the number of the connection.
const CONNECTION_HEADER: &str = "x-shallotdrum-connection";

/// Time without data from the owner after which it is pinged while something waits for it; the same as for
/// JSON-RPC.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for the reply to a ping; the same as for JSON-RPC.
const PING_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which a connection is pinged although nothing waits for the owner, so that a connection
/// whose peer is gone ends on both sides.
const IDLE_PING_INTERVAL: Duration = Duration::from_secs(10);

/// Time without data after which the owner ends a connection; three idle pings.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of unparsed bytes after which no more is read at once.
const MAX_READ_BYTES: usize = 256 * 1024;
