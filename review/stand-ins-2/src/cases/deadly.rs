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
/// From one deadly request to the next; all of them come in 20 s.
const GAP: Duration = Duration::from_millis(1_300);
const LENGTH: Duration = Duration::from_secs(20);
/// Largest share of the deadly requests among those of their route.
const SHARE: f64 = 0.03;
/// Consumers that send sound requests, so that the share is kept.
const SOUND: usize = 24;

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
    let sound: Vec<_> = (0..SOUND)
        .map(|consumer| {
            let (over, fronts, record) = (is_over.clone(), fronts.clone(), record.clone());
            thread::spawn(move || {
                let (mut sent, mut served) = (0, 0);
                while !over.load(Ordering::SeqCst) {
                    let n = sent * SOUND + consumer;
                    let model = format!("base1/a{}", 1 + n % ADAPTERS);
                    let (id, path) = (format!("{:016x}", unique()), format!("/read/{n}"));
                    let prompt = format!("a1:568,{:x}:1800", unique() >> 16);
                    let request =
                        Request::stream(&path, &id, &model, &prompt, Duration::from_secs(5));
                    let answer = request.send(&fronts[n % fronts.len()], &record);
                    sent += 1;
                    served += usize::from(answer.is_ok_and(|a| a.status == 200 && a.is_complete));
                    thread::sleep(Duration::from_millis(50));
                }
                (sent, served)
            })
        })
        .collect();
    let mut n = 0;
    let began = Instant::now();
    for adapter in 1..=ADAPTERS {
        for _ in 0..TIMES {
            send(&fronts[n % fronts.len()], PATH, adapter);
            n += 1;
            let next = began + GAP * u32::try_from(n).unwrap_or_default();
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }
    let took = began.elapsed();
    is_over.store(true, Ordering::SeqCst);
    let (mut sent, mut served) = (0, 0);
    for consumer in sound {
        let (more_sent, more_served) = consumer.join().map_err(|_| "a sound consumer failed")?;
        sent += more_sent;
        served += more_served;
    }
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
        "{n} deadly requests, {} reached servers, {} crashes, {late} arrivals later than contact_ms after the third; {served} of {sent} sound requests served",
        arrivals.len(),
        crashes.len()
    ));
    let share = f64::from(u32::try_from(n).unwrap_or(u32::MAX))
        / f64::from(u32::try_from(n + sent).unwrap_or(u32::MAX));
    record
        .line(format!("share of the deadly requests: {share:.4}, in {:.1} s", took.as_secs_f64()));
    if share > SHARE || took > LENGTH + Duration::from_millis(500) {
        return Err("more deadly requests than the pages name".to_owned());
    }
    if let Some(i) = (0..world.nodes.len()).find(|i| world.has_ended(*i)) {
        return Err(format!("machine {i} ended by itself"));
    }
    Ok(late > MAX_LATE)
}
