//! Sends load orders to engines, each under a weight-store permit.

use std::sync::Arc;

use futures_util::FutureExt;
use shallotdrum_engine::{Order, OrderError, OrderRequest};
use shallotdrum_scheduler::{LoadFailure, LoadFn, LoadOrder};
use shallotdrum_telemetry::event;
use shallotdrum_types::{Epoch, GroupId, SessionId};

use crate::{ORDER_TIMEOUT, OwnerContext};

/// Makes the function with which a group's scheduler loads adapters.
pub(crate) fn load_fn(
    cx: OwnerContext,
    group: GroupId,
    session: SessionId,
    epoch: Epoch,
) -> LoadFn {
    Arc::new(move |order| load(cx.clone(), group.clone(), session, epoch, order).boxed())
}

async fn load(
    cx: OwnerContext,
    group: GroupId,
    session: SessionId,
    epoch: Epoch,
    order: LoadOrder,
) -> Result<(), LoadFailure> {
    let Some(permit) = (cx.permit)(group).await else { return Err(LoadFailure::NoPermit) };
    let result = match (cx.session)() {
        Some(current) if current == session => send(&cx, epoch, order).await,
        _ => Err(LoadFailure::NoPermit),
    };
    (cx.release)(permit);
    result
}

async fn send(cx: &OwnerContext, epoch: Epoch, load: LoadOrder) -> Result<(), LoadFailure> {
    let order = OrderRequest {
        epoch,
        order: Order::Load {
            adapter: load.adapter.clone(),
            source: load.source,
            evict: load.evict,
        },
    };
    let result = cx.engine.order(load.addr, &order, ORDER_TIMEOUT).await;
    match result {
        Ok(()) => Ok(()),
        Err(error) => {
            event!(cx.log, ADAPTER_LOAD_FAILED;
                "target" => %load.target, "adapter" => %load.adapter, "error" => %error);
            Err(match error {
                OrderError::NotSent { .. } => LoadFailure::Failed,
                OrderError::Refused(refusal) => LoadFailure::Refused(refusal),
                OrderError::Unknown { .. } => LoadFailure::Unknown,
            })
        }
    }
}
