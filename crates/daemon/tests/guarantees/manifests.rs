//! G8: an accepted manifest is in force on every instance within seconds and never reverts.

use std::time::Duration;

use futures_util::future::join_all;
use rstest::rstest;
use shallotdrum_control::CommandError;
use shallotdrum_harness::{ClusterConfig, TargetsConfig, wait_until};
use shallotdrum_rpc::RpcError;
use shallotdrum_types::Revision;

use crate::setup::{START_LIMIT, start, start_with};

/// Time within which an accepted manifest must be in force on every instance.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Time within which deployments expect it to be in force where the instance reaches the control
/// leader and the replicas around it.
const CONNECTED_LIMIT: Duration = Duration::from_secs(2);

/// Guards against accepting two manifests with one revision when operators submit concurrently, and
/// against treating a resend as a new submission.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn submit_race() {
    let setup = start().await;
    let mut manifests = Vec::new();
    for subscribers in [41, 42] {
        let mut deployment = setup.deployment.clone();
        deployment.subscribers = subscribers;
        manifests.push(deployment.manifest());
    }
    let (a, b) = tokio::join!(
        setup.operator.submit(setup.cluster.rpc_addr(3), "race-a", 1, &manifests[0]),
        setup.operator.submit(setup.cluster.rpc_addr(4), "race-b", 1, &manifests[1]),
    );
    let (winner, loser) = match (&a, &b) {
        (Ok(_), Err(_)) => (0, &b),
        (Err(_), Ok(_)) => (1, &a),
        both => panic!("exactly one must be accepted: {both:?}"),
    };
    let conflict = CommandError::ManifestConflict { base: Revision(1), current: Revision(2) };
    assert_eq!(loser, &Err(RpcError::Refused(conflict)));
    setup.wait_in_force(setup.cluster.rpc_addr(0), 2, IN_FORCE_LIMIT).await;
    // Resends the submission through every instance, as after a lost response.
    let submission = ["race-a", "race-b"][winner];
    for i in 0..setup.cluster.len() {
        let resent = setup
            .operator
            .submit(setup.cluster.rpc_addr(i), submission, 1, &manifests[winner])
            .await;
        assert_eq!(resent, Ok(Revision(2)));
    }
}

/// Guards against a restarted instance that serves an older manifest, or serves before it knows the
/// newest one: it must serve a subscriber that only the newest manifest contains.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn restart_serves_newest() {
    let mut setup = start().await;
    let mut deployment = setup.deployment.clone();
    setup.cluster.kill(2).unwrap();
    setup.cluster.kill(5).unwrap();
    for revision in 1..=20 {
        deployment.subscribers += 1;
        let submission = format!("change-{revision}");
        let rpc = setup.cluster.rpc_addr(0);
        let manifest = deployment.manifest();
        setup.operator.submit(rpc, &submission, revision, &manifest).await.unwrap();
    }
    let caller = setup.caller.with_key(&deployment.key(deployment.subscribers - 1));
    let model = deployment.model(0, 1);
    for i in [2, 5] {
        setup.cluster.restart(i).unwrap();
        let entry = setup.cluster.entry(i);
        let poll = || async {
            match caller.complete(entry, &model, "who?", 1, false).await {
                Ok(_) => Ok(()),
                Err(e) => {
                    assert_ne!(e.code(), Some("unauthorized"), "served an older manifest");
                    Err(e.to_string())
                }
            }
        };
        shallotdrum_harness::wait_until("the instance serves", START_LIMIT, poll).await.unwrap();
    }
}

/// Guards against a partitioned instance that serves an older manifest: it must refuse requests
/// once it cannot confirm that its manifest is the newest, and serve again after the partition.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_refuses() {
    let setup = start().await;
    let cut = 6;
    setup.cluster.isolate(cut);
    let mut deployment = setup.deployment.clone();
    deployment.subscribers += 1;
    let rpc = setup.cluster.rpc_addr(0);
    setup.operator.submit(rpc, "while-cut", 1, &deployment.manifest()).await.unwrap();
    let accepted_at = tokio::time::Instant::now();
    let new_caller = setup.caller.with_key(&deployment.key(deployment.subscribers - 1));
    let path = format!("/{}/status/7", deployment.service);
    let entry = setup.cluster.entry(cut);
    let poll = || async {
        let result = new_caller.call(entry, hyper::Method::GET, &path, None, "").await;
        match result.as_ref().err().and_then(|e| e.code()) {
            Some("not-ready") => Ok(result),
            _ => Err(format!("{result:?}")),
        }
    };
    // The freshness bound counts from the last confirmation, at most one renewal before the cut.
    let limit = IN_FORCE_LIMIT.saturating_sub(accepted_at.elapsed()) + Duration::from_secs(1);
    let (refused, _) =
        shallotdrum_harness::wait_until("the instance refuses", limit, poll).await.unwrap();
    assert!(refused.unwrap_err().is_not_run());
    setup.cluster.heal(cut);
    let poll = || async {
        let result = new_caller.call(entry, hyper::Method::GET, &path, None, "").await;
        result.map(drop).map_err(|e| e.to_string())
    };
    shallotdrum_harness::wait_until("it serves again", START_LIMIT, poll).await.unwrap();
}

/// Guards against losing an accepted manifest with the control leader, and against accepting it
/// twice when the operator resends it after a lost response.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed() {
    let mut setup = start().await;
    let mut deployment = setup.deployment.clone();
    deployment.subscribers += 1;
    let manifest = deployment.manifest();
    let leader = setup.leader(None).await;
    let alive = setup.cluster.rpc_addr((leader + 1) % setup.cluster.replicas());
    let accepted = setup.operator.submit(alive, "before-kill", 1, &manifest).await;
    assert_eq!(accepted, Ok(Revision(2)));
    setup.cluster.kill(leader).unwrap();
    setup.leader(Some(leader)).await;
    let resent = setup.operator.submit(alive, "before-kill", 1, &manifest).await;
    assert_eq!(resent, Ok(Revision(2)));
    deployment.subscribers += 1;
    let next = setup.operator.submit(alive, "after-kill", 2, &deployment.manifest()).await;
    assert_eq!(next, Ok(Revision(3)));
    setup.wait_in_force(alive, 3, IN_FORCE_LIMIT).await;
}

/// Guards against an instance that never receives the snapshot over a slow link: the transfer was
/// cancelled each time a renewal showed that the instance was behind, about once a second.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn restart_over_slow_link() {
    let mut setup = start().await;
    let mut deployment = setup.deployment.clone();
    setup.cluster.kill(6).unwrap();
    // Each key hash has 32 bytes that cannot be compressed: over 85 kB in base64, which takes about
    // 2 s at the rate below.
    deployment.subscribers += 2_000;
    let rpc = setup.cluster.rpc_addr(0);
    setup.operator.submit(rpc, "many", 1, &deployment.manifest()).await.unwrap();
    for proxy in &setup.cluster.control[6] {
        proxy.configure(|settings| settings.to_client.bytes_per_second = Some(45_000));
    }
    setup.cluster.restart(6).unwrap();
    let caller = setup.caller.with_key(&deployment.key(deployment.subscribers - 1));
    let (entry, model) = (setup.cluster.entry(6), deployment.model(0, 1));
    let poll = || async {
        caller.complete(entry, &model, "who?", 1, false).await.map(drop).map_err(|e| e.to_string())
    };
    let (_, time) =
        shallotdrum_harness::wait_until("the instance serves", START_LIMIT, poll).await.unwrap();
    eprintln!("measured: served {time:?} after the restart");
}

/// Guards against an instance that keeps following a replica without contact to the leader.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn in_force_behind_split() {
    const REPLICAS: usize = 5;
    let program = env!("CARGO_BIN_EXE_shallotdrumd");
    // Enough instances without a replica that some follow each replica.
    let cfg = ClusterConfig { instances: 13, replicas: REPLICAS, ..ClusterConfig::new(program) };
    let setup = start_with(cfg, TargetsConfig::default()).await;
    let cluster = &setup.cluster;
    let mut deployment = setup.deployment.clone();
    let path = format!("/{}/status/7", deployment.service);
    let mut revision = 1;
    let mut slowest = Duration::ZERO;
    for round in 0..REPLICAS {
        let minority = [2 * round % REPLICAS, (2 * round + 1) % REPLICAS];
        let majority = (0..REPLICAS).find(|i| !minority.contains(i)).unwrap();
        cluster.split(&minority);
        for _ in 0..3 {
            deployment.subscribers += 1;
            let (submission, manifest) = (format!("split-{revision}"), deployment.manifest());
            let submit = || async {
                let rpc = cluster.rpc_addr(majority);
                let submitted = setup.operator.submit(rpc, &submission, revision, &manifest);
                submitted.await.map_err(|e| e.to_string())
            };
            let submitted = wait_until("the manifest is accepted", START_LIMIT, submit).await;
            revision = submitted.unwrap().0.0;
            let accepted_at = tokio::time::Instant::now();
            let caller = setup.caller.with_key(&deployment.key(deployment.subscribers - 1));
            let in_force = (REPLICAS..cluster.len()).map(|i| {
                let (caller, path) = (&caller, &path);
                async move {
                    let poll = || async {
                        let call =
                            caller.call(cluster.entry(i), hyper::Method::GET, path, None, "");
                        call.await.map(drop).map_err(|e| e.to_string())
                    };
                    wait_until("the manifest is in force", START_LIMIT, poll).await.unwrap();
                    accepted_at.elapsed()
                }
            });
            let times = join_all(in_force).await;
            eprintln!("revision {revision}, {minority:?} cut off: in force after {times:?}");
            slowest = slowest.max(times.into_iter().max().unwrap());
        }
        cluster.heal_split();
        tokio::time::sleep(CONNECTED_LIMIT).await;
    }
    assert!(slowest < CONNECTED_LIMIT, "{slowest:?}");
}

/// Guards against a key that was withdrawn and is accepted again after a restart, of one instance while
/// the others run, or of all.
#[rstest]
#[case::one(false)]
#[case::all(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_key_after_restart(#[case] restarts_all: bool) {
    let mut setup = start().await;
    let rpc = setup.cluster.rpc_addr(0);
    let withdrawn = setup.caller.with_key(&setup.deployment.key(setup.deployment.subscribers - 1));
    let path = format!("/{}/status/7", setup.deployment.service);
    let last = setup.cluster.len() - 1;
    let entry = setup.cluster.entry(last);
    withdrawn.call(entry, hyper::Method::GET, &path, None, "").await.unwrap();
    let mut deployment = setup.deployment.clone();
    deployment.subscribers -= 1;
    let submitted = setup.operator.submit(rpc, "withdraw", 1, &deployment.manifest()).await;
    assert_eq!(submitted.unwrap(), Revision(2));
    setup.wait_in_force(rpc, 2, IN_FORCE_LIMIT).await;

    let restarted = if restarts_all { 0..last + 1 } else { last..last + 1 };
    for i in restarted.clone() {
        setup.cluster.kill(i).unwrap();
    }
    for i in restarted {
        setup.cluster.restart(i).unwrap();
    }
    // From the first response on, while the instance does not know the manifest yet.
    let served = wait_until("the instance serves", START_LIMIT, || async {
        let response = withdrawn.call(entry, hyper::Method::GET, &path, None, "").await;
        assert!(response.is_err(), "a withdrawn key was accepted");
        setup.lookup(entry).await.map_err(|e| e.to_string())
    });
    served.await.unwrap();
    let response = withdrawn.call(entry, hyper::Method::GET, &path, None, "").await;
    assert!(response.is_err(), "a withdrawn key was accepted");
}
