//! Typed errors of the RPC methods, carried in the `data` member of JSON-RPC errors.

use jsonrpsee::{
    core::ClientError,
    types::{ErrorObjectOwned, error::INTERNAL_ERROR_CODE},
};
use serde::{Deserialize, Serialize};
use shallotdrum_control::CommandError;
use shallotdrum_manifest::ManifestErrors;
use shallotdrum_types::{GroupId, InstanceId, SessionId, TargetId};

/// First error code of the range that JSON-RPC reserves for implementation-defined server errors.
const APPLICATION_ERROR_CODE: i32 = -32_000;

/// Error of an RPC method.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "type", content = "detail", rename_all = "kebab-case")]
pub enum RpcError {
    /// The instance is not the control leader; the call had no effect.
    #[error("this instance is not the control leader")]
    NotLeader {
        /// Current leader, if the instance knows it.
        leader: Option<InstanceId>,
    },
    /// The instance is not a control replica; the call had no effect.
    #[error("this instance is not a control replica")]
    NotReplica,
    /// The control log is unavailable; the call had no effect.
    #[error("the control log is unavailable; no change was made")]
    Unavailable,
    /// The control log applies its commands more slowly than they are sent; the call had no effect.
    #[error("the control log is overloaded; no change was made, retry after {retry_after_ms} ms")]
    Overloaded {
        /// Time after which there is likely room, in milliseconds.
        retry_after_ms: u64,
    },
    /// The leader has not heard from a quorum since the call, so it may not lead any more.
    #[error("no quorum confirmed the control leader in time (last contact: {} ms ago)",
        contact_ms(.quorum_contact_ms))]
    Unconfirmed {
        /// Age of the last message that a quorum acknowledged, in milliseconds; absent unless leader.
        quorum_contact_ms: Option<u64>,
    },
    /// The replica cannot tell whether it has the newest commands.
    #[error("this replica is not connected to the control leader")]
    NotConnected,
    /// The result is unknown; the change may or may not have been made.
    #[error("the control log did not respond in time; the change may have been made")]
    Unknown,
    /// The session has ended, so a new one must be opened.
    #[error("session {0} has ended")]
    NoSession(SessionId),
    /// The instance does not own the target's group.
    #[error("this instance does not own the group of target {0}")]
    NotOwner(TargetId),
    /// The instance does not own the group, or its lease has ended.
    #[error("this instance does not own target group {0}")]
    NotGroupOwner(GroupId),
    /// No permit could be granted within the requested wait.
    #[error("no weight-store permit became available in time")]
    NoPermit,
    /// The manifest failed validation.
    #[error("invalid manifest: {} problem(s)", .0.errors.len())]
    InvalidManifest(ManifestErrors),
    /// The control state machine refused the command.
    #[error(transparent)]
    Refused(#[from] CommandError),
    /// The set of control replicas could not be changed.
    #[error("replica membership change failed: {0}")]
    Membership(String),
    /// The instance has no entry for requests by a route table.
    #[error("this instance has no entry for requests by a route table")]
    NoGateway,
    /// The request to explain is incomplete or contradicts itself.
    #[error("cannot explain the request: {0}")]
    InvalidQuery(String),
    /// No response from the peer; the method may or may not have been executed.
    #[error("no response: {0}")]
    NoAnswer(String),
    /// The peer's response could not be decoded or has an unexpected type.
    #[error("unexpected response: {0}")]
    Malformed(String),
}

fn contact_ms(age: &Option<u64>) -> String {
    age.map_or_else(|| "unknown".to_owned(), |ms| ms.to_string())
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
