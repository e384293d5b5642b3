//! G2 and G6: a change of the owner evicts no serving adapter, and targets that leave get no new
//! requests.

use std::time::Duration;

use rstest::rstest;
use shallotdrum_fakes::{FakeEngine, OrderRecord, unix_ms};
use shallotdrum_harness::{ClusterConfig, TargetsConfig, wait_until};
use shallotdrum_rpc::AdminApiClient;
use shallotdrum_types::TargetId;
use tokio::time::Instant;

use crate::{
    load::{Load, LoadConfig, check_history},
    setup::{START_LIMIT, Setup, start, start_with},
};

/// Time after which a leaving, drained or silent target gets no new requests.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// How the owner of the engines' group fails or stops.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    Kill,
    Freeze,
    Stop,
}

fn cluster_config() -> ClusterConfig {
    ClusterConfig::new(env!("CARGO_BIN_EXE_shallotdrumd"))
}

/// Waits until the engines' group has an owner other than `previous` in the state of instance
/// `seen_by`.
async fn wait_new_owner(setup: &Setup, seen_by: usize, previous: usize) -> (usize, Duration) {
    let rpc = setup.cluster.rpc_addr(seen_by);
    let poll = || async {
        match setup.engine_owner(rpc).await {
            Some(owner) if owner != previous => Ok(owner),
            owner => Err(format!("owner {owner:?}")),
        }
    };
    wait_until("there is a new owner", START_LIMIT, poll).await.unwrap()
}

/// Index of an instance that is neither a control replica nor the given one.
fn uninvolved_instance(setup: &Setup, not: usize) -> usize {
    (setup.cluster.replicas()..setup.cluster.len()).find(|i| *i != not).unwrap()
}

/// Time of the last arrival of a request at an engine, in milliseconds since the Unix epoch.
fn last_arrival(engine: &FakeEngine) -> u64 {
    engine.stats().runs.iter().map(|run| run.arrived_ms).max().unwrap_or_default()
}

/// Guards against a group that stays unowned after its owner was killed, and against entries that
/// keep sending to the killed owner.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed() {
    let mut setup = start().await;
    let rpc = setup.cluster.rpc_addr(0);
    let owner = setup.engine_owner(rpc).await.unwrap();
    setup.cluster.kill(owner).unwrap();
    let alive = (owner + 1) % setup.cluster.len();
    let response = setup.complete(setup.cluster.entry(alive), 1, 2, "after the kill", 8).await;
    response.expect("the request waits for the new owner");
    let rpc = setup.cluster.rpc_addr(alive);
    assert_ne!(setup.engine_owner(rpc).await, Some(owner));
    setup.check_targets();
}

/// Guards against a frozen owner that resumes after its lease expired and still acts as owner.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn owner_frozen() {
    let mut setup = start().await;
    let rpc = setup.cluster.rpc_addr(0);
    let owner = setup.engine_owner(rpc).await.unwrap();
    let alive = (owner + 1) % setup.cluster.len();
    setup.cluster.process(owner).unwrap().sigstop().unwrap();
    let entry = setup.cluster.entry(alive);
    setup.complete(entry, 1, 2, "while frozen", 8).await.expect("served by the new owner");
    setup.cluster.process(owner).unwrap().sigcont().unwrap();
    setup.wait_serving(owner, START_LIMIT).await;
    for adapter in 0..12 {
        setup.complete(setup.cluster.entry(owner), adapter, 1, "resumed", 4).await.unwrap();
    }
    setup.check_targets();
}

/// Guards against new requests from any instance to a target that has announced its leave.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn target_leaves() {
    let setup = start().await;
    let engine = &setup.targets.engines[0];
    assert!(engine.leave().await, "{:?}", engine.stats().presence);
    // `LEAVE_LIMIT` allows more, but the owner is notified before the announcement is acknowledged.
    let runs_before = setup.targets.engines[0].stats().runs.len();
    for i in 0..24 {
        let entry = setup.cluster.entry(i % setup.cluster.len());
        setup.complete(entry, i % 12, 1, &format!("prompt {i}"), 2).await.unwrap();
    }
    assert_eq!(setup.targets.engines[0].stats().runs.len(), runs_before);
}

/// Guards against concurrent orders of two owners at engines that ignore fencing tokens: the
/// previous owner is frozen with orders in progress and resumes after the new one has taken over.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn handover_without_fencing() {
    // A load ends after the previous owner's lease, but within the timeout of an order (5 s).
    let load_time = Duration::from_millis(4500);
    let targets = TargetsConfig {
        checks_fencing: false,
        adapter_slots: 2,
        load_time,
        ..TargetsConfig::default()
    };
    let mut setup = start_with(cluster_config(), targets).await;
    let owner = setup.engine_owner(setup.cluster.rpc_addr(0)).await.unwrap();
    let alive = uninvolved_instance(&setup, owner);
    let load = Load::start(&setup, LoadConfig { workers: 16, max_tokens: 8, seed: 31 });
    let poll = || async {
        let orders = setup.targets.engines.iter().flat_map(|e| e.stats().orders);
        // Only orders that have just begun are still in progress when the lease expires.
        let is_new = |order: &OrderRecord| order.arrived_ms + 200 >= unix_ms();
        match orders.filter(|order| order.result.is_none() && is_new(order)).count() {
            0 => Err("no new order in progress".to_owned()),
            _ => Ok(()),
        }
    };
    wait_until("orders are in progress", START_LIMIT, poll).await.unwrap();
    setup.cluster.process(owner).unwrap().sigstop().unwrap();
    load.ready[owner].store(false, std::sync::atomic::Ordering::SeqCst);
    let (new, time) = wait_new_owner(&setup, alive, owner).await;
    eprintln!("measured: owner {new} {time:?} after the freeze");
    setup.cluster.process(owner).unwrap().sigcont().unwrap();
    // Wait for the first order of the new owner.
    let epoch = setup.targets.engines[0].stats().highest_epoch;
    let poll = || async {
        let newest = setup.targets.engines.iter().map(|e| e.stats().highest_epoch).max();
        if newest > Some(epoch) { Ok(()) } else { Err(format!("{newest:?}")) }
    };
    wait_until("the new owner sends orders", START_LIMIT, poll).await.unwrap();
    let answered = load.answered();
    let poll = || async {
        if load.answered() > answered + 50 { Ok(()) } else { Err(load.answered().to_string()) }
    };
    wait_until("requests are served", START_LIMIT, poll).await.unwrap();
    let history = load.finish().await;
    setup.wait_serving(owner, START_LIMIT).await;
    check_history(&setup, &history);
    setup.check_targets();
}

/// Guards against evictions of a serving adapter during a change of the owner: streams occupy all
/// slots and outlive their owner, while requests for other adapters arrive at all instances.
#[rstest]
#[case::killed(Loss::Kill)]
#[case::frozen(Loss::Freeze)]
#[case::stopped(Loss::Stop)]
#[tokio::test(flavor = "multi_thread")]
async fn eviction_at_handover(#[case] loss: Loss) {
    let mut targets = TargetsConfig { adapter_slots: 2, ..TargetsConfig::default() };
    // An eviction of a serving adapter would also break the stream.
    targets.engine.obeys_blindly = true;
    let mut setup = start_with(cluster_config(), targets).await;
    let owner = setup.engine_owner(setup.cluster.rpc_addr(0)).await.unwrap();
    let alive = uninvolved_instance(&setup, owner);
    let (tokens, slots) = (400, 6);
    let mut streams = tokio::task::JoinSet::new();
    for adapter in 0..slots {
        let (caller, model) = (setup.caller.clone(), setup.deployment.model(adapter, 2));
        let entry = setup.cluster.entry(alive);
        streams.spawn(async move {
            (adapter, caller.complete(entry, &model, "long", tokens, true).await)
        });
    }
    let poll = || async {
        let runs = setup.targets.engines.iter().flat_map(|e| e.stats().runs);
        let streams = runs.filter(|run| run.adapter.version.as_str() == "2");
        match streams.filter(|run| run.started_ms.is_some() && run.end.is_none()).count() {
            n if n == slots => Ok(()),
            n => Err(format!("{n} streams")),
        }
    };
    wait_until("the streams run", START_LIMIT, poll).await.unwrap();
    let lost_at = Instant::now();
    match loss {
        Loss::Kill => setup.cluster.kill(owner).unwrap(),
        Loss::Freeze => setup.cluster.process(owner).unwrap().sigstop().unwrap(),
        Loss::Stop => setup.cluster.process(owner).unwrap().sigterm().unwrap(),
    }
    let load = Load::start(&setup, LoadConfig { workers: 24, max_tokens: 10, seed: 32 });
    load.ready[owner].store(false, std::sync::atomic::Ordering::SeqCst);
    let (new, _) = wait_new_owner(&setup, alive, owner).await;
    eprintln!("measured: {loss:?}: owner {new} {:?} after the loss", lost_at.elapsed());
    if loss == Loss::Freeze {
        setup.cluster.process(owner).unwrap().sigcont().unwrap();
    }
    while let Some(result) = streams.join_next().await {
        let (adapter, response) = result.unwrap();
        let response = response.unwrap_or_else(|e| panic!("stream of {adapter}: {e}"));
        setup.check_response(&response, adapter, 2, "long", tokens);
    }
    let answered = load.answered();
    let poll = || async {
        if load.answered() > answered + 50 { Ok(()) } else { Err(load.answered().to_string()) }
    };
    wait_until("requests are served", START_LIMIT, poll).await.unwrap();
    let history = load.finish().await;
    check_history(&setup, &history);
    setup.check_targets();
}

/// Guards against a group that stays unowned when its new owner is killed right after taking over.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_twice() {
    // Five replicas keep their quorum if both owners are replicas.
    let mut setup =
        start_with(ClusterConfig { replicas: 5, ..cluster_config() }, TargetsConfig::default())
            .await;
    let first = setup.engine_owner(setup.cluster.rpc_addr(0)).await.unwrap();
    let seen_by = (first + 1) % setup.cluster.len();
    let killed_at = Instant::now();
    setup.cluster.kill(first).unwrap();
    let (second, _) = wait_new_owner(&setup, seen_by, first).await;
    eprintln!("measured: second owner {:?} after the kill", killed_at.elapsed());
    let killed_at = Instant::now();
    setup.cluster.kill(second).unwrap();
    let alive = (0..setup.cluster.len()).find(|i| ![first, second].contains(i)).unwrap();
    let entry = setup.cluster.entry(alive);
    setup.complete(entry, 1, 2, "after two kills", 8).await.expect("the third owner serves");
    eprintln!("measured: served {:?} after the second kill", killed_at.elapsed());
    let (third, _) = wait_new_owner(&setup, alive, second).await;
    assert!(third != first && third != second);
    for adapter in 0..12 {
        setup.complete(entry, adapter, 1, "all adapters", 4).await.unwrap();
    }
    setup.check_targets();
}

/// Guards against new requests to a target that an operator drains, and against a target that stays
/// unused after the operator ends the drain.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn target_drained() {
    let setup = start().await;
    let engine = &setup.targets.engines[0];
    let target: TargetId = "engine-00".parse().unwrap();
    let load = Load::start(&setup, LoadConfig { workers: 16, max_tokens: 8, seed: 33 });
    let operator = setup.operator.client(setup.cluster.rpc_addr(4)).unwrap();
    wait_arrival_after(engine, unix_ms()).await;
    operator.drain_target(target.clone(), true).await.unwrap();
    check_no_new_requests(engine).await;
    let since = unix_ms();
    operator.drain_target(target, false).await.unwrap();
    wait_arrival_after(engine, since).await;
    finish_without_failures(&setup, load).await;
}

/// Guards against new requests to a target that stopped announcing itself, and against a target
/// that stays unused after it announces itself again.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn target_silent() {
    let setup = start().await;
    let engine = &setup.targets.engines[0];
    let load = Load::start(&setup, LoadConfig { workers: 16, max_tokens: 8, seed: 34 });
    wait_arrival_after(engine, unix_ms()).await;
    for _ in 0..2 {
        engine.set_entries(Vec::new());
        check_no_new_requests(engine).await;
        let since = unix_ms();
        engine.set_entries(setup.cluster.entries());
        wait_arrival_after(engine, since).await;
    }
    finish_without_failures(&setup, load).await;
}

/// Waits until a request arrives at an engine after the given time.
async fn wait_arrival_after(engine: &FakeEngine, since_ms: u64) {
    let poll = || async {
        match last_arrival(engine) {
            last if last > since_ms => Ok(()),
            last => Err(format!("{since_ms} > {last}")),
        }
    };
    let (_, time) = wait_until("the engine gets a request", START_LIMIT, poll).await.unwrap();
    eprintln!("measured: request after {time:?}");
}

/// Panics if a request arrives at the engine later than [`LEAVE_LIMIT`] from now, while the load
/// goes on for twice that time.
async fn check_no_new_requests(engine: &FakeEngine) {
    let (start, start_ms) = (Instant::now(), unix_ms());
    // A fixed wait: the test checks that no request arrives, so there is no event to wait for.
    tokio::time::sleep_until(start + 2 * LEAVE_LIMIT).await;
    let last = last_arrival(engine);
    let after = last.saturating_sub(start_ms);
    eprintln!("measured: last request {after} ms after the announcement");
    assert!(u128::from(after) <= LEAVE_LIMIT.as_millis(), "new request after {after} ms");
}

/// Ends the load and panics if any of its requests failed.
async fn finish_without_failures(setup: &Setup, load: Load) {
    let history = load.finish().await;
    check_history(setup, &history);
    let failed: Vec<_> = history.iter().filter(|event| event.error.is_some()).collect();
    assert!(failed.is_empty(), "{} of {}: {:?}", failed.len(), history.len(), failed[0]);
    setup.check_targets();
}
