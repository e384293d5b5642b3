//! Lookup of the route of a request.

use std::{collections::HashMap, sync::Arc};

use crate::{Route, RouteTable};

/// Route table with the routes of each host, longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    table: Arc<RouteTable>,
    hosts: HashMap<String, Vec<usize>>,
}

impl RouteIndex {
    /// Indexes a table.
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

    /// The table.
    pub fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Route with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let routes = self.hosts.get(&host).or_else(|| {
            // Callers may name the port.
            self.hosts.get(host.rsplit_once(':')?.0)
        })?;
        routes.iter().map(|at| &self.table.routes[*at]).find(|r| path.starts_with(&r.prefix))
    }
}
