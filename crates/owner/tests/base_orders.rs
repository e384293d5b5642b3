//! Base model orders of an owner whose group passes to another session.

mod support;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_util::FutureExt;
use rstest::rstest;
use shallotdrum_control::{Command, Proposal, ProposeError};
use shallotdrum_engine::{LoadReport, TargetKind};
use shallotdrum_owner::{Inspection, OrderFn, OwnerContext, OwnerService};
use shallotdrum_types::{Epoch, GroupId, SessionId};
use support::{Log, context};
use tokio::{sync::Notify, time::sleep};

/// Time within which an owner reacts to a change of its groups; its checks are 250 ms apart.
const REACTION: Duration = Duration::from_secs(1);

fn register_engine(log: &Log) -> GroupId {
    let kind = TargetKind::Engine {
        base_model: "m".parse().unwrap(),
        adapter_slots: 4,
        max_batch: 8,
        checks_fencing: false,
    };
    log.register("e1", kind)
}

/// Owner of an engine without a base model.
struct Owner {
    service: Arc<OwnerService>,
    /// Fencing tokens of the base model orders, when they were sent.
    orders: Arc<Mutex<Vec<Epoch>>>,
    in_flight: Arc<AtomicUsize>,
    /// Orders in flight when the group was released.
    at_release: Arc<Mutex<Vec<usize>>>,
    /// Lets the next inspection end.
    inspect: Arc<Notify>,
    inspecting: Arc<Notify>,
}

/// Counts an order as in flight until dropped.
struct InFlight(Arc<AtomicUsize>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn owner(log: &Log, session: SessionId) -> Owner {
    let orders = Arc::new(Mutex::new(Vec::new()));
    let in_flight = Arc::new(AtomicUsize::new(0));
    let at_release = Arc::new(Mutex::new(Vec::new()));
    let (inspect, inspecting) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (sent, count) = (orders.clone(), in_flight.clone());
    let order: OrderFn = Arc::new(move |order| {
        sent.lock().unwrap().push(order.epoch);
        count.fetch_add(1, Ordering::SeqCst);
        let guard = InFlight(count.clone());
        async move {
            let _guard = guard;
            sleep(Duration::from_secs(30)).await;
            Ok(())
        }
        .boxed()
    });
    let (gate, begun) = (inspect.clone(), inspecting.clone());
    let (proposals, count, seen) = (log.clone(), in_flight.clone(), at_release.clone());
    let propose = Arc::new(move |proposal: Proposal| {
        let (log, count, seen) = (proposals.clone(), count.clone(), seen.clone());
        async move {
            let Proposal::Command(command) = proposal else {
                return Err(ProposeError::Unknown);
            };
            if matches!(command, Command::ReleaseGroup { .. }) {
                seen.lock().unwrap().push(count.load(Ordering::SeqCst));
            }
            Ok(log.apply(command))
        }
        .boxed()
    });
    let cx = OwnerContext {
        propose,
        order,
        inspect: Some(Arc::new(move |_| {
            let (gate, begun) = (gate.clone(), begun.clone());
            async move {
                begun.notify_one();
                gate.notified().await;
                let report = LoadReport { base_missing: true, ..LoadReport::default() };
                Some(Inspection { report, order_count: 0, applied: Box::new(|_| {}) })
            }
            .boxed()
        })),
        ..context(log, session)
    };
    let service = OwnerService::new(cx);
    tokio::spawn(service.clone().run());
    Owner { service, orders, in_flight, at_release, inspect, inspecting }
}

impl Owner {
    fn orders(&self) -> Vec<Epoch> {
        self.orders.lock().unwrap().clone()
    }
}

/// Guards against an order under the number of the next owner, when the group passes to it while
/// this owner waits for the state of an engine.
#[rstest]
#[case::to_other_instance(true)]
#[case::reacquired(false)]
#[tokio::test(start_paused = true)]
async fn base_order_after_inspection_outlasts_ownership(#[case] to_other: bool) {
    let log = Log::default();
    let (a, b) = (log.open("a"), log.open("b"));
    let group = register_engine(&log);
    log.assign(&group, a);
    let owner = owner(&log, a);
    owner.inspecting.notified().await;
    log.apply(Command::ReleaseGroup { group: group.clone(), session: a });
    log.assign(&group, if to_other { b } else { a });
    owner.inspect.notify_one();
    tokio::task::yield_now().await;
    // The engine's state may have been sampled under the earlier ownership.
    assert_eq!(owner.orders(), []);
}

/// Guards against an order that is sent again after the group was released, beside those of the next
/// owner.
#[tokio::test(start_paused = true)]
async fn base_order_outlasts_release() {
    let log = Log::default();
    let a = log.open("a");
    let group = register_engine(&log);
    log.assign(&group, a);
    let owner = owner(&log, a);
    owner.inspecting.notified().await;
    owner.inspect.notify_one();
    sleep(REACTION).await;
    assert_eq!(owner.orders().len(), 1);
    owner.service.stop().await;
    assert_eq!(owner.at_release.lock().unwrap().clone(), [0]);
    assert_eq!(owner.in_flight.load(Ordering::SeqCst), 0);
}

/// Guards against a base model order beside late orders of an owner that was lost, at an engine that
/// ignores fencing tokens.
#[tokio::test(start_paused = true)]
async fn base_order_after_lost_owner() {
    let log = Log::default();
    let (a, b) = (log.open("a"), log.open("b"));
    let group = register_engine(&log);
    log.assign(&group, a);
    log.apply(Command::EndSession { session: a });
    log.assign(&group, b);
    let owner = owner(&log, b);
    owner.inspecting.notified().await;
    owner.inspect.notify_one();
    sleep(REACTION).await;
    assert_eq!(owner.orders(), []);
}
