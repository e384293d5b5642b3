//! Test harness that runs whole deployments for tests and benchmarks.
//!
//! `deployment` describes the deployments, `settings` generates the settings of their instances.
//! `in_process` runs instances in this process, `cluster` as child processes behind fault proxies.
//! `targets` runs fake engines and services. `caller` is a client of the public HTTP interface,
//! `operator` of the RPC interface. `wait` polls conditions.
//!
//! Architecture Invariant: everything that is started stops when its handle is dropped, also on
//! panic.

mod caller;
mod cluster;
mod deployment;
mod in_process;
mod operator;
mod settings;
mod targets;
mod wait;

pub use caller::{Caller, CallerError, Completion, Problem, ServiceResponse, wait_until_served};
pub use cluster::{Cluster, ClusterConfig};
pub use deployment::Deployment;
pub use in_process::InProcessCluster;
pub use operator::Operator;
pub use settings::{InstancePorts, instance_settings};
pub use targets::{Targets, TargetsConfig};
pub use wait::{WaitError, wait_until};
