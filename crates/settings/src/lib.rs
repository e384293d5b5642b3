//! Settings of one instance, loaded from one JSON file and validated as a whole before start.
//!
//! Architecture Invariant: a `Settings` value returned by `load` or `from_json` satisfies every
//! rule of `check`. All problems of a file are reported together, each with its JSON path.

mod check;
mod error;
mod fields;
mod model;
mod parse;
mod strict_json;

pub use error::{Problem, SettingsError};
pub use model::{
    Addrs, Freshness, Limits, Log, LogFormat, LogLevel, Policy, PolicyMode, ReplicaAddr,
    Scheduling, Settings, WhenStale,
};
