//! Handling of requests whose connection to a target broke, and of those that crash targets.

use std::time::Duration;

use shallotdrum_owner::RunningGuard;
use shallotdrum_rpc::PlaceEnd;
use shallotdrum_telemetry::event;
use shallotdrum_types::{RequestError, RequestIdentity, TargetId};
use tokio::time::{Instant, timeout_at};

use crate::{Gateway, SendFailure, exchange::RequestRun, places::Place};

/// Maximum wait for the crash check of a request that is not a suspect yet. A closed port shows at
/// once, and a log entry takes some tens of milliseconds.
const FIRST_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

impl Gateway {
    /// Logs a send that got no complete response.
    pub(crate) fn log_send_failure(
        &self,
        run: &RequestRun,
        target: &TargetId,
        failure: SendFailure,
        error: &dyn std::fmt::Display,
    ) {
        event!(self.cx.log, SEND_FAILED; "request" => %run.req.id,
            "fingerprint" => %run.identity.request, "target" => %target,
            "may_have_run" => failure.may_have_run(), "error" => %error);
    }

    /// Ends the place of a send without a complete response; a failure of the link does not count
    /// against the target.
    pub(crate) fn end_failed(&self, place: Place) {
        let links = self.links().clone();
        tokio::spawn(async move {
            let end = match links.is_link_failure(place.granted.addr).await {
                true => PlaceEnd::Cancelled,
                false => PlaceEnd::Failed,
            };
            place.end(end);
        });
    }

    pub(crate) fn check_quarantine(&self, identity: &RequestIdentity) -> Result<(), RequestError> {
        self.cx.owner.check_relayed_quarantine(identity)
    }

    /// Starts a check whether the target crashed, after its connection broke with the request
    /// possibly running.
    pub(crate) fn check_crash(&self, run: &mut RequestRun, running: RunningGuard) {
        run.crash_check = Some(self.cx.owner.check_relayed(running));
    }

    /// Waits for a started check, so that the crash counts before the request is sent again.
    pub(crate) async fn wait_for_crash_check(&self, run: &mut RequestRun) {
        let Some(check) = run.crash_check.take() else { return };
        // A single interruption seldom is a crash that the request caused, and callers wait.
        let limit = match self.cx.owner.is_relayed_suspect(&run.identity) {
            true => run.deadline,
            false => run.deadline.min(Instant::now() + FIRST_CHECK_TIMEOUT),
        };
        // The check goes on in its own task.
        let _ = timeout_at(limit, check).await;
    }
}
