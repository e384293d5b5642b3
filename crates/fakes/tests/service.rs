//! Tests of the fake service: recorded executions, injected faults and announcements.

mod support;

use http::Method;
use rstest::rstest;
use shallotdrum_engine::{Announcement, CallError, REQUEST_ID_HEADER, TargetKind};
use shallotdrum_fakes::{FakeService, FakeServiceConfig, ServiceSettings, ServiceStats};
use shallotdrum_types::Fingerprint;
use support::{EntryRecorder, call, identity, wait_until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

async fn start() -> FakeService {
    FakeService::start(FakeServiceConfig::new(identity("s"))).await.unwrap()
}

/// Guards against records that don't show which calls ran and how often.
#[tokio::test]
async fn executions_are_recorded() {
    let service = start().await;
    let headers = [("idempotency-key", "k"), (REQUEST_ID_HEADER, "r")];
    for (path, body) in [("/certificates", "one"), ("/pickups", "two"), ("/payouts", "three")] {
        let res = call(service.addr(), Method::POST, path, &headers[..1], body).await.unwrap();
        assert_eq!(res.0, 200);
    }
    call(service.addr(), Method::POST, "/payouts", &headers[1..], "three").await.unwrap();
    assert_eq!(call(service.addr(), Method::GET, "/pickups/1", &[], "").await.unwrap().0, 200);
    let stats = service.stats();
    assert_eq!(stats.executions.len(), 4);
    assert_eq!(stats.executions[0].body, Fingerprint::of(b"one"));
    assert_eq!(stats.executions[3].request.as_deref(), Some("r"));
    assert_eq!(stats.repeated_keys().into_iter().collect::<Vec<_>>(), [("k", 3)]);
    assert_eq!(stats.lookups, ["/pickups/1"]);
    let json = call(service.addr(), Method::GET, "/fake/stats", &[], "").await.unwrap().1;
    assert_eq!(serde_json::from_str::<ServiceStats>(&json).unwrap(), stats);
}

/// Guards against faults on the wrong side of the execution, with which tests of at-most-once calls
/// would check the opposite.
#[rstest]
#[case::refused("Refused 503", 0, |s: &mut ServiceSettings| s.refuse = 1.0)]
#[case::response_lost("Lost", 1, |s: &mut ServiceSettings| s.lose_answer = 1.0)]
#[case::failed("Ok 500", 1, |s: &mut ServiceSettings| s.fail = 1.0)]
#[case::crashed("Lost", 0, |s: &mut ServiceSettings| s.crash_marker = Some("bo".to_owned()))]
#[case::slow("Ok 200", 1, |s: &mut ServiceSettings| {
    s.delay_ms = 5;
    s.slow_body_ms = 10;
})]
#[tokio::test]
async fn injected_faults(
    #[case] expected: &str,
    #[case] executions: usize,
    #[case] change: fn(&mut ServiceSettings),
) {
    let service = start().await;
    service.configure(change);
    let before = service.incarnation();
    let result = call(service.addr(), Method::POST, "/pickups", &[], "body").await;
    let result = match result {
        Ok((status, _)) => format!("Ok {}", status.as_u16()),
        Err(CallError::Refused { status, .. }) => format!("Refused {}", status.as_u16()),
        Err(CallError::Lost { .. }) => "Lost".to_owned(),
        Err(e) => panic!("unexpected error {e}"),
    };
    assert_eq!(result, expected);
    assert_eq!(service.stats().executions.len(), executions);
    if service.stats().crashes > 0 {
        wait_until("the service has restarted", async || service.incarnation() > before).await;
    }
}

/// Guards against a service that does not announce itself, or does not announce that it leaves when
/// stopped.
#[tokio::test]
async fn announces_itself_and_leaves() {
    let entry = EntryRecorder::start().await;
    let service = start().await;
    service.set_entries(vec![entry.addr]);
    let announcements = || entry.messages::<Announcement>("/targets/announce");
    wait_until("the service is announced", async || !announcements().is_empty()).await;
    assert_eq!(announcements()[0].kind, TargetKind::Service { max_concurrent: 64 });
    let addr = service.addr();
    service.stop().await;
    assert_eq!(entry.messages::<serde_json::Value>("/targets/leave").len(), 1);
    wait_until("the service refuses connections", async || {
        matches!(call(addr, Method::GET, "/x", &[], "").await, Err(CallError::NotSent { .. }))
    })
    .await;
}

/// Guards against late copies that are not written, with which tests of kept connections would check
/// nothing.
#[tokio::test]
async fn late_copy_precedes_next_response() {
    let service = start().await;
    service.configure(|settings| settings.late_copy = 1.0);
    let mut stream = TcpStream::connect(service.addr()).await.unwrap();
    let mut received = String::new();
    for (path, bodies) in [("/a", vec!["/a"]), ("/b", vec!["/a", "/b"])] {
        received.clear();
        let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        while received.matches("HTTP/1.1 200 OK").count() < bodies.len() || !received.ends_with('}')
        {
            let mut buf = [0; 1024];
            let len = stream.read(&mut buf).await.unwrap();
            assert!(len > 0, "{received}");
            received += std::str::from_utf8(&buf[..len]).unwrap();
        }
        let found: Vec<_> = received.split("\"path\":\"").skip(1).map(|rest| &rest[..2]).collect();
        assert_eq!(found, bodies);
    }
}
