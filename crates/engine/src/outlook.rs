//! What would happen to a request at the owner of a target group if it arrived now.

use serde::{Deserialize, Serialize};
use shallotdrum_types::{AdapterRef, RequestError, TargetId};

use crate::TargetLoad;

/// What an owner would decide on a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceOutlook {
    /// The decision.
    pub verdict: PlaceVerdict,
    /// Requests that wait for admission in the group.
    pub queued: usize,
    /// Whether urgency and pace decide, or else the fair shares alone.
    pub is_by_urgency: bool,
    /// Expected wait of another request in the group, in milliseconds; absent if the owner does not say.
    pub group_wait_ms: Option<u64>,
    /// Targets of the kind that the request needs, by name.
    pub candidates: Vec<CandidateTarget>,
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum PlaceVerdict {
    /// It gets a place at once.
    Granted {
        /// Target of the place.
        target: TargetId,
    },
    /// It waits.
    Waits {
        /// What is lacking.
        lacks: Lacking,
        /// Target at which the adapter is being loaded, or would be for the request.
        target: Option<TargetId>,
        /// Expected time until it could be started, in milliseconds; absent if the owner has no estimate.
        wait_ms: Option<u64>,
    },
    /// It is refused.
    Refused {
        /// Response to the caller.
        error: RequestError,
    },
}

/// What a waiting request lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lacking {
    /// A load of its adapter, which has begun or would begin at once.
    Load,
    /// A slot for its adapter, or room among the loads from the store.
    Slot,
    /// Capacity of an engine that could serve it.
    Engine,
    /// Capacity of a plain service.
    Service,
    /// Room in the allotment of its customer, which a new owner of a share does not know yet.
    Allotment,
    /// An owner of a target group, or of a share of the allotment.
    Owner,
}

/// Target that could serve a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateTarget {
    /// Name of the target.
    pub target: TargetId,
    /// Whether the request gets its place there.
    pub is_chosen: bool,
    /// Whether the target has room for the request and holds its adapter.
    pub is_free: bool,
    /// Whether it is neither draining nor ejected.
    pub is_active: bool,
    /// Whether it holds the adapter: `ready`, `loading` or `absent`; absent without an adapter.
    pub adapter: Option<Holding>,
    /// Score by which targets are compared, the smallest first; absent under the baseline policy.
    pub score: Option<f64>,
    /// Whether the score is an expected time in milliseconds; otherwise it is relative.
    pub is_score_ms: bool,
    /// Expected factor on the times of the target; absent if its pace is not used.
    pub pace: Option<f64>,
    /// Requests admitted by this owner that have not ended.
    pub running: u32,
    /// Other requests, by the latest report.
    pub foreign: u32,
    /// Limit on concurrent requests.
    pub capacity: u32,
    /// Load that the target stated in its latest response.
    pub stated: Option<TargetLoad>,
    /// Age of `stated`, in milliseconds.
    pub stated_age_ms: Option<u64>,
    /// Age of the latest report, in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Adapters that are ready to serve.
    pub adapters: Vec<AdapterRef>,
}

/// Whether a target holds an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Holding {
    /// It can serve the adapter.
    Ready,
    /// The adapter is being loaded or evicted.
    Loading,
    /// It does not hold the adapter.
    Absent,
}
