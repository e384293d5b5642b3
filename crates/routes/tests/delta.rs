//! Differences between route tables lead to the same table and stay small.

mod support;

use rstest::rstest;
use shallotdrum_routes::{DeltaError, RouteDelta, RouteTable};

use support::route_table;

fn table(revision: u64, routes: usize) -> RouteTable {
    RouteTable::clone(&route_table(revision, routes))
}

fn write_document(table: &mut RouteTable) {
    table.document = format!("{} {:?}", table.revision, table.routes);
}

fn changed(change: impl FnOnce(&mut RouteTable)) -> RouteTable {
    let mut newer = table(2, 1000);
    change(&mut newer);
    write_document(&mut newer);
    newer
}

/// Guards against a difference that loses, reorders or alters entries, also when the operator
/// sends them in another order.
#[rstest]
#[case::same(|_: &mut RouteTable| ())]
#[case::route_changed(|t: &mut RouteTable| t.routes[500].rank = 0)]
#[case::route_removed(|t: &mut RouteTable| { t.routes.remove(0); })]
#[case::routes_added(|t: &mut RouteTable| t.routes.extend(table(1, 1040).routes.split_off(1000)))]
#[case::routes_reversed(|t: &mut RouteTable| t.routes.reverse())]
#[case::all_routes_removed(|t: &mut RouteTable| t.routes.clear())]
#[case::pool_changed(|t: &mut RouteTable| t.pools[0].max_connections = 7)]
#[case::limits_changed(|t: &mut RouteTable| t.limits.header_bytes = 9)]
fn difference_leads_to_newer_table(#[case] change: fn(&mut RouteTable)) {
    let (base, newer) = (table(1, 1000), changed(change));
    let json = serde_json::to_vec(&base.diff(&newer).unwrap()).unwrap();
    let delta: RouteDelta = serde_json::from_slice(&json).unwrap();
    assert_eq!(base.apply(&delta).unwrap(), newer);
}

/// Guards against a difference that is applied to a table it was not computed from.
#[test]
fn difference_refused_for_other_base() {
    let delta = table(1, 10).diff(&table(2, 11)).unwrap();
    let error = table(3, 10).apply(&delta).unwrap_err();
    assert!(matches!(error, DeltaError::OtherBase { .. }), "{error}");
}

/// Guards against a crash on a difference that was damaged.
#[rstest]
#[case::entries("\"count\":10", "\"count\":11")]
#[case::overflow("\"from\":0", "\"from\":18446744073709551615")]
#[case::document("\"document\":\"", "\"document\":\"AAAA")]
fn damaged_difference_refused(#[case] text: &str, #[case] damaged: &str) {
    let base = table(1, 10);
    let json = serde_json::to_string(&base.diff(&table(2, 10)).unwrap()).unwrap();
    assert!(json.contains(text), "{json}");
    let delta: RouteDelta = serde_json::from_str(&json.replace(text, damaged)).unwrap();
    assert!(base.apply(&delta).is_err());
}
