//! A new server leaves before its first status report has arrived.

use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    Outcome,
    deploy::{Deployment, HOST, Role},
    http::{self, Connection},
    target::{self, Kind},
};

/// Service of the route, and the server that leaves.
const SERVICE: &str = "wuno96b";
const LEAVING: &str = "i-leaves";

/// `drain_ms`.
const DRAIN: Duration = Duration::from_secs(2);

/// Delay of the status report of the server on its way.
const REPORT_DELAY: Duration = Duration::from_millis(2_500);

/// Time from the start of the server to its `DELETE`: before it would call the next machine for want of an
/// acknowledgement.
const LIFE: Duration = Duration::from_millis(900);

/// Time from the acknowledgement to the exit of the server.
const LINGER: Duration = Duration::from_secs(5);

/// Time between two requests of consumers, and for which a server works on one.
const INTERVAL: Duration = Duration::from_millis(40);
const WORK: Duration = Duration::from_millis(300);

/// Process of the server that leaves; ends with this value.
struct Server(Child);

impl Server {
    fn end(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end();
    }
}

/// Runs the server that leaves, as a process of its own: prints its address and then a line for each
/// request that it begins.
pub fn serve(ip: &str) -> ! {
    let addr = http::serve(ip, |request, stream| {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let expected = request.header("x-expect-instance").unwrap_or(LEAVING);
        if expected != LEAVING {
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
            return http::respond(stream, "421 Misdirected Request", &headers, b"");
        }
        println!("{id}");
        let _ = std::io::stdout().flush();
        sleep(WORK);
        let headers = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", "3e1b.07.5a2")];
        http::respond(stream, "200 OK", &headers, id.as_bytes())
    });
    println!("{addr}");
    let _ = std::io::stdout().flush();
    // Longer than the script runs; an end of the script by force leaves no server behind.
    sleep(Duration::from_secs(100));
    std::process::exit(0);
}

pub fn run(deployment: &mut Deployment, has_trouble: bool) -> Outcome {
    let core = vec![1, 2, 3, 4, 5];
    deployment.seeds = vec![1, 2, 3];
    for machine in &core {
        deployment.start(*machine, Role::Replica, true);
    }
    let entries = [11, 12, 13];
    for machine in entries {
        deployment.start(machine, Role::Entry, true);
    }
    if !deployment.put_config(&core, 1, CONFIG, Duration::from_secs(20)) {
        return Err("the first configuration was not acknowledged".to_owned());
    }
    let controls: Vec<_> = core.iter().map(|machine| deployment.control(*machine)).collect();
    let kind = Kind::Service { work: WORK };
    let stays = deployment.ip(18);
    target::start(&stays, "i-stays", SERVICE, &kind, controls.clone(), &deployment.record);
    for machine in entries {
        if !deployment.wait_ready(machine, Duration::from_secs(10)) {
            return Err("an entry is not ready".to_owned());
        }
    }
    // All machines are in touch from here on, and the format of the control log is agreed.
    sleep(Duration::from_secs(14));
    let is_raised = core.iter().any(|machine| deployment.output(*machine).contains("K0219"));
    deployment.record.line(&format!("the format of the control log has been raised: {is_raised}"));

    let record = deployment.record.clone();
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let server = Command::new(program)
        .args(["server", &deployment.ip(19)])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|e| e.to_string())?;
    let mut server = Server(server);
    let mut lines = BufReader::new(server.0.stdout.take().ok_or("no output")?).lines();
    let addr: SocketAddr =
        lines.next().and_then(|line| line.ok()?.parse().ok()).ok_or("the server did not start")?;
    let runs: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let begun = runs.clone();
    thread::spawn(move || {
        for id in lines.map_while(Result::ok) {
            begun.lock().unwrap().push((Instant::now(), id));
        }
    });
    record.line(&format!("server {LEAVING} of {SERVICE} starts at {addr}"));
    let started = Instant::now();
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
    let (first, reporter) = (controls[0], record.clone());
    thread::spawn(move || {
        let body = format!(
            r#"{{"service":"{SERVICE}","addr":"{addr}","zone":"suva-a","version":"v1","slots":64,"state":"ready","cold_ms":0,"born":{born},"seq":1}}"#
        );
        reporter.line(&format!("{LEAVING} sends its first status report to {first}"));
        if has_trouble {
            sleep(REPORT_DELAY);
        }
        let reply = put(first, &body);
        reporter.line(&format!("the status report has arrived: {reply}"));
    });
    sleep((started + LIFE).saturating_duration_since(Instant::now()));
    let path = format!("/instances/{LEAVING}");
    let headers = [("Host", "ctl".to_owned())];
    let timeout = Duration::from_secs(1);
    let left = http::call(controls[3], "DELETE", &path, &headers, b"", timeout);
    let status = left.map_or_else(|e| e.to_string(), |response| response.status().to_string());
    record.line(&format!("{LEAVING} sends DELETE to {}: {status}", controls[3]));
    if status != "200" {
        return Err("the departure was not acknowledged".to_owned());
    }
    let acknowledged = Instant::now();

    let results: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let mut threads = Vec::new();
    let mut n = 0_usize;
    let mut exited = false;
    while acknowledged.elapsed() < LINGER + Duration::from_secs(2) {
        if !exited && acknowledged.elapsed() >= LINGER {
            server.end();
            record.line(&format!("{LEAVING} exits"));
            exited = true;
        }
        let front = deployment.front(entries[n % entries.len()]);
        let results = results.clone();
        let id = format!("{:016x}", 0x9c41_0000 + n);
        threads.push(thread::spawn(move || {
            let headers = [
                ("Host", HOST.to_owned()),
                ("X-Request-Id", id.clone()),
                ("X-Deadline-Ms", "3000".to_owned()),
            ];
            let answer = Connection::open(front, Duration::from_secs(5)).and_then(|mut c| {
                c.send("POST", "/pufi791/c", &headers, &[b'x'; 2_000])?;
                c.receive()
            });
            let text = answer.map_or_else(|e| e.to_string(), |a| a.status().to_string());
            results.lock().unwrap().push((id, text));
        }));
        n += 1;
        sleep(INTERVAL);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let runs = runs.lock().unwrap().clone();
    let results = results.lock().unwrap().clone();
    let late: Vec<_> = runs.iter().filter(|(at, _)| *at > acknowledged + DRAIN).collect();
    let lost = late
        .iter()
        .filter(|(_, id)| results.iter().any(|(other, status)| other == id && status != "200"));
    let last = late.last().map_or(Duration::ZERO, |(at, _)| *at - acknowledged);
    record.line(&format!(
        "{n} requests were sent; {} of them reached {LEAVING} later than drain_ms after the acknowledgement, \
         the last one {} ms after it; {} of these got no 200",
        late.len(),
        last.as_millis(),
        lost.count()
    ));
    Ok(late.is_empty())
}

fn put(control: SocketAddr, body: &str) -> String {
    let headers = [("Host", "ctl".to_owned()), ("Content-Type", "application/json".to_owned())];
    let path = format!("/instances/{LEAVING}");
    let timeout = Duration::from_secs(1);
    http::call(control, "PUT", &path, &headers, body.as_bytes(), timeout)
        .map_or_else(|e| e.to_string(), |response| format!("status {}", response.status()))
}

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-i9n73hh","host":"ficu95.example","prefix":"/pufi791/","type":"non_idempotent","timeout_ms":3000,"slo_ms":300,"prio":1,"service":"wuno96b","attempts":1}],"services":[{"name":"wuno96b","health_path":"/healthz","max_conns":370,"proto":"h1","tls":false}],"limits":{"hdr_bytes":16384,"body_bytes":4194304,"hdr_ms":3000,"idle_ms":15000}}"#;
