//! Route tables for the tests of this crate and of `shallotdrum-control`.

use std::{sync::Arc, time::Duration};

use shallotdrum_routes::{
    CallerLimits, Customer, PoolSpec, RetryPolicy, Route, RouteTable, WeightedPool,
};
use shallotdrum_types::{KeyHash, Revision};

/// Valid table with one pool and the given number of routes.
pub(crate) fn route_table(revision: u64, routes: usize) -> Arc<RouteTable> {
    let route = |at: usize| Route {
        name: format!("r-{at}"),
        host: format!("h{}.example", at % 40),
        prefix: format!("/p{at}/"),
        shares: vec![WeightedPool { pool: "desk".parse().unwrap(), weight: 1 }],
        repeat: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(4),
        objective: Duration::from_secs(1),
        rank: 1,
        max_targets: 2,
        is_public: false,
    };
    let pool = PoolSpec {
        pool: "desk".parse().unwrap(),
        health_path: "/healthz".to_owned(),
        max_connections: 100,
        engine: None,
    };
    let routes: Vec<_> = (0..routes).map(route).map(Arc::new).collect();
    let document = format!("{revision} {routes:?}");
    Arc::new(RouteTable {
        revision: Revision(revision),
        routes,
        pools: vec![pool],
        customers: None,
        limits: CallerLimits::default(),
        document,
    })
}

/// Customer with these keys, without a rank and an allotment.
#[allow(dead_code, reason = "not every test has customers")]
pub(crate) fn customer(name: &str, keys: &[&str]) -> Customer {
    let keys = keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect();
    Customer { name: name.parse().unwrap(), keys, rank: None, allotment: None }
}
