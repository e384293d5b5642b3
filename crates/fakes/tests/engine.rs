//! Tests of the fake engine: generated text, orders, epochs, batching, announcements and crashes.

mod support;

use rstest::rstest;
use shallotdrum_engine::{
    Announcement, CacheEvents, CallError, EngineClient, Leave, Order, OrderError, OrderRefusal,
    PREFIX_BLOCK_BYTES, Priority, prefix_hashes,
};
use shallotdrum_fakes::{EngineStats, FakeEngine, RunEnd, Violation, expected_text};
use shallotdrum_types::{Epoch, RequestId};
use support::{
    EntryRecorder, adapter, call, engine_cfg, load, order, request, run, run_resuming, wait_until,
};

/// Makes steps so slow that a long request keeps running until the test ends it.
fn slow_down(engine: &FakeEngine) {
    engine.configure(|settings| settings.step_base_ms = 20.0);
}

/// Guards against the same text from different adapters, which would hide a response of the wrong
/// adapter from tests.
#[tokio::test]
async fn generate_loaded_adapter_gives_expected_text() {
    let engine = FakeEngine::start(engine_cfg("e")).await.unwrap();
    let a = adapter("a");
    order(engine.addr(), 1, load(&a, None)).await.unwrap();
    let req = request("r", &a, "prompt", 20);
    let text = run(&EngineClient::default(), engine.addr(), &req).await.unwrap();
    assert_eq!(text, expected_text(&req.base_model, &a, "prompt", 20));
    assert_ne!(text, expected_text(&req.base_model, &adapter("b"), "prompt", 20));
    wait_until("the run is recorded", async || {
        engine.stats().runs[0].end == Some(RunEnd::Finished)
    })
    .await;
    assert_eq!(engine.stats().tokens, 20);
    assert_eq!(engine.stats().violations, []);
}

/// Guards against an engine that serves an adapter that is not loaded, which would hide routing
/// faults.
#[tokio::test]
async fn generate_unloaded_adapter_is_refused_and_recorded() {
    let engine = FakeEngine::start(engine_cfg("e")).await.unwrap();
    let req = request("r", &adapter("a"), "prompt", 1);
    let result = EngineClient::default().generate(engine.addr(), &req).await;
    assert!(matches!(result, Err(CallError::Refused { status, .. }) if status == 404));
    let violations = engine.stats().violations;
    assert!(matches!(violations[0].violation, Violation::AdapterNotReady { .. }));
}

/// Guards against slots that change without an order, and against a load into full slots without an
/// eviction.
#[tokio::test]
async fn orders_fill_and_empty_slots() {
    let mut cfg = engine_cfg("e");
    cfg.adapter_slots = 1;
    let engine = FakeEngine::start(cfg).await.unwrap();
    let (a, b) = (adapter("a"), adapter("b"));
    order(engine.addr(), 1, load(&a, None)).await.unwrap();
    let full = order(engine.addr(), 1, load(&b, None)).await;
    assert!(matches!(full, Err(OrderError::Refused(OrderRefusal::NoFreeSlot))), "{full:?}");
    order(engine.addr(), 1, load(&b, Some(&a))).await.unwrap();
    order(engine.addr(), 1, load(&b, None)).await.unwrap();
    order(engine.addr(), 1, Order::Evict { adapter: b }).await.unwrap();
    let stats = engine.stats();
    assert_eq!((stats.loads, stats.evictions, stats.orders.len()), (2, 2, 5));
}

/// Guards against a failed load that occupies its slot or counts as loaded.
#[tokio::test]
async fn failed_load_frees_its_slot() {
    let mut cfg = engine_cfg("e");
    cfg.adapter_slots = 1;
    let engine = FakeEngine::start(cfg).await.unwrap();
    let (a, b) = (adapter("a"), adapter("b"));
    engine.configure(|settings| settings.failing_adapters = vec![a.clone()]);
    let failed = order(engine.addr(), 1, load(&a, None)).await;
    assert!(
        matches!(failed, Err(OrderError::Refused(OrderRefusal::LoadFailed { .. }))),
        "{failed:?}"
    );
    order(engine.addr(), 1, load(&b, None)).await.unwrap();
    assert_eq!((engine.stats().loads, engine.stats().failed_loads), (1, 1));
}

/// Guards against an engine that accepts orders of previous owners although it announces that it
/// checks fencing, and against one that refuses them although it does not.
#[rstest]
#[case::fencing_on(true)]
#[case::fencing_off(false)]
#[tokio::test]
async fn old_epoch_is_refused_if_fencing_is_checked(#[case] checks_fencing: bool) {
    let mut cfg = engine_cfg("e");
    cfg.checks_fencing = checks_fencing;
    let engine = FakeEngine::start(cfg).await.unwrap();
    order(engine.addr(), 2, Order::Fence).await.unwrap();
    let result = order(engine.addr(), 1, load(&adapter("a"), None)).await;
    match (checks_fencing, result) {
        (true, Err(OrderError::Refused(refusal))) => {
            assert_eq!(refusal, OrderRefusal::OldEpoch { highest: Epoch(2) });
        }
        (false, Ok(())) => {}
        (_, other) => panic!("unexpected result {other:?}"),
    }
    assert_eq!(engine.stats().highest_epoch, Epoch(2));
    assert_eq!(engine.stats().loads, u64::from(!checks_fencing));
}

/// Guards against two concurrent owners that go undetected on an engine that does not check
/// fencing.
#[tokio::test]
async fn concurrent_orders_of_two_epochs_are_recorded() {
    let mut cfg = engine_cfg("e");
    cfg.checks_fencing = false;
    let engine = FakeEngine::start(cfg).await.unwrap();
    let (a, b) = (adapter("a"), adapter("b"));
    let (first, second) = tokio::join!(
        order(engine.addr(), 1, load(&a, None)),
        order(engine.addr(), 2, load(&b, None))
    );
    first.unwrap();
    second.unwrap();
    let violations = engine.stats().violations;
    assert!(matches!(violations[0].violation, Violation::ConcurrentEpochs { .. }));
}

/// Guards against an eviction of an adapter with running requests that is refused or executed
/// contrary to the settings, or that is not recorded as a violation.
#[rstest]
#[case::refuses(false)]
#[case::obeys_blindly(true)]
#[tokio::test]
async fn evict_serving_adapter(#[case] obeys_blindly: bool) {
    let engine = FakeEngine::start(engine_cfg("e")).await.unwrap();
    let a = adapter("a");
    order(engine.addr(), 1, load(&a, None)).await.unwrap();
    slow_down(&engine);
    engine.configure(|settings| settings.obeys_blindly = obeys_blindly);
    let client = EngineClient::default();
    let mut stream =
        client.generate(engine.addr(), &request("r", &a, "prompt", 10_000)).await.unwrap();
    stream.next().await.unwrap().unwrap();
    let result = order(engine.addr(), 1, Order::Evict { adapter: a.clone() }).await;
    let violations = engine.stats().violations;
    assert!(matches!(violations[0].violation, Violation::EvictionWhileServing { carried_out, .. }
            if carried_out == obeys_blindly));
    if obeys_blindly {
        result.unwrap();
        while stream.next().await.is_some_and(|event| event.is_ok()) {}
        assert_eq!(engine.stats().runs[0].end, Some(RunEnd::Cut));
        return;
    }
    assert!(matches!(result, Err(OrderError::Refused(OrderRefusal::AdapterBusy))));
    drop(stream);
    wait_until("the engine notices the cancellation", async || {
        engine.stats().runs[0].end == Some(RunEnd::Cancelled)
    })
    .await;
    order(engine.addr(), 1, Order::Evict { adapter: a }).await.unwrap();
}

/// Guards against a cancelled request that stays in the batch, and against an error when it is
/// cancelled again.
#[tokio::test]
async fn cancel_ends_the_run() {
    let engine = FakeEngine::start(engine_cfg("e")).await.unwrap();
    let a = adapter("a");
    order(engine.addr(), 1, load(&a, None)).await.unwrap();
    slow_down(&engine);
    let client = EngineClient::default();
    let req = request("r", &a, "prompt", 10_000);
    let mut stream = client.generate(engine.addr(), &req).await.unwrap();
    client.cancel(engine.addr(), &req.request).await.unwrap();
    while stream.next().await.is_some_and(|event| event.is_ok()) {}
    assert_eq!(engine.stats().runs[0].end, Some(RunEnd::Cancelled));
    client.cancel(engine.addr(), &req.request).await.unwrap();
}

/// Guards against requests of a batch that run one after the other, and against a queue that
/// ignores priorities.
#[tokio::test]
async fn batch_is_concurrent_and_queue_is_ordered_by_priority() {
    let mut cfg = engine_cfg("e");
    cfg.max_batch = 2;
    let engine = FakeEngine::start(cfg).await.unwrap();
    let a = adapter("a");
    order(engine.addr(), 1, load(&a, None)).await.unwrap();
    engine.configure(|settings| settings.step_base_ms = 5.0);
    let client = EngineClient::default();
    let mut streams = Vec::new();
    for (id, priority) in [("first", 1), ("second", 0), ("low", 9), ("high", 0)] {
        let mut req = request(id, &a, "prompt", 30);
        req.priority = Priority(priority);
        streams.push(client.generate(engine.addr(), &req).await.unwrap());
    }
    for mut stream in streams {
        while let Some(event) = stream.next().await {
            event.unwrap();
        }
    }
    let stats = engine.stats();
    let started = |id: &str| {
        let id: RequestId = id.parse().unwrap();
        stats.runs.iter().find(|run| run.request == id).unwrap().started_ms.unwrap()
    };
    assert!(started("high") <= started("low"));
    assert!(started("second") < started("high"), "the batch should hold two requests");
    // 120 tokens in steps of at most 2; a few steps run before the second request arrives.
    assert!((60..90).contains(&stats.steps), "{} steps", stats.steps);
    assert_eq!(stats.occupancy_sum, 120);
}

/// Guards against adapters, epochs or connections that survive a crash, and against a wrong count
/// of crashes caused by the crash marker.
#[rstest]
#[case::marker(true)]
#[case::handle(false)]
#[tokio::test]
async fn crash_loses_adapters_epoch_and_connections(#[case] by_marker: bool) {
    let mut cfg = engine_cfg("e");
    cfg.settings.crash_marker = Some("CRASH".to_owned());
    let engine = FakeEngine::start(cfg).await.unwrap();
    let (a, before) = (adapter("a"), engine.incarnation());
    order(engine.addr(), 5, load(&a, None)).await.unwrap();
    slow_down(&engine);
    let client = EngineClient::default();
    let mut victim = client.generate(engine.addr(), &request("v", &a, "p", 10_000)).await.unwrap();
    victim.next().await.unwrap().unwrap();
    // The crash may occur before the response headers are sent. The stream is kept because dropping
    // it would cancel the request.
    let _crashing = match by_marker {
        true => client.generate(engine.addr(), &request("c", &a, "a CRASH b", 1)).await.ok(),
        false => {
            engine.crash();
            None
        }
    };
    while victim.next().await.is_some_and(|event| event.is_ok()) {}
    wait_until("the engine has restarted", async || engine.incarnation() > before).await;
    wait_until("the engine listens", async || order(engine.addr(), 1, Order::Fence).await.is_ok())
        .await;
    let refused = client.generate(engine.addr(), &request("n", &a, "p", 1)).await;
    assert!(matches!(refused, Err(CallError::Refused { status, .. }) if status == 404));
    let stats = engine.stats();
    assert_eq!(stats.runs[0].end, Some(RunEnd::Stopped));
    assert_eq!(stats.crashes, u64::from(by_marker));
    assert_eq!(stats.highest_epoch, Epoch(1));
}

/// Guards against a restart or a leave that is not announced, and against an unreachable entry that
/// blocks announcements.
#[tokio::test]
async fn announces_itself_until_it_leaves() {
    let entry = EntryRecorder::start().await;
    let dead = shallotdrum_fakes::ReservedPort::reserve().unwrap();
    let mut cfg = engine_cfg("e");
    cfg.identity.entries = vec![dead.addr(), entry.addr];
    let engine = FakeEngine::start(cfg).await.unwrap();
    let a = adapter("a");
    let announcements = || entry.messages::<Announcement>("/targets/announce");
    wait_until("the engine is announced", async || !announcements().is_empty()).await;
    assert_eq!(announcements()[0].addr, engine.addr());
    order(engine.addr(), 1, load(&a, None)).await.unwrap();
    wait_until("the load report names the adapter", async || {
        announcements().last().unwrap().load.adapters.iter().any(|s| s.adapter == a && s.ready)
    })
    .await;
    engine.crash();
    wait_until("the new incarnation is announced", async || {
        let last = announcements().pop().unwrap();
        last.incarnation > announcements()[0].incarnation && last.load.adapters.is_empty()
    })
    .await;
    assert!(engine.leave().await);
    let leaves = entry.messages::<Leave>("/targets/leave");
    assert_eq!(leaves[0].incarnation, engine.incarnation());
}

/// Guards against load reports that are newer than configured or don't state their age.
#[tokio::test]
async fn load_reports_are_delayed() {
    let entry = EntryRecorder::start().await;
    let mut cfg = engine_cfg("e");
    cfg.identity.entries = vec![entry.addr];
    cfg.settings.report_lag_ms = 100;
    let engine = FakeEngine::start(cfg).await.unwrap();
    let announcements = || entry.messages::<Announcement>("/targets/announce");
    wait_until("reports are delayed", async || {
        announcements().last().is_some_and(|last| last.load.age_ms >= 100)
    })
    .await;
    drop(engine);
}

/// Guards against cached prompt tokens that are prefilled again, and against cache events with
/// other hashes than the owner computes.
#[tokio::test]
async fn prefix_cache_shortens_prefill_and_reports_changes() {
    let entry = EntryRecorder::start().await;
    let mut cfg = engine_cfg("e");
    cfg.identity.entries = vec![entry.addr];
    cfg.settings.prefix_cache_blocks = 2;
    cfg.settings.cache_event_delay_ms = 0;
    let engine = FakeEngine::start(cfg).await.unwrap();
    let a = adapter("a");
    order(engine.addr(), 1, load(&a, None)).await.unwrap();
    let client = EngineClient::default();
    let prompt = "x".repeat(2 * PREFIX_BLOCK_BYTES);
    for id in ["r1", "r2"] {
        run(&client, engine.addr(), &request(id, &a, &prompt, 1)).await.unwrap();
    }
    wait_until("both steps are counted", async || engine.stats().steps == 2).await;
    assert_eq!((engine.stats().prefill_tokens, engine.stats().cached_tokens), (128, 128));
    let other = "y".repeat(2 * PREFIX_BLOCK_BYTES);
    run(&client, engine.addr(), &request("r3", &a, &other, 1)).await.unwrap();
    let events = || entry.messages::<CacheEvents>("/targets/cache-events");
    let (first, second) = (prefix_hashes(&a, &prompt), prefix_hashes(&a, &other));
    wait_until("all changes are reported", async || {
        let is_stored = second.iter().all(|h| events().iter().any(|e| e.stored.contains(h)));
        let is_removed = first.iter().all(|h| events().iter().any(|e| e.removed.contains(h)));
        is_stored && is_removed
    })
    .await;
    let sequences: Vec<_> = events().iter().map(|e| e.sequence).collect();
    assert!(sequences.is_sorted() && sequences[0] == 1, "{sequences:?}");
}

/// Guards against a lost report that leaves no gap in the sequence numbers.
#[tokio::test]
async fn lost_cache_events_leave_gaps() {
    let entry = EntryRecorder::start().await;
    let mut cfg = engine_cfg("e");
    cfg.identity.entries = vec![entry.addr];
    cfg.settings.cache_event_delay_ms = 0;
    cfg.settings.cache_event_loss = 1.0;
    let engine = FakeEngine::start(cfg).await.unwrap();
    let a = adapter("a");
    order(engine.addr(), 1, load(&a, None)).await.unwrap();
    let client = EngineClient::default();
    let run_with = async |id: &str, letter: &str| {
        let prompt = letter.repeat(PREFIX_BLOCK_BYTES);
        run(&client, engine.addr(), &request(id, &a, &prompt, 1)).await.unwrap();
    };
    run_with("r1", "x").await;
    wait_until("a report is lost", async || engine.stats().cache_reports == 1).await;
    engine.configure(|settings| settings.cache_event_loss = 0.0);
    run_with("r2", "y").await;
    let events = || entry.messages::<CacheEvents>("/targets/cache-events");
    wait_until("a report arrives", async || !events().is_empty()).await;
    assert_eq!(events()[0].sequence, 2);
    assert_eq!(events()[0].stored, prefix_hashes(&a, &"y".repeat(PREFIX_BLOCK_BYTES)));
}

/// Guards against injected stream faults that the client neither recovers from nor reports.
#[tokio::test]
async fn faulty_stream_is_complete_after_resuming() {
    let engine = FakeEngine::start(engine_cfg("e")).await.unwrap();
    let a = adapter("a");
    order(engine.addr(), 1, load(&a, None)).await.unwrap();
    engine.configure(|settings| {
        settings.duplicate_chunk = 0.3;
        settings.reorder_chunk = 0.3;
        settings.foreign_chunk = 0.2;
        settings.lose_chunk = 0.02;
        settings.cut = 0.05;
    });
    let client = EngineClient::default();
    for i in 0..10 {
        let req = request(&format!("r{i}"), &a, &format!("prompt {i}"), 60);
        let text = run_resuming(&client, engine.addr(), &req).await;
        assert_eq!(text, expected_text(&req.base_model, &a, &req.prompt, 60));
    }
    assert!(engine.stats().runs.len() > 10, "no stream was cut");
    assert_eq!(engine.stats().violations, []);
}

/// Guards against HTTP endpoints that have no effect on the engine; tests that run it as a separate
/// process depend on them.
#[tokio::test]
async fn http_endpoints_control_the_engine() {
    let engine = FakeEngine::start(engine_cfg("e")).await.unwrap();
    let post = async |path: &str, body: &str| {
        call(engine.addr(), http::Method::POST, path, &[], body).await.unwrap()
    };
    assert_eq!(post("/fake/config", r#"{"max_queue":0}"#).await.0, 200);
    assert_eq!(post("/fake/config", r#"{"unknown":1}"#).await.0, 400);
    let a = adapter("a");
    order(engine.addr(), 1, load(&a, None)).await.unwrap();
    let refused = EngineClient::default().generate(engine.addr(), &request("r", &a, "p", 1)).await;
    assert!(matches!(refused, Err(CallError::Refused { status, .. }) if status == 429));
    let stats = call(engine.addr(), http::Method::GET, "/fake/stats", &[], "").await.unwrap().1;
    let stats: EngineStats = serde_json::from_str(&stats).unwrap();
    assert_eq!(stats, engine.stats());
    assert_eq!(post("/fake/leave", "").await.1, r#"{"accepted":false}"#);
}
