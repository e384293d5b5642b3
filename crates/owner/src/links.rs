//! Leaves groups to other instances while this one can't reach their targets.
//!
//! Requests to targets take a detour then, but orders must not, so that a group whose owner is cut off
//! could load no adapter.

use std::time::Duration;

use shallotdrum_control::{Command, Reply};
use shallotdrum_telemetry::event;

use crate::OwnerService;

/// Timeout for recording the loss of the links; the groups are synchronized only after it.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

impl OwnerService {
    /// Records in the control log when this instance loses its links to most targets, or has them
    /// back. Returns whether it must release its groups to others.
    pub(crate) async fn report_links(&self) -> bool {
        let Some(session) = (self.cx.session)() else { return false };
        let is_cut_off = self.cx.links.is_cut_off();
        let report = Command::ReportLinks { session, is_cut_off };
        // During an upgrade some instances could not read the report.
        if self.cx.view.read(|state| state.allows(&report)).is_err() {
            return false;
        }
        let (is_recorded, has_other) = self.cx.view.read(|state| {
            let is_recorded = state.session(session).is_some_and(|s| s.is_cut_off) == is_cut_off;
            let mut others = state.sessions().filter(|other| other.id != session);
            (is_recorded, others.any(|other| !other.is_cut_off && !state.is_draining(other.id)))
        });
        if !is_recorded {
            let report = tokio::time::timeout(REPORT_TIMEOUT, self.cx.propose(report));
            let error = match report.await {
                Ok(Ok(Reply::Refused(error))) => Some(error.to_string()),
                Ok(Ok(_)) => None,
                Ok(Err(error)) => Some(error.to_string()),
                Err(_) => Some("timed out".to_owned()),
            };
            event!(self.cx.log, LINKS_REPORTED; "is_cut_off" => is_cut_off,
                "has_other" => has_other, "error" => &error);
            if error.is_some() {
                return false;
            }
        }
        is_cut_off && has_other
    }
}
