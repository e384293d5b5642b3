//! Engines that hold no base model, such as after a restart.

use std::{sync::Arc, time::Duration};

use shallotdrum_engine::LoadReport;
use shallotdrum_telemetry::event;
use tokio::time::Instant;

use crate::{
    InspectRequest, OwnerService, TargetOrder, Wanted,
    service::{OwnedGroup, TargetHealth},
};

/// Longest time for the load of a base model: several seconds each, and only one at a time at
/// full speed.
const BASE_LOAD_TIMEOUT: Duration = Duration::from_secs(30);

impl OwnerService {
    /// Takes note whether an engine holds its base model, and has it loaded if not.
    pub(crate) fn note_base(
        self: &Arc<Self>,
        group: &Arc<OwnedGroup>,
        health: &mut TargetHealth,
        engine: &InspectRequest,
        is_missing: bool,
    ) {
        if health.is_empty != is_missing {
            health.is_empty = is_missing;
            group.scheduler.set_draining(&engine.target, health.takes_no_work());
        }
        if is_missing && !health.takes_orders_no_more() {
            self.load_base(group, engine);
        }
    }

    /// Takes what an inspected engine holds.
    pub(crate) fn inspected(
        self: &Arc<Self>,
        group: &Arc<OwnedGroup>,
        engine: &InspectRequest,
        report: &LoadReport,
    ) {
        {
            let mut targets = group.targets();
            let health = targets.get_mut(&engine.target);
            if let Some(health) = health.filter(|h| h.incarnation == engine.incarnation) {
                self.note_base(group, health, engine, report.base_missing);
            }
        }
        group.scheduler.report(&engine.target, engine.incarnation, report);
    }

    /// Orders an engine that holds no base model to load it, unless such an order is in flight.
    fn load_base(self: &Arc<Self>, group: &Arc<OwnedGroup>, engine: &InspectRequest) {
        let InspectRequest { target, incarnation, addr, base, .. } = engine;
        let epoch = self.cx.view.read(|state| state.fencing(target));
        let Some(epoch) = epoch.filter(|_| self.check_owned(group).is_ok()) else { return };
        if !group.base_loads().insert(target.clone()) {
            return;
        }
        event!(self.cx.log, BASE_LOADING; "target" => %target, "base" => %base);
        let order = TargetOrder {
            epoch,
            target: target.clone(),
            incarnation: *incarnation,
            addr: *addr,
            base: base.clone(),
            wanted: Wanted::Base,
            decided_at: Instant::now(),
            timeout: BASE_LOAD_TIMEOUT,
        };
        let (service, group) = (self.clone(), group.clone());
        tokio::spawn(async move {
            let target = order.target.clone();
            let result = (service.cx.order)(order).await;
            group.base_loads().remove(&target);
            let mut targets = group.targets();
            match (result, targets.get_mut(&target)) {
                (Ok(()), Some(health)) => {
                    health.is_empty = false;
                    group.scheduler.set_draining(&target, health.takes_no_work());
                }
                (Ok(()), None) => {}
                (Err(error), _) => {
                    event!(service.cx.log, BASE_LOAD_FAILED; "target" => %target, "error" => %error);
                }
            }
        });
    }
}
