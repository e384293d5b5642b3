//! Measures what applying a report of a crash costs, by the number of reports before it, and what any
//! other command costs in that state.
//!
//! Targets crash with 40 requests aboard, each reported by another instance: the request, the same by
//! any caller, two shared parts of its prompt and three of its own.
//!
//! Usage: `cargo bench -p shallotdrum-control --bench control_apply`.

use std::time::{Duration, Instant};

use shallotdrum_control::{
    CallerIdentity, Command, ControlState, Isolation, SuspectPart, TimedCommand,
};
use shallotdrum_types::{AdapterId, BaseModelId, ControlTimeMs, Fingerprint, Incarnation};

const TARGETS: u64 = 40;
const ABOARD: u64 = 40;
const REPORTS: u64 = 4_800;
const STEP: u64 = 400;
/// Control time from one report to the next in milliseconds: a target crashes each 40 ms.
const REPORT_INTERVAL_MS: u64 = 1;

/// Durations of one kind of command since the last row.
#[derive(Default)]
struct Samples(Vec<Duration>);

impl Samples {
    fn take(&mut self) -> String {
        let samples = std::mem::take(&mut self.0);
        let mean = samples.iter().sum::<Duration>() / samples.len().max(1) as u32;
        let worst = samples.iter().max().copied().unwrap_or_default();
        format!("{:9} {:9}", mean.as_micros(), worst.as_micros())
    }
}

fn fingerprint(kind: &str, n: u64) -> Fingerprint {
    Fingerprint::of(format!("{kind}-{n}").as_bytes())
}

fn report(n: u64) -> Command {
    let crash = n / ABOARD;
    let request = fingerprint("request", n);
    let path = fingerprint("path", n % 3);
    let shared = [("route", n % 3), ("document", n % 103)];
    let own = (0..3).map(|part| ("own", 3 * n + part));
    let parts = shared.into_iter().chain(own).enumerate();
    let parts = parts
        .map(|(i, (kind, n))| SuspectPart { part: fingerprint(kind, n), is_first: i == 0 })
        .collect();
    Command::ReportCrash {
        target: format!("engine-{}", crash % TARGETS).parse().unwrap(),
        incarnation: Incarnation(1 + crash / TARGETS),
        requests: vec![request, path],
        isolation: Isolation::Shared,
        any_caller: vec![path],
        callers: vec![CallerIdentity { request, any_caller: path }],
        completed: Vec::new(),
        parts,
        part_runs: Vec::new(),
    }
}

fn main() {
    let base: BaseModelId = "base".parse().unwrap();
    let adapter: AdapterId = "adapter".parse().unwrap();
    let mut state = ControlState::new();
    let [mut reports, mut others] = std::array::from_fn(|_| Samples::default());
    println!("reports    report: mean, worst   other: mean, worst   (us)");
    for n in 0..REPORTS {
        let other = Command::RaiseAdapterVersion {
            base: base.clone(),
            adapter: adapter.clone(),
            version: n,
        };
        let commands = [(report(n), &mut reports), (other, &mut others)];
        for (command, samples) in commands {
            let at = ControlTimeMs(1_000 + n * REPORT_INTERVAL_MS);
            let index = state.applied().next();
            let start = Instant::now();
            state.apply(index, TimedCommand { at, command });
            samples.0.push(start.elapsed());
        }
        if (n + 1) % STEP == 0 {
            println!("{:7}  {}  {}", n + 1, reports.take(), others.take());
        }
    }
}
