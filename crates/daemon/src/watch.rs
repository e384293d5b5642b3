//! Logs changes of the control state and updates its gauges.
//!
//! Each change of the routes or targets in this instance's state is one log line, so that the log
//! shows the state with which a request was handled.

use std::collections::BTreeMap;

use shallotdrum_control::{ControlState, ControlView};
use shallotdrum_telemetry::{Metrics, event};
use shallotdrum_types::{Incarnation, LogIndex, Revision, TargetId};

/// State that was logged last.
#[derive(Default)]
struct LoggedState {
    routes: Revision,
    targets: BTreeMap<TargetId, (Incarnation, bool)>,
}

/// Logs state changes until the task is dropped.
pub(crate) async fn watch_state(view: ControlView, metrics: Metrics, log: slog::Logger) {
    let mut changed = view.changed();
    let mut logged = LoggedState::default();
    loop {
        let (index, revision) = view.read(|state| (state.applied(), state.revision()));
        metrics.log_index().set(index.0 as i64);
        metrics.manifest_revision().set(revision.0 as i64);
        let current = view.read(summarize);
        log_changes(&log, index, &logged, &current);
        logged = current;
        if changed.changed().await.is_err() {
            return;
        }
    }
}

fn summarize(state: &ControlState) -> LoggedState {
    let targets = state.targets().map(|target| {
        let announced = &target.announced;
        (announced.target.clone(), (announced.incarnation, target.draining))
    });
    LoggedState {
        routes: state.route_table().map_or(Revision(0), |table| table.revision),
        targets: targets.collect(),
    }
}

/// Logs the differences between two states.
fn log_changes(log: &slog::Logger, index: LogIndex, logged: &LoggedState, current: &LoggedState) {
    if current.routes != logged.routes {
        event!(log, ROUTES_CHANGED; "revision" => current.routes.0, "index" => index.0);
    }
    for (target, (incarnation, draining)) in &current.targets {
        let known = logged.targets.get(target);
        if known.is_none_or(|(known, _)| known != incarnation) {
            event!(log, TARGET_REGISTERED; "target" => %target,
                "incarnation" => incarnation.0, "index" => index.0);
        }
        if *draining && known.is_none_or(|(_, was_draining)| !was_draining) {
            event!(log, TARGET_DRAINING; "target" => %target, "index" => index.0);
        }
    }
    for target in logged.targets.keys().filter(|target| !current.targets.contains_key(*target)) {
        event!(log, TARGET_LEFT; "target" => %target, "index" => index.0);
    }
}
