//! Restarts, corrupt files and disk failures.

mod harness;

use std::{
    fs,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use harness::{Cluster, command_names, id, wait_until, with_timeout};
use rstest::rstest;
use shallotdrum_consensus::{FatalError, ProposeError, Refusal, ResponseEnvelope, StartError};

/// Guards against loss of acknowledged commands when all replicas restart, with and without
/// snapshots.
#[rstest]
#[case::log_only(10_000)]
#[case::snapshots(7)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_keeps_commands(#[case] snapshot_every: u64) {
    let mut cluster = Cluster::new(3);
    (cluster.snapshot_every, cluster.retain_entries) = (snapshot_every, 3);
    cluster.start_all().await;
    let mut expected = Vec::new();
    for round in ["a", "b", "c"] {
        cluster.propose_many(round, 12).await;
        expected.extend(command_names(round, 12));
        for n in 1..=3 {
            cluster.stop(n).await;
        }
        cluster.start_all().await;
    }
    cluster.propose("d-0").await;
    cluster.check_converged(&expected).await;
}

/// Guards against a slow or failing start with 10,000 entries in the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replay_of_long_log() {
    let mut cluster = Cluster::started(1).await;
    cluster.propose("start").await;
    let node = cluster.nodes[&1].clone();
    let proposals = (0..10_000).map(|i| node.propose(format!("a-{i}")));
    let results = futures_util::future::join_all(proposals).await;
    assert!(results.iter().all(Result::is_ok));
    cluster.stop(1).await;
    let start = Instant::now();
    cluster.start(1).await;
    println!("replayed 10,000 entries in {:?}", start.elapsed());
    cluster.propose("b-0").await;
    cluster.check_converged(&command_names("a", 10_000)).await;
}

/// Guards against a replica that refuses to start or loses synced entries after a crash during a
/// write.
#[rstest]
#[case::part_of_header(10, 0)]
#[case::part_of_payload(18, 0)]
#[case::unwritten_sectors(16, 5000)]
#[case::only_zeros(0, 5000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn torn_tail_is_truncated(#[case] written: usize, #[case] zeros: usize) {
    let mut cluster = Cluster::started(1).await;
    cluster.propose_many("a", 5).await;
    cluster.stop(1).await;
    let path = cluster.log_file(1);
    let whole = fs::read(&path).unwrap();
    // Uses the beginning of the file as the torn frame.
    fs::write(&path, [&whole, &whole[..written], &vec![0; zeros]].concat()).unwrap();
    cluster.start(1).await;
    cluster.propose("b-0").await;
    cluster.check_converged(&command_names("a", 5)).await;
}

/// Guards against a replica that refuses to start after a crash during a write of which one sector, with
/// few bytes of it, is missing.
#[rstest]
#[case::first_sector(true)]
#[case::last_sector(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn torn_tail_lacks_part_of_sector(#[case] is_first: bool) {
    const SECTOR: usize = 512;
    const FEW: usize = 16;

    let mut cluster = Cluster::started(1).await;
    let length = |cluster: &Cluster| fs::metadata(cluster.log_file(1)).unwrap().len() as usize;
    let mut expected = Vec::new();
    cluster.propose("start").await;
    let torn = loop {
        let start = length(&cluster);
        let name = format!("a-{}", expected.len());
        cluster.propose(&name).await;
        let end = length(&cluster);
        let boundary = end - end % SECTOR;
        let torn = if is_first { start..boundary } else { boundary..end };
        if start < boundary && boundary < end && torn.len() < FEW {
            break torn;
        }
        expected.push(name);
    };
    cluster.stop(1).await;
    let path = cluster.log_file(1);
    let mut bytes = fs::read(&path).unwrap();
    bytes[torn].fill(0);
    fs::write(&path, bytes).unwrap();
    cluster.start(1).await;
    cluster.propose("b-0").await;
    cluster.check_converged(&expected).await;
}

/// Guards against silent truncation of a corrupt log, which would lose acknowledged entries, and
/// against a replica that can't be rebuilt from the others.
#[rstest]
#[case::early(0.2)]
#[case::late(0.8)]
#[case::last_frame(1.0)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn corrupt_log_is_refused_then_rebuilt(#[case] place: f64) {
    let mut cluster = Cluster::started(3).await;
    cluster.propose_many("a", 20).await;
    cluster.check_converged(&command_names("a", 20)).await;
    cluster.stop(2).await;
    let path = cluster.log_file(2);
    let mut bytes = fs::read(&path).unwrap();
    let at = ((bytes.len() - 1) as f64 * place) as usize;
    bytes[at] ^= 0x10;
    fs::write(&path, bytes).unwrap();

    let cfg = cluster.config(2);
    match cluster.start_with(2, cfg.clone()).await {
        Err(StartError::Corrupt { path: named, offset, .. }) => {
            assert_eq!(named, path);
            assert!(offset as usize <= at, "offset {offset} is after the corrupt byte at {at}");
        }
        other => panic!("unexpected result: {other:?}"),
    }

    let mut cfg = cfg;
    cfg.set_aside_damaged = true;
    cluster.start_with(2, cfg).await.unwrap();
    cluster.propose("b-0").await;
    cluster.check_converged(&command_names("a", 20)).await;
    assert!(cluster.folder(2).join("damaged-1").join(path.file_name().unwrap()).exists());
}

/// Guards against treating a replica with a lost log file as a new one, which would let it vote
/// without its entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn missing_log_is_refused() {
    let mut cluster = Cluster::started(1).await;
    cluster.propose("a-0").await;
    cluster.stop(1).await;
    fs::remove_file(cluster.log_file(1)).unwrap();
    let result = cluster.start_with(1, cluster.config(1)).await;
    assert!(matches!(result, Err(StartError::Corrupt { .. })), "{result:?}");
}

/// Guards against two processes that write to the same data folder.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn data_folder_in_use_is_refused() {
    let mut cluster = Cluster::started(1).await;
    let result = cluster.start_with(1, cluster.config(1)).await;
    assert!(matches!(result, Err(StartError::Locked { .. })), "{result:?}");
}

/// Guards against acknowledgements after a failed sync, whose data may not be on the disk.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_sync_stops_acknowledgements() {
    let cluster = Cluster::started(3).await;
    cluster.propose("a-0").await;
    let previous = cluster.leader().await;
    let node = cluster.nodes[&previous].clone();
    let failed = node.failed();
    cluster.disks[&previous].fails.store(true, Ordering::Relaxed);
    // The other two may commit the entry, but this replica must not acknowledge it after the
    // failure.
    let first = with_timeout(node.propose("b-0".to_owned())).await;
    let error = with_timeout(failed).await;
    assert!(matches!(error, FatalError::Storage { .. }), "{error}");
    println!("result of the proposal during the failure: {first:?}");
    wait_until("the replica to stop", || node.status().is_stopped).await;
    assert_eq!(node.propose("c-0".to_owned()).await, Err(ProposeError::Stopped));
    assert_eq!(node.read_index().await, Err(ProposeError::Stopped));
    assert!(!node.leader_lease_valid());
    let response = ResponseEnvelope::decode(&node.handle(Vec::new()).await).unwrap();
    assert_eq!(response.refusal(), Some(&Refusal::Stopped));
    let new = cluster.leader().await;
    assert_ne!(new, previous);
    cluster.propose("d-0").await;
}

/// Guards against a leader that applies nothing while its disk hangs, although the others' disks make its
/// commands durable: it would neither acknowledge nor show a change that others already serve.
#[rstest]
#[case::between_snapshots(10_000)]
#[case::during_snapshot(5)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hanging_disk_holds_up_no_commands(#[case] snapshot_every: u64) {
    /// Time within which operators expect a change to be acknowledged.
    const ACK_LIMIT: Duration = Duration::from_secs(4);

    let mut cluster = Cluster::new(3);
    (cluster.snapshot_every, cluster.retain_entries) = (snapshot_every, 2);
    cluster.start_all().await;
    cluster.propose("start").await;
    cluster.check_converged(&["start".to_owned()]).await;
    let leader = cluster.leader().await;
    let node = cluster.nodes[&leader].clone();
    let hang = 2 * ACK_LIMIT.as_millis() as u64;
    cluster.disks[&leader].delay_ms.store(hang, Ordering::Relaxed);
    let mut slowest = Duration::ZERO;
    for name in command_names("a", 20) {
        let proposed = Instant::now();
        with_timeout(node.propose(name)).await.unwrap();
        slowest = slowest.max(proposed.elapsed());
    }
    println!("slowest acknowledgement {slowest:?}");
    assert!(slowest < ACK_LIMIT, "{slowest:?}");
    cluster.disks[&leader].delay_ms.store(0, Ordering::Relaxed);
    cluster.check_converged(&command_names("a", 20)).await;
}

/// Guards against one sync per proposal, which would limit throughput to the disk's sync rate.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_proposals_share_syncs() {
    let cluster = Cluster::started(1).await;
    cluster.propose("start").await;
    let node = &cluster.nodes[&1];
    cluster.disks[&1].delay_ms.store(20, Ordering::Relaxed);
    let before = node.status().syncs;
    let proposals = (0..100).map(|i| node.propose(format!("a-{i}")));
    let results = futures_util::future::join_all(proposals).await;
    assert!(results.iter().all(Result::is_ok));
    let syncs = node.status().syncs - before;
    println!("100 proposals took {syncs} syncs");
    assert!(syncs <= 20, "{syncs} syncs");
}

/// Guards against panics and state changes caused by malformed messages.
#[rstest]
#[case::empty(Vec::new())]
#[case::garbage(vec![0xff; 64])]
#[case::oversized(vec![1; 20 << 20])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_message_is_refused(#[case] message: Vec<u8>) {
    let cluster = Cluster::started(1).await;
    cluster.propose("a-0").await;
    let node = &cluster.nodes[&1];
    let before = node.status();
    let response = ResponseEnvelope::decode(&node.handle(message).await).unwrap();
    assert!(matches!(response.refusal(), Some(Refusal::Malformed(_))), "{response:?}");
    let after = node.status();
    assert_eq!((after.term, after.leader), (before.term, Some(id(1))));
    cluster.propose("b-0").await;
}

/// Guards against replicas that end, or forget what they acknowledged, because their disks are full one
/// after another.
#[rstest]
#[case::log_only(10_000, 3)]
#[case::snapshots(4, 3)]
#[case::nine(10_000, 9)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disks_full_in_turn(#[case] snapshot_every: u64, #[case] replicas: usize) {
    let mut cluster = Cluster::new(replicas);
    (cluster.snapshot_every, cluster.retain_entries) = (snapshot_every, 2);
    cluster.start_all().await;
    cluster.propose("start").await;
    cluster.check_converged(&[]).await;
    let mut expected = Vec::new();
    for round in 0..2 {
        for n in 1..=replicas {
            cluster.disks[&n].is_full.store(true, Ordering::Relaxed);
            let name = format!("full-{round}-{n}");
            cluster.propose_many(&name, 6).await;
            expected.extend(command_names(&name, 6));
            // Long enough that an election timeout passes.
            let leader = cluster.leader().await;
            let other = if leader == n { n % replicas + 1 } else { n };
            let before = cluster.calls(leader, other);
            wait_until("heartbeats", || cluster.calls(leader, other) >= before + 5).await;
            cluster.disks[&n].is_full.store(false, Ordering::Relaxed);
            let name = format!("room-{round}-{n}");
            cluster.propose_many(&name, 2).await;
            expected.extend(command_names(&name, 2));
            cluster.check_converged(&expected).await;
        }
    }
    let failed: Vec<_> = cluster.nodes.values().filter_map(|node| node.status().failure).collect();
    assert!(failed.is_empty(), "{failed:?}");
    for n in 1..=replicas {
        cluster.stop(n).await;
    }
    cluster.start_all().await;
    cluster.propose("end-0").await;
    expected.push("end-0".to_owned());
    cluster.check_converged(&expected).await;
}

/// Guards against a replica that can't be stopped while its disk is full.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_with_full_disk() {
    let mut cluster = Cluster::started(3).await;
    cluster.propose("a-0").await;
    let leader = cluster.leader().await;
    cluster.disks[&leader].is_full.store(true, Ordering::Relaxed);
    cluster.propose("b-0").await;
    with_timeout(cluster.stop(leader)).await;
    cluster.start(leader).await;
    cluster.propose("c-0").await;
    cluster.check_converged(&["a-0", "b-0", "c-0"].map(str::to_owned)).await;
}
