//! Metrics of the loads of an owned group from the weight store.

mod support;

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::FutureExt;
use rstest::rstest;
use shallotdrum_control::Command;
use shallotdrum_engine::{
    AdapterStatus, Announcement, LoadReport, Requirements, TargetKind, Urgency,
};
use shallotdrum_owner::{
    Finish, OrderFn, OrderKind, OwnerContext, OwnerService, PlaceAdmission, PlaceFeedback,
};
use shallotdrum_scheduler::{EngineModel, SchedulerConfig, Scheduling};
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{
    AdapterRef, Fingerprint, GroupId, Incarnation, RequestId, RequestIdentity, SessionId, TargetId,
    Weight,
};
use support::{Log, context};
use tokio::time::{Instant, sleep};

const ENGINES: usize = 15;
/// Limit of the settings.
const CONFIGURED: usize = 8;
/// Time of a load from the store.
const STORE_LOAD: Duration = Duration::from_millis(288);
/// Interval at which an owner sets its metrics, and some time for the update itself.
const UPDATE: Duration = Duration::from_millis(300);
/// Time between two requests, each for another adapter: more than the configured limit can load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(17);

/// Adapters that the engines have loaded.
type Loaded = Arc<Mutex<HashMap<TargetId, Vec<AdapterRef>>>>;

/// Sends orders to engines that accept them at once.
fn orders(loaded: Loaded) -> OrderFn {
    Arc::new(move |order| {
        let loaded = loaded.clone();
        async move {
            let OrderKind::Adapter(load) = order.wanted else { return Ok(()) };
            load.progress.await_response(Instant::now());
            load.progress.accepted(Instant::now());
            sleep(STORE_LOAD).await;
            let mut loaded = loaded.lock().unwrap();
            let held = loaded.entry(order.target).or_default();
            held.retain(|adapter| Some(adapter) != load.evict.as_ref());
            held.push(load.adapter);
            Ok(())
        }
        .boxed()
    })
}

fn kind() -> TargetKind {
    TargetKind::Engine {
        base_model: "base".parse().unwrap(),
        adapter_slots: 5,
        max_batch: 64,
        checks_fencing: true,
    }
}

fn announce(owner: &Arc<OwnerService>, loaded: &Loaded, engine: &TargetId) {
    let held = loaded.lock().unwrap().get(engine).cloned().unwrap_or_default();
    let status = |adapter| AdapterStatus { adapter, ready: true, running: 0 };
    let load =
        LoadReport { adapters: held.into_iter().map(status).collect(), ..LoadReport::default() };
    let announcement = Announcement {
        target: engine.clone(),
        incarnation: Incarnation(1),
        addr: "127.0.0.1:1".parse().unwrap(),
        pool: "pool".parse().unwrap(),
        region: "fj".parse().unwrap(),
        zone: "z".parse().unwrap(),
        kind: kind(),
        software: None,
        load,
    };
    let _ = owner.announce(&announcement);
}

async fn request(owner: Arc<OwnerService>, group: GroupId, session: SessionId, n: u64) {
    let id: RequestId = format!("r{n}").parse().unwrap();
    let admission = PlaceAdmission {
        identity: RequestIdentity::from(Fingerprint::of(id.as_str().as_bytes())),
        request: id,
        subscriber: "c".parse().unwrap(),
        weight: Weight::default(),
        need: Requirements::Generation {
            adapter: Some(AdapterRef {
                adapter: format!("a{n}").parse().unwrap(),
                version: "1".parse().unwrap(),
            }),
            prompt_tokens: 100,
            max_tokens: 10,
            prefixes: Vec::new(),
        },
        left: Duration::from_secs(8),
        urgency: Urgency::default(),
        objective: None,
        spread: 1,
        avoid: Vec::new(),
        software: None,
        limits: Vec::new(),
    };
    if owner.take_place(&group, (session, n), admission).await.is_ok() {
        sleep(Duration::from_millis(100)).await;
        let finish = Finish::Answered { prompt_tokens: 100, completion_tokens: 10 };
        owner.end_place((session, n), finish, PlaceFeedback::default(), None);
    }
}

/// Values of the metrics of loads from the store, by name, for one group.
fn store_metrics(metrics: &Metrics, group: &GroupId) -> BTreeMap<String, f64> {
    let label = format!("{{group=\"{group}\"}} ");
    let page = metrics.render();
    let lines = page.lines().filter_map(|line| line.split_once(&label));
    lines.map(|(name, value)| (name.to_owned(), value.parse().unwrap())).collect()
}

/// Guards against metrics that do not follow the limit, that exist where it is not learned, and that stay
/// after the group has another owner.
#[rstest]
#[case::learned(Scheduling::Urgency)]
#[case::configured(Scheduling::Shares)]
#[tokio::test(start_paused = true)]
async fn store_metrics_follow_limit(#[case] scheduling: Scheduling) {
    let log = Log::default();
    let session = log.open("a");
    let loaded = Loaded::default();
    let scheduler = SchedulerConfig {
        scheduling,
        engine_model: Some(EngineModel::default()),
        max_outstanding_loads: CONFIGURED,
        ..SchedulerConfig::new("z".parse().unwrap())
    };
    let cx = OwnerContext { scheduler, order: orders(loaded.clone()), ..context(&log, session) };
    let metrics = cx.metrics.clone();
    let owner = OwnerService::new(cx);
    tokio::spawn(owner.clone().run());
    let engines: Vec<TargetId> = (0..ENGINES).map(|n| format!("e{n}").parse().unwrap()).collect();
    let groups: Vec<_> = engines.iter().map(|id| log.register(id.as_str(), kind())).collect();
    let group = groups[0].clone();
    assert!(groups.iter().all(|other| *other == group));
    log.assign(&group, session);
    sleep(UPDATE).await;

    let mut limits = Vec::new();
    for n in 0..600 {
        if n % 10 == 0 {
            engines.iter().for_each(|engine| announce(&owner, &loaded, engine));
        }
        tokio::spawn(request(owner.clone(), group.clone(), session, n));
        sleep(REQUEST_INTERVAL).await;
        limits.extend(store_metrics(&metrics, &group).get("shallotdrum_store_load_limit").copied());
    }
    // Until the orders have ended, so that nothing changes between the update and the comparison.
    sleep(Duration::from_secs(10)).await;
    let snapshots = owner.snapshots();
    let snapshot = &snapshots[0].1;
    let found = store_metrics(&metrics, &group);
    println!("{scheduling:?}: {found:?}, {} loads, limits {limits:?}", snapshot.loads);
    assert!(snapshot.loads > 100, "{}", snapshot.loads);
    if scheduling == Scheduling::Shares {
        assert_eq!(found, BTreeMap::new());
        return;
    }
    let seconds = |time: Option<Duration>| time.unwrap().as_secs_f64();
    let expected = [
        ("shallotdrum_store_load_limit", snapshot.store_limit.unwrap() as f64),
        ("shallotdrum_store_loads", 0.0),
        ("shallotdrum_store_loads_unanswered", 0.0),
        ("shallotdrum_store_load_rate", snapshot.store_rate.unwrap()),
        ("shallotdrum_store_load_shortest_seconds", seconds(snapshot.shortest_store_load)),
        ("shallotdrum_store_load_median_seconds", seconds(snapshot.median_store_load)),
    ];
    assert_eq!(found, expected.map(|(name, value)| (name.to_owned(), value)).into());
    assert_eq!(limits[0], CONFIGURED as f64);
    assert!(limits.last() > Some(&(1.25 * CONFIGURED as f64)), "{:?}", limits.last());

    log.apply(Command::EndSession { session });
    sleep(UPDATE).await;
    assert_eq!(store_metrics(&metrics, &group), BTreeMap::new());
}
