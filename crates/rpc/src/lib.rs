//! JSON-RPC interface between instances, and from the operators' client to an instance.
//!
//! `api` declares the methods, `messages`, `places`, `explain` and `admin` their parameters and results, and
//! `error` their errors. `peers` caches one client per address, `directory` holds the addresses of
//! the control replicas, `survey` finds the leader or a replica to follow, `control_client` calls the
//! leader, and `transport` delivers consensus messages. `place_channel` carries requests for places
//! over one connection between an entry and an owner.
//!
//! Architecture Invariant: each method is safe to execute twice, so that it may be called again
//! when a response was lost.

mod admin;
mod api;
mod compressed;
mod control_client;
mod directory;
mod error;
mod explain;
mod messages;
mod peers;
mod place_channel;
mod places;
mod survey;
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
pub use explain::{
    ExplainQuery, ExplainedCustomer, ExplainedOutcome, ExplainedRoute, Explanation, GroupChoiceRow,
    PlaceExplanation, PoolRow, ShareRow, TableInForce,
};
pub use messages::{
    Permit, PermitRequest, ProposalTerms, RenewReply, RenewRequest, ReplicaPosition, SessionRow,
    WatchEntry, WatchReply,
};
pub use peers::{MAX_MESSAGE_BYTES, Peers, PeersConfig};
pub use place_channel::{
    AllotmentCall, AllotmentStep, ChannelConfig, ChannelError, ChannelHandlers, EndReport,
    MAX_FRAME_BYTES, MAX_WAITING, MethodFn, MethodFuture, PLACES_PATH, PLACES_PROTOCOL,
    PlaceChannel, PlaceChannels, PlaceServer, UndeliveredFn,
};
pub use places::{EndedPlace, PlaceEnd, PlaceReply, PlaceRequest};
pub use survey::{SurveyedReplica, find_leader, find_source};
pub use transport::RpcTransport;
