//! Reports of crashes to a control log that is slow.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_util::FutureExt;
use rstest::rstest;
use shallotdrum_control::{AnnouncedTarget, Command, Proposal, ProposeError, Reply};
use shallotdrum_engine::{Requirements, TargetKind, Urgency};
use shallotdrum_owner::{CrashStatus, OwnerContext, OwnerService, PlaceAdmission};
use shallotdrum_types::{Fingerprint, Incarnation, RequestId, RequestIdentity};
use support::{Log, context};
use tokio::time::sleep;

/// Time after which this instance sees what it has written.
const LAG: Duration = Duration::from_secs(12);

/// What the control log replies to a report.
#[derive(Clone, Copy, Debug)]
enum Received {
    /// That it is recorded.
    Reply,
    /// Nothing, although it is recorded.
    Nothing,
}

/// Guards against a report that is written again and again while the log has yet to apply the first one.
#[rstest]
#[case::reply(Received::Reply, 1)]
// After 1, 2 and 4 s.
#[case::nothing(Received::Nothing, 4)]
#[tokio::test(start_paused = true)]
async fn crash_reported_to_slow_log(#[case] received: Received, #[case] max_reports: usize) {
    let log = Log::default();
    let session = log.open("a");
    let group = log.register("engine", TargetKind::Service { max_concurrent: 1 });
    log.assign(&group, session);
    let reports = Arc::new(AtomicUsize::new(0));
    let propose = {
        let (log, reports) = (log.clone(), reports.clone());
        move |proposal| {
            let (log, reports) = (log.clone(), reports.clone());
            async move {
                let Proposal::Command(command) = proposal else {
                    return Err(ProposeError::Unknown);
                };
                if !matches!(command, Command::ReportCrash { .. }) {
                    return Ok(log.apply(command));
                }
                reports.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    sleep(LAG).await;
                    log.apply(command);
                });
                match received {
                    Received::Reply => Ok(Reply::Done),
                    Received::Nothing => Err(ProposeError::Unknown),
                }
            }
            .boxed()
        }
    };
    let cx = OwnerContext { propose: Arc::new(propose), ..context(&log, session) };
    let owner = OwnerService::new(cx);
    tokio::spawn(owner.clone().run());
    sleep(Duration::from_secs(1)).await;

    let request: RequestId = "r1".parse().unwrap();
    let fingerprint = Fingerprint::of(b"request");
    let identity = RequestIdentity::from(fingerprint);
    let admission = PlaceAdmission {
        request: request.clone(),
        identity: identity.clone(),
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
    let guard = owner.enter_relayed(&place, &request, identity);
    // Its successor shows that the process has crashed.
    let registered = log.0.read(|state| state.target(&place.target).unwrap().announced.clone());
    let successor = AnnouncedTarget { incarnation: Incarnation(2), ..registered };
    log.apply(Command::RegisterTarget(successor));
    let status = owner.check_relayed(guard).await.unwrap();
    let expected = match received {
        Received::Reply => CrashStatus::Crashed,
        Received::Nothing => CrashStatus::NotRecorded,
    };
    assert_eq!(status, expected);
    sleep(5 * LAG).await;
    let reports = reports.load(Ordering::Relaxed);
    assert!(reports <= max_reports, "written {reports} times");
    assert_eq!(log.0.read(|state| state.suspect_crashes(&fingerprint)), 1);
}
