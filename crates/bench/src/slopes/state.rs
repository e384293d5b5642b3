//! Memory of control states, and the cost of a manifest change.
//!
//! Each state is built in this process, saved as a snapshot and restored in a separate process. The
//! increase of that process's resident memory is the memory of the state.

use std::{path::Path, process::Command as Program};

use anyhow::{Context, ensure};
use serde::{Deserialize, Serialize};
use shallotdrum_consensus::StateMachine;
use shallotdrum_control::{
    AnnouncedTarget, CallKey, Command, ControlState, ControlView, InstanceAddrs, InstanceInfo,
    RecordedAnswer, Reply, TimedCommand,
};
use shallotdrum_engine::TargetKind;
use shallotdrum_harness::Deployment;
use shallotdrum_manifest::Manifest;
use shallotdrum_types::{ControlTimeMs, Fingerprint, Incarnation, LogIndex, SessionId};

use super::{report::Report, usage};

/// Bytes per MiB.
const MIB: f64 = 1024.0 * 1024.0;

/// Names of the files of a stored state: a snapshot, and an encoded command to apply to it.
const SNAPSHOT: &str = "snapshot";
const CHANGE: &str = "change";

/// Numbers of items in a control state.
#[derive(Clone, Copy)]
struct Sizes {
    adapters: usize,
    subscribers: usize,
    targets: usize,
    sessions: usize,
    revisions: usize,
    calls: usize,
}

/// Base sizes, small enough that the growing item dominates.
const SMALL: Sizes =
    Sizes { adapters: 10, subscribers: 10, targets: 0, sessions: 1, revisions: 1, calls: 0 };

/// Sizes at a share of the design size, where a third of the adapters have a subscriber of their
/// own.
fn design_sizes(share: f64) -> Sizes {
    let scaled = |n: f64| (n * share) as usize;
    Sizes {
        adapters: scaled(75_000.0),
        subscribers: scaled(25_000.0),
        targets: scaled(1_200.0),
        sessions: scaled(390.0),
        revisions: scaled(4_096.0),
        calls: 0,
    }
}

/// Output of a probe process; memory in bytes.
#[derive(Serialize, Deserialize)]
struct Probe {
    /// Increase of the resident memory by restoring the state.
    state: f64,
    /// Resident memory of the process with the restored state.
    resident: f64,
    /// Resident memory of the process after one change of one adapter.
    resident_after: f64,
    /// CPU time of restoring the snapshot.
    restore_ms: f64,
    /// CPU time of applying the change.
    change_ms: f64,
}

/// Restores a stored state in this process, applies one change, and prints a `Probe` as JSON.
pub(crate) fn probe(folder: &Path) -> anyhow::Result<()> {
    let pid = std::process::id();
    let before = usage::resident(pid)?;
    let mut view = ControlView::new();
    let start = usage::thread_cpu()?;
    let snapshot = std::fs::read(folder.join(SNAPSHOT))?;
    StateMachine::restore(&mut view, &snapshot)?;
    drop(snapshot);
    let restore = usage::thread_cpu()? - start;
    let resident = usage::resident(pid)?;
    let change = std::fs::read(folder.join(CHANGE))?;
    let start = usage::thread_cpu()?;
    let command = ControlView::decode(&change)?;
    let index = view.applied().next();
    let reply = StateMachine::apply(&mut view, index, command);
    let change = usage::thread_cpu()? - start;
    ensure!(matches!(reply, Reply::ManifestAccepted(_)), "the change was refused: {reply:?}");
    let probe = Probe {
        state: resident - before,
        resident,
        resident_after: usage::resident(pid)?,
        restore_ms: restore.as_secs_f64() * 1e3,
        change_ms: change.as_secs_f64() * 1e3,
    };
    println!("{}", serde_json::to_string(&probe)?);
    Ok(())
}

/// Measures the memory of control states of growing size and the CPU time of a change.
pub(crate) fn measure(report: &mut Report) -> anyhow::Result<()> {
    report.section("Control state: resident memory, each state alone in a process");
    let shares = [0.25, 0.5, 1.0];
    let scaled = |n: usize| shares.map(|share| (n as f64 * share) as usize);
    let growing = |n: usize, f: fn(&mut Sizes, usize)| {
        scaled(n).map(|n| {
            let mut sizes = SMALL;
            f(&mut sizes, n);
            (n, sizes)
        })
    };
    let series: [(&'static str, [(usize, Sizes); 3]); 6] = [
        ("adapter", growing(75_000, |s, n| s.adapters = n)),
        ("subscriber", growing(25_000, |s, n| s.subscribers = n)),
        ("target", growing(1_200, |s, n| s.targets = n)),
        ("session", growing(390, |s, n| s.sessions = n)),
        ("revision", growing(4_096, |s, n| s.revisions = n)),
        ("ledger call", growing(20_000, |s, n| s.calls = n)),
    ];
    for (per, points) in series {
        let (mut replica, mut follower, mut change) = (Vec::new(), Vec::new(), Vec::new());
        for (n, sizes) in points {
            let state = build_state(sizes)?;
            let replica_probe = run_probe(&state, true)?;
            let follower_probe = run_probe(&state, false)?;
            replica.push((n as f64, replica_probe.state));
            follower.push((n as f64, follower_probe.state));
            change.push((n as f64, follower_probe.change_ms));
        }
        report.add(format!("replica, per {per}"), "B", per, &replica);
        report.add(format!("follower, per {per}"), "B", per, &follower);
        if matches!(per, "adapter" | "subscriber") {
            report.add(format!("CPU of a change of 1 adapter, per {per}"), "ms", per, &change);
        }
    }

    report.section("Follower and replica at shares of the design size (75,000 adapters, ...)");
    let mut rows: [Vec<(f64, f64)>; 6] = Default::default();
    for share in shares {
        let sizes = design_sizes(share);
        let state = build_state(sizes)?;
        let follower = run_probe(&state, false)?;
        let replica = run_probe(&Sizes { calls: 20_000, ..sizes }.build()?, true)?;
        let values = [
            follower.resident / MIB,
            follower.resident_after / MIB,
            replica.resident / MIB,
            replica.resident_after / MIB,
            follower.restore_ms,
            follower.change_ms,
        ];
        for (row, value) in rows.iter_mut().zip(values) {
            row.push((share * 100.0, value));
        }
        if share == 1.0 {
            let bytes = state.snapshot_without_ledger().len() as f64;
            println!("  snapshot for a follower at the design size: {bytes:.0} B");
        }
    }
    let names = [
        ("follower, restored", "MiB"),
        ("follower, after one change", "MiB"),
        ("replica with 20,000 calls, restored", "MiB"),
        ("replica with 20,000 calls, after one change", "MiB"),
        ("CPU to restore a snapshot", "ms"),
        ("CPU of a change of 1 adapter", "ms"),
    ];
    for ((name, unit), row) in names.into_iter().zip(&rows) {
        report.add(name, unit, "%", row);
    }
    measure_change_size(report)
}

/// Measures the encoded size of a change, as stored in the log and sent to each follower, by the
/// number of changed adapters.
fn measure_change_size(report: &mut Report) -> anyhow::Result<()> {
    report.section("Bytes of a change of k adapters out of N");
    for adapters in [18_750, 37_500, 75_000] {
        let state = build_state(Sizes { adapters, ..SMALL })?;
        let points = [1, 10, 100, 1_000]
            .map(|k| anyhow::Ok((k as f64, change(&state, k)?.len() as f64)))
            .into_iter()
            .collect::<Result<Vec<_>, _>>()?;
        report.add(format!("command, N = {adapters}"), "B", "adapter", &points);
    }
    Ok(())
}

impl Sizes {
    fn build(self) -> anyhow::Result<ControlState> {
        build_state(self)
    }
}

fn run_probe(state: &ControlState, is_replica: bool) -> anyhow::Result<Probe> {
    let folder = tempfile::tempdir()?;
    let snapshot = match is_replica {
        true => state.snapshot(),
        false => state.snapshot_without_ledger(),
    };
    std::fs::write(folder.path().join(SNAPSHOT), snapshot)?;
    std::fs::write(folder.path().join(CHANGE), change(state, 1)?)?;
    let output = Program::new(std::env::current_exe()?)
        .args(["slopes", "--probe"])
        .arg(folder.path())
        .output()?;
    let error = String::from_utf8_lossy(&output.stderr);
    ensure!(output.status.success(), "the probe process failed: {error}");
    serde_json::from_slice(&output.stdout)
        .with_context(|| format!("cannot parse the output of the probe process: {error}"))
}

/// Encodes a command that changes the current version of the first `k` adapters.
fn change(state: &ControlState, k: usize) -> anyhow::Result<Vec<u8>> {
    let mut manifest = Manifest::clone(state.manifest().context("no manifest")?);
    for adapter in manifest.adapters.values_mut().take(k) {
        std::sync::Arc::make_mut(adapter).current = "1".parse()?;
    }
    let command = state.submit_command("change".parse()?, state.revision(), &manifest);
    Ok(ControlView::encode(&TimedCommand { at: state.now(), command }))
}

fn build_state(sizes: Sizes) -> anyhow::Result<ControlState> {
    let deployment = Deployment { subscribers: sizes.subscribers, ..Deployment::registry() }
        .scaled(0, 0, sizes.adapters);
    let json = serde_json::to_vec(&deployment.manifest())?;
    let mut manifest = Manifest::parse(&json)?;
    let mut state = ControlState::new();
    let apply = |state: &mut ControlState, command| -> anyhow::Result<()> {
        let index = LogIndex(state.applied().0 + 1);
        let reply = state.apply(index, TimedCommand { at: ControlTimeMs(1), command });
        ensure!(!matches!(reply, Reply::Refused(_)), "a command was refused: {reply:?}");
        Ok(())
    };
    let addr = "10.1.2.3:12345".parse()?;
    for i in 0..sizes.sessions {
        let info = InstanceInfo {
            instance: format!("instance-{i}").parse()?,
            incarnation: Incarnation(1),
            region: deployment.region.clone(),
            zone: deployment.zones[i % deployment.zones.len()].clone(),
            addrs: InstanceAddrs { entry: addr, rpc: addr, data: addr },
            replica: false,
            cores: None,
        };
        apply(&mut state, Command::OpenSession(info))?;
    }
    for i in 0..sizes.targets {
        let target = AnnouncedTarget {
            target: format!("engine-{i}").parse()?,
            incarnation: Incarnation(1),
            addr,
            pool: deployment.engine_pool.clone(),
            region: deployment.region.clone(),
            zone: deployment.zones[i % deployment.zones.len()].clone(),
            kind: TargetKind::Engine {
                base_model: deployment.base_model.clone(),
                adapter_slots: 4,
                max_batch: 16,
                checks_fencing: true,
            },
            software: None,
        };
        apply(&mut state, Command::RegisterTarget(target))?;
    }
    // The state keeps only submission id and digest of previous revisions, so a small manifest has
    // the same cost.
    let mut small = Manifest::empty();
    for i in 1..sizes.revisions {
        small.weight_store.max_loads_in_flight = 1 + (i as u32 % 2);
        let id = format!("submission-{i}").parse()?;
        let command = state.submit_command(id, state.revision(), &small);
        apply(&mut state, command)?;
    }
    manifest.weight_store.max_loads_in_flight = 8;
    let command = state.submit_command("submission-0".parse()?, state.revision(), &manifest);
    apply(&mut state, command)?;
    for i in 0..sizes.calls {
        let key = CallKey {
            subscriber: deployment.subscriber(0).parse()?,
            key: format!("certificate-{i}").parse()?,
        };
        let command = Command::BeginCall {
            key: key.clone(),
            fingerprint: Fingerprint::of(&i.to_le_bytes()),
            session: SessionId(1),
            attempt: format!("attempt-{i}").parse()?,
        };
        apply(&mut state, command)?;
        let answer = RecordedAnswer {
            status: 200,
            headers: vec![("content-type".to_owned(), "application/json".to_owned())],
            body: Some(vec![b'x'; 300]),
        };
        let session = SessionId(1);
        apply(&mut state, Command::FinishCall { key, session, answer: Some(answer) })?;
    }
    Ok(state)
}
