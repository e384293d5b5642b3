//! Owner's request path: takes forwarded requests and runs them on the owner's targets.
//!
//! `server` receives what the `forwarder` of an entry sends. `service` keeps the owned groups in
//! line with the control log. `completion` runs model requests, `call` runs calls of plain
//! services, `load` sends load orders, and `crash` finds requests that crash targets.

mod base;
mod call;
mod completion;
mod context;
mod crash;
mod end_guard;
mod fingerprint;
mod forwarder;
mod inspect;
mod load;
mod messages;
mod places;
mod server;
mod service;

pub use context::{
    HeldPermits, InspectFn, InspectRequest, OrderFn, OwnerContext, PermitFn, ReleaseFn, SessionFn,
    TargetOrder, Wanted, engine_orders,
};
pub use fingerprint::completion_fingerprint;
pub use forwarder::{
    CALL_HEADER, COMPLETION_PATH, ERROR_HEADER, ForwardBody, ForwardError, Forwarder, FrameStream,
    SERVICE_PATH,
};
pub use messages::{CompletionCall, Frame, ServiceCall};
pub use places::{PlaceKey, PlaceWork};
pub use server::serve_forwarded;
pub use service::{NotOwned, ORDER_TIMEOUT, OwnerService, TARGET_TIMEOUT};
pub use shallotdrum_engine::full_body;
pub use shallotdrum_scheduler::{Finish, LoadFailure, LoadOrder};
