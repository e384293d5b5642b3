//! Trial of a request: what the group would decide on it now.
//!
//! The request is queued in a copy of the state by the functions that queue every request, so the answer
//! cannot differ from the decision. What these functions do besides deciding stays in the copy: load
//! orders are not sent, nobody receives a grant or a refusal, nothing is logged or counted, and random
//! numbers come from a generator of the copy.
//!
//! The state is copied under its lock, which takes as long as a few passes over the queue. Trials are for
//! operators, not for the path of requests.

use std::ops::{Deref, DerefMut};

use rand::{SeedableRng, rngs::StdRng};
use shallotdrum_engine::{CandidateTarget, Holding, Lacking, PlaceOutlook, PlaceVerdict};
use shallotdrum_types::RequestError;
use tokio::{sync::oneshot, time::Instant};

use super::{AdmissionClass, Grant, State, admission::is_engine_request};
use crate::{
    api::{AdmissionRequest, Policy, RequestKind},
    slots::AdapterKey,
    target::Target,
};

/// Random numbers of a state.
pub(super) struct Jitter(pub(super) StdRng);

impl Clone for Jitter {
    fn clone(&self) -> Self {
        // The numbers of a copy only decide when it would try something again.
        Self(StdRng::seed_from_u64(0))
    }
}

impl Deref for Jitter {
    type Target = StdRng;

    fn deref(&self) -> &StdRng {
        &self.0
    }
}

impl DerefMut for Jitter {
    fn deref_mut(&mut self) -> &mut StdRng {
        &mut self.0
    }
}

/// Receives the decision on a queued request; that of a copy is told to nobody.
pub(super) struct GrantTx(Option<oneshot::Sender<Result<Grant, RequestError>>>);

impl GrantTx {
    /// Sends the decision; the caller may have dropped the receiver.
    pub(super) fn send(self, decision: Result<Grant, RequestError>) {
        if let Some(tx) = self.0 {
            let _ = tx.send(decision);
        }
    }
}

impl Clone for GrantTx {
    fn clone(&self) -> Self {
        Self(None)
    }
}

impl From<oneshot::Sender<Result<Grant, RequestError>>> for GrantTx {
    fn from(tx: oneshot::Sender<Result<Grant, RequestError>>) -> Self {
        Self(Some(tx))
    }
}

/// What of a request is needed to look at targets for it.
struct Wanted<'a> {
    class: AdmissionClass,
    is_engine: bool,
    adapter: Option<AdapterKey>,
    prefixes: &'a [u64],
    prompt_tokens: u64,
}

impl State {
    /// Separates a copy from what it shares with the group.
    pub(crate) fn detach(&mut self) {
        self.log = slog::Logger::root(slog::Discard, slog::o!());
        self.cfg.counters = None;
        self.orders.clear();
    }

    /// Decides on a request; called on a detached copy.
    pub(crate) fn try_admit(mut self, request: &AdmissionRequest, now: Instant) -> PlaceOutlook {
        let queued = self.queued_len();
        let group_wait_ms = self.group_wait(now).map(|wait| wait.as_millis() as u64);
        let is_by_urgency = self.is_urgency_active();
        // From a copy of its own, so that the request is not known when it arrives.
        let mut candidates = self.clone().candidate_targets(request, now);
        let verdict = self.decide(request, now);
        if let PlaceVerdict::Granted { target } = &verdict {
            for candidate in &mut candidates {
                candidate.is_chosen = candidate.target == *target;
            }
        }
        PlaceOutlook { verdict, queued, is_by_urgency, group_wait_ms, candidates }
    }

    fn decide(&mut self, request: &AdmissionRequest, now: Instant) -> PlaceVerdict {
        let is_engine = is_engine_request(&request.kind);
        let (seq, _, mut rx) = match self.enqueue(request.clone(), now) {
            Ok(queued) => queued,
            Err(error) => return PlaceVerdict::Refused { error },
        };
        let mut decision = rx.try_recv().ok();
        if decision.is_none() {
            // The timer is woken when a request was queued.
            self.tick(now);
            decision = rx.try_recv().ok();
        }
        match decision {
            Some(Ok(grant)) => return PlaceVerdict::Granted { target: grant.target },
            Some(Err(error)) => return PlaceVerdict::Refused { error },
            None => {}
        }
        let adapter = self.queued.get(&seq).and_then(|queued| queued.adapter);
        let row = adapter.map(|key| &self.adapters[key]);
        let loading = row.and_then(|row| row.loading.first());
        let lacks = match row {
            Some(row) if !row.holders.is_empty() => Lacking::Engine,
            Some(row) if !row.loading.is_empty() => Lacking::Load,
            Some(_) => Lacking::Slot,
            None if is_engine => Lacking::Engine,
            None => Lacking::Service,
        };
        let target = loading.filter(|_| lacks == Lacking::Load);
        let target = target.map(|key| self.targets[key].spec.id.clone());
        let wait_ms = match lacks {
            Lacking::Load | Lacking::Slot => {
                Some(self.load_wait_of(request, now).as_millis() as u64)
            }
            _ => None,
        };
        PlaceVerdict::Waits { lacks, target, wait_ms }
    }

    /// Targets of the kind that a request needs, before it arrives.
    fn candidate_targets(
        &mut self,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Vec<CandidateTarget> {
        let sub = self.account(&request.subscriber, request, now);
        let (adapter, prefixes, prompt_tokens, max_tokens) = match &request.kind {
            RequestKind::Completion {
                adapter,
                prompt_prefix_hashes,
                prompt_tokens,
                max_tokens,
                ..
            } => {
                let key = self.adapters.key_or_insert_with(adapter, || super::Adapter::new(now));
                (Some(key), prompt_prefix_hashes.as_slice(), *prompt_tokens, *max_tokens)
            }
            RequestKind::Base { prompt_prefix_hashes, prompt_tokens, max_tokens } => {
                (None, prompt_prefix_hashes.as_slice(), *prompt_tokens, *max_tokens)
            }
            RequestKind::Service { .. } => (None, [].as_slice(), 0, 0),
        };
        let is_engine = is_engine_request(&request.kind);
        let is_repeatable = !matches!(request.kind, RequestKind::Service { is_repeatable: false });
        let response_tokens =
            if is_engine { self.demand.lengths.expected(max_tokens) } else { 0.0 };
        let class = AdmissionClass { sub, is_repeatable, response_tokens };
        let wanted = Wanted { class, is_engine, adapter, prefixes, prompt_tokens };
        let targets = self.targets.values().filter(|target| target.is_engine() == is_engine);
        let candidates = targets.map(|target| self.candidate_target(target, &wanted, now));
        let mut candidates: Vec<CandidateTarget> = candidates.collect();
        candidates.sort_by(|a, b| a.target.cmp(&b.target));
        candidates
    }

    fn candidate_target(
        &self,
        target: &Target,
        wanted: &Wanted<'_>,
        now: Instant,
    ) -> CandidateTarget {
        let Wanted { class, is_engine, adapter, prefixes, prompt_tokens } = *wanted;
        let slot = |adapter| target.slots.get(adapter);
        let holds = adapter.map(|adapter| match slot(adapter) {
            Some(slot) if slot.accepts_requests() => Holding::Ready,
            Some(_) => Holding::Loading,
            None => Holding::Absent,
        });
        let is_free = target.accepts_requests(now)
            && self.may_admit(target, class, now)
            && holds.is_none_or(|holds| holds == Holding::Ready);
        let is_by_score = self.cfg.policy == Policy::Adaptive;
        let score =
            is_by_score.then(|| self.target_score(target, class, prefixes, prompt_tokens, now).0);
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let ready = target.slots.slots.iter().filter(|slot| slot.is_ready());
        CandidateTarget {
            target: target.spec.id.clone(),
            is_chosen: false,
            is_free,
            is_active: target.is_active(now),
            adapter: holds,
            score,
            is_score_ms: is_engine && self.cfg.engine_model.is_some(),
            pace: self.is_urgency_active().then(|| target.pace.factor(now)),
            running: target.running,
            foreign: target.foreign(now),
            capacity: target.capacity(),
            stated: target.stated_load.map(|(load, _)| load),
            stated_age_ms: target.stated_load.map(|(_, at)| age_ms(at)),
            report_age_ms: target.reported_at.map(age_ms),
            adapters: ready.map(|slot| self.adapters.name(slot.adapter).clone()).collect(),
        }
    }
}
