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
use shallotdrum_control::{Command, Reply, TimedCommand};
use shallotdrum_daemon::{Instance, Listeners};
use shallotdrum_harness::{Deployment, InstancePorts, instance_settings, wait_until};
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
    /// Whether followers may choose this replica.
    is_caught_up: Arc<dyn Fn() -> bool + Send + Sync>,
}

impl PlayedReplica {
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
                serde_json::to_value(RenewReply {
                    term: Term(1),
                    revision: Revision(0),
                    routes: Revision(0),
                    applied: LogIndex(replica.leader_applied.load(Ordering::SeqCst)),
                })
                .unwrap()
            })
            .unwrap();
        methods
            .register_async_method("control_watch", |params, replica, _| async move {
                let (after, wait_ms): (LogIndex, u64) = params.parse().unwrap();
                if replica.applied.load(Ordering::SeqCst) <= after.0 {
                    sleep(Duration::from_millis(wait_ms)).await;
                }
                let applied = replica.applied.load(Ordering::SeqCst);
                let command = TimedCommand { at: ControlTimeMs(0), command: Command::Tick };
                let entries = (after.0 + 1..=applied)
                    .map(|index| WatchEntry { index: LogIndex(index), command: command.clone() })
                    .collect();
                let through = LogIndex(applied).max(after);
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
        applied: leader_applied.clone(),
        leader_applied: leader_applied.clone(),
        // The follower begins with the other replica.
        is_caught_up: Arc::new(move || is_leader_chosen.load(Ordering::SeqCst) > BEFORE),
    };
    let behind = PlayedReplica {
        applied: Arc::new(AtomicU64::new(BEFORE)),
        leader_applied: leader_applied.clone(),
        is_caught_up: Arc::new(|| true),
    };
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
