//! Measures what a change of one route costs, by the number of routes in the table: computing its
//! difference at the replica that receives the table, and applying the command at every instance.
//!
//! Usage: `cargo bench -p shallotdrum-control --bench route_changes`.

#[path = "../../routes/tests/support/mod.rs"]
mod support;

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use shallotdrum_consensus::StateMachine;
use shallotdrum_control::{Command, ControlView, TimedCommand};
use shallotdrum_routes::RouteTable;
use shallotdrum_types::{ControlTimeMs, LogIndex, Revision};

use support::route_table;

const CHANGES: u64 = 100;

/// Durations of one step, of which the median is printed.
#[derive(Default)]
struct Samples(Vec<Duration>);

impl Samples {
    fn time<T>(&mut self, step: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let value = black_box(step());
        self.0.push(start.elapsed());
        value
    }

    fn median_us(&mut self) -> u128 {
        self.0.sort();
        self.0[self.0.len() / 2].as_micros()
    }
}

/// The table with one route changed.
fn changed(table: &RouteTable) -> Arc<RouteTable> {
    let mut newer = table.clone();
    newer.revision = Revision(table.revision.0 + 1);
    let at = table.revision.0 as usize % newer.routes.len();
    Arc::make_mut(&mut newer.routes[at]).timeout += Duration::from_millis(1);
    let end = newer.document.len();
    newer.document.replace_range(end - 1..end, ",");
    Arc::new(newer)
}

fn main() {
    println!("routes  document  command   diff  encode  decode  apply  restore   (bytes, us)");
    for routes in [100, 1_500, 4_000] {
        let mut view = ControlView::new();
        let mut table = route_table(1, routes);
        let at = ControlTimeMs(1);
        let put = Command::PutRoutes { table: table.clone() };
        StateMachine::apply(&mut view, LogIndex(1), TimedCommand { at, command: put });
        let [mut diff, mut encode, mut decode, mut apply, mut restore] =
            std::array::from_fn(|_| Samples::default());
        let mut command_bytes = 0;
        for change in 0..CHANGES {
            let newer = changed(&table);
            let command = diff.time(|| Command::put_routes(Some(&table), newer.clone()).unwrap());
            let command = TimedCommand { at, command };
            let bytes = encode.time(|| ControlView::encode(&command));
            let command = decode.time(|| ControlView::decode(&bytes).unwrap());
            let index = LogIndex(2 + change);
            apply.time(|| StateMachine::apply(&mut view, index, command));
            (command_bytes, table) = (bytes.len(), newer);
        }
        let snapshot = view.snapshot();
        for _ in 0..10 {
            restore.time(|| StateMachine::restore(&mut view, &snapshot).unwrap());
        }
        println!(
            "{routes:6} {:9} {command_bytes:8} {:6} {:7} {:7} {:6} {:8}",
            table.document.len(),
            diff.median_us(),
            encode.median_us(),
            decode.median_us(),
            apply.median_us(),
            restore.median_us(),
        );
    }
}
