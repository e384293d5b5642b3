//! Sends load orders to engines; each holds a weight-store permit while it runs.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use futures_util::FutureExt;
use shallotdrum_engine::TargetKind;
use shallotdrum_scheduler::{LoadFailure, LoadFn, LoadOrder};
use shallotdrum_telemetry::event;
use shallotdrum_types::{BaseModelId, Epoch, GroupId, SessionId};

use crate::{ORDER_TIMEOUT, OrderKind, OwnerContext, TargetOrder};

/// Session and epoch under which a group is owned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ownership {
    pub(crate) session: SessionId,
    pub(crate) epoch: Epoch,
}

/// Returns the function that a group's scheduler calls to load adapters.
pub(crate) fn load_fn(
    cx: OwnerContext,
    group: GroupId,
    ownership: Ownership,
    orders: OrderCount,
) -> LoadFn {
    Arc::new(move |order| load(cx.clone(), group.clone(), ownership, orders.clone(), order).boxed())
}

/// Number of load orders in flight for a group; clones share it.
#[derive(Clone, Default)]
pub(crate) struct OrderCount(Arc<AtomicUsize>);

impl OrderCount {
    /// Whether no order is in flight.
    pub(crate) fn is_zero(&self) -> bool {
        self.0.load(Ordering::SeqCst) == 0
    }

    fn enter(&self) -> OrderGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        OrderGuard(self.clone())
    }
}

/// Counts an order as in flight until dropped.
struct OrderGuard(OrderCount);

impl Drop for OrderGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn load(
    cx: OwnerContext,
    group: GroupId,
    ownership: Ownership,
    orders: OrderCount,
    order: LoadOrder,
) -> Result<(), LoadFailure> {
    let Some(permit) = (cx.permit)(group.clone()).await else { return Err(LoadFailure::NoPermit) };
    let in_flight = orders.enter();
    // The lease or the ownership may have ended while the permit was being acquired.
    let allowed = cx.view.read(|state| {
        // The session may have lost the group and acquired it again under another epoch.
        let is_owned = state.group(&group).is_some_and(|group| {
            group.owner == Some(ownership.session) && group.epoch == ownership.epoch
        });
        let base = match &state.target(&order.target)?.announced.kind {
            TargetKind::Engine { base_model, .. } => base_model.clone(),
            TargetKind::Service { .. } => return None,
        };
        is_owned.then(|| Some((state.fencing_token(&order.target)?, base))).flatten()
    });
    let result = match allowed {
        Some((epoch, base)) if (cx.session)() == Some(ownership.session) => {
            send(&cx, epoch, base, order).await
        }
        _ => Err(LoadFailure::NoPermit),
    };
    drop(in_flight);
    (cx.release)(permit);
    result
}

async fn send(
    cx: &OwnerContext,
    epoch: Epoch,
    base: BaseModelId,
    load: LoadOrder,
) -> Result<(), LoadFailure> {
    let is_eviction = load.evict.is_some();
    let (target, adapter) = (load.target.clone(), load.adapter.clone());
    let order = TargetOrder {
        epoch,
        target: target.clone(),
        incarnation: load.incarnation,
        addr: load.addr,
        base,
        decided_at: load.decided_at,
        wanted: OrderKind::Adapter(load),
        timeout: ORDER_TIMEOUT,
    };
    cx.metrics.loads().inc();
    match (cx.order)(order).await {
        Ok(()) => {
            cx.metrics.evictions().inc_by(u64::from(is_eviction));
            Ok(())
        }
        Err(error) => {
            cx.metrics.load_failures().inc();
            event!(cx.log, ORDER_FAILED;
                "target" => %target, "adapter" => %adapter, "error" => %error);
            Err(error)
        }
    }
}
