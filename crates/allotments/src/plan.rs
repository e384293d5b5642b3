//! Choice of the shard that a request is charged to.

use std::time::{Duration, Instant};

use shallotdrum_types::{CustomerName, GroupId};

use crate::{Lack, Limits, Room, ShardHints};

/// Number of shards besides that of the request's own group that are asked for one request. A request of
/// a customer that exceeds its allotment asks a single shard.
pub const MAX_OTHER_SHARDS: usize = 3;

/// Longest time after there is room at which a refused request is told to return, so that callers do
/// not return together; some of the whole seconds that `Retry-After` states.
const MAX_SPREAD: Duration = Duration::from_secs(3);

/// What to do next to charge a request.
#[derive(Clone, Debug, PartialEq)]
pub enum ChargeStep<'a> {
    /// Ask the owner of this shard.
    Ask(&'a GroupId),
    /// Refuse the request: no shard has room before this time has passed.
    NoRoom(Duration),
    /// No shard has room before this time has passed, but one began empty a short time ago, so the
    /// request may be within the allotment.
    Recovering(Duration),
    /// No shard has room before this time has passed, but units of one are kept for requests that wait
    /// for a place, so the request may be within the allotment.
    Queued(Duration),
    /// No shard has room as far as known, but one could not be reached.
    Unreached {
        /// Whether another shard is known to have no room.
        is_known: bool,
    },
}

/// Request to charge, and what was tried for it.
#[derive(Clone, Copy, Debug)]
pub struct ChargeRequest<'a, 's> {
    /// Customer to charge.
    pub customer: &'a CustomerName,
    /// Units of the request.
    pub units: u64,
    /// Limits of each shard.
    pub limits: Limits,
    /// Shards of the customer that have an owner.
    pub shards: &'a [&'s GroupId],
    /// Number of all shards of the customer.
    pub shard_count: usize,
    /// Group that serves the request, if it has an owner.
    pub own: Option<&'a GroupId>,
    /// Shards that were asked for the request.
    pub asked: &'a [GroupId],
}

/// Chooses the shard to ask next.
///
/// The shard of the request's own group is first, as the request for a place carries the charge at
/// no further message. Then those with the most room follow; `sample`, uniformly distributed between 0 and
/// 1, chooses among equal ones.
pub fn plan_charge<'s>(
    request: &ChargeRequest<'_, 's>,
    hints: &ShardHints,
    now: Instant,
    sample: f64,
) -> ChargeStep<'s> {
    let ChargeRequest { customer, units, limits, shards, asked, .. } = *request;
    let room = |group: &GroupId| hints.room(customer, group, limits, units, now);
    let mut possible: Vec<(f64, &'s GroupId)> = Vec::new();
    let mut shortest: Option<Duration> = None;
    let mut is_unreached = shards.len() < request.shard_count;
    for &group in shards {
        match room(group) {
            Room::Possible(_) if asked.contains(group) => {}
            Room::Possible(level) => possible.push((level, group)),
            Room::None(left) => shortest = Some(shortest.map_or(left, |s| s.min(left))),
            Room::Unreached => is_unreached = true,
        }
    }
    let is_own = |group: &GroupId| request.own == Some(group);
    if let Some((_, own)) = possible.iter().find(|(_, group)| is_own(group)) {
        return ChargeStep::Ask(own);
    }
    let others_asked = asked.iter().filter(|group| !is_own(group)).count();
    let may_ask = match hints.is_exceeding(customer, now) {
        true => asked.is_empty(),
        false => others_asked < MAX_OTHER_SHARDS,
    };
    let most = possible.iter().map(|(level, _)| *level).fold(f64::NEG_INFINITY, f64::max);
    possible.retain(|(level, _)| *level >= most);
    let chosen = (sample.clamp(0.0, 1.0) * possible.len() as f64) as usize;
    match possible.get(chosen.min(possible.len().saturating_sub(1))) {
        Some((_, group)) if may_ask => ChargeStep::Ask(group),
        _ if is_unreached => ChargeStep::Unreached { is_known: shortest.is_some() },
        _ => {
            let left = shortest.unwrap_or(Duration::ZERO);
            let lacks = |lack| shards.iter().any(|group| hints.lack(customer, group, now) == lack);
            match lacks(Lack::Queued) {
                true => ChargeStep::Queued(left),
                false if lacks(Lack::Recovering) && !hints.is_exceeding(customer, now) => {
                    ChargeStep::Recovering(left)
                }
                false => ChargeStep::NoRoom(left),
            }
        }
    }
}

/// Time after which a refused request is told to return; `sample` is uniformly distributed between
/// 0 and 1.
pub fn spread_delay(room_after: Duration, sample: f64) -> Duration {
    room_after + MAX_SPREAD.mul_f64(sample.clamp(0.0, 1.0))
}
