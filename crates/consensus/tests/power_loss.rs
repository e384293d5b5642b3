//! Ends of processes at any sync, and losses of power that drop, tear or keep unsynced writes.

mod harness;

use std::{sync::atomic::Ordering, time::Duration};

use futures_util::{FutureExt, future::join_all};
use harness::{Cluster, command_names, power::UnsyncedWrites, wait_until, with_timeout};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use rstest::rstest;
use shallotdrum_consensus::{Role, StartError};

/// More than a replica makes in `crash_then_power_loss`.
const MAX_SYNCS: u64 = 80;

/// Rounds of `power_loss_of_all`.
const ROUNDS: usize = 8;

/// Longest sync of a disk that is not slow, in milliseconds; two heartbeats of the test cluster.
const MAX_SYNC_MS: u64 = 60;

/// Longest wait for a replica with an empty disk, in milliseconds; it votes again within an election.
const MAX_CATCH_UP_MS: u64 = 500;

/// Starts a replica; if its process ends meanwhile, starts it again with the files that it left.
async fn start_through_end(cluster: &mut Cluster, n: usize, rng: &mut StdRng) {
    match cluster.start_with(n, cluster.config(n)).await {
        Ok(()) => {}
        Err(StartError::Io { .. }) if cluster.power(n).has_ended() => {
            cluster.power(n).restore(UnsyncedWrites::Kept, rng);
            cluster.start(n).await;
        }
        Err(error) => panic!("replica {n}: {error}"),
    }
}

/// Runs commands through one replica whose process ends at a sync, and which loses power later. Returns
/// whether the process ended.
async fn run_to_end(syncs: u64, seed: u64, unsynced: UnsyncedWrites) -> bool {
    let rng = &mut StdRng::seed_from_u64(seed);
    let mut cluster = Cluster::new(1);
    (cluster.snapshot_every, cluster.retain_entries) = (3, 1);
    cluster.power(1).end_after(syncs);
    start_through_end(&mut cluster, 1, rng).await;
    let mut acknowledged = Vec::new();
    for name in command_names("a", 12) {
        let node = cluster.nodes[&1].clone();
        let power = cluster.power(1);
        wait_until("a leader, or the end of the process", || {
            node.status().role == Role::Leader || power.has_ended()
        })
        .await;
        match with_timeout(node.propose(name.clone())).await {
            Ok(_) => acknowledged.push(name),
            Err(_) => break,
        }
    }
    cluster.power(1).end_never();
    let has_ended = cluster.power(1).has_ended();
    if has_ended {
        cluster.stop(1).await;
        cluster.power(1).restore(UnsyncedWrites::Kept, rng);
        cluster.start(1).await;
    }
    for name in command_names("b", 2) {
        cluster.propose(&name).await;
        acknowledged.push(name);
    }
    for _ in 0..2 {
        cluster.lose_power(&[1], unsynced, rng).await;
        cluster.start(1).await;
        cluster.propose("c").await;
        cluster.check_converged(&acknowledged).await;
    }
    has_ended
}

/// Guards against acknowledged commands that only the page cache held, and against a replica that cannot
/// start, when a process ends at any of its syncs and the power is lost after its restart.
#[rstest]
#[case::lost(0, UnsyncedWrites::Lost)]
#[case::mixed_1(1, UnsyncedWrites::Mixed)]
#[case::mixed_2(2, UnsyncedWrites::Mixed)]
#[case::mixed_3(3, UnsyncedWrites::Mixed)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crash_then_power_loss(#[case] seed: u64, #[case] unsynced: UnsyncedWrites) {
    println!("seed {seed}");
    let ended = join_all((0..MAX_SYNCS).map(|syncs| run_to_end(syncs, seed, unsynced))).await;
    let reached = ended.iter().filter(|has_ended| **has_ended).count();
    println!("ended at {reached} of {MAX_SYNCS} syncs");
    assert!(ended.contains(&false), "the commands take more than {MAX_SYNCS} syncs");
}

/// Guards against a replica that stored a snapshot and ended before it had rewritten its log: its log
/// then begins after a gap, or before entries that the snapshot superseded.
#[rstest]
#[case::process_end(false, UnsyncedWrites::Kept)]
#[case::power_loss(false, UnsyncedWrites::Lost)]
#[case::torn_writes(false, UnsyncedWrites::Mixed)]
#[case::previous_leader_process_end(true, UnsyncedWrites::Kept)]
#[case::previous_leader_power_loss(true, UnsyncedWrites::Lost)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crash_during_snapshot_install(
    #[case] has_conflict: bool,
    #[case] unsynced: UnsyncedWrites,
) {
    join_all((0..12).map(|syncs| install_to_end(syncs, has_conflict, unsynced))).await;
}

async fn install_to_end(syncs: u64, has_conflict: bool, unsynced: UnsyncedWrites) {
    let rng = &mut StdRng::seed_from_u64(syncs);
    let mut cluster = Cluster::new(3);
    (cluster.snapshot_every, cluster.retain_entries) = (5, 1);
    cluster.start_all().await;
    cluster.propose("start").await;
    cluster.check_converged(&["start".to_owned()]).await;
    let is_leader = |n: &usize| cluster.nodes[n].status().role == Role::Leader;
    let behind = (1..=3).find(|n| is_leader(n) == has_conflict).unwrap();
    cluster.isolate(behind);
    let node = cluster.nodes[&behind].clone();
    for _ in 0..if has_conflict { 40 } else { 0 } {
        // Appended to its own log only.
        assert!(node.propose("superseded".to_owned()).now_or_never().is_none());
    }
    cluster.propose_many("a", 20).await;
    let power = cluster.power(behind);
    power.end_after(syncs);
    cluster.heal();
    let installed = || node.status().snapshot_index.0 >= 15;
    wait_until("the snapshot, or the end of the process", || installed() || power.has_ended())
        .await;
    power.cut_power();
    cluster.stop(behind).await;
    power.restore(unsynced, rng);
    cluster.start(behind).await;
    let mut expected = command_names("a", 20);
    cluster.check_converged(&expected).await;
    // From here on a command is acknowledged only once the replica has it.
    let other = (1..=3).find(|n| *n != behind && cluster.nodes[n].status().role != Role::Leader);
    cluster.stop(other.unwrap()).await;
    for round in ["b", "c"] {
        // Few enough that the replica takes no snapshot of its own, which would rewrite its log.
        cluster.propose(round).await;
        expected.push(round.to_owned());
        cluster.isolate(behind);
        let acknowledged = cluster.nodes[&behind].status().last_index;
        cluster.lose_power(&[behind], unsynced, rng).await;
        cluster.start(behind).await;
        let held = cluster.nodes[&behind].status().last_index;
        assert!(held >= acknowledged, "{syncs} syncs: {held} after {acknowledged}");
        cluster.heal();
    }
    cluster.start(other.unwrap()).await;
    cluster.check_converged(&expected).await;
}

/// Guards against acknowledged commands that are lost with the power of all replicas and the disks of as
/// many as may be lost, and against reads that go back behind them.
#[rstest]
#[case::three(3, 1, 1)]
#[case::five(5, 2, 2)]
#[case::nine(9, 2, 3)]
#[case::three_again(3, 1, 4)]
#[case::five_of_which_one(5, 1, 5)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn power_loss_of_all(#[case] replicas: usize, #[case] disks: usize, #[case] seed: u64) {
    let seed = std::env::var("POWER_SEED").map_or(seed, |seed| seed.parse().unwrap());
    println!("seed {seed}");
    let rng = &mut StdRng::seed_from_u64(seed);
    let mut cluster = Cluster::new(replicas);
    (cluster.snapshot_every, cluster.retain_entries) = (7, 3);
    cluster.start_all().await;
    cluster.propose("start").await;
    cluster.check_converged(&["start".to_owned()]).await;
    let all: Vec<usize> = (1..=replicas).collect();
    let mut acknowledged = Vec::new();
    for round in 0..ROUNDS {
        // Between a write and the end of its sync there is time for an acknowledgement that does not wait.
        for disk in cluster.disks.values() {
            disk.delay_ms.store(rng.random_range(0..MAX_SYNC_MS), Ordering::Relaxed);
        }
        if rng.random_bool(0.5) {
            let leader = cluster.leader().await;
            cluster.disks[&leader].delay_ms.store(2 * MAX_SYNC_MS, Ordering::Relaxed);
        }
        // One disk may be lost earlier; its replica is then somewhere between learner and voter.
        let earlier = rng.random_bool(0.5).then(|| rng.random_range(1..=replicas));
        match earlier {
            Some(n) => {
                cluster.stop(n).await;
                cluster.wipe(n);
                cluster.start(n).await;
                let wait = rng.random_range(0..MAX_CATCH_UP_MS);
                tokio::time::sleep(Duration::from_millis(wait)).await;
            }
            None if rng.random_bool(0.5) => cluster.isolate(rng.random_range(1..=replicas)),
            None => {}
        }
        for name in command_names(&format!("r{round}"), rng.random_range(1..12)) {
            cluster.propose(&name).await;
            acknowledged.push(name);
            if rng.random_bool(0.1) {
                cluster.heal();
            }
        }
        // Proposed and not acknowledged; the power is lost at some point of their replication.
        let nodes: Vec<_> = cluster.nodes.values().cloned().collect();
        let unclear = nodes.into_iter().map(|node| async move {
            let proposals = (0..5).map(|n| node.propose(format!("unclear-{round}-{n}")));
            join_all(proposals).await
        });
        let unclear = tokio::spawn(join_all(unclear));
        if rng.random_bool(0.5) {
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..MAX_SYNC_MS))).await;
        }
        let unsynced = match rng.random_bool(0.3) {
            true => UnsyncedWrites::Lost,
            false => UnsyncedWrites::Mixed,
        };
        cluster.lose_power(&all, unsynced, rng).await;
        unclear.abort();
        cluster.heal();
        // The disks that synced the last commands first, or any.
        let mut lost = all.clone();
        lost.shuffle(rng);
        if rng.random_bool(0.5) {
            lost.sort_by_key(|n| cluster.disks[n].delay_ms.load(Ordering::Relaxed));
        }
        lost.retain(|n| Some(*n) != earlier);
        for n in &lost[..disks - usize::from(earlier.is_some())] {
            cluster.wipe(*n);
        }
        for n in &all {
            cluster.start(*n).await;
        }
        let leader = cluster.leader().await;
        let read = with_timeout(cluster.nodes[&leader].read_index()).await;
        if read.is_ok() {
            let held = cluster.commands(leader);
            let is_lost = |name: &&String| !held.iter().any(|(_, command)| command == *name);
            let lost: Vec<_> = acknowledged.iter().filter(is_lost).collect();
            assert!(lost.is_empty(), "round {round}: replica {leader} reads without {lost:?}");
        }
        cluster.propose(&format!("after-{round}")).await;
        cluster.check_converged(&acknowledged).await;
        // Replicas with an empty disk vote again before the next loss.
        wait_until("all replicas vote", || {
            cluster.nodes.values().all(|node| {
                let status = node.status();
                let members = status.members.as_ref();
                let voters: Vec<_> = members.iter().flat_map(|m| &m.voters).collect();
                let is_own = voters.iter().any(|m| m.disk == status.disk);
                voters.len() == replicas && is_own
            })
        })
        .await;
    }
}
