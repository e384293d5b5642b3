//! What ended requests tell of the cost and duration of those to come.
//!
//! The number of generated tokens is not always reported, but the duration is: it is learned for each
//! power of two of the token limit, and separately for calls of plain services.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use crate::{
    measure::Ewma,
    urgency::{Estimate, Work},
};

/// Responses of one size from which durations are learned.
const DURATION_SAMPLES: usize = 32;
/// Age of the latest duration from which the durations no longer count. Requests that are refused add
/// no durations, so that those of an overload would otherwise be believed for ever.
const MAX_DURATION_AGE: Duration = Duration::from_secs(30);
/// Number of powers of two of a token limit.
const SIZES: usize = u64::BITS as usize + 1;

/// Latest durations of requests of one size.
#[derive(Clone, Debug, Default)]
struct Durations {
    samples: VecDeque<f64>,
    latest: Option<Instant>,
    summary: Summary,
}

/// Durations of some requests, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Summary {
    mean: f64,
    best: f64,
    /// Three quarters of the requests took no longer.
    usual: f64,
}

impl Durations {
    fn record(&mut self, secs: f64, now: Instant) {
        if self.latest.is_some_and(|at| now > at + MAX_DURATION_AGE) {
            self.samples.clear();
        }
        self.latest = Some(now);
        self.samples.push_back(secs);
        if self.samples.len() > DURATION_SAMPLES {
            self.samples.pop_front();
        }
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        self.summary = Summary {
            mean: sorted.iter().sum::<f64>() / sorted.len() as f64,
            best: sorted[0],
            usual: sorted[sorted.len() * 3 / 4],
        };
    }

    fn get(&self, now: Instant) -> Option<Summary> {
        let at = self.latest?;
        (now <= at + MAX_DURATION_AGE).then_some(self.summary)
    }
}

/// What ended requests tell of those to come. Engines and plain services are learned separately.
#[derive(Clone, Debug)]
pub(crate) struct Learned {
    /// Generated tokens by power of two of the limit.
    tokens: Vec<Ewma>,
    /// Durations by power of two of the limit.
    durations: Vec<Durations>,
    calls: Durations,
    /// Times from the send to the first event of a response.
    first_events: Durations,
    secs_per_token: Ewma,
}

impl Default for Learned {
    fn default() -> Self {
        Self {
            tokens: vec![Ewma::default(); SIZES],
            durations: vec![Durations::default(); SIZES],
            calls: Durations::default(),
            first_events: Durations::default(),
            secs_per_token: Ewma::default(),
        }
    }
}

/// Index of the power of two that is not below the limit.
fn size(max_tokens: u64) -> usize {
    (u64::BITS - max_tokens.saturating_sub(1).leading_zeros()) as usize
}

impl Learned {
    /// Records a complete response; `tokens` is 0 if the number is not known.
    pub(crate) fn record_response(
        &mut self,
        max_tokens: u64,
        tokens: u64,
        secs: f64,
        now: Instant,
    ) {
        let size = size(max_tokens);
        self.durations[size].record(secs, now);
        if tokens > 0 {
            self.tokens[size].add(tokens as f64);
            self.secs_per_token.add(secs / tokens as f64);
        }
    }

    /// Records a complete call of a plain service.
    pub(crate) fn record_call(&mut self, secs: f64, now: Instant) {
        self.calls.record(secs, now);
    }

    /// Records the time from the send of a request to the first event of its response.
    pub(crate) fn record_first_event(&mut self, secs: f64, now: Instant) {
        self.first_events.record(secs, now);
    }

    /// Expected number of generated tokens; half of the limit until responses of this size ended.
    pub(crate) fn expected_tokens(&self, max_tokens: u64) -> f64 {
        let max = max_tokens as f64;
        self.tokens[size(max_tokens)].get().unwrap_or(max / 2.0).min(max)
    }

    /// Estimate for a request to an engine that reads its prompt in `prefill_secs`.
    pub(crate) fn response(&self, prefill_secs: f64, max_tokens: u64, now: Instant) -> Estimate {
        let by_tokens = self.expected_tokens(max_tokens) * self.secs_per_token.get().unwrap_or(0.0);
        let expected = prefill_secs + by_tokens;
        let unlearned = Summary { mean: expected, best: prefill_secs, usual: expected };
        let learned = self.durations[size(max_tokens)].get(now).unwrap_or(unlearned);
        let work = Work { requests: 1.0, serial_secs: prefill_secs, slot_secs: learned.mean };
        let first_event = self.first_events.get(now).unwrap_or_default();
        Estimate {
            work,
            run_secs: learned.usual,
            best_run_secs: learned.best,
            first_secs: prefill_secs.max(first_event.usual),
        }
    }

    /// Estimate for a call of a plain service.
    pub(crate) fn call(&self, now: Instant) -> Estimate {
        let Summary { mean, best, usual } = self.calls.get(now).unwrap_or_default();
        let work = Work { requests: 1.0, serial_secs: 0.0, slot_secs: mean };
        Estimate { work, run_secs: usual, best_run_secs: best, first_secs: usual }
    }
}
