//! Places of an owner whose targets have crashed, by the control log.

mod support;

use std::{sync::Arc, time::Duration};

use shallotdrum_control::{AnnouncedTarget, Command, Isolation, Reply};
use shallotdrum_engine::{
    Announcement, GrantedPlace, LoadReport, Requirements, TargetKind, Urgency,
};
use shallotdrum_owner::{Finish, OwnerService, PlaceAdmission, PlaceFeedback, PlaceKey};
use shallotdrum_types::{
    Fingerprint, GroupId, Incarnation, RequestError, RequestId, RequestIdentity, SessionId,
    TargetId,
};
use support::{Log, context};
use tokio::{task::JoinHandle, time::sleep};

/// Time within which an owner reacts to a change of its groups; its checks are 250 ms apart.
const REACTION: Duration = Duration::from_secs(1);

const KIND: TargetKind = TargetKind::Service { max_concurrent: 6 };

/// Number of places that are taken to see which targets are granted.
const PLACES: u64 = 12;

struct Owner {
    log: Log,
    owner: Arc<OwnerService>,
    session: SessionId,
    group: GroupId,
}

impl Owner {
    async fn start(targets: &[&str]) -> Self {
        let log = Log::default();
        let session = log.open("a");
        let groups: Vec<_> = targets.iter().map(|target| log.register(target, KIND)).collect();
        let group = groups[0].clone();
        log.assign(&group, session);
        let owner = OwnerService::new(context(&log, session));
        tokio::spawn(owner.clone().run());
        sleep(REACTION).await;
        Self { log, owner, session, group }
    }

    fn take(&self, n: u64) -> JoinHandle<Result<GrantedPlace, RequestError>> {
        let key: PlaceKey = (self.session, n);
        let request: RequestId = format!("r{n}").parse().unwrap();
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
        let (owner, group) = (self.owner.clone(), self.group.clone());
        tokio::spawn(async move { owner.take_place(&group, key, admission).await })
    }

    /// Takes places one after the other and returns their targets.
    async fn targets_of_places(&self) -> Vec<String> {
        let mut targets = Vec::new();
        for n in 0..PLACES {
            let place = self.take(n).await.unwrap().unwrap();
            targets.push(place.target.to_string());
            let key = (self.session, n);
            self.owner.end_place(key, Finish::Cancelled, PlaceFeedback::default(), None);
        }
        targets
    }

    async fn crash(&self, target: &str) {
        let report = Command::ReportCrash {
            target: target.parse().unwrap(),
            incarnation: Incarnation(1),
            requests: vec![Fingerprint::of(b"bad")],
            isolation: Isolation::Shared,
            any_caller: Vec::new(),
            callers: Vec::new(),
            completed: Vec::new(),
            parts: Vec::new(),
            part_runs: Vec::new(),
        };
        assert_eq!(self.log.apply(report), Reply::Done);
        sleep(REACTION / 10).await;
    }

    fn registered(&self, target: &str) -> AnnouncedTarget {
        let target: TargetId = target.parse().unwrap();
        self.log.0.read(|state| state.target(&target).unwrap().announced.clone())
    }

    /// Lets the process with this incarnation of a target announce itself.
    fn announce(&self, target: &str, sequence: u64) {
        let AnnouncedTarget { target, incarnation, addr, pool, region, zone, kind, software } =
            self.registered(target);
        let load = LoadReport { sequence, ..LoadReport::default() };
        let announcement =
            Announcement { target, incarnation, addr, pool, region, zone, kind, software, load };
        self.owner.announce(&announcement).unwrap();
    }
}

/// Guards against places at a target whose crash is recorded, where requests use up their sends.
#[tokio::test(start_paused = true)]
async fn crashed_target_gets_no_requests() {
    let owner = Owner::start(&["e1", "e2"]).await;
    owner.crash("e1").await;
    let targets = owner.targets_of_places().await;
    assert!(targets.iter().all(|target| target == "e2"), "{targets:?}");
}

/// Guards against refusing requests, or sending them to closed ports, while all targets start again.
#[tokio::test(start_paused = true)]
async fn requests_wait_for_crashed_targets() {
    let owner = Owner::start(&["e1", "e2"]).await;
    owner.crash("e1").await;
    owner.crash("e2").await;
    let waiting = owner.take(0);
    sleep(REACTION).await;
    assert!(!waiting.is_finished(), "{:?}", waiting.await);
    let successor = AnnouncedTarget { incarnation: Incarnation(2), ..owner.registered("e1") };
    owner.log.apply(Command::RegisterTarget(successor));
    let place = waiting.await.unwrap().unwrap();
    assert_eq!((place.target.as_str(), place.incarnation), ("e1", Incarnation(2)));
}

/// Guards against a running target that gets no requests any more, because another instance took its closed
/// port for a crash; and against a report that was on its way at a real crash.
#[tokio::test(start_paused = true)]
async fn target_announces_itself_after_crash() {
    let owner = Owner::start(&["e1", "e2"]).await;
    owner.announce("e1", 1);
    owner.crash("e1").await;
    owner.announce("e1", 2);
    let targets = owner.targets_of_places().await;
    assert!(targets.iter().all(|target| target == "e2"), "{targets:?}");
    sleep(2 * REACTION).await;
    owner.announce("e1", 3);
    sleep(REACTION).await;
    let targets = owner.targets_of_places().await;
    assert!(targets.iter().any(|target| target == "e1"), "{targets:?}");
}
