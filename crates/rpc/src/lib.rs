//! JSON-RPC interface between instances and to the operators' client.
//!
//! General first: `api` lists the methods, `messages` and `admin` their parameters, `error` their
//! failures. `peers` keeps one client for each address; `control_client` finds the control
//! leader; `transport` carries the messages of the control log.
//!
//! Architecture Invariant: each method is safe to send twice, so that a caller may retry when an
//! answer was lost.

mod admin;
mod api;
mod compressed;
mod control_client;
mod directory;
mod error;
mod messages;
mod peers;
mod places;
mod transport;

pub use admin::{
    AdapterRow, CallCounts, GroupRow, InstanceRow, ManifestCheck, ManifestSummary, ManifestView,
    PermitRow, QuarantineRow, ReplicaStatus, SubmissionRow, SubscriberRow, TargetRow,
};
pub use api::{AdminApiClient, AdminApiServer, PeerApiClient, PeerApiServer};
pub use compressed::Compressed;
pub use control_client::{ControlClient, ControlClientConfig};
pub use directory::Directory;
pub use error::RpcError;
pub use messages::{
    Permit, PermitRequest, RenewReply, RenewRequest, SessionRow, WatchEntry, WatchReply,
};
pub use peers::{MAX_MESSAGE_BYTES, Peers, PeersConfig};
pub use places::{EndedPlace, PlaceEnd, PlaceReply, PlaceRequest};
pub use transport::RpcTransport;
