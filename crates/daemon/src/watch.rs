//! Follows the control state for the log and the gauges.
//!
//! Each change of what this instance believes about routes and targets is one line, so a request
//! can be compared with what was in force here at its time.

use std::collections::BTreeMap;

use shallotdrum_control::{ControlState, ControlView};
use shallotdrum_telemetry::{Metrics, event};
use shallotdrum_types::{Incarnation, LogIndex, Revision, TargetId};

/// What the log has told last.
#[derive(Default)]
struct Told {
    routes: Revision,
    targets: BTreeMap<TargetId, (Incarnation, bool)>,
}

/// Follows the control state until the task is dropped.
pub(crate) async fn watch_state(view: ControlView, metrics: Metrics, log: slog::Logger) {
    let mut changed = view.changed();
    let mut told = Told::default();
    loop {
        let (index, revision) = view.read(|state| (state.applied(), state.revision()));
        metrics.log_index().set(index.0 as i64);
        metrics.manifest_revision().set(revision.0 as i64);
        let now = view.read(current);
        tell(&log, index, &told, &now);
        told = now;
        if changed.changed().await.is_err() {
            return;
        }
    }
}

fn current(state: &ControlState) -> Told {
    let targets = state.targets().map(|target| {
        let announced = &target.announced;
        (announced.target.clone(), (announced.incarnation, target.draining))
    });
    Told {
        routes: state.route_table().map_or(Revision(0), |table| table.revision),
        targets: targets.collect(),
    }
}

/// Logs the differences.
fn tell(log: &slog::Logger, index: LogIndex, told: &Told, now: &Told) {
    if now.routes != told.routes {
        event!(log, ROUTES_CHANGED; "revision" => now.routes.0, "index" => index.0);
    }
    for (target, (incarnation, draining)) in &now.targets {
        let known = told.targets.get(target);
        if known.is_none_or(|(known, _)| known != incarnation) {
            event!(log, TARGET_REGISTERED; "target" => %target,
                "incarnation" => incarnation.0, "index" => index.0);
        }
        if *draining && known.is_none_or(|(_, was_draining)| !was_draining) {
            event!(log, TARGET_DRAINING; "target" => %target, "index" => index.0);
        }
    }
    for target in told.targets.keys().filter(|target| !now.targets.contains_key(*target)) {
        event!(log, TARGET_LEFT; "target" => %target, "index" => index.0);
    }
}
