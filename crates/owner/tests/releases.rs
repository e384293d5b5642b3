//! Release of the groups of an instance that stops.

mod support;

use std::{sync::Arc, time::Duration};

use futures_util::FutureExt;
use shallotdrum_control::{AnnouncedTarget, Command};
use shallotdrum_engine::{Announcement, LoadReport, Requirements, TargetKind, Urgency};
use shallotdrum_owner::{OwnerContext, OwnerService, PlaceAdmission};
use shallotdrum_types::{
    AdapterRef, Fingerprint, GroupId, Incarnation, RequestId, RequestIdentity, Weight,
};
use support::{Log, context};
use tokio::time::{Instant, sleep};

/// Time of an order; an owner waits for its end before it releases the group.
const ORDER: Duration = Duration::from_secs(4);

/// Time within which an owner reacts to a change of its groups; its checks are 250 ms apart.
const REACTION: Duration = Duration::from_secs(1);

fn engine() -> TargetKind {
    TargetKind::Engine {
        base_model: "base".parse().unwrap(),
        adapter_slots: 1,
        max_batch: 4,
        checks_fencing: true,
    }
}

/// Registers a target in a pool of its own; returns its group.
fn register(log: &Log, pool: &str, kind: TargetKind) -> GroupId {
    let target = format!("{pool}-target");
    log.apply(Command::RegisterTarget(AnnouncedTarget {
        target: target.parse().unwrap(),
        incarnation: Incarnation(1),
        addr: "127.0.0.1:1".parse().unwrap(),
        pool: pool.parse().unwrap(),
        region: "fj".parse().unwrap(),
        zone: "z".parse().unwrap(),
        kind,
        software: None,
    }));
    log.0.read(|state| state.target(&target.parse().unwrap()).unwrap().group.clone())
}

fn admission() -> PlaceAdmission {
    let request: RequestId = "r".parse().unwrap();
    let adapter = AdapterRef { adapter: "a".parse().unwrap(), version: "1".parse().unwrap() };
    PlaceAdmission {
        identity: RequestIdentity::from(Fingerprint::of(request.as_str().as_bytes())),
        request,
        subscriber: "c".parse().unwrap(),
        weight: Weight::default(),
        need: Requirements::Generation {
            adapter: Some(adapter),
            prompt_tokens: 10,
            max_tokens: 10,
            prefixes: Vec::new(),
        },
        left: Duration::from_secs(30),
        urgency: Urgency::default(),
        objective: None,
        spread: 1,
        avoid: Vec::new(),
        software: None,
        limits: Vec::new(),
    }
}

/// Guards against groups without an owner while a stop waits for an order in another group.
#[tokio::test(start_paused = true)]
async fn stop_releases_group_despite_order_in_other_group() {
    let log = Log::default();
    let session = log.open("a");
    let loading = register(&log, "loading", engine());
    let idle = register(&log, "idle", TargetKind::Service { max_concurrent: 1 });
    log.assign(&loading, session);
    log.assign(&idle, session);
    let order = Arc::new(|_| {
        async {
            sleep(ORDER).await;
            Ok(())
        }
        .boxed()
    });
    let owner = OwnerService::new(OwnerContext { order, ..context(&log, session) });
    tokio::spawn(owner.clone().run());
    sleep(REACTION).await;
    owner
        .announce(&Announcement {
            target: "loading-target".parse().unwrap(),
            incarnation: Incarnation(1),
            addr: "127.0.0.1:1".parse().unwrap(),
            pool: "loading".parse().unwrap(),
            region: "fj".parse().unwrap(),
            zone: "z".parse().unwrap(),
            kind: engine(),
            software: None,
            load: LoadReport::default(),
        })
        .unwrap();
    let (waiting, group) = (owner.clone(), loading.clone());
    tokio::spawn(async move { waiting.take_place(&group, (session, 1), admission()).await });
    sleep(REACTION).await;
    let owner_of = |group: &GroupId| log.0.read(|state| state.group(group).unwrap().owner);
    let stopped_at = Instant::now();
    tokio::spawn(async move { owner.stop().await });
    sleep(REACTION).await;
    assert_eq!(owner_of(&idle), None, "{:?} after the stop", stopped_at.elapsed());
    assert_eq!(owner_of(&loading), Some(session), "released with an order in flight");
    sleep(ORDER).await;
    assert_eq!(owner_of(&loading), None);
}
