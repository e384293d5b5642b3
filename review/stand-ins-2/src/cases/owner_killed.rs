//! The machine is killed to which the model servers report, with the streams that consumers have there.

use std::{thread, time::Duration};

use super::{
    Outcome,
    streams::{Stream, take_up},
};
use crate::{
    client::{Request, config, events, submit},
    server::{Server, Spec},
    world::{Record, World, unique, wait_for},
};

const CORE: usize = 3;
const EDGES: [&str; 6] = ["za", "za", "zb", "zb", "zc", "zc"];
const STREAMS: usize = 24;
/// From so many streams on that are taken up, their share that goes on counts.
const MIN_TAKEN_UP: usize = 12;
/// Time until the platform starts a killed process again.
const RESTART: Duration = Duration::from_millis(1_000);

pub fn run(has_trouble: bool, record: Record) -> Outcome {
    let mut world = World::new(CORE, &EDGES, record.clone());
    world.start_all();
    let controls = world.controls();
    if !submit(&controls, "PUT", "/config", &config(1, ""), Duration::from_secs(15), &record) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    let servers: Vec<_> = (0..6)
        .map(|n| {
            let addr = format!("{}.{}:8080", world.net, 100 + n);
            let version = if n < 3 { "v1" } else { "v2" };
            let mut spec =
                Spec::model(&format!("i-{n}-{version}"), &addr, ["za", "zb", "zc"][n % 3], version);
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
    let told = || servers.iter().find_map(|s| s.beat_addr());
    if !wait_for(Duration::from_secs(10), || told().is_some()) {
        return Err("no server was told where to report".to_owned());
    }
    let told = told().unwrap_or_default();
    let is_told = |i: &usize| told.starts_with(&format!("{}:", world.nodes[*i].ip));
    let killed = (CORE..world.nodes.len())
        .find(is_told)
        .ok_or("the machine that servers report to is not of the edge")?;
    // The other machine of its zone.
    let other = CORE + ((killed - CORE) ^ 1);
    let (first, retry) = (world.front(killed), world.front(other));
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (first, retry, record) = (first.clone(), retry.clone(), record.clone());
            thread::spawn(move || take_up(n, &first, &retry, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(2_000));
    if has_trouble {
        world.kill(killed);
    }
    // New streams at the machine at which the others are taken up.
    let new: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (front, record) = (retry.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(50 + 100 * n as u64));
                let (id, prompt) = (format!("{:016x}", unique()), format!("c{n:x}:100,d{n:x}:100"));
                let request =
                    Request::stream("/read/new", &id, "base1", &prompt, Duration::from_secs(12));
                request.send(&front, &record).is_ok_and(|a| !events(&a.body).is_empty())
            })
        })
        .collect();
    thread::sleep(RESTART);
    if has_trouble {
        world.start(killed, false);
    }
    let mut done: Vec<Stream> = Vec::new();
    for stream in streams {
        done.push(stream.join().map_err(|_| "a consumer failed")?);
    }
    let begun = new.into_iter().filter_map(|t| t.join().ok()).filter(|is_begun| *is_begun).count();
    let taken_up: Vec<_> = done.iter().filter(|s| s.tries.len() > 1).collect();
    let went_on =
        taken_up.iter().filter(|s| s.tries[1..].iter().any(|(_, _, events)| *events > 0)).count();
    record.line(format!(
        "{} streams taken up again, {went_on} went on; {begun} of {STREAMS} new streams began",
        taken_up.len()
    ));
    if let Some(i) = (0..world.nodes.len()).find(|i| world.has_ended(*i)) {
        return Err(format!("machine {i} ended by itself"));
    }
    let share_on = went_on as f64 / taken_up.len().max(1) as f64;
    let share_new = begun as f64 / STREAMS as f64;
    Ok(taken_up.len() >= MIN_TAKEN_UP && share_on < share_new / 2.0)
}
