//! Requests without a complete response, whose target may have crashed by them.

mod support;

use std::{sync::Arc, time::Duration};

use rstest::rstest;
use shallotdrum_control::{AnnouncedTarget, Command};
use shallotdrum_engine::{GrantedPlace, Requirements, TargetKind, Urgency};
use shallotdrum_owner::{OwnerService, PlaceAdmission, RunningGuard};
use shallotdrum_types::{Fingerprint, Incarnation, RequestId, RequestIdentity, SessionId};
use support::{Log, context};
use tokio::time::{Instant, sleep};

/// Time within which an owner reacts to a change of its groups; its checks are 250 ms apart.
const REACTION: Duration = Duration::from_secs(1);

/// An owner of one service.
struct Setup {
    log: Log,
    owner: Arc<OwnerService>,
    place: GrantedPlace,
}

impl Setup {
    async fn start() -> Self {
        let log = Log::default();
        let session: SessionId = log.open("a");
        let group = log.register("service", TargetKind::Service { max_concurrent: 4 });
        log.assign(&group, session);
        let owner = OwnerService::new(context(&log, session));
        tokio::spawn(owner.clone().run());
        sleep(REACTION).await;
        let admission = PlaceAdmission {
            request: "r0".parse().unwrap(),
            identity: RequestIdentity::from(fingerprint("r0")),
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
        let place = owner.take_place(&group, (session, 1), admission).await.unwrap();
        Self { log, owner, place }
    }

    fn send(&self, request: &str) -> RunningGuard {
        let id: RequestId = request.parse().unwrap();
        let identity = RequestIdentity::from(fingerprint(request));
        self.owner.enter_relayed(&self.place, &id, identity)
    }

    /// Registers a later process of the service.
    fn replace(&self) {
        let registered =
            self.log.0.read(|state| state.target(&self.place.target).unwrap().announced.clone());
        let successor = AnnouncedTarget { incarnation: Incarnation(2), ..registered };
        self.log.apply(Command::RegisterTarget(successor));
    }

    fn crashes(&self, request: &str) -> u32 {
        self.log.0.read(|state| state.suspect_crashes(&fingerprint(request)))
    }
}

fn fingerprint(request: &str) -> Fingerprint {
    Fingerprint::of(request.as_bytes())
}

/// Guards against losing a crash because the process after it responds before its first report arrives.
#[rstest]
#[case::at_once(Duration::from_millis(20))]
#[case::late(Duration::from_millis(1_500))]
#[tokio::test(start_paused = true)]
async fn successor_responds_before_its_report(#[case] report_after: Duration) {
    let setup = Setup::start().await;
    drop(setup.send("crashing"));
    sleep(Duration::from_millis(100)).await;
    // Sent to the same address, where the next process listens by now.
    let connected_at = Instant::now();
    let next = setup.send("next");
    sleep(Duration::from_millis(20)).await;
    next.complete(Some(connected_at));
    drop(next);
    sleep(report_after).await;
    setup.replace();
    sleep(REACTION).await;
    assert_eq!(setup.crashes("crashing"), 1);
    assert_eq!(setup.crashes("next"), 0);
}

/// Guards against suspecting requests that their target has survived.
#[rstest]
#[case::connection_from_before(Some(Duration::ZERO), Duration::from_millis(20))]
#[case::new_connection(Some(Duration::from_millis(200)), Duration::from_secs(4))]
#[case::unknown_connection(None, Duration::from_secs(4))]
#[tokio::test(start_paused = true)]
async fn survived_request_is_not_suspected(
    #[case] connect_after: Option<Duration>,
    #[case] crash_after: Duration,
) {
    let setup = Setup::start().await;
    let connected_at = connect_after.map(|after| Instant::now() + after);
    sleep(Duration::from_millis(50)).await;
    drop(setup.send("survived"));
    sleep(Duration::from_millis(200)).await;
    let next = setup.send("next");
    sleep(Duration::from_millis(20)).await;
    next.complete(connected_at);
    drop(next);
    sleep(crash_after).await;
    setup.replace();
    sleep(REACTION).await;
    assert_eq!(setup.crashes("survived"), 0);
    assert_eq!(setup.crashes("next"), 0);
}

/// Guards against taking the end of an earlier request as survived because of an answer to one that was
/// sent before that end.
#[rstest]
#[tokio::test(start_paused = true)]
async fn answer_to_earlier_request_shows_nothing() {
    let setup = Setup::start().await;
    let connected_at = Instant::now();
    sleep(Duration::from_millis(50)).await;
    let earlier = setup.send("earlier");
    sleep(Duration::from_millis(50)).await;
    drop(setup.send("crashing"));
    earlier.complete(Some(connected_at));
    drop(earlier);
    sleep(Duration::from_secs(4)).await;
    setup.replace();
    sleep(REACTION).await;
    assert_eq!(setup.crashes("crashing"), 1);
}
