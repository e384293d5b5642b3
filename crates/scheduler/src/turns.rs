//! By what each grant to a waiting request goes: by rank, by tag alone, or to a kind that falls behind.
//!
//! Answers long overloads, in which the order by rank alone would starve the least urgent kinds. One
//! grant in eight goes by tag. A kind that is served too rarely gets a part of the grants that follows
//! its share of the demand: with one grant in eight for all of them, 0.114 to 0.145 of a kind with 0.35
//! of the demand and 5 s of time was finished in a burst of 2.4 times the capacity, less than a quarter
//! of what all got. The module uses no network and no clock.

use std::{cmp::Ordering, collections::BTreeMap};

use shallotdrum_engine::Urgency;

use crate::{
    fair::Seq,
    urgency::{NO_URGENCY, Rank},
};

/// Every so many grants to waiting requests, one goes by tag alone.
pub(crate) const GRANTS_PER_TAG_TURN: u32 = 8;
const LAST_TURN: u32 = GRANTS_PER_TAG_TURN - 1;
/// Part of the grants for a kind that falls behind, relative to its share of the demand. A kind is to be
/// served at least a quarter as often as all; the rest covers responses that are cut off, and the time
/// until the counts show that it falls behind.
const GRANTS_PER_DEMAND: f64 = 0.5;
/// Turns that a kind can save up while no target can take its requests.
const MAX_CREDIT: f64 = 2.0;

/// By what the next grant goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    Rank,
    Tag,
    /// Requests of this urgency first.
    Share(Urgency),
}

impl Order {
    /// Key by which entries of several queues are compared.
    pub(crate) fn key(self, (rank, seq): (Rank, Seq)) -> (Rank, Seq) {
        match self {
            Self::Share(urgency) if rank.urgency == urgency => {
                (Rank { urgency: NO_URGENCY, ..rank }, seq)
            }
            Self::Rank | Self::Share(_) => (rank, seq),
            Self::Tag => (Rank::by_tag(rank.tag), seq),
        }
    }

    /// Puts loads for more urgent requests first, and of these the ones with higher scores.
    pub(crate) fn compare_loads(self, a: (Urgency, f64), b: (Urgency, f64)) -> Ordering {
        let by_score = b.1.total_cmp(&a.1);
        match self {
            Self::Rank | Self::Share(_) => a.0.cmp(&b.0).then(by_score),
            Self::Tag => by_score,
        }
    }
}

/// Part of the grants that a kind gets beside the order by rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ShareTurns {
    pub(crate) urgency: Urgency,
    /// Part of all grants to waiting requests.
    pub(crate) grants: f64,
}

impl ShareTurns {
    /// Turns of a kind that falls behind, with this share of the demand.
    pub(crate) fn of_demand(urgency: Urgency, share: f64) -> Self {
        Self { urgency, grants: GRANTS_PER_DEMAND * share.clamp(0.0, 1.0) }
    }
}

/// Turns of one urgency.
pub(crate) fn find_turns(turns: &[ShareTurns], urgency: Urgency) -> Option<&ShareTurns> {
    turns.iter().find(|turns| turns.urgency == urgency)
}

/// Turns that a kind which falls behind has not used yet.
#[derive(Clone, Copy, Debug, Default)]
struct Credit {
    turns: f64,
    /// Grants that went to other kinds although this one was due, since its latest grant.
    passed_over: u32,
}

/// Counts grants, to find those that do not go by rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct Turns {
    grants: u32,
    credits: BTreeMap<Urgency, Credit>,
}

impl Turns {
    /// By what the next grant goes.
    pub(crate) fn order(&self) -> Order {
        if self.grants % GRANTS_PER_TAG_TURN == LAST_TURN {
            return Order::Tag;
        }
        self.due().map_or(Order::Rank, Order::Share)
    }

    /// Kind that has the next turn.
    ///
    /// One that was passed over comes after the others: no free target can take its requests, or none of
    /// them wait, and it must not keep the turns from them.
    fn due(&self) -> Option<Urgency> {
        let due = self.credits.iter().filter(|(_, credit)| credit.turns >= 1.0);
        let first = due.min_by(|(_, a), (_, b)| {
            a.passed_over.cmp(&b.passed_over).then(b.turns.total_cmp(&a.turns))
        });
        first.map(|(urgency, _)| *urgency)
    }

    /// Grants before the next one by tag.
    pub(crate) fn until_tag(&self) -> f64 {
        f64::from(LAST_TURN - self.grants % GRANTS_PER_TAG_TURN)
    }

    /// Counts a grant to a request of this urgency, while these kinds fall behind.
    pub(crate) fn count(&mut self, granted: Urgency, behind: &[ShareTurns]) {
        let passed_over = match self.order() {
            Order::Share(due) if due != granted => Some(due),
            _ => None,
        };
        self.grants = self.grants.wrapping_add(1);
        self.credits.retain(|urgency, _| find_turns(behind, *urgency).is_some());
        for ShareTurns { urgency, grants } in behind {
            let credit = self.credits.entry(*urgency).or_default();
            credit.turns = (credit.turns + grants).min(MAX_CREDIT);
            if *urgency == granted {
                credit.turns = (credit.turns - 1.0).max(0.0);
                credit.passed_over = 0;
            } else if passed_over == Some(*urgency) {
                credit.passed_over = credit.passed_over.saturating_add(1);
            }
        }
    }
}
