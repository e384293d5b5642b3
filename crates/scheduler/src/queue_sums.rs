//! Sums over the queued requests, by which the check on arrival needs no scan of the queue.
//!
//! Answers long queues, in which each arrival and each grant would cost a pass over all that wait. The
//! sums are kept up to date with each change of the queue; the work of each request is as of its arrival
//! or the latest sweep. The module uses no network and no clock.

use std::{collections::BTreeSet, time::Duration};

use shallotdrum_engine::Urgency;

use crate::{
    fair::{Seq, Tag},
    urgency::{Ahead, Candidate, Rank, Work},
};

/// Time between two sweeps of a short queue; no more than a tenth of the shortest response.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two sweeps for each queued request. In an unoptimised build, a sweep of 4,000 takes
/// 6.4 us for each, so that sweeps take about a twentieth of a core; optimised builds are not measured.
const SWEEP_INTERVAL_PER_REQUEST: Duration = Duration::from_micros(120);

/// Time between two sweeps of a queue of this length, such that they take at most a twentieth of it.
pub(crate) fn sweep_interval(queued: usize) -> Duration {
    let queued = u32::try_from(queued).unwrap_or(u32::MAX);
    SWEEP_INTERVAL_PER_REQUEST.saturating_mul(queued).max(MIN_SWEEP_INTERVAL)
}

/// What the sums know of a queued request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Weighed {
    pub(crate) work: Work,
    /// Work for each second until the deadline.
    need: f64,
}

impl Weighed {
    pub(crate) fn of(candidate: &Candidate) -> Self {
        Self { work: candidate.estimate.work, need: candidate.work_for_deadline() }
    }

    /// Position among requests of one urgency: the one with the highest is refused first. The order of
    /// the bits of numbers that are not negative is that of the numbers.
    fn refusal_order(&self) -> u64 {
        self.need.max(0.0).to_bits()
    }
}

/// Queued requests for the targets of one kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueSums {
    by_rank: SumTree<(Rank, Seq)>,
    by_tag: SumTree<(Tag, Seq)>,
    by_need: BTreeSet<(Urgency, u64, Seq)>,
}

impl QueueSums {
    pub(crate) fn len(&self) -> usize {
        self.by_need.len()
    }

    pub(crate) fn insert(&mut self, rank: Rank, seq: Seq, weighed: &Weighed) {
        if self.by_need.insert((rank.urgency, weighed.refusal_order(), seq)) {
            self.by_rank.insert((rank, seq), weighed.work);
            self.by_tag.insert((rank.tag, seq), weighed.work);
        }
    }

    /// Removes a request; `rank` and `weighed` are those with which it was inserted.
    pub(crate) fn remove(&mut self, rank: Rank, seq: Seq, weighed: &Weighed) {
        if self.by_need.remove(&(rank.urgency, weighed.refusal_order(), seq)) {
            self.by_rank.remove(&(rank, seq));
            self.by_tag.remove(&(rank.tag, seq));
        }
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Replaces what is known of all requests, whose ranks are the same.
    pub(crate) fn reweigh(&mut self, weighed: impl Fn(Seq) -> Weighed) {
        self.by_rank.update(|(_, seq)| weighed(*seq).work);
        self.by_tag.update(|(_, seq)| weighed(*seq).work);
        let by_need = self.by_need.iter();
        self.by_need = by_need
            .map(|(urgency, _, seq)| (*urgency, weighed(*seq).refusal_order(), *seq))
            .collect();
    }

    /// Work of the queued requests as seen from a newcomer with this rank.
    pub(crate) fn ahead(&self, newcomer: Rank) -> Ahead {
        let urgency = newcomer.urgency;
        let all = self.by_rank.sum();
        let by_rank = self.by_rank.sum_while(|(rank, _)| *rank <= newcomer);
        let up_to_urgency = self.by_rank.sum_while(|(rank, _)| rank.urgency <= urgency);
        let more_urgent = self.by_rank.sum_while(|(rank, _)| rank.urgency < urgency);
        Ahead {
            all,
            by_rank,
            of_kind: by_rank.minus(more_urgent),
            by_tag: self.by_tag.sum_while(|(tag, _)| *tag <= newcomer.tag),
            less_urgent: all.minus(up_to_urgency),
        }
    }

    /// Request to refuse first among those less urgent than this: of the least urgent, the one that needs
    /// the most work for its deadline.
    pub(crate) fn least_valuable(&self, urgency: Urgency) -> Option<Seq> {
        let last = self.by_need.last().filter(|(other, ..)| *other > urgency);
        last.map(|(.., seq)| *seq)
    }
}

#[derive(Clone, Debug)]
struct Node<K> {
    key: K,
    /// Random, and no higher than that of the parent.
    priority: u64,
    own: Work,
    /// With all descendants.
    sum: Work,
    left: Option<usize>,
    right: Option<usize>,
}

/// Treap: search tree in which the random priorities keep the expected depth logarithmic.
#[derive(Clone, Debug)]
struct SumTree<K> {
    nodes: Vec<Node<K>>,
    free: Vec<usize>,
    root: Option<usize>,
    inserted: u64,
}

impl<K> Default for SumTree<K> {
    fn default() -> Self {
        Self { nodes: Vec::new(), free: Vec::new(), root: None, inserted: 0 }
    }
}

/// Random number for the n-th node (SplitMix64).
fn priority(n: u64) -> u64 {
    let mut x = n.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

impl<K: Ord + Copy> SumTree<K> {
    fn sum_of(&self, at: Option<usize>) -> Work {
        at.map_or_else(Work::default, |at| self.nodes[at].sum)
    }

    fn sum(&self) -> Work {
        self.sum_of(self.root)
    }

    fn add_up(&mut self, at: usize) {
        let node = &self.nodes[at];
        let sum = node.own.plus(self.sum_of(node.left)).plus(self.sum_of(node.right));
        self.nodes[at].sum = sum;
    }

    /// Sum over the first keys, for which the condition holds.
    fn sum_while(&self, is_counted: impl Fn(&K) -> bool) -> Work {
        let (mut at, mut sum) = (self.root, Work::default());
        while let Some(node) = at.map(|at| &self.nodes[at]) {
            at = match is_counted(&node.key) {
                true => {
                    sum = sum.plus(node.own).plus(self.sum_of(node.left));
                    node.right
                }
                false => node.left,
            };
        }
        sum
    }

    /// Splits a subtree into the first keys, for which the condition holds, and the others.
    fn split(
        &mut self,
        at: Option<usize>,
        is_first: &impl Fn(&K) -> bool,
    ) -> (Option<usize>, Option<usize>) {
        let Some(at) = at else { return (None, None) };
        let halves = match is_first(&self.nodes[at].key) {
            true => {
                let (first, second) = self.split(self.nodes[at].right, is_first);
                self.nodes[at].right = first;
                (Some(at), second)
            }
            false => {
                let (first, second) = self.split(self.nodes[at].left, is_first);
                self.nodes[at].left = second;
                (first, Some(at))
            }
        };
        self.add_up(at);
        halves
    }

    /// Joins two subtrees; all keys of the first are lower.
    fn merge(&mut self, first: Option<usize>, second: Option<usize>) -> Option<usize> {
        let (Some(a), Some(b)) = (first, second) else { return first.or(second) };
        let top = match self.nodes[a].priority >= self.nodes[b].priority {
            true => {
                self.nodes[a].right = self.merge(self.nodes[a].right, second);
                a
            }
            false => {
                self.nodes[b].left = self.merge(first, self.nodes[b].left);
                b
            }
        };
        self.add_up(top);
        Some(top)
    }

    fn insert(&mut self, key: K, own: Work) {
        self.inserted += 1;
        let priority = priority(self.inserted);
        let node = Node { key, priority, own, sum: own, left: None, right: None };
        let at = match self.free.pop() {
            Some(at) => {
                self.nodes[at] = node;
                at
            }
            None => {
                self.nodes.push(node);
                self.nodes.len() - 1
            }
        };
        let (first, second) = self.split(self.root, &|other| *other < key);
        let first = self.merge(first, Some(at));
        self.root = self.merge(first, second);
    }

    fn remove(&mut self, key: &K) {
        let (first, rest) = self.split(self.root, &|other| other < key);
        let (found, second) = self.split(rest, &|other| other <= key);
        self.free.extend(found);
        self.root = self.merge(first, second);
    }

    fn update(&mut self, own: impl Fn(&K) -> Work) {
        self.update_below(self.root, &own);
    }

    fn update_below(&mut self, at: Option<usize>, own: &impl Fn(&K) -> Work) {
        let Some(at) = at else { return };
        self.nodes[at].own = own(&self.nodes[at].key);
        let (left, right) = (self.nodes[at].left, self.nodes[at].right);
        self.update_below(left, own);
        self.update_below(right, own);
        self.add_up(at);
    }
}
