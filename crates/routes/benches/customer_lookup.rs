//! Time to find the customer of a key, by number of keys: `cargo bench -p shallotdrum-routes`.

use std::{hint::black_box, sync::Arc, time::Instant};

use shallotdrum_routes::{Customer, RouteIndex, RouteTable};
use shallotdrum_types::KeyHash;

/// Look-ups of each kind.
const LOOKUPS: usize = 1_000_000;

/// Customers of a table.
const CUSTOMERS: usize = 10;

fn main() {
    for keys in [10, 1_000, 100_000] {
        let key = |n: usize| KeyHash::of(format!("key-{n}").as_bytes());
        let customer = |c: usize| Customer {
            name: format!("c-{c}").parse().expect("a valid name"),
            keys: (0..keys).filter(|n| n % CUSTOMERS == c).map(key).collect(),
            rank: None,
            allotment: None,
        };
        let customers = Some((0..CUSTOMERS).map(customer).map(Arc::new).collect());
        let index = RouteIndex::new(Arc::new(RouteTable { customers, ..RouteTable::default() }));
        let start = Instant::now();
        index.customer_of(&key(0));
        let built = start.elapsed();
        let known: Vec<_> = (0..1_000).map(|n| key(n * 7_919 % keys)).collect();
        let unknown: Vec<_> = (0..1_000).map(|n| key(keys + n)).collect();
        for (kind, hashes) in [("known", &known), ("unknown", &unknown)] {
            let start = Instant::now();
            for hash in hashes.iter().cycle().take(LOOKUPS) {
                black_box(index.customer_of(black_box(hash)));
            }
            let ns = start.elapsed().as_nanos() / LOOKUPS as u128;
            println!("{keys} keys, {kind}: {ns} ns; index built in {} us", built.as_micros());
        }
    }
}
