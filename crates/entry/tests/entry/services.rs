//! Calls of plain services.

use crate::common::{FakeOwner, Fixture, Step, TEST_TIMEOUT, wait_until};
use http_body_util::BodyExt;
use rstest::rstest;
use shallotdrum_types::{RequestError, RequestErrorKind, SessionId};

/// Guards against a method, path, body or allowed header that is lost or changed, in both
/// directions, and against other headers, such as hop-by-hop headers, that are forwarded.
#[tokio::test]
async fn service_call_is_forwarded() {
    let fixture = Fixture::start().await;
    fixture.owner.script(vec![Step::Respond(201, "issued")]);
    let headers =
        [("idempotency-key", "\"k-1\""), ("content-type", "text/csv"), ("x-private", "no")];
    let reply = fixture.call("PUT", "/services/desk/certificates/7?copy=1", &headers, "a,b").await;
    assert_eq!((reply.status, reply.text()), (201, "issued"));
    assert_eq!(reply.header("x-service"), "desk");
    assert_eq!(reply.header("x-shallotdrum-outcome"), "answered");
    assert!(reply.header("keep-alive").is_empty(), "a hop-by-hop header was forwarded");
    let (call, body) = fixture.owner.services().remove(0);
    assert_eq!((call.method.as_str(), call.path.as_str()), ("PUT", "/certificates/7?copy=1"));
    assert_eq!(call.idempotency_key.unwrap().as_str(), "k-1");
    assert_eq!(call.headers, [("content-type".to_owned(), "text/csv".to_owned())]);
    assert_eq!(&body[..], b"a,b");
}

/// Guards against bodies that are truncated or rejected because they are too large to be buffered.
#[tokio::test]
async fn service_large_body_is_streamed() {
    let fixture = Fixture::start().await;
    let large = vec![b'x'; 1024 * 1024];
    let reply = fixture.call("POST", "/services/desk/lookup", &[], large.clone()).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(fixture.owner.services()[0].1, large);
}

/// Guards against a response that is cut off but looks complete, and against one that stalls and
/// holds its connection open beyond the deadline.
#[rstest]
#[case::broken(Step::Disconnect)]
#[case::silent(Step::Hang)]
#[tokio::test]
async fn service_incomplete_response_is_an_error(#[case] rest: Step) {
    let fixture = Fixture::start().await;
    fixture.owner.script(vec![Step::Respond(200, "half"), rest]);
    let headers = [("x-request-deadline-ms", "300")];
    let res = fixture.send("GET", "/services/desk/balance", &headers, "").await;
    let body = tokio::time::timeout(TEST_TIMEOUT, res.into_body().collect()).await.unwrap();
    assert!(body.is_err(), "the body must end with an error");
    wait_until("the end of the request", || fixture.metrics.in_flight().get() == 0).await;
}

/// Guards against non-repeatable calls that run twice because they have no key or their path evades
/// the check, and against keys that are forwarded with repeatable calls.
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
    let fixture = Fixture::start().await;
    let reply = fixture.call(method, path, headers, "").await;
    let found = match reply.status {
        200 => Ok(fixture.owner.services()[0].0.idempotency_key.is_some()),
        _ => Err(reply.problem().0),
    };
    assert_eq!(found, expected.map_err(str::to_owned));
    assert_eq!(fixture.owner.services().len(), usize::from(expected.is_ok()));
}

/// Guards against final errors for repeatable calls whose owner was lost.
#[tokio::test]
async fn service_repeatable_call_is_retried() {
    let fixture = Fixture::start().await;
    fixture.owner.script(vec![Step::Disconnect]);
    assert_eq!(fixture.call("GET", "/services/desk/balance", &[], "").await.status, 200);
    assert_eq!(fixture.metrics.retries().get(), 1);
}

/// Guards against a retry of a call with a key that uses another key, and against more than one
/// retry.
#[tokio::test]
async fn service_keyed_call_is_retried_once() {
    let fixture = Fixture::start().await;
    (0..5).for_each(|_| fixture.owner.script(vec![Step::Disconnect]));
    let headers = [("idempotency-key", "k-9")];
    let reply = fixture.call("POST", "/services/desk/pay", &headers, "7").await;
    assert_eq!(reply.problem(), ("target-failed".to_owned(), "unknown".to_owned()));
    let sent = fixture.owner.services();
    assert_eq!(sent.len(), 2);
    assert!(sent.iter().all(|(call, _)| call.idempotency_key.as_ref().unwrap().as_str() == "k-9"));
}

/// Guards against the outcome "not run" after an attempt whose owner was lost, and against a
/// changed error code when the retry is refused.
#[tokio::test]
async fn service_keyed_call_lost_then_refused_is_unknown() {
    let fixture = Fixture::start().await;
    fixture.owner.script(vec![Step::Disconnect]);
    let error = RequestError::not_run(RequestErrorKind::Overloaded, "scripted error");
    fixture.owner.script(vec![Step::Refuse(error)]);
    let headers = [("idempotency-key", "k-9")];
    let reply = fixture.call("POST", "/services/desk/pay", &headers, "7").await;
    assert_eq!(reply.problem(), ("overloaded".to_owned(), "unknown".to_owned()));
}

/// Guards against calls with a key that hang at an owner whose session has ended.
#[tokio::test]
async fn service_keyed_call_moves_to_new_owner() {
    let fixture = Fixture::start().await;
    let other = FakeOwner::start().await;
    fixture.owner.script(vec![Step::Hang]);
    let change_owner = async {
        wait_until("the first attempt", || fixture.owner.services().len() == 1).await;
        fixture.catalog.set_owner(Some((2, other.addr())));
        fixture.catalog.change(|state| assert!(state.live.remove(&SessionId(1))));
    };
    let headers = [("idempotency-key", "k-2")];
    let call = fixture.call("POST", "/services/desk/pay", &headers, "7");
    let (reply, ()) = tokio::join!(call, change_owner);
    assert_eq!(reply.status, 200);
    assert_eq!(other.services()[0].0.idempotency_key.as_ref().unwrap().as_str(), "k-2");
}
