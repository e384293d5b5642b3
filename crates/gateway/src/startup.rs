//! Requests that arrive while the instance starts.
//!
//! The listener is open before the route table is known and confirmed: after a loss of power of all
//! instances, for about a second. A request that is refused meanwhile is told to return later than the
//! start takes, and callers return once at most. It waits instead, for a bounded time.

use std::time::Duration;

use shallotdrum_telemetry::event;
use tokio::time::{Instant, sleep};

use crate::{CallerRequest, Gateway, in_force::InForce};

/// Interval between checks whether the instance can decide on requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Part of the time of a request that it waits; the rest is for its run.
const MAX_WAIT_SHARE: u32 = 2;

impl Gateway {
    /// Table by which a request is judged. While the instance starts, the request waits for it.
    pub(crate) async fn in_force_for(&self, req: &CallerRequest) -> InForce {
        let in_force = self.in_force();
        let until = self.started_at + self.cx.startup_wait;
        if Instant::now() >= until || self.can_judge(&in_force) {
            return in_force;
        }
        let until = until.min(req.arrived + req.timeout / MAX_WAIT_SHARE);
        let start = Instant::now();
        loop {
            let in_force = self.in_force();
            let (can_judge, is_over) = (self.can_judge(&in_force), Instant::now() >= until);
            if can_judge || is_over || self.stop_times().is_some() {
                event!(self.cx.log, WAITED_FOR_START; "request" => %req.id,
                    "waited_ms" => start.elapsed().as_millis() as u64, "is_ready" => can_judge,
                    "revision" => in_force.revision().0);
                return in_force;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Whether a request can be refused or admitted for good, by its route and its key.
    fn can_judge(&self, in_force: &InForce) -> bool {
        let is_serving = in_force.confirmation.freshness.check_serving(self.cx.serve_when_stale);
        let is_key_confirmed = self.cx.revocation.is_none_or(|bound| {
            in_force.confirmation.last.is_some_and(|last| last.age < bound.max_age())
        });
        in_force.routes.is_some() && is_serving.is_ok() && is_key_confirmed
    }
}
