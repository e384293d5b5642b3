//! Calls to plain services that crash after the head of their response.

mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::BodyExt;
use rstest::rstest;
use shallotdrum_control::{AnnouncedTarget, BeginOutcome, Command, Proposal, ProposeError, Reply};
use shallotdrum_engine::{REQUEST_ID_HEADER, TargetKind};
use shallotdrum_owner::{OwnerContext, OwnerService, ServiceCall};
use shallotdrum_types::{Incarnation, TargetId};
use support::{Log, context};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Time within which an owner reacts to a change of its groups; its checks are 250 ms apart.
const REACTION: Duration = Duration::from_secs(1);

/// Time for an owner to notice a crash: its check takes up to 1.5 s.
const DETECTION: Duration = Duration::from_secs(4);

/// How a response shows its end.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

impl Framing {
    /// Header and first part of a body.
    fn start(self) -> &'static str {
        match self {
            Self::Length => "content-length: 8\r\n\r\nhalf",
            Self::Chunks => "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            Self::Connection => "\r\nhalf",
        }
    }

    /// The rest of the body.
    fn rest(self) -> &'static str {
        match self {
            Self::Length | Self::Connection => "half",
            Self::Chunks => "4\r\nhalf\r\n0\r\n\r\n",
        }
    }
}

/// How a service goes on after the first part of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    /// Ends as a process does: its listener and its connections are closed.
    Crashes,
    /// Sends the rest.
    Completes,
    /// Sends nothing more.
    Waits,
}

/// Serves connections until one of them brings a call that crashes the service.
async fn serve(listener: TcpListener, service: Service, framing: Framing) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                connections.spawn(respond(accepted.unwrap().0, service, framing));
            }
            Some(crashed) = connections.join_next() => if crashed.unwrap() {
                return;
            },
        }
    }
}

/// Responds to one call, and to questions before it; returns whether the call crashes the service.
async fn respond(mut stream: TcpStream, service: Service, framing: Framing) -> bool {
    let id = loop {
        match read_request(&mut stream).await {
            Some((_, true)) => {
                let answer = b"HTTP/1.1 204 No Content\r\n\r\n";
                stream.write_all(answer).await.unwrap();
            }
            Some((id, false)) => break id,
            // Connections that only check the target bring nothing.
            None => return false,
        }
    };
    let start = format!("HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: {id}\r\n{}", framing.start());
    stream.write_all(start.as_bytes()).await.unwrap();
    // The head is received before the end.
    sleep(Duration::from_millis(100)).await;
    match service {
        Service::Crashes => true,
        Service::Completes => {
            stream.write_all(framing.rest().as_bytes()).await.unwrap();
            false
        }
        Service::Waits => std::future::pending().await,
    }
}

/// Reads the head of a request; returns its id, and whether it asks only if the service runs.
async fn read_request(stream: &mut TcpStream) -> Option<(String, bool)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let id = head.lines().find_map(|line| line.strip_prefix(REQUEST_ID_HEADER))?;
    Some((id.trim_start_matches(": ").to_owned(), head.starts_with("OPTIONS ")))
}

/// An owner of one service, and the crashes that it reports.
struct Setup {
    log: Log,
    owner: Arc<OwnerService>,
    target: AnnouncedTarget,
    call: ServiceCall,
    reports: Arc<Mutex<Vec<(TargetId, usize)>>>,
}

impl Setup {
    async fn start(service: Service, framing: Framing, key: Option<&str>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr: SocketAddr = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, service, framing));
        let log = Log::default();
        let session = log.open("a");
        let group = log.register("service", TargetKind::Service { max_concurrent: 4 });
        let id = "service".parse().unwrap();
        let registered = log.0.read(|state| state.target(&id).unwrap().announced.clone());
        let target = AnnouncedTarget { addr, incarnation: Incarnation(2), ..registered };
        log.apply(Command::RegisterTarget(target.clone()));
        log.assign(&group, session);
        let reports = Arc::new(Mutex::new(Vec::new()));
        let propose = {
            let (log, reports) = (log.clone(), reports.clone());
            move |proposal| {
                let Proposal::Command(command) = proposal else {
                    return async { Err(ProposeError::Unknown) }.boxed();
                };
                let reply = match &command {
                    Command::BeginCall { .. } => Reply::Begin(BeginOutcome::Begun),
                    _ => Reply::Done,
                };
                if let Command::ReportCrash { target, requests, .. } = &command {
                    reports.lock().unwrap().push((target.clone(), requests.len()));
                }
                log.apply(command);
                async { Ok(reply) }.boxed()
            }
        };
        let cx = OwnerContext { propose: Arc::new(propose), ..context(&log, session) };
        let owner = OwnerService::new(cx);
        tokio::spawn(owner.clone().run());
        sleep(REACTION).await;
        let call = ServiceCall {
            group,
            request: "r1".parse().unwrap(),
            subscriber: "caller".parse().unwrap(),
            service: "service".parse().unwrap(),
            method: "POST".to_owned(),
            path: "/run".to_owned(),
            headers: Vec::new(),
            deadline_ms: 20_000,
            idempotency_key: key.map(|key| key.parse().unwrap()),
        };
        Self { log, owner, target, call, reports }
    }

    /// Calls the service; whether the response is complete.
    async fn call(&self) -> bool {
        let call = self.owner.call(self.call.clone(), Bytes::new(), Instant::now());
        match call.await {
            Ok(response) => response.into_body().collect().await.is_ok(),
            Err(_) => false,
        }
    }

    /// Registers a later process of the service.
    fn replace(&self) {
        let successor = AnnouncedTarget { incarnation: Incarnation(3), ..self.target.clone() };
        self.log.apply(Command::RegisterTarget(successor));
    }

    /// Reported crashes, each with the number of requests that were running.
    fn reports(&self) -> Vec<(TargetId, usize)> {
        self.reports.lock().unwrap().clone()
    }

    async fn wait_for_report(&self) {
        let reported = async {
            while self.reports().is_empty() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let _ = timeout(DETECTION, reported).await;
    }
}

/// Guards against requests that crash one service after another in the middle of their responses and are
/// never quarantined, because a request counted as ended once the head of its response had come.
#[rstest]
#[tokio::test]
async fn crash_in_body_counts(
    #[values(Framing::Length, Framing::Chunks, Framing::Connection)] framing: Framing,
    #[values(None, Some("once"))] key: Option<&str>,
) {
    let setup = Setup::start(Service::Crashes, framing, key).await;
    assert!(!setup.call().await, "half of a response counts as complete");
    setup.wait_for_report().await;
    assert_eq!(setup.reports(), [(setup.target.target.clone(), 1)]);
}

/// Guards against losing the crash of a service whose caller left in the middle of the response.
#[rstest]
#[tokio::test]
async fn crash_after_caller_left_counts() {
    let setup = Setup::start(Service::Waits, Framing::Chunks, None).await;
    let call = setup.owner.call(setup.call.clone(), Bytes::new(), Instant::now());
    drop(call.await.unwrap());
    setup.replace();
    setup.wait_for_report().await;
    assert_eq!(setup.reports(), [(setup.target.target.clone(), 1)]);
}

/// Guards against suspecting calls that their service had answered completely before it crashed.
#[rstest]
#[tokio::test]
async fn crash_after_response_does_not_count(
    #[values(Framing::Length, Framing::Chunks)] framing: Framing,
    #[values(None, Some("once"))] key: Option<&str>,
) {
    let setup = Setup::start(Service::Completes, framing, key).await;
    assert!(setup.call().await);
    setup.replace();
    sleep(DETECTION).await;
    assert_eq!(setup.reports(), []);
}
