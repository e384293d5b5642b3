//! Sends load orders to engines; each holds a weight-store permit while it runs.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Instant,
};

use futures_util::FutureExt;
use shallotdrum_engine::TargetKind;
use shallotdrum_scheduler::{LoadFailure, LoadFn, LoadOrder};
use shallotdrum_telemetry::event;
use shallotdrum_types::{BaseModelId, Epoch, GroupId, SessionId, TargetId};

use crate::{ORDER_TIMEOUT, OrderKind, OwnerContext, TargetOrder};

/// Session and epoch under which a group is owned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ownership {
    pub(crate) session: SessionId,
    pub(crate) epoch: Epoch,
    /// When it began; tells apart ownerships by one session under the same epoch.
    pub(crate) since: Instant,
}

/// What an order to an engine needs from the control state.
pub(crate) struct OrderGrant {
    /// Fencing token of the owner.
    pub(crate) epoch: Epoch,
    /// Base model that the engine announced.
    pub(crate) base: BaseModelId,
}

impl Ownership {
    /// Grants an order to an engine of the group, unless this ownership or the lease has ended.
    ///
    /// The owner and the token come from one state: another instance may own the group by the time
    /// an order is sent, and a token read later would be that of the next owner.
    pub(crate) fn order_grant(
        self,
        cx: &OwnerContext,
        group: &GroupId,
        target: &TargetId,
    ) -> Option<OrderGrant> {
        let grant = cx.view.read(|state| {
            // The session may have lost the group and acquired it again under another epoch.
            let is_owned = state
                .group(group)
                .is_some_and(|g| g.owner == Some(self.session) && g.epoch == self.epoch);
            let member = state.target(target).filter(|t| is_owned && t.group == *group)?;
            let TargetKind::Engine { base_model, .. } = &member.announced.kind else { return None };
            Some(OrderGrant { epoch: state.fencing_token(target)?, base: base_model.clone() })
        });
        grant.filter(|_| (cx.session)() == Some(self.session))
    }
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
pub(crate) struct OrderCount(Arc<Orders>);

#[derive(Default)]
struct Orders {
    in_flight: AtomicUsize,
    is_closed: AtomicBool,
}

impl OrderCount {
    /// Whether no order is in flight.
    pub(crate) fn is_zero(&self) -> bool {
        self.0.in_flight.load(Ordering::SeqCst) == 0
    }

    /// Counts an order as in flight; `None` after `close`.
    pub(crate) fn enter(&self) -> Option<OrderGuard> {
        // Counted before the check, so that whoever closes the count and then finds it zero has seen
        // every order that is sent.
        self.0.in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = OrderGuard(self.clone());
        (!self.is_closed()).then_some(guard)
    }

    /// Allows no more orders; those in flight go on.
    pub(crate) fn close(&self) {
        self.0.is_closed.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.0.is_closed.load(Ordering::SeqCst)
    }
}

/// Counts an order as in flight until dropped.
pub(crate) struct OrderGuard(OrderCount);

impl Drop for OrderGuard {
    fn drop(&mut self) {
        self.0.0.in_flight.fetch_sub(1, Ordering::SeqCst);
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
    let grant = ownership.order_grant(&cx, &group, &order.target);
    let result = match grant.filter(|_| in_flight.is_some()) {
        Some(grant) => send(&cx, grant, ownership.since, order).await,
        None => Err(LoadFailure::NoPermit),
    };
    drop(in_flight);
    (cx.release)(permit);
    result
}

async fn send(
    cx: &OwnerContext,
    grant: OrderGrant,
    owned_since: Instant,
    load: LoadOrder,
) -> Result<(), LoadFailure> {
    let is_eviction = load.evict.is_some();
    let (target, adapter) = (load.target.clone(), load.adapter.clone());
    let order = TargetOrder {
        epoch: grant.epoch,
        owned_since,
        target: target.clone(),
        incarnation: load.incarnation,
        addr: load.addr,
        base: grant.base,
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
