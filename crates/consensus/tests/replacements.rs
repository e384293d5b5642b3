//! Replacement of lost replicas by new ones, within the time after which operators replace the next.

mod harness;

use std::time::{Duration, Instant};

use harness::{Cluster, command_names, id, wait_for};
use rstest::rstest;
use shallotdrum_consensus::{MembershipError, Role, Status};

/// Time that a new replica has before the next one may be lost.
const SYNC: Duration = Duration::from_secs(4);

/// Status of the replica that leads.
async fn leader_status(cluster: &Cluster) -> Status {
    let n = cluster.leader().await;
    cluster.nodes[&n].status()
}

/// Adds a running replica, as often as it takes, as an instance that finds itself outside does.
async fn join(cluster: &Cluster, n: usize) {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(30) {
        let leader = cluster.leader().await;
        match cluster.nodes[&leader].add_replica(id(n)).await {
            Ok(()) | Err(MembershipError::AlreadyMember { .. }) => return,
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
    panic!("replica {n} was not added");
}

/// Waits until the voters are exactly these replicas.
async fn wait_for_voters(cluster: &Cluster, expected: &[usize]) {
    let mut expected: Vec<_> = expected.iter().map(|&n| id(n)).collect();
    expected.sort();
    wait_for("the voters", || {
        let mut statuses = cluster.nodes.values().map(|node| node.status());
        let members = statuses.find(|s| s.role == Role::Leader)?.members?;
        let mut voters: Vec<_> = members.voters.iter().map(|m| m.id.clone()).collect();
        voters.sort();
        (voters == expected && members.learners.is_empty()).then_some(())
    })
    .await;
}

/// Checks that the replicas that run stay a quorum if any one of them is lost.
async fn check_bears_loss(cluster: &Cluster) {
    let members = leader_status(cluster).await.members.unwrap();
    let running: Vec<_> = cluster.nodes.keys().map(|&n| id(n)).collect();
    let live = members.voters.iter().filter(|m| running.contains(&m.id)).count();
    assert!(live > members.quorum(), "{live} live voters of {members}");
}

/// Guards against lost voters that stay beside their successors, until the quorum is larger than the
/// number of replicas that are left.
#[rstest]
#[case::followers(false)]
#[case::leaders(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replaced_in_turn_keeps_quorum(#[case] is_leader: bool) {
    let mut cluster = Cluster::started(5).await;
    let mut running: Vec<usize> = (1..=5).collect();
    for (round, new) in (6..=10).enumerate() {
        let leader = cluster.leader().await;
        let lost = *running.iter().find(|&&n| (n == leader) == is_leader).unwrap();
        cluster.stop(lost).await;
        running.retain(|&n| n != lost);
        cluster.start(new).await;
        running.push(new);
        let start = Instant::now();
        join(&cluster, new).await;
        wait_for_voters(&cluster, &running).await;
        assert!(start.elapsed() < SYNC, "replacement {round} took {:?}", start.elapsed());
        check_bears_loss(&cluster).await;
        cluster.propose(&format!("a-{round}")).await;
    }
    cluster.check_converged(&command_names("a", 5)).await;
}

/// Guards against a replica that is lost while it joins and holds back all later changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_while_joining_holds_back_no_other() {
    let mut cluster = Cluster::started(5).await;
    cluster.propose("a-0").await;
    let leader = cluster.leader().await;
    let lost = (1..=5).find(|&n| n != leader).unwrap();
    cluster.stop(lost).await;
    cluster.start(6).await;
    let node = cluster.nodes[&leader].clone();
    let change = tokio::spawn(async move { node.add_replica(id(6)).await });
    // The lost voter may still respond, so the learner waits, and is lost meanwhile.
    wait_for("a learner", || {
        let members = cluster.nodes[&leader].status().members?;
        (!members.learners.is_empty()).then_some(())
    })
    .await;
    cluster.stop(6).await;
    cluster.start(7).await;
    let start = Instant::now();
    join(&cluster, 7).await;
    let running: Vec<_> = (1..=7).filter(|&n| n != lost && n != 6).collect();
    wait_for_voters(&cluster, &running).await;
    assert!(start.elapsed() < SYNC, "the next replica was added after {:?}", start.elapsed());
    let result = change.await.unwrap();
    assert!(matches!(result, Err(MembershipError::Unreachable { .. })), "{result:?}");
    check_bears_loss(&cluster).await;
}

/// Guards against the removal of a voter that stood still for a moment while another replica joined.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_silence_keeps_place() {
    let mut cluster = Cluster::started(5).await;
    cluster.propose("a-0").await;
    let leader = cluster.leader().await;
    let frozen = (1..=5).find(|&n| n != leader).unwrap();
    cluster.start(6).await;
    cluster.freeze(frozen);
    let frozen_at = Instant::now();
    let node = cluster.nodes[&leader].clone();
    let change = tokio::spawn(async move { node.add_replica(id(6)).await });
    // Twice the longest election timeout.
    tokio::time::sleep(Duration::from_secs(1).saturating_sub(frozen_at.elapsed())).await;
    let members = cluster.nodes[&leader].status().members.unwrap();
    assert_eq!(members.voters.len(), 5, "the quorum grew beside a silent voter: {members}");
    cluster.heal();
    change.await.unwrap().unwrap();
    wait_for_voters(&cluster, &[1, 2, 3, 4, 5, 6]).await;
    cluster.check_converged(&command_names("a", 1)).await;
}

/// Guards against a replica that was replaced while it stood still, and then disturbs the others or
/// can't join them again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replaced_voter_returns() {
    let mut cluster = Cluster::started(5).await;
    cluster.propose("a-0").await;
    let leader = cluster.leader().await;
    let frozen = (1..=5).find(|&n| n != leader).unwrap();
    cluster.start(6).await;
    cluster.freeze(frozen);
    join(&cluster, 6).await;
    let others: Vec<_> = (1..=6).filter(|&n| n != frozen).collect();
    wait_for_voters(&cluster, &others).await;
    let term = leader_status(&cluster).await.term;
    cluster.heal();
    join(&cluster, frozen).await;
    wait_for_voters(&cluster, &[1, 2, 3, 4, 5, 6]).await;
    assert_eq!(leader_status(&cluster).await.term, term, "the leader was deposed");
    cluster.propose("b-0").await;
    cluster.check_converged(&[command_names("a", 1), command_names("b", 1)].concat()).await;
}

/// Guards against lost voters that a new leader takes for live ones, when the previous leader is lost
/// together with another replica.
#[rstest]
#[case::five(5)]
#[case::nine(9)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_lost_with_leader(#[case] replicas: usize) {
    let mut cluster = Cluster::started(replicas).await;
    cluster.propose("a-0").await;
    let leader = cluster.leader().await;
    let other = (1..=replicas).find(|&n| n != leader).unwrap();
    cluster.stop(leader).await;
    cluster.stop(other).await;
    let start = Instant::now();
    for new in [replicas + 1, replicas + 2] {
        cluster.start(new).await;
    }
    for new in [replicas + 1, replicas + 2] {
        join(&cluster, new).await;
    }
    let running: Vec<_> = (1..=replicas + 2).filter(|&n| n != leader && n != other).collect();
    wait_for_voters(&cluster, &running).await;
    assert!(start.elapsed() < SYNC, "both were replaced after {:?}", start.elapsed());
    check_bears_loss(&cluster).await;
    cluster.propose("b-0").await;
    cluster.check_converged(&[command_names("a", 1), command_names("b", 1)].concat()).await;
}
