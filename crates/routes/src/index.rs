//! Lookup of the route for a request.

use std::{collections::HashMap, sync::Arc};

use crate::{Route, RouteTable};

/// Route table with an index of the routes by host, longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    table: Arc<RouteTable>,
    /// Indices into `table.routes` by host.
    hosts: HashMap<String, Vec<usize>>,
}

impl RouteIndex {
    /// Builds the index of a table.
    pub fn new(table: Arc<RouteTable>) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (at, route) in table.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(at);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|at| std::cmp::Reverse(table.routes[*at].prefix.len()));
        }
        Self { table, hosts }
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
        let routes = self.hosts.get(&host).or_else(|| {
            // Retry without the port that a `Host` header may include.
            self.hosts.get(host.rsplit_once(':')?.0)
        })?;
        routes.iter().map(|at| &self.table.routes[*at]).find(|r| path.starts_with(&r.prefix))
    }
}
