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

/// Recent requests of one urgency, by what became of them.
#[derive(Clone, Copy, Debug)]
struct Counts {
    urgency: Urgency,
    granted: f64,
    refused: f64,
    /// With those that wait.
    all: f64,
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

    /// Kinds that are served too rarely, with their turns.
    ///
    /// A kind of which nothing waits is judged as well: all its requests may be refused on arrival because
    /// it has no turns. `waiting` is the number of waiting requests by urgency, each weighted from 0 for one
    /// that has just arrived to 1 for one that counts as not served.
    pub(crate) fn behind(&self, waiting: &BTreeMap<Urgency, f64>, now: Instant) -> Vec<ShareTurns> {
        let without_end = waiting.keys().filter(|urgency| !self.0.contains_key(urgency));
        let urgencies = self.0.keys().chain(without_end);
        let counts: Vec<Counts> = urgencies
            .map(|urgency| {
                let waiting = waiting.get(urgency).copied().unwrap_or_default();
                let ended = self.0.get(urgency);
                let (granted, refused) = ended
                    .map_or((0.0, 0.0), |ended| (ended.granted.get(now), ended.refused.get(now)));
                Counts { urgency: *urgency, granted, refused, all: granted + refused + waiting }
            })
            .collect();
        let granted: f64 = counts.iter().map(|counts| counts.granted).sum();
        let all = counts.iter().map(|counts| counts.all).sum::<f64>().max(1.0);
        let min_share = MIN_RELATIVE_SHARE * granted / all;
        let behind = counts.iter().filter_map(|counts| {
            let is_short = counts.all >= MIN_ENDED && counts.granted / counts.all < min_share;
            let is_behind = is_short || counts.refused >= MIN_REFUSED;
            is_behind.then(|| ShareTurns::of_demand(counts.urgency, counts.all / all))
        });
        behind.collect()
    }
}
