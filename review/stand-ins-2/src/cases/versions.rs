//! A machine of the edge that is cut off from the core takes up streams while a release is under way.

use std::{collections::BTreeSet, thread, time::Duration};

use super::{Outcome, is_kill_alone, streams::take_up};
use crate::{
    client::{Request, config, submit},
    server::{Server, Spec},
    world::{Record, World, unique, wait_for},
};

/// Streams that may hold events of two versions.
const MAX_MIXED: usize = 2;
const CORE: usize = 3;
/// Zones of the machines of the edge, two in each.
const EDGES: [&str; 6] = ["za", "za", "zb", "zb", "zc", "zc"];
/// Length of the cut.
const CUT_FOR: Duration = Duration::from_millis(5_500);
const STREAMS: usize = 24;

pub fn run(has_trouble: bool, record: Record) -> Outcome {
    let mut world = World::new(CORE, &EDGES, record.clone());
    for i in CORE..CORE + EDGES.len() {
        world.add_links(i);
    }
    world.start_all();
    let controls = world.controls();
    if !submit(&controls, "PUT", "/config", &config(1, ""), Duration::from_secs(15), &record) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    let server = |n: usize, version: &str| {
        let addr = format!("{}.{}:8080", world.net, 100 + n);
        let mut spec =
            Spec::model(&format!("i-{n}-{version}"), &addr, ["za", "zb", "zc"][n % 3], version);
        (spec.events, spec.event_gap) = (57, Duration::from_millis(80));
        Server::start(spec, controls.clone(), record.clone())
    };
    let old: Vec<_> = (0..3).map(|n| server(n, "v1")).collect();
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
    // Another zone than that of the machine that servers report to, so that the release goes on.
    let busy = old.iter().find_map(|s| s.beat_addr()).unwrap_or_default();
    let in_busy_zone =
        |i: usize| (i..i + 2).any(|n| busy.starts_with(&format!("{}:", world.nodes[n].ip)));
    let cut = (CORE..CORE + EDGES.len())
        .step_by(2)
        .find(|i| !in_busy_zone(*i))
        .ok_or("no zone to cut")?;
    let killed = cut + 1;
    if has_trouble && !is_kill_alone() {
        world.cut(cut);
    }
    let healed_at = std::time::Instant::now() + CUT_FOR;
    thread::sleep(Duration::from_millis(200));
    // The release, of one server of three: the new one starts first.
    let _new = server(3, "v2");
    thread::sleep(Duration::from_millis(800));
    let (first, retry) = (world.front(killed), world.front(cut));
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (first, retry, record) = (first.clone(), retry.clone(), record.clone());
            thread::spawn(move || take_up(n, &first, &retry, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    if has_trouble {
        world.kill(killed);
    }
    thread::sleep(healed_at.saturating_duration_since(std::time::Instant::now()));
    if has_trouble {
        world.heal(cut);
        world.start(killed, false);
    }
    let mut mixed = 0;
    let mut taken_up = 0;
    for stream in streams {
        let stream = stream.join().map_err(|_| "a consumer failed")?;
        let versions: BTreeSet<_> = stream.tries.iter().flat_map(|(_, v, _)| v.clone()).collect();
        taken_up += usize::from(stream.tries.len() > 1);
        if versions.len() > 1 {
            mixed += 1;
            record.line(format!("events of two versions: {:?}", stream.tries));
        }
    }
    record.line(format!(
        "{STREAMS} streams, {taken_up} taken up again, {mixed} with events of two versions"
    ));
    if let Some(i) = (0..world.nodes.len()).find(|i| world.has_ended(*i)) {
        return Err(format!("machine {i} ended by itself"));
    }
    Ok(mixed > MAX_MIXED)
}
