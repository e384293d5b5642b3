//! The indexed state of crashes decides as the plain rules do, on drawn sequences of commands.

mod common;
mod reference;

use common::Log;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use reference::suspects::{CrashReport, Suspects};
use rstest::rstest;
use shallotdrum_control::{
    CallerIdentity, Command, CompletedRuns, ControlState, Isolation, PartRun, Reply, SuspectPart,
};
use shallotdrum_types::{ControlTimeMs, Fingerprint, Incarnation};

/// Replaces the number of drawn sequences of each case.
const SEQUENCES: &str = "SHALLOTDRUM_SEQUENCES";

/// What a sequence draws from.
#[derive(Clone, Copy, Debug)]
struct Mix {
    targets: u64,
    callers: u64,
    paths: u64,
    parts: u64,
    /// Requests aboard a crash, at most.
    aboard: usize,
    /// Control time between two commands in milliseconds, at most.
    pause: u64,
    /// Share of the reports whose requests ran alone.
    alone: f64,
}

impl Mix {
    /// Few identities, so that crashes soon have causes.
    const SMALL: Self =
        Self { targets: 8, callers: 5, paths: 3, parts: 8, aboard: 4, pause: 400, alone: 0.0 };
    /// Crashes in waves, each with many requests and parts that are seen once.
    const WAVES: Self =
        Self { targets: 40, callers: 60, paths: 4, parts: 400, aboard: 12, pause: 60, alone: 0.0 };
    /// Both isolations in one state.
    const MIXED: Self =
        Self { targets: 6, callers: 6, paths: 3, parts: 6, aboard: 3, pause: 2_000, alone: 0.3 };
    /// More crashes, suspects and parts than the state keeps.
    const MANY: Self = Self {
        targets: 600,
        callers: 20_000,
        paths: 20,
        parts: 40_000,
        aboard: 80,
        pause: 60,
        alone: 0.95,
    };
}

fn fingerprint(kind: &str, n: u64) -> Fingerprint {
    Fingerprint::of(format!("{kind}-{n}").as_bytes())
}

/// Draws commands that concern crashes.
struct Generator {
    rng: StdRng,
    mix: Mix,
    /// Incarnation of each target.
    incarnations: Vec<u64>,
    /// Requests and parts that were named.
    named: Vec<Fingerprint>,
    reported: u64,
}

impl Generator {
    fn new(seed: u64, mix: Mix) -> Self {
        let incarnations = vec![1; mix.targets as usize];
        Self { rng: StdRng::seed_from_u64(seed), mix, incarnations, named: Vec::new(), reported: 0 }
    }

    fn command(&mut self) -> Command {
        match self.rng.random_range(0..100) {
            0..60 => self.crash(),
            60..80 => self.runs(),
            80..88 => Command::EndSuspension { request: self.named() },
            88..92 => Command::LiftQuarantine { request: self.named() },
            92..94 => Command::ClearSuspect { request: self.named() },
            _ => Command::RaiseFormat { format: shallotdrum_types::ControlFormat(1) },
        }
    }

    fn named(&mut self) -> Fingerprint {
        let n = self.rng.random_range(0..self.named.len().max(1));
        self.named.get(n).copied().unwrap_or_else(|| fingerprint("path", 0))
    }

    fn crash(&mut self) -> Command {
        let target = self.rng.random_range(0..self.mix.targets);
        let incarnation = &mut self.incarnations[target as usize];
        // Several instances report most crashes.
        if self.rng.random_bool(0.4) {
            *incarnation += 1;
        }
        let incarnation = Incarnation(*incarnation);
        let isolation = match self.rng.random_bool(self.mix.alone) {
            true => Isolation::Alone,
            false => Isolation::Shared,
        };
        let (mut requests, mut any_caller, mut callers) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..self.rng.random_range(1..=self.mix.aboard) {
            let caller = self.rng.random_range(0..self.mix.callers);
            let path = self.rng.random_range(0..self.mix.paths);
            let request = fingerprint("request", caller * 1_000 + path);
            requests.push(request);
            if self.rng.random_bool(0.8) {
                let path = fingerprint("path", path);
                requests.push(path);
                any_caller.push(path);
                callers.push(CallerIdentity { request, any_caller: path });
            }
        }
        let parts = (0..self.rng.random_range(0..=self.mix.aboard)).map(|_| {
            let n = self.rng.random_range(0..self.mix.parts);
            SuspectPart { part: fingerprint("part", n), is_first: n % 5 == 0 }
        });
        let parts: Vec<_> = parts.collect();
        self.named.extend(requests.iter().copied().chain(parts.iter().map(|suspect| suspect.part)));
        self.reported += 1;
        let (completed, part_runs) = match self.rng.random_bool(0.2) {
            true => self.drawn_runs(),
            false => (Vec::new(), Vec::new()),
        };
        Command::ReportCrash {
            target: format!("e{target}").parse().unwrap(),
            incarnation,
            requests,
            isolation,
            any_caller,
            callers,
            completed,
            parts,
            part_runs,
        }
    }

    fn runs(&mut self) -> Command {
        let (completed, part_runs) = self.drawn_runs();
        Command::ReportRuns { completed, part_runs }
    }

    fn drawn_runs(&mut self) -> (Vec<CompletedRuns>, Vec<PartRun>) {
        let completed = (0..self.rng.random_range(0..3))
            .map(|_| CompletedRuns { request: self.named(), runs: self.rng.random_range(1..40) });
        let completed = completed.collect();
        let part_runs = (0..self.rng.random_range(0..3)).map(|_| PartRun {
            part: self.named(),
            crashes_known: self.rng.random_range(0..=self.reported),
        });
        (completed, part_runs.collect())
    }
}

/// Applies a command to the plain rules, as `ControlState` does; returns whether it was accepted.
fn apply_plainly(rules: &mut Suspects, command: Command, now: ControlTimeMs) -> bool {
    rules.advance(now);
    match command {
        Command::ReportCrash {
            target,
            incarnation,
            requests,
            isolation,
            any_caller,
            callers,
            completed,
            parts,
            part_runs,
        } => {
            let crash = (target, incarnation);
            let report = CrashReport {
                crash,
                requests,
                isolation,
                any_caller,
                callers,
                completed,
                parts,
                part_runs,
            };
            rules.report(&report, now);
            true
        }
        Command::ReportRuns { completed, part_runs } => {
            rules.complete(&completed, &part_runs, now);
            true
        }
        Command::EndSuspension { request } => rules.end_suspension(request, now).is_ok(),
        Command::LiftQuarantine { request } => rules.lift(request).is_ok(),
        Command::ClearSuspect { request } => {
            rules.clear(&request);
            true
        }
        _ => true,
    }
}

/// Crashes, suspects and quarantines of a state, as its snapshot holds them.
fn suspects_of(state: &ControlState) -> serde_json::Value {
    let json = zstd::decode_all(state.snapshot_without_ledger().as_slice()).unwrap();
    let mut snapshot: serde_json::Value = serde_json::from_slice(&json).unwrap();
    snapshot["shared"]["suspects"].take()
}

/// Guards against indexes that make the state decide otherwise than other releases on the same log.
#[rstest]
#[case::small(Mix::SMALL, 200, 40)]
#[case::waves(Mix::WAVES, 200, 4)]
#[case::mixed(Mix::MIXED, 200, 40)]
#[case::limits(Mix::MANY, 450, 1)]
fn decisions_equal_plain_rules(#[case] mix: Mix, #[case] commands: usize, #[case] sequences: u64) {
    let chosen = std::env::var(SEQUENCES).ok().and_then(|text| text.parse().ok());
    let sequences = chosen.unwrap_or(sequences);
    for seed in 0..sequences {
        let mut generator = Generator::new(seed, mix);
        let mut log = Log::default();
        let mut rules = Suspects::default();
        for n in 0..commands {
            log.now += generator.rng.random_range(0..=mix.pause);
            // Expires suspects and parts, and passes the time in which parts are observed.
            if generator.rng.random_bool(0.01) {
                let long = [5_000, 30_000, 3_700_000, 90_000_000];
                log.now += long[generator.rng.random_range(0..long.len())];
            }
            let command = generator.command();
            let accepted = apply_plainly(&mut rules, command.clone(), ControlTimeMs(log.now));
            let reply = log.apply(command.clone());
            let context = || format!("seed {seed}, command {n}: {command:?}");
            assert_eq!(!matches!(reply, Reply::Refused(_)), accepted, "{}", context());
            if n % (commands / 10) == 0 || n + 1 == commands {
                let plain = serde_json::to_value(&rules).unwrap();
                assert!(suspects_of(&log.state) == plain, "{}", context());
            }
            // A restored replica decides as one that has applied the whole log.
            if n % 50 == 25 {
                let snapshot = log.state.snapshot();
                log.state = ControlState::from_snapshot(&snapshot).unwrap();
            }
        }
    }
}
