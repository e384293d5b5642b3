//! Rules that a route table must meet as a whole.

use std::collections::BTreeSet;

use shallotdrum_types::PoolId;

use crate::RouteTable;

/// Why a route table is not usable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// A route names a pool that the table does not describe.
    #[error("route `{route}` leads to pool {pool}, which the table does not describe")]
    UnknownPool {
        /// Route.
        route: String,
        /// Pool.
        pool: PoolId,
    },
    /// Two routes have the same host and prefix.
    #[error("two routes have host `{host}` and prefix `{prefix}`")]
    Duplicate {
        /// Host.
        host: String,
        /// Prefix.
        prefix: String,
    },
    /// The weights of a route add up to 0.
    #[error("the weights of route `{0}` add up to 0")]
    NoWeight(String),
    /// A route has no time for an answer.
    #[error("the time-out of route `{0}` is 0")]
    NoTimeout(String),
    /// A prefix is no path that begins and ends with a slash.
    #[error("prefix `{prefix}` of route `{route}` does not begin and end with a slash")]
    Prefix {
        /// Route.
        route: String,
        /// Prefix.
        prefix: String,
    },
}

impl RouteTable {
    /// Checks that the table can be put in force; reports the first problem.
    pub fn check(&self) -> Result<(), RouteError> {
        let pools: BTreeSet<&PoolId> = self.pools.iter().map(|spec| &spec.pool).collect();
        let mut places = BTreeSet::new();
        for route in &self.routes {
            let name = || route.name.clone();
            if let Some(share) = route.shares.iter().find(|share| !pools.contains(&share.pool)) {
                return Err(RouteError::UnknownPool { route: name(), pool: share.pool.clone() });
            }
            if route.shares.iter().all(|share| share.weight == 0) {
                return Err(RouteError::NoWeight(name()));
            }
            if route.timeout.is_zero() {
                return Err(RouteError::NoTimeout(name()));
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(RouteError::Prefix { route: name(), prefix: route.prefix.clone() });
            }
            if !places.insert((&route.host, &route.prefix)) {
                let (host, prefix) = (route.host.clone(), route.prefix.clone());
                return Err(RouteError::Duplicate { host, prefix });
            }
        }
        Ok(())
    }
}
