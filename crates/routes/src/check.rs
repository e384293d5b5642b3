//! Validation of a whole route table.

use std::collections::{BTreeSet, HashMap, HashSet};

use shallotdrum_types::{CustomerName, KeyHash, PoolId};

use crate::{Allotment, RouteTable};

/// Maximum rate and burst of an allotment. Sums of such numbers stay exact to a fraction of a unit.
pub const MAX_ALLOTMENT: f64 = 1e15;

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
    /// Two customers have the same name.
    #[error("two customers have the name `{0}`")]
    DuplicateCustomer(CustomerName),
    /// Two customers have the same key, which the error does not show.
    #[error("customers `{first}` and `{second}` have the same key")]
    SharedKey {
        /// Customer that has the key first in the table.
        first: CustomerName,
        /// Customer that has it as well.
        second: CustomerName,
    },
    /// A number of an allotment is negative, not finite or too large.
    #[error("{field} of customer `{customer}` is not a number from 0 to 10^15")]
    InvalidAllotment {
        /// Customer with the allotment.
        customer: CustomerName,
        /// Which number is invalid.
        field: &'static str,
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
        self.check_customers()
    }

    fn check_customers(&self) -> Result<(), RouteError> {
        let mut names: HashSet<&CustomerName> = HashSet::new();
        let mut owners: HashMap<&KeyHash, &CustomerName> = HashMap::new();
        for customer in self.customers.iter().flatten() {
            if !names.insert(&customer.name) {
                return Err(RouteError::DuplicateCustomer(customer.name.clone()));
            }
            for key in &customer.keys {
                match owners.insert(key, &customer.name) {
                    Some(first) if *first != customer.name => {
                        let (first, second) = (first.clone(), customer.name.clone());
                        return Err(RouteError::SharedKey { first, second });
                    }
                    _ => {}
                }
            }
            if let Some(field) = customer.allotment.and_then(|allotment| allotment.invalid_field())
            {
                let customer = customer.name.clone();
                return Err(RouteError::InvalidAllotment { customer, field });
            }
        }
        Ok(())
    }
}

impl Allotment {
    fn invalid_field(&self) -> Option<&'static str> {
        let numbers = [("rate", self.rate), ("burst", self.burst)];
        numbers
            .into_iter()
            // Not a number is in no range.
            .find(|(_, number)| !(0.0..=MAX_ALLOTMENT).contains(number))
            .map(|(field, _)| field)
    }
}
