//! Tests that `EngineClient` classifies errors correctly and sends no request twice.

mod support;

use std::{net::SocketAddr, time::Duration};

use http::Request;
use http_body_util::BodyExt;
use rstest::rstest;
use shallotdrum_engine::{
    CallError, ClientTimeouts, EngineClient, EngineEvent, NOT_RUN_HEADER, Order, OrderError,
    OrderRefusal, OrderRequest, REQUEST_ID_HEADER, full_body,
};
use shallotdrum_types::Epoch;
use support::{
    ScriptedServer, Step, WAIT_LIMIT, client, refusing_addr, request, response, wait_until,
};
use tokio::{
    io::AsyncReadExt,
    net::{TcpSocket, TcpStream},
    time::timeout,
};

fn error_name(error: &CallError) -> String {
    match error {
        CallError::NotSent { .. } => "NotSent".to_owned(),
        CallError::Refused { status, .. } => format!("Refused({})", status.as_u16()),
        CallError::Lost { .. } => "Lost".to_owned(),
    }
}

async fn generate(client: &EngineClient, addr: SocketAddr) -> String {
    match client.generate(addr, &request()).await {
        Ok(_) => "Ok".to_owned(),
        Err(e) => error_name(&e),
    }
}

async fn call(client: &EngineClient, addr: SocketAddr, path: &str) -> String {
    let req = Request::post(path).body(full_body("body")).unwrap();
    match client.call(addr, req).await {
        Ok(res) => format!("Ok({})", res.status().as_u16()),
        Err(e) => error_name(&e),
    }
}

async fn order(client: &EngineClient, addr: SocketAddr, limit: Duration) -> Result<(), OrderError> {
    client.order(addr, &OrderRequest { epoch: Epoch(1), order: Order::Fence }, limit).await
}

/// Guards against reporting a request as not executed although it may have been: a caller would
/// retry it and run it twice.
#[rstest]
#[case::accepted("Ok", Step::Respond(response("200 OK", "")))]
#[case::bad_request("Refused(400)", Step::Respond(response("400 Bad Request", "")))]
#[case::not_loaded("Refused(404)", Step::Respond(response("404 Not Found", "")))]
#[case::not_ready("Refused(409)", Step::Respond(response("409 Conflict", "")))]
#[case::too_many("Refused(429)", Step::Respond(response("429 Too Many Requests", "")))]
#[case::unavailable("Refused(503)", Step::Respond(response("503 Service Unavailable", "")))]
#[case::failed("Lost", Step::Respond(response("500 Internal Server Error", "")))]
#[case::no_content("Lost", Step::Respond("HTTP/1.1 204 No Content\r\n\r\n".to_owned()))]
#[case::partial("Lost", Step::Respond(response("206 Partial Content", "")))]
#[case::bad_gateway("Lost", Step::Respond(response("502 Bad Gateway", "")))]
#[case::closed_after_request("Lost", Step::RespondAndClose(String::new()))]
#[case::closed_in_head("Lost", Step::RespondAndClose("HTTP/1.1 503 Serv".to_owned()))]
#[case::no_http("Lost", Step::RespondAndClose("garbage\r\n\r\n".to_owned()))]
#[tokio::test]
async fn generate_classifies(#[case] expected: &str, #[case] step: Step) {
    let server = ScriptedServer::start(vec![step]).await;
    assert_eq!(generate(&client(), server.addr).await, expected);
    assert_eq!(server.log(), ["post /v1/generate"]);
}

/// Guards against an unknown result for requests that never reached a target; those can be retried.
#[tokio::test]
async fn refused_connection_is_not_sent() {
    let (_socket, addr) = refusing_addr();
    assert_eq!(generate(&client(), addr).await, "NotSent");
    assert_eq!(call(&client(), addr, "/certificates").await, "NotSent");
    let result = order(&client(), addr, WAIT_LIMIT).await;
    assert!(matches!(result, Err(OrderError::NotSent { .. })), "{result:?}");
}

/// Guards against a connect timeout that counts as sent, and against sending the request on a
/// connection that is established after the timeout.
#[tokio::test]
async fn connect_timeout_is_not_sent() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let addr = listener.local_addr().unwrap();
    // Linux doesn't answer SYNs while the listener's accept queue is full.
    let mut queued = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(100), TcpStream::connect(addr)).await {
        queued.push(stream.unwrap());
    }
    let client =
        EngineClient::new(ClientTimeouts { connect: Duration::from_millis(100), idle: WAIT_LIMIT });
    assert_eq!(generate(&client, addr).await, "NotSent");
    drop(queued);
    drop(client);
    // No accepted connection may carry any bytes of the request.
    while let Ok(accepted) = timeout(Duration::from_millis(100), listener.accept()).await {
        let mut bytes = Vec::new();
        let _ = accepted.unwrap().0.read_to_end(&mut bytes).await;
        assert!(bytes.is_empty(), "{bytes:?}");
    }
}

/// Guards against a retry on a new connection after a pooled one has failed.
#[rstest]
#[case::generate(true)]
#[case::call(false)]
#[tokio::test]
async fn reused_connection_closed_after_request_is_lost(#[case] is_generate: bool) {
    let close = Step::RespondAndClose(String::new());
    let script = vec![Step::Respond(response("200 OK", "")), close];
    let server = ScriptedServer::start(script).await;
    let client = client();
    assert_eq!(call(&client, server.addr, "/first").await, "Ok(200)");
    let result = match is_generate {
        true => generate(&client, server.addr).await,
        false => call(&client, server.addr, "/second").await,
    };
    assert_eq!(result, "Lost");
    assert_eq!(server.log().len(), 2, "{:?}", server.log());
}

/// Guards against duplicate execution, or a wrong `NotSent`, if the peer closes an idle connection
/// at the moment it is reused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_on_closed_idle_connection_never_runs_twice() {
    let server = ScriptedServer::start(vec![Step::RespondAndClose(response("200 OK", ""))]).await;
    let client = client();
    let mut results = Vec::new();
    for i in 0..300 {
        let path = format!("/call-{i}");
        results.push((call(&client, server.addr, &path).await, format!("post {path}")));
    }
    let log = server.log();
    for (result, line) in results {
        let runs = log.iter().filter(|run| **run == line).count();
        match result.as_str() {
            "Ok(200)" => assert_eq!(runs, 1),
            "NotSent" => assert_eq!(runs, 0),
            "Lost" => assert!(runs <= 1, "{runs} runs"),
            other => panic!("unexpected result {other}"),
        }
    }
}

/// Guards against unknown results of calls that must not be retried: a stale pooled connection
/// would cause them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unpooled_call_avoids_stale_connections() {
    let server = ScriptedServer::start(vec![Step::RespondAndClose(response("200 OK", ""))]).await;
    let client = client();
    for _ in 0..100 {
        let req = Request::post("/certificates").body(full_body("body")).unwrap();
        let res = client.call_unpooled(server.addr, req).await;
        assert!(res.is_ok(), "{res:?}");
    }
    assert_eq!(server.log().len(), 100);
}

/// Guards against reporting a call as not executed if the service itself sent the 503 after running
/// it.
#[rstest]
#[case::own_error("Ok(503)", "content-length: 0\r\n")]
#[case::refusal("Refused(503)", &format!("content-length: 0\r\n{NOT_RUN_HEADER}: 1\r\n"))]
#[tokio::test]
async fn call_classifies_service_errors(#[case] expected: &str, #[case] headers: &str) {
    let res = format!("HTTP/1.1 503 Service Unavailable\r\n{headers}\r\n");
    let server = ScriptedServer::start(vec![Step::Respond(res)]).await;
    assert_eq!(call(&client(), server.addr, "/pickups?x=1").await, expected);
    assert_eq!(server.log(), ["post /pickups?x=1"]);
}

/// Guards against reporting an engine's refusal as an unknown result.
#[rstest]
#[case::old_epoch("409 Conflict", OrderRefusal::OldEpoch { highest: Epoch(7) })]
#[case::busy("409 Conflict", OrderRefusal::AdapterBusy)]
#[case::no_slot("409 Conflict", OrderRefusal::NoFreeSlot)]
#[case::failed("422 Unprocessable", OrderRefusal::LoadFailed { reason: "disk".to_owned() })]
#[tokio::test]
async fn order_refusals(#[case] status: &str, #[case] refusal: OrderRefusal) {
    let body = serde_json::to_string(&refusal).unwrap();
    let server = ScriptedServer::start(vec![Step::Respond(response(status, &body))]).await;
    match order(&client(), server.addr, WAIT_LIMIT).await {
        Err(OrderError::Refused(actual)) => assert_eq!(actual, refusal),
        other => panic!("unexpected result {other:?}"),
    }
}

/// Guards against reporting an order as refused although the engine may execute it.
#[rstest]
#[case::closed(Step::RespondAndClose(String::new()))]
#[case::failed(Step::Respond(response("500 Internal Server Error", "")))]
#[case::foreign_conflict(Step::Respond(response("409 Conflict", "{}")))]
#[case::refusal_with_wrong_status(Step::Respond(response(
    "500 Internal Server Error",
    "{\"type\":\"adapter-busy\"}"
)))]
#[tokio::test]
async fn order_without_result_is_unknown(#[case] step: Step) {
    let server = ScriptedServer::start(vec![step]).await;
    let result = order(&client(), server.addr, WAIT_LIMIT).await;
    assert!(matches!(result, Err(OrderError::Unknown { .. })), "{result:?}");
}

/// Guards against reporting a timed-out order as not sent.
#[tokio::test]
async fn order_timeout_is_unknown() {
    let server = ScriptedServer::start(vec![Step::RespondAndWait(String::new())]).await;
    let result = order(&client(), server.addr, Duration::from_millis(200)).await;
    assert!(matches!(result, Err(OrderError::Unknown { .. })), "{result:?}");
}

/// Guards against requests that keep running after their caller has gone.
#[tokio::test]
async fn dropped_stream_closes_the_connection() {
    let event = "HTTP/1.1 200 OK\r\n\r\ndata: {\"type\":\"chunk\",\"request\":\"r\",\
        \"adapter\":{\"adapter\":\"a\",\"version\":\"1\"},\"offset\":0,\"tokens\":1,\"text\":\"t\"}\n\n";
    let server = ScriptedServer::start(vec![Step::RespondAndWait(event.to_owned())]).await;
    let mut stream = client().generate(server.addr, &request()).await.unwrap();
    assert!(matches!(stream.next().await, Some(Ok(EngineEvent::Chunk(_)))));
    drop(stream);
    wait_until("the connection closes", || server.log().contains(&"closed".to_owned())).await;
}

/// Guards against a failed cancellation if the request has already ended.
#[rstest]
#[case::running("200 OK", true)]
#[case::ended("404 Not Found", true)]
#[case::failed("500 Internal Server Error", false)]
#[tokio::test]
async fn cancel_results(#[case] status: &str, #[case] is_ok: bool) {
    let server = ScriptedServer::start(vec![Step::Respond(response(status, ""))]).await;
    let result = client().cancel(server.addr, &"r".parse().unwrap()).await;
    assert_eq!(result.is_ok(), is_ok, "{result:?}");
    assert_eq!(server.log(), ["delete /v1/generate/r"]);
}

/// HTTP response that echoes a request id.
fn echoing(id: &str, body: &str) -> String {
    response("200 OK", body).replace("\r\n\r\n", &format!("\r\n{REQUEST_ID_HEADER}: {id}\r\n\r\n"))
}

async fn call_as(client: &EngineClient, addr: SocketAddr, id: &str) -> String {
    let req = Request::get("/look").header(REQUEST_ID_HEADER, id).body(full_body("")).unwrap();
    match client.call(addr, req).await {
        Ok(res) => {
            let body = res.into_body().collect().await.unwrap().to_bytes();
            String::from_utf8(body.to_vec()).unwrap()
        }
        Err(e) => error_name(&e),
    }
}

/// Guards against passing on the second copy of a response, which arrives when the connection is in use
/// by another caller.
#[tokio::test]
async fn call_late_copy_of_earlier_response() {
    let (first, second) = (echoing("r1", "first"), echoing("r2", "second"));
    let late = format!("{first}{second}");
    let third = echoing("r3", "third");
    let script = vec![Step::Respond(first), Step::Respond(late), Step::Respond(third)];
    let server = ScriptedServer::start(script).await;
    let client = client();
    assert_eq!(call_as(&client, server.addr, "r1").await, "first");
    assert_eq!(call_as(&client, server.addr, "r2").await, "Lost");
    assert_eq!(call_as(&client, server.addr, "r3").await, "third");
}

/// Guards against another use of a connection on which a late copy would not be recognised.
#[tokio::test]
async fn call_after_response_without_id() {
    let first = Step::RespondAndWait(response("200 OK", "first"));
    let script = vec![first, Step::Respond(response("200 OK", "second"))];
    let server = ScriptedServer::start(script).await;
    let client = client();
    assert_eq!(call_as(&client, server.addr, "r1").await, "first");
    let second = timeout(WAIT_LIMIT / 4, call_as(&client, server.addr, "r2")).await;
    assert_eq!(second.as_deref(), Ok("second"));
}
