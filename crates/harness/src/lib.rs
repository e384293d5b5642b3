//! Deployments for tests and benchmarks: instances, fake targets, callers and operators.
//!
//! `deployment` describes the two organisations, `settings` writes the settings of their
//! instances, `embedded` runs instances in this process and `cluster` as processes behind fault
//! proxies, `caller` and `operator` use them from outside, `wait` waits for conditions.
//!
//! Architecture Invariant: everything that is started ends with its handle, also on panic.

mod caller;
mod cluster;
mod deployment;
mod embedded;
mod operator;
mod settings;
mod targets;
mod wait;

pub use caller::{Answer, Caller, CallerError, Problem, ServiceAnswer, wait_until_served};
pub use cluster::{Cluster, ClusterConfig};
pub use deployment::Deployment;
pub use embedded::Embedded;
pub use operator::Operator;
pub use settings::{InstancePorts, instance_settings};
pub use targets::{Targets, TargetsConfig};
pub use wait::{WaitError, wait_until};
