//! A follower between replicas that the test plays.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use jsonrpsee::{
    RpcModule,
    server::{Server, ServerHandle},
};
use rstest::rstest;
use shallotdrum_control::{Command, ControlState, Reply, TimedCommand};
use shallotdrum_daemon::{Instance, Listeners};
use shallotdrum_harness::{Caller, Deployment, InstancePorts, instance_settings, wait_until};
use shallotdrum_manifest::Manifest;
use shallotdrum_rpc::{Compressed, RenewReply, ReplicaPosition, RpcError, WatchEntry, WatchReply};
use shallotdrum_settings::Settings;
use shallotdrum_types::{ControlTimeMs, InstanceId, LogIndex, Revision, SessionId, Term};
use tokio::time::{Instant, sleep};

/// Time within which an acknowledged change must be in force on the strictest deployment.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Replica 0 leads; replica 1 is connected to it and falls behind.
const LEADER: &str = "instance-0";

/// Replica that a test plays.
#[derive(Clone)]
struct PlayedReplica {
    /// Last command that this replica has applied.
    applied: Arc<AtomicU64>,
    /// Last command that the leader has applied.
    leader_applied: Arc<AtomicU64>,
    /// Last command that the leader knows to be committed; `None` from an earlier release.
    leader_committed: Option<LogIndex>,
    /// Whether followers may choose this replica.
    is_caught_up: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Last command that this replica passes on, although it may have applied more.
    passed_on: Arc<AtomicU64>,
    /// Commands from index 1 on; those after them change nothing.
    history: Arc<[Command]>,
    /// Revision of the manifest that the leader names.
    revision: Revision,
    /// Number of renewals that were answered.
    renewals: Arc<AtomicU64>,
}

impl PlayedReplica {
    /// Replica with a log of commands that change nothing.
    fn new(applied: Arc<AtomicU64>, leader_applied: Arc<AtomicU64>) -> Self {
        Self {
            passed_on: applied.clone(),
            applied,
            leader_applied,
            leader_committed: None,
            is_caught_up: Arc::new(|| true),
            history: Arc::default(),
            revision: Revision(0),
            renewals: Arc::default(),
        }
    }

    /// Commands after an index that this replica passes on.
    fn entries_after(&self, after: LogIndex) -> Vec<WatchEntry> {
        let entry = |index: u64| {
            let command = self.history.get(index as usize - 1).cloned().unwrap_or(Command::Tick);
            let command = TimedCommand { at: ControlTimeMs(0), command };
            WatchEntry { index: LogIndex(index), command }
        };
        (after.0 + 1..=self.passed_on.load(Ordering::SeqCst)).map(entry).collect()
    }

    async fn serve(self) -> (SocketAddr, ServerHandle) {
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let addr = server.local_addr().unwrap();
        let mut methods = RpcModule::new(self);
        methods
            .register_method("control_position", |_, replica, _| {
                let leader: InstanceId = LEADER.parse().unwrap();
                serde_json::to_value(ReplicaPosition {
                    leader: Some(leader),
                    is_caught_up: (replica.is_caught_up)(),
                    first: LogIndex(1),
                    applied: LogIndex(replica.applied.load(Ordering::SeqCst)),
                })
                .unwrap()
            })
            .unwrap();
        methods
            .register_method("control_propose", |_, _, _| {
                serde_json::to_value(Reply::SessionOpened(SessionId(1))).unwrap()
            })
            .unwrap();
        methods
            .register_method("control_renew", |_, replica, _| {
                replica.renewals.fetch_add(1, Ordering::SeqCst);
                serde_json::to_value(RenewReply {
                    term: Term(1),
                    revision: replica.revision,
                    routes: Revision(0),
                    applied: LogIndex(replica.leader_applied.load(Ordering::SeqCst)),
                    committed: replica.leader_committed,
                })
                .unwrap()
            })
            .unwrap();
        methods
            .register_async_method("control_watch", |params, replica, _| async move {
                let (after, wait_ms): (LogIndex, u64) = params.parse().unwrap();
                if replica.passed_on.load(Ordering::SeqCst) <= after.0 {
                    sleep(Duration::from_millis(wait_ms)).await;
                }
                let entries = replica.entries_after(after);
                let through = entries.last().map_or(after, |entry| entry.index);
                Ok::<_, RpcError>(Compressed(WatchReply::Entries { entries, through }))
            })
            .unwrap();
        (addr, server.start(methods))
    }
}

/// Guards against an instance that keeps following a replica which is connected to the leader, but does
/// not deliver what the leader has applied.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_behind_leader() {
    const BEFORE: u64 = 10;
    let leader_applied = Arc::new(AtomicU64::new(BEFORE));
    let is_leader_chosen = leader_applied.clone();
    let leader = PlayedReplica {
        // The follower begins with the other replica.
        is_caught_up: Arc::new(move || is_leader_chosen.load(Ordering::SeqCst) > BEFORE),
        ..PlayedReplica::new(leader_applied.clone(), leader_applied.clone())
    };
    let behind = PlayedReplica::new(Arc::new(AtomicU64::new(BEFORE)), leader_applied.clone());
    let (leader_addr, _leader) = leader.serve().await;
    let (behind_addr, _behind) = behind.serve().await;

    let folder = tempfile::tempdir().unwrap();
    let ports = InstancePorts::reserve().unwrap();
    let replicas = [leader_addr, behind_addr];
    let json = instance_settings(&Deployment::registry(), 2, &ports, &replicas, folder.path());
    let settings = Settings::from_json(&json.to_string()).unwrap();
    let listeners = Listeners::open(&settings).await.unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let instance = Instance::start(settings, listeners, log).await.unwrap();
    let plane = instance.control_plane();
    let wait_for = |index: u64| {
        let plane = plane.clone();
        async move {
            let poll = || async {
                match plane.applied() {
                    applied if applied >= LogIndex(index) => Ok(()),
                    applied => Err(format!("applied {applied}")),
                }
            };
            wait_until("the command is applied", 10 * APPLY_LIMIT, poll).await.unwrap();
        }
    };
    wait_for(BEFORE).await;
    for change in 1..=3 {
        leader_applied.store(BEFORE + change, Ordering::SeqCst);
        let committed_at = Instant::now();
        wait_for(BEFORE + change).await;
        let took = committed_at.elapsed();
        println!("change {change}: applied after {took:?}");
        assert!(took < APPLY_LIMIT, "change {change}: {took:?}");
    }
    instance.stop().await;
}

/// Guards against a started instance that serves requests by a state that it passes through while it
/// receives the log: a target that has left, or a withdrawn key, would be in use again.
#[rstest]
#[case::refused_when_stale("refuse")]
#[case::served_when_stale("serve")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_during_first_transfer(#[case] when_stale: &str) {
    const APPLIED: u64 = 20;
    let deployment = Deployment::registry();
    let manifest = Manifest::parse(deployment.manifest().to_string().as_bytes()).unwrap();
    let submission = "first".parse().unwrap();
    let submit = ControlState::default().submit_command(submission, Revision(0), &manifest);
    let applied = Arc::new(AtomicU64::new(APPLIED));
    // The manifest arrives, and with it all that requests need, but not what follows in the log.
    let passed_on = Arc::new(AtomicU64::new(1));
    let replica = PlayedReplica {
        passed_on: passed_on.clone(),
        history: Arc::new([submit]),
        revision: Revision(1),
        ..PlayedReplica::new(applied.clone(), applied)
    };
    let renewals = replica.renewals.clone();
    let (addr, _replica) = replica.serve().await;

    let folder = tempfile::tempdir().unwrap();
    let ports = InstancePorts::reserve().unwrap();
    let mut json = instance_settings(&deployment, 1, &ports, &[addr], folder.path());
    json["freshness"] = serde_json::json!({ "when_stale": when_stale });
    let settings = Settings::from_json(&json.to_string()).unwrap();
    let listeners = Listeners::open(&settings).await.unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let instance = Instance::start(settings, listeners, log).await.unwrap();
    let plane = instance.control_plane();
    let manifest_arrives = || async {
        match plane.applied() {
            LogIndex(1) => Ok(()),
            applied => Err(format!("applied {applied}")),
        }
    };
    wait_until("the manifest arrives", 10 * APPLY_LIMIT, manifest_arrives).await.unwrap();

    let caller = Caller::new(&deployment.key(0));
    let model = deployment.model(0, 1);
    let is_refused = || async {
        let response = caller.complete(ports.entry.addr(), &model, "prompt", 1, false).await;
        response.expect_err("there are no targets").code() == Some("not-ready")
    };
    // The first renewal already confirms the manifest.
    while renewals.load(Ordering::SeqCst) < 3 {
        assert!(is_refused().await, "served before the log has arrived");
        sleep(Duration::from_millis(10)).await;
    }
    passed_on.store(APPLIED, Ordering::SeqCst);
    let served = || async {
        match is_refused().await {
            true => Err("refused".to_owned()),
            false => Ok(()),
        }
    };
    wait_until("requests are served", 10 * APPLY_LIMIT, served).await.unwrap();
    instance.stop().await;
}

/// Guards against an instance that refuses for good by a state which lacks what is committed, and
/// another replica may have acknowledged, because the leader has not applied it yet either.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_before_leader_applied_commit() {
    let deployment = Deployment::registry();
    let manifest = Manifest::parse(deployment.manifest().to_string().as_bytes()).unwrap();
    let submission = "first".parse().unwrap();
    let submit = ControlState::default().submit_command(submission, Revision(0), &manifest);
    let applied = Arc::new(AtomicU64::new(1));
    let replica = PlayedReplica {
        leader_committed: Some(LogIndex(2)),
        history: Arc::new([submit]),
        revision: Revision(1),
        ..PlayedReplica::new(applied.clone(), applied.clone())
    };
    let renewals = replica.renewals.clone();
    let (addr, _replica) = replica.serve().await;

    let folder = tempfile::tempdir().unwrap();
    let ports = InstancePorts::reserve().unwrap();
    let mut json = instance_settings(&deployment, 1, &ports, &[addr], folder.path());
    json["freshness"] = serde_json::json!({ "when_stale": "serve" });
    let settings = Settings::from_json(&json.to_string()).unwrap();
    let listeners = Listeners::open(&settings).await.unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let instance = Instance::start(settings, listeners, log).await.unwrap();

    let model = deployment.model(0, 1);
    let code = |key: String| {
        let (model, entry) = (model.clone(), ports.entry.addr());
        async move {
            let response = Caller::new(&key).complete(entry, &model, "prompt", 1, false).await;
            response.expect_err("there are no targets").code().unwrap_or_default().to_owned()
        }
    };
    let known_key_served = || async {
        match code(deployment.key(0)).await.as_str() {
            "not-ready" => Err("not ready".to_owned()),
            _ => Ok(()),
        }
    };
    wait_until("requests are served", 10 * APPLY_LIMIT, known_key_served).await.unwrap();
    while renewals.load(Ordering::SeqCst) < 4 {
        assert_eq!(code("unknown".to_owned()).await, "not-ready");
        sleep(Duration::from_millis(10)).await;
    }
    applied.store(2, Ordering::SeqCst);
    let refused_for_good = || async {
        match code("unknown".to_owned()).await.as_str() {
            "unauthorized" => Ok(()),
            other => Err(other.to_owned()),
        }
    };
    wait_until("the key is refused", 10 * APPLY_LIMIT, refused_for_good).await.unwrap();
    instance.stop().await;
}
