//! A request that crashes the servers that run it comes again, for other adapters.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::Outcome;
use crate::{
    client::{Request, config, submit},
    server::{Server, Spec},
    world::{Record, World, unique, wait_for},
};

const CORE: usize = 3;
const EDGES: [&str; 4] = ["za", "za", "zb", "zb"];
const SERVERS: usize = 8;
/// Path of the request, which has the same body and caller each time.
const PATH: &str = "/read/deadly";
/// `contact_ms`, after the third crash.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Later arrivals that are allowed.
const MAX_LATE: usize = 3;
/// Adapters that it comes for, and how often for each.
const ADAPTERS: usize = 5;
const TIMES: usize = 3;

pub fn run(has_trouble: bool, record: Record) -> Outcome {
    let mut world = World::new(CORE, &EDGES, record.clone());
    world.start_all();
    let controls = world.controls();
    if !submit(&controls, "PUT", "/config", &config(1, ""), Duration::from_secs(15), &record) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    // Each server starts again some seconds after a crash, under another id.
    let servers: Vec<_> = (0..SERVERS)
        .map(|n| {
            let (addr, controls, record) =
                (format!("{}.{}:8080", world.net, 100 + n), controls.clone(), record.clone());
            let is_over = is_over.clone();
            thread::spawn(move || {
                let mut arrivals: Vec<Instant> = Vec::new();
                let mut crashes: Vec<Instant> = Vec::new();
                for life in 0.. {
                    let mut spec =
                        Spec::model(&format!("i-{n}-{life}"), &addr, ["za", "zb"][n % 2], "v1");
                    spec.deadly = has_trouble.then(|| PATH.to_owned());
                    spec.marked = PATH.to_owned();
                    let server = Server::start(spec, controls.clone(), record.clone());
                    while !server.is_dead() && !is_over.load(Ordering::SeqCst) {
                        thread::sleep(Duration::from_millis(20));
                    }
                    arrivals.extend(server.marked_arrivals());
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    crashes.push(Instant::now());
                    thread::sleep(Duration::from_millis(3_000));
                }
                (arrivals, crashes)
            })
        })
        .collect();
    for i in CORE..world.nodes.len() {
        if !world.wait_ready(i, Duration::from_secs(15)) {
            return Err(format!("machine {i} is not ready"));
        }
    }
    let send = |front: &str, path: &str, adapter: usize| {
        let (id, model) = (format!("{:016x}", unique()), format!("base1/a{adapter}"));
        let prompt = format!("a1:568,{:x}:1800", unique() >> 16);
        let request = Request::stream(path, &id, &model, &prompt, Duration::from_secs(5));
        request.send(front, &record).is_ok_and(|a| a.status == 200 && a.is_complete)
    };
    for i in CORE..world.nodes.len() {
        let front = world.front(i);
        if !wait_for(Duration::from_secs(15), || send(&front, "/read/x", 1)) {
            return Err(format!("machine {i} serves nothing"));
        }
    }
    // Sound requests of the same route go on all the while.
    let fronts: Vec<String> = (CORE..world.nodes.len()).map(|i| world.front(i)).collect();
    let (over, sound_fronts, sound_record) = (is_over.clone(), fronts.clone(), record.clone());
    let sound = thread::spawn(move || {
        let mut served = 0;
        for n in 0.. {
            if over.load(Ordering::SeqCst) {
                break;
            }
            let (id, model) =
                (format!("{:016x}", unique()), format!("base1/a{}", 1 + n % ADAPTERS));
            let prompt = format!("a1:568,{:x}:1800", unique() >> 16);
            let path = format!("/read/{n}");
            let request = Request::stream(&path, &id, &model, &prompt, Duration::from_secs(5));
            served += usize::from(
                request
                    .send(&sound_fronts[n % sound_fronts.len()], &sound_record)
                    .is_ok_and(|a| a.is_complete),
            );
            thread::sleep(Duration::from_millis(50));
        }
        served
    });
    let mut n = 0;
    for adapter in 1..=ADAPTERS {
        for _ in 0..TIMES {
            send(&fronts[n % fronts.len()], PATH, adapter);
            n += 1;
            thread::sleep(Duration::from_millis(1_500));
        }
    }
    is_over.store(true, Ordering::SeqCst);
    let served = sound.join().map_err(|_| "the sound consumer failed")?;
    let (mut arrivals, mut crashes) = (Vec::new(), Vec::new());
    for server in servers {
        let (reached, crashed) = server.join().map_err(|_| "a server failed")?;
        arrivals.extend(reached);
        crashes.extend(crashed);
    }
    crashes.sort();
    let late = crashes
        .get(2)
        .map_or(0, |third| arrivals.iter().filter(|at| **at > *third + CONTACT).count());
    record.line(format!(
        "{n} deadly requests, {} reached servers, {} crashes, {late} arrivals later than contact_ms after the third; {served} sound requests served",
        arrivals.len(),
        crashes.len()
    ));
    if let Some(i) = (0..world.nodes.len()).find(|i| world.has_ended(*i)) {
        return Err(format!("machine {i} ended by itself"));
    }
    Ok(late > MAX_LATE)
}
