//! Inspection of engines whose announcements do not tell reliably what they hold.
//!
//! A new owner inspects each engine before it sends orders, and again after an order whose result
//! is unknown.

use std::{sync::Arc, time::Duration};

use shallotdrum_engine::{LoadReport, TargetKind};
use shallotdrum_scheduler::TargetSpec;
use shallotdrum_telemetry::event;

use crate::{InspectFn, InspectRequest, OwnerService, service::OwnedGroup};

/// Pause between two inspections; half of the age of what an engine tells, so that the second one
/// after the take-over follows the first soon.
const INSPECT_PAUSE: Duration = Duration::from_millis(130);

/// Inspections until an engine counts as silent or gone; it is inspected again when an order to it
/// fails.
const MAX_TRIES: usize = 40;

impl OwnerService {
    /// Inspects an engine in a task of its own, unless announcements tell what it holds.
    pub(crate) fn inspect(self: &Arc<Self>, group: &Arc<OwnedGroup>, spec: &TargetSpec) {
        let Some(inspect) = self.cx.inspect.clone() else { return };
        let TargetKind::Engine { base_model, .. } = &spec.kind else { return };
        let request = InspectRequest {
            owned_since: group.since,
            target: spec.id.clone(),
            incarnation: spec.incarnation,
            addr: spec.addr,
            base: base_model.clone(),
        };
        let key = (spec.id.clone(), spec.incarnation);
        if !group.inspections().insert(key.clone()) {
            return;
        }
        let (service, group) = (self.clone(), group.clone());
        tokio::spawn(async move {
            service.inspect_until_settled(&group, &request, &inspect).await;
            group.inspections().remove(&key);
        });
    }

    async fn inspect_until_settled(
        self: &Arc<Self>,
        group: &Arc<OwnedGroup>,
        engine: &InspectRequest,
        inspect: &InspectFn,
    ) {
        for _ in 0..MAX_TRIES {
            let is_owned = self.check_owned(group).is_ok();
            if !is_owned || !group.holds(&engine.target, engine.incarnation) {
                return;
            }
            if let Some(report) = inspect(engine.clone()).await {
                event!(self.cx.log, ENGINE_INSPECTED; "target" => %engine.target,
                    "adapters" => names(&report), "base_missing" => report.base_missing,
                    "age_ms" => report.age_ms);
                self.inspected(group, engine, &report);
                if group.scheduler.is_settled(&engine.target) {
                    return;
                }
            }
            tokio::time::sleep(INSPECT_PAUSE).await;
        }
        event!(self.cx.log, ENGINE_NOT_INSPECTED; "target" => %engine.target, "tries" => MAX_TRIES);
    }
}

/// Adapters in a report, for the log.
fn names(report: &LoadReport) -> String {
    let names: Vec<String> = report.adapters.iter().map(|a| a.adapter.to_string()).collect();
    names.join(" ")
}
