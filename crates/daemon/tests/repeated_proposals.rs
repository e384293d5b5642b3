//! Proposals that their senders repeat while the control log has not applied them.

use std::time::Duration;

use futures_util::future::join_all;
use shallotdrum_control::{Command, Proposal, Reply};
use shallotdrum_daemon::{Instance, Listeners};
use shallotdrum_harness::{Deployment, InstancePorts, instance_settings, wait_until};
use shallotdrum_rpc::{
    AdminApiClient, Compressed, PeerApiClient, Peers, PeersConfig, ProposalTerms, WatchReply,
};
use shallotdrum_settings::Settings;
use shallotdrum_types::{LogIndex, ProposalId};

const LIMIT: Duration = Duration::from_secs(20);

/// Number of times that a proposal is sent.
const SENDS: usize = 20;

/// Guards against a log in which one proposal stands as often as its sender lost patience.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_proposal_is_written_once() {
    let deployment = Deployment::registry();
    let folder = tempfile::tempdir().unwrap();
    let ports = InstancePorts::reserve().unwrap();
    let rpc = ports.rpc.addr();
    let json = instance_settings(&deployment, 0, &ports, &[rpc], folder.path());
    let settings = Settings::from_json(&json.to_string()).unwrap();
    let listeners = Listeners::open(&settings).await.unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let instance = Instance::start(settings, listeners, log).await.unwrap();
    let client = Peers::new(PeersConfig { timeout: LIMIT }).get(rpc).unwrap();

    let raise = |version| Command::RaiseAdapterVersion {
        base: "base".parse().unwrap(),
        adapter: "adapter".parse().unwrap(),
        version,
    };
    let propose = |version| {
        let terms = ProposalTerms { id: ProposalId(version), wait_ms: LIMIT.as_millis() as u64 };
        client.propose(Proposal::Command(raise(version)), Some(terms))
    };
    let is_ready = || async { propose(1).await.map(drop).map_err(|e| e.to_string()) };
    wait_until("the log takes proposals", LIMIT, is_ready).await.unwrap();
    let before = client.replica_status().await.unwrap().applied;
    let replies = join_all((0..SENDS).map(|_| propose(2))).await;
    assert!(replies.iter().all(|reply| matches!(reply, Ok(Reply::Done))), "{replies:?}");
    // One whose reply was lost is sent again after it was applied.
    assert_eq!(propose(2).await.unwrap(), Reply::Done);
    assert_eq!(propose(3).await.unwrap(), Reply::Done);

    let written = |reply: WatchReply| match reply {
        WatchReply::Entries { entries, .. } => {
            let count = |command| entries.iter().filter(|e| e.command.command == command).count();
            (count(raise(2)), count(raise(3)))
        }
        reply @ WatchReply::Snapshot { .. } => panic!("{reply:?}"),
    };
    let Compressed(tail) = client.watch(LogIndex(before.0), 0).await.unwrap();
    assert_eq!(written(tail), (1, 1));
    instance.stop().await;
}
