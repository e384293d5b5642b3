//! Another writer sends status reports without the field `version` for servers of one software version.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{Outcome, is_kill_alone, streams::take_up};
use crate::{
    client::{Request, config, submit},
    http,
    server::{Server, Spec},
    world::{Record, World, unique, wait_for},
};

/// Streams that may hold events of two versions.
const MAX_MIXED: usize = 2;
const CORE: usize = 3;
const EDGES: [&str; 4] = ["za", "za", "zb", "zb"];
const STREAMS: usize = 24;
/// How often the other writer reports on each server, as often as the server itself.
const INTERVAL: Duration = Duration::from_millis(1_150);

pub fn run(has_trouble: bool, record: Record) -> Outcome {
    let mut world = World::new(CORE, &EDGES, record.clone());
    world.start_all();
    let controls = world.controls();
    if !submit(&controls, "PUT", "/config", &config(1, ""), Duration::from_secs(15), &record) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    let servers: Vec<_> = (0..4)
        .map(|n| {
            let addr = format!("{}.{}:8080", world.net, 100 + n);
            let version = if n < 2 { "v1" } else { "v2" };
            let mut spec =
                Spec::model(&format!("i-{n}-{version}"), &addr, ["za", "zb"][n % 2], version);
            (spec.events, spec.event_gap) = (57, Duration::from_millis(100));
            Server::start(spec, controls.clone(), record.clone())
        })
        .collect();
    for i in CORE..world.nodes.len() {
        if !world.wait_ready(i, Duration::from_secs(15)) {
            return Err(format!("machine {i} is not ready"));
        }
        let front = world.front(i);
        let is_served = wait_for(Duration::from_secs(15), || {
            let id = format!("{:016x}", unique());
            let request = Request::stream(
                "/read/warm",
                &id,
                "base1",
                "a1:100,b1:100",
                Duration::from_secs(15),
            );
            request.send(&front, &record).is_ok_and(|a| a.status == 200 && a.is_complete)
        });
        if !is_served {
            return Err(format!("machine {i} serves nothing"));
        }
    }
    // A zone without the machine that servers report to, which keeps its owner of places.
    let busy = servers.iter().find_map(|s| s.beat_addr()).unwrap_or_default();
    let in_busy_zone =
        |i: usize| (i..i + 2).any(|n| busy.starts_with(&format!("{}:", world.nodes[n].ip)));
    let killed =
        (CORE..CORE + EDGES.len()).step_by(2).find(|i| !in_busy_zone(*i)).ok_or("no other zone")?;
    let (first, retry) = (world.front(killed), world.front(killed + 1));
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (first, retry, record) = (first.clone(), retry.clone(), record.clone());
            thread::spawn(move || take_up(n, &first, &retry, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut writers = Vec::new();
    for server in
        servers.iter().filter(|s| s.spec.version == "v1" && has_trouble && !is_kill_alone())
    {
        let (server, controls, record, is_over) =
            (server.clone(), controls.clone(), record.clone(), is_over.clone());
        writers.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                other_report(&server, &controls[0], &record);
                thread::sleep(INTERVAL);
            }
        }));
    }
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        world.kill(killed);
    }
    thread::sleep(Duration::from_millis(4_000));
    is_over.store(true, Ordering::SeqCst);
    if has_trouble {
        world.start(killed, false);
    }
    let (mut mixed, mut taken_up) = (0, 0);
    for stream in streams {
        let stream = stream.join().map_err(|_| "a consumer failed")?;
        let versions: BTreeSet<_> = stream.tries.iter().flat_map(|(_, v, _)| v.clone()).collect();
        taken_up += usize::from(stream.tries.len() > 1);
        if versions.len() > 1 {
            mixed += 1;
            record.line(format!("events of two versions: {:?}", stream.tries));
        }
    }
    for writer in writers {
        let _ = writer.join();
    }
    record.line(format!(
        "{STREAMS} streams, {taken_up} taken up again, {mixed} with events of two versions"
    ));
    if let Some(i) = (0..world.nodes.len()).find(|i| world.has_ended(*i)) {
        return Err(format!("machine {i} ended by itself"));
    }
    Ok(mixed > MAX_MIXED)
}

/// Waits for the next report of a server itself, and sends one for it that lacks a field.
fn other_report(server: &Server, control: &str, record: &Record) {
    let seen = server.reports();
    let end = Instant::now() + INTERVAL;
    while server.reports() == seen && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(50));
    let Spec { service, addr, zone, slots, id, .. } = &server.spec;
    let body = format!(
        r#"{{"service":"{service}","addr":"{addr}","zone":"{zone}","slots":{slots},"state":"ready","cold_ms":0,"born":{},"phase":"mixed","models":[{{"name":"base1","version":1,"loras":[]}}],"seq":1}}"#,
        server.born
    );
    let sent = http::call(
        control,
        "PUT",
        &format!("/instances/{id}"),
        &[],
        body.as_bytes(),
        Duration::from_secs(1),
    );
    let status = sent.map(|a| a.status);
    record.line(format!("another writer reports on {id} without its version: {status:?}"));
}
