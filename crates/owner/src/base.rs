//! Reloads the base model of engines that hold none, such as after a restart.

use std::{sync::Arc, time::Duration};

use shallotdrum_engine::LoadReport;
use shallotdrum_scheduler::LoadFailure;
use shallotdrum_telemetry::event;
use shallotdrum_types::Epoch;
use tokio::time::Instant;

use crate::{
    InspectRequest, OrderKind, OwnerService, TargetOrder,
    service::{OwnedGroup, TargetHealth},
};

/// Timeout of a base model load. One load takes several seconds, and concurrent loads slow each
/// other down.
const BASE_LOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between checks whether an order in flight must end because the ownership has.
const OWNERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl OwnerService {
    /// Updates whether an engine holds its base model, and orders the load if it does not.
    pub(crate) fn update_base_state(
        self: &Arc<Self>,
        group: &Arc<OwnedGroup>,
        health: &mut TargetHealth,
        engine: &InspectRequest,
        is_missing: bool,
    ) {
        if health.is_base_missing != is_missing {
            health.is_base_missing = is_missing;
            group.scheduler.set_draining(&engine.target, health.is_unschedulable());
        }
        // Targets that ignore fencing tokens may still execute orders of a lost owner.
        let is_settled = std::time::Instant::now() >= health.orders_allowed_from;
        if is_missing && is_settled && !health.rejects_orders() {
            self.load_base(group, engine);
        }
    }

    /// Applies the load report of an inspected engine; returns when the scheduler did.
    pub(crate) fn apply_inspection(
        self: &Arc<Self>,
        group: &Arc<OwnedGroup>,
        engine: &InspectRequest,
        report: &LoadReport,
    ) -> Option<Instant> {
        {
            let mut targets = group.targets();
            let health = targets.get_mut(&engine.target);
            if let Some(health) = health.filter(|h| h.incarnation == engine.incarnation) {
                self.update_base_state(group, health, engine, report.base_missing);
            }
        }
        group.scheduler.report(&engine.target, engine.incarnation, report)
    }

    /// Resolves when this instance no longer owns the group, or is about to release it.
    async fn ownership_end(&self, group: &Arc<OwnedGroup>) {
        let is_kept = || !group.orders.is_closed() && self.holds(group);
        while is_kept() && self.check_owned(group).is_ok() {
            tokio::time::sleep(OWNERSHIP_POLL_INTERVAL).await;
        }
    }

    /// Orders an engine to load its base model, unless such an order is already in flight.
    fn load_base(self: &Arc<Self>, group: &Arc<OwnedGroup>, engine: &InspectRequest) {
        let InspectRequest { target, incarnation, addr, base, .. } = engine;
        let Some(in_flight) = group.orders.enter() else { return };
        let grant = group.ownership().order_grant(&self.cx, &group.id, target);
        let Some(grant) = grant.filter(|_| self.holds(group)) else { return };
        if !group.base_loads().insert(target.clone()) {
            return;
        }
        let Epoch(epoch) = grant.epoch;
        event!(self.cx.log, BASE_LOADING; "target" => %target, "base" => %base, "epoch" => epoch);
        let order = TargetOrder {
            epoch: grant.epoch,
            owned_since: group.since,
            target: target.clone(),
            incarnation: *incarnation,
            addr: *addr,
            base: base.clone(),
            wanted: OrderKind::Base,
            decided_at: Instant::now(),
            timeout: BASE_LOAD_TIMEOUT,
        };
        let (service, group) = (self.clone(), group.clone());
        tokio::spawn(async move {
            let target = order.target.clone();
            // A base load outlasts the time that a new owner waits for the orders of this one, so it
            // is not sent again once the ownership has ended.
            let result = tokio::select! {
                biased;
                () = service.ownership_end(&group) => Err(LoadFailure::Unknown),
                result = (service.cx.order)(order) => result,
            };
            drop(in_flight);
            group.base_loads().remove(&target);
            let mut targets = group.targets();
            match (result, targets.get_mut(&target)) {
                (Ok(()), Some(health)) => {
                    health.is_base_missing = false;
                    group.scheduler.set_draining(&target, health.is_unschedulable());
                }
                (Ok(()), None) => {}
                (Err(error), _) => {
                    event!(service.cx.log, BASE_LOAD_FAILED; "target" => %target, "error" => %error);
                }
            }
        });
    }
}
