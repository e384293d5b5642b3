//! Owner's request path: takes forwarded requests and runs them on the owner's targets.

mod forwarder;
mod messages;

pub use forwarder::{
    CALL_HEADER, COMPLETION_PATH, ERROR_HEADER, ForwardBody, ForwardError, Forwarder, FrameStream,
    SERVICE_PATH, full_body,
};
pub use messages::{CompletionCall, Frame, ServiceCall};
