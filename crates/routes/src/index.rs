//! Lookup of the route for a request.

use std::{
    collections::HashMap,
    sync::{Arc, OnceLock},
};

use crate::{Route, RouteTable};

/// Route table with an index of the routes by host, longest prefix first.
///
/// The index is built at the first lookup: a replica that applies many changes in a row needs none
/// of those between.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    table: Arc<RouteTable>,
    /// Indices into `table.routes` by host.
    hosts: OnceLock<HashMap<String, Vec<usize>>>,
}

impl RouteIndex {
    /// Index of a table.
    pub fn new(table: Arc<RouteTable>) -> Self {
        Self { table, hosts: OnceLock::new() }
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
