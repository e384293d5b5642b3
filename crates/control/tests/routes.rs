//! Route tables in the control log: what a change costs, and what happens when two changes meet.

mod common;

use std::{sync::Arc, time::Duration};

use common::Log;
use shallotdrum_consensus::StateMachine;
use shallotdrum_control::{Command, CommandError, ControlView, Reply, TimedCommand};
use shallotdrum_routes::{PoolSpec, Repeat, Route, RouteTable, Share};
use shallotdrum_types::{ControlTimeMs, Revision};

/// Control traffic that a node may have in one second, in bytes; from `docs/CAPACITY.md`.
const CONTROL_BYTES_PER_S: usize = 17_000;

/// Table of a thousand routes whose first route has the given time-out.
fn table(revision: u64, timeout_s: u64) -> Arc<RouteTable> {
    let route = |at: usize| Route {
        name: format!("r-{at}"),
        host: format!("h{}.example", at % 40),
        prefix: format!("/p{at}/"),
        shares: vec![Share { pool: "desk".parse().unwrap(), weight: 1 }],
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(if at == 0 { timeout_s } else { 4 }),
        objective: Duration::from_secs(1),
        rank: 1,
        max_targets: 2,
    };
    let pool = PoolSpec {
        pool: "desk".parse().unwrap(),
        health_path: "/healthz".to_owned(),
        max_connections: 100,
        engine: None,
    };
    let routes: Vec<_> = (0..1000).map(route).collect();
    let document = format!("{revision} {routes:?}");
    Arc::new(RouteTable {
        revision: Revision(revision),
        routes,
        pools: vec![pool],
        limits: Default::default(),
        document,
    })
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
