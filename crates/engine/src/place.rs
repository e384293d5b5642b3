//! What a request needs of a target, and the place that an owner grants it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallotdrum_types::{AdapterRef, Incarnation, TargetId};

use crate::Priority;

/// What a request needs of a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Need {
    /// A model, with an adapter if one is named.
    Generation {
        /// Adapter and version.
        adapter: Option<AdapterRef>,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Most tokens of the answer.
        max_tokens: u64,
        /// Identifiers of successively longer prefixes of the prompt.
        prefixes: Vec<u64>,
    },
    /// A call of a plain service.
    Call {
        /// Whether the call may be sent again.
        is_repeatable: bool,
    },
}

/// Place at a target: the right to send one request there.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantedPlace {
    /// Target.
    pub target: TargetId,
    /// Process start of the target.
    pub incarnation: Incarnation,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Priority to pass to the engine.
    pub priority: Priority,
}
