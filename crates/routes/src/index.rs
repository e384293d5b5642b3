//! Lookup of the route for a request, and of the customer for a key.

use std::{
    collections::HashMap,
    sync::{Arc, OnceLock},
};

use shallotdrum_types::KeyHash;

use crate::{Customer, Route, RouteTable};

/// Route table with an index of the routes by host, longest prefix first, and one of the customers by
/// key.
///
/// Each index is built at the first lookup: a replica that applies many changes in a row needs none
/// of those between.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    table: Arc<RouteTable>,
    /// Indices into `table.routes` by host.
    hosts: OnceLock<HashMap<String, Vec<usize>>>,
    /// Indices into `table.customers` by hash of the key.
    keys: OnceLock<HashMap<KeyHash, usize>>,
    middle_rank: OnceLock<Option<u8>>,
}

impl RouteIndex {
    /// Index of a table.
    pub fn new(table: Arc<RouteTable>) -> Self {
        Self { table, hosts: OnceLock::new(), keys: OnceLock::new(), middle_rank: OnceLock::new() }
    }

    fn hosts(&self) -> &HashMap<String, Vec<usize>> {
        self.hosts.get_or_init(|| {
            let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
            for (at, route) in self.table.routes.iter().enumerate() {
                match hosts.get_mut(&route.host) {
                    Some(routes) => routes.push(at),
                    None => drop(hosts.insert(route.host.clone(), vec![at])),
                }
            }
            for routes in hosts.values_mut() {
                routes.sort_by_key(|at| std::cmp::Reverse(self.table.routes[*at].prefix.len()));
            }
            hosts
        })
    }

    fn keys(&self) -> &HashMap<KeyHash, usize> {
        self.keys.get_or_init(|| {
            let customers = self.table.customers.iter().flatten().enumerate();
            customers.flat_map(|(at, c)| c.keys.iter().map(move |key| (*key, at))).collect()
        })
    }

    /// Finds the customer with a key, in a time that does not depend on the number of keys.
    pub fn customer_of(&self, key: &KeyHash) -> Option<&Arc<Customer>> {
        let at = *self.keys().get(key)?;
        self.table.customers.as_ref()?.get(at)
    }

    /// Middle one of the ranks that customers have; of two, the more urgent one.
    ///
    /// Ranks have no fixed scale: next to ranks of 0 and 1, a fixed default of 5 is behind everyone.
    pub fn middle_rank(&self) -> Option<u8> {
        *self.middle_rank.get_or_init(|| {
            let customers = self.table.customers.iter().flatten();
            let mut ranks: Vec<u8> = customers.filter_map(|customer| customer.rank).collect();
            ranks.sort_unstable();
            ranks.get(ranks.len().saturating_sub(1) / 2).copied()
        })
    }

    /// Indexed table.
    pub fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Finds the route with the longest prefix of the path.
    ///
    /// `host` is the value of a `Host` header: its case and its port are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let hosts = self.hosts();
        let routes = hosts.get(&host).or_else(|| {
            // Retry without the port that a `Host` header may include.
            hosts.get(host.rsplit_once(':')?.0)
        })?;
        routes
            .iter()
            .map(|at| self.table.routes[*at].as_ref())
            .find(|r| path.starts_with(&r.prefix))
    }
}
