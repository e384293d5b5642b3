//! Tests which events `CompletionStream` delivers, reorders, drops and rejects.

mod support;

use std::time::Duration;

use rstest::rstest;
use shallotdrum_engine::{
    Chunk, CompletionRequest, End, EngineEvent, FinishReason, MAX_BUFFERED_CHUNKS, MAX_LINE_BYTES,
    Resume, StreamError, Usage,
};
use shallotdrum_types::Tokens;
use support::{ScriptedServer, Step, adapter, client, request};

fn line(event: &EngineEvent) -> String {
    format!("data: {}\n\n", serde_json::to_string(event).unwrap())
}

fn chunk_event(request: &str, version: &str, offset: u64, tokens: u64, text: &str) -> String {
    line(&EngineEvent::Chunk(Chunk {
        request: request.parse().unwrap(),
        adapter: adapter(version),
        offset,
        tokens,
        text: text.to_owned(),
    }))
}

/// One-token chunk of request `r` at an offset.
fn chunk(offset: u64) -> String {
    chunk_event("r", "1", offset, 1, &format!("t{offset}"))
}

fn end_event(request: &str, version: &str, completion_tokens: u64) -> String {
    let prompt_tokens = Tokens(2);
    let completion_tokens = Tokens(completion_tokens);
    line(&EngineEvent::End(End {
        request: request.parse().unwrap(),
        adapter: adapter(version),
        finish_reason: FinishReason::Length,
        usage: Usage { prompt_tokens, completion_tokens },
    }))
}

fn end(completion_tokens: u64) -> String {
    end_event("r", "1", completion_tokens)
}

/// Sends the events and returns a summary of the stream's output, such as `0 1 end` or `0 Gap`.
async fn deliver(req: &CompletionRequest, events: &[String]) -> String {
    let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
    let body = events.concat();
    let server = ScriptedServer::start(vec![Step::RespondAndClose(format!("{head}{body}"))]).await;
    let mut stream = client().generate(server.addr, req).await.unwrap();
    let mut delivered = Vec::new();
    while let Some(event) = stream.next().await {
        delivered.push(match event {
            Ok(EngineEvent::Chunk(chunk)) => {
                assert_eq!(chunk.text, format!("t{}", chunk.offset), "text of another chunk");
                chunk.offset.to_string()
            }
            Ok(EngineEvent::End(_)) => "end".to_owned(),
            Err(StreamError::Incomplete { delivered_tokens, .. }) => {
                assert_eq!(delivered_tokens, stream.delivered_tokens());
                format!("Incomplete({delivered_tokens})")
            }
            Err(e) => format!("{e:?}").split([' ', '{']).next().unwrap().to_owned(),
        });
    }
    delivered.join(" ")
}

/// Guards against text that is delivered twice, out of order, or from another request or version,
/// and against completions that are reported as complete although a part is missing.
#[rstest]
#[case::complete("0 1 2 end", &[chunk(0), chunk(1), chunk(2), end(3)])]
#[case::empty("end", &[end(0)])]
#[case::nothing_after_end("0 end", &[chunk(0), end(1), chunk(1), end(2)])]
#[case::foreign_chunk_dropped("0 end", &[chunk_event("x", "1", 0, 1, "x"), chunk(0), end(1)])]
#[case::foreign_end_dropped("0 1 end", &[chunk(0), end_event("x", "1", 1), chunk(1), end(2)])]
#[case::wrong_version("0 WrongAdapter", &[chunk(0), chunk_event("r", "2", 1, 1, "t1"), end(2)])]
#[case::wrong_version_end("0 WrongAdapter", &[chunk(0), end_event("r", "2", 1)])]
#[case::duplicate("0 1 end", &[chunk(0), chunk(0), chunk(1), chunk(0), end(2)])]
#[case::duplicate_of_buffered("0 1 2 end", &[chunk(0), chunk(2), chunk(2), chunk(1), end(3)])]
#[case::changed_duplicate("0 Conflict", &[chunk(0), chunk_event("r", "1", 0, 1, "other")])]
#[case::changed_buffered("0 Conflict", &[chunk(0), chunk(2), chunk_event("r", "1", 2, 1, "other")])]
#[case::overlap("0 1 Conflict", &[chunk(0), chunk(2), chunk_event("r", "1", 1, 2, "t1"), end(3)])]
#[case::reordered("0 1 2 end", &[chunk(1), chunk(0), chunk(2), end(3)])]
#[case::end_before_chunk("0 1 end", &[chunk(0), end(2), chunk(1)])]
#[case::gap("0 Incomplete(1)", &[chunk(0), chunk(2), end(3)])]
#[case::missing_end("0 1 Incomplete(2)", &[chunk(0), chunk(1)])]
#[case::nothing("Incomplete(0)", &[])]
#[case::end_too_low("0 1 UsageMismatch", &[chunk(0), chunk(1), end(1)])]
#[case::end_below_buffered("0 UsageMismatch", &[chunk(0), chunk(2), end(1)])]
#[case::end_too_high("0 Incomplete(1)", &[chunk(0), end(2)])]
#[case::two_ends("0 Malformed", &[chunk(0), end(2), end(3)])]
#[case::no_token("Malformed", &[chunk_event("r", "1", 0, 0, "t0")])]
#[case::beyond_max_tokens("Malformed", &[chunk_event("r", "1", 0, 101, "t0")])]
#[case::offset_overflow("Malformed", &[chunk_event("r", "1", u64::MAX, 2, "t0")])]
#[case::no_json("0 Malformed", &[chunk(0), "data: {\n\n".to_owned()])]
#[case::head_in_the_middle("0 1 end", &[chunk(0), "HTTP/1.1 503 Busy\r\nX: y\r\n\r\n".to_owned(), chunk(1), end(2)])]
#[case::text_in_the_middle("0 Incomplete(1)", &[chunk(0), "engine crashed\n\n".to_owned()])]
#[case::text_in_an_event("0 Malformed", &[chunk(0), chunk(1)[..40].to_owned(), "crashed\n\n".to_owned(), end(2)])]
#[case::other_lines("0 end", &[": comment\r\nevent: x\r\n\r\n".to_owned(), chunk(0), end(1)])]
#[case::crlf("0 end", &[chunk(0).replace('\n', "\r\n"), end(1)])]
#[case::long_line("0 LineTooLong", &[chunk(0), "x".repeat(MAX_LINE_BYTES + 1), "\n".to_owned()])]
#[case::longest_line("0 end", &["x".repeat(MAX_LINE_BYTES), "\n".to_owned(), chunk(0), end(1)])]
#[tokio::test]
async fn deliver_events(#[case] expected: &str, #[case] events: &[String]) {
    assert_eq!(deliver(&request(), events).await, expected);
}

/// Guards against unbounded buffering of chunks that follow a missing one.
#[tokio::test]
async fn deliver_gap_beyond_buffer_is_an_error() {
    let last = MAX_BUFFERED_CHUNKS as u64 + 1;
    let mut events: Vec<_> = (1..last).map(chunk).collect();
    events.push(chunk(0));
    let offsets: Vec<_> = (0..last).map(|offset| offset.to_string()).collect();
    let expected = format!("{} Incomplete({last})", offsets.join(" "));
    assert_eq!(deliver(&request(), &events).await, expected);
    let events: Vec<_> = (1..=last).map(chunk).collect();
    assert_eq!(deliver(&request(), &events).await, "Gap");
}

/// Guards against a resumed completion that repeats or skips text.
#[rstest]
#[case::from_offset("2 3 end", &[chunk(2), chunk(3), end(4)])]
#[case::from_start("Conflict", &[chunk(0), chunk(1), chunk(2)])]
#[case::skipping("Incomplete(2)", &[chunk(3), end(4)])]
#[case::usage_of_rest_only("2 3 UsageMismatch", &[chunk(2), chunk(3), end(2)])]
#[tokio::test]
async fn deliver_resumed(#[case] expected: &str, #[case] events: &[String]) {
    let mut req = request();
    req.resume = Some(Resume { offset: 2, text: "t0t1".to_owned() });
    assert_eq!(deliver(&req, events).await, expected);
}

/// Guards against a truncated body that is reported as a complete response.
#[tokio::test]
async fn deliver_truncated_body_is_incomplete() {
    let body = [chunk(0), chunk(1)].concat();
    let length = body.len() + 100;
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    let server = ScriptedServer::start(vec![Step::RespondAndClose(response)]).await;
    let mut stream = client().generate(server.addr, &request()).await.unwrap();
    assert!(matches!(stream.next().await, Some(Ok(EngineEvent::Chunk(_)))));
    assert!(matches!(stream.next().await, Some(Ok(EngineEvent::Chunk(_)))));
    let error = stream.next().await;
    let expected = Some(Err(2));
    let error = error.map(|event| match event {
        Err(StreamError::Incomplete { delivered_tokens, .. }) => Err(delivered_tokens),
        other => Ok(format!("{other:?}")),
    });
    assert_eq!(error, expected);
    assert!(stream.next().await.is_none(), "the stream must end after an error");
}

/// Guards against events of other requests that aren't counted, or that reset the idle timeout.
#[tokio::test]
async fn deliver_silent_response_is_idle() {
    let foreign = chunk_event("x", "1", 0, 1, "x");
    let response = format!("HTTP/1.1 200 OK\r\n\r\n{}{foreign}", chunk(0));
    let server = ScriptedServer::start(vec![Step::RespondAndWait(response)]).await;
    let mut stream = client().generate(server.addr, &request()).await.unwrap();
    assert!(matches!(stream.next().await, Some(Ok(EngineEvent::Chunk(_)))));
    stream.set_idle_timeout(Duration::from_millis(50));
    let idle = stream.next().await;
    assert_eq!(idle, Some(Err(StreamError::Idle { delivered_tokens: 1, idle_ms: 50 })));
    assert_eq!(stream.foreign_events(), 1);
}
