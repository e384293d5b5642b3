//! Completion requests: buffered and streamed responses, retries, resumption and cancellation.

use std::time::Duration;

use crate::common::{FakeOwner, Fixture, Step, chunk, chunk_of, completion_body, end, wait_until};
use rstest::rstest;
use serde_json::{Value, json};
use shallotdrum_owner::Frame;
use shallotdrum_types::{GroupId, RequestError, RequestErrorKind, SessionId};
use tokio::{io::AsyncWriteExt, net::TcpStream};

fn parse_events(text: &str) -> Vec<Value> {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter(|data| *data != "[DONE]").map(|data| serde_json::from_str(data).unwrap()).collect()
}

fn streamed_text(text: &str) -> String {
    let parts = parse_events(text);
    parts.iter().filter_map(|event| event["choices"][0]["text"].as_str()).collect()
}

fn refusal(kind: RequestErrorKind) -> RequestError {
    RequestError::not_run(kind, "scripted error")
}

/// Guards against responses that lack part of the text, the resolved model, the usage or the
/// outcome.
#[tokio::test]
async fn completion_response() {
    let fixture = Fixture::start().await;
    let reply = fixture.complete(json!({"user": "u", "top_p": 0.5, "later_field": {}})).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let json = reply.json();
    assert_eq!(json["choices"][0]["text"], "one two");
    assert_eq!(json["choices"][0]["finish_reason"], "stop");
    assert_eq!(json["usage"]["total_tokens"], 7);
    assert_eq!(json["model"], "base/ada@v7");
    assert_eq!(reply.header("x-shallotdrum-model"), "base/ada@v7");
    assert_eq!(reply.header("x-shallotdrum-outcome"), "answered");
    let call = &fixture.owner.completions()[0];
    assert_eq!(call.group, "engines/north/0".parse::<GroupId>().unwrap());
    assert_eq!((call.subscriber.as_str(), call.request.prompt.as_str()), ("clinic", "Hello"));
}

/// Guards against chat messages that are rendered to the prompt in another format than the
/// documented one.
#[tokio::test]
async fn chat_response() {
    let fixture = Fixture::start().await;
    let messages = json!([
        {"role": "system", "content": "Be brief."},
        {"role": "user", "content": [{"type": "text", "text": "Hi"}]},
    ]);
    let req = json!({"model": "base/ada@v3", "messages": messages, "max_completion_tokens": 3});
    let reply = fixture.call("POST", "/v1/chat/completions", &[], req.to_string()).await;
    assert_eq!(reply.json()["choices"][0]["message"]["content"], "one two");
    let call = &fixture.owner.completions()[0].request;
    assert_eq!(call.prompt, "<|system|>\nBe brief.\n<|user|>\nHi\n<|assistant|>\n");
    assert_eq!((call.adapter.version.as_str(), call.max_tokens), ("v3", 3));
}

/// Guards against streams with invalid event framing, or without the finish reason, the usage or
/// `[DONE]`.
#[tokio::test]
async fn stream_framing() {
    let fixture = Fixture::start().await;
    let (reply, is_clean) =
        fixture.stream(json!({"stream_options": {"include_usage": true}})).await;
    assert!(is_clean);
    assert_eq!(reply.header("content-type"), "text/event-stream");
    let text = reply.text();
    assert!(text.ends_with("\n\ndata: [DONE]\n\n"), "{text}");
    assert!(text.split_terminator("\n\n").all(|event| event.starts_with("data: ")));
    assert_eq!(streamed_text(text), "one two");
    let events = parse_events(text);
    assert_eq!(events[2]["choices"][0]["finish_reason"], "stop");
    assert_eq!(events[3]["usage"]["completion_tokens"], 2);
    assert_eq!(events[3]["choices"], json!([]));
}

/// Guards against chat streams without the role in the first chunk, the finish reason or `[DONE]`.
#[tokio::test]
async fn chat_stream_framing() {
    let fixture = Fixture::start().await;
    let messages = json!([{"role": "user", "content": "Hi"}]);
    let req = json!({"model": "base/ada", "messages": messages, "stream": true}).to_string();
    let reply = fixture.call("POST", "/v1/chat/completions", &[], req).await;
    assert!(reply.text().ends_with("data: [DONE]\n\n"), "{}", reply.text());
    let choices: Vec<Value> =
        parse_events(reply.text()).iter().map(|event| event["choices"][0].clone()).collect();
    assert_eq!(choices[0]["delta"], json!({"role": "assistant", "content": "one "}));
    assert_eq!(choices[1]["delta"], json!({"content": "two"}));
    assert_eq!((&choices[2]["delta"], &choices[2]["finish_reason"]), (&json!({}), &json!("stop")));
}

/// Guards against a failed stream that looks complete because it ends with `[DONE]` or its
/// connection closes cleanly.
#[tokio::test]
async fn stream_failure_ends_without_done() {
    let fixture = Fixture::start().await;
    let error = RequestError::unknown(RequestErrorKind::TargetFailed, "scripted error");
    fixture.owner.script(vec![chunk(0, "one "), Step::Frame(Frame::Error(error))]);
    let (reply, is_clean) = fixture.stream(json!({})).await;
    assert!(!is_clean, "the body must end with an error");
    let text = reply.text();
    assert!(text.contains("event: error\ndata: {") && !text.contains("[DONE]"), "{text}");
    let problem = &parse_events(text)[1];
    assert_eq!(problem["type"], "urn:shallotdrum:problem:target-failed");
    assert_eq!(problem["outcome"], "unknown");
}

/// Guards against a response that is returned as complete although the owner's stream lacks its end
/// frame, has a gap, contains an invalid frame or comes from another adapter.
#[rstest]
#[case::early_end(vec![chunk(0, "one "), Step::Disconnect])]
#[case::gap(vec![chunk(0, "one "), chunk(2, "three"), end(3)])]
#[case::tokens_missing(vec![chunk(0, "one "), end(2)])]
#[case::other_adapter(vec![chunk_of("eve", 0, "one "), end(1)])]
#[case::not_a_frame(vec![Step::Raw("{\"type\":\"chunk\"}\n")])]
#[tokio::test]
async fn completion_invalid_response_is_an_error(#[case] steps: Vec<Step>) {
    let fixture = Fixture::start().await;
    (0..4).for_each(|_| fixture.owner.script(steps.clone()));
    let reply = fixture.complete(json!({})).await;
    assert_eq!((reply.status, reply.problem().1.as_str()), (502, "unknown"), "{}", reply.text());
    assert_eq!(fixture.complete(json!({})).await.status, 200);
}

/// Guards against missing or repeated text when a stream resumes after an interruption.
#[tokio::test]
async fn stream_resumes_at_offset() {
    let fixture = Fixture::start().await;
    fixture.owner.script(vec![chunk(0, "one "), Step::Disconnect]);
    fixture.owner.script(vec![chunk(1, "two"), end(2)]);
    let (reply, is_clean) = fixture.stream(json!({})).await;
    assert!(is_clean && reply.text().ends_with("data: [DONE]\n\n"), "{}", reply.text());
    assert_eq!(streamed_text(reply.text()), "one two");
    let resume = fixture.owner.completions()[1].request.resume.clone().unwrap();
    assert_eq!((resume.offset, resume.text.as_str()), (1, "one "));
    assert_eq!(fixture.metrics.resumes().get(), 1);
}

/// Guards against streams that hang when the owner's session ends but its connection stays open.
#[tokio::test]
async fn stream_resumes_when_session_ends() {
    let fixture = Fixture::start().await;
    let other = FakeOwner::start().await;
    fixture.owner.script(vec![chunk(0, "one "), Step::Hang]);
    other.script(vec![chunk(1, "two"), end(2)]);
    let change_owner = async {
        wait_until("the first attempt", || fixture.owner.active_streams() == 1).await;
        fixture.catalog.set_owner(Some((2, other.addr())));
        fixture.catalog.change(|state| assert!(state.live.remove(&SessionId(1))));
    };
    let ((reply, is_clean), ()) = tokio::join!(fixture.stream(json!({})), change_owner);
    assert!(is_clean);
    assert_eq!(streamed_text(reply.text()), "one two");
}

/// Guards against requests that fail, or waits that are counted as retries, while a group has no
/// owner or its owner is unreachable.
#[rstest]
#[case::unowned(true)]
#[case::owner_unreachable(false)]
#[tokio::test]
async fn completion_waits_for_owner(#[case] is_unowned: bool) {
    let fixture = Fixture::start().await;
    // A port without a listener.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    fixture.catalog.set_owner((!is_unowned).then_some((1, closed)));
    let change_owner = async {
        wait_until("the request", || fixture.metrics.in_flight().get() == 1).await;
        fixture.catalog.set_owner(Some((2, fixture.owner.addr())));
    };
    let (reply, ()) = tokio::join!(fixture.complete(json!({})), change_owner);
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(fixture.metrics.retries().get(), 0);
}

/// Guards against final errors for refusals that another owner or a later attempt can resolve, and
/// against waits for an owner that use up the retry budget.
#[rstest]
#[case::not_owner(RequestErrorKind::NotReady, 0)]
#[case::no_target(RequestErrorKind::NoTarget, 2)]
#[tokio::test]
async fn completion_retries_refusal(#[case] kind: RequestErrorKind, #[case] retries: u64) {
    let fixture = Fixture::start().await;
    fixture.owner.script(vec![Step::Refuse(refusal(kind))]);
    fixture.owner.script(vec![Step::Frame(Frame::Error(refusal(kind)))]);
    assert_eq!(fixture.complete(json!({})).await.status, 200);
    assert_eq!(fixture.metrics.retries().get(), retries);
}

/// Guards against requests that fail while the replicated state still names an owner whose lease
/// has expired, and against attempts without back-off in that time.
#[tokio::test]
async fn completion_waits_past_expired_owner() {
    let fixture = Fixture::start().await;
    let other = FakeOwner::start().await;
    let refused = Step::Frame(Frame::Error(refusal(RequestErrorKind::NotReady)));
    (0..100).for_each(|_| fixture.owner.script(vec![refused.clone()]));
    let started = std::time::Instant::now();
    let change_owner = async {
        wait_until("seven refusals", || fixture.owner.completions().len() >= 7).await;
        fixture.catalog.set_owner(Some((2, other.addr())));
    };
    let (reply, ()) = tokio::join!(fixture.complete(json!({})), change_owner);
    assert_eq!((reply.status, other.completions().len()), (200, 1), "{}", reply.text());
    // Jitter leaves at least half of the back-off of 20 + 40 + 80 + 160 + 320 + 500 ms.
    assert!(started.elapsed() >= Duration::from_millis(560));
}

/// Guards against retries of final refusals, and against a changed error code, outcome or
/// `Retry-After`.
#[rstest]
#[case::overloaded(refusal(RequestErrorKind::Overloaded).retry_after(Duration::from_millis(2100)), "3")]
#[case::no_target_for_long(refusal(RequestErrorKind::NoTarget).retry_after(Duration::from_secs(9)), "9")]
#[tokio::test]
async fn completion_relays_refusal(#[case] error: RequestError, #[case] retry_after: &str) {
    let fixture = Fixture::start().await;
    fixture.owner.script(vec![Step::Refuse(error.clone())]);
    let reply = fixture.complete(json!({})).await;
    assert_eq!(reply.problem(), (error.kind.code().to_owned(), "not-run".to_owned()));
    assert_eq!(reply.header("retry-after"), retry_after);
    assert_eq!(fixture.owner.completions().len(), 1);
}

/// Guards against the outcome "not run" for a refused request that an earlier attempt may have run.
#[tokio::test]
async fn completion_lost_then_refused_is_unknown() {
    let fixture = Fixture::start().await;
    fixture.owner.script(vec![Step::Disconnect]);
    fixture.owner.script(vec![Step::Refuse(refusal(RequestErrorKind::Overloaded))]);
    let reply = fixture.complete(json!({})).await;
    assert_eq!(reply.problem(), ("overloaded".to_owned(), "unknown".to_owned()));
}

/// Guards against retries that multiply the load when every attempt fails.
#[tokio::test]
async fn completion_retry_budget_is_bounded() {
    let fixture = Fixture::start().await;
    let requests: usize = 60;
    (0..requests * 4).for_each(|_| fixture.owner.script(vec![Step::Disconnect]));
    for _ in 0..requests {
        assert_eq!(fixture.complete(json!({})).await.problem().1, "unknown");
    }
    let sent = fixture.owner.completions().len();
    // 3 retries per request would give 240 attempts. The budget allows 100 retries, 0.1 per request
    // and 2 per second.
    assert!(sent < requests * 4 && sent >= requests + 100, "{sent} attempts");
}

/// Guards against requests that continue after their deadline, and against a wrong outcome for
/// them: "not run" is correct only if no owner received the request.
#[rstest]
#[case::no_owner(true, "not-run")]
#[case::owner_silent(false, "unknown")]
#[tokio::test]
async fn completion_deadline(#[case] is_unowned: bool, #[case] outcome: &str) {
    let fixture = Fixture::start().await;
    fixture.owner.script(vec![Step::Hang]);
    if is_unowned {
        fixture.catalog.set_owner(None);
    }
    let headers = [("x-request-deadline-ms", "200")];
    let reply =
        fixture.call("POST", "/v1/completions", &headers, completion_body(&json!({}))).await;
    assert_eq!(reply.problem(), ("deadline-exceeded".to_owned(), outcome.to_owned()));
}

/// Guards against requests that continue at the owner after their caller has disconnected.
#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
#[tokio::test]
async fn completion_caller_disconnect_cancels(#[case] is_streamed: bool) {
    let fixture = Fixture::start().await;
    fixture.owner.script(vec![chunk(0, "one "), Step::Hang]);
    let call = fixture.send(
        "POST",
        "/v1/completions",
        &[],
        completion_body(&json!({"stream": is_streamed})),
    );
    let forwarded = wait_until("the forwarded request", || fixture.owner.active_streams() == 1);
    if is_streamed {
        let res = call.await;
        forwarded.await;
        drop(res);
    } else {
        tokio::select! {
            _ = call => panic!("the response must not complete"),
            () = forwarded => {}
        }
    }
    wait_until("the cancellation", || fixture.owner.active_streams() == 0).await;
    assert_eq!(fixture.metrics.in_flight().get(), 0);
}

/// Guards against quarantined requests that reach an owner.
#[tokio::test]
async fn completion_quarantined_is_refused() {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.complete(json!({"seed": 1})).await.status, 200);
    let call = fixture.owner.completions().remove(0);
    let fingerprint = shallotdrum_entry::fingerprint(&call.subscriber, &call.request);
    fixture.catalog.change(|state| assert!(state.quarantined.insert(fingerprint)));
    let reply = fixture.complete(json!({"seed": 1})).await;
    assert_eq!(reply.problem(), ("quarantined".to_owned(), "not-run".to_owned()));
    assert_eq!(fixture.complete(json!({"seed": 2})).await.status, 200);
    assert_eq!(fixture.owner.completions().len(), 2);
}

/// Guards against requests for one adapter that are spread over several groups, and against use of
/// another region while the own region has a group.
#[tokio::test]
async fn completion_keeps_adapter_in_one_group() {
    let fixture = Fixture::start().await;
    fixture.catalog.change(|state| {
        let owner = state.groups[0].1;
        for id in ["engines/north/1", "engines/north/2", "engines/south/0"] {
            state.groups.push((id.parse().unwrap(), owner));
        }
    });
    for _ in 0..8 {
        assert_eq!(fixture.complete(json!({})).await.status, 200);
    }
    let calls = fixture.owner.completions();
    assert!(calls.iter().all(|call| call.group == calls[0].group));
    assert_eq!(calls[0].group.region.as_str(), "north");
    fixture.catalog.change(|state| state.groups.retain(|(id, _)| id.region.as_str() == "south"));
    assert_eq!(fixture.complete(json!({})).await.status, 200);
    assert_eq!(fixture.owner.completions()[8].group.region.as_str(), "south");
}

/// Guards against a graceful shutdown that interrupts requests in progress, and against one that
/// never ends because of connections without a complete request.
#[tokio::test]
async fn drain_finishes_requests() {
    let fixture = Fixture::with(|cfg| cfg.limits.idle_timeout_ms = 200).await;
    // Connections without a complete request must not delay the shutdown.
    let silent = TcpStream::connect(fixture.entry.local_addr()).await.unwrap();
    let mut partial = TcpStream::connect(fixture.entry.local_addr()).await.unwrap();
    partial.write_all(b"GET /healthz HTTP/1.1\r\nhost:").await.unwrap();
    wait_until("the connections", || fixture.metrics.connections().get() == 2).await;
    fixture.catalog.set_owner(None);
    let shutdown = async {
        wait_until("the request", || fixture.metrics.in_flight().get() == 1).await;
        fixture.entry.begin_drain();
        let addr = fixture.entry.local_addr();
        wait_until("the listener to close", || std::net::TcpStream::connect(addr).is_err()).await;
        wait_until("the other connections to close", || fixture.metrics.connections().get() == 1)
            .await;
        fixture.catalog.set_owner(Some((1, fixture.owner.addr())));
        fixture.entry.closed().await;
    };
    let (reply, ()) = tokio::join!(fixture.complete(json!({})), shutdown);
    assert_eq!(reply.status, 200, "{}", reply.text());
    drop((silent, partial));
}

/// What a request waits for when the instance stops.
#[derive(Clone, Copy, Debug)]
enum WaitsFor {
    /// An owner of its group.
    Owner,
    /// The first reply of the owner.
    Reply,
    /// A further part of the response.
    Rest,
}

/// Guards against requests that outlast a stop, and against a false "not run" for them.
#[rstest]
#[case::owner(WaitsFor::Owner, "not-run")]
#[case::reply(WaitsFor::Reply, "unknown")]
#[case::rest(WaitsFor::Rest, "unknown")]
#[tokio::test]
async fn stop_ends_waits(
    #[case] waits_for: WaitsFor,
    #[case] outcome: &str,
    #[values(false, true)] is_sent_before: bool,
) {
    const STOP_TIMEOUT: Duration = Duration::from_millis(1_500);
    let fixture = Fixture::with(|cfg| {
        cfg.stop_timeout = STOP_TIMEOUT;
        cfg.drain_delay = STOP_TIMEOUT / 2;
    })
    .await;
    match waits_for {
        WaitsFor::Owner => fixture.catalog.set_owner(None),
        WaitsFor::Reply => fixture.owner.script(vec![Step::Hang]),
        WaitsFor::Rest => fixture.owner.script(vec![chunk(0, "one "), Step::Hang]),
    }
    if !is_sent_before {
        fixture.entry.begin_drain();
    }
    let stop = async {
        wait_until("the request", || fixture.metrics.in_flight().get() == 1).await;
        fixture.entry.begin_drain();
    };
    let (reply, ()) = tokio::join!(fixture.complete(json!({})), stop);
    let expected = ("not-ready".to_owned(), outcome.to_owned());
    assert_eq!((reply.status, reply.problem()), (503, expected), "{}", reply.text());
    assert_eq!(reply.header("retry-after"), "1");
    let left = fixture.owner.completions().first().map(|call| call.request.deadline_ms);
    let is_bounded = left.is_none_or(|left| left < STOP_TIMEOUT.as_millis() as u64);
    assert!(is_sent_before || is_bounded, "the owner has {left:?} ms");
    tokio::time::timeout(STOP_TIMEOUT, fixture.entry.closed()).await.unwrap();
}

/// Guards against streams that end without an error event when the instance stops.
#[tokio::test]
async fn stop_ends_stream_with_error_event() {
    let fixture = Fixture::with(|cfg| cfg.stop_timeout = Duration::from_secs(1)).await;
    fixture.owner.script(vec![chunk(0, "one "), Step::Hang]);
    let stop = async {
        wait_until("the stream", || fixture.owner.active_streams() == 1).await;
        fixture.entry.begin_drain();
        fixture.entry.closed().await;
    };
    let ((reply, is_clean), ()) = tokio::join!(fixture.stream(json!({})), stop);
    assert!(!is_clean, "the stream looks complete");
    assert!(reply.text().contains("urn:shallotdrum:problem:not-ready"), "{}", reply.text());
    assert!(reply.text().contains(r#""outcome":"unknown""#), "{}", reply.text());
}

/// Guards against callers that stop reading and thereby hold their connection and the owner's
/// stream open.
#[tokio::test]
async fn stream_stalled_caller_is_disconnected() {
    let fixture = Fixture::with(|cfg| cfg.limits.idle_timeout_ms = 200).await;
    // Exceeds the socket buffers of both sides.
    let text = "x".repeat(256 * 1024);
    fixture.owner.script((0..256).map(|offset| chunk(offset, &text)).collect());
    let mut caller = TcpStream::connect(fixture.entry.local_addr()).await.unwrap();
    let body = completion_body(&json!({"stream": true}));
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer clinic-key\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    caller.write_all(&[head.as_bytes(), &body].concat()).await.unwrap();
    wait_until("the stream", || fixture.owner.active_streams() == 1).await;
    wait_until("the stream to close", || fixture.owner.active_streams() == 0).await;
    wait_until("the connection to close", || fixture.metrics.connections().get() == 0).await;
}

/// Guards against a popular adapter that overloads its group while another group is idle.
#[tokio::test]
async fn completion_overload_goes_to_second_group() {
    let fixture = Fixture::start().await;
    fixture.catalog.change(|state| {
        let owner = state.groups[0].1;
        state.groups.push(("engines/north/1".parse().unwrap(), owner));
    });
    let requests = 40;
    (0..requests).for_each(|_| fixture.owner.script(vec![chunk(0, "one "), Step::Hang]));
    let calls = (0..requests).map(|_| fixture.complete(json!({})));
    let calls = futures_util::future::join_all(calls);
    tokio::select! {
        _ = calls => panic!("the responses must not complete"),
        () = wait_until("all requests", || fixture.owner.completions().len() == requests) => {}
    }
    let sent = fixture.owner.completions();
    let first = sent.iter().filter(|call| call.group.shard == sent[0].group.shard).count();
    // The first 16 requests go to one group; above that, the load bound applies.
    assert!((16..=30).contains(&first), "{first} of {requests} in the first group");
}
