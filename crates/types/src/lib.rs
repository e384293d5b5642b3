//! Shared vocabulary: identifiers, sizes, rates, model names and request outcomes.
//!
//! Every other crate builds on these types, and this crate depends on none of them.
//!
//! Architecture Invariant: a value of a type in this crate is valid. Parsing is the only way to
//! obtain a name from text, so code that holds a name need not check it again.

mod base64_bytes;
mod define;
mod hash;
mod ids;
mod model;
mod names;
mod outcome;
mod units;

pub use base64_bytes::Base64Bytes;
pub use hash::{Digest, Fingerprint, KeyHash, ParseHashError};
pub use ids::{
    ControlTimeMs, Epoch, Incarnation, LogIndex, ParseIdError, PermitId, Revision, SessionId, Term,
};
pub use model::{AdapterRef, GroupId, ModelName, ParseGroupIdError, ParseModelNameError};
pub use names::{
    AdapterId, AdapterVersion, AvailabilityZone, BaseModelId, IdempotencyKey, InstanceId,
    ParseNameError, PoolId, Region, RequestId, ServiceId, SubmissionId, SubscriberId, TargetId,
};
pub use outcome::{Outcome, ParseOutcomeError, RequestError, RequestErrorKind};
pub use units::{ParseUnitError, RatePerSecond, Tokens, Weight};
