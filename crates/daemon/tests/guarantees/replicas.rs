//! G8 and G5: what the control log has accepted survives the loss of replicas.

use std::{collections::BTreeSet, time::Duration};

use bytes::Bytes;
use hyper::Method;
use rstest::rstest;
use shallotdrum_control::CommandError;
use shallotdrum_fakes::FaultProxy;
use shallotdrum_harness::{CallerError, Deployment, wait_until};
use shallotdrum_rpc::{
    AdminApiClient, Compressed, PeerApiClient, ReplicaStatus, RpcError, WatchReply,
};
use shallotdrum_types::{Revision, Term};
use tokio::time::Instant;

use crate::setup::{START_LIMIT, Setup, start};

/// Time within which an accepted manifest must be in force on every instance.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Time within which an instance that cannot confirm its manifest must refuse requests: the
/// freshness bound of 5 s, one renewal interval, and one second of slack for a busy machine.
const REFUSE_LIMIT: Duration = Duration::from_secs(7);

/// Manifests and calls that were accepted and must still be found after the faults.
struct AcceptedChanges {
    deployment: Deployment,
    revision: u64,
    /// Key and response of each answered call.
    calls: Vec<(String, Bytes)>,
}

impl AcceptedChanges {
    fn new(setup: &Setup) -> Self {
        Self { deployment: setup.deployment.clone(), revision: 1, calls: Vec::new() }
    }

    /// Submits the next manifest through instance `i` and retries until it is accepted.
    async fn change(&mut self, setup: &Setup, i: usize) {
        self.deployment.subscribers += 1;
        let manifest = self.deployment.manifest();
        let submission = format!("change-{}", self.revision);
        let rpc = setup.cluster.rpc_addr(i);
        let poll = || async {
            match setup.operator.submit(rpc, &submission, self.revision, &manifest).await {
                Ok(revision) => Ok(revision),
                Err(error @ RpcError::Refused(_)) => panic!("{submission}: {error}"),
                Err(error) => Err(error.to_string()),
            }
        };
        let (revision, time) = wait_until("a change is accepted", START_LIMIT, poll).await.unwrap();
        self.revision += 1;
        assert_eq!(revision, Revision(self.revision));
        eprintln!("revision {revision} accepted after {time:?}");
    }

    /// Requests a certificate through instance `i` and retries until the call is answered.
    async fn call(&mut self, setup: &Setup, i: usize) {
        let key = format!("certificate-{}", self.calls.len());
        let poll = || async {
            issue_certificate(setup, i, &key).await.map_err(|e| {
                assert_ne!(e.code(), Some("result-unknown"), "no owner was lost during the call");
                e.to_string()
            })
        };
        let (response, _) = wait_until("a call is answered", START_LIMIT, poll).await.unwrap();
        self.calls.push((key, response));
    }

    /// Panics unless every accepted manifest and call is in force and recorded on these instances.
    async fn check(&self, setup: &Setup, instances: &[usize]) {
        setup
            .wait_in_force(setup.cluster.rpc_addr(instances[0]), self.revision, IN_FORCE_LIMIT)
            .await;
        for i in instances {
            setup.wait_serving(*i, START_LIMIT).await;
            let client = setup.operator.client(setup.cluster.rpc_addr(*i)).unwrap();
            assert_eq!(client.manifest().await.unwrap().revision, Revision(self.revision));
            let rows = client.submissions().await.unwrap();
            let found: BTreeSet<_> =
                rows.iter().map(|row| (row.submission.to_string(), row.revision.0)).collect();
            for revision in 1..self.revision {
                let row = (format!("change-{revision}"), revision + 1);
                assert!(found.contains(&row), "instance {i} lacks {row:?}");
            }
            for (key, response) in &self.calls {
                let poll =
                    || async { issue_certificate(setup, *i, key).await.map_err(|e| e.to_string()) };
                let (again, _) =
                    wait_until("a resend is answered", START_LIMIT, poll).await.unwrap();
                assert_eq!(again, response, "response to {key} at instance {i}");
            }
        }
        setup.check_targets();
        let executions: usize =
            setup.targets.services.iter().map(|s| s.stats().executions.len()).sum();
        assert_eq!(executions, self.calls.len(), "calls that took effect");
    }
}

/// Requests a certificate, a non-repeatable call, through one instance.
async fn issue_certificate(setup: &Setup, i: usize, key: &str) -> Result<Bytes, CallerError> {
    let path = format!("/{}/certificates", setup.deployment.service);
    let body = format!("{{\"certificate\":\"{key}\"}}");
    let entry = setup.cluster.entry(i);
    let response = setup.caller.call(entry, Method::POST, &path, Some(key), &body).await?;
    assert_eq!(response.status, 200);
    Ok(response.body)
}

/// Waits until an instance reports that it is not ready, and checks that it then refuses requests.
///
/// Readiness is polled rather than requests, because a request that arrived earlier may still wait
/// for an owner.
async fn check_refuses(setup: &Setup, i: usize) {
    let entry = setup.cluster.entry(i);
    let poll = || async {
        let req = setup.caller.request(entry, Method::GET, "/readyz").body(Default::default());
        match setup.caller.send(req.unwrap()).await {
            Ok(res) if res.status() == 503 => Ok(()),
            other => Err(format!("{:?}", other.map(|res| res.status()))),
        }
    };
    wait_until("the instance is not ready", REFUSE_LIMIT, poll).await.unwrap();
    let error = setup.lookup(entry).await.unwrap_err();
    assert_eq!(error.code(), Some("not-ready"), "{error}");
    assert!(error.is_not_run(), "{error}");
}

async fn status(setup: &Setup, i: usize) -> Option<ReplicaStatus> {
    setup.operator.client(setup.cluster.rpc_addr(i)).unwrap().replica_status().await.ok()
}

/// Waits until exactly these replicas are voters, each with one data folder, and have applied the
/// same log.
async fn wait_voters(setup: &Setup, replicas: &[usize]) -> Duration {
    let expected: BTreeSet<_> = replicas.iter().map(|i| format!("instance-{i}")).collect();
    let poll = || async {
        let mut seen = Vec::new();
        for i in replicas {
            seen.push(status(setup, *i).await.ok_or_else(|| format!("no status of {i}"))?);
        }
        let is_same = seen.iter().all(|s| {
            let members: Vec<_> =
                s.members.iter().map(|m| m.split('/').next().unwrap_or_default()).collect();
            members.len() == expected.len()
                && members.iter().all(|m| expected.contains(*m))
                && s.learners.is_empty()
                && s.applied == seen[0].applied
                && s.leader.is_some()
                && s.leader == seen[0].leader
        });
        if is_same { Ok(()) } else { Err(format!("{seen:?}")) }
    };
    wait_until("all replicas vote", START_LIMIT, poll).await.unwrap().1
}

/// Guards against instances that apply an accepted manifest late: each of many manifests must be in
/// force on all instances within [`IN_FORCE_LIMIT`].
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn in_force_everywhere() {
    let setup = start().await;
    let mut accepted = AcceptedChanges::new(&setup);
    let mut times = Vec::new();
    for i in 0..40 {
        let submitted_at = tokio::time::Instant::now();
        accepted.change(&setup, i % setup.cluster.len()).await;
        // Only the newest manifest contains the last subscriber.
        let key = accepted.deployment.key(accepted.deployment.subscribers - 1);
        let caller = setup.caller.with_key(&key);
        let path = format!("/{}/status/7", setup.deployment.service);
        for i in 0..setup.cluster.len() {
            let entry = setup.cluster.entry(i);
            let poll = || async {
                let result = caller.call(entry, Method::GET, &path, None, "").await;
                result.map(drop).map_err(|e| e.to_string())
            };
            wait_until("the manifest is in force", IN_FORCE_LIMIT, poll).await.unwrap();
        }
        times.push(submitted_at.elapsed());
        assert!(submitted_at.elapsed() <= IN_FORCE_LIMIT, "{:?}", submitted_at.elapsed());
    }
    times.sort();
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    eprintln!("measured: in force on all after a median of {median:?}, at worst {worst:?}");
}

/// Guards against the loss of accepted manifests and recorded calls when a second replica is lost
/// right after the first one was restored from an empty folder.
#[rstest]
#[case::leader_first(true)]
#[case::follower_first(false)]
#[tokio::test(flavor = "multi_thread")]
async fn data_lost_then_next_lost(#[case] is_leader: bool) {
    let mut setup = start().await;
    let mut accepted = AcceptedChanges::new(&setup);
    let leader = setup.leader(None).await;
    let lost = if is_leader { leader } else { (leader + 1) % setup.cluster.replicas() };
    for _ in 0..3 {
        accepted.change(&setup, 4).await;
        accepted.call(&setup, 5).await;
    }
    setup.cluster.kill(lost).unwrap();
    setup.cluster.delete_data_dir(lost).unwrap();
    setup.leader(Some(lost)).await;
    // The owner of the services may have been lost with the replica.
    let entry = (lost + 1) % setup.cluster.replicas();
    accepted.change(&setup, entry).await;
    setup.wait_serving(entry, START_LIMIT).await;
    accepted.call(&setup, entry).await;
    setup.cluster.restart(lost).unwrap();
    accepted.change(&setup, entry).await;
    accepted.call(&setup, entry).await;
    let repair = wait_voters(&setup, &[0, 1, 2]).await;
    eprintln!("measured: repaired after {repair:?}");
    // Next, lose a replica that still has its original folder.
    let next = setup.leader(Some(lost)).await;
    setup.cluster.kill(next).unwrap();
    setup.cluster.delete_data_dir(next).unwrap();
    accepted.change(&setup, lost).await;
    let alive: Vec<_> = (0..setup.cluster.len()).filter(|i| *i != next).collect();
    setup.wait_serving(lost, START_LIMIT).await;
    accepted.call(&setup, lost).await;
    accepted.check(&setup, &alive).await;
}

/// Guards against a restarted replica that counts in the quorum before it has the whole log: each
/// replica in turn is killed, and misses changes that its peers accept meanwhile.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn killed_in_turn() {
    let mut setup = start().await;
    let mut accepted = AcceptedChanges::new(&setup);
    for round in 0..4 {
        let killed = round % setup.cluster.replicas();
        let was_leader = setup.leader(None).await == killed;
        let killed_at = tokio::time::Instant::now();
        setup.cluster.kill(killed).unwrap();
        setup.leader(Some(killed)).await;
        if was_leader {
            eprintln!("measured: leader seen {:?} after the kill", killed_at.elapsed());
        }
        accepted.change(&setup, 5).await;
        setup.wait_serving(5, START_LIMIT).await;
        accepted.call(&setup, 5).await;
        setup.cluster.restart(killed).unwrap();
        wait_voters(&setup, &[0, 1, 2]).await;
    }
    accepted.check(&setup, &[0, 1, 2, 5, 7]).await;
}

/// Guards against two leaders that respond at the same time, and against a reconnected replica that
/// forces an election or brings back a change that was never accepted.
#[rstest]
#[case::both_ways(None)]
#[case::outgoing(Some(true))]
#[case::incoming(Some(false))]
#[tokio::test(flavor = "multi_thread")]
async fn leader_cut(#[case] outgoing: Option<bool>) {
    let setup = start().await;
    let mut accepted = AcceptedChanges::new(&setup);
    accepted.change(&setup, 5).await;
    let stale = setup.leader(None).await;
    let cut_at = tokio::time::Instant::now();
    match outgoing {
        None => setup.cluster.isolate(stale),
        Some(outgoing) => setup.cluster.isolate_one_way(stale, outgoing),
    }
    // Operators bypass the proxies and still reach the stale leader.
    let stale_rpc = setup.cluster.rpc_addr(stale);
    let mut other = accepted.deployment.clone();
    other.subscribers += 50;
    let manifest = other.manifest();
    let (lost, leader) =
        tokio::join!(setup.operator.submit(stale_rpc, "at-stale", 2, &manifest), async {
            let leader = setup.leader(Some(stale)).await;
            eprintln!("measured: leader {leader} seen {:?} after the cut", cut_at.elapsed());
            leader
        });
    assert!(matches!(lost, Err(RpcError::Unknown | RpcError::Unavailable)), "{lost:?}");
    accepted.change(&setup, leader).await;
    accepted.call(&setup, leader).await;
    // The stale instance refuses once its freshness bound has passed, which is after all leases.
    check_refuses(&setup, stale).await;
    let client = setup.operator.client(stale_rpc).unwrap();
    assert!(client.instances().await.is_err(), "a stale leader listed the sessions");
    assert_eq!(client.manifest().await.unwrap().revision, Revision(2), "applied without a quorum");
    assert!(!status(&setup, stale).await.unwrap().is_leader);
    let term = status(&setup, leader).await.unwrap().term;
    setup.cluster.heal(stale);
    wait_voters(&setup, &[0, 1, 2]).await;
    let all: Vec<_> = (0..setup.cluster.len()).collect();
    accepted.check(&setup, &all).await;
    assert_eq!(terms(&setup).await, BTreeSet::from([term]), "an election after healing");
    let late = setup.operator.submit(stale_rpc, "at-stale", 2, &manifest).await;
    let conflict = CommandError::ManifestConflict { base: Revision(2), current: Revision(3) };
    assert_eq!(late, Err(RpcError::Refused(conflict)));
}

async fn terms(setup: &Setup) -> BTreeSet<Term> {
    let mut terms = BTreeSet::new();
    for i in 0..setup.cluster.replicas() {
        terms.extend(status(setup, i).await.map(|status| status.term));
    }
    terms
}

/// Guards against a frozen leader that confirms renewals or accepts changes on its expired lease
/// after it resumes.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn leader_frozen() {
    let mut setup = start().await;
    let mut accepted = AcceptedChanges::new(&setup);
    let stale = setup.leader(None).await;
    let stale_rpc = setup.cluster.rpc_addr(stale);
    setup.cluster.process(stale).unwrap().sigstop().unwrap();
    let leader = setup.leader(Some(stale)).await;
    accepted.change(&setup, leader).await;
    accepted.change(&setup, leader).await;
    let accepted_at = tokio::time::Instant::now();
    setup.wait_serving(leader, START_LIMIT).await;
    accepted.call(&setup, leader).await;
    // These requests wait in the frozen leader's sockets and are the first that it reads.
    let mut other = setup.deployment.clone();
    other.subscribers += 50;
    let manifest = other.manifest();
    let rpc_path = FaultProxy::start(stale_rpc, 1).unwrap();
    let entry_path = FaultProxy::start(setup.cluster.entry(stale), 1).unwrap();
    let (operator, rpc) = (setup.operator.clone(), rpc_path.addr());
    let submission =
        tokio::spawn(async move { operator.submit(rpc, "at-frozen", 1, &manifest).await });
    let path = format!("/{}/status/7", setup.deployment.service);
    let new_key = accepted.deployment.key(accepted.deployment.subscribers - 1);
    let (new_caller, entry) = (setup.caller.with_key(&new_key), entry_path.addr());
    let lookup =
        tokio::spawn(async move { new_caller.call(entry, Method::GET, &path, None, "").await });
    for proxy in [&rpc_path, &entry_path] {
        let poll = || async {
            let stats = proxy.stats();
            if stats.bytes_to_upstream > 0 { Ok(()) } else { Err(format!("{stats:?}")) }
        };
        wait_until("the request waits at the frozen leader", START_LIMIT, poll).await.unwrap();
    }
    // Until this limit it may still serve the older manifest.
    tokio::time::sleep_until(accepted_at + IN_FORCE_LIMIT).await;
    setup.cluster.process(stale).unwrap().sigcont().unwrap();
    let response = submission.await.unwrap();
    assert!(response.is_err(), "accepted at an outdated revision: {response:?}");
    if let Err(error) = lookup.await.unwrap() {
        assert_ne!(error.code(), Some("unauthorized"), "served an older manifest");
    }
    wait_voters(&setup, &[0, 1, 2]).await;
    let all: Vec<_> = (0..setup.cluster.len()).collect();
    accepted.check(&setup, &all).await;
}

/// Guards against changes that are lost, or slow to recover, when all replicas restart at once
/// after hundreds of changes.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn all_restarted() {
    let mut setup = start().await;
    let mut accepted = AcceptedChanges::new(&setup);
    for _ in 0..200 {
        accepted.change(&setup, 0).await;
    }
    for _ in 0..3 {
        accepted.call(&setup, 5).await;
    }
    for i in 0..setup.cluster.replicas() {
        setup.cluster.kill(i).unwrap();
    }
    for i in 0..setup.cluster.replicas() {
        setup.cluster.restart(i).unwrap();
    }
    let time = wait_voters(&setup, &[0, 1, 2]).await;
    eprintln!("measured: all replicas voted {time:?} after the restart");
    accepted.change(&setup, 1).await;
    accepted.check(&setup, &[0, 1, 2, 5, 7]).await;
}

/// Guards against changes that are accepted or requests that are served without a quorum, and
/// against instances that stay unavailable after the quorum is restored.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn no_quorum() {
    let mut setup = start().await;
    let mut accepted = AcceptedChanges::new(&setup);
    accepted.change(&setup, 5).await;
    accepted.call(&setup, 5).await;
    setup.cluster.kill(1).unwrap();
    setup.cluster.kill(2).unwrap();
    let mut next = accepted.deployment.clone();
    next.subscribers += 1;
    let rpc = setup.cluster.rpc_addr(0);
    let manifest = next.manifest();
    let alive = [0, 3, 4, 5, 6, 7];
    let (refused, ()) = tokio::join!(setup.operator.submit(rpc, "change-2", 2, &manifest), async {
        for i in alive {
            check_refuses(&setup, i).await;
        }
    });
    assert!(matches!(refused, Err(RpcError::Unknown | RpcError::Unavailable)), "{refused:?}");
    for i in alive {
        let error = issue_certificate(&setup, i, "without-quorum").await.unwrap_err();
        assert!(error.is_not_run(), "{error}");
        let CallerError::Problem(problem) = error else { panic!("{error}") };
        assert!(problem.retry_after.is_some(), "{problem:?}");
    }
    setup.cluster.restart(1).unwrap();
    setup.cluster.restart(2).unwrap();
    wait_voters(&setup, &[0, 1, 2]).await;
    // Resends the submission that was refused or whose result is unknown.
    accepted.change(&setup, 5).await;
    let all: Vec<_> = (0..setup.cluster.len()).collect();
    accepted.check(&setup, &all).await;
}

/// Guards against membership changes by operators that do not reach the consensus node, and against
/// a removed replica that still counts in the quorum.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn removed_and_added() {
    let mut setup = start().await;
    let mut accepted = AcceptedChanges::new(&setup);
    accepted.change(&setup, 5).await;
    let leader = setup.leader(None).await;
    let removed = (leader + 1) % 3;
    let kept: Vec<_> = (0..3).filter(|i| *i != removed).collect();
    let operator = setup.operator.client(setup.cluster.rpc_addr(6)).unwrap();
    let name: shallotdrum_types::InstanceId = format!("instance-{removed}").parse().unwrap();
    operator.remove_replica(name.clone()).await.unwrap();
    wait_voters(&setup, &kept).await;
    let again = operator.remove_replica(name.clone()).await.map_err(RpcError::from);
    assert!(matches!(again, Err(RpcError::Membership(_))), "{again:?}");
    setup.cluster.kill(removed).unwrap();
    setup.cluster.delete_data_dir(removed).unwrap();
    accepted.change(&setup, 5).await;
    setup.wait_serving(5, START_LIMIT).await;
    accepted.call(&setup, 5).await;
    setup.cluster.restart(removed).unwrap();
    let poll = || async { operator.add_replica(name.clone()).await.map_err(|e| e.to_string()) };
    wait_until("the replica is added", START_LIMIT, poll).await.unwrap();
    wait_voters(&setup, &[0, 1, 2]).await;
    setup.cluster.kill(leader).unwrap();
    accepted.change(&setup, removed).await;
    let alive: Vec<_> = (0..setup.cluster.len()).filter(|i| *i != leader).collect();
    accepted.check(&setup, &alive).await;
}

/// Guards against a replica that goes on replying "nothing new" after it lost contact to the leader.
#[rstest]
#[case::follower(false)]
#[case::leader(true)]
#[tokio::test(flavor = "multi_thread")]
async fn watch_of_cut_off_replica_fails(#[case] is_leader_cut: bool) {
    /// Share of the 2 s until a change is in force in which a cut-off replica must be noticed.
    const NOTICED_WITHIN: Duration = Duration::from_secs(1);

    let setup = start().await;
    let leader = setup.leader(None).await;
    let cut = if is_leader_cut { leader } else { (leader + 1) % setup.cluster.replicas() };
    let client = setup.operator.client(setup.cluster.rpc_addr(cut)).unwrap();
    let applied = client.replica_status().await.unwrap().applied;
    let before = client.watch(applied, 0).await;
    assert!(before.is_ok(), "{before:?}");

    setup.cluster.split(&[cut]);
    let cut_at = Instant::now();
    // Commands from before the cut may still be delivered.
    let mut after = applied;
    let error = loop {
        match client.watch(after, 10_000).await {
            Ok(Compressed(WatchReply::Entries { through, .. })) => after = through,
            Ok(Compressed(reply)) => panic!("{reply:?}"),
            Err(error) => break RpcError::from(error),
        }
    };
    let took = cut_at.elapsed();
    assert_eq!(error, RpcError::NotConnected);
    assert!(took < NOTICED_WITHIN, "{took:?}");

    setup.cluster.heal_split();
    let poll = || async {
        client.watch(after, 0).await.map(drop).map_err(|e| RpcError::from(e).to_string())
    };
    wait_until("the replica replies again", START_LIMIT, poll).await.unwrap();
}
