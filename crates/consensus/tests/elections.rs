//! Elections, replication, network partitions and leader leases.

mod harness;

use std::time::Duration;

use harness::{Cluster, command_names, id, wait_until, with_timeout};
use rstest::rstest;
use shallotdrum_consensus::{ProposeError, Role};

/// Guards against clusters that elect no leader, and replicas that apply different commands.
#[rstest]
#[case(1)]
#[case(3)]
#[case(5)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replication_reaches_all(#[case] replicas: usize) {
    let cluster = Cluster::started(replicas).await;
    cluster.propose_many("a", 20).await;
    cluster.check_converged(&command_names("a", 20)).await;
}

/// Guards against loss of acknowledged commands when the leader stops, and against a cluster that
/// accepts no more commands afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leader_killed_keeps_commands() {
    let mut cluster = Cluster::started(3).await;
    cluster.propose_many("a", 10).await;
    let previous = cluster.leader().await;
    cluster.stop(previous).await;
    cluster.propose_many("b", 10).await;
    cluster.start(previous).await;
    cluster.propose("c-0").await;
    let expected = [command_names("a", 10), command_names("b", 10), command_names("c", 1)].concat();
    cluster.check_converged(&expected).await;
}

/// Guards against a reconnected replica that increases the term and deposes a healthy leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reconnected_follower_does_not_depose_leader() {
    let cluster = Cluster::started(3).await;
    cluster.propose("a-0").await;
    let leader = cluster.leader().await;
    let term = cluster.nodes[&leader].status().term;
    let cut_off = (1..=3).find(|&n| n != leader).unwrap();
    cluster.isolate(cut_off);
    let before = cluster.calls(cut_off, leader);
    wait_until("four campaigns", || cluster.calls(cut_off, leader) >= before + 4).await;
    cluster.propose_many("b", 5).await;
    cluster.heal();
    cluster.check_converged(&command_names("b", 5)).await;
    let status = cluster.nodes[&leader].status();
    assert_eq!((status.role, status.term), (Role::Leader, term), "the leader was deposed");
}

/// Guards against a replica that loses only its link to the leader and deposes it with the vote of
/// another replica that still receives heartbeats, which would also violate the leader lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partial_partition_keeps_leader() {
    let cluster = Cluster::started(3).await;
    cluster.propose("a-0").await;
    cluster.check_converged(&command_names("a", 1)).await;
    let leader = cluster.leader().await;
    let term = cluster.nodes[&leader].status().term;
    let others: Vec<_> = (1..=3).filter(|&n| n != leader).collect();
    cluster.cut(leader, others[0]);
    let before = cluster.calls(others[0], others[1]);
    wait_until("four campaigns", || cluster.calls(others[0], others[1]) >= before + 4).await;
    let terms: Vec<_> = cluster.nodes.values().map(|n| n.status().term).collect();
    assert_eq!(terms, [term; 3], "a replica was elected although the leader is alive");
    assert_eq!(cluster.nodes[&leader].status().role, Role::Leader);
}

/// Guards against stale reads, acknowledgements and leases at a leader that is disconnected from
/// its quorum or frozen.
#[rstest]
#[case::cut(false)]
#[case::frozen(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_leader_confirms_nothing(#[case] is_frozen: bool) {
    let mut cluster = Cluster::started(3).await;
    cluster.propose("a-0").await;
    let previous = cluster.leader().await;
    let node = cluster.nodes[&previous].clone();
    assert!(node.read_index().await.is_ok());
    if is_frozen {
        cluster.freeze(previous);
    } else {
        cluster.isolate(previous);
    }
    let write = node.propose("lost".to_owned());
    let (read, write) = tokio::join!(with_timeout(node.read_index()), with_timeout(write));
    assert!(matches!(read, Err(ProposeError::NotLeader { .. })), "{read:?}");
    assert_eq!(write, Err(ProposeError::Unknown));
    assert!(!node.leader_lease_valid());
    let new = cluster.leader().await;
    assert_ne!(new, previous);
    cluster.propose("b-0").await;
    cluster.heal();
    let expected = ["a-0".to_owned(), "b-0".to_owned()];
    cluster.check_converged(&expected).await;
    // The overwritten entry must not reappear when the previous leader restarts.
    cluster.stop(previous).await;
    cluster.start(previous).await;
    cluster.check_converged(&expected).await;
}

/// Waits until another replica holds the lease, and checks that no two hold it at the same time.
async fn wait_until_lease_moves(cluster: &Cluster, previous: usize) {
    wait_until("another leader with a valid lease", || {
        for (a, b) in [(1, 2), (2, 1), (1, 3), (3, 1), (2, 3), (3, 2)] {
            let is_valid = |n: usize| cluster.nodes[&n].leader_lease_valid();
            // `a` is read before and after `b`, so its lease was valid when `b` was read.
            assert!(
                !(is_valid(a) && is_valid(b) && is_valid(a)),
                "replicas {a} and {b} both hold a lease"
            );
        }
        cluster.nodes.iter().any(|(n, node)| *n != previous && node.leader_lease_valid())
    })
    .await;
}

/// Guards against a restarted replica that votes for a new leader while the lease of the leader
/// that it acknowledged before the restart is still valid.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restart_respects_lease() {
    let mut cluster = Cluster::started(3).await;
    for _ in 0..6 {
        let previous = cluster.leader().await;
        let others: Vec<_> = (1..=3).filter(|&n| n != previous).collect();
        cluster.cut(previous, others[0]);
        let before = cluster.calls(others[0], others[1]);
        // On a loaded machine the leadership may move earlier; the lease check is valid regardless.
        let is_moved = || cluster.nodes[&previous].status().role != Role::Leader;
        let is_ready = || cluster.calls(others[0], others[1]) >= before + 2;
        wait_until("two campaigns", || is_ready() || is_moved()).await;
        // After six more heartbeats the next campaign is near, and the lease is still being
        // renewed.
        let before = cluster.calls(previous, others[1]);
        let is_ready = || cluster.calls(previous, others[1]) >= before + 6;
        wait_until("heartbeats", || is_ready() || is_moved()).await;
        cluster.cut(previous, others[1]);
        cluster.stop(others[1]).await;
        cluster.start(others[1]).await;
        wait_until_lease_moves(&cluster, previous).await;
        cluster.heal();
    }
}

/// Guards against two leaders with valid leases at the same time during partitions.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leases_never_overlap() {
    let cluster = Cluster::started(3).await;
    for _ in 0..4 {
        let previous = cluster.leader().await;
        cluster.isolate(previous);
        wait_until_lease_moves(&cluster, previous).await;
        cluster.heal();
    }
}

/// Guards against lost or reordered commands when messages are lost and replicas restart.
#[rstest]
#[case(1)]
#[case(2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lossy_network_keeps_commands(#[case] seed: u64) {
    println!("seed {seed}");
    let mut cluster = Cluster::started(3).await;
    cluster.snapshot_every = 15;
    cluster.retain_entries = 5;
    cluster.propose("start").await;
    cluster.set_loss(0.03, seed);
    for n in 1..=3 {
        cluster.propose_many(&format!("r{n}"), 15).await;
        cluster.stop(n).await;
        cluster.propose_many(&format!("s{n}"), 15).await;
        cluster.start(n).await;
    }
    cluster.heal();
    let all = (1..=3)
        .flat_map(|n| [command_names(&format!("r{n}"), 15), command_names(&format!("s{n}"), 15)]);
    cluster.check_converged(&all.flatten().collect::<Vec<_>>()).await;
}

/// Guards against a planned stop that costs an election timeout or loses commands.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transfer_moves_leadership() {
    let cluster = Cluster::started(3).await;
    cluster.propose("a-0").await;
    let previous = cluster.leader().await;
    assert!(cluster.nodes[&previous].transfer_leadership().await);
    assert_ne!(cluster.nodes[&previous].status().leader, Some(id(previous)));
    cluster.propose("b-0").await;
    cluster.check_converged(&["a-0".to_owned(), "b-0".to_owned()]).await;
}

/// Guards against leaders that follow each other while replicas that all restarted apply their log again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replay_after_restart_of_all_keeps_leader() {
    let mut cluster = Cluster::started(3).await;
    cluster.propose_many("a", 100).await;
    for n in 1..=3 {
        cluster.stop(n).await;
    }
    // A replica applies its log for longer than several election timeouts.
    (cluster.apply_time, cluster.own_threads) = (Duration::from_millis(15), true);
    cluster.start_all().await;
    let term = cluster.nodes[&cluster.leader().await].status().term;
    cluster.check_converged(&command_names("a", 100)).await;
    let terms: Vec<_> = cluster.nodes.values().map(|node| node.status().term).collect();
    assert_eq!(terms, [term; 3], "another leader was elected during the replay");
}

/// Guards against a command that is never committed, and a leader that is deposed, because sending the
/// command takes longer than an election timeout.
#[rstest]
#[case::log(10_000)]
#[case::snapshot(1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_command_over_slow_links(#[case] snapshot_every: u64) {
    let mut cluster = Cluster::new(3);
    (cluster.snapshot_every, cluster.retain_entries) = (snapshot_every, 1);
    cluster.start_all().await;
    cluster.propose("a-0").await;
    let leader = cluster.leader().await;
    let term = cluster.nodes[&leader].status().term;
    let behind = (1..=3).find(|n| *n != leader).unwrap();
    cluster.stop(behind).await;
    let command = "x".repeat(200_000);
    // A second for the command, and milliseconds for a heartbeat.
    cluster.set_rate(200_000);
    cluster.propose(&command).await;
    cluster.propose("b-0").await;
    cluster.start(behind).await;
    cluster.check_converged(&[command, "b-0".to_owned()]).await;
    let terms: Vec<_> = cluster.nodes.values().map(|node| node.status().term).collect();
    assert_eq!(terms, [term; 3], "another leader was elected");
}
