//! Interface between the system and its targets: messages and the HTTP client.

mod messages;

pub use messages::{
    AdapterStatus, Announcement, Chunk, CompletionRequest, End, EngineEvent, FinishReason,
    LoadReport, Order, OrderRefusal, OrderRequest, Priority, Resume, TargetKind, Usage,
};
