//! Request path of a group owner: receives forwarded requests and runs them on its targets.
//!
//! An entry is the instance that accepted a caller's request; the owner is the instance that
//! schedules the target group that serves it. `forwarder` is the client in the entry, `server` the
//! listener in the owner. `service` synchronizes the owned groups with the control log,
//! `completion` runs model requests, `call` runs calls to plain services, `places` grants
//! reservations at targets, `load` and `base` send load orders, `inspect` queries the state of
//! engines, `streams` remembers where streams began, `crash` detects
//! requests that crash targets, `gauges` sets the metrics of owned groups, `relayed` those that entries send themselves, `quarantine` refuses them, `runs` and `part_runs`
//! count what speaks against a suspicion, and `unrecorded` holds the crashes that the control log
//! does not have yet.

mod allotments;
mod base;
mod call;
mod completion;
mod context;
mod crash;
mod crashed_targets;
mod end_guard;
mod explain;
mod fingerprint;
mod forwarder;
mod gauges;
mod inspect;
mod links;
mod load;
mod messages;
mod part_runs;
mod places;
mod quarantine;
mod relayed;
mod runs;
mod server;
mod service;
mod streams;
mod target_body;
mod unanswered;
mod unrecorded;

pub use allotments::ChargeError;
pub use context::{
    HeldPermits, InspectFn, InspectRequest, Inspection, OrderFn, OrderKind, OwnerContext, PermitFn,
    ReleaseFn, SessionFn, TargetOrder, engine_orders,
};
pub use crash::{CrashStatus, RunningGuard};
pub use fingerprint::{completion_fingerprint, completion_identity};
pub use forwarder::{
    CALL_HEADER, COMPLETION_PATH, ERROR_HEADER, ForwardBody, ForwardError, Forwarder, FrameStream,
    SERVICE_PATH,
};
pub use messages::{CompletionCall, Frame, ServiceCall};
pub use places::{PlaceAdmission, PlaceKey};
pub use server::{Upgrade, serve_forwarded};
pub use service::{NotOwned, ORDER_TIMEOUT, OwnerService, TARGET_TIMEOUT};
pub use shallotdrum_engine::full_body;
pub use shallotdrum_scheduler::{
    Finish, LoadFailure, LoadOrder, ORDER_RESPONSE_TIMEOUT, PlaceFeedback,
};
pub use streams::StreamOrigins;
