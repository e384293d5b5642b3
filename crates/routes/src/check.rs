//! Validation of a whole route table.

use std::collections::BTreeSet;

use shallotdrum_types::PoolId;

use crate::RouteTable;

/// Reason for which a route table is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// A route refers to a pool that the table does not define.
    #[error("route `{route}` refers to pool {pool}, which the table does not define")]
    UnknownPool {
        /// Name of the route.
        route: String,
        /// Pool that is missing in `RouteTable::pools`.
        pool: PoolId,
    },
    /// Two routes match the same requests.
    #[error("two routes have host `{host}` and prefix `{prefix}`")]
    Duplicate {
        /// Host of both routes.
        host: String,
        /// Path prefix of both routes.
        prefix: String,
    },
    /// All pools of the named route have weight 0.
    #[error("the weights of route `{0}` add up to 0")]
    ZeroWeight(String),
    /// The named route has a timeout of 0.
    #[error("the timeout of route `{0}` is 0")]
    ZeroTimeout(String),
    /// A path prefix does not start and end with a slash.
    #[error("prefix `{prefix}` of route `{route}` must start and end with a slash")]
    InvalidPrefix {
        /// Name of the route.
        route: String,
        /// Path prefix as given.
        prefix: String,
    },
}

impl RouteTable {
    /// Checks that the table may become the current one; reports the first problem.
    pub fn check(&self) -> Result<(), RouteError> {
        let pools: BTreeSet<&PoolId> = self.pools.iter().map(|spec| &spec.pool).collect();
        let mut seen = BTreeSet::new();
        for route in &self.routes {
            let name = || route.name.clone();
            if let Some(share) = route.shares.iter().find(|share| !pools.contains(&share.pool)) {
                return Err(RouteError::UnknownPool { route: name(), pool: share.pool.clone() });
            }
            if route.shares.iter().all(|share| share.weight == 0) {
                return Err(RouteError::ZeroWeight(name()));
            }
            if route.timeout.is_zero() {
                return Err(RouteError::ZeroTimeout(name()));
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(RouteError::InvalidPrefix {
                    route: name(),
                    prefix: route.prefix.clone(),
                });
            }
            if !seen.insert((&route.host, &route.prefix)) {
                let (host, prefix) = (route.host.clone(), route.prefix.clone());
                return Err(RouteError::Duplicate { host, prefix });
            }
        }
        Ok(())
    }
}
