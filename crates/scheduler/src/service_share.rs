//! How often requests of each urgency are served, as a bound on the order by urgency.
//!
//! The grants by tag alone are shared by all kinds that do not get enough by rank, so that the one with
//! the shortest deadlines may get few of them: calls at 1.5 times the capacity of plain services were
//! served a fifth as often as all. The shares measured here show which kinds fall behind, and their share
//! of the demand, which their turns follow.

use std::{collections::BTreeMap, time::Duration};

use shallotdrum_engine::Urgency;
use tokio::time::Instant;

use crate::{measure::DecayingCounter, turns::ShareTurns};

/// Half-life of the counts: shorter than an overload of a few seconds, and long compared with the time
/// between two grants of a kind that is served rarely.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Share of served requests relative to that of all below which a kind is behind. A kind is to be served
/// at least a quarter as often as all; the rest covers the delay until the counts show it.
const MIN_RELATIVE_SHARE: f64 = 0.4;
/// Requests that must have ended before a share is judged.
const MIN_ENDED: f64 = 4.0;
/// Recent refusals from which a kind has turns whatever its share. In a burst, the share takes seconds to
/// show that a kind falls behind, in which those of its requests are refused that had time for a turn.
const MIN_REFUSED: f64 = 1.0;
/// Number of urgencies above which those without recent requests are forgotten.
const MAX_URGENCIES: usize = 256;

/// Requests of one urgency that were granted a place, or refused.
#[derive(Clone, Copy, Debug)]
struct Ended {
    granted: DecayingCounter,
    refused: DecayingCounter,
}

/// Shares of served requests by urgency, for the targets of one kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceShares(BTreeMap<Urgency, Ended>);

impl ServiceShares {
    pub(crate) fn record_grant(&mut self, urgency: Urgency, now: Instant) {
        self.entry(urgency, now).granted.add(1.0, now);
    }

    pub(crate) fn record_refusal(&mut self, urgency: Urgency, now: Instant) {
        self.entry(urgency, now).refused.add(1.0, now);
    }

    fn entry(&mut self, urgency: Urgency, now: Instant) -> &mut Ended {
        if self.0.len() >= MAX_URGENCIES {
            self.0.retain(|_, ended| ended.granted.get(now) + ended.refused.get(now) >= 1.0);
        }
        let new = || DecayingCounter::new(HALF_LIFE, now);
        self.0.entry(urgency).or_insert_with(|| Ended { granted: new(), refused: new() })
    }

    /// Kinds of the waiting requests that are served too rarely, with their turns.
    ///
    /// `waiting` is the number of waiting requests by urgency, each weighted from 0 for one that has just
    /// arrived to 1 for one that counts as not served.
    pub(crate) fn behind(&self, waiting: &BTreeMap<Urgency, f64>, now: Instant) -> Vec<ShareTurns> {
        let ended = |urgency: &Urgency| {
            let ended = self.0.get(urgency);
            ended.map_or((0.0, 0.0), |ended| (ended.granted.get(now), ended.refused.get(now)))
        };
        // Grants, and all requests.
        let counts = |urgency: &Urgency| {
            let waited = waiting.get(urgency).copied().unwrap_or_default();
            let (granted, refused) = ended(urgency);
            (granted, granted + refused + waited)
        };
        let without_end = waiting.keys().filter(|urgency| !self.0.contains_key(urgency));
        let (granted, all) = self
            .0
            .keys()
            .chain(without_end)
            .map(counts)
            .fold((0.0, 0.0), |sum, (granted, all)| (sum.0 + granted, sum.1 + all));
        let min_share = MIN_RELATIVE_SHARE * granted / f64::max(all, 1.0);
        let behind = waiting.keys().filter_map(|urgency| {
            let (granted, of_kind) = counts(urgency);
            let is_short = of_kind >= MIN_ENDED && granted / of_kind < min_share;
            let is_behind = is_short || ended(urgency).1 >= MIN_REFUSED;
            is_behind.then(|| ShareTurns::of_demand(*urgency, of_kind / f64::max(all, 1.0)))
        });
        behind.collect()
    }
}
