//! G4 and G5: a non-repeatable call runs at most once, and no call reported as "not run" was run.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_util::{StreamExt, future::join_all, stream};
use http::Method;
use rstest::rstest;
use shallotdrum_fakes::{Direction, ServiceSettings};
use shallotdrum_harness::{CallerError, ServiceResponse, wait_until};
use shallotdrum_rpc::AdminApiClient;

use crate::setup::{START_LIMIT, Setup, start};

/// Request body of the certificate calls.
const BODY: &str = r#"{"mediator":"M-17"}"#;

/// Pause of a caller after a failed call, to bound the number of results while nothing is served.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of concurrent resends, which bounds the open connections.
const CONCURRENT_RESENDS: usize = 32;

/// Requests a certificate, a non-repeatable call, through one instance.
async fn issue_certificate(
    setup: &Setup,
    instance: usize,
    key: &str,
    body: &str,
) -> Result<ServiceResponse, CallerError> {
    let path = format!("/{}/certificates", setup.deployment.service);
    let entry = setup.cluster.entry(instance);
    setup.caller.call(entry, Method::POST, &path, Some(key), body).await
}

fn configure(setup: &Setup, change: impl Fn(&mut ServiceSettings)) {
    setup.targets.services.iter().for_each(|service| service.configure(&change));
}

/// Number of times that a call with this key took effect, over all services.
fn runs_of(setup: &Setup, key: &str) -> usize {
    let services = setup.targets.services.iter().map(|service| service.stats().executions);
    services.flatten().filter(|e| e.idempotency_key.as_deref() == Some(key)).count()
}

/// Waits until a call with this key has taken effect.
async fn wait_executed(setup: &Setup, key: &str) {
    let poll = || async {
        match runs_of(setup, key) {
            0 => Err("not run yet".to_owned()),
            _ => Ok(()),
        }
    };
    wait_until("the call runs", START_LIMIT, poll).await.unwrap();
}

/// Resends a call until it gets the result from the ledger, rather than "in progress" or, while no
/// owner of the group can be reached, a retryable error.
async fn final_result(
    setup: &Setup,
    instance: usize,
    key: &str,
) -> Result<ServiceResponse, CallerError> {
    let poll = || async {
        let result = issue_certificate(setup, instance, key, BODY).await;
        match result.as_ref().err().and_then(CallerError::code) {
            Some("in-progress" | "not-ready" | "no-target" | "target-failed") => {
                Err(format!("{result:?}"))
            }
            _ => Ok(result),
        }
    };
    wait_until("the resend gets the recorded result", START_LIMIT, poll).await.unwrap().0
}

/// Kills and restarts all instances, and waits until they serve.
pub(crate) async fn restart_all(setup: &mut Setup) {
    for i in 0..setup.cluster.len() {
        setup.cluster.kill(i).unwrap();
    }
    for i in 0..setup.cluster.len() {
        setup.cluster.restart(i).unwrap();
    }
    for i in 0..setup.cluster.len() {
        setup.wait_serving(i, START_LIMIT).await;
    }
}

/// Guards against reporting "unknown" for a call that every service refused, and against a key that
/// stays in use after its call was not run.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn refused_runs_later() {
    let setup = start().await;
    configure(&setup, |settings| settings.refuse = 1.0);
    for i in 0..setup.cluster.len() {
        let refused = issue_certificate(&setup, i, "refused", BODY).await.unwrap_err();
        assert!(refused.is_not_run(), "{refused}");
        assert_eq!(runs_of(&setup, "refused"), 0);
    }
    configure(&setup, |settings| settings.refuse = 0.0);
    final_result(&setup, 2, "refused").await.unwrap();
    assert_eq!(runs_of(&setup, "refused"), 1);
    setup.check_targets();
}

/// Guards against a second run of a call when the owner that sent it is frozen until another
/// instance owns the group, and then resumes.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn owner_frozen_while_running() {
    let mut setup = start().await;
    let pool = setup.deployment.service.to_string();
    let owner = setup.owner_of(setup.cluster.rpc_addr(0), &pool).await.unwrap();
    let alive = (owner + 1) % setup.cluster.len();
    configure(&setup, |settings| settings.slow_body_ms = 1000);
    let (caller, entry) = (setup.caller.clone(), setup.cluster.entry(alive));
    let path = format!("/{}/certificates", setup.deployment.service);
    let first =
        tokio::spawn(
            async move { caller.call(entry, Method::POST, &path, Some("frozen"), BODY).await },
        );
    wait_executed(&setup, "frozen").await;
    setup.cluster.process(owner).unwrap().sigstop().unwrap();
    let first = first.await.unwrap().expect_err("the response is held by the frozen owner");
    assert!(!first.is_not_run(), "{first}");
    configure(&setup, |settings| settings.slow_body_ms = 0);
    let resent = final_result(&setup, alive, "frozen").await.unwrap_err();
    assert_eq!(resent.code(), Some("result-unknown"), "{resent}");
    setup.cluster.process(owner).unwrap().sigcont().unwrap();
    setup.wait_serving(owner, START_LIMIT).await;
    for i in 0..setup.cluster.len() {
        // The owner may have read the whole response and recorded it after it resumed.
        if let Err(e) = final_result(&setup, i, "frozen").await {
            assert_eq!(e.code(), Some("result-unknown"), "{e}");
        }
    }
    assert_eq!(runs_of(&setup, "frozen"), 1);
    setup.check_targets();
}

/// Guards against a second run of a call when the owner that sent it is killed while the service
/// runs it: the new owner cannot know whether it ran, so it must not be sent again.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_while_running() {
    let mut setup = start().await;
    let pool = setup.deployment.service.to_string();
    let owner = setup.owner_of(setup.cluster.rpc_addr(0), &pool).await.unwrap();
    let alive = (owner + 1) % setup.cluster.len();
    configure(&setup, |settings| settings.slow_body_ms = 2000);
    let (caller, entry) = (setup.caller.clone(), setup.cluster.entry(alive));
    let path = format!("/{}/certificates", setup.deployment.service);
    let first = tokio::spawn(async move {
        caller.call(entry, Method::POST, &path, Some("owner-killed"), BODY).await
    });
    wait_executed(&setup, "owner-killed").await;
    setup.cluster.kill(owner).unwrap();
    let first = first.await.unwrap().expect_err("the response is lost with the owner");
    assert!(!first.is_not_run(), "{first}");
    configure(&setup, |settings| settings.slow_body_ms = 0);
    for i in (0..setup.cluster.len()).filter(|i| *i != owner) {
        let resent = final_result(&setup, i, "owner-killed").await.unwrap_err();
        assert_eq!(resent.code(), Some("result-unknown"), "{resent}");
    }
    setup.cluster.restart(owner).unwrap();
    setup.wait_serving(owner, START_LIMIT).await;
    let resent = final_result(&setup, owner, "owner-killed").await.unwrap_err();
    assert_eq!(resent.code(), Some("result-unknown"), "{resent}");
    assert_eq!(runs_of(&setup, "owner-killed"), 1);
    final_result(&setup, owner, "after-kill").await.expect("other keys are served");
    setup.check_targets();
}

/// Guards against a second run after the response was lost, against resends that do not find the
/// recorded answer after restarts, and against a key that is accepted with a different body.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn resends_after_restarts() {
    let mut setup = start().await;
    configure(&setup, |settings| settings.lose_answer = 1.0);
    let lost = issue_certificate(&setup, 3, "lost", BODY).await.unwrap_err();
    assert!(!lost.is_not_run(), "{lost}");
    configure(&setup, |settings| settings.lose_answer = 0.0);
    let response = issue_certificate(&setup, 4, "kept", BODY).await.unwrap().body;
    for round in ["running", "replicas restarted", "all restarted"] {
        for i in 0..setup.cluster.len() {
            let resent = final_result(&setup, i, "lost").await.unwrap_err();
            assert_eq!(resent.code(), Some("result-unknown"), "{round}: {resent}");
            let resent = final_result(&setup, i, "kept").await.unwrap();
            assert_eq!(resent.body, response, "{round}");
            assert!(resent.headers.contains_key("x-shallotdrum-replayed"), "{round}");
            let other = issue_certificate(&setup, i, "kept", "another body").await.unwrap_err();
            assert_eq!(other.code(), Some("key-reused"), "{round}: {other}");
        }
        if round == "running" {
            for replica in 0..setup.cluster.replicas() {
                setup.cluster.kill(replica).unwrap();
            }
            for replica in 0..setup.cluster.replicas() {
                setup.cluster.restart(replica).unwrap();
            }
            for i in 0..setup.cluster.len() {
                setup.wait_serving(i, START_LIMIT).await;
            }
        } else if round == "replicas restarted" {
            restart_all(&mut setup).await;
        }
    }
    assert_eq!((runs_of(&setup, "lost"), runs_of(&setup, "kept")), (1, 1));
    setup.check_targets();
}

/// Guards against two runs of one key when a caller sends it many times concurrently through all
/// instances.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_resends() {
    let setup = start().await;
    configure(&setup, |settings| settings.delay_ms = 300);
    for round in 0..5 {
        let key = format!("many-{round}");
        let calls = (0..40).map(|i| issue_certificate(&setup, i % setup.cluster.len(), &key, BODY));
        let results = join_all(calls).await;
        let response = final_result(&setup, round, &key).await.unwrap().body;
        for result in results {
            match result {
                Ok(res) => assert_eq!(res.body, response),
                Err(e) => assert_eq!(e.code(), Some("in-progress"), "{e}"),
            }
        }
        assert_eq!(runs_of(&setup, &key), 1);
    }
    setup.check_targets();
}

/// Drains the control replicas and returns the new owner of the services' group.
async fn move_owner_off_replicas(setup: &Setup) -> usize {
    let rpc = setup.cluster.rpc_addr(0);
    let client = setup.operator.client(rpc).unwrap();
    for i in 0..setup.cluster.replicas() {
        client.drain_instance(format!("instance-{i}").parse().unwrap(), true).await.unwrap();
    }
    let poll = || async {
        match setup.owner_of(rpc, setup.deployment.service.as_str()).await {
            Some(owner) if owner >= setup.cluster.replicas() => Ok(owner),
            owner => Err(format!("owner {owner:?}")),
        }
    };
    wait_until("no replica owns the group", START_LIMIT, poll).await.unwrap().0
}

/// Guards against a key that stays in progress forever: the entry of the call was killed while the
/// owner wrote the intent to the control log, and the call was neither withdrawn nor run.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_before_intent_is_confirmed() {
    let mut setup = start().await;
    let owner = move_owner_off_replicas(&setup).await;
    let mut others = (setup.cluster.replicas()..setup.cluster.len()).filter(|i| *i != owner);
    let (killed, alive) = (others.next().unwrap(), others.next().unwrap());
    // The owner's commands reach the replicas, but the replies are lost.
    for proxy in &setup.cluster.control[owner] {
        proxy.cut(Direction::ToClient);
    }
    let path = format!("/{}/certificates", setup.deployment.service);
    let (caller, entry) = (setup.caller.clone(), setup.cluster.entry(killed));
    let call =
        tokio::spawn(
            async move { caller.call(entry, Method::POST, &path, Some("intent"), BODY).await },
        );
    // Shorter than the owner's lease, so that its session is kept.
    tokio::time::sleep(Duration::from_millis(500)).await;
    setup.cluster.kill(killed).unwrap();
    assert!(call.await.unwrap().is_err(), "the entry was killed");
    tokio::time::sleep(Duration::from_millis(500)).await;
    setup.cluster.heal(owner);
    final_result(&setup, alive, "intent").await.unwrap();
    assert_eq!(runs_of(&setup, "intent"), 1);
}

/// Guards against a key that stays in progress forever: the owner stopped retrying to write the
/// result because it could not renew its session for a while, although the session never ended.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn result_recorded_after_long_loss_of_quorum() {
    let mut setup = start().await;
    let owner = move_owner_off_replicas(&setup).await;
    configure(&setup, |service| service.delay_ms = 500);
    let path = format!("/{}/certificates", setup.deployment.service);
    let (caller, entry) = (setup.caller.clone(), setup.cluster.entry(owner));
    let call =
        tokio::spawn(
            async move { caller.call(entry, Method::POST, &path, Some("slow"), BODY).await },
        );
    // The intent is written before the call runs.
    let poll = || async {
        match setup.targets.services.iter().any(|service| service.stats().running > 0) {
            true => Ok(()),
            false => Err("not sent yet".to_owned()),
        }
    };
    wait_until("the call is sent", START_LIMIT, poll).await.unwrap();
    for i in 0..2 {
        setup.cluster.kill(i).unwrap();
    }
    // Longer than two proposal timeouts and than the owner's lease.
    tokio::time::sleep(Duration::from_secs(12)).await;
    for i in 0..2 {
        setup.cluster.restart(i).unwrap();
    }
    let _ = call.await.unwrap();
    final_result(&setup, owner, "slow").await.unwrap();
    assert_eq!(runs_of(&setup, "slow"), 1);
}

/// Guards against second runs and wrong reports of "not run" while the control leader changes under
/// load.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_under_load() {
    let mut setup = start().await;
    let leader = setup.leader(None).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut load = tokio::task::JoinSet::new();
    for worker in 0..8 {
        let (caller, stop) = (setup.caller.clone(), stop.clone());
        let path = format!("/{}/certificates", setup.deployment.service);
        let entries = setup.cluster.entries();
        load.spawn(async move {
            let mut results = Vec::new();
            for n in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let key = format!("load-{worker}-{n}");
                let entry = entries[(worker + n) % entries.len()];
                let result = caller.call(entry, Method::POST, &path, Some(&key), BODY).await;
                if result.is_err() {
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                results.push((key, result));
            }
            results
        });
    }
    let count = || setup.targets.services.iter().map(|s| s.stats().executions.len()).sum::<usize>();
    let wait_calls = async |more: usize, count: &dyn Fn() -> usize| {
        let start = count();
        let poll = || async {
            match count() - start {
                n if n >= more => Ok(()),
                n => Err(format!("{n} calls")),
            }
        };
        wait_until("calls run", START_LIMIT, poll).await.unwrap();
    };
    wait_calls(50, &count).await;
    setup.cluster.kill(leader).unwrap();
    let count = || setup.targets.services.iter().map(|s| s.stats().executions.len()).sum::<usize>();
    wait_calls(50, &count).await;
    stop.store(true, Ordering::SeqCst);
    let results: Vec<_> = load.join_all().await.into_iter().flatten().collect();
    let mut outcomes = BTreeMap::<String, usize>::new();
    let alive = (leader + 1) % setup.cluster.len();
    for (key, result) in &results {
        let runs = runs_of(&setup, key);
        match result {
            Ok(_) => assert_eq!(runs, 1, "{key} was answered"),
            Err(e) if e.is_not_run() => assert_eq!(runs, 0, "{key} was reported as not run: {e}"),
            Err(_) => assert!(runs <= 1, "{key}"),
        }
        let outcome = result.as_ref().err().map_or("answered".to_owned(), |e| match e.code() {
            Some(code) => format!("{code} {}", e.is_not_run()),
            None => "connection".to_owned(),
        });
        *outcomes.entry(outcome).or_default() += 1;
    }
    // Every key gets a result, and a resend does not run a call that may have run already.
    let failed = results.iter().filter(|(_, result)| result.is_err());
    let resends = failed.map(|(key, _)| final_result(&setup, alive, key));
    stream::iter(resends).buffer_unordered(CONCURRENT_RESENDS).count().await;
    for (key, _) in &results {
        assert!(runs_of(&setup, key) <= 1, "{key} ran again");
    }
    eprintln!("outcomes: {outcomes:?}");
    setup.check_targets();
}

/// Guards against a key that can be used again after its call ran and the service crashed: the
/// second crash quarantines the call, which must not run again once the quarantine is lifted.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_keeps_key() {
    let setup = start().await;
    configure(&setup, |settings| {
        settings.lose_answer = 1.0;
        settings.restart_delay_ms = 300;
    });
    for key in ["crash-a", "crash-b"] {
        let crash = async {
            let poll = || async {
                let ran = setup.targets.services.iter().find(|service| {
                    let runs = service.stats().executions;
                    runs.iter().any(|e| e.idempotency_key.as_deref() == Some(key))
                });
                ran.ok_or_else(|| "not run yet".to_owned())
            };
            let (service, _) = wait_until("the call runs", START_LIMIT, poll).await.unwrap();
            service.crash();
        };
        let (result, ()) = tokio::join!(issue_certificate(&setup, 2, key, BODY), crash);
        let error = result.unwrap_err();
        assert!(!error.is_not_run(), "{error}");
    }
    configure(&setup, |settings| settings.lose_answer = 0.0);
    let admin = setup.operator.client(setup.cluster.rpc_addr(5)).unwrap();
    let poll = || async {
        let rows = admin.quarantine().await.map_err(|e| e.to_string())?;
        let row = rows.iter().find(|row| row.is_quarantined).map(|row| row.request);
        row.ok_or_else(|| format!("{rows:?}"))
    };
    let what = "the call is quarantined";
    let (request, _) = wait_until(what, Duration::from_secs(5), poll).await.unwrap();
    for key in ["crash-a", "crash-b"] {
        let resent = final_result(&setup, 3, key).await.unwrap_err();
        assert_eq!(resent.code(), Some("result-unknown"), "{resent}");
    }
    let refused = issue_certificate(&setup, 3, "crash-d", BODY).await.unwrap_err();
    assert_eq!(refused.code(), Some("quarantined"), "{refused}");
    assert!(refused.is_not_run() && runs_of(&setup, "crash-d") == 0, "{refused}");
    admin.lift_quarantine(request).await.unwrap();
    let poll = || async {
        let result = issue_certificate(&setup, 6, "crash-c", BODY).await;
        result.map_err(|e| e.to_string())
    };
    wait_until("the quarantine is lifted", Duration::from_secs(10), poll).await.unwrap();
    for key in ["crash-a", "crash-b"] {
        let resent = final_result(&setup, 4, key).await;
        assert_eq!(runs_of(&setup, key), 1, "{key} ran again: {resent:?}");
        assert_eq!(resent.unwrap_err().code(), Some("result-unknown"));
    }
    setup.check_targets();
}
