//! Limits that targets name, and refusal of requests that they leave no time for.

use shallotdrum_telemetry::event;
use shallotdrum_types::{Incarnation, RequestError, RequestErrorKind, RequestRate, TargetId};
use tokio::time::{Duration, Instant};

use super::State;
use crate::{
    api::{AdmissionRequest, MAX_REQUEST_DEADLINE},
    fair::Seq,
    rate_limit::RateLimit,
};

/// Longest wait that is computed; longer than any request waits.
const MAX_WAIT: Duration = MAX_REQUEST_DEADLINE.saturating_mul(2);

/// Steps of the search for a wait; the last one is below a millisecond.
const SEARCH_STEPS: u32 = 24;

/// Added to the expected wait of a new request. Places are granted at ticks, 20 ms apart; a request
/// that is admitted to the queue must not miss its time by less than a few of them.
const MIN_GRANT_MARGIN: Duration = Duration::from_millis(100);

/// Share of the remaining time that is added at least: transit to the owner and back is not part of
/// the owner's view of the deadline.
const GRANT_MARGIN_SHARE: f64 = 0.1;

/// Admissions to a kind of targets that all name limits.
struct LimitedAdmissions {
    /// Tokens and rate of each target.
    targets: Vec<(f64, f64)>,
}

impl LimitedAdmissions {
    /// Number of requests that are admitted within a time.
    fn admitted_within(&self, secs: f64) -> f64 {
        self.targets.iter().map(|(tokens, rate)| (tokens + rate * secs).floor().max(0.0)).sum()
    }

    /// Time until a request with this many others ahead is admitted.
    fn wait(&self, ahead: f64) -> Duration {
        let is_admitted = |secs| self.admitted_within(secs) >= ahead.floor() + 1.0;
        if is_admitted(0.0) {
            return Duration::ZERO;
        }
        let (mut early, mut late) = (0.0, MAX_WAIT.as_secs_f64());
        for _ in 0..SEARCH_STEPS {
            let middle = f64::midpoint(early, late);
            if is_admitted(middle) {
                late = middle;
            } else {
                early = middle;
            }
        }
        Duration::from_secs_f64(late)
    }
}

impl State {
    /// Applies a limit that a target named, or no longer names, at `observed_at`.
    pub(crate) fn observe_limit(
        &mut self,
        id: &TargetId,
        incarnation: Incarnation,
        limit: Option<RequestRate>,
        observed_at: Instant,
        now: Instant,
    ) {
        let Some(key) = self.target_keys.get(id).copied() else { return };
        let Some(target) = self.targets.get_mut(&key) else { return };
        let is_newer = target.limit_observed_at.is_none_or(|at| observed_at > at);
        if target.spec.incarnation != incarnation || !is_newer {
            return;
        }
        target.limit_observed_at = Some(observed_at);
        let previous = target.limit.map(|limit| limit.rate());
        match (limit, &mut target.limit) {
            (Some(rate), Some(limit)) => limit.set_rate(rate, now),
            (limit, applied) => *applied = limit.map(|rate| RateLimit::new(rate, now)),
        }
        let applied = target.limit.map(|limit| limit.rate());
        if applied == previous {
            return;
        }
        event!(self.log, TARGET_LIMIT_APPLIED; "target" => %id, "incarnation" => incarnation.0,
            "named" => limit.map(RequestRate::get), "applied" => applied, "previous" => previous,
            "age_ms" => now.saturating_duration_since(observed_at).as_millis() as u64);
        self.refuse_hopeless(now);
        self.fill_target(key, now);
    }

    /// Admissions to the active targets of a kind, if all of them name limits.
    fn limited_admissions(&self, is_engine: bool, now: Instant) -> Option<LimitedAdmissions> {
        let is_usable = |target: &&crate::target::Target| {
            target.is_engine() == is_engine && target.is_active(now)
        };
        let usable = self.targets.values().filter(is_usable);
        let targets: Option<Vec<_>> =
            usable.map(|target| target.limit.map(|l| (l.tokens(now), l.rate()))).collect();
        targets.filter(|targets| !targets.is_empty()).map(|targets| LimitedAdmissions { targets })
    }

    /// Time until the limits of the targets let a new request of the subscriber be admitted.
    pub(super) fn limit_wait(&self, request: &AdmissionRequest, now: Instant) -> Duration {
        let is_engine = super::admission::is_engine_request(&request.kind);
        let Some(admissions) = self.limited_admissions(is_engine, now) else {
            return Duration::ZERO;
        };
        let weight = request.weight.get();
        let sub = self.subs.key(&request.subscriber).map(|sub| &self.subs[sub]);
        let own = sub.map_or(0, |account| account.queued.len());
        let others = self.active_weight - sub.map_or(0.0, |account| account.active_weight);
        // In fair order, each other subscriber gets its part before as well.
        let ahead = (own + 1) as f64 * (weight + others.max(0.0)) / weight - 1.0;
        match admissions.wait(ahead.min(self.queued.len() as f64)) {
            Duration::ZERO => Duration::ZERO,
            wait => {
                let left = request.deadline.saturating_duration_since(now);
                wait + MIN_GRANT_MARGIN.max(left.mul_f64(GRANT_MARGIN_SHARE))
            }
        }
    }

    /// Refuses the queued requests that the limits of the targets leave no time for.
    pub(super) fn refuse_hopeless(&mut self, now: Instant) {
        for is_engine in [true, false] {
            let Some(admissions) = self.limited_admissions(is_engine, now) else { continue };
            let queued = self.queued.iter().filter(|(_, queued)| queued.is_engine == is_engine);
            let mut queued: Vec<_> = queued.map(|(seq, q)| (q.rank, *seq, q.expires_at)).collect();
            queued.sort_unstable();
            let mut ahead = 0.0;
            let mut hopeless: Vec<(Seq, Duration)> = Vec::new();
            for (_, seq, expires_at) in queued {
                let wait = admissions.wait(ahead);
                match now + wait > expires_at {
                    true => hopeless.push((seq, wait)),
                    false => ahead += 1.0,
                }
            }
            for (seq, wait) in hopeless {
                let detail = format!(
                    "all targets name limits, which leave a place only in {:.1} s; retry later",
                    wait.as_secs_f64()
                );
                let error = RequestError::not_run(RequestErrorKind::Overloaded, detail);
                self.fail(seq, error.retry_after(self.retry_after(wait)));
            }
        }
    }
}
