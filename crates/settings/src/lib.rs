//! Settings of one instance: one JSON file, checked as a whole before start.
//!
//! Architecture Invariant: a `Settings` value that `load` or `from_json` returned satisfies every
//! rule of `check`. All problems of a file are reported together, each with its JSON path.

mod check;
mod error;
mod fields;
mod model;
mod parse;
mod tree;

pub use error::{Problem, SettingsErrors};
pub use model::{
    Addrs, Freshness, Limits, Log, LogFormat, LogLevel, Policy, PolicyMode, ReplicaAddr, Settings,
    WhenStale,
};
