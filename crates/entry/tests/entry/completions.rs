//! Model requests: whole and streamed answers, retries and resumes.

use std::time::Duration;

use crate::common::{Bench, FakeOwner, Step, body, chunk, chunk_of, end, until};
use rstest::rstest;
use serde_json::{Value, json};
use shallotdrum_owner::Frame;
use shallotdrum_types::{GroupId, RequestError, RequestErrorKind, SessionId};
use tokio::{io::AsyncWriteExt, net::TcpStream};

fn events(text: &str) -> Vec<Value> {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter(|data| *data != "[DONE]").map(|data| serde_json::from_str(data).unwrap()).collect()
}

fn streamed_text(text: &str) -> String {
    let parts = events(text);
    parts.iter().filter_map(|event| event["choices"][0]["text"].as_str()).collect()
}

fn refusal(kind: RequestErrorKind) -> RequestError {
    RequestError::not_run(kind, "by script")
}

/// Guards against answers that lack a part, the resolved model or the usage.
#[tokio::test]
async fn completion_whole_answer() {
    let bench = Bench::start().await;
    let reply = bench.complete(json!({"user": "u", "top_p": 0.5, "later_field": {}})).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let json = reply.json();
    assert_eq!(json["choices"][0]["text"], "one two");
    assert_eq!(json["choices"][0]["finish_reason"], "stop");
    assert_eq!(json["usage"]["total_tokens"], 7);
    assert_eq!(json["model"], "base/ada@v7");
    assert_eq!(reply.header("x-shallotdrum-model"), "base/ada@v7");
    assert_eq!(reply.header("x-shallotdrum-outcome"), "answered");
    let call = &bench.owner.completions()[0];
    assert_eq!(call.group, "engines/north/0".parse::<GroupId>().unwrap());
    assert_eq!((call.subscriber.as_str(), call.request.prompt.as_str()), ("clinic", "Hello"));
}

/// Guards against chat messages that are rendered in another form than documented.
#[tokio::test]
async fn chat_whole_answer() {
    let bench = Bench::start().await;
    let messages = json!([
        {"role": "system", "content": "Be brief."},
        {"role": "user", "content": [{"type": "text", "text": "Hi"}]},
    ]);
    let req = json!({"model": "base/ada@v3", "messages": messages, "max_completion_tokens": 3});
    let reply = bench.call("POST", "/v1/chat/completions", &[], req.to_string()).await;
    assert_eq!(reply.json()["choices"][0]["message"]["content"], "one two");
    let call = &bench.owner.completions()[0].request;
    assert_eq!(call.prompt, "<|system|>\nBe brief.\n<|user|>\nHi\n<|assistant|>\n");
    assert_eq!((call.adapter.version.as_str(), call.max_tokens), ("v3", 3));
}

/// Guards against broken framing, a missing `[DONE]` and missing usage in streams.
#[tokio::test]
async fn stream_framing() {
    let bench = Bench::start().await;
    let (reply, is_clean) = bench.stream(json!({"stream_options": {"include_usage": true}})).await;
    assert!(is_clean);
    assert_eq!(reply.header("content-type"), "text/event-stream");
    let text = reply.text();
    assert!(text.ends_with("\n\ndata: [DONE]\n\n"), "{text}");
    assert!(text.split_terminator("\n\n").all(|event| event.starts_with("data: ")));
    assert_eq!(streamed_text(text), "one two");
    let events = events(text);
    assert_eq!(events[2]["choices"][0]["finish_reason"], "stop");
    assert_eq!(events[3]["usage"]["completion_tokens"], 2);
    assert_eq!(events[3]["choices"], json!([]));
}

/// Guards against chat streams without role, finish reason or `[DONE]`.
#[tokio::test]
async fn chat_stream_framing() {
    let bench = Bench::start().await;
    let messages = json!([{"role": "user", "content": "Hi"}]);
    let req = json!({"model": "base/ada", "messages": messages, "stream": true}).to_string();
    let reply = bench.call("POST", "/v1/chat/completions", &[], req).await;
    assert!(reply.text().ends_with("data: [DONE]\n\n"), "{}", reply.text());
    let choices: Vec<Value> =
        events(reply.text()).iter().map(|event| event["choices"][0].clone()).collect();
    assert_eq!(choices[0]["delta"], json!({"role": "assistant", "content": "one "}));
    assert_eq!(choices[1]["delta"], json!({"content": "two"}));
    assert_eq!((&choices[2]["delta"], &choices[2]["finish_reason"]), (&json!({}), &json!("stop")));
}

/// Guards against a short stream that looks whole: no `[DONE]`, and the connection breaks.
#[tokio::test]
async fn stream_failure_ends_without_done() {
    let bench = Bench::start().await;
    let error = RequestError::unknown(RequestErrorKind::TargetFailed, "by script");
    bench.owner.script(vec![chunk(0, "one "), Step::Frame(Frame::Error(error))]);
    let (reply, is_clean) = bench.stream(json!({})).await;
    assert!(!is_clean, "the body must not end regularly");
    let text = reply.text();
    assert!(text.contains("event: error\ndata: {") && !text.contains("[DONE]"), "{text}");
    let problem = &events(text)[1];
    assert_eq!(problem["type"], "urn:shallotdrum:problem:target-failed");
    assert_eq!(problem["outcome"], "unknown");
}

/// Guards against whole answers sent without `End`, with a gap, or of another adapter.
#[rstest]
#[case::early_end(vec![chunk(0, "one "), Step::Break])]
#[case::gap(vec![chunk(0, "one "), chunk(2, "three"), end(3)])]
#[case::tokens_missing(vec![chunk(0, "one "), end(2)])]
#[case::other_adapter(vec![chunk_of("eve", 0, "one "), end(1)])]
#[case::not_a_frame(vec![Step::Raw("{\"type\":\"chunk\"}\n")])]
#[tokio::test]
async fn completion_broken_answer_is_not_whole(#[case] steps: Vec<Step>) {
    let bench = Bench::start().await;
    (0..4).for_each(|_| bench.owner.script(steps.clone()));
    let reply = bench.complete(json!({})).await;
    assert_eq!((reply.status, reply.problem().1.as_str()), (502, "unknown"), "{}", reply.text());
    assert_eq!(bench.complete(json!({})).await.status, 200);
}

/// Guards against gaps or repeated text after an interruption.
#[tokio::test]
async fn stream_resumes_at_offset() {
    let bench = Bench::start().await;
    bench.owner.script(vec![chunk(0, "one "), Step::Break]);
    bench.owner.script(vec![chunk(1, "two"), end(2)]);
    let (reply, is_clean) = bench.stream(json!({})).await;
    assert!(is_clean && reply.text().ends_with("data: [DONE]\n\n"), "{}", reply.text());
    assert_eq!(streamed_text(reply.text()), "one two");
    let resume = bench.owner.completions()[1].request.resume.clone().unwrap();
    assert_eq!((resume.offset, resume.text.as_str()), (1, "one "));
    assert_eq!(bench.metrics.resumes().get(), 1);
}

/// Guards against streams that hang when the owner's session ends without closing them.
#[tokio::test]
async fn stream_resumes_when_session_ends() {
    let bench = Bench::start().await;
    let other = FakeOwner::start().await;
    bench.owner.script(vec![chunk(0, "one "), Step::Hang]);
    other.script(vec![chunk(1, "two"), end(2)]);
    let change = async {
        until("the first forward", || bench.owner.open() == 1).await;
        bench.catalog.set_owner(Some((2, other.addr())));
        bench.catalog.change(|state| assert!(state.live.remove(&SessionId(1))));
    };
    let ((reply, is_clean), ()) = tokio::join!(bench.stream(json!({})), change);
    assert!(is_clean);
    assert_eq!(streamed_text(reply.text()), "one two");
}

/// Guards against requests that fail, or are charged as retries, while a group has no owner.
#[rstest]
#[case::unowned(true)]
#[case::owner_unreachable(false)]
#[tokio::test]
async fn completion_waits_for_owner(#[case] is_unowned: bool) {
    let bench = Bench::start().await;
    // A port that nothing listens on.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    bench.catalog.set_owner((!is_unowned).then_some((1, closed)));
    let change = async {
        until("the request", || bench.metrics.in_flight().get() == 1).await;
        bench.catalog.set_owner(Some((2, bench.owner.addr())));
    };
    let (reply, ()) = tokio::join!(bench.complete(json!({})), change);
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(bench.metrics.retries().get(), 0);
}

/// Guards against final errors for refusals that another owner or a later try resolves, and
/// against waits for an owner that use up the retry budget.
#[rstest]
#[case::not_owner(RequestErrorKind::NotReady, 0)]
#[case::no_target(RequestErrorKind::NoTarget, 2)]
#[tokio::test]
async fn completion_retries_refusal(#[case] kind: RequestErrorKind, #[case] retries: u64) {
    let bench = Bench::start().await;
    bench.owner.script(vec![Step::Refuse(refusal(kind))]);
    bench.owner.script(vec![Step::Frame(Frame::Error(refusal(kind)))]);
    assert_eq!(bench.complete(json!({})).await.status, 200);
    assert_eq!(bench.metrics.retries().get(), retries);
}

/// Guards against requests that give up while an expired owner is still listed, and against
/// forwards that follow each other without back-off.
#[tokio::test]
async fn completion_outlasts_expired_owner() {
    let bench = Bench::start().await;
    let other = FakeOwner::start().await;
    let refused = Step::Frame(Frame::Error(refusal(RequestErrorKind::NotReady)));
    (0..100).for_each(|_| bench.owner.script(vec![refused.clone()]));
    let started = std::time::Instant::now();
    let change = async {
        until("seven refusals", || bench.owner.completions().len() >= 7).await;
        bench.catalog.set_owner(Some((2, other.addr())));
    };
    let (reply, ()) = tokio::join!(bench.complete(json!({})), change);
    assert_eq!((reply.status, other.completions().len()), (200, 1), "{}", reply.text());
    // At least half of 20 + 40 + 80 + 160 + 320 + 500 ms.
    assert!(started.elapsed() >= Duration::from_millis(560));
}

/// Guards against retries of final refusals, and against changed outcomes and delays.
#[rstest]
#[case::overloaded(refusal(RequestErrorKind::Overloaded).retry_after(Duration::from_millis(2100)), "3")]
#[case::no_target_for_long(refusal(RequestErrorKind::NoTarget).retry_after(Duration::from_secs(9)), "9")]
#[tokio::test]
async fn completion_passes_refusal_on(#[case] error: RequestError, #[case] retry_after: &str) {
    let bench = Bench::start().await;
    bench.owner.script(vec![Step::Refuse(error.clone())]);
    let reply = bench.complete(json!({})).await;
    assert_eq!(reply.problem(), (error.kind.code().to_owned(), "not-run".to_owned()));
    assert_eq!(reply.header("retry-after"), retry_after);
    assert_eq!(bench.owner.completions().len(), 1);
}

/// Guards against "not run" for a request that an earlier forward may have run.
#[tokio::test]
async fn completion_lost_then_refused_is_unknown() {
    let bench = Bench::start().await;
    bench.owner.script(vec![Step::Break]);
    bench.owner.script(vec![Step::Refuse(refusal(RequestErrorKind::Overloaded))]);
    let reply = bench.complete(json!({})).await;
    assert_eq!(reply.problem(), ("overloaded".to_owned(), "unknown".to_owned()));
}

/// Guards against retries that multiply the load when every forward fails.
#[tokio::test]
async fn completion_retry_budget_is_bounded() {
    let bench = Bench::start().await;
    let requests: usize = 60;
    (0..requests * 4).for_each(|_| bench.owner.script(vec![Step::Break]));
    for _ in 0..requests {
        assert_eq!(bench.complete(json!({})).await.problem().1, "unknown");
    }
    let sent = bench.owner.completions().len();
    // 3 retries each would make 240; the budget is 100, a tenth of the requests and 2 a second.
    assert!(sent < requests * 4 && sent >= requests + 100, "{sent} forwards");
}

/// Guards against requests held after their deadline, and against a wrong outcome for them.
#[rstest]
#[case::no_owner(true, "not-run")]
#[case::owner_silent(false, "unknown")]
#[tokio::test]
async fn completion_deadline(#[case] is_unowned: bool, #[case] outcome: &str) {
    let bench = Bench::start().await;
    bench.owner.script(vec![Step::Hang]);
    if is_unowned {
        bench.catalog.set_owner(None);
    }
    let headers = [("x-request-deadline-ms", "200")];
    let reply = bench.call("POST", "/v1/completions", &headers, body(&json!({}))).await;
    assert_eq!(reply.problem(), ("deadline-exceeded".to_owned(), outcome.to_owned()));
}

/// Guards against work that goes on at the owner after its caller has gone.
#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
#[tokio::test]
async fn completion_caller_gone_cancels(#[case] is_streamed: bool) {
    let bench = Bench::start().await;
    bench.owner.script(vec![chunk(0, "one "), Step::Hang]);
    let call = bench.send("POST", "/v1/completions", &[], body(&json!({"stream": is_streamed})));
    let forwarded = until("the forward", || bench.owner.open() == 1);
    if is_streamed {
        let res = call.await;
        forwarded.await;
        drop(res);
    } else {
        tokio::select! {
            _ = call => panic!("the answer is not whole"),
            () = forwarded => {}
        }
    }
    until("the cancellation", || bench.owner.open() == 0).await;
    assert_eq!(bench.metrics.in_flight().get(), 0);
}

/// Guards against quarantined requests that reach an owner.
#[tokio::test]
async fn completion_quarantined_is_refused() {
    let bench = Bench::start().await;
    assert_eq!(bench.complete(json!({"seed": 1})).await.status, 200);
    let call = bench.owner.completions().remove(0);
    let fingerprint = shallotdrum_entry::fingerprint(&call.subscriber, &call.request);
    bench.catalog.change(|state| assert!(state.quarantined.insert(fingerprint)));
    let reply = bench.complete(json!({"seed": 1})).await;
    assert_eq!(reply.problem(), ("quarantined".to_owned(), "not-run".to_owned()));
    assert_eq!(bench.complete(json!({"seed": 2})).await.status, 200);
    assert_eq!(bench.owner.completions().len(), 2);
}

/// Guards against an adapter that is spread over all groups, and against use of other regions.
#[tokio::test]
async fn completion_keeps_adapter_in_one_group() {
    let bench = Bench::start().await;
    bench.catalog.change(|state| {
        let owner = state.groups[0].1;
        for id in ["engines/north/1", "engines/north/2", "engines/south/0"] {
            state.groups.push((id.parse().unwrap(), owner));
        }
    });
    for _ in 0..8 {
        assert_eq!(bench.complete(json!({})).await.status, 200);
    }
    let calls = bench.owner.completions();
    assert!(calls.iter().all(|call| call.group == calls[0].group));
    assert_eq!(calls[0].group.region.as_str(), "north");
    bench.catalog.change(|state| state.groups.retain(|(id, _)| id.region.as_str() == "south"));
    assert_eq!(bench.complete(json!({})).await.status, 200);
    assert_eq!(bench.owner.completions()[8].group.region.as_str(), "south");
}

/// Guards against requests in progress that a planned stop interrupts, and a stop that never ends.
#[tokio::test]
async fn drain_finishes_requests() {
    let bench = Bench::with(|cfg| cfg.limits.idle_timeout_ms = 200).await;
    // Connections without a whole request must not hold up the stop.
    let silent = TcpStream::connect(bench.entry.local_addr()).await.unwrap();
    let mut half = TcpStream::connect(bench.entry.local_addr()).await.unwrap();
    half.write_all(b"GET /healthz HTTP/1.1\r\nhost:").await.unwrap();
    until("the connections", || bench.metrics.connections().get() == 2).await;
    bench.catalog.set_owner(None);
    let stop = async {
        until("the request", || bench.metrics.in_flight().get() == 1).await;
        bench.entry.begin_drain();
        let addr = bench.entry.local_addr();
        until("the closed listener", || std::net::TcpStream::connect(addr).is_err()).await;
        until("the request's connection alone", || bench.metrics.connections().get() == 1).await;
        bench.catalog.set_owner(Some((1, bench.owner.addr())));
        bench.entry.closed().await;
    };
    let (reply, ()) = tokio::join!(bench.complete(json!({})), stop);
    assert_eq!(reply.status, 200, "{}", reply.text());
    drop((silent, half));
}

/// Guards against callers that read nothing and so hold a connection and the owner's stream.
#[tokio::test]
async fn stream_stalled_caller_is_closed() {
    let bench = Bench::with(|cfg| cfg.limits.idle_timeout_ms = 200).await;
    // More text than the socket buffers of both sides hold.
    let text = "x".repeat(256 * 1024);
    bench.owner.script((0..256).map(|offset| chunk(offset, &text)).collect());
    let mut caller = TcpStream::connect(bench.entry.local_addr()).await.unwrap();
    let body = body(&json!({"stream": true}));
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer clinic-key\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    caller.write_all(&[head.as_bytes(), &body].concat()).await.unwrap();
    until("the stream", || bench.owner.open() == 1).await;
    until("the closed stream", || bench.owner.open() == 0).await;
    until("the closed connection", || bench.metrics.connections().get() == 0).await;
}

/// Guards against a popular adapter that overloads its group while another has nothing to do.
#[tokio::test]
async fn completion_second_choice_takes_overload() {
    let bench = Bench::start().await;
    bench.catalog.change(|state| {
        let owner = state.groups[0].1;
        state.groups.push(("engines/north/1".parse().unwrap(), owner));
    });
    let requests = 40;
    (0..requests).for_each(|_| bench.owner.script(vec![chunk(0, "one "), Step::Hang]));
    let calls = (0..requests).map(|_| bench.complete(json!({})));
    let calls = futures_util::future::join_all(calls);
    tokio::select! {
        _ = calls => panic!("the answers are not whole"),
        () = until("all forwards", || bench.owner.completions().len() == requests) => {}
    }
    let sent = bench.owner.completions();
    let first = sent.iter().filter(|call| call.group.shard == sent[0].group.shard).count();
    // The first 16 requests stay together; after that the load is shared within the bound.
    assert!((16..=30).contains(&first), "{first} of {requests} in the first group");
}
