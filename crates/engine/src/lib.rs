//! Interface between the system and its targets: messages and the HTTP client.
//!
//! `docs/engine-interface.md` specifies the interface for authors of engines and services.

mod client;
mod connector;
mod messages;
mod outlook;
mod place;
mod prefix;
mod stream;

pub use client::{
    CallError, ClientTimeouts, EngineClient, GENERATE_PATH, NOT_RUN_HEADER, ORDERS_PATH,
    OrderError, REQUEST_ID_HEADER, RequestBody, error_chain, full_body,
};
pub use messages::{
    AdapterStatus, AnnounceReply, Announcement, CacheEvents, Chunk, CompletionRequest, End,
    EngineEvent, FinishReason, Leave, LoadReport, Order, OrderRefusal, OrderRequest, PrefixHash,
    Priority, Resume, TargetKind, Usage,
};
pub use outlook::{CandidateTarget, Holding, Lacking, PlaceOutlook, PlaceVerdict};
pub use place::{
    CopiedOrigin, GrantedPlace, ObservedLimit, PLACE_GRACE, Requirements, StreamOrigin, TargetLoad,
    Urgency,
};
pub use prefix::{PREFIX_BLOCK_BYTES, prefix_hashes};
pub use stream::{CompletionStream, MAX_BUFFERED_CHUNKS, MAX_LINE_BYTES, StreamError};
