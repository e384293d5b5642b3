//! G1 with services whose responses have neither a length nor chunks and end with their connection.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use http::Method;
use rstest::rstest;
use shallotdrum_engine::REQUEST_ID_HEADER;
use shallotdrum_harness::{CallerError, ServiceResponse};
use shallotdrum_owner::ERROR_HEADER;
use shallotdrum_types::{RequestError, RequestErrorKind};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use crate::setup::{Setup, start};

/// Body of a response.
const BODY: &str = "{\"number\":7}";

/// What a service does in its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    /// Closes the connection after the whole body.
    Completes,
    /// Like `Completes`, with the header in which owners report errors to entries.
    NamesError,
    /// Ends as a process does: its listener and its connections are closed after half of the body.
    Crashes,
}

/// Replaces the services by ones at the same addresses that respond once or crash.
async fn replace_services(setup: &mut Setup, service: Service) {
    let addrs: Vec<_> = setup.targets.services.drain(..).map(|service| service.addr()).collect();
    for addr in addrs {
        tokio::spawn(serve(bind(addr).await, service));
    }
}

async fn bind(addr: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener,
            // The service before is being closed.
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(5)).await,
        }
    }
}

/// Serves connections until one of them brings a call that crashes the service.
async fn serve(listener: TcpListener, service: Service) {
    let mut connections = JoinSet::new();
    let has_crashed = Arc::new(AtomicBool::new(false));
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                connections.spawn(respond(accepted.unwrap().0, service, has_crashed.clone()));
            }
            Some(crashed) = connections.join_next() => if crashed.unwrap() {
                return;
            },
        }
    }
}

/// Responds to one request; returns whether that crashes the service.
async fn respond(mut stream: TcpStream, service: Service, has_crashed: Arc<AtomicBool>) -> bool {
    // Connections that only check the target bring nothing.
    let Some((id, is_call)) = read_request(&mut stream).await else { return false };
    // The other connections of a crashed process may end later, and bring nothing more.
    if has_crashed.load(Ordering::SeqCst) {
        return false;
    }
    let crashes = is_call && service == Service::Crashes;
    let body = if crashes { &BODY[..BODY.len() / 2] } else { BODY };
    let mut head = format!("HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: {id}\r\n");
    if service == Service::NamesError {
        let error = RequestError::not_run(RequestErrorKind::TargetFailed, "of the service");
        head += &format!("{ERROR_HEADER}: {}\r\n", serde_json::to_string(&error).unwrap());
    }
    let response = format!("{head}\r\n{body}");
    stream.write_all(response.as_bytes()).await.unwrap();
    has_crashed.fetch_or(crashes, Ordering::SeqCst);
    crashes
}

/// Reads the head of a request; returns its id, and whether it is a call.
async fn read_request(stream: &mut TcpStream) -> Option<(String, bool)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let id = head.lines().find_map(|line| line.strip_prefix(REQUEST_ID_HEADER))?;
    Some((id.trim_start_matches(": ").to_owned(), !head.starts_with("OPTIONS ")))
}

async fn call(
    setup: &Setup,
    instance: usize,
    key: Option<&str>,
) -> Result<ServiceResponse, CallerError> {
    let (method, path) = match key {
        Some(_) => (Method::POST, "certificates"),
        None => (Method::GET, "status/7"),
    };
    let path = format!("/{}/{path}", setup.deployment.service);
    setup.caller.call(setup.cluster.entry(instance), method, &path, key, "").await
}

/// Guards against taking a response as complete that ends because its service has crashed, and against
/// refusing complete ones.
#[rstest]
#[case::repeatable(None)]
#[case::once(Some("once"))]
#[tokio::test(flavor = "multi_thread")]
async fn response_ends_with_crash(#[case] key: Option<&str>) {
    let mut setup = start().await;
    replace_services(&mut setup, Service::Crashes).await;
    let response = call(&setup, 4, key).await;
    let error = response.expect_err("the response is not complete");
    assert!(!error.is_not_run(), "{error}");
}

/// Guards against refusing complete responses because they have no length.
#[rstest]
#[case::repeatable(None)]
#[case::once(Some("once"))]
#[tokio::test(flavor = "multi_thread")]
async fn response_without_length(#[case] key: Option<&str>) {
    let mut setup = start().await;
    replace_services(&mut setup, Service::Completes).await;
    assert_eq!(call(&setup, 4, key).await.unwrap().body, BODY);
}

/// Guards against reporting "not run" for a call that ran, because its service's response has a header that
/// owners use.
#[rstest]
#[case::repeatable(false)]
#[case::once(true)]
#[tokio::test(flavor = "multi_thread")]
async fn response_with_header_of_owners(#[case] is_once: bool) {
    let mut setup = start().await;
    replace_services(&mut setup, Service::NamesError).await;
    for i in 0..setup.cluster.len() {
        let key = format!("key-{i}");
        let response = call(&setup, i, is_once.then_some(key.as_str())).await;
        assert_eq!(response.unwrap().body, BODY, "through instance {i}");
    }
}
