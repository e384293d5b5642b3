//! Applying a route delta reproduces the newer table; invalid deltas are rejected.

mod support;

use std::sync::Arc;

use rstest::rstest;
use shallotdrum_routes::{DeltaError, RouteDelta, RouteTable};

use support::{customer, route_table};

fn table(revision: u64, routes: usize) -> RouteTable {
    RouteTable::clone(&route_table(revision, routes))
}

fn update_document(table: &mut RouteTable) {
    table.document = format!("{} {:?}", table.revision, table.routes);
}

fn modified_table(change: impl FnOnce(&mut RouteTable)) -> RouteTable {
    let mut newer = table(2, 1000);
    change(&mut newer);
    update_document(&mut newer);
    newer
}

/// Guards against a delta that loses, reorders or alters entries, including when the operator
/// submits them in another order.
#[rstest]
#[case::same(|_: &mut RouteTable| ())]
#[case::route_changed(|t: &mut RouteTable| Arc::make_mut(&mut t.routes[500]).rank = 0)]
#[case::route_removed(|t: &mut RouteTable| { t.routes.remove(0); })]
#[case::routes_added(|t: &mut RouteTable| t.routes.extend(table(1, 1040).routes.split_off(1000)))]
#[case::routes_reversed(|t: &mut RouteTable| t.routes.reverse())]
#[case::all_routes_removed(|t: &mut RouteTable| t.routes.clear())]
#[case::pool_changed(|t: &mut RouteTable| t.pools[0].max_connections = 7)]
#[case::limits_changed(|t: &mut RouteTable| t.limits.header_bytes = 9)]
fn delta_reproduces_newer_table(#[case] change: fn(&mut RouteTable)) {
    let (base, newer) = (table(1, 1000), modified_table(change));
    let json = serde_json::to_vec(&base.diff(&newer).unwrap()).unwrap();
    let delta: RouteDelta = serde_json::from_slice(&json).unwrap();
    assert_eq!(base.apply(&delta).unwrap(), newer);
}

/// Guards against applying a delta to a table other than its base.
#[test]
fn delta_rejected_for_other_base() {
    let delta = table(1, 10).diff(&table(2, 11)).unwrap();
    let error = table(3, 10).apply(&delta).unwrap_err();
    assert!(matches!(error, DeltaError::BaseMismatch { .. }), "{error}");
}

/// Guards against a panic on a corrupt delta.
#[rstest]
#[case::entries("\"count\":10", "\"count\":11")]
#[case::overflow("\"from\":0", "\"from\":18446744073709551615")]
#[case::document("\"document\":\"", "\"document\":\"AAAA")]
fn corrupt_delta_rejected(#[case] text: &str, #[case] corrupt: &str) {
    let base = table(1, 10);
    let json = serde_json::to_string(&base.diff(&table(2, 10)).unwrap()).unwrap();
    assert!(json.contains(text), "{json}");
    let delta: RouteDelta = serde_json::from_str(&json.replace(text, corrupt)).unwrap();
    assert!(base.apply(&delta).is_err());
}

/// Names and keys of customers, or no list.
type Customers = Option<&'static [(&'static str, &'static [&'static str])]>;

const NONE: Customers = None;
const EMPTY: Customers = Some(&[]);
const ONE: Customers = Some(&[("kelp", &["a"])]);
const TWO: Customers = Some(&[("kelp", &["a"]), ("moss", &["b", "c"])]);
const KEY_MOVED: Customers = Some(&[("kelp", &["a", "b"]), ("moss", &["c"])]);

/// Guards against a customer or key that stays in force after its removal, and against a lost list, without
/// which nobody needs a key.
#[rstest]
fn delta_reproduces_customers(
    #[values(NONE, EMPTY, ONE, TWO, KEY_MOVED)] before: Customers,
    #[values(NONE, EMPTY, ONE, TWO, KEY_MOVED)] after: Customers,
) {
    let with = |revision, customers: Customers| {
        let mut table = table(revision, 10);
        table.customers = customers
            .map(|list| list.iter().map(|(name, keys)| Arc::new(customer(name, keys))).collect());
        table
    };
    let (base, newer) = (with(1, before), with(2, after));
    let json = serde_json::to_vec(&base.diff(&newer).unwrap()).unwrap();
    let delta: RouteDelta = serde_json::from_slice(&json).unwrap();
    assert_eq!(delta.has_customers(), after.is_some());
    assert_eq!(base.apply(&delta).unwrap(), newer);
}

/// Guards against a change of one customer that sends all of them to each instance.
#[test]
fn delta_of_one_customer_is_small() {
    let with = |revision, changed: &str| {
        let mut table = table(revision, 10);
        let listed = (0..1_000).map(|n| customer(&format!("c-{n}"), &[&format!("k-{n}")]));
        table.customers =
            Some(listed.chain([customer("last", &[changed])]).map(Arc::new).collect());
        table
    };
    let delta = with(1, "x").diff(&with(2, "y")).unwrap();
    let bytes = serde_json::to_vec(&delta).unwrap().len();
    assert!(bytes < 2_000, "{bytes} bytes");
}
