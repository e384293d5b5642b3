//! Route tables in the control log: size of changes and snapshots, and concurrent changes.

mod common;
#[path = "../../routes/tests/support/mod.rs"]
mod tables;

use std::{sync::Arc, time::Duration};

use common::Log;
use shallotdrum_consensus::StateMachine;
use shallotdrum_control::{Command, CommandError, ControlView, Reply, TimedCommand};
use shallotdrum_routes::RouteTable;
use shallotdrum_types::{ControlTimeMs, LogIndex, Revision};
use tables::route_table;

/// Limit on the control traffic of an instance, in bytes per second; from `docs/CAPACITY.md`.
const MAX_CONTROL_BYTES_PER_S: usize = 17_000;

/// Limit on the size of a follower's snapshot in bytes: half the capacity of a 10 Mbit/s link,
/// which also carries requests, during the 650 ms that the follower waits, less a quarter for
/// base64.
const MAX_FOLLOWER_SNAPSHOT_BYTES: usize = 10_000_000 / 8 / 2 * 65 / 100 * 3 / 4;

/// Table of a thousand routes whose first route has the given timeout.
fn table(revision: u64, timeout_s: u64) -> Arc<RouteTable> {
    let mut table = RouteTable::clone(&route_table(revision, 1000));
    Arc::make_mut(&mut table.routes[0]).timeout = Duration::from_secs(timeout_s);
    table.document = format!("{revision} {:?}", table.routes);
    Arc::new(table)
}

/// Command by which the leader replaces the table.
fn put(log: &Log, table: Arc<RouteTable>) -> Command {
    Command::put_routes(log.state.route_table().map(Arc::as_ref), table).unwrap()
}

/// Guards against a change of one route that sends the whole table to all instances. In a large
/// deployment, tables then arrived seconds after the change was acknowledged.
#[test]
fn change_of_one_route_is_small_in_log() {
    let mut log = Log::default();
    let command = put(&log, table(1, 4));
    assert_eq!(log.apply(command), Reply::RoutesInForce(Revision(1)));
    let command = put(&log, table(2, 5));
    let logged = TimedCommand { at: ControlTimeMs(0), command: command.clone() };
    let bytes = ControlView::encode(&logged).len();
    assert!(bytes <= MAX_CONTROL_BYTES_PER_S, "{bytes} bytes");
    assert_eq!(log.apply(command), Reply::RoutesInForce(Revision(2)));
    assert_eq!(log.state.route_table(), Some(&table(2, 5)));
}

/// Guards against a delta that is applied to a table other than its base because two changes were
/// proposed concurrently.
#[test]
fn concurrent_change_refused_and_recomputed() {
    let mut log = Log::default();
    let first = put(&log, table(1, 4));
    log.apply(first);
    let (second, third) = (put(&log, table(2, 5)), put(&log, table(3, 6)));
    log.apply(second);
    let conflict = CommandError::RoutesConflict { base: Revision(1), current: Revision(2) };
    assert_eq!(log.refused(third), conflict);
    let third = put(&log, table(3, 6));
    assert_eq!(log.apply(third), Reply::RoutesInForce(Revision(3)));
    assert_eq!(log.state.route_table(), Some(&table(3, 6)));
}

/// Guards against an older table that replaces a newer one, or that is refused: an operator may
/// resend it after a lost reply.
#[test]
fn older_change_accepted_without_effect() {
    let mut log = Log::default();
    log.apply(Command::PutRoutes { table: table(1, 4) });
    let second = put(&log, table(2, 5));
    log.apply(Command::PutRoutes { table: table(3, 6) });
    assert_eq!(log.apply(second), Reply::RoutesInForce(Revision(3)));
    assert_eq!(log.state.route_table(), Some(&table(3, 6)));
}

/// Guards against a snapshot that is too large for a follower to fetch in time over a slow link.
/// With such snapshots, followers took up to 20 s after a restart of all instances.
#[test]
fn follower_snapshot_of_thousand_routes_is_small() {
    let mut log = Log::default();
    log.apply(Command::PutRoutes { table: table(1, 4) });
    let bytes = log.state.snapshot_without_ledger().len();
    assert!(bytes <= MAX_FOLLOWER_SNAPSHOT_BYTES, "{bytes} bytes");
}

/// Guards against a release that cannot read the data folder of a previous one.
#[test]
fn plain_snapshot_of_previous_release_restored() {
    let mut log = Log::default();
    log.apply(Command::PutRoutes { table: table(1, 4) });
    let plain = zstd::decode_all(log.state.snapshot().as_slice()).unwrap();
    let mut view = ControlView::new();
    view.restore(&plain).unwrap();
    assert_eq!(view.applied(), LogIndex(1));
    assert_eq!(view.read(|state| state.route_table().cloned()), Some(table(1, 4)));
}
