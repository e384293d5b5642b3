//! Types shared by all crates: identifiers, quantities, model names and request outcomes.
//!
//! This crate depends on no other crate of the workspace.
//!
//! Architecture Invariant: every value of these types is valid. A name can only be created by
//! parsing, so code that receives one need not validate it again.

mod base64_bytes;
mod boot_instant;
mod define;
mod freshness;
mod hash;
mod identity;
mod ids;
mod model;
mod names;
mod outcome;
mod rate;
mod units;

pub use base64_bytes::Base64Bytes;
pub use boot_instant::BootInstant;
pub use freshness::{Confirmation, ConfirmationFn, Freshness, FreshnessFn, LastConfirmation};
pub use hash::{Digest, Fingerprint, KeyHash, ParseHashError};
pub use identity::RequestIdentity;
pub use ids::{
    ChannelId, ConnectionNumber, ControlFormat, ControlTimeMs, Epoch, Incarnation, LogIndex,
    ParseIdError, PermitId, ProposalId, RequestNumber, ReservationId, Revision, SessionId, Term,
};
pub use model::{AdapterRef, GroupId, ModelName, ParseGroupIdError, ParseModelNameError};
pub use names::{
    AdapterId, AdapterVersion, AvailabilityZone, BaseModelId, CustomerName, IdempotencyKey,
    InstanceId, ParseNameError, PoolId, Region, RequestId, ServiceId, SoftwareVersion,
    SubmissionId, SubscriberId, TargetId,
};
pub use outcome::{Outcome, ParseOutcomeError, RequestError, RequestErrorKind};
pub use rate::{ParseRateError, RequestRate};
pub use units::{MilliCores, ParseUnitError, RatePerSecond, Tokens, Weight};
