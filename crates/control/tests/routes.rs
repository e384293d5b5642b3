//! Route tables in the control log: what a change costs, and what happens when two changes meet.

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

/// Control traffic that a node may have in one second, in bytes; from `docs/CAPACITY.md`.
const CONTROL_BYTES_PER_S: usize = 17_000;

/// Most bytes of the state that a follower gets at once: half of a link of 10 Mbit/s, which also
/// carries requests, during the 650 ms that the follower waits, less a quarter for base64.
const STATE_BYTES: usize = 10_000_000 / 8 / 2 * 65 / 100 * 3 / 4;

/// Table of a thousand routes whose first route has the given time-out.
fn table(revision: u64, timeout_s: u64) -> Arc<RouteTable> {
    let mut table = RouteTable::clone(&route_table(revision, 1000));
    table.routes[0].timeout = Duration::from_secs(timeout_s);
    table.document = format!("{revision} {:?}", table.routes);
    Arc::new(table)
}

/// Command of a leader that puts a table in force.
fn put(log: &Log, table: Arc<RouteTable>) -> Command {
    Command::put_routes(log.state.route_table().map(Arc::as_ref), table).unwrap()
}

/// Guards against a change of one route that sends the whole table to every instance: over the
/// links of a grown site, tables arrived seconds after they had been acknowledged.
#[test]
fn change_of_one_route_is_small_in_log() {
    let mut log = Log::default();
    let command = put(&log, table(1, 4));
    assert_eq!(log.apply(command), Reply::RoutesInForce(Revision(1)));
    let command = put(&log, table(2, 5));
    let logged = TimedCommand { at: ControlTimeMs(0), command: command.clone() };
    let bytes = ControlView::encode(&logged).len();
    assert!(bytes <= CONTROL_BYTES_PER_S, "{bytes} bytes");
    assert_eq!(log.apply(command), Reply::RoutesInForce(Revision(2)));
    assert_eq!(log.state.route_table(), Some(&table(2, 5)));
}

/// Guards against a difference that is applied to another table than it was computed from, when
/// two changes are proposed at the same time.
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

/// Guards against an older table that replaces a newer one, or is refused: an operator may send
/// it again after a lost answer.
#[test]
fn overtaken_change_accepted_without_effect() {
    let mut log = Log::default();
    log.apply(Command::PutRoutes { table: table(1, 4) });
    let second = put(&log, table(2, 5));
    log.apply(Command::PutRoutes { table: table(3, 6) });
    assert_eq!(log.apply(second), Reply::RoutesInForce(Revision(3)));
    assert_eq!(log.state.route_table(), Some(&table(3, 6)));
}

/// Guards against a state that a follower cannot fetch in time over a slow link: after a restart
/// of all instances it took them up to 20 s.
#[test]
fn state_of_thousand_routes_is_small_for_followers() {
    let mut log = Log::default();
    log.apply(Command::PutRoutes { table: table(1, 4) });
    let bytes = log.state.snapshot_without_ledger().len();
    assert!(bytes <= STATE_BYTES, "{bytes} bytes");
}

/// Guards against a data folder that a new release cannot read.
#[test]
fn plain_snapshot_of_earlier_release_restored() {
    let mut log = Log::default();
    log.apply(Command::PutRoutes { table: table(1, 4) });
    let plain = zstd::decode_all(log.state.snapshot().as_slice()).unwrap();
    let mut view = ControlView::new();
    view.restore(&plain).unwrap();
    assert_eq!(view.applied(), LogIndex(1));
    assert_eq!(view.read(|state| state.route_table().cloned()), Some(table(1, 4)));
}
