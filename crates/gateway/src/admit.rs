//! First decisions on a request: whether it is served at all, and on which route and pool.
//!
//! They are functions of the state and change nothing, so that an explanation makes the same ones.

use std::sync::{Arc, atomic::Ordering};

use shallotdrum_routes::{Route, RouteIndex};
use shallotdrum_types::{
    Fingerprint, PoolId, RequestError, RequestErrorKind, RequestIdentity, Revision, SoftwareVersion,
};

use crate::{
    CallerRequest, Gateway,
    customers::Access,
    exchange::{RETRY_AFTER_START, RequestRun},
    in_force::InForce,
    progress::ProgressGuard,
    stop::stopping,
};

/// Why a request has no route.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum NoRoute {
    /// This instance serves nothing at the moment.
    NotServing(RequestError),
    /// The table has no route for it. The refusal is only for good if the table is confirmed.
    NotInTable(RequestError),
}

/// Where a request goes, and as whom.
pub(crate) struct Admitted {
    pub(crate) access: Access,
    pub(crate) route: Route,
    pub(crate) pool: PoolId,
    pub(crate) revision: Revision,
}

impl Gateway {
    /// Finds the table and the route of a request.
    pub(crate) fn find_route<'a>(
        &self,
        in_force: &'a InForce,
        host: &str,
        path: &str,
    ) -> Result<(&'a Arc<RouteIndex>, &'a Route), NoRoute> {
        // A request may have waited for the start of an instance that stops meanwhile.
        let is_unready = in_force.routes.is_none() && self.stop_times().is_some();
        if is_unready || self.is_closing.load(Ordering::Relaxed) {
            return Err(NoRoute::NotServing(stopping()));
        }
        let Some(routes) = &in_force.routes else {
            let detail = "no route table is in force yet; retry later";
            return Err(NoRoute::NotServing(
                RequestError::not_run(RequestErrorKind::NotReady, detail)
                    .retry_after(RETRY_AFTER_START),
            ));
        };
        let is_serving = in_force.confirmation.freshness.check_serving(self.cx.serve_when_stale);
        is_serving.map_err(NoRoute::NotServing)?;
        let route = routes.find(host, path).ok_or_else(|| {
            let revision = in_force.revision();
            let detail =
                format!("no route of host {host} matches this path in revision {revision}");
            NoRoute::NotInTable(RequestError::not_run(RequestErrorKind::NotFound, detail))
        })?;
        Ok((routes, route))
    }
}

/// Chooses the pool of a request; `sample` is uniformly distributed between 0 and 1.
pub(crate) fn choose_pool(route: &Route, sample: f64) -> Result<PoolId, RequestError> {
    route.choose_pool(sample).cloned().ok_or_else(|| {
        let detail = format!("route {} has no pool to send to", route.name);
        RequestError::not_run(RequestErrorKind::NoTarget, detail)
    })
}

impl RequestRun {
    /// Run of a request of which nothing was sent.
    pub(crate) fn new(
        req: CallerRequest,
        progress: Arc<ProgressGuard>,
        admitted: Admitted,
        identity: RequestIdentity,
        permitted: Option<Fingerprint>,
        software: Option<SoftwareVersion>,
    ) -> Self {
        let Admitted { access, route, pool, revision } = admitted;
        Self {
            deadline: req.arrived + req.timeout.min(route.timeout),
            resume_after: req.resume_after.clone(),
            identity,
            permitted,
            software,
            is_charged: false,
            taken: None,
            req,
            progress,
            is_relayed: false,
            customer: access.customer().cloned(),
            forwards_credentials: access == Access::Unchecked,
            route,
            pool,
            revision,
            avoid: Vec::new(),
            possible_runs: 0,
            sends: 0,
            sent_at: None,
            crash_check: None,
            error_response: None,
        }
    }
}
