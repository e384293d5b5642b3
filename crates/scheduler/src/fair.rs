//! Start-time fair queueing over subscribers.
//!
//! Each queued request gets a start tag: the virtual time, or the finish tag of the subscriber's
//! previous request if that is later. Requests are served in order of start tags. The virtual time
//! follows the start tags of served requests, so a subscriber gains no credit while it is idle, and
//! using otherwise idle capacity costs nothing later.

use std::collections::BTreeSet;

use shallotdrum_types::Weight;

use tokio::time::Instant;

use crate::{
    measure::{DecayingCounter, Ewma},
    state::DEMAND_HALF_LIFE,
};

/// Sequence number of a request, in order of arrival.
pub(crate) type Seq = u64;

/// Virtual time, in thousandths of a token per unit of weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Tag(pub(crate) u64);

/// Cost of a request in token equivalents.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct Cost(pub(crate) f64);

impl Cost {
    /// Prompt tokens are processed in parallel and take about a quarter of the accelerator time of
    /// generated tokens.
    const PROMPT_TOKEN: f64 = 0.25;
    /// Cost of a load, which occupies the weight store for about 0.3 s. In that time, a batch
    /// generates this many tokens for one request.
    pub(crate) const LOAD: Self = Self(200.0);
    /// Cost per second of holding an adapter slot, which blocks other adapters; added to the cost
    /// of the tokens.
    const SLOT_SECOND: f64 = 10.0;
    /// Flat cost of a service call; all calls count the same.
    pub(crate) const SERVICE: Self = Self(100.0);

    pub(crate) fn tokens(prompt: u64, completion: f64) -> Self {
        Self(1.0 + Self::PROMPT_TOKEN * prompt as f64 + completion)
    }

    /// Cost of holding a slot for some seconds, divided by the number of requests that share it.
    pub(crate) fn slot_time(secs: f64, sharers: u32) -> Self {
        Self(Self::SLOT_SECOND * secs / f64::from(sharers.max(1)))
    }
}

/// Fair-queueing state of one subscriber.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    pub(crate) weight: f64,
    /// Finish tag of the subscriber's latest request.
    pub(crate) last_finish: Tag,
    /// Queued requests, oldest first.
    pub(crate) queued: BTreeSet<Seq>,
    /// Weight counted in the group's total while the subscriber has queued requests; otherwise 0.
    pub(crate) active_weight: f64,
    /// Admitted requests.
    pub(crate) running: u32,
    /// Recent adapter loads caused by the subscriber.
    pub(crate) loads: DecayingCounter,
    /// Mean length of recent responses, in tokens.
    pub(crate) completion: Ewma,
}

impl Account {
    pub(crate) fn new(weight: Weight, now: Instant) -> Self {
        Self {
            weight: weight.get(),
            last_finish: Tag::default(),
            queued: BTreeSet::new(),
            active_weight: 0.0,
            running: 0,
            loads: DecayingCounter::new(DEMAND_HALF_LIFE, now),
            completion: Ewma::default(),
        }
    }

    /// Expected number of generated tokens for a request with this limit.
    pub(crate) fn expected_completion(&self, max_tokens: u64) -> f64 {
        // Without history, half of the limit is assumed; the charge is corrected when the request
        // ends.
        let max = max_tokens as f64;
        self.completion.get().unwrap_or(max / 2.0).min(max)
    }

    pub(crate) fn charge(&mut self, cost: Cost) {
        self.last_finish.0 = self.last_finish.0.saturating_add(self.virtual_cost(cost));
    }

    pub(crate) fn refund(&mut self, cost: Cost) {
        self.last_finish.0 = self.last_finish.0.saturating_sub(self.virtual_cost(cost));
    }

    fn virtual_cost(&self, cost: Cost) -> u64 {
        (cost.0.max(0.0) * 1000.0 / self.weight) as u64
    }
}

/// Virtual time of the group.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairClock {
    now: Tag,
    latest_finish: Tag,
}

impl FairClock {
    /// Assigns the start tag of a new request and charges its estimated cost.
    pub(crate) fn enqueue(&mut self, account: &mut Account, cost: Cost) -> Tag {
        let start = self.next_tag(Some(account.last_finish));
        account.last_finish = start;
        account.charge(cost);
        self.latest_finish = self.latest_finish.max(account.last_finish);
        start
    }

    /// Start tag that the next request of a subscriber with this latest finish tag gets.
    pub(crate) fn next_tag(&self, last_finish: Option<Tag>) -> Tag {
        last_finish.map_or(self.now, |last| self.now.max(last))
    }

    /// Advances virtual time to the start tag of a served request.
    pub(crate) fn serve(&mut self, start: Tag) {
        self.now = self.now.max(start);
    }

    /// Ends a busy period, so that all subscribers start equal after the queue was empty.
    pub(crate) fn end_busy_period(&mut self) {
        self.now = self.now.max(self.latest_finish);
    }

    /// Distance of a tag ahead of virtual time, in tokens per unit of weight.
    pub(crate) fn lead(&self, tag: Tag) -> f64 {
        tag.0.saturating_sub(self.now.0) as f64 / 1000.0
    }
}
