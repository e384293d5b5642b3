//! The core loses power for some seconds, while one machine loses its path to one model server.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use super::Outcome;
use crate::{
    client::{Request, config, submit},
    server::{Server, Spec},
    world::{Record, World, unique, wait_for},
};

const CORE: usize = 3;
const EDGES: [&str; 4] = ["za", "za", "zb", "zb"];
const SERVERS: usize = 5;
/// Adapters that consumers ask for; the servers hold 30 of them at a time.
const ADAPTERS: u64 = 120;
const CONSUMERS: usize = 12;
/// Time for which the core is without power.
const DARK: Duration = Duration::from_millis(5_000);
/// The link is cut a moment before the core is back, for this time.
const CUT_BEFORE: Duration = Duration::from_millis(200);
const CUT_FOR: Duration = Duration::from_millis(5_000);

pub fn run(has_trouble: bool, record: Record) -> Outcome {
    let mut world = World::new(CORE, &EDGES, record.clone());
    let addrs: Vec<String> =
        (0..SERVERS).map(|n| format!("{}.{}:8080", world.net, 100 + n)).collect();
    for i in CORE..world.nodes.len() {
        for addr in &addrs {
            world.add_server_link(i, addr);
        }
    }
    world.start_all();
    let controls = world.controls();
    if !submit(&controls, "PUT", "/config", &config(1, ""), Duration::from_secs(15), &record) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    let servers: Vec<_> = addrs
        .iter()
        .enumerate()
        .map(|(n, addr)| {
            let mut spec = Spec::model(&format!("i-{n}"), addr, ["za", "zb"][n % 2], "v1");
            (spec.events, spec.event_gap) = (8, Duration::from_millis(30));
            Server::start(spec, controls.clone(), record.clone())
        })
        .collect();
    for i in CORE..world.nodes.len() {
        if !world.wait_ready(i, Duration::from_secs(15)) {
            return Err(format!("machine {i} is not ready"));
        }
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|n| {
            let (front, record) = (world.front(CORE + n % EDGES.len()), record.clone());
            let (is_over, served) = (is_over.clone(), served.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let (id, model) = (
                        format!("{:016x}", unique()),
                        format!("base1/a{}", 1 + unique() % ADAPTERS),
                    );
                    let request = Request::stream(
                        "/read/x",
                        &id,
                        &model,
                        "a1:100,b1:100",
                        Duration::from_secs(5),
                    );
                    let is_served = request
                        .send(&front, &record)
                        .is_ok_and(|a| a.status == 200 && a.is_complete);
                    served.fetch_add(usize::from(is_served), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(if is_served { 20 } else { 100 }));
                }
            })
        })
        .collect();
    let are_full = || servers.iter().all(|s| s.adapters() >= s.spec.adapter_slots);
    let told = || servers.iter().find_map(|s| s.beat_addr());
    if !wait_for(Duration::from_secs(30), || are_full() && told().is_some()) {
        return Err("the servers did not fill with adapters".to_owned());
    }
    // The machine that servers report to is the one that sends them orders.
    let told = told().unwrap_or_default();
    let is_told = |i: &usize| told.starts_with(&format!("{}:", world.nodes[*i].ip));
    let holder =
        (CORE..world.nodes.len()).find(is_told).ok_or("no machine of the edge gives orders")?;
    if has_trouble {
        (0..CORE).for_each(|i| world.kill(i));
    }
    thread::sleep(DARK - CUT_BEFORE);
    if has_trouble {
        world.cut_server(holder, &addrs[0], true);
    }
    thread::sleep(CUT_BEFORE);
    if has_trouble {
        (0..CORE).for_each(|i| world.start(i, false));
    }
    thread::sleep(CUT_FOR - CUT_BEFORE);
    if has_trouble {
        world.cut_server(holder, &addrs[0], false);
    }
    thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let exceeded: Vec<_> =
        servers.iter().filter(|s| s.is_exceeded()).map(|s| s.spec.id.clone()).collect();
    record.line(format!(
        "{} requests served; ordered to hold too much: {exceeded:?}",
        served.load(Ordering::SeqCst)
    ));
    if let Some(i) = (0..world.nodes.len()).find(|i| world.has_ended(*i)) {
        return Err(format!("machine {i} ended by itself"));
    }
    Ok(!exceeded.is_empty())
}
