//! Owners of targets that leave.

mod support;

use std::{sync::Arc, time::Duration};

use shallotdrum_control::Command;
use shallotdrum_engine::{GrantedPlace, Requirements, TargetKind, Urgency};
use shallotdrum_owner::{
    Finish, OwnerContext, OwnerService, PlaceAdmission, PlaceFeedback, PlaceKey,
};
use shallotdrum_types::{
    Fingerprint, GroupId, Incarnation, RequestError, RequestId, RequestIdentity, SessionId,
    TargetId,
};
use support::{Log, context};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Time within which an owner reacts to a change of its groups; its checks are 250 ms apart.
const REACTION: Duration = Duration::from_secs(1);

/// A service that runs one call at a time.
const KIND: TargetKind = TargetKind::Service { max_concurrent: 1 };

fn take_place(
    owner: &Arc<OwnerService>,
    group: &GroupId,
    key: PlaceKey,
) -> JoinHandle<Result<GrantedPlace, RequestError>> {
    let request: RequestId = format!("r{}", key.1).parse().unwrap();
    let fingerprint = Fingerprint::of(request.as_str().as_bytes());
    let admission = PlaceAdmission {
        request,
        identity: RequestIdentity::from(fingerprint),
        subscriber: "caller".parse().unwrap(),
        weight: Default::default(),
        need: Requirements::Call { is_repeatable: true },
        left: Duration::from_secs(30),
        urgency: Urgency::default(),
        objective: None,
        spread: 1,
        avoid: Vec::new(),
        software: None,
        limits: Vec::new(),
    };
    let (owner, group) = (owner.clone(), group.clone());
    tokio::spawn(async move { owner.take_place(&group, key, admission).await })
}

/// An owner of the group of one service.
async fn owner_of_service(
    log: &Log,
    target_timeout: Duration,
) -> (Arc<OwnerService>, SessionId, GroupId) {
    let session = log.open("a");
    let group = log.register("stays", KIND);
    log.assign(&group, session);
    let owner = OwnerService::new(OwnerContext { target_timeout, ..context(log, session) });
    tokio::spawn(owner.clone().run());
    sleep(REACTION).await;
    (owner, session, group)
}

/// Guards against a place at a target that was draining before this owner knew it, for a call that
/// waits for one.
#[tokio::test(start_paused = true)]
async fn target_registered_while_draining() {
    let log = Log::default();
    let (owner, session, group) = owner_of_service(&log, Duration::from_secs(60)).await;
    let place = take_place(&owner, &group, (session, 1)).await.unwrap().unwrap();
    assert_eq!(place.target.as_str(), "stays");
    let waiting = take_place(&owner, &group, (session, 2));
    // The owner learns of both commands at once.
    let target: TargetId = "leaves".parse().unwrap();
    log.register("leaves", KIND);
    log.apply(Command::DrainTarget { target: target.clone(), drain: true });
    sleep(REACTION).await;
    let remove = Command::RemoveTarget { target, incarnation: Incarnation(1), is_leaving: false };
    log.apply(remove);
    sleep(REACTION).await;
    log.register("leaves", KIND);
    sleep(REACTION).await;
    owner.end_place((session, 1), Finish::Cancelled, PlaceFeedback::default(), None);
    assert_eq!(waiting.await.unwrap().unwrap().target.as_str(), "stays");
}

/// Guards against the removal of a target that goes on saying that it leaves.
#[tokio::test]
async fn target_reports_while_draining() {
    const TARGET_TIMEOUT: Duration = Duration::from_millis(500);
    /// Longer than the timeout and the grace time of a new owner, 3 s, together.
    const STAY_TIME: Duration = Duration::from_secs(5);
    let log = Log::default();
    let (owner, ..) = owner_of_service(&log, TARGET_TIMEOUT).await;
    let target: TargetId = "stays".parse().unwrap();
    log.apply(Command::DrainTarget { target: target.clone(), drain: true });
    let is_registered = || log.0.read(|state| state.target(&target).is_some());
    let started = Instant::now();
    while started.elapsed() < STAY_TIME {
        owner.leave(&target, Incarnation(1)).unwrap();
        sleep(TARGET_TIMEOUT / 5).await;
        assert!(is_registered(), "after {:?}", started.elapsed());
    }
    sleep(TARGET_TIMEOUT + REACTION).await;
    assert!(!is_registered());
}
