//! Gateway for opaque requests, which are routed by the route table and relayed unchanged.
//!
//! `admit` decides whether and on which route a request is served, `exchange` drives it through its attempts,
//! `explain` says for operators what would happen to one, `in_force` is the route table that
//! judges it, `places` acquires a place, which is a reservation at a target, from the owner of the
//! target's group, `owner_calls` calls owners in other instances, and `connections` is the connection pool. `relay` forwards event streams,
//! `continuation` checks that their events follow each other, `stream_body` is what callers read of
//! a stream, `stream_log` says how each one ended, and `body_end` what shows that a body is complete.
//! `spread` chooses the group of a popular adapter, `fallback` selects a target while a group has no owner, `need` describes a request to the owner,
//! `grant` keeps it to the newest version of its adapter, `budget` limits retries,
//! `body` reads request bodies and whole responses,
//! `held` bounds the memory that bodies take,
//! `limits` keeps the limits that targets name, `withheld` the targets that ask for no
//! requests, `undelivered` the reports of ended places that no owner has yet, `origin` finds the version of a stream that a caller takes up, `origin_copies` keeps it known when instances end, and `decision` holds the
//! retry rules. `customers` decides by the caller's key, which `credentials` reads, and `allotments` charges
//! requests to the allotments of customers, and `charges` keeps what they were given until it is known whether they ran.
//! `progress` knows what each request waits for, `stop` bounds that by the life of the process, and
//! `run_times` says how long runs are expected to take. `fingerprint` recognises repeats of a request, and `crash` those
//! that crash targets.
//!
//! Architecture Invariant: an at-most-once request is sent to a second target only if no byte of
//! it can have reached the first, or the first refused it without running it.

mod admit;
mod allotments;
mod body;
mod body_end;
mod budget;
mod charges;
mod connections;
mod continuation;
mod crash;
mod credentials;
mod customers;
mod decision;
mod errors;
mod events;
mod exchange;
mod explain;
mod fallback;
mod fingerprint;
mod grant;
mod held;
mod in_force;
mod limits;
mod need;
mod origin;
mod origin_copies;
mod owner_calls;
mod places;
mod progress;
mod relay;
mod request;
mod run_times;
mod spread;
mod startup;
mod stop;
mod stream_body;
mod stream_log;
mod undelivered;
mod withheld;

pub use body::CollectedBody;
pub use body_end::{BodyEnd, Framing};
pub use budget::{EntryCount, RetryAllowance, RetryBudget};
pub use connections::{
    Connection, ConnectionPool, ExclusiveConnection, SendError, UnattributedResponse,
};
pub use continuation::{
    ContinuationError, EventOrder, PositionUnknown, check_head, is_event_stream,
};
pub use credentials::Credentials;
pub use customers::{
    Access, KeyRefusal, KeyRefusalReason, RevocationBound, decide as decide_access,
};
pub use decision::{RequestProgress, RetryDecision, SendFailure, decide_retry, resend_delay};
pub use events::{EventSplitter, EventTooLong, MAX_EVENT_BYTES};
pub use exchange::{ConfirmStateFn, Gateway, GatewayContext};
pub use explain::InvalidQuery;
pub use fallback::FallbackSelector;
pub use fingerprint::request_identity;
pub use held::{HeldBytes, HeldMemory, NoMemory};
pub use places::{to_feedback, to_finish};
pub use progress::{
    ProgressGuard, RequestEnd, RequestState, RequestsInProgress, Stage, StopCounts,
};
pub use request::{
    AskFn, CallerRequest, Dispatch, GatewayResponse, Generation, HeaderCodec, MalformedLoad,
    PromptPart, ReadFn, ResponseInfo, WriteFn,
};
pub use run_times::RunTimes;
pub use spread::{SpreadKnowledge, group_weight};
pub use stop::StopTimes;
pub use stream_body::{CallerLeft, MAX_STREAM_BYTES, StreamBody, StreamBroken, StreamSender};
