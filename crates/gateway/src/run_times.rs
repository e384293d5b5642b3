//! Times that runs are expected to take.
//!
//! For each kind of request, the mean time from the send to the end of the response and its mean deviation
//! are kept as running averages, as for the retransmission timer of TCP (RFC 6298).

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use shallotdrum_allotments::ServedKind;

/// Part of a new time in the mean, and of a new difference in the mean deviation.
const MEAN_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// Number of mean deviations by which few runs exceed the mean.
const DEVIATIONS: f64 = 2.0;

/// Time for which a kind is kept without another run.
const MEMORY: Duration = Duration::from_secs(120);

/// Running averages of the times of runs, for each kind of request.
#[derive(Debug, Default)]
pub struct RunTimes(HashMap<ServedKind, Average>);

#[derive(Clone, Copy, Debug)]
struct Average {
    mean_s: f64,
    deviation_s: f64,
    recorded_at: Instant,
}

impl RunTimes {
    /// Records that a run took this time.
    pub fn record(&mut self, kind: &ServedKind, took: Duration, now: Instant) {
        let took_s = took.as_secs_f64();
        let first = Average { mean_s: took_s, deviation_s: took_s / 2.0, recorded_at: now };
        match self.0.get_mut(kind) {
            Some(average) if !average.is_outdated(now) => {
                let difference = (took_s - average.mean_s).abs();
                average.deviation_s += DEVIATION_GAIN * (difference - average.deviation_s);
                average.mean_s += MEAN_GAIN * (took_s - average.mean_s);
                average.recorded_at = now;
            }
            _ => drop(self.0.insert(kind.clone(), first)),
        }
    }

    /// Time that few runs of a kind exceed; absent if none was recorded lately.
    pub fn expected(&self, kind: &ServedKind, now: Instant) -> Option<Duration> {
        let average = self.0.get(kind).filter(|average| !average.is_outdated(now))?;
        Some(Duration::from_secs_f64(average.mean_s + DEVIATIONS * average.deviation_s))
    }

    /// Forgets kinds without recent runs.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, average| !average.is_outdated(now));
    }
}

impl Average {
    fn is_outdated(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.recorded_at) > MEMORY
    }
}
