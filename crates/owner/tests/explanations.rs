//! Explanations of an owner against what then happens to a request for a place.

mod support;

use std::time::Duration;

use shallotdrum_engine::{ObservedLimit, PlaceVerdict, Requirements, TargetKind, Urgency};
use shallotdrum_owner::{OwnerService, PlaceAdmission};
use shallotdrum_types::{Fingerprint, Incarnation, RequestIdentity, RequestRate};
use support::{Log, context};
use tokio::time::sleep;

/// Guards against an explanation by other limits than those of a decision: entries state the limits that
/// targets named to them, and the owner may not know these yet.
#[tokio::test(start_paused = true)]
async fn explain_limit_of_entry() {
    let log = Log::default();
    let session = log.open("a");
    let group = log.register("limited", TargetKind::Service { max_concurrent: 6 });
    log.assign(&group, session);
    let owner = OwnerService::new(context(&log, session));
    tokio::spawn(owner.clone().run());
    // The owner's checks are 250 ms apart.
    sleep(Duration::from_secs(1)).await;
    let limit = ObservedLimit {
        target: "limited".parse().unwrap(),
        incarnation: Incarnation(1),
        limit: Some(RequestRate::new(0.25).unwrap()),
        age_ms: 0,
    };
    let admission = |limits| PlaceAdmission {
        request: "r1".parse().unwrap(),
        identity: RequestIdentity::from(Fingerprint::of(b"r1")),
        subscriber: "caller".parse().unwrap(),
        weight: Default::default(),
        need: Requirements::Call { is_repeatable: true },
        left: Duration::from_secs(1),
        urgency: Urgency::default(),
        objective: None,
        spread: 1,
        avoid: Vec::new(),
        software: None,
        limits,
    };
    let explained = owner.explain_place(&group, admission(vec![limit.clone()])).unwrap();
    let unlimited = owner.explain_place(&group, admission(Vec::new())).unwrap();
    let granted = PlaceVerdict::Granted { target: limit.target.clone() };
    assert_eq!(unlimited.verdict, granted, "the explanation left the limit in the group");
    let taken = owner.take_place(&group, (session, 1), admission(vec![limit])).await;
    let refused = taken.map(|place| place.target).unwrap_err();
    let PlaceVerdict::Refused { error } = explained.verdict else { panic!("{explained:?}") };
    assert_eq!((error.kind, error.detail), (refused.kind, refused.detail));
}
