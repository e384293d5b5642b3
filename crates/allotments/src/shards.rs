//! Shards of a customer, and the cost and weight of its requests.

use std::cmp::Reverse;

use shallotdrum_routes::{Allotment, AllotmentUnit};
use shallotdrum_types::{CustomerName, GroupId, Weight};

/// Smallest share of a burst in tokens. Requests count 1,500 to 4,000 tokens, and a share that
/// holds fewer than some of them refuses requests while other shards have room.
const MIN_TOKENS_PER_SHARD: f64 = 20_000.0;

/// Smallest share of a burst in requests.
const MIN_REQUESTS_PER_SHARD: f64 = 8.0;

/// Tokens per second that count as a weight of 1 in fair queueing.
const TOKENS_PER_WEIGHT: f64 = 1000.0;

/// Number of groups that keep a share of an allotment.
pub fn shard_count(allotment: &Allotment, groups: usize) -> usize {
    let min_share = match allotment.unit {
        AllotmentUnit::Tokens => MIN_TOKENS_PER_SHARD,
        AllotmentUnit::Requests => MIN_REQUESTS_PER_SHARD,
    };
    ((allotment.burst / min_share) as usize).clamp(1, groups.max(1))
}

/// Order of all groups for a customer, by rendezvous hashing; the first `shard_count` are its shards.
///
/// Every instance with the same groups computes the same order, and a group that is added or
/// removed does not change the order of the others.
pub fn shards<'a>(
    customer: &CustomerName,
    groups: impl IntoIterator<Item = &'a GroupId>,
) -> Vec<&'a GroupId> {
    let mut order: Vec<&GroupId> = groups.into_iter().collect();
    order.sort_by_cached_key(|group| {
        let hash = blake3::hash(format!("{customer} {group}").as_bytes());
        Reverse((*hash.as_bytes(), (*group).clone()))
    });
    order
}

/// Units that a request counts; `tokens` is the sum of what it states, if it states any.
pub fn units(allotment: &Allotment, tokens: Option<u64>) -> u64 {
    match allotment.unit {
        AllotmentUnit::Requests => 1,
        AllotmentUnit::Tokens => tokens.unwrap_or(allotment.default_tokens).min(MAX_UNITS),
    }
}

/// Units that a request counts at most: far beyond the memory of an engine, and few enough to be exact in
/// sums of a bucket. A request that states more would lock its customer out.
const MAX_UNITS: u64 = 10_000_000;

/// Weight of a customer in fair queueing; the default without an allotment.
pub fn weight(allotment: Option<&Allotment>) -> Weight {
    let rate = allotment.map_or(1.0, |allotment| match allotment.unit {
        AllotmentUnit::Tokens => allotment.rate / TOKENS_PER_WEIGHT,
        AllotmentUnit::Requests => allotment.rate,
    });
    Weight::new(rate.max(1.0)).unwrap_or_default()
}
