//! Route table: which requests go to which pool of targets, and under which rules.
//!
//! A `RouteTable` is replaced as a whole; a `RouteDelta` is the difference that is sent. `check`
//! finds what makes a table unusable, `RouteIndex` finds the route of a request.
//!
//! Architecture Invariant: a table in the control state has passed `RouteTable::check`, so every
//! route leads to a pool that the table describes.

mod check;
mod delta;
mod index;
mod model;

pub use check::RouteError;
pub use delta::{DeltaError, RouteDelta};
pub use index::RouteIndex;
pub use model::{CallerLimits, EngineSpec, ModelSpec, PoolSpec, Repeat, Route, RouteTable, Share};
