//! Start-time fair queueing over subscribers.
//!
//! Each request gets a start tag when it is queued: the virtual time, or the finish tag of the
//! subscriber's previous request if that is later. Requests are served in order of start tags.
//! The virtual time follows the start tags of served requests, so a subscriber gains no credit
//! while it is idle, and capacity that nobody else wants costs nothing later.

use std::collections::BTreeSet;

use shallotdrum_types::Weight;

use tokio::time::Instant;

use crate::{
    measure::{Decayed, Mean},
    state::DEMAND_HALF_LIFE,
};

/// Number of a request, in order of arrival.
pub(crate) type Seq = u64;

/// Position in virtual time, in thousandths of a token per unit of weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Tag(pub(crate) u64);

/// Cost of a request in token equivalents.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct Cost(pub(crate) f64);

impl Cost {
    /// Prompt tokens are processed in parallel, which takes about a quarter of the accelerator
    /// time of generated ones.
    const PROMPT_TOKEN: f64 = 0.25;
    /// A load occupies the weight store for about 0.3 s, in which a batch generates this much for
    /// one request.
    pub(crate) const LOAD: Self = Self(200.0);
    /// A slot that is held keeps others from their adapters; charged next to the tokens.
    const SLOT_SECOND: f64 = 10.0;
    /// Flat cost of a service call: all calls of a service count alike.
    pub(crate) const SERVICE: Self = Self(100.0);

    pub(crate) fn tokens(prompt: u64, completion: f64) -> Self {
        Self(1.0 + Self::PROMPT_TOKEN * prompt as f64 + completion)
    }

    /// Charge for a share of a slot over some seconds.
    pub(crate) fn slot_time(secs: f64, sharers: u32) -> Self {
        Self(Self::SLOT_SECOND * secs / f64::from(sharers.max(1)))
    }
}

/// Account of one subscriber.
#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) weight: f64,
    /// Finish tag of the subscriber's latest request.
    pub(crate) last_finish: Tag,
    /// Queued requests, oldest first.
    pub(crate) queued: BTreeSet<Seq>,
    /// Weight that counts in the group's sum while requests are queued.
    pub(crate) active_weight: f64,
    /// Admitted requests.
    pub(crate) running: u32,
    /// Adapter loads that the subscriber caused lately.
    pub(crate) loads: Decayed,
    /// Tokens of recent answers.
    pub(crate) completion: Mean,
}

impl Account {
    pub(crate) fn new(weight: Weight, now: Instant) -> Self {
        Self {
            weight: weight.get(),
            last_finish: Tag::default(),
            queued: BTreeSet::new(),
            active_weight: 0.0,
            running: 0,
            loads: Decayed::new(DEMAND_HALF_LIFE, now),
            completion: Mean::default(),
        }
    }

    /// Generated tokens to expect of a request with this limit.
    pub(crate) fn expected_completion(&self, max_tokens: u64) -> f64 {
        // Without history half of the limit is assumed; the charge is corrected at the end.
        let max = max_tokens as f64;
        self.completion.get().unwrap_or(max / 2.0).min(max)
    }

    pub(crate) fn charge(&mut self, cost: Cost) {
        self.last_finish.0 = self.last_finish.0.saturating_add(self.span(cost));
    }

    pub(crate) fn refund(&mut self, cost: Cost) {
        self.last_finish.0 = self.last_finish.0.saturating_sub(self.span(cost));
    }

    fn span(&self, cost: Cost) -> u64 {
        (cost.0.max(0.0) * 1000.0 / self.weight) as u64
    }
}

/// Virtual time of the group.
#[derive(Debug, Default)]
pub(crate) struct FairClock {
    now: Tag,
    latest_finish: Tag,
}

impl FairClock {
    /// Assigns the start tag of a new request and charges its estimated cost.
    pub(crate) fn enqueue(&mut self, account: &mut Account, cost: Cost) -> Tag {
        let start = self.now.max(account.last_finish);
        account.last_finish = start;
        account.charge(cost);
        self.latest_finish = self.latest_finish.max(account.last_finish);
        start
    }

    /// Advances virtual time to a request that is served.
    pub(crate) fn serve(&mut self, start: Tag) {
        self.now = self.now.max(start);
    }

    /// Ends a busy period: with nothing queued, all subscribers start equal.
    pub(crate) fn end_busy_period(&mut self) {
        self.now = self.now.max(self.latest_finish);
    }

    /// How far a tag lies ahead of the virtual time, in tokens per unit of weight.
    pub(crate) fn lead(&self, tag: Tag) -> f64 {
        tag.0.saturating_sub(self.now.0) as f64 / 1000.0
    }
}
