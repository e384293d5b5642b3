//! Fake engine: text, orders, fencing, batching, crashes and faults of the stream.

mod support;

use shallotdrum_engine::{CallError, EngineClient};
use shallotdrum_fakes::{FakeEngine, RunEnd, Violation, expected_text};
use support::{adapter, engine_cfg, load, order, request, run, wait_until};

/// Guards against answers whose text a checker can't tell from that of another version.
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

/// Guards against a fake that serves adapters it does not hold, which would hide routing faults.
#[tokio::test]
async fn generate_missing_adapter_is_refused_and_recorded() {
    let engine = FakeEngine::start(engine_cfg("e")).await.unwrap();
    let req = request("r", &adapter("a"), "prompt", 1);
    let result = EngineClient::default().generate(engine.addr(), &req).await;
    assert!(matches!(result, Err(CallError::Refused { status, .. }) if status == 404));
    let violations = engine.stats().violations;
    assert!(matches!(violations[0].violation, Violation::AdapterNotReady { .. }));
}
