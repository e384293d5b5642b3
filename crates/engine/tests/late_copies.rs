//! Tests that a response written once more, late, is not taken as the response to a later request on
//! the connection.

mod support;

use http::{Request, StatusCode};
use http_body_util::BodyExt;
use rstest::rstest;
use shallotdrum_engine::{
    CallError, EngineClient, EngineEvent, NOT_RUN_HEADER, Order, OrderError, OrderRefusal,
    OrderRequest, REQUEST_ID_HEADER, full_body,
};
use shallotdrum_types::Epoch;
use support::{LateCopies, WAIT_LIMIT, client, request, response};

/// Response of a service with additional header lines.
fn service_response(status: &str, headers: &[(&str, &str)], body: &str) -> String {
    let lines: String =
        headers.iter().map(|(name, value)| format!("\r\n{name}: {value}")).collect();
    response(status, body).replacen("\r\n", &format!("{lines}\r\n"), 1)
}

fn answer(id: &str, body: &str) -> String {
    service_response("200 OK", &[(REQUEST_ID_HEADER, id)], body)
}

fn refusal(id: &str) -> String {
    let headers = [(REQUEST_ID_HEADER, id), (NOT_RUN_HEADER, "1")];
    service_response("503 Service Unavailable", &headers, "refused")
}

/// Calls with a request id and returns the body, or the name of the error.
async fn call(client: &EngineClient, server: &LateCopies, id: &str) -> String {
    let req = Request::get("/look").header(REQUEST_ID_HEADER, id).body(full_body("")).unwrap();
    match client.call(server.addr, req).await {
        Ok(res) => {
            let body = res.into_body().collect().await.unwrap().to_bytes();
            String::from_utf8(body.to_vec()).unwrap()
        }
        Err(CallError::NotSent { .. }) => "NotSent".to_owned(),
        Err(CallError::Refused { .. }) => "Refused".to_owned(),
        Err(CallError::Lost { .. }) => "Lost".to_owned(),
    }
}

/// Guards against reporting "not run" for a call that runs: it is sent again under its own id, on the
/// connection that brought its refusal before.
#[rstest]
#[case::next_request(1, &["r1"])]
#[case::two_requests_later(2, &["r1", "r2"])]
#[tokio::test]
async fn call_resent_after_refusal(#[case] lag: usize, #[case] refused: &[&str]) {
    let mut responses: Vec<_> = refused.iter().map(|id| refusal(id)).collect();
    responses.push(answer("r1", "done"));
    let server = LateCopies::start(lag, responses).await;
    let client = client();
    for id in refused {
        assert_eq!(call(&client, &server, id).await, "Refused");
    }
    assert_eq!(call(&client, &server, "r1").await, "done");
}

/// Guards against passing on the second copy of another call's response, which names no call.
#[rstest]
#[case::next_request(1)]
#[case::two_requests_later(2)]
#[tokio::test]
async fn call_copy_without_id(#[case] lag: usize) {
    let ids = ["r1", "r2", "r3"];
    let responses = ids.iter().map(|id| (answer(id, id), response("200 OK", id))).collect();
    let server = LateCopies::with_copies(lag, responses).await;
    let client = client();
    for id in &ids[..lag] {
        assert_eq!(call(&client, &server, id).await, *id);
    }
    assert_eq!(call(&client, &server, ids[lag]).await, "Lost");
    assert_eq!(call(&client, &server, "r3").await, "r3");
}

/// Guards against reporting "not run" for a completion that runs, because the engine repeats an earlier
/// refusal.
#[rstest]
#[case::not_loaded("404 Not Found")]
#[case::loading("409 Conflict")]
#[case::queue_full("429 Too Many Requests")]
#[case::unavailable("503 Service Unavailable")]
#[case::failed("500 Internal Server Error")]
#[tokio::test]
async fn generate_after_refusal(#[case] status: &str) {
    let server =
        LateCopies::start(1, vec![response(status, "first"), response("200 OK", "")]).await;
    let client = client();
    let first = client.generate(server.addr, &request()).await.err().map(|e| e.to_string());
    assert!(first.is_some_and(|reason| reason.contains("first")), "the first is not accepted");
    let second = client.generate(server.addr, &request()).await.err().map(|e| e.to_string());
    assert_eq!(second, None, "a late copy was taken as the response");
}

/// Guards against reporting "not run" for a completion that runs, because the engine repeats its
/// response to a cancellation.
#[tokio::test]
async fn generate_after_cancellation() {
    let responses = vec![response("404 Not Found", "unknown"), response("200 OK", "")];
    let server = LateCopies::start(1, responses).await;
    let client = client();
    client.cancel(server.addr, &"r0".parse().unwrap()).await.unwrap();
    let generated = client.generate(server.addr, &request()).await.err().map(|e| e.to_string());
    assert_eq!(generated, None);
}

/// Guards against a completion that is taken as complete with the text of another one, and against another
/// use of a connection on which a response is due.
#[tokio::test]
async fn generate_after_complete_stream() {
    let chunk = "data: {\"type\":\"chunk\",\"request\":\"ID\",\"adapter\":{\"adapter\":\"a\",\
        \"version\":\"1\"},\"offset\":0,\"tokens\":1,\"text\":\"ID\"}\n\n";
    let end = "data: {\"type\":\"end\",\"request\":\"ID\",\"adapter\":{\"adapter\":\"a\",\
        \"version\":\"1\"},\"finish_reason\":\"stop\",\"usage\":{\"prompt_tokens\":1,\
        \"completion_tokens\":1}}\n\n";
    let stream = |id: &str| response("200 OK", &[chunk, end].concat().replace("ID", id));
    // The third request is sent before the response to the second one.
    let ids = ["r", "r2", "r3"];
    let server = LateCopies::with_pause(WAIT_LIMIT / 40, ids.map(stream).to_vec()).await;
    let client = client();
    let mut ended = Vec::new();
    for id in ids {
        let mut req = request();
        req.request = id.parse().unwrap();
        let mut stream = client.generate(server.addr, &req).await.unwrap();
        let mut text = String::new();
        while let Some(event) = stream.next().await {
            match event {
                Ok(EngineEvent::Chunk(chunk)) => text += &chunk.text,
                Ok(EngineEvent::End(_)) => {
                    assert_eq!(text, id);
                    ended.push(id);
                }
                Err(_) => assert_eq!(text, ""),
            }
        }
    }
    assert_eq!(ended, ids);
}

/// Guards against taking an order as carried out, or as refused, because the engine repeats its response
/// to the order before.
#[rstest]
#[case::carried_out("200 OK", "{}", "409 Conflict", r#"{"type":"no-free-slot"}"#)]
#[case::refused("409 Conflict", r#"{"type":"adapter-busy"}"#, "200 OK", "{}")]
#[tokio::test]
async fn order_after_order(
    #[case] first: &str,
    #[case] first_body: &str,
    #[case] second: &str,
    #[case] second_body: &str,
) {
    let responses = vec![response(first, first_body), response(second, second_body)];
    let server = LateCopies::start(1, responses).await;
    let client = client();
    let order = OrderRequest { epoch: Epoch(1), order: Order::Fence };
    for (status, body) in [(first, first_body), (second, second_body)] {
        let result = client.order(server.addr, &order, WAIT_LIMIT).await;
        match result {
            Ok(()) => assert_eq!(status, StatusCode::OK.to_string()),
            Err(OrderError::Refused(refused)) => {
                assert_eq!(refused, serde_json::from_str::<OrderRefusal>(body).unwrap());
            }
            Err(e) => panic!("{e}"),
        }
    }
}
