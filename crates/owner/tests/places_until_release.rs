//! Places and orders of an owner that releases its group.

mod support;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_util::FutureExt;
use rstest::rstest;
use shallotdrum_control::{Command, Proposal, ProposeError};
use shallotdrum_engine::{
    Announcement, GrantedPlace, LoadReport, Requirements, TargetKind, Urgency,
};
use shallotdrum_owner::{
    Finish, OrderKind, OwnerContext, OwnerService, PlaceAdmission, PlaceFeedback,
};
use shallotdrum_types::{
    AdapterRef, Fingerprint, GroupId, Incarnation, PermitId, RequestError, RequestErrorKind,
    RequestId, RequestIdentity, SessionId, Weight,
};
use support::{Log, context};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Time of a load without an eviction.
const LOAD: Duration = Duration::from_millis(300);
/// Time until the runs of an evicted adapter have ended and the other one is loaded.
const EVICTION: Duration = Duration::from_secs(2);
/// Longer than the scheduler keeps an adapter that was just loaded.
const MIN_RESIDENCE: Duration = Duration::from_secs(3);
/// Time within which an owner reacts to a change of its groups; its checks are 250 ms apart.
const REACTION: Duration = Duration::from_secs(1);
/// Time from the end of the last order to the release, by the interval of the checks for orders.
const HANDOVER: Duration = Duration::from_millis(50);

/// Owner of an engine with two adapter slots, which hold `resident` and an adapter that is being evicted.
struct Owner {
    log: Log,
    service: Arc<OwnerService>,
    session: SessionId,
    group: GroupId,
    has_lease: Arc<AtomicBool>,
    orders: Arc<AtomicUsize>,
    in_flight: Arc<AtomicUsize>,
    /// When the group was released, and the orders in flight then.
    release: Arc<Mutex<Option<(Instant, usize)>>>,
    /// Delay of the permits of loads.
    permit_delay: Arc<Mutex<Duration>>,
    requests: AtomicUsize,
    /// Request for the adapter that is being loaded.
    loading: JoinHandle<Result<GrantedPlace, RequestError>>,
}

fn kind() -> TargetKind {
    TargetKind::Engine {
        base_model: "base".parse().unwrap(),
        adapter_slots: 2,
        max_batch: 8,
        checks_fencing: true,
    }
}

fn take_place(
    service: &Arc<OwnerService>,
    group: &GroupId,
    key: (SessionId, u64),
    adapter: &str,
) -> JoinHandle<Result<GrantedPlace, RequestError>> {
    let request: RequestId = format!("r{}", key.1).parse().unwrap();
    let adapter = AdapterRef { adapter: adapter.parse().unwrap(), version: "1".parse().unwrap() };
    let admission = PlaceAdmission {
        identity: RequestIdentity::from(Fingerprint::of(request.as_str().as_bytes())),
        request,
        subscriber: "c".parse().unwrap(),
        weight: Weight::default(),
        need: Requirements::Generation {
            adapter: Some(adapter),
            prompt_tokens: 100,
            max_tokens: 10,
            prefixes: Vec::new(),
        },
        left: Duration::from_secs(20),
        urgency: Urgency::default(),
        objective: None,
        spread: 1,
        avoid: Vec::new(),
        software: None,
        limits: Vec::new(),
    };
    let (service, group) = (service.clone(), group.clone());
    tokio::spawn(async move {
        let granted = service.take_place(&group, key, admission).await;
        let finish = Finish::Answered { prompt_tokens: 100, completion_tokens: 10 };
        service.end_place(key, finish, PlaceFeedback::default(), None);
        granted
    })
}

impl Owner {
    async fn start() -> Self {
        let log = Log::default();
        let session = log.open("a");
        let group = log.register("e1", kind());
        log.assign(&group, session);
        let (orders, in_flight) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let has_lease = Arc::new(AtomicBool::new(true));
        let release = Arc::new(Mutex::new(None));
        let (sent, count) = (orders.clone(), in_flight.clone());
        let (proposals, released, at_release) = (log.clone(), release.clone(), in_flight.clone());
        let lease = has_lease.clone();
        let permit_delay = Arc::<Mutex<Duration>>::default();
        let delay = permit_delay.clone();
        let cx = OwnerContext {
            session: Arc::new(move || lease.load(Ordering::SeqCst).then_some(session)),
            propose: Arc::new(move |proposal| {
                let Proposal::Command(command) = proposal else {
                    return async { Err(ProposeError::Unknown) }.boxed();
                };
                if matches!(command, Command::ReleaseGroup { .. }) {
                    let in_flight = at_release.load(Ordering::SeqCst);
                    released.lock().unwrap().get_or_insert((Instant::now(), in_flight));
                }
                let reply = proposals.apply(command);
                async { Ok(reply) }.boxed()
            }),
            permit: Arc::new(move |_| {
                let delay = *delay.lock().unwrap();
                async move {
                    sleep(delay).await;
                    Some(PermitId(0))
                }
                .boxed()
            }),
            order: Arc::new(move |order| {
                sent.fetch_add(1, Ordering::SeqCst);
                count.fetch_add(1, Ordering::SeqCst);
                let count = count.clone();
                async move {
                    let OrderKind::Adapter(load) = order.wanted else { return Ok(()) };
                    sleep(if load.evict.is_some() { EVICTION } else { LOAD }).await;
                    count.fetch_sub(1, Ordering::SeqCst);
                    Ok(())
                }
                .boxed()
            }),
            ..context(&log, session)
        };
        let service = OwnerService::new(cx);
        tokio::spawn(service.clone().run());
        sleep(REACTION).await;
        for sequence in 1..3 {
            announce(&service, "e1", sequence);
        }
        let place = |n, adapter| take_place(&service, &group, (session, n), adapter);
        for (n, adapter) in [(1, "victim"), (2, "resident"), (3, "resident"), (4, "resident")] {
            place(n, adapter).await.unwrap().unwrap();
        }
        sleep(MIN_RESIDENCE).await;
        let loading = place(5, "loading");
        // The planner tries again every 20 ms.
        sleep(Duration::from_millis(100)).await;
        assert_eq!((orders.load(Ordering::SeqCst), in_flight.load(Ordering::SeqCst)), (3, 1));
        let requests = AtomicUsize::new(6);
        Self {
            log,
            service,
            session,
            group,
            has_lease,
            orders,
            in_flight,
            release,
            permit_delay,
            requests,
            loading,
        }
    }

    async fn request(&self, adapter: &str) -> Result<GrantedPlace, RequestError> {
        let n = self.requests.fetch_add(1, Ordering::SeqCst) as u64;
        take_place(&self.service, &self.group, (self.session, n), adapter).await.unwrap()
    }

    /// Begins the release because the instance stops, or is drained by the control log.
    fn begin_release(&self, is_stop: bool) {
        match is_stop {
            true => {
                let service = self.service.clone();
                tokio::spawn(async move { service.stop().await });
            }
            false => {
                self.log.apply(Command::DrainSession { session: self.session });
            }
        }
    }

    fn released(&self) -> Option<(Instant, usize)> {
        *self.release.lock().unwrap()
    }
}

fn announce(service: &Arc<OwnerService>, target: &str, sequence: u64) {
    let announcement = Announcement {
        target: target.parse().unwrap(),
        incarnation: Incarnation(1),
        addr: "127.0.0.1:1".parse().unwrap(),
        pool: "pool".parse().unwrap(),
        region: "fj".parse().unwrap(),
        zone: "z".parse().unwrap(),
        kind: kind(),
        software: None,
        load: LoadReport { sequence, ..LoadReport::default() },
    };
    service.announce(&announcement).unwrap();
}

/// Guards against a group in which nobody grants places while its owner waits for an eviction.
#[rstest]
#[case::stop(true)]
#[case::drain(false)]
#[tokio::test(start_paused = true)]
async fn places_until_release(#[case] is_stop: bool) {
    const INTERVAL: Duration = Duration::from_millis(20);
    let owner = Owner::start().await;
    let began_at = Instant::now();
    owner.begin_release(is_stop);
    sleep(INTERVAL).await;
    let mut refused = BTreeMap::<String, usize>::new();
    let (mut granted, mut granted_at) = (0, began_at);
    while owner.released().is_none() {
        match owner.request("resident").await {
            Ok(_) => (granted, granted_at) = (granted + 1, Instant::now()),
            Err(error) => *refused.entry(error.to_string()).or_default() += 1,
        }
        sleep(INTERVAL).await;
    }
    let (released_at, in_flight) = owner.released().unwrap();
    let (stop, gap) = (released_at - began_at, released_at - granted_at);
    println!(
        "released after {stop:?}, {gap:?} after the last grant; {granted} granted, {refused:?}"
    );
    assert!(gap <= HANDOVER, "{gap:?} without a grant");
    assert!(stop <= EVICTION + HANDOVER, "released after {stop:?}");
    assert_eq!(in_flight, 0);
    assert!(owner.loading.await.unwrap().is_ok());
}

/// Guards against orders that lengthen a release, and against requests that wait for them.
#[rstest]
#[case::never_loaded("other")]
#[case::evicted("victim")]
#[tokio::test(start_paused = true)]
async fn loads_after_begin_of_release(#[case] adapter: &str) {
    let owner = Owner::start().await;
    let orders = owner.orders.load(Ordering::SeqCst);
    let queued = {
        let service = owner.service.clone();
        take_place(&service, &owner.group, (owner.session, 100), adapter)
    };
    sleep(Duration::from_millis(10)).await;
    owner.begin_release(true);
    sleep(Duration::from_millis(10)).await;
    assert!(queued.is_finished());
    assert_eq!(queued.await.unwrap().unwrap_err().kind, RequestErrorKind::NotReady);
    let asked_at = Instant::now();
    assert_eq!(owner.request(adapter).await.unwrap_err().kind, RequestErrorKind::NotReady);
    assert!(asked_at.elapsed() < HANDOVER);
    sleep(EVICTION + REACTION).await;
    assert!(owner.released().is_some());
    assert_eq!(owner.orders.load(Ordering::SeqCst), orders);
    assert_eq!(owner.in_flight.load(Ordering::SeqCst), 0);
}

/// Guards against an order whose permit comes while the group is being released.
#[tokio::test(start_paused = true)]
async fn permit_during_release() {
    const PERMIT_DELAY: Duration = Duration::from_secs(1);
    let owner = Owner::start().await;
    owner.log.register("e2", kind());
    sleep(Duration::from_millis(300)).await;
    for sequence in 1..3 {
        announce(&owner.service, "e2", sequence);
    }
    *owner.permit_delay.lock().unwrap() = PERMIT_DELAY;
    let orders = owner.orders.load(Ordering::SeqCst);
    let waiting = take_place(&owner.service, &owner.group, (owner.session, 100), "other");
    sleep(Duration::from_millis(100)).await;
    owner.begin_release(true);
    sleep(PERMIT_DELAY).await;
    assert!(owner.released().is_none());
    assert_eq!(waiting.await.unwrap().unwrap_err().kind, RequestErrorKind::NotReady);
    sleep(EVICTION).await;
    assert!(owner.released().is_some());
    assert_eq!(owner.orders.load(Ordering::SeqCst), orders);
}

/// Guards against places at a target that leaves while its group is being released.
#[tokio::test(start_paused = true)]
async fn target_leaves_during_release() {
    let owner = Owner::start().await;
    owner.begin_release(true);
    sleep(Duration::from_millis(10)).await;
    owner.request("resident").await.unwrap();
    owner.log.apply(Command::DrainTarget { target: "e1".parse().unwrap(), drain: true });
    sleep(Duration::from_millis(300)).await;
    assert!(owner.released().is_none());
    let refused = owner.request("resident").await.unwrap_err();
    assert_eq!(refused.kind, RequestErrorKind::NoTarget);
}

/// Guards against places under a lease that ends while the group is being released.
#[tokio::test(start_paused = true)]
async fn lease_ends_during_release() {
    let owner = Owner::start().await;
    owner.begin_release(true);
    sleep(Duration::from_millis(10)).await;
    owner.request("resident").await.unwrap();
    owner.has_lease.store(false, Ordering::SeqCst);
    let refused = owner.request("resident").await.unwrap_err();
    assert_eq!(refused.kind, RequestErrorKind::NotReady);
    sleep(EVICTION + REACTION).await;
    assert!(owner.released().is_none());
}
