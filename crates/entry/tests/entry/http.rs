//! Malformed requests, limits, readiness, pagination and metrics.

use std::time::Duration;

use crate::common::{Fixture, TEST_TIMEOUT, completion_body, wait_until};
use rstest::rstest;
use serde_json::{Value, json};
use shallotdrum_entry::Freshness;
use shallotdrum_settings::WhenStale;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Sends raw bytes and returns everything received until the connection closes.
async fn send_raw(fixture: &Fixture, req: &str) -> String {
    let mut stream = TcpStream::connect(fixture.entry.local_addr()).await.unwrap();
    stream.write_all(req.as_bytes()).await.unwrap();
    let mut reply = Vec::new();
    // The connection may be reset after the response.
    let _ = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut reply)).await.unwrap();
    String::from_utf8(reply).unwrap()
}

/// Guards against malformed requests that are forwarded, crash the entry or get an error that does
/// not name the field.
#[rstest]
#[case::not_json("{", "not valid JSON")]
#[case::not_object("[1]", "object")]
#[case::no_model(r#"{"prompt": "x"}"#, "model")]
#[case::model_number(r#"{"model": 3, "prompt": "x"}"#, "model")]
#[case::model_without_adapter(r#"{"model": "base", "prompt": "x"}"#, "model")]
#[case::model_bad_letters(r#"{"model": "base/a b", "prompt": "x"}"#, "model")]
#[case::no_prompt(r#"{"model": "base/ada"}"#, "prompt")]
#[case::prompt_empty(r#"{"model": "base/ada", "prompt": ""}"#, "prompt")]
#[case::prompt_tokens(r#"{"model": "base/ada", "prompt": [1, 2]}"#, "prompt")]
#[case::prompt_two(r#"{"model": "base/ada", "prompt": ["a", "b"]}"#, "prompt")]
#[case::max_tokens_zero(r#"{"model": "base/ada", "prompt": "x", "max_tokens": 0}"#, "max_tokens")]
#[case::max_tokens_text(r#"{"model": "base/ada", "prompt": "x", "max_tokens": "9"}"#, "max_tokens")]
#[case::max_tokens_huge(
    r#"{"model": "base/ada", "prompt": "x", "max_tokens": 1001}"#,
    "max_tokens"
)]
#[case::temperature(r#"{"model": "base/ada", "prompt": "x", "temperature": 2.1}"#, "temperature")]
#[case::top_p(r#"{"model": "base/ada", "prompt": "x", "top_p": -1}"#, "top_p")]
#[case::stop_number(r#"{"model": "base/ada", "prompt": "x", "stop": 1}"#, "stop")]
#[case::stop_five(r#"{"model": "base/ada", "prompt": "x", "stop": ["1","2","3","4","5"]}"#, "stop")]
#[case::stop_empty(r#"{"model": "base/ada", "prompt": "x", "stop": [""]}"#, "stop")]
#[case::seed(r#"{"model": "base/ada", "prompt": "x", "seed": 1.5}"#, "seed")]
#[case::stream(r#"{"model": "base/ada", "prompt": "x", "stream": "yes"}"#, "stream")]
#[case::stream_options(
    r#"{"model": "base/ada", "prompt": "x", "stream_options": {}}"#,
    "stream_options"
)]
#[case::n(r#"{"model": "base/ada", "prompt": "x", "n": 2}"#, "n:")]
#[case::user(r#"{"model": "base/ada", "prompt": "x", "user": {}}"#, "user")]
#[case::echo(r#"{"model": "base/ada", "prompt": "x", "echo": true}"#, "echo")]
#[case::logprobs(r#"{"model": "base/ada", "prompt": "x", "logprobs": 3}"#, "logprobs")]
#[tokio::test]
async fn completion_malformed_is_rejected(#[case] malformed: &'static str, #[case] named: &str) {
    let fixture = Fixture::start().await;
    let reply = fixture.call("POST", "/v1/completions", &[], malformed).await;
    assert_eq!(reply.problem(), ("invalid-request".to_owned(), "not-run".to_owned()));
    let detail = reply.json()["detail"].as_str().unwrap().to_owned();
    assert!(detail.contains(named), "{detail}");
    assert_eq!(fixture.complete(json!({})).await.status, 200);
    assert_eq!(fixture.owner.completions().len(), 1);
}

/// Guards against malformed chat messages that are forwarded, or get an error that does not start
/// with the field's path.
#[rstest]
#[case::none(json!([]), "messages")]
#[case::text(json!("hi"), "messages")]
#[case::item(json!(["hi"]), "messages[0]")]
#[case::role(json!([{"role": "tool", "content": "x"}]), "messages[0].role")]
#[case::no_content(json!([{"role": "user", "content": "x"}, {"role": "user"}]), "messages[1].content")]
#[case::image(json!([{"role": "user", "content": [{"type": "image_url"}]}]), "messages[0].content")]
#[tokio::test]
async fn chat_malformed_is_rejected(#[case] messages: Value, #[case] named: &str) {
    let fixture = Fixture::start().await;
    let req = json!({"model": "base/ada", "messages": messages}).to_string();
    let reply = fixture.call("POST", "/v1/chat/completions", &[], req).await;
    assert_eq!(reply.problem().0, "invalid-request");
    assert!(reply.json()["detail"].as_str().unwrap().starts_with(named), "{}", reply.text());
    assert!(fixture.owner.completions().is_empty());
}

/// Guards against requests without permission or with an invalid deadline that are forwarded, or
/// get a wrong error.
#[rstest]
#[case::no_key(("authorization", ""), "base/ada", "unauthorized", 401)]
#[case::other_scheme(("authorization", "Basic clinic-key"), "base/ada", "unauthorized", 401)]
#[case::unknown_key(("authorization", "Bearer other"), "base/ada", "unauthorized", 401)]
#[case::forbidden(("x-ignored", "1"), "base/bob", "forbidden", 403)]
#[case::unknown_model(("x-ignored", "1"), "base/nobody", "not-found", 404)]
#[case::deadline_zero(("x-request-deadline-ms", "0"), "base/ada", "invalid-request", 400)]
#[case::deadline_text(("x-request-deadline-ms", "soon"), "base/ada", "invalid-request", 400)]
#[tokio::test]
async fn completion_is_rejected(
    #[case] header: (&str, &str),
    #[case] model: &str,
    #[case] code: &str,
    #[case] status: u16,
) {
    let fixture = Fixture::start().await;
    let req = completion_body(&json!({"model": model}));
    let reply = fixture.call("POST", "/v1/completions", &[header], req).await;
    assert_eq!(reply.problem(), (code.to_owned(), "not-run".to_owned()));
    assert_eq!(reply.status, status);
    assert!(fixture.owner.completions().is_empty());
    assert_eq!(fixture.complete(json!({})).await.status, 200);
}

/// Guards against malformed announcements that are accepted, and against valid ones that are
/// rejected, also after a malformed one.
#[rstest]
#[case::good(json!({}), "")]
#[case::not_object(json!({"*": []}), "invalid-request")]
#[case::unknown_field(json!({"colour": "red"}), "invalid-request")]
#[case::no_target(json!({"target": null}), "invalid-request")]
#[case::target_letters(json!({"target": "a b"}), "invalid-request")]
#[case::target_empty(json!({"target": ""}), "invalid-request")]
#[case::target_long(json!({"target": "x".repeat(129)}), "invalid-request")]
#[case::incarnation_text(json!({"incarnation": "1"}), "invalid-request")]
#[case::incarnation_negative(json!({"incarnation": -1}), "invalid-request")]
#[case::addr_name(json!({"addr": "engine:80"}), "invalid-request")]
#[case::addr_no_port(json!({"addr": "127.0.0.1"}), "invalid-request")]
#[case::pool_number(json!({"pool": 1}), "invalid-request")]
#[case::pool_unknown(json!({"pool": "others"}), "not-found")]
#[case::region(json!({"region": ""}), "invalid-request")]
#[case::zone(json!({"zone": null}), "invalid-request")]
#[case::kind_unknown(json!({"kind": {"type": "printer"}}), "invalid-request")]
#[case::kind_incomplete(json!({"kind": {"type": "engine"}}), "invalid-request")]
#[case::slots_negative(json!({"kind": {"type": "service", "max_concurrent": -1}}), "invalid-request")]
#[case::slots_huge(json!({"kind": {"type": "service", "max_concurrent": 5_000_000_000_u64}}), "invalid-request")]
#[case::load_none(json!({"load": null}), "invalid-request")]
#[case::load_negative(json!({"load": {"age_ms": -1, "running": 0, "queued": 0}}), "invalid-request")]
#[case::load_adapter(json!({"load": {"age_ms": 0, "running": 0, "queued": 0, "adapters": [1]}}), "invalid-request")]
#[tokio::test]
async fn announcement_validation(#[case] change: Value, #[case] code: &str) {
    let fixture = Fixture::start().await;
    let good = json!({
        "target": "e1", "incarnation": 1, "addr": "127.0.0.1:9000", "pool": "engines",
        "region": "north", "zone": "a", "kind": {"type": "service", "max_concurrent": 4},
        "load": {"age_ms": 0, "running": 0, "queued": 0},
    });
    let mut changed = good.clone();
    changed.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
    let changed = change.get("*").unwrap_or(&changed).to_string();
    let reply = fixture.call("POST", "/targets/announce", &[], changed).await;
    if code.is_empty() {
        assert_eq!(reply.json(), json!({"renew_after_ms": 1000}));
    } else {
        assert_eq!(reply.problem().0, code);
    }
    let reply = fixture.call("POST", "/targets/announce", &[], good.to_string()).await;
    assert_eq!(reply.status, 200);
}

/// Guards against messages from targets that do not reach a handler, or are accepted although
/// fields are missing.
#[rstest]
#[case::leave("/targets/leave", json!({"target": "e1", "incarnation": 1}))]
#[case::cache("/targets/cache-events", json!({"target": "e1", "incarnation": 1, "sequence": 1, "stored": [3]}))]
#[tokio::test]
async fn target_message(#[case] path: &str, #[case] message: Value) {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.call("POST", path, &[], message.to_string()).await.status, 204);
    assert_eq!(fixture.call("POST", path, &[], "{}").await.problem().0, "invalid-request");
}

/// Guards against wrong errors for unknown paths, methods and query parameters, and against a 405
/// without `Allow`.
#[rstest]
#[case::unknown_path("GET", "/v2/completions", "not-found", "")]
#[case::get_completion("GET", "/v1/completions", "method-not-allowed", "POST")]
#[case::post_models("POST", "/v1/models", "method-not-allowed", "GET, HEAD")]
#[case::models_limit("GET", "/v1/models?limit=0", "invalid-request", "")]
#[case::models_parameter("GET", "/v1/models?page=2", "invalid-request", "")]
#[tokio::test]
async fn path_is_rejected(
    #[case] method: &str,
    #[case] path: &str,
    #[case] code: &str,
    #[case] allow: &str,
) {
    let fixture = Fixture::start().await;
    let reply = fixture.call(method, path, &[], "").await;
    assert_eq!(reply.problem().0, code);
    assert_eq!(reply.header("allow"), allow);
}

/// Guards against bodies above the size limit that are read, whether or not their size is declared,
/// and against a body that is accepted although it ends before its declared size.
#[rstest]
#[case::stated("POST /v1/completions", "content-length: 9000000\r\n\r\n".to_owned(), "413", "not-run")]
#[case::chunked("POST /v1/completions", chunked(), "413", "not-run")]
#[case::service_stated("GET /services/desk/x", "content-length: 9000000\r\n\r\n".to_owned(), "413", "not-run")]
#[case::service_chunked("GET /services/desk/x", chunked(), "413", "unknown")]
#[case::early_end("POST /targets/leave", "connection: close\r\ncontent-length: 5\r\n\r\n{}".to_owned(), "", "")]
#[tokio::test]
async fn body_limit(
    #[case] start: &str,
    #[case] rest: String,
    #[case] status: &str,
    #[case] outcome: &str,
) {
    let fixture = Fixture::with(|cfg| {
        cfg.limits.max_body_bytes = 2048;
        cfg.limits.idle_timeout_ms = 100;
    })
    .await;
    let head = "HTTP/1.1\r\nhost: x\r\nauthorization: Bearer clinic-key\r\n";
    let reply = send_raw(&fixture, &format!("{start} {head}{rest}")).await;
    if status.is_empty() {
        assert!(reply.starts_with("HTTP/1.1 400") && reply.contains("invalid-request"), "{reply}");
        return;
    }
    assert!(reply.starts_with(&format!("HTTP/1.1 {status}")), "{reply}");
    assert!(reply.contains("body-too-large"), "{reply}");
    assert!(reply.contains(&format!("\"outcome\":\"{outcome}\"")), "{reply}");
    assert_eq!(fixture.complete(json!({})).await.status, 200);
}

fn chunked() -> String {
    let chunk = format!("800\r\n{}\r\n", "x".repeat(2048));
    format!("connection: close\r\ntransfer-encoding: chunked\r\n\r\n{chunk}{chunk}0\r\n\r\n")
}

/// Guards against headers of unbounded size.
#[rstest]
#[case::above(10_000, "headers-too-large")]
#[case::far_above(200_000, "")]
#[tokio::test]
async fn header_limit(#[case] size: usize, #[case] code: &str) {
    let fixture = Fixture::with(|cfg| cfg.limits.max_header_bytes = 8192).await;
    let long = "x".repeat(size);
    let req =
        format!("GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-long: {long}\r\n\r\n");
    let reply = send_raw(&fixture, &req).await;
    assert!(reply.starts_with("HTTP/1.1 431") || code.is_empty(), "{reply}");
    assert!(reply.contains(code), "{reply}");
    assert_eq!(fixture.call("GET", "/healthz", &[], "").await.status, 200);
}

/// Guards against connections that are held open by callers that do not complete the header.
#[tokio::test]
async fn header_timeout_closes() {
    let fixture = Fixture::with(|cfg| cfg.limits.header_timeout_ms = 100).await;
    send_raw(&fixture, "GET /healthz HTTP/1.1\r\nhost:").await;
    wait_until("the connection to close", || fixture.metrics.connections().get() == 0).await;
}

/// Guards against more connections than the limit, and against a limit that still applies after
/// others have ended.
#[tokio::test]
async fn connection_limit() {
    let fixture = Fixture::with(|cfg| cfg.limits.max_connections = 1).await;
    let held = TcpStream::connect(fixture.entry.local_addr()).await.unwrap();
    wait_until("the connection", || fixture.metrics.connections().get() == 1).await;
    assert_eq!(send_raw(&fixture, "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").await, "");
    drop(held);
    wait_until("the connection to close", || fixture.metrics.connections().get() == 0).await;
    assert_eq!(fixture.call("GET", "/healthz", &[], "").await.status, 200);
}

/// Guards against requests that are served without a manifest or from a stale one, or refused for a
/// stale one although `when_stale` is `serve`, and against a `/healthz` that depends on the
/// manifest.
#[rstest]
#[case::no_manifest(Freshness::NoManifest, WhenStale::Serve, 503, 503)]
#[case::catching_up(Freshness::CatchingUp, WhenStale::Serve, 503, 503)]
#[case::stale(Freshness::Stale { age: Duration::from_secs(6) }, WhenStale::Refuse, 503, 503)]
#[case::stale_serve(Freshness::Stale { age: Duration::from_secs(6) }, WhenStale::Serve, 503, 200)]
#[case::outdated(Freshness::Outdated { age: Duration::from_secs(6) }, WhenStale::Serve, 503, 503)]
#[case::draining(Freshness::Draining, WhenStale::Refuse, 503, 200)]
#[case::ready(Freshness::Ready, WhenStale::Refuse, 200, 200)]
#[tokio::test]
async fn freshness_controls_readiness(
    #[case] freshness: Freshness,
    #[case] when_stale: WhenStale,
    #[case] ready: u16,
    #[case] served: u16,
) {
    let fixture = Fixture::with(|cfg| cfg.when_stale = when_stale).await;
    *fixture.freshness.lock().unwrap() = freshness;
    assert_eq!(fixture.call("GET", "/readyz", &[], "").await.status, ready);
    assert_eq!(fixture.call("GET", "/healthz", &[], "").await.status, 200);
    let reply = fixture.complete(json!({})).await;
    assert_eq!(reply.status, served);
    if served == 503 {
        assert_eq!(reply.problem(), ("not-ready".to_owned(), "not-run".to_owned()));
        assert_eq!(reply.header("retry-after"), "1");
    }
}

/// Guards against "unknown key" and "no such model" by a manifest that is not confirmed: a newer one
/// may contain them.
#[rstest]
#[case::ready(Freshness::Ready, 401, 404)]
#[case::stale(Freshness::Stale { age: Duration::from_secs(6) }, 503, 503)]
#[tokio::test]
async fn absence_needs_confirmation(
    #[case] freshness: Freshness,
    #[case] unknown_key: u16,
    #[case] unknown_model: u16,
) {
    let fixture = Fixture::with(|cfg| cfg.when_stale = WhenStale::Serve).await;
    *fixture.freshness.lock().unwrap() = freshness;
    let headers = [("authorization", "Bearer unknown")];
    let reply = fixture.call("GET", "/v1/models", &headers, "").await;
    assert_eq!(reply.status, unknown_key);
    let reply = fixture.complete(json!({"model": "base/unknown"})).await;
    assert_eq!(reply.status, unknown_model);
}

/// Guards against a `/readyz` that reports ready while draining, so that load balancers send new
/// callers.
#[tokio::test]
async fn drain_reports_not_ready_first() {
    let fixture = Fixture::with(|cfg| cfg.drain_delay = TEST_TIMEOUT * 10).await;
    fixture.entry.begin_drain();
    let reply = fixture.call("GET", "/readyz", &[], "").await;
    assert_eq!((reply.status, reply.text()), (503, "draining"));
    assert_eq!(fixture.complete(json!({})).await.status, 200);
}

/// Guards against pages that repeat or omit models, and against pages above the limit.
#[tokio::test]
async fn models_pagination() {
    let fixture = Fixture::start().await;
    let mut names = Vec::new();
    let mut path = "/v1/models".to_owned();
    loop {
        let page = fixture.call("GET", &path, &[], "").await.json();
        let data = page["data"].as_array().unwrap();
        assert!(data.len() <= 1000);
        names.extend(data.iter().map(|model| model["id"].as_str().unwrap().to_owned()));
        if page["has_more"] == false {
            break;
        }
        path = format!("/v1/models?after={}", page["last_id"].as_str().unwrap());
    }
    assert_eq!(names.len(), 2500);
    assert!(names.is_sorted() && names[0] == "base/m0000");
}

/// Guards against metrics that miss finished requests or have adapters in labels.
#[tokio::test]
async fn metrics_count_requests() {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.complete(json!({})).await.status, 200);
    let reply = fixture.call("GET", "/metrics", &[], "").await;
    let counted = "shallotdrum_requests_total{error=\"none\",outcome=\"answered\"} 1";
    assert!(reply.text().contains(counted), "{}", reply.text());
    assert!(
        reply.text().contains("shallotdrum_first_token_seconds_count{subscriber=\"clinic\"} 1")
    );
    assert!(!reply.text().contains("ada\"") && !reply.text().contains("ada@"));
}
