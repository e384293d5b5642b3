//! The route table by which a request is judged, and refusals for good by it.

use std::sync::Arc;

use shallotdrum_routes::RouteIndex;
use shallotdrum_telemetry::event;
use shallotdrum_types::{Confirmation, LogIndex, RequestError, RequestErrorKind, Revision};

use crate::Gateway;

/// Route table in force, as one value with the confirmation that it is the newest.
pub(crate) struct InForce {
    pub(crate) confirmation: Confirmation,
    /// `None` until the first table is received.
    pub(crate) routes: Option<Arc<RouteIndex>>,
    /// Index of the control log that the table is part of.
    applied: LogIndex,
}

impl InForce {
    /// Revision of the table; 0 without one.
    pub(crate) fn revision(&self) -> Revision {
        self.routes.as_ref().map_or(Revision(0), |routes| routes.table().revision)
    }
}

impl Gateway {
    /// Route table in force, with its confirmation.
    pub(crate) fn in_force(&self) -> InForce {
        // Read before the table, which therefore includes what was confirmed.
        let confirmation = (self.cx.confirmation)();
        let (routes, applied) =
            self.cx.view.read(|state| (state.routes().cloned(), state.applied()));
        InForce { confirmation, routes, applied }
    }

    /// Returns the limit of request bodies in bytes; fails if one of this length exceeds it.
    pub fn check_body_length(&self, request: &str, length: usize) -> Result<usize, RequestError> {
        let in_force = self.in_force();
        let limits = in_force.routes.as_ref().map(|routes| routes.table().limits);
        let limit = limits.unwrap_or_default().body_bytes;
        if length <= limit {
            return Ok(limit);
        }
        let detail = format!("the body exceeds {limit} bytes");
        let refusal = RequestError::not_run(RequestErrorKind::BodyTooLarge, detail);
        let error = self.refuse_for_good(request, &in_force, refusal);
        self.cx.metrics.finished(&error.outcome.to_string(), error.kind.code());
        event!(self.cx.log, REQUEST_ENDED; "request" => request, "kind" => %error.kind,
            "outcome" => %error.outcome, "detail" => &error.detail);
        Err(error)
    }

    /// Error for a request that the table does not allow: `refusal` if the table is confirmed, otherwise
    /// a temporary one.
    pub(crate) fn refuse_for_good(
        &self,
        request: &str,
        in_force: &InForce,
        refusal: RequestError,
    ) -> RequestError {
        let Confirmation { freshness, last } = in_force.confirmation;
        let error = freshness.refuse(refusal);
        if error.kind != RequestErrorKind::NotReady {
            event!(self.cx.log, REFUSED_FOR_GOOD; "request" => request, "kind" => %error.kind,
                "revision" => in_force.revision().0, "index" => in_force.applied.0,
                "confirmed_index" => last.map(|last| last.index.0),
                "confirmed_ms" => last.map(|last| last.age.as_millis() as u64),
                "term" => last.map(|last| last.term.0));
        }
        error
    }
}
