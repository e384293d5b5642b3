//! Entry: the public HTTP server of an instance. Parses and authorises requests, resolves models,
//! chooses a target group, forwards to the instance that owns the group and relays its response.
//!
//! Architecture Invariant: the entry never chooses a target. It chooses a group and forwards to the
//! group's owner, and it is the only place that retries requests to owners.
//!
//! Architecture Invariant: a completion is reported as complete only after the owner's
//! `Frame::End`. A request is reported as not run only if every attempt to forward it failed before
//! a byte was sent or was refused as not run.

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

pub use catalog::{Catalog, GroupOwner, LookupError, Owner, ResolvedModel, ServiceRoute};
pub use context::{EntryConfig, EntryContext, TargetFn};
pub use server::{EntryHandle, EntryServer};
pub use shallotdrum_engine::{AnnounceReply, CacheEvents, Leave, PrefixHash};
pub use shallotdrum_owner::completion_fingerprint as fingerprint;
pub use shallotdrum_types::{Freshness, FreshnessFn};
