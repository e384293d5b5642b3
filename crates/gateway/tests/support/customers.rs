//! Tables with customers, and confirmations.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue};
use shallotdrum_gateway::Credentials;
use shallotdrum_routes::{Customer, RetryPolicy, Route, RouteIndex, RouteTable};
use shallotdrum_types::{Confirmation, Freshness, KeyHash, LastConfirmation, LogIndex, Term};

pub(crate) fn route(is_public: bool) -> Route {
    Route {
        name: "r-1".to_owned(),
        host: "desk.example".to_owned(),
        prefix: "/d/".to_owned(),
        shares: Vec::new(),
        repeat: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::ZERO,
        rank: 0,
        max_targets: 1,
        is_public,
    }
}

/// Index of a table in which each of these customers has a key of its own; `None` without customers.
pub(crate) fn routes(customers: Option<&[(&str, &str)]>) -> RouteIndex {
    let customer = |(name, key): &(&str, &str)| {
        Arc::new(Customer {
            name: name.parse().unwrap(),
            keys: vec![KeyHash::of(key.as_bytes())],
            rank: None,
            allotment: None,
        })
    };
    let customers = customers.map(|list| list.iter().map(customer).collect());
    RouteIndex::new(Arc::new(RouteTable { customers, ..RouteTable::default() }))
}

/// Credentials with these values of `Authorization`.
pub(crate) fn credentials<T: AsRef<[u8]>>(values: &[T]) -> Credentials {
    let values: Vec<_> =
        values.iter().map(|value| HeaderValue::from_bytes(value.as_ref()).unwrap()).collect();
    Credentials::new(&values, HeaderMap::new())
}

/// Confirmation that has this age.
pub(crate) fn confirmed(freshness: Freshness, age: Option<Duration>) -> Confirmation {
    let last = age.map(|age| LastConfirmation { index: LogIndex(1), term: Term(1), age });
    Confirmation { freshness, last }
}
