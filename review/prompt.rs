//! A few requests that are larger than a server's memory, beside ordinary ones.

use std::{
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    deploy::{Deployment, HOST, Role},
    http::Connection,
    target::{self, Kind},
};

/// `timeout_ms` of the route.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Time after it by which a final answer must be there.
const SLACK: Duration = Duration::from_millis(500);

/// Ordinary requests, and the time between two of them.
const REQUESTS: usize = 40;
const INTERVAL: Duration = Duration::from_millis(100);

/// Tokens of the last part of the prompt of a large request.
const LARGE: u64 = 4_000_000_000;

/// Tokens of the last part of an ordinary prompt.
const ORDINARY: u64 = 1_800;

pub fn run(deployment: &mut Deployment, has_trouble: bool) -> Outcome {
    let core = vec![1, 2, 3, 4, 5];
    deployment.seeds = vec![1, 2, 3];
    for machine in &core {
        deployment.start(*machine, Role::Replica, true);
    }
    for machine in 11..=13 {
        deployment.start(machine, Role::Entry, true);
    }
    if !deployment.put_config(&core, 1, CONFIG, Duration::from_secs(20)) {
        return Err("the first configuration was not acknowledged".to_owned());
    }
    let controls: Vec<_> = core.iter().map(|machine| deployment.control(*machine)).collect();
    for n in 1..=3 {
        let (ip, id) = (deployment.ip(18), format!("i-engine-{n}"));
        target::start(&ip, &id, "huvo11a", &Kind::Engine, controls.clone(), &deployment.record);
    }
    if !deployment.wait_ready(11, Duration::from_secs(10)) {
        return Err("the entry is not ready".to_owned());
    }
    sleep(Duration::from_secs(6));
    let addr = deployment.front(11);
    let record = deployment.record.clone();
    let results: Arc<Mutex<Vec<(usize, Duration, String)>>> = Arc::default();
    let mut threads = Vec::new();
    let started = Instant::now();
    for n in 0..REQUESTS {
        let is_large = n == 10;
        let tokens = if is_large && has_trouble { LARGE } else { ORDINARY };
        let (record, results) = (record.clone(), results.clone());
        threads.push(thread::spawn(move || {
            let sent = Instant::now();
            let id = format!("{:016x}", 0x9c41_0000 + n);
            if tokens == LARGE {
                record.line(&format!("request {id} with {tokens} prompt tokens is sent"));
            }
            let headers = [
                ("Host", HOST.to_owned()),
                ("X-Request-Id", id.clone()),
                ("X-Deadline-Ms", TIMEOUT.as_millis().to_string()),
                ("X-Model", "daka510000/a1".to_owned()),
                ("X-Token-Count", format!("{},80", tokens + 568)),
                ("X-Prompt-Prefix", format!("5c1e07a2:568,{n:x}:{tokens}")),
            ];
            let answer = Connection::open(addr, Duration::from_secs(60)).and_then(|mut c| {
                c.send("POST", "/pufi791/1", &headers, b"prompt")?;
                c.receive()
            });
            let text = answer.map_or_else(|e| e.to_string(), |a| format!("status {}", a.status()));
            results.lock().unwrap().push((n, sent.elapsed(), text));
        }));
        sleep(INTERVAL);
    }
    for thread in threads {
        let _ = thread.join();
    }
    record.line(&format!("all requests have ended {:?} after the first", started.elapsed()));
    let mut results = results.lock().unwrap().clone();
    results.sort();
    for (n, took, text) in &results {
        record.line(&format!("request {n}: {text} after {} ms", took.as_millis()));
    }
    let late = results.iter().filter(|(_, took, _)| *took > TIMEOUT).count();
    let missing = results.iter().filter(|(_, took, _)| *took > TIMEOUT + SLACK).count();
    record.line(&format!(
        "{late} requests were unanswered at the timeout of their route, {missing} of them half a second later"
    ));
    let peak = deployment.memory_kb(11, "VmHWM").unwrap_or(0) / 1024;
    record.line(&format!("peak memory of the entry: {peak} MB of {} MB", deployment.ram_mb));
    if deployment.has_ended(11) {
        record.line("the process of machine 11 has ended");
        return Ok(false);
    }
    Ok(late < 8 || 2 * missing <= late)
}

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-2b9wu3f","host":"ficu95.example","prefix":"/pufi791/","type":"stream","timeout_ms":5000,"slo_ms":1000,"prio":1,"service":"huvo11a","attempts":2,"sticky":true,"can_resume":true,"itl_slo_ms":400}],"services":[{"name":"huvo11a","health_path":"/healthz","max_conns":370,"proto":"h1","tls":false,"runtime":{"slots":64,"kv_cap":149999,"kv_bytes":327680,"link_mbps":740000.0,"moves":true,"backups":true,"stride":3,"cap":12,"host_mb":140000.0,"disk_mb":400000.0,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"daka510000","weights_mb":65100.0,"load_s":2.9,"loras":3000,"lora_mb":12.0,"warm_s":0.57,"disk_load_s":1.2}],"weights_mb":66000.0,"lora_slots":6,"loads_per_s":3.4}}],"limits":{"hdr_bytes":16384,"body_bytes":4194304,"hdr_ms":3000,"idle_ms":15000}}"#;
