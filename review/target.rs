//! Stand-ins of servers: a plain service, and a model engine that holds one adapter.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    deploy::Record,
    http::{self, Message},
};

/// Interval of status reports.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a server is.
#[derive(Clone, Debug)]
pub enum Kind {
    /// Answers after this time.
    Service { work: Duration },
    /// Streams a few events; holds adapter `a1` of model `daka510000`.
    Engine,
}

/// Running server.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub addr: SocketAddr,
    /// Requests that it began to run.
    pub runs: Arc<AtomicU64>,
}

/// Starts a server that reports to one of `controls` and then to where the responses send it.
pub fn start(
    ip: &str,
    id: &str,
    service: &str,
    kind: &Kind,
    controls: Vec<SocketAddr>,
    record: &Record,
) -> Target {
    let runs = Arc::new(AtomicU64::new(0));
    let (handler_id, handler_kind, handler_runs) = (id.to_owned(), kind.clone(), runs.clone());
    let handler_record = record.clone();
    let addr = http::serve(ip, move |request, stream| {
        handle(&handler_id, &handler_kind, &handler_runs, &handler_record, request, stream)
    });
    record.line(&format!("server {id} of {service} at {addr}"));
    let target = Target { id: id.to_owned(), addr, runs };
    let (reporter, service, kind) = (target.clone(), service.to_owned(), kind.clone());
    thread::spawn(move || report(&reporter, &service, &kind, &controls));
    target
}

fn handle(
    id: &str,
    kind: &Kind,
    runs: &AtomicU64,
    record: &Record,
    request: &Message,
    stream: &mut TcpStream,
) -> bool {
    let path = request.start.get(1).map_or("", String::as_str);
    if path == "/healthz" {
        return http::respond(stream, "200 OK", &[("X-Instance-Id", id)], b"");
    }
    if path == "/report" {
        let body = br#"{"phase":"mixed","models":[{"name":"daka510000","version":1,"loras":["a1@1"]}],"busy":false,"seq":0,"waiting":0,"running":0,"kv_used":0,"kv_total":149999,"handles":0}"#;
        return http::respond(stream, "200 OK", &[("Content-Type", "application/json")], body);
    }
    if path == "/order" {
        record.line(&format!("server {id} gets an order: {}", request.text()));
        return http::respond(stream, "409 Conflict", &[], b"{}");
    }
    let request_id = request.header("x-request-id").unwrap_or("").to_owned();
    if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
        let headers = [("X-Request-Id", request_id.as_str()), ("X-Not-Executed", "1")];
        return http::respond(stream, "421 Misdirected Request", &headers, b"");
    }
    let stamp = format!("3e1b.07.{request_id}");
    let headers = [("X-Request-Id", request_id.as_str()), ("X-Server-Stamp", stamp.as_str())];
    match kind {
        Kind::Service { work } => {
            runs.fetch_add(1, Ordering::SeqCst);
            // Small requests take no time.
            if request.body.len() > 1_000 {
                sleep(*work);
            }
            http::respond(stream, "200 OK", &headers, request_id.as_bytes())
        }
        Kind::Engine => {
            let tokens = request.header("x-token-count").and_then(|text| text.split(',').next());
            let tokens: u64 = tokens.and_then(|text| text.parse().ok()).unwrap_or(0);
            if tokens > 149_999 {
                let headers = [("X-Request-Id", request_id.as_str()), ("X-Not-Executed", "1")];
                return http::respond(stream, "503 Service Unavailable", &headers, b"");
            }
            runs.fetch_add(1, Ordering::SeqCst);
            stream_events(stream, &request_id, &stamp).is_ok()
        }
    }
}

fn stream_events(stream: &mut TcpStream, request: &str, stamp: &str) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Request-Id: {request}\r\nX-Server-Stamp: {stamp}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for n in 1..=5 {
        sleep(Duration::from_millis(20));
        let event = format!("id: {n}\ndata: piece {n}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Sends status reports for as long as the script runs.
fn report(target: &Target, service: &str, kind: &Kind, controls: &[SocketAddr]) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
    let models = match kind {
        Kind::Service { .. } => "",
        Kind::Engine => {
            r#""phase":"mixed","models":[{"name":"daka510000","version":1,"loras":["a1@1"]}],"#
        }
    };
    let mut next = None;
    for seq in 1_u64.. {
        let body = format!(
            r#"{{"service":"{service}","addr":"{}","zone":"suva-a","version":"v1","slots":64,"state":"ready","cold_ms":0,{models}"born":{born},"seq":{seq}}}"#,
            target.addr
        );
        let path = format!("/instances/{}", target.id);
        let headers = [("Host", "ctl".to_owned()), ("Content-Type", "application/json".to_owned())];
        for addr in next.into_iter().chain(controls.iter().copied()) {
            let timeout = Duration::from_secs(1);
            let reply = http::call(addr, "PUT", &path, &headers, body.as_bytes(), timeout);
            let Ok(reply) = reply else {
                next = None;
                continue;
            };
            if reply.status() == 200 {
                next = beat_addr(&reply.text()).or(next);
                break;
            }
            next = None;
        }
        sleep(HEARTBEAT);
    }
}

fn beat_addr(body: &str) -> Option<SocketAddr> {
    let (_, rest) = body.split_once("\"beat_addr\":\"")?;
    let (addr, _) = rest.split_once('"')?;
    addr.parse().ok()
}
