//! Inspection of engines whose announcements don't state reliably what they hold.
//!
//! A new owner inspects each engine before it sends orders to it, and again after an order whose
//! result is uncertain.

use std::{sync::Arc, time::Duration};

use shallotdrum_engine::{LoadReport, TargetKind};
use shallotdrum_scheduler::TargetSpec;
use shallotdrum_telemetry::event;

use crate::{InspectFn, InspectRequest, Inspection, OwnerService, service::OwnedGroup};

/// Delay between two inspections of an engine. Half the maximum age of an engine's report, so that
/// the second report, which the scheduler needs after a takeover, follows soon after the first.
const INSPECT_INTERVAL: Duration = Duration::from_millis(130);

/// Maximum number of inspections until an engine counts as unresponsive. It is inspected again when
/// an order to it fails.
const MAX_TRIES: usize = 40;

impl OwnerService {
    /// Starts a task that inspects an engine, unless its announcements state what it holds or it is
    /// already being inspected.
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

    /// Repeats the inspection until the scheduler knows what the engine holds.
    async fn inspect_until_settled(
        self: &Arc<Self>,
        group: &Arc<OwnedGroup>,
        engine: &InspectRequest,
        inspect: &InspectFn,
    ) {
        for _ in 0..MAX_TRIES {
            let is_owned = self.check_owned(group).is_ok();
            if !is_owned || !group.contains(&engine.target, engine.incarnation) {
                return;
            }
            if let Some(Inspection { report, order_count, applied }) = inspect(engine.clone()).await
            {
                event!(self.cx.log, ENGINE_INSPECTED; "target" => %engine.target,
                    "adapters" => adapter_names(&report), "base_missing" => report.base_missing,
                    "order_count" => order_count, "age_ms" => report.age_ms);
                if let Some(at) = self.apply_inspection(group, engine, &report) {
                    applied(at);
                }
                if group.scheduler.is_reconciled(&engine.target) {
                    return;
                }
            }
            tokio::time::sleep(INSPECT_INTERVAL).await;
        }
        event!(self.cx.log, ENGINE_NOT_INSPECTED; "target" => %engine.target, "tries" => MAX_TRIES);
    }
}

/// Lists the adapters of a report for the log.
fn adapter_names(report: &LoadReport) -> String {
    let names: Vec<String> = report.adapters.iter().map(|a| a.adapter.to_string()).collect();
    names.join(" ")
}
