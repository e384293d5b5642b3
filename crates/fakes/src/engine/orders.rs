//! Execution of orders, adapter slots and epoch checks.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use shallotdrum_engine::{AdapterStatus, Order, OrderRefusal, OrderRequest};
use shallotdrum_types::{AdapterRef, Epoch};
use tokio::sync::oneshot;

use super::{
    Engine,
    batch::BatchState,
    stats::{OrderRecord, RunEnd, Violation},
};
use crate::{clock::unix_ms, presence::lock};

/// Adapters in slots, and the epochs of orders.
#[derive(Default)]
pub(super) struct SlotState {
    adapters: BTreeMap<AdapterRef, Slot>,
    highest_epoch: Epoch,
    /// Epochs of orders in progress, by index into `EngineStats::orders`.
    in_progress: HashMap<usize, Epoch>,
}

/// State of an occupied adapter slot.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Slot {
    Loading,
    Ready,
}

/// Asynchronous part of an order that remains after `begin_order`.
enum NextStep {
    Done,
    Load(AdapterRef),
    /// Wait for the load of another order.
    AwaitLoad(AdapterRef),
}

impl SlotState {
    pub(super) fn get(&self, adapter: &AdapterRef) -> Option<Slot> {
        self.adapters.get(adapter).copied()
    }

    pub(super) fn statuses(&self, batch: &BatchState) -> Vec<AdapterStatus> {
        let status = |(adapter, slot): (&AdapterRef, &Slot)| AdapterStatus {
            adapter: adapter.clone(),
            ready: *slot == Slot::Ready,
            running: batch.count(adapter),
        };
        self.adapters.iter().map(status).collect()
    }
}

impl Engine {
    /// Executes an order, which completes even if the returned future is dropped.
    pub(super) async fn order(self: &Arc<Self>, req: OrderRequest) -> Result<(), OrderRefusal> {
        let (tx, rx) = oneshot::channel();
        let engine = self.clone();
        lock(&self.orders).spawn(async move {
            let result = engine.execute_order(req).await;
            // The connection that waits for the result may be closed.
            let _ = tx.send(result);
        });
        rx.await.unwrap_or_else(|_| {
            Err(OrderRefusal::LoadFailed { reason: "the engine is stopping".to_owned() })
        })
    }

    async fn execute_order(&self, req: OrderRequest) -> Result<(), OrderRefusal> {
        let index = self.record_order(&req);
        let result = match self.begin_order(index, &req) {
            Ok(NextStep::Done) => Ok(()),
            Ok(NextStep::Load(adapter)) => self.load(&adapter).await,
            Ok(NextStep::AwaitLoad(adapter)) => self.wait_for_load(&adapter).await,
            Err(refusal) => Err(refusal),
        };
        lock(&self.slots).in_progress.remove(&index);
        let text = result.as_ref().map_or_else(ToString::to_string, |()| "done".to_owned());
        lock(&self.shared.stats).orders[index].result = Some(text);
        result
    }

    fn record_order(&self, req: &OrderRequest) -> usize {
        let mut stats = lock(&self.shared.stats);
        stats.orders.push(OrderRecord {
            incarnation: self.incarnation,
            arrived_ms: unix_ms(),
            epoch: req.epoch,
            order: req.order.clone(),
            result: None,
        });
        stats.orders.len() - 1
    }

    /// Checks the epoch and executes the synchronous part of an order.
    fn begin_order(&self, index: usize, req: &OrderRequest) -> Result<NextStep, OrderRefusal> {
        let batch = &mut lock(&self.batch);
        let slots = &mut lock(&self.slots);
        let checks_fencing = self.shared.cfg.checks_fencing;
        if checks_fencing && req.epoch < slots.highest_epoch {
            return Err(OrderRefusal::OldEpoch { highest: slots.highest_epoch });
        }
        slots.highest_epoch = slots.highest_epoch.max(req.epoch);
        lock(&self.shared.stats).highest_epoch = slots.highest_epoch;
        if !checks_fencing
            && let Some(running) = slots.in_progress.values().find(|epoch| **epoch != req.epoch)
        {
            self.shared.record_violation(Violation::ConcurrentEpochs {
                running: *running,
                arrived: req.epoch,
            });
        }
        slots.in_progress.insert(index, req.epoch);
        match &req.order {
            Order::Load { adapter, evict, .. } => {
                match slots.get(adapter) {
                    Some(Slot::Ready) => return Ok(NextStep::Done),
                    Some(Slot::Loading) => return Ok(NextStep::AwaitLoad(adapter.clone())),
                    None => {}
                }
                if let Some(evict) = evict {
                    self.evict(evict, req.epoch, slots, batch)?;
                }
                if slots.adapters.len() >= self.shared.cfg.adapter_slots as usize {
                    return Err(OrderRefusal::NoFreeSlot);
                }
                slots.adapters.insert(adapter.clone(), Slot::Loading);
                Ok(NextStep::Load(adapter.clone()))
            }
            Order::Evict { adapter } => {
                self.evict(adapter, req.epoch, slots, batch).map(|()| NextStep::Done)
            }
            Order::ChangeRole { .. } | Order::Fence => Ok(NextStep::Done),
        }
    }

    fn evict(
        &self,
        adapter: &AdapterRef,
        epoch: Epoch,
        slots: &mut SlotState,
        batch: &mut BatchState,
    ) -> Result<(), OrderRefusal> {
        match slots.get(adapter) {
            None => return Ok(()),
            Some(Slot::Loading) => return Err(OrderRefusal::AdapterBusy),
            Some(Slot::Ready) => {}
        }
        if batch.count(adapter) > 0 {
            let carried_out = lock(&self.shared.settings).obeys_blindly;
            self.shared.record_violation(Violation::EvictionWhileServing {
                adapter: adapter.clone(),
                epoch,
                carried_out,
            });
            if !carried_out {
                return Err(OrderRefusal::AdapterBusy);
            }
            for sequence in batch.extract(|sequence| sequence.adapter == *adapter) {
                sequence.cut(&self.shared, RunEnd::Cut);
            }
        }
        slots.adapters.remove(adapter);
        lock(&self.shared.stats).evictions += 1;
        Ok(())
    }

    async fn load(&self, adapter: &AdapterRef) -> Result<(), OrderRefusal> {
        self.shared.cfg.store.load().await;
        let settings = self.shared.settings();
        let is_failed = settings.failing_adapters.contains(adapter)
            || self.shared.random_bool(settings.load_failure);
        let mut slots = lock(&self.slots);
        let mut stats = lock(&self.shared.stats);
        let result = if is_failed {
            slots.adapters.remove(adapter);
            stats.failed_loads += 1;
            Err(load_failed())
        } else {
            slots.adapters.insert(adapter.clone(), Slot::Ready);
            stats.loads += 1;
            Ok(())
        };
        self.load_ended.notify_waiters();
        result
    }

    async fn wait_for_load(&self, adapter: &AdapterRef) -> Result<(), OrderRefusal> {
        loop {
            let ended = self.load_ended.notified();
            match lock(&self.slots).get(adapter) {
                Some(Slot::Ready) => return Ok(()),
                Some(Slot::Loading) => {}
                None => return Err(load_failed()),
            }
            ended.await;
        }
    }
}

fn load_failed() -> OrderRefusal {
    OrderRefusal::LoadFailed { reason: "the weights could not be read".to_owned() }
}
