//! Requirements of a request, and the reservation at a target that an owner grants for it.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{
    AdapterRef, Incarnation, RequestId, RequestRate, SoftwareVersion, TargetId,
};

use crate::Priority;

/// Requirements of a request on its target.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Requirements {
    /// Generation on a model, with an adapter if one is named.
    Generation {
        /// Adapter and version; `None` for the plain base model.
        adapter: Option<AdapterRef>,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Maximum completion length in tokens.
        max_tokens: u64,
        /// Hashes of successively longer prefixes of the prompt.
        prefixes: Vec<u64>,
    },
    /// Call to a plain service.
    Call {
        /// Whether the call may be retried.
        is_repeatable: bool,
    },
}

/// Time after a request's deadline at which the owner ends its place itself. An entry reports the end within a
/// round trip of the deadline.
pub const PLACE_GRACE: Duration = Duration::from_secs(1);

/// Reservation at a target, which permits sending one request to it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantedPlace {
    /// Reserved target.
    pub target: TargetId,
    /// Process start of the target that the reservation is for.
    pub incarnation: Incarnation,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Priority to pass to the engine.
    pub priority: Priority,
    /// Whether the owner applies a limit that the target named.
    #[serde(default)]
    pub is_rate_limited: bool,
    /// Version of the software of the process, if it tells one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// Number of groups over which the requests for the adapter should be spread; absent if the owner
    /// does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spread: Option<u32>,
    /// Expected wait of another request in the group, in milliseconds; absent if the owner does not
    /// say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group_wait_ms: Option<u64>,
}

/// How urgent a request is; the smaller, the more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Urgency {
    /// Rank of the customer; 0 is the most urgent.
    pub customer: u8,
    /// Rank of the route; 0 is the most urgent.
    pub route: u8,
}

impl Default for Urgency {
    fn default() -> Self {
        // The middle of the ranks that operators use, for customers without one.
        Self { customer: 5, route: 0 }
    }
}

/// Load that a target states in a response.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// How many times as long as usual work takes at the moment; absent if the target does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slowness: Option<f64>,
}

/// What an entry last saw of the limit on a target's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedLimit {
    /// Target that named the limit.
    pub target: TargetId,
    /// Process start of the target; the limit ends with the process.
    pub incarnation: Incarnation,
    /// Requests per second from all instances together; absent if the target no longer names a
    /// limit.
    pub limit: Option<RequestRate>,
    /// Time since the response that shows it, in milliseconds.
    pub age_ms: u64,
}

/// Software version at which a stream began, for an instance that has no part in the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopiedOrigin {
    /// Request whose response brought the first event.
    pub request: RequestId,
    /// Version of the target's software.
    pub software: SoftwareVersion,
}

/// Software version at which a stream began, as far as one instance knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Version of the target's software.
    pub software: SoftwareVersion,
    /// Whether the first event came from this version; else a place was granted there last.
    pub has_begun: bool,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
}
