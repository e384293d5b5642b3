//! Bootstrap, lost data folders, snapshot transfer, membership changes and reads of the log.

mod harness;

use std::{sync::atomic::Ordering, time::Duration};

use harness::{Cluster, RecordingMachine, command_names, id, wait_for, wait_until};
use rstest::rstest;
use shallotdrum_consensus::{CommittedTail, MembershipError, ProposeError, Role, StateMachine};
use shallotdrum_types::LogIndex;

/// Waits until the replica votes with its current data folder, which is the only member of its
/// instance.
async fn wait_until_voter(cluster: &Cluster, n: usize) {
    let disk = cluster.nodes[&n].status().disk;
    wait_until("the replica to become a voter", || {
        let statuses = cluster.nodes.values().map(|node| node.status());
        let Some(leader) = statuses.into_iter().find(|s| s.role == Role::Leader) else {
            return false;
        };
        let members = leader.members.unwrap();
        let own: Vec<_> = members.members().filter(|m| m.id == id(n)).collect();
        own.len() == 1 && own[0].disk == disk && members.voters.contains(own[0])
    })
    .await;
}

/// Guards against a replica that lost its data folder but votes under its previous identity, which
/// would elect a leader without the acknowledged commands. Also guards against a recovery that
/// stores the commands on too few replicas to survive the loss of another one.
#[rstest]
#[case::from_log(10_000)]
#[case::from_snapshot(5)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_replica_catches_up_before_voting(#[case] snapshot_every: u64) {
    let mut cluster = Cluster::new(3);
    (cluster.snapshot_every, cluster.retain_entries) = (snapshot_every, 2);
    cluster.start_all().await;
    cluster.propose("start").await;
    // Replica 2 lacks the commands, so it must not form a quorum with the empty replica 3.
    cluster.stop(2).await;
    cluster.propose_many("a", 20).await;
    cluster.stop(1).await;
    cluster.stop(3).await;
    cluster.wipe(3);
    cluster.start(2).await;
    cluster.start(3).await;
    let before = cluster.calls(2, 3);
    wait_until("six vote requests", || cluster.calls(2, 3) >= before + 6).await;
    assert!(cluster.nodes.values().all(|n| n.status().leader.is_none()), "empty replica voted");

    cluster.start(1).await;
    wait_until_voter(&cluster, 3).await;
    // Another replica that stores the commands loses its disk right after the recovery.
    cluster.check_converged(&command_names("a", 20)).await;
    cluster.stop(1).await;
    cluster.wipe(1);
    cluster.propose("b-0").await;
    cluster.start(1).await;
    wait_until_voter(&cluster, 1).await;
    cluster.check_converged(&[command_names("a", 20), command_names("b", 1)].concat()).await;
}

/// Guards against a second cluster, bootstrapped by the first initial member after it lost its data
/// folder while the others were down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_folder_forms_no_second_cluster() {
    let mut cluster = Cluster::started(3).await;
    cluster.propose("a-0").await;
    cluster.check_converged(&command_names("a", 1)).await;
    for n in 1..=3 {
        cluster.stop(n).await;
    }
    cluster.wipe(1);
    cluster.start(1).await;
    cluster.start(2).await;
    wait_until("probes", || cluster.calls(1, 2) >= 5 && cluster.calls(1, 3) >= 5).await;
    assert_eq!(cluster.nodes[&1].status().members, None);
    assert_eq!(cluster.nodes[&2].status().leader, None);
    cluster.start(3).await;
    wait_until_voter(&cluster, 1).await;
    cluster.check_converged(&command_names("a", 1)).await;
}

/// Guards against a bootstrap with only some of the initial members.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bootstrap_waits_for_all() {
    let mut cluster = Cluster::new(3);
    cluster.start(1).await;
    cluster.start(2).await;
    let before = cluster.calls(1, 2);
    wait_until("probes", || cluster.calls(1, 2) >= before + 5).await;
    assert!(cluster.nodes.values().all(|n| n.status().members.is_none()));
    cluster.start(3).await;
    cluster.propose("a-0").await;
    cluster.check_converged(&command_names("a", 1)).await;
}

/// Guards against a replica that can't catch up after the log was compacted, or only if the
/// snapshot fits in one message.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn snapshot_reaches_replica_behind_log() {
    let mut cluster = Cluster::new(3);
    (cluster.snapshot_every, cluster.retain_entries) = (10, 3);
    cluster.start_all().await;
    cluster.propose("start").await;
    let behind = (1..=3).find(|&n| id(n) != leader_id(&cluster)).unwrap();
    cluster.stop(behind).await;
    // Larger than a snapshot chunk of 256 KiB in total.
    let large = "x".repeat(100 << 10);
    let commands: Vec<_> = (0..30).map(|i| format!("{large}-{i}")).collect();
    for command in &commands {
        cluster.propose(command).await;
    }
    cluster.start(behind).await;
    cluster.check_converged(&commands).await;
    let status = cluster.nodes[&behind].status();
    assert!(status.snapshot_index > LogIndex(10), "no snapshot was received: {status:?}");
    // The received snapshot must survive a restart.
    cluster.stop(behind).await;
    cluster.start(behind).await;
    cluster.check_converged(&commands).await;
}

fn leader_id(cluster: &Cluster) -> shallotdrum_types::InstanceId {
    let mut leaders = cluster.nodes.values().filter_map(|n| n.status().leader);
    leaders.next().expect("a leader is known")
}

/// Guards against an added replica that votes before it has the log, a removed one that still
/// counts towards the quorum, and membership changes on followers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replicas_are_added_and_removed() {
    let mut cluster = Cluster::started(3).await;
    cluster.propose_many("a", 10).await;
    let leader = cluster.nodes[&cluster.leader().await].clone();
    let missing = leader.add_replica(id(4)).await;
    assert!(matches!(missing, Err(MembershipError::Unreachable { .. })), "{missing:?}");
    cluster.start(4).await;
    assert_eq!(cluster.nodes[&4].status().role, Role::Learner);
    leader.add_replica(id(4)).await.unwrap();
    let again = leader.add_replica(id(4)).await;
    assert_eq!(again, Err(MembershipError::AlreadyMember { id: id(4) }));
    wait_until_voter(&cluster, 4).await;
    cluster.check_converged(&command_names("a", 10)).await;

    let follower = (1..=3).find(|&n| id(n) != leader_id(&cluster)).unwrap();
    let refused = cluster.nodes[&follower].remove_replica(id(1)).await;
    assert!(matches!(refused, Err(MembershipError::NotLeader { .. })), "{refused:?}");
    leader.remove_replica(id(follower)).await.unwrap();
    let unknown = leader.remove_replica(id(follower)).await;
    assert_eq!(unknown, Err(MembershipError::NotMember { id: id(follower) }));
    cluster.stop(follower).await;

    // Three voters remain. The cluster must survive a stopped leader, and a leader that removes
    // itself.
    let previous = cluster.leader().await;
    cluster.stop(previous).await;
    cluster.propose("b-0").await;
    cluster.start(previous).await;
    let leader = cluster.leader().await;
    cluster.nodes[&leader].remove_replica(id(leader)).await.unwrap();
    wait_until("another leader", || cluster.nodes[&leader].status().role != Role::Leader).await;
    cluster.stop(leader).await;
    cluster.propose("c-0").await;
    cluster
        .check_converged(
            &[command_names("a", 10), command_names("b", 1), command_names("c", 1)].concat(),
        )
        .await;
}

/// Guards against a replica that counts towards the quorum while it lacks entries, because the loss
/// of another one would then stop the cluster.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_learner_does_not_vote() {
    let mut cluster = Cluster::started(3).await;
    cluster.propose_many("a", 5).await;
    cluster.start(4).await;
    // Slow enough that the link is cut before the replica has stored any entry.
    cluster.disks[&4].delay_ms.store(500, Ordering::Relaxed);
    let n = cluster.leader().await;
    let leader = cluster.nodes[&n].clone();
    let change = tokio::spawn({
        let leader = leader.clone();
        async move { leader.add_replica(id(4)).await }
    });
    let members = || leader.status().members.unwrap();
    wait_until("a learner", || members().members().any(|m| m.id == id(4))).await;
    cluster.cut(n, 4);
    cluster.propose_many("b", 5).await;
    let before = cluster.calls(n, 4);
    wait_until("calls", || cluster.calls(n, 4) >= before + 5).await;
    assert!(members().voters.iter().all(|m| m.id != id(4)), "a replica without entries votes");
    cluster.disks[&4].delay_ms.store(0, Ordering::Relaxed);
    cluster.heal();
    change.await.unwrap().unwrap();
    cluster.check_converged(&[command_names("a", 5), command_names("b", 5)].concat()).await;
}

/// Guards against removal of the last voter.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn last_voter_cannot_be_removed() {
    let cluster = Cluster::started(1).await;
    cluster.propose("a-0").await;
    let result = cluster.nodes[&1].remove_replica(id(1)).await;
    assert_eq!(result, Err(MembershipError::LastVoter { id: id(1) }));
    cluster.propose("b-0").await;
}

/// Guards against readers of the log that miss or repeat commands when it is compacted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn committed_tail_is_complete() {
    let mut cluster = Cluster::new(1);
    (cluster.snapshot_every, cluster.retain_entries) = (10, 5);
    cluster.start_all().await;
    cluster.propose_many("a", 34).await;
    let node = &cluster.nodes[&1];
    wait_for("a compacted log", || (node.status().first_index > LogIndex(20)).then_some(())).await;

    let mut copy = RecordingMachine::default();
    let mut at = LogIndex(0);
    let mut snapshots = 0;
    while at < node.status().applied {
        at = match node.committed_after(at, 64) {
            CommittedTail::Snapshot { index, bytes } => {
                copy.restore(&bytes).unwrap();
                snapshots += 1;
                index
            }
            CommittedTail::Entries { entries, last } => {
                assert!(last > at, "no progress after {at}");
                for (index, command) in entries {
                    copy.apply(index, command);
                }
                last
            }
        };
    }
    assert_eq!(snapshots, 1);
    assert_eq!(copy.commands, cluster.commands(1));
    assert!(matches!(
        node.committed_after(LogIndex(1000), 64),
        CommittedTail::Entries { entries, last: LogIndex(1000) } if entries.is_empty()
    ));
}

/// Guards against a follower that accepts proposals or names the wrong leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn follower_redirects_to_leader() {
    let cluster = Cluster::started(3).await;
    cluster.propose("a-0").await;
    cluster.check_converged(&command_names("a", 1)).await;
    let leader = cluster.leader().await;
    let follower = (1..=3).find(|&n| n != leader).unwrap();
    let result = cluster.nodes[&follower].propose("b".to_owned()).await;
    assert_eq!(result, Err(ProposeError::NotLeader { leader: Some(id(leader)) }));
}

/// Guards against a restarted replica that presents its outdated state as current. After a power
/// loss of all machines, instances served route tables that had been replaced long before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_replica_is_not_caught_up_without_leader() {
    let mut cluster = Cluster::new(3);
    (cluster.snapshot_every, cluster.retain_entries) = (10, 5);
    cluster.start_all().await;
    cluster.propose_many("a", 34).await;
    for n in 1..=3 {
        cluster.stop(n).await;
    }
    cluster.start(1).await;
    // Two elections of at most 500 ms have failed by then.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!cluster.nodes[&1].status().is_caught_up, "caught up without contact to a leader");
    cluster.start(2).await;
    for n in 1..=2 {
        wait_until("the replica to catch up", || cluster.nodes[&n].status().is_caught_up).await;
        assert_eq!(cluster.commands(n).len(), 34);
    }
    // A replica with an empty data folder is not caught up until it has the leader's snapshot.
    cluster.wipe(3);
    cluster.start(3).await;
    wait_until("the replica to catch up", || cluster.nodes[&3].status().is_caught_up).await;
    assert_eq!(cluster.commands(3).len(), 34);
}
