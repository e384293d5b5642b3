//! Charges to the allotments of customers at the owner of a group.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use shallotdrum_allotments::{AllotmentReply, Charge};
use shallotdrum_control::Command;
use shallotdrum_engine::{Requirements, TargetKind, Urgency};
use shallotdrum_owner::{
    ChargeError, Finish, OwnerContext, OwnerService, PlaceAdmission, PlaceFeedback,
};
use shallotdrum_routes::{Allotment, AllotmentUnit, Customer, RouteTable};
use shallotdrum_types::{
    Fingerprint, GroupId, RequestErrorKind, RequestId, RequestIdentity, Revision, SessionId, Weight,
};
use support::{Log, context};
use tokio::time::sleep;

/// Time within which an owner reacts to a change of its groups; its checks are 250 ms apart.
const REACTION: Duration = Duration::from_secs(1);

/// A service that runs one call at a time.
const KIND: TargetKind = TargetKind::Service { max_concurrent: 1 };

/// Requests that may be sent at once; the rate adds none during a test.
const BURST: u64 = 4;

struct Owned {
    log: Log,
    owner: Arc<OwnerService>,
    session: SessionId,
    group: GroupId,
    has_lease: Arc<AtomicBool>,
}

fn set_limits(log: &Log, revision: u64, burst: f64) {
    let allotment =
        Allotment { rate: 0.001, burst, unit: AllotmentUnit::Requests, default_tokens: 1 };
    let customer = Customer {
        name: "c".parse().unwrap(),
        keys: Vec::new(),
        rank: None,
        allotment: Some(allotment),
    };
    let table = RouteTable {
        revision: Revision(revision),
        customers: Some(vec![Arc::new(customer)]),
        ..RouteTable::default()
    };
    log.apply(Command::PutRoutes { table: Arc::new(table) });
}

async fn owner_of_service(log: Log, instance: &str, group: Option<GroupId>) -> Owned {
    let session = log.open(instance);
    let group = group.unwrap_or_else(|| log.register("service", KIND));
    let has_lease = Arc::new(AtomicBool::new(true));
    let lease = has_lease.clone();
    let cx = OwnerContext {
        session: Arc::new(move || lease.load(Ordering::Relaxed).then_some(session)),
        ..context(&log, session)
    };
    let owner = OwnerService::new(cx);
    tokio::spawn(owner.clone().run());
    log.assign(&group, session);
    sleep(REACTION).await;
    Owned { log, owner, session, group, has_lease }
}

impl Owned {
    fn take(&self, customer: &str) -> Result<AllotmentReply, RequestErrorKind> {
        let charge = Charge { customer: customer.parse().unwrap(), units: 1 };
        let request = "r".parse().unwrap();
        self.owner.take_allotment(&self.group, &request, &charge).map_err(|error| error.kind)
    }

    fn has_room(&self) -> bool {
        self.take("c").unwrap().granted
    }

    async fn take_place(&self, place: u64, left: Duration) -> Result<AllotmentReply, ChargeError> {
        let request: RequestId = format!("r{place}").parse().unwrap();
        let fingerprint = Fingerprint::of(request.as_str().as_bytes());
        let admission = PlaceAdmission {
            request,
            identity: RequestIdentity::from(fingerprint),
            subscriber: "c".parse().unwrap(),
            weight: Weight::default(),
            need: Requirements::Call { is_repeatable: true },
            left,
            urgency: Urgency::default(),
            objective: None,
            spread: 1,
            avoid: Vec::new(),
            software: None,
            limits: Vec::new(),
        };
        let charge = Charge { customer: "c".parse().unwrap(), units: 1 };
        let key = (self.session, place);
        let placed = self.owner.take_charged_place(&self.group, key, admission, &charge).await;
        placed.map(|(_, reply)| reply)
    }
}

/// Guards against a place without a charge, a charge without a place, and a refusal that does not
/// say when there is room.
#[tokio::test]
async fn place_charged() {
    let log = Log::default();
    set_limits(&log, 1, BURST as f64);
    let owned = owner_of_service(log, "a", None).await;
    let long = Duration::from_secs(30);
    let reply = owned.take_place(1, long).await.unwrap();
    assert!(reply.granted && reply.level.round() as u64 == BURST - 1, "{reply:?}");
    // The target has no room for another call before the deadline.
    let refused = owned.take_place(2, Duration::from_millis(200)).await;
    assert!(matches!(refused, Err(ChargeError::NoPlace(_))), "{refused:?}");
    for _ in 1..BURST {
        assert!(owned.has_room());
    }
    assert!(!owned.has_room());
    owned.owner.end_place((owned.session, 1), Finish::Cancelled, PlaceFeedback::default(), None);
    let refused = owned.take_place(3, long).await;
    let Err(ChargeError::NoRoom(reply)) = refused else { panic!("{refused:?}") };
    assert!(reply.room_after().unwrap() > Duration::from_secs(60), "{reply:?}");
}

/// Guards against units that are given away without a lease, and once more by the next owner.
#[tokio::test]
async fn taken_over_empty() {
    let log = Log::default();
    set_limits(&log, 1, BURST as f64);
    let lost = owner_of_service(log, "a", None).await;
    assert!(lost.has_room());
    lost.has_lease.store(false, Ordering::Relaxed);
    assert_eq!(lost.take("c"), Err(RequestErrorKind::NotReady));
    lost.log.apply(Command::EndSession { session: lost.session });
    let next = owner_of_service(lost.log.clone(), "b", Some(lost.group)).await;
    assert!(!next.has_room());
}

/// Guards against units beyond a lowered limit, and against a limit by an outdated table.
#[tokio::test]
async fn limits_lowered() {
    let log = Log::default();
    set_limits(&log, 1, BURST as f64);
    let owned = owner_of_service(log, "a", None).await;
    assert!(owned.has_room());
    set_limits(&owned.log, 2, 1.0);
    assert!(owned.has_room());
    assert!(!owned.has_room());
    // Raised limits give no units at once.
    set_limits(&owned.log, 3, BURST as f64);
    assert!(!owned.has_room());
}

/// Guards against a refusal for lack of room by an owner that does not know the customer.
#[tokio::test]
async fn customer_unknown() {
    let log = Log::default();
    set_limits(&log, 1, BURST as f64);
    let owned = owner_of_service(log, "a", None).await;
    assert_eq!(owned.take("other"), Ok(AllotmentReply::NOT_A_SHARD));
}

/// Guards against units for a takeover after an ownership that ended before this instance read the state,
/// and by an instance that has only a snapshot of what was before.
#[test]
fn short_ownership_known() {
    let log = Log::default();
    let group = log.register("service", KIND);
    let epoch = || log.0.read(|state| state.group(&group).unwrap().epoch);
    let sessions: Vec<SessionId> = ["a", "b", "c"].iter().map(|name| log.open(name)).collect();
    log.assign(&group, sessions[0]);
    log.apply(Command::EndSession { session: sessions[0] });
    let before = std::time::Instant::now();
    log.assign(&group, sessions[1]);
    let short = epoch();
    assert!(log.0.quiet_since(&group, short).is_some_and(|at| at <= before));
    log.apply(Command::ReleaseGroup { group: group.clone(), session: sessions[1] });
    log.assign(&group, sessions[2]);
    assert!(log.0.quiet_since(&group, epoch()).is_some_and(|at| at >= before));
    assert_eq!(log.0.quiet_since(&group, short), None);
    log.0.restore_follower(&log.0.snapshot_without_ledger()).unwrap();
    assert_eq!(log.0.quiet_since(&group, epoch()), None);
}
