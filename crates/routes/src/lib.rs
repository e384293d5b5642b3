//! Route table: which requests go to which pool of targets, with which timeouts and limits.
//!
//! A `RouteTable` is replaced as a whole, and sent to other instances as a `RouteDelta`.
//! `RouteTable::check` validates a table, and `RouteIndex` finds the route
//! for a request and the customer for a key.
//!
//! Architecture Invariant: a table in the control state has passed `RouteTable::check`, so every
//! route refers to pools that the table defines.

mod check;
mod delta;
mod index;
mod model;

pub use check::{MAX_ALLOTMENT, RouteError};
pub use delta::{DeltaError, RouteDelta};
pub use index::RouteIndex;
pub use model::{
    Allotment, AllotmentUnit, CallerLimits, Customer, EngineSpec, ModelSpec, PoolSpec, RetryPolicy,
    Route, RouteTable, WeightedPool,
};
