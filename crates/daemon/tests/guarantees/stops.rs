//! G7: a graceful stop interrupts no request in progress.

use std::{
    os::unix::fs::PermissionsExt,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::Method;
use rstest::rstest;
use serde_json::{Value, json};
use shallotdrum_harness::{CallerError, ClusterConfig, ServiceResponse, TargetsConfig, wait_until};
use tokio::time::{Instant, sleep};

use crate::{
    load::{Load, LoadConfig, check_history},
    setup::{START_LIMIT, Setup, start, start_with},
};

/// Maximum duration of a stop: the drain delay in the test's settings plus the longest request,
/// with slack for a busy machine.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Guards against requests that fail while all instances are restarted one after another.
///
/// Callers behave as behind a load balancer: they only use instances that report ready.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart() {
    let mut setup = start().await;
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let ready: Vec<_> = (0..setup.cluster.len()).map(|_| Arc::new(AtomicBool::new(true))).collect();
    let mut load = tokio::task::JoinSet::new();
    for worker in 0..8 {
        let (caller, deployment) = (setup.caller.clone(), setup.deployment.clone());
        let (stop, answered, ready) = (stop.clone(), answered.clone(), ready.clone());
        let entries = setup.cluster.entries();
        load.spawn(async move {
            let mut i = worker;
            while !stop.load(Ordering::SeqCst) {
                i += 1;
                let n = i % entries.len();
                if !ready[n].load(Ordering::SeqCst) {
                    continue;
                }
                let model = deployment.model(i % 12, 1);
                let response = caller.complete(entries[n], &model, "rolling", 12, true).await;
                response.unwrap_or_else(|e| panic!("request at instance {n} failed: {e}"));
                answered.fetch_add(1, Ordering::SeqCst);
            }
        });
    }
    for (i, is_ready) in ready.iter().enumerate() {
        // A load balancer stops sending at the first not-ready response, within the drain delay.
        is_ready.store(false, Ordering::SeqCst);
        setup.cluster.stop(i, STOP_LIMIT).await.unwrap();
        setup.cluster.restart(i).unwrap();
        setup.wait_serving(i, START_LIMIT).await;
        is_ready.store(true, Ordering::SeqCst);
    }
    stop.store(true, Ordering::SeqCst);
    while let Some(result) = load.join_next().await {
        result.unwrap();
    }
    assert!(answered.load(Ordering::SeqCst) > 0);
    setup.check_targets();
}

/// Guards against an operator's drain that does not move the instance's groups, or that fails
/// requests while they move.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn drain_instance_moves_groups() {
    use shallotdrum_rpc::AdminApiClient;
    let setup = start().await;
    let rpc = setup.cluster.rpc_addr(0);
    let owner = setup.engine_owner(rpc).await.unwrap();
    let stream = setup.complete(setup.cluster.entry(owner), 1, 2, "long stream", 60);
    let drain = async {
        let client = setup.operator.client(rpc).unwrap();
        let instance = format!("instance-{owner}").parse().unwrap();
        client.drain_instance(instance, true).await.unwrap();
        let poll = || async {
            match setup.engine_owner(rpc).await {
                Some(now) if now != owner => Ok(()),
                now => Err(format!("owner {now:?}")),
            }
        };
        wait_until("the group has another owner", START_LIMIT, poll).await.unwrap();
        setup.complete(setup.cluster.entry(owner), 2, 1, "after the move", 4).await.unwrap();
    };
    let (stream, ()) = tokio::join!(stream, drain);
    stream.expect("the stream continues while its owner drains");
    setup.check_targets();
}

/// Guards against a stream that breaks, or that an engine runs twice, because the owner of its
/// engine is stopped while the stream is in progress.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn owner_stopped_in_streams() {
    let mut setup = start().await;
    let owner = setup.engine_owner(setup.cluster.rpc_addr(0)).await.unwrap();
    let tokens = 150;
    let running = |setup: &crate::setup::Setup| {
        let runs = setup.targets.engines.iter().flat_map(|e| e.stats().runs);
        runs.filter(|run| run.started_ms.is_some() && run.end.is_none()).count()
    };
    let mut streams = tokio::task::JoinSet::new();
    for (i, entry) in setup.cluster.entries().into_iter().enumerate() {
        for adapter in [i, i + 4] {
            let adapter = adapter % 12;
            let (caller, model) = (setup.caller.clone(), setup.deployment.model(adapter, 1));
            streams.spawn(async move {
                let prompt = format!("stream {i}");
                let response = caller.complete(entry, &model, &prompt, tokens, true).await;
                (adapter, prompt, response)
            });
        }
    }
    let poll = || async {
        match running(&setup) {
            n if n >= 12 => Ok(()),
            n => Err(format!("{n} streams")),
        }
    };
    wait_until("the streams run", START_LIMIT, poll).await.unwrap();
    let stopped_at = tokio::time::Instant::now();
    setup.cluster.process(owner).unwrap().sigterm().unwrap();
    // New requests reach the new owner while the previous one finishes its streams.
    let alive = (owner + 1) % setup.cluster.len();
    setup.complete(setup.cluster.entry(alive), 0, 1, "meanwhile", 2).await.unwrap();
    eprintln!("measured: new request served {:?} after SIGTERM", stopped_at.elapsed());
    assert!(running(&setup) > 0, "the streams ended before the stop was tested");
    while let Some(result) = streams.join_next().await {
        let (adapter, prompt, response) = result.unwrap();
        let response = response.unwrap_or_else(|e| panic!("{prompt} on adapter {adapter}: {e}"));
        setup.check_response(&response, adapter, 1, &prompt, tokens);
    }
    let status = setup.cluster.process(owner).unwrap().wait(STOP_LIMIT).await.unwrap();
    assert!(status.success(), "{status}");
    for engine in &setup.targets.engines {
        let stats = engine.stats();
        let resumed: Vec<_> = stats.runs.iter().filter(|run| run.resume_offset > 0).collect();
        assert!(resumed.is_empty(), "streams that were interrupted: {resumed:?}");
    }
    setup.check_targets();
}

/// Guards against streams, unstreamed responses, lookups and non-repeatable calls that fail or run
/// twice while all instances are restarted one after another.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_mixed() {
    let mut setup = start().await;
    let load = Load::start(&setup, LoadConfig { workers: 16, max_tokens: 60, seed: 41 });
    for i in 0..setup.cluster.len() {
        load.ready[i].store(false, Ordering::SeqCst);
        setup.cluster.stop(i, STOP_LIMIT).await.unwrap();
        setup.cluster.restart(i).unwrap();
        setup.wait_serving(i, START_LIMIT).await;
        load.ready[i].store(true, Ordering::SeqCst);
    }
    let history = load.finish().await;
    let failed: Vec<_> = history.iter().filter(|event| event.error.is_some()).collect();
    assert!(failed.is_empty(), "{} of {}: {failed:?}", failed.len(), history.len());
    let longest = history.iter().map(|event| event.total).max();
    eprintln!("measured: {} requests, the longest took {longest:?}", history.len());
    check_history(&setup, &history);
    setup.check_targets();
}

async fn start_with_settings(overrides: Value) -> Setup {
    let mut cfg = ClusterConfig::new(env!("CARGO_BIN_EXE_shallotdrumd"));
    cfg.overrides = overrides;
    start_with(cfg, TargetsConfig::default()).await
}

/// Guards against a stop that counts the longest deadline from its begin, not from the last request.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_accepted_late_in_stop_is_answered() {
    const DEADLINE: Duration = Duration::from_millis(3_000);
    const DRAIN_DELAY: Duration = Duration::from_millis(2_000);
    const RUN: Duration = Duration::from_millis(2_500);
    let mut setup = start_with_settings(json!({
        "limits": {
            "default_deadline_ms": DEADLINE.as_millis(), "max_deadline_ms": DEADLINE.as_millis(),
        },
        "drain_delay_ms": DRAIN_DELAY.as_millis(),
    }))
    .await;
    // An instance without a group, so that nothing else keeps it running.
    let entry = setup.idle_instance().await;
    for service in &setup.targets.services {
        service.configure(|settings| settings.delay_ms = RUN.as_millis() as u64);
    }
    setup.cluster.process(entry).unwrap().sigterm().unwrap();
    sleep(DRAIN_DELAY - Duration::from_millis(400)).await;
    setup.lookup(setup.cluster.entry(entry)).await.unwrap();
    let status = setup.cluster.process(entry).unwrap().wait(STOP_LIMIT).await.unwrap();
    assert!(status.success(), "{status}");
}

/// Guards against requests without an answer whose deadlines are later than the grace period.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stop_answers_all_within_grace_period() {
    const GRACE_PERIOD: Duration = Duration::from_secs(5);
    // More than the 64 that each of the two services runs at a time.
    const CALLS: usize = 160;
    const RUN: Duration = Duration::from_secs(6);
    let mut setup =
        start_with_settings(json!({ "grace_period_ms": GRACE_PERIOD.as_millis() })).await;
    let entry = setup.idle_instance().await;
    let addr = setup.cluster.entry(entry);
    for service in &setup.targets.services {
        service.configure(|settings| settings.delay_ms = RUN.as_millis() as u64);
    }
    let mut calls = tokio::task::JoinSet::new();
    let call = |i: usize| {
        let (caller, service) = (setup.caller.clone(), setup.deployment.service.clone());
        async move {
            let (method, path, key) = match i % 2 {
                0 => (Method::GET, format!("/{service}/status/{i}"), None),
                _ => (Method::POST, format!("/{service}/certificates"), Some(format!("key-{i}"))),
            };
            let result = caller.call(addr, method, &path, key.as_deref(), "{}").await;
            (i, key, result)
        }
    };
    (0..CALLS).for_each(|i| drop(calls.spawn(call(i))));
    let (caller, model) = (setup.caller.clone(), setup.deployment.model(1, 1));
    let stream =
        tokio::spawn(async move { caller.complete(addr, &model, "long", 4_000, true).await });
    let poll = || async {
        let stats = setup.targets.services.iter().map(|service| service.stats());
        let running: u32 = stats.map(|stats| stats.running).sum();
        (running > 0).then_some(()).ok_or_else(|| "no call runs".to_owned())
    };
    wait_until("calls run", START_LIMIT, poll).await.unwrap();
    // The listener must not close before the last call has connected.
    sleep(Duration::from_secs(1)).await;
    let stopped_at = Instant::now();
    setup.cluster.process(entry).unwrap().sigterm().unwrap();
    let kill_at = stopped_at + GRACE_PERIOD;
    let mut results: Vec<(usize, Option<String>, Result<ServiceResponse, CallerError>)> =
        Vec::new();
    while let Ok(Some(result)) = tokio::time::timeout_at(kill_at, calls.join_next()).await {
        results.push(result.unwrap());
    }
    let ended =
        tokio::time::timeout_at(kill_at, setup.cluster.process(entry).unwrap().wait(STOP_LIMIT));
    let status = ended.await.expect("the process ends before it is killed").unwrap();
    assert!(status.success(), "{status}");
    eprintln!("measured: stopped within {:?}", stopped_at.elapsed());
    assert_eq!(results.len(), CALLS, "requests without an answer");
    let poll = || async {
        let stats = setup.targets.services.iter().map(|service| service.stats());
        match stats.map(|stats| stats.running).sum::<u32>() {
            0 => Ok(()),
            running => Err(format!("{running} calls run")),
        }
    };
    wait_until("the calls end", START_LIMIT, poll).await.unwrap();
    let stats: Vec<_> = setup.targets.services.iter().map(|service| service.stats()).collect();
    let mut outcomes = std::collections::BTreeMap::new();
    for (i, key, result) in results {
        let Err(CallerError::Problem(problem)) = result else { panic!("call {i}: {result:?}") };
        let has_run = stats.iter().any(|stats| match &key {
            Some(_) => stats.executions.iter().any(|run| run.idempotency_key == key),
            None => stats.lookups.iter().any(|path| *path == format!("/status/{i}")),
        });
        assert!(!(has_run && problem.outcome == "not-run"), "call {i} ran: {problem:?}");
        *outcomes.entry((problem.status, problem.outcome)).or_insert(0) += 1;
    }
    eprintln!("measured: {outcomes:?}");
    let Err(CallerError::Problem(problem)) = stream.await.unwrap() else {
        panic!("the stream has no last event")
    };
    assert_eq!(problem.outcome, "unknown", "{problem:?}");
}

/// Guards against requests without an answer because the process ends when its replica fails.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn failed_replica_finishes_requests() {
    const RUN: Duration = Duration::from_secs(2);
    let folder = tempfile::tempdir().unwrap();
    let program = folder.path().join("shallotdrumd");
    // A write beyond the limit on the size of files then fails, and does not end the process.
    let script =
        format!("#!/bin/sh\ntrap '' XFSZ\nexec {} \"$@\"\n", env!("CARGO_BIN_EXE_shallotdrumd"));
    std::fs::write(&program, script).unwrap();
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).unwrap();
    let mut setup = start_with(ClusterConfig::new(program), TargetsConfig::default()).await;
    // No leader, so that the failure does not stop commands.
    let leader = setup.leader(None).await;
    let failing = (0..setup.cluster.replicas()).find(|i| *i != leader).unwrap();
    let other = setup.cluster.entry(setup.idle_instance().await);
    for service in &setup.targets.services {
        service.configure(|settings| settings.delay_ms = RUN.as_millis() as u64);
    }
    let (caller, entry) = (setup.caller.clone(), setup.cluster.entry(failing));
    let path = format!("/{}/status/9", setup.deployment.service);
    let call = tokio::spawn(async move { caller.call(entry, Method::GET, &path, None, "").await });
    let poll = || async {
        let stats = setup.targets.services.iter().map(|service| service.stats());
        let running: u32 = stats.map(|stats| stats.running).sum();
        (running > 0).then_some(()).ok_or_else(|| "no call runs".to_owned())
    };
    wait_until("the call runs", START_LIMIT, poll).await.unwrap();
    let pid = setup.cluster.process(failing).unwrap().id().to_string();
    let limited = std::process::Command::new("prlimit").args(["--pid", &pid, "--fsize=1"]).status();
    assert!(limited.unwrap().success());
    // Begins with a command, which the replica cannot write.
    let path = format!("/{}/certificates", setup.deployment.service);
    setup.caller.call(other, Method::POST, &path, Some("key-1"), "{}").await.unwrap();
    let response = call.await.unwrap();
    assert_eq!(response.expect("the request is finished").status, 200);
    let status = setup.cluster.process(failing).unwrap().wait(STOP_LIMIT).await.unwrap();
    assert!(!status.success(), "the replica did not fail");
}

/// Guards against requests without an answer because a signal ends the process.
#[rstest]
#[case::hangup_while_serving(&["HUP"])]
#[case::hangup_in_stop(&["TERM", "HUP"])]
#[case::second_terminate(&["TERM", "TERM"])]
#[case::interrupt_in_stop(&["TERM", "INT"])]
#[tokio::test(flavor = "multi_thread")]
async fn signals_cut_no_request(#[case] signals: &[&str]) {
    const RUN: Duration = Duration::from_secs(2);
    let mut setup = start().await;
    let entry = setup.idle_instance().await;
    for service in &setup.targets.services {
        service.configure(|settings| settings.delay_ms = RUN.as_millis() as u64);
    }
    let pid = setup.cluster.process(entry).unwrap().id().to_string();
    let send_signals = async {
        for signal in signals {
            sleep(RUN / 4).await;
            let sent = std::process::Command::new("kill").args(["-s", signal, &pid]).status();
            assert!(sent.unwrap().success());
        }
    };
    let (response, ()) = tokio::join!(setup.lookup(setup.cluster.entry(entry)), send_signals);
    response.expect("the request is finished");
    let status = setup.cluster.process(entry).unwrap().wait(STOP_LIMIT).await.unwrap();
    assert!(status.success(), "{status}");
}
