//! Opaque requests: routed by the route table and relayed byte for byte.
//!
//! `exchange` takes a caller's request through all its attempts, `places` asks the owners of the
//! target groups for places, `connections` keeps connections to targets, `relay` passes on streams
//! of events, `fallback` chooses a target while a group has no owner, `budget` bounds retries, and `decision` holds the rules for another attempt.
//!
//! Architecture Invariant: a request that may not be repeated is sent to a second target only if
//! no byte of it can have reached the first, or the first refused it without running it.

mod budget;
mod connections;
mod decision;
mod events;
mod exchange;
mod fallback;
mod places;
mod relay;
mod request;

pub use budget::{RetryBudget, RetryShare};
pub use connections::{Connection, Connections, SendError};
pub use decision::{After, Attempt, Step, next_step};
pub use events::EventSplitter;
pub use exchange::{Gateway, GatewayContext};
pub use fallback::Holders;
pub use places::finish;
pub use request::{
    Answer, AnswerInfo, CallerRequest, Dialect, Dispatch, Generation, PromptPart, ReadFn,
    StreamBody, WriteFn,
};
