//! Pace of one target: how long its work takes, relative to what the engine model expects.
//!
//! Targets of one pool differ in speed, and each shares its machine with other workloads, which slows
//! it down for parts of a second. The lasting difference is learned from the times of its responses;
//! the momentary one is what the target stated last, which soon no longer holds. Responses of an engine
//! that falls behind end late and report late, so the times of unended requests are a lower bound.

use std::time::Duration;

use tokio::time::Instant;

use crate::{engine_model::millis, fair::Seq, measure::DecayingCounter};

/// Weight of the newest sample of the learned ratio.
const RATIO_WEIGHT: f64 = 0.2;
/// Bounds of the learned ratio; engines of one pool differ by a factor of 2.4, and a single sample
/// also holds waits that have other causes.
const RATIO_BOUNDS: (f64, f64) = (0.3, 4.0);
/// Bounds of a stated slowness; far beyond the periods of 2.5 that targets have.
const STATED_BOUNDS: (f64, f64) = (0.1, 20.0);
/// Time after which a stated slowness tells half as much; slow periods last about this long.
const STATED_HALF_LIFE: Duration = Duration::from_millis(600);
/// Half-life of the share of an engine's time that prompts take.
const PREFILL_HALF_LIFE: Duration = Duration::from_millis(500);
/// Largest share of an engine's time that prompts may take while it has running requests. An engine
/// that reads prompts without a break gives each running request one token per chunk.
pub(crate) const MAX_PREFILL_SHARE: f64 = 0.8;
/// Time of a step of an engine without running requests, in milliseconds.
const STEP_MS: f64 = 8.2;
/// Additional time of a step for each running request, in milliseconds.
const STEP_MS_PER_REQUEST: f64 = 0.018;

/// Unended requests from which their times count. Among fewer, one long response or slow reader would
/// make its target seem slow.
const MIN_UNENDED: usize = 8;

/// Mean with a fixed weight of the newest sample.
#[derive(Clone, Copy, Debug, Default)]
struct Learned(Option<f64>);

impl Learned {
    fn add(&mut self, sample: f64) {
        self.0 = Some(match self.0 {
            Some(mean) => mean + RATIO_WEIGHT * (sample - mean),
            None => sample,
        });
    }
}

/// Request that has not ended.
#[derive(Clone, Copy, Debug)]
struct Unended {
    seq: Seq,
    granted_at: Instant,
    /// Expected time until its end at the pace 1, in seconds.
    expected_secs: f64,
}

/// Pace of a target.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    /// Measured over expected time.
    ratio: Learned,
    /// Stated slowness while `ratio` was learned.
    mean_stated: Learned,
    stated: Option<(f64, Instant)>,
    /// Recent time that prompts took, in milliseconds.
    prefill: DecayingCounter,
    unended: Vec<Unended>,
}

impl Pace {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            ratio: Learned::default(),
            mean_stated: Learned::default(),
            stated: None,
            prefill: DecayingCounter::new(PREFILL_HALF_LIFE, now),
            unended: Vec::new(),
        }
    }

    /// Records a slowness that the target stated at `at`; one that is older than the last is ignored.
    pub(crate) fn record_stated(&mut self, slowness: f64, at: Instant) {
        if self.stated.is_none_or(|(_, last)| at >= last) {
            let (min, max) = STATED_BOUNDS;
            self.stated = Some((slowness.clamp(min, max), at));
        }
    }

    /// Records the time of some work that was expected to take `expected` at the pace 1.
    pub(crate) fn record_time(&mut self, measured: Duration, expected: Duration) {
        if measured.is_zero() || expected.is_zero() {
            return;
        }
        let (min, max) = RATIO_BOUNDS;
        self.ratio.add((measured.as_secs_f64() / expected.as_secs_f64()).clamp(min, max));
        if let Some((stated, _)) = self.stated {
            self.mean_stated.add(stated);
        }
    }

    /// Expected factor on times; 1 is as the engine model expects.
    pub(crate) fn factor(&self, now: Instant) -> f64 {
        let (min, max) = RATIO_BOUNDS;
        let learned = self.ratio.0.unwrap_or(1.0) * self.spell(now);
        learned.max(self.unended_ratio(now)).clamp(min, max)
    }

    /// Adds a request that is granted now and is expected to take this long at the pace 1.
    pub(crate) fn begin(&mut self, seq: Seq, expected: Duration, now: Instant) {
        let expected_secs = expected.as_secs_f64();
        self.unended.push(Unended { seq, granted_at: now, expected_secs });
    }

    /// Removes a request that has ended.
    pub(crate) fn end(&mut self, seq: Seq) {
        self.unended.retain(|request| request.seq != seq);
    }

    /// Lower bound of the factor: elapsed over expected time of the unended requests. The time of each
    /// is bounded, so that few that never end count little.
    fn unended_ratio(&self, now: Instant) -> f64 {
        if self.unended.len() < MIN_UNENDED {
            return 0.0;
        }
        let (mut elapsed_secs, mut expected_secs) = (0.0, 0.0);
        for request in &self.unended {
            let elapsed = now.saturating_duration_since(request.granted_at).as_secs_f64();
            elapsed_secs += elapsed.min(RATIO_BOUNDS.1 * request.expected_secs);
            expected_secs += request.expected_secs;
        }
        if expected_secs > 0.0 { elapsed_secs / expected_secs } else { 0.0 }
    }

    /// Momentary part of the factor: the stated slowness over its mean, the older the closer to 1.
    fn spell(&self, now: Instant) -> f64 {
        let Some((stated, at)) = self.stated else { return 1.0 };
        let mean = self.mean_stated.0.unwrap_or(1.0);
        let age = now.saturating_duration_since(at).as_secs_f64();
        let weight = (-age / STATED_HALF_LIFE.as_secs_f64()).exp2();
        1.0 + (stated / mean - 1.0) * weight
    }

    /// Counts a prompt that takes this long.
    pub(crate) fn add_prefill(&mut self, time: Duration, now: Instant) {
        self.prefill.add(millis(time), now);
    }

    /// Share of the time that prompts took recently.
    pub(crate) fn prefill_share(&self, now: Instant) -> f64 {
        let per_ms = std::f64::consts::LN_2 / millis(PREFILL_HALF_LIFE);
        self.prefill.get(now) * per_ms
    }

    /// Expected time of a token beside `running` other requests, in milliseconds. Prompts take their
    /// share of the time.
    pub(crate) fn token_ms(&self, running: u32, now: Instant) -> f64 {
        self.usual_token_ms(running, now) * self.factor(now)
    }

    /// Expected time of a token at the pace 1, in milliseconds.
    pub(crate) fn usual_token_ms(&self, running: u32, now: Instant) -> f64 {
        let step = STEP_MS + STEP_MS_PER_REQUEST * f64::from(running + 1);
        let left = 1.0 - self.prefill_share(now).min(MAX_PREFILL_SHARE);
        step / left
    }
}

/// Number of tokens that responses have, by the power of two of their limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResponseLengths([Learned; 32]);

impl ResponseLengths {
    fn class(max_tokens: u64) -> usize {
        (max_tokens.max(1).ilog2() as usize).min(31)
    }

    /// Records the length of a complete response.
    pub(crate) fn add(&mut self, max_tokens: u64, tokens: u64) {
        self.0[Self::class(max_tokens)].add(tokens as f64);
    }

    /// Expected length of a response; half of the limit before any was seen.
    pub(crate) fn expected(&self, max_tokens: u64) -> f64 {
        let max = max_tokens as f64;
        self.0[Self::class(max_tokens)].0.unwrap_or(max / 2.0).min(max)
    }
}
