//! Entry: the public HTTP interface. Parses and authorises requests, resolves models, chooses the
//! target group and relays the answer of the group's owner.
//!
//! Architecture Invariant: the entry decides nothing about targets. It picks a group, forwards to
//! the group's owner, and is the only place that retries towards owners.
//!
//! Architecture Invariant: an answer is reported as whole only after the owner's `Frame::End`. A
//! request is reported as not run only if each forward of it failed before a byte was sent or was
//! refused as not run.

mod auth;
mod body;
mod budget;
mod catalog;
mod completions;
mod context;
mod models;
mod openai;
mod problem;
mod relay;
mod route;
mod router;
mod routing;
mod server;
mod services;
mod sse;
mod stall;
mod targets;

pub use catalog::{Catalog, GroupOwner, LookupError, Model, Owner, ServiceRoute};
pub use context::{EntryConfig, EntryContext, Freshness, FreshnessFn, TargetFn};
pub use server::{EntryHandle, EntryServer};
pub use shallotdrum_engine::{AnnounceReply, CacheEvents, Leave, PrefixHash};
pub use shallotdrum_owner::completion_fingerprint as fingerprint;
