//! Ejection of targets that fail much more often than the others.

use rand::RngExt;
use shallotdrum_telemetry::event;
use tokio::time::Instant;

use super::State;
use crate::{api::Policy, target::TargetKey};

impl State {
    /// Whether a target fails much more often than the rest of the group together.
    fn is_outlier(&self, key: TargetKey, now: Instant) -> bool {
        /// Ratio to the others' failure rate above which the target itself is considered the cause.
        const OUTLIER_RATIO: f64 = 2.0;
        let rate = |(ends, failures): (f64, f64)| failures / ends.max(1.0);
        let others = self.targets.iter().filter(|(other, _)| **other != key);
        let others = others.fold((0.0, 0.0), |sum, (_, target)| {
            let (ends, failures) = target.health.recent(now);
            (sum.0 + ends, sum.1 + failures)
        });
        let own = self.targets.get(&key).map_or(0.0, |target| rate(target.health.recent(now)));
        own > OUTLIER_RATIO * rate(others)
    }

    /// Ejects a failing target unless this would eject more than half of the group.
    pub(super) fn eject(&mut self, key: TargetKey, now: Instant) {
        let is_shared_fault = self.cfg.relative_ejection && !self.is_outlier(key, now);
        // Failures of requests that were in progress at the ejection carry no new information.
        let is_ejected = self.targets.get(&key).is_some_and(|t| t.health.is_ejected(now));
        if self.cfg.policy == Policy::Baseline || is_shared_fault || is_ejected {
            return;
        }
        let ejected = self
            .targets
            .iter()
            .filter(|(other, target)| **other != key && target.health.is_ejected(now))
            .count();
        if (ejected + 1) * 2 > self.targets.len() {
            return;
        }
        let jitter = self.rng.random::<f64>();
        let Some(target) = self.targets.get_mut(&key) else { return };
        let time = target.health.eject(jitter, now);
        event!(self.log, TARGET_EJECTED;
            "target" => %target.spec.id, "seconds" => time.as_secs_f64());
    }
}
