//! Route table: which requests go to which pool of targets, and under which rules.
//!
//! A `RouteTable` is replaced as a whole. `check` finds what makes a table unusable, `RouteIndex`
//! finds the route of a request.
//!
//! Architecture Invariant: a table in the control state has passed `RouteTable::check`, so every
//! route leads to a pool that the table describes.

mod check;
mod index;
mod model;

pub use check::RouteError;
pub use index::RouteIndex;
pub use model::{CallerLimits, EngineSpec, ModelSpec, PoolSpec, Repeat, Route, RouteTable, Share};
