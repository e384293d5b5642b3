//! Messages of the operators' question where a request would go.

use serde::{Deserialize, Serialize};
use shallotdrum_allotments::AllotmentReply;
use shallotdrum_engine::{Lacking, PlaceOutlook};
use shallotdrum_types::{
    AdapterId, BaseModelId, CustomerName, GroupId, InstanceId, LogIndex, PoolId, RequestError,
    Revision, TargetId,
};

/// Request to explain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainQuery {
    /// Host that the caller would name.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Customer whose key the request would have; absent for a request without one.
    pub customer: Option<CustomerName>,
    /// Base model; the only one of the pool if absent.
    pub model: Option<BaseModelId>,
    /// Adapter of the base model.
    pub adapter: Option<AdapterId>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: Option<u64>,
    /// Maximum length of the response in tokens.
    pub max_tokens: Option<u64>,
    /// How long the caller would wait; the route's timeout if that is shorter, or if absent.
    pub deadline_ms: Option<u64>,
}

/// Where a request would go now, and why.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// What would happen to the request.
    pub outcome: ExplainedOutcome,
    /// Route table by which the instance decides.
    pub table: TableInForce,
    /// Route of the request; absent if there is none.
    pub route: Option<ExplainedRoute>,
    /// Customer that the request would run for; absent without one.
    pub customer: Option<ExplainedCustomer>,
    /// Shares of the customer's allotment; empty without one.
    pub shares: Vec<ShareRow>,
    /// Pools of the route.
    pub pools: Vec<PoolRow>,
    /// Groups of the chosen pool.
    pub groups: Vec<GroupChoiceRow>,
    /// What the owner of the chosen group says; absent if it was not asked, or did not answer.
    pub place: Option<PlaceOutlook>,
    /// Why an owner that was asked did not answer.
    pub owner_error: Option<String>,
}

/// What would happen to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum ExplainedOutcome {
    /// It would be sent at once.
    Sent {
        /// Target that it would be sent to.
        target: TargetId,
        /// Whether the owner of its group chose the target; otherwise the entry would.
        by_owner: bool,
    },
    /// It would wait, until its deadline at the latest.
    Waits {
        /// What is lacking.
        lacks: Lacking,
        /// Expected time until it could be sent, in milliseconds; absent without an estimate.
        wait_ms: Option<u64>,
    },
    /// It would be refused.
    Refused {
        /// Response to the caller.
        error: RequestError,
    },
}

/// Route table in force at an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableInForce {
    /// Revision of the table; 0 without one.
    pub revision: Revision,
    /// Index of the control log up to which the instance was confirmed; absent before the first time.
    pub confirmed_index: Option<LogIndex>,
    /// Age of the last confirmation, in milliseconds; absent before the first one.
    pub confirmed_ms: Option<u64>,
}

/// Route that a request was matched to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedRoute {
    /// Name of the route.
    pub route: String,
    /// Host of the route.
    pub host: String,
    /// Prefix of its paths.
    pub prefix: String,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Limit on the time of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// Customer that a request would run for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedCustomer {
    /// Name of the customer.
    pub customer: CustomerName,
    /// Rank; absent if it has none.
    pub rank: Option<u8>,
    /// Units that the request would be charged; absent without an allotment.
    pub units: Option<u64>,
    /// Units of the allotment per second.
    pub rate: Option<f64>,
    /// Largest level of the allotment.
    pub burst: Option<f64>,
}

/// Share of a customer's allotment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareRow {
    /// Group that keeps the share.
    pub group: GroupId,
    /// Owner of the group.
    pub owner: Option<InstanceId>,
    /// Units that are left, by the latest reply of the owner; absent without one.
    pub level: Option<f64>,
    /// Age of the level, in milliseconds; 0 if the owner was asked now.
    pub age_ms: Option<u64>,
    /// Whether the owner was asked for this explanation.
    pub is_asked: bool,
    /// Whether it has room for the request; absent if it was not asked.
    pub has_room: Option<bool>,
}

/// Pool of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Name of the pool.
    pub pool: PoolId,
    /// Part of the requests, relative to the other pools.
    pub weight: u32,
    /// Whether this explanation is about the pool. Pools are chosen at random by their weights.
    pub is_chosen: bool,
}

/// Group that was considered for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupChoiceRow {
    /// Name of the group.
    pub group: GroupId,
    /// Instance that owns it; absent without one.
    pub owner: Option<InstanceId>,
    /// Wait that its owner stated, in milliseconds; absent without a statement.
    pub wait_ms: Option<u64>,
    /// Age of the statement, in milliseconds.
    pub wait_age_ms: Option<u64>,
    /// Whether the request would go there.
    pub is_chosen: bool,
}

/// What the owner of a group would decide.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceExplanation {
    /// Decision on the request for a place.
    pub place: Result<PlaceOutlook, RequestError>,
    /// Reply to the charge; absent without one.
    pub allotment: Option<Result<AllotmentReply, RequestError>>,
}
