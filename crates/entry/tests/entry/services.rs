//! Calls of plain services.

use crate::common::{Bench, FakeOwner, PATIENCE, Step, until};
use http_body_util::BodyExt;
use rstest::rstest;
use shallotdrum_types::{RequestError, RequestErrorKind, SessionId};

/// Guards against lost or changed methods, paths, bodies and headers, in both directions.
#[tokio::test]
async fn service_call_is_passed_on() {
    let bench = Bench::start().await;
    bench.owner.script(vec![Step::Respond(201, "issued")]);
    let headers =
        [("idempotency-key", "\"k-1\""), ("content-type", "text/csv"), ("x-private", "no")];
    let reply = bench.call("PUT", "/services/desk/certificates/7?copy=1", &headers, "a,b").await;
    assert_eq!((reply.status, reply.text()), (201, "issued"));
    assert_eq!(reply.header("x-service"), "desk");
    assert_eq!(reply.header("x-shallotdrum-outcome"), "answered");
    assert!(reply.header("keep-alive").is_empty(), "a hop-by-hop header was passed on");
    let (call, body) = bench.owner.services().remove(0);
    assert_eq!((call.method.as_str(), call.path.as_str()), ("PUT", "/certificates/7?copy=1"));
    assert_eq!(call.idempotency_key.unwrap().as_str(), "k-1");
    assert_eq!(call.headers, [("content-type".to_owned(), "text/csv".to_owned())]);
    assert_eq!(&body[..], b"a,b");
}

/// Guards against bodies that are cut or refused because they are too large to be kept.
#[tokio::test]
async fn service_large_body_is_streamed() {
    let bench = Bench::start().await;
    let large = vec![b'x'; 1024 * 1024];
    let reply = bench.call("POST", "/services/desk/lookup", &[], large.clone()).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(bench.owner.services()[0].1, large);
}

/// Guards against a short answer that looks whole, and one that holds its connection for ever.
#[rstest]
#[case::broken(Step::Break)]
#[case::silent(Step::Hang)]
#[tokio::test]
async fn service_short_answer_is_an_error(#[case] rest: Step) {
    let bench = Bench::start().await;
    bench.owner.script(vec![Step::Respond(200, "half"), rest]);
    let headers = [("x-request-deadline-ms", "300")];
    let res = bench.send("GET", "/services/desk/balance", &headers, "").await;
    let body = tokio::time::timeout(PATIENCE, res.into_body().collect()).await.unwrap();
    assert!(body.is_err(), "the body must not end regularly");
    until("the end of the request", || bench.metrics.in_flight().get() == 0).await;
}

/// Guards against calls without key that run twice, and against keys on calls that need none.
#[rstest]
#[case::key_missing("POST", "/services/desk/pay", &[], Err("key-required"))]
#[case::key_invalid("POST", "/services/desk/pay", &[("idempotency-key", "a b")], Err("invalid-request"))]
#[case::key_given("POST", "/services/desk/pay", &[("idempotency-key", "k")], Ok(true))]
#[case::repeatable("GET", "/services/desk/balance", &[("idempotency-key", "k")], Ok(false))]
#[case::dot_segment("POST", "/services/desk/lookup/%2e%2e/pay", &[], Err("invalid-request"))]
#[case::empty_segment("POST", "/services/desk/lookup//pay", &[], Err("invalid-request"))]
#[case::encoded_slash("POST", "/services/desk/lookup%2F..%2Fpay", &[], Err("invalid-request"))]
#[case::unknown_service("GET", "/services/kiosk/x", &[], Err("not-found"))]
#[tokio::test]
async fn service_idempotency_key(
    #[case] method: &str,
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] expected: Result<bool, &str>,
) {
    let bench = Bench::start().await;
    let reply = bench.call(method, path, headers, "").await;
    let found = match reply.status {
        200 => Ok(bench.owner.services()[0].0.idempotency_key.is_some()),
        _ => Err(reply.problem().0),
    };
    assert_eq!(found, expected.map_err(str::to_owned));
    assert_eq!(bench.owner.services().len(), usize::from(expected.is_ok()));
}

/// Guards against final errors for repeatable calls whose owner was lost.
#[tokio::test]
async fn service_repeatable_call_is_sent_again() {
    let bench = Bench::start().await;
    bench.owner.script(vec![Step::Break]);
    assert_eq!(bench.call("GET", "/services/desk/balance", &[], "").await.status, 200);
    assert_eq!(bench.metrics.retries().get(), 1);
}

/// Guards against another key on the second send, and against more than two sends.
#[tokio::test]
async fn service_keyed_call_is_asked_once_more() {
    let bench = Bench::start().await;
    (0..5).for_each(|_| bench.owner.script(vec![Step::Break]));
    let headers = [("idempotency-key", "k-9")];
    let reply = bench.call("POST", "/services/desk/pay", &headers, "7").await;
    assert_eq!(reply.problem(), ("target-failed".to_owned(), "unknown".to_owned()));
    let sent = bench.owner.services();
    assert_eq!(sent.len(), 2);
    assert!(sent.iter().all(|(call, _)| call.idempotency_key.as_ref().unwrap().as_str() == "k-9"));
}

/// Guards against "not run" after a loss, and against a changed answer of the ledger.
#[tokio::test]
async fn service_keyed_call_lost_then_refused_is_unknown() {
    let bench = Bench::start().await;
    bench.owner.script(vec![Step::Break]);
    let error = RequestError::not_run(RequestErrorKind::Overloaded, "by script");
    bench.owner.script(vec![Step::Refuse(error)]);
    let headers = [("idempotency-key", "k-9")];
    let reply = bench.call("POST", "/services/desk/pay", &headers, "7").await;
    assert_eq!(reply.problem(), ("overloaded".to_owned(), "unknown".to_owned()));
}

/// Guards against keyed calls that hang at an owner whose session has ended.
#[tokio::test]
async fn service_keyed_call_moves_to_new_owner() {
    let bench = Bench::start().await;
    let other = FakeOwner::start().await;
    bench.owner.script(vec![Step::Hang]);
    let change = async {
        until("the first forward", || bench.owner.services().len() == 1).await;
        bench.catalog.set_owner(Some((2, other.addr())));
        bench.catalog.change(|state| assert!(state.live.remove(&SessionId(1))));
    };
    let headers = [("idempotency-key", "k-2")];
    let call = bench.call("POST", "/services/desk/pay", &headers, "7");
    let (reply, ()) = tokio::join!(call, change);
    assert_eq!(reply.status, 200);
    assert_eq!(other.services()[0].0.idempotency_key.as_ref().unwrap().as_str(), "k-2");
}
