//! Typed failures of the methods, carried in the `data` member of JSON-RPC errors.

use jsonrpsee::{
    core::ClientError,
    types::{ErrorObjectOwned, error::INTERNAL_ERROR_CODE},
};
use serde::{Deserialize, Serialize};
use shallotdrum_control::CommandError;
use shallotdrum_manifest::ManifestErrors;
use shallotdrum_types::{InstanceId, SessionId, TargetId};

/// First code of the range that JSON-RPC leaves to applications.
const APPLICATION_ERROR_CODE: i32 = -32_000;

/// Failure of a method.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "type", content = "detail", rename_all = "kebab-case")]
pub enum RpcError {
    /// The instance is not the control leader; nothing was done.
    #[error("this instance is not the control leader")]
    NotLeader {
        /// Leader, if known.
        leader: Option<InstanceId>,
    },
    /// The instance is no control replica; nothing was done.
    #[error("this instance is no control replica")]
    NotReplica,
    /// The control log is not available; nothing was done.
    #[error("the control log is not available; nothing was changed")]
    Unavailable,
    /// The change may or may not have been made.
    #[error("the control log did not answer in time; the change may have been made")]
    Unknown,
    /// The session has ended.
    #[error("session {0} has ended")]
    NoSession(SessionId),
    /// The instance does not own the target's group.
    #[error("this instance does not own the group of target {0}")]
    NotOwner(TargetId),
    /// No permit became free within the wait.
    #[error("no weight-store permit became free in time")]
    NoPermit,
    /// The manifest is not valid.
    #[error("the manifest is not valid: {} problem(s)", .0.errors.len())]
    InvalidManifest(ManifestErrors),
    /// The command was refused.
    #[error(transparent)]
    Refused(#[from] CommandError),
    /// The change of the replicas was refused.
    #[error("the change of the replicas failed: {0}")]
    Membership(String),
    /// The peer did not answer; the method may or may not have been run.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The peer's answer can't be understood.
    #[error("unexpected answer: {0}")]
    Malformed(String),
}

impl From<RpcError> for ErrorObjectOwned {
    fn from(error: RpcError) -> Self {
        let code = match error {
            RpcError::Malformed(_) => INTERNAL_ERROR_CODE,
            _ => APPLICATION_ERROR_CODE,
        };
        ErrorObjectOwned::owned(code, error.to_string(), Some(error))
    }
}

impl From<ClientError> for RpcError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::Call(object) => match object.data() {
                Some(data) => serde_json::from_str(data.get())
                    .unwrap_or_else(|_| Self::Malformed(object.message().to_owned())),
                None => Self::Malformed(object.message().to_owned()),
            },
            ClientError::ParseError(e) => Self::Malformed(e.to_string()),
            e => Self::NoAnswer(e.to_string()),
        }
    }
}
