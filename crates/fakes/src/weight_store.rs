//! Simulated weight store that the engines of a deployment load adapters from.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use crate::presence::lock;

/// Duration of a load at full speed, as the system design specifies.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Maximum number of loads in flight that run at full speed, as the system design specifies.
const FULL_SPEED_LOADS: usize = 8;

/// Weight store with limited bandwidth; clones share their state.
///
/// By default, a load takes 0.25 s while at most 8 are in flight, and proportionally longer beyond.
#[derive(Clone, Debug)]
pub struct WeightStoreModel {
    load_time: Duration,
    full_speed_loads: usize,
    in_flight: watch::Sender<usize>,
    stats: Arc<Mutex<StoreStats>>,
}

#[derive(Debug, Default)]
struct StoreStats {
    starts: VecDeque<Instant>,
    peak_in_flight: usize,
}

impl Default for WeightStoreModel {
    fn default() -> Self {
        Self::new(LOAD_TIME, FULL_SPEED_LOADS)
    }
}

impl WeightStoreModel {
    /// A store where loads take `load_time` while at most `full_speed_loads` are in flight.
    pub fn new(load_time: Duration, full_speed_loads: usize) -> Self {
        Self {
            load_time,
            full_speed_loads: full_speed_loads.max(1),
            in_flight: watch::Sender::new(0),
            stats: Arc::default(),
        }
    }

    /// A store with a constant load time; for engines in separate processes, which share no store.
    pub fn fixed(load_time: Duration) -> Self {
        Self::new(load_time, usize::MAX)
    }

    /// Number of loads in flight.
    pub fn in_flight(&self) -> usize {
        *self.in_flight.borrow()
    }

    /// Highest number of loads in flight so far.
    pub fn peak_in_flight(&self) -> usize {
        lock(&self.stats).peak_in_flight
    }

    /// Number of loads started so far.
    pub fn starts(&self) -> usize {
        lock(&self.stats).starts.len()
    }

    /// Highest number of loads started within any period of the given length.
    pub fn peak_starts_within(&self, period: Duration) -> usize {
        let stats = lock(&self.stats);
        let mut first = 0;
        let mut peak = 0;
        for (last, start) in stats.starts.iter().enumerate() {
            while start.duration_since(stats.starts[first]) >= period {
                first += 1;
            }
            peak = peak.max(last + 1 - first);
        }
        peak
    }

    /// Simulates a load; dropping the future cancels it.
    pub async fn load(&self) {
        let _guard = self.begin();
        let mut in_flight = self.in_flight.subscribe();
        let mut remaining = self.load_time;
        while !remaining.is_zero() {
            let loads = (*in_flight.borrow_and_update()).max(self.full_speed_loads);
            let slowdown = loads as f64 / self.full_speed_loads as f64;
            let started = Instant::now();
            tokio::select! {
                () = sleep(remaining.mul_f64(slowdown)) => return,
                // Other loads started or ended, which changes the speed of this one.
                Ok(()) = in_flight.changed() => {
                    remaining = remaining.saturating_sub(started.elapsed().div_f64(slowdown));
                }
            }
        }
    }

    fn begin(&self) -> InFlightGuard<'_> {
        let mut stats = lock(&self.stats);
        stats.starts.push_back(Instant::now());
        self.in_flight.send_modify(|loads| *loads += 1);
        stats.peak_in_flight = stats.peak_in_flight.max(self.in_flight());
        InFlightGuard(self)
    }
}

/// Decrements the number of loads in flight when a load ends or is cancelled.
struct InFlightGuard<'a>(&'a WeightStoreModel);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.send_modify(|loads| *loads -= 1);
    }
}
